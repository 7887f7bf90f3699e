use crate::{ChosenSet, DISKS_KEY};
use monotonic_clock::Micros;
use std::collections::BTreeSet;

/// Interval between requests to disks that have not listed their keys yet.
const LIST_RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// The copying that must be complete before the successor of a joint set is written: every key that a quorum
/// of the disks knows is stored again under the joint set, and so on majorities of both sets.
///
/// The owner of each key stores it, by a confirmed read that is requested once a quorum has listed its keys. These
/// disks refuse owners under older sets from then on, so no such read is confirmed under an older set, whichever node
/// confirms it.
///
/// Example: `SetCopy::new(joint_set)`, then `due_lists`, `record_list`, `due_keys` and `record_read` until
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

/// How far a copy is, for metrics. Example: `copy.progress().disks_listed`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyProgress {
    /// Disks that listed their keys.
    pub disks_listed: usize,
    /// Keys that these disks listed.
    pub keys_known: usize,
    /// Keys that were stored again.
    pub keys_copied: usize,
}

impl SetCopy {
    /// A copy with nothing listed or copied yet. Example: `!SetCopy::new(joint_set).is_done()`.
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

    /// The generation of the joint set under which keys are copied.
    /// Example: `copy.generation() == joint_set.generation`.
    pub fn generation(&self) -> u64 {
        self.joint_set.generation
    }

    /// The disks whose keys are to be requested now.
    /// Example: `for disk in copy.due_lists(now) { request(disk) }`.
    pub fn due_lists(&mut self, now: Micros) -> Vec<u64> {
        if self.requested_at.is_some_and(|requested_at| now < requested_at + LIST_RETRY_INTERVAL) {
            return Vec::new();
        }
        self.requested_at = Some(now);
        self.joint_set.all().difference(&self.listed).copied().collect()
    }

    /// Adds the keys that a disk listed for a sender under this joint set
    /// ([`crate::DiskRegisters::list_keys`]). Example: `copy.record_list(disk, digest, keys)`.
    pub fn record_list(&mut self, disk: u64, sender_set: u64, keys: impl IntoIterator<Item = String>) {
        if sender_set != self.joint_set.digest() {
            return;
        }
        self.listed.insert(disk);
        self.known.extend(keys.into_iter().filter(|key| key != DISKS_KEY));
    }

    /// The keys that are due for a confirmed read by their owners, which stores them again; at most `window` are
    /// open at a time, and none before a quorum listed its keys.
    /// Example: `for key in copy.due_keys(256) { request_read(key) }`.
    pub fn due_keys(&mut self, window: usize) -> Vec<String> {
        if !self.joint_set.quorum(&self.listed) {
            return Vec::new();
        }
        let room = window.saturating_sub(self.requested.len());
        let is_due = |key: &&String| !self.copied.contains(*key) && !self.requested.contains(*key);
        let due_keys: Vec<String> = self.known.iter().filter(is_due).take(room).cloned().collect();
        self.requested.extend(due_keys.iter().cloned());
        due_keys
    }

    /// Records the outcome of a key's read: a key that was not stored again is due again.
    /// Example: `copy.record_read("configuration", true)`.
    pub fn record_read(&mut self, key: &str, is_copied: bool) {
        self.requested.remove(key);
        if is_copied {
            self.copied.insert(key.to_owned());
        }
    }

    /// How many disks listed their keys, how many keys these lists name, and how many of those are copied.
    /// Example: `copy.progress().keys_copied <= copy.progress().keys_known`.
    pub fn progress(&self) -> CopyProgress {
        CopyProgress {
            disks_listed: self.listed.len(),
            keys_known: self.known.len(),
            keys_copied: self.copied.len(),
        }
    }

    /// Whether the successor may be written. Example: `copy.is_done()`.
    pub fn is_done(&self) -> bool {
        self.joint_set.quorum(&self.listed) && self.known.is_subset(&self.copied)
    }
}
