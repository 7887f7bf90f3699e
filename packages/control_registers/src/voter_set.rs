use deku::prelude::*;
use peer_messages::{Bytes, List, stable_hash};
use std::collections::BTreeSet;

/// The disks that vote and, during a change, the disks that will vote after it.
///
/// Example: `VoterSet::bootstrap(&[1, 2, 3]).quorum(&[1, 3].into()) == true`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
pub struct VoterSet {
    /// Zero before the bootstrap; each change raises it.
    pub generation: u64,
    /// The disks that vote.
    pub disks: List<u64>,
    /// During a change, the disks that will vote; a quorum then needs a majority of both.
    pub joining: List<u64>,
}

impl VoterSet {
    /// The first set. Example: `VoterSet::bootstrap(&[1]).generation == 1`.
    pub fn bootstrap(disks: &[u64]) -> VoterSet {
        VoterSet { generation: 1, disks: List(disks.to_vec()), joining: List(Vec::new()) }
    }

    /// Whether `answered` contains a majority, during a change also of the joining disks.
    /// Example: `!VoterSet::bootstrap(&[1, 2, 3]).quorum(&[1].into())`.
    pub fn quorum(&self, answered: &BTreeSet<u64>) -> bool {
        let majority = |voters: &[u64]| {
            voters.iter().filter(|voter| answered.contains(voter)).count() * 2 > voters.len()
        };
        self.generation > 0
            && majority(&self.disks.0)
            && (self.joining.0.is_empty() || majority(&self.joining.0))
    }

    /// Every disk that votes now, the joining disks included. Example: `set.all().contains(&1)`.
    pub fn all(&self) -> BTreeSet<u64> {
        self.disks.0.iter().chain(&self.joining.0).copied().collect()
    }

    /// The joint set that replaces disk `removed` by `added`; `None` while a change is under way.
    /// Example: `set.begin_change(3, 9).unwrap().joining.0 == [1, 2, 9]`.
    pub fn begin_change(&self, removed: u64, added: u64) -> Option<VoterSet> {
        self.begin_changes(&[(removed, added)])
    }

    /// The joint set that replaces the first disk of each pair by the second; `None` without pairs, for a
    /// pair that does not fit the set, and while a change is under way.
    /// Example: `set.begin_changes(&[(3, 9), (2, 8)]).unwrap().joining.0 == [1, 8, 9]`.
    pub fn begin_changes(&self, replacements: &[(u64, u64)]) -> Option<VoterSet> {
        if !self.joining.0.is_empty() || replacements.is_empty() {
            return None;
        }
        let mut joining = self.disks.clone();
        for (removed, added) in replacements {
            if self.disks.0.contains(added) || joining.0.contains(added) {
                return None;
            }
            *joining.0.iter_mut().find(|disk| *disk == removed)? = *added;
        }
        Some(VoterSet { generation: self.generation + 1, disks: self.disks.clone(), joining })
    }

    /// The set that ends the change under way. Example: `joint.end_change().unwrap().joining.0.is_empty()`.
    pub fn end_change(&self) -> Option<VoterSet> {
        if self.joining.0.is_empty() {
            return None;
        }
        Some(VoterSet {
            generation: self.generation + 1,
            disks: self.joining.clone(),
            joining: List(Vec::new()),
        })
    }

    /// Whether this set may follow `previous`: a joint set over the same disks, or the end of a change.
    /// Example: `set.begin_change(3, 9).unwrap().is_successor_of(&set)`.
    pub fn is_successor_of(&self, previous: &VoterSet) -> bool {
        if !previous.joining.0.is_empty() {
            return previous.end_change().as_ref() == Some(self);
        }
        let joining: BTreeSet<u64> = self.joining.0.iter().copied().collect();
        self.generation == previous.generation + 1
            && self.disks == previous.disks
            && !joining.is_empty()
            && joining.len() == self.joining.0.len()
    }

    /// The generation in the upper half and, in the lower half, a hash that distinguishes sets of one
    /// generation.
    /// Example: `set.digest() >> 32 == set.generation`.
    pub fn digest(&self) -> u64 {
        (self.generation << 32) | (stable_hash(&self.encode().0) & 0xffff_ffff)
    }

    /// The set as a register value. Example: `VoterSet::decode(&set.encode()) == Some(set)`.
    pub fn encode(&self) -> Bytes {
        Bytes(self.to_bytes().unwrap_or_default())
    }

    /// Decodes a register value. Example: `VoterSet::decode(&Bytes::default()) == None`.
    pub fn decode(set_bytes: &Bytes) -> Option<VoterSet> {
        VoterSet::from_bytes((&set_bytes.0, 0)).ok().map(|(_, voter_set)| voter_set)
    }
}
