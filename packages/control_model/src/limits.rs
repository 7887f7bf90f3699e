//! What may happen in an exploration, and how often.

use crate::PlantedFault;

/// An operation of a client. Each operation of a [`Limits`] begins at most once, at any machine that may own keys.
/// Example: `Operation::Write { key: "a", value: 1 }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// A conditional write on top of the version that the machine knows.
    Write { key: &'static str, value: u64 },
    /// A confirmed read.
    Read { key: &'static str },
    /// A change of the configuration, applied by `StoredConfiguration::apply` and retried with the same id if the
    /// current version differs.
    Change { id: u64 },
}

/// What may happen in an exploration, and how often. Example: `Limits::three_disks()`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Machines, each with one disk; the first `bootstrap` disks vote at the start.
    pub machines: usize,
    /// Number of voters of the bootstrap set.
    pub bootstrap: usize,
    /// Machines at which operations begin.
    pub owners: usize,
    /// The clients' operations.
    pub operations: Vec<Operation>,
    /// Power losses; the machine restarts at once with what its disk had synced.
    pub crashes: u32,
    /// Wiped disks; never more than the newest chosen set may lose.
    pub wipes: u32,
    /// Messages that arrive and stay in flight to arrive again.
    pub repeats: u32,
    /// Responses that arrive later, in any order, instead of at once.
    pub late_responses: u32,
    /// Times that an owner sends its unanswered messages again.
    pub resends: u32,
    /// Times that an owner abandons its unanswered requests.
    pub give_ups: u32,
    /// Changes of the voter set.
    pub changes: u32,
    /// Confirmed reads of the voter set for a proposal that a disk holds.
    pub set_reads: u32,
    /// Whether syncing is a separate action. If not, records are synced as they are submitted; this covers power
    /// losses as well, since a message whose records were not synced counts as never arrived.
    pub separate_sync: bool,
    /// The planted fault, if any.
    pub fault: Option<PlantedFault>,
}

impl Limits {
    /// Three disks in the bootstrap set, and no fault, operation or change.
    /// Example: `Limits { crashes: 1, ..Limits::three_disks() }`.
    pub fn three_disks() -> Limits {
        Limits {
            machines: 3,
            bootstrap: 3,
            owners: 2,
            operations: Vec::new(),
            crashes: 0,
            wipes: 0,
            repeats: 0,
            late_responses: 0,
            resends: 0,
            give_ups: 0,
            changes: 0,
            set_reads: 0,
            separate_sync: false,
            fault: None,
        }
    }

    /// Two owners write one key on top of the same version while the key is also read.
    /// Example: `explore(&Limits::racing_writes(), 12, 1_000_000, 4)`.
    pub fn racing_writes() -> Limits {
        let write = |value| Operation::Write { key: "steward/a", value };
        Limits {
            operations: vec![write(1), write(2), Operation::Read { key: "steward/a" }],
            late_responses: 1,
            ..Limits::three_disks()
        }
    }

    /// Two operators change the configuration at two owners.
    /// Example: `explore(&Limits::racing_changes(), 12, 1_000_000, 4)`.
    pub fn racing_changes() -> Limits {
        Limits {
            operations: vec![Operation::Change { id: 1 }, Operation::Change { id: 2 }],
            repeats: 1,
            ..Limits::three_disks()
        }
    }

    /// Two owners begin changes of the voter set with a spare disk while a key is written.
    /// Example: `explore(&Limits::racing_sets(), 12, 1_000_000, 4)`.
    pub fn racing_sets() -> Limits {
        Limits {
            machines: 4,
            operations: vec![Operation::Write { key: "steward/a", value: 1 }],
            changes: 2,
            set_reads: 1,
            ..Limits::three_disks()
        }
    }

    /// Syncing as a separate action after submission, with power losses in between.
    /// Example: `explore(&Limits::power_losses(), 10, 1_000_000, 4)`.
    pub fn power_losses() -> Limits {
        let write = |value| Operation::Write { key: "steward/a", value };
        Limits {
            operations: vec![write(1), Operation::Read { key: "steward/a" }],
            crashes: 2,
            separate_sync: true,
            ..Limits::three_disks()
        }
    }

    /// Many operations and changes of the voter set, with lost messages as the only fault.
    /// Example: `walk(&Limits::many_sets(), 1, 400)`.
    pub fn many_sets() -> Limits {
        Limits {
            crashes: 0,
            wipes: 0,
            repeats: 0,
            separate_sync: false,
            late_responses: 20,
            ..Limits::everything()
        }
    }

    /// Every kind of fault, with high limits, for walks. Example: `walk(&Limits::everything(), 1, 400)`.
    pub fn everything() -> Limits {
        let keys = ["steward/a", "steward/b", "configuration"];
        let mut operations = Vec::new();
        for value in 1..=20 {
            let key = keys[value as usize % 2];
            operations.extend([
                Operation::Write { key, value },
                Operation::Read { key: keys[value as usize % 3] },
                Operation::Change { id: value },
            ]);
        }
        Limits {
            machines: 6,
            bootstrap: 3,
            owners: 6,
            operations,
            crashes: 12,
            wipes: 4,
            repeats: 40,
            late_responses: u32::MAX,
            resends: 80,
            give_ups: 40,
            changes: 12,
            set_reads: 40,
            separate_sync: true,
            fault: None,
        }
    }
}
