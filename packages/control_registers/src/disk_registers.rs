use crate::{CONFIGURATION_KEY, ChosenSet, DISKS_KEY, ProposedSet, VoterSet};
use deku::prelude::*;
use peer_messages::{
    Bytes, Epoch, List, PromiseEntry, PromisedEntry, StoreEntry, StoredEntry, Text, value_digest,
};
use std::collections::BTreeMap;

const KIND_PROMISE: u8 = 0;
/// A stored value, which also counts as a promise.
const KIND_STORED: u8 = 1;
/// The newest chosen voter set that this disk has learned.
const KIND_CHOSEN: u8 = 2;

/// An entry of the record file.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
struct DiskRecord {
    kind: u8,
    key: Text,
    epoch: Epoch,
    version: u64,
    value: Bytes,
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct DiskRegister {
    promised: Epoch,
    epoch: Epoch,
    version: u64,
    value: Bytes,
}

impl Default for DiskRegister {
    fn default() -> DiskRegister {
        DiskRegister { promised: Epoch::none(), epoch: Epoch::none(), version: 0, value: Bytes::default() }
    }
}

/// The response to a store by digest if this disk does not hold that value.
pub(crate) const VALUE_MISSING: u8 = 2;

/// Responses together with the records that must be synced before the responses are sent.
pub type ResponsesAfterSync<T> = (Vec<T>, Vec<Vec<u8>>);

/// The registers of one disk. Example: `DiskRegisters::restore(&[])` is a blank disk without a vote.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct DiskRegisters {
    registers: BTreeMap<String, DiskRegister>,
    chosen: ChosenSet,
    /// The voter set in the register of [`DISKS_KEY`], chosen or not.
    stored_set: VoterSet,
}

impl DiskRegisters {
    /// Restores the registers from the records of a file; `None` if one of them is not a register record.
    /// Example: `DiskRegisters::restore(&records).unwrap().chosen().generation`.
    pub fn restore(records: &[Vec<u8>]) -> Option<DiskRegisters> {
        let mut restored_registers = DiskRegisters::default();
        for record in records {
            let (_, disk_record) = DiskRecord::from_bytes((record, 0)).ok()?;
            restored_registers.apply(disk_record);
        }
        // Files of the former format contain no chosen set; there the stored set was in force. In the present
        // format no disk stores anything before its first chosen set.
        if restored_registers.chosen.generation == 0 {
            restored_registers.chosen = ChosenSet::stored(restored_registers.stored_set.clone());
        }
        Some(restored_registers)
    }

    fn apply(&mut self, disk_record: DiskRecord) {
        if disk_record.kind == KIND_CHOSEN {
            let received_set = ChosenSet::received(&disk_record.value).unwrap_or_default();
            if received_set.generation > self.chosen.generation {
                self.chosen = received_set;
            }
            return;
        }
        let register = self.registers.entry(disk_record.key.0.clone()).or_default();
        if disk_record.epoch.rank() > register.promised.rank() {
            register.promised = disk_record.epoch.clone();
        }
        if disk_record.kind == KIND_PROMISE {
            return;
        }
        register.epoch = disk_record.epoch;
        register.version = disk_record.version;
        register.value = disk_record.value;
        if disk_record.key.0 == DISKS_KEY {
            self.stored_set = VoterSet::decode(&register.value).unwrap_or_default();
        }
    }

    /// The newest chosen set that this disk has learned. Example: a blank disk's `chosen().generation == 0`.
    pub fn chosen(&self) -> &ChosenSet {
        &self.chosen
    }

    /// The stored set, if it is newer than the newest chosen set that this disk knows.
    /// Example: a disk that stored generation 2 under generation 1 has `proposed().is_some()`.
    pub fn proposed(&self) -> Option<ProposedSet> {
        let is_newer = self.stored_set.generation > self.chosen.generation;
        is_newer.then(|| ProposedSet::new(self.stored_set.clone()))
    }

    /// Adopts a chosen set that is newer than the known one and returns the record to write. Before its first
    /// chosen set a disk promises and stores nothing. Example: `registers.learn_chosen(&set)`.
    pub fn learn_chosen(&mut self, chosen_set: &ChosenSet) -> Vec<Vec<u8>> {
        if chosen_set.generation <= self.chosen.generation {
            return Vec::new();
        }
        self.chosen = chosen_set.clone();
        vec![self.chosen_record()]
    }

    fn chosen_record(&self) -> Vec<u8> {
        let disk_record = DiskRecord {
            kind: KIND_CHOSEN,
            key: DISKS_KEY.into(),
            epoch: Epoch::none(),
            version: self.chosen.generation,
            value: self.chosen.encode(),
        };
        disk_record.to_bytes().unwrap_or_default()
    }

    /// Every key in this disk's registers. Example: `registers.keys().contains(&"configuration".to_owned())`.
    pub fn keys(&self) -> Vec<String> {
        self.registers.keys().cloned().collect()
    }

    /// The stored epoch, version and value of a key. Example: `registers.stored("disks")`.
    pub fn stored(&self, key: &str) -> Option<(&Epoch, u64, &Bytes)> {
        let register = self.registers.get(key)?;
        Some((&register.epoch, register.version, &register.value))
    }

    /// Accepts the bootstrap set if this disk is blank or has already accepted the same set.
    ///
    /// A disk accepts one bootstrap set in its lifetime, so two partitions can never bootstrap two states.
    /// Example: `blank.bootstrap(&ChosenSet::bootstrap(&[1, 2, 3])).is_some()`.
    pub fn bootstrap(&mut self, bootstrap_set: &ChosenSet) -> Option<Vec<Vec<u8>>> {
        if self.chosen == *bootstrap_set {
            return Some(Vec::new());
        }
        if self.chosen.generation != 0 || bootstrap_set.generation != 1 {
            return None;
        }
        Some(self.learn_chosen(bootstrap_set))
    }

    /// The oldest generation under which a sender may use a key. For ordinary keys a proposed set counts
    /// like a chosen one: any quorum of the previous set includes a disk that stored it. The key of the voter
    /// set is also open to the generation before the stored set, so that any owner can complete the proposal,
    /// but to no older one: a set whose successor is under way was chosen.
    fn fence(&self, key: &str) -> u64 {
        let stored_generation = self.stored_set.generation;
        let stored_fence =
            if key == DISKS_KEY { stored_generation.saturating_sub(1) } else { stored_generation };
        stored_fence.max(self.chosen.generation)
    }

    /// Whether a sender may use a key under the set of this digest.
    fn admits(&self, sender_set: u64, key: &str) -> bool {
        let sender_generation = sender_set >> 32;
        if self.chosen.generation == 0 || sender_generation < self.fence(key) {
            return false;
        }
        sender_generation != self.chosen.generation || sender_set == self.chosen.digest()
    }

    /// Every key in this disk's registers, for a sender under a joint set; `None` while this disk still
    /// admits owners under an older set, whose later stores the list would miss, or if the sender's set is
    /// outdated.
    /// Example: `registers.list_keys(joint_set.digest())`.
    pub fn list_keys(&self, sender_set: u64) -> Option<Vec<String>> {
        let key = CONFIGURATION_KEY;
        let is_exact = self.admits(sender_set, key) && self.fence(key) == sender_set >> 32;
        is_exact.then(|| self.keys())
    }

    /// Promises each key to the epoch unless a higher one was promised or the sender's set is outdated.
    /// Example: `registers.promise(set.digest(), &entries)`.
    pub fn promise(
        &mut self,
        sender_set: u64,
        entries: &List<PromiseEntry>,
    ) -> ResponsesAfterSync<PromisedEntry> {
        let mut responses = Vec::new();
        let mut records = Vec::new();
        for entry in &entries.0 {
            let current = self.registers.get(&entry.key.0).cloned().unwrap_or_default();
            let granted =
                self.admits(sender_set, &entry.key.0) && entry.epoch.rank() >= current.promised.rank();
            if granted && entry.epoch.rank() > current.promised.rank() {
                let disk_record = DiskRecord {
                    kind: KIND_PROMISE,
                    key: entry.key.clone(),
                    epoch: entry.epoch.clone(),
                    version: 0,
                    value: Bytes::default(),
                };
                records.push(disk_record.to_bytes().unwrap_or_default());
                self.apply(disk_record);
            }
            responses.push(PromisedEntry {
                key: entry.key.clone(),
                granted: u8::from(granted),
                promised: if granted { entry.epoch.clone() } else { current.promised },
                stored_epoch: current.epoch,
                version: current.version,
                value: if granted { current.value } else { Bytes::default() },
            });
        }
        (responses, records)
    }

    /// Stores each value unless a higher epoch was promised or the sender's set is outdated.
    /// Example: `registers.store(set.digest(), &entries)`.
    pub fn store(&mut self, sender_set: u64, entries: &List<StoreEntry>) -> ResponsesAfterSync<StoredEntry> {
        let mut responses = Vec::new();
        let mut records = Vec::new();
        for entry in &entries.0 {
            let promised =
                self.registers.get(&entry.key.0).map_or(Epoch::none(), |current| current.promised.clone());
            let is_admitted = self.admits(sender_set, &entry.key.0) && entry.epoch.rank() >= promised.rank();
            let value = if is_admitted { self.resolve_value(entry) } else { None };
            let granted = match (is_admitted, &value) {
                (true, Some(_)) => 1,
                (true, None) => VALUE_MISSING,
                (false, _) => 0,
            };
            if let Some(value) = value.filter(|_| !self.already_stored(entry)) {
                let disk_record = DiskRecord {
                    kind: KIND_STORED,
                    key: entry.key.clone(),
                    epoch: entry.epoch.clone(),
                    version: entry.version,
                    value,
                };
                records.push(disk_record.to_bytes().unwrap_or_default());
                self.apply(disk_record);
            }
            responses.push(StoredEntry {
                key: entry.key.clone(),
                epoch: entry.epoch.clone(),
                attempt: entry.attempt,
                version: entry.version,
                granted,
                promised,
            });
        }
        (responses, records)
    }

    /// The value that an entry stores: its own or, if the entry carries only a digest, the value of that
    /// digest on this disk.
    fn resolve_value(&self, entry: &StoreEntry) -> Option<Bytes> {
        if entry.digest == 0 || self.already_stored(entry) {
            return Some(entry.value.clone());
        }
        let current = self.registers.get(&entry.key.0)?;
        let is_held = current.version == entry.version && value_digest(&current.value.0) == entry.digest;
        is_held.then(|| current.value.clone())
    }

    /// Whether the entry repeats a store that is already applied: a delayed repeat of an older store under
    /// the same epoch must not undo a newer one.
    fn already_stored(&self, entry: &StoreEntry) -> bool {
        self.registers
            .get(&entry.key.0)
            .is_some_and(|current| current.epoch == entry.epoch && current.version >= entry.version)
    }

    /// The records of a compacted file: the chosen set, and one value and one promise for each key.
    /// Example: `file.rewrite(&registers.live_records())`.
    pub fn live_records(&self) -> Vec<Vec<u8>> {
        let mut records = Vec::new();
        if self.chosen.generation > 0 {
            records.push(self.chosen_record());
        }
        for (key, register) in &self.registers {
            let stored = DiskRecord {
                kind: KIND_STORED,
                key: key.as_str().into(),
                epoch: register.epoch.clone(),
                version: register.version,
                value: register.value.clone(),
            };
            let promise = DiskRecord {
                kind: KIND_PROMISE,
                epoch: register.promised.clone(),
                version: 0,
                value: Bytes::default(),
                ..stored.clone()
            };
            records.extend([stored, promise].iter().filter_map(|record| record.to_bytes().ok()));
        }
        records
    }
}
