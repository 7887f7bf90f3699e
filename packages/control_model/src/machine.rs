//! The machines of the model and the messages between them.

use crate::history::Mark;
use control_registers::{ChosenSet, DiskRegisters, KeyOwner, SetCopy};
use monotonic_clock::Micros;
use peer_messages::{Bytes, Epoch, Message};
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// The receiver of a message: a disk, whichever process has it, or one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Receiver {
    Disk(u64),
    Process(u64),
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Packet {
    pub(crate) to: Receiver,
    /// The process that gets the response.
    pub(crate) from: u64,
    pub(crate) message: Message,
    /// Computed once; states are compared by it.
    pub(crate) fingerprint: u64,
}

impl Packet {
    pub(crate) fn new(to: Receiver, from: u64, message: Message) -> Packet {
        let mut hasher = DefaultHasher::new();
        (to, from, &message).hash(&mut hasher);
        Packet { to, from, message, fingerprint: hasher.finish() }
    }
}

impl Hash for Packet {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint.hash(hasher);
    }
}

/// A voter set that a disk accepted and has not synced yet: its epoch and bytes.
pub(crate) type StoredSet = ((u64, u64), Bytes);

/// Records that are not synced, and the response that waits for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Unsynced {
    pub(crate) records: Vec<Vec<u8>>,
    pub(crate) sets: Vec<StoredSet>,
    pub(crate) response: Option<Packet>,
}

/// The purpose of a request to this machine's owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    Write,
    Read,
    /// A change of the configuration: its id, the generation it would get, and the retries left.
    Change {
        id: u64,
        generation: u64,
        tries: u8,
    },
    /// A read for the copy that another process, or this one, performs under the joint set of this generation.
    Copy {
        generation: u64,
        copier: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequest {
    pub(crate) key: String,
    pub(crate) purpose: Purpose,
    pub(crate) value: Bytes,
    pub(crate) begun: Mark,
}

/// A machine: a disk, and a process that may own keys.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Machine {
    pub(crate) disk: u64,
    /// What survives a power loss.
    pub(crate) durable: DiskRegisters,
    /// The state that the process uses.
    pub(crate) registers: DiskRegisters,
    pub(crate) unsynced: Vec<Unsynced>,
    pub(crate) process: u64,
    pub(crate) owner: KeyOwner,
    pub(crate) set: ChosenSet,
    pub(crate) copy: Option<SetCopy>,
    pub(crate) clock: Micros,
    pub(crate) requests: BTreeMap<u64, PendingRequest>,
    pub(crate) next_request_id: u64,
    /// The epoch under which the owner last stored a key.
    pub(crate) epochs: BTreeMap<String, Epoch>,
    /// Versions and values from responses.
    pub(crate) known: BTreeMap<String, (u64, Bytes)>,
}

impl Machine {
    pub(crate) fn new(disk: u64, process: u64, durable: DiskRegisters) -> Machine {
        let set = durable.chosen().clone();
        let mut owner = KeyOwner::new(process);
        owner.adopt_set(&set);
        Machine {
            disk,
            registers: durable.clone(),
            durable,
            unsynced: Vec::new(),
            process,
            owner,
            set,
            copy: None,
            clock: Micros(0),
            requests: BTreeMap::new(),
            next_request_id: 1,
            epochs: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// Restarts the process with what the disk had synced.
    pub(crate) fn restart(&mut self, process: u64) {
        *self = Machine::new(self.disk, process, self.durable.clone());
    }

    pub(crate) fn may_own(&self) -> bool {
        self.set.all().contains(&self.disk)
    }

    /// Syncs all waiting records by restoring the disk from its records; returns the sets and responses that waited
    /// for them.
    pub(crate) fn sync(&mut self) -> (Vec<StoredSet>, Vec<Packet>) {
        let (mut records, mut sets, mut responses) = (Vec::new(), Vec::new(), Vec::new());
        for unsynced in self.unsynced.drain(..) {
            records.extend(unsynced.records);
            sets.extend(unsynced.sets);
            responses.extend(unsynced.response);
        }
        if records.is_empty() {
            return (sets, responses);
        }
        records.splice(0..0, self.durable.live_records());
        self.durable = DiskRegisters::restore(&records).expect("records of a disk's own");
        (sets, responses)
    }
}
