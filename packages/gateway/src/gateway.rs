//! The gateway of a node: the processing of one call from its head to its response.

mod admission;
mod call_guards;
mod instance_headers;
mod open_calls;
mod planned_stop;
mod request_facts;
mod response_bodies;

use admission::{Admission, AdmissionRequest, Denial, permit_rank};
use call_guards::{CallReservation, PermitGuard, PermitRequestGuard};
use instance_headers::instance_headers;
pub use open_calls::OpenCalls;
use open_calls::StageCount;
use planned_stop::PlannedStop;
use request_facts::{RequestTarget, declared_body_bytes, head_bytes, time_left};
use response_bodies::{BufferedBody, StreamedBody};

use crate::call_state_machine::{CallState, CallStateMachine, DispatchEnd, NextStep};
use crate::instance_dispatch::{DispatchCall, DispatchOutcome, DispatchSettings, InstanceResponse, dispatch};
use crate::recording::{RecordedCall, Recorder};
use crate::route_table::{RouteEntry, RouteTable, TenantEntry};
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Payload, Request, Response, StatusCode};
use arc_swap::ArcSwap;
use bytes::{Bytes, BytesMut};
use call_traces::{CallTrace, TraceWriter};
use configuration_schema::{ClientLimits, Configuration, ConfigurationDelta};
use function_scheduler::{ABANDONED, NOT_RUN, PermitParameters, RAN, REFUSED_BUSY, UNKNOWN, UNUSED};
use futures_util::StreamExt;
use monotonic_clock::{Micros, MonotonicClock};
use peer_messages::Permit;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Limits of the gateway. Example: `GatewaySettings::default().body_limit == 4 << 20`.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Maximum length of a request body, in bytes.
    pub body_limit: usize,
    /// Memory for all request bodies and responses held at once, in bytes.
    pub memory_limit: usize,
    /// Calls open at once.
    pub calls_limit: usize,
    /// Lag of the node's ticker beyond which new calls are refused.
    pub lag_limit: Micros,
    /// Dispatches of one call, the first included.
    pub dispatch_limit: u32,
    /// Limits of one dispatch, and the headers used with instances and clients.
    pub dispatch: DispatchSettings,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            body_limit: 4 * 1024 * 1024,
            memory_limit: 96 * 1024 * 1024,
            calls_limit: 1_000,
            lag_limit: Micros::from_millis(800),
            dispatch_limit: 4,
            dispatch: DispatchSettings::default(),
        }
    }
}

/// The protocol's response to a permit request.
#[derive(Clone, Debug)]
pub enum PermitResponse {
    /// The right to one dispatch to one instance.
    Granted(Permit),
    /// No permit: the call did not run. `is_missing` when the function is no longer configured.
    Refused { reason: String, retry_after: Micros, is_full: bool, is_missing: bool },
}

/// What the gateway sends to the node's protocol.
#[derive(Debug)]
pub enum GatewayMessage {
    /// A call needs a permit.
    RequestPermit { call: u64, parameters: PermitParameters, reply: oneshot::Sender<PermitResponse> },
    /// The call ended before a permit arrived.
    End { call: u64 },
    /// A dispatch ended.
    Done { permit: Permit, outcome: u8, latency: Micros },
}

macro_rules! gateway_counters {
    ($($(#[$note:meta])* $field:ident as $text:literal,)*) => {
        /// Counters for metrics. Example: `gateway.counts.answered.load(Ordering::Relaxed)`.
        #[derive(Debug, Default)]
        pub struct GatewayCounters { $($(#[$note])* pub $field: AtomicU64,)* }

        impl GatewayCounters {
            /// All counters by their metric names. Example: `gateway.counts.all()`.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$(($text, self.$field.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

gateway_counters! {
    /// Calls whose head was read.
    received as "received",
    /// Calls answered with a whole response of an instance.
    answered as "answered",
    /// Calls refused with the outcome `not_run`.
    refused as "refused",
    /// Calls that ended with the outcome `unknown`.
    unknown as "unknown",
    /// Calls without a matching route.
    no_route as "no_lane",
    /// Calls refused because their route needs a key and they carried none.
    no_key as "no_key",
    /// Calls refused because the key, or keys, that they carried belong to no tenant.
    unknown_key as "unknown_key",
    /// Dispatches after a call's first.
    retries as "extra_dispatches",
    /// Dispatches that an instance refused as busy.
    refused_busy as "turned_away",
    /// Responses cut off after their beginning had been sent to the client.
    cut_responses as "cut_answers",
    /// Microseconds that calls waited for the permits that arrived.
    permit_micros as "ticket_micros",
    /// Permits that arrived.
    permits as "tickets",
    /// Calls made by running calls.
    nested as "nested",
}

/// A node's gateway. Example: `Gateway::new(GatewaySettings::default(), sender)`.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    routes: ArcSwap<RouteTable>,
    /// The hosts of instances: a call from there is made by a running call.
    instance_hosts: ArcSwap<BTreeSet<IpAddr>>,
    protocol_sender: mpsc::Sender<GatewayMessage>,
    clock: MonotonicClock,
    next_call: AtomicU64,
    memory_used: AtomicUsize,
    calls_open: AtomicUsize,
    awaiting_permit: Arc<StageCount>,
    at_instance: Arc<StageCount>,
    planned_stop: PlannedStop,
    /// True until the node knows whether there is a configuration.
    awaits_configuration: AtomicBool,
    /// True while the node does not know whether its routes and keys are the newest.
    suspects_routes: AtomicBool,
    node_count: AtomicUsize,
    lag_micros: AtomicU64,
    /// When the node's ticker last ran; zero before the first tick.
    ticked_at: AtomicU64,
    recorder: Option<Recorder>,
    traces: Option<TraceWriter>,
    /// Counters for metrics.
    pub counts: GatewayCounters,
}

/// A call with its route and its tenant, by one configuration generation.
struct MatchedCall {
    admission_request: AdmissionRequest,
    route: RouteEntry,
    tenant: Option<TenantEntry>,
}

/// The response to a client.
pub type GatewayResponse = Response<BoxBody>;

struct Refusal {
    status: StatusCode,
    reason: String,
    retry_after: Option<Micros>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &str, retry_after: Option<Micros>) -> Refusal {
        Refusal { status, reason: reason.to_owned(), retry_after }
    }
}

impl Gateway {
    /// A gateway without routes.
    /// Example: `Gateway::new(GatewaySettings::default(), sender).open_calls() == 0`.
    pub fn new(settings: GatewaySettings, protocol_sender: mpsc::Sender<GatewayMessage>) -> Gateway {
        Gateway {
            settings,
            routes: ArcSwap::from_pointee(RouteTable::default()),
            instance_hosts: ArcSwap::from_pointee(BTreeSet::new()),
            protocol_sender,
            clock: MonotonicClock::start(),
            next_call: AtomicU64::new(1 << 32),
            memory_used: AtomicUsize::new(0),
            calls_open: AtomicUsize::new(0),
            awaiting_permit: Arc::default(),
            at_instance: Arc::default(),
            planned_stop: PlannedStop::new(),
            awaits_configuration: AtomicBool::new(true),
            suspects_routes: AtomicBool::new(false),
            node_count: AtomicUsize::new(1),
            lag_micros: AtomicU64::new(0),
            ticked_at: AtomicU64::new(0),
            recorder: None,
            traces: None,
            counts: GatewayCounters::default(),
        }
    }

    /// Sets the lag of the node's ticker. Beyond a limit the machine is overloaded, and new calls are refused
    /// before they cost anything more.
    /// Example: `gateway.set_lag(Micros::from_millis(3))` at each tick.
    pub fn set_lag(&self, lag: Micros) {
        self.lag_micros.store(lag.0, Ordering::Relaxed);
        self.ticked_at.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Whether the node's ticker has not run for so long that the process may have been suspended: the routes
    /// may be far out of date until the protocol has checked them again.
    fn may_have_been_suspended(&self) -> bool {
        let ticked_at = Micros(self.ticked_at.load(Ordering::Relaxed));
        ticked_at > Micros(0) && self.clock.now() > ticked_at + self.settings.lag_limit
    }

    /// Records every call from now on. Example: `gateway.record_with(Recorder::start(path, limit)?)`.
    pub fn record_with(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Traces sampled calls from now on. Example: `gateway.trace_with(TraceWriter::start(..)?)`.
    pub fn trace_with(&mut self, traces: TraceWriter) {
        self.traces = Some(traces);
    }

    /// Records dropped because the disk was slower than the calls. Example: `gateway.records_dropped()`.
    pub fn records_dropped(&self) -> u64 {
        self.recorder.as_ref().map_or(0, Recorder::dropped)
    }

    /// Swaps in a newer generation's routes. Calls that wait for a permit are matched again by them.
    /// Example: `gateway.set_configuration(4, &configuration)`.
    pub fn set_configuration(&self, generation: u64, configuration: &Configuration) {
        self.routes.store(Arc::new(RouteTable::new(generation, configuration)));
    }

    /// The same, applying only what changed since the current generation if the deltas cover all of it.
    /// Example: `gateway.apply_changed_configuration(5, &configuration, &deltas)`.
    pub fn apply_changed_configuration(
        &self,
        generation: u64,
        configuration: &Configuration,
        deltas: &[ConfigurationDelta],
    ) {
        let mut routes = RouteTable::clone(&self.routes.load());
        routes.apply_changes(generation, configuration, deltas);
        self.routes.store(Arc::new(routes));
    }

    /// Sets the hosts that instances run on. Calls from there are made by running calls and are served first.
    /// Example: `gateway.set_instance_hosts(hosts)` when the platform's list shows others.
    pub fn set_instance_hosts(&self, hosts: BTreeSet<IpAddr>) {
        self.instance_hosts.store(Arc::new(hosts));
    }

    /// Whether a running call made this one: it arrives from a host of instances.
    fn is_nested(&self, request: &Request) -> bool {
        request.peer_addr().is_some_and(|peer| self.instance_hosts.load().contains(&peer.ip()))
    }

    /// The generation that calls are matched against. Example: `gateway.generation() == 4`.
    pub fn generation(&self) -> u64 {
        self.routes.load().generation
    }

    /// Marks that the node knows the newest configuration, even if there is none yet.
    /// Example: `gateway.mark_routes_current()`.
    pub fn mark_routes_current(&self) {
        self.awaits_configuration.store(false, Ordering::Relaxed);
    }

    /// Sets whether the node's routes and keys may be outdated. While they may, a call that they do not admit
    /// is refused with a request to retry later. Example: `gateway.set_routes_suspect(true)`.
    pub fn set_routes_suspect(&self, is_suspected: bool) {
        self.suspects_routes.store(is_suspected, Ordering::Relaxed);
    }

    /// Sets how many nodes share the connections that each instance accepts.
    /// Example: `gateway.set_node_count(10)`.
    pub fn set_node_count(&self, node_count: usize) {
        self.node_count.store(node_count, Ordering::Relaxed);
    }

    /// Limits on clients, as far as the configuration sets them. Example: `gateway.client_limits()`.
    pub fn client_limits(&self) -> Option<ClientLimits> {
        self.routes.load().client_limits.clone()
    }

    /// The number of open calls. Example: `gateway.open_calls() == 0` before a drained node exits.
    pub fn open_calls(&self) -> usize {
        self.calls_open.load(Ordering::Relaxed)
    }

    /// Open calls by stage. Example: `gateway.open_calls_by_stage().awaiting_permit`.
    pub fn open_calls_by_stage(&self) -> OpenCalls {
        OpenCalls {
            all: self.open_calls(),
            awaiting_permit: self.awaiting_permit.get(),
            at_instance: self.at_instance.get(),
        }
    }

    /// Begins a planned stop of a process that ends within this time. From now on responses ask clients to
    /// close their connections. Calls that get no permit in the first half of the time are refused, and calls
    /// whose instance does not respond until shortly before its end get the outcome `unknown`.
    /// Example: `gateway.begin_stop(Duration::from_secs(5))`.
    pub fn begin_stop(&self, within: Duration) {
        self.planned_stop.begin(self.clock.now(), within);
    }

    /// Processes one call to its end. Example: the HTTP service calls `gateway.call(request)` for each.
    pub async fn call(self: Arc<Self>, request: Request) -> GatewayResponse {
        self.counts.received.fetch_add(1, Ordering::Relaxed);
        let open_before = self.calls_open.fetch_add(1, Ordering::Relaxed);
        let mut reservation = CallReservation { gateway: self.clone(), bytes: 0 };
        let mut recorded = self.recorder.as_ref().map(|_| new_record(&request, self.clock.now()));
        let mut state_machine = CallStateMachine::begin();
        let parent = request.headers().get(TRACE_HEADER).and_then(|value| value.to_str().ok());
        let mut trace = self.traces.as_ref().and_then(|traces| traces.begin(parent));
        let mut route_name = String::new();
        if recorded.is_some() || trace.is_some() {
            let routes = self.routes.load();
            route_name =
                RequestTarget::of(&request).find(&routes).map(|entry| entry.name.clone()).unwrap_or_default();
        }
        if let Some(record) = &mut recorded {
            record.route.clone_from(&route_name);
        }
        let processed = self
            .clone()
            .process(request, &mut state_machine, &mut reservation, open_before, &mut trace)
            .await;
        let mut response = match processed {
            Ok(instance_response) => self.respond(instance_response, reservation),
            Err(refusal) => self.respond_refused(&state_machine, refusal),
        };
        if let (Some(traces), Some(trace)) = (&self.traces, trace) {
            traces.end(trace, &route_name, outcome_name(&state_machine), response.status().as_u16());
        }
        if let (Some(recorder), Some(mut record)) = (&self.recorder, recorded) {
            record.outcome = outcome_name(&state_machine).to_owned();
            record.status = response.status().as_u16();
            record.latency_micros = (self.clock.now() - Micros(record.at_micros)).0;
            recorder.record(&record);
        }
        if self.planned_stop.has_begun() {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }

    async fn process(
        self: Arc<Self>,
        mut request: Request,
        state_machine: &mut CallStateMachine,
        reservation: &mut CallReservation,
        open_before: usize,
        trace: &mut Option<CallTrace>,
    ) -> Result<(InstanceResponse, PermitGuard, Micros), Refusal> {
        let refuse = |state_machine: &mut CallStateMachine, refusal: Refusal| {
            state_machine.give_up();
            refusal
        };
        let is_late = self.lag_micros.load(Ordering::Relaxed) > self.settings.lag_limit.0;
        if is_late || open_before >= self.settings.calls_limit {
            let reason = if is_late { "the node is overloaded" } else { "too many calls" };
            let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, Some(Micros::from_secs(1)));
            return Err(refuse(state_machine, refusal));
        }
        let routes = self.routes.load_full();
        let header_conventions = &self.settings.dispatch.header_conventions;
        let admission_request = AdmissionRequest::of(&request, header_conventions);
        let (mut route, tenant) = match admission_request.admission(&routes) {
            Ok(Admission { route, tenant }) => (route.clone(), tenant.cloned()),
            Err(denial) => return Err(refuse(state_machine, self.denial_refusal(denial, &routes))),
        };
        let ends_at = self.clock.now() + time_left(&request, &route, header_conventions);
        let head_limit = routes.client_limits.as_ref().and_then(|limits| limits.header_bytes);
        if head_limit.is_some_and(|limit| head_bytes(&request) > limit) {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(refuse(state_machine, Refusal::new(status, "the head is too long", None)));
        }
        state_machine.step(CallState::Matched);
        let configured_limit = routes.client_limits.as_ref().and_then(|limits| limits.body_bytes);
        let body_limit = configured_limit.map_or(self.settings.body_limit, |bytes| bytes as usize);
        if declared_body_bytes(&request).is_some_and(|declared| declared > body_limit as u64) {
            return Err(refuse(state_machine, long_body_refusal()));
        }
        let payload = request.take_payload();
        let body = match self.read_body(payload, body_limit, reservation, ends_at).await {
            Ok(body) => body,
            Err(refusal) => return Err(refuse(state_machine, refusal)),
        };
        let is_nested = self.is_nested(&request);
        if is_nested {
            self.counts.nested.fetch_add(1, Ordering::Relaxed);
        }
        route.function = route.pick(fastrand::f64()).to_owned();
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        // Cancelled when this call ends in any way, so that a dispatch still at an instance learns of it.
        let client_left = CancellationToken::new();
        let _ends_with_this_call = client_left.clone().drop_guard();
        let dispatch_call = DispatchCall {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: instance_headers(&request, header_conventions),
            body,
            function: route.function.clone(),
            tenant: None,
            is_nested,
            instance: String::new(),
            address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
            time_left: Micros(0),
            client_left: client_left.clone(),
            is_repeatable: route.repeatable,
        };
        drop(request);
        let matched = MatchedCall { admission_request, route, tenant };
        self.dispatch_with_retries(call, matched, dispatch_call, ends_at, state_machine, trace).await
    }

    /// The refusal of a call that the routes do not admit. It names no key.
    fn denial_refusal(&self, denial: Denial, routes: &RouteTable) -> Refusal {
        // Before this process has a configuration it knows no routes, so it cannot conclude that none matches.
        let has_no_configuration =
            routes.generation == 0 && self.awaits_configuration.load(Ordering::Relaxed);
        if denial == Denial::NoRoute && has_no_configuration {
            return Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "not ready yet", Some(NOT_READY_PAUSE));
        }
        if self.suspects_routes.load(Ordering::Relaxed) || self.may_have_been_suspended() {
            let reason = "the newest configuration is not here yet";
            return Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, Some(NOT_READY_PAUSE));
        }
        let (count, status, reason) = match denial {
            Denial::NoRoute => (&self.counts.no_route, StatusCode::NOT_FOUND, "no lane takes this call"),
            Denial::NoKey => (&self.counts.no_key, StatusCode::UNAUTHORIZED, "the call carries no key"),
            Denial::UnknownKey => {
                (&self.counts.unknown_key, StatusCode::UNAUTHORIZED, "no tenant is known by the call's key")
            }
        };
        count.fetch_add(1, Ordering::Relaxed);
        Refusal::new(status, reason, None)
    }

    /// Reads the whole body before a permit is requested, so that a slow client does not occupy an instance.
    async fn read_body(
        &self,
        mut payload: Payload,
        body_limit: usize,
        reservation: &mut CallReservation,
        ends_at: Micros,
    ) -> Result<Bytes, Refusal> {
        let mut body = BytesMut::new();
        loop {
            let time_left = ends_at - self.clock.now();
            let next_chunk = tokio::time::timeout(time_left.duration(), payload.next());
            let chunk = tokio::select! {
                chunk = next_chunk => chunk,
                () = self.planned_stop.wait_for_response_deadline(&self.clock) => return Err(stop_refusal()),
            };
            let Ok(chunk) = chunk else {
                return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time", None));
            };
            let Some(chunk) = chunk else { return Ok(body.freeze()) };
            let Ok(chunk) = chunk else {
                return Err(Refusal::new(StatusCode::BAD_REQUEST, "the body is damaged or cut", None));
            };
            if body.len() + chunk.len() > body_limit {
                return Err(long_body_refusal());
            }
            if !reservation.reserve_memory(chunk.len()) {
                let retry_after = Some(Micros::from_secs(1));
                return Err(Refusal::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "out of memory for bodies",
                    retry_after,
                ));
            }
            body.extend_from_slice(&chunk);
        }
    }

    /// Requests permits and dispatches until the call is answered or abandoned.
    #[allow(clippy::too_many_arguments)]
    async fn dispatch_with_retries(
        self: &Arc<Self>,
        call: u64,
        matched: MatchedCall,
        dispatch_call: DispatchCall,
        ends_at: Micros,
        state_machine: &mut CallStateMachine,
        trace: &mut Option<CallTrace>,
    ) -> Result<(InstanceResponse, PermitGuard, Micros), Refusal> {
        let MatchedCall { admission_request, mut route, mut tenant } = matched;
        let mut dispatch_call = dispatch_call;
        let mut avoid = String::new();
        let mut last_reason = "";
        loop {
            state_machine.step(CallState::PermitRequested);
            if let Some(trace) = trace {
                trace.begin_span("ticket");
            }
            let mut parameters =
                self.permit_parameters(&route, tenant.as_ref(), dispatch_call.is_nested, ends_at);
            parameters.dispatches = state_machine.dispatches();
            parameters.avoid.clone_from(&avoid);
            let requested = self.request_permit(call, parameters).await;
            if let Some(trace) = trace {
                trace.end_span(&[("vanelane.function", &route.function)]);
            }
            // The current configuration generation decides whether the call is admitted, for which tenant,
            // and which functions it may go to.
            let routes = self.routes.load_full();
            let admission = admission_request.admission(&routes);
            let is_still_allowed = admission.is_ok_and(|current| {
                current.route.allows(&route.function) && current.is_for(tenant.as_ref())
            }) && !self.may_have_been_suspended();
            let began = self.clock.now();
            let (permit, step) = match requested {
                Ok(permit) => (Some(permit), state_machine.permit_arrived(began < ends_at, is_still_allowed)),
                Err(refusal) if refusal.status == StatusCode::NOT_FOUND && !is_still_allowed => {
                    last_reason = "the function is no longer configured";
                    (None, state_machine.permit_arrived(began < ends_at, false))
                }
                Err(refusal) => {
                    return Err(match state_machine.give_up() {
                        CallState::Unknown if began >= ends_at => {
                            Refusal::new(StatusCode::GATEWAY_TIMEOUT, last_reason, None)
                        }
                        CallState::Unknown => Refusal::new(StatusCode::BAD_GATEWAY, last_reason, None),
                        _ => refusal,
                    });
                }
            };
            let mut guard = PermitGuard { gateway: self.clone(), permit, began_at: began, outcome: UNKNOWN };
            if step != NextStep::Dispatch {
                guard.return_permit(UNUSED);
                if step != NextStep::MatchAgain {
                    return Err(no_time_refusal(state_machine));
                }
                let current = match admission {
                    Ok(current) => current,
                    Err(denial) => {
                        state_machine.give_up();
                        return Err(self.denial_refusal(denial, &routes));
                    }
                };
                route = current.route.clone();
                tenant = current.tenant.cloned();
                route.function = route.pick(fastrand::f64()).to_owned();
                dispatch_call.function.clone_from(&route.function);
                dispatch_call.is_repeatable = route.repeatable;
                avoid.clear();
                continue;
            }
            dispatch_call.tenant = tenant.as_ref().map(|tenant| tenant.name.clone());
            if state_machine.dispatches() > 1 {
                self.counts.retries.fetch_add(1, Ordering::Relaxed);
            }
            let time_left = ends_at - began;
            let mut headers = dispatch_call.headers.clone();
            if let Some(trace) = trace {
                trace.begin_span("dispatch");
                if let Ok(parent_value) = HeaderValue::from_str(&trace.parent_header()) {
                    headers.insert(header::HeaderName::from_static(TRACE_HEADER), parent_value);
                }
            }
            let (instance, address) = guard.permit.as_ref().map_or_else(
                || (String::new(), dispatch_call.address),
                |permit| (permit.instance.0.clone(), permit.address.socket()),
            );
            let attempt = DispatchCall {
                headers,
                instance: instance.clone(),
                address,
                time_left,
                ..dispatch_call.clone()
            };
            // A task of its own: a client that disconnects ends neither the dispatch nor the count of what
            // the instance is running.
            let idle_limit = routes.idle_limit(&route.function, self.node_count.load(Ordering::Relaxed));
            let idle_limit = self.settings.dispatch.idle_limit.min(idle_limit);
            let dispatch_settings = DispatchSettings { idle_limit, ..self.settings.dispatch.clone() };
            let dispatching = actix_rt::spawn(async move {
                let outcome = dispatch(attempt, &dispatch_settings).await;
                guard.outcome = outcome_without_client(&outcome);
                (outcome, guard)
            });
            let at_instance = self.at_instance.enter();
            let dispatched = tokio::select! {
                dispatched = dispatching => Some(dispatched),
                () = self.planned_stop.wait_for_response_deadline(&self.clock) => None,
            };
            drop(at_instance);
            if let Some(trace) = trace {
                trace.end_span(&[("vanelane.cell", &instance)]);
            }
            let limit = route.dispatch_limit.unwrap_or(self.settings.dispatch_limit);
            let Some(dispatched) = dispatched else {
                state_machine.dispatch_ended(DispatchEnd::TimedOut, false, limit);
                return Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "the node stops", None));
            };
            let Ok((outcome, mut guard)) = dispatched else {
                state_machine.dispatch_ended(DispatchEnd::Unknown, false, limit);
                return Err(Refusal::new(StatusCode::BAD_GATEWAY, "the dispatch broke down", None));
            };
            let end = match outcome {
                DispatchOutcome::TimedOut => {
                    last_reason = "no answer in the time left";
                    DispatchEnd::TimedOut
                }
                DispatchOutcome::Answered(instance_response) => {
                    state_machine.dispatch_ended(DispatchEnd::Answered, route.repeatable, limit);
                    return Ok((instance_response, guard, ends_at));
                }
                DispatchOutcome::NotRun => {
                    last_reason = "the cell could not be reached";
                    DispatchEnd::NotRun
                }
                // The client has left: these two end with the call and no response is sent.
                DispatchOutcome::Withdrawn => DispatchEnd::NotRun,
                DispatchOutcome::Abandoned => DispatchEnd::Unknown,
                DispatchOutcome::RefusedBusy => {
                    self.counts.refused_busy.fetch_add(1, Ordering::Relaxed);
                    last_reason = "the cell turned the call away";
                    DispatchEnd::RefusedBusy
                }
                DispatchOutcome::Unknown(reason) => {
                    last_reason = reason;
                    DispatchEnd::Unknown
                }
            };
            guard.return_permit(end.outcome());
            if let NextStep::GiveUp(final_state) = state_machine.dispatch_ended(end, route.repeatable, limit)
            {
                let status = match (final_state, end) {
                    (_, DispatchEnd::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
                    (CallState::Unknown, _) => StatusCode::BAD_GATEWAY,
                    _ => StatusCode::SERVICE_UNAVAILABLE,
                };
                return Err(Refusal::new(status, last_reason, Some(Micros::from_secs(1))));
            }
            avoid = instance;
        }
    }

    /// The parameters of a call's first permit request, by its route and tenant.
    fn permit_parameters(
        &self,
        route: &RouteEntry,
        tenant: Option<&TenantEntry>,
        is_nested: bool,
        ends_at: Micros,
    ) -> PermitParameters {
        let now = self.clock.now();
        PermitParameters {
            function: route.function.clone(),
            time_left: ends_at - now,
            dispatches: 0,
            avoid: String::new(),
            // A client that retries names less time than the route's timeout: its first attempt, from which
            // lateness counts, was that much earlier. A nested call names the time that its caller has left,
            // and is itself new.
            target_left: route.target.map(|target| match is_nested {
                true => target,
                false => (ends_at + target) - route.timeout - now,
            }),
            is_nested,
            rank: permit_rank(tenant.map(|tenant| tenant.rank), route.rank),
            tenant: tenant.map(|tenant| tenant.name.clone()),
        }
    }

    async fn request_permit(
        self: &Arc<Self>,
        call: u64,
        parameters: PermitParameters,
    ) -> Result<Permit, Refusal> {
        let requested_at = self.clock.now();
        let time_left = parameters.time_left;
        let retry_after = Some(Micros::from_secs(1));
        let no_time_refusal =
            || Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no ticket in the time left", retry_after);
        if time_left == Micros(0) {
            return Err(no_time_refusal());
        }
        let (reply, response) = oneshot::channel();
        if self.protocol_sender.try_send(GatewayMessage::RequestPermit { call, parameters, reply }).is_err() {
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "the node is overloaded", retry_after));
        }
        let mut guard = PermitRequestGuard { gateway: self.clone(), call, response, is_pending: true };
        let _awaiting_permit = self.awaiting_permit.enter();
        // The protocol refuses only at its next tick; the client does not wait for that.
        let waiting = tokio::time::timeout(time_left.duration(), &mut guard.response);
        let waited = tokio::select! {
            waited = waiting => waited,
            () = self.planned_stop.wait_for_dispatch_deadline(&self.clock) => return Err(stop_refusal()),
        };
        let Ok(Ok(permit_response)) = waited else { return Err(no_time_refusal()) };
        guard.is_pending = false;
        match permit_response {
            PermitResponse::Granted(permit) => {
                self.counts.permits.fetch_add(1, Ordering::Relaxed);
                self.counts.permit_micros.fetch_add((self.clock.now() - requested_at).0, Ordering::Relaxed);
                Ok(permit)
            }
            PermitResponse::Refused { reason, retry_after, is_full, is_missing } => {
                let status = match (is_missing, is_full) {
                    (true, _) => StatusCode::NOT_FOUND,
                    (false, true) => StatusCode::TOO_MANY_REQUESTS,
                    (false, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                Err(Refusal { status, reason, retry_after: Some(retry_after) })
            }
        }
    }

    fn respond(
        self: &Arc<Self>,
        (instance_response, mut guard, ends_at): (InstanceResponse, PermitGuard, Micros),
        mut reservation: CallReservation,
    ) -> GatewayResponse {
        let InstanceResponse { status, headers, body, rest } = instance_response;
        let mut response: GatewayResponse = match rest {
            None => {
                guard.return_permit(RAN);
                reservation.reserve_memory(body.len());
                self.counts.answered.fetch_add(1, Ordering::Relaxed);
                Response::with_body(
                    status,
                    BoxBody::new(BufferedBody { body: Some(body), _reservation: reservation }),
                )
            }
            Some((rest, length)) => {
                reservation.reserve_memory(body.len());
                let body = StreamedBody {
                    first_chunk: Some(body),
                    rest,
                    length,
                    bytes_sent: 0,
                    guard,
                    _reservation: reservation,
                    deadline: Box::pin(tokio::time::sleep((ends_at - self.clock.now()).duration())),
                };
                Response::with_body(status, BoxBody::new(body))
            }
        };
        for (name, value) in headers {
            response.headers_mut().append(name, value);
        }
        if let Some(outcome_name) = &self.settings.dispatch.header_conventions.outcome {
            response.headers_mut().insert(outcome_name.clone(), HeaderValue::from_static("ran"));
        }
        response
    }

    fn respond_refused(&self, state_machine: &CallStateMachine, refusal: Refusal) -> GatewayResponse {
        let is_unknown = state_machine.state() == CallState::Unknown;
        let outcome = outcome_name(state_machine);
        let count = if is_unknown { &self.counts.unknown } else { &self.counts.refused };
        count.fetch_add(1, Ordering::Relaxed);
        let mut document = json!({ "outcome": outcome, "reason": refusal.reason });
        if let Some(retry_after) = refusal.retry_after.filter(|_| !is_unknown) {
            document["retry_after_ms"] = json!(retry_after.millis());
        }
        let mut response: GatewayResponse =
            Response::with_body(refusal.status, BoxBody::new(document.to_string()));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let header_conventions = &self.settings.dispatch.header_conventions;
        if let Some(outcome_name) = &header_conventions.outcome {
            headers.insert(outcome_name.clone(), HeaderValue::from_static(outcome));
        }
        if let Some(retry_after) = refusal.retry_after.filter(|_| !is_unknown) {
            let seconds = match header_conventions.fractional_retry_after {
                true => format!("{:.3}", retry_after.0.max(1_000) as f64 / 1e6),
                false => retry_after.0.div_ceil(1_000_000).max(1).to_string(),
            };
            if let Ok(seconds_value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, seconds_value);
            }
        }
        response
    }
}

/// Retry-After of a node that does not know its current routes yet.
const NOT_READY_PAUSE: Micros = Micros::from_millis(200);

/// The outcome with which a permit is returned when its dispatch ends after the call has ended.
fn outcome_without_client(outcome: &DispatchOutcome) -> u8 {
    match outcome {
        DispatchOutcome::Answered(instance_response) if instance_response.rest.is_none() => RAN,
        // A long response whose rest is not read.
        DispatchOutcome::Answered(_) | DispatchOutcome::Abandoned => ABANDONED,
        DispatchOutcome::Withdrawn => UNUSED,
        DispatchOutcome::NotRun => NOT_RUN,
        DispatchOutcome::RefusedBusy => REFUSED_BUSY,
        DispatchOutcome::Unknown(_) | DispatchOutcome::TimedOut => UNKNOWN,
    }
}

/// Retry-After of a node that stops; the retry goes to another node.
const STOPPING_PAUSE: Micros = Micros::from_millis(100);

/// The node stops before the call could be sent to an instance.
fn stop_refusal() -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "the node stops", Some(STOPPING_PAUSE))
}

/// The outcome reported to clients.
fn outcome_name(state_machine: &CallStateMachine) -> &'static str {
    match state_machine.state() {
        CallState::Answered => "ran",
        CallState::Unknown => "unknown",
        _ => "not_run",
    }
}

/// The W3C header that links a call to its client's trace.
const TRACE_HEADER: &str = "traceparent";

fn new_record(request: &Request, now: Micros) -> RecordedCall {
    RecordedCall {
        at_micros: now.0,
        route: String::new(),
        method: request.method().to_string(),
        path: request.path().to_owned(),
        size: declared_body_bytes(request).unwrap_or(0),
        status: 0,
        outcome: String::new(),
        latency_micros: 0,
    }
}

fn no_time_refusal(state_machine: &CallStateMachine) -> Refusal {
    match state_machine.state() {
        CallState::Unknown => Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no time left", None),
        _ => Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no time left", Some(Micros::from_secs(1))),
    }
}

fn long_body_refusal() -> Refusal {
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long", None)
}
