//! Changes at the owner of the configuration's key: queued changes are applied in order, written as one
//! value, and responded to together.

use super::{CHANGE_QUEUE_LIMIT, CHANGE_TIMEOUT, RETRY_PAUSE, Requester, UNCONFIRMED, overloaded};
use crate::control_store::WritePurpose;
use crate::node::Node;
use configuration_schema::{Change, ChangeOutcome, StoredConfiguration};
use control_registers::{CONFIGURATION_KEY, DIFFERS, WRITTEN};
use monotonic_clock::Micros;
use peer_messages::{Bytes, Message, NodeId, WriteOutcome};

const BATCH_LIMIT: usize = 64;
/// A batch is abandoned with an unknown outcome after this many writes that found a different value.
const BATCH_WRITE_LIMIT: u32 = 8;

#[derive(Debug)]
pub(super) struct RequestedChange {
    requester: Requester,
    change: Change,
    requested_at: Micros,
    outcome: Option<ChangeOutcome>,
}

#[derive(Debug)]
pub(super) struct Batch {
    changes: Vec<RequestedChange>,
    /// The version of the base that the outcomes were computed on; the base may advance before the write
    /// completes.
    base_version: u64,
    /// The next value, if any change was accepted on top of the base.
    next: StoredConfiguration,
    writes: u32,
    /// Set while a retry is pending.
    pub(super) retry_at: Option<Micros>,
}

impl Batch {
    /// Applies the changes in order on top of a base and returns how many of them modify it.
    fn apply_changes(&mut self, base_version: u64, base: StoredConfiguration) -> u32 {
        self.next = base;
        self.base_version = base_version;
        let mut accepted_count = 0;
        for requested in &mut self.changes {
            let outcome = self.next.apply(&requested.change);
            accepted_count += u32::from(matches!(outcome, ChangeOutcome::Accepted { repeated: false, .. }));
            requested.outcome = Some(outcome);
        }
        accepted_count
    }
}

impl Node {
    /// Handles a change forwarded by a peer.
    pub(crate) fn change_forwarded(&mut self, from: NodeId, request_id: u64, change_bytes: &Bytes) {
        let Ok(change) = serde_json::from_slice::<Change>(&change_bytes.0) else { return };
        self.enqueue_change(Requester { node: from, request_id }, change, self.now);
    }

    pub(super) fn enqueue_change(&mut self, requester: Requester, change: Change, requested_at: Micros) {
        let is_same_request = |requested: &RequestedChange| requested.requester == requester;
        let in_batch = self.configuration.batch.iter().flat_map(|batch| &batch.changes).any(is_same_request);
        if in_batch || self.configuration.queue.iter().any(is_same_request) {
            return;
        }
        if self.configuration.queue.len() >= CHANGE_QUEUE_LIMIT {
            let outcome = overloaded();
            self.respond_to_change(requester, &outcome);
            return;
        }
        let requested_change = RequestedChange { requester, change, requested_at, outcome: None };
        self.configuration.queue.push_back(requested_change);
        self.begin_batch();
    }

    fn respond_to_change(&mut self, requester: Requester, outcome: &ChangeOutcome) {
        let outcome = Bytes(serde_json::to_vec(outcome).unwrap_or_default());
        self.send(requester.node, Message::ChangeSettled { request_id: requester.request_id, outcome });
    }

    /// Starts a batch of queued changes: they are applied in order and written as one value.
    fn begin_batch(&mut self) {
        if self.configuration.batch.is_some() || self.configuration.queue.is_empty() {
            return;
        }
        let batch_size = self.configuration.queue.len().min(BATCH_LIMIT);
        let changes = self.configuration.queue.drain(..batch_size).collect();
        self.configuration.batch = Some(Batch {
            changes,
            base_version: 0,
            next: StoredConfiguration::empty(),
            writes: 0,
            retry_at: None,
        });
        self.write_batch();
    }

    pub(super) fn write_batch(&mut self) {
        let (base_version, base_stored) = self.configuration.base.clone();
        let Some(batch) = &mut self.configuration.batch else { return };
        batch.writes += 1;
        batch.retry_at = None;
        let accepted_count = batch.apply_changes(base_version, base_stored);
        // With nothing to write, the refusals still rest on a base that must be confirmed.
        let sent = match accepted_count {
            0 => self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationCheck),
            _ => {
                let next_bytes = Bytes(batch.next.encode());
                self.send_write(CONFIGURATION_KEY, base_version, next_bytes, WritePurpose::Configuration)
            }
        };
        if sent.is_none() {
            self.configuration_unanswered();
        }
    }

    /// Handles the response to the batch's write.
    pub(crate) fn configuration_written(&mut self, outcome: WriteOutcome) {
        match outcome.outcome {
            WRITTEN => {
                let Some(batch) = &self.configuration.batch else { return };
                self.configuration.base = (outcome.version, batch.next.clone());
                self.record_majority_version(outcome.version);
                self.end_batch();
            }
            DIFFERS => {
                self.adopt_base(&outcome);
                self.retry_batch(Micros(0));
            }
            _ => self.configuration_unanswered(),
        }
    }

    /// Handles the response to the check that a batch without accepted changes was computed on the newest
    /// base.
    pub(crate) fn configuration_checked(&mut self, outcome: WriteOutcome) {
        if outcome.outcome != WRITTEN {
            self.configuration_unanswered();
            return;
        }
        let Some(batch) = &self.configuration.batch else { return };
        let is_base_newest = outcome.version == batch.base_version;
        self.adopt_base(&outcome);
        match is_base_newest {
            true => self.end_batch(),
            false => self.retry_batch(Micros(0)),
        }
    }

    /// Handles a missing response, a missing majority or an unknown outcome: the batch is retried under the
    /// same change ids.
    pub(crate) fn configuration_unanswered(&mut self) {
        self.retry_batch(RETRY_PAUSE);
    }

    fn retry_batch(&mut self, pause: Micros) {
        let now = self.now;
        let Some(batch) = &mut self.configuration.batch else { return };
        let is_expired = batch.changes.iter().any(|requested| now >= requested.requested_at + CHANGE_TIMEOUT);
        if (batch.writes >= BATCH_WRITE_LIMIT && pause == Micros(0)) || is_expired {
            for requested in &mut batch.changes {
                requested.outcome = Some(ChangeOutcome::Unknown { reason: UNCONFIRMED.to_owned() });
            }
            self.respond_to_batch();
            return;
        }
        if pause > Micros(0) {
            batch.retry_at = Some(now + pause);
            return;
        }
        self.write_batch();
    }

    fn end_batch(&mut self) {
        self.publish_base();
        self.respond_to_batch();
    }

    fn respond_to_batch(&mut self) {
        let Some(batch) = self.configuration.batch.take() else { return };
        for requested in batch.changes {
            let outcome =
                requested.outcome.unwrap_or(ChangeOutcome::Unknown { reason: "not tried".to_owned() });
            let line = outcome.line(&requested.change.change_id);
            self.decision_log.append("change", line, self.now);
            self.respond_to_change(requested.requester, &outcome);
        }
        self.begin_batch();
    }
}
