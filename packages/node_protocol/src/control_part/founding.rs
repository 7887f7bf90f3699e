//! Founding the first voter set, once in a fleet's life: who may, when, and what the asked disks answer.

use super::{DISK_BLANK, DISK_VOTING};
use crate::node::Node;
use control_registers::{ChosenSet, VoterSet};
use peer_messages::{Address, List, Message, NodeId, stable_hash};
use serde_json::json;

impl Node {
    /// The one node that may found: the seed with the lowest address among those that carry a disk. Each
    /// lower one must be heard, and carry none: a process never changes that, so no two nodes can be it.
    /// Any rule by what a node sees of the disks lets two found two sets that share disks.
    fn is_founder(&self) -> bool {
        let own = self.settings.address;
        if self.settings.seeds.is_empty() {
            return true;
        }
        let is_seed = self.settings.seeds.contains(&own);
        is_seed && self.settings.seeds.iter().filter(|seed| **seed < own).all(|seed| self.lacks_disk(*seed))
    }

    fn lacks_disk(&self, address: Address) -> bool {
        self.members
            .colleagues()
            .any(|news| news.address == address && news.disk == 0 && news.disk_state == 0)
    }

    /// Founds the first voter set, once: the founder's own disk and others that are blank, all live;
    /// no member may have voted before, and at least half of the seeds must have been heard.
    pub(super) fn try_founding(&mut self) {
        let is_founder = self.is_founder();
        let Some(disk) = &self.control.disk else {
            self.tell_founding_waits(is_founder);
            return;
        };
        let (own_disk, own_set) = (disk.id, disk.registers.chosen().clone());
        if own_set.generation == 1 && own_set.joining.0.is_empty() {
            if self.members.own().disk_state != DISK_BLANK {
                self.finish_founding(&own_set);
            }
            return;
        }
        let is_founded = own_set.generation != 0 || self.control.set.generation != 0;
        if !is_founder || !self.settings.may_found || is_founded || disk.is_broken || !self.may_be_first() {
            return;
        }
        let mut founding_disks = self.blank_disks();
        if founding_disks.len() < self.settings.founding_disks {
            return;
        }
        // Its own disk takes the set first, and is asked in a message to itself: whatever happens to
        // this process afterwards, it founds no other.
        founding_disks.sort_unstable_by_key(|disk| (*disk != own_disk, *disk));
        founding_disks.truncate(self.settings.founding_disks);
        founding_disks.sort_unstable();
        self.tell_founding(&founding_disks, &[own_disk]);
    }

    /// Tells once, on a founding seed without a disk, that no seed can found.
    fn tell_founding_waits(&mut self, is_founder: bool) {
        let own = self.settings.address;
        let no_seed_can = is_founder
            && self.settings.seeds.iter().filter(|seed| **seed != own).all(|seed| self.lacks_disk(*seed));
        let is_missing = no_seed_can && self.control.set.generation == 0 && !self.control.is_wait_told;
        if is_missing && self.members.live().len() > 1 {
            self.control.is_wait_told = true;
            let reason = "a seed founds the state, and none has a data folder";
            self.journal.append("founding_waits", json!({"reason": reason}), self.now);
        }
    }

    /// Enough seeds were heard, and no live member has a disk that ever voted or that fails.
    fn may_be_first(&self) -> bool {
        self.members.seeds_heard() * 2 >= self.members.seed_count()
            && self.members.live().iter().all(|news| news.disk_state < DISK_VOTING)
    }

    fn blank_disks(&self) -> Vec<u64> {
        let live = self.members.live().into_iter();
        live.filter(|news| news.disk_state == DISK_BLANK).map(|news| news.disk).collect()
    }

    /// A founding that was cut short is told again to the members of the set that are still blank.
    fn finish_founding(&mut self, founding_set: &VoterSet) {
        let mut blank_disks = self.blank_disks();
        blank_disks.retain(|disk| founding_set.disks.0.contains(disk));
        self.tell_founding(&founding_set.disks.0, &blank_disks);
    }

    fn tell_founding(&mut self, founding_disks: &[u64], told_disks: &[u64]) {
        let set_mark = stable_hash(&VoterSet::founding(founding_disks).encode().0);
        for disk in told_disks {
            if let Some(node) = self.node_of_disk(*disk) {
                self.send(node, Message::Found { set: set_mark, disks: List(founding_disks.to_vec()) });
            }
        }
    }

    pub(super) fn found(&mut self, from: NodeId, set_mark: u64, founding_disks: &[u64]) {
        let founding_set = ChosenSet::founding(founding_disks);
        let is_known_other = self.control.set.generation > 0 && self.control.set != founding_set;
        let wanted_count = self.settings.founding_disks;
        let Some(disk) = self.control.sound_disk() else { return };
        let disk_id = disk.id;
        let is_sound = founding_disks.len() == wanted_count
            && founding_disks.contains(&disk_id)
            && set_mark == stable_hash(&founding_set.encode().0)
            && !is_known_other;
        let records = if is_sound { disk.registers.found(&founding_set) } else { None };
        let Some(records) = records else {
            self.send(from, Message::FoundAnswer { set: set_mark, disk: disk_id, accepted: 0 });
            return;
        };
        self.write_then_answer(
            records,
            from,
            Message::FoundAnswer { set: set_mark, disk: disk_id, accepted: 1 },
        );
    }

    pub(super) fn founding_refused(&mut self, disk: u64) {
        self.journal.append("founding_refused", json!({"disk": format!("{disk:016x}")}), self.now);
    }
}
