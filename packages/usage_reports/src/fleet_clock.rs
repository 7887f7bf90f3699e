use monotonic_clock::Micros;
use peer_messages::NodeId;
use std::collections::BTreeMap;

/// A wall clock that was told longer ago counts no more.
const REPORTED_SPAN: Micros = Micros::from_secs(4);

/// The time that the fleet agrees on, as what to add to this process's monotonic clock. The collector takes
/// the middle of its colleagues' wall clocks, so that those of a minority may be anything; the others take
/// the collector's word. Before either there is only the own wall clock.
/// Example: `clock.set_own(unix, now); clock.unix(now) == Some(unix)`.
#[derive(Debug, Default)]
pub struct FleetClock {
    own_offset: Option<Micros>,
    fleet_offset: Option<Micros>,
    reported_offsets: BTreeMap<NodeId, (Micros, Micros)>,
    is_agreed: bool,
}

impl FleetClock {
    /// This machine's wall clock, read now. Example: `clock.set_own(unix, now)`.
    pub fn set_own(&mut self, unix: Micros, now: Micros) {
        self.own_offset = Some(unix - now);
    }

    /// This machine's wall clock at an instant, if it was ever read. Example: `clock.own(now)`.
    pub fn own(&self, now: Micros) -> Option<Micros> {
        self.own_offset.map(|offset| now + offset)
    }

    /// The collector's word on the fleet's clock. Example: `clock.set_fleet_time(reported, now)`.
    pub fn set_fleet_time(&mut self, unix: Micros, now: Micros) {
        self.fleet_offset = Some(unix - now);
    }

    /// A colleague's wall clock, as it told it just now. Example: `clock.set_reported(9, unix, now)`.
    pub fn set_reported(&mut self, node: NodeId, unix: Micros, now: Micros) {
        self.reported_offsets.insert(node, (unix - now, now));
    }

    /// The collector's look: the middle of the clocks that were told lately becomes the fleet's, where more
    /// than half of the members told theirs. Example: `clock.agree(&members, now)`.
    pub fn agree(&mut self, members: &[NodeId], now: Micros) {
        self.reported_offsets.retain(|_, (_, reported_at)| now <= *reported_at + REPORTED_SPAN);
        let reported = members.iter().filter_map(|node| self.reported_offsets.get(node));
        let mut offsets: Vec<Micros> = reported.map(|(offset, _)| *offset).collect();
        self.is_agreed = offsets.len() * 2 > members.len();
        if self.is_agreed {
            offsets.sort_unstable();
            self.fleet_offset = Some(offsets[offsets.len() / 2]);
        }
    }

    /// Whether the last look found enough clocks. Example: `!FleetClock::default().is_agreed()`.
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// Whether the fleet's clock was ever agreed on or told: one machine's own may be anything.
    /// Example: `!FleetClock::default().knows_fleet()`.
    pub fn knows_fleet(&self) -> bool {
        self.fleet_offset.is_some()
    }

    /// What was told before a sleep says nothing. Example: `clock.woke_up()`.
    pub fn woke_up(&mut self) {
        self.reported_offsets.clear();
        self.is_agreed = false;
    }

    /// The fleet's clock, or else the own one. Example: `clock.unix(now).is_none()` before either.
    pub fn unix(&self, now: Micros) -> Option<Micros> {
        self.fleet_offset.or(self.own_offset).map(|offset| now + offset)
    }
}
