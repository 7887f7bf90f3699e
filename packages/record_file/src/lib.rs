//! An append-only file of checksummed records that is rewritten when it gets long.
//!
//! What was appended lasts once [`RecordFile::sync`] returned: it is found again after the end of the
//! process and after a loss of power, at any moment, also during a rewrite or a recovery. What was not
//! synced may be found, as far as it is whole from its beginning. Synced bytes that cannot be read are
//! reported as [`RecordError::Damaged`] and the file is left as it is: such a disk must not vote.
//!
//! - `framing`: the bytes, and what counts as a torn tail or as damage;
//! - `format_one`: files of the format before;
//! - `folder`: the file operations, in a trait that tests can fail at each step;
//! - `record_file`: the file itself;
//! - `quarantine`: a damaged file moved out of the way on an operator's word.

mod folder;
mod format_one;
mod framing;
mod quarantine;
mod record_error;
mod record_file;

pub use folder::{DiskFolder, Folder};
pub use quarantine::{has_quarantined, quarantine_damaged};
pub use record_error::RecordError;
pub use record_file::{DAMAGED_NAME, FILE_NAME, Opened, REWRITE_NAME, RecordFile};

/// The longest record body.
pub const RECORD_LIMIT: usize = 16 * 1024 * 1024;

#[cfg(test)]
mod tests;
