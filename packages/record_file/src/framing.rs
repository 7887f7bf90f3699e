//! The file format (format 2), and which records are read after a loss of power.
//!
//! The file consists of a head and groups of records, one group for each append. Integers are little-endian.
//!
//! - Head: the head common to all formats (`magic`, `format u32`, `fleet u64`, `disk u64`, `checksum u32`),
//!   then `salt u64`, `base_length u64`, `checksum u32`. The salt is random for each file. All bytes up to
//!   `base_length` were synced before the file got its name.
//! - Group: `offset u64` (of the group itself), `synced_length u64`, `body_length u64`,
//!   `body_checksum u32`, `header_checksum u32`, then the body: records of `length u32` and bytes. Both
//!   checksums are salted.
//!
//! After a loss of power each write since the last sync may independently be complete, missing or torn, so the
//! presence of a valid group after an unreadable place does not prove that the place had been synced. Its
//! `synced_length` does: the file had been synced up to there when the group was written. An unreadable place
//! below that, or below the head's `base_length`, is therefore damage; any other one is the beginning of the torn
//! tail, and nothing after it is read. No offset of a file is written twice, and the salt and the offset keep old
//! bytes of another file or of another offset from being read as groups.
//!
//! Damage to the last synced bytes, with no later group, cannot be distinguished from a torn tail.

use crate::{RECORD_LIMIT, RecordError, format_one};
use error_stack::Report;

const FILE_MAGIC: &[u8; 8] = b"VANELANE";
const FORMAT: u32 = 2;
/// The length of the head that all formats begin with.
pub(crate) const COMMON_HEAD_LENGTH: usize = 32;
const FLEET_OFFSET: usize = 12;
const HEAD_LENGTH: usize = 52;
const GROUP_HEADER_LENGTH: usize = 32;

/// The content of a file that was read.
#[derive(Debug)]
pub(crate) struct Contents {
    pub disk: u64,
    pub records: Vec<Vec<u8>>,
}

/// Encodes the groups of one file.
#[derive(Clone, Debug)]
pub(crate) struct Framer {
    salt: u64,
    length: u64,
    synced_length: u64,
}

impl Framer {
    /// The bytes of a new file with these records, and the framer for later appends.
    pub(crate) fn new_file(
        fleet: u64,
        disk: u64,
        salt: u64,
        records: &[Vec<u8>],
    ) -> Result<(Framer, Vec<u8>), Report<RecordError>> {
        let body = encode_body(records)?;
        let group_length = if body.is_empty() { 0 } else { GROUP_HEADER_LENGTH + body.len() };
        let base_length = (HEAD_LENGTH + group_length) as u64;
        let mut file_bytes = common_head(FORMAT, fleet, disk);
        file_bytes.extend_from_slice(&salt.to_le_bytes());
        file_bytes.extend_from_slice(&base_length.to_le_bytes());
        let head_checksum = crc32fast::hash(&file_bytes);
        file_bytes.extend_from_slice(&head_checksum.to_le_bytes());
        let length = HEAD_LENGTH as u64;
        let mut framer = Framer { salt, length, synced_length: length };
        file_bytes.extend(framer.frame(&body));
        framer.set_all_synced();
        Ok((framer, file_bytes))
    }

    /// The bytes of a group of records to append. Example: `framer.group(&[b"one".to_vec()])?`.
    pub(crate) fn group(&mut self, records: &[Vec<u8>]) -> Result<Vec<u8>, Report<RecordError>> {
        Ok(self.frame(&encode_body(records)?))
    }

    fn frame(&mut self, body: &[u8]) -> Vec<u8> {
        if body.is_empty() {
            return Vec::new();
        }
        let mut group_bytes = Vec::with_capacity(GROUP_HEADER_LENGTH + body.len());
        group_bytes.extend_from_slice(&self.length.to_le_bytes());
        group_bytes.extend_from_slice(&self.synced_length.to_le_bytes());
        group_bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
        group_bytes.extend_from_slice(&salted_checksum(self.salt, body).to_le_bytes());
        let header_checksum = salted_checksum(self.salt, &group_bytes);
        group_bytes.extend_from_slice(&header_checksum.to_le_bytes());
        group_bytes.extend_from_slice(body);
        self.length += group_bytes.len() as u64;
        group_bytes
    }

    /// The length of the file once all framed bytes are written.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Records that all framed bytes are synced.
    pub(crate) fn set_all_synced(&mut self) {
        self.synced_length = self.length;
    }
}

fn salted_checksum(salt: u64, covered_bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(covered_bytes);
    hasher.finalize()
}

fn encode_body(records: &[Vec<u8>]) -> Result<Vec<u8>, Report<RecordError>> {
    let mut body = Vec::with_capacity(records.iter().map(|record| record.len() + 4).sum());
    for record in records {
        if record.is_empty() || record.len() > RECORD_LIMIT {
            return Err(Report::new(RecordError::TooLong));
        }
        body.extend_from_slice(&(record.len() as u32).to_le_bytes());
        body.extend_from_slice(record);
    }
    Ok(body)
}

pub(crate) fn common_head(format: u32, fleet: u64, disk: u64) -> Vec<u8> {
    let mut head_bytes = FILE_MAGIC.to_vec();
    head_bytes.extend_from_slice(&format.to_le_bytes());
    head_bytes.extend_from_slice(&fleet.to_le_bytes());
    head_bytes.extend_from_slice(&disk.to_le_bytes());
    head_bytes.extend_from_slice(&crc32fast::hash(&head_bytes).to_le_bytes());
    head_bytes
}

pub(crate) fn read_u32(source_bytes: &[u8], start: usize) -> Option<u32> {
    let word = source_bytes.get(start..start.checked_add(4)?)?;
    word.try_into().ok().map(u32::from_le_bytes)
}

fn read_u64(source_bytes: &[u8], start: usize) -> Option<u64> {
    let word = source_bytes.get(start..start.checked_add(8)?)?;
    word.try_into().ok().map(u64::from_le_bytes)
}

/// Reads a whole file of format 1 or 2.
///
/// Errors: `Damaged` if synced bytes cannot be read, `OtherFleet`, `NewerFormat`.
pub(crate) fn read_file(file_bytes: &[u8], fleet: u64) -> Result<Contents, Report<RecordError>> {
    let (format, disk) = read_common_head(file_bytes, fleet)?;
    let records = match format {
        1 => format_one::read_records(file_bytes)?,
        _ => read_groups(file_bytes)?,
    };
    Ok(Contents { disk, records })
}

/// Whether synced bytes of a file cannot be read, whichever fleet it belongs to.
pub(crate) fn is_damaged(file_bytes: &[u8]) -> bool {
    let fleet = read_u64(file_bytes, FLEET_OFFSET).unwrap_or_default();
    let outcome = read_file(file_bytes, fleet);
    outcome.is_err_and(|failure| matches!(failure.current_context(), RecordError::Damaged(_)))
}

fn damaged_at(offset: usize) -> Report<RecordError> {
    Report::new(RecordError::Damaged(offset as u64))
}

/// The format and the disk id. The head was synced before the file got its name, so an unreadable head is damage.
fn read_common_head(file_bytes: &[u8], fleet: u64) -> Result<(u32, u64), Report<RecordError>> {
    let is_valid = file_bytes.get(..8) == Some(FILE_MAGIC)
        && file_bytes.get(..28).map(crc32fast::hash) == read_u32(file_bytes, 28);
    let (true, Some(format), Some(file_fleet), Some(disk)) =
        (is_valid, read_u32(file_bytes, 8), read_u64(file_bytes, FLEET_OFFSET), read_u64(file_bytes, 20))
    else {
        return Err(damaged_at(0));
    };
    if format > FORMAT {
        return Err(Report::new(RecordError::NewerFormat));
    }
    if file_fleet != fleet {
        return Err(Report::new(RecordError::OtherFleet));
    }
    Ok((format, disk))
}

/// The salt, and the length that had been synced before the file got its name.
fn read_rest_of_head(file_bytes: &[u8]) -> Option<(u64, u64)> {
    let checksum = read_u32(file_bytes, HEAD_LENGTH - 4)?;
    if crc32fast::hash(file_bytes.get(..HEAD_LENGTH - 4)?) != checksum {
        return None;
    }
    Some((read_u64(file_bytes, COMMON_HEAD_LENGTH)?, read_u64(file_bytes, COMMON_HEAD_LENGTH + 8)?))
}

struct GroupHeader {
    synced_length: u64,
    body_length: u64,
    body_checksum: u32,
}

/// The group header at an offset, if a valid one is there.
fn header_at(file_bytes: &[u8], offset: usize, salt: u64) -> Option<GroupHeader> {
    if read_u64(file_bytes, offset)? != offset as u64 {
        return None;
    }
    let header_bytes = file_bytes.get(offset..offset.checked_add(GROUP_HEADER_LENGTH)?)?;
    if salted_checksum(salt, &header_bytes[..28]) != read_u32(header_bytes, 28)? {
        return None;
    }
    Some(GroupHeader {
        synced_length: read_u64(header_bytes, 8)?,
        body_length: read_u64(header_bytes, 16)?,
        body_checksum: read_u32(header_bytes, 24)?,
    })
}

/// The records of the group at an offset, with the offset after it.
fn group_at(file_bytes: &[u8], offset: usize, salt: u64) -> Option<(Vec<Vec<u8>>, usize)> {
    let header = header_at(file_bytes, offset, salt)?;
    let body_start = offset + GROUP_HEADER_LENGTH;
    let body_end = body_start.checked_add(usize::try_from(header.body_length).ok()?)?;
    let body = file_bytes.get(body_start..body_end)?;
    if salted_checksum(salt, body) != header.body_checksum {
        return None;
    }
    Some((split_body(body)?, body_end))
}

fn split_body(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < body.len() {
        let record_end = (offset + 4).checked_add(read_u32(body, offset)? as usize)?;
        records.push(body.get(offset + 4..record_end)?.to_vec());
        offset = record_end;
    }
    Some(records)
}

fn read_groups(file_bytes: &[u8]) -> Result<Vec<Vec<u8>>, Report<RecordError>> {
    let Some((salt, base_length)) = read_rest_of_head(file_bytes) else {
        return Err(damaged_at(0));
    };
    let mut records = Vec::new();
    let mut offset = HEAD_LENGTH;
    while let Some((group, group_end)) = group_at(file_bytes, offset, salt) {
        records.extend(group);
        offset = group_end;
    }
    let was_synced = |synced_length: u64| synced_length > offset as u64;
    let is_damage = was_synced(base_length)
        || (offset + 1..file_bytes.len())
            .filter_map(|start| header_at(file_bytes, start, salt))
            .any(|header| was_synced(header.synced_length));
    if is_damage {
        return Err(damaged_at(offset));
    }
    Ok(records)
}
