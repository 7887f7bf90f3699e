//! Opens the data folder at the start of a node and handles a disk that cannot be used.
//!
//! Synced records that cannot be read may contain promises and stored values that this disk has acknowledged,
//! and the file may be the last copy of the fleet's state. The options are:
//!
//! - Refuse to start. This removes a serving node and, under a service manager, restarts the process in a
//!   loop.
//! - Format a new disk at once. This is safe while a majority of the other disks works, which a node cannot
//!   know at its start. If a majority is damaged at the same time, the result is a blank fleet that could be
//!   bootstrapped again.
//! - Vote with the readable records. This would revoke acknowledgements on which others rely.
//! - Start without a disk, which is what the node does. It serves like a node without a data folder, its vote
//!   is missing and the file stays unchanged. The condition is reported by the log, the status page
//!   (`disk_trouble`, and `failed` as the member's disk), the metric `vanelane_disk_unusable` and the
//!   decision `disk_unusable`. A spare disk takes over the vote automatically. Without a spare an operator
//!   stops the node, runs `vanelane set-aside-records` and starts the node again: it formats a disk with a
//!   new id, which a majority admits. While the quarantined file is in the folder, the disk reports itself as
//!   a spare and takes no part in a bootstrap.
//!
//! The start only reads the records of a disk. They may never have been synced, so the node rewrites the file
//! on the disk thread before the disk votes; a disk that stalls or fails then does not block the node.

use control_registers::DiskRegisters;
use error_stack::Report;
use node_protocol::Event;
use record_file::{DiskFolder, FILE_NAME, RecordError, RecordFile};
use std::path::Path;

/// The disk of a data folder at the start of the node.
pub struct OpenedDisk {
    /// The file with its registers; `None` if it cannot be used.
    pub disk: Option<(RecordFile, DiskRegisters)>,
    /// Locks the folder against other processes, also if its disk cannot be used.
    pub folder: DiskFolder,
    /// Events that the node must handle before any other.
    pub first_events: Vec<Event>,
}

/// Opens the folder. A disk that cannot be used is reported by an event in `first_events`.
///
/// Errors: the folder cannot be locked, or belongs to another fleet or a newer version.
/// Example: `open(Path::new("data"), fleet_id("vanelane"))?.disk.is_some()`.
pub fn open(folder: &Path, fleet: u64) -> Result<OpenedDisk, String> {
    let folder_error = |reason: String| format!("setting data_folder: {}: {reason}", folder.display());
    let record_error = |failure: Report<RecordError>| folder_error(failure.current_context().to_string());
    let locked_folder = DiskFolder::lock(folder).map_err(record_error)?;
    let (file, records) = match RecordFile::read_in(locked_folder.clone(), fleet) {
        Ok(opened) => opened,
        Err(failure) => match unusable_reason(failure.current_context(), folder) {
            Some(reason) => return Ok(unusable(locked_folder, reason)),
            None => return Err(record_error(failure)),
        },
    };
    let registers = DiskRegisters::restore(&records)
        .ok_or_else(|| folder_error("a record is none of this version's".to_owned()))?;
    let mut first_events = Vec::new();
    let is_quarantined = record_file::has_quarantined(folder)
        .map_err(|failure| folder_error(format!("the folder cannot be listed: {failure}")))?;
    if is_quarantined {
        log::warn!("{}: a damaged file was set aside; this disk founds nothing", folder.display());
        first_events.push(Event::DiskQuarantined);
    }
    if !file.is_trusted() {
        first_events.push(Event::DiskUnsynced);
    }
    Ok(OpenedDisk { disk: Some((file, registers)), folder: locked_folder, first_events })
}

fn unusable(folder: DiskFolder, reason: String) -> OpenedDisk {
    log::error!("{reason}");
    OpenedDisk { disk: None, folder, first_events: vec![Event::DiskUnusable { reason }] }
}

/// The reason reported to operators, or `None` if only another setting or version resolves the error.
fn unusable_reason(error: &RecordError, folder: &Path) -> Option<String> {
    let path = folder.join(FILE_NAME);
    let path = path.display();
    match error {
        RecordError::Damaged(offset) => Some(format!(
            "{path}: synced records are damaged at byte {offset}; the node runs without a vote and the file is \
             left as it is. If the other disks are a majority: stop this node, run vanelane set-aside-records \
             --data-folder {}, start it, and it is taken in as a blank disk. If they are not, bring a lost \
             disk back first: this file may be the last copy",
            folder.display()
        )),
        RecordError::Storage => Some(format!(
            "{path}: the disk cannot be read, or not be formatted; the node runs without a vote until it is \
             started again on a disk that works"
        )),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
