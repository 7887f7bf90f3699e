//! What this node does as steward and as deputy: terms, tickets, cells, the split of allowances.

mod configured;
mod handover;
mod platform_operations;
mod quotas;

use crate::node::{Node, PAUSE_A_MEMBER};
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
use platform_operations::{WaitingStart, WaitingStop};
use quotas::Split;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

const START_QUEUE_LIMIT: usize = 2_048;
/// The epoch of the first steward that a function ever has.
const FIRST_EPOCH: u64 = 1;
/// After a failed list the next is asked for sooner.
const LIST_AGAIN: Micros = Micros::from_millis(300);
const LIST_TIMEOUT: Micros = Micros::from_secs(3);
/// Whoever did not tell which tickets it holds is asked again after this.
const HELD_TIMEOUT: Micros = Micros::from_millis(300);
const UNSETTLED_POLL: Micros = Micros::from_millis(100);
const FRESH_LIST_AGE: Micros = Micros::from_millis(2_200);
/// Between two functions that a node gives up for balance, and at least so long for each member: all of them may
/// find the same node the lightest.
const BALANCE_PAUSE: Micros = Micros::from_secs(2);
const BALANCE_PAUSE_A_MEMBER: Micros = Micros::from_millis(150);
/// Processor time that a steward spends on a call: the ask, the grant and the return, in thousandths of a
/// core for one call a second (`local_fleet` takes 1.15 ms for a call's whole way).
const CALL_COST: f64 = 0.2;
/// A function that takes more than this part of the machine goes to a larger one, where there is one.
const LARGE_SHARE: f64 = 0.33;
/// A machine is larger where it has so many times the processor time.
const LARGER: u32 = 2;
/// Between two looks for functions that are too large for this machine, and for those that nobody calls.
const LARGE_CHECK_INTERVAL: Micros = Micros::from_millis(250);
/// For so long a newer configuration or a running call may still want a cell whose function is no more; and between
/// two stops of such a cell.
const ORPHAN_GRACE: Micros = Micros::from_secs(5);
/// Until the first list is in, a new steward may not know of cells that run: it starts none.
const ADOPTION_SPAN: Micros = Micros::from_millis(1_500);

/// A cell of a function that is configured no more.
#[derive(Debug)]
struct Orphan {
    since: Micros,
    /// When its stop was asked for last.
    stop_requested_at: Option<Micros>,
}

#[derive(Debug)]
pub(crate) struct FunctionLeadership {
    pub(crate) election: Election,
    /// The members whose capacities the election knows.
    weighed_members: Vec<NodeId>,
    works: BTreeMap<String, FunctionScheduler>,
    fallbacks: BTreeMap<String, FallbackScheduler>,
    next_fallback_permit: u64,
    placement: Placement,
    rate: StartRate,
    starts: VecDeque<WaitingStart>,
    /// Starts of functions that nobody called yet: they get what acts are left.
    spare_starts: VecDeque<WaitingStart>,
    is_stop_turn: bool,
    starts_out: BTreeMap<String, WaitingStart>,
    /// The functions of cells whose stop was sent and not answered yet.
    stops_out: BTreeMap<String, String>,
    stops: VecDeque<WaitingStop>,
    /// Functions that this node leads and does not start or stop cells of yet.
    action_guard: ActionGuard,
    /// Memory is short as far as is known: a start found no room lately.
    short_until: Micros,
    /// When the platform was asked by this node itself, if its answer is still out.
    pub(crate) list_requested_at: Option<Micros>,
    pub(crate) list_due: Micros,
    pub(crate) lists: PlatformListCache,
    instances: Vec<ListedInstance>,
    /// The hosts of those cells, as the front was told.
    instance_hosts: BTreeSet<IpAddr>,
    has_list: bool,
    poll_due: Micros,
    polled_at: Micros,
    held_requested_at: Micros,
    unsettled_poll: Ticker,
    /// As of the last look: going through all functions is not done at each clock event.
    is_unsettled: bool,
    split_event: Ticker,
    split: Split,
    work_event: Ticker,
    held_event: Ticker,
    /// When holders of tickets were last asked about a function.
    held_requested: BTreeMap<String, Micros>,
    is_held_request_due: bool,
    /// Cells of functions that are configured no more.
    orphans: BTreeMap<String, Orphan>,
    demand_published: (Micros, DemandUpdate),
    instances_sequence: u64,
    no_room_reported: BTreeMap<String, Micros>,
    is_platform_silent: bool,
    pub(crate) is_list_stale: bool,
    /// When the newest list was asked for, by whichever node asked.
    pub(crate) listed_at: Option<Micros>,
    balance_due: Micros,
    large_check: Ticker,
    idle_check: Ticker,
    /// The strictest target of the lanes that lead to each function, in milliseconds.
    targets: FunctionTargets,
    /// When this node first saw a call of whatever function.
    pub(crate) traffic_since: Option<Micros>,
    /// The most nodes ever known at once: deputies share their extra dispatches.
    most_nodes: usize,
    /// Terms on their way from this node, and to it.
    handovers: Handovers,
    /// Deputies forgot their extra dispatches then, at this node's start or with their functions.
    fallbacks_from: Micros,
}

impl FunctionLeadership {
    pub(crate) fn new(own: NodeId, settings: ElectionSettings, now: Micros) -> FunctionLeadership {
        FunctionLeadership {
            action_guard: ActionGuard::new(settings.lease, now),
            election: Election::new(own, settings),
            weighed_members: Vec::new(),
            works: BTreeMap::new(),
            fallbacks: BTreeMap::new(),
            next_fallback_permit: 0,
            placement: Placement::default(),
            rate: StartRate::new(),
            starts: VecDeque::new(),
            spare_starts: VecDeque::new(),
            is_stop_turn: false,
            starts_out: BTreeMap::new(),
            stops_out: BTreeMap::new(),
            stops: VecDeque::new(),
            short_until: Micros(0),
            list_requested_at: None,
            list_due: Micros(0),
            lists: PlatformListCache::default(),
            instances: Vec::new(),
            instance_hosts: BTreeSet::new(),
            has_list: false,
            poll_due: Micros(0),
            polled_at: Micros(0),
            held_requested_at: Micros(0),
            unsettled_poll: Ticker::every(UNSETTLED_POLL),
            is_unsettled: true,
            split_event: Ticker::every(Micros::from_millis(100)),
            split: Split::default(),
            work_event: Ticker::every(Micros::from_millis(40)),
            held_event: Ticker::every(Micros::from_millis(100)),
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
            large_check: Ticker::every(LARGE_CHECK_INTERVAL),
            idle_check: Ticker::every(LARGE_CHECK_INTERVAL),
            targets: FunctionTargets::default(),
            traffic_since: None,
            most_nodes: 1,
            handovers: Handovers::default(),
            fallbacks_from: now,
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
    pub(crate) fn tick_leaders(&mut self) {
        let now = self.now;
        let members = self.serving_members();
        self.weigh_members(&members);
        self.leadership.most_nodes = self.leadership.most_nodes.max(self.member_count());
        let is_check_due = self.leadership.unsettled_poll.due(now);
        let pause = Micros(PAUSE_A_MEMBER.0 * members.len() as u64);
        let (poll_every, poll_pause) = self.poll_pauses(members.len());
        if is_check_due {
            self.leadership.is_unsettled = self.leadership.election.is_unsettled(&members, now);
        }
        let is_unsettled = self.leadership.is_unsettled;
        let is_poll_imminent = now >= self.leadership.polled_at + poll_pause;
        if now >= self.leadership.poll_due || (is_unsettled && is_check_due && is_poll_imminent) {
            self.leadership.polled_at = now;
            let jitter = Micros(self.rng.u64(..poll_every.0 / 10 + 1));
            self.leadership.poll_due = now + poll_every - jitter;
            self.poll_records();
        }
        if self.leadership.idle_check.due(now) && self.is_on(Policy::IdleLeases) {
            let works = self.leadership.works.iter().filter(|(_, work)| work.is_idle(now));
            let idle = works.map(|(function, _)| function.clone()).collect();
            self.leadership.election.set_idle_functions(idle);
        }
        let writes = self.leadership.election.tick(&members, now);
        self.send_leader_writes(writes);
        self.handle_term_changes();
        self.balance(&members, is_unsettled);
        if self.leadership.large_check.due(now) && self.is_on(Policy::LargeFunctions) {
            self.transfer_large_functions();
        }
        self.request_list();
        let is_held_local = now >= self.leadership.held_requested_at + pause.min(HELD_TIMEOUT);
        if (self.leadership.held_event.due(now) || self.leadership.is_held_request_due) && is_held_local {
            self.leadership.held_requested_at = now;
            self.request_held_permits();
        }
        self.tick_handovers();
        if self.leadership.split_event.due(now) {
            self.split_quotas(&members);
        }
        if self.leadership.work_event.due(now) && !self.leadership.is_list_stale {
            let works = &mut self.leadership.works;
            let election = &self.leadership.election;
            let traffic_since = self.leadership.traffic_since;
            for (function, work) in works {
                if election.term(function, now).is_some() {
                    work.set_traffic_since(traffic_since);
                    work.tick(now);
                }
            }
        }
    }

    /// Between two polls of the leader records, and at the least between two while something is unheld: who
    /// is asked meets so many askers, which is the nodes of a zone for a relay, and the relays for an owner. A
    /// relay polls twice as often, since what it hears reaches others a poll later.
    fn poll_pauses(&self, member_count: usize) -> (Micros, Micros) {
        let poll = self.settings.election.poll;
        let pause = |requesters: usize| Micros(PAUSE_A_MEMBER.0 * requesters as u64);
        match (self.zones.relay(), self.polled_relay()) {
            (None, _) => (poll, pause(member_count)),
            (Some(relay), _) if relay == self.settings.node => {
                (Micros(poll.0 / 2), pause(self.zones.count()))
            }
            (Some(_), Some(_)) => (poll, pause(self.zones.local_count())),
            (Some(_), None) => (poll, pause(member_count)),
        }
    }

    /// The gate counts functions, and one that is called very often may be more than a small machine can
    /// carry, however few it holds: its lease would run out under the calls. It is given to a larger machine,
    /// by rendezvous among those, so that several such functions spread. Where all machines are alike nothing
    /// is given.
    fn transfer_large_functions(&mut self) {
        let now = self.now;
        if self.draining_since.is_some() || !self.settings.election.gate {
            return;
        }
        let own_processor = self.settings.processor_millis;
        let most_rate = f64::from(own_processor) * LARGE_SHARE / CALL_COST;
        let mut works = self.leadership.works.iter();
        let Some(function) = works.find(|(_, work)| work.call_rate(now) > most_rate) else { return };
        let (function, rate) = (function.0.clone(), function.1.call_rate(now));
        let live = self.members.live().into_iter();
        let larger = live.filter(|member| {
            member.draining == 0 && member.state == 0 && member.processor / LARGER >= own_processor
        });
        let Some(larger) = Node::rendezvous_choice(&function, larger.map(|member| member.node)) else {
            return;
        };
        self.transfer_term(&function, larger);
        self.decision_log.append(
            "steward_given",
            json!({"function": function, "to": format!("{larger:016x}"), "calls_per_second": rate.round()}),
            now,
        );
        self.handle_term_changes();
    }

    /// Tells the election what the members' machines can carry, when there are others than before.
    fn weigh_members(&mut self, members: &[NodeId]) {
        if self.leadership.weighed_members == members {
            return;
        }
        self.leadership.weighed_members = members.to_vec();
        let live = self.members.live();
        let capacities = live.iter().map(|member| (member.node, member.processor)).collect();
        self.leadership.election.set_capacities(capacities);
    }

    /// The gate balances takings only; after machines come back the others still hold more than their
    /// share. So a node above the mean now and then gives one function that no call uses to the
    /// lightest node, as long as that has at least two fewer.
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
        let filled = |node: NodeId, count: usize| count as f64 / election.capacity(node);
        let lightest = counts.iter().min_by(|(left, left_count), (right, right_count)| {
            filled(**left, **left_count).total_cmp(&filled(**right, **right_count))
        });
        let Some((lightest, fewest)) = lightest else { return };
        let own = self.settings.node;
        let is_above_mean = own_count as f64 > election.fair_share(own, members, total.saturating_sub(1));
        // Giving one away must leave the other no fuller than this node is then.
        let is_worth_it = own_count > 0 && filled(*lightest, fewest + 1) <= filled(own, own_count - 1);
        if !is_above_mean || !is_worth_it {
            return;
        }
        let works = &self.leadership.works;
        let idle = works.iter().find(|(_, work)| work.open_count() == 0 && work.waiting_count() == 0);
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

    /// Names a successor for all that this node leads, and gives back what nobody can be named for.
    pub(crate) fn release_leaders(&mut self) {
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
                    is_kept,
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
                        (transferred_epoch, is_kept),
                        self.now,
                    );
                    self.begin_work(&function, leader_epoch);
                    self.accept_handover(&function, transferred_epoch);
                }
                TermChange::Lost { function, leader_epoch, why } => {
                    self.decision_log.append(
                        "steward_lost",
                        json!({"function": function, "steward_epoch": leader_epoch, "why": why}),
                        self.now,
                    );
                    if let Some(work) = self.leadership.works.get_mut(&function) {
                        work.defer_all();
                    }
                    self.flush_works();
                    self.leadership.works.remove(&function);
                    self.leadership.starts.retain(|start| start.function != function);
                    self.leadership.spare_starts.retain(|start| start.function != function);
                    self.leadership.stops.retain(|stop| stop.function != function);
                }
            }
        }
    }

    fn begin_work(&mut self, function: &str, leader_epoch: u64) {
        let now = self.now;
        let configuration = self.configuration.current();
        let Some(settings) = configuration.functions.get(function) else { return };
        // Before a function's first steward nobody started a cell of it, and nobody holds a ticket for one.
        let is_first_leader = leader_epoch == FIRST_EPOCH;
        let peers = self.members.peers().filter(|_| !is_first_leader);
        let awaited_holders: Vec<NodeId> = peers.map(|member| member.node).collect();
        let mut work = FunctionScheduler::new(
            function,
            self.settings.node,
            leader_epoch,
            scheduler_settings(settings, self.leadership.targets.get(function), self.settings.costs),
            awaited_holders,
            now,
        );
        work.set_retry_limits(self.settings.retry_limits, now);
        work.set_worker_zones(self.leadership.placement.zones());
        let known_ready: Vec<String> =
            self.known_ready(function).into_iter().map(|instance| instance.id).collect();
        if self.leadership.has_list {
            let own_instances = instances_of(&self.leadership.instances, function);
            work.listed(&own_instances, &known_ready, now, now);
        } else {
            work.hold_starts(now + ADOPTION_SPAN);
        }
        let own_held = self.calls.held_for(function, now);
        let held_permits =
            own_held.into_iter().map(|held| (held.permit, Micros(held.ends_in_micros))).collect();
        work.record_held_permit(self.settings.node, held_permits, now);
        self.leadership.works.insert(function.to_owned(), work);
        // Asked with the next clock event, together with those of other functions taken by then.
        self.leadership.held_requested.remove(function);
        self.leadership.is_held_request_due = true;
    }

    /// Deputies beyond a cut worked on the same cells: a colleague that is back is asked at once which
    /// tickets it holds.
    pub(crate) fn peer_returned(&mut self, node: NodeId) {
        let now = self.now;
        for work in self.leadership.works.values_mut() {
            work.peer_returned(node, now);
        }
        self.leadership.held_requested.clear();
        self.request_held_permits();
    }

    /// Asks which tickets are held, one message for each node.
    fn request_held_permits(&mut self) {
        let now = self.now;
        let leadership = &mut self.leadership;
        leadership.is_held_request_due = false;
        let mut groups: BTreeMap<NodeId, Vec<HeldPermitsRequestEntry>> = BTreeMap::new();
        for (function, work) in &leadership.works {
            let requested_at = leadership.held_requested.get(function);
            let is_due = requested_at.is_none_or(|requested_at| now >= *requested_at + HELD_TIMEOUT);
            if !is_due || work.awaited_holders().is_empty() {
                continue;
            }
            leadership.held_requested.insert(function.clone(), now);
            for node in work.awaited_holders() {
                let entry = HeldPermitsRequestEntry {
                    function: function.as_str().into(),
                    leader_epoch: work.leader_epoch(),
                };
                groups.entry(*node).or_default().push(entry);
            }
        }
        let works = &leadership.works;
        leadership.held_requested.retain(|function, _| works.contains_key(function));
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
                        fallback.returned(permit.id, outcome, now);
                    }
                    return;
                }
                if let Some(work) = self.leadership.works.get_mut(&permit.function.0) {
                    work.returned(&permit, outcome, latency, now);
                }
                self.forward_return(&permit, outcome, latency_micros);
                self.relayed_return(permit, outcome, latency_micros);
            }
            Message::PermitWithdraw { request_id, function } => {
                if let Some(work) = self.leadership.works.get_mut(&function.0) {
                    work.withdraw(from, request_id);
                }
                self.relayed_withdraw(from, request_id, &function.0);
            }
            Message::TermTransferred { .. } => self.term_transferred(from, message),
            Message::HeldPermitsResponse { functions } => {
                for response in functions.0 {
                    self.held_answered(from, response);
                }
            }
            _ => {}
        }
    }

    /// Takes an ask as the function's leader; else as its deputy, who passes it on or grants it; else says who
    /// it is not.
    fn handle_permit_request(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        let Message::PermitRequest {
            request_id,
            ref function,
            time_left_micros,
            extra,
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
        let work = self.leadership.works.get_mut(&function.0).filter(|_| is_leader);
        if let Some(work) = work {
            let late_at = Micros(now.0.saturating_add(target_left_micros));
            let urgency = Urgency { late_at, rank, tenant, is_nested: nested == 1 };
            let details = RequestDetails { avoid: &avoid.0, urgency, zone };
            work.request_with_details(from, request_id, time_left, u32::from(extra), details, now);
            return;
        }
        let leader = self.leader_of(&function.0);
        if leader.is_none() {
            self.leadership.election.call_waits(&function.0);
        }
        if fallback != AS_LEADER && self.handle_request_as_fallback(from, leader, &message) {
            return;
        }
        let reason = "not the steward".into();
        self.send(from, Message::PermitDeferred { request_id, outcome: 2, reason, retry_after_millis: 0 });
    }

    /// The deputy grants by itself as far as it may; beyond that it passes the ask on to a leader that it has just
    /// heard and the asker cannot reach. A leader that is only slow is not asked twice. `true` if one of these was done.
    fn handle_request_as_fallback(
        &mut self,
        from: NodeId,
        leader: Option<NodeId>,
        message: &Message,
    ) -> bool {
        let Message::PermitRequest { request_id, function, time_left_micros, extra, avoid, fallback, .. } =
            message
        else {
            return false;
        };
        let time_left = Micros(*time_left_micros);
        if let Some(permit) = self.fallback_permit(&function.0, *extra > 0, &avoid.0, time_left) {
            self.counts.fallback_permits += 1;
            self.send(from, Message::PermitGranted { request_id: *request_id, permit });
            return true;
        }
        let is_relay = *fallback == AS_RELAY && self.is_on(Policy::FallbackSchedulers);
        let leader = leader.filter(|node| is_relay && self.has_received_recently(*node));
        leader.is_some_and(|node| self.relay_request(from, node, message.clone()))
    }

    fn held_answered(&mut self, from: NodeId, response: HeldPermitsResponseEntry) {
        let now = self.now;
        let Some(work) = self.leadership.works.get_mut(&response.function.0) else { return };
        if work.leader_epoch() != response.leader_epoch || !work.awaited_holders().contains(&from) {
            return;
        }
        let held_permits = response
            .permits
            .0
            .into_iter()
            .map(|held| (held.permit, Micros(held.ends_in_micros.min(120_000_000))))
            .collect();
        work.record_held_permit(from, held_permits, now);
    }

    fn fallback_permit(
        &mut self,
        function: &str,
        is_extra: bool,
        avoid: &str,
        time_left: Micros,
    ) -> Option<Permit> {
        let now = self.now;
        // A deputy goes by the list alone: without a fresh one it may not know of cells that leave.
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
        let request_id = FallbackRequest {
            permit_id: peer_messages::stable_hash(permit_name.as_bytes()),
            function,
            is_extra,
            avoid,
            ends_at: now + time_left + Micros::from_secs(1),
        };
        let own = self.settings.node;
        let bound = self.settings.retry_limits;
        let retry_share = bound.fallback_share(self.leadership.most_nodes);
        let opens_at = self.leadership.fallbacks_from + bound.span();
        let fallback = self.leadership.fallbacks.entry(function.to_owned()).or_default();
        fallback.set_retry_share(retry_share, bound.span(), opens_at);
        fallback.grant(own, request_id, &instances, calls_at_once, now)
    }

    /// Whether the platform was asked lately and answered.
    pub(crate) fn has_fresh_list(&self) -> bool {
        self.leadership.listed_at.is_some_and(|listed_at| self.now < listed_at + FRESH_LIST_AGE)
    }

    /// A ticket for a cell that the list shows leaving, or whose address is another cell's by now.
    pub(crate) fn is_barred(&self, permit: &Permit) -> bool {
        let address = permit.address.socket();
        let instances = &self.leadership.instances;
        match instances.iter().find(|listed| listed.id == permit.instance.0) {
            Some(listed) => listed.draining || listed.address != address,
            None => instances.iter().any(|listed| listed.address == address && !listed.draining),
        }
    }

    /// Whether this node itself waits for the platform's list.
    pub(crate) fn is_platform_requested(&self) -> bool {
        self.leadership.list_requested_at.is_some_and(|requested_at| self.now < requested_at + LIST_TIMEOUT)
    }

    /// Gets the list when it is due, from the platform or from the colleague that has it.
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

    /// After a sleep nothing is granted before the platform was asked anew.
    pub(crate) fn woke_up(&mut self) {
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
        self.leadership.list_due = self.now + LIST_AGAIN;
        if !self.leadership.is_platform_silent {
            self.leadership.is_platform_silent = true;
            self.decision_log.append("platform_silent", json!({}), self.now);
        }
        self.note_list_failed();
    }

    pub(crate) fn listed(&mut self, workers: Vec<ListedWorker>, instances: Vec<ListedInstance>) {
        let Some(requested_at) = self.leadership.list_requested_at.take() else { return };
        self.leadership.is_list_stale = false;
        self.note_list(&workers, &instances, requested_at);
        self.update_list(workers, instances, requested_at);
    }

    /// Goes by a list that was asked for at a time, by this node or by a colleague.
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
        let mut used: BTreeMap<String, u64> = BTreeMap::new();
        let configuration = self.configuration.current();
        for instance in &mut instances {
            // Where the platform does not tell it, a cell has the memory that its function is given.
            if instance.memory_mb == 0 {
                instance.memory_mb =
                    configuration.functions.get(&instance.function).map_or(0, |f| f.instance_memory_mb);
            }
        }
        for instance in &instances {
            *used.entry(instance.worker.clone()).or_default() += instance.memory_mb;
        }
        self.leadership.placement.update_list(workers, used);
        for instance in &mut instances {
            // A cell leaves with its worker.
            instance.draining |= !self.leadership.placement.is_usable(&instance.worker);
        }
        self.leadership.instances = instances;
        self.leadership.has_list = true;
        self.emit_instance_hosts();
        let functions: Vec<String> = self.leadership.works.keys().cloned().collect();
        for function in functions {
            let known_ready: Vec<String> =
                self.known_ready(&function).into_iter().map(|instance| instance.id).collect();
            let own_instances = instances_of(&self.leadership.instances, &function);
            if let Some(work) = self.leadership.works.get_mut(&function) {
                work.listed(&own_instances, &known_ready, requested_at, now);
                let placement = &self.leadership.placement;
                work.set_worker_zones(placement.zones());
                work.evacuate_workers(|worker| placement.is_usable(worker), now);
            }
        }
        self.stop_orphans();
    }

    /// Tells the front from which hosts cells call, whenever the list shows others than before.
    fn emit_instance_hosts(&mut self) {
        let hosts: BTreeSet<IpAddr> =
            self.leadership.instances.iter().map(|instance| instance.address.ip()).collect();
        if hosts != self.leadership.instance_hosts {
            self.leadership.instance_hosts.clone_from(&hosts);
            self.emit(Action::InstanceHosts { hosts });
        }
    }

    /// Cells of functions that are configured no more are stopped after a grace, by the node that the function's
    /// rendezvous chooses, under a term that it claims for this and gives back when no such cell is left.
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
            let fresh = Orphan { since: now, stop_requested_at: None };
            let orphan = self.leadership.orphans.entry(instance.clone()).or_insert(fresh);
            let chosen = Node::rendezvous_choice(&function, members.iter().copied());
            if chosen != Some(self.settings.node) || now < orphan.since + ORPHAN_GRACE {
                continue;
            }
            let is_led = self.leadership.election.term(&function, now).is_some();
            let is_requested =
                orphan.stop_requested_at.is_some_and(|requested_at| now < requested_at + ORPHAN_GRACE);
            if is_led && !is_requested {
                orphan.stop_requested_at = Some(now);
                self.leadership.stops.retain(|stop| stop.instance != instance);
                self.leadership.stops.push_back(WaitingStop {
                    function: function.clone(),
                    instance,
                    since: now,
                });
            }
            orphaned_functions.insert(function);
        }
        self.leadership.election.set_orphaned_functions(orphaned_functions, now);
    }

    /// Hands out the acts of all works and serves the platform's waitlists.
    pub(crate) fn flush_leaders(&mut self) {
        self.flush_works();
        self.serve_platform();
    }

    fn flush_works(&mut self) {
        let mut all_actions = Vec::new();
        for (function, work) in &mut self.leadership.works {
            let actions = work.take_actions();
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
                // Fencing: no ticket leaves after the term's end.
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
                let starts = match is_spare {
                    true => &mut self.leadership.spare_starts,
                    false => &mut self.leadership.starts,
                };
                if starts.len() >= START_QUEUE_LIMIT {
                    if let Some(work) = self.leadership.works.get_mut(function) {
                        work.started(&start_id, StartOutcome::NoRoom, self.now);
                    }
                    return;
                }
                let function = function.to_owned();
                let start =
                    WaitingStart { function, start_id, worker: None, zone, tries: 0, sent_under: None };
                starts.push_back(start);
            }
            SchedulerAction::Stop { instance } => {
                let is_waiting = self.leadership.stops.iter().any(|waiting| waiting.instance == instance);
                if !is_waiting {
                    let stop = WaitingStop { function: function.to_owned(), instance, since: self.now };
                    self.leadership.stops.push_back(stop);
                }
            }
            SchedulerAction::ReadyChanged => self.publish_ready_instances(function),
        }
    }

    fn publish_ready_instances(&mut self, function: &str) {
        let Some(work) = self.leadership.works.get(function) else { return };
        let instances = work
            .ready_instances()
            .into_iter()
            .map(|ready| ReadyInstanceEntry {
                instance: ready.id.into(),
                address: Address::from(ready.address),
            })
            .collect();
        let topic = format!("cells/{function}");
        self.leadership.instances_sequence += 1;
        // The epoch leads, so a new steward's word always replaces an old one's.
        let epoch_bits = work.leader_epoch() << 24;
        let sequence = (self.gossip.sequence(&topic) + 1)
            .max(epoch_bits + self.leadership.instances_sequence % (1 << 24));
        let body = Bytes(ReadyInstancesUpdate { instances }.to_bytes().unwrap_or_default());
        self.gossip.publish(&topic, self.settings.node, sequence, body);
    }
}

fn instances_of(instances: &[ListedInstance], function: &str) -> Vec<ListedInstance> {
    instances.iter().filter(|instance| instance.function == function).cloned().collect()
}
