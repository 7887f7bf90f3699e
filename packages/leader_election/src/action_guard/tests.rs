use super::*;

const LEASE: Micros = Micros::from_secs(3);

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// A process that began long before these tests' times.
fn old_guard() -> ActionGuard {
    ActionGuard::new(LEASE, Micros(0))
}

/// Guards against: holders act in the order A, B, A within a lease after a term went there and back.
#[test]
fn a_term_that_comes_back_is_not_acted_under_until_a_lease_after_the_last_action() {
    let mut guard = old_guard();
    guard.operation_sent("proof", 5, at(10_000));
    // Another led under 8 and named this process.
    guard.term_taken("proof", 9, (Some(8), false), at(10_700));
    assert!(guard.is_barred("proof", at(12_999)));
    assert!(!guard.is_barred("other", at(10_700)));
    assert!(!guard.is_barred("proof", at(13_000)));
}

/// Guards against: a term that somebody gave back to nobody counts as if nobody had held it.
#[test]
fn a_term_from_nobody_is_held_too_after_an_action_of_an_older_one() {
    let mut guard = old_guard();
    guard.operation_sent("proof", 5, at(10_000));
    guard.term_taken("proof", 9, (None, false), at(11_000));
    assert!(guard.is_barred("proof", at(12_999)));
}

/// Guards against: a lapse in which nobody else led delays starts.
#[test]
fn a_term_that_nobody_else_had_in_between_goes_on_at_once() {
    let mut guard = old_guard();
    guard.operation_sent("proof", 5, at(10_000));
    guard.term_taken("proof", 7, (Some(5), false), at(11_000));
    assert!(!guard.is_barred("proof", at(11_000)));
    // And once more without an act in between.
    guard.term_taken("proof", 11, (Some(7), false), at(11_500));
    assert!(!guard.is_barred("proof", at(11_500)));
}

/// Guards against: the platform counts a slow act after the hold was measured from its sending.
#[test]
fn a_response_moves_the_hold() {
    let mut guard = old_guard();
    guard.operation_sent("proof", 5, at(10_000));
    guard.term_taken("proof", 9, (Some(8), false), at(10_700));
    guard.operation_answered("proof", at(11_400));
    assert!(guard.is_barred("proof", at(14_399)));
    assert!(!guard.is_barred("proof", at(14_400)));
}

/// Guards against: a restarted process acts within a lease of its predecessor's acts, another's in between.
#[test]
fn what_a_process_that_has_just_started_takes_from_others_is_held_and_what_it_keeps_is_not() {
    let mut guard = ActionGuard::new(LEASE, at(10_000));
    guard.term_taken("given", 9, (Some(8), false), at(10_500));
    guard.term_taken("from nobody", 9, (None, false), at(10_500));
    assert!(guard.is_barred("from nobody", at(12_999)));
    guard.term_taken("kept", 1, (None, true), at(10_500));
    assert!(guard.is_barred("given", at(12_999)));
    assert!(!guard.is_barred("given", at(13_000)));
    assert!(!guard.is_barred("kept", at(10_500)));
    guard.term_taken("later", 9, (Some(8), false), at(13_000));
    assert!(!guard.is_barred("later", at(13_000)));
}

/// Guards against: the guard grows with every function that was ever acted for.
#[test]
fn operations_and_holds_that_are_over_are_forgotten() {
    let mut guard = old_guard();
    for number in 0..1_000u64 {
        guard.operation_sent(&format!("function-{number}"), 5, at(10_000 + number * 100));
    }
    assert!(guard.last_actions.len() <= 31, "{}", guard.last_actions.len());
    guard.term_taken("function-999", 9, (Some(8), false), at(110_000));
    assert_eq!(guard.held_until.len(), 1);
    guard.tick(at(120_000));
    assert_eq!(guard.held_until.len(), 0);
}
