//! The configuration: operators' changes on their way into its register, and newer generations on
//! their way to this node's calls. A generation, once seen, never goes back.

use crate::Act;
use crate::control_part::WritePurpose;
use crate::node::Node;
use clock_events::{ClockEvent, Micros};
use colleague_messages::{Bytes, WriteOutcome};
use configuration_check::{Change, ChangeOutcome, Configuration, Reason, StoredConfiguration};
use control_registers::{CONFIGURATION_KEY, DIFFERS, WRITTEN};
use serde_json::json;
use std::collections::VecDeque;
use std::sync::Arc;

const CHANGE_WAITLIST: usize = 256;
const BATCH_LIMIT: usize = 64;
const ATTEMPT_LIMIT: u32 = 8;
const CHANGE_SPAN: Micros = Micros::from_secs(6);
const RETRY_PAUSE: Micros = Micros::from_millis(150);
/// Without a majority, what serving colleagues told is good enough after this.
const CONFIRM_PATIENCE: Micros = Micros::from_millis(1_500);

#[derive(Debug)]
struct AskedChange {
    request: u64,
    change: Change,
    asked_at: Micros,
    outcome: Option<ChangeOutcome>,
}

#[derive(Debug)]
struct Batch {
    changes: Vec<AskedChange>,
    /// The next value, if any change was accepted on top of the base.
    next: StoredConfiguration,
    attempts: u32,
    /// Set while waiting to try again.
    retry_at: Option<Micros>,
}

#[derive(Debug)]
pub(crate) struct ConfigurationPart {
    current: Arc<Configuration>,
    generation: u64,
    confirmed: bool,
    ready_told: bool,
    /// The register's version and value as last seen.
    base: (u64, StoredConfiguration),
    batch: Option<Batch>,
    waitlist: VecDeque<AskedChange>,
    confirm_event: ClockEvent,
}

impl ConfigurationPart {
    pub(crate) fn new() -> ConfigurationPart {
        ConfigurationPart {
            current: Arc::new(Configuration::empty()),
            generation: 0,
            confirmed: false,
            ready_told: false,
            base: (0, StoredConfiguration::empty()),
            batch: None,
            waitlist: VecDeque::new(),
            confirm_event: ClockEvent::each(Micros::from_millis(300)),
        }
    }

    pub(crate) fn current(&self) -> Arc<Configuration> {
        self.current.clone()
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.confirmed
    }
}

impl Node {
    pub(crate) fn change_asked(&mut self, request: u64, change: Change) {
        if self.configuration.waitlist.len() >= CHANGE_WAITLIST {
            let outcome = ChangeOutcome::Refused {
                generation: self.configuration.generation,
                reasons: vec![Reason::at("", "too many changes wait at this node; send it again")],
            };
            self.act(Act::ChangeAnswered { request, change_id: change.change_id, outcome });
            return;
        }
        let askedChange = AskedChange { request, change, asked_at: self.now, outcome: None };
        self.configuration.waitlist.push_back(askedChange);
        self.begin_batch();
    }

    /// Changes that wait are applied together, in turn, and written as one value.
    fn begin_batch(&mut self) {
        if self.configuration.batch.is_some() || self.configuration.waitlist.is_empty() {
            return;
        }
        let batchSize = self.configuration.waitlist.len().min(BATCH_LIMIT);
        let changes = self.configuration.waitlist.drain(..batchSize).collect();
        self.configuration.batch =
            Some(Batch { changes, next: StoredConfiguration::empty(), attempts: 0, retry_at: None });
        self.attempt_batch();
    }

    fn attempt_batch(&mut self) {
        let (baseVersion, baseStored) = self.configuration.base.clone();
        let Some(batch) = &mut self.configuration.batch else { return };
        batch.attempts += 1;
        batch.retry_at = None;
        batch.next = baseStored;
        let mut acceptedCount = 0;
        for asked in &mut batch.changes {
            let outcome = batch.next.apply(&asked.change);
            acceptedCount += u32::from(matches!(outcome, ChangeOutcome::Accepted { repeated: false, .. }));
            asked.outcome = Some(outcome);
        }
        // With nothing to write the refusals still rest on a base that must be confirmed.
        let sent = match acceptedCount {
            0 => self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationCheck),
            _ => {
                let nextBytes = Bytes(batch.next.encode());
                self.send_write(CONFIGURATION_KEY, baseVersion, nextBytes, WritePurpose::Configuration)
            }
        };
        if sent.is_none() {
            self.configuration_unanswered();
        }
    }

    /// The answer to the batch's write.
    pub(crate) fn configuration_written(&mut self, outcome: WriteOutcome) {
        match outcome.outcome {
            WRITTEN => {
                let Some(batch) = &self.configuration.batch else { return };
                self.configuration.base = (outcome.version, batch.next.clone());
                self.end_batch();
            }
            DIFFERS => {
                self.take_base(&outcome);
                self.retry_batch(Micros(0));
            }
            _ => self.configuration_unanswered(),
        }
    }

    /// The answer to the check that a batch of refusals rests on the newest base.
    pub(crate) fn configuration_checked(&mut self, outcome: WriteOutcome) {
        if outcome.outcome != WRITTEN {
            self.configuration_unanswered();
            return;
        }
        let isBaseNewest = outcome.version == self.configuration.base.0;
        self.take_base(&outcome);
        match isBaseNewest {
            true => self.end_batch(),
            false => self.retry_batch(Micros(0)),
        }
    }

    /// The answer to the read at the start of the node.
    pub(crate) fn configuration_read(&mut self, outcome: WriteOutcome) {
        if outcome.outcome != WRITTEN {
            return;
        }
        self.take_base(&outcome);
        self.configuration.confirmed = true;
        self.tell_ready();
    }

    fn take_base(&mut self, outcome: &WriteOutcome) {
        if outcome.version < self.configuration.base.0 {
            return;
        }
        let Some(stored) = StoredConfiguration::decode(&outcome.value.0) else { return };
        self.configuration.base = (outcome.version, stored);
        self.publish_base();
    }

    /// No answer, no majority, or an answer of unknown fate: tried again under the same change ids.
    pub(crate) fn configuration_unanswered(&mut self) {
        self.retry_batch(RETRY_PAUSE);
    }

    fn retry_batch(&mut self, pause: Micros) {
        let now = self.now;
        let Some(batch) = &mut self.configuration.batch else { return };
        let isOver = batch.changes.iter().any(|asked| now >= asked.asked_at + CHANGE_SPAN);
        if (batch.attempts >= ATTEMPT_LIMIT && pause == Micros(0)) || isOver {
            for asked in &mut batch.changes {
                asked.outcome = Some(ChangeOutcome::Unknown {
                    reason: "no majority of the disks confirmed it; send it again under the same id"
                        .to_owned(),
                });
            }
            self.answer_batch();
            return;
        }
        if pause > Micros(0) {
            batch.retry_at = Some(now + pause);
            return;
        }
        self.attempt_batch();
    }

    fn end_batch(&mut self) {
        self.publish_base();
        self.answer_batch();
    }

    fn answer_batch(&mut self) {
        let Some(batch) = self.configuration.batch.take() else { return };
        for asked in batch.changes {
            let outcome = asked.outcome.unwrap_or(ChangeOutcome::Unknown { reason: "not tried".to_owned() });
            let line = outcome.line(&asked.change.change_id);
            self.journal.append("change", line, self.now);
            let change_id = asked.change.change_id;
            self.act(Act::ChangeAnswered { request: asked.request, change_id, outcome });
        }
        self.begin_batch();
    }

    fn publish_base(&mut self) {
        let stored = &self.configuration.base.1;
        if stored.generation <= self.news.sequence(CONFIGURATION_KEY) {
            return;
        }
        let (generation, storedBytes) = (stored.generation, Bytes(stored.encode()));
        self.news.publish(CONFIGURATION_KEY, self.settings.node, generation, storedBytes);
        self.configuration_news();
    }

    /// Newer news of the configuration: it was checked before it was stored.
    pub(crate) fn configuration_news(&mut self) {
        let Some(newsBody) = self.news.body(CONFIGURATION_KEY) else { return };
        let Some(stored) = StoredConfiguration::decode(&newsBody.0) else { return };
        if stored.generation <= self.configuration.generation {
            return;
        }
        let Some(configuration) = stored.trusted() else {
            self.journal.append("foreign_configuration", json!({"generation": stored.generation}), self.now);
            return;
        };
        let configuration = Arc::new(configuration);
        self.configuration.current = configuration.clone();
        self.configuration.generation = stored.generation;
        self.stewards.election.take_functions(configuration.functions.keys().cloned().collect());
        self.configuration_changed();
        self.journal.append("configuration", json!({"generation": stored.generation}), self.now);
        self.act(Act::ConfigurationTaken { generation: stored.generation, configuration });
    }

    /// The configuration's stored bytes as this node knows them.
    /// Example: `StoredConfiguration::decode(&node.stored_configuration())`.
    pub fn stored_configuration(&self) -> Vec<u8> {
        match self.news.body(CONFIGURATION_KEY) {
            Some(body) => body.0.clone(),
            None => StoredConfiguration::empty().encode(),
        }
    }

    pub(crate) fn tick_configuration(&mut self) {
        let now = self.now;
        if let Some(batch) = &self.configuration.batch
            && batch.retry_at.is_some_and(|retryAt| now >= retryAt)
        {
            self.attempt_batch();
        }
        if self.configuration.confirmed || !self.configuration.confirm_event.due(now) {
            return;
        }
        if self.configuration.generation > 0 && now >= self.started_at + CONFIRM_PATIENCE {
            self.configuration.confirmed = true;
            self.tell_ready();
            return;
        }
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    fn tell_ready(&mut self) {
        if !self.configuration.ready_told {
            self.configuration.ready_told = true;
            self.act(Act::Ready);
        }
    }
}
