//! The node's own disk: its registers, the groups of records being written, the responses that wait for
//! their sync, and the repair of a failed disk.

use super::{ControlStore, DISK_BLANK, DISK_FAILED, DISK_SPARE, DISK_VOTING};
use crate::Action;
use crate::node::Node;
use control_registers::DiskRegisters;
use monotonic_clock::Micros;
use peer_messages::{List, Message, NodeId, PromiseEntry, StoreEntry, Text};
use serde_json::json;
use std::collections::BTreeMap;

/// The file is rewritten in full once this many bytes have been appended since the last rewrite.
const REWRITE_SLACK: usize = 4 * 1024 * 1024;
/// Pause between attempts to repair a failed disk by a full rewrite.
const REPAIR_PAUSE: Micros = Micros::from_secs(1);

#[derive(Debug)]
pub(super) struct Disk {
    pub(super) id: u64,
    pub(super) registers: DiskRegisters,
    /// The disk failed, or has not been rewritten since the start. It serves no request until a rewrite has
    /// succeeded.
    pub(super) is_failed: bool,
    /// Whether the failure has been recorded in the decision log.
    is_failure_reported: bool,
    next_token: u64,
    synced_token: u64,
    /// Responses to send once the group of records with this token is synced.
    responses: BTreeMap<u64, Vec<(NodeId, Message)>>,
    appended_bytes: usize,
    /// The rewrite in progress that would repair a failed disk, and when the next attempt is due.
    repair_token: Option<u64>,
    repair_due: Micros,
}

impl Disk {
    pub(super) fn new(id: u64, registers: DiskRegisters) -> Disk {
        Disk {
            id,
            registers,
            is_failed: false,
            is_failure_reported: false,
            next_token: 1,
            synced_token: 0,
            responses: BTreeMap::new(),
            appended_bytes: 0,
            repair_token: None,
            repair_due: Micros(0),
        }
    }

    fn next_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    /// Removes and returns the responses whose records are synced.
    fn ready_responses(&mut self) -> impl Iterator<Item = (NodeId, Message)> + use<> {
        let waiting_responses = self.responses.split_off(&(self.synced_token + 1));
        let ready_responses = std::mem::replace(&mut self.responses, waiting_responses);
        ready_responses.into_values().flatten()
    }
}

impl ControlStore {
    /// The version of a key stored on the own disk, whether or not a majority has it; zero if there is
    /// none.
    pub(crate) fn stored_version(&self, key: &str) -> u64 {
        let stored = self.disk.as_ref().and_then(|disk| disk.registers.stored(key));
        stored.map_or(0, |(_, version, _)| version)
    }

    pub(super) fn healthy_disk(&mut self) -> Option<&mut Disk> {
        self.disk.as_mut().filter(|disk| !disk.is_failed)
    }
}

impl Node {
    pub(super) fn promise_requested(&mut self, from: NodeId, fleet_set: u64, entries: &List<PromiseEntry>) {
        let Some(disk) = self.control.healthy_disk() else { return };
        let (responses, records) = disk.registers.promise(fleet_set, entries);
        let response = Message::Promised { disk: disk.id, entries: List(responses) };
        self.write_then_response(records, from, response);
        self.notify_outdated_owner(from, fleet_set);
    }

    pub(super) fn store_requested(&mut self, from: NodeId, fleet_set: u64, entries: &List<StoreEntry>) {
        let Some(disk) = self.control.healthy_disk() else { return };
        let (responses, records) = disk.registers.store(fleet_set, entries);
        let response = Message::Stored { disk: disk.id, entries: List(responses) };
        self.write_then_response(records, from, response);
        self.notify_outdated_owner(from, fleet_set);
    }

    /// Lists the keys that this disk knows, for the owner that copies them under a joint set.
    pub(super) fn keys_requested(&mut self, from: NodeId, fleet_set: u64) {
        let Some(disk) = self.control.healthy_disk() else { return };
        let Some(keys) = disk.registers.list_keys(fleet_set) else { return };
        let keys = List(keys.into_iter().map(Text).collect());
        let response = Message::KeysResponse { fleet_set, disk: disk.id, keys };
        // Responds only after a sync: what bars owners under the previous set must be durable.
        self.write_then_response(Vec::new(), from, response);
    }

    pub(super) fn report_disk_state(&mut self) {
        let Some(disk) = &self.control.disk else { return };
        let is_voting = self.control.set.all().contains(&disk.id);
        let state = match (disk.is_failed, is_voting, disk.registers.chosen().generation) {
            (true, ..) => DISK_FAILED,
            (false, true, 1..) => DISK_VOTING,
            // The damaged disk may have been the fleet's last copy, so no new state is bootstrapped beside
            // it.
            (false, false, 0) if self.control.replaces_damaged => DISK_SPARE,
            (false, _, 0) => DISK_BLANK,
            (false, false, _) => DISK_SPARE,
        };
        let id = if disk.is_failed { 0 } else { disk.id };
        self.members.update_own(|own| {
            own.disk_state = state;
            own.disk = id;
        });
    }

    /// Responds only once these records, and all before them, are synced.
    pub(super) fn write_then_response(&mut self, records: Vec<Vec<u8>>, node: NodeId, response: Message) {
        let Some(disk) = self.control.healthy_disk() else { return };
        if records.is_empty() {
            let last_token = disk.next_token - 1;
            if disk.synced_token >= last_token {
                self.send(node, response);
                return;
            }
            disk.responses.entry(last_token).or_default().push((node, response));
            return;
        }
        self.write_records(records, Some((node, response)));
    }

    pub(super) fn write_records(&mut self, records: Vec<Vec<u8>>, response: Option<(NodeId, Message)>) {
        let Some(disk) = self.control.healthy_disk() else { return };
        let token = disk.next_token();
        disk.responses.entry(token).or_default().extend(response);
        disk.appended_bytes += records.iter().map(|record| record.len() + 8).sum::<usize>();
        let is_rewrite = disk.appended_bytes > REWRITE_SLACK;
        let written = match is_rewrite {
            true => {
                disk.appended_bytes = 0;
                disk.registers.live_records()
            }
            false => records,
        };
        self.counts.disk_groups += 1;
        self.emit(Action::WriteDisk { token, records: written, is_rewrite });
    }

    pub(crate) fn disk_done(&mut self, token: u64, is_synced: bool) {
        let Some(disk) = &mut self.control.disk else { return };
        if disk.is_failed {
            self.repair_done(token, is_synced);
            return;
        }
        if !is_synced {
            self.fail_disk();
            return;
        }
        disk.synced_token = disk.synced_token.max(token);
        // A bootstrap set is adopted and published only once it is synced here.
        let is_bootstrapped =
            disk.registers.chosen().generation > 0 && self.members.own().disk_state == DISK_BLANK;
        for (node, response) in disk.ready_responses() {
            self.send(node, response);
        }
        if is_bootstrapped {
            self.adopt_own_set();
        }
    }

    /// Handles a failed sync: responses that waited for it are never sent, and this node owns no keys until
    /// the disk is repaired.
    fn fail_disk(&mut self) {
        let Some(disk) = &mut self.control.disk else { return };
        disk.is_failed = true;
        disk.repair_due = self.now + REPAIR_PAUSE;
        disk.responses.clear();
        self.control.owner.retain_keys(|_| false);
        self.report_disk_failure();
        self.report_disk_state();
    }

    /// Handles the result of a repair. Results of writes that were in progress when the disk failed are
    /// ignored, since the repair includes their records.
    fn repair_done(&mut self, token: u64, is_synced: bool) {
        let now = self.now;
        let Some(disk) = self.control.disk.as_mut().filter(|disk| disk.repair_token == Some(token)) else {
            return;
        };
        disk.repair_token = None;
        disk.repair_due = now + REPAIR_PAUSE;
        if !is_synced {
            self.report_disk_failure();
            return;
        }
        disk.is_failed = false;
        disk.synced_token = token;
        disk.appended_bytes = 0;
        if std::mem::take(&mut disk.is_failure_reported) {
            self.decision_log.append("disk_sound_again", json!({}), now);
        }
        self.report_disk_state();
    }

    fn report_disk_failure(&mut self) {
        let Some(disk) = &mut self.control.disk else { return };
        if !std::mem::replace(&mut disk.is_failure_reported, true) {
            self.decision_log.append("disk_failed", json!({}), self.now);
        }
    }

    /// Marks the disk as failed until it has been rewritten: what the previous process wrote may not be
    /// synced, and no response shows whether it is.
    pub(crate) fn disk_unsynced(&mut self) {
        let now = self.now;
        let Some(disk) = &mut self.control.disk else { return };
        disk.is_failed = true;
        disk.repair_due = now;
        self.report_disk_state();
        self.try_repair();
    }

    /// Retries a failed disk, for example one that was full, by writing all its registers to a new file. No
    /// response was sent for records that were not synced, so after the rewrite the disk is as valid as
    /// before.
    pub(super) fn try_repair(&mut self) {
        let now = self.now;
        let Some(disk) = &mut self.control.disk else { return };
        if !disk.is_failed || disk.repair_token.is_some() || now < disk.repair_due {
            return;
        }
        let token = disk.next_token();
        disk.repair_token = Some(token);
        let records = disk.registers.live_records();
        self.counts.disk_groups += 1;
        self.emit(Action::WriteDisk { token, records, is_rewrite: true });
    }

    /// The node continues without a disk. The failed state that it reports keeps other nodes from
    /// bootstrapping a new state, and lets a spare disk take over its vote.
    pub(crate) fn disk_unusable(&mut self, reason: String) {
        self.decision_log.append("disk_unusable", json!({"reason": reason}), self.now);
        self.control.disk = None;
        self.control.disk_fault = Some(reason);
        self.members.update_own(|own| {
            own.disk_state = DISK_FAILED;
            own.disk = 0;
        });
    }

    /// A disk that was formatted after damage may be added by a majority, but must not bootstrap.
    pub(crate) fn disk_quarantined(&mut self) {
        self.control.replaces_damaged = true;
        self.settings.may_bootstrap = false;
        self.report_disk_state();
    }
}
