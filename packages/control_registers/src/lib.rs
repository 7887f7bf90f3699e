//! Per-key registers on a majority of the voting disks.
//!
//! [`DiskRegisters`] is one disk's part: it promises and stores. [`KeyOwner`] is the part of the one
//! node that owns a key at a time: it picks a higher epoch, collects promises and values from a
//! majority, stores the newest value anew, and then serves conditional writes. Nothing ties keys
//! together: no log, no leader for all. Both parts are pure; many keys ride in one message.

mod disk_registers;
mod key_owner;
mod voter_set;

pub use disk_registers::DiskRegisters;
pub use key_owner::{
    AS_KNOWN, DIFFERS, KeyOwner, NOT_OWNER, OwnerAct, PollAnswer, UNKNOWN, WRITTEN, keys_mark,
};
pub use voter_set::VoterSet;

/// The key that says which disks vote.
pub const DISKS_KEY: &str = "disks";
/// The key that holds the whole configuration.
pub const CONFIGURATION_KEY: &str = "configuration";

/// The key of a function's leader record. Example: `steward_key("proof") == "steward/proof"`.
pub fn steward_key(function: &str) -> String {
    format!("steward/{function}")
}

#[cfg(test)]
mod tests;
