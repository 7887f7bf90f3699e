use monotonic_clock::Micros;
use peer_messages::NodeId;
use std::collections::BTreeMap;

/// Wall-clock readings reported longer ago than this are ignored.
const REPORT_EXPIRY: Micros = Micros::from_secs(4);

/// The time the fleet agrees on, kept as an offset to this process's monotonic clock. The collector uses the
/// median of its peers' wall clocks, so a minority of wrong clocks cannot shift it; the other nodes adopt the
/// collector's time. Until either is available the node's own wall clock is used.
/// Example: `clock.set_own(unix, now); clock.unix(now) == Some(unix)`.
#[derive(Debug, Default)]
pub struct FleetClock {
    own_offset: Option<Micros>,
    fleet_offset: Option<Micros>,
    reported_offsets: BTreeMap<NodeId, (Micros, Micros)>,
    is_agreed: bool,
}

impl FleetClock {
    /// Records a reading of this machine's wall clock, taken at `now`. Example: `clock.set_own(unix, now)`.
    pub fn set_own(&mut self, unix: Micros, now: Micros) {
        self.own_offset = Some(unix - now);
    }

    /// This machine's wall clock at an instant, or `None` if it was never read. Example: `clock.own(now)`.
    pub fn own(&self, now: Micros) -> Option<Micros> {
        self.own_offset.map(|offset| now + offset)
    }

    /// Adopts the fleet time that the collector sent. Example: `clock.set_fleet_time(reported, now)`.
    pub fn set_fleet_time(&mut self, unix: Micros, now: Micros) {
        self.fleet_offset = Some(unix - now);
    }

    /// Records a peer's wall-clock reading that has just arrived.
    /// Example: `clock.set_reported(9, unix, now)`.
    pub fn set_reported(&mut self, node: NodeId, unix: Micros, now: Micros) {
        self.reported_offsets.insert(node, (unix - now, now));
    }

    /// Run by the collector: sets the fleet's clock to the median of the recently reported clocks if more
    /// than half of the members have reported theirs.
    /// Example: `clock.agree(&members, now)`.
    pub fn agree(&mut self, members: &[NodeId], now: Micros) {
        self.reported_offsets.retain(|_, (_, reported_at)| now <= *reported_at + REPORT_EXPIRY);
        let reported = members.iter().filter_map(|node| self.reported_offsets.get(node));
        let mut offsets: Vec<Micros> = reported.map(|(offset, _)| *offset).collect();
        self.is_agreed = offsets.len() * 2 > members.len();
        if self.is_agreed {
            offsets.sort_unstable();
            self.fleet_offset = Some(offsets[offsets.len() / 2]);
        }
    }

    /// Whether the last call of [`agree`](FleetClock::agree) found enough reported clocks.
    /// Example: `!FleetClock::default().is_agreed()`.
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// Whether the fleet's clock was ever agreed on here or received from the collector. A single machine's
    /// own clock may be wrong by any amount.
    /// Example: `!FleetClock::default().knows_fleet()`.
    pub fn knows_fleet(&self) -> bool {
        self.fleet_offset.is_some()
    }

    /// Discards reported readings after the process was suspended: they are stale by an unknown time.
    /// Example: `clock.discard_readings()`.
    pub fn discard_readings(&mut self) {
        self.reported_offsets.clear();
        self.is_agreed = false;
    }

    /// The fleet's clock, or this machine's own clock while the fleet's is not known.
    /// Example: `clock.unix(now).is_none()` before either.
    pub fn unix(&self, now: Micros) -> Option<Micros> {
        self.fleet_offset.or(self.own_offset).map(|offset| now + offset)
    }
}
