//! A steward's work for one function: asks, tickets, cells, and how many of these there are to be.

mod handover;
mod instance;
mod turns;

use crate::retry_budget::{RetryBudget, RetryLimits};
use crate::zone::{WorkerZones, Zone, ZoneCalls};
use crate::{
    ABANDONED, CostModel, InstanceDemand, InstanceShape, NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN, UNUSED,
};
use instance::{FIRST_HOLD, Instance, Phase, apply_outcome, learn_boot, learn_latency};
use monotonic_clock::Micros;
use peer_messages::{Address, NodeId, Permit};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use turns::{AGAIN, Turns};

pub use handover::{HandoverState, TransferredRequest};

/// What the configuration says of the function. Example: `SchedulerSettings { calls_at_once: 4, .. }`.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Calls one cell may run at once.
    pub calls_at_once: u32,
    /// The configured boot time, until a better one is learnt.
    pub boot: Micros,
    /// How long surplus cells may idle; without it the cost model decides.
    pub idle: Option<Micros>,
    /// Memory of one cell in megabytes.
    pub memory_mb: u64,
    /// The time within which an answer is worth most, if a lane names it.
    pub target: Option<Micros>,
    /// What cells, starts and late answers cost beside each other.
    pub costs: CostModel,
    /// Cells kept even when idle.
    pub min_instances: u32,
    /// Cells never passed.
    pub max_instances: u32,
    /// Calls that may wait.
    pub queue_limit: usize,
}

/// A cell known to run, as told to colleagues for the deputy.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyInstance {
    /// The platform's id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A cell as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedInstance {
    /// The platform's id.
    pub id: String,
    /// Its function.
    pub function: String,
    /// Its worker.
    pub worker: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its memory.
    pub memory_mb: u64,
    /// It is leaving, or its worker is.
    pub draining: bool,
    /// The platform says that its boot is over; others may still boot.
    pub started: bool,
}

/// How a start went. Example: `StartOutcome::NoRoom`.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The platform made the cell.
    Started { instance: String, address: SocketAddr, worker: String },
    /// No worker has room, or the act was throttled: the start is wanted no more for now.
    NoRoom,
}

/// Why an ask is held back or turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It waits; the asker shall ask again so that both know of each other.
    Waiting,
    /// It is refused for good.
    Refused,
    /// This node is not, or no longer, the steward.
    NotLeader,
}

/// Cells that a function claims memory for. Example: `DemandedInstances { needed: 2, warm: 1, spare: 0 }`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandedInstances {
    /// What calls of now need.
    pub needed: u32,
    /// What answers calls in time, by the rate at which they come.
    pub warm: u32,
    /// What is kept ready although nobody called yet.
    pub spare: u32,
}

impl DemandedInstances {
    /// All of them. Example: `demanded.total() == 3`.
    pub fn total(&self) -> u32 {
        self.needed + self.warm + self.spare
    }
}

/// What the steward wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Give the asker its ticket; `is_remote` where the cell stands in another zone than the asker.
    Grant { requester: NodeId, request_id: u64, permit: Permit, is_remote: bool },
    /// Tell the asker that it waits or is refused.
    Defer {
        requester: NodeId,
        request_id: u64,
        deferral: Deferral,
        reason: &'static str,
        retry_after: Micros,
    },
    /// Start a cell under this start id, in this zone if it has room; a repeat of the id starts nothing twice.
    /// `is_spare` where nobody called the function yet.
    Start { start_id: String, zone: Zone, is_spare: bool },
    /// Stop a cell that no call uses any more.
    Stop { instance: String },
    /// The cells known to run have changed.
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
    /// Its place among asks that are as urgent; see [`turns`].
    turn: u64,
    zone: Zone,
}

/// What is said of an ask beside its time. Example: `RequestDetails { avoid: "c1", ..RequestDetails::default() }`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDetails<'a> {
    /// The cell that the call's last dispatch failed on; empty for none.
    pub avoid: &'a str,
    /// How urgent the call is.
    pub urgency: Urgency,
    /// Where the asker is.
    pub zone: Zone,
}

/// What a call's front wants of a steward or deputy. Example: see `node_protocol::Event::CallNeedsPermit`.
#[derive(Clone, Debug)]
pub struct PermitParameters {
    /// The function.
    pub function: String,
    /// Until the call's time is over.
    pub time_left: Micros,
    /// Dispatches of the call so far.
    pub dispatches: u32,
    /// The cell that the last of them failed on; empty for none.
    pub avoid: String,
    /// Until the call's answer is late, if its lane names a target.
    pub target_left: Option<Micros>,
    /// Zero goes first.
    pub rank: u16,
    /// Who calls, if a tenant does.
    pub tenant: Option<Arc<str>>,
    /// A call under way made it: a slot stays taken until it is answered.
    pub is_nested: bool,
}

/// Which of the calls that wait goes first. Example: `Urgency::default()` where no lane says anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// An answer after this is late.
    pub late_at: Micros,
    /// Zero goes first.
    pub rank: u16,
    /// Tells apart who calls; zero where no tenant does.
    pub tenant: u32,
    /// A call under way made it: a slot stays taken until it is answered, so it goes before all others.
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
    /// Dispatches of the call before this ticket's.
    dispatches: u32,
    /// When this steward granted it; none if another did.
    granted_at: Option<Micros>,
    ends_at: Micros,
    permit: Permit,
    /// The asker is done with it, and the cell may not be.
    is_over: bool,
}

/// A steward's state for one function. Example: `FunctionScheduler::new("proof", 7, 12, settings, now)`.
#[derive(Debug)]
pub struct FunctionScheduler {
    function: String,
    own: NodeId,
    leader_epoch: u64,
    settings: SchedulerSettings,
    instances: BTreeMap<String, Instance>,
    queue: VecDeque<QueuedRequest>,
    turns: Turns,
    open: BTreeMap<u64, OpenPermit>,
    by_request: BTreeMap<(NodeId, u64), u64>,
    /// Where calls come from, and where workers are.
    zone_calls: ZoneCalls,
    worker_zones: Arc<WorkerZones>,
    /// The cell that each asker was sent to last: it may have a connection there still.
    last_instances: BTreeMap<NodeId, String>,
    /// Starts under way: since when, and in which zone they are wanted.
    starting: BTreeMap<String, (Micros, Zone)>,
    /// What the allowance lets it have; none before the first split since this steward began.
    allowed_instances: Option<u32>,
    /// Cells that were found count as called for until then: the steward before had its reasons.
    discovered_until: Micros,
    next_permit: u64,
    next_start: u64,
    awaited_holders: Vec<NodeId>,
    careful_until: Micros,
    back_until: Micros,
    learnt_boot: Micros,
    extras: RetryBudget,
    peak: (u32, u32),
    peak_rotated_at: Micros,
    demand: InstanceDemand,
    /// Cells that the cost model finds worth having now, and keeping.
    worth: (u32, u32),
    no_room_until: Micros,
    refused_busy: VecDeque<Micros>,
    /// The calls that the whole function is held to, until a time.
    held_to: (usize, Micros),
    paused_until: Micros,
    /// Turn-aways since the last answer: the pause grows with them.
    refused_busy_in_row: u32,
    /// No list is in yet: cells may run that are not known.
    is_adopting: bool,
    usual_latency: Micros,
    /// Calls given up on since the last answer, each after more than the usual time.
    slow_in_row: u32,
    /// Whether that is learnt yet.
    knows_latency: bool,
    /// Since when calls wait without a start on their account.
    waiting_since: Option<Micros>,
    /// When it was last called, or this steward began.
    called_at: Micros,
    ticked_at: Micros,
    actions: Vec<SchedulerAction>,
}

/// A function that was not called for so long counts as one that nobody calls.
const IDLE_AFTER: Micros = Micros::from_secs(5);
/// A new steward starts nothing for a function that nobody called before all nodes can know what all want.
const SPARE_DELAY: Micros = Micros::from_secs(2);
/// Where no lane names a target.
const UNNAMED_TARGET: Micros = Micros::from_secs(1);
/// Cells found by a new steward are kept for so long at the least.
const DISCOVERED_SPAN: Micros = Micros::from_secs(4);
const LIMIT_REGAINED_EACH: Micros = Micros::from_millis(300);
/// So many turn-aways in five seconds hold the whole function to the calls it has.
const REFUSED_BUSY_LIMIT: usize = 3;
const REFUSED_BUSY_WINDOW: Micros = Micros::from_secs(5);
/// What others have on the cells ends meanwhile.
const REFUSED_BUSY_PAUSE: Micros = Micros::from_millis(150);
const LIST_TIMEOUT: Micros = Micros::from_secs(10);
const STOP_REPEAT: Micros = Micros::from_secs(8);
const REQUEST_EXPIRY: Micros = Micros::from_millis(1_500);
const START_FORGOTTEN: Micros = Micros::from_secs(10);
/// A colleague that is back tells its tickets within a message's way; it is not waited for longer.
const RETURNED_PEER_TIMEOUT: Micros = Micros::from_secs(1);
const OPEN_LIMIT: usize = 20_000;
/// So many calls more than the emptiest cell may the asker's last one have to be taken again.
const LAST_INSTANCE_MORE: u32 = 1;
/// Askers whose last cell is remembered.
const LAST_INSTANCES_LIMIT: usize = 8_192;
/// Extra dispatches that wait for a new steward's part to open: it does so by one each 0.6 s.
const RETRIES_WAITING_LIMIT: usize = 4;
const RETRIES_EXHAUSTED: &str = "extra dispatches used up";
const TOO_LATE: &str = "no cell would be free in the time left";
const LEAST_LINGERING: Micros = Micros::from_millis(100);
const MOST_LINGERING: Micros = Micros::from_secs(3);

impl FunctionScheduler {
    /// A fresh steward's state. Until every node in `awaited_holders` told which tickets it holds, or their
    /// time is over, cells are used at half of what they may run.
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
            learnt_boot: settings.boot,
            settings,
            instances: BTreeMap::new(),
            queue: VecDeque::new(),
            turns: Turns::default(),
            open: BTreeMap::new(),
            by_request: BTreeMap::new(),
            zone_calls: ZoneCalls::default(),
            worker_zones: Arc::default(),
            last_instances: BTreeMap::new(),
            starting: BTreeMap::new(),
            allowed_instances: None,
            discovered_until: Micros(0),
            next_permit: 0,
            next_start: 0,
            awaited_holders,
            careful_until: now + Micros::from_secs(4),
            back_until: Micros(0),
            extras: RetryBudget::new(RetryLimits::default(), now),
            peak: (0, 0),
            peak_rotated_at: now,
            demand: InstanceDemand::new(now),
            worth: (0, 0),
            no_room_until: Micros(0),
            refused_busy: VecDeque::new(),
            held_to: (usize::MAX, Micros(0)),
            paused_until: Micros(0),
            refused_busy_in_row: 0,
            is_adopting: false,
            usual_latency: Micros::from_millis(50),
            slow_in_row: 0,
            knows_latency: false,
            waiting_since: None,
            called_at: now,
            ticked_at: now,
            actions: Vec::new(),
        }
    }

    /// The epoch this steward acts under. Example: `work.leader_epoch()`.
    pub fn leader_epoch(&self) -> u64 {
        self.leader_epoch
    }

    /// Bounds extra dispatches; called before the first ask.
    /// Example: `work.set_retry_limits(RetryLimits::default(), now)`.
    pub fn set_retry_limits(&mut self, bound: RetryLimits, now: Micros) {
        self.extras = RetryBudget::new(bound, now);
    }

    /// Takes changed settings. Example: `work.update_settings(settings)`.
    pub fn update_settings(&mut self, settings: SchedulerSettings) {
        self.settings = settings;
    }

    /// Starts nothing before this time: the cells that run are not known yet.
    /// Example: `work.hold_starts(now + Micros::from_secs(1))`.
    pub fn hold_starts(&mut self, until: Micros) {
        self.no_room_until = until;
        self.is_adopting = true;
    }

    /// How many cells the allowance lets this function have. Example: `work.set_allowed_instances(3)`.
    pub fn set_allowed_instances(&mut self, instance_count: u32) {
        self.allowed_instances = Some(instance_count);
    }

    /// Cells that the calls of now want, at most what the settings allow.
    /// Example: nine calls on cells of four want three.
    pub fn wanted_instances(&self) -> u32 {
        let calls_at_once = self.settings.calls_at_once;
        // A start is worth it where calls would wait for a quarter of a boot: short calls that come
        // together are through a few cells before more of them run.
        let waiting_instances = self.instances_to_serve_within(Micros(self.learnt_boot.0 / 4));
        let open_instances = (self.open.len() as u32).div_ceil(calls_at_once);
        let needed_instances = waiting_instances.max(open_instances).max(self.worth.0);
        needed_instances.max(self.settings.min_instances).min(self.settings.max_instances)
    }

    /// Cells that are through with all calls of now within a time, by what calls usually take.
    fn instances_to_serve_within(&self, span: Micros) -> u32 {
        let is_latency_known = self.knows_latency || self.settings.idle.is_none();
        let turns = if is_latency_known { span.0 / self.usual_latency.0.max(1) } else { 0 };
        let calls_each = u64::from(self.settings.calls_at_once) * (1 + turns);
        u64::from(self.needed_calls()).div_ceil(calls_each) as u32
    }

    /// Cells to claim memory for: what is wanted now, was in the last idle span, or is worth its memory; by
    /// how much depends on them. Example: `work.demanded_instances().total() >= work.wanted_instances()`.
    pub fn demanded_instances(&self) -> DemandedInstances {
        let kept_instances = match self.settings.idle {
            Some(_) => self.peak.0.max(self.peak.1).div_ceil(self.settings.calls_at_once),
            None => self.worth.1,
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

    /// Cells that the calls of now and of the last seconds take, without any that only make them quicker.
    fn instances_for_calls(&self) -> u32 {
        let waiting_instances = self.instances_to_serve_within(Micros(self.learnt_boot.0 / 4));
        let loaded_instances = (self.demand.load() / f64::from(self.settings.calls_at_once)).ceil() as u32;
        waiting_instances.max(loaded_instances).max(self.settings.min_instances)
    }

    /// Whether a call ever came, or such are under way from before.
    fn is_called(&self) -> bool {
        let is_discovered = self.ticked_at < self.discovered_until;
        self.settings.idle.is_some() || self.demand.is_called() || self.needed_calls() > 0 || is_discovered
    }

    /// Cells that it may have now. A function that is called gets one as soon as a worker has room for it.
    fn allowed_instances(&self) -> u32 {
        self.allowed_instances.unwrap_or(0).max(u32::from(self.is_called()))
    }

    /// Cells that it may keep. Before the first split nothing speaks against what runs already.
    fn keepable_instances(&self) -> u32 {
        self.allowed_instances.map_or(u32::MAX, |_| self.allowed_instances())
    }

    /// Tells when traffic began, of whatever function, as far as is known here.
    /// Example: `work.set_traffic_since(Some(now))`.
    pub fn set_traffic_since(&mut self, since: Option<Micros>) {
        self.demand.set_traffic_since(since);
    }

    /// Nodes that have not yet told which tickets they hold. Example: `work.awaited_holders().is_empty()`.
    pub fn awaited_holders(&self) -> &[NodeId] {
        &self.awaited_holders
    }

    /// Cells that exist and are not leaving, and starts under way. Example: `work.instance_count()`.
    pub fn instance_count(&self) -> u32 {
        (self.usable_instances().count() + self.starting.len()) as u32
    }

    /// Whether it has any cell that is not leaving. Example: the first one may go where others may not.
    pub fn has_instances(&self) -> bool {
        self.usable_instances().next().is_some()
    }

    /// Starts and stops still wanted, for the split of the start rate. Example: `work.wanted_operations()`.
    pub fn wanted_operations(&self) -> u32 {
        self.wanted_instances().saturating_sub(self.instance_count()) + self.starting.len() as u32
    }

    /// Calls that wait. Example: `work.waiting_count()`.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Calls a second that are asked for here, each counted once, as of the last moment if that is more. Example: `work.call_rate(now)`.
    pub fn call_rate(&self, now: Micros) -> f64 {
        self.demand.peak_rate(now)
    }

    /// Tickets that are out. Example: `work.open_count()`.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether nobody called it for a while, and nothing is under way for it. Example: `work.is_idle(now)`.
    pub fn is_idle(&self, now: Micros) -> bool {
        let is_busy = self.needed_calls() > 0 || !self.starting.is_empty();
        !is_busy && now >= self.called_at + IDLE_AFTER
    }

    /// The cells known to run, for the deputy. Example: `work.ready_instances().len()`.
    pub fn ready_instances(&self) -> Vec<ReadyInstance> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.phase == Phase::Ready)
            .map(|(id, instance)| ReadyInstance { id: id.clone(), address: instance.address })
            .collect()
    }

    /// The acts since the last call. Example: `for action in work.take_actions() { .. }`.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    fn needed_calls(&self) -> u32 {
        (self.open.len() + self.queue.len()) as u32
    }

    fn usable_instances(&self) -> impl Iterator<Item = (&String, &Instance)> {
        self.instances.iter().filter(|(_, instance)| !matches!(instance.phase, Phase::Draining { .. }))
    }

    /// A node asks for a ticket; asking again is always safe.
    /// Example: `work.request(9, 1, Micros::from_secs(4), 0, "", now)`.
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

    /// The same with what the call's lane says of its urgency, and where it comes from.
    /// Example: `work.request_with_details(9, 1, Micros::from_secs(4), 0, RequestDetails::default(), now)`.
    pub fn request_with_details(
        &mut self,
        requester: NodeId,
        request_id: u64,
        time_left: Micros,
        dispatches: u32,
        RequestDetails { avoid, urgency, zone }: RequestDetails,
        now: Micros,
    ) {
        let is_extra = dispatches > 0;
        if let Some(permit_id) = self.by_request.get(&(requester, request_id)).copied()
            && let Some(open_permit) = self.open.get_mut(&permit_id)
        {
            if open_permit.dispatches >= dispatches {
                let permit = open_permit.permit.clone();
                self.actions.push(SchedulerAction::Grant { requester, request_id, permit, is_remote: false });
                return;
            }
            // The call's dispatch before this one is over, and its return is late or lost: one ticket
            // is never granted for two dispatches. Its place is free when the return comes.
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
        if !is_extra {
            self.demand.called(now);
            self.called_at = now;
            self.zone_calls.record_call(zone, now);
        }
        let extras_waiting = self.queue.iter().filter(|waiting| waiting.dispatches > 0).count();
        let may_wait = self.extras.is_young(now) && extras_waiting < RETRIES_WAITING_LIMIT;
        if is_extra && !may_wait && !self.extras.may_spend(now) {
            self.defer(requester, request_id, Deferral::Refused, RETRIES_EXHAUSTED, Micros::from_secs(1));
            return;
        }
        // A nested call that is turned away fails its caller, which has run for nothing: such calls have as
        // many places again.
        let places = self.settings.queue_limit * if urgency.is_nested { 2 } else { 1 };
        let turn = if is_extra { AGAIN } else { self.turns.next(&self.queue, &urgency) };
        let waiting = QueuedRequest {
            requester,
            request_id,
            dispatches,
            ends_at: now + time_left,
            seen_at: now,
            avoid: avoid.to_owned(),
            urgency,
            turn,
            zone,
        };
        let is_full = self.queue.len() >= places || self.open.len() >= OPEN_LIMIT;
        if is_full && !self.make_room(&waiting) {
            self.refuse_for_room(requester, request_id);
            return;
        }
        match is_extra {
            // A call that was turned away has waited its turn already.
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

    /// The list is full: one in it gives way, or the newcomer does.
    fn make_room(&mut self, newcomer: &QueuedRequest) -> bool {
        if self.open.len() >= OPEN_LIMIT {
            return false;
        }
        let Some(place) = self.turns.yields_to(&self.queue, newcomer) else { return false };
        let (refused_requester, refused_request) =
            (self.queue[place].requester, self.queue[place].request_id);
        self.drop_waiting(place);
        self.refuse_for_room(refused_requester, refused_request);
        true
    }

    fn refuse_for_room(&mut self, requester: NodeId, request_id: u64) {
        let retry_after = self.usual_latency + Micros::from_secs(1);
        self.defer(requester, request_id, Deferral::Refused, "waitlist full", retry_after);
    }

    /// The asker's call is over before a ticket came. Example: `work.withdraw(9, 1)`.
    pub fn withdraw(&mut self, requester: NodeId, request_id: u64) {
        let place = self
            .queue
            .iter()
            .position(|waiting| (waiting.requester, waiting.request_id) == (requester, request_id));
        if let Some(place) = place {
            self.drop_waiting(place);
        }
    }

    /// Takes an ask off the list that is not served.
    fn drop_waiting(&mut self, place: usize) {
        if let Some(dropped) = self.queue.remove(place) {
            turns::close_gap(&mut self.queue, &dropped);
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

    /// An extra dispatch counts from its grant: it may have waited for seconds by then.
    fn spend_retry(&mut self, now: Micros) -> bool {
        self.extras.spend(now)
    }

    /// What a ticket's end tells of arrivals: only what surely reached a cell counts as a call, and only
    /// what surely did not makes room for another extra dispatch.
    fn count_arrival(&mut self, open_permit: &OpenPermit, outcome: u8) {
        let Some(granted_at) = open_permit.granted_at else { return };
        match outcome {
            RAN | REFUSED_BUSY if open_permit.dispatches == 0 => self.extras.call_arrived(granted_at),
            NOT_RUN | UNUSED if open_permit.dispatches > 0 => self.extras.not_arrived(granted_at),
            _ => {}
        }
    }

    /// Tickets that a node held when this steward took over.
    /// Example: `work.record_held_permit(9, vec![(permit, Micros::from_secs(2))], now)`.
    pub fn record_held_permit(&mut self, node: NodeId, permits: Vec<(Permit, Micros)>, now: Micros) {
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

    /// A ticket comes back with how it went. Example: `work.returned(&permit, RAN, latency, now)`.
    pub fn returned(&mut self, permit: &Permit, outcome: u8, latency: Micros, now: Micros) {
        let Some(mut open_permit) = self.open.remove(&permit.id) else { return };
        self.forget_request(&open_permit, permit.id);
        self.count_arrival(&open_permit, outcome);
        let mut ready_changed = false;
        let is_lingering = matches!(outcome, UNKNOWN | ABANDONED) && !open_permit.is_over;
        if let Some(instance) = self.instances.get_mut(&open_permit.instance) {
            if !is_lingering {
                instance.in_flight = instance.in_flight.saturating_sub(1);
            }
            ready_changed = apply_outcome(instance, outcome, now);
            if let Some(boot_start) = instance.booted_from {
                // A cell that died in its boot says nothing of boots: calls must not be turned away for
                // a time that the configuration does not know of.
                let longest_boot = Micros(self.settings.boot.0 * 2);
                let learnt = learn_boot(self.learnt_boot, (now - latency) - boot_start, outcome);
                self.learnt_boot = learnt.min(longest_boot);
            }
            if outcome == RAN {
                instance.booted_from = None;
                self.refused_busy_in_row = 0;
                // Each answer under a hold lets one call more in: what filled the cells may be over.
                self.held_to.0 = self.held_to.0.saturating_add(1);
                self.knows_latency = true;
            }
            let is_slow = outcome == UNKNOWN && latency > self.usual_latency;
            self.slow_in_row = match outcome {
                RAN => 0,
                _ => self.slow_in_row + u32::from(is_slow),
            };
            self.usual_latency = learn_latency(self.usual_latency, latency, outcome, self.slow_in_row);
        }
        if ready_changed {
            self.actions.push(SchedulerAction::ReadyChanged);
        }
        if is_lingering {
            // Whoever gave up on the answer does not end the cell's work: its place stays taken for
            // as long as calls take.
            open_permit.is_over = true;
            let lingering = Micros((self.usual_latency.0 * 2).max(latency.0));
            open_permit.ends_at = now + lingering.clamp(LEAST_LINGERING, MOST_LINGERING);
            self.open.insert(permit.id, open_permit);
        }
        if outcome == REFUSED_BUSY {
            self.note_refused_busy(now);
        }
        self.serve(now);
    }

    fn forget_request(&mut self, open_permit: &OpenPermit, permit_id: u64) {
        let place = (open_permit.requester, open_permit.request_id);
        if self.by_request.get(&place) == Some(&permit_id) {
            self.by_request.remove(&place);
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
            let held_before = if now < self.held_to.1 { self.held_to.0 } else { usize::MAX };
            self.held_to = (self.open.len().clamp(1, held_before), now + REFUSED_BUSY_WINDOW);
            let doublings = self.refused_busy_in_row.saturating_sub(REFUSED_BUSY_LIMIT as u32).min(4);
            self.paused_until = now + Micros(REFUSED_BUSY_PAUSE.0 << doublings);
        }
    }

    /// A colleague that was away is back: the calls it sent to cells meanwhile are asked for, and for
    /// a second cells are used at a quarter. Example: `work.peer_returned(9, now)`.
    pub fn peer_returned(&mut self, node: NodeId, now: Micros) {
        if !self.awaited_holders.contains(&node) {
            self.awaited_holders.push(node);
        }
        self.careful_until = self.careful_until.max(now + RETURNED_PEER_TIMEOUT);
        // Others beyond the same cut may not have been heard of yet.
        self.back_until = now + RETURNED_PEER_TIMEOUT;
    }

    /// Takes the platform's list of this function's cells; `listed_at` is when it was asked for.
    /// Example: `work.listed(&instances, &known_ready, requested_at, now)`.
    pub fn listed(
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
                    && instance.booted_from.is_some()
                    && !matches!(instance.phase, Phase::Draining { .. })
                {
                    // Whether it serves is known without a first call.
                    instance.booted_from = None;
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
            // Adopted: in flight already are the tickets that other nodes told of.
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
                booted_from: None,
                known_at: now,
                listed: true,
                errors_in_row: 0,
                limit: u32::MAX,
                limited_until: Micros(0),
                hold: FIRST_HOLD,
            };
            self.instances.insert(listed_instance.id.clone(), adopted_instance);
            ready_changed = true;
            // The steward before kept these cells for calls that this one has not seen: they count as
            // needed for one idle span.
            let usable_count = self.usable_instances().count() as u32;
            self.peak.0 = self.peak.0.max(usable_count * self.settings.calls_at_once);
            self.hold_instances(usable_count, now);
            self.discovered_until = now + DISCOVERED_SPAN;
        }
        // From now on it is known which cells run.
        if std::mem::take(&mut self.is_adopting) {
            self.no_room_until = Micros(0);
        }
        let is_listed = |id: &str| listed_instances.iter().any(|listed_instance| listed_instance.id == id);
        let instance_count = self.instances.len();
        // A cell is gone once it was listed and no longer is; a fresh one may be listed late.
        self.instances.retain(|id, instance| {
            is_listed(id)
                || (!instance.listed && listed_at < instance.known_at + LIST_TIMEOUT)
                || listed_at < instance.known_at
        });
        if ready_changed || instance_count != self.instances.len() {
            self.actions.push(SchedulerAction::ReadyChanged);
        }
        self.serve(now);
    }

    /// Cells on workers that drain or are gone leave with them, also those that boot and that no list
    /// shows yet. Example: `work.evacuate_workers(|worker| placement.is_usable(worker), now)`.
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

    /// The answer to a start. Example: `work.started("7-12-1", StartOutcome::NoRoom, now)`.
    pub fn started(&mut self, start_id: &str, outcome: StartOutcome, now: Micros) {
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
                    booted_from: Some(now),
                    known_at: now,
                    listed: false,
                    errors_in_row: 0,
                    limit: u32::MAX,
                    limited_until: Micros(0),
                    hold: FIRST_HOLD,
                };
                self.instances.entry(instance).or_insert(started_instance);
            }
            StartOutcome::NoRoom => self.no_room_until = now + Micros::from_millis(200),
        }
    }

    /// Clock event: serves, sheds, starts, stops. Example: `work.tick(now)` each 25 ms.
    pub fn tick(&mut self, now: Micros) {
        self.ticked_at = now;
        self.expire(now);
        self.serve(now);
        self.shed(now);
        self.start_wanted(now);
        self.stop_surplus(now);
    }

    /// Ends all: who waits is told to look for another steward.
    /// Example: `work.defer_all(); for action in work.take_actions() { .. }`.
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
        // An asker that went silent is gone; one whose time is over refuses its call itself.
        let is_over =
            |waiting: &QueuedRequest| now >= waiting.ends_at || now >= waiting.seen_at + REQUEST_EXPIRY;
        while let Some(place) = self.queue.iter().rposition(is_over) {
            self.drop_waiting(place);
        }
        self.starting.retain(|_, (sent_at, _)| now < *sent_at + START_FORGOTTEN);
        if self.last_instances.len() > LAST_INSTANCES_LIMIT {
            self.last_instances.clear();
        }
        self.note_load(now);
    }

    /// Keeps so many cells for a while, from now on: the memory for them is claimed before the next clock event.
    fn hold_instances(&mut self, instances: u32, now: Micros) {
        self.demand.hold(instances, now + DISCOVERED_SPAN);
        self.worth.1 = self.demand.kept(self.worth.0, now);
    }

    /// Judges how many cells to keep: by the peak of the last idle span where the configuration names
    /// one, by the cost model otherwise.
    fn note_load(&mut self, now: Micros) {
        let Some(idle) = self.settings.idle else {
            self.demand.note(now, self.offered_load());
            let shape = InstanceShape {
                memory_mb: self.settings.memory_mb.max(1) as f64,
                boot: self.settings.boot,
                calls_at_once: self.settings.calls_at_once,
                target: self.settings.target.unwrap_or(UNNAMED_TARGET),
                costs: self.settings.costs,
            };
            let zone_shares = self.zone_calls.largest_shares();
            let wanted = self.demand.wanted(&shape, &zone_shares, self.usual_latency, now);
            self.worth = (wanted, self.demand.kept(wanted, now));
            return;
        };
        if now >= self.peak_rotated_at + Micros(idle.0 / 2) {
            self.peak = (self.needed_calls(), self.peak.0);
            self.peak_rotated_at = now;
        }
        self.peak.0 = self.peak.0.max(self.needed_calls());
    }

    /// Slots that the calls of now take: one for each that is under way, and for those that wait what it
    /// takes to be through with them within the time of a boot. A call that waits is a short piece of work,
    /// not a slot's worth of load: counted as such, a queue would start many times the cells it needs.
    fn offered_load(&self) -> f64 {
        let turns = (self.settings.boot.0 as f64 / self.usual_latency.0.max(1) as f64).max(1.0);
        self.open.len() as f64 + self.queue.len() as f64 / turns
    }

    /// When a booting cell is first tried: boots differ, and where the cost model counts the calls that
    /// are late a trial too early costs less than one too late.
    fn first_trial(&self) -> Micros {
        match self.settings.idle {
            Some(_) => self.learnt_boot,
            None => Micros(self.learnt_boot.0.min(self.settings.boot.0) * 7 / 10),
        }
    }

    fn is_careful(&self, now: Micros) -> bool {
        !self.awaited_holders.is_empty() && now < self.careful_until
    }

    /// Room on a cell now: none, or the calls it already has.
    fn room(&self, instance: &Instance, now: Micros) -> Option<u32> {
        let full_limit = match (now < self.back_until, self.is_careful(now)) {
            (true, _) => (self.settings.calls_at_once / 4).max(1),
            (false, true) => (self.settings.calls_at_once / 2).max(1),
            (false, false) => self.settings.calls_at_once,
        };
        // What a turn-away took off comes back one call at a time: whoever else sends to the cell is
        // found out by a call a second, not by a burst.
        let regained = (now - instance.limited_until).0 / LIMIT_REGAINED_EACH.0;
        let limit = full_limit.min(instance.limit.saturating_add(regained as u32));
        match instance.phase {
            Phase::Ready => (instance.in_flight < limit).then_some(instance.in_flight),
            // The first call goes alone, after all proven room is used.
            Phase::Unproven { trial_at } => (now >= trial_at && instance.in_flight == 0).then_some(u32::MAX),
            Phase::Trial | Phase::Draining { .. } => None,
        }
    }

    /// In the asker's zone, if a cell there that runs has room, and elsewhere otherwise: the cell with the
    /// fewest calls, or the one that the asker used last where that has hardly more. It spares a connection,
    /// and the calls stay spread.
    fn pick_instance(&self, waiting: &QueuedRequest, now: Micros) -> Option<String> {
        let rooms = self.instances.iter().filter_map(|(id, instance)| {
            let room = self.room(instance, now)?;
            let is_unproven = instance.phase != Phase::Ready;
            Some((*id == waiting.avoid, is_unproven, self.is_remote(instance, waiting.zone), room, id))
        });
        let (is_avoided, _, is_remote, fewest, emptiest) = rooms.min()?;
        let last =
            self.last_instances.get(&waiting.requester).filter(|last| **last != waiting.avoid && !is_avoided);
        let last_room = last.and_then(|last| {
            let instance = self.instances.get(last)?;
            self.room(instance, now).filter(|_| is_remote || !self.is_remote(instance, waiting.zone))
        });
        let is_last_good = last_room.is_some_and(|calls| calls <= fewest.saturating_add(LAST_INSTANCE_MORE));
        last.filter(|_| is_last_good).or(Some(emptiest)).cloned()
    }

    fn is_remote(&self, instance: &Instance, zone: Zone) -> bool {
        self.zone_of(&instance.worker).is_remote_from(zone)
    }

    fn zone_of(&self, worker: &str) -> Zone {
        self.worker_zones.get(worker).copied().unwrap_or_default()
    }

    /// Cells that are not leaving, and starts under way, by zone.
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

    /// The zone that lacks a cell most, by where calls come from.
    fn zone_for_a_start(&self) -> Zone {
        let missing = self.zone_calls.missing(&self.instances_by_zone());
        let most = missing.into_iter().max_by(|(_, left), (_, right)| left.total_cmp(right));
        most.map_or(Zone::default(), |(zone, _)| zone)
    }

    /// Takes the zones of the workers. Example: `work.set_worker_zones(placement.zones())`.
    pub fn set_worker_zones(&mut self, zones: Arc<WorkerZones>) {
        self.worker_zones = zones;
    }

    /// Whose turn it is: a new steward's extra dispatches let others pass until they are granted.
    fn next_place(&mut self, now: Micros) -> Option<usize> {
        let is_extra_held = self.extras.is_young(now) && !self.extras.may_spend(now);
        let answered_at = now + self.usual_latency;
        let eligible = self.queue.iter().enumerate();
        let eligible = eligible.filter(|(_, waiting)| waiting.dispatches == 0 || !is_extra_held);
        self.turns.first(eligible, answered_at)
    }

    fn serve(&mut self, now: Micros) {
        while let Some(place) = self.next_place(now) {
            let waiting = &self.queue[place];
            if now >= waiting.ends_at {
                self.drop_waiting(place);
                continue;
            }
            if now + self.usual_latency > waiting.ends_at {
                let (requester, request_id) = (waiting.requester, waiting.request_id);
                self.drop_waiting(place);
                let retry_after = self.usual_latency + Micros::from_secs(1);
                self.defer(requester, request_id, Deferral::Refused, TOO_LATE, retry_after);
                continue;
            }
            let is_held = now < self.held_to.1 && self.open.len() >= self.held_to.0;
            if is_held || now < self.paused_until {
                return;
            }
            let Some(picked_id) = self.pick_instance(waiting, now) else { return };
            let Some(waiting) = self.queue.remove(place) else { return };
            self.turns.served(&self.queue, &waiting.urgency, waiting.turn);
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
            // Unique over stewards: the epoch is in it, so an old steward's ticket is never mistaken.
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

    /// Who cannot be served in time is told so at once, with when to come back.
    fn shed(&mut self, now: Micros) {
        let is_adopting = self.is_adopting && now < self.no_room_until;
        if self.queue.is_empty() || is_adopting {
            return;
        }
        let usable_count = self.usable_instances().count() as u64;
        let earliest_room = self
            .usable_instances()
            .map(|(_, instance)| match instance.phase {
                Phase::Unproven { trial_at } => trial_at.max(now),
                _ => now,
            })
            .chain(self.starting.values().map(|(sent_at, _)| (*sent_at + self.learnt_boot).max(now)))
            .min();
        let calls_at_once = u64::from(self.settings.calls_at_once);
        let cannot_grow = self.instance_count() >= self.allowed_instances() || now < self.no_room_until;
        let turn_time = Micros(self.usual_latency.0 / (usable_count * calls_at_once).max(1));
        let mut refused = Vec::new();
        // Where the cells are as many as there may be the calls take turns at them, in the order they are served in.
        let waiting_in_order = match cannot_grow {
            true => self.turns.in_order(&self.queue, now + self.usual_latency),
            false => self.queue.iter().collect(),
        };
        let mut place = 0;
        for waiting in waiting_in_order {
            let served_at = match earliest_room {
                Some(room_at) if cannot_grow => room_at + Micros(turn_time.0 * place),
                Some(room_at) => room_at,
                None if cannot_grow => now + self.learnt_boot,
                None => now,
            };
            // What cannot be answered in time is not begun: it would end as a call of unknown fate.
            if served_at + self.usual_latency > waiting.ends_at {
                refused.push((waiting.requester, waiting.request_id, served_at - now));
            } else {
                place += 1;
            }
        }
        for (requester, request_id, retry_after) in refused {
            self.withdraw(requester, request_id);
            self.defer(requester, request_id, Deferral::Refused, TOO_LATE, retry_after);
        }
    }

    /// A list that fills up turns calls away before the cells of one start after the other run: from an
    /// eighth on, and for an eighth of a boot, they are to be served within the time of such an eighth, and
    /// there are to be cells for all that come.
    fn pressed_instances(&self, now: Micros) -> u32 {
        let is_filling = self.queue.len() * 8 >= self.settings.queue_limit.max(8);
        let timeout = Micros(self.learnt_boot.0 / 8);
        let is_lasting = self.waiting_since.is_some_and(|since| now >= since + timeout);
        let needed_instances = self.instances_to_serve_within(timeout).max(self.instances_for_arrivals(now));
        if is_filling && is_lasting { needed_instances.min(self.settings.max_instances) } else { 0 }
    }

    /// Cells whose slots the calls that come keep taken, whatever waits already.
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
        let timeout = Micros(self.learnt_boot.0 / 4);
        // While a cell boots the calls may be waiting for just that one, unless more come than all will carry.
        let is_growing = !self.starting.is_empty()
            || self.instances.values().any(|instance| instance.booted_from.is_some());
        // Where cells are kept by idling, one too many is of use later.
        let is_counted = self.settings.idle.is_none();
        let is_coming = is_counted && is_growing && self.instance_count() >= self.instances_for_arrivals(now);
        let is_behind = !is_coming && self.waiting_since.is_some_and(|since| now >= since + timeout);
        let behind_instances = if is_behind { self.instance_count() + 1 } else { 0 };
        let pressed_instances = self.pressed_instances(now);
        let wanted = self
            .wanted_instances()
            .max(behind_instances.min(self.settings.max_instances))
            .max(pressed_instances)
            .min(self.allowed_instances());
        if self.instance_count() < wanted {
            self.waiting_since = None;
        }
        while self.instance_count() < wanted {
            self.next_start += 1;
            let start_id = format!("{}-{}-{}", self.function, self.leader_epoch, self.next_start);
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
                // Cells not known to run go first, so that the kept ones do run; then those of zones that have
                // more than their calls need.
                let missing = self.zone_calls.missing(&self.instances_by_zone());
                let missing_of = |instance: &Instance| {
                    let missing = missing.get(&self.zone_of(&instance.worker)).copied().unwrap_or(0.0);
                    (missing * 1e3) as i64
                };
                let mut by_worth: Vec<(bool, i64, u32, &String)> = self
                    .usable_instances()
                    .filter(|(_, instance)| !matches!(instance.phase, Phase::Trial))
                    .map(|(id, instance)| {
                        (instance.phase == Phase::Ready, missing_of(instance), instance.in_flight, id)
                    })
                    .collect();
                by_worth.sort();
                by_worth
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
            let is_due = stop_sent.is_none_or(|sent_at| now >= sent_at + STOP_REPEAT);
            if instance.in_flight == 0 && is_due {
                instance.phase = Phase::Draining { stop_sent: Some(now) };
                self.actions.push(SchedulerAction::Stop { instance: id.clone() });
            }
        }
    }
}

#[cfg(test)]
mod tests;
