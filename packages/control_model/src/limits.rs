use crate::PlantedFault;

/// What a client asks for. Each operation of a [`Limits`] begins once at the most, at any machine that may
/// own keys. Example: `Operation::Write { key: "a", value: 1 }`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// A conditional write on top of the version that the machine knows.
    Write { key: &'static str, value: u64 },
    /// A confirmed read.
    Read { key: &'static str },
    /// A change of the configuration, applied by `StoredConfiguration::apply` and tried again under the
    /// same id where another version stands.
    Change { id: u64 },
}

/// What may happen in an exploration, and how often. Example: `Limits::three_disks()`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Machines, each with one disk; the first `bootstrap` ones vote at the start.
    pub machines: usize,
    /// Voters of the founding set.
    pub bootstrap: usize,
    /// Machines at which operations begin.
    pub owners: usize,
    /// What clients ask for.
    pub operations: Vec<Operation>,
    /// Losses of power; a machine is back at once with what its disk had synced.
    pub crashes: u32,
    /// Wipes of disks, never of more than the newest chosen set may lose.
    pub wipes: u32,
    /// Messages that arrive and stay on their way to arrive again.
    pub repeats: u32,
    /// Answers that do not arrive at once but in any order later.
    pub late_responses: u32,
    /// Owners that send again what was not answered.
    pub resends: u32,
    /// Owners that give up what was not answered.
    pub give_ups: u32,
    /// Changes of the voter set that are begun.
    pub changes: u32,
    /// Confirmed reads of the voter set for a proposal that a disk holds.
    pub set_reads: u32,
    /// Whether syncing is an action of its own. Without it, records are synced as they are handed over,
    /// which covers a loss of power just as well: what was not synced never arrived.
    pub separate_sync: bool,
    /// The rule that is broken, if any.
    pub fault: Option<PlantedFault>,
}

impl Limits {
    /// Three founding disks, and no fault, operation or change. Example: `Limits { crashes: 1, ..Limits::three_disks() }`.
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

    /// Two owners write one key on top of the same version while a third party reads it.
    /// Example: `explore(&Limits::racing_writes(), 12, 4)`.
    pub fn racing_writes() -> Limits {
        let write = |value| Operation::Write { key: "steward/a", value };
        Limits {
            operations: vec![write(1), write(2), Operation::Read { key: "steward/a" }],
            late_responses: 1,
            ..Limits::three_disks()
        }
    }

    /// Two operators change the configuration at two owners.
    /// Example: `explore(&Limits::racing_changes(), 12, 4)`.
    pub fn racing_changes() -> Limits {
        Limits {
            operations: vec![Operation::Change { id: 1 }, Operation::Change { id: 2 }],
            repeats: 1,
            ..Limits::three_disks()
        }
    }

    /// Two owners begin changes of the voter set, with a spare disk, beside a write.
    /// Example: `explore(&Limits::racing_sets(), 12, 4)`.
    pub fn racing_sets() -> Limits {
        Limits {
            machines: 4,
            operations: vec![Operation::Write { key: "steward/a", value: 1 }],
            changes: 2,
            set_reads: 1,
            ..Limits::three_disks()
        }
    }

    /// Syncing apart from handing over, with losses of power in between.
    /// Example: `explore(&Limits::power_losses(), 10, 4)`.
    pub fn power_losses() -> Limits {
        let write = |value| Operation::Write { key: "steward/a", value };
        Limits {
            operations: vec![write(1), Operation::Read { key: "steward/a" }],
            crashes: 2,
            separate_sync: true,
            ..Limits::three_disks()
        }
    }

    /// Many operations and changes of the voter set without any failure but lost messages.
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

    /// All that can go wrong, in plenty: for walks. Example: `walk(&Limits::everything(), 1, 400)`.
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
