use std::collections::BTreeMap;

/// What was counted in a window, for one node or a group of them.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    /// Messages sent by name: count and bytes of their frames.
    pub sent: BTreeMap<&'static str, (u64, u64)>,
    /// Time by what it was spent on, in nanoseconds of the wall.
    pub spent: BTreeMap<&'static str, u64>,
    /// Bytes given to the disk, its groups, and how many of these rewrote the whole file.
    pub disk: (u64, u64, u64),
}

impl Sums {
    /// Adds another node's sums. Example: `all.add(&one)`.
    pub fn add(&mut self, other: &Sums) {
        for (name, (count, bytes)) in &other.sent {
            let sum = self.sent.entry(name).or_default();
            *sum = (sum.0 + count, sum.1 + bytes);
        }
        for (name, nanos) in &other.spent {
            *self.spent.entry(name).or_default() += nanos;
        }
        self.disk = (self.disk.0 + other.disk.0, self.disk.1 + other.disk.1, self.disk.2 + other.disk.2);
    }

    /// Messages and bytes of all names. Example: `let (messages, bytes) = sums.sent_total();`.
    pub fn sent_total(&self) -> (u64, u64) {
        self.sent.values().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Nanoseconds of everything. Example: `sums.spent_total()`.
    pub fn spent_total(&self) -> u64 {
        self.spent.values().sum()
    }
}

/// This process's resident bytes, zero where the system does not tell. Example: `resident_bytes() > 0`.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<u64>().ok()).unwrap_or(0) * 1_024
}

/// This thread's processor time in nanoseconds, zero where the system does not tell.
/// Example: `let spent = thread_nanos() - before;`.
pub fn thread_nanos() -> u64 {
    let line = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    line.split_whitespace().next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
}
