use deku::prelude::*;
use monotonic_clock::Micros;
use peer_messages::{Bytes, List, NodeId, Text, UsageWindow};

/// The number of decided reports that are kept for delivery.
pub const REPORTS_KEPT: usize = 6;

/// The replicated value of the usage key. Each conditional write only appends windows above all earlier ones,
/// so the counts of a window are chosen once, and each fence belongs to a single holder name.
/// Example: `UsageRegister::bootstrapped("a", 7, 100, unix).with_decided("a", 7, vec![window], 0)`.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct UsageRegister {
    /// The name under which the reports are sent.
    pub holder: Text,
    /// The holder's process.
    pub process: NodeId,
    /// The holder's fence; increases with each change of holder.
    pub fence: u64,
    /// The lowest window that may still be decided.
    pub next_window: u64,
    /// Reports of lower windows were accepted or abandoned.
    pub delivered_below: u64,
    /// The newest decided reports, ordered by window.
    pub reports: List<UsageWindow>,
}

impl UsageRegister {
    /// The first value; windows are decided from `next_window` on. The fence starts at the bootstrap time in
    /// seconds, so a fleet that lost all of its disks does not reuse an earlier fence.
    /// Example: `UsageRegister::bootstrapped("edge-1", 7, 100, unix)`.
    pub fn bootstrapped(holder: &str, process: NodeId, next_window: u64, unix: Micros) -> UsageRegister {
        UsageRegister {
            holder: holder.into(),
            process,
            fence: initial_fence(unix),
            next_window,
            delivered_below: 0,
            reports: List(Vec::new()),
        }
    }

    /// The value with decided windows appended. Windows that are not above all earlier ones are skipped; the
    /// fence increases if the holder changes.
    /// Example: `register.with_decided("edge-2", 9, decided, 0)`.
    pub fn with_decided(
        &self,
        holder: &str,
        process: NodeId,
        decided: Vec<UsageWindow>,
        delivered_below: u64,
    ) -> UsageRegister {
        let is_same_holder = self.holder.0 == holder;
        let mut next = UsageRegister {
            holder: holder.into(),
            process,
            fence: if is_same_holder { self.fence } else { self.fence + 1 },
            delivered_below: self.delivered_below.max(delivered_below),
            ..self.clone()
        };
        for report in decided {
            if report.window >= next.next_window {
                next.next_window = report.window + 1;
                next.reports.0.push(report);
            }
        }
        let delivered_below = next.delivered_below;
        next.reports.0.retain(|report| report.window >= delivered_below);
        let excess = next.reports.0.len().saturating_sub(REPORTS_KEPT);
        next.reports.0.drain(..excess);
        next
    }

    /// The value under a higher fence for the same holder, for when the platform has seen a fence higher than
    /// this one.
    /// Example: `register.raised(9, unix).fence > register.fence`.
    pub fn raised(&self, process: NodeId, unix: Micros) -> UsageRegister {
        UsageRegister { process, fence: initial_fence(unix).max(self.fence + 1), ..self.clone() }
    }

    /// The oldest report that is not known to be accepted. Example: `register.undelivered(8)`.
    pub fn undelivered(&self, delivered_below: u64) -> Option<&UsageWindow> {
        let delivered_below = self.delivered_below.max(delivered_below);
        self.reports.0.iter().find(|report| report.window >= delivered_below)
    }

    /// Encodes the value as register bytes.
    /// Example: `UsageRegister::decode(&register.encode()) == Some(register)`.
    pub fn encode(&self) -> Bytes {
        Bytes(self.to_bytes().unwrap_or_default())
    }

    /// Decodes register bytes; `None` for empty or unreadable bytes.
    /// Example: `UsageRegister::decode(&Bytes::default()).is_none()`.
    pub fn decode(register_bytes: &Bytes) -> Option<UsageRegister> {
        UsageRegister::from_bytes((&register_bytes.0, 0)).ok().map(|(_, register)| register)
    }
}

fn initial_fence(unix: Micros) -> u64 {
    (unix.millis() / 1_000).max(1)
}
