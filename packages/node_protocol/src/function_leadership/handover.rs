//! The transfer of a term from the leader to a successor that it names, so that calls need not wait for an
//! election.
//!
//! The old leader stops granting permits, holds requests that arrive meanwhile, and writes the record that names
//! its successor. Once the record is written it sends the successor the record, the open permits and the queued
//! requests; requests and returns that still arrive are forwarded to the successor by the request relay. The
//! successor claims the term like any other, by a conditional write on the record that names it, and holds the
//! requests that arrive before that. If a message is lost the successor has less state and does what an elected
//! leader does: it requests the held permits of all nodes. If it never claims, the record's short lease expires.

use crate::node::Node;
use function_scheduler::{HandoverState, TransferredRequest};
use leader_election::RecordWrite;
use monotonic_clock::Micros;
use peer_messages::permit_request::AS_LEADER;
use peer_messages::{LeaderRecord, List, Message, NodeId, Permit};
use std::collections::BTreeMap;

use super::{CALL_COST_MILLICORES, LARGE_SHARE};

/// If the record that names the successor is not written within this time, the term is lost instead of transferred.
const RECORD_WRITE_TIMEOUT: Micros = Micros::from_millis(800);
/// Requests and returns are forwarded to the successor for this long; by then all nodes have seen its record.
const FORWARD_SPAN: Micros = Micros::from_secs(4);
/// A successor holds requests for a term that it has not claimed yet for this long.
const CLAIM_TIMEOUT: Micros = Micros::from_millis(600);
/// The limit on held requests of one function; further requesters must look for a leader again.
const HELD_REQUESTS_LIMIT: usize = 1_024;
/// The outcome in `PermitDeferred`: this node is not the leader.
const NOT_LEADER: u8 = 2;

/// A request that is held until a leader can handle it.
#[derive(Debug)]
struct HeldRequest {
    requester: NodeId,
    message: Message,
    held_at: Micros,
}

impl HeldRequest {
    fn request_id(&self) -> u64 {
        request_id_of(&self.message)
    }

    /// The request with its time limits reduced by the time for which it was held.
    fn with_reduced_time(mut self, now: Micros) -> (NodeId, Message) {
        let held_for = (now - self.held_at).0;
        if let Message::PermitRequest { time_left_micros, target_left_micros, .. } = &mut self.message {
            *time_left_micros = time_left_micros.saturating_sub(held_for);
            if *target_left_micros != u64::MAX {
                *target_left_micros = target_left_micros.saturating_sub(held_for);
            }
        }
        (self.requester, self.message)
    }
}

/// A term that this node transfers to a successor.
#[derive(Debug)]
struct OutgoingTerm {
    successor: NodeId,
    transferred_at: Micros,
    is_written: bool,
    state: HandoverState,
    /// The requests received since the transfer began.
    requests: Vec<HeldRequest>,
}

/// A term for which this node was named as the successor.
#[derive(Debug)]
struct IncomingTerm {
    leader_epoch: u64,
    named_at: Micros,
    state: HandoverState,
    requests: Vec<HeldRequest>,
}

/// The terms that are being transferred from this node and to it, by function.
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
        let mut successors_by_function = Vec::new();
        for function in election.held(now) {
            let rate =
                self.leadership.schedulers.get(&function).map_or(0.0, |scheduler| scheduler.call_rate(now));
            let min_capacity = (rate * CALL_COST_MILLICORES / LARGE_SHARE) as u32;
            if let Some(successor) = successors.pick(&function, min_capacity) {
                successors_by_function.push((function, successor));
            }
        }
        for (function, successor) in successors_by_function {
            self.transfer_term(&function, successor);
        }
    }

    /// Transfers one term to another node, with the open permits and queued requests of the function.
    pub(super) fn transfer_term(&mut self, function: &str, successor: NodeId) {
        let now = self.now;
        self.flush_schedulers();
        let Some(scheduler) = self.leadership.schedulers.get_mut(function) else { return };
        let state = scheduler.begin_handover(now);
        let outgoing =
            OutgoingTerm { successor, transferred_at: now, is_written: false, state, requests: Vec::new() };
        self.leadership.handovers.outgoing.insert(function.to_owned(), outgoing);
        self.leadership.election.transfer_to(successor, function);
        self.handle_term_changes();
    }

    /// The record that names the successor was written.
    pub(crate) fn term_written_away(&mut self, function: &str, record: &LeaderRecord, version: u64) {
        let now = self.now;
        let outgoing = self.leadership.handovers.outgoing.get_mut(function);
        let Some(outgoing) = outgoing.filter(|outgoing| outgoing.successor == record.holder) else { return };
        if std::mem::replace(&mut outgoing.is_written, true) {
            return;
        }
        let (successor, transferred_at) = (outgoing.successor, outgoing.transferred_at);
        let permits = std::mem::take(&mut outgoing.state.permits);
        let waiting = std::mem::take(&mut outgoing.state.requests);
        let requests = std::mem::take(&mut outgoing.requests);
        let message = Message::TermTransferred {
            function: function.into(),
            version,
            record: record.clone(),
            is_complete: u8::from(outgoing.state.is_complete),
            permits: List(permits),
            demand: outgoing.state.demand.clone(),
        };
        self.send(successor, message);
        // The successor's epoch is the version that it claims at, which is above the current epoch.
        self.calls.record_leader(function, successor, record.leader_epoch + 1, now);
        // Requests queued before the transfer have waited during the write as well.
        let waiting = waiting.into_iter().map(|transferred| HeldRequest {
            requester: transferred.requester,
            message: request_message(function, transferred),
            held_at: transferred_at,
        });
        for held_request in waiting.chain(requests).collect::<Vec<_>>() {
            let (requester, request) = held_request.with_reduced_time(now);
            self.relay_or_reject(requester, successor, request);
        }
    }

    fn relay_or_reject(&mut self, requester: NodeId, successor: NodeId, request: Message) {
        if !self.relay_request(requester, successor, request.clone()) {
            self.reject(requester, &request);
        }
    }

    fn reject(&mut self, requester: NodeId, message: &Message) {
        let Message::PermitRequest { request_id, .. } = message else { return };
        let reason = "not the steward".into();
        let rejected = Message::PermitDeferred {
            request_id: *request_id,
            outcome: NOT_LEADER,
            reason,
            retry_after_millis: 0,
        };
        self.send(requester, rejected);
    }

    /// Holds or relays a request for a function whose term is being transferred; `false` if it did neither.
    pub(super) fn handle_request_during_handover(&mut self, from: NodeId, message: &Message) -> bool {
        let now = self.now;
        let Message::PermitRequest { function, .. } = message else { return false };
        let handovers = &mut self.leadership.handovers;
        if let Some(incoming) = handovers.incoming.get_mut(&function.0)
            && now < incoming.named_at + CLAIM_TIMEOUT
        {
            return hold_request(&mut incoming.requests, from, message, now);
        }
        let Some(outgoing) = handovers.outgoing.get_mut(&function.0) else { return false };
        let successor = outgoing.successor;
        match outgoing.is_written {
            true => successor != from && self.relay_request(from, successor, message.clone()),
            false => hold_request(&mut outgoing.requests, from, message, now),
        }
    }

    /// Forwards the return of a permit of a function that this node led to the successor.
    pub(super) fn forward_return(&mut self, permit: &Permit, outcome: u8, latency_micros: u64) {
        let outgoing = self.leadership.handovers.outgoing.get_mut(&permit.function.0);
        let Some(outgoing) = outgoing.filter(|_| permit.granted_by == self.settings.node) else { return };
        outgoing.state.permits.retain(|transferred| transferred.held.permit.id != permit.id);
        if outgoing.is_written {
            let successor = outgoing.successor;
            self.send(successor, Message::PermitReturn { permit: permit.clone(), outcome, latency_micros });
        }
    }

    /// This node was named as successor: it observes the record at once instead of with the next poll.
    pub(super) fn term_transferred(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        let Message::TermTransferred { function, version, record, is_complete, permits, demand } = message
        else {
            return;
        };
        if record.holder != self.settings.node || from == self.settings.node {
            return;
        }
        let state =
            HandoverState { is_complete: is_complete == 1, permits: permits.0, requests: Vec::new(), demand };
        if self.draining_since.is_some() {
            self.transfer_to_next_successor(&function.0, version, record, state);
            return;
        }
        let incoming =
            IncomingTerm { leader_epoch: record.leader_epoch, named_at: now, state, requests: Vec::new() };
        self.leadership.handovers.incoming.insert(function.0.clone(), incoming);
        self.leadership.election.observe(&function.0, version, Some(record), now);
    }

    /// A draining node that was named names another successor, by a conditional write on the record that names it.
    fn transfer_to_next_successor(
        &mut self,
        function: &str,
        version: u64,
        record: LeaderRecord,
        state: HandoverState,
    ) {
        let now = self.now;
        let members = self.serving_members();
        let mut successors = leader_election::Successors::new(&self.leadership.election, &members, now);
        let Some(successor) = successors.pick(function, 0) else { return };
        let outgoing =
            OutgoingTerm { successor, transferred_at: now, is_written: false, state, requests: Vec::new() };
        self.leadership.handovers.outgoing.insert(function.to_owned(), outgoing);
        let record = LeaderRecord { holder: successor, renew_count: record.renew_count + 1, ..record };
        let write = RecordWrite { function: function.to_owned(), expected: version, record, urgent: true };
        self.send_leader_writes(vec![write]);
    }

    /// Takes over the state of a transferred term, if there is any, after this node has become the leader.
    pub(super) fn accept_handover(&mut self, function: &str, transferred_epoch: Option<u64>) {
        let now = self.now;
        let Some(incoming) = self.leadership.handovers.incoming.remove(function) else { return };
        if let Some(scheduler) = self.leadership.schedulers.get_mut(function) {
            scheduler.resume_demand(&incoming.state.demand, now);
            let is_transferred_epoch = transferred_epoch == Some(incoming.leader_epoch);
            if is_transferred_epoch && incoming.state.is_complete {
                scheduler.accept_handover(incoming.state.permits, now);
            }
        }
        for held_request in incoming.requests {
            let (requester, request) = held_request.with_reduced_time(now);
            self.handle_leadership_message(requester, request);
        }
    }

    /// Ends handovers that have failed and removes those that are complete.
    pub(super) fn tick_handovers(&mut self) {
        let now = self.now;
        let Handovers { outgoing, incoming } = &mut self.leadership.handovers;
        let mut rejected = Vec::new();
        outgoing.retain(|function, term| {
            if !term.is_written && now >= term.transferred_at + RECORD_WRITE_TIMEOUT {
                let waiting = std::mem::take(&mut term.state.requests).into_iter();
                rejected.extend(
                    waiting
                        .map(|transferred| (transferred.requester, request_message(function, transferred))),
                );
                rejected.extend(
                    term.requests
                        .drain(..)
                        .map(|held_request| (held_request.requester, held_request.message)),
                );
            }
            now < term.transferred_at + FORWARD_SPAN
        });
        incoming.retain(|_, term| {
            let is_held = now < term.named_at + CLAIM_TIMEOUT;
            if !is_held {
                rejected.extend(
                    term.requests
                        .drain(..)
                        .map(|held_request| (held_request.requester, held_request.message)),
                );
            }
            is_held
        });
        for (requester, request) in rejected {
            self.reject(requester, &request);
        }
    }
}

/// Holds a request, once; `false` if there are too many.
fn hold_request(requests: &mut Vec<HeldRequest>, requester: NodeId, message: &Message, now: Micros) -> bool {
    let is_held = requests.iter().any(|held_request| {
        held_request.requester == requester && held_request.request_id() == request_id_of(message)
    });
    if !is_held && requests.len() >= HELD_REQUESTS_LIMIT {
        return false;
    }
    if !is_held {
        requests.push(HeldRequest { requester, message: message.clone(), held_at: now });
    }
    true
}

fn request_id_of(message: &Message) -> u64 {
    match message {
        Message::PermitRequest { request_id, .. } => *request_id,
        _ => 0,
    }
}

fn request_message(function: &str, transferred: TransferredRequest) -> Message {
    Message::PermitRequest {
        request_id: transferred.request_id,
        function: function.into(),
        time_left_micros: transferred.time_left.0,
        dispatches: u8::try_from(transferred.dispatches).unwrap_or(u8::MAX),
        avoid: transferred.avoid.as_str().into(),
        fallback: AS_LEADER,
        target_left_micros: transferred.target_left.map_or(u64::MAX, |left| left.0),
        rank: transferred.rank,
        tenant: transferred.tenant,
        nested: u8::from(transferred.is_nested),
    }
}
