//! The chosen voter set in use at this node: learned from its disk, gossip and key owners, stored on its
//! own disk, and sent to nodes that lack it.

use crate::node::Node;
use control_registers::{ChosenSet, DISKS_KEY};
use peer_messages::{GossipItem, List, Message, NodeId};
use serde_json::json;

impl Node {
    /// A new process uses the chosen set stored on its disk until it learns a newer one.
    pub(crate) fn start_by_own_set(&mut self) {
        self.adopt_own_set();
        self.report_disk_state();
    }

    pub(super) fn adopt_own_set(&mut self) {
        let Some(disk) = &self.control.disk else { return };
        let own_set = disk.registers.chosen().clone();
        self.learn_chosen(&own_set);
    }

    /// Gossip carries chosen sets only, never proposed ones.
    pub(crate) fn set_received(&mut self) {
        if let Some(received_set) = self.gossip.body(DISKS_KEY).and_then(ChosenSet::received) {
            self.learn_chosen(&received_set);
        }
    }

    /// Adopts a chosen set that is newer than the known one, stores it on the own disk, and publishes it.
    pub(super) fn learn_chosen(&mut self, chosen_set: &ChosenSet) {
        if chosen_set.generation > self.control.set.generation {
            self.adopt_set(chosen_set);
            self.gossip.publish(DISKS_KEY, self.settings.node, chosen_set.generation, chosen_set.encode());
        }
        self.store_chosen();
        self.report_disk_state();
    }

    /// A blank disk stores the first set in which it votes; a disk that has stored a set stores every later
    /// one.
    fn store_chosen(&mut self) {
        let set = self.control.set.clone();
        let Some(disk) = &mut self.control.disk else { return };
        if disk.registers.chosen().generation == 0 && !set.all().contains(&disk.id) {
            return;
        }
        // A failed disk receives this record with the rest of its registers when it is repaired.
        let records = disk.registers.learn_chosen(&set);
        if !records.is_empty() {
            self.write_records(records, None);
        }
    }

    fn adopt_set(&mut self, next_set: &ChosenSet) {
        self.control.set = next_set.clone();
        self.control.set_adopted_at = self.now;
        self.control.copy = None;
        self.control.owner.adopt_set(next_set);
        self.decision_log.append(
            "voters",
            json!({
                "generation": next_set.generation,
                "disks": hex_list(&next_set.disks.0),
                "joining": hex_list(&next_set.joining.0),
            }),
            self.now,
        );
    }

    /// Sends a set chosen here to its voters immediately; the other nodes receive it by gossip.
    pub(super) fn announce_chosen(&mut self, chosen_set: &ChosenSet) {
        self.learn_chosen(chosen_set);
        for disk in chosen_set.all() {
            if let Some(node) = self.node_of_disk(disk).filter(|node| *node != self.settings.node) {
                self.send_set(node);
            }
        }
    }

    /// Sends the newer set immediately to an owner that uses an older one.
    pub(super) fn notify_outdated_owner(&mut self, owner: NodeId, owner_set: u64) {
        if owner_set >> 32 < self.control.set.generation {
            self.send_set(owner);
        }
    }

    fn send_set(&mut self, node: NodeId) {
        let set = &self.control.set;
        let (origin, sequence) = (self.settings.node, set.generation);
        let item = GossipItem { topic: DISKS_KEY.into(), origin, sequence, body: set.encode() };
        self.send(node, Message::Gossip { items: List(vec![item]) });
    }
}

fn hex_list(ids: &[u64]) -> Vec<String> {
    ids.iter().map(|id| format!("{id:016x}")).collect()
}
