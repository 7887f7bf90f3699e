//! Reads files of format 1: records of `length u32, checksum u32, body` after the common head.
//!
//! Format 1 does not record how far the file was synced. If a valid record follows an unreadable place, the
//! unreadable bytes may have been synced, so this counts as damage: a disk that may have lost synced records
//! must not vote. An opened file is rewritten in the newest format, so this concerns only the first start after an
//! upgrade.

use crate::framing::{COMMON_HEAD_LENGTH, read_u32};
use crate::{RECORD_LIMIT, RecordError};
use error_stack::Report;

const RECORD_HEADER_LENGTH: usize = 8;

/// The valid record at `start`, with the offset after it.
fn record_at(file_bytes: &[u8], start: usize) -> Option<(&[u8], usize)> {
    let body_start = start.checked_add(RECORD_HEADER_LENGTH)?;
    let body_length = read_u32(file_bytes, start)? as usize;
    // An empty record is never written, so a tail of zeros is a torn tail and not a series of records.
    if body_length == 0 || body_length > RECORD_LIMIT {
        return None;
    }
    let body_end = body_start.checked_add(body_length)?;
    let body = file_bytes.get(body_start..body_end)?;
    (Some(crc32fast::hash(body)) == read_u32(file_bytes, start + 4)).then_some((body, body_end))
}

/// The records in order, without a torn tail.
///
/// Errors: `Damaged` if a valid record follows an unreadable place.
pub(crate) fn read_records(file_bytes: &[u8]) -> Result<Vec<Vec<u8>>, Report<RecordError>> {
    let mut records = Vec::new();
    let mut offset = COMMON_HEAD_LENGTH;
    while let Some((body, next_offset)) = record_at(file_bytes, offset) {
        records.push(body.to_vec());
        offset = next_offset;
    }
    let has_later_records =
        (offset + 1..file_bytes.len()).any(|start| record_at(file_bytes, start).is_some());
    match has_later_records {
        true => Err(Report::new(RecordError::Damaged(offset as u64))),
        false => Ok(records),
    }
}
