use super::*;
use fastrand::Rng;

/// The most arrivals in any window beyond the ratio of the calls that arrived in it.
fn most_beyond_ratio(extras: &[u64], calls: &[u64], bound: RetryLimits) -> f64 {
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|at| **at >= from && **at < from + bound.window.0).count() as f64
    };
    let beyond = extras.iter().map(|from| count(extras, *from) - bound.ratio * count(calls, *from));
    beyond.fold(0.0, f64::max)
}

/// Stewards that follow each other at any moment, bursts of calls of which many never arrive, and as
/// many extra dispatches as they grant: over each seed no window has more than the stewards' part.
#[test]
fn leaders_in_turn_stay_within_one_part_whatever_calls_do() {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let bound = RetryLimits {
            ratio: [0.0, 0.2, 1.0][rng.usize(..3)],
            fixed: rng.u64(..90),
            window: Micros::from_secs(rng.u64(2..11)),
        };
        let mut budget = RetryBudget::new(bound, Micros(0));
        let (mut calls, mut extras) = (Vec::new(), Vec::new());
        let mut confirmed_later: Vec<(Micros, Micros)> = Vec::new();
        let mut calls_each = 0;
        for tick in 0..2_000u64 {
            let now = Micros(tick * 20_000 + rng.u64(..20_000));
            if rng.u16(..300) == 0 {
                budget = RetryBudget::new(bound, now);
                confirmed_later.clear();
            }
            if rng.u8(..100) == 0 {
                calls_each = if rng.bool() { 0 } else { rng.usize(..10) };
            }
            for _ in 0..calls_each {
                if rng.bool() {
                    calls.push(now.0);
                    confirmed_later.push((now, now + Micros(rng.u64(..3_000_000))));
                }
            }
            confirmed_later.retain(|(granted_at, confirmed_at)| {
                if *confirmed_at <= now {
                    budget.call_arrived(*granted_at);
                }
                *confirmed_at > now
            });
            for _ in 0..rng.usize(..20) {
                if budget.spend(now) {
                    match rng.u8(..8) {
                        0 => budget.not_arrived(now),
                        _ => extras.push(now.0 + rng.u64(..1_000_000)),
                    }
                }
            }
        }
        let beyond = most_beyond_ratio(&extras, &calls, bound);
        let part = (bound.fixed - bound.fixed / 3) as f64;
        assert!(beyond <= part + 1e-6, "seed {seed}, {bound:?}: {beyond} beyond the ratio");
        assert!(bound.fixed < 20 || extras.len() > 20, "seed {seed}: only {} extras", extras.len());
    }
}

#[test]
fn a_new_leader_has_nothing_at_once_and_an_old_one_its_part_and_the_ratio() {
    let bound = RetryLimits::default();
    let mut budget = RetryBudget::new(bound, Micros::from_secs(100));
    assert!(!budget.spend(Micros::from_secs(100)));
    let at_once = |budget: &mut RetryBudget, now| (0..1_000).take_while(|_| budget.spend(now)).count();
    let early = at_once(&mut budget, Micros::from_secs(102));
    assert!((1..6).contains(&early), "{early}");
    let late = at_once(&mut budget, Micros::from_secs(130));
    assert_eq!(late, 20);
    for _ in 0..100 {
        budget.call_arrived(Micros::from_secs(148));
    }
    assert_eq!(at_once(&mut budget, Micros::from_secs(150)), 20, "calls of later do not let more in at once");
    assert_eq!(at_once(&mut budget, Micros::from_secs(150)), 0);
}

#[test]
fn all_fallbacks_together_stay_within_their_part_and_a_new_process_waits() {
    let bound = RetryLimits::default();
    for node_count in 1..200 {
        assert!(bound.fallback_share(node_count) * node_count <= 20);
    }
    let mut extras = FallbackRetryBudget::new(2, bound.span());
    extras.opens_at = Micros::from_secs(5);
    assert!(!extras.spend(Micros::from_secs(4)));
    assert!(extras.spend(Micros::from_secs(5)) && extras.spend(Micros::from_secs(9)));
    assert!(!extras.spend(Micros::from_secs(16)), "the window slides");
    assert!(extras.spend(Micros::from_secs(17)) && !extras.spend(Micros::from_secs(20)));
    assert!(extras.spend(Micros::from_secs(21)));
}
