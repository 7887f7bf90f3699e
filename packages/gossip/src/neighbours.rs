//! The peers that gossip is sent to: those of the own zone, and relays that forward it to other zones.

use peer_messages::NodeId;
use std::collections::BTreeSet;

/// The peers by zone, with the relays of each zone.
///
/// In a fleet without relays all peers count as local. If zones have relays, an item spreads inside the zone
/// of its origin; one relay forwards it to one relay of each other zone, where it spreads likewise.
///
/// Example: `Neighbours::of_one_zone(vec![7, 8, 9])`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Neighbours {
    /// Peers in this node's zone.
    pub local: Vec<NodeId>,
    /// Peers in other zones.
    pub remote: Vec<NodeId>,
    /// The relays of this node's zone by rank; this node may be one of them.
    pub own_relays: Vec<NodeId>,
    /// The relays of each other zone by rank.
    pub remote_relays: Vec<Vec<NodeId>>,
}

impl Neighbours {
    /// The neighbours in a fleet of a single zone. Example: `Neighbours::of_one_zone(vec![7]).count() == 1`.
    pub fn of_one_zone(peers: Vec<NodeId>) -> Neighbours {
        Neighbours { local: peers, ..Neighbours::default() }
    }

    /// The number of peers. Example: `neighbours.count() == 9`.
    pub fn count(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// All peers, local ones first. Example: `neighbours.all().len() == 9`.
    pub fn all(&self) -> Vec<NodeId> {
        self.local.iter().chain(&self.remote).copied().collect()
    }

    /// The peers in this node's zone, and this node. Example: the first relay forwards their items to other
    /// zones.
    pub(crate) fn zone_members(&self, own: Option<NodeId>) -> BTreeSet<NodeId> {
        self.local.iter().copied().chain(own).collect()
    }
}
