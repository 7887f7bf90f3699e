use super::*;
use crate::test_orders::{accepted, answered, sent};
use crate::{OrderResponse, ReadResponse};

fn order(name: &str, attempt: u64, at: u64, expected: u64, version: u64) -> Line {
    sent(name, attempt, at, Some(expected), Some(version))
}

fn read(read: u64, from: u64, until: u64, version: u64, last_order: Option<&str>) -> [Line; 2] {
    let response = ReadResponse::Confirmed { version, last_order: last_order.map(str::to_owned) };
    [Line::ReadSent { at: from, read, node: "n1".into() }, Line::ReadAnswered { at: until, read, response }]
}

/// Order `a` replaces version 0 by 1 between 10 and 20.
fn accepted_a() -> Vec<Line> {
    vec![order("a", 0, 10, 0, 1), accepted("a", 0, 20, 1)]
}

fn violations(lines: Vec<Line>) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_register(&lines, &mut violations);
    violations
}

fn is_sound(lines: Vec<Line>) -> bool {
    violations(lines).is_empty()
}

#[test]
fn sound_histories_pass() {
    assert!(is_sound(Vec::new()));
    assert!(is_sound(accepted_a()));
    let mut lines = accepted_a();
    lines.extend(read(1, 5, 12, 0, None));
    lines.extend(read(2, 5, 12, 1, Some("a")));
    lines.extend([order("b", 0, 15, 0, 1), answered("b", 0, 30, OrderResponse::RefusedVersion)]);
    lines.extend([order("a", 1, 40, 0, 1), accepted("a", 1, 50, 1)]);
    lines.extend(read(3, 60, 70, 1, Some("a")));
    assert!(is_sound(lines));
}

#[test]
fn an_order_of_unknown_outcome_takes_effect_late_or_never() {
    let lost = [order("u", 0, 30, 1, 2), answered("u", 0, 40, OrderResponse::Unclear)];
    let with = |more: Vec<Line>| [accepted_a(), lost.to_vec(), more].concat();
    assert!(is_sound(with(Vec::new())));
    assert!(is_sound(with(read(1, 90, 99, 1, Some("a")).to_vec())));
    assert!(is_sound(with(read(1, 90, 99, 2, Some("u")).to_vec())));
    // Not applied at the first read, applied at the second; in the opposite order it would have been undone.
    let late = [read(1, 50, 60, 1, Some("a")), read(2, 70, 80, 2, Some("u"))].concat();
    assert!(is_sound(with(late)));
    let undone = [read(1, 50, 60, 2, Some("u")), read(2, 70, 80, 1, Some("a"))].concat();
    assert!(!is_sound(with(undone)));
    // No order takes effect before it is sent.
    assert!(!is_sound(with(read(1, 22, 28, 2, Some("u")).to_vec())));
    // Another order was applied instead: only one of the two can have been applied to version 1.
    let replaced = vec![order("v", 0, 50, 1, 2), accepted("v", 0, 60, 2)];
    assert!(is_sound(with(replaced.clone())));
    let both = [replaced, read(1, 70, 80, 2, Some("u")).to_vec()].concat();
    assert!(!is_sound(with(both)));
}

#[test]
fn two_orders_accepted_as_one_version_are_found() {
    let lines = [accepted_a(), vec![order("b", 0, 11, 0, 1), accepted("b", 0, 19, 1)]].concat();
    assert_eq!(violations(lines)[0].rule, RULE);
}

#[test]
fn a_stale_read_is_found() {
    let lines = [accepted_a(), read(1, 21, 25, 0, None).to_vec()].concat();
    let found = violations(lines);
    assert_eq!(found.len(), 1);
    assert!(found[0].seen.contains("a read showed 0"), "{found:?}");
}

#[test]
fn a_read_of_an_order_never_sent_is_found() {
    assert!(!is_sound([accepted_a(), read(1, 21, 25, 7, Some("ghost")).to_vec()].concat()));
    assert!(!is_sound([accepted_a(), read(1, 21, 25, 1, Some("ghost")).to_vec()].concat()));
}

#[test]
fn a_refused_repeat_is_found() {
    let repeat = vec![order("a", 1, 30, 0, 1), answered("a", 1, 40, OrderResponse::RefusedVersion)];
    assert!(!is_sound([accepted_a(), repeat].concat()));
    // The response was lost, a read shows that the order was applied, and the repeat is refused.
    let lost = vec![order("a", 0, 10, 0, 1), answered("a", 0, 20, OrderResponse::Lost)];
    let repeat = vec![order("a", 1, 50, 0, 1), answered("a", 1, 60, OrderResponse::RefusedVersion)];
    assert!(!is_sound([lost, read(1, 30, 40, 1, Some("a")).to_vec(), repeat].concat()));
}

#[test]
fn a_lost_update_is_found() {
    // `b` was accepted on top of `a`, and later the register holds `a` again.
    let lines = [accepted_a(), vec![order("b", 0, 30, 1, 2), accepted("b", 0, 40, 2)]].concat();
    assert!(is_sound(lines.clone()));
    assert!(!is_sound([lines.clone(), read(1, 50, 60, 1, Some("a")).to_vec()].concat()));
    let after = vec![order("c", 0, 50, 1, 3), accepted("c", 0, 60, 3)];
    assert!(!is_sound([lines, after].concat()));
}

#[test]
fn a_refusal_of_an_applicable_version_is_found() {
    let refused = |expected, version| {
        vec![order("b", 0, 30, expected, version), answered("b", 0, 40, OrderResponse::RefusedVersion)]
    };
    assert!(!is_sound([accepted_a(), refused(1, 2)].concat()));
    assert!(is_sound([accepted_a(), refused(0, 1)].concat()));
    assert!(is_sound([accepted_a(), refused(1, 1)].concat()), "a version has to rise");
}

#[test]
fn an_order_in_use_at_a_node_counts_as_applied() {
    let held = Line::ConfigurationHeld { at: 45, node: "n2".into(), generation: 2, last_order: "u".into() };
    let unclear = vec![order("u", 0, 30, 1, 2), answered("u", 0, 40, OrderResponse::Unclear), held];
    let lines = [accepted_a(), unclear].concat();
    assert!(is_sound(lines.clone()));
    let lost = read(1, 50, 60, 1, Some("a")).to_vec();
    assert!(!is_sound([lines, lost].concat()), "the node used an order that no majority had");
}

#[test]
fn long_histories_with_many_unknown_orders_are_decided() {
    let mut lines = Vec::new();
    for version in 1..=300u64 {
        let at = version * 100;
        for operator in 0..4 {
            let name = format!("o{version}-{operator}");
            lines.push(order(&name, 0, at, version - 1, version));
            lines.push(match operator {
                0 => accepted(&name, 0, at + 50, version),
                1 => answered(&name, 0, at + 50, OrderResponse::RefusedVersion),
                _ => answered(&name, 0, at + 50, OrderResponse::Lost),
            });
        }
    }
    assert!(is_sound(lines.clone()));
    lines.extend(read(1, 40_000, 40_001, 299, Some("o299-0")));
    assert!(!is_sound(lines));
}

/// 60 concurrent orders that state only their version; many are accepted, in the order of their versions.
#[test]
fn many_concurrent_orders_are_decided() {
    let spike = |is_any_late: bool| {
        let mut lines = Vec::new();
        for number in 1..=60u64 {
            lines.push(sent(&format!("c{number}"), 0, 1, None, Some(number)));
        }
        for number in (1..=60u64).filter(|number| number % 3 != 0) {
            lines.push(accepted(&format!("c{number}"), 0, 100, number));
        }
        // The late read shows an order that a higher version had replaced long before.
        lines.extend(read(
            1,
            200,
            210,
            if is_any_late { 30 } else { 60 },
            is_any_late.then_some("c30").or(Some("c60")),
        ));
        lines
    };
    assert!(is_sound(spike(false)));
    let found = violations(spike(true));
    assert!(!found[0].seen.contains("not decided"), "{found:?}");
}

#[test]
fn a_search_over_its_limit_is_reported_as_undecided() {
    // Eight unconditional orders of unknown outcome, and a read that none of them explains.
    let mut lines = Vec::new();
    for number in 0..8 {
        lines.push(sent(&format!("u{number}"), 0, 1, None, None));
    }
    lines.extend(read(1, 10, 20, 5, None));
    let mut found = Vec::new();
    check_within(&lines, 50, &mut found);
    assert!(found[0].seen.starts_with("not decided after 50"), "{found:?}");
}
