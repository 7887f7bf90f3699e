//! The data folder at the start of a node, and what becomes of a disk that cannot be used.
//!
//! Synced records that cannot be read may be promises and stores that this disk answered for, and the
//! file may be the last copy of the fleet's state. Of the ways to go on:
//!
//! - refusing to start takes a serving node away and, under a service manager, ends the process again and
//!   again;
//! - formatting a new disk at once is sound while a majority of the others lives, but a node cannot know that
//!   when it starts; where a majority is damaged at once it makes a blank fleet that looks ready to be founded
//!   anew;
//! - voting with the records that can be read would take back answers that others rest on;
//! - so the node starts without a disk: it serves as a node that never had one, its vote is missing, and the
//!   file stays as it is. That is told by the log, the status page (`disk_trouble`, and `failed` as the
//!   member's disk), the metric `vanelane_disk_unusable` and the decision `disk_unusable`. A spare disk takes
//!   the vote over by itself. Without a spare an operator stops the node, runs `vanelane set-aside-records`
//!   and starts it: it formats a disk with a new id, which a majority takes in. While the file that was set
//!   aside is in the folder, the disk tells itself a spare one, and no state is founded with it.
//!
//! A disk's records are only read at the start. They may never have been synced, so the node rewrites the
//! file, on the disk's thread, before the disk votes; a disk that stalls or refuses then does not hold the node up.

use control_registers::DiskRegisters;
use error_stack::Report;
use node_protocol::Event;
use record_file::{DiskFolder, FILE_NAME, RecordError, RecordFile};
use std::path::Path;

/// A data folder's disk as the node starts with it.
pub struct OpenedDisk {
    /// The file with its registers; `None` if it cannot be used.
    pub disk: Option<(RecordFile, DiskRegisters)>,
    /// Holds the folder against other processes, also when its disk cannot be used.
    pub folder: DiskFolder,
    /// What the node must be told before anything else.
    pub first_events: Vec<Event>,
}

/// Opens the folder, or tells why its disk cannot be used.
///
/// Errors: the folder cannot be locked, or belongs to another fleet or a newer version.
/// Example: `open(Path::new("data"), fleet_id("vanelane"))?.disk.is_some()`.
pub fn open(folder: &Path, fleet: u64) -> Result<OpenedDisk, String> {
    let refused = |reason: String| format!("setting data_folder: {}: {reason}", folder.display());
    let reported = |failure: Report<RecordError>| refused(failure.current_context().to_string());
    let locked_folder = DiskFolder::lock(folder).map_err(reported)?;
    let (file, records) = match RecordFile::read_in(locked_folder.clone(), fleet) {
        Ok(opened) => opened,
        Err(failure) => match unusable_reason(failure.current_context(), folder) {
            Some(reason) => return Ok(unusable(locked_folder, reason)),
            None => return Err(reported(failure)),
        },
    };
    let registers = DiskRegisters::restore(&records)
        .ok_or_else(|| refused("a record is none of this version's".to_owned()))?;
    let mut first_events = Vec::new();
    let is_quarantined = record_file::has_quarantined(folder)
        .map_err(|failure| refused(format!("the folder cannot be listed: {failure}")))?;
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

/// What an operator reads; `None` for what only another setting or version mends.
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
