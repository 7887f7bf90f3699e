//! Operators' changes that this node forwards to the owner of the configuration's key. They are resent
//! until they have an outcome, and the operator always receives a response in time.

use super::{CHANGE_QUEUE_LIMIT, CHANGE_TIMEOUT, RETRY_PAUSE, Requester, UNCONFIRMED, overloaded};
use crate::Action;
use crate::node::Node;
use configuration_schema::{Change, ChangeOutcome};
use control_registers::CONFIGURATION_KEY;
use monotonic_clock::Micros;
use peer_messages::{Bytes, Message, NodeId, rendezvous_weight};

/// A change without an outcome is resent after this time.
const FORWARD_TIMEOUT: Micros = Micros::from_millis(1_000);
/// After this many sends without an outcome the next voter is tried: an owner that is partitioned from the
/// other voters may still be reachable by all other nodes, but cannot commit a change.
const SENDS_PER_VOTER: u32 = 2;
/// Operators' clients try another node after about a second. A node that reaches no majority responds
/// before that, and continues to forward the change.
const RESPONSE_DEADLINE: Micros = Micros::from_millis(900);

/// A change forwarded to the owner of the configuration's key.
#[derive(Debug)]
pub(super) struct ForwardedChange {
    request: u64,
    change: Change,
    requested_at: Micros,
    sent_at: Micros,
    /// The owner that it was last sent to; `None` while there is no owner.
    owner: Option<NodeId>,
    /// How many times it was sent.
    send_count: u32,
    /// Whether the operator received the response that the outcome is unknown.
    is_answered: bool,
    /// Its transfer time over this machine's link.
    transfer_time: Micros,
}

impl Node {
    /// Handles an operator's change. The owner of the configuration's key applies it, since changes that
    /// meet at one node never race; any other node forwards it.
    pub(crate) fn change_requested(&mut self, request: u64, change: Change) {
        if self.configuration.forwarded.len() >= CHANGE_QUEUE_LIMIT {
            let outcome = overloaded();
            self.emit(Action::ChangeCompleted { request, change_id: change.change_id, outcome });
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

    /// Sends a change to the owner of the configuration's key. Resending is harmless, since the change id
    /// is stored with the configuration.
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

    /// The voter to send a change to: the owner of the configuration's key at place zero, then the other
    /// voters in rendezvous order.
    fn voter_for_change(&self, place: usize) -> Option<NodeId> {
        let mut voters = self.owner_candidates();
        voters.sort_by_key(|node| std::cmp::Reverse((rendezvous_weight(CONFIGURATION_KEY, *node), *node)));
        voters.get(place % voters.len().max(1)).copied()
    }

    /// Handles the owner's outcome of a forwarded change.
    pub(crate) fn change_settled(&mut self, request_id: u64, outcome_bytes: &Bytes) {
        let Ok(outcome) = serde_json::from_slice::<ChangeOutcome>(&outcome_bytes.0) else { return };
        let Some(forwarded) = self.configuration.forwarded.remove(&request_id) else { return };
        if forwarded.is_answered {
            return;
        }
        let change_id = forwarded.change.change_id;
        self.emit(Action::ChangeCompleted { request: forwarded.request, change_id, outcome });
    }

    /// Resends forwarded changes without an outcome, possibly to another owner, and abandons them with an
    /// unknown outcome at their timeout.
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

    /// Probes the voters while changes are pending, to learn whether this node reaches a majority and
    /// receives its responses.
    fn probe_voters_for_changes(&mut self) {
        if self.configuration.forwarded.is_empty() {
            self.configuration.voter_responses.clear();
            return;
        }
        if self.configuration.voter_probe_ticker.due(self.now) {
            self.probe_voters();
        }
    }

    /// Records that a node responded to a direct probe; kept while changes are pending.
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

    /// Responds to the operator, once, that a forwarded change has no outcome yet.
    fn respond_unconfirmed(&mut self, request_id: u64) {
        let Some(forwarded) = self.configuration.forwarded.get_mut(&request_id) else { return };
        if std::mem::replace(&mut forwarded.is_answered, true) {
            return;
        }
        let (request, change_id) = (forwarded.request, forwarded.change.change_id.clone());
        let outcome = ChangeOutcome::Unknown { reason: UNCONFIRMED.to_owned() };
        self.emit(Action::ChangeCompleted { request, change_id, outcome });
    }
}
