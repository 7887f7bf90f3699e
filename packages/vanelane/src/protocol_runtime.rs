//! The runtime of the node's protocol: it feeds events to the node and performs its actions. All decisions
//! are made by the node.

use crate::control_costs::ControlCosts;
use crate::disk_thread::{DiskThread, DiskWork};
use crate::node_lag::NodeLag;
use crate::peer_links::{OutgoingFrame, PeerLinks};
use configuration_schema::{Change, ChangeOutcome};
use error_stack::Report;
use gateway::{Gateway, GatewayMessage, PermitResponse};
use monotonic_clock::{Micros, MonotonicClock, Ticker, wall_clock};
use node_protocol::{
    Action, ConfigurationResponse, Event, Node, NodeStatus, RefusedAs, StartResult, StopResult, UsageResult,
};
use peer_messages::{Address, DecisionLine, Envelope, NodeId, Priority};
use platform_client::{
    OperationStamp, PlatformApi, StartDocument, StartResponse, StopResponse, UsageDocument, UsageResponse,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use supervisor::ChildError;
use tokio::sync::{mpsc, oneshot};

/// Log target of this module. It is part of the log format and independent of the module's name.
const LOG_TARGET: &str = "vanelane::protocol_shell";

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the node gets the machine's wall clock, if it reports usage.
pub const WALL_CLOCK_INTERVAL: Micros = Micros::from_millis(200);

/// Input to the runtime from other tasks and threads.
pub enum RuntimeEvent {
    /// A peer's message and the time when it was read from its connection.
    Received {
        envelope: Envelope,
        at: Instant,
    },
    DiskDone {
        token: u64,
        is_synced: bool,
    },
    Protocol(Event),
    Change {
        change: Change,
        reply: oneshot::Sender<ChangeOutcome>,
    },
    Decisions {
        after: Vec<(NodeId, u64)>,
        limit: u32,
        reply: oneshot::Sender<DecisionsReply>,
    },
    Status {
        reply: oneshot::Sender<NodeStatus>,
    },
    ConfirmedConfiguration {
        reply: oneshot::Sender<ConfigurationResponse>,
    },
    RedirectTarget {
        bytes: Option<usize>,
        reply: oneshot::Sender<Option<Address>>,
    },
    PlatformAddressChanged {
        address: std::net::SocketAddr,
    },
    Drain,
}

pub struct DecisionsReply {
    pub lines: Vec<DecisionLine>,
    pub cursor: Vec<(NodeId, u64)>,
}

/// State of the node as read by other threads.
#[derive(Debug, Default)]
pub struct NodeFlags {
    pub ready: AtomicBool,
    pub draining: AtomicBool,
    pub drained: AtomicBool,
}

pub struct ProtocolRuntime {
    pub node: Node,
    pub clock: MonotonicClock,
    pub wall_clock_ticker: Ticker,
    pub own_node: NodeId,
    pub own_address: Address,
    pub fleet: u64,
    pub links: PeerLinks,
    pub disk: Option<DiskThread>,
    pub platform: Rc<dyn PlatformApi>,
    pub node_name: String,
    pub gateway: Arc<Gateway>,
    pub flags: Arc<NodeFlags>,
    pub inbox_sender: mpsc::Sender<RuntimeEvent>,
    pub permit_replies: HashMap<u64, oneshot::Sender<PermitResponse>>,
    pub change_replies: HashMap<u64, oneshot::Sender<ChangeOutcome>>,
    pub decision_replies: HashMap<u64, oneshot::Sender<DecisionsReply>>,
    pub configuration_replies: HashMap<u64, oneshot::Sender<ConfigurationResponse>>,
    pub last_request: u64,
    pub last_logged_decision: u64,
    pub costs: ControlCosts,
    pub lag: Arc<NodeLag>,
}

impl ProtocolRuntime {
    /// Runs until the inbox closes.
    pub async fn run(
        &mut self,
        inbox: &mut mpsc::Receiver<RuntimeEvent>,
        bulk_inbox: &mut mpsc::Receiver<RuntimeEvent>,
        gateway: &mut mpsc::Receiver<GatewayMessage>,
    ) -> Result<(), Report<ChildError>> {
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticked_at = self.clock.now();
        loop {
            tokio::select! {
                biased;
                _ = ticker.tick() => {
                    let now = self.clock.now();
                    self.gateway.set_node_count(self.node.member_count());
                    let lateness = now - ticked_at - Micros::from_millis(TICK_INTERVAL.as_millis() as u64);
                    self.gateway.set_lag(lateness);
                    self.lag.ticker.record(lateness.duration());
                    ticked_at = now;
                    if self.node.reports_usage() && self.wall_clock_ticker.due(now) {
                        self.handle(Event::WallClock { unix: wall_clock::unix_now() });
                    }
                    self.handle(Event::Tick);
                    self.gateway.set_routes_suspect(self.node.suspects_configuration());
                    self.log_decisions();
                    if let Some(line) = self.costs.due_line(Instant::now(), self.node.counts()) {
                        log::info!(target: LOG_TARGET, "{line}");
                    }
                }
                // The node's own calls are few and a client waits for each, so they go before peer messages.
                message = gateway.recv() => match message {
                    Some(message) => self.handle_gateway_message(message),
                    None => return Ok(()),
                },
                event = inbox.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return Ok(()),
                },
                event = bulk_inbox.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return Ok(()),
                },
            }
        }
    }

    /// Logs new decisions at debug level.
    fn log_decisions(&mut self) {
        if !log::log_enabled!(target: LOG_TARGET, log::Level::Debug) {
            return;
        }
        for line in self.node.decisions_after(self.last_logged_decision) {
            self.last_logged_decision = line.sequence;
            log::debug!(target: LOG_TARGET, "{}", line.line.0);
        }
    }

    fn handle_event(&mut self, event: RuntimeEvent) {
        self.last_request += 1;
        let request = self.last_request;
        match event {
            RuntimeEvent::Received { envelope, at } => {
                let (name, waited) = (envelope.message.name(), at.elapsed());
                match envelope.message.priority() {
                    Priority::Urgent => self.lag.urgent_inbox.record(waited),
                    Priority::Bulk => self.lag.bulk_inbox.record(waited),
                }
                if waited > envelope.message.valid_for() {
                    self.links.count_stale();
                    self.costs.record_stale(name);
                    return;
                }
                self.costs.record_received(name, waited);
                self.handle(Event::Received(envelope));
            }
            RuntimeEvent::DiskDone { token, is_synced } => self.handle(Event::DiskDone { token, is_synced }),
            RuntimeEvent::Protocol(event) => self.handle(event),
            RuntimeEvent::Change { change, reply } => {
                self.change_replies.insert(request, reply);
                self.handle(Event::ChangeRequested { request, change });
            }
            RuntimeEvent::Decisions { after, limit, reply } => {
                self.decision_replies.insert(request, reply);
                self.handle(Event::DecisionsRequested { request, after, limit });
            }
            RuntimeEvent::Status { reply } => {
                let _ = reply.send(self.node.status(self.clock.now()));
            }
            RuntimeEvent::RedirectTarget { bytes, reply } => {
                let _ = reply.send(self.node.redirect_target(bytes));
            }
            RuntimeEvent::PlatformAddressChanged { address } => {
                self.platform = self.platform.with_address(address)
            }
            RuntimeEvent::ConfirmedConfiguration { reply } => {
                self.configuration_replies.insert(request, reply);
                self.handle(Event::ConfigurationRequested { request });
            }
            RuntimeEvent::Drain => self.handle(Event::Drain),
        }
    }

    fn handle_gateway_message(&mut self, message: GatewayMessage) {
        match message {
            GatewayMessage::RequestPermit { call, parameters, reply } => {
                self.permit_replies.insert(call, reply);
                self.handle(Event::CallNeedsPermit { call, parameters });
            }
            GatewayMessage::End { call } => {
                self.permit_replies.remove(&call);
                self.handle(Event::CallEnds { call });
            }
            GatewayMessage::Done { permit, outcome, latency } => {
                self.handle(Event::PermitDone { permit, outcome, latency });
            }
        }
    }

    /// Passes an event to the node and performs the resulting actions until none is left.
    pub fn handle(&mut self, event: Event) {
        let category = cost_category(&event);
        let started_at = Instant::now();
        self.process(event);
        self.costs.record_time(category, started_at.elapsed());
    }

    fn process(&mut self, event: Event) {
        let mut pending = vec![event];
        while let Some(event) = pending.pop() {
            for action in self.node.handle(event, self.clock.now()) {
                pending.extend(self.perform(action));
            }
        }
    }

    /// Performs an action. Returns an event if it failed immediately.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { address, to, message } => {
                let name = message.name();
                let priority = message.priority();
                let created_at = Instant::now();
                let valid_until = created_at + message.valid_for();
                let envelope = Envelope {
                    fleet: self.fleet,
                    from: self.own_node,
                    from_address: self.own_address,
                    to,
                    message,
                };
                match envelope.frame() {
                    Some(bytes) => {
                        self.costs.record_sent(name, bytes.len(), self.node.is_local_address(address));
                        self.links.send(address, OutgoingFrame { bytes, priority, created_at, valid_until });
                    }
                    None => {
                        log::error!(target: LOG_TARGET, "dropped a {name} message that exceeds the frame limit")
                    }
                }
            }
            Action::WriteDisk { token, records, is_rewrite } => {
                let work = DiskWork { token, records, is_rewrite };
                let is_submitted = self.disk.as_ref().is_some_and(|disk| disk.submit(work));
                if !is_submitted {
                    return Some(Event::DiskDone { token, is_synced: false });
                }
            }
            Action::List => {
                let platform = self.platform.clone();
                self.spawn(async move {
                    match platform.list().await {
                        Some((workers, instances)) => Event::Listed { workers, instances },
                        None => Event::ListFailed,
                    }
                });
            }
            Action::Start { start_id, function, worker, memory_mb, leader_epoch } => {
                let platform = self.platform.clone();
                let stamp = OperationStamp { holder: self.node_name.clone(), fence: leader_epoch };
                self.spawn(async move {
                    let start = StartDocument { start_id, function, worker, memory_mb };
                    let start_id = start.start_id.clone();
                    let result = match platform.start(stamp, start).await {
                        StartResponse::Started(started) => {
                            StartResult::Started { instance: started.instance, address: started.address }
                        }
                        StartResponse::NoRoom => StartResult::NoRoom,
                        StartResponse::Throttled => StartResult::Throttled,
                        StartResponse::Unknown => StartResult::Unknown,
                    };
                    Event::StartDone { start_id, result }
                });
            }
            Action::Stop { instance, leader_epoch } => {
                let platform = self.platform.clone();
                let stamp = OperationStamp { holder: self.node_name.clone(), fence: leader_epoch };
                self.spawn(async move {
                    let result = match platform.stop(stamp, instance.clone()).await {
                        StopResponse::Stopped => StopResult::Stopped,
                        StopResponse::Throttled => StopResult::Throttled,
                        StopResponse::Unknown => StopResult::Unknown,
                    };
                    Event::StopDone { instance, result }
                });
            }
            Action::ReportUsage { report, fence } => {
                let platform = self.platform.clone();
                let stamp = OperationStamp { holder: self.node_name.clone(), fence };
                let window = report.window;
                let counts = report
                    .counts
                    .0
                    .into_iter()
                    .map(|reported| (reported.tenant.0, u64::from(reported.count)));
                let usage = UsageDocument { window, counts: counts.collect() };
                self.spawn(async move {
                    let result = match platform.report_usage(stamp, usage).await {
                        UsageResponse::Accepted => UsageResult::Accepted,
                        UsageResponse::Fenced => UsageResult::Fenced,
                        UsageResponse::Throttled => UsageResult::Throttled,
                        UsageResponse::Unknown => UsageResult::Unknown,
                    };
                    Event::UsageReported { window, fence, result }
                });
            }
            Action::CallGranted { call, permit } => {
                let reply = self.permit_replies.remove(&call);
                let is_receiver_gone = match reply {
                    Some(reply) => reply.send(PermitResponse::Granted(permit.clone())).is_err(),
                    None => true,
                };
                if is_receiver_gone {
                    return Some(Event::PermitDone {
                        permit,
                        outcome: function_scheduler::UNUSED,
                        latency: Micros(0),
                    });
                }
            }
            Action::CallRefused { call, refused_as, reason, retry_after } => {
                if let Some(reply) = self.permit_replies.remove(&call) {
                    let _ = reply.send(PermitResponse::Refused {
                        is_full: reason == "waitlist full",
                        is_missing: refused_as == RefusedAs::NoFunction,
                        reason,
                        retry_after,
                    });
                }
            }
            Action::ConfigurationApplied { generation, configuration, deltas } => {
                log::info!(target: LOG_TARGET, "configuration generation {generation} is in force");
                self.gateway.apply_changed_configuration(generation, &configuration, &deltas);
            }
            Action::InstanceHosts { hosts } => self.gateway.set_instance_hosts(hosts),
            Action::ChangeCompleted { request, outcome, .. } => {
                if let Some(reply) = self.change_replies.remove(&request) {
                    let _ = reply.send(outcome);
                }
            }
            Action::ConfigurationRead { request, response } => {
                if let Some(reply) = self.configuration_replies.remove(&request) {
                    let _ = reply.send(response);
                }
            }
            Action::DecisionsRead { request, lines, cursor } => {
                if let Some(reply) = self.decision_replies.remove(&request) {
                    let _ = reply.send(DecisionsReply { lines, cursor });
                }
            }
            Action::Ready => {
                log::info!(target: LOG_TARGET, "ready");
                self.gateway.mark_routes_current();
                self.flags.ready.store(true, Ordering::Relaxed);
            }
            Action::Drained => self.flags.drained.store(true, Ordering::Relaxed),
        }
        None
    }

    fn spawn(&self, work: impl std::future::Future<Output = Event> + 'static) {
        let inbox = self.inbox_sender.clone();
        actix_rt::spawn(async move {
            let event = work.await;
            let _ = inbox.send(RuntimeEvent::Protocol(event)).await;
        });
    }
}

/// The category of the `control_costs` line under which an event's processor time is counted.
fn cost_category(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Received(envelope) => envelope.message.name(),
        Event::CallNeedsPermit { .. } | Event::CallEnds { .. } | Event::PermitDone { .. } => "own calls",
        Event::DiskDone { .. }
        | Event::DiskUnsynced
        | Event::DiskUnusable { .. }
        | Event::DiskQuarantined => "disk",
        Event::Listed { .. } | Event::ListFailed => "list",
        Event::UsageReported { .. } | Event::WallClock { .. } => "usage",
        Event::StartDone { .. } | Event::StopDone { .. } => "starts and stops",
        Event::ChangeRequested { .. }
        | Event::ConfigurationRequested { .. }
        | Event::DecisionsRequested { .. } => "operators",
        Event::Drain | Event::SeedsChanged { .. } => "other",
    }
}
