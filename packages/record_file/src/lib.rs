//! An append-only file of checksummed records that is rewritten when it gets long.
//!
//! Appended records are durable once [`RecordFile::sync`] has returned: they survive the end of the process and a
//! loss of power at any moment, also during a rewrite or a recovery. Of the records that were not synced, a
//! prefix may be found again. Synced bytes that cannot be read are reported as [`RecordError::Damaged`] and the
//! file is left unchanged: such a disk must not vote.
//!
//! - `framing`: the file format, and the distinction between a torn tail and damage;
//! - `format_one`: reads files of the previous format;
//! - `folder`: the file operations as a trait, so that tests can inject failures at each step;
//! - `record_file`: the open file;
//! - `quarantine`: renames a damaged file at an operator's request.

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

/// The maximum length of a record's body, in bytes.
pub const RECORD_LIMIT: usize = 16 * 1024 * 1024;

#[cfg(test)]
mod tests;
