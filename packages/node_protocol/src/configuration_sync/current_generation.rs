//! Which generation of the configuration holds at this node, and how a majority of the disks is asked which
//! one stands. A generation, once seen, never goes back.

use super::ConfigurationSync;
use crate::control_store::WritePurpose;
use crate::node::Node;
use crate::{Action, ConfigurationResponse};
use configuration_schema::{Configuration, ConfigurationDelta, StoredConfiguration};
use control_registers::{CONFIGURATION_KEY, WRITTEN};
use monotonic_clock::Micros;
use peer_messages::{Bytes, WriteOutcome};
use serde_json::json;
use std::sync::Arc;

/// How often the owner of the configuration's key reads it by a majority, and how soon a voter asks that
/// stored a version which nobody told it to be confirmed.
const OWNER_READ_INTERVAL: Micros = Micros::from_millis(500);
const STORED_READ_INTERVAL: Micros = Micros::from_millis(250);
/// Every other node asks in turn, so that all of them together send the owner a bounded number of reads.
const READ_INTERVAL: Micros = Micros::from_millis(1_000);
const READ_INTERVAL_PER_MEMBER: Micros = Micros::from_millis(60);
/// A newer generation that colleagues told of and that the news did not bring within this is asked of a majority,
/// again after as long and the time that the whole takes over this machine's link.
const GOSSIP_TIMEOUT: Micros = Micros::from_millis(2_000);
const AWAITED_READ_INTERVAL: Micros = Micros::from_millis(1_000);
/// A node that was away goes on by what it has and by what colleagues told it after this.
const STALENESS_TIMEOUT: Micros = Micros::from_millis(2_000);

impl ConfigurationSync {
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

    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }
}

impl Node {
    /// The answer to the read at the start of the node.
    pub(crate) fn configuration_read(&mut self, outcome: WriteOutcome) {
        if outcome.outcome != WRITTEN {
            return;
        }
        self.adopt_base(&outcome);
        self.configuration_confirmed(outcome.version);
    }

    /// A majority confirmed that the configuration known here stands, under this version.
    pub(crate) fn configuration_confirmed(&mut self, version: u64) {
        self.record_majority_version(version);
        self.configuration.confirmed = true;
        self.configuration.suspected_since = None;
        self.report_ready();
    }

    pub(super) fn record_majority_version(&mut self, version: u64) {
        self.configuration.majority_read_at = Some(self.now);
        self.configuration.majority_version = self.configuration.majority_version.max(version);
    }

    /// This node was away: before its calls go on it asks which generation holds.
    pub(crate) fn suspect_configuration(&mut self) {
        if !self.configuration.confirmed {
            return;
        }
        self.configuration.suspected_since = Some(self.now);
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    /// Takes the configuration's register as a majority confirmed it.
    pub(crate) fn adopt_base(&mut self, outcome: &WriteOutcome) {
        self.record_majority_version(outcome.version);
        if outcome.version <= self.configuration.base.0 {
            return;
        }
        let Some(stored) = StoredConfiguration::decode(&outcome.value.0) else { return };
        self.configuration.base = (outcome.version, stored);
        self.publish_base();
    }

    pub(super) fn publish_base(&mut self) {
        let stored = &self.configuration.base.1;
        if stored.generation <= self.gossip.sequence(CONFIGURATION_KEY) {
            return;
        }
        let (generation, stored_bytes) = (stored.generation, Bytes(stored.encode()));
        let delta_bytes = stored.trusted().map_or_else(Vec::new, |next| {
            let base = (self.configuration.generation, &*self.configuration.current);
            ConfigurationDelta::between(base, (generation, &next)).encode()
        });
        let own = self.settings.node;
        self.gossip.publish_changed(CONFIGURATION_KEY, own, generation, stored_bytes, Bytes(delta_bytes));
        self.handle_configuration_update();
    }

    /// Newer news of the configuration: it was checked before it was stored.
    pub(crate) fn handle_configuration_update(&mut self) {
        // The news' sequence is the generation.
        if self.gossip.sequence(CONFIGURATION_KEY) <= self.configuration.generation {
            return;
        }
        match self.known_deltas() {
            Some(deltas) => self.apply_deltas(deltas),
            None => self.adopt_whole_configuration(),
        }
    }

    /// What changed since the generation that holds here, item by item, if the news tell all of it.
    fn known_deltas(&self) -> Option<Vec<ConfigurationDelta>> {
        let current_generation = self.configuration.generation;
        let encoded_deltas = self.gossip.meanings_since(CONFIGURATION_KEY, current_generation)?;
        let deltas: Vec<ConfigurationDelta> = encoded_deltas
            .iter()
            .map(|delta_bytes| ConfigurationDelta::decode(&delta_bytes.0))
            .collect::<Option<_>>()?;
        let reached_generation = deltas.iter().try_fold(current_generation, |generation, delta| {
            (delta.base_generation == generation).then_some(delta.generation)
        })?;
        (reached_generation == self.gossip.sequence(CONFIGURATION_KEY)).then_some(deltas)
    }

    /// Costs what changed, not what the configuration holds.
    fn apply_deltas(&mut self, deltas: Vec<ConfigurationDelta>) {
        for delta in &deltas {
            let touched = self.configuration_changes(delta);
            delta.apply(Arc::make_mut(&mut self.configuration.current));
            self.configuration.generation = delta.generation;
            self.settings_changed(delta, &touched);
        }
        self.emit_configuration(deltas);
    }

    fn adopt_whole_configuration(&mut self) {
        let Some(gossip_body) = self.gossip.body(CONFIGURATION_KEY) else { return };
        let Some(stored) = StoredConfiguration::decode(&gossip_body.0) else { return };
        if stored.generation <= self.configuration.generation {
            return;
        }
        let Some(configuration) = stored.trusted() else {
            self.decision_log.append(
                "foreign_configuration",
                json!({"generation": stored.generation}),
                self.now,
            );
            return;
        };
        self.configuration.current = Arc::new(configuration);
        self.configuration.generation = stored.generation;
        self.configuration_replaced();
        self.emit_configuration(Vec::new());
    }

    fn emit_configuration(&mut self, deltas: Vec<ConfigurationDelta>) {
        let (generation, configuration) = (self.configuration.generation, self.configuration.current());
        self.decision_log.append("configuration", json!({"generation": generation}), self.now);
        self.emit(Action::ConfigurationApplied { generation, configuration, deltas });
    }

    /// An operator's read is confirmed by a majority, so that it never shows less than what was
    /// acknowledged anywhere.
    pub(crate) fn configuration_requested(&mut self, request: u64) {
        let purpose = WritePurpose::ConfigurationRequested { request };
        if self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), purpose).is_none() {
            self.emit(Action::ConfigurationAnswered {
                request,
                response: ConfigurationResponse::Unconfirmed,
            });
        }
    }

    /// The configuration's stored bytes as this node knows them.
    /// Example: `StoredConfiguration::decode(&node.stored_configuration())`.
    pub fn stored_configuration(&self) -> Vec<u8> {
        match self.gossip.body(CONFIGURATION_KEY) {
            Some(body) => body.0.clone(),
            None => StoredConfiguration::empty().encode(),
        }
    }

    /// How many bytes [`Node::stored_configuration`] has, zero before the first configuration.
    pub(crate) fn stored_configuration_length(&self) -> usize {
        self.gossip.body(CONFIGURATION_KEY).map_or(0, |body| body.0.len())
    }

    /// Keeps to what is known, or asks a majority: a doubt begins and ends with time.
    pub(super) fn tick_generation(&mut self) {
        self.update_staleness();
        if self.configuration.confirmed && !self.configuration.is_suspected() {
            self.read_if_due();
            return;
        }
        if self.configuration.confirm_ticker.due(self.now) {
            // A new process is ready by a majority's word alone: the one before it may have used a newer
            // generation than any peer that it hears.
            self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
        }
    }

    fn update_staleness(&mut self) {
        let now = self.now;
        // Nobody is heard and the platform does not answer either: this machine is cut off. A lone
        // survivor, which still reaches the platform, goes on.
        if self.configuration.confirmed && self.is_out_of_contact() && !self.has_fresh_list() {
            self.configuration.suspected_since = Some(now);
        }
        if let Some(suspected_since) = self.configuration.suspected_since
            && now >= suspected_since + STALENESS_TIMEOUT
        {
            self.configuration.suspected_since = None;
        }
    }

    /// A change may have been acknowledged by a node that was lost before it told anybody. The owner of
    /// the key therefore reads it by a majority in a steady rhythm, a voter asks soon after it stored a
    /// version that it did not hear confirmed, whoever heard of a newer generation that does not come asks
    /// out of turn, and every other node asks in turn.
    fn read_if_due(&mut self) {
        let now = self.now;
        let read_at = self.configuration.majority_read_at.unwrap_or(Micros(0));
        let requested_at = self.configuration.read_requested_at.max(read_at);
        let stored_version = self.control.stored_version(CONFIGURATION_KEY);
        let is_stored_newer = stored_version > self.configuration.majority_version;
        let fleet_interval = Micros(READ_INTERVAL_PER_MEMBER.0 * self.members.live().len() as u64);
        let usual_interval = READ_INTERVAL.max(fleet_interval);
        let interval = match is_stored_newer {
            true => STORED_READ_INTERVAL,
            false if self.key_owner(CONFIGURATION_KEY) == Some(self.settings.node) => OWNER_READ_INTERVAL,
            false if self.is_gossip_overdue() => {
                usual_interval.min(AWAITED_READ_INTERVAL + self.full_transfer_time())
            }
            false => usual_interval,
        };
        if now < requested_at + interval {
            return;
        }
        self.configuration.read_requested_at = now;
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    /// Whether a newer generation was told of and has not come by the news for so long.
    fn is_gossip_overdue(&self) -> bool {
        let awaited_since = self.gossip.awaited_since(CONFIGURATION_KEY);
        awaited_since.is_some_and(|since| self.now >= since + GOSSIP_TIMEOUT)
    }

    /// How long the whole configuration is under way over this machine's link.
    fn full_transfer_time(&self) -> Micros {
        let bytes = self.stored_configuration_length() as f64;
        Micros((self.settings.link_rate.map_or(0.0, |rate| bytes / rate) * 1e6) as u64)
    }

    fn report_ready(&mut self) {
        if !self.configuration.is_ready_reported {
            self.configuration.is_ready_reported = true;
            self.emit(Action::Ready);
        }
    }
}
