//! Ids of starts. A platform recognizes a repeated start by its id and bounds the id's length, while the names of
//! functions may be longer.

use sha2::{Digest, Sha256};

/// The longest start id, in bytes.
pub const START_ID_LIMIT: usize = 64;
/// The most digits of a leader epoch or a number.
const NUMBER_DIGITS: usize = 20;
/// What two numbers with their separators leave for the function.
const LABEL_LENGTH: usize = START_ID_LIMIT - 2 * (1 + NUMBER_DIGITS);

/// The start ids of one leader of a function, in the form `label-epoch-number`. The label is the function's name
/// or, if that is too long, a hash of it. Labels of hashes are longer than any name used as a label, so the two
/// never meet.
/// Example: `StartIds::new("proof", 12).next_id() == "proof-12-1"`.
#[derive(Clone, Debug)]
pub(crate) struct StartIds {
    label: String,
    leader_epoch: u64,
    last_number: u64,
}

impl StartIds {
    /// The ids of the leader of this epoch. Example: `StartIds::new("proof", 12)`.
    pub fn new(function: &str, leader_epoch: u64) -> StartIds {
        let label = match function.len() < LABEL_LENGTH {
            true => function.to_owned(),
            false => hash_label(function),
        };
        StartIds { label, leader_epoch, last_number: 0 }
    }

    /// An id that no other start of the fleet has. Example: `ids.next_id() != ids.next_id()`.
    pub fn next_id(&mut self) -> String {
        self.last_number += 1;
        format!("{}-{}-{}", self.label, self.leader_epoch, self.last_number)
    }
}

/// The first hexadecimal digits of the name's SHA-256 hash, as many as a label has.
fn hash_label(function: &str) -> String {
    let mut label: String = Sha256::digest(function).iter().map(|byte| format!("{byte:02x}")).collect();
    label.truncate(LABEL_LENGTH);
    label
}

#[cfg(test)]
mod tests;
