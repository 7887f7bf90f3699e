//! Renames a damaged file, at an operator's request only.

use crate::folder::{DiskFolder, Folder};
use crate::framing::is_damaged;
use crate::{DAMAGED_NAME, FILE_NAME, RecordError};
use error_stack::{Report, ResultExt};
use std::io;
use std::path::{Path, PathBuf};

/// The maximum number of damaged files kept in one folder.
const QUARANTINE_LIMIT: usize = 1_000;

/// Renames the folder's record file if it is damaged and returns the new path; the next open formats a new disk with
/// a new id. `None` if the file is not damaged or does not exist.
///
/// Errors: `InUse` while a node uses the folder, `Storage` if there is no free name or a file operation fails.
/// Example: `quarantine_damaged(Path::new("data"))? == Some(PathBuf::from("data/records.damaged-0"))`.
pub fn quarantine_damaged(folder: &Path) -> Result<Option<PathBuf>, Report<RecordError>> {
    let locked_folder = DiskFolder::lock(folder)?;
    let found_bytes = locked_folder.read(FILE_NAME).change_context(RecordError::Storage)?;
    if !found_bytes.is_some_and(|file_bytes| is_damaged(&file_bytes)) {
        return Ok(None);
    }
    let free_name = (0..QUARANTINE_LIMIT)
        .map(|number| format!("{DAMAGED_NAME}{number}"))
        .find(|name| !folder.join(name).exists())
        .ok_or_else(|| Report::new(RecordError::Storage))?;
    locked_folder.rename(FILE_NAME, &free_name).change_context(RecordError::Storage)?;
    locked_folder.sync_names().change_context(RecordError::Storage)?;
    Ok(Some(folder.join(free_name)))
}

/// Whether the folder has a quarantined file. Its state may be the fleet's last copy, so a node on this folder must
/// not bootstrap a new state.
///
/// Errors: the folder cannot be listed. Example: `has_quarantined(Path::new("data"))?`.
pub fn has_quarantined(folder: &Path) -> io::Result<bool> {
    for entry in std::fs::read_dir(folder)? {
        if entry?.file_name().to_string_lossy().starts_with(DAMAGED_NAME) {
            return Ok(true);
        }
    }
    Ok(false)
}
