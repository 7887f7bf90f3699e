//! The replicated control state at this node: the state shared by its submodules, the dispatch of messages
//! to them, and periodic work.
//!
//! Submodules: the node's own [`disk`] and its syncs; the [`current_set`] of voters; [`bootstrap`] of the
//! first voter set, with the [`bootstrap_proposal`] where no seed has a disk; [`voter_changes`] and the key copy
//! that they need; [`key_owners`]; [`owner_responses`], the work of this node as a key owner; outgoing
//! [`requests`] to owners; [`record_polls`] and the [`record_relay`] of a zone.

mod bootstrap;
mod bootstrap_proposal;
mod current_set;
mod disk;
mod key_owners;
mod owner_responses;
mod record_polls;
mod record_relay;
mod requests;
mod voter_changes;

pub(crate) use requests::WritePurpose;

use crate::node::Node;
use crate::voter_replacement::DiskObservations;
use bootstrap_proposal::BootstrapProposal;
use control_registers::{ChosenSet, CopyProgress, DiskRegisters, KeyOwner, OwnerCounts, SetCopy, VoterSet};
use disk::Disk;
use monotonic_clock::{Micros, Ticker};
use owner_responses::OWNS_NO_KEYS;
use peer_messages::{List, Message, NodeId, ReadEntry};
use record_polls::PollGroups;
use record_relay::{ObservedRecords, RelayedPoll};
use requests::WriteAttempt;
use std::collections::BTreeMap;

/// A blank disk that has never voted.
pub(crate) const DISK_BLANK: u8 = 1;
/// A disk in the newest known voter set.
pub(crate) const DISK_VOTING: u8 = 2;
/// A disk that voted before and is no longer in the voter set.
pub(crate) const DISK_SPARE: u8 = 3;
/// A disk that is failing, whatever its state was before.
pub(crate) const DISK_FAILED: u8 = 4;

/// An owner that does not respond within this time is suspected and skipped for a while.
const OWNER_TIMEOUT: Micros = Micros::from_millis(600);
/// Outcome of a confirmed read: a large value is in force that the requester lacks, and the responding node
/// has it as gossip. Returned instead of the value to machines without a disk, whose links may be small.
const VIA_GOSSIP: u8 = 5;

#[derive(Debug)]
pub(crate) struct ControlStore {
    disk: Option<Disk>,
    /// Why the data folder's disk cannot be used, if that is so.
    disk_fault: Option<String>,
    /// The disk was formatted to replace a damaged one.
    replaces_damaged: bool,
    owner: KeyOwner,
    /// The newest chosen voter set known to this node; all its decisions use it.
    set: ChosenSet,
    set_adopted_at: Micros,
    /// Writes and confirmed reads that await a response, by request id.
    attempts: BTreeMap<u64, WriteAttempt>,
    /// Owners that did not respond in time, and until when they are skipped.
    suspected: BTreeMap<NodeId, Micros>,
    /// Owners that have not responded to a poll yet, and since when.
    polls: BTreeMap<NodeId, Micros>,
    poll_groups: PollGroups,
    observed_records: ObservedRecords,
    relayed_poll: RelayedPoll,
    disk_observations: DiskObservations,
    /// The key copy that this node performs during a voter set change.
    copy: Option<SetCopy>,
    copy_paused_until: Micros,
    bootstrap_ticker: Ticker,
    bootstrap_proposal: BootstrapProposal,
    /// Since when this bootstrap node has known enough blank disks.
    enough_blank_disks_since: Option<Micros>,
    /// Whether a trouble with the bootstrap was recorded.
    is_trouble_reported: bool,
    upkeep_ticker: Ticker,
    replacement_ticker: Ticker,
}

impl ControlStore {
    pub(crate) fn new(own: NodeId, disk: Option<(u64, DiskRegisters)>) -> ControlStore {
        ControlStore {
            disk: disk.map(|(id, registers)| Disk::new(id, registers)),
            disk_fault: None,
            replaces_damaged: false,
            owner: KeyOwner::new(own),
            set: ChosenSet::default(),
            set_adopted_at: Micros(0),
            attempts: BTreeMap::new(),
            suspected: BTreeMap::new(),
            polls: BTreeMap::new(),
            poll_groups: PollGroups::default(),
            observed_records: ObservedRecords::default(),
            relayed_poll: RelayedPoll::default(),
            disk_observations: DiskObservations::default(),
            copy: None,
            copy_paused_until: Micros(0),
            bootstrap_ticker: Ticker::every(Micros::from_millis(200)),
            bootstrap_proposal: BootstrapProposal::default(),
            enough_blank_disks_since: None,
            is_trouble_reported: false,
            upkeep_ticker: Ticker::every(Micros::from_millis(500)),
            replacement_ticker: Ticker::every(Micros::from_millis(100)),
        }
    }

    pub(crate) fn voters(&self) -> &VoterSet {
        &self.set
    }

    pub(crate) fn disk_fault(&self) -> Option<&str> {
        self.disk_fault.as_deref()
    }

    pub(crate) fn owned_count(&self) -> usize {
        self.owner.owned_count()
    }

    pub(crate) fn owner_counts(&self) -> OwnerCounts {
        self.owner.counts()
    }

    /// The change of the voter set under way as seen by this node; `None` without a change.
    pub(crate) fn voter_change(&self, now: Micros) -> Option<VoterChange> {
        (!self.set.joining.0.is_empty()).then(|| VoterChange {
            known_for: now - self.set_adopted_at,
            progress: self.copy.as_ref().map(SetCopy::progress),
        })
    }
}

/// A change of the voter set that is under way. Example: `node.status(now).voter_change`.
#[derive(Clone, Copy, Debug)]
pub struct VoterChange {
    /// The time since this node learned of the joint set.
    pub known_for: Micros,
    /// How far the copy of the keys is, on a node that performs it or did for a while.
    pub progress: Option<CopyProgress>,
}

impl Node {
    pub(crate) fn handle_control_message(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::Promise { fleet_set, entries } => self.promise_requested(from, fleet_set, &entries),
            Message::Store { fleet_set, entries } => self.store_requested(from, fleet_set, &entries),
            Message::Promised { disk, entries, .. } => self.control.owner.promised(disk, entries, now),
            Message::Stored { disk, entries, .. } => self.control.owner.stored(disk, entries, now),
            Message::Bootstrap { set, disks } => self.bootstrap(from, set, &disks.0),
            Message::BootstrapResponse { accepted: 0, disk, .. } => self.bootstrap_refused(disk),
            Message::BootstrapProposal { disks } => self.bootstrap_proposed(from, &disks.0),
            Message::BootstrapRecorded { disks } => self.bootstrap_recorded(from, disks.0),
            Message::KeysRequest { fleet_set } => self.keys_requested(from, fleet_set),
            Message::KeysResponse { fleet_set, disk, keys } => self.keys_received(disk, fleet_set, keys),
            Message::RecordsPoll { keys_digest, since, keys } => {
                self.records_requested(from, keys_digest, since, &keys)
            }
            Message::RecordsPolled { keys_digest, known: 0, .. } => self.poll_unknown(from, keys_digest),
            Message::RecordsPolled { known: OWNS_NO_KEYS, .. } => self.poll_refused(from),
            Message::RecordsPolled { keys_digest, change, records, renewed, .. } => {
                self.records_polled(from, (keys_digest, change), records.0, &renewed.0);
            }
            Message::RelayPoll { keys_digest, since } => self.relay_poll_requested(from, keys_digest, since),
            Message::RelayPolled { relays: 0, .. } => self.relay_refused(from),
            Message::RelayPolled { keys_digest, change, records, renewed, silent, .. } => {
                self.suspect_reported_owners(silent);
                self.relay_polled(from, (keys_digest, change), &records.0, &renewed.0);
            }
            Message::Write { entries } => self.writes_requested(from, entries),
            Message::ReadConfirmed { request_id, key, digest } => {
                self.reads_requested(from, List(vec![ReadEntry { request_id, key, digest }]))
            }
            Message::ReadsConfirmed { entries } => self.reads_requested(from, entries),
            Message::WriteResponse { outcomes } => {
                for outcome in outcomes.0 {
                    self.write_answered(from, outcome);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn tick_control(&mut self) {
        self.check_attempts();
        let now = self.now;
        if self.control.bootstrap_ticker.due(now) {
            self.try_bootstrap();
        }
        if self.control.upkeep_ticker.due(now) {
            self.try_repair();
            self.transfer_keys();
        }
        // A change under way is continued on every tick.
        if self.control.replacement_ticker.due(now) || !self.control.set.joining.0.is_empty() {
            self.try_replacing();
        }
    }
}
