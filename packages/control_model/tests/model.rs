//! The model finds nothing in the real parts, and finds each rule that is broken on purpose.

use control_model::{Counts, Invariant, Limits, PlantedFault, explore, walk};

const THREADS: usize = 4;
const MOST_STATES: usize = 60_000;
const WALKS: std::ops::RangeInclusive<u64> = 1..=400;
const WALK_LENGTH: usize = 1_000;

#[test]
fn every_state_within_the_bound_is_sound() {
    let explorations =
        [Limits::racing_writes(), Limits::racing_changes(), Limits::racing_sets(), Limits::power_losses()];
    for limits in explorations {
        let found = explore(&limits, 10, MOST_STATES, THREADS);
        assert!(found.failure.is_none(), "{:?}", found.failure);
        assert!(found.states > 10_000, "{} states to depth {}", found.states, found.depth);
    }
}

/// A write and a read at one owner: all states there are.
#[test]
fn a_lone_owner_is_explored_to_its_end() {
    let limits = Limits {
        operations: vec![
            control_model::Operation::Write { key: "steward/a", value: 1 },
            control_model::Operation::Read { key: "steward/a" },
        ],
        owners: 1,
        ..Limits::three_disks()
    };
    let found = explore(&limits, 60, 1_000_000, THREADS);
    assert!(found.is_whole && found.failure.is_none(), "{} states, {:?}", found.states, found.failure);
}

#[test]
fn long_walks_are_sound_and_get_somewhere() {
    let mut total = Counts::default();
    for seed in WALKS {
        let walked = walk(&Limits::everything(), seed, WALK_LENGTH);
        assert!(walked.failure.is_none(), "{:?}", walked.failure);
        total.add(&walked.counts);
    }
    let is_lively = total.writes > 200 && total.reads > 100 && total.changes > 50 && total.sets > 200;
    println!("{total:?}");
    assert!(is_lively, "{total:?}");
}

#[test]
fn the_same_seed_walks_the_same_way() {
    let walked = |seed| walk(&Limits::everything(), seed, WALK_LENGTH).counts;
    assert_eq!(walked(7), walked(7));
}

/// The invariants that walks with a planted fault break.
fn broken_by(fault: PlantedFault, limits: Limits) -> Vec<Invariant> {
    let limits = Limits { fault: Some(fault), ..limits };
    let mut broken: Vec<Invariant> = Vec::new();
    for seed in WALKS {
        if let Some((_, failure)) = walk(&limits, seed, WALK_LENGTH).failure
            && !broken.contains(&failure.breach.invariant)
        {
            broken.push(failure.breach.invariant);
        }
    }
    broken
}

#[test]
fn print_faults() {
    for fault in [
        PlantedFault::AnswerBeforeSync,
        PlantedFault::PromiseFenceSkipped,
        PlantedFault::SetFenceSkipped,
        PlantedFault::DisksKeyOpenToAll,
        PlantedFault::SetInForceAtOnce,
        PlantedFault::QuorumMinusOne,
        PlantedFault::CopySkipped,
        PlantedFault::ListedBeforeFence,
    ] {
        println!(
            "{fault:?} {:?} {:?}",
            broken_by(fault, Limits::everything()),
            broken_by(fault, Limits::many_sets())
        );
    }
}
