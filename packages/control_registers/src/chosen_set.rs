use crate::VoterSet;
use peer_messages::Bytes;
use std::ops::Deref;

/// A voter set that a quorum of the previous set stored and synced, or the bootstrap set.
///
/// Only a chosen set is in force. There is one per generation, so it is safe to learn it from any node.
/// Generation zero means that none is known.
/// Example: `ChosenSet::bootstrap(&[1, 2, 3]).quorum(&[1, 3].into())`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChosenSet(VoterSet);

impl ChosenSet {
    /// The first set, which the bootstrap node alone decides.
    /// Example: `ChosenSet::bootstrap(&[1]).generation == 1`.
    pub fn bootstrap(disks: &[u64]) -> ChosenSet {
        ChosenSet(VoterSet::bootstrap(disks))
    }

    /// A set that another node or a record states to be chosen; `None` if the bytes are not a voter set.
    /// Example: `ChosenSet::received(gossip.body(DISKS_KEY)?)`.
    pub fn received(set_bytes: &Bytes) -> Option<ChosenSet> {
        VoterSet::decode(set_bytes).filter(|set| set.generation > 0).map(ChosenSet)
    }

    /// A set that this process saw stored on a quorum of the previous set, or one read from the former record
    /// format, which does not distinguish chosen from proposed sets.
    pub(crate) fn stored(set: VoterSet) -> ChosenSet {
        ChosenSet(set)
    }
}

impl Deref for ChosenSet {
    type Target = VoterSet;

    fn deref(&self) -> &VoterSet {
        &self.0
    }
}

/// A voter set that a disk stored and that is not known to be chosen: no quorum is computed from it.
/// Example: `registers.proposed().map(|proposed| proposed.generation())`.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedSet(VoterSet);

impl ProposedSet {
    pub(crate) fn new(set: VoterSet) -> ProposedSet {
        ProposedSet(set)
    }

    /// The generation it would have. Example: `proposed.generation() == chosen.generation + 1`.
    pub fn generation(&self) -> u64 {
        self.0.generation
    }
}
