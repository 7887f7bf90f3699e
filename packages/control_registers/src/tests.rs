use super::*;
use monotonic_clock::Micros;
use peer_messages::{Bytes, WriteEntry, WriteOutcome};
use std::collections::BTreeMap;

/// arbtest runs a single case per seed: each case has its own fixed seed, so that all runs are the same.
const FOREIGN_CASES: u64 = 2_000;

/// Disks that respond at once; a disk that is not in the map is down.
type Disks = BTreeMap<u64, DiskRegisters>;

fn bootstrapped_disks() -> (Disks, ChosenSet) {
    let set = ChosenSet::bootstrap(&[1, 2, 3]);
    let mut disks = Disks::new();
    for disk in [1, 2, 3] {
        disks.entry(disk).or_default().bootstrap(&set).expect("a blank disk accepts the first set");
    }
    (disks, set)
}

/// Carries messages between an owner and the disks until there is nothing to send; returns the write
/// outcomes.
fn settle(owner: &mut KeyOwner, disks: &mut Disks, now: Micros) -> Vec<WriteOutcome> {
    let mut outcomes = Vec::new();
    loop {
        let actions = owner.flush(now);
        if actions.is_empty() {
            return outcomes;
        }
        for action in actions {
            match action {
                OwnerAction::Promise { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    let (responses, _) = registers.promise(fleet_set, &entries);
                    owner.promised(disk, peer_messages::List(responses), now);
                }
                OwnerAction::Store { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    let (responses, _) = registers.store(fleet_set, &entries);
                    owner.stored(disk, peer_messages::List(responses), now);
                }
                OwnerAction::Chosen(chosen_set) => {
                    for registers in disks.values_mut() {
                        registers.learn_chosen(&chosen_set);
                    }
                }
                OwnerAction::Response { outcome, .. } => outcomes.push(outcome),
            }
        }
    }
}

fn set_entry(request_id: u64, next_set: &VoterSet) -> WriteEntry {
    let expected = next_set.generation - 1;
    WriteEntry { request_id, key: DISKS_KEY.into(), expected, value: next_set.encode(), urgent: 1 }
}

/// The newest chosen set that a disk has learned.
fn chosen_at(disks: &Disks, disk: u64) -> ChosenSet {
    disks[&disk].chosen().clone()
}

fn entry(request_id: u64, expected: u64, value: &str) -> WriteEntry {
    WriteEntry {
        request_id,
        key: CONFIGURATION_KEY.into(),
        expected,
        value: Bytes(value.as_bytes().to_vec()),
        urgent: 1,
    }
}

fn outcome_of(outcomes: Vec<WriteOutcome>) -> (u8, u64, String) {
    let [outcome] = &outcomes[..] else { panic!("one outcome, not {outcomes:?}") };
    (outcome.outcome, outcome.version, String::from_utf8_lossy(&outcome.value.0).into_owned())
}

#[test]
fn a_conditional_write_wins_once_and_a_deposed_owner_acknowledges_nothing() {
    let (mut disks, set) = bootstrapped_disks();
    let mut first_owner = KeyOwner::new(10);
    let mut second_owner = KeyOwner::new(11);
    first_owner.adopt_set(&set);
    second_owner.adopt_set(&set);
    first_owner.write(5, entry(1, 0, "a"), Micros(0));
    assert_eq!(outcome_of(settle(&mut first_owner, &mut disks, Micros(0))).0, WRITTEN);
    first_owner.write(5, entry(2, 0, "late"), Micros(0));
    let refused = outcome_of(settle(&mut first_owner, &mut disks, Micros(0)));
    assert_eq!(refused, (DIFFERS, 1, "a".to_owned()));
    // The other owner takes over with one disk down and reads the acknowledged value.
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
    let (mut disks, set) = bootstrapped_disks();
    let mut old_owner = KeyOwner::new(10);
    let mut new_owner = KeyOwner::new(11);
    old_owner.adopt_set(&set);
    new_owner.adopt_set(&set);
    old_owner.read_confirmed(5, 1, CONFIGURATION_KEY.into(), Micros(0));
    let empty_read = outcome_of(settle(&mut old_owner, &mut disks, Micros(0)));
    assert_eq!((empty_read.0, empty_read.1), (WRITTEN, 0));
    new_owner.write(6, entry(2, 0, "a"), Micros(0));
    assert_eq!(outcome_of(settle(&mut new_owner, &mut disks, Micros(0))).0, WRITTEN);
    old_owner.read_confirmed(5, 3, CONFIGURATION_KEY.into(), Micros(0));
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

#[test]
fn a_suspended_owner_reacquires_a_key_when_a_requester_has_seen_a_newer_version() {
    let (mut disks, set) = bootstrapped_disks();
    let mut paused_owner = KeyOwner::new(10);
    let mut other_owner = KeyOwner::new(11);
    paused_owner.adopt_set(&set);
    other_owner.adopt_set(&set);
    paused_owner.write(5, entry(1, 0, "a"), Micros(0));
    settle(&mut paused_owner, &mut disks, Micros(0));
    other_owner.write(5, entry(2, 1, "b"), Micros(0));
    settle(&mut other_owner, &mut disks, Micros(0));
    paused_owner.write(5, entry(3, 2, "c"), Micros(0));
    let outcome = outcome_of(settle(&mut paused_owner, &mut disks, Micros(0)));
    assert_eq!((outcome.0, outcome.1), (WRITTEN, 3));
    // An expected version that was never written does not make the owner reacquire the key for ever.
    paused_owner.write(5, entry(4, 9, "d"), Micros(0));
    let outcome = outcome_of(settle(&mut paused_owner, &mut disks, Micros(0)));
    assert_eq!((outcome.0, outcome.1), (DIFFERS, 3));
}

#[test]
fn late_responses_to_one_read_do_not_confirm_the_next() {
    let (mut disks, set) = bootstrapped_disks();
    let mut old_owner = KeyOwner::new(10);
    old_owner.adopt_set(&set);
    old_owner.read_confirmed(5, 1, CONFIGURATION_KEY.into(), Micros(0));
    settle(&mut old_owner, &mut disks, Micros(0));
    // The responses to the first read's stores arrive again, late, after another owner took over.
    old_owner.read_confirmed(5, 2, CONFIGURATION_KEY.into(), Micros(0));
    let mut late_responses = Vec::new();
    for action in old_owner.flush(Micros(0)) {
        let OwnerAction::Store { disk, fleet_set, entries } = action else { continue };
        let registers = disks.get_mut(&disk).expect("a disk");
        late_responses.push((disk, registers.store(fleet_set, &entries).0));
    }
    for (disk, responses) in late_responses.clone() {
        old_owner.stored(disk, peer_messages::List(responses), Micros(0));
    }
    old_owner.flush(Micros(0));
    let mut new_owner = KeyOwner::new(11);
    new_owner.adopt_set(&set);
    new_owner.write(6, entry(3, 0, "a"), Micros(0));
    assert_eq!(outcome_of(settle(&mut new_owner, &mut disks, Micros(0))).0, WRITTEN);
    old_owner.read_confirmed(5, 4, CONFIGURATION_KEY.into(), Micros(0));
    for (disk, responses) in late_responses {
        old_owner.stored(disk, peer_messages::List(responses), Micros(0));
    }
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

#[test]
fn without_a_majority_nothing_is_acknowledged() {
    let (mut disks, set) = bootstrapped_disks();
    disks.remove(&1);
    disks.remove(&2);
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.write(5, entry(1, 0, "a"), Micros(0));
    assert!(settle(&mut owner, &mut disks, Micros(0)).is_empty());
    let refused = outcome_of(settle(&mut owner, &mut disks, Micros::from_secs(3)));
    assert_eq!(refused.0, NOT_OWNER);
}

#[test]
fn a_restored_disk_keeps_promises_and_values_through_a_rewrite() {
    let (mut disks, set) = bootstrapped_disks();
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.write(5, entry(1, 0, "a"), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let restored = DiskRegisters::restore(&disks[&2].live_records()).expect("own records");
    assert_eq!(restored.chosen(), &set);
    assert_eq!(restored.stored(CONFIGURATION_KEY), disks[&2].stored(CONFIGURATION_KEY));
    let low_epoch = peer_messages::Epoch { counter: 0, owner: 99 };
    let low_entry = peer_messages::PromiseEntry { key: CONFIGURATION_KEY.into(), epoch: low_epoch };
    let mut restored = restored;
    let (responses, _) = restored.promise(set.digest(), &peer_messages::List(vec![low_entry]));
    assert_eq!(responses[0].granted, 0);
}

#[test]
fn no_bytes_make_the_register_decoders_panic() {
    for number in 0..FOREIGN_CASES {
        arbtest::arbtest(|source| {
            let foreign_bytes: Vec<u8> = source.arbitrary()?;
            VoterSet::decode(&Bytes(foreign_bytes.clone()));
            DiskRegisters::restore(&[foreign_bytes]);
            Ok(())
        })
        .seed((0x5eed_0005 + number) << 32 | 0x40);
    }
}

#[test]
fn a_lost_disk_is_replaced_and_an_outdated_set_is_refused() {
    let (mut disks, set) = bootstrapped_disks();
    let mut old_owner = KeyOwner::new(10);
    old_owner.adopt_set(&set);
    old_owner.write(5, entry(1, 0, "a"), Micros(0));
    settle(&mut old_owner, &mut disks, Micros(0));
    disks.remove(&3);
    disks.insert(9, DiskRegisters::default());
    let joint_set = set.begin_change(3, 9).expect("no change under way");
    let mut changer = KeyOwner::new(11);
    changer.adopt_set(&set);
    changer.write(7, set_entry(1, &joint_set), Micros(0));
    assert_eq!(outcome_of(settle(&mut changer, &mut disks, Micros(0))).0, WRITTEN);
    assert_eq!(*chosen_at(&disks, 9), joint_set, "the owner publishes the chosen set");
    // Under the joint set every key is stored again, also on the added disk.
    changer.read_confirmed(7, 2, CONFIGURATION_KEY.into(), Micros(0));
    assert_eq!(outcome_of(settle(&mut changer, &mut disks, Micros(0))).2, "a");
    let final_set = joint_set.end_change().expect("a change is under way");
    changer.write(7, set_entry(3, &final_set), Micros(0));
    assert_eq!(outcome_of(settle(&mut changer, &mut disks, Micros(0))).0, WRITTEN);
    assert_eq!(*chosen_at(&disks, 9), final_set);
    // The old owner, still under the bootstrap set, can no longer reach a majority.
    old_owner.write(5, entry(9, 1, "stale"), Micros(0));
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}

fn leader_write(request_id: u64, expected: u64, holder: u64, renew_count: u64) -> WriteEntry {
    let record =
        peer_messages::LeaderRecord { holder, renew_count, lease_micros: 3_000_000, leader_epoch: holder };
    WriteEntry { request_id, key: "steward/a".into(), expected, value: record.encode(), urgent: 1 }
}

#[test]
fn a_poll_returns_what_changed_since_the_requesters_last_poll() {
    let (mut disks, set) = bootstrapped_disks();
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    let keys: Vec<peer_messages::Text> = vec!["steward/a".into(), "steward/b".into()];
    let keys_digest = keys_digest(&keys);
    assert_eq!(owner.poll(keys_digest, 0, &[], |_| true, Micros(0)), None, "keys that were never sent");
    assert_eq!(owner.poll(keys_digest + 1, 0, &keys, |_| true, Micros(0)), None, "the digest of other keys");
    let acquiring = owner.poll(keys_digest, 0, &keys, |_| true, Micros(0)).expect("sent keys");
    assert!(acquiring.records.is_empty(), "nothing is reported of a key before it is owned");
    settle(&mut owner, &mut disks, Micros(0));
    let first = owner.poll(keys_digest, acquiring.change, &[], |_| true, Micros(0)).expect("known keys");
    assert_eq!(first.records.iter().map(|record| record.version).collect::<Vec<_>>(), [0, 0]);
    let unchanged = owner.poll(keys_digest, first.change, &[], |_| true, Micros(0)).expect("known keys");
    assert!(unchanged.records.is_empty() && unchanged.renewed.is_empty());
    owner.write(5, leader_write(1, 0, 7, 1), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let claimed = owner.poll(keys_digest, first.change, &[], |_| true, Micros(0)).expect("known keys");
    assert_eq!(claimed.records.len(), 1, "a claim is sent as a whole record");
    owner.write(5, leader_write(2, 1, 7, 2), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let renewed = owner.poll(keys_digest, claimed.change, &[], |_| true, Micros(0)).expect("known keys");
    assert!(renewed.records.is_empty());
    assert_eq!(renewed.renewed, [peer_messages::RenewedRecord { index: 0, version: 2 }]);
    // A requester that missed the response with the claim gets the whole record despite the renewal.
    let late = owner.poll(keys_digest, first.change, &[], |_| true, Micros(0)).expect("known keys");
    assert_eq!(late.records.iter().map(|record| record.version).collect::<Vec<_>>(), [2]);
    owner.write(5, leader_write(3, 2, 8, 3), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let taken = owner.poll(keys_digest, renewed.change, &[], |_| true, Micros(0)).expect("known keys");
    assert_eq!(taken.records.len(), 1, "a change of the holder is not a renewal");
    // A key that was released and reacquired is sent as a whole record again.
    owner.retain_keys(|key| key != "steward/a");
    owner.poll(keys_digest, taken.change, &[], |_| true, Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let again = owner.poll(keys_digest, taken.change, &[], |_| true, Micros(0)).expect("known keys");
    assert_eq!(again.records.iter().map(|record| record.version).collect::<Vec<_>>(), [3]);
}

#[test]
fn a_value_is_not_reported_before_its_opening_store_is_on_a_majority() {
    let (mut disks, set) = bootstrapped_disks();
    let mut first_owner = KeyOwner::new(10);
    first_owner.adopt_set(&set);
    first_owner.write(5, leader_write(1, 0, 7, 1), Micros(0));
    settle(&mut first_owner, &mut disks, Micros(0));
    let mut next_owner = KeyOwner::new(11);
    next_owner.adopt_set(&set);
    let keys: Vec<peer_messages::Text> = vec!["steward/a".into()];
    let keys_digest = keys_digest(&keys);
    next_owner.poll(keys_digest, 0, &keys, |_| true, Micros(0));
    for action in next_owner.flush(Micros(0)) {
        if let OwnerAction::Promise { disk, fleet_set, entries } = action {
            let responses = disks.get_mut(&disk).expect("all are up").promise(fleet_set, &entries).0;
            next_owner.promised(disk, peer_messages::List(responses), Micros(0));
        }
    }
    let opening = next_owner.poll(keys_digest, 0, &[], |_| true, Micros(0)).expect("known keys");
    assert!(opening.records.is_empty());
    settle(&mut next_owner, &mut disks, Micros::from_secs(1));
    let opened = next_owner
        .poll(keys_digest, opening.change, &[], |_| true, Micros::from_secs(1))
        .expect("known keys");
    assert_eq!(opened.records.len(), 1);
}

#[test]
fn two_voters_are_replaced_in_one_change() {
    let set = VoterSet::bootstrap(&[1, 2, 3, 4, 5]);
    let joint_set = set.begin_changes(&[(5, 8), (2, 9)]).expect("no change under way");
    assert_eq!(joint_set.joining.0, [1, 9, 3, 4, 8]);
    // A majority of both: the disks in both sets are a majority of the previous and of the next set.
    assert!(joint_set.quorum(&[1, 3, 4].into()));
    assert!(!joint_set.quorum(&[1, 8, 9].into()));
    assert_eq!(set.begin_changes(&[]), None);
    assert_eq!(set.begin_changes(&[(5, 4)]), None);
    assert_eq!(set.begin_changes(&[(6, 8)]), None);
    assert_eq!(set.begin_changes(&[(5, 8), (4, 8)]), None);
    assert_eq!(joint_set.begin_changes(&[(1, 7)]), None);
}

/// All disks grant the owner's promises; the store of its write reaches only some disks.
fn store_on(owner: &mut KeyOwner, disks: &mut Disks, reached: &[u64]) {
    let mut is_stored = false;
    while !is_stored {
        for action in owner.flush(Micros(0)) {
            match action {
                OwnerAction::Promise { disk, fleet_set, entries } => {
                    let (responses, _) = disks.get_mut(&disk).expect("a disk").promise(fleet_set, &entries);
                    owner.promised(disk, peer_messages::List(responses), Micros(0));
                }
                OwnerAction::Store { disk, fleet_set, entries } => {
                    let is_opening = entries.0[0].version == 1;
                    if is_opening || reached.contains(&disk) {
                        let (responses, _) = disks.get_mut(&disk).expect("a disk").store(fleet_set, &entries);
                        owner.stored(disk, peer_messages::List(responses), Micros(0));
                    }
                    is_stored |= !is_opening;
                }
                OwnerAction::Chosen(_) | OwnerAction::Response { .. } => panic!("one disk is not a majority"),
            }
        }
    }
}

/// Guards against: a joint set that an owner stored on one disk only, before it stopped, counts as chosen.
/// Another owner, which does not reach that disk, writes another set of the same generation, and that one is
/// chosen.
#[test]
fn of_two_joint_sets_of_one_generation_one_is_chosen() {
    let (mut disks, set) = bootstrapped_disks();
    disks.insert(8, DiskRegisters::default());
    disks.insert(9, DiskRegisters::default());
    let unchosen_set = set.begin_change(3, 8).expect("no change under way");
    let mut stopped_owner = KeyOwner::new(10);
    stopped_owner.adopt_set(&set);
    stopped_owner.write(7, set_entry(1, &unchosen_set), Micros(0));
    store_on(&mut stopped_owner, &mut disks, &[1]);
    assert_eq!(disks[&1].chosen(), &set, "one disk is not a quorum");
    assert_eq!(disks[&1].proposed().map(|proposed| proposed.generation()), Some(2));
    let first_disk = disks.remove(&1).expect("a disk");
    let current_set = set.begin_change(1, 9).expect("no change under way");
    let mut owner = KeyOwner::new(11);
    owner.adopt_set(&set);
    owner.write(7, set_entry(2, &current_set), Micros(0));
    assert_eq!(outcome_of(settle(&mut owner, &mut disks, Micros(0))).0, WRITTEN);
    disks.insert(1, first_disk);
    assert_eq!(disks[&1].chosen(), &set, "it was unreachable");
    // An owner that still uses the bootstrap set stores nothing more, and learns the chosen set.
    let mut late_owner = KeyOwner::new(12);
    late_owner.adopt_set(&set);
    late_owner.write(5, entry(3, 0, "a"), Micros(0));
    assert!(settle(&mut late_owner, &mut disks, Micros(0)).is_empty());
    late_owner.read_confirmed(5, 4, DISKS_KEY.into(), Micros(0));
    settle(&mut late_owner, &mut disks, Micros(0));
    late_owner.read_confirmed(5, 4, DISKS_KEY.into(), Micros::from_secs(3));
    settle(&mut late_owner, &mut disks, Micros::from_secs(3));
    assert_eq!(*chosen_at(&disks, 2), current_set);
    late_owner.adopt_set(&chosen_at(&disks, 2));
    late_owner.read_confirmed(5, 5, DISKS_KEY.into(), Micros::from_secs(3));
    let reported = settle(&mut late_owner, &mut disks, Micros::from_secs(3));
    assert!(reported.iter().any(|outcome| VoterSet::decode(&outcome.value) == Some(current_set.clone())));
    let chosen_set = chosen_at(&disks, 2);
    disks.get_mut(&1).expect("a disk").learn_chosen(&chosen_set);
    assert_eq!(*chosen_at(&disks, 1), current_set, "the chosen set replaces the proposal");
    assert_eq!(disks[&1].proposed(), None);
}

/// Guards against: a second set is written in the generation of a proposal that reached one disk. The next
/// owner reads the proposal from that disk and completes it.
#[test]
fn a_proposal_found_on_a_disk_is_completed() {
    let (mut disks, set) = bootstrapped_disks();
    disks.insert(8, DiskRegisters::default());
    let begun_set = set.begin_change(3, 8).expect("no change under way");
    let mut first_owner = KeyOwner::new(10);
    first_owner.adopt_set(&set);
    first_owner.write(7, set_entry(1, &begun_set), Micros(0));
    store_on(&mut first_owner, &mut disks, &[1]);
    disks.remove(&3);
    let mut next_owner = KeyOwner::new(11);
    next_owner.adopt_set(&set);
    let other_set = set.begin_change(2, 9).expect("no change under way");
    next_owner.write(7, set_entry(2, &other_set), Micros(0));
    let refused = settle(&mut next_owner, &mut disks, Micros(0));
    assert!(refused.iter().all(|outcome| outcome.outcome != WRITTEN), "{refused:?}");
    assert_eq!(*chosen_at(&disks, 2), begun_set);
}

#[test]
fn an_owner_writes_only_the_successor_of_its_set() {
    let (mut disks, set) = bootstrapped_disks();
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    let joint_set = set.begin_change(3, 9).expect("no change under way");
    let final_set = joint_set.end_change().expect("a change is under way");
    let foreign_set = VoterSet::bootstrap(&[4, 5, 6]).begin_change(4, 9).expect("no change under way");
    for (expected, refused_set) in [(1, &final_set), (1, &foreign_set), (1, &*set)] {
        let value = refused_set.encode();
        let entry = WriteEntry { request_id: 1, key: DISKS_KEY.into(), expected, value, urgent: 1 };
        owner.write(7, entry, Micros(0));
        let outcome = settle(&mut owner, &mut disks, Micros(0));
        assert_eq!(outcome.iter().map(|reported| reported.outcome).collect::<Vec<_>>(), [DIFFERS]);
    }
    assert_eq!(chosen_at(&disks, 1), set);
}

#[test]
fn a_disk_without_a_chosen_set_promises_and_stores_nothing() {
    let (mut disks, set) = bootstrapped_disks();
    disks.insert(2, DiskRegisters::default());
    disks.insert(3, DiskRegisters::default());
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.write(5, entry(1, 0, "a"), Micros(0));
    assert!(settle(&mut owner, &mut disks, Micros(0)).is_empty());
    assert_eq!(disks[&2].keys(), Vec::<String>::new());
    disks.get_mut(&2).expect("a disk").learn_chosen(&set);
    assert_eq!(outcome_of(settle(&mut owner, &mut disks, Micros::from_secs(1))).0, WRITTEN);
}

/// Guards against: a sender two generations behind overwrites a set that already has a successor.
#[test]
fn the_voter_set_key_is_open_only_to_the_stored_generation_and_the_one_before() {
    let (mut disks, set) = bootstrapped_disks();
    disks.insert(9, DiskRegisters::default());
    let joint_set = set.begin_change(3, 9).expect("no change under way");
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.write(7, set_entry(1, &joint_set), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let chosen_joint = chosen_at(&disks, 1);
    let stale_disk = DiskRegisters::restore(&disks[&1].live_records()).expect("own records");
    let final_set = joint_set.end_change().expect("a change is under way");
    owner.write(7, set_entry(2, &final_set), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let grants = |registers: &DiskRegisters, sender: &VoterSet, key: &str| {
        let epoch = peer_messages::Epoch { counter: 99, owner: 99 };
        let entry = peer_messages::PromiseEntry { key: key.into(), epoch };
        let (responses, _) = registers.clone().promise(sender.digest(), &peer_messages::List(vec![entry]));
        responses[0].granted == 1
    };
    assert!(grants(&stale_disk, &chosen_joint, DISKS_KEY) && !grants(&stale_disk, &set, DISKS_KEY));
    assert!(grants(&stale_disk, &chosen_joint, CONFIGURATION_KEY));
    assert!(!grants(&disks[&1], &chosen_joint, CONFIGURATION_KEY));
    assert!(!grants(&disks[&1], &chosen_joint, DISKS_KEY) && grants(&disks[&1], &final_set, DISKS_KEY));
}

/// Guards against: a change ends while a key is on a majority of the previous set only. Disks list their keys
/// only once nothing more is stored on them under the previous set.
#[test]
fn a_change_ends_only_after_every_key_on_a_quorum_was_copied() {
    let (mut disks, set) = bootstrapped_disks();
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.write(5, leader_write(1, 0, 7, 1), Micros(0));
    let owner_disk = disks.remove(&1).expect("a disk");
    settle(&mut owner, &mut disks, Micros(0));
    // Disk 1 never received the key.
    disks.insert(1, owner_disk);
    disks.insert(9, DiskRegisters::default());
    let joint_set = set.begin_change(3, 9).expect("no change under way");
    assert_eq!(disks[&2].list_keys(joint_set.digest()), None, "it would still admit the previous set");
    owner.write(7, set_entry(2, &joint_set), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let chosen_joint = chosen_at(&disks, 1);
    let mut copy = SetCopy::new(chosen_joint.clone());
    assert_eq!(copy.due_lists(Micros(0)), [1, 2, 3, 9]);
    assert!(copy.due_lists(Micros(0)).is_empty(), "requested a moment ago");
    for disk in [1, 9] {
        let keys = disks[&disk].list_keys(chosen_joint.digest()).expect("it knows the joint set");
        copy.record_list(disk, chosen_joint.digest(), keys);
    }
    assert!(!copy.is_done(), "one disk is not a majority of the previous set");
    let keys = disks[&2].list_keys(chosen_joint.digest()).expect("it knows the joint set");
    copy.record_list(2, chosen_joint.digest(), keys);
    assert_eq!(copy.due_keys(256), ["steward/a"]);
    assert!(!copy.is_done() && copy.due_keys(256).is_empty());
    copy.record_read("steward/a", false);
    assert_eq!(copy.due_keys(256), ["steward/a"], "a copy that failed is due again");
    copy.record_read("steward/a", true);
    assert!(copy.is_done());
}

/// Guards against: another node confirms a key under the previous set, and the read counts as a copy.
#[test]
fn no_key_is_due_before_a_quorum_refuses_the_previous_set() {
    let joint_set = VoterSet::bootstrap(&[1, 2, 3]).begin_change(3, 9).expect("no change under way");
    let chosen_joint = ChosenSet::received(&joint_set.encode()).expect("a set");
    let mut copy = SetCopy::new(chosen_joint.clone());
    for disk in [1, 9] {
        copy.record_list(disk, chosen_joint.digest(), ["steward/a".to_owned()]);
        assert!(copy.due_keys(256).is_empty(), "disks 2 and 3 may still store under the previous set");
    }
    copy.record_list(2, chosen_joint.digest(), []);
    assert_eq!(copy.due_keys(256), ["steward/a"]);
}

#[test]
fn files_of_the_former_format_use_their_stored_set_as_chosen() {
    let (mut disks, set) = bootstrapped_disks();
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.read_confirmed(5, 1, DISKS_KEY.into(), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let records = disks[&1].live_records();
    let restored = DiskRegisters::restore(&records[1..]).expect("own records");
    assert_eq!(restored.chosen(), &set);
    assert_eq!(restored.proposed(), None);
}

fn large_entry(request_id: u64, expected: u64, byte: u8) -> WriteEntry {
    WriteEntry { value: Bytes(vec![byte; 100_000]), ..entry(request_id, expected, "") }
}

/// Like `settle`; also returns the bytes of values sent to disks and the number of records that the disks
/// wrote.
fn settle_counted(owner: &mut KeyOwner, disks: &mut Disks) -> (Vec<WriteOutcome>, usize, usize) {
    let (mut outcomes, mut value_bytes, mut record_count) = (Vec::new(), 0, 0);
    loop {
        let actions = owner.flush(Micros(0));
        if actions.is_empty() {
            return (outcomes, value_bytes, record_count);
        }
        for action in actions {
            match action {
                OwnerAction::Promise { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    let (responses, _) = registers.promise(fleet_set, &entries);
                    owner.promised(disk, peer_messages::List(responses), Micros(0));
                }
                OwnerAction::Store { disk, fleet_set, entries } => {
                    let Some(registers) = disks.get_mut(&disk) else { continue };
                    value_bytes += entries.0.iter().map(|entry| entry.value.0.len()).sum::<usize>();
                    let (responses, records) = registers.store(fleet_set, &entries);
                    record_count += records.len();
                    owner.stored(disk, peer_messages::List(responses), Micros(0));
                }
                OwnerAction::Chosen(_) => panic!("this test writes no voter set"),
                OwnerAction::Response { outcome, .. } => outcomes.push(outcome),
            }
        }
    }
}

#[test]
fn a_read_of_a_large_value_is_not_sent_to_disks_or_readers_that_have_it() {
    let (mut disks, set) = bootstrapped_disks();
    let mut owner = KeyOwner::new(10);
    owner.adopt_set(&set);
    owner.write(5, large_entry(1, 0, 7), Micros(0));
    settle(&mut owner, &mut disks, Micros(0));
    let digest = peer_messages::value_digest(&[7; 100_000]);
    owner.confirm(6, 2, CONFIGURATION_KEY.into(), digest, Micros(0));
    let (outcomes, value_bytes, record_count) = settle_counted(&mut owner, &mut disks);
    assert_eq!(outcome_of(outcomes), (AS_KNOWN, 1, String::new()));
    assert_eq!((value_bytes, record_count), (0, 0));
    // A reader that has another value is sent the current one.
    owner.confirm(6, 3, CONFIGURATION_KEY.into(), digest + 1, Micros(0));
    let (outcomes, value_bytes, _) = settle_counted(&mut owner, &mut disks);
    assert_eq!((outcomes[0].outcome, outcomes[0].value.0.len(), value_bytes), (WRITTEN, 100_000, 0));
}

#[test]
fn a_new_owner_stores_a_large_value_again_from_the_disks_own_copies() {
    let (mut disks, set) = bootstrapped_disks();
    let mut first_owner = KeyOwner::new(10);
    first_owner.adopt_set(&set);
    // The third disk misses the write.
    let unreachable_disk = disks.remove(&3).expect("a disk");
    first_owner.write(5, large_entry(1, 0, 7), Micros(0));
    settle(&mut first_owner, &mut disks, Micros(0));
    disks.insert(3, unreachable_disk);
    let mut next_owner = KeyOwner::new(11);
    next_owner.adopt_set(&set);
    next_owner.read_confirmed(6, 2, CONFIGURATION_KEY.into(), Micros(0));
    let (outcomes, value_bytes, _) = settle_counted(&mut next_owner, &mut disks);
    assert_eq!((outcomes[0].outcome, outcomes[0].version), (WRITTEN, 1));
    assert!(value_bytes <= 2 * 100_000, "only the disk that lacks the value is sent it: {value_bytes}");
    for (disk, registers) in &disks {
        let (epoch, version, value) = registers.stored(CONFIGURATION_KEY).expect("a value");
        assert_eq!((epoch.owner, version, value.0.len()), (11, 1, 100_000), "disk {disk}");
    }
    // For a digest a disk writes the whole value, which can be restored from its records.
    let restored = DiskRegisters::restore(&disks[&1].live_records()).expect("records");
    assert_eq!(restored.stored(CONFIGURATION_KEY).expect("a value").2.0, vec![7; 100_000]);
}

#[test]
fn a_deposed_owner_confirms_nothing_by_digest() {
    let (mut disks, set) = bootstrapped_disks();
    let mut old_owner = KeyOwner::new(10);
    let mut new_owner = KeyOwner::new(11);
    old_owner.adopt_set(&set);
    new_owner.adopt_set(&set);
    old_owner.write(5, large_entry(1, 0, 7), Micros(0));
    settle(&mut old_owner, &mut disks, Micros(0));
    new_owner.write(5, large_entry(2, 1, 8), Micros(0));
    settle(&mut new_owner, &mut disks, Micros(0));
    let old_digest = peer_messages::value_digest(&[7; 100_000]);
    old_owner.confirm(6, 3, CONFIGURATION_KEY.into(), old_digest, Micros(0));
    assert_eq!(outcome_of(settle(&mut old_owner, &mut disks, Micros(0))).0, UNKNOWN);
}
