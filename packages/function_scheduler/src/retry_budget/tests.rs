use super::*;
use fastrand::Rng;

/// The largest number of arrivals in any window beyond the ratio of the calls that arrived in it.
fn most_beyond_ratio(retries: &[u64], calls: &[u64], limits: RetryLimits) -> f64 {
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|at| **at >= from && **at < from + limits.window.0).count() as f64
    };
    let beyond = retries.iter().map(|from| count(retries, *from) - limits.ratio * count(calls, *from));
    beyond.fold(0.0, f64::max)
}

/// Leaders change at random moments, calls come in bursts and many never arrive, and every retry the budget
/// grants is used: for each seed no window may exceed the leaders' part.
#[test]
fn successive_leaders_exceed_no_window_of_the_leaders_part() {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let limits = RetryLimits {
            ratio: [0.0, 0.2, 1.0][rng.usize(..3)],
            fixed: rng.u64(..90),
            window: Micros::from_secs(rng.u64(2..11)),
        };
        let mut budget = RetryBudget::new(limits, Micros(0));
        let (mut calls, mut retries) = (Vec::new(), Vec::new());
        let mut confirmed_later: Vec<(Micros, Micros)> = Vec::new();
        let mut calls_each = 0;
        for tick in 0..2_000u64 {
            let now = Micros(tick * 20_000 + rng.u64(..20_000));
            if rng.u16(..300) == 0 {
                budget = RetryBudget::new(limits, now);
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
                    budget.record_call(*granted_at);
                }
                *confirmed_at > now
            });
            for _ in 0..rng.usize(..20) {
                if budget.spend(now) {
                    match rng.u8(..8) {
                        0 => budget.refund_retry(now),
                        _ => retries.push(now.0 + rng.u64(..1_000_000)),
                    }
                }
            }
        }
        let beyond = most_beyond_ratio(&retries, &calls, limits);
        let part = (limits.fixed - limits.fixed / 3) as f64;
        assert!(beyond <= part + 1e-6, "seed {seed}, {limits:?}: {beyond} beyond the ratio");
        assert!(limits.fixed < 20 || retries.len() > 20, "seed {seed}: only {} retries", retries.len());
    }
}

#[test]
fn a_new_leader_has_no_burst_and_an_old_one_stays_within_its_part_and_the_ratio() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(limits, Micros::from_secs(100));
    assert!(!budget.spend(Micros::from_secs(100)));
    let spend_all = |budget: &mut RetryBudget, now| (0..1_000).take_while(|_| budget.spend(now)).count();
    let early = spend_all(&mut budget, Micros::from_secs(102));
    assert!((1..6).contains(&early), "{early}");
    let late = spend_all(&mut budget, Micros::from_secs(130));
    assert_eq!(late, 20);
    for _ in 0..100 {
        budget.record_call(Micros::from_secs(148));
    }
    assert_eq!(spend_all(&mut budget, Micros::from_secs(150)), 20, "later calls do not raise the burst");
    assert_eq!(spend_all(&mut budget, Micros::from_secs(150)), 0);
}

#[test]
fn all_fallbacks_together_stay_within_their_part_and_a_new_process_waits_for_the_window() {
    let limits = RetryLimits::default();
    for node_count in 1..200 {
        assert!(limits.fallback_share(node_count) * node_count <= 20);
    }
    let mut retries = FallbackRetryBudget::new(2, limits.span());
    retries.opens_at = Micros::from_secs(5);
    assert!(!retries.spend(Micros::from_secs(4)));
    assert!(retries.spend(Micros::from_secs(5)) && retries.spend(Micros::from_secs(9)));
    assert!(!retries.spend(Micros::from_secs(16)), "the window slides");
    assert!(retries.spend(Micros::from_secs(17)) && !retries.spend(Micros::from_secs(20)));
    assert!(retries.spend(Micros::from_secs(21)));
}
