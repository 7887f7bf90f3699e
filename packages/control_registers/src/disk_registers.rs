use crate::{DISKS_KEY, VoterSet};
use colleague_messages::{
    Bytes, Epoch, List, PromiseEntry, PromisedEntry, StoreEntry, StoredEntry, Text, value_digest,
};
use deku::prelude::*;
use std::collections::BTreeMap;

/// A line of the record file: kind 0 a promise, kind 1 a stored value, which is a promise too.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
struct DiskRecord {
    kind: u8,
    key: Text,
    epoch: Epoch,
    version: u64,
    value: Bytes,
}

#[derive(Clone, Debug)]
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

/// The answer to a store by digest: this disk does not hold that value.
pub(crate) const LACKS: u8 = 2;

/// Answers together with the records that must be synced before the answers may leave.
pub type Answered<T> = (Vec<T>, Vec<Vec<u8>>);

/// One disk's registers. Example: `DiskRegisters::restore(&[])` is a blank disk without a vote.
#[derive(Clone, Debug, Default)]
pub struct DiskRegisters {
    registers: BTreeMap<String, DiskRegister>,
    set: VoterSet,
}

impl DiskRegisters {
    /// Folds the record file's records; `None` when one of them is not a register record.
    /// Example: `DiskRegisters::restore(&records).unwrap().set().generation`.
    pub fn restore(records: &[Vec<u8>]) -> Option<DiskRegisters> {
        let mut restored_registers = DiskRegisters::default();
        for record in records {
            let (_, disk_record) = DiskRecord::from_bytes((record, 0)).ok()?;
            restored_registers.apply(disk_record);
        }
        Some(restored_registers)
    }

    fn apply(&mut self, disk_record: DiskRecord) {
        let register = self.registers.entry(disk_record.key.0.clone()).or_default();
        if disk_record.epoch.rank() > register.promised.rank() {
            register.promised = disk_record.epoch.clone();
        }
        if disk_record.kind == 0 {
            return;
        }
        register.epoch = disk_record.epoch;
        register.version = disk_record.version;
        register.value = disk_record.value;
        // Of two sets of one generation the later one stands: the other was never on a majority.
        if disk_record.key.0 == DISKS_KEY
            && let Some(stored_set) = VoterSet::decode(&register.value)
            && stored_set.generation >= self.set.generation
        {
            self.set = stored_set;
        }
    }

    /// The voter set this disk knows. Example: a blank disk's `set().generation == 0`.
    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    /// Every key this disk knows. Example: `registers.keys().contains(&"configuration".to_owned())`.
    pub fn keys(&self) -> Vec<String> {
        self.registers.keys().cloned().collect()
    }

    /// The stored epoch, version and value of a key. Example: `registers.stored("disks")`.
    pub fn stored(&self, key: &str) -> Option<(&Epoch, u64, &Bytes)> {
        let register = self.registers.get(key)?;
        Some((&register.epoch, register.version, &register.value))
    }

    /// Accepts the founding set if this disk is blank or already took the very same set.
    ///
    /// A disk takes one founding set in its life, so two halves can never found two states.
    /// Example: `blank.found(&VoterSet::founding(&[1, 2, 3])).is_some()`.
    pub fn found(&mut self, founding_set: &VoterSet) -> Option<Vec<Vec<u8>>> {
        if self.set == *founding_set {
            return Some(Vec::new());
        }
        if self.set.generation != 0 || founding_set.generation != 1 {
            return None;
        }
        let disk_record = DiskRecord {
            kind: 1,
            key: DISKS_KEY.into(),
            epoch: Epoch { counter: 1, owner: 0 },
            version: 1,
            value: founding_set.encode(),
        };
        let record_bytes = disk_record.to_bytes().unwrap_or_default();
        self.apply(disk_record);
        Some(vec![record_bytes])
    }

    /// Whether a sender may use a key under the set whose mark it tells: not under an older set, and not
    /// under another one of the same generation, but that the key of the set itself is how such two come
    /// to be one.
    fn admits(&self, sender_set: u64, key: &str) -> bool {
        let sender_generation = sender_set >> 32;
        sender_generation > self.set.generation
            || sender_set == self.set.mark()
            || (key == DISKS_KEY && sender_generation == self.set.generation)
    }

    /// Promises each key to the epoch unless a higher one stands or the sender's set is outdated.
    /// Example: `registers.promise(set.mark(), &entries)`.
    pub fn promise(&mut self, sender_set: u64, entries: &List<PromiseEntry>) -> Answered<PromisedEntry> {
        let mut answers = Vec::new();
        let mut records = Vec::new();
        for entry in &entries.0 {
            let standing = self.registers.get(&entry.key.0).cloned().unwrap_or_default();
            let granted =
                self.admits(sender_set, &entry.key.0) && entry.epoch.rank() >= standing.promised.rank();
            if granted && entry.epoch.rank() > standing.promised.rank() {
                let disk_record = DiskRecord {
                    kind: 0,
                    key: entry.key.clone(),
                    epoch: entry.epoch.clone(),
                    version: 0,
                    value: Bytes::default(),
                };
                records.push(disk_record.to_bytes().unwrap_or_default());
                self.apply(disk_record);
            }
            answers.push(PromisedEntry {
                key: entry.key.clone(),
                granted: u8::from(granted),
                promised: if granted { entry.epoch.clone() } else { standing.promised },
                stored_epoch: standing.epoch,
                version: standing.version,
                value: if granted { standing.value } else { Bytes::default() },
            });
        }
        (answers, records)
    }

    /// Stores each value unless a higher epoch was promised or the sender's set is outdated.
    /// Example: `registers.store(set.mark(), &entries)`.
    pub fn store(&mut self, sender_set: u64, entries: &List<StoreEntry>) -> Answered<StoredEntry> {
        let mut answers = Vec::new();
        let mut records = Vec::new();
        for entry in &entries.0 {
            let promised =
                self.registers.get(&entry.key.0).map_or(Epoch::none(), |standing| standing.promised.clone());
            let is_admitted = self.admits(sender_set, &entry.key.0) && entry.epoch.rank() >= promised.rank();
            let value = if is_admitted { self.meant_value(entry) } else { None };
            let granted = match (is_admitted, &value) {
                (true, Some(_)) => 1,
                (true, None) => LACKS,
                (false, _) => 0,
            };
            if let Some(value) = value.filter(|_| !self.already_stored(entry)) {
                let disk_record = DiskRecord {
                    kind: 1,
                    key: entry.key.clone(),
                    epoch: entry.epoch.clone(),
                    version: entry.version,
                    value,
                };
                records.push(disk_record.to_bytes().unwrap_or_default());
                self.apply(disk_record);
            }
            answers.push(StoredEntry {
                key: entry.key.clone(),
                epoch: entry.epoch.clone(),
                flight: entry.flight,
                version: entry.version,
                granted,
                promised,
            });
        }
        (answers, records)
    }

    /// The value that an entry stores: its own, or the one this disk holds where the entry tells its digest.
    fn meant_value(&self, entry: &StoreEntry) -> Option<Bytes> {
        if entry.digest == 0 || self.already_stored(entry) {
            return Some(entry.value.clone());
        }
        let standing = self.registers.get(&entry.key.0)?;
        let is_held = standing.version == entry.version && value_digest(&standing.value.0) == entry.digest;
        is_held.then(|| standing.value.clone())
    }

    /// A late repeat of an older store under the same epoch must not undo a newer one.
    fn already_stored(&self, entry: &StoreEntry) -> bool {
        self.registers
            .get(&entry.key.0)
            .is_some_and(|standing| standing.epoch == entry.epoch && standing.version >= entry.version)
    }

    /// What a rewritten file holds: one value and one promise for each key.
    /// Example: `file.rewrite(&registers.live_records())`.
    pub fn live_records(&self) -> Vec<Vec<u8>> {
        let mut records = Vec::new();
        for (key, register) in &self.registers {
            let stored = DiskRecord {
                kind: 1,
                key: key.as_str().into(),
                epoch: register.epoch.clone(),
                version: register.version,
                value: register.value.clone(),
            };
            let promise = DiskRecord {
                kind: 0,
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
