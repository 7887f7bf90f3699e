//! The replicated control state at this node: the state that its parts share, the messages dealt out to
//! them, and the clock events.
//!
//! The parts: the own [`disk`] and its syncs; the [`standing_set`] of voters; [`founding`];
//! [`voter_changes`] and the copy; [`key_owners`]; [`owner_answers`], this node's work as an owner;
//! [`requests`] in flight to owners; [`record_polls`] and the [`record_relay`] of a zone.

mod disk;
mod founding;
mod key_owners;
mod owner_answers;
mod record_polls;
mod record_relay;
mod requests;
mod standing_set;
mod voter_changes;

pub(crate) use requests::WritePurpose;

use crate::node::Node;
use crate::vote_swaps::DiskSightings;
use control_registers::{ChosenSet, DiskRegisters, KeyOwner, SetCopy, VoterSet};
use disk::Disk;
use monotonic_clock::{ClockEvent, Micros};
use owner_answers::OWNS_NO_KEYS;
use peer_messages::{Message, NodeId};
use record_polls::PollGroups;
use record_relay::{ObservedRecords, RelayedPoll};
use requests::WriteFlight;
use std::collections::BTreeMap;

/// A blank disk that never voted.
pub(crate) const DISK_BLANK: u8 = 1;
/// A disk of the newest known voter set.
pub(crate) const DISK_VOTING: u8 = 2;
/// A disk that voted once and is no longer in the set.
pub(crate) const DISK_SPARE: u8 = 3;
/// A disk that fails now, whatever it was before.
pub(crate) const DISK_FAILED: u8 = 4;

/// After this an owner that does not answer is passed over for a while.
const OWNER_PATIENCE: Micros = Micros::from_millis(600);
/// A confirmed read's outcome: a large value stands that the asker lacks, and the answering node has it
/// as news. It takes the place of the value for machines without a disk, whose links may be small.
const AS_NEWS: u8 = 5;

#[derive(Debug)]
pub(crate) struct ControlPart {
    disk: Option<Disk>,
    /// Why there is a data folder and no disk.
    disk_trouble: Option<String>,
    /// The disk was formatted in the place of a damaged one.
    replaces_damaged: bool,
    owner: KeyOwner,
    /// The newest chosen set that this node knows: the one it goes by.
    set: ChosenSet,
    /// Writes and confirmed reads that await their answers, by their asks.
    flights: BTreeMap<u64, WriteFlight>,
    /// Owners that left something unanswered, and until when they are passed over.
    doubted: BTreeMap<NodeId, Micros>,
    /// Owners that were polled and did not answer yet, and since when.
    polls: BTreeMap<NodeId, Micros>,
    poll_groups: PollGroups,
    observed_records: ObservedRecords,
    relayed_poll: RelayedPoll,
    sightings: DiskSightings,
    /// The copying that this node does while the voter set changes.
    copy: Option<SetCopy>,
    found_event: ClockEvent,
    is_wait_told: bool,
    upkeep_event: ClockEvent,
    replace_event: ClockEvent,
}

impl ControlPart {
    pub(crate) fn new(own: NodeId, disk: Option<(u64, DiskRegisters)>) -> ControlPart {
        ControlPart {
            disk: disk.map(|(id, registers)| Disk::new(id, registers)),
            disk_trouble: None,
            replaces_damaged: false,
            owner: KeyOwner::new(own),
            set: ChosenSet::default(),
            flights: BTreeMap::new(),
            doubted: BTreeMap::new(),
            polls: BTreeMap::new(),
            poll_groups: PollGroups::default(),
            observed_records: ObservedRecords::default(),
            relayed_poll: RelayedPoll::default(),
            sightings: DiskSightings::default(),
            copy: None,
            found_event: ClockEvent::each(Micros::from_millis(200)),
            is_wait_told: false,
            upkeep_event: ClockEvent::each(Micros::from_millis(500)),
            replace_event: ClockEvent::each(Micros::from_millis(100)),
        }
    }

    pub(crate) fn voters(&self) -> &VoterSet {
        &self.set
    }

    pub(crate) fn disk_trouble(&self) -> Option<&str> {
        self.disk_trouble.as_deref()
    }

    pub(crate) fn owned_count(&self) -> usize {
        self.owner.owned_count()
    }
}

impl Node {
    pub(crate) fn take_control_message(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::Promise { fleet_set, entries } => self.promise_asked(from, fleet_set, &entries),
            Message::Store { fleet_set, entries } => self.store_asked(from, fleet_set, &entries),
            Message::Promised { disk, entries, .. } => self.control.owner.promised(disk, entries, now),
            Message::Stored { disk, entries, .. } => self.control.owner.stored(disk, entries, now),
            Message::Found { set, disks } => self.found(from, set, &disks.0),
            Message::FoundAnswer { accepted: 0, disk, .. } => self.founding_refused(disk),
            Message::KeysAsk { fleet_set } => self.keys_asked(from, fleet_set),
            Message::KeysTold { fleet_set, disk, keys } => self.keys_told(disk, fleet_set, keys),
            Message::RecordsPoll { mark, since, keys } => self.records_asked(from, mark, since, &keys),
            Message::RecordsPolled { mark, known: 0, .. } => self.poll_unknown(from, mark),
            Message::RecordsPolled { known: OWNS_NO_KEYS, .. } => self.poll_refused(from),
            Message::RecordsPolled { mark, change, records, renewed, .. } => {
                self.records_polled(from, (mark, change), records.0, &renewed.0);
            }
            Message::RelayPoll { mark, since } => self.relay_polled_by(from, mark, since),
            Message::RelayPolled { relays: 0, .. } => self.relay_refused(from),
            Message::RelayPolled { mark, change, records, renewed, silent, .. } => {
                self.owners_silent(silent);
                self.relay_answered(from, (mark, change), &records.0, &renewed.0);
            }
            Message::Write { entries } => self.writes_asked(from, entries),
            Message::ReadConfirmed { ask, key, digest } => self.read_asked(from, ask, key, digest),
            Message::WriteAnswer { outcomes } => {
                for outcome in outcomes.0 {
                    self.write_answered(from, outcome);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn tick_control(&mut self) {
        self.check_flights();
        let now = self.now;
        if self.control.found_event.due(now) {
            self.try_founding();
        }
        if self.control.upkeep_event.due(now) {
            self.try_repair();
            self.hand_over_keys();
        }
        // A change that was begun goes on with each clock event.
        if self.control.replace_event.due(now) || !self.control.set.joining.0.is_empty() {
            self.try_replacing();
        }
    }
}
