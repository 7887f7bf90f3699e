//! Every order of events for two calls, two cells and a few faults, through the real call chart, the
//! real use of connections and the real ledger of tickets: breadth first, each state once.
//!
//! The model plays callers, stewards, network and cells. Planted faults show that each rule bites.

use gateway::{
    CallState, CallStateMachine, ConnectionUse, DispatchEnd, IdleCheck, NextStep, ResponseEnd, ResponseOwner,
};
use monotonic_clock::Micros;
use node_protocol::{PermitAdmission, PermitLedger};
use peer_messages::{Address, Permit};
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
enum Violation {
    /// An unrepeatable call was sent again though it may have run, or ran twice.
    Twice,
    /// A call that was refused as not run has run, or still may.
    RefusedAndRan,
    /// An answer was handed to a call whose id it does not bear.
    AnotherCallsResponse,
    /// A connection with something to read carried another request.
    UnreadBytes,
    /// A call reached more cells than its lane allows.
    TooManyInstances,
    /// One ticket was used for two dispatches.
    PermitTwice,
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
    OneInstanceMore,
    RepeatedPermitsAreUsed,
    TimeIsNotLookedAt,
}

/// How far a model goes.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    instances: usize,
    permits: u64,
    faults: u8,
}

/// One cell, whose connections both calls use, and two faults.
const ONE_INSTANCE: Bounds = Bounds { instances: 1, permits: 3, faults: 2 };
/// Two cells and one fault.
const TWO_INSTANCES: Bounds = Bounds { instances: 2, permits: 3, faults: 1 };

/// What stands on a connection for the front to read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bytes {
    Response { id: u8, reports_not_run: bool },
    Garbage,
    End,
}

#[derive(Clone, Debug)]
struct Connection {
    usage: ConnectionUse<u8>,
    unread: Vec<Bytes>,
    /// The cell may still repeat its answer to this call, later.
    extra_response: Option<u8>,
    is_fresh: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    New,
    WaitsForPermit,
    Dispatched {
        instance: usize,
        connection: Connection,
    },
    Over(CallState),
    /// Its caller is gone.
    Dropped,
}

#[derive(Clone, Debug)]
struct Call {
    state_machine: CallStateMachine,
    stage: Stage,
    /// Requests of it that cells have and may still run.
    undecided: u8,
    runs: u8,
    /// Requests that reached a cell.
    arrivals: u32,
}

#[derive(Clone, Debug)]
struct Model {
    bounds: Bounds,
    calls: [Call; 2],
    idle: Vec<Vec<Connection>>,
    /// Grants on their way to the node.
    grants: Vec<(usize, u64, usize)>,
    used_permits: Vec<u64>,
    permits: u64,
    ledger: PermitLedger,
    faults: u8,
    now: Micros,
}

/// The worlds that follow, or the rule that a step broke.
type Followers = Vec<Result<Model, Violation>>;

impl Model {
    fn begin(bounds: Bounds) -> Model {
        let call = Call {
            state_machine: CallStateMachine::begin(),
            stage: Stage::New,
            undecided: 0,
            runs: 0,
            arrivals: 0,
        };
        Model {
            bounds,
            calls: [call.clone(), call],
            idle: vec![Vec::new(); bounds.instances],
            grants: Vec::new(),
            used_permits: Vec::new(),
            permits: 0,
            ledger: PermitLedger::default(),
            faults: 0,
            now: Micros(0),
        }
    }

    /// Rules on what has been, however it came about.
    fn check(self) -> Result<Model, Violation> {
        for (call, repeatable) in self.calls.iter().zip(REPEATABLE) {
            if !repeatable && call.runs > 1 {
                return Err(Violation::Twice);
            }
            let is_refused = matches!(call.stage, Stage::Over(CallState::Refused));
            if is_refused && (call.runs > 0 || call.undecided > 0) {
                return Err(Violation::RefusedAndRan);
            }
        }
        Ok(self)
    }

    /// The same world with one fault more, while there may be more.
    fn with_fault(&self) -> Option<Model> {
        let faults = self.faults + 1;
        (faults <= self.bounds.faults).then(|| Model { faults, ..self.clone() })
    }

    fn followers(&self, planted: Option<Planted>) -> Followers {
        let mut followers = Vec::new();
        for call in 0..self.calls.len() {
            self.steps_of_call(call, planted, &mut followers);
        }
        for grant in 0..self.grants.len() {
            self.steps_of_grant(grant, planted, &mut followers);
        }
        for instance in 0..self.bounds.instances {
            self.steps_of_idle(instance, &mut followers);
        }
        if self.now < AFTER_A_FREEZE
            && let Some(frozen) = self.with_fault()
        {
            followers.push(Ok(Model { now: AFTER_A_FREEZE, ..frozen }));
        }
        followers.into_iter().map(|follower| follower.and_then(Model::check)).collect()
    }

    fn steps_of_call(&self, call: usize, planted: Option<Planted>, followers: &mut Followers) {
        match &self.calls[call].stage {
            Stage::New => {
                let mut next = self.clone();
                next.calls[call].state_machine.step(CallState::Matched);
                next.calls[call].state_machine.step(CallState::PermitRequested);
                next.calls[call].stage = Stage::WaitsForPermit;
                followers.push(Ok(next));
            }
            Stage::WaitsForPermit => {
                let under_way = self.grants.iter().any(|(granted, ..)| *granted == call);
                if self.permits < self.bounds.permits && (!under_way || self.faults < self.bounds.faults) {
                    for instance in 0..self.bounds.instances {
                        let mut next = self.clone();
                        next.permits += 1;
                        next.grants.push((call, next.permits, instance));
                        followers.push(Ok(next));
                    }
                }
                let mut next = self.clone();
                next.calls[call].stage = Stage::Dropped;
                followers.push(Ok(next));
                if self.now >= CALLS_END_AT {
                    let mut next = self.clone();
                    let final_state = next.calls[call].state_machine.give_up();
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
        let (call, permit, instance) = arrived.grants.remove(grant);
        followers.push(arrived.take_grant(call, permit, instance, planted));
        if let Some(kept) = self.with_fault() {
            followers.push(kept.take_grant(call, permit, instance, planted));
        }
    }

    fn take_grant(
        mut self,
        call: usize,
        permit_id: u64,
        instance: usize,
        planted: Option<Planted>,
    ) -> Result<Model, Violation> {
        let waits = matches!(self.calls[call].stage, Stage::WaitsForPermit);
        let permit = Permit {
            id: permit_id,
            granted_by: 1,
            leader_epoch: 1,
            function: "f".into(),
            instance: "c".into(),
            address: Address::from(SocketAddr::from(([127, 0, 0, 1], 1))),
        };
        let now = if planted == Some(Planted::TimeIsNotLookedAt) { Micros(0) } else { self.now };
        let mut admission = self.ledger.admit(&permit, waits.then_some(CALLS_END_AT), false, now);
        if planted == Some(Planted::RepeatedPermitsAreUsed) && waits {
            admission = PermitAdmission::Used;
        }
        if admission != PermitAdmission::Used {
            return Ok(self);
        }
        match self.calls[call].state_machine.permit_arrived(now < CALLS_END_AT, true) {
            NextStep::Dispatch => self.begin_dispatch(call, permit_id, instance, planted),
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
        permit_id: u64,
        instance: usize,
        planted: Option<Planted>,
    ) -> Result<Model, Violation> {
        let sent = &self.calls[call];
        if !REPEATABLE[call] && (sent.runs > 0 || sent.undecided > 0) {
            return Err(Violation::Twice);
        }
        if self.used_permits.contains(&permit_id) {
            return Err(Violation::PermitTwice);
        }
        if self.now >= CALLS_END_AT {
            return Err(Violation::TooLate);
        }
        self.used_permits.push(permit_id);
        let mut taken = None;
        while let Some(kept) = self.idle[instance].pop() {
            let has_unread_bytes = !kept.unread.is_empty() && planted != Some(Planted::UnreadBytesAreIgnored);
            let check = IdleCheck { is_same_address: true, is_expired: false, has_unread_bytes };
            if kept.usage.may_reuse(check) {
                taken = Some(kept);
                break;
            }
        }
        if taken.as_ref().is_some_and(|connection| !connection.unread.is_empty()) {
            return Err(Violation::UnreadBytes);
        }
        let mut connection = taken.unwrap_or_else(|| Connection {
            usage: ConnectionUse::fresh(),
            unread: Vec::new(),
            extra_response: None,
            is_fresh: true,
        });
        connection.usage.request_sent(Some(call as u8));
        self.calls[call].undecided += 1;
        self.calls[call].arrivals += 1;
        self.calls[call].stage = Stage::Dispatched { instance, connection };
        Ok(self)
    }

    /// What cell, network and front may do while a dispatch is under way.
    fn steps_of_dispatch(&self, call: usize, planted: Option<Planted>, followers: &mut Followers) {
        let Stage::Dispatched { connection, .. } = &self.calls[call].stage else { return };
        let id = call as u8;
        let has_replied = connection.unread.iter().any(|bytes| match bytes {
            Bytes::Response { id: answered, .. } => *answered == id,
            Bytes::Garbage | Bytes::End => true,
        });
        if !has_replied && self.calls[call].undecided > 0 {
            let sound = Bytes::Response { id, reports_not_run: false };
            followers.push(Ok(self.replied(call, 1, sound)));
            followers.push(Ok(self.replied(call, 0, Bytes::Response { id, reports_not_run: true })));
            if let Some(faulty) = self.with_fault() {
                for (runs, bytes) in [(0, Bytes::End), (1, Bytes::End), (1, Bytes::Garbage)] {
                    followers.push(Ok(faulty.replied(call, runs, bytes)));
                }
                let mut twofold = faulty.replied(call, 1, sound);
                if let Stage::Dispatched { connection, .. } = &mut twofold.calls[call].stage {
                    connection.extra_response = Some(id);
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
        if let Some(earlier) = connection.extra_response {
            let mut next = self.clone();
            if let Stage::Dispatched { connection, .. } = &mut next.calls[call].stage {
                connection.extra_response = None;
                connection.unread.push(Bytes::Response { id: earlier, reports_not_run: false });
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
    fn replied(&self, call: usize, runs: u8, bytes: Bytes) -> Model {
        let mut next = self.clone();
        next.calls[call].undecided -= 1;
        next.calls[call].runs += runs;
        if let Stage::Dispatched { connection, .. } = &mut next.calls[call].stage {
            connection.unread.push(bytes);
        }
        next
    }

    /// The front reads what comes first.
    fn read_bytes(&self, call: usize, planted: Option<Planted>) -> Result<Model, Violation> {
        let mut next = self.clone();
        let Stage::Dispatched { instance, connection } = &mut next.calls[call].stage else { return Ok(next) };
        let instance = *instance;
        let Bytes::Response { id, reports_not_run } = connection.unread.remove(0) else {
            return next.end_dispatch(call, DispatchEnd::Unknown, planted);
        };
        let seen_id = if planted == Some(Planted::IdsAreIgnored) { call as u8 } else { id };
        match connection.usage.response_began(Some(&seen_id), reports_not_run) {
            ResponseOwner::Nobody => return next.end_dispatch(call, DispatchEnd::Unknown, planted),
            ResponseOwner::Earlier => return Ok(next),
            ResponseOwner::Awaited => {}
        }
        if usize::from(id) != call {
            return Err(Violation::AnotherCallsResponse);
        }
        let end = ResponseEnd {
            has_unread_bytes: !connection.unread.is_empty(),
            has_unsent_bytes: false,
            instance_keeps_alive: true,
        };
        if connection.usage.response_ended(end) {
            let kept = Connection { is_fresh: false, ..connection.clone() };
            next.idle[instance].push(kept);
        }
        let end = if reports_not_run { DispatchEnd::RefusedBusy } else { DispatchEnd::Answered };
        next.end_dispatch(call, end, planted)
    }

    fn end_dispatch(
        mut self,
        call: usize,
        end: DispatchEnd,
        planted: Option<Planted>,
    ) -> Result<Model, Violation> {
        let reported = match (planted, end) {
            (Some(Planted::LostCountsAsNotRun), DispatchEnd::Unknown) => DispatchEnd::NotRun,
            (Some(Planted::TimeoutCountsAsNotRun), DispatchEnd::TimedOut) => DispatchEnd::NotRun,
            _ => end,
        };
        let tries = if planted == Some(Planted::OneInstanceMore) { TRIES + 1 } else { TRIES };
        if self.calls[call].arrivals > TRIES {
            return Err(Violation::TooManyInstances);
        }
        let ended = &mut self.calls[call];
        ended.stage = match ended.state_machine.dispatch_ended(reported, REPEATABLE[call], tries) {
            NextStep::Response => Stage::Over(CallState::Answered),
            NextStep::GiveUp(final_state) => Stage::Over(final_state),
            NextStep::RequestAgain => {
                ended.state_machine.step(CallState::PermitRequested);
                Stage::WaitsForPermit
            }
            other => unreachable!("{other:?}"),
        };
        Ok(self)
    }

    /// An idle connection gets a late answer, bytes that are none, or its end.
    fn steps_of_idle(&self, instance: usize, followers: &mut Followers) {
        for place in 0..self.idle[instance].len() {
            if let Some(id) = self.idle[instance][place].extra_response {
                let mut next = self.clone();
                next.idle[instance][place].extra_response = None;
                next.idle[instance][place].unread.push(Bytes::Response { id, reports_not_run: false });
                followers.push(Ok(next));
            }
            if self.idle[instance][place].unread.is_empty()
                && let Some(faulty) = self.with_fault()
            {
                for bytes in [Bytes::Garbage, Bytes::End] {
                    let mut next = faulty.clone();
                    next.idle[instance][place].unread.push(bytes);
                    followers.push(Ok(next));
                }
            }
        }
    }
}

/// All states that can be reached, each once. Returns how many there are and every rule broken.
fn explore(bounds: Bounds, planted: Option<(Planted, Violation)>) -> (usize, BTreeSet<Violation>) {
    let mut violations = BTreeSet::new();
    let mut seen = HashSet::new();
    let mut waiting = VecDeque::from([Model::begin(bounds)]);
    while let Some(model) = waiting.pop_front() {
        for follower in model.followers(planted.map(|(planted, _)| planted)) {
            match follower {
                Err(violation) => {
                    violations.insert(violation);
                }
                Ok(next) => {
                    if seen.insert(key(&next)) {
                        waiting.push_back(next);
                    }
                }
            }
        }
        if planted.is_some_and(|(_, violation)| violations.contains(&violation)) {
            break;
        }
    }
    (seen.len(), violations)
}

/// A state's whole content, hashed.
fn key(model: &Model) -> u128 {
    let text = format!("{model:?}");
    let half = |salt: &str| u128::from(peer_messages::stable_hash(format!("{salt}{text}").as_bytes()));
    (half("a") << 64) | half("b")
}

#[test]
fn no_order_of_events_breaks_a_rule() {
    for bounds in [ONE_INSTANCE, TWO_INSTANCES] {
        let (states, violations) = explore(bounds, None);
        println!("{bounds:?}: {states} states");
        assert_eq!(violations, BTreeSet::new());
        assert!(states > 10_000, "the model is too small to show anything: {states}");
    }
}

#[test]
fn every_rule_bites() {
    let expected = [
        (Planted::LostCountsAsNotRun, Violation::Twice),
        (Planted::TimeoutCountsAsNotRun, Violation::Twice),
        (Planted::TimeoutCountsAsNotRun, Violation::RefusedAndRan),
        (Planted::IdsAreIgnored, Violation::AnotherCallsResponse),
        (Planted::UnreadBytesAreIgnored, Violation::UnreadBytes),
        (Planted::OneInstanceMore, Violation::TooManyInstances),
        (Planted::RepeatedPermitsAreUsed, Violation::PermitTwice),
        (Planted::TimeIsNotLookedAt, Violation::TooLate),
    ];
    for (planted, violation) in expected {
        let (states, violations) = explore(ONE_INSTANCE, Some((planted, violation)));
        println!("{planted:?}: {violations:?} after {states} states");
        assert!(violations.contains(&violation), "{planted:?} was not found: {violations:?}");
    }
}
