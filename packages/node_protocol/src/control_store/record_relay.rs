//! Leader records across zones: the zone's relay polls the owners, and the other nodes of the zone poll the
//! relay.
//!
//! A follower that learns of a renewal late only treats a lease as valid for longer than it is: its own
//! observation starts later, and a claim still requires the exact version that it observed. A slow relay
//! therefore delays a takeover but never causes two leaders. A node whose relay does not respond polls the
//! owners itself.

use super::record_polls::keys_of;
use crate::node::Node;
use control_registers::{function_of_leader_key, keys_digest, leader_key};
use monotonic_clock::Micros;
use peer_messages::{Bytes, LeaderRecord, List, Message, NodeId, PolledRecord, RenewedRecord};
use std::collections::BTreeMap;

/// How long a node that does not consider itself a relay is skipped.
const RELAY_SUSPECT_SPAN: Micros = Micros::from_secs(1);

/// An owner that sent this node a message within this time is not suspected, whatever a relay reports.
const RECENT_CONTACT_SPAN: Micros = Micros::from_millis(600);

/// A leader record as observed by this node, with the change numbers of its last change and of its last
/// change other than a renewal.
#[derive(Debug)]
struct ObservedRecord {
    version: u64,
    value: Bytes,
    changed_at: u64,
    replaced_at: u64,
}

/// All leader records that this node observed, numbered by change, so that followers receive only what
/// changed.
#[derive(Debug, Default)]
pub(super) struct ObservedRecords {
    change_count: u64,
    records: BTreeMap<String, ObservedRecord>,
}

impl ObservedRecords {
    /// Stores a polled record unless the known version is the same or newer.
    pub(super) fn observe(&mut self, function: &str, version: u64, value: &Bytes) {
        if self.records.get(function).is_some_and(|known| known.version >= version) {
            return;
        }
        self.change_count += 1;
        let (changed_at, replaced_at) = (self.change_count, self.change_count);
        let observed = ObservedRecord { version, value: value.clone(), changed_at, replaced_at };
        self.records.insert(function.to_owned(), observed);
    }

    /// Applies a renewal to a known record.
    pub(super) fn record_renewal(&mut self, function: &str, version: u64) {
        if let Some(known) = self.records.get_mut(function).filter(|known| known.version < version) {
            self.change_count += 1;
            known.version = version;
            known.changed_at = self.change_count;
        }
    }

    /// What changed in these functions' records since a change number; all of them for zero.
    fn since(&self, functions: &[String], since: u64) -> (Vec<PolledRecord>, Vec<RenewedRecord>) {
        let (mut records, mut renewed) = (Vec::new(), Vec::new());
        for (index, function) in functions.iter().enumerate() {
            let Some(known) = self.records.get(function).filter(|known| known.changed_at > since) else {
                continue;
            };
            match known.replaced_at > since {
                true => records.push(PolledRecord {
                    key: leader_key(function).into(),
                    version: known.version,
                    value: known.value.clone(),
                }),
                false => renewed.push(RenewedRecord { index: index as u16, version: known.version }),
            }
        }
        (records, renewed)
    }
}

/// The configured functions in order, and the change number up to which the relay's changes were received.
#[derive(Debug, Default)]
pub(super) struct RelayedPoll {
    generation: u64,
    functions: Vec<String>,
    keys_digest: u64,
    /// The relay that issued the change number.
    relay: NodeId,
    change: u64,
    skipped_until: Micros,
}

impl Node {
    /// The relay that this node polls instead of the owners, if it has one that responds.
    pub(crate) fn polled_relay(&self) -> Option<NodeId> {
        let relay = self.zones.relay().filter(|relay| *relay != self.settings.node)?;
        let is_suspected = self.control.suspected.get(&relay).is_some_and(|until| self.now < *until);
        let is_skipped = self.now < self.control.relayed_poll.skipped_until;
        (!is_suspected && !is_skipped && self.configuration.generation() > 0).then_some(relay)
    }

    /// Requests what changed since the relay's last response.
    pub(super) fn poll_relay(&mut self, relay: NodeId) {
        self.update_relayed_functions();
        let poll = &mut self.control.relayed_poll;
        if poll.relay != relay {
            (poll.relay, poll.change) = (relay, 0);
        }
        let (keys_digest, since) = (poll.keys_digest, poll.change);
        self.control.polls.entry(relay).or_insert(self.now);
        self.send(relay, Message::RelayPoll { keys_digest, since });
    }

    fn update_relayed_functions(&mut self) {
        let generation = self.configuration.generation();
        if self.control.relayed_poll.generation == generation {
            return;
        }
        let functions: Vec<String> = self.configuration.current().functions.keys().cloned().collect();
        let keys_digest = keys_digest(&keys_of(&functions));
        let poll = &mut self.control.relayed_poll;
        let change = if poll.keys_digest == keys_digest { poll.change } else { 0 };
        let (relay, skipped_until) = (poll.relay, poll.skipped_until);
        *poll = RelayedPoll { generation, functions, keys_digest, relay, change, skipped_until };
    }

    /// Handles a poll by a node of the zone. Only a relay that polls the owners itself returns records.
    pub(super) fn relay_poll_requested(&mut self, from: NodeId, keys_digest: u64, since: u64) {
        self.update_relayed_functions();
        let is_relaying = self.zones.may_relay() && self.polled_relay().is_none();
        let response = if is_relaying && keys_digest == self.control.relayed_poll.keys_digest {
            let observed = &self.control.observed_records;
            let since = if since > observed.change_count { 0 } else { since };
            let (records, renewed) = observed.since(&self.control.relayed_poll.functions, since);
            let change = observed.change_count;
            let silent = self.suspected_owners();
            let (records, renewed) = (List(records), List(renewed));
            Message::RelayPolled { keys_digest, relays: 1, change, records, renewed, silent }
        } else {
            let (records, renewed, silent) = (List(Vec::new()), List(Vec::new()), List(Vec::new()));
            Message::RelayPolled { keys_digest, relays: 0, change: 0, records, renewed, silent }
        };
        self.send(from, response);
    }

    fn suspected_owners(&self) -> List<NodeId> {
        let suspected = self.control.suspected.iter().filter(|(_, until)| self.now < **until);
        suspected.map(|(owner, _)| *owner).collect()
    }

    /// Suspects owners that the relay reports as silent, since this node does not poll them itself.
    pub(super) fn suspect_reported_owners(&mut self, owners: List<NodeId>) {
        for owner in owners.0 {
            if !self.calls.has_received_since(owner, self.now - RECENT_CONTACT_SPAN) {
                self.suspect_owner(owner);
            }
        }
    }

    /// Applies the changes that the relay reports; all other records are unchanged.
    pub(super) fn relay_polled(
        &mut self,
        from: NodeId,
        (keys_digest, change): (u64, u64),
        records: &[PolledRecord],
        renewed: &[RenewedRecord],
    ) {
        let now = self.now;
        self.control.polls.remove(&from);
        let election = &mut self.leadership.election;
        for record in records {
            if let Some(function) = function_of_leader_key(&record.key.0) {
                let leader = LeaderRecord::decode(&record.value);
                election.observe(function, record.version, leader, now);
            }
        }
        let poll = &mut self.control.relayed_poll;
        if poll.relay != from || poll.keys_digest != keys_digest {
            return;
        }
        for renewal in renewed {
            if let Some(function) = poll.functions.get(usize::from(renewal.index)) {
                election.record_renewal(function, renewal.version, now);
            }
        }
        election.record_poll(|_| true, now);
        poll.change = poll.change.max(change);
    }

    /// The polled node is not a relay: polls the owners instead, immediately and for a while.
    pub(super) fn relay_refused(&mut self, from: NodeId) {
        self.control.polls.remove(&from);
        self.control.relayed_poll.skipped_until = self.now + RELAY_SUSPECT_SPAN;
        self.poll_records();
    }
}

#[cfg(test)]
mod tests;
