//! The record file as the simulator sees it. The real one is `record_file`; what it recovers after a loss of
//! power, and after the end of a process, is tested there, write by write.

use control_registers::DiskRegisters;
use fastrand::Rng;

/// Records that were written in one go.
#[derive(Clone, Debug)]
struct Group {
    token: u64,
    records: Vec<Vec<u8>>,
    /// They replace the file.
    is_rewrite: bool,
}

/// A simulated disk: what is synced lasts; what is written outlives the process, and of that a beginning
/// outlives a loss of power. Example: `SimDisk::blank(7).id == 7`.
#[derive(Clone, Debug)]
pub struct SimDisk {
    /// The id drawn at format.
    pub id: u64,
    durable: Vec<Vec<u8>>,
    /// Written by processes that ended, and never synced.
    left_behind: Vec<Group>,
    /// Written by this process, on their way to be synced.
    waiting: Vec<Group>,
    is_formatted: bool,
    /// Synced records cannot be read: a process that starts on it goes without it.
    pub is_damaged: bool,
    /// A full disk fails every sync.
    pub is_full: bool,
    /// A stalled disk syncs nothing before this simulated time.
    pub stalled_until: u64,
}

impl SimDisk {
    /// An empty disk. Example: `SimDisk::blank(7).id == 7`.
    pub fn blank(id: u64) -> SimDisk {
        SimDisk {
            id,
            durable: Vec::new(),
            left_behind: Vec::new(),
            waiting: Vec::new(),
            is_formatted: false,
            is_damaged: false,
            is_full: false,
            stalled_until: 0,
        }
    }

    /// Takes a group to be synced. Example: `disk.write(1, records, false)`.
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
            let left_behind = std::mem::take(&mut self.left_behind);
            apply(&mut self.durable, left_behind.into_iter().chain(synced));
        }
        true
    }

    /// The process ends: files stand as they are. Example: `disk.end_process()`.
    pub fn end_process(&mut self) {
        // A full disk took none of them.
        let written = std::mem::take(&mut self.waiting).into_iter().filter(|_| !self.is_full);
        self.left_behind.extend(written);
    }

    /// The power goes. Each write that was not synced is there or not by itself, and the reader stops at the
    /// first that is not: a beginning of them is found. A rewrite is synced before it takes the file's
    /// name, so it counts as one write. Example: `disk.lose_power(&mut rng)`.
    pub fn lose_power(&mut self, rng: &mut Rng) {
        self.end_process();
        let unsynced = std::mem::take(&mut self.left_behind);
        let found = unsynced.into_iter().take_while(|_| rng.bool());
        apply(&mut self.durable, found);
    }

    /// What a process finds that starts on it, and whether that may not be synced; a blank disk is formatted.
    /// Example: `let (registers, is_unsynced) = disk.open();`.
    pub fn open(&mut self) -> (DiskRegisters, bool) {
        let is_unsynced = std::mem::replace(&mut self.is_formatted, true);
        let mut readable = self.durable.clone();
        apply(&mut readable, self.left_behind.iter().cloned());
        (DiskRegisters::restore(&readable).unwrap_or_default(), is_unsynced)
    }

    /// Bytes of the synced records. Example: `SimDisk::blank(7).durable_bytes() == 0`.
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
