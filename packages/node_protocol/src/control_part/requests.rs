//! Conditional writes and confirmed reads that this node sent to the owners of keys: what each is for,
//! where its answer goes, and what follows when the owner stays silent.

use super::{AS_NEWS, OWNER_PATIENCE};
use crate::node::Node;
use crate::{Act, ConfigurationAnswer};
use control_registers::{AS_KNOWN, CONFIGURATION_KEY, DIFFERS, NOT_OWNER, UNKNOWN, WRITTEN, steward_key};
use monotonic_clock::Micros;
use peer_messages::{Bytes, LeaderRecord, List, Message, NodeId, WriteEntry, WriteOutcome, value_digest};
use std::collections::{BTreeMap, BTreeSet};

/// An operator that reads asks elsewhere after about a second.
const ASKED_PATIENCE: Micros = Micros::from_millis(900);
/// Any other write or read is given up after this.
const FLIGHT_PATIENCE: Micros = Micros::from_millis(2_500);
/// An owner that was heard meanwhile is waited for longer: it is slow, and asking elsewhere makes it slower.
const SLOW_OWNER_PATIENCE: Micros = Micros::from_millis(2_400);
/// A renewal has to stand within a lease, so it is not waited for as long.
const SLOW_LEADER_PATIENCE: Micros = Micros::from_millis(1_200);
/// For so long an owner that did not answer is passed over.
const OWNER_DOUBT: Micros = Micros::from_secs(2);

/// What a write or confirmed read in flight is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WritePurpose {
    Leader {
        function: String,
        record: LeaderRecord,
    },
    Configuration,
    ConfigurationRead,
    ConfigurationCheck,
    ConfigurationAsked {
        request: u64,
    },
    DisksRead,
    DisksChange,
    UsageRead,
    UsageWrite,
    /// The copying under the joint set of this generation.
    DisksCopy {
        key: String,
        generation: u64,
    },
}

impl WritePurpose {
    fn is_read(&self) -> bool {
        match self {
            WritePurpose::ConfigurationRead
            | WritePurpose::ConfigurationCheck
            | WritePurpose::ConfigurationAsked { .. }
            | WritePurpose::DisksRead
            | WritePurpose::UsageRead
            | WritePurpose::DisksCopy { .. } => true,
            WritePurpose::Leader { .. }
            | WritePurpose::Configuration
            | WritePurpose::UsageWrite
            | WritePurpose::DisksChange => false,
        }
    }

    /// How long its answer is awaited.
    fn patience(&self, is_owner_heard: bool) -> Micros {
        match self {
            // A renewal waits up to the owner's group time; another voter is tried after that.
            WritePurpose::Leader { .. } if is_owner_heard => SLOW_LEADER_PATIENCE,
            WritePurpose::Leader { .. } => OWNER_PATIENCE,
            WritePurpose::ConfigurationAsked { .. } | WritePurpose::UsageRead | WritePurpose::UsageWrite => {
                ASKED_PATIENCE
            }
            _ => FLIGHT_PATIENCE,
        }
    }
}

#[derive(Debug)]
pub(super) struct WriteFlight {
    pub(super) owner: NodeId,
    pub(super) purpose: WritePurpose,
    pub(super) sent_at: Micros,
    /// Of the value that a reader had when it asked; zero for none and for writes.
    pub(super) known_digest: u64,
}

impl Node {
    /// Sends one conditional write or confirmed read to the key's owner.
    pub(crate) fn send_write(
        &mut self,
        key: &str,
        expected: u64,
        value: Bytes,
        purpose: WritePurpose,
    ) -> Option<u64> {
        let owner = self.key_owner(key)?;
        let ask = self.fresh_ask();
        let is_read = purpose.is_read();
        let known_digest = if is_read { self.known_digest(key) } else { 0 };
        let message = match is_read {
            true => Message::ReadConfirmed { ask, key: key.into(), digest: known_digest },
            false => {
                let entry = WriteEntry { ask, key: key.into(), expected, value, hasty: 1 };
                Message::Write { entries: List(vec![entry]) }
            }
        };
        self.control.flights.insert(ask, WriteFlight { owner, purpose, sent_at: self.now, known_digest });
        self.send(owner, message);
        Some(ask)
    }

    /// The digest of the configuration's bytes as this node has them, zero for none. Of other keys the
    /// values are small, and none is told.
    pub(super) fn known_digest(&self, key: &str) -> u64 {
        let body = self.news.body(key).filter(|_| key == CONFIGURATION_KEY);
        body.map_or(0, |body| value_digest(&body.0))
    }

    /// Sends the election's writes, one message for each owner.
    pub(crate) fn send_leader_writes(&mut self, writes: Vec<leader_election::RecordWrite>) {
        let mut groups: BTreeMap<NodeId, Vec<WriteEntry>> = BTreeMap::new();
        for write in writes {
            let key = steward_key(&write.function);
            let Some(owner) = self.key_owner(&key) else {
                self.stewards.election.unanswered(&write.function, self.now);
                continue;
            };
            let ask = self.fresh_ask();
            let purpose = WritePurpose::Leader { function: write.function, record: write.record.clone() };
            let flight = WriteFlight { owner, purpose, sent_at: self.now, known_digest: 0 };
            self.control.flights.insert(ask, flight);
            groups.entry(owner).or_default().push(WriteEntry {
                ask,
                key: key.into(),
                expected: write.expected,
                value: write.record.encode(),
                hasty: u8::from(write.hasty),
            });
        }
        for (owner, entries) in groups {
            self.send(owner, Message::Write { entries: List(entries) });
        }
    }

    pub(super) fn write_answered(&mut self, from: NodeId, outcome: WriteOutcome) {
        if outcome.outcome != NOT_OWNER {
            self.control.doubted.remove(&from);
        }
        let Some(flight) = self.control.flights.remove(&outcome.ask) else { return };
        let outcome = self.with_known_value(outcome, &flight);
        match flight.purpose {
            WritePurpose::Leader { function, record } => {
                self.leader_answered(&function, &record, outcome);
            }
            WritePurpose::Configuration => self.configuration_written(outcome),
            WritePurpose::ConfigurationRead if outcome.outcome == AS_KNOWN => {
                self.configuration_confirmed(outcome.version);
            }
            WritePurpose::ConfigurationRead => self.configuration_read(outcome),
            WritePurpose::ConfigurationCheck => self.configuration_checked(outcome),
            WritePurpose::ConfigurationAsked { request } => {
                self.operators_read_answered(from, request, outcome);
            }
            WritePurpose::DisksRead | WritePurpose::DisksChange => self.disks_answered(&outcome),
            WritePurpose::UsageRead => self.usage_read(&outcome),
            WritePurpose::UsageWrite => self.usage_written(&outcome),
            WritePurpose::DisksCopy { key, generation } => {
                let is_confirmed = [WRITTEN, AS_KNOWN].contains(&outcome.outcome);
                self.copy_answered(&key, generation, is_confirmed);
            }
        }
    }

    fn leader_answered(&mut self, function: &str, record: &LeaderRecord, outcome: WriteOutcome) {
        let now = self.now;
        match outcome.outcome {
            WRITTEN => {
                self.stewards.election.written(function, outcome.version, record, now);
                if ![0, self.settings.node].contains(&record.holder) {
                    self.term_written_away(function, record, outcome.version);
                }
            }
            DIFFERS => {
                let standing = LeaderRecord::decode(&outcome.value);
                self.stewards.election.differs(function, outcome.version, standing, now);
            }
            _ => self.stewards.election.unanswered(function, now),
        }
    }

    fn operators_read_answered(&mut self, from: NodeId, request: u64, outcome: WriteOutcome) {
        let answer = match outcome.outcome {
            WRITTEN => ConfigurationAnswer::Stored(outcome.value.0),
            // What came meanwhile is newer, and stands on a majority as well.
            AS_KNOWN => ConfigurationAnswer::Stored(self.stored_configuration()),
            AS_NEWS => self.configuration_elsewhere(from),
            _ => ConfigurationAnswer::Unconfirmed,
        };
        self.act(Act::ConfigurationAnswered { request, answer });
    }

    /// The value of an answer that only says that this node's own value stands, where it is needed. A
    /// value that changed here since the question is of no use: the question is put again.
    fn with_known_value(&mut self, outcome: WriteOutcome, flight: &WriteFlight) -> WriteOutcome {
        let needs_value =
            matches!(flight.purpose, WritePurpose::ConfigurationCheck | WritePurpose::DisksCopy { .. });
        if outcome.outcome != AS_KNOWN || !needs_value {
            return outcome;
        }
        match self.known_digest(&outcome.key.0) == flight.known_digest {
            true => WriteOutcome { outcome: WRITTEN, value: Bytes(self.stored_configuration()), ..outcome },
            false => WriteOutcome { outcome: UNKNOWN, ..outcome },
        }
    }

    fn configuration_elsewhere(&self, node: NodeId) -> ConfigurationAnswer {
        let address = self.members.find(node).map(|news| news.address);
        address.map_or(ConfigurationAnswer::Unconfirmed, ConfigurationAnswer::Elsewhere)
    }

    /// A write or poll that its owner leaves unanswered: another voter is asked next time.
    pub(super) fn check_flights(&mut self) {
        self.doubt_silent_owners();
        let now = self.now;
        let flights = self.control.flights.iter();
        let over_asks: Vec<u64> = flights
            .filter(|(_, flight)| {
                let is_heard = self.calls.is_heard_since(flight.owner, flight.sent_at);
                now >= flight.sent_at + flight.purpose.patience(is_heard)
            })
            .map(|(ask, _)| *ask)
            .collect();
        for ask in over_asks {
            if let Some(flight) = self.control.flights.remove(&ask) {
                self.flight_unanswered(flight.purpose);
            }
        }
    }

    fn doubt_silent_owners(&mut self) {
        let now = self.now;
        let flights = self.control.flights.values().map(|flight| (flight.owner, flight.sent_at));
        let polls = self.control.polls.iter().map(|(owner, sent_at)| (*owner, *sent_at));
        let silent_owners: BTreeSet<NodeId> = flights
            .chain(polls)
            .filter(|(owner, sent_at)| {
                // One that is heard is slow, not gone.
                let patience = match self.calls.is_heard_since(*owner, *sent_at) {
                    true => SLOW_OWNER_PATIENCE,
                    false => OWNER_PATIENCE,
                };
                now >= *sent_at + patience
            })
            .map(|(owner, _)| owner)
            .collect();
        for owner in silent_owners {
            self.doubt_owner(owner);
            self.control.polls.remove(&owner);
        }
    }

    /// Another voter is asked for the keys of this one for a while.
    pub(super) fn doubt_owner(&mut self, owner: NodeId) {
        self.control.doubted.insert(owner, self.now + OWNER_DOUBT);
    }

    fn flight_unanswered(&mut self, purpose: WritePurpose) {
        match purpose {
            WritePurpose::Leader { function, .. } => self.stewards.election.unanswered(&function, self.now),
            WritePurpose::Configuration | WritePurpose::ConfigurationCheck => self.configuration_unanswered(),
            WritePurpose::DisksCopy { key, generation } => self.copy_answered(&key, generation, false),
            WritePurpose::ConfigurationAsked { request } => {
                let answer = ConfigurationAnswer::Unconfirmed;
                self.act(Act::ConfigurationAnswered { request, answer });
            }
            WritePurpose::UsageRead => self.usage_read_unanswered(),
            WritePurpose::UsageWrite => self.usage_write_unanswered(),
            WritePurpose::ConfigurationRead | WritePurpose::DisksRead | WritePurpose::DisksChange => {}
        }
    }
}
