//! Per-key registers on a quorum of the voting disks.
//!
//! [`DiskRegisters`] is the acceptor on one disk: it promises and stores. [`KeyOwner`] is the proposer: one
//! node owns a key at a time. It picks a higher epoch, collects promises and values from a quorum, stores the
//! newest value again under its epoch, and then serves conditional writes. Keys are independent of each
//! other: there is no log and no common leader. All parts are pure state machines; one message carries many
//! keys.
//!
//! # Voter sets
//!
//! The value of [`DISKS_KEY`] on a disk is a [`ProposedSet`]. Generation N+1 is *chosen* once a quorum of set
//! N stored and synced it under one epoch. Only a [`ChosenSet`] is in force: it alone is used for quorums,
//! published by gossip, and decides which disks vote and who owns keys. Each disk keeps the newest chosen set
//! it learned as a record of its own.
//!
//! # Invariants
//!
//! `control_model` checks them on every state it visits.
//!
//! 1. *One epoch has one owner and one value per version.* An owner picks an epoch above all that it has
//!    seen; the epoch contains its process id. It stores only after a quorum promised. A disk grants nothing
//!    below its promise, and responds only once its records are synced.
//! 2. *One chosen set per generation.* Under set N an owner writes only generation N+1, on top of generation
//!    N itself ([`VoterSet::is_successor_of`]); an owner that finds N+1 stored completes that same value.
//!    Among owners under N this is therefore a Paxos choice of one value by rising epochs.
//! 3. *Outdated owners are fenced.* A disk refuses ordinary keys to senders whose set is older than the
//!    newest it stored, proposed or chosen. Once N+1 is chosen, any quorum of N includes a disk that stored
//!    N+1, so nothing more is acknowledged under N. The key [`DISKS_KEY`] itself is also open to the
//!    generation before the stored set, so that a proposal can be completed, but to no older one: a sender
//!    two generations behind could store the set in between over its successor under a higher epoch.
//! 4. *Quorums of adjacent sets intersect.* A joint set needs majorities of both sets, so each of its quorums
//!    intersects each quorum of the previous and of the next set. The epochs of one key therefore only rise
//!    from set to set.
//! 5. *A value acknowledged under any set is on a majority of every set in force.* The successor of a joint
//!    set is written only after every key on a quorum of its disks was stored again under it ([`SetCopy`]).
//!    Disks list their keys only once they refuse owners under the previous set: a key acknowledged there is
//!    then listed, and keys first written later are stored on both majorities anyway.
//! 6. *A disk without a chosen set promises and stores nothing.* So no quorum includes a disk that would be
//!    blank after a restart and could be bootstrapped again.
//! 7. *The bootstrap set depends on a single bootstrap node.* There is no previous set whose quorum could
//!    choose it. One process may bootstrap, its own disk syncs the set before any other disk receives it, and
//!    each disk accepts one bootstrap set in its lifetime; by 6, nothing is acknowledged before a quorum of
//!    it did.
//! 8. *A node may start with any old chosen set.* Under it nothing is acknowledged once a newer one is chosen
//!    (3); it learns the newer one by gossip, from a disk that refuses it, or by reading [`DISKS_KEY`].

mod chosen_set;
mod disk_registers;
mod key_owner;
mod set_copy;
mod voter_set;

pub use chosen_set::{ChosenSet, ProposedSet};
pub use disk_registers::DiskRegisters;
pub use key_owner::{
    AS_KNOWN, DIFFERS, KeyOwner, NOT_OWNER, OwnerAction, OwnerCounts, PollResponse, UNKNOWN, WRITTEN,
    keys_digest,
};
pub use set_copy::{CopyProgress, SetCopy};
pub use voter_set::VoterSet;

/// The key of the voter set, which says which disks vote.
pub const DISKS_KEY: &str = "disks";
/// The key that holds the whole configuration.
pub const CONFIGURATION_KEY: &str = "configuration";
/// The key of the decided usage reports and of the node that sends them.
pub const USAGE_KEY: &str = "usage";

/// What the keys of leader records begin with.
const LEADER_KEY_PREFIX: &str = "steward/";

/// The key of a function's leader record. Example: `leader_key("proof") == "steward/proof"`.
pub fn leader_key(function: &str) -> String {
    format!("{LEADER_KEY_PREFIX}{function}")
}

/// Whether a key is that of a leader record. Example: `is_leader_key("steward/proof")`.
pub fn is_leader_key(key: &str) -> bool {
    key.starts_with(LEADER_KEY_PREFIX)
}

/// The function whose leader record has this key; none for other keys.
/// Example: `function_of_leader_key("steward/proof") == Some("proof")`.
pub fn function_of_leader_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEADER_KEY_PREFIX)
}

#[cfg(test)]
mod tests;
