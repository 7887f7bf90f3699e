use super::*;
use crate::ElectionSettings;
use peer_messages::LeaderRecord;
use std::collections::BTreeMap;

const OWN: NodeId = 1;

/// An election of node [`OWN`] that observes these leader counts by node.
fn election_with(counts: &[(NodeId, usize)]) -> Election {
    let mut election = Election::new(OWN, ElectionSettings::default());
    let mut number = 0;
    let holders = counts.iter().flat_map(|(node, count)| std::iter::repeat_n(*node, *count));
    let records: Vec<(String, NodeId)> = holders
        .map(|holder| {
            number += 1;
            (format!("f{number}"), holder)
        })
        .collect();
    election.set_functions(records.iter().map(|(function, _)| function.clone()).collect());
    for (function, holder) in records {
        let record = LeaderRecord { holder, renew_count: 1, lease_micros: 3_000_000, leader_epoch: 1 };
        election.observe(&function, 1, Some(record), Micros(0));
    }
    election
}

fn named(election: &Election, members: &[NodeId], functions: usize) -> BTreeMap<NodeId, usize> {
    let mut successors = Successors::new(election, members, Micros(1));
    let mut counts = BTreeMap::new();
    for number in 0..functions {
        let node = successors.pick(&format!("g{number}"), 0).expect("a member can be named");
        *counts.entry(node).or_default() += 1;
    }
    counts
}

#[test]
fn a_stopping_node_names_other_members_evenly_and_never_itself() {
    let election = election_with(&[(OWN, 30), (2, 20), (3, 20), (4, 20)]);
    let counts = named(&election, &[OWN, 2, 3, 4], 30);
    assert!(!counts.contains_key(&OWN));
    for node in [2, 3, 4] {
        assert!((8..=12).contains(&counts[&node]), "{counts:?}");
    }
}

#[test]
fn members_with_more_room_are_named_more_often() {
    let election = election_with(&[(OWN, 40), (2, 38), (3, 2)]);
    let counts = named(&election, &[OWN, 2, 3], 20);
    assert!(counts[&3] > 4 * counts.get(&2).copied().unwrap_or(0).max(1), "{counts:?}");
}

#[test]
fn members_without_functions_are_named_only_if_no_other_member_leads() {
    let election = election_with(&[(OWN, 10), (2, 10)]);
    assert_eq!(named(&election, &[OWN, 2, 3], 10).keys().copied().collect::<Vec<_>>(), [2]);
    let election = election_with(&[(OWN, 10)]);
    assert_eq!(named(&election, &[OWN, 3], 10).keys().copied().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_function_that_needs_a_large_machine_gets_the_largest_available() {
    let mut election = election_with(&[(OWN, 4), (2, 1), (3, 4)]);
    election.set_capacities([(OWN, 260), (2, 62), (3, 260)].into());
    let mut successors = Successors::new(&election, &[OWN, 2, 3], Micros(1));
    assert_eq!(successors.pick("busy", 200), Some(3));
    assert_eq!(successors.pick("busier", 2_000), Some(3));
}
