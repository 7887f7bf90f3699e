use crate::{ChosenSet, DISKS_KEY};
use monotonic_clock::Micros;
use std::collections::BTreeSet;

/// Disks that did not list their keys are asked again after this.
const LIST_AGAIN_AFTER: Micros = Micros::from_millis(250);

/// The copying that must be over before a joint set is followed by its successor: every key that a quorum
/// of the disks knows is stored anew under the joint set, and so on majorities of both sets.
///
/// Example: `SetCopy::new(joint_set)`, then `due_lists`, `listed`, `due_keys` and `answered` until
/// `is_done`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SetCopy {
    joint_set: ChosenSet,
    requested_at: Option<Micros>,
    listed: BTreeSet<u64>,
    known: BTreeSet<String>,
    requested: BTreeSet<String>,
    copied: BTreeSet<String>,
}

impl SetCopy {
    /// Nothing is listed or copied yet. Example: `!SetCopy::new(joint_set).is_done()`.
    pub fn new(joint_set: ChosenSet) -> SetCopy {
        SetCopy {
            joint_set,
            requested_at: None,
            listed: BTreeSet::new(),
            known: BTreeSet::new(),
            requested: BTreeSet::new(),
            copied: BTreeSet::new(),
        }
    }

    /// The joint set it copies under. Example: `copy.generation() == joint_set.generation`.
    pub fn generation(&self) -> u64 {
        self.joint_set.generation
    }

    /// Disks to be asked for their keys now. Example: `for disk in copy.due_lists(now) { request(disk) }`.
    pub fn due_lists(&mut self, now: Micros) -> Vec<u64> {
        if self.requested_at.is_some_and(|requested_at| now < requested_at + LIST_AGAIN_AFTER) {
            return Vec::new();
        }
        self.requested_at = Some(now);
        self.joint_set.all().difference(&self.listed).copied().collect()
    }

    /// Takes the keys that a disk listed for a sender under this joint set
    /// ([`crate::DiskRegisters::list_keys`]). Example: `copy.listed(disk, digest, keys)`.
    pub fn listed(&mut self, disk: u64, sender_set: u64, keys: impl IntoIterator<Item = String>) {
        if sender_set != self.joint_set.digest() {
            return;
        }
        self.listed.insert(disk);
        self.known.extend(keys.into_iter().filter(|key| key != DISKS_KEY));
    }

    /// Keys to be read in a confirmed way now, which stores them anew; `window` at a time.
    /// Example: `for key in copy.due_keys(256) { owner.read_confirmed(own, request, key, now) }`.
    pub fn due_keys(&mut self, window: usize) -> Vec<String> {
        let room = window.saturating_sub(self.requested.len());
        let is_due = |key: &&String| !self.copied.contains(*key) && !self.requested.contains(*key);
        let due_keys: Vec<String> = self.known.iter().filter(is_due).take(room).cloned().collect();
        self.requested.extend(due_keys.iter().cloned());
        due_keys
    }

    /// Takes what became of a key: one that was not stored anew is due again.
    /// Example: `copy.answered("configuration", true)`.
    pub fn answered(&mut self, key: &str, is_copied: bool) {
        self.requested.remove(key);
        if is_copied {
            self.copied.insert(key.to_owned());
        }
    }

    /// Whether the successor may be written. Example: `copy.is_done()`.
    pub fn is_done(&self) -> bool {
        self.joint_set.quorum(&self.listed) && self.known.is_subset(&self.copied)
    }
}
