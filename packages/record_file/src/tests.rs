use super::framing::{Framer, common_head, read_file};
use super::*;
use error_stack::Report;
use std::fs;
use std::path::{Path, PathBuf};

const FLEET: u64 = 7;

fn scratch_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vanelane-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn error_of<T: std::fmt::Debug>(outcome: Result<T, Report<RecordError>>) -> RecordError {
    outcome.expect_err("a failure").current_context().clone()
}

fn open(folder: &Path) -> (RecordFile, Vec<Vec<u8>>) {
    RecordFile::open(folder, FLEET).expect("open")
}

#[test]
fn synced_records_are_durable_and_a_torn_tail_is_dropped() {
    let folder = scratch_folder("torn");
    let (mut file, records) = open(&folder);
    assert!(records.is_empty());
    let first_disk = file.disk();
    file.append(&[b"one".to_vec()]).expect("append");
    file.sync().expect("sync");
    let synced_length = file.length() as usize;
    file.append(&[b"two".to_vec()]).expect("append");
    assert_eq!(error_of(RecordFile::open(&folder, FLEET)), RecordError::InUse);
    drop(file);
    let file_path = folder.join(FILE_NAME);
    let whole_bytes = fs::read(&file_path).expect("read");
    // Wherever the last record is torn, the first one is still read.
    for torn_length in synced_length..whole_bytes.len() {
        fs::write(&file_path, &whole_bytes[..torn_length]).expect("tear");
        let (file, records) = open(&folder);
        assert_eq!((file.disk(), records), (first_disk, vec![b"one".to_vec()]));
    }
    // A tail of zeros, as some file systems leave after a loss of power, is not read as a record.
    let zero_tail = [&whole_bytes[..], &[0; 64]].concat();
    fs::write(&file_path, &zero_tail).expect("zeros");
    let (_, records) = open(&folder);
    assert_eq!(records, vec![b"one".to_vec(), b"two".to_vec()]);
    assert_eq!(error_of(RecordFile::open(&folder, FLEET + 1)), RecordError::OtherFleet);
    let mut newer_head = common_head(3, FLEET, first_disk);
    newer_head.extend_from_slice(b"what a newer program knows");
    fs::write(&file_path, &newer_head).expect("a newer file");
    assert_eq!(error_of(RecordFile::open(&folder, FLEET)), RecordError::NewerFormat);
    let _ = fs::remove_dir_all(&folder);
}

/// A changed or zeroed byte that was synced before the last group was written must be reported as damage, at or
/// before that byte.
#[test]
fn damage_below_the_synced_length_of_a_later_group_is_reported() {
    let records = [b"one".to_vec(), b"two".to_vec()];
    let (mut framer, mut whole_bytes) = Framer::new_file(FLEET, 5, 6, &records).expect("framed");
    whole_bytes.extend(framer.group(&[b"three".to_vec()]).expect("framed"));
    framer.set_all_synced();
    let synced_length = whole_bytes.len();
    whole_bytes.extend(framer.group(&[b"four".to_vec()]).expect("framed"));
    let mut damaged_count = 0;
    for place in 0..synced_length {
        for changed in [0, whole_bytes[place] ^ 1, whole_bytes[place] ^ 0x80] {
            if changed == whole_bytes[place] {
                continue;
            }
            let mut damaged_bytes = whole_bytes.clone();
            damaged_bytes[place] = changed;
            let error = error_of(read_file(&damaged_bytes, FLEET));
            assert!(
                matches!(error, RecordError::Damaged(at) if at <= place as u64),
                "byte {place}: {error:?}"
            );
            damaged_count += 1;
        }
    }
    assert!(damaged_count > synced_length);
    // Bytes that no group records as synced are a torn tail.
    for place in synced_length..whole_bytes.len() {
        let mut torn_bytes = whole_bytes.clone();
        torn_bytes[place] ^= 1;
        assert_eq!(read_file(&torn_bytes, FLEET).expect("no damage").records.len(), 3);
    }
}

/// A hole in the first of two appends is damage only if a sync between them made the first one durable.
#[test]
fn a_hole_is_damage_only_if_it_was_synced_before_the_next_append() {
    for is_synced in [false, true] {
        let folder = scratch_folder("hole");
        let (mut file, _) = open(&folder);
        let first_length = file.length();
        file.append(&[b"one".to_vec()]).expect("append");
        if is_synced {
            file.sync().expect("sync");
        }
        let second_length = file.length();
        file.append(&[b"two".to_vec()]).expect("append");
        drop(file);
        let file_path = folder.join(FILE_NAME);
        let mut file_bytes = fs::read(&file_path).expect("read");
        file_bytes[first_length as usize..second_length as usize].fill(0);
        fs::write(&file_path, &file_bytes).expect("a hole");
        match is_synced {
            true => {
                let error = error_of(RecordFile::open(&folder, FLEET));
                assert_eq!(error, RecordError::Damaged(first_length));
            }
            false => assert!(open(&folder).1.is_empty()),
        }
        let _ = fs::remove_dir_all(&folder);
    }
}

/// The records of a rewrite were synced before the file got its name, so a shorter file is damaged and not torn.
#[test]
fn a_truncated_rewritten_file_is_damaged() {
    let (_, whole_bytes) = Framer::new_file(FLEET, 5, 6, &[b"one".to_vec()]).expect("framed");
    for length in 0..whole_bytes.len() {
        let error = error_of(read_file(&whole_bytes[..length], FLEET));
        assert!(matches!(error, RecordError::Damaged(_)), "{length}: {error:?}");
    }
    assert_eq!(read_file(&whole_bytes, FLEET).expect("no damage").records, vec![b"one".to_vec()]);
}

#[test]
fn a_damaged_file_is_unchanged_until_it_is_quarantined() {
    let folder = scratch_folder("damaged");
    let (mut file, _) = open(&folder);
    let first_disk = file.disk();
    file.rewrite(&[b"one".to_vec()]).expect("rewrite");
    assert_eq!(error_of(quarantine_damaged(&folder)), RecordError::InUse);
    drop(file);
    assert_eq!(quarantine_damaged(&folder).expect("an undamaged file stays"), None);
    let file_path = folder.join(FILE_NAME);
    let mut damaged_bytes = fs::read(&file_path).expect("read");
    let last = damaged_bytes.len() - 1;
    damaged_bytes[last] ^= 1;
    fs::write(&file_path, &damaged_bytes).expect("damage");
    for _ in 0..2 {
        assert!(matches!(error_of(RecordFile::open(&folder, FLEET)), RecordError::Damaged(_)));
        assert_eq!(fs::read(&file_path).expect("read"), damaged_bytes);
    }
    assert!(!has_quarantined(&folder).expect("listed"));
    let quarantine_path = quarantine_damaged(&folder).expect("renamed").expect("damaged");
    assert_eq!(fs::read(quarantine_path).expect("read"), damaged_bytes);
    assert!(has_quarantined(&folder).expect("listed"));
    let (file, records) = open(&folder);
    assert!(records.is_empty() && file.disk() != first_disk);
    let _ = fs::remove_dir_all(&folder);
}

fn format_one_file(records: &[&[u8]]) -> Vec<u8> {
    let mut file_bytes = common_head(1, FLEET, 5);
    for record in records {
        file_bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
        file_bytes.extend_from_slice(&crc32fast::hash(record).to_le_bytes());
        file_bytes.extend_from_slice(record);
    }
    file_bytes
}

#[test]
fn a_file_of_format_one_is_read_and_rewritten_in_format_two() {
    let folder = scratch_folder("format-one");
    fs::create_dir_all(&folder).expect("a folder");
    let file_path = folder.join(FILE_NAME);
    let whole_bytes = format_one_file(&[b"one", b"two"]);
    // Wherever the last record is torn, the first one is still read.
    for torn_length in whole_bytes.len() - 10..whole_bytes.len() {
        fs::write(&file_path, &whole_bytes[..torn_length]).expect("tear");
        let (file, records) = open(&folder);
        assert_eq!((file.disk(), records), (5, vec![b"one".to_vec()]));
    }
    fs::write(&file_path, [&whole_bytes[..], &[0; 64]].concat()).expect("zeros");
    let (mut file, records) = open(&folder);
    assert_eq!((file.disk(), &records), (5, &vec![b"one".to_vec(), b"two".to_vec()]));
    file.append(&[b"three".to_vec()]).expect("append");
    file.sync().expect("sync");
    drop(file);
    assert_eq!(fs::read(&file_path).expect("read")[8], 2);
    let (_, records) = open(&folder);
    assert_eq!(records, vec![b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
    // Damage to the first record is reported, as the second one may have been synced.
    let mut damaged_bytes = whole_bytes;
    damaged_bytes[32 + 9] ^= 1;
    fs::write(&file_path, &damaged_bytes).expect("damage");
    assert_eq!(error_of(RecordFile::open(&folder, FLEET)), RecordError::Damaged(32));
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn a_rewrite_keeps_the_disk_id_and_the_live_records() {
    let folder = scratch_folder("rewrite");
    let (mut file, _) = open(&folder);
    let disk = file.disk();
    for _ in 0..50 {
        file.append(&[vec![1; 100]]).expect("append");
    }
    assert!(file.wants_rewrite(1_000));
    file.rewrite(&[b"live".to_vec()]).expect("rewrite");
    file.append(&[b"later".to_vec()]).expect("append");
    file.sync().expect("sync");
    assert!(!file.wants_rewrite(1_000));
    drop(file);
    let (file, records) = open(&folder);
    assert_eq!((file.disk(), records), (disk, vec![b"live".to_vec(), b"later".to_vec()]));
    let _ = fs::remove_dir_all(&folder);
}

/// After a loss of power the rewrite's name may be a second link to the file in use.
#[test]
fn a_second_link_to_the_file_in_use_does_no_damage() {
    let folder = scratch_folder("linked");
    let (mut file, _) = open(&folder);
    file.append(&[b"one".to_vec()]).expect("append");
    file.sync().expect("sync");
    drop(file);
    fs::hard_link(folder.join(FILE_NAME), folder.join(REWRITE_NAME)).expect("a second name");
    let (_, records) = open(&folder);
    assert_eq!(records, vec![b"one".to_vec()]);
    let (_, records) = open(&folder);
    assert_eq!(records, vec![b"one".to_vec()]);
    let _ = fs::remove_dir_all(&folder);
}

const RANDOM_FILES: u64 = 2_000;
const RANDOM_BYTES: u64 = 128;

#[test]
fn random_files_cause_no_panic() {
    for number in 0..RANDOM_FILES {
        let read_random_file = |source: &mut arbtest::arbitrary::Unstructured| {
            let random_bytes: Vec<u8> = source.arbitrary()?;
            let _ = read_file(&random_bytes, FLEET);
            for format in [1, 2] {
                let _ = read_file(&[common_head(format, FLEET, 5), random_bytes.clone()].concat(), FLEET);
            }
            // A valid head of format 2 followed by random bytes.
            let (_, whole_bytes) = Framer::new_file(FLEET, 5, 6, &[]).expect("framed");
            let _ = read_file(&[whole_bytes, random_bytes].concat(), FLEET);
            Ok(())
        };
        arbtest::arbtest(read_random_file).seed((0x5eed_0002 + number) << 32 | RANDOM_BYTES);
    }
}
