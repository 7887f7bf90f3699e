use super::*;
use peer_messages::{Bytes, List, TenantCount, UsageWindow};
use std::sync::Arc;

const NOW: Micros = Micros::from_secs(50);

fn report(window: u64, calls: u32) -> UsageWindow {
    UsageWindow { window, counts: List(vec![TenantCount { tenant: "acme".into(), count: calls }]) }
}

fn update(since: u64, sequence: u64, clock: Micros, windows: Vec<UsageWindow>) -> UsageDelta {
    UsageDelta { since, sequence, clock, windows: List(windows) }
}

#[test]
fn windows_are_aligned_to_the_unix_epoch() {
    let length = WindowLength(Micros::from_secs(5));
    assert_eq!(length.number_at(Micros(4_999_999)), 0);
    assert_eq!(length.number_at(Micros(5_000_000)), 1);
    assert_eq!(length.end_of(1), Micros::from_secs(10));
}

#[test]
fn a_removed_call_is_reported_as_a_changed_count() {
    let (mut usage_counter, tenant) = (UsageCounter::default(), Arc::from("acme"));
    assert!(
        usage_counter.add(7, &tenant, NOW)
            && usage_counter.add(7, &tenant, NOW)
            && usage_counter.add(8, &tenant, NOW)
    );
    usage_counter.remove(7, "acme");
    usage_counter.remove(7, "unknown");
    assert_eq!(usage_counter.changed_since(0), List(vec![report(7, 1), report(8, 1)]));
    let sequence = usage_counter.sequence();
    assert_eq!(usage_counter.changed_since(sequence), List(Vec::new()));
    usage_counter.add(8, &tenant, NOW);
    assert_eq!(usage_counter.changed_since(sequence), List(vec![report(8, 2)]));
}

#[test]
fn a_call_is_not_counted_in_a_decided_window() {
    let (mut usage_counter, tenant) = (UsageCounter::default(), Arc::from("acme"));
    usage_counter.add(7, &tenant, NOW);
    usage_counter.set_decided_below(8);
    assert!(!usage_counter.add(7, &tenant, NOW));
    usage_counter.set_decided_below(2);
    assert_eq!((usage_counter.open_from(), usage_counter.changed_since(0)), (8, List(Vec::new())));
}

#[test]
fn repeated_and_reordered_updates_change_no_counts() {
    let mut usage_aggregator = UsageAggregator::default();
    let first = update(0, 3, Micros(30), vec![report(7, 3)]);
    let second = update(3, 4, Micros(40), vec![report(7, 2)]);
    assert_eq!(usage_aggregator.apply(1, first.clone(), NOW), 3);
    assert_eq!(usage_aggregator.apply(1, second.clone(), NOW), 4);
    assert_eq!(usage_aggregator.apply(1, first, NOW), 4);
    assert_eq!(usage_aggregator.apply(1, second, NOW), 4);
    assert_eq!(usage_aggregator.counts(7), report(7, 2).counts);
}

/// After a change of collector, a delta would leave out everything counted before the new collector's first
/// update.
#[test]
fn a_collector_that_misses_counts_requests_all_of_them() {
    let mut usage_aggregator = UsageAggregator::default();
    assert_eq!(usage_aggregator.apply(1, update(9, 12, Micros(40), vec![report(7, 2)]), NOW), 0);
    assert_eq!(usage_aggregator.counts(7), List(Vec::new()));
    assert!(!usage_aggregator.is_complete(&[1], Micros(40)));
    assert_eq!(usage_aggregator.apply(1, update(0, 12, Micros(40), vec![report(7, 5)]), NOW), 12);
    assert!(
        usage_aggregator.is_complete(&[1], Micros(40)) && !usage_aggregator.is_complete(&[1, 2], Micros(40))
    );
    assert_eq!(usage_aggregator.counts(7), report(7, 5).counts);
}

#[test]
fn counts_of_a_node_that_is_gone_are_kept_until_decided() {
    let mut usage_aggregator = UsageAggregator::default();
    usage_aggregator.apply(1, update(0, 1, Micros(1), vec![report(7, 3)]), NOW);
    usage_aggregator.apply(2, update(0, 1, Micros(1), vec![report(7, 4), report(8, 1)]), NOW);
    assert_eq!(usage_aggregator.counts(7), report(7, 7).counts);
    usage_aggregator.forget(8, Micros(0));
    assert_eq!(
        (usage_aggregator.counts(7), usage_aggregator.counts(8)),
        (List(Vec::new()), report(8, 1).counts)
    );
    usage_aggregator.forget(8, NOW + Micros(1));
    assert_eq!(usage_aggregator.counts(8), List(Vec::new()));
}

/// A minority of machines whose clocks jump by seconds must not shift the fleet's usage windows.
#[test]
fn a_minority_of_wrong_clocks_does_not_move_the_fleet_clock() {
    let right = Micros::from_secs(1_700_000_000);
    let mut clock = FleetClock::default();
    clock.set_own(right + Micros::from_secs(9), NOW);
    assert_eq!(clock.unix(NOW), Some(right + Micros::from_secs(9)));
    clock.agree(&[1, 2, 3, 4, 5], NOW);
    assert!(!clock.is_agreed());
    for (node, reported) in [
        (1, right + Micros::from_secs(9)),
        (2, right),
        (3, right),
        (4, right - Micros::from_secs(7)),
        (5, right),
    ] {
        clock.set_reported(node, reported, NOW);
    }
    clock.agree(&[1, 2, 3, 4, 5], NOW);
    assert!(clock.is_agreed());
    assert_eq!(clock.unix(NOW + Micros(8)), Some(right + Micros(8)));
    let later = NOW + Micros::from_secs(30);
    clock.agree(&[1, 2, 3, 4, 5], later);
    assert!(!clock.is_agreed());
    assert_eq!(clock.unix(later), Some(right + Micros::from_secs(30)));
}

#[test]
fn a_fence_belongs_to_one_holder_and_windows_only_increase() {
    let bootstrapped = UsageRegister::bootstrapped("a", 1, 7, Micros::from_secs(100));
    let first = bootstrapped.with_decided("a", 1, vec![report(7, 1)], 0);
    let same_holder = first.with_decided("a", 2, vec![report(7, 9), report(8, 2)], 8);
    assert_eq!((bootstrapped.fence, same_holder.fence, same_holder.process), (100, 100, 2));
    assert_eq!(same_holder.reports, List(vec![report(8, 2)]));
    let other_holder = same_holder.with_decided("b", 3, vec![], 0);
    assert_eq!((other_holder.fence, other_holder.next_window, other_holder.delivered_below), (101, 9, 8));
    let first_holder_again = other_holder.with_decided("a", 2, vec![report(12, 1), report(11, 1)], 0);
    assert_eq!((first_holder_again.fence, first_holder_again.next_window), (102, 13));
    assert_eq!(first_holder_again.undelivered(0), Some(&report(8, 2)));
    assert_eq!(first_holder_again.undelivered(9), Some(&report(12, 1)));
    assert!(first_holder_again.raised(2, Micros(0)).fence > first_holder_again.fence);
}

#[test]
fn the_register_keeps_the_newest_reports_and_decodes_to_the_same_value() {
    let bootstrapped = UsageRegister::bootstrapped("a", 1, 0, Micros(0));
    let full = bootstrapped.with_decided("a", 1, (0..20).map(|window| report(window, 1)).collect(), 0);
    assert_eq!(full.reports.0.len(), REPORTS_KEPT);
    assert_eq!(full.undelivered(0).map(|report| report.window), Some(14));
    assert_eq!(UsageRegister::decode(&full.encode()), Some(full));
    assert_eq!(UsageRegister::decode(&Bytes::default()), None);
}

/// Counts of a process that had died were lost when their collector was replaced: only that collector held
/// them.
#[test]
fn counts_of_a_node_that_is_gone_are_forwarded_to_a_new_collector() {
    let (mut before, mut after) = (UsageAggregator::default(), UsageAggregator::default());
    before.apply(1, update(0, 4, Micros(30), vec![report(7, 3)]), NOW);
    assert_eq!(before.reporters().collect::<Vec<_>>(), [(1, NOW)]);
    let forwarded = before.reported_by(1).expect("held");
    assert_eq!(after.apply(1, forwarded.clone(), NOW), 4);
    after.apply(1, forwarded, NOW);
    assert_eq!(after.counts(7), report(7, 3).counts);
    assert!(before.reported_by(2).is_none());
}
