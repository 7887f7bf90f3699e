use super::*;

#[test]
fn operations_keep_to_the_rate_and_the_backoff_doubles_at_each_429() {
    let mut rate = StartRate::new();
    rate.set_rate(10.0, 4.0, Micros(0));
    let spent = |rate: &mut StartRate, from: u64, to: u64| {
        (from..to).filter(|millisecond| rate.spend(Micros::from_millis(*millisecond))).count()
    };
    let in_two_seconds = spent(&mut rate, 0, 2_000);
    assert!((20..=21).contains(&in_two_seconds), "{in_two_seconds}: one at the start and ten a second");
    rate.record_throttled(Micros::from_secs(2));
    assert_eq!(spent(&mut rate, 2_000, 2_100), 0);
    assert!(rate.spend(Micros::from_millis(2_200)));
    rate.record_throttled(Micros::from_millis(2_200));
    assert_eq!(spent(&mut rate, 2_200, 2_400), 0);
    rate.record_accepted();
    assert!(rate.spend(Micros::from_millis(2_500)));
}

#[test]
fn a_large_fleet_acting_at_once_stays_within_one_second_of_the_platform_rate() {
    let (nodes, operations_per_second) = (77, 80.0);
    let equal_share = operations_per_second / 2.0 / f64::from(nodes);
    let operations_at = |second: u64| -> usize {
        (0..nodes)
            .map(|_| {
                let mut rate = StartRate::new();
                rate.set_rate(equal_share, equal_share, Micros(0));
                let at = Micros::from_secs(second);
                (0..100).take_while(|_| rate.spend(at)).count()
            })
            .sum()
    };
    assert!(operations_at(0) <= 80, "all processes are new");
    assert!(operations_at(60) <= 80, "nothing was done for a minute");
}

#[test]
fn a_node_of_a_small_fleet_saves_up_at_most_four_operations() {
    let mut rate = StartRate::new();
    rate.set_rate(4.0, 4.0, Micros(0));
    let saved = (0..100).take_while(|_| rate.spend(Micros::from_secs(9))).count();
    assert_eq!(saved, 4);
}

/// A usage report that was due waited for 14 seconds because starts used up every token as it was added.
#[test]
fn a_usage_report_does_not_wait_behind_starts_that_use_up_every_token() {
    let mut rate = StartRate::new();
    rate.set_rate(2.0, 2.0, Micros(0));
    while rate.spend(Micros(0)) {}
    assert!(rate.spend_ahead(Micros(0)));
    // The token is owed: the next start is as late as if the report had waited for its token.
    let later = Micros::from_millis(999);
    assert!(!rate.spend(later));
    assert!(rate.spend(Micros::from_secs(1)));
    rate.record_throttled(Micros::from_secs(1));
    assert!(!rate.spend_ahead(Micros::from_secs(1)));
}

/// Operations that all nodes of a fleet start at once after a minute without any.
fn operations_at_once(nodes: usize, operations_per_second: f64) -> usize {
    let equal_share = operations_per_second / 2.0 / nodes as f64;
    let operations_of_one = || {
        let mut rate = StartRate::new();
        rate.set_rate(equal_share, equal_share, Micros(0));
        let at = Micros::from_secs(60);
        (0..100).take_while(|_| rate.spend(at)).count()
    };
    (0..nodes).map(|_| operations_of_one()).sum()
}

/// 79 nodes that had saved up four tokens each sent 316 operations at once to a platform that accepts 220 a
/// second.
#[test]
fn saved_up_operations_stay_within_one_second_of_the_rate_or_one_per_node() {
    for (nodes, operations_per_second) in [(10, 80.0), (77, 80.0), (79, 220.0), (92, 220.0), (300, 220.0)] {
        let most = (operations_per_second as usize).max(nodes);
        let actions = operations_at_once(nodes, operations_per_second);
        assert!(actions <= most, "{nodes} nodes: {actions} operations at {operations_per_second} a second");
    }
}
