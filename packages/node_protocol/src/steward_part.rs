//! What this node does as steward and as deputy: terms, tickets, cells, the split of allowances.

mod allowances;
mod configured;
mod hand_over;
mod platform_acts;

use crate::list_part::ListPart;
use crate::node::{Node, PAUSE_A_MEMBER};
use crate::{Act, Policy};
use allowances::Split;
use configuration_schema::{Function, FunctionTargets, KeptBy};
use deku::DekuContainerWrite;
use function_scheduler::{
    AskDetails, CostModel, DeputyAsk, DeputyCell, DeputyWork, FunctionWork, HeldBackAs, ListedCell,
    ListedWorker, Placement, StartOutcome, StartRate, Urgency, WorkAct, WorkSettings, Zone,
};
use hand_over::HandOvers;
use leader_election::{ActGuard, Election, ElectionSettings, TermChange};
use monotonic_clock::{ClockEvent, Micros};
use peer_messages::ticket_ask::{AS_RELAY, NOT_AS_DEPUTY};
use peer_messages::{
    Address, Bytes, CellEntry, CellsNews, DemandNews, HeldAnswerEntry, HeldAskEntry, List, Message, NodeId,
    Ticket,
};
use platform_acts::{WaitingStart, WaitingStop};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

const START_WAITLIST: usize = 2_048;
/// The epoch of the first steward that a function ever has.
const FIRST_EPOCH: u64 = 1;
/// After a failed list the next is asked for sooner.
const LIST_AGAIN: Micros = Micros::from_millis(300);
const LIST_PATIENCE: Micros = Micros::from_secs(3);
/// Whoever did not tell which tickets it holds is asked again after this.
const HELD_PATIENCE: Micros = Micros::from_millis(300);
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
const LARGE_PART: f64 = 0.33;
/// A machine is larger where it has so many times the processor time.
const LARGER: u32 = 2;
/// Between two looks for functions that are too large for this machine, and for those that nobody calls.
const LARGE_LOOK: Micros = Micros::from_millis(250);
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
    stop_asked_at: Option<Micros>,
}

#[derive(Debug)]
pub(crate) struct StewardPart {
    pub(crate) election: Election,
    /// The members whose capacities the election knows.
    weighed_members: Vec<NodeId>,
    works: BTreeMap<String, FunctionWork>,
    deputies: BTreeMap<String, DeputyWork>,
    next_deputy_ticket: u64,
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
    act_guard: ActGuard,
    /// Memory is short as far as is known: a start found no room lately.
    short_until: Micros,
    /// When the platform was asked by this node itself, if its answer is still out.
    pub(crate) list_asked_at: Option<Micros>,
    pub(crate) list_due: Micros,
    pub(crate) lists: ListPart,
    cells: Vec<ListedCell>,
    /// The hosts of those cells, as the front was told.
    cell_hosts: BTreeSet<IpAddr>,
    has_list: bool,
    poll_due: Micros,
    polled_at: Micros,
    held_asked_at: Micros,
    unsettled_poll: ClockEvent,
    /// As of the last look: going through all functions is not done at each clock event.
    is_unsettled: bool,
    split_event: ClockEvent,
    split: Split,
    work_event: ClockEvent,
    held_event: ClockEvent,
    /// When holders of tickets were last asked about a function.
    held_asked: BTreeMap<String, Micros>,
    is_held_ask_due: bool,
    /// Cells of functions that are configured no more.
    orphans: BTreeMap<String, Orphan>,
    demand_told: (Micros, DemandNews),
    cells_sequence: u64,
    no_room_told: BTreeMap<String, Micros>,
    is_platform_silent: bool,
    pub(crate) is_list_stale: bool,
    /// When the newest list was asked for, by whichever node asked.
    pub(crate) listed_at: Option<Micros>,
    balance_due: Micros,
    large_look: ClockEvent,
    idle_look: ClockEvent,
    /// The strictest target of the lanes that lead to each function, in milliseconds.
    targets: FunctionTargets,
    /// When this node first saw a call of whatever function.
    pub(crate) traffic_since: Option<Micros>,
    /// The most nodes ever known at once: deputies share their extra dispatches.
    most_nodes: usize,
    /// Terms on their way from this node, and to it.
    hand_overs: HandOvers,
    /// Deputies forgot their extra dispatches then, at this node's start or with their functions.
    deputies_from: Micros,
}

impl StewardPart {
    pub(crate) fn new(own: NodeId, settings: ElectionSettings, now: Micros) -> StewardPart {
        StewardPart {
            act_guard: ActGuard::new(settings.lease, now),
            election: Election::new(own, settings),
            weighed_members: Vec::new(),
            works: BTreeMap::new(),
            deputies: BTreeMap::new(),
            next_deputy_ticket: 0,
            placement: Placement::default(),
            rate: StartRate::new(),
            starts: VecDeque::new(),
            spare_starts: VecDeque::new(),
            is_stop_turn: false,
            starts_out: BTreeMap::new(),
            stops_out: BTreeMap::new(),
            stops: VecDeque::new(),
            short_until: Micros(0),
            list_asked_at: None,
            list_due: Micros(0),
            lists: ListPart::default(),
            cells: Vec::new(),
            cell_hosts: BTreeSet::new(),
            has_list: false,
            poll_due: Micros(0),
            polled_at: Micros(0),
            held_asked_at: Micros(0),
            unsettled_poll: ClockEvent::each(UNSETTLED_POLL),
            is_unsettled: true,
            split_event: ClockEvent::each(Micros::from_millis(100)),
            split: Split::default(),
            work_event: ClockEvent::each(Micros::from_millis(40)),
            held_event: ClockEvent::each(Micros::from_millis(100)),
            held_asked: BTreeMap::new(),
            is_held_ask_due: false,
            orphans: BTreeMap::new(),
            demand_told: (Micros(0), DemandNews { entries: List(Vec::new()) }),
            cells_sequence: 0,
            no_room_told: BTreeMap::new(),
            is_platform_silent: false,
            is_list_stale: false,
            listed_at: None,
            balance_due: Micros(0),
            large_look: ClockEvent::each(LARGE_LOOK),
            idle_look: ClockEvent::each(LARGE_LOOK),
            targets: FunctionTargets::default(),
            traffic_since: None,
            most_nodes: 1,
            hand_overs: HandOvers::default(),
            deputies_from: now,
        }
    }
}

fn work_settings(function: &Function, target: Option<u64>, costs: CostModel) -> WorkSettings {
    WorkSettings {
        calls_at_once: function.calls_at_once,
        boot: Micros::from_millis(function.boot_millis),
        idle: match function.kept_by {
            KeptBy::Idle => Some(Micros::from_secs(function.idle_seconds)),
            KeptBy::Cost => None,
        },
        memory_mb: function.cell_memory_mb,
        target: target.map(Micros::from_millis),
        costs,
        least_cells: function.least_cells,
        most_cells: function.most_cells,
        waitlist: function.waitlist as usize,
    }
}

impl Node {
    pub(crate) fn tick_stewards(&mut self) {
        let now = self.now;
        let members = self.serving_members();
        self.weigh_members(&members);
        self.stewards.most_nodes = self.stewards.most_nodes.max(self.member_count());
        let is_look_due = self.stewards.unsettled_poll.due(now);
        let pause = Micros(PAUSE_A_MEMBER.0 * members.len() as u64);
        let (poll_every, poll_pause) = self.poll_pauses(members.len());
        if is_look_due {
            self.stewards.is_unsettled = self.stewards.election.is_unsettled(&members, now);
        }
        let is_unsettled = self.stewards.is_unsettled;
        let is_poll_near = now >= self.stewards.polled_at + poll_pause;
        if now >= self.stewards.poll_due || (is_unsettled && is_look_due && is_poll_near) {
            self.stewards.polled_at = now;
            let jitter = Micros(self.dice.u64(..poll_every.0 / 10 + 1));
            self.stewards.poll_due = now + poll_every - jitter;
            self.poll_records();
        }
        if self.stewards.idle_look.due(now) && self.is_on(Policy::IdleLeases) {
            let works = self.stewards.works.iter().filter(|(_, work)| work.is_idle(now));
            let idle = works.map(|(function, _)| function.clone()).collect();
            self.stewards.election.take_idle(idle);
        }
        let writes = self.stewards.election.tick(&members, now);
        self.send_leader_writes(writes);
        self.take_term_changes();
        self.balance(&members, is_unsettled);
        if self.stewards.large_look.due(now) && self.is_on(Policy::LargeFunctions) {
            self.give_large_functions();
        }
        self.ask_list();
        let is_held_near = now >= self.stewards.held_asked_at + pause.min(HELD_PATIENCE);
        if (self.stewards.held_event.due(now) || self.stewards.is_held_ask_due) && is_held_near {
            self.stewards.held_asked_at = now;
            self.ask_held();
        }
        self.tick_hand_overs();
        if self.stewards.split_event.due(now) {
            self.split_allowances(&members);
        }
        if self.stewards.work_event.due(now) && !self.stewards.is_list_stale {
            let works = &mut self.stewards.works;
            let election = &self.stewards.election;
            let traffic_since = self.stewards.traffic_since;
            for (function, work) in works {
                if election.term(function, now).is_some() {
                    work.take_traffic(traffic_since);
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
        let pause = |askers: usize| Micros(PAUSE_A_MEMBER.0 * askers as u64);
        match (self.zones.relay(), self.polled_relay()) {
            (None, _) => (poll, pause(member_count)),
            (Some(relay), _) if relay == self.settings.node => {
                (Micros(poll.0 / 2), pause(self.zones.count()))
            }
            (Some(_), Some(_)) => (poll, pause(self.zones.near_count())),
            (Some(_), None) => (poll, pause(member_count)),
        }
    }

    /// The gate counts functions, and one that is called very often may be more than a small machine can
    /// carry, however few it holds: its lease would run out under the calls. It is given to a larger machine,
    /// by rendezvous among those, so that several such functions spread. Where all machines are alike nothing
    /// is given.
    fn give_large_functions(&mut self) {
        let now = self.now;
        if self.draining_since.is_some() || !self.settings.election.gate {
            return;
        }
        let own_processor = self.settings.processor_millis;
        let most_rate = f64::from(own_processor) * LARGE_PART / CALL_COST;
        let mut works = self.stewards.works.iter();
        let Some(function) = works.find(|(_, work)| work.call_rate(now) > most_rate) else { return };
        let (function, rate) = (function.0.clone(), function.1.call_rate(now));
        let live = self.members.live().into_iter();
        let larger = live
            .filter(|news| news.draining == 0 && news.state == 0 && news.processor / LARGER >= own_processor);
        let Some(larger) = Node::rendezvous_choice(&function, larger.map(|news| news.node)) else { return };
        self.give_term(&function, larger);
        self.journal.append(
            "steward_given",
            json!({"function": function, "to": format!("{larger:016x}"), "calls_per_second": rate.round()}),
            now,
        );
        self.take_term_changes();
    }

    /// Tells the election what the members' machines can carry, when there are others than before.
    fn weigh_members(&mut self, members: &[NodeId]) {
        if self.stewards.weighed_members == members {
            return;
        }
        self.stewards.weighed_members = members.to_vec();
        let live = self.members.live();
        let capacities = live.iter().map(|news| (news.node, news.processor)).collect();
        self.stewards.election.take_capacities(capacities);
    }

    /// The gate balances takings only; after machines come back the others still hold more than their
    /// share. So a node above the mean now and then gives one function that no call uses to the
    /// lightest node, as long as that has at least two fewer.
    fn balance(&mut self, members: &[NodeId], is_unsettled: bool) {
        let now = self.now;
        if is_unsettled || self.draining_since.is_some() || now < self.stewards.balance_due {
            return;
        }
        let pause = BALANCE_PAUSE.max(Micros(BALANCE_PAUSE_A_MEMBER.0 * members.len() as u64));
        let jitter = Micros(self.dice.u64(..pause.0 / 2));
        self.stewards.balance_due = now + pause + jitter;
        if !self.settings.election.gate {
            return;
        }
        let counts = self.stewards.election.tally(members, now);
        let own_count = self.stewards.election.own_count();
        let total: usize = counts.values().sum();
        let election = &self.stewards.election;
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
        let works = &self.stewards.works;
        let idle = works.iter().find(|(_, work)| work.open_count() == 0 && work.waiting_count() == 0);
        let Some(function) = idle.map(|(function, _)| function.clone()) else { return };
        let (lightest, fewest) = (*lightest, *fewest);
        self.give_term(&function, lightest);
        self.journal.append(
            "steward_given",
            json!({"function": function, "to": format!("{lightest:016x}"), "own": own_count, "theirs": fewest}),
            now,
        );
        self.take_term_changes();
    }

    /// Names a successor for all that this node leads, and gives back what nobody can be named for.
    pub(crate) fn release_stewards(&mut self) {
        let members = self.serving_members();
        if self.is_on(Policy::NamedSuccessors) {
            self.name_successors(&members);
        }
        self.stewards.election.release_all();
        let releases = self.stewards.election.tick(&members, self.now);
        self.send_leader_writes(releases);
        self.take_term_changes();
    }

    fn take_term_changes(&mut self) {
        for change in self.stewards.election.take_changes() {
            match change {
                TermChange::Taken { function, steward_epoch, past_gate, waited, given_epoch, is_kept } => {
                    self.journal.append(
                        "steward_taken",
                        json!({
                            "function": function, "steward_epoch": steward_epoch,
                            "past_gate": past_gate, "waited_micros": waited.0,
                        }),
                        self.now,
                    );
                    self.stewards.act_guard.taken(&function, steward_epoch, (given_epoch, is_kept), self.now);
                    self.begin_work(&function, steward_epoch);
                    self.take_over(&function, given_epoch);
                }
                TermChange::Lost { function, steward_epoch, why } => {
                    self.journal.append(
                        "steward_lost",
                        json!({"function": function, "steward_epoch": steward_epoch, "why": why}),
                        self.now,
                    );
                    if let Some(work) = self.stewards.works.get_mut(&function) {
                        work.give_up();
                    }
                    self.flush_works();
                    self.stewards.works.remove(&function);
                    self.stewards.starts.retain(|start| start.function != function);
                    self.stewards.spare_starts.retain(|start| start.function != function);
                    self.stewards.stops.retain(|stop| stop.function != function);
                }
            }
        }
    }

    fn begin_work(&mut self, function: &str, steward_epoch: u64) {
        let now = self.now;
        let configuration = self.configuration.current();
        let Some(settings) = configuration.functions.get(function) else { return };
        // Before a function's first steward nobody started a cell of it, and nobody holds a ticket for one.
        let is_first_steward = steward_epoch == FIRST_EPOCH;
        let colleagues = self.members.colleagues().filter(|_| !is_first_steward);
        let unheard: Vec<NodeId> = colleagues.map(|news| news.node).collect();
        let mut work = FunctionWork::new(
            function,
            self.settings.node,
            steward_epoch,
            work_settings(settings, self.stewards.targets.get(function), self.settings.costs),
            unheard,
            now,
        );
        work.bound_extras(self.settings.extra_bound, now);
        work.take_worker_zones(self.stewards.placement.zones());
        let known_ready: Vec<String> = self.known_ready(function).into_iter().map(|cell| cell.id).collect();
        if self.stewards.has_list {
            let own_cells = cells_of(&self.stewards.cells, function);
            work.listed(&own_cells, &known_ready, now, now);
        } else {
            work.hold_starts(now + ADOPTION_SPAN);
        }
        let own_held = self.calls.held_for(function, now);
        let held_tickets =
            own_held.into_iter().map(|held| (held.ticket, Micros(held.ends_in_micros))).collect();
        work.held_elsewhere(self.settings.node, held_tickets, now);
        self.stewards.works.insert(function.to_owned(), work);
        // Asked with the next clock event, together with those of other functions taken by then.
        self.stewards.held_asked.remove(function);
        self.stewards.is_held_ask_due = true;
    }

    /// Deputies beyond a cut worked on the same cells: a colleague that is back is asked at once which
    /// tickets it holds.
    pub(crate) fn colleague_back(&mut self, node: NodeId) {
        let now = self.now;
        for work in self.stewards.works.values_mut() {
            work.colleague_back(node, now);
        }
        self.stewards.held_asked.clear();
        self.ask_held();
    }

    /// Asks which tickets are held, one message for each node.
    fn ask_held(&mut self) {
        let now = self.now;
        let stewards = &mut self.stewards;
        stewards.is_held_ask_due = false;
        let mut groups: BTreeMap<NodeId, Vec<HeldAskEntry>> = BTreeMap::new();
        for (function, work) in &stewards.works {
            let asked_at = stewards.held_asked.get(function);
            let is_due = asked_at.is_none_or(|asked_at| now >= *asked_at + HELD_PATIENCE);
            if !is_due || work.unheard().is_empty() {
                continue;
            }
            stewards.held_asked.insert(function.clone(), now);
            for node in work.unheard() {
                let entry =
                    HeldAskEntry { function: function.as_str().into(), steward_epoch: work.steward_epoch() };
                groups.entry(*node).or_default().push(entry);
            }
        }
        let works = &stewards.works;
        stewards.held_asked.retain(|function, _| works.contains_key(function));
        for (node, entries) in groups {
            self.send(node, Message::HeldAsk { functions: List(entries) });
        }
    }

    pub(crate) fn take_steward_message(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::TicketAsk { .. } => self.take_ticket_ask(from, message),
            Message::TicketReturn { ticket, how, latency_micros } => {
                let latency = Micros(latency_micros);
                if ticket.steward_epoch == 0 {
                    if let Some(deputy) = self.stewards.deputies.get_mut(&ticket.function.0) {
                        deputy.returned(ticket.id, how, now);
                    }
                    return;
                }
                if let Some(work) = self.stewards.works.get_mut(&ticket.function.0) {
                    work.returned(&ticket, how, latency, now);
                }
                self.hand_on_return(&ticket, how, latency_micros);
                self.relayed_return(ticket, how, latency_micros);
            }
            Message::TicketWithdraw { ask, function } => {
                if let Some(work) = self.stewards.works.get_mut(&function.0) {
                    work.withdraw(from, ask);
                }
                self.relayed_withdraw(from, ask, &function.0);
            }
            Message::TermHandedOver { .. } => self.term_handed_over(from, message),
            Message::HeldAnswer { functions } => {
                for answer in functions.0 {
                    self.held_answered(from, answer);
                }
            }
            _ => {}
        }
    }

    /// Takes an ask as the function's leader; else as its deputy, who passes it on or grants it; else says who
    /// it is not.
    fn take_ticket_ask(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        let Message::TicketAsk {
            ask,
            ref function,
            time_left_micros,
            extra,
            ref avoid,
            deputy,
            target_left_micros,
            rank,
            nested,
            tenant,
        } = message
        else {
            return;
        };
        let time_left = Micros(time_left_micros);
        self.stewards.traffic_since.get_or_insert(now);
        let is_leader =
            self.stewards.election.term(&function.0, now).is_some() && !self.stewards.is_list_stale;
        if !is_leader && self.take_ask_amid_hand_over(from, &message) {
            return;
        }
        let zone = self.zones.zone_of(from).filter(|_| self.is_on(Policy::NearCells));
        let zone = zone.map_or(Zone::default(), Zone::named);
        let work = self.stewards.works.get_mut(&function.0).filter(|_| is_leader);
        if let Some(work) = work {
            let late_at = Micros(now.0.saturating_add(target_left_micros));
            let urgency = Urgency { late_at, rank, tenant, is_nested: nested == 1 };
            let details = AskDetails { avoid: &avoid.0, urgency, zone };
            work.ask_in_detail(from, ask, time_left, u32::from(extra), details, now);
            return;
        }
        let leader = self.leader_of(&function.0);
        if leader.is_none() {
            self.stewards.election.call_waits(&function.0);
        }
        if deputy != NOT_AS_DEPUTY && self.take_ask_as_deputy(from, leader, &message) {
            return;
        }
        let reason = "not the steward".into();
        self.send(from, Message::TicketHeldBack { ask, outcome: 2, reason, retry_after_millis: 0 });
    }

    /// The deputy grants by itself as far as it may; beyond that it passes the ask on to a leader that it has just
    /// heard and the asker cannot reach. A leader that is only slow is not asked twice. `true` if one of these was done.
    fn take_ask_as_deputy(&mut self, from: NodeId, leader: Option<NodeId>, message: &Message) -> bool {
        let Message::TicketAsk { ask, function, time_left_micros, extra, avoid, deputy, .. } = message else {
            return false;
        };
        let time_left = Micros(*time_left_micros);
        if let Some(ticket) = self.deputy_ticket(&function.0, *extra > 0, &avoid.0, time_left) {
            self.counts.deputy_tickets += 1;
            self.send(from, Message::TicketGranted { ask: *ask, ticket });
            return true;
        }
        let is_relay = *deputy == AS_RELAY && self.is_on(Policy::Deputies);
        let leader = leader.filter(|node| is_relay && self.is_heard_lately(*node));
        leader.is_some_and(|node| self.relay_ask(from, node, message.clone()))
    }

    fn held_answered(&mut self, from: NodeId, answer: HeldAnswerEntry) {
        let now = self.now;
        let Some(work) = self.stewards.works.get_mut(&answer.function.0) else { return };
        if work.steward_epoch() != answer.steward_epoch || !work.unheard().contains(&from) {
            return;
        }
        let held_tickets = answer
            .tickets
            .0
            .into_iter()
            .map(|held| (held.ticket, Micros(held.ends_in_micros.min(120_000_000))))
            .collect();
        work.held_elsewhere(from, held_tickets, now);
    }

    fn deputy_ticket(
        &mut self,
        function: &str,
        is_extra: bool,
        avoid: &str,
        time_left: Micros,
    ) -> Option<Ticket> {
        let now = self.now;
        // A deputy goes by the list alone: without a fresh one it may not know of cells that leave.
        if self.draining_since.is_some()
            || self.stewards.is_list_stale
            || !self.has_fresh_list()
            || !self.is_on(Policy::Deputies)
        {
            return None;
        }
        let calls_at_once = self.configuration.current().functions.get(function)?.calls_at_once;
        let known = self.known_ready(function);
        let cells: Vec<DeputyCell> = self
            .stewards
            .cells
            .iter()
            .filter(|listed| listed.function == function && !listed.leaving)
            .map(|listed| DeputyCell {
                id: listed.id.clone(),
                address: listed.address,
                is_known: known.iter().any(|ready| ready.id == listed.id),
            })
            .collect();
        self.stewards.next_deputy_ticket += 1;
        let ticket_name = format!("{:x}/{}", self.settings.node, self.stewards.next_deputy_ticket);
        let ask = DeputyAsk {
            ticket_id: peer_messages::stable_hash(ticket_name.as_bytes()),
            function,
            is_extra,
            avoid,
            ends_at: now + time_left + Micros::from_secs(1),
        };
        let own = self.settings.node;
        let bound = self.settings.extra_bound;
        let extra_part = bound.deputy_part(self.stewards.most_nodes);
        let opens_at = self.stewards.deputies_from + bound.span();
        let deputy = self.stewards.deputies.entry(function.to_owned()).or_default();
        deputy.share_extras(extra_part, bound.span(), opens_at);
        deputy.grant(own, ask, &cells, calls_at_once, now)
    }

    /// Whether the platform was asked lately and answered.
    pub(crate) fn has_fresh_list(&self) -> bool {
        self.stewards.listed_at.is_some_and(|listed_at| self.now < listed_at + FRESH_LIST_AGE)
    }

    /// A ticket for a cell that the list shows leaving, or whose address is another cell's by now.
    pub(crate) fn is_barred(&self, ticket: &Ticket) -> bool {
        let address = ticket.address.socket();
        let cells = &self.stewards.cells;
        match cells.iter().find(|listed| listed.id == ticket.cell.0) {
            Some(listed) => listed.leaving || listed.address != address,
            None => cells.iter().any(|listed| listed.address == address && !listed.leaving),
        }
    }

    /// Whether this node itself waits for the platform's list.
    pub(crate) fn is_platform_asked(&self) -> bool {
        self.stewards.list_asked_at.is_some_and(|asked_at| self.now < asked_at + LIST_PATIENCE)
    }

    /// Gets the list when it is due, from the platform or from the colleague that has it.
    fn ask_list(&mut self) {
        let now = self.now;
        if self.check_pull() || self.is_platform_asked() || now < self.stewards.list_due {
            return;
        }
        let lister = self.lister();
        let is_own = lister == self.settings.node;
        let list_every = self.list_pause(lister);
        let jitter = Micros(self.dice.u64(..list_every.0 / 5 + 1));
        self.stewards.list_due = now + list_every + jitter;
        match is_own {
            true => self.ask_platform(),
            false => self.pull_list(lister),
        }
    }

    /// After a sleep nothing is granted before the platform was asked anew.
    pub(crate) fn woke_up(&mut self) {
        self.stewards.list_asked_at = None;
        self.stewards.lists.forget_pull();
        self.stewards.list_due = self.now;
        self.stewards.is_list_stale = true;
        self.doubt_configuration();
        self.journal.append("woke_up", json!({}), self.now);
    }

    pub(crate) fn list_failed(&mut self) {
        self.stewards.list_asked_at = None;
        self.stewards.is_list_stale = false;
        self.stewards.list_due = self.now + LIST_AGAIN;
        if !self.stewards.is_platform_silent {
            self.stewards.is_platform_silent = true;
            self.journal.append("platform_silent", json!({}), self.now);
        }
        self.note_list_failed();
    }

    pub(crate) fn listed(&mut self, workers: Vec<ListedWorker>, cells: Vec<ListedCell>) {
        let Some(asked_at) = self.stewards.list_asked_at.take() else { return };
        self.stewards.is_list_stale = false;
        self.note_list(&workers, &cells, asked_at);
        self.take_list(workers, cells, asked_at);
    }

    /// Goes by a list that was asked for at a time, by this node or by a colleague.
    pub(crate) fn take_list(
        &mut self,
        workers: Vec<ListedWorker>,
        mut cells: Vec<ListedCell>,
        asked_at: Micros,
    ) {
        let now = self.now;
        self.stewards.listed_at = Some(asked_at);
        if std::mem::take(&mut self.stewards.is_platform_silent) {
            self.journal.append("platform_answers", json!({}), now);
        }
        let mut used: BTreeMap<String, u64> = BTreeMap::new();
        let configuration = self.configuration.current();
        for cell in &mut cells {
            // Where the platform does not tell it, a cell has the memory that its function is given.
            if cell.memory_mb == 0 {
                cell.memory_mb = configuration.functions.get(&cell.function).map_or(0, |f| f.cell_memory_mb);
            }
        }
        for cell in &cells {
            *used.entry(cell.worker.clone()).or_default() += cell.memory_mb;
        }
        self.stewards.placement.take_list(workers, used);
        for cell in &mut cells {
            // A cell leaves with its worker.
            cell.leaving |= !self.stewards.placement.is_usable(&cell.worker);
        }
        self.stewards.cells = cells;
        self.stewards.has_list = true;
        self.tell_cell_hosts();
        let functions: Vec<String> = self.stewards.works.keys().cloned().collect();
        for function in functions {
            let known_ready: Vec<String> =
                self.known_ready(&function).into_iter().map(|cell| cell.id).collect();
            let own_cells = cells_of(&self.stewards.cells, &function);
            if let Some(work) = self.stewards.works.get_mut(&function) {
                work.listed(&own_cells, &known_ready, asked_at, now);
                let placement = &self.stewards.placement;
                work.take_worker_zones(placement.zones());
                work.leave_workers(|worker| placement.is_usable(worker), now);
            }
        }
        self.stop_orphans();
    }

    /// Tells the front from which hosts cells call, whenever the list shows others than before.
    fn tell_cell_hosts(&mut self) {
        let hosts: BTreeSet<IpAddr> = self.stewards.cells.iter().map(|cell| cell.address.ip()).collect();
        if hosts != self.stewards.cell_hosts {
            self.stewards.cell_hosts.clone_from(&hosts);
            self.act(Act::CellHosts { hosts });
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
        let listed = self.stewards.cells.iter();
        let cells: BTreeMap<String, String> = listed
            .filter(|cell| !configuration.functions.contains_key(&cell.function) && !cell.leaving)
            .map(|cell| (cell.id.clone(), cell.function.clone()))
            .collect();
        self.stewards.orphans.retain(|cell, _| cells.contains_key(cell));
        let members = self.serving_members();
        let mut leftovers = BTreeSet::new();
        for (cell, function) in cells {
            let fresh = Orphan { since: now, stop_asked_at: None };
            let orphan = self.stewards.orphans.entry(cell.clone()).or_insert(fresh);
            let chosen = Node::rendezvous_choice(&function, members.iter().copied());
            if chosen != Some(self.settings.node) || now < orphan.since + ORPHAN_GRACE {
                continue;
            }
            let is_led = self.stewards.election.term(&function, now).is_some();
            let is_asked = orphan.stop_asked_at.is_some_and(|asked_at| now < asked_at + ORPHAN_GRACE);
            if is_led && !is_asked {
                orphan.stop_asked_at = Some(now);
                self.stewards.stops.retain(|stop| stop.cell != cell);
                self.stewards.stops.push_back(WaitingStop { function: function.clone(), cell, since: now });
            }
            leftovers.insert(function);
        }
        self.stewards.election.take_leftovers(leftovers, now);
    }

    /// Hands out the acts of all works and serves the platform's waitlists.
    pub(crate) fn flush_stewards(&mut self) {
        self.flush_works();
        self.serve_platform();
    }

    fn flush_works(&mut self) {
        let mut all_acts = Vec::new();
        for (function, work) in &mut self.stewards.works {
            let acts = work.take_acts();
            if !acts.is_empty() {
                all_acts.push((function.clone(), acts));
            }
        }
        for (function, acts) in all_acts {
            for act in acts {
                self.take_work_act(&function, act);
            }
        }
    }

    fn take_work_act(&mut self, function: &str, act: WorkAct) {
        match act {
            WorkAct::Grant { asker, ask, ticket, is_far } => {
                // Fencing: no ticket leaves after the term's end.
                if self.stewards.election.term(function, self.now).is_none() {
                    return;
                }
                self.counts.tickets_granted += 1;
                self.counts.far_tickets += u64::from(is_far);
                self.send(asker, Message::TicketGranted { ask, ticket });
            }
            WorkAct::HoldBack { asker, ask, held_back_as, reason, retry_after } => {
                let outcome = match held_back_as {
                    HeldBackAs::Waiting => 0,
                    HeldBackAs::Refused => 1,
                    HeldBackAs::NotSteward => 2,
                };
                if outcome == 1 {
                    self.counts.asks_refused += 1;
                    self.journal.append("refused", json!({"function": function, "reason": reason}), self.now);
                }
                let message = Message::TicketHeldBack {
                    ask,
                    outcome,
                    reason: reason.into(),
                    retry_after_millis: retry_after.millis(),
                };
                self.send(asker, message);
            }
            WorkAct::Start { start_id, zone, is_spare } => {
                let starts = match is_spare {
                    true => &mut self.stewards.spare_starts,
                    false => &mut self.stewards.starts,
                };
                if starts.len() >= START_WAITLIST {
                    if let Some(work) = self.stewards.works.get_mut(function) {
                        work.started(&start_id, StartOutcome::NoRoom, self.now);
                    }
                    return;
                }
                let function = function.to_owned();
                let start =
                    WaitingStart { function, start_id, worker: None, zone, tries: 0, sent_under: None };
                starts.push_back(start);
            }
            WorkAct::Stop { cell } => {
                let is_waiting = self.stewards.stops.iter().any(|waiting| waiting.cell == cell);
                if !is_waiting {
                    let stop = WaitingStop { function: function.to_owned(), cell, since: self.now };
                    self.stewards.stops.push_back(stop);
                }
            }
            WorkAct::ReadyChanged => self.tell_ready_cells(function),
        }
    }

    fn tell_ready_cells(&mut self, function: &str) {
        let Some(work) = self.stewards.works.get(function) else { return };
        let cells = work
            .ready_cells()
            .into_iter()
            .map(|ready| CellEntry { cell: ready.id.into(), address: Address::from(ready.address) })
            .collect();
        let topic = format!("cells/{function}");
        self.stewards.cells_sequence += 1;
        // The epoch leads, so a new steward's word always replaces an old one's.
        let epoch_part = work.steward_epoch() << 24;
        let sequence =
            (self.news.sequence(&topic) + 1).max(epoch_part + self.stewards.cells_sequence % (1 << 24));
        let body = Bytes(CellsNews { cells }.to_bytes().unwrap_or_default());
        self.news.publish(&topic, self.settings.node, sequence, body);
    }
}

fn cells_of(cells: &[ListedCell], function: &str) -> Vec<ListedCell> {
    cells.iter().filter(|cell| cell.function == function).cloned().collect()
}
