use super::*;

const SECOND: u64 = 1_000_000;

fn terms_line() -> Line {
    Line::UsageTerms { at: 0, unix: 100 * SECOND, window: 5 * SECOND, delay: 10 * SECOND, lease: 3 * SECOND }
}

fn reported(at_seconds: u64, holder: &str, fence: u64, window: u64, calls: u32) -> Line {
    let counts = vec![("acme".to_owned(), calls)];
    Line::UsageReported {
        at: at_seconds * SECOND,
        holder: holder.to_owned(),
        fence,
        window,
        counts,
        accepted: true,
    }
}

fn refused(line: Line) -> Line {
    let Line::UsageReported { at, holder, fence, window, counts, .. } = line else {
        panic!("the line is not UsageReported")
    };
    Line::UsageReported { at, holder, fence, window, counts, accepted: false }
}

fn rules(lines: &[Line]) -> Vec<&'static str> {
    let mut violations = Vec::new();
    check_usage(&[vec![terms_line()], lines.to_vec()].concat(), &mut violations);
    violations.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn two_sets_of_counts_for_a_window_are_found() {
    let repeated = vec![reported(6, "a", 1, 20, 7), reported(7, "b", 2, 20, 7)];
    assert_eq!(rules(&repeated), [""; 0]);
    let other = vec![reported(6, "a", 1, 20, 7), reported(7, "a", 1, 20, 8)];
    assert_eq!(rules(&other), ["one set of counts for a window"]);
    assert_eq!(rules(&[other[0].clone(), refused(other[1].clone())]), [""; 0]);
}

#[test]
fn a_fence_of_two_holders_is_found_even_if_refused() {
    let lines = vec![reported(6, "a", 1, 20, 7), refused(reported(7, "b", 1, 21, 7))];
    assert_eq!(rules(&lines), ["one fence, one holder"]);
}

#[test]
fn holders_that_alternate_within_the_lease_are_found() {
    let turns = |last_at| {
        vec![reported(6, "a", 1, 20, 7), reported(7, "b", 2, 21, 7), reported(last_at, "a", 3, 22, 7)]
    };
    assert_eq!(rules(&turns(8)), ["holders do not take turns within the lease"]);
    assert_eq!(rules(&turns(9)), [""; 0]);
    let mut with_refused = turns(8);
    with_refused[2] = refused(with_refused[2].clone());
    assert_eq!(rules(&with_refused), [""; 0]);
    // A single holder may report at any rate.
    assert_eq!(rules(&[reported(6, "a", 1, 20, 7), reported(7, "a", 1, 21, 7)]), [""; 0]);
}

#[test]
fn missing_late_and_wrong_windows_are_found() {
    let calls = |at_seconds: u64, count: usize| {
        vec![Line::UsageBegan { at: at_seconds * SECOND, tenant: "acme".to_owned() }; count]
    };
    let over = |at_seconds: u64| vec![Line::UsageOver { at: at_seconds * SECOND }];
    // Windows 20 to 23: sound, off, late, missing; the fifth is not due yet.
    let mut lines = vec![terms_line()];
    for at in [1, 6, 11, 16, 21] {
        lines.extend(calls(at, 40));
    }
    lines.extend([reported(6, "a", 1, 20, 38), reported(11, "a", 1, 21, 37), reported(26, "a", 1, 22, 40)]);
    lines.extend(over(30));
    let windows = usage_windows(&lines, 0.05);
    let expected =
        UsageWindows { due: vec![20, 21, 22, 23], missing: vec![23], late: vec![22], off: vec![21] };
    assert_eq!(windows, expected);
}

/// A call dispatched just before a window's end that began just after it may be counted in either window.
#[test]
fn a_call_in_dispatch_at_a_windows_end_counts_in_either_window() {
    let begun = |at: u64| Line::UsageBegan { at, tenant: "acme".to_owned() };
    let off_windows = |first: u32, second: u32| {
        let lines = vec![
            terms_line(),
            begun(4 * SECOND),
            begun(5 * SECOND + 1_999),
            begun(6 * SECOND),
            reported(7, "a", 1, 20, first),
            reported(12, "a", 1, 21, second),
            Line::UsageOver { at: 30 * SECOND },
        ];
        usage_windows(&lines, 0.05).off
    };
    assert_eq!((off_windows(1, 2), off_windows(2, 1)), (vec![], vec![]));
    assert_eq!((off_windows(3, 1), off_windows(1, 0), off_windows(1, 3)), (vec![20], vec![21], vec![21]));
}
