//! Model check of every order of events for two calls, two instances and a few faults, with the real call
//! state machine, the real connection use and the real permit ledger: breadth first, each state once.
//!
//! The model simulates clients, leaders, network and instances. Planted bugs show that each rule detects
//! violations.

use gateway::{
    CallState, CallStateMachine, ConnectionUse, DispatchEnd, IdleCheck, NextStep, ResponseEnd, ResponseOwner,
};
use monotonic_clock::Micros;
use node_protocol::{PermitAdmission, PermitLedger};
use peer_messages::{Address, Permit};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

/// The number of instances that one call may be sent to.
const DISPATCH_LIMIT: u32 = 2;
/// The first call may not be repeated, the second may.
const REPEATABLE: [bool; 2] = [false, true];
const CALLS_END_AT: Micros = Micros::from_secs(1);
const AFTER_SUSPENSION: Micros = Micros::from_secs(2);

/// A rule violated by some order of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Violation {
    /// An unrepeatable call was sent again though it may have run, or ran twice.
    CallRepeated,
    /// A call that was refused as not run has run, or still may.
    RefusedAndRan,
    /// A response was delivered to a call whose id it does not carry.
    AnotherCallsResponse,
    /// A connection with unread bytes carried another request.
    UnreadBytes,
    /// A call reached more instances than its route allows.
    TooManyInstances,
    /// One permit was used for two dispatches.
    PermitReused,
    /// A call was dispatched after its deadline.
    DispatchedAfterDeadline,
}

/// A bug planted in the gateway's decisions on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedBug {
    LostCountsAsNotRun,
    TimeoutCountsAsNotRun,
    IdsAreIgnored,
    UnreadBytesAreIgnored,
    OneInstanceMore,
    RepeatedPermitsAreUsed,
    TimeIsNotChecked,
}

/// The bounds of a model.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    instances: usize,
    permits: u64,
    faults: u8,
}

/// One instance, whose connections both calls use, and two faults.
const ONE_INSTANCE: Bounds = Bounds { instances: 1, permits: 3, faults: 2 };
/// Two instances and one fault.
const TWO_INSTANCES: Bounds = Bounds { instances: 2, permits: 3, faults: 1 };

/// What the gateway can read from a connection.
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
    /// The instance may later send its response to this call once more.
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
    Ended(CallState),
    /// Its client has left.
    Dropped,
}

#[derive(Clone, Debug)]
struct Call {
    state_machine: CallStateMachine,
    stage: Stage,
    /// Requests of it that instances have received and may still run.
    undecided: u8,
    runs: u8,
    /// Requests that reached an instance.
    arrivals: u32,
}

#[derive(Clone, Debug)]
struct Model {
    bounds: Bounds,
    calls: [Call; 2],
    idle: Vec<Vec<Connection>>,
    /// Grants in transit to the node.
    grants: Vec<(usize, u64, usize)>,
    used_permits: Vec<u64>,
    permits: u64,
    ledger: PermitLedger,
    faults: u8,
    now: Micros,
}

/// The successor states, or the rule that a step violated.
type Successors = Vec<Result<Model, Violation>>;

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

    /// Checks the rules on the calls' history.
    fn check(self) -> Result<Model, Violation> {
        for (call, repeatable) in self.calls.iter().zip(REPEATABLE) {
            if !repeatable && call.runs > 1 {
                return Err(Violation::CallRepeated);
            }
            let is_refused = matches!(call.stage, Stage::Ended(CallState::Refused));
            if is_refused && (call.runs > 0 || call.undecided > 0) {
                return Err(Violation::RefusedAndRan);
            }
        }
        Ok(self)
    }

    /// The same state with one more fault, if the bounds allow it.
    fn with_fault(&self) -> Option<Model> {
        let faults = self.faults + 1;
        (faults <= self.bounds.faults).then(|| Model { faults, ..self.clone() })
    }

    fn successors(&self, planted: Option<PlantedBug>) -> Successors {
        let mut successors = Vec::new();
        for call in 0..self.calls.len() {
            self.steps_of_call(call, planted, &mut successors);
        }
        for grant in 0..self.grants.len() {
            self.steps_of_grant(grant, planted, &mut successors);
        }
        for instance in 0..self.bounds.instances {
            self.steps_of_idle(instance, &mut successors);
        }
        if self.now < AFTER_SUSPENSION
            && let Some(suspended) = self.with_fault()
        {
            successors.push(Ok(Model { now: AFTER_SUSPENSION, ..suspended }));
        }
        successors.into_iter().map(|successor| successor.and_then(Model::check)).collect()
    }

    fn steps_of_call(&self, call: usize, planted: Option<PlantedBug>, successors: &mut Successors) {
        match &self.calls[call].stage {
            Stage::New => {
                let mut next = self.clone();
                next.calls[call].state_machine.step(CallState::Matched);
                next.calls[call].state_machine.step(CallState::PermitRequested);
                next.calls[call].stage = Stage::WaitsForPermit;
                successors.push(Ok(next));
            }
            Stage::WaitsForPermit => {
                let in_transit = self.grants.iter().any(|(granted, ..)| *granted == call);
                if self.permits < self.bounds.permits && (!in_transit || self.faults < self.bounds.faults) {
                    for instance in 0..self.bounds.instances {
                        let mut next = self.clone();
                        next.permits += 1;
                        next.grants.push((call, next.permits, instance));
                        successors.push(Ok(next));
                    }
                }
                let mut next = self.clone();
                next.calls[call].stage = Stage::Dropped;
                successors.push(Ok(next));
                if self.now >= CALLS_END_AT {
                    let mut next = self.clone();
                    let final_state = next.calls[call].state_machine.give_up();
                    next.calls[call].stage = Stage::Ended(final_state);
                    successors.push(Ok(next));
                }
            }
            Stage::Dispatched { .. } => self.steps_of_dispatch(call, planted, successors),
            Stage::Ended(_) | Stage::Dropped => {}
        }
        // An instance runs a request late, or never, after the gateway gave up its dispatch.
        let is_dispatched = matches!(self.calls[call].stage, Stage::Dispatched { .. });
        if self.calls[call].undecided > u8::from(is_dispatched) {
            for runs in [0, 1] {
                let mut next = self.clone();
                next.calls[call].undecided -= 1;
                next.calls[call].runs += runs;
                successors.push(Ok(next));
            }
        }
    }

    /// A grant arrives; with a fault it arrives once more later.
    fn steps_of_grant(&self, grant: usize, planted: Option<PlantedBug>, successors: &mut Successors) {
        let mut arrived = self.clone();
        let (call, permit, instance) = arrived.grants.remove(grant);
        successors.push(arrived.receive_grant(call, permit, instance, planted));
        if let Some(duplicated) = self.with_fault() {
            successors.push(duplicated.receive_grant(call, permit, instance, planted));
        }
    }

    fn receive_grant(
        mut self,
        call: usize,
        permit_id: u64,
        instance: usize,
        planted: Option<PlantedBug>,
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
        let now = if planted == Some(PlantedBug::TimeIsNotChecked) { Micros(0) } else { self.now };
        let mut admission = self.ledger.admit(&permit, waits.then_some(CALLS_END_AT), false, now);
        if planted == Some(PlantedBug::RepeatedPermitsAreUsed) && waits {
            admission = PermitAdmission::Used;
        }
        if admission != PermitAdmission::Used {
            return Ok(self);
        }
        match self.calls[call].state_machine.permit_arrived(now < CALLS_END_AT, true) {
            NextStep::Dispatch => self.begin_dispatch(call, permit_id, instance, planted),
            NextStep::GiveUp(final_state) => {
                self.calls[call].stage = Stage::Ended(final_state);
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
        planted: Option<PlantedBug>,
    ) -> Result<Model, Violation> {
        let previous = &self.calls[call];
        if !REPEATABLE[call] && (previous.runs > 0 || previous.undecided > 0) {
            return Err(Violation::CallRepeated);
        }
        if self.used_permits.contains(&permit_id) {
            return Err(Violation::PermitReused);
        }
        if self.now >= CALLS_END_AT {
            return Err(Violation::DispatchedAfterDeadline);
        }
        self.used_permits.push(permit_id);
        let mut reused = None;
        while let Some(kept) = self.idle[instance].pop() {
            let has_unread_bytes =
                !kept.unread.is_empty() && planted != Some(PlantedBug::UnreadBytesAreIgnored);
            let check = IdleCheck { is_same_address: true, is_expired: false, has_unread_bytes };
            if kept.usage.may_reuse(check) {
                reused = Some(kept);
                break;
            }
        }
        if reused.as_ref().is_some_and(|connection| !connection.unread.is_empty()) {
            return Err(Violation::UnreadBytes);
        }
        let mut connection = reused.unwrap_or_else(|| Connection {
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

    /// What instance, network and gateway may do during a dispatch.
    fn steps_of_dispatch(&self, call: usize, planted: Option<PlantedBug>, successors: &mut Successors) {
        let Stage::Dispatched { connection, .. } = &self.calls[call].stage else { return };
        let id = call as u8;
        let has_replied = connection.unread.iter().any(|bytes| match bytes {
            Bytes::Response { id: answered, .. } => *answered == id,
            Bytes::Garbage | Bytes::End => true,
        });
        if !has_replied && self.calls[call].undecided > 0 {
            let valid = Bytes::Response { id, reports_not_run: false };
            successors.push(Ok(self.with_reply(call, 1, valid)));
            successors.push(Ok(self.with_reply(call, 0, Bytes::Response { id, reports_not_run: true })));
            if let Some(faulty) = self.with_fault() {
                for (runs, bytes) in [(0, Bytes::End), (1, Bytes::End), (1, Bytes::Garbage)] {
                    successors.push(Ok(faulty.with_reply(call, runs, bytes)));
                }
                let mut repeated = faulty.with_reply(call, 1, valid);
                if let Stage::Dispatched { connection, .. } = &mut repeated.calls[call].stage {
                    connection.extra_response = Some(id);
                }
                successors.push(Ok(repeated));
                if connection.is_fresh {
                    let mut refused = faulty;
                    refused.calls[call].undecided -= 1;
                    refused.calls[call].arrivals -= 1;
                    successors.push(refused.end_dispatch(call, DispatchEnd::NotRun, planted));
                }
            }
        }
        // A late response to an earlier call arrives, before this call's response or after it.
        if let Some(earlier) = connection.extra_response {
            let mut next = self.clone();
            if let Stage::Dispatched { connection, .. } = &mut next.calls[call].stage {
                connection.extra_response = None;
                connection.unread.push(Bytes::Response { id: earlier, reports_not_run: false });
            }
            successors.push(Ok(next));
        }
        if !connection.unread.is_empty() {
            successors.push(self.read_bytes(call, planted));
        }
        if self.now >= CALLS_END_AT {
            successors.push(self.clone().end_dispatch(call, DispatchEnd::TimedOut, planted));
        }
        if let Some(faulty) = self.with_fault() {
            successors.push(faulty.clone().end_dispatch(call, DispatchEnd::TimedOut, planted));
            // A reset while the request is in transit: the instance may have received it.
            successors.push(faulty.end_dispatch(call, DispatchEnd::Unknown, planted));
        }
    }

    /// The instance runs the request or not, and sends something.
    fn with_reply(&self, call: usize, runs: u8, bytes: Bytes) -> Model {
        let mut next = self.clone();
        next.calls[call].undecided -= 1;
        next.calls[call].runs += runs;
        if let Stage::Dispatched { connection, .. } = &mut next.calls[call].stage {
            connection.unread.push(bytes);
        }
        next
    }

    /// The gateway reads what arrived first.
    fn read_bytes(&self, call: usize, planted: Option<PlantedBug>) -> Result<Model, Violation> {
        let mut next = self.clone();
        let Stage::Dispatched { instance, connection } = &mut next.calls[call].stage else { return Ok(next) };
        let instance = *instance;
        let Bytes::Response { id, reports_not_run } = connection.unread.remove(0) else {
            return next.end_dispatch(call, DispatchEnd::Unknown, planted);
        };
        let seen_id = if planted == Some(PlantedBug::IdsAreIgnored) { call as u8 } else { id };
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
        planted: Option<PlantedBug>,
    ) -> Result<Model, Violation> {
        let reported = match (planted, end) {
            (Some(PlantedBug::LostCountsAsNotRun), DispatchEnd::Unknown) => DispatchEnd::NotRun,
            (Some(PlantedBug::TimeoutCountsAsNotRun), DispatchEnd::TimedOut) => DispatchEnd::NotRun,
            _ => end,
        };
        let dispatch_limit =
            if planted == Some(PlantedBug::OneInstanceMore) { DISPATCH_LIMIT + 1 } else { DISPATCH_LIMIT };
        if self.calls[call].arrivals > DISPATCH_LIMIT {
            return Err(Violation::TooManyInstances);
        }
        let ended = &mut self.calls[call];
        ended.stage = match ended.state_machine.dispatch_ended(reported, REPEATABLE[call], dispatch_limit) {
            NextStep::Response => Stage::Ended(CallState::Answered),
            NextStep::GiveUp(final_state) => Stage::Ended(final_state),
            NextStep::RequestAgain => {
                ended.state_machine.step(CallState::PermitRequested);
                Stage::WaitsForPermit
            }
            other => unreachable!("{other:?}"),
        };
        Ok(self)
    }

    /// An idle connection receives a late response, invalid bytes, or its end.
    fn steps_of_idle(&self, instance: usize, successors: &mut Successors) {
        for index in 0..self.idle[instance].len() {
            if let Some(id) = self.idle[instance][index].extra_response {
                let mut next = self.clone();
                next.idle[instance][index].extra_response = None;
                next.idle[instance][index].unread.push(Bytes::Response { id, reports_not_run: false });
                successors.push(Ok(next));
            }
            if self.idle[instance][index].unread.is_empty()
                && let Some(faulty) = self.with_fault()
            {
                for bytes in [Bytes::Garbage, Bytes::End] {
                    let mut next = faulty.clone();
                    next.idle[instance][index].unread.push(bytes);
                    successors.push(Ok(next));
                }
            }
        }
    }
}

/// Visits all reachable states, each once. Returns their number and every rule violated.
fn explore(bounds: Bounds, planted: Option<(PlantedBug, Violation)>) -> (usize, BTreeSet<Violation>) {
    let mut violations = BTreeSet::new();
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([Model::begin(bounds)]);
    while let Some(model) = queue.pop_front() {
        for successor in model.successors(planted.map(|(planted, _)| planted)) {
            match successor {
                Err(violation) => {
                    violations.insert(violation);
                }
                Ok(next) => {
                    if seen.insert(fingerprint(&next)) {
                        queue.push_back(next);
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

/// A hash of a state's whole content.
fn fingerprint(model: &Model) -> u128 {
    let text = format!("{model:?}");
    let half = |salt: &str| u128::from(peer_messages::stable_hash(format!("{salt}{text}").as_bytes()));
    (half("a") << 64) | half("b")
}

#[test]
fn no_order_of_events_violates_a_rule() {
    for bounds in [ONE_INSTANCE, TWO_INSTANCES] {
        let (states, violations) = explore(bounds, None);
        println!("{bounds:?}: {states} states");
        assert_eq!(violations, BTreeSet::new());
        assert!(states > 10_000, "the model is too small to be meaningful: {states} states");
    }
}

#[test]
fn every_rule_detects_a_planted_bug() {
    let expected = [
        (PlantedBug::LostCountsAsNotRun, Violation::CallRepeated),
        (PlantedBug::TimeoutCountsAsNotRun, Violation::CallRepeated),
        (PlantedBug::TimeoutCountsAsNotRun, Violation::RefusedAndRan),
        (PlantedBug::IdsAreIgnored, Violation::AnotherCallsResponse),
        (PlantedBug::UnreadBytesAreIgnored, Violation::UnreadBytes),
        (PlantedBug::OneInstanceMore, Violation::TooManyInstances),
        (PlantedBug::RepeatedPermitsAreUsed, Violation::PermitReused),
        (PlantedBug::TimeIsNotChecked, Violation::DispatchedAfterDeadline),
    ];
    for (planted, violation) in expected {
        let (states, violations) = explore(ONE_INSTANCE, Some((planted, violation)));
        println!("{planted:?}: {violations:?} after {states} states");
        assert!(violations.contains(&violation), "{planted:?} was not detected: {violations:?}");
    }
}
