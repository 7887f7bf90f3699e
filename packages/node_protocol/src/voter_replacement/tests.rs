use super::*;
use crate::control_store::{DISK_FAILED, DISK_VOTING};
use std::net::SocketAddr;

const TIMEOUT: Micros = Micros::from_secs(20);

fn member(machine: u8, disk: u64, disk_state: u8) -> MemberUpdate {
    MemberUpdate {
        node: u64::from(machine),
        address: Address::from(SocketAddr::from(([10, 0, 0, machine], 7_000))),
        zone: "zone".into(),
        incarnation: 1,
        state: membership::ALIVE,
        disk,
        disk_state,
        draining: 0,
        processor: 1_000,
    }
}

fn voters(disks: &[u64]) -> Vec<MemberUpdate> {
    disks.iter().map(|disk| member(*disk as u8, *disk, DISK_VOTING)).collect()
}

/// The replacements for these members after an earlier observation of others.
fn replacements_after(
    set: &VoterSet,
    before: &[MemberUpdate],
    live: &[MemberUpdate],
    elapsed: Micros,
) -> Vec<(u64, u64)> {
    let tolerance = LossTolerance::default();
    replacements_tolerating(&tolerance, set, (before, live), elapsed)
}

/// As [`replacements_after`], where zones or regions may be lost. The members are given as before and now.
fn replacements_tolerating(
    tolerance: &LossTolerance,
    set: &VoterSet,
    (before, live): (&[MemberUpdate], &[MemberUpdate]),
    elapsed: Micros,
) -> Vec<(u64, u64)> {
    let mut observations = DiskObservations::default();
    observations.update(set, before, Micros(0));
    observations.update(set, live, Micros(1));
    let policy = ReplacementPolicy { failed_timeout: TIMEOUT, tolerance };
    observations.replacements(set, live, policy, Micros(1) + elapsed)
}

#[test]
fn a_machine_returning_with_a_blank_disk_gets_its_own_vote_immediately() {
    let set = VoterSet::bootstrap(&[1, 2, 3]);
    let mut live = voters(&[1, 2]);
    live.extend([member(3, 90, DISK_BLANK), member(4, 4, DISK_SPARE)]);
    // The disk of the returning machine is chosen although the spare disk has a lower id.
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, Micros(0)), [(3, 90)]);
}

#[test]
fn a_lost_voter_is_replaced_only_after_its_timeout() {
    let set = VoterSet::bootstrap(&[1, 2, 3]);
    let mut live = voters(&[1, 2]);
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, TIMEOUT), []);
    live.push(member(7, 90, DISK_BLANK));
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, Micros(0)), []);
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, LOST_TIMEOUT), [(3, 90)]);
    // A suspected voter counts as lost: removal from the membership takes longer.
    let suspected = MemberUpdate { state: membership::SUSPECTED, ..member(3, 3, DISK_VOTING) };
    let all = [live.clone(), vec![suspected]].concat();
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &all, LOST_TIMEOUT), [(3, 90)]);
    // A voter never seen by this process may be reported later, so a longer timeout applies.
    assert_eq!(replacements_after(&set, &voters(&[1, 2]), &live, LOST_TIMEOUT), []);
    assert_eq!(replacements_after(&set, &voters(&[1, 2]), &live, UNKNOWN_VOTER_TIMEOUT), [(3, 90)]);
    // A suspected or draining machine gets no vote.
    live[2].state = membership::SUSPECTED;
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, LOST_TIMEOUT), []);
    live[2] = MemberUpdate { draining: 1, ..member(7, 90, DISK_BLANK) };
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, LOST_TIMEOUT), []);
}

/// The machine of voter 2 returned with disk 80 while its old process still counts as alive.
#[test]
fn a_disk_at_another_voters_address_is_kept_for_that_voter() {
    let set = VoterSet::bootstrap(&[1, 2, 3]);
    let mut live = voters(&[1, 2]);
    live.push(member(2, 80, DISK_BLANK));
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, TIMEOUT), []);
    live.push(member(7, 90, DISK_BLANK));
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, LOST_TIMEOUT), [(3, 90)]);
}

#[test]
fn a_live_machine_with_a_failed_disk_keeps_its_vote_until_the_configured_timeout() {
    let set = VoterSet::bootstrap(&[1, 2, 3]);
    let mut live = voters(&[1, 2]);
    live.extend([member(3, 0, DISK_FAILED), member(4, 4, DISK_BLANK)]);
    let before_timeout = Micros(TIMEOUT.0 - 1);
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, before_timeout), []);
    assert_eq!(replacements_after(&set, &voters(&[1, 2, 3]), &live, TIMEOUT), [(3, 4)]);
}

#[test]
fn two_of_five_voters_are_replaced_together_but_a_minority_replaces_none() {
    let set = VoterSet::bootstrap(&[1, 2, 3, 4, 5]);
    let spares = [member(8, 8, DISK_BLANK), member(9, 9, DISK_SPARE), member(5, 50, DISK_BLANK)];
    let mut live = voters(&[1, 2, 3]);
    live.extend(spares.clone());
    let all = voters(&[1, 2, 3, 4, 5]);
    assert_eq!(replacements_after(&set, &all, &live, LOST_TIMEOUT), [(5, 50), (4, 8)]);
    let mut minority = voters(&[1, 2]);
    minority.extend(spares);
    assert_eq!(replacements_after(&set, &all, &minority, TIMEOUT), []);
}

fn in_zone(zone: &str, member: MemberUpdate) -> MemberUpdate {
    MemberUpdate { zone: zone.into(), ..member }
}

/// The loss of a zone must leave a majority also after votes have moved: those of a lost zone move to the zone with
/// the fewest votes, and back once it has returned.
#[test]
fn votes_are_kept_spread_over_the_zones_that_may_be_lost() {
    let one_zone = LossTolerance { zones: 1, ..LossTolerance::default() };
    let set = VoterSet::bootstrap(&[1, 2, 3, 4, 5]);
    let all: Vec<MemberUpdate> = [(1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "c")]
        .map(|(disk, zone)| in_zone(zone, member(disk as u8, disk, DISK_VOTING)))
        .to_vec();
    let spares = [
        in_zone("a", member(6, 6, DISK_SPARE)),
        in_zone("b", member(7, 7, DISK_SPARE)),
        in_zone("c", member(8, 8, DISK_SPARE)),
    ];
    let without_voter_4: Vec<MemberUpdate> =
        all.iter().filter(|voter| voter.disk != 4).chain(&spares).cloned().collect();
    let replaced = replacements_tolerating(&one_zone, &set, (&all, &without_voter_4), LOST_TIMEOUT);
    assert_eq!(replaced, [(4, 7)]);
    // Without zones to lose the lowest disk is taken.
    assert_eq!(replacements_after(&set, &all, &without_voter_4, LOST_TIMEOUT), [(4, 6)]);
}

#[test]
fn votes_return_to_a_zone_that_has_come_back() {
    let one_zone = LossTolerance { zones: 1, ..LossTolerance::default() };
    let set = VoterSet::bootstrap(&[2, 3, 4]);
    let mut live: Vec<MemberUpdate> = [(2, "b"), (3, "b"), (4, "c")]
        .map(|(disk, zone)| in_zone(zone, member(disk as u8, disk, DISK_VOTING)))
        .to_vec();
    let replaced = |live: &[MemberUpdate]| replacements_tolerating(&one_zone, &set, (live, live), Micros(0));
    assert_eq!(replaced(&live), []);
    // Another disk in a zone with votes would not help.
    live.push(in_zone("c", member(5, 5, DISK_SPARE)));
    assert_eq!(replaced(&live), []);
    live.push(in_zone("a", member(6, 6, DISK_SPARE)));
    assert_eq!(replaced(&live), [(3, 6)]);
    assert_eq!(replacements_after(&set, &live, &live, Micros(0)), []);
    // While a voter is lost its own vote is moved first.
    let without_voter_4: Vec<MemberUpdate> = live.iter().filter(|voter| voter.disk != 4).cloned().collect();
    let replaced = replacements_tolerating(&one_zone, &set, (&live, &without_voter_4), LOST_TIMEOUT);
    assert_eq!(replaced, [(4, 5)]);
}

#[test]
fn suspected_voters_and_blank_disks_are_reported_to_the_owner_once() {
    let set = VoterSet::bootstrap(&[1, 2, 3]);
    let mut live = voters(&[1, 2, 3]);
    let mut observations = DiskObservations::default();
    assert_eq!(observations.unreported(&set, &live), []);
    live[2].state = membership::SUSPECTED;
    live.push(member(7, 90, DISK_BLANK));
    assert_eq!(observations.unreported(&set, &live), live[2..]);
    assert_eq!(observations.unreported(&set, &live), []);
    // The voter responds again and is suspected a second time.
    live[2].state = membership::ALIVE;
    assert_eq!(observations.unreported(&set, &live), []);
    live[2].state = membership::SUSPECTED;
    assert_eq!(observations.unreported(&set, &live), live[2..3]);
}
