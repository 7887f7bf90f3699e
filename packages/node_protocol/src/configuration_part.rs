//! The configuration: operators' changes on their way into its register, and newer generations on
//! their way to this node's calls. A generation, once seen, never goes back.

use crate::control_part::WritePurpose;
use crate::node::Node;
use crate::{Act, ConfigurationAnswer};
use clock_events::{ClockEvent, Micros};
use colleague_messages::{Bytes, Message, NodeId, WriteOutcome};
use configuration_check::{Change, ChangeOutcome, Configuration, StoredConfiguration};
use control_registers::{CONFIGURATION_KEY, DIFFERS, WRITTEN};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const CHANGE_WAITLIST: usize = 256;
const BATCH_LIMIT: usize = 64;
const WRITE_LIMIT: u32 = 8;
const CHANGE_SPAN: Micros = Micros::from_secs(6);
const CARRY_PATIENCE: Micros = Micros::from_millis(1_000);
const UNCONFIRMED: &str = "no majority of the disks confirmed it; send it again under the same id";
const RETRY_PAUSE: Micros = Micros::from_millis(150);
/// An operator that hears nothing goes on to another node after about a second: a node that reaches no
/// majority says so before that, and carries the change on all the same.
const ANSWER_WITHIN: Micros = Micros::from_millis(900);
/// While a change waits, the voters are asked for a direct answer this often.
const VOTER_PROBE_INTERVAL: Micros = Micros::from_millis(250);
/// How often the owner of the configuration's key reads it by a majority, and how soon a voter asks that
/// stored a version which nobody told it to be confirmed.
const OWNER_READ_INTERVAL: Micros = Micros::from_millis(500);
const STORED_READ_INTERVAL: Micros = Micros::from_millis(250);
/// Every other node asks in turn, so that all of them together send the owner a bounded number of reads.
const READ_INTERVAL: Micros = Micros::from_millis(1_000);
const READ_SHARE: Micros = Micros::from_millis(60);
/// A node that was away goes on by what it has and by what colleagues told it after this.
const DOUBT_PATIENCE: Micros = Micros::from_millis(2_000);

/// Who waits for a change's outcome: the node that an operator asked, which may be this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Asker {
    node: NodeId,
    ask: u64,
}

/// A change passed on to the owner of the configuration's key.
#[derive(Debug)]
struct CarriedChange {
    request: u64,
    change: Change,
    asked_at: Micros,
    sent_at: Micros,
    /// The owner it was sent to; none while there is no owner.
    owner: Option<NodeId>,
    /// The operator was told that the outcome is not known yet.
    is_answered: bool,
    /// How long it is under way over this machine's link, at the most.
    travel: Micros,
}

#[derive(Debug)]
struct AskedChange {
    asker: Asker,
    change: Change,
    asked_at: Micros,
    outcome: Option<ChangeOutcome>,
}

#[derive(Debug)]
struct Batch {
    changes: Vec<AskedChange>,
    /// The version of the base that the outcomes rest on: the base may move on meanwhile.
    base_version: u64,
    /// The next value, if any change was accepted on top of the base.
    next: StoredConfiguration,
    writes: u32,
    /// Set while waiting to try again.
    retry_at: Option<Micros>,
}

#[derive(Debug)]
pub(crate) struct ConfigurationPart {
    current: Arc<Configuration>,
    generation: u64,
    confirmed: bool,
    /// Set while this node, asleep or cut off until then, does not know whether a newer generation
    /// holds: no ticket is used meanwhile.
    doubted_since: Option<Micros>,
    ready_told: bool,
    /// The register's version and value as last seen.
    base: (u64, StoredConfiguration),
    batch: Option<Batch>,
    waitlist: VecDeque<AskedChange>,
    carried: BTreeMap<u64, CarriedChange>,
    confirm_event: ClockEvent,
    /// When this node last heard from a majority which version of the register stands.
    majority_read_at: Option<Micros>,
    majority_version: u64,
    /// Which nodes answered probes of this one directly, and when, while changes wait.
    voter_answers: BTreeMap<NodeId, Micros>,
    voter_probe_event: ClockEvent,
    read_asked_at: Micros,
}

impl ConfigurationPart {
    pub(crate) fn new() -> ConfigurationPart {
        ConfigurationPart {
            current: Arc::new(Configuration::empty()),
            generation: 0,
            confirmed: false,
            doubted_since: None,
            ready_told: false,
            base: (0, StoredConfiguration::empty()),
            batch: None,
            waitlist: VecDeque::new(),
            carried: BTreeMap::new(),
            confirm_event: ClockEvent::each(Micros::from_millis(300)),
            majority_read_at: None,
            majority_version: 0,
            voter_answers: BTreeMap::new(),
            voter_probe_event: ClockEvent::each(VOTER_PROBE_INTERVAL),
            read_asked_at: Micros(0),
        }
    }

    /// How long ago a majority told this node which version of the configuration stands.
    pub(crate) fn majority_read_age(&self, now: Micros) -> Option<Micros> {
        self.majority_read_at.map(|read_at| now - read_at)
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

    pub(crate) fn is_doubted(&self) -> bool {
        self.doubted_since.is_some()
    }
}

impl Node {
    /// An operator's change: the owner of the configuration's key settles it, since changes that meet
    /// at one node never race; any other node passes it on.
    pub(crate) fn change_asked(&mut self, request: u64, change: Change) {
        if self.configuration.carried.len() >= CHANGE_WAITLIST {
            let outcome = overloaded();
            self.act(Act::ChangeAnswered { request, change_id: change.change_id, outcome });
            return;
        }
        let ask = self.fresh_ask();
        let carried = CarriedChange {
            request,
            change,
            asked_at: self.now,
            sent_at: self.now,
            owner: None,
            is_answered: false,
            travel: Micros(0),
        };
        self.configuration.carried.insert(ask, carried);
        self.carry_change(ask);
    }

    /// Sends a change to the owner of the configuration's key; repeating it is harmless, since its id
    /// is remembered with the configuration.
    fn carry_change(&mut self, ask: u64) {
        let owner = self.key_owner(CONFIGURATION_KEY);
        let now = self.now;
        let Some(carried) = self.configuration.carried.get_mut(&ask) else { return };
        carried.sent_at = now;
        carried.owner = owner;
        let Some(owner) = owner else { return };
        if owner == self.settings.node {
            let (change, asked_at) = (carried.change.clone(), carried.asked_at);
            self.await_turn(Asker { node: owner, ask }, change, asked_at);
            return;
        }
        let change = Bytes(serde_json::to_vec(&carried.change).unwrap_or_default());
        let seconds = self.settings.link_rate.map_or(0.0, |rate| change.0.len() as f64 / rate);
        carried.travel = Micros((seconds * 1e6) as u64);
        self.send(owner, Message::ChangeCarry { ask, change });
    }

    /// A colleague passes a change on to this node.
    pub(crate) fn change_carried(&mut self, from: NodeId, ask: u64, change_bytes: &Bytes) {
        let Ok(change) = serde_json::from_slice::<Change>(&change_bytes.0) else { return };
        self.await_turn(Asker { node: from, ask }, change, self.now);
    }

    fn await_turn(&mut self, asker: Asker, change: Change, asked_at: Micros) {
        let is_known = |asked: &AskedChange| asked.asker == asker;
        let in_batch = self.configuration.batch.iter().flat_map(|batch| &batch.changes).any(is_known);
        if in_batch || self.configuration.waitlist.iter().any(is_known) {
            return;
        }
        if self.configuration.waitlist.len() >= CHANGE_WAITLIST {
            let outcome = overloaded();
            self.answer_change(asker, &outcome);
            return;
        }
        let asked_change = AskedChange { asker, change, asked_at, outcome: None };
        self.configuration.waitlist.push_back(asked_change);
        self.begin_batch();
    }

    fn answer_change(&mut self, asker: Asker, outcome: &ChangeOutcome) {
        let outcome = Bytes(serde_json::to_vec(outcome).unwrap_or_default());
        self.send(asker.node, Message::ChangeSettled { ask: asker.ask, outcome });
    }

    /// The owner's outcome of a change that this node passed on.
    pub(crate) fn change_settled(&mut self, ask: u64, outcome_bytes: &Bytes) {
        let Ok(outcome) = serde_json::from_slice::<ChangeOutcome>(&outcome_bytes.0) else { return };
        let Some(carried) = self.configuration.carried.remove(&ask) else { return };
        if carried.is_answered {
            return;
        }
        let change_id = carried.change.change_id;
        self.act(Act::ChangeAnswered { request: carried.request, change_id, outcome });
    }

    /// Passed-on changes without an outcome are sent anew, perhaps to another owner, and given up
    /// with their fate unknown when their time is over.
    fn tick_carried(&mut self) {
        let now = self.now;
        self.probe_voters_for_changes();
        let asks: Vec<u64> = self.configuration.carried.keys().copied().collect();
        for ask in asks {
            let Some(carried) = self.configuration.carried.get(&ask) else { continue };
            if now >= carried.asked_at + ANSWER_WITHIN && !self.reached_majority_since(carried.asked_at) {
                self.answer_unconfirmed(ask);
            }
            let Some(carried) = self.configuration.carried.get(&ask) else { continue };
            if now >= carried.asked_at + CHANGE_SPAN {
                self.answer_unconfirmed(ask);
                self.configuration.carried.remove(&ask);
                continue;
            }
            let patience = match carried.owner {
                Some(_) => CARRY_PATIENCE + carried.travel,
                None => RETRY_PAUSE,
            };
            let is_owner_gone = carried.owner.is_some_and(|owner| self.members.find(owner).is_none());
            if now >= carried.sent_at + patience || is_owner_gone {
                self.carry_change(ask);
            }
        }
    }

    /// Finds out, while changes wait, whether this node has a way to a majority and back.
    fn probe_voters_for_changes(&mut self) {
        if self.configuration.carried.is_empty() {
            self.configuration.voter_answers.clear();
            return;
        }
        if self.configuration.voter_probe_event.due(self.now) {
            self.probe_voters();
        }
    }

    /// Notes that a node answered a probe of this one directly; kept while changes wait.
    pub(crate) fn probe_answered(&mut self, node: NodeId) {
        if !self.configuration.carried.is_empty() {
            self.configuration.voter_answers.insert(node, self.now);
        }
    }

    fn reached_majority_since(&self, since: Micros) -> bool {
        let answers = self.configuration.voter_answers.iter();
        let answering = answers.filter(|(_, answered_at)| **answered_at >= since).map(|(node, _)| *node);
        self.is_majority(&answering.collect())
    }

    /// Tells the operator, once, that a passed-on change has no outcome yet.
    fn answer_unconfirmed(&mut self, ask: u64) {
        let Some(carried) = self.configuration.carried.get_mut(&ask) else { return };
        if std::mem::replace(&mut carried.is_answered, true) {
            return;
        }
        let (request, change_id) = (carried.request, carried.change.change_id.clone());
        let outcome = ChangeOutcome::Unknown { reason: UNCONFIRMED.to_owned() };
        self.act(Act::ChangeAnswered { request, change_id, outcome });
    }

    /// Changes that wait are applied together, in turn, and written as one value.
    fn begin_batch(&mut self) {
        if self.configuration.batch.is_some() || self.configuration.waitlist.is_empty() {
            return;
        }
        let batch_size = self.configuration.waitlist.len().min(BATCH_LIMIT);
        let changes = self.configuration.waitlist.drain(..batch_size).collect();
        self.configuration.batch = Some(Batch {
            changes,
            base_version: 0,
            next: StoredConfiguration::empty(),
            writes: 0,
            retry_at: None,
        });
        self.write_batch();
    }

    fn write_batch(&mut self) {
        let (base_version, base_stored) = self.configuration.base.clone();
        let Some(batch) = &mut self.configuration.batch else { return };
        batch.writes += 1;
        batch.retry_at = None;
        batch.next = base_stored;
        batch.base_version = base_version;
        let mut accepted_count = 0;
        for asked in &mut batch.changes {
            let outcome = batch.next.apply(&asked.change);
            accepted_count += u32::from(matches!(outcome, ChangeOutcome::Accepted { repeated: false, .. }));
            asked.outcome = Some(outcome);
        }
        // With nothing to write the refusals still rest on a base that must be confirmed.
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

    /// The answer to the batch's write.
    pub(crate) fn configuration_written(&mut self, outcome: WriteOutcome) {
        match outcome.outcome {
            WRITTEN => {
                let Some(batch) = &self.configuration.batch else { return };
                self.configuration.base = (outcome.version, batch.next.clone());
                self.majority_told(outcome.version);
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
        let Some(batch) = &self.configuration.batch else { return };
        let is_base_newest = outcome.version == batch.base_version;
        self.take_base(&outcome);
        match is_base_newest {
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
        self.configuration_confirmed(outcome.version);
    }

    /// A majority confirmed that the configuration known here stands, under this version.
    pub(crate) fn configuration_confirmed(&mut self, version: u64) {
        self.majority_told(version);
        self.configuration.confirmed = true;
        self.configuration.doubted_since = None;
        self.tell_ready();
    }

    fn majority_told(&mut self, version: u64) {
        self.configuration.majority_read_at = Some(self.now);
        self.configuration.majority_version = self.configuration.majority_version.max(version);
    }

    /// This node was away: before its calls go on it asks which generation holds.
    pub(crate) fn doubt_configuration(&mut self) {
        if !self.configuration.confirmed {
            return;
        }
        self.configuration.doubted_since = Some(self.now);
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    /// Takes the configuration's register as a majority confirmed it.
    pub(crate) fn take_base(&mut self, outcome: &WriteOutcome) {
        self.majority_told(outcome.version);
        if outcome.version <= self.configuration.base.0 {
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
        let is_over = batch.changes.iter().any(|asked| now >= asked.asked_at + CHANGE_SPAN);
        if (batch.writes >= WRITE_LIMIT && pause == Micros(0)) || is_over {
            for asked in &mut batch.changes {
                asked.outcome = Some(ChangeOutcome::Unknown { reason: UNCONFIRMED.to_owned() });
            }
            self.answer_batch();
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
        self.answer_batch();
    }

    fn answer_batch(&mut self) {
        let Some(batch) = self.configuration.batch.take() else { return };
        for asked in batch.changes {
            let outcome = asked.outcome.unwrap_or(ChangeOutcome::Unknown { reason: "not tried".to_owned() });
            let line = outcome.line(&asked.change.change_id);
            self.journal.append("change", line, self.now);
            self.answer_change(asked.asker, &outcome);
        }
        self.begin_batch();
    }

    fn publish_base(&mut self) {
        let stored = &self.configuration.base.1;
        if stored.generation <= self.news.sequence(CONFIGURATION_KEY) {
            return;
        }
        let (generation, stored_bytes) = (stored.generation, Bytes(stored.encode()));
        self.news.publish(CONFIGURATION_KEY, self.settings.node, generation, stored_bytes);
        self.configuration_news();
    }

    /// Newer news of the configuration: it was checked before it was stored.
    pub(crate) fn configuration_news(&mut self) {
        let Some(news_body) = self.news.body(CONFIGURATION_KEY) else { return };
        let Some(stored) = StoredConfiguration::decode(&news_body.0) else { return };
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

    /// An operator's read is confirmed by a majority, so that it never shows less than what was
    /// acknowledged anywhere.
    pub(crate) fn configuration_asked(&mut self, request: u64) {
        let purpose = WritePurpose::ConfigurationAsked { request };
        if self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), purpose).is_none() {
            self.act(Act::ConfigurationAnswered { request, answer: ConfigurationAnswer::Unconfirmed });
        }
    }

    /// The configuration's stored bytes as this node knows them.
    /// Example: `StoredConfiguration::decode(&node.stored_configuration())`.
    pub fn stored_configuration(&self) -> Vec<u8> {
        match self.news.body(CONFIGURATION_KEY) {
            Some(body) => body.0.clone(),
            None => StoredConfiguration::empty().encode(),
        }
    }

    /// How many bytes [`Node::stored_configuration`] has, zero before the first configuration.
    pub(crate) fn stored_configuration_length(&self) -> usize {
        self.news.body(CONFIGURATION_KEY).map_or(0, |body| body.0.len())
    }

    pub(crate) fn tick_configuration(&mut self) {
        let now = self.now;
        self.tick_carried();
        if let Some(batch) = &self.configuration.batch
            && batch.retry_at.is_some_and(|retry_at| now >= retry_at)
        {
            self.write_batch();
        }
        // Nobody is heard and the platform does not answer either: this machine is cut off. A lone
        // survivor, which still reaches the platform, goes on.
        if self.configuration.confirmed && self.is_unheard() && !self.has_fresh_list() {
            self.configuration.doubted_since = Some(now);
        }
        if let Some(doubted_since) = self.configuration.doubted_since
            && now >= doubted_since + DOUBT_PATIENCE
        {
            self.configuration.doubted_since = None;
        }
        let is_sure = self.configuration.confirmed && !self.configuration.is_doubted();
        if is_sure {
            self.read_in_turn();
            return;
        }
        if !self.configuration.confirm_event.due(now) {
            return;
        }
        // A new process is ready by a majority's word alone: the one before it may have used a newer
        // generation than any colleague that it hears.
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    /// A change may have been acknowledged by a node that was lost before it told anybody. The owner of
    /// the key therefore reads it by a majority in a steady rhythm, a voter asks soon after it stored a
    /// version that it did not hear confirmed, and every other node asks in turn.
    fn read_in_turn(&mut self) {
        let now = self.now;
        let read_at = self.configuration.majority_read_at.unwrap_or(Micros(0));
        let asked_at = self.configuration.read_asked_at.max(read_at);
        let stored_version = self.control.stored_version(CONFIGURATION_KEY);
        let is_stored_newer = stored_version > self.configuration.majority_version;
        let share = Micros(READ_SHARE.0 * self.members.live().len() as u64);
        let interval = match is_stored_newer {
            true => STORED_READ_INTERVAL,
            false if self.key_owner(CONFIGURATION_KEY) == Some(self.settings.node) => OWNER_READ_INTERVAL,
            false => READ_INTERVAL.max(share),
        };
        if now < asked_at + interval {
            return;
        }
        self.configuration.read_asked_at = now;
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    fn tell_ready(&mut self) {
        if !self.configuration.ready_told {
            self.configuration.ready_told = true;
            self.act(Act::Ready);
        }
    }
}

/// The answer where the node has too much to do: no word of a majority, so it is no refusal.
fn overloaded() -> ChangeOutcome {
    ChangeOutcome::Unknown { reason: "too many changes wait at this node; send it again".to_owned() }
}
