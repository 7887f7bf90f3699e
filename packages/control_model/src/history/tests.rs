use super::*;

fn bootstrapped() -> (History, VoterSet) {
    let set = VoterSet::bootstrap(&[1, 2, 3]);
    (History::bootstrapped(&set), set)
}

fn broken_rule(outcome: Result<(), Violation>) -> Option<Invariant> {
    outcome.err().map(|violation| violation.invariant)
}

#[test]
fn two_chosen_sets_of_a_generation_are_found() {
    let (mut history, set) = bootstrapped();
    let first = set.begin_change(3, 8).expect("no change under way").encode();
    let second = set.begin_change(1, 9).expect("no change under way").encode();
    let synced =
        |history: &mut History, disk, epoch, value: &Bytes| history.set_synced(disk, (epoch, 7), value);
    assert_eq!(synced(&mut history, 1, 1, &first), Ok(false));
    assert_eq!(synced(&mut history, 2, 2, &second), Ok(false), "each set is on one disk only");
    assert_eq!(synced(&mut history, 3, 1, &first), Ok(true));
    assert_eq!(synced(&mut history, 2, 3, &first), Ok(false), "the same set under another epoch");
    let violation = synced(&mut history, 3, 2, &second).expect_err("a second quorum");
    assert_eq!(violation.invariant, Invariant::OneChosenSet);
}

#[test]
fn a_version_with_two_values_is_found() {
    let (mut history, _) = bootstrapped();
    assert_eq!(broken_rule(history.shown("a", 1, &Bytes(vec![1]))), None);
    assert_eq!(broken_rule(history.shown("a", 2, &Bytes(vec![2]))), None);
    let other = history.shown("a", 1, &Bytes(vec![2]));
    assert_eq!(broken_rule(other), Some(Invariant::OneValueAVersion));
}

#[test]
fn a_change_in_two_generations_and_two_changes_in_one_are_found() {
    let (mut history, _) = bootstrapped();
    assert_eq!(broken_rule(history.accept(1, 1)), None);
    assert_eq!(broken_rule(history.accept(1, 1)), None, "accepted again in the same generation");
    assert_eq!(broken_rule(history.clone().accept(1, 2)), Some(Invariant::OneChangeAGeneration));
    assert_eq!(broken_rule(history.accept(2, 1)), Some(Invariant::OneChangeAGeneration));
}
