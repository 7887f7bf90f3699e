//! This node's work as leader and as fallback of functions: terms, permits, instances, the split of quotas.

mod configured;
mod handover;
mod platform_operations;
mod quotas;

use crate::node::{Node, PAUSE_PER_MEMBER};
use crate::platform_list::PlatformListCache;
use crate::{Action, Policy};
use configuration_schema::{Function, FunctionTargets, KeptBy};
use deku::DekuContainerWrite;
use function_scheduler::{
    CostModel, Deferral, FallbackInstance, FallbackRequest, FallbackScheduler, FunctionScheduler,
    ListedInstance, ListedWorker, Placement, RequestDetails, SchedulerAction, SchedulerSettings,
    StartOutcome, StartRate, Urgency, Zone,
};
use handover::Handovers;
use leader_election::{ActionGuard, Election, ElectionSettings, TermChange};
use monotonic_clock::{Micros, Ticker};
use peer_messages::permit_request::{AS_LEADER, AS_RELAY};
use peer_messages::{
    Address, Bytes, DemandUpdate, HeldPermitsRequestEntry, HeldPermitsResponseEntry, List, Message, NodeId,
    Permit, ReadyInstanceEntry, ReadyInstancesUpdate,
};
use platform_operations::{QueuedStart, QueuedStop};
use quotas::Split;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

const START_QUEUE_LIMIT: usize = 2_048;
/// The epoch of the first leader of a function.
const FIRST_EPOCH: u64 = 1;
/// After a failed list the next one is requested sooner than usual.
const LIST_RETRY_PAUSE: Micros = Micros::from_millis(300);
const LIST_TIMEOUT: Micros = Micros::from_secs(3);
/// The request to a node that has not reported its held permits is repeated after this.
const HELD_REQUEST_TIMEOUT: Micros = Micros::from_millis(300);
const UNSETTLED_POLL_INTERVAL: Micros = Micros::from_millis(100);
const FRESH_LIST_AGE: Micros = Micros::from_millis(2_200);
/// The pause between two functions that a node transfers for balance, and its minimum for each member, since all
/// members may pick the same least loaded node.
const BALANCE_PAUSE: Micros = Micros::from_secs(2);
const BALANCE_PAUSE_A_MEMBER: Micros = Micros::from_millis(150);
/// The processor time of the leader for the request, grant and return of a call, in thousandths of a core for
/// one call a second (the whole path of a call takes 1.15 ms in `local_fleet`).
const CALL_COST_MILLICORES: f64 = 0.2;
/// A function that needs more than this share of the machine is transferred to a larger machine, if there is one.
const LARGE_SHARE: f64 = 0.33;
/// A machine counts as larger if it has this many times the processor time.
const LARGER_MACHINE_FACTOR: u32 = 2;
/// The interval of the checks for functions that are too large for this machine, and for idle functions.
const LARGE_CHECK_INTERVAL: Micros = Micros::from_millis(250);
/// An orphaned instance is kept for this long, since a newer configuration or a running call may still need it;
/// also the pause between two stops of the same instance.
const ORPHAN_GRACE: Micros = Micros::from_secs(5);
/// A new leader without a list starts no instances for this long, since it may not know of running ones.
const FIRST_LIST_WAIT: Micros = Micros::from_millis(1_500);

/// An instance of a function that is no longer configured.
#[derive(Debug)]
struct Orphan {
    since: Micros,
    /// When its stop was last requested.
    stop_requested_at: Option<Micros>,
}

#[derive(Debug)]
pub(crate) struct FunctionLeadership {
    pub(crate) election: Election,
    /// The members whose capacities were given to the election.
    capacity_members: Vec<NodeId>,
    schedulers: BTreeMap<String, FunctionScheduler>,
    fallbacks: BTreeMap<String, FallbackScheduler>,
    next_fallback_permit: u64,
    placement: Placement,
    rate: StartRate,
    queued_starts: VecDeque<QueuedStart>,
    /// Starts of functions without calls so far: they get the operations that are left over.
    queued_spare_starts: VecDeque<QueuedStart>,
    is_stop_turn: bool,
    pending_starts: BTreeMap<String, QueuedStart>,
    /// By instance, the function of each stop that was sent and has no response yet.
    pending_stops: BTreeMap<String, String>,
    queued_stops: VecDeque<QueuedStop>,
    /// Bars starts and stops for functions that this node leads but may not operate on yet.
    action_guard: ActionGuard,
    /// Memory counts as short until then, since a start recently found no room.
    memory_short_until: Micros,
    /// When this node itself requested the platform's list, if the response is still pending.
    pub(crate) list_requested_at: Option<Micros>,
    pub(crate) list_due: Micros,
    pub(crate) lists: PlatformListCache,
    instances: Vec<ListedInstance>,
    /// The hosts of these instances, as last sent to the gateway.
    instance_hosts: BTreeSet<IpAddr>,
    has_list: bool,
    poll_due: Micros,
    polled_at: Micros,
    held_requested_at: Micros,
    unsettled_poll_ticker: Ticker,
    /// As of the last check: the check covers all functions and is too costly for each tick.
    is_unsettled: bool,
    split_ticker: Ticker,
    split: Split,
    scheduler_ticker: Ticker,
    held_request_ticker: Ticker,
    /// When the held permits of a function were last requested.
    held_requested: BTreeMap<String, Micros>,
    is_held_request_due: bool,
    /// Instances of functions that are no longer configured.
    orphans: BTreeMap<String, Orphan>,
    demand_published: (Micros, DemandUpdate),
    instances_sequence: u64,
    no_room_reported: BTreeMap<String, Micros>,
    is_platform_silent: bool,
    pub(crate) is_list_stale: bool,
    /// When the newest list was requested, by this node or another.
    pub(crate) listed_at: Option<Micros>,
    balance_due: Micros,
    large_check_ticker: Ticker,
    idle_check_ticker: Ticker,
    /// The strictest target of the routes to each function, in milliseconds.
    targets: FunctionTargets,
    /// When this node first received a call of any function.
    pub(crate) traffic_since: Option<Micros>,
    /// The highest number of members known at once; the fallbacks' retry budget is divided by it.
    max_member_count: usize,
    /// Terms that are being transferred from this node or to it.
    handovers: Handovers,
    /// When fallbacks last lost their retry counts: at this node's start or when functions were removed.
    fallbacks_reset_at: Micros,
}

impl FunctionLeadership {
    pub(crate) fn new(own: NodeId, settings: ElectionSettings, now: Micros) -> FunctionLeadership {
        FunctionLeadership {
            action_guard: ActionGuard::new(settings.lease, now),
            election: Election::new(own, settings),
            capacity_members: Vec::new(),
            schedulers: BTreeMap::new(),
            fallbacks: BTreeMap::new(),
            next_fallback_permit: 0,
            placement: Placement::default(),
            rate: StartRate::new(),
            queued_starts: VecDeque::new(),
            queued_spare_starts: VecDeque::new(),
            is_stop_turn: false,
            pending_starts: BTreeMap::new(),
            pending_stops: BTreeMap::new(),
            queued_stops: VecDeque::new(),
            memory_short_until: Micros(0),
            list_requested_at: None,
            list_due: Micros(0),
            lists: PlatformListCache::default(),
            instances: Vec::new(),
            instance_hosts: BTreeSet::new(),
            has_list: false,
            poll_due: Micros(0),
            polled_at: Micros(0),
            held_requested_at: Micros(0),
            unsettled_poll_ticker: Ticker::every(UNSETTLED_POLL_INTERVAL),
            is_unsettled: true,
            split_ticker: Ticker::every(Micros::from_millis(100)),
            split: Split::default(),
            scheduler_ticker: Ticker::every(Micros::from_millis(40)),
            held_request_ticker: Ticker::every(Micros::from_millis(100)),
            held_requested: BTreeMap::new(),
            is_held_request_due: false,
            orphans: BTreeMap::new(),
            demand_published: (Micros(0), DemandUpdate { entries: List(Vec::new()) }),
            instances_sequence: 0,
            no_room_reported: BTreeMap::new(),
            is_platform_silent: false,
            is_list_stale: false,
            listed_at: None,
            balance_due: Micros(0),
            large_check_ticker: Ticker::every(LARGE_CHECK_INTERVAL),
            idle_check_ticker: Ticker::every(LARGE_CHECK_INTERVAL),
            targets: FunctionTargets::default(),
            traffic_since: None,
            max_member_count: 1,
            handovers: Handovers::default(),
            fallbacks_reset_at: now,
        }
    }
}

fn scheduler_settings(function: &Function, target: Option<u64>, costs: CostModel) -> SchedulerSettings {
    SchedulerSettings {
        calls_at_once: function.calls_at_once,
        boot: Micros::from_millis(function.boot_millis),
        idle: match function.kept_by {
            KeptBy::Idle => Some(Micros::from_secs(function.idle_seconds)),
            KeptBy::Cost => None,
        },
        memory_mb: function.instance_memory_mb,
        target: target.map(Micros::from_millis),
        costs,
        min_instances: function.min_instances,
        max_instances: function.max_instances,
        queue_limit: function.queue_limit as usize,
    }
}

impl Node {
    pub(crate) fn tick_leadership(&mut self) {
        let now = self.now;
        let members = self.serving_members();
        self.update_capacities(&members);
        self.leadership.max_member_count = self.leadership.max_member_count.max(self.member_count());
        let is_check_due = self.leadership.unsettled_poll_ticker.due(now);
        let pause = Micros(PAUSE_PER_MEMBER.0 * members.len() as u64);
        let (poll_every, poll_pause) = self.poll_pauses(members.len());
        if is_check_due {
            self.leadership.is_unsettled = self.leadership.election.is_unsettled(&members, now);
        }
        let is_unsettled = self.leadership.is_unsettled;
        let may_poll = now >= self.leadership.polled_at + poll_pause;
        if now >= self.leadership.poll_due || (is_unsettled && is_check_due && may_poll) {
            self.leadership.polled_at = now;
            let jitter = Micros(self.rng.u64(..poll_every.0 / 10 + 1));
            self.leadership.poll_due = now + poll_every - jitter;
            self.poll_records();
        }
        if self.leadership.idle_check_ticker.due(now) && self.is_on(Policy::IdleLeases) {
            let schedulers =
                self.leadership.schedulers.iter().filter(|(_, scheduler)| scheduler.is_idle(now));
            let idle = schedulers.map(|(function, _)| function.clone()).collect();
            self.leadership.election.set_idle_functions(idle);
        }
        let writes = self.leadership.election.tick(&members, now);
        self.send_leader_writes(writes);
        self.handle_term_changes();
        self.balance(&members, is_unsettled);
        if self.leadership.large_check_ticker.due(now) && self.is_on(Policy::LargeFunctions) {
            self.transfer_large_functions();
        }
        self.request_list();
        let may_request_held = now >= self.leadership.held_requested_at + pause.min(HELD_REQUEST_TIMEOUT);
        if (self.leadership.held_request_ticker.due(now) || self.leadership.is_held_request_due)
            && may_request_held
        {
            self.leadership.held_requested_at = now;
            self.request_held_permits();
        }
        self.tick_handovers();
        if self.leadership.split_ticker.due(now) {
            self.split_quotas(&members);
        }
        if self.leadership.scheduler_ticker.due(now) && !self.leadership.is_list_stale {
            let schedulers = &mut self.leadership.schedulers;
            let election = &self.leadership.election;
            let traffic_since = self.leadership.traffic_since;
            for (function, scheduler) in schedulers {
                if election.term(function, now).is_some() {
                    scheduler.set_traffic_since(traffic_since);
                    scheduler.tick(now);
                }
            }
        }
    }

    /// The interval between two polls of the leader records, and the minimum pause between two polls while a
    /// function has no leader. The pause grows with the number of nodes that poll the same recipient: the nodes
    /// of a zone for a relay, the relays for an owner. A relay polls twice as often, since other nodes see its
    /// results only with their next poll.
    fn poll_pauses(&self, member_count: usize) -> (Micros, Micros) {
        let poll = self.settings.election.poll;
        let pause = |requesters: usize| Micros(PAUSE_PER_MEMBER.0 * requesters as u64);
        match (self.zones.relay(), self.polled_relay()) {
            (None, _) => (poll, pause(member_count)),
            (Some(relay), _) if relay == self.settings.node => {
                (Micros(poll.0 / 2), pause(self.zones.count()))
            }
            (Some(_), Some(_)) => (poll, pause(self.zones.local_count())),
            (Some(_), None) => (poll, pause(member_count)),
        }
    }

    /// Transfers a function that is too large for this machine to a larger one. The election's gate counts only
    /// functions, so a single function with many calls may overload a small machine, and its lease would expire
    /// under the load. The recipient is the rendezvous choice among larger machines, which spreads several such
    /// functions. If no machine is larger, nothing is transferred.
    fn transfer_large_functions(&mut self) {
        let now = self.now;
        if self.draining_since.is_some() || !self.settings.election.gate {
            return;
        }
        let own_processor = self.settings.processor_millis;
        let max_call_rate = f64::from(own_processor) * LARGE_SHARE / CALL_COST_MILLICORES;
        let mut schedulers = self.leadership.schedulers.iter();
        let Some((function, scheduler)) =
            schedulers.find(|(_, scheduler)| scheduler.call_rate(now) > max_call_rate)
        else {
            return;
        };
        let (function, rate) = (function.clone(), scheduler.call_rate(now));
        let live = self.members.live().into_iter();
        let larger_machines = live.filter(|member| {
            member.draining == 0
                && member.state == 0
                && member.processor / LARGER_MACHINE_FACTOR >= own_processor
        });
        let Some(larger_machine) =
            Node::rendezvous_choice(&function, larger_machines.map(|member| member.node))
        else {
            return;
        };
        self.transfer_term(&function, larger_machine);
        self.decision_log.append(
            "steward_given",
            json!({"function": function, "to": format!("{larger_machine:016x}"), "calls_per_second": rate.round()}),
            now,
        );
        self.handle_term_changes();
    }

    /// Passes the capacities of the members' machines to the election when the members have changed.
    fn update_capacities(&mut self, members: &[NodeId]) {
        if self.leadership.capacity_members == members {
            return;
        }
        self.leadership.capacity_members = members.to_vec();
        let live = self.members.live();
        let capacities = live.iter().map(|member| (member.node, member.processor)).collect();
        self.leadership.election.set_capacities(capacities);
    }

    /// Transfers functions for balance. The gate balances only new terms: after machines return, the others still
    /// lead more than their share. A node above the mean therefore transfers an idle function to the least loaded
    /// node from time to time, unless that node would then be more loaded than this one.
    fn balance(&mut self, members: &[NodeId], is_unsettled: bool) {
        let now = self.now;
        if is_unsettled || self.draining_since.is_some() || now < self.leadership.balance_due {
            return;
        }
        let pause = BALANCE_PAUSE.max(Micros(BALANCE_PAUSE_A_MEMBER.0 * members.len() as u64));
        let jitter = Micros(self.rng.u64(..pause.0 / 2));
        self.leadership.balance_due = now + pause + jitter;
        if !self.settings.election.gate {
            return;
        }
        let counts = self.leadership.election.leader_counts(members, now);
        let own_count = self.leadership.election.own_count();
        let total: usize = counts.values().sum();
        let election = &self.leadership.election;
        let load = |node: NodeId, count: usize| count as f64 / election.capacity(node);
        let lightest = counts.iter().min_by(|(left, left_count), (right, right_count)| {
            load(**left, **left_count).total_cmp(&load(**right, **right_count))
        });
        let Some((lightest, fewest)) = lightest else { return };
        let own = self.settings.node;
        let is_above_mean = own_count as f64 > election.fair_share(own, members, total.saturating_sub(1));
        // After the transfer the recipient must not be more loaded than this node.
        let improves_balance = own_count > 0 && load(*lightest, fewest + 1) <= load(own, own_count - 1);
        if !is_above_mean || !improves_balance {
            return;
        }
        let schedulers = &self.leadership.schedulers;
        let idle = schedulers
            .iter()
            .find(|(_, scheduler)| scheduler.open_count() == 0 && scheduler.waiting_count() == 0);
        let Some(function) = idle.map(|(function, _)| function.clone()) else { return };
        let (lightest, fewest) = (*lightest, *fewest);
        self.transfer_term(&function, lightest);
        self.decision_log.append(
            "steward_given",
            json!({"function": function, "to": format!("{lightest:016x}"), "own": own_count, "theirs": fewest}),
            now,
        );
        self.handle_term_changes();
    }

    /// Names a successor for each function that this node leads and releases those without a successor.
    pub(crate) fn release_led_functions(&mut self) {
        let members = self.serving_members();
        if self.is_on(Policy::NamedSuccessors) {
            self.name_successors(&members);
        }
        self.leadership.election.release_all();
        let releases = self.leadership.election.tick(&members, self.now);
        self.send_leader_writes(releases);
        self.handle_term_changes();
    }

    fn handle_term_changes(&mut self) {
        for change in self.leadership.election.take_changes() {
            match change {
                TermChange::Taken {
                    function,
                    leader_epoch,
                    past_gate,
                    waited,
                    transferred_epoch,
                    is_first_or_reclaimed,
                } => {
                    self.decision_log.append(
                        "steward_taken",
                        json!({
                            "function": function, "steward_epoch": leader_epoch,
                            "past_gate": past_gate, "waited_micros": waited.0,
                        }),
                        self.now,
                    );
                    self.leadership.action_guard.term_taken(
                        &function,
                        leader_epoch,
                        (transferred_epoch, is_first_or_reclaimed),
                        self.now,
                    );
                    self.start_scheduler(&function, leader_epoch);
                    self.accept_handover(&function, transferred_epoch);
                }
                TermChange::Lost { function, leader_epoch, why } => {
                    self.decision_log.append(
                        "steward_lost",
                        json!({"function": function, "steward_epoch": leader_epoch, "why": why}),
                        self.now,
                    );
                    if let Some(scheduler) = self.leadership.schedulers.get_mut(&function) {
                        scheduler.defer_all();
                    }
                    self.flush_schedulers();
                    self.leadership.schedulers.remove(&function);
                    self.leadership.queued_starts.retain(|start| start.function != function);
                    self.leadership.queued_spare_starts.retain(|start| start.function != function);
                    self.leadership.queued_stops.retain(|stop| stop.function != function);
                }
            }
        }
    }

    fn start_scheduler(&mut self, function: &str, leader_epoch: u64) {
        let now = self.now;
        let configuration = self.configuration.current();
        let Some(settings) = configuration.functions.get(function) else { return };
        // Before the first leader of a function there are no instances of it and no permits for them.
        let is_first_leader = leader_epoch == FIRST_EPOCH;
        let peers = self.members.peers().filter(|_| !is_first_leader);
        let awaited_holders: Vec<NodeId> = peers.map(|member| member.node).collect();
        let mut scheduler = FunctionScheduler::new(
            function,
            self.settings.node,
            leader_epoch,
            scheduler_settings(settings, self.leadership.targets.get(function), self.settings.costs),
            awaited_holders,
            now,
        );
        scheduler.set_retry_limits(self.settings.retry_limits, now);
        scheduler.set_worker_zones(self.leadership.placement.zones());
        let known_ready: Vec<String> =
            self.known_ready(function).into_iter().map(|instance| instance.id).collect();
        if self.leadership.has_list {
            let own_instances = instances_of(&self.leadership.instances, function);
            scheduler.handle_list(&own_instances, &known_ready, now, now);
        } else {
            scheduler.hold_starts(now + FIRST_LIST_WAIT);
        }
        let own_held = self.calls.held_for(function, now);
        let held_permits =
            own_held.into_iter().map(|held| (held.permit, Micros(held.ends_in_micros))).collect();
        scheduler.record_held_permits(self.settings.node, held_permits, now);
        self.leadership.schedulers.insert(function.to_owned(), scheduler);
        // Held permits are requested at the next tick, in one batch with other functions taken by then.
        self.leadership.held_requested.remove(function);
        self.leadership.is_held_request_due = true;
    }

    /// Requests the held permits of a peer that has returned: during a partition, fallbacks on the other side
    /// may have granted permits for the same instances.
    pub(crate) fn peer_returned(&mut self, node: NodeId) {
        let now = self.now;
        for scheduler in self.leadership.schedulers.values_mut() {
            scheduler.peer_returned(node, now);
        }
        self.leadership.held_requested.clear();
        self.request_held_permits();
    }

    /// Requests the held permits, in one message for each node.
    fn request_held_permits(&mut self) {
        let now = self.now;
        let leadership = &mut self.leadership;
        leadership.is_held_request_due = false;
        let mut groups: BTreeMap<NodeId, Vec<HeldPermitsRequestEntry>> = BTreeMap::new();
        for (function, scheduler) in &leadership.schedulers {
            let requested_at = leadership.held_requested.get(function);
            let is_due = requested_at.is_none_or(|requested_at| now >= *requested_at + HELD_REQUEST_TIMEOUT);
            if !is_due || scheduler.awaited_holders().is_empty() {
                continue;
            }
            leadership.held_requested.insert(function.clone(), now);
            for node in scheduler.awaited_holders() {
                let entry = HeldPermitsRequestEntry {
                    function: function.as_str().into(),
                    leader_epoch: scheduler.leader_epoch(),
                };
                groups.entry(*node).or_default().push(entry);
            }
        }
        let schedulers = &leadership.schedulers;
        leadership.held_requested.retain(|function, _| schedulers.contains_key(function));
        for (node, entries) in groups {
            self.send(node, Message::HeldPermitsRequest { functions: List(entries) });
        }
    }

    pub(crate) fn handle_leadership_message(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::PermitRequest { .. } => self.handle_permit_request(from, message),
            Message::PermitReturn { permit, outcome, latency_micros } => {
                let latency = Micros(latency_micros);
                if permit.leader_epoch == 0 {
                    if let Some(fallback) = self.leadership.fallbacks.get_mut(&permit.function.0) {
                        fallback.handle_permit_return(permit.id, outcome, now);
                    }
                    return;
                }
                if let Some(scheduler) = self.leadership.schedulers.get_mut(&permit.function.0) {
                    scheduler.handle_permit_return(&permit, outcome, latency, now);
                }
                self.forward_return(&permit, outcome, latency_micros);
                self.relay_return(permit, outcome, latency_micros);
            }
            Message::PermitWithdraw { request_id, function } => {
                if let Some(scheduler) = self.leadership.schedulers.get_mut(&function.0) {
                    scheduler.withdraw(from, request_id);
                }
                self.relay_withdraw(from, request_id, &function.0);
            }
            Message::TermTransferred { .. } => self.term_transferred(from, message),
            Message::HeldPermitsResponse { functions } => {
                for response in functions.0 {
                    self.held_permits_received(from, response);
                }
            }
            _ => {}
        }
    }

    /// Handles a permit request as the function's leader, else as its fallback, which grants or relays it; else
    /// responds that this node is not the leader.
    fn handle_permit_request(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        let Message::PermitRequest {
            request_id,
            ref function,
            time_left_micros,
            dispatches,
            ref avoid,
            fallback,
            target_left_micros,
            rank,
            nested,
            tenant,
        } = message
        else {
            return;
        };
        let time_left = Micros(time_left_micros);
        self.leadership.traffic_since.get_or_insert(now);
        let is_leader =
            self.leadership.election.term(&function.0, now).is_some() && !self.leadership.is_list_stale;
        if !is_leader && self.handle_request_during_handover(from, &message) {
            return;
        }
        let zone = self.zones.zone_of(from).filter(|_| self.is_on(Policy::LocalInstances));
        let zone = zone.map_or(Zone::default(), Zone::named);
        let scheduler = self.leadership.schedulers.get_mut(&function.0).filter(|_| is_leader);
        if let Some(scheduler) = scheduler {
            let late_at = Micros(now.0.saturating_add(target_left_micros));
            let urgency = Urgency { late_at, rank, tenant, is_nested: nested == 1 };
            let details = RequestDetails { avoid: &avoid.0, urgency, zone };
            scheduler.request_with_details(from, request_id, time_left, u32::from(dispatches), details, now);
            return;
        }
        let leader = self.leader_of(&function.0);
        if leader.is_none() {
            self.leadership.election.record_waiting_call(&function.0);
        }
        if fallback != AS_LEADER && self.handle_request_as_fallback(from, leader, &message) {
            return;
        }
        let reason = "not the steward".into();
        self.send(from, Message::PermitDeferred { request_id, outcome: 2, reason, retry_after_millis: 0 });
    }

    /// Grants a permit as fallback, as far as its limits allow. Otherwise relays the request if the requester
    /// cannot reach the leader and this node has recently received a message of it; a leader that is only slow
    /// gets no second request. `true` if the request was granted or relayed.
    fn handle_request_as_fallback(
        &mut self,
        from: NodeId,
        leader: Option<NodeId>,
        message: &Message,
    ) -> bool {
        let Message::PermitRequest {
            request_id,
            function,
            time_left_micros,
            dispatches,
            avoid,
            fallback,
            ..
        } = message
        else {
            return false;
        };
        let time_left = Micros(*time_left_micros);
        if let Some(permit) = self.fallback_permit(&function.0, *dispatches > 0, &avoid.0, time_left) {
            self.counts.fallback_permits += 1;
            self.send(from, Message::PermitGranted { request_id: *request_id, permit });
            return true;
        }
        let is_relay = *fallback == AS_RELAY && self.is_on(Policy::FallbackSchedulers);
        let leader = leader.filter(|node| is_relay && self.has_received_recently(*node));
        leader.is_some_and(|node| self.relay_request(from, node, message.clone()))
    }

    fn held_permits_received(&mut self, from: NodeId, response: HeldPermitsResponseEntry) {
        let now = self.now;
        let Some(scheduler) = self.leadership.schedulers.get_mut(&response.function.0) else { return };
        if scheduler.leader_epoch() != response.leader_epoch || !scheduler.awaited_holders().contains(&from) {
            return;
        }
        let held_permits = response
            .permits
            .0
            .into_iter()
            .map(|held| (held.permit, Micros(held.ends_in_micros.min(120_000_000))))
            .collect();
        scheduler.record_held_permits(from, held_permits, now);
    }

    fn fallback_permit(
        &mut self,
        function: &str,
        is_retry: bool,
        avoid: &str,
        time_left: Micros,
    ) -> Option<Permit> {
        let now = self.now;
        // A fallback depends on the list alone: without a fresh one it may not know of draining instances.
        if self.draining_since.is_some()
            || self.leadership.is_list_stale
            || !self.has_fresh_list()
            || !self.is_on(Policy::FallbackSchedulers)
        {
            return None;
        }
        let calls_at_once = self.configuration.current().functions.get(function)?.calls_at_once;
        let known = self.known_ready(function);
        let instances: Vec<FallbackInstance> = self
            .leadership
            .instances
            .iter()
            .filter(|listed| listed.function == function && !listed.draining)
            .map(|listed| FallbackInstance {
                id: listed.id.clone(),
                address: listed.address,
                is_known: known.iter().any(|ready| ready.id == listed.id),
            })
            .collect();
        self.leadership.next_fallback_permit += 1;
        let permit_name = format!("{:x}/{}", self.settings.node, self.leadership.next_fallback_permit);
        let request = FallbackRequest {
            permit_id: peer_messages::stable_hash(permit_name.as_bytes()),
            function,
            is_retry,
            avoid,
            ends_at: now + time_left + Micros::from_secs(1),
        };
        let own = self.settings.node;
        let retry_limits = self.settings.retry_limits;
        let retry_share = retry_limits.fallback_share(self.leadership.max_member_count);
        let opens_at = self.leadership.fallbacks_reset_at + retry_limits.span();
        let fallback = self.leadership.fallbacks.entry(function.to_owned()).or_default();
        fallback.set_retry_share(retry_share, retry_limits.span(), opens_at);
        fallback.grant(own, request, &instances, calls_at_once, now)
    }

    /// Whether the newest list was requested recently.
    pub(crate) fn has_fresh_list(&self) -> bool {
        self.leadership.listed_at.is_some_and(|listed_at| self.now < listed_at + FRESH_LIST_AGE)
    }

    /// Whether the list shows the permit's instance as draining, or its address in use by another instance.
    pub(crate) fn is_barred(&self, permit: &Permit) -> bool {
        let address = permit.address.socket();
        let instances = &self.leadership.instances;
        match instances.iter().find(|listed| listed.id == permit.instance.0) {
            Some(listed) => listed.draining || listed.address != address,
            None => instances.iter().any(|listed| listed.address == address && !listed.draining),
        }
    }

    /// Whether this node's own list request to the platform is pending.
    pub(crate) fn is_platform_requested(&self) -> bool {
        self.leadership.list_requested_at.is_some_and(|requested_at| self.now < requested_at + LIST_TIMEOUT)
    }

    /// Requests the list when it is due, from the platform or from the peer that lists for the fleet.
    fn request_list(&mut self) {
        let now = self.now;
        if self.check_pull() || self.is_platform_requested() || now < self.leadership.list_due {
            return;
        }
        let lister = self.lister();
        let is_own = lister == self.settings.node;
        let list_every = self.list_pause(lister);
        let jitter = Micros(self.rng.u64(..list_every.0 / 5 + 1));
        self.leadership.list_due = now + list_every + jitter;
        match is_own {
            true => self.request_platform_list(),
            false => self.pull_list(lister),
        }
    }

    /// After a freeze no permits are granted until a new list request has completed.
    pub(crate) fn resumed_after_freeze(&mut self) {
        self.leadership.list_requested_at = None;
        self.leadership.lists.forget_pull();
        self.leadership.list_due = self.now;
        self.leadership.is_list_stale = true;
        self.suspect_configuration();
        self.decision_log.append("woke_up", json!({}), self.now);
    }

    pub(crate) fn list_failed(&mut self) {
        self.leadership.list_requested_at = None;
        self.leadership.is_list_stale = false;
        self.leadership.list_due = self.now + LIST_RETRY_PAUSE;
        if !self.leadership.is_platform_silent {
            self.leadership.is_platform_silent = true;
            self.decision_log.append("platform_silent", json!({}), self.now);
        }
        self.record_list_failure();
    }

    pub(crate) fn handle_list_result(&mut self, workers: Vec<ListedWorker>, instances: Vec<ListedInstance>) {
        let Some(requested_at) = self.leadership.list_requested_at.take() else { return };
        self.leadership.is_list_stale = false;
        self.record_list(&workers, &instances, requested_at);
        self.update_list(workers, instances, requested_at);
    }

    /// Applies a list that was requested at the given time by this node or by a peer.
    pub(crate) fn update_list(
        &mut self,
        workers: Vec<ListedWorker>,
        mut instances: Vec<ListedInstance>,
        requested_at: Micros,
    ) {
        let now = self.now;
        self.leadership.listed_at = Some(requested_at);
        if std::mem::take(&mut self.leadership.is_platform_silent) {
            self.decision_log.append("platform_answers", json!({}), now);
        }
        let mut used_memory: BTreeMap<String, u64> = BTreeMap::new();
        let configuration = self.configuration.current();
        for instance in &mut instances {
            // If the platform does not report an instance's memory, the function's configured memory is used.
            if instance.memory_mb == 0 {
                instance.memory_mb =
                    configuration.functions.get(&instance.function).map_or(0, |f| f.instance_memory_mb);
            }
        }
        for instance in &instances {
            *used_memory.entry(instance.worker.clone()).or_default() += instance.memory_mb;
        }
        self.leadership.placement.update_list(workers, used_memory);
        for instance in &mut instances {
            // The instances of a draining worker are draining as well.
            instance.draining |= !self.leadership.placement.is_usable(&instance.worker);
        }
        self.leadership.instances = instances;
        self.leadership.has_list = true;
        self.emit_instance_hosts();
        let functions: Vec<String> = self.leadership.schedulers.keys().cloned().collect();
        for function in functions {
            let known_ready: Vec<String> =
                self.known_ready(&function).into_iter().map(|instance| instance.id).collect();
            let own_instances = instances_of(&self.leadership.instances, &function);
            if let Some(scheduler) = self.leadership.schedulers.get_mut(&function) {
                scheduler.handle_list(&own_instances, &known_ready, requested_at, now);
                let placement = &self.leadership.placement;
                scheduler.set_worker_zones(placement.zones());
                scheduler.evacuate_workers(|worker| placement.is_usable(worker), now);
            }
        }
        self.stop_orphans();
    }

    /// Sends the hosts of the instances to the gateway when the list shows a change.
    fn emit_instance_hosts(&mut self) {
        let hosts: BTreeSet<IpAddr> =
            self.leadership.instances.iter().map(|instance| instance.address.ip()).collect();
        if hosts != self.leadership.instance_hosts {
            self.leadership.instance_hosts.clone_from(&hosts);
            self.emit(Action::InstanceHosts { hosts });
        }
    }

    /// Stops the instances of functions that are no longer configured after a grace period. The rendezvous choice
    /// for the function does this, under a term that it claims for the purpose and releases when none is left.
    fn stop_orphans(&mut self) {
        let now = self.now;
        let configuration = self.configuration.current();
        if self.configuration.generation() == 0 || !self.configuration.is_ready() {
            return;
        }
        let listed = self.leadership.instances.iter();
        let instances: BTreeMap<String, String> = listed
            .filter(|instance| {
                !configuration.functions.contains_key(&instance.function) && !instance.draining
            })
            .map(|instance| (instance.id.clone(), instance.function.clone()))
            .collect();
        self.leadership.orphans.retain(|instance, _| instances.contains_key(instance));
        let members = self.serving_members();
        let mut orphaned_functions = BTreeSet::new();
        for (instance, function) in instances {
            let new_orphan = Orphan { since: now, stop_requested_at: None };
            let orphan = self.leadership.orphans.entry(instance.clone()).or_insert(new_orphan);
            let chosen = Node::rendezvous_choice(&function, members.iter().copied());
            if chosen != Some(self.settings.node) || now < orphan.since + ORPHAN_GRACE {
                continue;
            }
            let is_led = self.leadership.election.term(&function, now).is_some();
            let is_requested =
                orphan.stop_requested_at.is_some_and(|requested_at| now < requested_at + ORPHAN_GRACE);
            if is_led && !is_requested {
                orphan.stop_requested_at = Some(now);
                self.leadership.queued_stops.retain(|stop| stop.instance != instance);
                self.leadership.queued_stops.push_back(QueuedStop {
                    function: function.clone(),
                    instance,
                    since: now,
                });
            }
            orphaned_functions.insert(function);
        }
        self.leadership.election.set_orphaned_functions(orphaned_functions, now);
    }

    /// Carries out the actions of all schedulers and sends queued starts and stops to the platform.
    pub(crate) fn flush_leadership(&mut self) {
        self.flush_schedulers();
        self.send_platform_operations();
    }

    fn flush_schedulers(&mut self) {
        let mut all_actions = Vec::new();
        for (function, scheduler) in &mut self.leadership.schedulers {
            let actions = scheduler.take_actions();
            if !actions.is_empty() {
                all_actions.push((function.clone(), actions));
            }
        }
        for (function, actions) in all_actions {
            for action in actions {
                self.handle_scheduler_action(&function, action);
            }
        }
    }

    fn handle_scheduler_action(&mut self, function: &str, action: SchedulerAction) {
        match action {
            SchedulerAction::Grant { requester, request_id, permit, is_remote } => {
                // Fencing: no permit is sent after the end of the term.
                if self.leadership.election.term(function, self.now).is_none() {
                    return;
                }
                self.counts.permits_granted += 1;
                self.counts.remote_permits += u64::from(is_remote);
                self.send(requester, Message::PermitGranted { request_id, permit });
            }
            SchedulerAction::Defer { requester, request_id, deferral, reason, retry_after } => {
                let outcome = match deferral {
                    Deferral::Waiting => 0,
                    Deferral::Refused => 1,
                    Deferral::NotLeader => 2,
                };
                if outcome == 1 {
                    self.counts.requests_refused += 1;
                    self.decision_log.append(
                        "refused",
                        json!({"function": function, "reason": reason}),
                        self.now,
                    );
                }
                let message = Message::PermitDeferred {
                    request_id,
                    outcome,
                    reason: reason.into(),
                    retry_after_millis: retry_after.millis(),
                };
                self.send(requester, message);
            }
            SchedulerAction::Start { start_id, zone, is_spare } => {
                let queued_starts = match is_spare {
                    true => &mut self.leadership.queued_spare_starts,
                    false => &mut self.leadership.queued_starts,
                };
                if queued_starts.len() >= START_QUEUE_LIMIT {
                    if let Some(scheduler) = self.leadership.schedulers.get_mut(function) {
                        scheduler.handle_start_outcome(&start_id, StartOutcome::NoRoom, self.now);
                    }
                    return;
                }
                let function = function.to_owned();
                let start =
                    QueuedStart { function, start_id, worker: None, zone, attempts: 0, sent_epoch: None };
                queued_starts.push_back(start);
            }
            SchedulerAction::Stop { instance } => {
                let is_waiting =
                    self.leadership.queued_stops.iter().any(|waiting| waiting.instance == instance);
                if !is_waiting {
                    let stop = QueuedStop { function: function.to_owned(), instance, since: self.now };
                    self.leadership.queued_stops.push_back(stop);
                }
            }
            SchedulerAction::ReadyChanged => self.publish_ready_instances(function),
        }
    }

    fn publish_ready_instances(&mut self, function: &str) {
        let Some(scheduler) = self.leadership.schedulers.get(function) else { return };
        let instances = scheduler
            .ready_instances()
            .into_iter()
            .map(|ready| ReadyInstanceEntry {
                instance: ready.id.into(),
                address: Address::from(ready.address),
            })
            .collect();
        let topic = format!("cells/{function}");
        self.leadership.instances_sequence += 1;
        // The epoch is in the high bits, so an update of a new leader always replaces one of an earlier leader.
        let epoch_bits = scheduler.leader_epoch() << 24;
        let sequence = (self.gossip.sequence(&topic) + 1)
            .max(epoch_bits + self.leadership.instances_sequence % (1 << 24));
        let body = Bytes(ReadyInstancesUpdate { instances }.to_bytes().unwrap_or_default());
        self.gossip.publish(&topic, self.settings.node, sequence, body);
    }
}

fn instances_of(instances: &[ListedInstance], function: &str) -> Vec<ListedInstance> {
    instances.iter().filter(|instance| instance.function == function).cloned().collect()
}
