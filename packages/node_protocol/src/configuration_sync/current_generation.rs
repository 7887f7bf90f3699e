//! Which configuration generation is in use at this node, and how this node confirms with a majority of the
//! disks which one is in force. The generation at a node never goes back.

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

/// How often the owner of the configuration's key reads it by a majority, and how soon a voter requests a
/// read after storing a version that it has not seen confirmed.
const OWNER_READ_INTERVAL: Micros = Micros::from_millis(500);
const STORED_READ_INTERVAL: Micros = Micros::from_millis(250);
/// Every other node reads at an interval that grows with the number of members, so that all together send
/// the owner a bounded rate of reads.
const READ_INTERVAL: Micros = Micros::from_millis(1_000);
const READ_INTERVAL_PER_MEMBER: Micros = Micros::from_millis(60);
/// A newer generation that peers reported and that gossip has not delivered within this time is read from a
/// majority. The read is repeated after the second interval plus the transfer time of the whole
/// configuration over this machine's link, or at the usual interval if that is shorter.
const GOSSIP_TIMEOUT: Micros = Micros::from_millis(2_000);
const AWAITED_READ_INTERVAL: Micros = Micros::from_millis(1_000);
/// A node that was suspended or out of contact continues after this time with the newest configuration that
/// it has, its own or from peers, even if no majority confirmed it.
const STALENESS_TIMEOUT: Micros = Micros::from_millis(2_000);

impl ConfigurationSync {
    /// Time since a majority last confirmed to this node which version of the configuration is in force.
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
    /// Handles the response to the read at this node's start.
    pub(crate) fn configuration_read(&mut self, outcome: WriteOutcome) {
        if outcome.outcome != WRITTEN {
            return;
        }
        self.adopt_base(&outcome);
        self.configuration_confirmed(outcome.version);
    }

    /// A majority confirmed that the configuration known here is in force, under this version.
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

    /// Called after this process was suspended or out of contact: confirms which generation is in force
    /// before its calls continue.
    pub(crate) fn suspect_configuration(&mut self) {
        if !self.configuration.confirmed {
            return;
        }
        self.configuration.suspected_since = Some(self.now);
        self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
    }

    /// Adopts the configuration's register as confirmed by a majority.
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

    /// Applies a newer configuration from gossip; it was validated before it was stored.
    pub(crate) fn handle_configuration_update(&mut self) {
        // The gossip sequence is the generation.
        if self.gossip.sequence(CONFIGURATION_KEY) <= self.configuration.generation {
            return;
        }
        match self.known_deltas() {
            Some(deltas) => self.apply_deltas(deltas),
            None => self.adopt_whole_configuration(),
        }
    }

    /// The deltas since the generation in use here, if gossip has all of them.
    fn known_deltas(&self) -> Option<Vec<ConfigurationDelta>> {
        let current_generation = self.configuration.generation;
        let encoded_deltas = self.gossip.change_descriptions_since(CONFIGURATION_KEY, current_generation)?;
        let deltas: Vec<ConfigurationDelta> = encoded_deltas
            .iter()
            .map(|delta_bytes| ConfigurationDelta::decode(&delta_bytes.0))
            .collect::<Option<_>>()?;
        let reached_generation = deltas.iter().try_fold(current_generation, |generation, delta| {
            (delta.base_generation == generation).then_some(delta.generation)
        })?;
        (reached_generation == self.gossip.sequence(CONFIGURATION_KEY)).then_some(deltas)
    }

    /// Applies deltas; the cost depends on the size of the changes, not of the configuration.
    fn apply_deltas(&mut self, deltas: Vec<ConfigurationDelta>) {
        for delta in &deltas {
            let affected = self.configuration_changes(delta);
            delta.apply(Arc::make_mut(&mut self.configuration.current));
            self.configuration.generation = delta.generation;
            self.settings_changed(delta, &affected);
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

    /// Handles an operator's read. A majority confirms it, so that it never shows less than what was
    /// acknowledged by any node.
    pub(crate) fn configuration_requested(&mut self, request: u64) {
        let purpose = WritePurpose::ConfigurationRequested { request };
        if self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), purpose).is_none() {
            self.emit(Action::ConfigurationRead { request, response: ConfigurationResponse::Unconfirmed });
        }
    }

    /// The stored bytes of the configuration as known to this node.
    /// Example: `StoredConfiguration::decode(&node.stored_configuration())`.
    pub fn stored_configuration(&self) -> Vec<u8> {
        match self.gossip.body(CONFIGURATION_KEY) {
            Some(body) => body.0.clone(),
            None => StoredConfiguration::empty().encode(),
        }
    }

    /// The length of [`Node::stored_configuration`], zero before the first configuration.
    pub(crate) fn stored_configuration_length(&self) -> usize {
        self.gossip.body(CONFIGURATION_KEY).map_or(0, |body| body.0.len())
    }

    /// Updates whether this node's generation is suspected to be outdated, and sends the periodic confirmed
    /// reads.
    pub(super) fn tick_generation(&mut self) {
        self.update_staleness();
        if self.configuration.confirmed && !self.configuration.is_suspected() {
            self.read_if_due();
            return;
        }
        if self.configuration.confirm_ticker.due(self.now) {
            // A new process becomes ready only when a majority confirms: the previous process may have used
            // a newer generation than any peer that responds.
            self.send_write(CONFIGURATION_KEY, 0, Bytes::default(), WritePurpose::ConfigurationRead);
        }
    }

    fn update_staleness(&mut self) {
        let now = self.now;
        // Neither peers nor the platform respond: this machine is isolated. A sole survivor that still
        // reaches the platform continues.
        if self.configuration.confirmed && self.is_out_of_contact() && !self.has_fresh_list() {
            self.configuration.suspected_since = Some(now);
        }
        if let Some(suspected_since) = self.configuration.suspected_since
            && now >= suspected_since + STALENESS_TIMEOUT
        {
            self.configuration.suspected_since = None;
        }
    }

    /// Reads the configuration by a majority when due. A change may have been acknowledged by a node that
    /// failed before it sent the change to others. The key's owner therefore reads at a fixed interval, a
    /// voter reads soon after it stored a version that it has not seen confirmed, a node that knows of a
    /// newer generation that gossip has not delivered reads early, and every other node reads at the usual
    /// interval.
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

    /// Whether a newer generation was reported and has not arrived by gossip within the timeout.
    fn is_gossip_overdue(&self) -> bool {
        let awaited_since = self.gossip.awaited_since(CONFIGURATION_KEY);
        awaited_since.is_some_and(|since| self.now >= since + GOSSIP_TIMEOUT)
    }

    /// Transfer time of the whole configuration over this machine's link.
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
