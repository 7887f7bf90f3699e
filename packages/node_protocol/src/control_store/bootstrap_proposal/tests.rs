use super::*;

const FIRST: [u64; 3] = [11, 12, 13];
const SECOND: [u64; 3] = [12, 13, 14];

fn proposal(recorded: &[u64], responses: &[(NodeId, &[u64])]) -> BootstrapProposal {
    BootstrapProposal {
        recorded: recorded.to_vec(),
        responses: responses.iter().map(|(node, disks)| (*node, disks.to_vec())).collect(),
    }
}

#[test]
fn every_seed_is_asked_before_disks_are_chosen() {
    assert_eq!(proposal(&[], &[]).next_step(&[2, 3]), NextStep::Ask(vec![2, 3]));
    assert_eq!(proposal(&[], &[(2, &[])]).next_step(&[2, 3]), NextStep::Ask(vec![3]));
    assert_eq!(proposal(&[], &[(2, &[]), (3, &[])]).next_step(&[2, 3]), NextStep::Choose);
    // The response of a process that is gone does not count for the one in its place.
    assert_eq!(proposal(&[], &[(2, &[]), (3, &[])]).next_step(&[2, 4]), NextStep::Ask(vec![4]));
}

#[test]
fn disks_are_asked_only_once_every_seed_has_recorded_the_proposal() {
    let recorded_by_one: [(NodeId, &[u64]); 2] = [(2, &FIRST), (3, &[])];
    assert_eq!(proposal(&FIRST, &recorded_by_one).next_step(&[2, 3]), NextStep::Propose(vec![3]));
    assert_eq!(proposal(&FIRST, &[(2, &FIRST)]).next_step(&[2, 3]), NextStep::Propose(vec![3]));
    let recorded_by_all: [(NodeId, &[u64]); 2] = [(2, &FIRST), (3, &FIRST)];
    assert_eq!(proposal(&FIRST, &recorded_by_all).next_step(&[2, 3]), NextStep::Store);
}

/// Guards against a second voter set of a process that takes the place of the proposing seed.
#[test]
fn a_new_process_continues_what_a_seed_recorded() {
    let mut adopting = proposal(&[], &[(2, &[]), (3, &FIRST)]);
    assert_eq!(adopting.next_step(&[2, 3]), NextStep::Propose(vec![2]));
    assert_eq!(adopting.recorded, FIRST);
    assert_eq!(proposal(&[], &[(2, &FIRST), (3, &FIRST)]).next_step(&[2, 3]), NextStep::Store);
    let conflicting: [(NodeId, &[u64]); 2] = [(2, &SECOND), (3, &FIRST)];
    assert_eq!(proposal(&[], &conflicting).next_step(&[2, 3]), NextStep::Conflict);
    assert_eq!(proposal(&FIRST, &conflicting).next_step(&[2, 3]), NextStep::Conflict);
}
