//! Per-key registers on a quorum of the voting disks.
//!
//! [`DiskRegisters`] is one disk's part: it promises and stores. [`KeyOwner`] is the part of the one
//! node that owns a key at a time: it picks a higher epoch, collects promises and values from a
//! quorum, stores the newest value anew, and then serves conditional writes. Nothing ties keys
//! together: no log, no leader for all. All parts are pure; many keys ride in one message.
//!
//! # Voter sets
//!
//! The value of [`DISKS_KEY`] on a disk is a [`ProposedSet`]. Generation N+1 is *chosen* once a quorum of
//! set N stored and synced it under one epoch; only a [`ChosenSet`] is in force: used for quorums, told as
//! news, asked who votes and owns. Each disk keeps the newest chosen set it learned as a record of its own.
//!
//! # Invariants
//!
//! `control_model` checks them on every state it visits.
//!
//! 1. *One epoch, one owner, one value a version.* An owner picks an epoch above all it heard of, with its
//!    process id in it, and stores only after a quorum promised. A disk grants nothing below its promise,
//!    and answers only once its records are synced.
//! 2. *One chosen set a generation.* Under set N an owner writes only generation N+1, on top of generation
//!    N itself ([`VoterSet::is_successor_of`]); whoever finds N+1 stored finishes that very value. So among
//!    owners under N it is the choice of one value by rising epochs.
//! 3. *Outdated owners are fenced.* A disk refuses ordinary keys to senders whose set is older than the
//!    newest it stored, proposed or chosen. Any quorum of N meets a disk that stored N+1 once N+1 is chosen,
//!    so nothing is acknowledged under N after that. The key [`DISKS_KEY`] itself is open to the generation
//!    before the stored set as well, or nobody could finish a proposal, and to none before that: a sender
//!    two generations back could store the set in between over its successor under a higher epoch.
//! 4. *Adjacent sets share quorums.* A joint set has majorities of both, so each of its quorums meets each
//!    quorum of the set before and of the set after. Epochs of one key therefore only rise along the sets.
//! 5. *A value acknowledged under any set is on a majority of every set in force.* The successor of a joint
//!    set is written only after every key on a quorum of its disks was stored anew under it ([`SetCopy`]).
//!    Disks list their keys only once they refuse owners under the set before: a key acknowledged there is
//!    then on the list, and keys that are first written later are on both majorities by themselves.
//! 6. *A disk without a chosen set promises and stores nothing.* So no quorum rests on a disk that would
//!    come back from a restart as blank and could be founded anew.
//! 7. *The founding set rests on the one founder.* There is no set before it whose quorum could choose it.
//!    One process may found, its own disk syncs the set before any other hears of it, and each disk takes
//!    one founding set in its life; by 6, nothing is acknowledged before a quorum of it did.
//! 8. *A node may start by any old chosen set.* Under it nothing is acknowledged once a newer one is chosen
//!    (3); it learns the newer one by news, from a disk that refuses it, or by reading [`DISKS_KEY`].

mod chosen_set;
mod disk_registers;
mod key_owner;
mod set_copy;
mod voter_set;

pub use chosen_set::{ChosenSet, ProposedSet};
pub use disk_registers::DiskRegisters;
pub use key_owner::{
    AS_KNOWN, DIFFERS, KeyOwner, NOT_OWNER, OwnerAction, PollResponse, UNKNOWN, WRITTEN, keys_digest,
};
pub use set_copy::SetCopy;
pub use voter_set::VoterSet;

/// The key that says which disks vote.
pub const DISKS_KEY: &str = "disks";
/// The key that holds the whole configuration.
pub const CONFIGURATION_KEY: &str = "configuration";
/// The key that holds the decided reports of usage, and who sends them.
pub const USAGE_KEY: &str = "usage";

/// The key of a function's leader record. Example: `leader_key("proof") == "steward/proof"`.
pub fn leader_key(function: &str) -> String {
    format!("steward/{function}")
}

/// Whether a key is that of a leader record. Example: `is_leader_key("steward/proof")`.
pub fn is_leader_key(key: &str) -> bool {
    key.starts_with("steward/")
}

#[cfg(test)]
mod tests;
