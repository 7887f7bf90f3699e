//! Permit requests that this node relays for nodes that cannot reach a function's leader.
//!
//! A node that is partitioned from the leader sends its request to the function's fallback. If the fallback can
//! reach the leader, it relays the request under a relay id of its own and sends the response back. The leader
//! still counts every permit, so no instance gets more calls than it may run. The return of the permit takes the
//! same path. The relay's state may be lost: a repeated request is relayed again under the same id, and a permit
//! whose return is lost expires at the leader, as it does without a relay.

use monotonic_clock::Micros;
use peer_messages::{HeldPermit, NodeId, Permit};
use std::collections::BTreeMap;

/// Relay ids start here; the request ids of a node's own calls are lower.
const FIRST_RELAY_ID: u64 = 1 << 63;
/// The limit on tracked requests and on tracked permits; requests beyond it are not relayed.
const RELAYED_LIMIT: usize = 4_096;
/// A permit's return may arrive this long after the end of its call.
const RETURN_SPAN: Micros = Micros::from_secs(1);

/// A request that was relayed to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayedRequest {
    /// The node that requested the permit, and its own request id.
    pub(crate) requester: NodeId,
    pub(crate) request_id: u64,
    /// The leader that the request was sent to.
    pub(crate) leader: NodeId,
    /// When the leader was first sent the request without a response since.
    pub(crate) unanswered_since: Option<Micros>,
    ends_at: Micros,
}

/// The requests and permits that this node relays.
/// Example: `RequestRelay::default().relay_id_of(7, 12) == None`.
#[derive(Debug, Default)]
pub(crate) struct RequestRelay {
    by_relay_id: BTreeMap<u64, RelayedRequest>,
    relay_ids: BTreeMap<(NodeId, u64), u64>,
    /// Relayed permits by id, until their return can no longer arrive.
    permits: BTreeMap<u64, (Permit, Micros)>,
    last_relay_id: u64,
}

/// Whether a request id is a relay id. Example: `is_relayed(12) == false`.
pub(crate) fn is_relayed(relay_id: u64) -> bool {
    relay_id >= FIRST_RELAY_ID
}

impl RequestRelay {
    /// The relay id under which a request was relayed before.
    pub(crate) fn relay_id_of(&self, requester: NodeId, request_id: u64) -> Option<u64> {
        self.relay_ids.get(&(requester, request_id)).copied()
    }

    /// The request that was relayed under a relay id.
    pub(crate) fn get(&self, relay_id: u64) -> Option<&RelayedRequest> {
        self.by_relay_id.get(&relay_id)
    }

    /// Records that a request is sent to a leader now and returns its relay id; `None` if the relay is full.
    pub(crate) fn register(
        &mut self,
        requester: NodeId,
        request_id: u64,
        leader: NodeId,
        ends_at: Micros,
        now: Micros,
    ) -> Option<u64> {
        let relay_id = match self.relay_id_of(requester, request_id) {
            Some(relay_id) => relay_id,
            None if self.by_relay_id.len() >= RELAYED_LIMIT => return None,
            None => {
                self.last_relay_id += 1;
                FIRST_RELAY_ID | self.last_relay_id
            }
        };
        self.relay_ids.insert((requester, request_id), relay_id);
        let unanswered_since = self
            .by_relay_id
            .get(&relay_id)
            .filter(|before| before.leader == leader)
            .and_then(|before| before.unanswered_since);
        let unanswered_since = Some(unanswered_since.unwrap_or(now));
        self.by_relay_id
            .insert(relay_id, RelayedRequest { requester, request_id, leader, unanswered_since, ends_at });
        Some(relay_id)
    }

    /// Records a response of the leader; returns the requester and its request id.
    pub(crate) fn record_response(&mut self, relay_id: u64, leader: NodeId) -> Option<(NodeId, u64)> {
        let relayed = self.by_relay_id.get_mut(&relay_id).filter(|relayed| relayed.leader == leader)?;
        relayed.unanswered_since = None;
        Some((relayed.requester, relayed.request_id))
    }

    /// Removes a request that is no longer waiting.
    pub(crate) fn finish(&mut self, relay_id: u64) -> Option<RelayedRequest> {
        let relayed = self.by_relay_id.remove(&relay_id)?;
        self.relay_ids.remove(&(relayed.requester, relayed.request_id));
        Some(relayed)
    }

    /// Records a relayed permit, whose return is to be relayed as well.
    pub(crate) fn record_permit(&mut self, permit: &Permit, ends_at: Micros) {
        if self.permits.len() < RELAYED_LIMIT {
            self.permits.insert(permit.id, (permit.clone(), ends_at + RETURN_SPAN));
        }
    }

    /// Removes a returned permit; `true` if this node had relayed it.
    pub(crate) fn remove_permit(&mut self, permit: &Permit) -> bool {
        self.permits.remove(&permit.id).is_some()
    }

    /// When the call of a relayed request ends.
    pub(crate) fn end_of(&self, relay_id: u64) -> Option<Micros> {
        self.by_relay_id.get(&relay_id).map(|relayed| relayed.ends_at)
    }

    /// Removes expired requests and permits.
    pub(crate) fn expire(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .by_relay_id
            .iter()
            .filter(|(_, relayed)| now >= relayed.ends_at)
            .map(|(relay_id, _)| *relay_id)
            .collect();
        for relay_id in expired {
            self.finish(relay_id);
        }
        self.permits.retain(|_, (_, ends_at)| now < *ends_at);
    }

    /// The relayed permits of a function that have not been returned.
    pub(crate) fn held_for(&self, function: &str, now: Micros) -> impl Iterator<Item = HeldPermit> {
        let permits = self.permits.values().filter(move |(permit, _)| permit.function.0 == function);
        permits.map(move |(permit, ends_at)| HeldPermit {
            permit: permit.clone(),
            ends_in_micros: (*ends_at - now).0,
        })
    }
}

#[cfg(test)]
mod tests;
