//! Leader records over a zone's border: the zone's relay polls the owners, the other nodes of the zone poll
//! the relay.
//!
//! A follower that hears of a renewal late only takes a lease for valid longer than it is: its own
//! observation begins later, and a claim still has to find the very version that it observed. So a relay
//! that is slow delays a takeover and never makes two leaders. Who gets no answer polls the owners itself.

use super::record_polls::keys_of;
use crate::node::Node;
use control_registers::{keys_digest, leader_key};
use monotonic_clock::Micros;
use peer_messages::{Bytes, LeaderRecord, List, Message, NodeId, PolledRecord, RenewedRecord};
use std::collections::BTreeMap;

/// A node that does not relay by its own view is passed over for so long.
const RELAY_SUSPECT_SPAN: Micros = Micros::from_secs(1);

/// An owner that this node itself heard within this time is not silent, whatever a relay says.
const RECENT_CONTACT_SPAN: Micros = Micros::from_millis(600);

/// A leader record as this node observed it, and the change numbers at which it last changed, and last
/// changed otherwise than by a renewal.
#[derive(Debug)]
struct ObservedRecord {
    version: u64,
    value: Bytes,
    changed_at: u64,
    replaced_at: u64,
}

/// All leader records that this node observed, numbered by change, so that followers get what changed.
#[derive(Debug, Default)]
pub(super) struct ObservedRecords {
    change_count: u64,
    records: BTreeMap<String, ObservedRecord>,
}

impl ObservedRecords {
    /// A record was polled; an older version than the known one changes nothing.
    pub(super) fn observe(&mut self, function: &str, version: u64, value: &Bytes) {
        if self.records.get(function).is_some_and(|known| known.version >= version) {
            return;
        }
        self.change_count += 1;
        let (changed_at, replaced_at) = (self.change_count, self.change_count);
        let observed = ObservedRecord { version, value: value.clone(), changed_at, replaced_at };
        self.records.insert(function.to_owned(), observed);
    }

    /// A known record was renewed.
    pub(super) fn renewed(&mut self, function: &str, version: u64) {
        if let Some(known) = self.records.get_mut(function).filter(|known| known.version < version) {
            self.change_count += 1;
            known.version = version;
            known.changed_at = self.change_count;
        }
    }

    /// What changed of these functions since a change number; everything for zero.
    fn since(&self, functions: &[String], since: u64) -> (Vec<PolledRecord>, Vec<RenewedRecord>) {
        let (mut records, mut renewed) = (Vec::new(), Vec::new());
        for (place, function) in functions.iter().enumerate() {
            let Some(known) = self.records.get(function).filter(|known| known.changed_at > since) else {
                continue;
            };
            match known.replaced_at > since {
                true => records.push(PolledRecord {
                    key: leader_key(function).into(),
                    version: known.version,
                    value: known.value.clone(),
                }),
                false => renewed.push(RenewedRecord { place: place as u16, version: known.version }),
            }
        }
        (records, renewed)
    }
}

/// The configured functions in order, and how far one relay's changes of their records were heard.
#[derive(Debug, Default)]
pub(super) struct RelayedPoll {
    generation: u64,
    functions: Vec<String>,
    keys_digest: u64,
    /// The relay that the change number is of.
    relay: NodeId,
    change: u64,
    skipped_until: Micros,
}

impl Node {
    /// The relay that this node polls in place of the owners, if it has one that answers.
    pub(crate) fn polled_relay(&self) -> Option<NodeId> {
        let relay = self.zones.relay().filter(|relay| *relay != self.settings.node)?;
        let is_suspected = self.control.suspected.get(&relay).is_some_and(|until| self.now < *until);
        let is_skipped = self.now < self.control.relayed_poll.skipped_until;
        (!is_suspected && !is_skipped && self.configuration.generation() > 0).then_some(relay)
    }

    /// Asks the relay what changed since its last answer.
    pub(super) fn poll_relay(&mut self, relay: NodeId) {
        self.list_relayed_functions();
        let poll = &mut self.control.relayed_poll;
        if poll.relay != relay {
            (poll.relay, poll.change) = (relay, 0);
        }
        let (keys_digest, since) = (poll.keys_digest, poll.change);
        self.control.polls.entry(relay).or_insert(self.now);
        self.send(relay, Message::RelayPoll { keys_digest, since });
    }

    fn list_relayed_functions(&mut self) {
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

    /// A node of the zone polls here: it is answered only by a relay that polls the owners itself.
    pub(super) fn relay_poll_requested(&mut self, from: NodeId, keys_digest: u64, since: u64) {
        self.list_relayed_functions();
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

    /// Owners that the relay found silent are passed over here as well: this node does not poll them itself.
    pub(super) fn suspect_reported_owners(&mut self, owners: List<NodeId>) {
        for owner in owners.0 {
            if !self.calls.has_received_since(owner, self.now - RECENT_CONTACT_SPAN) {
                self.suspect_owner(owner);
            }
        }
    }

    /// What the relay says changed; all else stands as it was.
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
            if let Some(function) = record.key.0.strip_prefix("steward/") {
                let leader = LeaderRecord::decode(&record.value);
                election.observe(function, record.version, leader, now);
            }
        }
        let poll = &mut self.control.relayed_poll;
        if poll.relay != from || poll.keys_digest != keys_digest {
            return;
        }
        for renewal in renewed {
            if let Some(function) = poll.functions.get(usize::from(renewal.place)) {
                election.renewed(function, renewal.version, now);
            }
        }
        election.confirmed(|_| true, now);
        poll.change = poll.change.max(change);
    }

    /// The asked node does not relay: the owners are polled for a while, beginning now.
    pub(super) fn relay_refused(&mut self, from: NodeId) {
        self.control.polls.remove(&from);
        self.control.relayed_poll.skipped_until = self.now + RELAY_SUSPECT_SPAN;
        self.poll_records();
    }
}

#[cfg(test)]
mod tests;
