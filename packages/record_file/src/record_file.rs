//! The open file: append, sync, rewrite, and the recovery when it is opened.

use crate::RecordError;
use crate::folder::{DiskFolder, Folder};
use crate::framing::{Contents, Framer, read_file};
use error_stack::{Report, ResultExt};
use std::path::Path;

/// The name of the file in its folder.
pub const FILE_NAME: &str = "records";
/// The name of a new file until it replaces the old one.
pub const REWRITE_NAME: &str = "records.rewrite";
/// The name of a quarantined file, without the number that follows.
pub const DAMAGED_NAME: &str = "records.damaged-";

/// An open record file. Example: `let (file, records) = RecordFile::open(folder, fleet_id)?;`.
#[derive(Debug)]
pub struct RecordFile<F: Folder = DiskFolder> {
    folder: F,
    fleet: u64,
    disk: u64,
    /// `None` while the file is not trusted: nothing may be appended until a rewrite has succeeded.
    writer: Option<Writer<F::File>>,
    rewritten_length: u64,
}

/// An open file with its records in order.
pub type Opened<F> = (RecordFile<F>, Vec<Vec<u8>>);

#[derive(Debug)]
struct Writer<T> {
    file: T,
    framer: Framer,
}

impl RecordFile {
    /// Locks the folder, then opens or formats its file and returns the records in order.
    ///
    /// Errors: as [`RecordFile::open_in`], and `InUse` if another process has locked the folder.
    /// Example: `RecordFile::open(Path::new("data"), 7)` formats an empty folder with a new disk id.
    pub fn open(folder: &Path, fleet: u64) -> Result<Opened<DiskFolder>, Report<RecordError>> {
        RecordFile::open_in(DiskFolder::lock(folder)?, fleet)
    }
}

impl<F: Folder> RecordFile<F> {
    /// Reads the folder's file as [`RecordFile::read_in`] does, and rewrites it with the records that were read, so
    /// that all of them are durable. If the rewrite fails, the file is returned untrusted.
    ///
    /// Errors: as [`RecordFile::read_in`]. Example: `RecordFile::open_in(folder, 7)?.0.is_trusted()`.
    pub fn open_in(folder: F, fleet: u64) -> Result<Opened<F>, Report<RecordError>> {
        let (mut file, records) = RecordFile::read_in(folder, fleet)?;
        if !file.is_trusted() {
            // On failure the file stays untrusted: the caller can see it, and appends are refused.
            let _ = file.rewrite(&records);
        }
        Ok((file, records))
    }

    /// Returns the records of the folder's file in order; those up to the last sync are always among them.
    /// Nothing is written, so that a stalled disk does not block the caller; only a folder without a file is
    /// formatted.
    ///
    /// After the end of a process, or after a sync that failed, records may be readable without being synced:
    /// the file is not trusted, and no response may depend on its records, until a rewrite has succeeded. Only a
    /// file that was just formatted is trusted.
    ///
    /// Errors: `Damaged` if synced bytes cannot be read (the file is left unchanged), `OtherFleet`,
    /// `NewerFormat`; `Storage` if the file cannot be read or formatted.
    /// Example: `let (mut file, records) = RecordFile::read_in(folder, 7)?; file.rewrite(&records)?;`.
    pub fn read_in(folder: F, fleet: u64) -> Result<Opened<F>, Report<RecordError>> {
        let found_bytes = folder.read(FILE_NAME).change_context(RecordError::Storage)?;
        let is_new = found_bytes.is_none();
        let contents = match found_bytes {
            Some(file_bytes) => read_file(&file_bytes, fleet)?,
            None => Contents { disk: fastrand::u64(1..u64::MAX), records: Vec::new() },
        };
        let mut file = RecordFile { folder, fleet, disk: contents.disk, writer: None, rewritten_length: 0 };
        if is_new {
            file.rewrite(&[])?;
        }
        Ok((file, contents.records))
    }

    /// The disk's id, chosen at random when it was formatted. Example: `file.disk() != 0`.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Whether records may be appended; if not, the file must be rewritten first.
    /// Example: `file.is_trusted()`.
    pub fn is_trusted(&self) -> bool {
        self.writer.is_some()
    }

    /// The length of the file in bytes; zero if it is not trusted. Example: `file.length() >= 52`.
    pub fn length(&self) -> u64 {
        self.writer.as_ref().map_or(0, |writer| writer.framer.length())
    }

    /// Whether the file is longer than twice its length at the last rewrite plus `slack_bytes`.
    ///
    /// Example: `if file.wants_rewrite(1 << 20) { file.rewrite(&live)?; }`.
    pub fn wants_rewrite(&self, slack_bytes: u64) -> bool {
        self.length() > self.rewritten_length * 2 + slack_bytes
    }

    /// Appends records as one group; they are durable only after [`RecordFile::sync`].
    ///
    /// Errors: `TooLong`, `Distrusted`, `Storage`; after `Storage` the file is not trusted.
    /// Example: `file.append(&[body])?`.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), Report<RecordError>> {
        let Some(writer) = &mut self.writer else { return Err(Report::new(RecordError::Distrusted)) };
        let group_bytes = writer.framer.group(records)?;
        let outcome = self.folder.append(&mut writer.file, &group_bytes);
        self.distrust_on_failure(outcome)
    }

    /// Makes all appended records durable.
    ///
    /// Errors: `Distrusted`, `Storage`; after `Storage` the file is not trusted.
    /// Example: `file.append(&group)?; file.sync()?;`.
    pub fn sync(&mut self) -> Result<(), Report<RecordError>> {
        let Some(writer) = &mut self.writer else { return Err(Report::new(RecordError::Distrusted)) };
        let outcome = self.folder.sync(&mut writer.file);
        if outcome.is_ok() {
            writer.framer.set_all_synced();
        }
        self.distrust_on_failure(outcome)
    }

    fn distrust_on_failure(&mut self, outcome: std::io::Result<()>) -> Result<(), Report<RecordError>> {
        if outcome.is_err() {
            self.writer = None;
        }
        outcome.change_context(RecordError::Storage)
    }

    /// Replaces the file by one that holds only `records`: it is synced before it gets the name, and the name is
    /// synced before anything is appended. This also restores trust in a file whose last write or sync failed.
    ///
    /// Errors: `TooLong`, `Storage`. After an error it is unknown whether the old or the new file has the name,
    /// and the file is not trusted.
    /// Example: `file.rewrite(&live_records)?` keeps the disk id.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Report<RecordError>> {
        self.writer = None;
        match self.write_new_file(records) {
            Ok(writer) => {
                self.rewritten_length = writer.framer.length();
                self.writer = Some(writer);
                Ok(())
            }
            Err(failure) => {
                // Frees the space of the incomplete new file.
                let _ = self.folder.remove(REWRITE_NAME);
                Err(failure)
            }
        }
    }

    fn write_new_file(&self, records: &[Vec<u8>]) -> Result<Writer<F::File>, Report<RecordError>> {
        let salt = fastrand::u64(..);
        let (framer, file_bytes) = Framer::new_file(self.fleet, self.disk, salt, records)?;
        let mut file = self.folder.create(REWRITE_NAME).change_context(RecordError::Storage)?;
        self.folder.append(&mut file, &file_bytes).change_context(RecordError::Storage)?;
        self.folder.sync(&mut file).change_context(RecordError::Storage)?;
        self.folder.rename(REWRITE_NAME, FILE_NAME).change_context(RecordError::Storage)?;
        self.folder.sync_names().change_context(RecordError::Storage)?;
        Ok(Writer { file, framer })
    }
}
