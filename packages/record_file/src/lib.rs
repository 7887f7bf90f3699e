//! An append-only file of checksummed records that is rewritten when it gets long.
//!
//! Layout: a head (mark, format, fleet mark, disk id, checksum), then records of
//! `length u32, checksum u32, body`. What was appended lasts once [`RecordFile::sync`] returned.
//! A torn tail is cut at open; damage with whole records behind it is reported, since records that
//! were synced are then lost and the disk must not vote.

use error_stack::{Report, ResultExt};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The longest record body.
pub const RECORD_LIMIT: usize = 16 * 1024 * 1024;
const FILE_MARK: &[u8; 8] = b"VANELANE";
const FORMAT: u32 = 1;
const HEAD_LENGTH: usize = 32;
const FILE_NAME: &str = "records";
const REWRITE_NAME: &str = "records.rewrite";

/// Why the file cannot be used. Example: `RecordError::OtherFleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The operating system refused.
    Storage,
    /// Another process holds the folder.
    InUse,
    /// The folder belongs to another fleet.
    OtherFleet,
    /// A newer vanelane wrote the file.
    NewerFormat,
    /// Synced records are damaged at this offset.
    Damaged(u64),
    /// A record is empty or over [`RECORD_LIMIT`].
    TooLong,
    /// An earlier write or sync failed: the file is not trusted until it is rewritten.
    Distrusted,
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RecordError::Storage => write!(formatter, "the disk refused"),
            RecordError::InUse => write!(formatter, "another process holds the data folder"),
            RecordError::OtherFleet => write!(formatter, "the data folder belongs to another fleet"),
            RecordError::NewerFormat => write!(formatter, "a newer vanelane wrote the data folder"),
            RecordError::Damaged(offset) => write!(formatter, "records are damaged at byte {offset}"),
            RecordError::TooLong => write!(formatter, "a record is empty or over the limit"),
            RecordError::Distrusted => write!(formatter, "an earlier write or sync failed"),
        }
    }
}

impl std::error::Error for RecordError {}

/// An open record file. Example: `let (file, records) = RecordFile::open(folder, fleet_mark)?;`.
#[derive(Debug)]
pub struct RecordFile {
    folder: PathBuf,
    file: File,
    _lock: File,
    fleet: u64,
    disk: u64,
    length: u64,
    rewritten_length: u64,
    trusted: bool,
}

impl RecordFile {
    /// Opens or formats the folder's file and returns its records in order.
    ///
    /// Example: `RecordFile::open(Path::new("data"), 7)` formats an empty folder with a new disk id.
    pub fn open(folder: &Path, fleet: u64) -> Result<(RecordFile, Vec<Vec<u8>>), Report<RecordError>> {
        fs::create_dir_all(folder).change_context(RecordError::Storage)?;
        let lock_file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))
            .change_context(RecordError::Storage)?;
        if lock_file.try_lock().is_err() {
            return Err(Report::new(RecordError::InUse));
        }
        let file_path = folder.join(FILE_NAME);
        let _ = fs::remove_file(folder.join(REWRITE_NAME));
        if !file_path.exists() {
            let new_disk = fastrand::u64(1..u64::MAX);
            write_whole(folder, fleet, new_disk, &[])?;
        }
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&file_path)
            .change_context(RecordError::Storage)?;
        let mut file_bytes = Vec::new();
        file.read_to_end(&mut file_bytes).change_context(RecordError::Storage)?;
        let disk = read_head(&file_bytes, fleet)?;
        let (records, sound_length) = read_records(&file_bytes)?;
        if sound_length < file_bytes.len() {
            file.set_len(sound_length as u64).change_context(RecordError::Storage)?;
            file.sync_all().change_context(RecordError::Storage)?;
        }
        file.seek(SeekFrom::End(0)).change_context(RecordError::Storage)?;
        let opened_file = RecordFile {
            folder: folder.to_path_buf(),
            file,
            _lock: lock_file,
            fleet,
            disk,
            length: sound_length as u64,
            rewritten_length: sound_length as u64,
            trusted: true,
        };
        Ok((opened_file, records))
    }

    /// The disk's id, drawn when it was formatted. Example: `file.disk() != 0`.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Bytes in the file. Example: `file.length() >= 32`.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Whether the file has outgrown its last rewrite by `slack_bytes` and doubled.
    ///
    /// Example: `if file.wants_rewrite(1 << 20) { file.rewrite(&live)?; }`.
    pub fn wants_rewrite(&self, slack_bytes: u64) -> bool {
        self.length > self.rewritten_length * 2 + slack_bytes
    }

    /// Appends records; they last only after [`RecordFile::sync`]. Example: `file.append(&[body])?`.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), Report<RecordError>> {
        if !self.trusted {
            return Err(Report::new(RecordError::Distrusted));
        }
        let group_bytes = frame_records(records)?;
        if let Err(failure) = self.file.write_all(&group_bytes) {
            self.trusted = false;
            return Err(Report::new(failure).change_context(RecordError::Storage));
        }
        self.length += group_bytes.len() as u64;
        Ok(())
    }

    /// Makes all that was appended last. Example: `file.append(&group)?; file.sync()?;`.
    pub fn sync(&mut self) -> Result<(), Report<RecordError>> {
        if !self.trusted {
            return Err(Report::new(RecordError::Distrusted));
        }
        if let Err(failure) = self.file.sync_data() {
            self.trusted = false;
            return Err(Report::new(failure).change_context(RecordError::Storage));
        }
        Ok(())
    }

    /// Replaces the file by one that holds just `records`, synced before it takes the name. That also
    /// makes a file trusted again whose last write or sync failed.
    ///
    /// Example: `file.rewrite(&live_records)?` keeps the disk id.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Report<RecordError>> {
        // Until the new file is in place any failure leaves the old one whole and in use; what was
        // written of the new one gives its room back.
        if let Err(failure) = write_whole(&self.folder, self.fleet, self.disk, records) {
            let _ = fs::remove_file(self.folder.join(REWRITE_NAME));
            return Err(failure);
        }
        self.trusted = false;
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(self.folder.join(FILE_NAME))
            .change_context(RecordError::Storage)?;
        self.length = file.seek(SeekFrom::End(0)).change_context(RecordError::Storage)?;
        self.rewritten_length = self.length;
        self.file = file;
        self.trusted = true;
        Ok(())
    }
}

fn write_whole(folder: &Path, fleet: u64, disk: u64, records: &[Vec<u8>]) -> Result<(), Report<RecordError>> {
    let mut whole_bytes = head_bytes(fleet, disk);
    whole_bytes.extend_from_slice(&frame_records(records)?);
    let rewrite_path = folder.join(REWRITE_NAME);
    let mut rewrite_file = File::create(&rewrite_path).change_context(RecordError::Storage)?;
    rewrite_file.write_all(&whole_bytes).change_context(RecordError::Storage)?;
    rewrite_file.sync_all().change_context(RecordError::Storage)?;
    fs::rename(&rewrite_path, folder.join(FILE_NAME)).change_context(RecordError::Storage)?;
    let folder_file = File::open(folder).change_context(RecordError::Storage)?;
    folder_file.sync_all().change_context(RecordError::Storage)
}

fn head_bytes(fleet: u64, disk: u64) -> Vec<u8> {
    let mut head_bytes = FILE_MARK.to_vec();
    head_bytes.extend_from_slice(&FORMAT.to_le_bytes());
    head_bytes.extend_from_slice(&fleet.to_le_bytes());
    head_bytes.extend_from_slice(&disk.to_le_bytes());
    head_bytes.extend_from_slice(&crc32fast::hash(&head_bytes).to_le_bytes());
    head_bytes
}

fn read_head(file_bytes: &[u8], fleet: u64) -> Result<u64, Report<RecordError>> {
    let damaged_head = || Report::new(RecordError::Damaged(0));
    let head_bytes = file_bytes.get(..HEAD_LENGTH).ok_or_else(damaged_head)?;
    if &head_bytes[..8] != FILE_MARK || head_bytes[28..] != crc32fast::hash(&head_bytes[..28]).to_le_bytes() {
        return Err(damaged_head());
    }
    if read_u32(head_bytes, 8) > FORMAT {
        return Err(Report::new(RecordError::NewerFormat));
    }
    let word = |start: usize| {
        u64::from(read_u32(head_bytes, start)) | u64::from(read_u32(head_bytes, start + 4)) << 32
    };
    if word(12) != fleet {
        return Err(Report::new(RecordError::OtherFleet));
    }
    Ok(word(20))
}

fn read_u32(source_bytes: &[u8], start: usize) -> u32 {
    source_bytes[start..start + 4].iter().rev().fold(0, |sum, byte| sum << 8 | u32::from(*byte))
}

fn frame_records(records: &[Vec<u8>]) -> Result<Vec<u8>, Report<RecordError>> {
    let mut group_bytes = Vec::with_capacity(records.iter().map(|record| record.len() + 8).sum());
    for record in records {
        if record.is_empty() || record.len() > RECORD_LIMIT {
            return Err(Report::new(RecordError::TooLong));
        }
        group_bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
        group_bytes.extend_from_slice(&crc32fast::hash(record).to_le_bytes());
        group_bytes.extend_from_slice(record);
    }
    Ok(group_bytes)
}

/// One sound record at `start`, with the offset behind it.
fn record_at(file_bytes: &[u8], start: usize) -> Option<(&[u8], usize)> {
    let head_end = start.checked_add(8)?;
    if head_end > file_bytes.len() {
        return None;
    }
    let body_length = read_u32(file_bytes, start) as usize;
    let body = file_bytes.get(head_end..head_end.checked_add(body_length)?)?;
    // An empty record is never written: a tail of zeros is torn, not a row of records.
    if body_length == 0
        || body_length > RECORD_LIMIT
        || crc32fast::hash(body) != read_u32(file_bytes, start + 4)
    {
        return None;
    }
    Some((body, head_end + body_length))
}

type SoundRecords = (Vec<Vec<u8>>, usize);

fn read_records(file_bytes: &[u8]) -> Result<SoundRecords, Report<RecordError>> {
    let mut records = Vec::new();
    let mut offset = HEAD_LENGTH;
    while let Some((body, next_offset)) = record_at(file_bytes, offset) {
        records.push(body.to_vec());
        offset = next_offset;
    }
    // What cannot be read is a torn tail only if no sound record stands behind it.
    let damage_hides_records =
        (offset + 1..file_bytes.len()).any(|start| record_at(file_bytes, start).is_some());
    if damage_hides_records {
        return Err(Report::new(RecordError::Damaged(offset as u64)));
    }
    Ok((records, offset))
}

#[cfg(test)]
mod tests;
