use super::*;
use crate::ReadResponse;
use crate::test_orders::{self, accepted, answered};

fn sent(order: &str, attempt: u64, at: u64, version: u64) -> Line {
    test_orders::sent(order, attempt, at, None, Some(version))
}

fn rules(lines: &[Line]) -> Vec<&'static str> {
    let mut violations = Vec::new();
    check_orders(lines, &CheckSettings::default(), &mut violations);
    violations.into_iter().map(|violation| violation.rule).collect()
}

fn accepted_order() -> Vec<Line> {
    vec![sent("a", 0, 10, 1), accepted("a", 0, 20, 1)]
}

#[test]
fn an_accepted_order_sent_again_is_accepted_or_left_unclear() {
    assert_eq!(rules(&accepted_order()), [""; 0]);
    for response in [OrderResponse::Accepted { generation: 1 }, OrderResponse::Unclear, OrderResponse::Lost] {
        let lines = [accepted_order(), vec![sent("a", 1, 30, 1), answered("a", 1, 40, response)]].concat();
        assert_eq!(rules(&lines), [""; 0]);
    }
    let refused =
        [accepted_order(), vec![sent("a", 1, 30, 1), answered("a", 1, 40, OrderResponse::RefusedVersion)]];
    assert_eq!(rules(&refused.concat()), ["a taken order is never refused"]);
    let other = [accepted_order(), vec![sent("a", 1, 30, 1), accepted("a", 1, 40, 2)]].concat();
    assert_eq!(rules(&other), ["one order, one generation"]);
}

#[test]
fn a_proper_order_refused_as_busy_is_found() {
    let busy = OrderResponse::RefusedInvalid { reason: "too many changes wait at this node".to_owned() };
    let lines = vec![sent("a", 0, 10, 1), answered("a", 0, 20, busy.clone())];
    assert_eq!(rules(&lines), ["proper orders are refused for their version alone"]);
    let Line::OrderSent { at, order, attempt, node, expected_version, version, .. } = sent("a", 0, 10, 1)
    else {
        panic!("the line is not OrderSent");
    };
    let improper = Line::OrderSent { at, order, attempt, node, expected_version, version, is_proper: false };
    assert_eq!(rules(&[improper.clone(), answered("a", 0, 20, busy)]), [""; 0]);
    assert_eq!(rules(&[improper, accepted("a", 0, 20, 1)]), ["improper orders are never accepted"]);
}

#[test]
fn two_orders_accepted_as_one_version_are_found() {
    let lines = [accepted_order(), vec![sent("b", 0, 12, 1), accepted("b", 0, 22, 2)]].concat();
    assert_eq!(rules(&lines), ["one order a version"]);
}

#[test]
fn two_configurations_of_one_generation_are_found() {
    let held = |node: &str, last_order: &str| Line::ConfigurationHeld {
        at: 5,
        node: node.into(),
        generation: 3,
        last_order: last_order.into(),
    };
    assert_eq!(rules(&[held("n1", "a"), held("n2", "a")]), [""; 0]);
    assert_eq!(rules(&[held("n1", "a"), held("n2", "b")]), ["one configuration a generation"]);
}

#[test]
fn a_late_response_is_found_unless_the_node_was_paused() {
    let late = vec![sent("a", 0, 10, 1), answered("a", 0, 6_600_000, OrderResponse::Unclear)];
    assert_eq!(rules(&late), ["operators are answered in time"]);
    assert_eq!(rules(&[sent("a", 0, 10, 1)]), ["operators are answered in time"]);
    let frozen = Line::NodeFrozen { at: 500_000, node: "n1".into(), until: 900_000 };
    assert_eq!(rules(&[late, vec![frozen]].concat()), [""; 0]);
    let read = Line::ReadSent { at: 10, read: 1, node: "n1".into() };
    let response = |at| Line::ReadAnswered { at, read: 1, response: ReadResponse::NoMajority };
    assert_eq!(rules(&[read.clone(), response(1_000_000)]), [""; 0]);
    assert_eq!(rules(&[read, response(7_000_000)]), ["operators are answered in time"]);
}

#[test]
fn a_node_without_a_majority_that_responds_late_is_found() {
    let reached = |at, reached| Line::ControlReached { at, node: "n1".into(), reached };
    let late = vec![sent("a", 0, 10, 1), answered("a", 0, 1_600_000, OrderResponse::Unclear)];
    assert_eq!(rules(&late), [""; 0]);
    let cut = [vec![reached(5, false)], late.clone()].concat();
    assert_eq!(rules(&cut), ["a node without a majority says so soon"]);
    let healed = [vec![reached(5, false), reached(1_400_000, true)], late.clone()].concat();
    assert_eq!(rules(&healed), [""; 0], "it reached a majority again within the time allowed");
    let cut_later = [vec![reached(20, false)], late].concat();
    assert_eq!(rules(&cut_later), [""; 0], "it reached a majority when the order was sent");
}
