//! Whom news is passed on to: colleagues of the own zone, and relays that carry it over zone borders.

use peer_messages::NodeId;
use std::collections::BTreeSet;

/// The colleagues as the spread sees them.
///
/// In a fleet without relays all colleagues are near, and nothing is said of borders. Where zones have
/// relays, news is spread inside the zone that it comes from; one relay carries it to one relay of each
/// other zone, which spreads it there.
///
/// Example: `Neighbours::of_one_zone(vec![7, 8, 9])`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Neighbours {
    /// Colleagues in this node's zone.
    pub local: Vec<NodeId>,
    /// Colleagues in other zones.
    pub remote: Vec<NodeId>,
    /// The relays of this node's zone, the first one first; this node may be among them.
    pub own_relays: Vec<NodeId>,
    /// The relays of each other zone, the first one first.
    pub remote_relays: Vec<Vec<NodeId>>,
}

impl Neighbours {
    /// A fleet without borders. Example: `Neighbours::of_one_zone(vec![7]).count() == 1`.
    pub fn of_one_zone(peers: Vec<NodeId>) -> Neighbours {
        Neighbours { local: peers, ..Neighbours::default() }
    }

    /// All colleagues. Example: `neighbours.count() == 9`.
    pub fn count(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// All colleagues, the near ones first. Example: `neighbours.everybody().len() == 9`.
    pub fn everybody(&self) -> Vec<NodeId> {
        self.local.iter().chain(&self.remote).copied().collect()
    }

    /// The colleagues in this node's zone, and this node. Example: news of theirs is carried over borders here.
    pub(crate) fn zone_members(&self, own: Option<NodeId>) -> BTreeSet<NodeId> {
        self.local.iter().copied().chain(own).collect()
    }
}
