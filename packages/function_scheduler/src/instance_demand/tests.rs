use super::*;

fn busy() -> InstanceShape {
    InstanceShape {
        memory_mb: 768.0,
        boot: Micros::from_millis(1_400),
        calls_at_once: 6,
        target: Micros::from_millis(300),
        costs: CostModel::default(),
    }
}

fn rare() -> InstanceShape {
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
    demand.kept(wanted, now)
}

/// Calls come evenly at a rate; the load is rate times latency.
fn run(demand: &mut InstanceDemand, rate: f64, from: u64, to: u64, shape: &InstanceShape) -> u32 {
    let mut credit = 0.0;
    let mut instances = 0;
    for millis in (from..to).step_by(20) {
        let now = Micros::from_millis(millis);
        credit += rate * 0.02;
        while credit >= 1.0 {
            credit -= 1.0;
            demand.called(now);
        }
        demand.note(now, (rate * 0.07).round());
        instances = kept(demand, shape, now);
    }
    instances
}

#[test]
fn a_rate_that_jumps_is_seen_within_half_a_second() {
    let mut demand = InstanceDemand::new(Micros(0));
    for call in 0..150u64 {
        demand.called(Micros(call * 1_000_000 / 300));
    }
    let now = Micros::from_millis(500);
    assert!(demand.rate(now) < 100.0, "{}", demand.rate(now));
    let peak = demand.peak_rate(now);
    assert!((150.0..330.0).contains(&peak), "300 calls a second are told as {peak}");
    assert!(demand.peak_rate(Micros::from_secs(4)) < 60.0, "it is over soon");
}

#[test]
fn erlang_c_meets_known_values() {
    // Two servers at a load of one: a third of the calls wait; one server: as many as it is used.
    assert!((erlang_c(2, 1.0) - 1.0 / 3.0).abs() < 1e-9);
    assert!((erlang_c(1, 0.4) - 0.4).abs() < 1e-9);
    assert_eq!((erlang_c(3, 0.0), erlang_c(2, 5.0)), (0.0, 1.0));
}

#[test]
fn a_function_that_a_cold_start_makes_late_is_warm_before_its_first_call_and_others_are_not() {
    let mut demand = InstanceDemand::new(Micros(0));
    assert_eq!(demand.wanted(&busy(), &[], LATENCY, Micros(1)), UNKNOWN_INSTANCES);
    assert_eq!(demand.wanted(&rare(), &[], LATENCY, Micros(1)), 0);
    assert_eq!(demand.wanted(&busy(), &[], LATENCY, UNCALLED_SPAN), 0, "nobody calls it");
}

#[test]
fn a_function_that_nobody_calls_while_others_are_called_is_not_kept_warm_for_long() {
    let mut demand = InstanceDemand::new(Micros(0));
    let seconds = Micros::from_secs;
    assert_eq!(
        demand.wanted(&busy(), &[], LATENCY, seconds(20)),
        UNKNOWN_INSTANCES,
        "there is no traffic yet"
    );
    demand.set_traffic_since(Some(seconds(21)));
    assert_eq!(demand.wanted(&busy(), &[], LATENCY, seconds(22)), UNKNOWN_INSTANCES);
    // A cell of 768 MB held for 2.4 s costs what one call met cold does.
    assert_eq!(demand.wanted(&busy(), &[], LATENCY, seconds(24)), 0);
    let small = InstanceShape { memory_mb: 128.0, ..busy() };
    assert_eq!(
        demand.wanted(&small, &[], LATENCY, seconds(24)),
        UNKNOWN_INSTANCES,
        "a small one is held for longer"
    );
    assert_eq!(demand.wanted(&small, &[], LATENCY, seconds(30)), 0);
}

#[test]
fn instances_follow_the_load_and_a_rare_function_lets_its_instance_go_at_once() {
    let mut demand = InstanceDemand::new(Micros(0));
    assert_eq!(run(&mut demand, 40.0, 0, 10_000, &busy()), 1, "a load of three on six");
    let spike = run(&mut demand, 160.0, 10_000, 20_000, &busy());
    assert!((2..=4).contains(&spike), "{spike} cells for a load of eleven");
    let after = run(&mut demand, 40.0, 20_000, 21_000, &busy());
    assert!(after >= 2, "not let go within a second");
    assert_eq!(run(&mut demand, 40.0, 21_000, 45_000, &busy()), 1);
    let mut once = InstanceDemand::new(Micros(0));
    once.called(Micros(0));
    once.note(Micros(0), 1.0);
    assert_eq!(kept(&mut once, &rare(), Micros::from_millis(40)), 0);
    let mut often = InstanceDemand::new(Micros(0));
    assert_eq!(run(&mut often, 2.0, 0, 20_000, &rare()), 1);
    assert_eq!(run(&mut often, 0.0, 20_000, 60_000, &rare()), 0);
}

#[test]
fn instances_that_were_found_hold_for_their_time() {
    let mut demand = InstanceDemand::new(Micros(0));
    demand.called(Micros(0));
    demand.hold(3, Micros::from_secs(3));
    assert_eq!(kept(&mut demand, &busy(), Micros::from_secs(2)), 3);
    assert!(kept(&mut demand, &busy(), Micros::from_secs(4)) < 3);
}

#[test]
fn a_zone_with_many_calls_is_worth_an_instance_of_its_own() {
    let shares = [0.4, 0.3, 0.2, 0.1];
    let instances = |rate: f64| instances_for(rate * 0.07, rate, &busy(), &shares, LATENCY);
    let without_zones = |rate: f64| instances_for(rate * 0.07, rate, &busy(), &[], LATENCY);
    assert_eq!((instances(10.0), without_zones(10.0)), (1, 1), "few calls cross");
    // A cell of 768 MB saves the crossing of 39 calls a second or more.
    assert_eq!((instances(140.0), without_zones(140.0)), (3, 2));
}
