//! Changes of the voter set: the votes of lost disks move to other disks by way of a joint set, under which
//! every key is copied before the new set takes effect.

use super::requests::WritePurpose;
use crate::node::Node;
use crate::voter_replacement::ReplacementPolicy;
use control_registers::{ChosenSet, DIFFERS, DISKS_KEY, SetCopy, VoterSet, WRITTEN};
use monotonic_clock::Micros;
use peer_messages::{Bytes, List, MemberUpdate, Message, NodeId, ReadEntry, Text, WriteOutcome};
use std::collections::BTreeMap;

/// How many keys are copied concurrently during a voter set change.
const COPY_WINDOW: usize = 1_024;
/// Pause after a read that was not confirmed: its owner may not have learned of the joint set yet.
const COPY_RETRY_PAUSE: Micros = Micros::from_millis(100);

impl Node {
    /// Moves the votes of lost disks to other disks: first the joint set, then a copy of every key under
    /// it, then the new set. There is one change at a time, and each step builds on the chosen set. A joint
    /// set has exactly one successor, whichever owner completes it. It needs majorities of both sets, so it
    /// can be completed, even without the joining disks, as long as neither set has lost more disks than it
    /// tolerates.
    pub(super) fn try_replacing(&mut self) {
        let now = self.now;
        let set = self.control.set.clone();
        let live: Vec<MemberUpdate> = self.members.live().into_iter().cloned().collect();
        self.control.disk_observations.update(&set, &live, now);
        if set.generation == 0 {
            return;
        }
        if self.has_proposal() {
            self.read_voter_set();
        }
        let owner = self.key_owner(DISKS_KEY);
        if owner != Some(self.settings.node) || !self.owns_keys() {
            self.report_observations(owner, &set, &live);
            return;
        }
        let policy = ReplacementPolicy {
            failed_timeout: self.settings.replace_disk_after,
            tolerance: &self.settings.tolerance,
        };
        let replacements = self.control.disk_observations.replacements(&set, &live, policy, now);
        if !set.joining.0.is_empty() {
            self.continue_copy(&set);
        } else if let Some(joint_set) = set.begin_changes(&replacements) {
            self.write_voter_set(&joint_set);
        }
    }

    /// Reports new observations about the voters' machines to the owner of the voter set's key.
    fn report_observations(&mut self, owner: Option<NodeId>, set: &VoterSet, live: &[MemberUpdate]) {
        let reported = self.control.disk_observations.unreported(set, live);
        if let Some(owner) = owner.filter(|_| !reported.is_empty()) {
            self.send(owner, Message::Probe { sequence: 0, target: 0, members: List(reported) });
        }
    }

    /// Whether the own disk stored a set that is not known to be chosen. Its writer may be gone: a
    /// confirmed read makes the key's owner either complete it or return the set in force.
    fn has_proposal(&self) -> bool {
        self.control.disk.as_ref().is_some_and(|disk| disk.registers.proposed().is_some())
    }

    /// Whether a planned stop must wait, within its time limit, for a voter set change that may still need
    /// this disk. Without a change a stop needs no wait: it loses nothing, since everything acknowledged is
    /// synced on a quorum.
    pub(crate) fn must_stay_for_change(&self) -> bool {
        let is_voting =
            self.control.disk.as_ref().is_some_and(|disk| self.control.set.all().contains(&disk.id));
        is_voting && (self.has_proposal() || !self.control.set.joining.0.is_empty())
    }

    fn is_set_requested(&self) -> bool {
        let mut purposes = self.control.attempts.values().map(|attempt| &attempt.purpose);
        purposes.any(|purpose| matches!(purpose, WritePurpose::DisksRead | WritePurpose::DisksChange))
    }

    fn read_voter_set(&mut self) {
        if !self.is_set_requested() {
            self.send_write(DISKS_KEY, 0, Bytes::default(), WritePurpose::DisksRead);
        }
    }

    /// Versions of the voter set's key are its generations.
    fn write_voter_set(&mut self, next_set: &VoterSet) {
        if !self.is_set_requested() {
            let expected = self.control.set.generation;
            self.send_write(DISKS_KEY, expected, next_set.encode(), WritePurpose::DisksChange);
        }
    }

    /// Learns the set in an owner's response: it was stored on a quorum and is chosen. The response to a
    /// successful write carries no value; the owner announces the set itself.
    pub(super) fn voter_set_answered(&mut self, outcome: &WriteOutcome) {
        if ![WRITTEN, DIFFERS].contains(&outcome.outcome) {
            return;
        }
        if let Some(current_set) = ChosenSet::received(&outcome.value) {
            self.learn_chosen(&current_set);
        }
    }

    fn continue_copy(&mut self, joint_set: &ChosenSet) {
        let now = self.now;
        let copy = self.control.copy.get_or_insert_with(|| SetCopy::new(joint_set.clone()));
        if copy.is_done() {
            if let Some(final_set) = joint_set.end_change() {
                self.write_voter_set(&final_set);
            }
            return;
        }
        let due_lists = copy.due_lists(now);
        let due_keys = match now >= self.control.copy_paused_until {
            true => copy.due_keys(COPY_WINDOW),
            false => Vec::new(),
        };
        let fleet_set = joint_set.digest();
        for node in due_lists.into_iter().filter_map(|disk| self.node_of_disk(disk)).collect::<Vec<_>>() {
            self.send(node, Message::KeysRequest { fleet_set });
        }
        self.copy_keys(due_keys, joint_set.generation);
    }

    /// Requests a confirmed read of each due key from the key's owner, which stores the value again on
    /// majorities of both sets. A node that read the keys of others itself would take them from their owners,
    /// which take them back with the next renewal.
    fn copy_keys(&mut self, due_keys: Vec<String>, generation: u64) {
        let candidates = self.owner_candidates();
        let mut entries_by_owner: BTreeMap<NodeId, Vec<ReadEntry>> = BTreeMap::new();
        for key in due_keys {
            let Some(owner) = Node::rendezvous_choice(&key, candidates.iter().copied()) else {
                self.copy_answered(&key, generation, false);
                continue;
            };
            let purpose = WritePurpose::DisksCopy { key: key.clone(), generation };
            let entry = self.read_entry(owner, &key, purpose);
            entries_by_owner.entry(owner).or_default().push(entry);
        }
        for (owner, entries) in entries_by_owner {
            self.send(owner, Message::ReadsConfirmed { entries: List(entries) });
        }
    }

    pub(super) fn keys_received(&mut self, disk: u64, fleet_set: u64, keys: List<Text>) {
        if let Some(copy) = &mut self.control.copy {
            copy.record_list(disk, fleet_set, keys.0.into_iter().map(|key| key.0));
        }
    }

    /// Ignores responses that belong to an earlier change.
    pub(super) fn copy_answered(&mut self, key: &str, generation: u64, is_confirmed: bool) {
        let copy = self.control.copy.as_mut().filter(|copy| copy.generation() == generation);
        if let Some(copy) = copy {
            copy.record_read(key, is_confirmed);
        }
        if !is_confirmed {
            self.control.copy_paused_until = self.now + COPY_RETRY_PAUSE;
        }
    }
}
