//! A term on its way from the node that leads to the one that it names: no call waits for an election.
//!
//! Whoever gives a term stops granting, keeps those who ask meanwhile, and writes the record that names its
//! successor. Once that stands it sends the successor the record, the tickets that are out and everybody who
//! waits; asks and returns that still come go on to the successor, under the relay of asks. The successor claims
//! the term as it would claim any, by a conditional write on the record that names it, and keeps asks that come
//! before it has it. If a message is lost the successor knows less and does what a leader does that was elected:
//! it asks all nodes which tickets they hold. If it never claims, the record's short lease runs out.

use crate::node::Node;
use function_scheduler::{HandoverState, TransferredRequest};
use leader_election::RecordWrite;
use monotonic_clock::Micros;
use peer_messages::permit_request::AS_LEADER;
use peer_messages::{LeaderRecord, List, Message, NodeId, Permit};
use std::collections::BTreeMap;

use super::{CALL_COST, LARGE_SHARE};

/// A record that names a successor is written within this, or the term is not handed over but lost.
const WRITE_SPAN: Micros = Micros::from_millis(800);
/// Asks and returns go on to the successor for so long: by then everybody has seen its record.
const FORWARD_SPAN: Micros = Micros::from_secs(4);
/// A successor keeps asks for a term that it has not claimed yet for so long.
const CLAIM_SPAN: Micros = Micros::from_millis(600);
/// Asks kept for one function on their way to the successor; who comes then looks for a leader anew.
const HELD_REQUESTS_LIMIT: usize = 1_024;
/// `PermitDeferred`: this node is not the leader.
const NOT_LEADER: u8 = 2;

/// An ask that is kept until there is somebody to answer it.
#[derive(Debug)]
struct HeldRequest {
    requester: NodeId,
    message: Message,
    kept_at: Micros,
}

impl HeldRequest {
    fn number(&self) -> u64 {
        number_of(&self.message)
    }

    /// The ask as it stands now: the call's time went on meanwhile.
    fn aged(mut self, now: Micros) -> (NodeId, Message) {
        let kept_for = (now - self.kept_at).0;
        if let Message::PermitRequest { time_left_micros, target_left_micros, .. } = &mut self.message {
            *time_left_micros = time_left_micros.saturating_sub(kept_for);
            if *target_left_micros != u64::MAX {
                *target_left_micros = target_left_micros.saturating_sub(kept_for);
            }
        }
        (self.requester, self.message)
    }
}

/// A term that this node gave away.
#[derive(Debug)]
struct OutgoingTerm {
    successor: NodeId,
    transferred_at: Micros,
    is_written: bool,
    work: HandoverState,
    /// Who asked since then.
    requests: Vec<HeldRequest>,
}

/// A term that this node was named for.
#[derive(Debug)]
struct IncomingTerm {
    leader_epoch: u64,
    named_at: Micros,
    work: HandoverState,
    requests: Vec<HeldRequest>,
}

/// The terms that are on their way from this node and to it, by function.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    outgoing: BTreeMap<String, OutgoingTerm>,
    incoming: BTreeMap<String, IncomingTerm>,
}

impl Node {
    /// Names a successor for each function that this node leads.
    pub(super) fn name_successors(&mut self, members: &[NodeId]) {
        let now = self.now;
        let election = &self.leadership.election;
        let mut successors = leader_election::Successors::new(election, members, now);
        let mut named = Vec::new();
        for function in election.held(now) {
            let rate = self.leadership.works.get(&function).map_or(0.0, |work| work.call_rate(now));
            let least_capacity = (rate * CALL_COST / LARGE_SHARE) as u32;
            if let Some(successor) = successors.name(&function, least_capacity) {
                named.push((function, successor));
            }
        }
        for (function, successor) in named {
            self.transfer_term(&function, successor);
        }
    }

    /// Gives one term to another node, with all that is under way for the function.
    pub(super) fn transfer_term(&mut self, function: &str, successor: NodeId) {
        let now = self.now;
        self.flush_works();
        let Some(work) = self.leadership.works.get_mut(function) else { return };
        let work = work.begin_handover(now);
        let outgoing =
            OutgoingTerm { successor, transferred_at: now, is_written: false, work, requests: Vec::new() };
        self.leadership.handovers.outgoing.insert(function.to_owned(), outgoing);
        self.leadership.election.transfer_to(successor, function);
        self.handle_term_changes();
    }

    /// The record that names the successor stands.
    pub(crate) fn term_written_away(&mut self, function: &str, record: &LeaderRecord, version: u64) {
        let now = self.now;
        let outgoing = self.leadership.handovers.outgoing.get_mut(function);
        let Some(outgoing) = outgoing.filter(|outgoing| outgoing.successor == record.holder) else { return };
        if std::mem::replace(&mut outgoing.is_written, true) {
            return;
        }
        let (successor, transferred_at) = (outgoing.successor, outgoing.transferred_at);
        let permits = std::mem::take(&mut outgoing.work.permits);
        let waiting = std::mem::take(&mut outgoing.work.requests);
        let requests = std::mem::take(&mut outgoing.requests);
        let message = Message::TermTransferred {
            function: function.into(),
            version,
            record: record.clone(),
            is_whole: u8::from(outgoing.work.is_whole),
            permits: List(permits),
            demand: outgoing.work.demand.clone(),
        };
        self.send(successor, message);
        // The successor's epoch is the version that it claims at, which is above this one.
        self.calls.note_leader(function, successor, record.leader_epoch + 1, now);
        // Who waited since before has waited through the write as well.
        let waiting = waiting.into_iter().map(|handover| HeldRequest {
            requester: handover.requester,
            message: request_message(function, handover),
            kept_at: transferred_at,
        });
        for kept in waiting.chain(requests).collect::<Vec<_>>() {
            let (requester, request) = kept.aged(now);
            self.pass_on_or_deny(requester, successor, request);
        }
    }

    fn pass_on_or_deny(&mut self, requester: NodeId, successor: NodeId, request: Message) {
        if !self.relay_request(requester, successor, request.clone()) {
            self.deny(requester, &request);
        }
    }

    fn deny(&mut self, requester: NodeId, message: &Message) {
        let Message::PermitRequest { request_id, .. } = message else { return };
        let reason = "not the steward".into();
        let denied = Message::PermitDeferred {
            request_id: *request_id,
            outcome: NOT_LEADER,
            reason,
            retry_after_millis: 0,
        };
        self.send(requester, denied);
    }

    /// Takes an ask for a function whose term is on its way from or to this node; `false` if none is.
    pub(super) fn handle_request_during_handover(&mut self, from: NodeId, message: &Message) -> bool {
        let now = self.now;
        let Message::PermitRequest { function, .. } = message else { return false };
        let handovers = &mut self.leadership.handovers;
        if let Some(incoming) = handovers.incoming.get_mut(&function.0)
            && now < incoming.named_at + CLAIM_SPAN
        {
            return keep(&mut incoming.requests, from, message, now);
        }
        let Some(outgoing) = handovers.outgoing.get_mut(&function.0) else { return false };
        let successor = outgoing.successor;
        match outgoing.is_written {
            true => successor != from && self.relay_request(from, successor, message.clone()),
            false => keep(&mut outgoing.requests, from, message, now),
        }
    }

    /// A ticket comes back for a function that this node led.
    pub(super) fn forward_return(&mut self, permit: &Permit, outcome: u8, latency_micros: u64) {
        let outgoing = self.leadership.handovers.outgoing.get_mut(&permit.function.0);
        let Some(outgoing) = outgoing.filter(|_| permit.granted_by == self.settings.node) else { return };
        outgoing.work.permits.retain(|handover| handover.held.permit.id != permit.id);
        if outgoing.is_written {
            let successor = outgoing.successor;
            self.send(successor, Message::PermitReturn { permit: permit.clone(), outcome, latency_micros });
        }
    }

    /// This node was named: the record is seen at once, not at the next poll.
    pub(super) fn term_transferred(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        let Message::TermTransferred { function, version, record, is_whole, permits, demand } = message
        else {
            return;
        };
        if record.holder != self.settings.node || from == self.settings.node {
            return;
        }
        let work =
            HandoverState { is_whole: is_whole == 1, permits: permits.0, requests: Vec::new(), demand };
        if self.draining_since.is_some() {
            self.pass_term_on(&function.0, version, record, work);
            return;
        }
        let incoming =
            IncomingTerm { leader_epoch: record.leader_epoch, named_at: now, work, requests: Vec::new() };
        self.leadership.handovers.incoming.insert(function.0.clone(), incoming);
        self.leadership.election.observe(&function.0, version, Some(record), now);
    }

    /// A node that stops was named: it names the next one, by a conditional write on the record that names it.
    fn pass_term_on(&mut self, function: &str, version: u64, record: LeaderRecord, work: HandoverState) {
        let now = self.now;
        let members = self.serving_members();
        let mut successors = leader_election::Successors::new(&self.leadership.election, &members, now);
        let Some(successor) = successors.name(function, 0) else { return };
        let outgoing =
            OutgoingTerm { successor, transferred_at: now, is_written: false, work, requests: Vec::new() };
        self.leadership.handovers.outgoing.insert(function.to_owned(), outgoing);
        let record = LeaderRecord { holder: successor, renew_count: record.renew_count + 1, ..record };
        let write = RecordWrite { function: function.to_owned(), expected: version, record, urgent: true };
        self.send_leader_writes(vec![write]);
    }

    /// This node leads a function now: if the term was given to it, with what is under way.
    pub(super) fn accept_handover(&mut self, function: &str, transferred_epoch: Option<u64>) {
        let now = self.now;
        let Some(incoming) = self.leadership.handovers.incoming.remove(function) else { return };
        if let Some(work) = self.leadership.works.get_mut(function) {
            work.resume_demand(&incoming.work.demand, now);
            let is_transferred_epoch = transferred_epoch == Some(incoming.leader_epoch);
            if is_transferred_epoch && incoming.work.is_whole {
                work.accept_handover(incoming.work.permits, now);
            }
        }
        for kept in incoming.requests {
            let (requester, request_id) = kept.aged(now);
            self.handle_leadership_message(requester, request_id);
        }
    }

    /// Ends hand-overs that came to nothing, and forgets those that are over.
    pub(super) fn tick_handovers(&mut self) {
        let now = self.now;
        let Handovers { outgoing, incoming } = &mut self.leadership.handovers;
        let mut denied = Vec::new();
        outgoing.retain(|function, term| {
            if !term.is_written && now >= term.transferred_at + WRITE_SPAN {
                let waiting = std::mem::take(&mut term.work.requests).into_iter();
                denied.extend(
                    waiting.map(|handover| (handover.requester, request_message(function, handover))),
                );
                denied.extend(term.requests.drain(..).map(|kept| (kept.requester, kept.message)));
            }
            now < term.transferred_at + FORWARD_SPAN
        });
        incoming.retain(|_, term| {
            let is_kept = now < term.named_at + CLAIM_SPAN;
            if !is_kept {
                denied.extend(term.requests.drain(..).map(|kept| (kept.requester, kept.message)));
            }
            is_kept
        });
        for (requester, request) in denied {
            self.deny(requester, &request);
        }
    }
}

/// Keeps an ask, once, unless there are too many.
fn keep(requests: &mut Vec<HeldRequest>, requester: NodeId, message: &Message, now: Micros) -> bool {
    let is_kept =
        requests.iter().any(|kept| kept.requester == requester && kept.number() == number_of(message));
    if !is_kept && requests.len() >= HELD_REQUESTS_LIMIT {
        return false;
    }
    if !is_kept {
        requests.push(HeldRequest { requester, message: message.clone(), kept_at: now });
    }
    true
}

fn number_of(message: &Message) -> u64 {
    match message {
        Message::PermitRequest { request_id, .. } => *request_id,
        _ => 0,
    }
}

fn request_message(function: &str, handover: TransferredRequest) -> Message {
    Message::PermitRequest {
        request_id: handover.request_id,
        function: function.into(),
        time_left_micros: handover.time_left.0,
        extra: u8::try_from(handover.dispatches).unwrap_or(u8::MAX),
        avoid: handover.avoid.as_str().into(),
        fallback: AS_LEADER,
        target_left_micros: handover.target_left.map_or(u64::MAX, |left| left.0),
        rank: handover.rank,
        tenant: handover.tenant,
        nested: u8::from(handover.is_nested),
    }
}
