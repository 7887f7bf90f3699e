//! Operators' changes that this node passed on: carried to the owner of the configuration's key, sent anew
//! while they have no outcome, and answered in time whatever becomes of them.

use super::{CHANGE_QUEUE_LIMIT, CHANGE_TIMEOUT, RETRY_PAUSE, Requester, UNCONFIRMED, overloaded};
use crate::Action;
use crate::node::Node;
use configuration_schema::{Change, ChangeOutcome};
use control_registers::CONFIGURATION_KEY;
use monotonic_clock::Micros;
use peer_messages::{Bytes, Message, NodeId, rendezvous_weight};

/// A change is sent anew after this without an outcome.
const FORWARD_TIMEOUT: Micros = Micros::from_millis(1_000);
/// After so many sendings without an outcome the next voter is tried: an owner that is cut off from the other
/// voters is heard by everybody else, and settles nothing.
const SENDS_PER_VOTER: u32 = 2;
/// An operator that hears nothing goes on to another node after about a second: a node that reaches no
/// majority says so before that, and carries the change on all the same.
const RESPONSE_DEADLINE: Micros = Micros::from_millis(900);

/// A change passed on to the owner of the configuration's key.
#[derive(Debug)]
pub(super) struct ForwardedChange {
    request: u64,
    change: Change,
    requested_at: Micros,
    sent_at: Micros,
    /// The owner it was sent to; none while there is no owner.
    owner: Option<NodeId>,
    /// How often it was sent.
    send_count: u32,
    /// The operator was told that the outcome is not known yet.
    is_answered: bool,
    /// How long it is under way over this machine's link, at the most.
    transfer_time: Micros,
}

impl Node {
    /// An operator's change: the owner of the configuration's key settles it, since changes that meet
    /// at one node never race; any other node passes it on.
    pub(crate) fn change_requested(&mut self, request: u64, change: Change) {
        if self.configuration.forwarded.len() >= CHANGE_QUEUE_LIMIT {
            let outcome = overloaded();
            self.emit(Action::ChangeAnswered { request, change_id: change.change_id, outcome });
            return;
        }
        let request_id = self.next_request_id();
        let forwarded = ForwardedChange {
            request,
            change,
            requested_at: self.now,
            sent_at: self.now,
            owner: None,
            send_count: 0,
            is_answered: false,
            transfer_time: Micros(0),
        };
        self.configuration.forwarded.insert(request_id, forwarded);
        self.forward_change(request_id);
    }

    /// Sends a change to the owner of the configuration's key; repeating it is harmless, since its id
    /// is remembered with the configuration.
    fn forward_change(&mut self, request_id: u64) {
        let now = self.now;
        let Some(forwarded) = self.configuration.forwarded.get(&request_id) else { return };
        let owner = self.voter_for_change((forwarded.send_count / SENDS_PER_VOTER) as usize);
        let Some(forwarded) = self.configuration.forwarded.get_mut(&request_id) else { return };
        forwarded.sent_at = now;
        forwarded.owner = owner;
        forwarded.send_count += u32::from(owner.is_some());
        let Some(owner) = owner else { return };
        if owner == self.settings.node {
            let (change, requested_at) = (forwarded.change.clone(), forwarded.requested_at);
            self.enqueue_change(Requester { node: owner, request_id }, change, requested_at);
            return;
        }
        let change = Bytes(serde_json::to_vec(&forwarded.change).unwrap_or_default());
        let seconds = self.settings.link_rate.map_or(0.0, |rate| change.0.len() as f64 / rate);
        forwarded.transfer_time = Micros((seconds * 1e6) as u64);
        self.send(owner, Message::ChangeForward { request_id, change });
    }

    /// The voter to settle a change: the owner of the configuration's key first, then the others in the order
    /// in which they come after it.
    fn voter_for_change(&self, place: usize) -> Option<NodeId> {
        let mut voters = self.owner_candidates();
        voters.sort_by_key(|node| std::cmp::Reverse((rendezvous_weight(CONFIGURATION_KEY, *node), *node)));
        voters.get(place % voters.len().max(1)).copied()
    }

    /// The owner's outcome of a change that this node passed on.
    pub(crate) fn change_settled(&mut self, request_id: u64, outcome_bytes: &Bytes) {
        let Ok(outcome) = serde_json::from_slice::<ChangeOutcome>(&outcome_bytes.0) else { return };
        let Some(forwarded) = self.configuration.forwarded.remove(&request_id) else { return };
        if forwarded.is_answered {
            return;
        }
        let change_id = forwarded.change.change_id;
        self.emit(Action::ChangeAnswered { request: forwarded.request, change_id, outcome });
    }

    /// Passed-on changes without an outcome are sent anew, perhaps to another owner, and given up
    /// with their fate unknown when their time is over.
    pub(super) fn tick_forwarded(&mut self) {
        self.probe_voters_for_changes();
        let requests: Vec<u64> = self.configuration.forwarded.keys().copied().collect();
        for request_id in requests {
            self.tick_forwarded_change(request_id);
        }
    }

    fn tick_forwarded_change(&mut self, request_id: u64) {
        let now = self.now;
        let Some(forwarded) = self.configuration.forwarded.get(&request_id) else { return };
        let (requested_at, is_expired) =
            (forwarded.requested_at, now >= forwarded.requested_at + CHANGE_TIMEOUT);
        let is_response_due =
            now >= requested_at + RESPONSE_DEADLINE && !self.reached_majority_since(requested_at);
        if is_response_due || is_expired {
            self.respond_unconfirmed(request_id);
        }
        if is_expired {
            self.configuration.forwarded.remove(&request_id);
        } else if self.should_resend(request_id) {
            self.forward_change(request_id);
        }
    }

    fn should_resend(&self, request_id: u64) -> bool {
        let Some(forwarded) = self.configuration.forwarded.get(&request_id) else { return false };
        let timeout = match forwarded.owner {
            Some(_) => FORWARD_TIMEOUT + forwarded.transfer_time,
            None => RETRY_PAUSE,
        };
        let has_owner_left = forwarded.owner.is_some_and(|owner| self.members.find(owner).is_none());
        self.now >= forwarded.sent_at + timeout || has_owner_left
    }

    /// Finds out, while changes wait, whether this node has a way to a majority and back.
    fn probe_voters_for_changes(&mut self) {
        if self.configuration.forwarded.is_empty() {
            self.configuration.voter_responses.clear();
            return;
        }
        if self.configuration.voter_probe_ticker.due(self.now) {
            self.probe_voters();
        }
    }

    /// Notes that a node answered a probe of this one directly; kept while changes wait.
    pub(crate) fn probe_answered(&mut self, node: NodeId) {
        if !self.configuration.forwarded.is_empty() {
            self.configuration.voter_responses.insert(node, self.now);
        }
    }

    fn reached_majority_since(&self, since: Micros) -> bool {
        let responses = self.configuration.voter_responses.iter();
        let responding = responses.filter(|(_, answered_at)| **answered_at >= since).map(|(node, _)| *node);
        self.is_majority(&responding.collect())
    }

    /// Tells the operator, once, that a passed-on change has no outcome yet.
    fn respond_unconfirmed(&mut self, request_id: u64) {
        let Some(forwarded) = self.configuration.forwarded.get_mut(&request_id) else { return };
        if std::mem::replace(&mut forwarded.is_answered, true) {
            return;
        }
        let (request, change_id) = (forwarded.request, forwarded.change.change_id.clone());
        let outcome = ChangeOutcome::Unknown { reason: UNCONFIRMED.to_owned() };
        self.emit(Action::ChangeAnswered { request, change_id, outcome });
    }
}
