use super::*;

fn scratch_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vanelane-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn error_of<T: std::fmt::Debug>(outcome: Result<T, Report<RecordError>>) -> RecordError {
    outcome.expect_err("a failure").current_context().clone()
}

#[test]
fn records_last_and_a_torn_tail_is_cut() {
    let folder = scratch_folder("torn");
    let (mut file, records) = RecordFile::open(&folder, 7).expect("format");
    assert!(records.is_empty());
    let first_disk = file.disk();
    file.append(&[b"one".to_vec(), b"two".to_vec()]).expect("append");
    file.sync().expect("sync");
    assert_eq!(error_of(RecordFile::open(&folder, 7)), RecordError::InUse);
    drop(file);
    let file_path = folder.join(FILE_NAME);
    let whole_bytes = fs::read(&file_path).expect("read");
    // Every way the last record can be torn leaves the first.
    for torn_length in whole_bytes.len() - 10..whole_bytes.len() {
        fs::write(&file_path, &whole_bytes[..torn_length]).expect("tear");
        let (file, records) = RecordFile::open(&folder, 7).expect("open");
        assert_eq!((file.disk(), records), (first_disk, vec![b"one".to_vec()]));
    }
    // A tail of zeros, as some file systems leave after power loss, is no record.
    let zero_tail = [&whole_bytes[..], &[0; 64]].concat();
    fs::write(&file_path, &zero_tail).expect("zeros");
    let (_, records) = RecordFile::open(&folder, 7).expect("open");
    assert_eq!(records, vec![b"one".to_vec(), b"two".to_vec()]);
    // Damage to the first record would lose the second, which was synced.
    let mut damaged_bytes = whole_bytes.clone();
    damaged_bytes[HEAD_LENGTH + 9] ^= 1;
    fs::write(&file_path, &damaged_bytes).expect("damage");
    assert_eq!(error_of(RecordFile::open(&folder, 7)), RecordError::Damaged(HEAD_LENGTH as u64));
    assert_eq!(error_of(RecordFile::open(&folder, 8)), RecordError::OtherFleet);
    let mut newer_head = head_bytes(7, first_disk);
    newer_head[8] = 2;
    newer_head.truncate(28);
    let checksum = crc32fast::hash(&newer_head).to_le_bytes();
    newer_head.extend_from_slice(&checksum);
    fs::write(&file_path, &newer_head).expect("a newer file");
    assert_eq!(error_of(RecordFile::open(&folder, 7)), RecordError::NewerFormat);
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn a_rewrite_keeps_the_disk_and_the_live_records() {
    let folder = scratch_folder("rewrite");
    let (mut file, _) = RecordFile::open(&folder, 7).expect("format");
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
    let (file, records) = RecordFile::open(&folder, 7).expect("open");
    assert_eq!((file.disk(), records), (disk, vec![b"live".to_vec(), b"later".to_vec()]));
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn no_file_makes_the_reader_panic() {
    arbtest::arbtest(|source| {
        let foreign_bytes: Vec<u8> = source.arbitrary()?;
        let _ = read_records(&foreign_bytes);
        let _ = read_head(&foreign_bytes, 7);
        Ok(())
    })
    .seed(0x5eed_0002_0000_0040);
}
