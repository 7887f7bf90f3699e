use super::*;
use std::fs;
use std::path::PathBuf;

const FLEET: u64 = 7;

/// A folder with a bootstrapped disk, and the disk's id.
fn bootstrapped_folder(name: &str) -> (PathBuf, u64) {
    let folder = std::env::temp_dir().join(format!("vanelane-opening-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let opened = open(&folder, FLEET).expect("formatted");
    assert!(opened.first_events.is_empty());
    let (mut file, mut registers) = opened.disk.expect("a disk");
    let bootstrap_set = control_registers::ChosenSet::bootstrap(&[file.disk(), 2, 3]);
    let records = registers.bootstrap(&bootstrap_set).expect("taken");
    file.append(&records).expect("append");
    file.sync().expect("sync");
    (folder, file.disk())
}

/// Opens a folder that was used before and rewrites its file, as the node does after its start.
fn open_again(folder: &Path) -> (RecordFile, DiskRegisters) {
    let opened = open(folder, FLEET).expect("sound");
    assert!(matches!(opened.first_events[..], [Event::DiskUnsynced]));
    let (mut file, registers) = opened.disk.expect("a disk");
    assert!(!file.is_trusted(), "the records read may be unsynced");
    file.rewrite(&registers.live_records()).expect("rewritten");
    (file, registers)
}

fn damage(folder: &Path) -> Vec<u8> {
    // A rewritten file is synced before it is renamed into place.
    open_again(folder);
    let path = folder.join(FILE_NAME);
    let mut file_bytes = fs::read(&path).expect("read");
    let last = file_bytes.len() - 1;
    file_bytes[last] ^= 1;
    fs::write(&path, &file_bytes).expect("damage");
    file_bytes
}

#[test]
fn node_starts_without_a_damaged_disk_and_leaves_its_file_unchanged() {
    let (folder, disk) = bootstrapped_folder("damaged");
    let damaged_bytes = damage(&folder);
    for _ in 0..2 {
        let opened = open(&folder, FLEET).expect("the node starts");
        assert!(opened.disk.is_none());
        let [Event::DiskUnusable { reason }] = &opened.first_events[..] else {
            panic!("{:?}", opened.first_events);
        };
        assert!(reason.contains("damaged at byte") && reason.contains("vanelane set-aside-records"));
        assert_eq!(fs::read(folder.join(FILE_NAME)).expect("read"), damaged_bytes);
    }
    // After the operator's quarantine a new disk is formatted. Each start reports the quarantined file.
    let kept_path = record_file::quarantine_damaged(&folder).expect("renamed").expect("damaged");
    assert_eq!(fs::read(kept_path).expect("read"), damaged_bytes);
    let opened = open(&folder, FLEET).expect("formatted");
    assert!(matches!(opened.first_events[..], [Event::DiskQuarantined]));
    let (file, registers) = opened.disk.expect("a disk");
    assert!(file.is_trusted() && file.disk() != disk && registers.chosen().generation == 0);
    drop((file, opened.folder));
    let opened = open(&folder, FLEET).expect("sound");
    assert!(matches!(opened.first_events[..], [Event::DiskQuarantined, Event::DiskUnsynced]));
    let _ = fs::remove_dir_all(&folder);
}

/// After the last sync two records are appended; a crash loses the first and keeps the second.
#[test]
fn disk_keeps_its_id_and_records_despite_a_hole_in_the_unsynced_tail() {
    let (folder, disk) = bootstrapped_folder("hole");
    let (mut file, registers) = open_again(&folder);
    let before = file.length() as usize;
    file.append(&registers.live_records()).expect("append");
    let after = file.length() as usize;
    file.append(&registers.live_records()).expect("append");
    drop(file);
    let path = folder.join(FILE_NAME);
    let mut file_bytes = fs::read(&path).expect("read");
    file_bytes[before..after].fill(0);
    fs::write(&path, &file_bytes).expect("a hole");
    let (file, registers) = open_again(&folder);
    assert_eq!((file.disk(), registers.chosen().generation), (disk, 1));
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn data_folder_of_another_fleet_is_refused() {
    let (folder, _) = bootstrapped_folder("foreign");
    let reason = open(&folder, FLEET + 1).err().expect("refused");
    assert!(reason.contains("belongs to another fleet"), "{reason}");
    let _ = fs::remove_dir_all(&folder);
}
