//! The work of this node as a key owner: it accepts writes, confirmed reads and polls from peers, and sends
//! its promises, stores and responses.

use super::VIA_GOSSIP;
use crate::node::Node;
use control_registers::{CONFIGURATION_KEY, NOT_OWNER, OwnerAction, WRITTEN};
use peer_messages::{Bytes, List, Message, NodeId, ReadEntry, Text, WriteEntry, WriteOutcome};
use std::collections::BTreeMap;

/// In a poll's response: the node does not know the digest and needs the list of keys.
const UNKNOWN_DIGEST: u8 = 0;
/// In a poll's response: the node knows of no vote of its own and owns no keys.
pub(super) const OWNS_NO_KEYS: u8 = 2;
/// Values up to this size are sent with every response.
const SMALL_VALUE: usize = 16 * 1024;

impl Node {
    pub(super) fn writes_requested(&mut self, from: NodeId, entries: List<WriteEntry>) {
        let owns_keys = self.owns_keys();
        let mut refused = Vec::new();
        for entry in entries.0 {
            match owns_keys && self.should_own(&entry.key.0) {
                true => self.control.owner.write(from, entry, self.now),
                false => refused.push(not_owner(entry.request_id, entry.key)),
            }
        }
        if !refused.is_empty() {
            self.send(from, Message::WriteResponse { outcomes: List(refused) });
        }
    }

    /// Serves confirmed reads of any key, also of those that another voter should own by this node's view: a copy
    /// during a change of the voter set reads each key once, and must not wait until all views agree.
    pub(super) fn reads_requested(&mut self, from: NodeId, entries: List<ReadEntry>) {
        if !self.owns_keys() {
            return;
        }
        for ReadEntry { request_id, key, digest } in entries.0 {
            self.control.owner.confirm(from, request_id, key, digest, self.now);
        }
    }

    pub(super) fn records_requested(
        &mut self,
        from: NodeId,
        keys_digest: u64,
        since: u64,
        keys: &List<Text>,
    ) {
        if !self.owns_keys() {
            self.send(from, no_records(keys_digest, OWNS_NO_KEYS));
            return;
        }
        let candidates = self.owner_candidates();
        let own = self.settings.node;
        let should_own = |key: &str| Node::rendezvous_choice(key, candidates.iter().copied()) == Some(own);
        let response = match self.control.owner.poll(keys_digest, since, &keys.0, should_own, self.now) {
            Some(response) => Message::RecordsPolled {
                keys_digest,
                known: 1,
                change: response.change,
                records: List(response.records),
                renewed: List(response.renewed),
            },
            None => no_records(keys_digest, UNKNOWN_DIGEST),
        };
        self.send(from, response);
    }

    /// Sends the key owner's promises, stores and responses.
    pub(crate) fn flush_control(&mut self) {
        let now = self.now;
        let mut response_groups: BTreeMap<NodeId, Vec<WriteOutcome>> = BTreeMap::new();
        for action in self.control.owner.flush(now) {
            match action {
                OwnerAction::Promise { disk, fleet_set, entries } => {
                    if let Some(node) = self.node_of_disk(disk) {
                        self.send(node, Message::Promise { fleet_set, entries });
                    }
                }
                OwnerAction::Store { disk, fleet_set, entries } => {
                    if let Some(node) = self.node_of_disk(disk) {
                        self.send(node, Message::Store { fleet_set, entries });
                    }
                }
                OwnerAction::Chosen(chosen_set) => self.announce_chosen(&chosen_set),
                OwnerAction::Response { node, outcome } => {
                    let outcome = self.outcome_for(node, outcome);
                    response_groups.entry(node).or_default().push(outcome);
                }
            }
        }
        for (node, outcomes) in response_groups {
            self.send(node, Message::WriteResponse { outcomes: List(outcomes) });
        }
    }

    /// The response for a reader. A large value that it lacks is sent only to machines with a disk. The
    /// others receive only the outcome that the value is in force, and fetch it by gossip, which may
    /// transfer only a few changes.
    fn outcome_for(&mut self, reader: NodeId, outcome: WriteOutcome) -> WriteOutcome {
        let is_large = outcome.outcome == WRITTEN && outcome.value.0.len() > SMALL_VALUE;
        let is_diskless =
            || self.members.find(reader).is_some_and(|member| member.disk == 0 && member.disk_state == 0);
        if !is_large || reader == self.settings.node || outcome.key.0 != CONFIGURATION_KEY || !is_diskless() {
            return outcome;
        }
        self.adopt_base(&outcome);
        if let Some((node, keys_digest)) = self.gossip.send_topic_to(reader, CONFIGURATION_KEY) {
            self.send(node, keys_digest);
        }
        WriteOutcome { outcome: VIA_GOSSIP, value: Bytes::default(), ..outcome }
    }
}

fn no_records(keys_digest: u64, known: u8) -> Message {
    Message::RecordsPolled {
        keys_digest,
        known,
        change: 0,
        records: List(Vec::new()),
        renewed: List(Vec::new()),
    }
}

fn not_owner(request_id: u64, key: Text) -> WriteOutcome {
    WriteOutcome { request_id, key, outcome: NOT_OWNER, version: 0, value: Bytes::default() }
}
