//! A leader's work for one function: requests, permits, instances and their number.

mod fair_order;
mod handover;
mod instance;

use crate::retry_budget::{RetryBudget, RetryLimits};
use crate::start_ids::StartIds;
use crate::zone::{WorkerZones, Zone, ZoneCalls};
use crate::{
    ABANDONED, CostModel, InstanceDemand, InstanceShape, NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN, UNUSED,
};
use fair_order::{FairOrder, RETRY_TAG};
use instance::{FIRST_LIMIT_PERIOD, Instance, Phase, apply_outcome, updated_boot_estimate, updated_latency};
use monotonic_clock::Micros;
use peer_messages::{Address, NodeId, Permit};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

pub use handover::{HandoverState, TransferredRequest};

/// Settings of the function from the configuration. Example: `SchedulerSettings { calls_at_once: 4, .. }`.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Calls one instance may run at once.
    pub calls_at_once: u32,
    /// The configured boot time; used until a better estimate is learnt.
    pub boot: Micros,
    /// How long surplus instances may idle; without it the cost model decides.
    pub idle: Option<Micros>,
    /// Memory of one instance in megabytes.
    pub memory_mb: u64,
    /// The target response time, if a route names one.
    pub target: Option<Micros>,
    /// The relative costs of instances, starts and late responses.
    pub costs: CostModel,
    /// Instances kept even when idle.
    pub min_instances: u32,
    /// The largest number of instances.
    pub max_instances: u32,
    /// The largest number of queued calls.
    pub queue_limit: usize,
}

/// An instance known to run, as published to peers for their fallback schedulers.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyInstance {
    /// The platform's id.
    pub id: String,
    /// The address it listens on.
    pub address: SocketAddr,
}

/// An instance as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedInstance {
    /// The platform's id.
    pub id: String,
    /// Its function.
    pub function: String,
    /// Its worker.
    pub worker: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its memory.
    pub memory_mb: u64,
    /// The instance or its worker is draining.
    pub draining: bool,
    /// The platform reports its boot as finished; otherwise it may still be booting.
    pub started: bool,
}

/// The outcome of a start. Example: `StartOutcome::NoRoom`.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The platform created the instance.
    Started { instance: String, address: SocketAddr, worker: String },
    /// No worker has room, or the operation was throttled: the start is dropped for now.
    NoRoom,
}

/// Why a request is deferred or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It is queued; the requester repeats the request so that both sides know the other is alive.
    Waiting,
    /// It is refused for good.
    Refused,
    /// This node is not, or no longer, the leader.
    NotLeader,
}

/// Instances for which a function claims memory.
/// Example: `DemandedInstances { needed: 2, warm: 1, spare: 0 }`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandedInstances {
    /// Needed for current calls.
    pub needed: u32,
    /// Further instances that keep responses in time at the current call rate.
    pub warm: u32,
    /// Kept ready although the function was not called yet.
    pub spare: u32,
}

impl DemandedInstances {
    /// The sum of the three. Example: `demanded.total() == 3`.
    pub fn total(&self) -> u32 {
        self.needed + self.warm + self.spare
    }
}

/// Actions for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Send the requester its permit; `is_remote` if the instance runs in another zone than the requester.
    Grant { requester: NodeId, request_id: u64, permit: Permit, is_remote: bool },
    /// Notify the requester that its request is queued or refused.
    Defer {
        requester: NodeId,
        request_id: u64,
        deferral: Deferral,
        reason: &'static str,
        retry_after: Micros,
    },
    /// Start an instance under this start id, in this zone if it has room. Repeating a start id starts
    /// nothing twice. `is_spare` if the function was not called yet.
    Start { start_id: String, zone: Zone, is_spare: bool },
    /// Stop an instance that no call uses any more.
    Stop { instance: String },
    /// The set of instances known to run has changed.
    ReadyChanged,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    requester: NodeId,
    request_id: u64,
    dispatches: u32,
    ends_at: Micros,
    seen_at: Micros,
    avoid: String,
    urgency: Urgency,
    /// Its start tag among requests of the same class; see [`fair_order`].
    start_tag: u64,
    zone: Zone,
}

/// Further properties of a request. Example: `RequestDetails { avoid: "c1", ..RequestDetails::default() }`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDetails<'a> {
    /// The instance on which the call's last dispatch failed; empty for none.
    pub avoid: &'a str,
    /// The call's urgency.
    pub urgency: Urgency,
    /// The requester's zone.
    pub zone: Zone,
}

/// What a gateway passes with a call that needs a permit from a leader or fallback scheduler.
/// Example: see `node_protocol::Event::CallNeedsPermit`.
#[derive(Clone, Debug)]
pub struct PermitParameters {
    /// The function.
    pub function: String,
    /// Time left until the call's deadline.
    pub time_left: Micros,
    /// Dispatches of the call so far.
    pub dispatches: u32,
    /// The instance on which the last dispatch failed; empty for none.
    pub avoid: String,
    /// Time left until the response is late, if the call's route names a target.
    pub target_left: Option<Micros>,
    /// Lower ranks go first.
    pub rank: u16,
    /// The calling tenant, if any.
    pub tenant: Option<Arc<str>>,
    /// A running call made this call and holds a slot until it is answered.
    pub is_nested: bool,
}

/// Determines the order of queued calls. Example: `Urgency::default()` if the route sets nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// A response after this time is late.
    pub late_at: Micros,
    /// Lower ranks go first.
    pub rank: u16,
    /// Hash of the calling tenant; zero for none.
    pub tenant: u32,
    /// A running call made this call and holds a slot until it is answered, so it goes before all others.
    pub is_nested: bool,
}

impl Default for Urgency {
    fn default() -> Urgency {
        Urgency { late_at: Micros(u64::MAX), rank: 0, tenant: 0, is_nested: false }
    }
}

#[derive(Clone, Debug)]
struct OpenPermit {
    instance: String,
    requester: NodeId,
    request_id: u64,
    /// Dispatches of the call before this permit's.
    dispatches: u32,
    /// When this leader granted it; none if another node did.
    granted_at: Option<Micros>,
    ends_at: Micros,
    permit: Permit,
    /// The requester is done with it, but the instance may still be working on the call.
    is_over: bool,
}

/// A leader's state for one function. Example: `FunctionScheduler::new("proof", 7, 12, settings, now)`.
#[derive(Debug)]
pub struct FunctionScheduler {
    function: String,
    own: NodeId,
    leader_epoch: u64,
    settings: SchedulerSettings,
    instances: BTreeMap<String, Instance>,
    queue: VecDeque<QueuedRequest>,
    fair_order: FairOrder,
    open: BTreeMap<u64, OpenPermit>,
    by_request: BTreeMap<(NodeId, u64), u64>,
    /// Where calls come from, and the zones of the workers.
    zone_calls: ZoneCalls,
    worker_zones: Arc<WorkerZones>,
    /// The instance last granted to each requester, which may still have a connection to it.
    last_instances: BTreeMap<NodeId, String>,
    /// Starts in progress: when each was requested, and in which zone.
    starting: BTreeMap<String, (Micros, Zone)>,
    /// Instances that the quota split allows; none before the first split since this leader started.
    allowed_instances: Option<u32>,
    /// Until then, discovered instances count as called: the previous leader kept them for calls this leader
    /// has not seen.
    discovered_until: Micros,
    next_permit: u64,
    start_ids: StartIds,
    awaited_holders: Vec<NodeId>,
    half_limit_until: Micros,
    quarter_limit_until: Micros,
    boot_estimate: Micros,
    retries: RetryBudget,
    peak: (u32, u32),
    peak_rotated_at: Micros,
    demand: InstanceDemand,
    /// Instances that the cost model wants now, and those it keeps.
    cost_model_instances: (u32, u32),
    no_room_until: Micros,
    refused_busy: VecDeque<Micros>,
    /// Limit on concurrent calls of the whole function, and until when it applies.
    call_limit: (usize, Micros),
    paused_until: Micros,
    /// Busy refusals since the last response; the pause grows with them.
    refused_busy_in_row: u32,
    /// The first platform list is outstanding: unknown instances may be running.
    awaits_first_list: bool,
    usual_latency: Micros,
    /// Calls that timed out since the last response, each after more than the usual latency.
    slow_in_row: u32,
    /// Whether the usual latency was learnt from a response.
    knows_latency: bool,
    /// Since when calls have been queued without a start for them.
    waiting_since: Option<Micros>,
    /// When it was last called, or this leader started.
    called_at: Micros,
    ticked_at: Micros,
    actions: Vec<SchedulerAction>,
}

/// A function without a call for this long counts as idle.
const IDLE_AFTER: Micros = Micros::from_secs(5);
/// A new leader starts nothing for a function that was not called yet until demand has spread to all nodes.
const SPARE_DELAY: Micros = Micros::from_secs(2);
/// The target response time if no route names one.
const DEFAULT_TARGET: Micros = Micros::from_secs(1);
/// The shortest time for which a new leader keeps discovered instances.
const DISCOVERED_RETENTION: Micros = Micros::from_secs(4);
const LIMIT_RECOVERY_INTERVAL: Micros = Micros::from_millis(300);
/// This many busy refusals within [`REFUSED_BUSY_WINDOW`] limit the whole function to the calls it has.
const REFUSED_BUSY_LIMIT: usize = 3;
const REFUSED_BUSY_WINDOW: Micros = Micros::from_secs(5);
/// Gives other senders' calls on the instances time to end.
const REFUSED_BUSY_PAUSE: Micros = Micros::from_millis(150);
const LIST_TIMEOUT: Micros = Micros::from_secs(10);
const STOP_RETRY_INTERVAL: Micros = Micros::from_secs(8);
const REQUEST_EXPIRY: Micros = Micros::from_millis(1_500);
const START_TIMEOUT: Micros = Micros::from_secs(10);
/// A returned peer reports its permits within one message delay; it is not awaited longer than this.
const RETURNED_PEER_TIMEOUT: Micros = Micros::from_secs(1);
const OPEN_LIMIT: usize = 20_000;
/// A requester's last instance is preferred if it has at most this many calls more than the least loaded one.
const LAST_INSTANCE_EXTRA_CALLS: u32 = 1;
/// Requesters whose last instance is remembered.
const LAST_INSTANCES_LIMIT: usize = 8_192;
/// Retries that may wait while a new leader's retry budget fills up, by one each 0.6 s.
const RETRIES_WAITING_LIMIT: usize = 4;
const RETRIES_EXHAUSTED: &str = "extra dispatches used up";
const TOO_LATE: &str = "no cell would be free in the time left";
const MIN_SLOT_RETENTION: Micros = Micros::from_millis(100);
const MAX_SLOT_RETENTION: Micros = Micros::from_secs(3);

impl FunctionScheduler {
    /// Creates a new leader's state. Until every node in `awaited_holders` has reported the permits it holds,
    /// or the time for that is over, instances are used up to half of their limit.
    /// Example: `FunctionScheduler::new("proof", 7, 12, settings, others, now)`.
    pub fn new(
        function: &str,
        own: NodeId,
        leader_epoch: u64,
        settings: SchedulerSettings,
        awaited_holders: Vec<NodeId>,
        now: Micros,
    ) -> FunctionScheduler {
        FunctionScheduler {
            function: function.to_owned(),
            own,
            leader_epoch,
            boot_estimate: settings.boot,
            settings,
            instances: BTreeMap::new(),
            queue: VecDeque::new(),
            fair_order: FairOrder::default(),
            open: BTreeMap::new(),
            by_request: BTreeMap::new(),
            zone_calls: ZoneCalls::default(),
            worker_zones: Arc::default(),
            last_instances: BTreeMap::new(),
            starting: BTreeMap::new(),
            allowed_instances: None,
            discovered_until: Micros(0),
            next_permit: 0,
            start_ids: StartIds::new(function, leader_epoch),
            awaited_holders,
            half_limit_until: now + Micros::from_secs(4),
            quarter_limit_until: Micros(0),
            retries: RetryBudget::new(RetryLimits::default(), now),
            peak: (0, 0),
            peak_rotated_at: now,
            demand: InstanceDemand::new(now),
            cost_model_instances: (0, 0),
            no_room_until: Micros(0),
            refused_busy: VecDeque::new(),
            call_limit: (usize::MAX, Micros(0)),
            paused_until: Micros(0),
            refused_busy_in_row: 0,
            awaits_first_list: false,
            usual_latency: Micros::from_millis(50),
            slow_in_row: 0,
            knows_latency: false,
            waiting_since: None,
            called_at: now,
            ticked_at: now,
            actions: Vec::new(),
        }
    }

    /// The epoch under which this leader acts. Example: `scheduler.leader_epoch()`.
    pub fn leader_epoch(&self) -> u64 {
        self.leader_epoch
    }

    /// Sets the retry limits; called before the first request.
    /// Example: `scheduler.set_retry_limits(RetryLimits::default(), now)`.
    pub fn set_retry_limits(&mut self, limits: RetryLimits, now: Micros) {
        self.retries = RetryBudget::new(limits, now);
    }

    /// Applies changed settings. Example: `scheduler.update_settings(settings)`.
    pub fn update_settings(&mut self, settings: SchedulerSettings) {
        self.settings = settings;
    }

    /// Prevents starts before this time, while the running instances are not known yet.
    /// Example: `scheduler.hold_starts(now + Micros::from_secs(1))`.
    pub fn hold_starts(&mut self, until: Micros) {
        self.no_room_until = until;
        self.awaits_first_list = true;
    }

    /// Sets how many instances the quota allows this function. Example: `scheduler.set_allowed_instances(3)`.
    pub fn set_allowed_instances(&mut self, instance_count: u32) {
        self.allowed_instances = Some(instance_count);
    }

    /// Instances wanted for the current calls, at most what the settings allow.
    /// Example: three for nine calls on instances of four calls at once.
    pub fn wanted_instances(&self) -> u32 {
        let calls_at_once = self.settings.calls_at_once;
        // A start pays off if calls would wait for a quarter of a boot: short calls that arrive together are
        // served by few instances before more of them run.
        let waiting_instances = self.instances_to_serve_within(Micros(self.boot_estimate.0 / 4));
        let open_instances = (self.open.len() as u32).div_ceil(calls_at_once);
        let needed_instances = waiting_instances.max(open_instances).max(self.cost_model_instances.0);
        needed_instances.max(self.settings.min_instances).min(self.settings.max_instances)
    }

    /// Instances that complete all current calls within a time at the usual latency.
    fn instances_to_serve_within(&self, span: Micros) -> u32 {
        let is_latency_known = self.knows_latency || self.settings.idle.is_none();
        let rounds = if is_latency_known { span.0 / self.usual_latency.0.max(1) } else { 0 };
        let calls_each = u64::from(self.settings.calls_at_once) * (1 + rounds);
        u64::from(self.needed_calls()).div_ceil(calls_each) as u32
    }

    /// Instances to claim memory for: wanted now, used within the last idle period, or worth their memory;
    /// classified by how urgently calls need them.
    /// Example: `scheduler.demanded_instances().total() >= scheduler.wanted_instances()`.
    pub fn demanded_instances(&self) -> DemandedInstances {
        let kept_instances = match self.settings.idle {
            Some(_) => self.peak.0.max(self.peak.1).div_ceil(self.settings.calls_at_once),
            None => self.cost_model_instances.1,
        };
        let total = kept_instances.min(self.settings.max_instances).max(self.wanted_instances());
        let needed = match self.settings.idle {
            Some(_) => total,
            None => self.instances_for_calls().min(total),
        };
        let rest = total - needed;
        match self.is_called() {
            true => DemandedInstances { needed, warm: rest, spare: 0 },
            false => DemandedInstances { needed, warm: 0, spare: rest },
        }
    }

    /// Instances that the calls of now and of the last seconds occupy, without those that only reduce
    /// latency.
    fn instances_for_calls(&self) -> u32 {
        let waiting_instances = self.instances_to_serve_within(Micros(self.boot_estimate.0 / 4));
        let loaded_instances = (self.demand.load() / f64::from(self.settings.calls_at_once)).ceil() as u32;
        waiting_instances.max(loaded_instances).max(self.settings.min_instances)
    }

    /// Whether the function was called, or has open calls or instances from a previous leader.
    fn is_called(&self) -> bool {
        let is_discovered = self.ticked_at < self.discovered_until;
        self.settings.idle.is_some() || self.demand.is_called() || self.needed_calls() > 0 || is_discovered
    }

    /// Instances it may have now. A called function gets one as soon as a worker has room for it.
    fn allowed_instances(&self) -> u32 {
        self.allowed_instances.unwrap_or(0).max(u32::from(self.is_called()))
    }

    /// Instances it may keep. Before the first quota split, all running instances are kept.
    fn keepable_instances(&self) -> u32 {
        self.allowed_instances.map_or(u32::MAX, |_| self.allowed_instances())
    }

    /// Sets the time since when calls of any function have been seen here.
    /// Example: `scheduler.set_traffic_since(Some(now))`.
    pub fn set_traffic_since(&mut self, since: Option<Micros>) {
        self.demand.set_traffic_since(since);
    }

    /// Nodes that have not yet reported the permits they hold. Example: `scheduler.awaited_holders().is_empty()`.
    pub fn awaited_holders(&self) -> &[NodeId] {
        &self.awaited_holders
    }

    /// Instances that are not draining, and starts in progress. Example: `scheduler.instance_count()`.
    pub fn instance_count(&self) -> u32 {
        (self.usable_instances().count() + self.starting.len()) as u32
    }

    /// Whether it has an instance that is not draining. Example: the first one may go where others may not.
    pub fn has_instances(&self) -> bool {
        self.usable_instances().next().is_some()
    }

    /// Instances still to be started and starts in progress, for the split of the start rate.
    /// Example: `scheduler.wanted_operations()`.
    pub fn wanted_operations(&self) -> u32 {
        self.wanted_instances().saturating_sub(self.instance_count()) + self.starting.len() as u32
    }

    /// Queued calls. Example: `scheduler.waiting_count()`.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Requested calls per second, each call counted once, or the rate of the last half second if that is
    /// higher.
    /// Example: `scheduler.call_rate(now)`.
    pub fn call_rate(&self, now: Micros) -> f64 {
        self.demand.peak_rate(now)
    }

    /// Open permits. Example: `scheduler.open_count()`.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether it was not called for a while and nothing is in progress for it. Example: `scheduler.is_idle(now)`.
    pub fn is_idle(&self, now: Micros) -> bool {
        let is_busy = self.needed_calls() > 0 || !self.starting.is_empty();
        !is_busy && now >= self.called_at + IDLE_AFTER
    }

    /// The instances known to run, for the fallback scheduler. Example: `scheduler.ready_instances().len()`.
    pub fn ready_instances(&self) -> Vec<ReadyInstance> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.phase == Phase::Ready)
            .map(|(id, instance)| ReadyInstance { id: id.clone(), address: instance.address })
            .collect()
    }

    /// Drains the actions since the last call. Example: `for action in scheduler.take_actions() { .. }`.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    fn needed_calls(&self) -> u32 {
        (self.open.len() + self.queue.len()) as u32
    }

    fn usable_instances(&self) -> impl Iterator<Item = (&String, &Instance)> {
        self.instances.iter().filter(|(_, instance)| !matches!(instance.phase, Phase::Draining { .. }))
    }

    /// Handles a node's permit request; repeating a request is always safe.
    /// Example: `scheduler.request(9, 1, Micros::from_secs(4), 0, "", now)`.
    pub fn request(
        &mut self,
        requester: NodeId,
        request_id: u64,
        time_left: Micros,
        dispatches: u32,
        avoid: &str,
        now: Micros,
    ) {
        let details = RequestDetails { avoid, ..RequestDetails::default() };
        self.request_with_details(requester, request_id, time_left, dispatches, details, now);
    }

    /// The same with the call's urgency and the requester's zone.
    /// Example: `scheduler.request_with_details(9, 1, Micros::from_secs(4), 0, RequestDetails::default(), now)`.
    pub fn request_with_details(
        &mut self,
        requester: NodeId,
        request_id: u64,
        time_left: Micros,
        dispatches: u32,
        RequestDetails { avoid, urgency, zone }: RequestDetails,
        now: Micros,
    ) {
        let is_retry = dispatches > 0;
        if let Some(permit_id) = self.by_request.get(&(requester, request_id)).copied()
            && let Some(open_permit) = self.open.get_mut(&permit_id)
        {
            if open_permit.dispatches >= dispatches {
                let permit = open_permit.permit.clone();
                self.actions.push(SchedulerAction::Grant { requester, request_id, permit, is_remote: false });
                return;
            }
            // The call's previous dispatch has ended, but its return is late or lost. A permit is never
            // granted for two dispatches; the old slot is freed when the return arrives.
            self.by_request.remove(&(requester, request_id));
        }
        if let Some(waiting) = self
            .queue
            .iter_mut()
            .find(|waiting| (waiting.requester, waiting.request_id) == (requester, request_id))
        {
            waiting.seen_at = now;
            self.defer(requester, request_id, Deferral::Waiting, "waiting", Micros(0));
            return;
        }
        if !is_retry {
            self.demand.record_call(now);
            self.called_at = now;
            self.zone_calls.record_call(zone, now);
        }
        let retries_waiting = self.queue.iter().filter(|waiting| waiting.dispatches > 0).count();
        let may_wait = self.retries.is_in_first_window(now) && retries_waiting < RETRIES_WAITING_LIMIT;
        if is_retry && !may_wait && !self.retries.may_spend(now) {
            self.defer(requester, request_id, Deferral::Refused, RETRIES_EXHAUSTED, Micros::from_secs(1));
            return;
        }
        // Refusing a nested call fails its caller, whose work is then lost: such calls get twice the queue
        // length.
        let queue_limit = self.settings.queue_limit * if urgency.is_nested { 2 } else { 1 };
        let start_tag = if is_retry { RETRY_TAG } else { self.fair_order.next(&self.queue, &urgency) };
        let waiting = QueuedRequest {
            requester,
            request_id,
            dispatches,
            ends_at: now + time_left,
            seen_at: now,
            avoid: avoid.to_owned(),
            urgency,
            start_tag,
            zone,
        };
        let is_full = self.queue.len() >= queue_limit || self.open.len() >= OPEN_LIMIT;
        if is_full && !self.make_room(&waiting) {
            self.refuse_for_room(requester, request_id);
            return;
        }
        match is_retry {
            // A retry has already waited for its first dispatch.
            true => self.queue.push_front(waiting),
            false => self.queue.push_back(waiting),
        }
        self.serve(now);
        self.start_wanted(now);
        if self.queue.iter().any(|waiting| (waiting.requester, waiting.request_id) == (requester, request_id))
        {
            self.defer(requester, request_id, Deferral::Waiting, "waiting", Micros(0));
        }
    }

    /// Makes room in a full queue by evicting a request; `false` if the new request is refused instead.
    fn make_room(&mut self, newcomer: &QueuedRequest) -> bool {
        if self.open.len() >= OPEN_LIMIT {
            return false;
        }
        let Some(index) = self.fair_order.replaced_by(&self.queue, newcomer) else { return false };
        let (refused_requester, refused_request) =
            (self.queue[index].requester, self.queue[index].request_id);
        self.drop_waiting(index);
        self.refuse_for_room(refused_requester, refused_request);
        true
    }

    fn refuse_for_room(&mut self, requester: NodeId, request_id: u64) {
        let retry_after = self.usual_latency + Micros::from_secs(1);
        self.defer(requester, request_id, Deferral::Refused, "waitlist full", retry_after);
    }

    /// Drops a queued request whose call has ended. Example: `scheduler.withdraw(9, 1)`.
    pub fn withdraw(&mut self, requester: NodeId, request_id: u64) {
        let index = self
            .queue
            .iter()
            .position(|waiting| (waiting.requester, waiting.request_id) == (requester, request_id));
        if let Some(index) = index {
            self.drop_waiting(index);
        }
    }

    /// Removes a request from the queue without serving it.
    fn drop_waiting(&mut self, index: usize) {
        if let Some(dropped) = self.queue.remove(index) {
            fair_order::close_gap(&mut self.queue, &dropped);
        }
    }

    fn defer(
        &mut self,
        requester: NodeId,
        request_id: u64,
        deferral: Deferral,
        reason: &'static str,
        retry_after: Micros,
    ) {
        self.actions.push(SchedulerAction::Defer { requester, request_id, deferral, reason, retry_after });
    }

    /// A retry is counted when it is granted, which may be seconds after its request.
    fn spend_retry(&mut self, now: Micros) -> bool {
        self.retries.spend(now)
    }

    /// Updates the retry budget from a permit's outcome: only a call known to have reached an instance counts
    /// as a call, and only a retry known not to have reached one is given back.
    fn count_arrival(&mut self, open_permit: &OpenPermit, outcome: u8) {
        let Some(granted_at) = open_permit.granted_at else { return };
        match outcome {
            RAN | REFUSED_BUSY if open_permit.dispatches == 0 => self.retries.record_call(granted_at),
            NOT_RUN | UNUSED if open_permit.dispatches > 0 => self.retries.refund_retry(granted_at),
            _ => {}
        }
    }

    /// Records permits that a node held when this leader took over.
    /// Example: `scheduler.record_held_permits(9, vec![(permit, Micros::from_secs(2))], now)`.
    pub fn record_held_permits(&mut self, node: NodeId, permits: Vec<(Permit, Micros)>, now: Micros) {
        self.awaited_holders.retain(|awaited_holder| *awaited_holder != node);
        self.drop_returned(node, &permits);
        for (permit, ends_in) in permits {
            let is_own = permit.granted_by == self.own && permit.leader_epoch == self.leader_epoch;
            if is_own || self.open.contains_key(&permit.id) {
                continue;
            }
            if let Some(instance) = self.instances.get_mut(&permit.instance.0) {
                instance.in_flight += 1;
            }
            let foreign_id = permit.id;
            let open_permit = OpenPermit {
                instance: permit.instance.0.clone(),
                requester: node,
                request_id: 0,
                dispatches: 0,
                granted_at: None,
                ends_at: now + ends_in,
                permit,
                is_over: false,
            };
            self.open.insert(foreign_id, open_permit);
        }
    }

    /// Handles a returned permit and the outcome of its call.
    /// Example: `scheduler.handle_permit_return(&permit, RAN, latency, now)`.
    pub fn handle_permit_return(&mut self, permit: &Permit, outcome: u8, latency: Micros, now: Micros) {
        let Some(mut open_permit) = self.open.remove(&permit.id) else { return };
        self.forget_request(&open_permit, permit.id);
        self.count_arrival(&open_permit, outcome);
        let mut ready_changed = false;
        let keeps_slot = matches!(outcome, UNKNOWN | ABANDONED) && !open_permit.is_over;
        if let Some(instance) = self.instances.get_mut(&open_permit.instance) {
            if !keeps_slot {
                instance.in_flight = instance.in_flight.saturating_sub(1);
            }
            ready_changed = apply_outcome(instance, outcome, now);
            if let Some(boot_started_at) = instance.boot_started_at {
                // An instance that died while booting must not raise the estimate without bound: calls would
                // be refused for a wait that the configured boot time does not justify.
                let longest_boot = Micros(self.settings.boot.0 * 2);
                let updated_estimate =
                    updated_boot_estimate(self.boot_estimate, (now - latency) - boot_started_at, outcome);
                self.boot_estimate = updated_estimate.min(longest_boot);
            }
            if outcome == RAN {
                instance.boot_started_at = None;
                self.refused_busy_in_row = 0;
                // Each response raises the function's limit by one call: the load from other senders may be
                // over.
                self.call_limit.0 = self.call_limit.0.saturating_add(1);
                self.knows_latency = true;
            }
            let is_slow = outcome == UNKNOWN && latency > self.usual_latency;
            self.slow_in_row = match outcome {
                RAN => 0,
                _ => self.slow_in_row + u32::from(is_slow),
            };
            self.usual_latency = updated_latency(self.usual_latency, latency, outcome, self.slow_in_row);
        }
        if ready_changed {
            self.actions.push(SchedulerAction::ReadyChanged);
        }
        if keeps_slot {
            // The instance may continue the call after the requester gave up on it: the slot stays in use for
            // as long as calls usually take.
            open_permit.is_over = true;
            let slot_retention = Micros((self.usual_latency.0 * 2).max(latency.0));
            open_permit.ends_at = now + slot_retention.clamp(MIN_SLOT_RETENTION, MAX_SLOT_RETENTION);
            self.open.insert(permit.id, open_permit);
        }
        if outcome == REFUSED_BUSY {
            self.note_refused_busy(now);
        }
        self.serve(now);
    }

    fn forget_request(&mut self, open_permit: &OpenPermit, permit_id: u64) {
        let request_key = (open_permit.requester, open_permit.request_id);
        if self.by_request.get(&request_key) == Some(&permit_id) {
            self.by_request.remove(&request_key);
        }
    }

    fn note_refused_busy(&mut self, now: Micros) {
        while self.refused_busy.front().is_some_and(|refused_at| now >= *refused_at + REFUSED_BUSY_WINDOW) {
            self.refused_busy.pop_front();
        }
        self.refused_busy.push_back(now);
        self.refused_busy_in_row += 1;
        if self.refused_busy.len() >= REFUSED_BUSY_LIMIT {
            self.refused_busy.pop_front();
            let previous_limit = if now < self.call_limit.1 { self.call_limit.0 } else { usize::MAX };
            self.call_limit = (self.open.len().clamp(1, previous_limit), now + REFUSED_BUSY_WINDOW);
            let doublings = self.refused_busy_in_row.saturating_sub(REFUSED_BUSY_LIMIT as u32).min(4);
            self.paused_until = now + Micros(REFUSED_BUSY_PAUSE.0 << doublings);
        }
    }

    /// Handles the return of an unreachable peer: the permits it used meanwhile are requested, and for a
    /// second instances are used up to a quarter of their limit.
    /// Example: `scheduler.peer_returned(9, now)`.
    pub fn peer_returned(&mut self, node: NodeId, now: Micros) {
        if !self.awaited_holders.contains(&node) {
            self.awaited_holders.push(node);
        }
        self.half_limit_until = self.half_limit_until.max(now + RETURNED_PEER_TIMEOUT);
        // Other peers from the other side of the same partition may not be known to be back yet.
        self.quarter_limit_until = now + RETURNED_PEER_TIMEOUT;
    }

    /// Updates the instances from the platform's list; `listed_at` is when the list was requested.
    /// Example: `scheduler.handle_list(&instances, &known_ready, requested_at, now)`.
    pub fn handle_list(
        &mut self,
        listed_instances: &[ListedInstance],
        known_ready: &[String],
        listed_at: Micros,
        now: Micros,
    ) {
        let mut ready_changed = false;
        for listed_instance in listed_instances {
            if let Some(instance) = self.instances.get_mut(&listed_instance.id) {
                instance.listed = true;
                if listed_instance.started
                    && instance.boot_started_at.is_some()
                    && !matches!(instance.phase, Phase::Draining { .. })
                {
                    // It is known to run; no trial call is needed.
                    instance.boot_started_at = None;
                    if matches!(instance.phase, Phase::Unproven { .. }) {
                        instance.phase = Phase::Ready;
                    }
                    ready_changed = true;
                }
                if listed_instance.draining && !matches!(instance.phase, Phase::Draining { .. }) {
                    instance.phase = Phase::Draining { stop_sent: None };
                    ready_changed = true;
                }
                continue;
            }
            // A discovered instance already runs the calls of permits that other nodes reported.
            let in_flight =
                self.open.values().filter(|permit| permit.instance == listed_instance.id).count() as u32;
            let phase = match (
                listed_instance.draining,
                listed_instance.started || known_ready.contains(&listed_instance.id),
            ) {
                (true, _) => Phase::Draining { stop_sent: None },
                (false, true) => Phase::Ready,
                (false, false) => Phase::Unproven { trial_at: now },
            };
            let adopted_instance = Instance {
                address: listed_instance.address,
                worker: listed_instance.worker.clone(),
                phase,
                in_flight,
                boot_started_at: None,
                first_seen_at: now,
                listed: true,
                errors_in_row: 0,
                limit: u32::MAX,
                limited_until: Micros(0),
                limit_period: FIRST_LIMIT_PERIOD,
            };
            self.instances.insert(listed_instance.id.clone(), adopted_instance);
            ready_changed = true;
            // The previous leader kept these instances for calls that this one has not seen: they count as
            // needed for one idle period.
            let usable_count = self.usable_instances().count() as u32;
            self.peak.0 = self.peak.0.max(usable_count * self.settings.calls_at_once);
            self.hold_instances(usable_count, now);
            self.discovered_until = now + DISCOVERED_RETENTION;
        }
        // From now on the running instances are known.
        if std::mem::take(&mut self.awaits_first_list) {
            self.no_room_until = Micros(0);
        }
        let is_listed = |id: &str| listed_instances.iter().any(|listed_instance| listed_instance.id == id);
        let instance_count = self.instances.len();
        // An instance is gone once it was listed and no longer is; a new one may appear in the list with a
        // delay.
        self.instances.retain(|id, instance| {
            is_listed(id)
                || (!instance.listed && listed_at < instance.first_seen_at + LIST_TIMEOUT)
                || listed_at < instance.first_seen_at
        });
        if ready_changed || instance_count != self.instances.len() {
            self.actions.push(SchedulerAction::ReadyChanged);
        }
        self.serve(now);
    }

    /// Drains instances on unusable workers, including booting instances that no list shows yet.
    /// Example: `scheduler.evacuate_workers(|worker| placement.is_usable(worker), now)`.
    pub fn evacuate_workers(&mut self, is_usable: impl Fn(&str) -> bool, now: Micros) {
        let mut ready_changed = false;
        for instance in self.instances.values_mut() {
            if !matches!(instance.phase, Phase::Draining { .. }) && !is_usable(&instance.worker) {
                instance.phase = Phase::Draining { stop_sent: None };
                ready_changed = true;
            }
        }
        if ready_changed {
            self.actions.push(SchedulerAction::ReadyChanged);
            self.start_wanted(now);
        }
    }

    /// Handles the outcome of a start.
    /// Example: `scheduler.handle_start_outcome("7-12-1", StartOutcome::NoRoom, now)`.
    pub fn handle_start_outcome(&mut self, start_id: &str, outcome: StartOutcome, now: Micros) {
        if self.starting.remove(start_id).is_none() {
            return;
        }
        match outcome {
            StartOutcome::Started { instance, address, worker } => {
                let started_instance = Instance {
                    address,
                    worker,
                    phase: Phase::Unproven { trial_at: now + self.first_trial() },
                    in_flight: 0,
                    boot_started_at: Some(now),
                    first_seen_at: now,
                    listed: false,
                    errors_in_row: 0,
                    limit: u32::MAX,
                    limited_until: Micros(0),
                    limit_period: FIRST_LIMIT_PERIOD,
                };
                self.instances.entry(instance).or_insert(started_instance);
            }
            StartOutcome::NoRoom => self.no_room_until = now + Micros::from_millis(200),
        }
    }

    /// Timer event: expires, serves, sheds, starts and stops. Example: `scheduler.tick(now)` each 25 ms.
    pub fn tick(&mut self, now: Micros) {
        self.ticked_at = now;
        self.expire(now);
        self.serve(now);
        self.shed(now);
        self.start_wanted(now);
        self.stop_surplus(now);
    }

    /// Defers all queued requests to another leader.
    /// Example: `scheduler.defer_all(); for action in scheduler.take_actions() { .. }`.
    pub fn defer_all(&mut self) {
        for waiting in std::mem::take(&mut self.queue) {
            self.defer(
                waiting.requester,
                waiting.request_id,
                Deferral::NotLeader,
                "not the steward",
                Micros(0),
            );
        }
    }

    fn expire(&mut self, now: Micros) {
        let expired_permits: Vec<u64> =
            self.open.iter().filter(|(_, permit)| now >= permit.ends_at).map(|(id, _)| *id).collect();
        for permit_id in expired_permits {
            let Some(permit) = self.open.remove(&permit_id) else { continue };
            self.forget_request(&permit, permit_id);
            if let Some(instance) = self.instances.get_mut(&permit.instance) {
                instance.in_flight = instance.in_flight.saturating_sub(1);
                if instance.phase == Phase::Trial {
                    instance.phase = Phase::Unproven { trial_at: now };
                }
            }
        }
        // Requests that were not repeated in time have lost their requester. A requester whose call has ended
        // refuses the call itself.
        let is_over =
            |waiting: &QueuedRequest| now >= waiting.ends_at || now >= waiting.seen_at + REQUEST_EXPIRY;
        while let Some(index) = self.queue.iter().rposition(is_over) {
            self.drop_waiting(index);
        }
        self.starting.retain(|_, (sent_at, _)| now < *sent_at + START_TIMEOUT);
        if self.last_instances.len() > LAST_INSTANCES_LIMIT {
            self.last_instances.clear();
        }
        self.update_kept_instances(now);
    }

    /// Keeps a number of instances for a while, effective at once: memory is claimed before the next timer
    /// event.
    fn hold_instances(&mut self, instances: u32, now: Micros) {
        self.demand.retain_count(instances, now + DISCOVERED_RETENTION);
        self.cost_model_instances.1 = self.demand.apply_retention(self.cost_model_instances.0, now);
    }

    /// Updates how many instances to keep: from the peak of the last idle period if the configuration has
    /// one, otherwise from the cost model.
    fn update_kept_instances(&mut self, now: Micros) {
        let Some(idle) = self.settings.idle else {
            self.demand.record_load(now, self.offered_load());
            let shape = InstanceShape {
                memory_mb: self.settings.memory_mb.max(1) as f64,
                boot: self.settings.boot,
                calls_at_once: self.settings.calls_at_once,
                target: self.settings.target.unwrap_or(DEFAULT_TARGET),
                costs: self.settings.costs,
            };
            let zone_shares = self.zone_calls.largest_shares();
            let wanted = self.demand.wanted(&shape, &zone_shares, self.usual_latency, now);
            self.cost_model_instances = (wanted, self.demand.apply_retention(wanted, now));
            return;
        };
        if now >= self.peak_rotated_at + Micros(idle.0 / 2) {
            self.peak = (self.needed_calls(), self.peak.0);
            self.peak_rotated_at = now;
        }
        self.peak.0 = self.peak.0.max(self.needed_calls());
    }

    /// Slots that the current calls need: one for each running call, and for queued calls as many as complete
    /// them within a boot time. Counting a whole slot for each queued call would start many times the
    /// instances needed for a queue of short calls.
    fn offered_load(&self) -> f64 {
        let rounds = (self.settings.boot.0 as f64 / self.usual_latency.0.max(1) as f64).max(1.0);
        self.open.len() as f64 + self.queue.len() as f64 / rounds
    }

    /// When a booting instance gets its first trial call. Boot times vary, and under the cost model, which
    /// counts late calls, a trial too early costs less than one too late.
    fn first_trial(&self) -> Micros {
        match self.settings.idle {
            Some(_) => self.boot_estimate,
            None => Micros(self.boot_estimate.0.min(self.settings.boot.0) * 7 / 10),
        }
    }

    fn is_half_limited(&self, now: Micros) -> bool {
        !self.awaited_holders.is_empty() && now < self.half_limit_until
    }

    /// The current calls of an instance with room for another, or `None`.
    fn load_if_available(&self, instance: &Instance, now: Micros) -> Option<u32> {
        let full_limit = match (now < self.quarter_limit_until, self.is_half_limited(now)) {
            (true, _) => (self.settings.calls_at_once / 4).max(1),
            (false, true) => (self.settings.calls_at_once / 2).max(1),
            (false, false) => self.settings.calls_at_once,
        };
        // A limit set by a busy refusal recovers by one call at a time, so load from other senders is found
        // with one call and not with a burst.
        let recovered = (now - instance.limited_until).0 / LIMIT_RECOVERY_INTERVAL.0;
        let limit = full_limit.min(instance.limit.saturating_add(recovered as u32));
        match instance.phase {
            Phase::Ready => (instance.in_flight < limit).then_some(instance.in_flight),
            // The trial call goes alone, and only when no running instance has room.
            Phase::Unproven { trial_at } => (now >= trial_at && instance.in_flight == 0).then_some(u32::MAX),
            Phase::Trial | Phase::Draining { .. } => None,
        }
    }

    /// Picks an instance in the requester's zone if a running one there has room, otherwise elsewhere: the
    /// least loaded one, or the requester's last instance if that has few more calls. This reuses connections
    /// and keeps the calls spread.
    fn pick_instance(&self, waiting: &QueuedRequest, now: Micros) -> Option<String> {
        let candidates = self.instances.iter().filter_map(|(id, instance)| {
            let load = self.load_if_available(instance, now)?;
            let is_unproven = instance.phase != Phase::Ready;
            Some((*id == waiting.avoid, is_unproven, self.is_remote(instance, waiting.zone), load, id))
        });
        let (is_avoided, _, is_remote, lowest_load, least_loaded) = candidates.min()?;
        let last =
            self.last_instances.get(&waiting.requester).filter(|last| **last != waiting.avoid && !is_avoided);
        let last_load = last.and_then(|last| {
            let instance = self.instances.get(last)?;
            self.load_if_available(instance, now)
                .filter(|_| is_remote || !self.is_remote(instance, waiting.zone))
        });
        let prefers_last =
            last_load.is_some_and(|calls| calls <= lowest_load.saturating_add(LAST_INSTANCE_EXTRA_CALLS));
        last.filter(|_| prefers_last).or(Some(least_loaded)).cloned()
    }

    fn is_remote(&self, instance: &Instance, zone: Zone) -> bool {
        self.zone_of(&instance.worker).is_remote_from(zone)
    }

    fn zone_of(&self, worker: &str) -> Zone {
        self.worker_zones.get(worker).copied().unwrap_or_default()
    }

    /// Instances that are not draining, and starts in progress, by zone.
    fn instances_by_zone(&self) -> BTreeMap<Zone, usize> {
        let mut instances: BTreeMap<Zone, usize> = BTreeMap::new();
        for (_, instance) in self.usable_instances() {
            *instances.entry(self.zone_of(&instance.worker)).or_default() += 1;
        }
        for (_, zone) in self.starting.values() {
            *instances.entry(*zone).or_default() += 1;
        }
        instances
    }

    /// The zone that lacks most instances for the calls that come from it.
    fn zone_for_a_start(&self) -> Zone {
        let missing = self.zone_calls.missing(&self.instances_by_zone());
        let most = missing.into_iter().max_by(|(_, left), (_, right)| left.total_cmp(right));
        most.map_or(Zone::default(), |(zone, _)| zone)
    }

    /// Sets the zones of the workers. Example: `scheduler.set_worker_zones(placement.zones())`.
    pub fn set_worker_zones(&mut self, zones: Arc<WorkerZones>) {
        self.worker_zones = zones;
    }

    /// The index of the next request to serve. A new leader's queued retries do not block others while its
    /// retry budget fills up.
    fn next_index(&mut self, now: Micros) -> Option<usize> {
        let holds_back_retries = self.retries.is_in_first_window(now) && !self.retries.may_spend(now);
        let answered_at = now + self.usual_latency;
        let eligible = self.queue.iter().enumerate();
        let eligible = eligible.filter(|(_, waiting)| waiting.dispatches == 0 || !holds_back_retries);
        self.fair_order.first(eligible, answered_at)
    }

    fn serve(&mut self, now: Micros) {
        while let Some(index) = self.next_index(now) {
            let waiting = &self.queue[index];
            if now >= waiting.ends_at {
                self.drop_waiting(index);
                continue;
            }
            if now + self.usual_latency > waiting.ends_at {
                let (requester, request_id) = (waiting.requester, waiting.request_id);
                self.drop_waiting(index);
                let retry_after = self.usual_latency + Micros::from_secs(1);
                self.defer(requester, request_id, Deferral::Refused, TOO_LATE, retry_after);
                continue;
            }
            let is_at_limit = now < self.call_limit.1 && self.open.len() >= self.call_limit.0;
            if is_at_limit || now < self.paused_until {
                return;
            }
            let Some(picked_id) = self.pick_instance(waiting, now) else { return };
            let Some(waiting) = self.queue.remove(index) else { return };
            self.fair_order.record_served(&self.queue, &waiting.urgency, waiting.start_tag);
            if waiting.dispatches > 0 && !self.spend_retry(now) {
                let retry_after = Micros::from_secs(1);
                self.defer(
                    waiting.requester,
                    waiting.request_id,
                    Deferral::Refused,
                    RETRIES_EXHAUSTED,
                    retry_after,
                );
                continue;
            }
            let is_remote =
                self.instances.get(&picked_id).is_some_and(|instance| self.is_remote(instance, waiting.zone));
            let Some(instance) = self.instances.get_mut(&picked_id) else { return };
            if matches!(instance.phase, Phase::Unproven { .. }) {
                instance.phase = Phase::Trial;
            }
            instance.in_flight += 1;
            let address = Address::from(instance.address);
            self.next_permit += 1;
            // The epoch makes the id unique across leaders, so a previous leader's permit is never taken for
            // this one's.
            let permit_id = peer_messages::stable_hash(
                format!("{}/{}/{}", self.function, self.leader_epoch, self.next_permit).as_bytes(),
            );
            let permit = Permit {
                id: permit_id,
                granted_by: self.own,
                leader_epoch: self.leader_epoch,
                function: self.function.as_str().into(),
                instance: picked_id.as_str().into(),
                address,
            };
            self.by_request.insert((waiting.requester, waiting.request_id), permit_id);
            self.last_instances.insert(waiting.requester, picked_id.clone());
            let open_permit = OpenPermit {
                instance: picked_id,
                requester: waiting.requester,
                request_id: waiting.request_id,
                dispatches: waiting.dispatches,
                granted_at: Some(now),
                ends_at: waiting.ends_at + Micros::from_secs(1),
                permit: permit.clone(),
                is_over: false,
            };
            self.open.insert(permit_id, open_permit);
            self.actions.push(SchedulerAction::Grant {
                requester: waiting.requester,
                request_id: waiting.request_id,
                permit,
                is_remote,
            });
        }
    }

    /// Refuses requests that cannot be served in time as soon as that is known, with a time to retry after.
    fn shed(&mut self, now: Micros) {
        let awaits_first_list = self.awaits_first_list && now < self.no_room_until;
        if self.queue.is_empty() || awaits_first_list {
            return;
        }
        let usable_count = self.usable_instances().count() as u64;
        let earliest_room = self
            .usable_instances()
            .map(|(_, instance)| match instance.phase {
                Phase::Unproven { trial_at } => trial_at.max(now),
                _ => now,
            })
            .chain(self.starting.values().map(|(sent_at, _)| (*sent_at + self.boot_estimate).max(now)))
            .min();
        let calls_at_once = u64::from(self.settings.calls_at_once);
        let is_at_instance_limit =
            self.instance_count() >= self.allowed_instances() || now < self.no_room_until;
        let service_interval = Micros(self.usual_latency.0 / (usable_count * calls_at_once).max(1));
        let mut refused = Vec::new();
        // If no instance can be added, the calls are served one after the other in queue order.
        let waiting_in_order = match is_at_instance_limit {
            true => self.fair_order.in_order(&self.queue, now + self.usual_latency),
            false => self.queue.iter().collect(),
        };
        let mut calls_ahead = 0;
        for waiting in waiting_in_order {
            let served_at = match earliest_room {
                Some(room_at) if is_at_instance_limit => room_at + Micros(service_interval.0 * calls_ahead),
                Some(room_at) => room_at,
                None if is_at_instance_limit => now + self.boot_estimate,
                None => now,
            };
            // A call that cannot be answered in time is not dispatched: its outcome would be unknown.
            if served_at + self.usual_latency > waiting.ends_at {
                refused.push((waiting.requester, waiting.request_id, served_at - now));
            } else {
                calls_ahead += 1;
            }
        }
        for (requester, request_id, retry_after) in refused {
            self.withdraw(requester, request_id);
            self.defer(requester, request_id, Deferral::Refused, TOO_LATE, retry_after);
        }
    }

    /// Instances to start for a filling queue, which would refuse calls before instances started one at a
    /// time could run. Once the queue has been an eighth full for an eighth of a boot time, there must be
    /// enough instances to serve it within that time and to keep up with the arrivals.
    fn instances_for_filling_queue(&self, now: Micros) -> u32 {
        let is_filling = self.queue.len() * 8 >= self.settings.queue_limit.max(8);
        let tolerated_wait = Micros(self.boot_estimate.0 / 8);
        let is_filling_long = self.waiting_since.is_some_and(|since| now >= since + tolerated_wait);
        let needed_instances =
            self.instances_to_serve_within(tolerated_wait).max(self.instances_for_arrivals(now));
        if is_filling && is_filling_long { needed_instances.min(self.settings.max_instances) } else { 0 }
    }

    /// Instances whose slots the arriving calls occupy, apart from the queue.
    fn instances_for_arrivals(&self, now: Micros) -> u32 {
        let slots = self.demand.peak_rate(now) * self.usual_latency.0 as f64 / 1e6;
        (slots / f64::from(self.settings.calls_at_once)).ceil() as u32
    }

    fn start_wanted(&mut self, now: Micros) {
        if now < self.no_room_until {
            return;
        }
        if !self.is_called() && now < self.called_at + SPARE_DELAY {
            return;
        }
        let is_waiting = !self.queue.is_empty();
        self.waiting_since = is_waiting.then(|| self.waiting_since.unwrap_or(now));
        let tolerated_wait = Micros(self.boot_estimate.0 / 4);
        // While an instance is booting, the calls may be waiting for just that one, unless the arrivals
        // exceed the capacity of all.
        let has_boots_in_progress = !self.starting.is_empty()
            || self.instances.values().any(|instance| instance.boot_started_at.is_some());
        // With an idle period configured, a surplus instance may still be used later.
        let uses_cost_model = self.settings.idle.is_none();
        let is_capacity_booting = uses_cost_model
            && has_boots_in_progress
            && self.instance_count() >= self.instances_for_arrivals(now);
        let is_queue_waiting_long =
            !is_capacity_booting && self.waiting_since.is_some_and(|since| now >= since + tolerated_wait);
        let one_more_instance = if is_queue_waiting_long { self.instance_count() + 1 } else { 0 };
        let instances_for_filling_queue = self.instances_for_filling_queue(now);
        let wanted = self
            .wanted_instances()
            .max(one_more_instance.min(self.settings.max_instances))
            .max(instances_for_filling_queue)
            .min(self.allowed_instances());
        if self.instance_count() < wanted {
            self.waiting_since = None;
        }
        while self.instance_count() < wanted {
            let start_id = self.start_ids.next_id();
            let zone = self.zone_for_a_start();
            self.starting.insert(start_id.clone(), (now, zone));
            let is_spare = !self.is_called();
            self.actions.push(SchedulerAction::Start { start_id, zone, is_spare });
        }
    }

    fn stop_surplus(&mut self, now: Micros) {
        let kept_instances = self.demanded_instances().total().min(self.keepable_instances());
        let usable_count = self.usable_instances().count() as u32;
        if usable_count > kept_instances {
            let surplus_ids: Vec<String> = {
                // Stops instances not known to run first, so that running ones are kept; then those in zones
                // with more instances than their calls need.
                let missing = self.zone_calls.missing(&self.instances_by_zone());
                let missing_of = |instance: &Instance| {
                    let missing = missing.get(&self.zone_of(&instance.worker)).copied().unwrap_or(0.0);
                    (missing * 1e3) as i64
                };
                let mut in_stop_order: Vec<(bool, i64, u32, &String)> = self
                    .usable_instances()
                    .filter(|(_, instance)| !matches!(instance.phase, Phase::Trial))
                    .map(|(id, instance)| {
                        (instance.phase == Phase::Ready, missing_of(instance), instance.in_flight, id)
                    })
                    .collect();
                in_stop_order.sort();
                in_stop_order
                    .into_iter()
                    .take((usable_count - kept_instances) as usize)
                    .map(|(.., id)| id.clone())
                    .collect()
            };
            for surplus_id in surplus_ids {
                if let Some(instance) = self.instances.get_mut(&surplus_id) {
                    instance.phase = Phase::Draining { stop_sent: None };
                }
                self.actions.push(SchedulerAction::ReadyChanged);
            }
        }
        for (id, instance) in &mut self.instances {
            let Phase::Draining { stop_sent } = instance.phase else { continue };
            let is_due = stop_sent.is_none_or(|sent_at| now >= sent_at + STOP_RETRY_INTERVAL);
            if instance.in_flight == 0 && is_due {
                instance.phase = Phase::Draining { stop_sent: Some(now) };
                self.actions.push(SchedulerAction::Stop { instance: id.clone() });
            }
        }
    }
}

#[cfg(test)]
mod tests;
