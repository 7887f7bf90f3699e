//! Simulated record file of a node. Recovery of the real one, `record_file`, after power loss and after the end
//! of a process is tested in that package, write by write.

use control_registers::DiskRegisters;
use fastrand::Rng;

/// Records of one write.
#[derive(Clone, Debug)]
struct Group {
    token: u64,
    records: Vec<Vec<u8>>,
    /// Whether they replace the file's contents.
    is_rewrite: bool,
}

/// A simulated disk: synced records last; written records survive the end of the process, and a prefix of them
/// survives a power loss. Example: `SimDisk::blank(7).id == 7`.
#[derive(Clone, Debug)]
pub struct SimDisk {
    /// The random id chosen when the disk was formatted.
    pub id: u64,
    durable: Vec<Vec<u8>>,
    /// Written by processes that ended, and never synced.
    unsynced_before: Vec<Group>,
    /// Written by the current process and not synced yet.
    waiting: Vec<Group>,
    is_formatted: bool,
    /// Synced records are unreadable: a process that starts runs without this disk.
    pub is_damaged: bool,
    /// Whether the disk is full, in which case every sync fails.
    pub is_full: bool,
    /// No sync completes before this simulated time.
    pub stalled_until: u64,
}

impl SimDisk {
    /// An empty disk. Example: `SimDisk::blank(7).id == 7`.
    pub fn blank(id: u64) -> SimDisk {
        SimDisk {
            id,
            durable: Vec::new(),
            unsynced_before: Vec::new(),
            waiting: Vec::new(),
            is_formatted: false,
            is_damaged: false,
            is_full: false,
            stalled_until: 0,
        }
    }

    /// Queues a group of records for sync. Example: `disk.write(1, records, false)`.
    pub fn write(&mut self, token: u64, records: Vec<Vec<u8>>, is_rewrite: bool) {
        self.waiting.push(Group { token, records, is_rewrite });
    }

    /// Syncs all groups up to a token; false if the disk is full. Example: `disk.sync(1)`.
    pub fn sync(&mut self, token: u64) -> bool {
        if self.is_full {
            return false;
        }
        let still_waiting = self.waiting.iter().position(|group| group.token > token);
        let synced: Vec<Group> = self.waiting.drain(..still_waiting.unwrap_or(self.waiting.len())).collect();
        if !synced.is_empty() {
            let unsynced_before = std::mem::take(&mut self.unsynced_before);
            apply(&mut self.durable, unsynced_before.into_iter().chain(synced));
        }
        true
    }

    /// Ends the process; written records stay in the file. Example: `disk.end_process()`.
    pub fn end_process(&mut self) {
        // A full disk has written none of them.
        let written = std::mem::take(&mut self.waiting).into_iter().filter(|_| !self.is_full);
        self.unsynced_before.extend(written);
    }

    /// Loses power. Each unsynced write may or may not be on the disk, and the reader stops at the first that
    /// is missing, so a prefix of them is kept. A rewrite is synced before it takes the file's name, so it
    /// counts as one write. Example: `disk.lose_power(&mut rng)`.
    pub fn lose_power(&mut self, rng: &mut Rng) {
        self.end_process();
        let unsynced = std::mem::take(&mut self.unsynced_before);
        let found = unsynced.into_iter().take_while(|_| rng.bool());
        apply(&mut self.durable, found);
    }

    /// The records that a starting process reads, and whether some may be unsynced; formats a blank disk.
    /// Example: `let (registers, is_unsynced) = disk.open();`.
    pub fn open(&mut self) -> (DiskRegisters, bool) {
        let is_unsynced = std::mem::replace(&mut self.is_formatted, true);
        let mut readable = self.durable.clone();
        apply(&mut readable, self.unsynced_before.iter().cloned());
        (DiskRegisters::restore(&readable).unwrap_or_default(), is_unsynced)
    }

    /// Size of the synced records. Example: `SimDisk::blank(7).durable_bytes() == 0`.
    pub fn durable_bytes(&self) -> usize {
        self.durable.iter().map(Vec::len).sum()
    }
}

fn apply(records: &mut Vec<Vec<u8>>, groups: impl Iterator<Item = Group>) {
    for group in groups {
        if group.is_rewrite {
            records.clear();
        }
        records.extend(group.records);
    }
}

#[cfg(test)]
mod tests;
