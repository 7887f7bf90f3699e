//! A steward's work for one function: asks, tickets, cells, and how many of these there are to be.

mod cell;
mod hand_over;
mod turns;

use crate::extra_budget::{ExtraBound, ExtraBudget};
use crate::zone::{WorkerZones, Zone, ZoneCalls};
use crate::{ABANDONED, CellDemand, CellShape, CostModel, NOT_RUN, RAN, TURNED_AWAY, UNKNOWN, UNUSED};
use cell::{Cell, FIRST_HOLD, Phase, learn_boot, learn_latency, take_outcome};
use monotonic_clock::Micros;
use peer_messages::{Address, NodeId, Ticket};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use turns::{AGAIN, Turns};

pub use hand_over::{HandedAsk, HandedWork};

/// What the configuration says of the function. Example: `WorkSettings { calls_at_once: 4, .. }`.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkSettings {
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
    pub least_cells: u32,
    /// Cells never passed.
    pub most_cells: u32,
    /// Calls that may wait.
    pub waitlist: usize,
}

/// A cell known to run, as told to colleagues for the deputy.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyCell {
    /// The platform's id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A cell as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedCell {
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
    pub leaving: bool,
    /// The platform says that its boot is over; others may still boot.
    pub started: bool,
}

/// How a start went. Example: `StartOutcome::NoRoom`.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The platform made the cell.
    Started { cell: String, address: SocketAddr, worker: String },
    /// No worker has room, or the act was throttled: the start is wanted no more for now.
    NoRoom,
}

/// Why an ask is held back or turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldBackAs {
    /// It waits; the asker shall ask again so that both know of each other.
    Waiting,
    /// It is refused for good.
    Refused,
    /// This node is not, or no longer, the steward.
    NotSteward,
}

/// Cells that a function claims memory for. Example: `DemandedCells { needed: 2, warm: 1, spare: 0 }`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandedCells {
    /// What calls of now need.
    pub needed: u32,
    /// What answers calls in time, by the rate at which they come.
    pub warm: u32,
    /// What is kept ready although nobody called yet.
    pub spare: u32,
}

impl DemandedCells {
    /// All of them. Example: `demanded.total() == 3`.
    pub fn total(&self) -> u32 {
        self.needed + self.warm + self.spare
    }
}

/// What the steward wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkAct {
    /// Give the asker its ticket; `is_far` where the cell stands in another zone than the asker.
    Grant { asker: NodeId, ask: u64, ticket: Ticket, is_far: bool },
    /// Tell the asker that it waits or is refused.
    HoldBack { asker: NodeId, ask: u64, held_back_as: HeldBackAs, reason: &'static str, retry_after: Micros },
    /// Start a cell under this start id, in this zone if it has room; a repeat of the id starts nothing twice.
    /// `is_spare` where nobody called the function yet.
    Start { start_id: String, zone: Zone, is_spare: bool },
    /// Stop a cell that no call uses any more.
    Stop { cell: String },
    /// The cells known to run have changed.
    ReadyChanged,
}

#[derive(Clone, Debug)]
struct WaitingAsk {
    asker: NodeId,
    ask: u64,
    dispatches: u32,
    ends_at: Micros,
    seen_at: Micros,
    avoid: String,
    urgency: Urgency,
    /// Its place among asks that are as urgent; see [`turns`].
    turn: u64,
    zone: Zone,
}

/// What is said of an ask beside its time. Example: `AskDetails { avoid: "c1", ..AskDetails::default() }`.
#[derive(Clone, Copy, Debug, Default)]
pub struct AskDetails<'a> {
    /// The cell that the call's last dispatch failed on; empty for none.
    pub avoid: &'a str,
    /// How urgent the call is.
    pub urgency: Urgency,
    /// Where the asker is.
    pub zone: Zone,
}

/// What a call's front wants of a steward or deputy. Example: see `node_protocol::Event::CallAsks`.
#[derive(Clone, Debug)]
pub struct TicketWish {
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
struct OpenTicket {
    cell: String,
    asker: NodeId,
    ask: u64,
    /// Dispatches of the call before this ticket's.
    dispatches: u32,
    /// When this steward granted it; none if another did.
    granted_at: Option<Micros>,
    ends_at: Micros,
    ticket: Ticket,
    /// The asker is done with it, and the cell may not be.
    is_over: bool,
}

/// A steward's state for one function. Example: `FunctionWork::new("proof", 7, 12, settings, now)`.
#[derive(Debug)]
pub struct FunctionWork {
    function: String,
    own: NodeId,
    steward_epoch: u64,
    settings: WorkSettings,
    cells: BTreeMap<String, Cell>,
    waitlist: VecDeque<WaitingAsk>,
    turns: Turns,
    open: BTreeMap<u64, OpenTicket>,
    by_ask: BTreeMap<(NodeId, u64), u64>,
    /// Where calls come from, and where workers are.
    zone_calls: ZoneCalls,
    worker_zones: Arc<WorkerZones>,
    /// The cell that each asker was sent to last: it may have a connection there still.
    last_cells: BTreeMap<NodeId, String>,
    /// Starts under way: since when, and in which zone they are wanted.
    starting: BTreeMap<String, (Micros, Zone)>,
    /// What the allowance lets it have; none before the first split since this steward began.
    allowed_cells: Option<u32>,
    /// Cells that were found count as called for until then: the steward before had its reasons.
    found_until: Micros,
    next_ticket: u64,
    next_start: u64,
    unheard: Vec<NodeId>,
    careful_until: Micros,
    back_until: Micros,
    learnt_boot: Micros,
    extras: ExtraBudget,
    peak: (u32, u32),
    peak_turned_at: Micros,
    demand: CellDemand,
    /// Cells that the cost model finds worth having now, and keeping.
    worth: (u32, u32),
    no_room_until: Micros,
    turned_away: VecDeque<Micros>,
    /// The calls that the whole function is held to, until a time.
    held_to: (usize, Micros),
    paused_until: Micros,
    /// Turn-aways since the last answer: the pause grows with them.
    away_in_row: u32,
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
    acts: Vec<WorkAct>,
}

/// A function that was not called for so long counts as one that nobody calls.
const IDLE_AFTER: Micros = Micros::from_secs(5);
/// A new steward starts nothing for a function that nobody called before all nodes can know what all want.
const SPARE_PATIENCE: Micros = Micros::from_secs(2);
/// Where no lane names a target.
const UNNAMED_TARGET: Micros = Micros::from_secs(1);
/// Cells found by a new steward are kept for so long at the least.
const FOUND_SPAN: Micros = Micros::from_secs(4);
const LIMIT_REGAINED_EACH: Micros = Micros::from_millis(300);
/// So many turn-aways in five seconds hold the whole function to the calls it has.
const TURNED_AWAY_MOST: usize = 3;
const TURNED_AWAY_SPAN: Micros = Micros::from_secs(5);
/// What others have on the cells ends meanwhile.
const TURNED_AWAY_PAUSE: Micros = Micros::from_millis(150);
const LIST_PATIENCE: Micros = Micros::from_secs(10);
const STOP_REPEAT: Micros = Micros::from_secs(8);
const ASK_FORGOTTEN: Micros = Micros::from_millis(1_500);
const START_FORGOTTEN: Micros = Micros::from_secs(10);
/// A colleague that is back tells its tickets within a message's way; it is not waited for longer.
const BACK_PATIENCE: Micros = Micros::from_secs(1);
const OPEN_LIMIT: usize = 20_000;
/// So many calls more than the emptiest cell may the asker's last one have to be taken again.
const LAST_CELL_MORE: u32 = 1;
/// Askers whose last cell is remembered.
const LAST_CELLS_LIMIT: usize = 8_192;
/// Extra dispatches that wait for a new steward's part to open: it does so by one each 0.6 s.
const EXTRAS_WAITING_MOST: usize = 4;
const EXTRAS_USED_UP: &str = "extra dispatches used up";
const TOO_LATE: &str = "no cell would be free in the time left";
const LEAST_LINGERING: Micros = Micros::from_millis(100);
const MOST_LINGERING: Micros = Micros::from_secs(3);

impl FunctionWork {
    /// A fresh steward's state. Until every node in `unheard` told which tickets it holds, or their
    /// time is over, cells are used at half of what they may run.
    /// Example: `FunctionWork::new("proof", 7, 12, settings, others, now)`.
    pub fn new(
        function: &str,
        own: NodeId,
        steward_epoch: u64,
        settings: WorkSettings,
        unheard: Vec<NodeId>,
        now: Micros,
    ) -> FunctionWork {
        FunctionWork {
            function: function.to_owned(),
            own,
            steward_epoch,
            learnt_boot: settings.boot,
            settings,
            cells: BTreeMap::new(),
            waitlist: VecDeque::new(),
            turns: Turns::default(),
            open: BTreeMap::new(),
            by_ask: BTreeMap::new(),
            zone_calls: ZoneCalls::default(),
            worker_zones: Arc::default(),
            last_cells: BTreeMap::new(),
            starting: BTreeMap::new(),
            allowed_cells: None,
            found_until: Micros(0),
            next_ticket: 0,
            next_start: 0,
            unheard,
            careful_until: now + Micros::from_secs(4),
            back_until: Micros(0),
            extras: ExtraBudget::new(ExtraBound::default(), now),
            peak: (0, 0),
            peak_turned_at: now,
            demand: CellDemand::new(now),
            worth: (0, 0),
            no_room_until: Micros(0),
            turned_away: VecDeque::new(),
            held_to: (usize::MAX, Micros(0)),
            paused_until: Micros(0),
            away_in_row: 0,
            is_adopting: false,
            usual_latency: Micros::from_millis(50),
            slow_in_row: 0,
            knows_latency: false,
            waiting_since: None,
            called_at: now,
            ticked_at: now,
            acts: Vec::new(),
        }
    }

    /// The epoch this steward acts under. Example: `work.steward_epoch()`.
    pub fn steward_epoch(&self) -> u64 {
        self.steward_epoch
    }

    /// Bounds extra dispatches; called before the first ask.
    /// Example: `work.bound_extras(ExtraBound::default(), now)`.
    pub fn bound_extras(&mut self, bound: ExtraBound, now: Micros) {
        self.extras = ExtraBudget::new(bound, now);
    }

    /// Takes changed settings. Example: `work.take_settings(settings)`.
    pub fn take_settings(&mut self, settings: WorkSettings) {
        self.settings = settings;
    }

    /// Starts nothing before this time: the cells that run are not known yet.
    /// Example: `work.hold_starts(now + Micros::from_secs(1))`.
    pub fn hold_starts(&mut self, until: Micros) {
        self.no_room_until = until;
        self.is_adopting = true;
    }

    /// How many cells the allowance lets this function have. Example: `work.allow_cells(3)`.
    pub fn allow_cells(&mut self, cell_count: u32) {
        self.allowed_cells = Some(cell_count);
    }

    /// Cells that the calls of now want, at most what the settings allow.
    /// Example: nine calls on cells of four want three.
    pub fn wanted_cells(&self) -> u32 {
        let calls_at_once = self.settings.calls_at_once;
        // A start is worth it where calls would wait for a quarter of a boot: short calls that come
        // together are through a few cells before more of them run.
        let waiting_cells = self.cells_to_serve_within(Micros(self.learnt_boot.0 / 4));
        let open_cells = (self.open.len() as u32).div_ceil(calls_at_once);
        let needed_cells = waiting_cells.max(open_cells).max(self.worth.0);
        needed_cells.max(self.settings.least_cells).min(self.settings.most_cells)
    }

    /// Cells that are through with all calls of now within a time, by what calls usually take.
    fn cells_to_serve_within(&self, span: Micros) -> u32 {
        let is_latency_known = self.knows_latency || self.settings.idle.is_none();
        let turns = if is_latency_known { span.0 / self.usual_latency.0.max(1) } else { 0 };
        let calls_each = u64::from(self.settings.calls_at_once) * (1 + turns);
        u64::from(self.needed_calls()).div_ceil(calls_each) as u32
    }

    /// Cells to claim memory for: what is wanted now, was in the last idle span, or is worth its memory; by
    /// how much depends on them. Example: `work.demanded_cells().total() >= work.wanted_cells()`.
    pub fn demanded_cells(&self) -> DemandedCells {
        let kept_cells = match self.settings.idle {
            Some(_) => self.peak.0.max(self.peak.1).div_ceil(self.settings.calls_at_once),
            None => self.worth.1,
        };
        let total = kept_cells.min(self.settings.most_cells).max(self.wanted_cells());
        let needed = match self.settings.idle {
            Some(_) => total,
            None => self.cells_for_calls().min(total),
        };
        let rest = total - needed;
        match self.is_called() {
            true => DemandedCells { needed, warm: rest, spare: 0 },
            false => DemandedCells { needed, warm: 0, spare: rest },
        }
    }

    /// Cells that the calls of now and of the last seconds take, without any that only make them quicker.
    fn cells_for_calls(&self) -> u32 {
        let waiting_cells = self.cells_to_serve_within(Micros(self.learnt_boot.0 / 4));
        let loaded_cells = (self.demand.load() / f64::from(self.settings.calls_at_once)).ceil() as u32;
        waiting_cells.max(loaded_cells).max(self.settings.least_cells)
    }

    /// Whether a call ever came, or such are under way from before.
    fn is_called(&self) -> bool {
        let is_found = self.ticked_at < self.found_until;
        self.settings.idle.is_some() || self.demand.is_called() || self.needed_calls() > 0 || is_found
    }

    /// Cells that it may have now. A function that is called gets one as soon as a worker has room for it.
    fn allowed_cells(&self) -> u32 {
        self.allowed_cells.unwrap_or(0).max(u32::from(self.is_called()))
    }

    /// Cells that it may keep. Before the first split nothing speaks against what runs already.
    fn keepable_cells(&self) -> u32 {
        self.allowed_cells.map_or(u32::MAX, |_| self.allowed_cells())
    }

    /// Tells when traffic began, of whatever function, as far as is known here.
    /// Example: `work.take_traffic(Some(now))`.
    pub fn take_traffic(&mut self, since: Option<Micros>) {
        self.demand.take_traffic(since);
    }

    /// Nodes that have not yet told which tickets they hold. Example: `work.unheard().is_empty()`.
    pub fn unheard(&self) -> &[NodeId] {
        &self.unheard
    }

    /// Cells that exist and are not leaving, and starts under way. Example: `work.cell_count()`.
    pub fn cell_count(&self) -> u32 {
        (self.usable_cells().count() + self.starting.len()) as u32
    }

    /// Whether it has any cell that is not leaving. Example: the first one may go where others may not.
    pub fn has_cells(&self) -> bool {
        self.usable_cells().next().is_some()
    }

    /// Starts and stops still wanted, for the split of the start rate. Example: `work.wanted_acts()`.
    pub fn wanted_acts(&self) -> u32 {
        self.wanted_cells().saturating_sub(self.cell_count()) + self.starting.len() as u32
    }

    /// Calls that wait. Example: `work.waiting_count()`.
    pub fn waiting_count(&self) -> usize {
        self.waitlist.len()
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

    /// The cells known to run, for the deputy. Example: `work.ready_cells().len()`.
    pub fn ready_cells(&self) -> Vec<ReadyCell> {
        self.cells
            .iter()
            .filter(|(_, cell)| cell.phase == Phase::Ready)
            .map(|(id, cell)| ReadyCell { id: id.clone(), address: cell.address })
            .collect()
    }

    /// The acts since the last call. Example: `for act in work.take_acts() { .. }`.
    pub fn take_acts(&mut self) -> Vec<WorkAct> {
        std::mem::take(&mut self.acts)
    }

    fn needed_calls(&self) -> u32 {
        (self.open.len() + self.waitlist.len()) as u32
    }

    fn usable_cells(&self) -> impl Iterator<Item = (&String, &Cell)> {
        self.cells.iter().filter(|(_, cell)| !matches!(cell.phase, Phase::Leaving { .. }))
    }

    /// A node asks for a ticket; asking again is always safe.
    /// Example: `work.ask(9, 1, Micros::from_secs(4), 0, "", now)`.
    pub fn ask(
        &mut self,
        asker: NodeId,
        ask: u64,
        time_left: Micros,
        dispatches: u32,
        avoid: &str,
        now: Micros,
    ) {
        let details = AskDetails { avoid, ..AskDetails::default() };
        self.ask_in_detail(asker, ask, time_left, dispatches, details, now);
    }

    /// The same with what the call's lane says of its urgency, and where it comes from.
    /// Example: `work.ask_in_detail(9, 1, Micros::from_secs(4), 0, AskDetails::default(), now)`.
    pub fn ask_in_detail(
        &mut self,
        asker: NodeId,
        ask: u64,
        time_left: Micros,
        dispatches: u32,
        AskDetails { avoid, urgency, zone }: AskDetails,
        now: Micros,
    ) {
        let is_extra = dispatches > 0;
        if let Some(ticket_id) = self.by_ask.get(&(asker, ask)).copied()
            && let Some(open_ticket) = self.open.get_mut(&ticket_id)
        {
            if open_ticket.dispatches >= dispatches {
                let ticket = open_ticket.ticket.clone();
                self.acts.push(WorkAct::Grant { asker, ask, ticket, is_far: false });
                return;
            }
            // The call's dispatch before this one is over, and its return is late or lost: one ticket
            // is never granted for two dispatches. Its place is free when the return comes.
            self.by_ask.remove(&(asker, ask));
        }
        if let Some(waiting) =
            self.waitlist.iter_mut().find(|waiting| (waiting.asker, waiting.ask) == (asker, ask))
        {
            waiting.seen_at = now;
            self.hold_back(asker, ask, HeldBackAs::Waiting, "waiting", Micros(0));
            return;
        }
        if !is_extra {
            self.demand.called(now);
            self.called_at = now;
            self.zone_calls.came(zone, now);
        }
        let extras_waiting = self.waitlist.iter().filter(|waiting| waiting.dispatches > 0).count();
        let may_wait = self.extras.is_young(now) && extras_waiting < EXTRAS_WAITING_MOST;
        if is_extra && !may_wait && !self.extras.may_spend(now) {
            self.hold_back(asker, ask, HeldBackAs::Refused, EXTRAS_USED_UP, Micros::from_secs(1));
            return;
        }
        // A nested call that is turned away fails its caller, which has run for nothing: such calls have as
        // many places again.
        let places = self.settings.waitlist * if urgency.is_nested { 2 } else { 1 };
        let turn = if is_extra { AGAIN } else { self.turns.next(&self.waitlist, &urgency) };
        let waiting = WaitingAsk {
            asker,
            ask,
            dispatches,
            ends_at: now + time_left,
            seen_at: now,
            avoid: avoid.to_owned(),
            urgency,
            turn,
            zone,
        };
        let is_full = self.waitlist.len() >= places || self.open.len() >= OPEN_LIMIT;
        if is_full && !self.make_room(&waiting) {
            self.refuse_for_room(asker, ask);
            return;
        }
        match is_extra {
            // A call that was turned away has waited its turn already.
            true => self.waitlist.push_front(waiting),
            false => self.waitlist.push_back(waiting),
        }
        self.serve(now);
        self.start_wanted(now);
        if self.waitlist.iter().any(|waiting| (waiting.asker, waiting.ask) == (asker, ask)) {
            self.hold_back(asker, ask, HeldBackAs::Waiting, "waiting", Micros(0));
        }
    }

    /// The list is full: one in it gives way, or the newcomer does.
    fn make_room(&mut self, newcomer: &WaitingAsk) -> bool {
        if self.open.len() >= OPEN_LIMIT {
            return false;
        }
        let Some(place) = self.turns.gives_way(&self.waitlist, newcomer) else { return false };
        let (refused_asker, refused_ask) = (self.waitlist[place].asker, self.waitlist[place].ask);
        self.drop_waiting(place);
        self.refuse_for_room(refused_asker, refused_ask);
        true
    }

    fn refuse_for_room(&mut self, asker: NodeId, ask: u64) {
        let retry_after = self.usual_latency + Micros::from_secs(1);
        self.hold_back(asker, ask, HeldBackAs::Refused, "waitlist full", retry_after);
    }

    /// The asker's call is over before a ticket came. Example: `work.withdraw(9, 1)`.
    pub fn withdraw(&mut self, asker: NodeId, ask: u64) {
        let place = self.waitlist.iter().position(|waiting| (waiting.asker, waiting.ask) == (asker, ask));
        if let Some(place) = place {
            self.drop_waiting(place);
        }
    }

    /// Takes an ask off the list that is not served.
    fn drop_waiting(&mut self, place: usize) {
        if let Some(dropped) = self.waitlist.remove(place) {
            turns::close_gap(&mut self.waitlist, &dropped);
        }
    }

    fn hold_back(
        &mut self,
        asker: NodeId,
        ask: u64,
        held_back_as: HeldBackAs,
        reason: &'static str,
        retry_after: Micros,
    ) {
        self.acts.push(WorkAct::HoldBack { asker, ask, held_back_as, reason, retry_after });
    }

    /// An extra dispatch counts from its grant: it may have waited for seconds by then.
    fn spend_extra(&mut self, now: Micros) -> bool {
        self.extras.spend(now)
    }

    /// What a ticket's end tells of arrivals: only what surely reached a cell counts as a call, and only
    /// what surely did not makes room for another extra dispatch.
    fn count_arrival(&mut self, open_ticket: &OpenTicket, how: u8) {
        let Some(granted_at) = open_ticket.granted_at else { return };
        match how {
            RAN | TURNED_AWAY if open_ticket.dispatches == 0 => self.extras.call_arrived(granted_at),
            NOT_RUN | UNUSED if open_ticket.dispatches > 0 => self.extras.not_arrived(granted_at),
            _ => {}
        }
    }

    /// Tickets that a node held when this steward took over.
    /// Example: `work.held_elsewhere(9, vec![(ticket, Micros::from_secs(2))], now)`.
    pub fn held_elsewhere(&mut self, node: NodeId, tickets: Vec<(Ticket, Micros)>, now: Micros) {
        self.unheard.retain(|unheard_node| *unheard_node != node);
        self.drop_returned(node, &tickets);
        for (ticket, ends_in) in tickets {
            let is_own = ticket.granted_by == self.own && ticket.steward_epoch == self.steward_epoch;
            if is_own || self.open.contains_key(&ticket.id) {
                continue;
            }
            if let Some(cell) = self.cells.get_mut(&ticket.cell.0) {
                cell.in_flight += 1;
            }
            let foreign_id = ticket.id;
            let open_ticket = OpenTicket {
                cell: ticket.cell.0.clone(),
                asker: node,
                ask: 0,
                dispatches: 0,
                granted_at: None,
                ends_at: now + ends_in,
                ticket,
                is_over: false,
            };
            self.open.insert(foreign_id, open_ticket);
        }
    }

    /// A ticket comes back with how it went. Example: `work.returned(&ticket, RAN, latency, now)`.
    pub fn returned(&mut self, ticket: &Ticket, how: u8, latency: Micros, now: Micros) {
        let Some(mut open_ticket) = self.open.remove(&ticket.id) else { return };
        self.forget_ask(&open_ticket, ticket.id);
        self.count_arrival(&open_ticket, how);
        let mut ready_changed = false;
        let is_lingering = matches!(how, UNKNOWN | ABANDONED) && !open_ticket.is_over;
        if let Some(cell) = self.cells.get_mut(&open_ticket.cell) {
            if !is_lingering {
                cell.in_flight = cell.in_flight.saturating_sub(1);
            }
            ready_changed = take_outcome(cell, how, now);
            if let Some(boot_start) = cell.booted_from {
                // A cell that died in its boot says nothing of boots: calls must not be turned away for
                // a time that the configuration does not know of.
                let longest_boot = Micros(self.settings.boot.0 * 2);
                let learnt = learn_boot(self.learnt_boot, (now - latency) - boot_start, how);
                self.learnt_boot = learnt.min(longest_boot);
            }
            if how == RAN {
                cell.booted_from = None;
                self.away_in_row = 0;
                // Each answer under a hold lets one call more in: what filled the cells may be over.
                self.held_to.0 = self.held_to.0.saturating_add(1);
                self.knows_latency = true;
            }
            let is_slow = how == UNKNOWN && latency > self.usual_latency;
            self.slow_in_row = match how {
                RAN => 0,
                _ => self.slow_in_row + u32::from(is_slow),
            };
            self.usual_latency = learn_latency(self.usual_latency, latency, how, self.slow_in_row);
        }
        if ready_changed {
            self.acts.push(WorkAct::ReadyChanged);
        }
        if is_lingering {
            // Whoever gave up on the answer does not end the cell's work: its place stays taken for
            // as long as calls take.
            open_ticket.is_over = true;
            let lingering = Micros((self.usual_latency.0 * 2).max(latency.0));
            open_ticket.ends_at = now + lingering.clamp(LEAST_LINGERING, MOST_LINGERING);
            self.open.insert(ticket.id, open_ticket);
        }
        if how == TURNED_AWAY {
            self.note_turned_away(now);
        }
        self.serve(now);
    }

    fn forget_ask(&mut self, open_ticket: &OpenTicket, ticket_id: u64) {
        let place = (open_ticket.asker, open_ticket.ask);
        if self.by_ask.get(&place) == Some(&ticket_id) {
            self.by_ask.remove(&place);
        }
    }

    fn note_turned_away(&mut self, now: Micros) {
        while self.turned_away.front().is_some_and(|turned_at| now >= *turned_at + TURNED_AWAY_SPAN) {
            self.turned_away.pop_front();
        }
        self.turned_away.push_back(now);
        self.away_in_row += 1;
        if self.turned_away.len() >= TURNED_AWAY_MOST {
            self.turned_away.pop_front();
            let held_before = if now < self.held_to.1 { self.held_to.0 } else { usize::MAX };
            self.held_to = (self.open.len().clamp(1, held_before), now + TURNED_AWAY_SPAN);
            let doublings = self.away_in_row.saturating_sub(TURNED_AWAY_MOST as u32).min(4);
            self.paused_until = now + Micros(TURNED_AWAY_PAUSE.0 << doublings);
        }
    }

    /// A colleague that was away is back: the calls it sent to cells meanwhile are asked for, and for
    /// a second cells are used at a quarter. Example: `work.colleague_back(9, now)`.
    pub fn colleague_back(&mut self, node: NodeId, now: Micros) {
        if !self.unheard.contains(&node) {
            self.unheard.push(node);
        }
        self.careful_until = self.careful_until.max(now + BACK_PATIENCE);
        // Others beyond the same cut may not have been heard of yet.
        self.back_until = now + BACK_PATIENCE;
    }

    /// Takes the platform's list of this function's cells; `listed_at` is when it was asked for.
    /// Example: `work.listed(&cells, &known_ready, asked_at, now)`.
    pub fn listed(
        &mut self,
        listed_cells: &[ListedCell],
        known_ready: &[String],
        listed_at: Micros,
        now: Micros,
    ) {
        let mut ready_changed = false;
        for listed_cell in listed_cells {
            if let Some(cell) = self.cells.get_mut(&listed_cell.id) {
                cell.listed = true;
                if listed_cell.started
                    && cell.booted_from.is_some()
                    && !matches!(cell.phase, Phase::Leaving { .. })
                {
                    // Whether it serves is known without a first call.
                    cell.booted_from = None;
                    if matches!(cell.phase, Phase::Unproven { .. }) {
                        cell.phase = Phase::Ready;
                    }
                    ready_changed = true;
                }
                if listed_cell.leaving && !matches!(cell.phase, Phase::Leaving { .. }) {
                    cell.phase = Phase::Leaving { stop_sent: None };
                    ready_changed = true;
                }
                continue;
            }
            // Adopted: in flight already are the tickets that other nodes told of.
            let in_flight = self.open.values().filter(|ticket| ticket.cell == listed_cell.id).count() as u32;
            let phase =
                match (listed_cell.leaving, listed_cell.started || known_ready.contains(&listed_cell.id)) {
                    (true, _) => Phase::Leaving { stop_sent: None },
                    (false, true) => Phase::Ready,
                    (false, false) => Phase::Unproven { trial_at: now },
                };
            let adopted_cell = Cell {
                address: listed_cell.address,
                worker: listed_cell.worker.clone(),
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
            self.cells.insert(listed_cell.id.clone(), adopted_cell);
            ready_changed = true;
            // The steward before kept these cells for calls that this one has not seen: they count as
            // needed for one idle span.
            let usable_count = self.usable_cells().count() as u32;
            self.peak.0 = self.peak.0.max(usable_count * self.settings.calls_at_once);
            self.hold_cells(usable_count, now);
            self.found_until = now + FOUND_SPAN;
        }
        // From now on it is known which cells run.
        if std::mem::take(&mut self.is_adopting) {
            self.no_room_until = Micros(0);
        }
        let is_listed = |id: &str| listed_cells.iter().any(|listed_cell| listed_cell.id == id);
        let cell_count = self.cells.len();
        // A cell is gone once it was listed and no longer is; a fresh one may be listed late.
        self.cells.retain(|id, cell| {
            is_listed(id)
                || (!cell.listed && listed_at < cell.known_at + LIST_PATIENCE)
                || listed_at < cell.known_at
        });
        if ready_changed || cell_count != self.cells.len() {
            self.acts.push(WorkAct::ReadyChanged);
        }
        self.serve(now);
    }

    /// Cells on workers that drain or are gone leave with them, also those that boot and that no list
    /// shows yet. Example: `work.leave_workers(|worker| placement.is_usable(worker), now)`.
    pub fn leave_workers(&mut self, is_usable: impl Fn(&str) -> bool, now: Micros) {
        let mut ready_changed = false;
        for cell in self.cells.values_mut() {
            if !matches!(cell.phase, Phase::Leaving { .. }) && !is_usable(&cell.worker) {
                cell.phase = Phase::Leaving { stop_sent: None };
                ready_changed = true;
            }
        }
        if ready_changed {
            self.acts.push(WorkAct::ReadyChanged);
            self.start_wanted(now);
        }
    }

    /// The answer to a start. Example: `work.started("7-12-1", StartOutcome::NoRoom, now)`.
    pub fn started(&mut self, start_id: &str, outcome: StartOutcome, now: Micros) {
        if self.starting.remove(start_id).is_none() {
            return;
        }
        match outcome {
            StartOutcome::Started { cell, address, worker } => {
                let started_cell = Cell {
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
                self.cells.entry(cell).or_insert(started_cell);
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
    /// Example: `work.give_up(); for act in work.take_acts() { .. }`.
    pub fn give_up(&mut self) {
        for waiting in std::mem::take(&mut self.waitlist) {
            self.hold_back(waiting.asker, waiting.ask, HeldBackAs::NotSteward, "not the steward", Micros(0));
        }
    }

    fn expire(&mut self, now: Micros) {
        let over_tickets: Vec<u64> =
            self.open.iter().filter(|(_, ticket)| now >= ticket.ends_at).map(|(id, _)| *id).collect();
        for ticket_id in over_tickets {
            let Some(ticket) = self.open.remove(&ticket_id) else { continue };
            self.forget_ask(&ticket, ticket_id);
            if let Some(cell) = self.cells.get_mut(&ticket.cell) {
                cell.in_flight = cell.in_flight.saturating_sub(1);
                if cell.phase == Phase::Trial {
                    cell.phase = Phase::Unproven { trial_at: now };
                }
            }
        }
        // An asker that went silent is gone; one whose time is over refuses its call itself.
        let is_over = |waiting: &WaitingAsk| now >= waiting.ends_at || now >= waiting.seen_at + ASK_FORGOTTEN;
        while let Some(place) = self.waitlist.iter().rposition(is_over) {
            self.drop_waiting(place);
        }
        self.starting.retain(|_, (sent_at, _)| now < *sent_at + START_FORGOTTEN);
        if self.last_cells.len() > LAST_CELLS_LIMIT {
            self.last_cells.clear();
        }
        self.note_load(now);
    }

    /// Keeps so many cells for a while, from now on: the memory for them is claimed before the next clock event.
    fn hold_cells(&mut self, cells: u32, now: Micros) {
        self.demand.hold(cells, now + FOUND_SPAN);
        self.worth.1 = self.demand.kept(self.worth.0, now);
    }

    /// Judges how many cells to keep: by the peak of the last idle span where the configuration names
    /// one, by the cost model otherwise.
    fn note_load(&mut self, now: Micros) {
        let Some(idle) = self.settings.idle else {
            self.demand.note(now, self.offered_load());
            let shape = CellShape {
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
        if now >= self.peak_turned_at + Micros(idle.0 / 2) {
            self.peak = (self.needed_calls(), self.peak.0);
            self.peak_turned_at = now;
        }
        self.peak.0 = self.peak.0.max(self.needed_calls());
    }

    /// Slots that the calls of now take: one for each that is under way, and for those that wait what it
    /// takes to be through with them within the time of a boot. A call that waits is a short piece of work,
    /// not a slot's worth of load: counted as such, a queue would start many times the cells it needs.
    fn offered_load(&self) -> f64 {
        let turns = (self.settings.boot.0 as f64 / self.usual_latency.0.max(1) as f64).max(1.0);
        self.open.len() as f64 + self.waitlist.len() as f64 / turns
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
        !self.unheard.is_empty() && now < self.careful_until
    }

    /// Room on a cell now: none, or the calls it already has.
    fn room(&self, cell: &Cell, now: Micros) -> Option<u32> {
        let full_limit = match (now < self.back_until, self.is_careful(now)) {
            (true, _) => (self.settings.calls_at_once / 4).max(1),
            (false, true) => (self.settings.calls_at_once / 2).max(1),
            (false, false) => self.settings.calls_at_once,
        };
        // What a turn-away took off comes back one call at a time: whoever else sends to the cell is
        // found out by a call a second, not by a burst.
        let regained = (now - cell.limited_until).0 / LIMIT_REGAINED_EACH.0;
        let limit = full_limit.min(cell.limit.saturating_add(regained as u32));
        match cell.phase {
            Phase::Ready => (cell.in_flight < limit).then_some(cell.in_flight),
            // The first call goes alone, after all proven room is used.
            Phase::Unproven { trial_at } => (now >= trial_at && cell.in_flight == 0).then_some(u32::MAX),
            Phase::Trial | Phase::Leaving { .. } => None,
        }
    }

    /// In the asker's zone, if a cell there that runs has room, and elsewhere otherwise: the cell with the
    /// fewest calls, or the one that the asker used last where that has hardly more. It spares a connection,
    /// and the calls stay spread.
    fn pick_cell(&self, waiting: &WaitingAsk, now: Micros) -> Option<String> {
        let rooms = self.cells.iter().filter_map(|(id, cell)| {
            let room = self.room(cell, now)?;
            let is_unproven = cell.phase != Phase::Ready;
            Some((*id == waiting.avoid, is_unproven, self.is_far(cell, waiting.zone), room, id))
        });
        let (is_avoided, _, is_far, fewest, emptiest) = rooms.min()?;
        let last = self.last_cells.get(&waiting.asker).filter(|last| **last != waiting.avoid && !is_avoided);
        let last_room = last.and_then(|last| {
            let cell = self.cells.get(last)?;
            self.room(cell, now).filter(|_| is_far || !self.is_far(cell, waiting.zone))
        });
        let is_last_good = last_room.is_some_and(|calls| calls <= fewest.saturating_add(LAST_CELL_MORE));
        last.filter(|_| is_last_good).or(Some(emptiest)).cloned()
    }

    fn is_far(&self, cell: &Cell, zone: Zone) -> bool {
        self.zone_of(&cell.worker).is_far_from(zone)
    }

    fn zone_of(&self, worker: &str) -> Zone {
        self.worker_zones.get(worker).copied().unwrap_or_default()
    }

    /// Cells that are not leaving, and starts under way, by zone.
    fn cells_by_zone(&self) -> BTreeMap<Zone, usize> {
        let mut cells: BTreeMap<Zone, usize> = BTreeMap::new();
        for (_, cell) in self.usable_cells() {
            *cells.entry(self.zone_of(&cell.worker)).or_default() += 1;
        }
        for (_, zone) in self.starting.values() {
            *cells.entry(*zone).or_default() += 1;
        }
        cells
    }

    /// The zone that lacks a cell most, by where calls come from.
    fn zone_for_a_start(&self) -> Zone {
        let missing = self.zone_calls.missing(&self.cells_by_zone());
        let most = missing.into_iter().max_by(|(_, left), (_, right)| left.total_cmp(right));
        most.map_or(Zone::default(), |(zone, _)| zone)
    }

    /// Takes the zones of the workers. Example: `work.take_worker_zones(placement.zones())`.
    pub fn take_worker_zones(&mut self, zones: Arc<WorkerZones>) {
        self.worker_zones = zones;
    }

    /// Whose turn it is: a new steward's extra dispatches let others pass until they are granted.
    fn next_place(&mut self, now: Micros) -> Option<usize> {
        let is_extra_held = self.extras.is_young(now) && !self.extras.may_spend(now);
        let answered_at = now + self.usual_latency;
        let eligible = self.waitlist.iter().enumerate();
        let eligible = eligible.filter(|(_, waiting)| waiting.dispatches == 0 || !is_extra_held);
        self.turns.first(eligible, answered_at)
    }

    fn serve(&mut self, now: Micros) {
        while let Some(place) = self.next_place(now) {
            let waiting = &self.waitlist[place];
            if now >= waiting.ends_at {
                self.drop_waiting(place);
                continue;
            }
            if now + self.usual_latency > waiting.ends_at {
                let (asker, ask) = (waiting.asker, waiting.ask);
                self.drop_waiting(place);
                let retry_after = self.usual_latency + Micros::from_secs(1);
                self.hold_back(asker, ask, HeldBackAs::Refused, TOO_LATE, retry_after);
                continue;
            }
            let is_held = now < self.held_to.1 && self.open.len() >= self.held_to.0;
            if is_held || now < self.paused_until {
                return;
            }
            let Some(picked_id) = self.pick_cell(waiting, now) else { return };
            let Some(waiting) = self.waitlist.remove(place) else { return };
            self.turns.served(&self.waitlist, &waiting.urgency, waiting.turn);
            if waiting.dispatches > 0 && !self.spend_extra(now) {
                let retry_after = Micros::from_secs(1);
                self.hold_back(waiting.asker, waiting.ask, HeldBackAs::Refused, EXTRAS_USED_UP, retry_after);
                continue;
            }
            let is_far = self.cells.get(&picked_id).is_some_and(|cell| self.is_far(cell, waiting.zone));
            let Some(cell) = self.cells.get_mut(&picked_id) else { return };
            if matches!(cell.phase, Phase::Unproven { .. }) {
                cell.phase = Phase::Trial;
            }
            cell.in_flight += 1;
            let address = Address::from(cell.address);
            self.next_ticket += 1;
            // Unique over stewards: the epoch is in it, so an old steward's ticket is never mistaken.
            let ticket_id = peer_messages::stable_hash(
                format!("{}/{}/{}", self.function, self.steward_epoch, self.next_ticket).as_bytes(),
            );
            let ticket = Ticket {
                id: ticket_id,
                granted_by: self.own,
                steward_epoch: self.steward_epoch,
                function: self.function.as_str().into(),
                cell: picked_id.as_str().into(),
                address,
            };
            self.by_ask.insert((waiting.asker, waiting.ask), ticket_id);
            self.last_cells.insert(waiting.asker, picked_id.clone());
            let open_ticket = OpenTicket {
                cell: picked_id,
                asker: waiting.asker,
                ask: waiting.ask,
                dispatches: waiting.dispatches,
                granted_at: Some(now),
                ends_at: waiting.ends_at + Micros::from_secs(1),
                ticket: ticket.clone(),
                is_over: false,
            };
            self.open.insert(ticket_id, open_ticket);
            self.acts.push(WorkAct::Grant { asker: waiting.asker, ask: waiting.ask, ticket, is_far });
        }
    }

    /// Who cannot be served in time is told so at once, with when to come back.
    fn shed(&mut self, now: Micros) {
        let is_adopting = self.is_adopting && now < self.no_room_until;
        if self.waitlist.is_empty() || is_adopting {
            return;
        }
        let usable_count = self.usable_cells().count() as u64;
        let earliest_room = self
            .usable_cells()
            .map(|(_, cell)| match cell.phase {
                Phase::Unproven { trial_at } => trial_at.max(now),
                _ => now,
            })
            .chain(self.starting.values().map(|(sent_at, _)| (*sent_at + self.learnt_boot).max(now)))
            .min();
        let calls_at_once = u64::from(self.settings.calls_at_once);
        let cannot_grow = self.cell_count() >= self.allowed_cells() || now < self.no_room_until;
        let turn_time = Micros(self.usual_latency.0 / (usable_count * calls_at_once).max(1));
        let mut refused = Vec::new();
        // Where the cells are as many as there may be the calls take turns at them, in the order they are served in.
        let waiting_in_order = match cannot_grow {
            true => self.turns.in_order(&self.waitlist, now + self.usual_latency),
            false => self.waitlist.iter().collect(),
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
                refused.push((waiting.asker, waiting.ask, served_at - now));
            } else {
                place += 1;
            }
        }
        for (asker, ask, retry_after) in refused {
            self.withdraw(asker, ask);
            self.hold_back(asker, ask, HeldBackAs::Refused, TOO_LATE, retry_after);
        }
    }

    /// A list that fills up turns calls away before the cells of one start after the other run: from an
    /// eighth on, and for an eighth of a boot, they are to be served within the time of such an eighth, and
    /// there are to be cells for all that come.
    fn pressed_cells(&self, now: Micros) -> u32 {
        let is_filling = self.waitlist.len() * 8 >= self.settings.waitlist.max(8);
        let patience = Micros(self.learnt_boot.0 / 8);
        let is_lasting = self.waiting_since.is_some_and(|since| now >= since + patience);
        let needed_cells = self.cells_to_serve_within(patience).max(self.cells_for_arrivals(now));
        if is_filling && is_lasting { needed_cells.min(self.settings.most_cells) } else { 0 }
    }

    /// Cells whose slots the calls that come keep taken, whatever waits already.
    fn cells_for_arrivals(&self, now: Micros) -> u32 {
        let slots = self.demand.peak_rate(now) * self.usual_latency.0 as f64 / 1e6;
        (slots / f64::from(self.settings.calls_at_once)).ceil() as u32
    }

    fn start_wanted(&mut self, now: Micros) {
        if now < self.no_room_until {
            return;
        }
        if !self.is_called() && now < self.called_at + SPARE_PATIENCE {
            return;
        }
        let is_waiting = !self.waitlist.is_empty();
        self.waiting_since = is_waiting.then(|| self.waiting_since.unwrap_or(now));
        let patience = Micros(self.learnt_boot.0 / 4);
        // While a cell boots the calls may be waiting for just that one, unless more come than all will carry.
        let is_growing =
            !self.starting.is_empty() || self.cells.values().any(|cell| cell.booted_from.is_some());
        // Where cells are kept by idling, one too many is of use later.
        let is_counted = self.settings.idle.is_none();
        let is_coming = is_counted && is_growing && self.cell_count() >= self.cells_for_arrivals(now);
        let is_behind = !is_coming && self.waiting_since.is_some_and(|since| now >= since + patience);
        let behind_cells = if is_behind { self.cell_count() + 1 } else { 0 };
        let pressed_cells = self.pressed_cells(now);
        let wanted = self
            .wanted_cells()
            .max(behind_cells.min(self.settings.most_cells))
            .max(pressed_cells)
            .min(self.allowed_cells());
        if self.cell_count() < wanted {
            self.waiting_since = None;
        }
        while self.cell_count() < wanted {
            self.next_start += 1;
            let start_id = format!("{}-{}-{}", self.function, self.steward_epoch, self.next_start);
            let zone = self.zone_for_a_start();
            self.starting.insert(start_id.clone(), (now, zone));
            let is_spare = !self.is_called();
            self.acts.push(WorkAct::Start { start_id, zone, is_spare });
        }
    }

    fn stop_surplus(&mut self, now: Micros) {
        let kept_cells = self.demanded_cells().total().min(self.keepable_cells());
        let usable_count = self.usable_cells().count() as u32;
        if usable_count > kept_cells {
            let surplus_ids: Vec<String> = {
                // Cells not known to run go first, so that the kept ones do run; then those of zones that have
                // more than their calls need.
                let missing = self.zone_calls.missing(&self.cells_by_zone());
                let missing_of = |cell: &Cell| {
                    let missing = missing.get(&self.zone_of(&cell.worker)).copied().unwrap_or(0.0);
                    (missing * 1e3) as i64
                };
                let mut by_worth: Vec<(bool, i64, u32, &String)> = self
                    .usable_cells()
                    .filter(|(_, cell)| !matches!(cell.phase, Phase::Trial))
                    .map(|(id, cell)| (cell.phase == Phase::Ready, missing_of(cell), cell.in_flight, id))
                    .collect();
                by_worth.sort();
                by_worth
                    .into_iter()
                    .take((usable_count - kept_cells) as usize)
                    .map(|(.., id)| id.clone())
                    .collect()
            };
            for surplus_id in surplus_ids {
                if let Some(cell) = self.cells.get_mut(&surplus_id) {
                    cell.phase = Phase::Leaving { stop_sent: None };
                }
                self.acts.push(WorkAct::ReadyChanged);
            }
        }
        for (id, cell) in &mut self.cells {
            let Phase::Leaving { stop_sent } = cell.phase else { continue };
            let is_due = stop_sent.is_none_or(|sent_at| now >= sent_at + STOP_REPEAT);
            if cell.in_flight == 0 && is_due {
                cell.phase = Phase::Leaving { stop_sent: Some(now) };
                self.acts.push(WorkAct::Stop { cell: id.clone() });
            }
        }
    }
}

#[cfg(test)]
mod tests;
