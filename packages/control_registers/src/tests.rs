use super::*;
use clock_events::Micros;
use colleague_messages::{Bytes, WriteEntry, WriteOutcome};
use std::collections::BTreeMap;

/// Disks that answer at once; a disk out of the map is down.
type Disks = BTreeMap<u64, DiskRegisters>;

fn founded_disks() -> (Disks, VoterSet) {
    let set = VoterSet::founding(&[1, 2, 3]);
    let mut disks = Disks::new();
    for disk in [1, 2, 3] {
        disks.entry(disk).or_default().found(&set).expect("a blank disk takes the first set");
    }
    (disks, set)
}

fn settle(owner: &mut KeyOwner, disks: &mut Disks, now: Micros) -> Vec<WriteOutcome> {
    let mut outcomes = Vec::new();
    loop {
        let acts = owner.flush(now);
        if acts.is_empty() {
            return outcomes;
        }
        for act in acts {
            match act {
                OwnerAct::Promise { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    let (answers, _) = registers.promise(fleet_set, &entries);
                    owner.promised(disk, colleague_messages::List(answers), now);
                }
                OwnerAct::Store { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    let (answers, _) = registers.store(fleet_set, &entries);
                    owner.stored(disk, colleague_messages::List(answers), now);
                }
                OwnerAct::Answer { outcome, .. } => outcomes.push(outcome),
            }
        }
    }
}

fn entry(ask: u64, expected: u64, value: &str) -> WriteEntry {
    WriteEntry {
        ask,
        key: CONFIGURATION_KEY.into(),
        expected,
        value: Bytes(value.as_bytes().to_vec()),
        hasty: 1,
    }
}

fn outcome_of(outcomes: Vec<WriteOutcome>) -> (u8, u64, String) {
    let [outcome] = &outcomes[..] else { panic!("one outcome, not {outcomes:?}") };
    (outcome.outcome, outcome.version, String::from_utf8_lossy(&outcome.value.0).into_owned())
}

#[test]
fn one_writer_wins_and_a_deposed_owner_fails_by_itself() {
    let (mut disks, set) = founded_disks();
    let mut first_owner = KeyOwner::new(10);
    let mut second_owner = KeyOwner::new(11);
    first_owner.take_set(&set);
    second_owner.take_set(&set);
    first_owner.write(5, entry(1, 0, "a"), Micros(0));
    assert_eq!(outcome_of(settle(&mut first_owner, &mut disks, Micros(0))).0, WRITTEN);
    first_owner.write(5, entry(2, 0, "late"), Micros(0));
    let refused = outcome_of(settle(&mut first_owner, &mut disks, Micros(0)));
    assert_eq!(refused, (DIFFERS, 1, "a".to_owned()));
    // The other owner takes over with one disk down and sees what was acknowledged.
    disks.remove(&1);
    second_owner.read_confirmed(6, 3, CONFIGURATION_KEY.into(), Micros(0));
    assert_eq!(outcome_of(settle(&mut second_owner, &mut disks, Micros(0))), (WRITTEN, 1, "a".to_owned()));
    second_owner.write(6, entry(4, 1, "b"), Micros(0));
    assert_eq!(outcome_of(settle(&mut second_owner, &mut disks, Micros(0))).0, WRITTEN);
    first_owner.write(5, entry(5, 1, "c"), Micros(0));
    assert_eq!(outcome_of(settle(&mut first_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

#[test]
fn a_deposed_owner_confirms_no_read_even_of_a_key_it_saw_empty() {
    let (mut disks, set) = founded_disks();
    let mut old_owner = KeyOwner::new(10);
    let mut new_owner = KeyOwner::new(11);
    old_owner.take_set(&set);
    new_owner.take_set(&set);
    old_owner.read_confirmed(5, 1, CONFIGURATION_KEY.into(), Micros(0));
    let empty_read = outcome_of(settle(&mut old_owner, &mut disks, Micros(0)));
    assert_eq!((empty_read.0, empty_read.1), (WRITTEN, 0));
    new_owner.write(6, entry(2, 0, "a"), Micros(0));
    assert_eq!(outcome_of(settle(&mut new_owner, &mut disks, Micros(0))).0, WRITTEN);
    old_owner.read_confirmed(5, 3, CONFIGURATION_KEY.into(), Micros(0));
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

#[test]
fn an_owner_that_slept_learns_from_an_asker_that_has_seen_more() {
    let (mut disks, set) = founded_disks();
    let mut sleeper = KeyOwner::new(10);
    let mut other = KeyOwner::new(11);
    sleeper.take_set(&set);
    other.take_set(&set);
    sleeper.write(5, entry(1, 0, "a"), Micros(0));
    settle(&mut sleeper, &mut disks, Micros(0));
    other.write(5, entry(2, 1, "b"), Micros(0));
    settle(&mut other, &mut disks, Micros(0));
    sleeper.write(5, entry(3, 2, "c"), Micros(0));
    let outcome = outcome_of(settle(&mut sleeper, &mut disks, Micros(0)));
    assert_eq!((outcome.0, outcome.1), (WRITTEN, 3));
    // A version that nobody wrote is no reason to go on acquiring for ever.
    sleeper.write(5, entry(4, 9, "d"), Micros(0));
    let outcome = outcome_of(settle(&mut sleeper, &mut disks, Micros(0)));
    assert_eq!((outcome.0, outcome.1), (DIFFERS, 3));
}

#[test]
fn late_answers_to_one_read_never_confirm_the_next() {
    let (mut disks, set) = founded_disks();
    let mut old_owner = KeyOwner::new(10);
    old_owner.take_set(&set);
    old_owner.read_confirmed(5, 1, CONFIGURATION_KEY.into(), Micros(0));
    settle(&mut old_owner, &mut disks, Micros(0));
    // The first read's stores are answered once more, late, after another owner took over.
    old_owner.read_confirmed(5, 2, CONFIGURATION_KEY.into(), Micros(0));
    let mut late_answers = Vec::new();
    for act in old_owner.flush(Micros(0)) {
        let OwnerAct::Store { disk, fleet_set, entries } = act else { continue };
        let registers = disks.get_mut(&disk).expect("a disk");
        late_answers.push((disk, registers.store(fleet_set, &entries).0));
    }
    for (disk, answers) in late_answers.clone() {
        old_owner.stored(disk, colleague_messages::List(answers), Micros(0));
    }
    old_owner.flush(Micros(0));
    let mut new_owner = KeyOwner::new(11);
    new_owner.take_set(&set);
    new_owner.write(6, entry(3, 0, "a"), Micros(0));
    assert_eq!(outcome_of(settle(&mut new_owner, &mut disks, Micros(0))).0, WRITTEN);
    old_owner.read_confirmed(5, 4, CONFIGURATION_KEY.into(), Micros(0));
    for (disk, answers) in late_answers {
        old_owner.stored(disk, colleague_messages::List(answers), Micros(0));
    }
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

#[test]
fn without_a_majority_nothing_is_acknowledged() {
    let (mut disks, set) = founded_disks();
    disks.remove(&1);
    disks.remove(&2);
    let mut owner = KeyOwner::new(10);
    owner.take_set(&set);
    owner.write(5, entry(1, 0, "a"), Micros(0));
    assert!(settle(&mut owner, &mut disks, Micros(0)).is_empty());
    let refused = outcome_of(settle(&mut owner, &mut disks, Micros::from_secs(3)));
    assert_eq!(refused.0, NOT_OWNER);
}

#[test]
fn a_restored_disk_keeps_promises_and_values_through_a_rewrite() {
    let (mut disks, set) = founded_disks();
    let mut owner = KeyOwner::new(10);
    owner.take_set(&set);
    owner.write(5, entry(1, 0, "a"), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let restored = DiskRegisters::restore(&disks[&2].live_records()).expect("own records");
    assert_eq!(restored.set(), &set);
    assert_eq!(restored.stored(CONFIGURATION_KEY), disks[&2].stored(CONFIGURATION_KEY));
    let low_epoch = colleague_messages::Epoch { counter: 0, owner: 99 };
    let low_entry = colleague_messages::PromiseEntry { key: CONFIGURATION_KEY.into(), epoch: low_epoch };
    let mut restored = restored;
    let (answers, _) = restored.promise(set.mark(), &colleague_messages::List(vec![low_entry]));
    assert_eq!(answers[0].granted, 0);
}

#[test]
fn no_bytes_make_the_register_decoders_panic() {
    arbtest::arbtest(|source| {
        let foreign_bytes: Vec<u8> = source.arbitrary()?;
        VoterSet::decode(&Bytes(foreign_bytes.clone()));
        DiskRegisters::restore(&[foreign_bytes]);
        Ok(())
    })
    .seed(0x5eed_0005_0000_0040);
}

#[test]
fn a_lost_disk_is_replaced_and_an_outdated_set_is_refused() {
    let (mut disks, set) = founded_disks();
    let mut old_owner = KeyOwner::new(10);
    old_owner.take_set(&set);
    old_owner.write(5, entry(1, 0, "a"), Micros(0));
    settle(&mut old_owner, &mut disks, Micros(0));
    disks.remove(&3);
    disks.insert(9, DiskRegisters::default());
    let joint_set = set.begin_change(3, 9).expect("no change under way");
    let mut changer = KeyOwner::new(11);
    changer.take_set(&set);
    let write = |ask, expected, value| WriteEntry { ask, key: DISKS_KEY.into(), expected, value, hasty: 1 };
    changer.write(7, write(1, 1, joint_set.encode()), Micros(0));
    assert_eq!(outcome_of(settle(&mut changer, &mut disks, Micros(0))).0, WRITTEN);
    // Under the joint set every key is stored anew, the fresh disk included.
    changer.take_set(&joint_set);
    changer.read_confirmed(7, 2, CONFIGURATION_KEY.into(), Micros(0));
    assert_eq!(outcome_of(settle(&mut changer, &mut disks, Micros(0))).2, "a");
    let final_set = joint_set.end_change().expect("a change is under way");
    changer.write(7, write(3, 2, final_set.encode()), Micros(0));
    assert_eq!(outcome_of(settle(&mut changer, &mut disks, Micros(0))).0, WRITTEN);
    assert_eq!(disks[&9].set(), &final_set);
    // The old owner, still under the founding set, can no longer reach a majority.
    old_owner.write(5, entry(9, 1, "stale"), Micros(0));
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

fn leader_write(ask: u64, expected: u64, holder: u64, renew_count: u64) -> WriteEntry {
    let record = colleague_messages::LeaderRecord {
        holder,
        renew_count,
        lease_micros: 3_000_000,
        steward_epoch: holder,
    };
    WriteEntry { ask, key: "steward/a".into(), expected, value: record.encode(), hasty: 1 }
}

#[test]
fn a_poll_is_answered_with_what_changed_since_the_askers_last_one() {
    let (mut disks, set) = founded_disks();
    let mut owner = KeyOwner::new(10);
    owner.take_set(&set);
    let keys: Vec<colleague_messages::Text> = vec!["steward/a".into(), "steward/b".into()];
    let mark = keys_mark(&keys);
    assert_eq!(owner.poll(mark, 0, &[], Micros(0)), None, "keys that were never told");
    assert_eq!(owner.poll(mark + 1, 0, &keys, Micros(0)), None, "a mark of other keys");
    let acquiring = owner.poll(mark, 0, &keys, Micros(0)).expect("told keys");
    assert!(acquiring.records.is_empty(), "nothing is said of a key before it is owned");
    settle(&mut owner, &mut disks, Micros(0));
    let first = owner.poll(mark, acquiring.change, &[], Micros(0)).expect("known keys");
    assert_eq!(first.records.iter().map(|record| record.version).collect::<Vec<_>>(), [0, 0]);
    let unchanged = owner.poll(mark, first.change, &[], Micros(0)).expect("known keys");
    assert!(unchanged.records.is_empty() && unchanged.renewed.is_empty());
    owner.write(5, leader_write(1, 0, 7, 1), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let claimed = owner.poll(mark, first.change, &[], Micros(0)).expect("known keys");
    assert_eq!(claimed.records.len(), 1, "a claim is told whole");
    owner.write(5, leader_write(2, 1, 7, 2), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let renewed = owner.poll(mark, claimed.change, &[], Micros(0)).expect("known keys");
    assert!(renewed.records.is_empty());
    assert_eq!(renewed.renewed, [colleague_messages::RenewedRecord { place: 0, version: 2 }]);
    // Who missed the claim's answer gets the record whole, renewals or not.
    let late = owner.poll(mark, first.change, &[], Micros(0)).expect("known keys");
    assert_eq!(late.records.iter().map(|record| record.version).collect::<Vec<_>>(), [2]);
    owner.write(5, leader_write(3, 2, 8, 3), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let taken = owner.poll(mark, renewed.change, &[], Micros(0)).expect("known keys");
    assert_eq!(taken.records.len(), 1, "another holder is no renewal");
    // A key that was let go and is acquired anew is told whole again.
    owner.keep_only(|key| key != "steward/a");
    owner.poll(mark, taken.change, &[], Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let again = owner.poll(mark, taken.change, &[], Micros(0)).expect("known keys");
    assert_eq!(again.records.iter().map(|record| record.version).collect::<Vec<_>>(), [3]);
}

#[test]
fn what_an_opening_store_has_not_brought_to_a_majority_is_not_told() {
    let (mut disks, set) = founded_disks();
    let mut first_owner = KeyOwner::new(10);
    first_owner.take_set(&set);
    first_owner.write(5, leader_write(1, 0, 7, 1), Micros(0));
    settle(&mut first_owner, &mut disks, Micros(0));
    let mut next_owner = KeyOwner::new(11);
    next_owner.take_set(&set);
    let keys: Vec<colleague_messages::Text> = vec!["steward/a".into()];
    let mark = keys_mark(&keys);
    next_owner.poll(mark, 0, &keys, Micros(0));
    for act in next_owner.flush(Micros(0)) {
        if let OwnerAct::Promise { disk, fleet_set, entries } = act {
            let answers = disks.get_mut(&disk).expect("all are up").promise(fleet_set, &entries).0;
            next_owner.promised(disk, colleague_messages::List(answers), Micros(0));
        }
    }
    let opening = next_owner.poll(mark, 0, &[], Micros(0)).expect("known keys");
    assert!(opening.records.is_empty());
    settle(&mut next_owner, &mut disks, Micros::from_secs(1));
    let opened = next_owner.poll(mark, opening.change, &[], Micros::from_secs(1)).expect("known keys");
    assert_eq!(opened.records.len(), 1);
}

#[test]
fn two_voters_are_replaced_in_one_change() {
    let set = VoterSet::founding(&[1, 2, 3, 4, 5]);
    let joint_set = set.begin_changes(&[(5, 8), (2, 9)]).expect("no change under way");
    assert_eq!(joint_set.joining.0, [1, 9, 3, 4, 8]);
    // A majority of both: what stays is one of the set before and one of the set after.
    assert!(joint_set.quorum(&[1, 3, 4].into()));
    assert!(!joint_set.quorum(&[1, 8, 9].into()));
    assert_eq!(set.begin_changes(&[]), None);
    assert_eq!(set.begin_changes(&[(5, 4)]), None);
    assert_eq!(set.begin_changes(&[(6, 8)]), None);
    assert_eq!(set.begin_changes(&[(5, 8), (4, 8)]), None);
    assert_eq!(joint_set.begin_changes(&[(1, 7)]), None);
}

/// An owner stored a joint set on its own disk alone and went; another one was taken by the others.
/// Under the first nothing can be stored any more, and its disk takes the second.
#[test]
fn of_two_joint_sets_of_one_generation_one_stands() {
    let (mut disks, set) = founded_disks();
    disks.insert(8, DiskRegisters::default());
    disks.insert(9, DiskRegisters::default());
    let write = |ask, expected, value| WriteEntry { ask, key: DISKS_KEY.into(), expected, value, hasty: 1 };
    let lone_set = set.begin_change(3, 8).expect("no change under way");
    let mut lone_owner = KeyOwner::new(10);
    lone_owner.take_set(&set);
    lone_owner.write(7, write(1, 1, lone_set.encode()), Micros(0));
    // All promise; the store reaches the first disk alone.
    let mut is_stored = false;
    while !is_stored {
        for act in lone_owner.flush(Micros(0)) {
            match act {
                OwnerAct::Promise { disk, fleet_set, entries } => {
                    let (answers, _) = disks.get_mut(&disk).expect("a disk").promise(fleet_set, &entries);
                    lone_owner.promised(disk, colleague_messages::List(answers), Micros(0));
                }
                OwnerAct::Store { disk, fleet_set, entries } => {
                    let is_opening = entries.0[0].version == 1;
                    if is_opening || disk == 1 {
                        let (answers, _) = disks.get_mut(&disk).expect("a disk").store(fleet_set, &entries);
                        lone_owner.stored(disk, colleague_messages::List(answers), Micros(0));
                    }
                    is_stored |= !is_opening;
                }
                OwnerAct::Answer { .. } => panic!("one disk is no majority"),
            }
        }
    }
    assert_eq!(disks[&1].set(), &lone_set);
    let first_disk = disks.remove(&1).expect("a disk");
    let standing_set = set.begin_change(1, 9).expect("no change under way");
    let mut owner = KeyOwner::new(11);
    owner.take_set(&set);
    owner.write(7, write(2, 1, standing_set.encode()), Micros(0));
    assert_eq!(outcome_of(settle(&mut owner, &mut disks, Micros(0))).0, WRITTEN);
    disks.insert(1, first_disk);
    // Under the set that does not stand no key is stored, and reading the set's key tells the other.
    let mut late_owner = KeyOwner::new(12);
    late_owner.take_set(&lone_set);
    late_owner.write(5, entry(3, 0, "a"), Micros(0));
    assert!(settle(&mut late_owner, &mut disks, Micros(0)).is_empty());
    late_owner.read_confirmed(5, 4, DISKS_KEY.into(), Micros(0));
    let outcomes = settle(&mut late_owner, &mut disks, Micros(0));
    assert_eq!(VoterSet::decode(&outcomes[0].value), Some(standing_set.clone()));
    assert_eq!(disks[&1].set(), &standing_set);
    late_owner.take_set(&standing_set);
    late_owner.write(5, entry(5, 0, "a"), Micros::from_secs(3));
    assert!(
        settle(&mut late_owner, &mut disks, Micros::from_secs(3)).iter().any(|told| told.outcome == WRITTEN)
    );
}

fn large_entry(ask: u64, expected: u64, byte: u8) -> WriteEntry {
    WriteEntry { value: Bytes(vec![byte; 100_000]), ..entry(ask, expected, "") }
}

/// As `settle`, with the bytes of values that went to disks and the records that these wrote.
fn settle_counted(owner: &mut KeyOwner, disks: &mut Disks) -> (Vec<WriteOutcome>, usize, usize) {
    let (mut outcomes, mut value_bytes, mut record_count) = (Vec::new(), 0, 0);
    loop {
        let acts = owner.flush(Micros(0));
        if acts.is_empty() {
            return (outcomes, value_bytes, record_count);
        }
        for act in acts {
            match act {
                OwnerAct::Promise { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    let (answers, _) = registers.promise(fleet_set, &entries);
                    owner.promised(disk, colleague_messages::List(answers), Micros(0));
                }
                OwnerAct::Store { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    value_bytes += entries.0.iter().map(|entry| entry.value.0.len()).sum::<usize>();
                    let (answers, records) = registers.store(fleet_set, &entries);
                    record_count += records.len();
                    owner.stored(disk, colleague_messages::List(answers), Micros(0));
                }
                OwnerAct::Answer { outcome, .. } => outcomes.push(outcome),
            }
        }
    }
}

#[test]
fn a_read_of_a_large_value_sends_it_neither_to_disks_nor_to_a_reader_that_has_it() {
    let (mut disks, set) = founded_disks();
    let mut owner = KeyOwner::new(10);
    owner.take_set(&set);
    owner.write(5, large_entry(1, 0, 7), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let digest = colleague_messages::value_digest(&[7; 100_000]);
    owner.confirm(6, 2, CONFIGURATION_KEY.into(), digest, Micros(0));
    let (outcomes, value_bytes, record_count) = settle_counted(&mut owner, &mut disks);
    assert_eq!(outcome_of(outcomes), (AS_KNOWN, 1, String::new()));
    assert_eq!((value_bytes, record_count), (0, 0));
    // A reader that has another value is sent what stands.
    owner.confirm(6, 3, CONFIGURATION_KEY.into(), digest + 1, Micros(0));
    let (outcomes, value_bytes, _) = settle_counted(&mut owner, &mut disks);
    assert_eq!((outcomes[0].outcome, outcomes[0].value.0.len(), value_bytes), (WRITTEN, 100_000, 0));
}

#[test]
fn a_new_owner_stores_a_large_value_anew_from_the_disks_own_copies() {
    let (mut disks, set) = founded_disks();
    let mut first_owner = KeyOwner::new(10);
    first_owner.take_set(&set);
    // The third disk misses the write.
    let away = disks.remove(&3).expect("a disk");
    first_owner.write(5, large_entry(1, 0, 7), Micros(0));
    settle(&mut first_owner, &mut disks, Micros(0));
    disks.insert(3, away);
    let mut next_owner = KeyOwner::new(11);
    next_owner.take_set(&set);
    next_owner.read_confirmed(6, 2, CONFIGURATION_KEY.into(), Micros(0));
    let (outcomes, value_bytes, _) = settle_counted(&mut next_owner, &mut disks);
    assert_eq!((outcomes[0].outcome, outcomes[0].version), (WRITTEN, 1));
    assert!(value_bytes <= 2 * 100_000, "only the disk that lacks the value is sent it: {value_bytes}");
    for (disk, registers) in &disks {
        let (epoch, version, value) = registers.stored(CONFIGURATION_KEY).expect("a value");
        assert_eq!((epoch.owner, version, value.0.len()), (11, 1, 100_000), "disk {disk}");
    }
    // What a disk wrote for a digest is whole: it comes back from its records.
    let restored = DiskRegisters::restore(&disks[&1].live_records()).expect("records");
    assert_eq!(restored.stored(CONFIGURATION_KEY).expect("a value").2.0, vec![7; 100_000]);
}

#[test]
fn a_deposed_owner_confirms_nothing_by_digest() {
    let (mut disks, set) = founded_disks();
    let mut old_owner = KeyOwner::new(10);
    let mut new_owner = KeyOwner::new(11);
    old_owner.take_set(&set);
    new_owner.take_set(&set);
    old_owner.write(5, large_entry(1, 0, 7), Micros(0));
    settle(&mut old_owner, &mut disks, Micros(0));
    new_owner.write(5, large_entry(2, 1, 8), Micros(0));
    settle(&mut new_owner, &mut disks, Micros(0));
    let old_digest = colleague_messages::value_digest(&[7; 100_000]);
    old_owner.confirm(6, 3, CONFIGURATION_KEY.into(), old_digest, Micros(0));
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}
