//! The live members by zone, and the relays that carry gossip, leader records and the platform's list
//! between zones.

use gossip::Neighbours;
use membership::ALIVE;
use peer_messages::{Address, MemberUpdate, NodeId, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet};

/// Up to this many peers every node communicates with every other: relays would add a hop and save little.
const SMALL_FLEET: usize = 16;
/// Relays per zone: the first one is active, the second is known in advance as its successor.
const RELAYS: usize = 2;

/// The live members by zone, recomputed whenever the membership changes.
/// Example: `zones.is_local_address(&address)`.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    /// The membership revision that this was computed from.
    revision: u64,
    own: NodeId,
    own_zone: String,
    zone_of: BTreeMap<NodeId, String>,
    local_addresses: BTreeSet<Address>,
    zone_count: usize,
    /// The relays of each zone, the active one first; empty in a fleet that needs none.
    relays: BTreeMap<String, Vec<NodeId>>,
}

impl Zones {
    /// The zones of the members at a membership revision, with relays if a fleet of this size may have
    /// them.
    /// Example: `Zones::of(&own_member, &live, true, 7)`.
    pub(crate) fn of(
        own: &MemberUpdate,
        live: &[&MemberUpdate],
        may_have_relays: bool,
        revision: u64,
    ) -> Zones {
        let mut members: BTreeMap<&str, Vec<&MemberUpdate>> = BTreeMap::new();
        for member in live {
            members.entry(&member.zone.0).or_default().push(member);
        }
        let has_relays = may_have_relays && live.len() > SMALL_FLEET + 1 && members.len() > 1;
        let relays = members.iter().filter(|_| has_relays);
        Zones {
            revision,
            own: own.node,
            own_zone: own.zone.0.clone(),
            zone_of: live.iter().map(|member| (member.node, member.zone.0.clone())).collect(),
            zone_count: members.len(),
            local_addresses: live
                .iter()
                .filter(|member| member.zone == own.zone)
                .map(|member| member.address)
                .collect(),
            relays: relays.map(|(zone, members)| ((*zone).to_owned(), relays_of(zone, members))).collect(),
        }
    }

    /// Whether the membership has changed since.
    /// Example: `if zones.is_outdated(members.revision()) { .. }`.
    pub(crate) fn is_outdated(&self, revision: u64) -> bool {
        self.revision != revision
    }

    /// The zone of a live member. Example: `zones.zone_of(node) == Some("hall-a")`.
    pub(crate) fn zone_of(&self, node: NodeId) -> Option<&str> {
        self.zone_of.get(&node).map(String::as_str)
    }

    /// The number of zones. Example: `zones.count() == 4`.
    pub(crate) fn count(&self) -> usize {
        self.zone_count
    }

    /// The number of live members in this node's zone. Example: `zones.local_count() == 23`.
    pub(crate) fn local_count(&self) -> usize {
        self.local_addresses.len()
    }

    /// Whether a live member of this node's zone listens at an address.
    /// Example: `zones.is_local_address(&own_address)`.
    pub(crate) fn is_local_address(&self, address: &Address) -> bool {
        self.local_addresses.contains(address)
    }

    /// The active relay of this node's zone, if the fleet has relays.
    /// Example: `zones.relay() == Some(own)` at the relay itself.
    pub(crate) fn relay(&self) -> Option<NodeId> {
        self.relays.get(&self.own_zone)?.first().copied()
    }

    /// Whether this node is a relay of its zone, the active one or its successor.
    /// Example: `zones.may_relay()`.
    pub(crate) fn may_relay(&self) -> bool {
        self.relays.get(&self.own_zone).is_some_and(|relays| relays.contains(&self.own))
    }

    /// The neighbours for gossip. Example: `gossip.set_neighbours(own, zones.neighbours())`.
    pub(crate) fn neighbours(&self) -> Neighbours {
        let peers = self.zone_of.iter().filter(|(node, _)| **node != self.own);
        if self.relays.is_empty() {
            return Neighbours::of_one_zone(peers.map(|(node, _)| *node).collect());
        }
        let (local, remote): (Vec<_>, Vec<_>) = peers.partition(|(_, zone)| **zone == self.own_zone);
        let others = self.relays.iter().filter(|(zone, _)| **zone != self.own_zone);
        Neighbours {
            local: local.into_iter().map(|(node, _)| *node).collect(),
            remote: remote.into_iter().map(|(node, _)| *node).collect(),
            own_relays: self.relays.get(&self.own_zone).cloned().unwrap_or_default(),
            remote_relays: others.map(|(_, relays)| relays.clone()).collect(),
        }
    }
}

/// The members with the most processor capacity, by rendezvous among equals; suspected or draining ones
/// last.
fn relays_of(zone: &str, members: &[&MemberUpdate]) -> Vec<NodeId> {
    let mut ranked: Vec<&&MemberUpdate> = members.iter().collect();
    ranked.sort_by_key(|member| {
        let is_healthy = member.state == ALIVE && member.draining == 0;
        std::cmp::Reverse((is_healthy, member.processor, rendezvous_weight(zone, member.node), member.node))
    });
    ranked.into_iter().take(RELAYS).map(|member| member.node).collect()
}

#[cfg(test)]
mod tests;
