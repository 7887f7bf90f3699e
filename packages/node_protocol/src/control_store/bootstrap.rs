//! Bootstrap of the first voter set, once in a fleet's life: which node may start it, when, and how the
//! selected disks respond.

use super::{DISK_BLANK, DISK_VOTING};
use crate::node::Node;
use crate::voter_placement::PlacedDisk;
use control_registers::{ChosenSet, VoterSet};
use monotonic_clock::Micros;
use peer_messages::{Address, List, Message, NodeId, stable_hash};
use serde_json::json;

/// How long enough blank disks are known before the bootstrap goes without the zones that have none of them. The
/// machines of a fleet start together; votes move to a zone that appears later.
const MISSING_ZONES_TIMEOUT: Micros = Micros::from_secs(2);

impl Node {
    /// Only one node with a disk may bootstrap: the seed with the lowest address among those that have one.
    /// Every seed with a lower address must have been contacted and have no disk; a process never changes that,
    /// so two nodes with disks cannot both qualify. Any rule based on which disks a node currently sees could
    /// let two nodes bootstrap two sets that share disks. Seeds without a disk qualify together; of them only
    /// the lowest proposes a set (see [`super::bootstrap_proposal`]).
    fn is_bootstrap_node(&self) -> bool {
        let own = self.settings.address;
        if self.settings.seeds.is_empty() {
            return true;
        }
        let is_seed = self.settings.seeds.contains(&own);
        is_seed && self.settings.seeds.iter().filter(|seed| **seed < own).all(|seed| self.lacks_disk(*seed))
    }

    fn lacks_disk(&self, address: Address) -> bool {
        self.members
            .peers()
            .any(|member| member.address == address && member.disk == 0 && member.disk_state == 0)
    }

    /// Bootstraps the first voter set, once, from this node's own disk and other blank disks, all live. No
    /// member may have voted before, and at least half of the seeds must have been contacted.
    pub(super) fn try_bootstrap(&mut self) {
        let is_bootstrap_node = self.is_bootstrap_node();
        let Some(disk) = &self.control.disk else {
            self.try_bootstrap_without_disk(is_bootstrap_node);
            return;
        };
        let (own_disk, own_set) = (disk.id, disk.registers.chosen().clone());
        if own_set.generation == 1 && own_set.joining.0.is_empty() {
            if self.members.own().disk_state != DISK_BLANK {
                self.finish_bootstrap(&own_set.disks.0);
            }
            return;
        }
        let is_bootstrapped = own_set.generation != 0 || self.control.set.generation != 0;
        if !is_bootstrap_node
            || !self.settings.may_bootstrap
            || is_bootstrapped
            || disk.is_failed
            || !self.may_start_bootstrap()
        {
            return;
        }
        if let Some(bootstrap_disks) = self.choose_bootstrap_disks(Some(own_disk)) {
            // This node's own disk stores the set first, by a message to itself, so that this node never
            // bootstraps another set whatever happens to the process afterwards.
            self.announce_bootstrap(&bootstrap_disks, &[own_disk]);
        }
    }

    /// The blank disks that vote first, a preferred one among them: spread so that the tolerated losses
    /// leave a majority. `None` while there are too few, or briefly while their zones are.
    pub(super) fn choose_bootstrap_disks(&mut self, preferred_disk: Option<u64>) -> Option<Vec<u64>> {
        let mut blank_disks = self.blank_disks();
        let count = self.settings.bootstrap_disks;
        if blank_disks.len() < count {
            self.control.enough_blank_disks_since = None;
            return None;
        }
        let enough_since = *self.control.enough_blank_disks_since.get_or_insert(self.now);
        blank_disks.sort_unstable_by_key(|placed| (Some(placed.disk) != preferred_disk, placed.disk));
        let chosen = self.settings.tolerance.spread(&blank_disks, count);
        if !self.settings.tolerance.is_tolerated_by(&chosen) {
            if self.now < enough_since + MISSING_ZONES_TIMEOUT {
                return None;
            }
            self.report_missing_zones(&chosen);
        }
        let mut disks: Vec<u64> = chosen.into_iter().map(|placed| placed.disk).collect();
        disks.sort_unstable();
        Some(disks)
    }

    /// Records that the first voters do not tolerate every loss that the settings name.
    fn report_missing_zones(&mut self, chosen: &[PlacedDisk]) {
        let zones: Vec<&str> = chosen.iter().map(|placed| placed.zone.as_str()).collect();
        let reason = "a tolerated loss of zones or regions would take a majority of the founding disks";
        self.report_bootstrap("founding_zones_missing", json!({"zones": zones, "reason": reason}));
    }

    /// Where no seed has a disk, the lowest one bootstraps by a proposal that all seeds record. Two proposing
    /// seeds with different views could each record another proposal, and neither would ever be complete.
    fn try_bootstrap_without_disk(&mut self, is_bootstrap_node: bool) {
        let own = self.settings.address;
        let is_lowest_seed = is_bootstrap_node && self.settings.seeds.iter().all(|seed| own <= *seed);
        let all_seeds_lack_disks = is_lowest_seed
            && self.members.own().disk_state == 0
            && self.settings.seeds.iter().filter(|seed| **seed != own).all(|seed| self.lacks_disk(*seed));
        if !all_seeds_lack_disks || self.control.set.generation != 0 || !self.may_start_bootstrap() {
            return;
        }
        let may_propose = self.settings.is_first_start && self.settings.may_bootstrap;
        match may_propose && !self.settings.seeds.is_empty() {
            true => self.try_bootstrap_by_proposal(),
            false => self.report_bootstrap_wait(),
        }
    }

    /// Records that no seed can bootstrap.
    fn report_bootstrap_wait(&mut self) {
        if self.members.live().len() > 1 {
            self.report_waiting_bootstrap("a seed founds the state, and none has a data folder");
        }
    }

    /// Records why the bootstrap waits.
    pub(super) fn report_waiting_bootstrap(&mut self, reason: &str) {
        self.report_bootstrap("founding_waits", json!({"reason": reason}));
    }

    /// Appends the first decision that tells of trouble with the bootstrap; later ones are dropped.
    fn report_bootstrap(&mut self, kind: &'static str, details: serde_json::Value) {
        if !std::mem::replace(&mut self.control.is_trouble_reported, true) {
            self.decision_log.append(kind, details, self.now);
        }
    }

    /// Whether at least half of the seeds were contacted and no live member has a disk that ever voted or
    /// that is failing.
    fn may_start_bootstrap(&self) -> bool {
        self.members.seeds_reached() * 2 >= self.members.seed_count()
            && self.members.live().iter().all(|member| member.disk_state < DISK_VOTING)
    }

    fn blank_disks(&self) -> Vec<PlacedDisk> {
        let live = self.members.live().into_iter();
        live.filter(|member| member.disk_state == DISK_BLANK)
            .map(|member| PlacedDisk { disk: member.disk, zone: member.zone.0.clone() })
            .collect()
    }

    /// Sends an interrupted bootstrap, or a recorded proposal, to those of its disks that are still blank.
    pub(super) fn finish_bootstrap(&mut self, bootstrap_disks: &[u64]) {
        let blank_disks = self.blank_disks().into_iter().map(|placed| placed.disk);
        let target_disks: Vec<u64> = blank_disks.filter(|disk| bootstrap_disks.contains(disk)).collect();
        self.announce_bootstrap(bootstrap_disks, &target_disks);
    }

    fn announce_bootstrap(&mut self, bootstrap_disks: &[u64], target_disks: &[u64]) {
        let set_digest = stable_hash(&VoterSet::bootstrap(bootstrap_disks).encode().0);
        for disk in target_disks {
            if let Some(node) = self.node_of_disk(*disk) {
                self.send(
                    node,
                    Message::Bootstrap { set: set_digest, disks: List(bootstrap_disks.to_vec()) },
                );
            }
        }
    }

    pub(super) fn bootstrap(&mut self, from: NodeId, set_digest: u64, bootstrap_disks: &[u64]) {
        let bootstrap_set = ChosenSet::bootstrap(bootstrap_disks);
        let conflicts_with_known = self.control.set.generation > 0 && self.control.set != bootstrap_set;
        let required_count = self.settings.bootstrap_disks;
        let Some(disk) = self.control.healthy_disk() else { return };
        let disk_id = disk.id;
        let is_valid = bootstrap_disks.len() == required_count
            && bootstrap_disks.contains(&disk_id)
            && set_digest == stable_hash(&bootstrap_set.encode().0)
            && !conflicts_with_known;
        let records = if is_valid { disk.registers.bootstrap(&bootstrap_set) } else { None };
        let Some(records) = records else {
            self.send(from, Message::BootstrapResponse { set: set_digest, disk: disk_id, accepted: 0 });
            return;
        };
        self.write_then_response(
            records,
            from,
            Message::BootstrapResponse { set: set_digest, disk: disk_id, accepted: 1 },
        );
    }

    pub(super) fn bootstrap_refused(&mut self, disk: u64) {
        self.decision_log.append("founding_refused", json!({"disk": format!("{disk:016x}")}), self.now);
    }
}
