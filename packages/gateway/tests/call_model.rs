//! Every order of events for two calls, two cells and a few faults, through the real call chart, the
//! real use of connections and the real ledger of tickets: breadth first, each state once.
//!
//! The model plays callers, stewards, network and cells. Planted faults show that each rule bites.

use gateway::{
    AnswerEnd, AnswerOwner, CallChart, CallState, ConnectionUse, DispatchEnd, IdleCheck, NextStep,
};
use monotonic_clock::Micros;
use node_protocol::{TicketAdmission, TicketLedger};
use peer_messages::{Address, Ticket};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

/// Cells that one call may be sent to.
const TRIES: u32 = 2;
/// The first call may not be repeated, the second may.
const REPEATABLE: [bool; 2] = [false, true];
const CALLS_END_AT: Micros = Micros::from_secs(1);
const AFTER_A_FREEZE: Micros = Micros::from_secs(2);

/// A rule that some order of events broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Breach {
    /// An unrepeatable call was sent again though it may have run, or ran twice.
    Twice,
    /// A call that was refused as not run has run, or still may.
    RefusedAndRan,
    /// An answer was handed to a call whose id it does not bear.
    AnotherCallsAnswer,
    /// A connection with something to read carried another request.
    UnreadBytes,
    /// A call reached more cells than its lane allows.
    TooManyCells,
    /// One ticket was used for two dispatches.
    TicketTwice,
    /// A call was sent after its time.
    TooLate,
}

/// A mistake put into the front on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    LostCountsAsNotRun,
    TimeoutCountsAsNotRun,
    IdsAreIgnored,
    UnreadBytesAreIgnored,
    OneCellMore,
    RepeatedTicketsAreUsed,
    TimeIsNotLookedAt,
}

/// How far a model goes.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    cells: usize,
    tickets: u64,
    faults: u8,
}

/// One cell, whose connections both calls use, and two faults.
const ONE_CELL: Bounds = Bounds { cells: 1, tickets: 3, faults: 2 };
/// Two cells and one fault.
const TWO_CELLS: Bounds = Bounds { cells: 2, tickets: 3, faults: 1 };

/// What stands on a connection for the front to read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bytes {
    Answer { id: u8, says_not_run: bool },
    Garbage,
    End,
}

#[derive(Clone, Debug)]
struct Connection {
    usage: ConnectionUse<u8>,
    unread: Vec<Bytes>,
    /// The cell may still repeat its answer to this call, later.
    extra_answer: Option<u8>,
    is_fresh: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    New,
    WaitsForTicket,
    Dispatched {
        cell: usize,
        connection: Connection,
    },
    Over(CallState),
    /// Its caller is gone.
    Dropped,
}

#[derive(Clone, Debug)]
struct Call {
    chart: CallChart,
    stage: Stage,
    /// Requests of it that cells have and may still run.
    undecided: u8,
    runs: u8,
    /// Requests that reached a cell.
    arrivals: u32,
}

#[derive(Clone, Debug)]
struct World {
    bounds: Bounds,
    calls: [Call; 2],
    idle: Vec<Vec<Connection>>,
    /// Grants on their way to the node.
    grants: Vec<(usize, u64, usize)>,
    used_tickets: Vec<u64>,
    tickets: u64,
    ledger: TicketLedger,
    faults: u8,
    now: Micros,
}

/// The worlds that follow, or the rule that a step broke.
type Followers = Vec<Result<World, Breach>>;

impl World {
    fn begin(bounds: Bounds) -> World {
        let call = Call { chart: CallChart::begin(), stage: Stage::New, undecided: 0, runs: 0, arrivals: 0 };
        World {
            bounds,
            calls: [call.clone(), call],
            idle: vec![Vec::new(); bounds.cells],
            grants: Vec::new(),
            used_tickets: Vec::new(),
            tickets: 0,
            ledger: TicketLedger::default(),
            faults: 0,
            now: Micros(0),
        }
    }

    /// Rules on what has been, however it came about.
    fn check(self) -> Result<World, Breach> {
        for (call, repeatable) in self.calls.iter().zip(REPEATABLE) {
            if !repeatable && call.runs > 1 {
                return Err(Breach::Twice);
            }
            let is_refused = matches!(call.stage, Stage::Over(CallState::Refused));
            if is_refused && (call.runs > 0 || call.undecided > 0) {
                return Err(Breach::RefusedAndRan);
            }
        }
        Ok(self)
    }

    /// The same world with one fault more, while there may be more.
    fn with_fault(&self) -> Option<World> {
        let faults = self.faults + 1;
        (faults <= self.bounds.faults).then(|| World { faults, ..self.clone() })
    }

    fn followers(&self, planted: Option<Planted>) -> Followers {
        let mut followers = Vec::new();
        for call in 0..self.calls.len() {
            self.steps_of_call(call, planted, &mut followers);
        }
        for grant in 0..self.grants.len() {
            self.steps_of_grant(grant, planted, &mut followers);
        }
        for cell in 0..self.bounds.cells {
            self.steps_of_idle(cell, &mut followers);
        }
        if self.now < AFTER_A_FREEZE
            && let Some(frozen) = self.with_fault()
        {
            followers.push(Ok(World { now: AFTER_A_FREEZE, ..frozen }));
        }
        followers.into_iter().map(|follower| follower.and_then(World::check)).collect()
    }

    fn steps_of_call(&self, call: usize, planted: Option<Planted>, followers: &mut Followers) {
        match &self.calls[call].stage {
            Stage::New => {
                let mut next = self.clone();
                next.calls[call].chart.step(CallState::Matched);
                next.calls[call].chart.step(CallState::TicketAsked);
                next.calls[call].stage = Stage::WaitsForTicket;
                followers.push(Ok(next));
            }
            Stage::WaitsForTicket => {
                let under_way = self.grants.iter().any(|(granted, ..)| *granted == call);
                if self.tickets < self.bounds.tickets && (!under_way || self.faults < self.bounds.faults) {
                    for cell in 0..self.bounds.cells {
                        let mut next = self.clone();
                        next.tickets += 1;
                        next.grants.push((call, next.tickets, cell));
                        followers.push(Ok(next));
                    }
                }
                let mut next = self.clone();
                next.calls[call].stage = Stage::Dropped;
                followers.push(Ok(next));
                if self.now >= CALLS_END_AT {
                    let mut next = self.clone();
                    let final_state = next.calls[call].chart.give_up();
                    next.calls[call].stage = Stage::Over(final_state);
                    followers.push(Ok(next));
                }
            }
            Stage::Dispatched { .. } => self.steps_of_dispatch(call, planted, followers),
            Stage::Over(_) | Stage::Dropped => {}
        }
        // A cell runs late, or never, what it was sent by a dispatch that the front gave up.
        let is_dispatched = matches!(self.calls[call].stage, Stage::Dispatched { .. });
        if self.calls[call].undecided > u8::from(is_dispatched) {
            for runs in [0, 1] {
                let mut next = self.clone();
                next.calls[call].undecided -= 1;
                next.calls[call].runs += runs;
                followers.push(Ok(next));
            }
        }
    }

    /// A grant arrives; a fault has it arrive once more later.
    fn steps_of_grant(&self, grant: usize, planted: Option<Planted>, followers: &mut Followers) {
        let mut arrived = self.clone();
        let (call, ticket, cell) = arrived.grants.remove(grant);
        followers.push(arrived.take_grant(call, ticket, cell, planted));
        if let Some(kept) = self.with_fault() {
            followers.push(kept.take_grant(call, ticket, cell, planted));
        }
    }

    fn take_grant(
        mut self,
        call: usize,
        ticket_id: u64,
        cell: usize,
        planted: Option<Planted>,
    ) -> Result<World, Breach> {
        let waits = matches!(self.calls[call].stage, Stage::WaitsForTicket);
        let ticket = Ticket {
            id: ticket_id,
            granted_by: 1,
            steward_epoch: 1,
            function: "f".into(),
            cell: "c".into(),
            address: Address::from(SocketAddr::from(([127, 0, 0, 1], 1))),
        };
        let now = if planted == Some(Planted::TimeIsNotLookedAt) { Micros(0) } else { self.now };
        let mut admission = self.ledger.admit(&ticket, waits.then_some(CALLS_END_AT), false, now);
        if planted == Some(Planted::RepeatedTicketsAreUsed) && waits {
            admission = TicketAdmission::Used;
        }
        if admission != TicketAdmission::Used {
            return Ok(self);
        }
        match self.calls[call].chart.ticket_came(now < CALLS_END_AT, true) {
            NextStep::Dispatch => self.begin_dispatch(call, ticket_id, cell, planted),
            NextStep::GiveUp(final_state) => {
                self.calls[call].stage = Stage::Over(final_state);
                Ok(self)
            }
            other => unreachable!("{other:?}"),
        }
    }

    fn begin_dispatch(
        mut self,
        call: usize,
        ticket_id: u64,
        cell: usize,
        planted: Option<Planted>,
    ) -> Result<World, Breach> {
        let sent = &self.calls[call];
        if !REPEATABLE[call] && (sent.runs > 0 || sent.undecided > 0) {
            return Err(Breach::Twice);
        }
        if self.used_tickets.contains(&ticket_id) {
            return Err(Breach::TicketTwice);
        }
        if self.now >= CALLS_END_AT {
            return Err(Breach::TooLate);
        }
        self.used_tickets.push(ticket_id);
        let mut taken = None;
        while let Some(kept) = self.idle[cell].pop() {
            let has_unread_bytes = !kept.unread.is_empty() && planted != Some(Planted::UnreadBytesAreIgnored);
            let check = IdleCheck { is_same_address: true, is_expired: false, has_unread_bytes };
            if kept.usage.may_take_up(check) {
                taken = Some(kept);
                break;
            }
        }
        if taken.as_ref().is_some_and(|connection| !connection.unread.is_empty()) {
            return Err(Breach::UnreadBytes);
        }
        let mut connection = taken.unwrap_or_else(|| Connection {
            usage: ConnectionUse::fresh(),
            unread: Vec::new(),
            extra_answer: None,
            is_fresh: true,
        });
        connection.usage.request_sent(Some(call as u8));
        self.calls[call].undecided += 1;
        self.calls[call].arrivals += 1;
        self.calls[call].stage = Stage::Dispatched { cell, connection };
        Ok(self)
    }

    /// What cell, network and front may do while a dispatch is under way.
    fn steps_of_dispatch(&self, call: usize, planted: Option<Planted>, followers: &mut Followers) {
        let Stage::Dispatched { connection, .. } = &self.calls[call].stage else { return };
        let id = call as u8;
        let has_replied = connection.unread.iter().any(|bytes| match bytes {
            Bytes::Answer { id: answered, .. } => *answered == id,
            Bytes::Garbage | Bytes::End => true,
        });
        if !has_replied && self.calls[call].undecided > 0 {
            let sound = Bytes::Answer { id, says_not_run: false };
            followers.push(Ok(self.replied(call, 1, sound)));
            followers.push(Ok(self.replied(call, 0, Bytes::Answer { id, says_not_run: true })));
            if let Some(faulty) = self.with_fault() {
                for (runs, bytes) in [(0, Bytes::End), (1, Bytes::End), (1, Bytes::Garbage)] {
                    followers.push(Ok(faulty.replied(call, runs, bytes)));
                }
                let mut twofold = faulty.replied(call, 1, sound);
                if let Stage::Dispatched { connection, .. } = &mut twofold.calls[call].stage {
                    connection.extra_answer = Some(id);
                }
                followers.push(Ok(twofold));
                if connection.is_fresh {
                    let mut refused = faulty;
                    refused.calls[call].undecided -= 1;
                    refused.calls[call].arrivals -= 1;
                    followers.push(refused.end_dispatch(call, DispatchEnd::NotRun, planted));
                }
            }
        }
        // An answer to an earlier call comes late, in the place of this one's or behind it.
        if let Some(earlier) = connection.extra_answer {
            let mut next = self.clone();
            if let Stage::Dispatched { connection, .. } = &mut next.calls[call].stage {
                connection.extra_answer = None;
                connection.unread.push(Bytes::Answer { id: earlier, says_not_run: false });
            }
            followers.push(Ok(next));
        }
        if !connection.unread.is_empty() {
            followers.push(self.read_bytes(call, planted));
        }
        if self.now >= CALLS_END_AT {
            followers.push(self.clone().end_dispatch(call, DispatchEnd::TimedOut, planted));
        }
        if let Some(faulty) = self.with_fault() {
            followers.push(faulty.clone().end_dispatch(call, DispatchEnd::TimedOut, planted));
            // A reset with the request on its way: the cell may have it.
            followers.push(faulty.end_dispatch(call, DispatchEnd::Unknown, planted));
        }
    }

    /// The cell decides on the request and sends something.
    fn replied(&self, call: usize, runs: u8, bytes: Bytes) -> World {
        let mut next = self.clone();
        next.calls[call].undecided -= 1;
        next.calls[call].runs += runs;
        if let Stage::Dispatched { connection, .. } = &mut next.calls[call].stage {
            connection.unread.push(bytes);
        }
        next
    }

    /// The front reads what comes first.
    fn read_bytes(&self, call: usize, planted: Option<Planted>) -> Result<World, Breach> {
        let mut next = self.clone();
        let Stage::Dispatched { cell, connection } = &mut next.calls[call].stage else { return Ok(next) };
        let cell = *cell;
        let Bytes::Answer { id, says_not_run } = connection.unread.remove(0) else {
            return next.end_dispatch(call, DispatchEnd::Unknown, planted);
        };
        let seen_id = if planted == Some(Planted::IdsAreIgnored) { call as u8 } else { id };
        match connection.usage.answer_began(Some(&seen_id), says_not_run) {
            AnswerOwner::Nobody => return next.end_dispatch(call, DispatchEnd::Unknown, planted),
            AnswerOwner::Earlier => return Ok(next),
            AnswerOwner::Awaited => {}
        }
        if usize::from(id) != call {
            return Err(Breach::AnotherCallsAnswer);
        }
        let end = AnswerEnd {
            has_unread_bytes: !connection.unread.is_empty(),
            has_unsent_bytes: false,
            cell_keeps_it: true,
        };
        if connection.usage.answer_ended(end) {
            let kept = Connection { is_fresh: false, ..connection.clone() };
            next.idle[cell].push(kept);
        }
        let end = if says_not_run { DispatchEnd::TurnedAway } else { DispatchEnd::Answered };
        next.end_dispatch(call, end, planted)
    }

    fn end_dispatch(
        mut self,
        call: usize,
        end: DispatchEnd,
        planted: Option<Planted>,
    ) -> Result<World, Breach> {
        let told = match (planted, end) {
            (Some(Planted::LostCountsAsNotRun), DispatchEnd::Unknown) => DispatchEnd::NotRun,
            (Some(Planted::TimeoutCountsAsNotRun), DispatchEnd::TimedOut) => DispatchEnd::NotRun,
            _ => end,
        };
        let tries = if planted == Some(Planted::OneCellMore) { TRIES + 1 } else { TRIES };
        if self.calls[call].arrivals > TRIES {
            return Err(Breach::TooManyCells);
        }
        let ended = &mut self.calls[call];
        ended.stage = match ended.chart.dispatch_ended(told, REPEATABLE[call], tries) {
            NextStep::Answer => Stage::Over(CallState::Answered),
            NextStep::GiveUp(final_state) => Stage::Over(final_state),
            NextStep::AskAgain => {
                ended.chart.step(CallState::TicketAsked);
                Stage::WaitsForTicket
            }
            other => unreachable!("{other:?}"),
        };
        Ok(self)
    }

    /// An idle connection gets a late answer, bytes that are none, or its end.
    fn steps_of_idle(&self, cell: usize, followers: &mut Followers) {
        for place in 0..self.idle[cell].len() {
            if let Some(id) = self.idle[cell][place].extra_answer {
                let mut next = self.clone();
                next.idle[cell][place].extra_answer = None;
                next.idle[cell][place].unread.push(Bytes::Answer { id, says_not_run: false });
                followers.push(Ok(next));
            }
            if self.idle[cell][place].unread.is_empty()
                && let Some(faulty) = self.with_fault()
            {
                for bytes in [Bytes::Garbage, Bytes::End] {
                    let mut next = faulty.clone();
                    next.idle[cell][place].unread.push(bytes);
                    followers.push(Ok(next));
                }
            }
        }
    }
}

/// All states that can be reached, each once. Returns how many there are and every rule broken.
fn explore(bounds: Bounds, planted: Option<(Planted, Breach)>) -> (usize, BTreeSet<Breach>) {
    let mut breaches = BTreeSet::new();
    let mut seen = HashSet::new();
    let mut waiting = VecDeque::from([World::begin(bounds)]);
    while let Some(world) = waiting.pop_front() {
        for follower in world.followers(planted.map(|(planted, _)| planted)) {
            match follower {
                Err(breach) => {
                    breaches.insert(breach);
                }
                Ok(next) => {
                    if seen.insert(key(&next)) {
                        waiting.push_back(next);
                    }
                }
            }
        }
        if planted.is_some_and(|(_, breach)| breaches.contains(&breach)) {
            break;
        }
    }
    (seen.len(), breaches)
}

/// A state's whole content, hashed.
fn key(world: &World) -> u128 {
    let text = format!("{world:?}");
    let half = |salt: &str| u128::from(peer_messages::stable_hash(format!("{salt}{text}").as_bytes()));
    (half("a") << 64) | half("b")
}

#[test]
fn no_order_of_events_breaks_a_rule() {
    for bounds in [ONE_CELL, TWO_CELLS] {
        let (states, breaches) = explore(bounds, None);
        println!("{bounds:?}: {states} states");
        assert_eq!(breaches, BTreeSet::new());
        assert!(states > 10_000, "the model is too small to show anything: {states}");
    }
}

#[test]
fn every_rule_bites() {
    let expected = [
        (Planted::LostCountsAsNotRun, Breach::Twice),
        (Planted::TimeoutCountsAsNotRun, Breach::Twice),
        (Planted::TimeoutCountsAsNotRun, Breach::RefusedAndRan),
        (Planted::IdsAreIgnored, Breach::AnotherCallsAnswer),
        (Planted::UnreadBytesAreIgnored, Breach::UnreadBytes),
        (Planted::OneCellMore, Breach::TooManyCells),
        (Planted::RepeatedTicketsAreUsed, Breach::TicketTwice),
        (Planted::TimeIsNotLookedAt, Breach::TooLate),
    ];
    for (planted, breach) in expected {
        let (states, breaches) = explore(ONE_CELL, Some((planted, breach)));
        println!("{planted:?}: {breaches:?} after {states} states");
        assert!(breaches.contains(&breach), "{planted:?} was not found: {breaches:?}");
    }
}
