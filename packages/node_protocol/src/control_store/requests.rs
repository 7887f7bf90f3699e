//! Conditional writes and confirmed reads sent by this node to key owners: the purpose of each, where its
//! response goes, and what happens when the owner does not respond.

use super::{OWNER_TIMEOUT, VIA_GOSSIP};
use crate::node::Node;
use crate::{Action, ConfigurationResponse};
use control_registers::{AS_KNOWN, CONFIGURATION_KEY, DIFFERS, NOT_OWNER, UNKNOWN, WRITTEN, leader_key};
use monotonic_clock::Micros;
use peer_messages::{
    Bytes, LeaderRecord, List, Message, NodeId, ReadEntry, WriteEntry, WriteOutcome, value_digest,
};
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of operators' reads, whose clients try another node after about a second, and of usage reads and
/// writes.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(900);
/// Timeout of all other writes and reads.
const DEFAULT_TIMEOUT: Micros = Micros::from_millis(2_500);
/// An owner that sent anything in the meantime is given more time: it is slow, and sending the request
/// elsewhere would slow it down further.
const SLOW_OWNER_TIMEOUT: Micros = Micros::from_millis(2_400);
/// A renewal must take effect within a lease, so its timeout is shorter.
const SLOW_LEADER_TIMEOUT: Micros = Micros::from_millis(1_200);
/// How long an owner that did not respond is skipped.
const OWNER_SUSPECT_SPAN: Micros = Micros::from_secs(2);

/// The purpose of a write or confirmed read in flight.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WritePurpose {
    Leader {
        function: String,
        record: LeaderRecord,
    },
    Configuration,
    ConfigurationRead,
    ConfigurationCheck,
    ConfigurationRequested {
        request: u64,
    },
    DisksRead,
    DisksChange,
    UsageRead,
    UsageWrite,
    /// The key copy under the joint set of this generation.
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
            | WritePurpose::ConfigurationRequested { .. }
            | WritePurpose::DisksRead
            | WritePurpose::UsageRead
            | WritePurpose::DisksCopy { .. } => true,
            WritePurpose::Leader { .. }
            | WritePurpose::Configuration
            | WritePurpose::UsageWrite
            | WritePurpose::DisksChange => false,
        }
    }

    /// How long to wait for the response.
    fn timeout(&self, has_owner_responded: bool) -> Micros {
        match self {
            // A renewal waits for up to the owner's batching interval; another voter is tried after that.
            WritePurpose::Leader { .. } if has_owner_responded => SLOW_LEADER_TIMEOUT,
            WritePurpose::Leader { .. } => OWNER_TIMEOUT,
            // Another voter owns the keys of one that is gone, and a change of the voter set must not wait.
            WritePurpose::DisksCopy { .. } if !has_owner_responded => OWNER_TIMEOUT,
            WritePurpose::ConfigurationRequested { .. }
            | WritePurpose::UsageRead
            | WritePurpose::UsageWrite => REQUEST_TIMEOUT,
            _ => DEFAULT_TIMEOUT,
        }
    }
}

#[derive(Debug)]
pub(super) struct WriteAttempt {
    pub(super) owner: NodeId,
    pub(super) purpose: WritePurpose,
    pub(super) sent_at: Micros,
    /// Digest of the value that the reader had when it sent the request; zero for none and for writes.
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
        if purpose.is_read() {
            let ReadEntry { request_id, key, digest } = self.read_entry(owner, key, purpose);
            self.send(owner, Message::ReadConfirmed { request_id, key, digest });
            return Some(request_id);
        }
        let request_id = self.next_request_id();
        let entry = WriteEntry { request_id, key: key.into(), expected, value, urgent: 1 };
        let attempt = WriteAttempt { owner, purpose, sent_at: self.now, known_digest: 0 };
        self.control.attempts.insert(request_id, attempt);
        self.send(owner, Message::Write { entries: List(vec![entry]) });
        Some(request_id)
    }

    /// Records a confirmed read as sent to a node and returns its entry.
    pub(super) fn read_entry(&mut self, owner: NodeId, key: &str, purpose: WritePurpose) -> ReadEntry {
        let request_id = self.next_request_id();
        let digest = self.known_digest(key);
        let attempt = WriteAttempt { owner, purpose, sent_at: self.now, known_digest: digest };
        self.control.attempts.insert(request_id, attempt);
        ReadEntry { request_id, key: key.into(), digest }
    }

    /// The digest of the configuration's bytes at this node, zero for none. Values of other keys are small,
    /// so no digest is sent for them.
    pub(super) fn known_digest(&self, key: &str) -> u64 {
        let body = self.gossip.body(key).filter(|_| key == CONFIGURATION_KEY);
        body.map_or(0, |body| value_digest(&body.0))
    }

    /// Sends the leader election's writes, one message for each owner.
    pub(crate) fn send_leader_writes(&mut self, writes: Vec<leader_election::RecordWrite>) {
        let mut groups: BTreeMap<NodeId, Vec<WriteEntry>> = BTreeMap::new();
        for write in writes {
            let key = leader_key(&write.function);
            let Some(owner) = self.key_owner(&key) else {
                self.leadership.election.handle_no_response(&write.function, self.now);
                continue;
            };
            let request_id = self.next_request_id();
            let purpose = WritePurpose::Leader { function: write.function, record: write.record.clone() };
            let attempt = WriteAttempt { owner, purpose, sent_at: self.now, known_digest: 0 };
            self.control.attempts.insert(request_id, attempt);
            groups.entry(owner).or_default().push(WriteEntry {
                request_id,
                key: key.into(),
                expected: write.expected,
                value: write.record.encode(),
                urgent: u8::from(write.urgent),
            });
        }
        for (owner, entries) in groups {
            self.send(owner, Message::Write { entries: List(entries) });
        }
    }

    pub(super) fn write_answered(&mut self, from: NodeId, outcome: WriteOutcome) {
        if outcome.outcome != NOT_OWNER {
            self.control.suspected.remove(&from);
        }
        let Some(attempt) = self.control.attempts.remove(&outcome.request_id) else { return };
        let outcome = self.with_known_value(outcome, &attempt);
        match attempt.purpose {
            WritePurpose::Leader { function, record } => {
                self.leader_answered(&function, &record, outcome);
            }
            WritePurpose::Configuration => self.configuration_written(outcome),
            WritePurpose::ConfigurationRead if outcome.outcome == AS_KNOWN => {
                self.configuration_confirmed(outcome.version);
            }
            WritePurpose::ConfigurationRead => self.configuration_read(outcome),
            WritePurpose::ConfigurationCheck => self.configuration_checked(outcome),
            WritePurpose::ConfigurationRequested { request } => {
                self.operator_read_answered(from, request, outcome);
            }
            WritePurpose::DisksRead | WritePurpose::DisksChange => self.voter_set_answered(&outcome),
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
                self.leadership.election.handle_written(function, outcome.version, record, now);
                if ![0, self.settings.node].contains(&record.holder) {
                    self.term_written_away(function, record, outcome.version);
                }
            }
            DIFFERS => {
                let current_record = LeaderRecord::decode(&outcome.value);
                self.leadership.election.handle_conflict(function, outcome.version, current_record, now);
            }
            _ => self.leadership.election.handle_no_response(function, now),
        }
    }

    fn operator_read_answered(&mut self, from: NodeId, request: u64, outcome: WriteOutcome) {
        let response = match outcome.outcome {
            WRITTEN => ConfigurationResponse::Stored(outcome.value.0),
            // A value that arrived in the meantime is newer, and is stored on a majority as well.
            AS_KNOWN => ConfigurationResponse::Stored(self.stored_configuration()),
            VIA_GOSSIP => self.configuration_elsewhere(from),
            _ => ConfigurationResponse::Unconfirmed,
        };
        self.emit(Action::ConfigurationRead { request, response });
    }

    /// Fills in the value, where it is needed, of a response that only confirms this node's own value. If
    /// the value has changed here since the request, the outcome is unknown and the request is repeated.
    fn with_known_value(&mut self, outcome: WriteOutcome, attempt: &WriteAttempt) -> WriteOutcome {
        if outcome.outcome != AS_KNOWN || attempt.purpose != WritePurpose::ConfigurationCheck {
            return outcome;
        }
        match self.known_digest(&outcome.key.0) == attempt.known_digest {
            true => WriteOutcome { outcome: WRITTEN, value: Bytes(self.stored_configuration()), ..outcome },
            false => WriteOutcome { outcome: UNKNOWN, ..outcome },
        }
    }

    fn configuration_elsewhere(&self, node: NodeId) -> ConfigurationResponse {
        let address = self.members.find(node).map(|member| member.address);
        address.map_or(ConfigurationResponse::Unconfirmed, ConfigurationResponse::NewerOnPeer)
    }

    /// Expires writes and polls without a response; the next attempt goes to another voter.
    pub(super) fn check_attempts(&mut self) {
        self.suspect_silent_owners();
        let now = self.now;
        let attempts = self.control.attempts.iter();
        let expired_requests: Vec<u64> = attempts
            .filter(|(_, attempt)| {
                let is_received = self.calls.has_received_since(attempt.owner, attempt.sent_at);
                now >= attempt.sent_at + attempt.purpose.timeout(is_received)
            })
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in expired_requests {
            if let Some(attempt) = self.control.attempts.remove(&request_id) {
                self.attempt_unanswered(attempt.purpose);
            }
        }
    }

    fn suspect_silent_owners(&mut self) {
        let now = self.now;
        let attempts = self.control.attempts.values().map(|attempt| (attempt.owner, attempt.sent_at));
        let polls = self.control.polls.iter().map(|(owner, sent_at)| (*owner, *sent_at));
        let silent_owners: BTreeSet<NodeId> = attempts
            .chain(polls)
            .filter(|(owner, sent_at)| {
                // An owner that sent anything since is slow, not gone.
                let timeout = match self.calls.has_received_since(*owner, *sent_at) {
                    true => SLOW_OWNER_TIMEOUT,
                    false => OWNER_TIMEOUT,
                };
                now >= *sent_at + timeout
            })
            .map(|(owner, _)| owner)
            .collect();
        for owner in silent_owners {
            self.suspect_owner(owner);
            self.control.polls.remove(&owner);
        }
    }

    /// Requests for this owner's keys go to another voter for a while.
    pub(super) fn suspect_owner(&mut self, owner: NodeId) {
        self.control.suspected.insert(owner, self.now + OWNER_SUSPECT_SPAN);
    }

    fn attempt_unanswered(&mut self, purpose: WritePurpose) {
        match purpose {
            WritePurpose::Leader { function, .. } => {
                self.leadership.election.handle_no_response(&function, self.now)
            }
            WritePurpose::Configuration | WritePurpose::ConfigurationCheck => self.configuration_unanswered(),
            WritePurpose::DisksCopy { key, generation } => self.copy_answered(&key, generation, false),
            WritePurpose::ConfigurationRequested { request } => {
                let response = ConfigurationResponse::Unconfirmed;
                self.emit(Action::ConfigurationRead { request, response });
            }
            WritePurpose::UsageRead => self.usage_read_unanswered(),
            WritePurpose::UsageWrite => self.usage_write_unanswered(),
            WritePurpose::ConfigurationRead | WritePurpose::DisksRead | WritePurpose::DisksChange => {}
        }
    }
}
