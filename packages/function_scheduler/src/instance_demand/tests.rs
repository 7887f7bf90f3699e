use super::*;

fn strict_target() -> InstanceShape {
    InstanceShape {
        memory_mb: 768.0,
        boot: Micros::from_millis(1_400),
        calls_at_once: 6,
        target: Micros::from_millis(300),
        costs: CostModel::default(),
    }
}

fn relaxed_target() -> InstanceShape {
    InstanceShape {
        memory_mb: 128.0,
        boot: Micros::from_millis(900),
        calls_at_once: 1,
        target: Micros::from_millis(1_500),
        costs: CostModel::default(),
    }
}

const LATENCY: Micros = Micros::from_millis(70);

fn kept(demand: &mut InstanceDemand, shape: &InstanceShape, now: Micros) -> u32 {
    let wanted = demand.wanted(shape, &[], LATENCY, now);
    demand.apply_retention(wanted, now)
}

/// Calls arrive evenly at a rate; the load is the rate times the latency.
fn run(demand: &mut InstanceDemand, rate: f64, from: u64, to: u64, shape: &InstanceShape) -> u32 {
    let mut credit = 0.0;
    let mut instances = 0;
    for millis in (from..to).step_by(20) {
        let now = Micros::from_millis(millis);
        credit += rate * 0.02;
        while credit >= 1.0 {
            credit -= 1.0;
            demand.record_call(now);
        }
        demand.record_load(now, (rate * 0.07).round());
        instances = kept(demand, shape, now);
    }
    instances
}

#[test]
fn a_jump_of_the_call_rate_is_seen_within_half_a_second() {
    let mut demand = InstanceDemand::new(Micros(0));
    for call in 0..150u64 {
        demand.record_call(Micros(call * 1_000_000 / 300));
    }
    let now = Micros::from_millis(500);
    assert!(demand.rate(now) < 100.0, "{}", demand.rate(now));
    let peak = demand.peak_rate(now);
    assert!((150.0..330.0).contains(&peak), "300 calls a second give a peak rate of {peak}");
    assert!(demand.peak_rate(Micros::from_secs(4)) < 60.0, "the peak decays soon");
}

#[test]
fn erlang_c_matches_known_values() {
    // With two servers at a load of one, a third of the calls wait; with one server, the share equals its
    // utilization.
    assert!((erlang_c(2, 1.0) - 1.0 / 3.0).abs() < 1e-9);
    assert!((erlang_c(1, 0.4) - 0.4).abs() < 1e-9);
    assert_eq!((erlang_c(3, 0.0), erlang_c(2, 5.0)), (0.0, 1.0));
}

#[test]
fn a_function_is_warm_before_its_first_call_only_if_a_cold_start_would_make_it_late() {
    let mut demand = InstanceDemand::new(Micros(0));
    assert_eq!(demand.wanted(&strict_target(), &[], LATENCY, Micros(1)), INITIAL_INSTANCES);
    assert_eq!(demand.wanted(&relaxed_target(), &[], LATENCY, Micros(1)), 0);
    assert_eq!(demand.wanted(&strict_target(), &[], LATENCY, UNCALLED_RETENTION), 0, "it was never called");
}

#[test]
fn an_uncalled_function_is_not_kept_warm_for_long_once_others_are_called() {
    let mut demand = InstanceDemand::new(Micros(0));
    let seconds = Micros::from_secs;
    assert_eq!(
        demand.wanted(&strict_target(), &[], LATENCY, seconds(20)),
        INITIAL_INSTANCES,
        "there is no traffic yet"
    );
    demand.set_traffic_since(Some(seconds(21)));
    assert_eq!(demand.wanted(&strict_target(), &[], LATENCY, seconds(22)), INITIAL_INSTANCES);
    // Holding an instance of 768 MB for 2.4 s costs as much as one cold start.
    assert_eq!(demand.wanted(&strict_target(), &[], LATENCY, seconds(24)), 0);
    let small = InstanceShape { memory_mb: 128.0, ..strict_target() };
    assert_eq!(
        demand.wanted(&small, &[], LATENCY, seconds(24)),
        INITIAL_INSTANCES,
        "a small one is held for longer"
    );
    assert_eq!(demand.wanted(&small, &[], LATENCY, seconds(30)), 0);
}

#[test]
fn instances_follow_the_load_and_a_rarely_called_function_keeps_none() {
    let mut demand = InstanceDemand::new(Micros(0));
    assert_eq!(run(&mut demand, 40.0, 0, 10_000, &strict_target()), 1, "a load of three on six");
    let spike = run(&mut demand, 160.0, 10_000, 20_000, &strict_target());
    assert!((2..=4).contains(&spike), "{spike} instances for a load of eleven");
    let after = run(&mut demand, 40.0, 20_000, 21_000, &strict_target());
    assert!(after >= 2, "not released within a second");
    assert_eq!(run(&mut demand, 40.0, 21_000, 45_000, &strict_target()), 1);
    let mut once = InstanceDemand::new(Micros(0));
    once.record_call(Micros(0));
    once.record_load(Micros(0), 1.0);
    assert_eq!(kept(&mut once, &relaxed_target(), Micros::from_millis(40)), 0);
    let mut often = InstanceDemand::new(Micros(0));
    assert_eq!(run(&mut often, 2.0, 0, 20_000, &relaxed_target()), 1);
    assert_eq!(run(&mut often, 0.0, 20_000, 60_000, &relaxed_target()), 0);
}

#[test]
fn discovered_instances_are_kept_until_their_hold_ends() {
    let mut demand = InstanceDemand::new(Micros(0));
    demand.record_call(Micros(0));
    demand.retain_count(3, Micros::from_secs(3));
    assert_eq!(kept(&mut demand, &strict_target(), Micros::from_secs(2)), 3);
    assert!(kept(&mut demand, &strict_target(), Micros::from_secs(4)) < 3);
}

#[test]
fn a_zone_gets_its_own_instance_only_with_enough_cross_zone_calls() {
    let shares = [0.4, 0.3, 0.2, 0.1];
    let instances = |rate: f64| instances_for(rate * 0.07, rate, &strict_target(), &shares, LATENCY);
    let without_zones = |rate: f64| instances_for(rate * 0.07, rate, &strict_target(), &[], LATENCY);
    assert_eq!((instances(10.0), without_zones(10.0)), (1, 1), "few calls cross zones");
    // An instance of 768 MB pays off from 39 cross-zone calls per second on.
    assert_eq!((instances(140.0), without_zones(140.0)), (3, 2));
}
