use super::*;

const LEASE: Micros = Micros::from_secs(3);

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// The guard of a process that started long before the times in these tests.
fn long_running_guard() -> ActionGuard {
    ActionGuard::new(LEASE, Micros(0))
}

/// Guards against: the platform sees operations of A, B, A within one lease after a term was transferred and
/// returned.
#[test]
fn a_returned_term_is_barred_until_a_lease_after_the_last_operation() {
    let mut guard = long_running_guard();
    guard.operation_sent("proof", 5, at(10_000));
    // Another node led under epoch 8 and transferred the term to this process.
    guard.term_taken("proof", 9, (Some(8), false), at(10_700));
    assert!(guard.is_barred("proof", at(12_999)));
    assert!(!guard.is_barred("other", at(10_700)));
    assert!(!guard.is_barred("proof", at(13_000)));
}

/// Guards against: a term that another node released counts as if no other node had led.
#[test]
fn a_released_term_is_barred_after_an_operation_of_an_older_term() {
    let mut guard = long_running_guard();
    guard.operation_sent("proof", 5, at(10_000));
    guard.term_taken("proof", 9, (None, false), at(11_000));
    assert!(guard.is_barred("proof", at(12_999)));
}

/// Guards against: starts are delayed after a gap in which no other node led.
#[test]
fn a_term_that_no_other_node_led_in_between_is_not_barred() {
    let mut guard = long_running_guard();
    guard.operation_sent("proof", 5, at(10_000));
    guard.term_taken("proof", 7, (Some(5), false), at(11_000));
    assert!(!guard.is_barred("proof", at(11_000)));
    // The same again, without an operation in between.
    guard.term_taken("proof", 11, (Some(7), false), at(11_500));
    assert!(!guard.is_barred("proof", at(11_500)));
}

/// Guards against: the bar ends a lease after an operation was sent, though the platform counted it later.
#[test]
fn a_response_extends_the_bar() {
    let mut guard = long_running_guard();
    guard.operation_sent("proof", 5, at(10_000));
    guard.term_taken("proof", 9, (Some(8), false), at(10_700));
    guard.operation_answered("proof", at(11_400));
    assert!(guard.is_barred("proof", at(14_399)));
    assert!(!guard.is_barred("proof", at(14_400)));
}

/// Guards against: a restarted process sends operations within a lease of its previous incarnation's, with
/// another node's operations in between.
#[test]
fn a_restarted_process_is_barred_for_functions_of_others_and_not_for_its_own() {
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

/// Guards against: the guard keeps an entry for every function that it ever saw an operation for.
#[test]
fn expired_operations_and_bars_are_dropped() {
    let mut guard = long_running_guard();
    for number in 0..1_000u64 {
        guard.operation_sent(&format!("function-{number}"), 5, at(10_000 + number * 100));
    }
    assert!(guard.last_actions.len() <= 31, "{}", guard.last_actions.len());
    guard.term_taken("function-999", 9, (Some(8), false), at(110_000));
    assert_eq!(guard.barred_until.len(), 1);
    guard.tick(at(120_000));
    assert_eq!(guard.barred_until.len(), 0);
}
