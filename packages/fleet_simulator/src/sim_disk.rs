use control_registers::DiskRegisters;

/// A simulated disk: what is synced lasts, what is not is lost with the power.
/// Example: `SimDisk::blank(7).registers().chosen().generation == 0`.
#[derive(Clone, Debug)]
pub struct SimDisk {
    /// The id drawn at format.
    pub id: u64,
    durable: Vec<Vec<u8>>,
    /// Groups on their way: token, records, whether they replace the file.
    waiting: Vec<(u64, Vec<Vec<u8>>, bool)>,
    /// A full disk fails every sync.
    pub is_full: bool,
    /// A stalled disk syncs nothing before this simulated time.
    pub stalled_until: u64,
}

impl SimDisk {
    /// A formatted, empty disk. Example: `SimDisk::blank(7).id == 7`.
    pub fn blank(id: u64) -> SimDisk {
        SimDisk { id, durable: Vec::new(), waiting: Vec::new(), is_full: false, stalled_until: 0 }
    }

    /// Takes a group to be synced. Example: `disk.write(1, records, false)`.
    pub fn write(&mut self, token: u64, records: Vec<Vec<u8>>, is_rewrite: bool) {
        self.waiting.push((token, records, is_rewrite));
    }

    /// Syncs all groups up to a token; false if the disk is full. Example: `disk.sync(1)`.
    pub fn sync(&mut self, token: u64) -> bool {
        if self.is_full {
            return false;
        }
        let still_waiting = self.waiting.iter().position(|(waiting_token, ..)| *waiting_token > token);
        let synced_count = still_waiting.unwrap_or(self.waiting.len());
        for (_, records, is_rewrite) in self.waiting.drain(..synced_count) {
            if is_rewrite {
                self.durable.clear();
            }
            self.durable.extend(records);
        }
        true
    }

    /// The power goes: whatever was not synced is gone. Example: `disk.lose_power()`.
    pub fn lose_power(&mut self) {
        self.waiting.clear();
    }

    /// What a restarted node finds. Example: `Node::new(settings, Some((disk.id, disk.registers())), now)`.
    pub fn registers(&self) -> DiskRegisters {
        DiskRegisters::restore(&self.durable).unwrap_or_default()
    }

    /// Bytes of the synced records. Example: `SimDisk::blank(7).durable_bytes() == 0`.
    pub fn durable_bytes(&self) -> usize {
        self.durable.iter().map(Vec::len).sum()
    }
}
