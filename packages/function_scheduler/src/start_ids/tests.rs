use super::*;
use std::collections::BTreeSet;

/// Guards against start ids that the platform refuses: functions with long names were never started, and those with
/// shorter ones no longer once their leader epoch had enough digits.
#[test]
fn ids_are_within_the_limit_for_every_name_epoch_and_number() {
    for length in 1..=128 {
        let mut ids = StartIds::new(&"f".repeat(length), u64::MAX);
        ids.last_number = u64::MAX - 1;
        let id = ids.next_id();
        assert!(id.len() <= START_ID_LIMIT, "{} bytes for a name of {length}", id.len());
    }
}

#[test]
fn ids_differ_between_functions_epochs_and_starts() {
    let long = "orderdesk-of-the-wineries-for-the-rush-reorders-of-bottle-labels";
    let other = "orderdesk-of-the-wineries-for-the-rush-reorders-of-bottle-caps";
    let hashed = hash_label(long);
    let labels = [long, other, &hashed, &hashed[..LABEL_LENGTH - 1], "proof"];
    let mut seen = BTreeSet::new();
    for function in labels {
        for epoch in [1, 11, 12] {
            let mut ids = StartIds::new(function, epoch);
            assert!((0..12).all(|_| seen.insert(ids.next_id())), "an id of {function} stands twice");
        }
    }
}

#[test]
fn ids_of_short_names_show_the_function() {
    let mut ids = StartIds::new("proof", 12);
    assert_eq!([ids.next_id(), ids.next_id()], ["proof-12-1", "proof-12-2"]);
}
