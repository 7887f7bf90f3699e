use super::*;
use control_registers::ChosenSet;
use peer_messages::{Bytes, Epoch, List, StoreEntry};
use std::collections::BTreeSet;

const KEY: &str = "configuration";

/// A disk that was synced at version 1; versions 2 to 4 were then written and not synced, version 3 as a rewrite.
fn written_disk() -> SimDisk {
    let mut disk = SimDisk::blank(7);
    let (mut registers, is_unsynced) = disk.open();
    assert!(!is_unsynced);
    let set = ChosenSet::bootstrap(&[7]);
    let mut token = 1;
    disk.write(token, registers.bootstrap(&set).expect("a blank disk can be bootstrapped"), false);
    for version in 1..=4_u64 {
        let entry = StoreEntry {
            digest: 0,
            key: KEY.into(),
            epoch: Epoch { counter: 1, owner: 1 },
            attempt: version,
            version,
            value: Bytes::default(),
        };
        let (_, records) = registers.store(set.digest(), &List(vec![entry]));
        token += 1;
        match version {
            3 => disk.write(token, registers.live_records(), true),
            _ => disk.write(token, records, false),
        }
        if version == 1 {
            assert!(disk.sync(token));
        }
    }
    disk
}

fn version(registers: &DiskRegisters) -> u64 {
    registers.stored(KEY).expect("a value is stored under the key").1
}

#[test]
fn process_end_keeps_unsynced_records_until_power_loss() {
    let mut disk = written_disk();
    disk.end_process();
    let (registers, is_unsynced) = disk.open();
    assert_eq!((version(&registers), is_unsynced), (4, true));
    // The records are still unsynced: a power loss after the next process ends may keep any prefix of them.
    let found: BTreeSet<u64> = (0..64)
        .map(|seed| {
            let mut disk = disk.clone();
            disk.end_process();
            disk.lose_power(&mut Rng::with_seed(seed));
            version(&disk.open().0)
        })
        .collect();
    assert_eq!(found, BTreeSet::from([1, 2, 3, 4]));
    // A synced rewrite by the next process makes all of them durable.
    disk.write(1, registers.live_records(), true);
    assert!(disk.sync(1));
    disk.lose_power(&mut Rng::with_seed(1));
    assert_eq!(version(&disk.open().0), 4);
}

#[test]
fn power_loss_keeps_a_prefix_of_unsynced_writes() {
    let found = |seed| {
        let mut disk = written_disk();
        disk.lose_power(&mut Rng::with_seed(seed));
        version(&disk.open().0)
    };
    let all: BTreeSet<u64> = (0..64).map(found).collect();
    assert_eq!(all, BTreeSet::from([1, 2, 3, 4]));
    assert!((0..64).all(|seed| found(seed) == found(seed)));
}

#[test]
fn writes_to_a_full_disk_are_not_kept() {
    let mut disk = written_disk();
    disk.is_full = true;
    assert!(!disk.sync(5));
    disk.end_process();
    assert_eq!(version(&disk.open().0), 1);
}
