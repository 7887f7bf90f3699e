//! Rules over single orders and their responses: an accepted order is never refused when it is sent again, a proper
//! order is refused only because of its version, a version belongs to one order, and responses arrive in time.

use crate::checkers::{CheckSettings, Violation, broken};
use crate::register_operations::{SentOrder, sent_orders};
use crate::{Line, OrderResponse};
use std::collections::BTreeMap;

/// Checks every rule over orders.
pub(crate) fn check_orders(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let orders = sent_orders(lines);
    for order in orders.values() {
        check_repeats(order, violations);
        check_reasons(order, violations);
        check_one_generation(order, violations);
    }
    check_versions(&orders, violations);
    check_held(lines, violations);
    check_response_times(lines, &orders, settings, violations);
}

/// An accepted order that is sent again is accepted again or gets no definite response.
fn check_repeats(order: &SentOrder, violations: &mut Vec<Violation>) {
    let Some(accepted_at) = order.accepted_at() else { return };
    for (number, attempt) in &order.attempts {
        let Some((_, response)) = attempt.response else { continue };
        if response.is_refusal() && attempt.sent_at >= accepted_at {
            let seen = format!(
                "{} was accepted at {accepted_at}; sent again as attempt {number} at {}, to {}: {response:?}",
                order.name, attempt.sent_at, attempt.node
            );
            broken(violations, "a taken order is never refused", seen);
        }
    }
}

/// An order is refused only because of the current version or because it is invalid in itself.
fn check_reasons(order: &SentOrder, violations: &mut Vec<Violation>) {
    for attempt in order.attempts.values() {
        match attempt.response {
            Some((at, OrderResponse::RefusedInvalid { reason })) if order.is_proper => {
                let seen = format!("{} was refused by {} at {at}: {reason}", order.name, attempt.node);
                broken(violations, "proper orders are refused for their version alone", seen);
            }
            Some((at, OrderResponse::Accepted { .. })) if !order.is_proper => {
                let seen = format!("{} was accepted by {} at {at}", order.name, attempt.node);
                broken(violations, "improper orders are never accepted", seen);
            }
            _ => {}
        }
    }
}

fn check_one_generation(order: &SentOrder, violations: &mut Vec<Violation>) {
    let mut generations: Vec<u64> = order.acceptances().map(|(_, generation)| generation).collect();
    generations.sort_unstable();
    generations.dedup();
    if generations.len() > 1 {
        let seen = format!("{} was accepted as {generations:?}", order.name);
        broken(violations, "one order, one generation", seen);
    }
}

/// No two orders are accepted with the same operator version.
fn check_versions(orders: &BTreeMap<&str, SentOrder>, violations: &mut Vec<Violation>) {
    let mut accepted: BTreeMap<u64, &str> = BTreeMap::new();
    for order in orders.values().filter(|order| order.accepted_at().is_some()) {
        let Some(version) = order.version else { continue };
        if let Some(first) = accepted.insert(version, order.name) {
            let seen = format!("{first} and {} were both accepted as version {version}", order.name);
            broken(violations, "one order a version", seen);
        }
    }
}

/// All nodes that use a generation use the same configuration.
fn check_held(lines: &[Line], violations: &mut Vec<Violation>) {
    let mut held: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for line in lines {
        let Line::ConfigurationHeld { node, generation, last_order, .. } = line else { continue };
        let (first_node, first_order) = *held.entry(*generation).or_insert((node, last_order));
        if first_order != last_order {
            let seen = format!(
                "generation {generation} is by {first_order} at {first_node}, by {last_order} at {node}"
            );
            broken(violations, "one configuration a generation", seen);
        }
    }
}

/// An attempt of an order, or a read, with the time of its response.
struct Exchange<'a> {
    what: String,
    node: &'a str,
    sent_at: u64,
    ended_at: u64,
}

/// A node that is not paused responds in time. A node that reaches no majority reports this soon, so that the
/// operator can use another node.
fn check_response_times(
    lines: &[Line],
    orders: &BTreeMap<&str, SentOrder>,
    settings: &CheckSettings,
    violations: &mut Vec<Violation>,
) {
    let frozen = frozen_spans(lines);
    let without_majority = spans_without_majority(lines);
    let mut exchanges = order_exchanges(orders);
    exchanges.extend(read_exchanges(lines));
    exchanges.retain(|exchange| {
        !spans_at(&frozen, exchange.node)
            .iter()
            .any(|(from, until)| *from <= exchange.ended_at && exchange.sent_at <= *until)
    });
    let all: Vec<&Exchange> = exchanges.iter().collect();
    report_late(&all, settings.order_answered_within, "operators are answered in time", violations);
    // Exchanges whose node reached no majority for the whole time allowed.
    let was_without_majority = |exchange: &&Exchange| {
        let due_at = exchange.sent_at + settings.inability_reported_within;
        let spans = spans_at(&without_majority, exchange.node);
        spans.iter().any(|(from, until)| *from <= exchange.sent_at && due_at <= *until)
    };
    let reported: Vec<&Exchange> = exchanges.iter().filter(was_without_majority).collect();
    report_late(
        &reported,
        settings.inability_reported_within,
        "a node without a majority says so soon",
        violations,
    );
}

/// Reports the exchanges that took longer than `within`.
fn report_late(exchanges: &[&Exchange], within: u64, rule: &'static str, violations: &mut Vec<Violation>) {
    let is_late = |exchange: &&&Exchange| exchange.ended_at > exchange.sent_at.saturating_add(within);
    let late: Vec<&&Exchange> = exchanges.iter().filter(is_late).collect();
    let Some(first) = late.iter().min_by_key(|exchange| exchange.sent_at) else { return };
    let answered = match first.ended_at {
        u64::MAX => "never answered".to_owned(),
        ended_at => format!("answered after {} ms", (ended_at - first.sent_at) / 1_000),
    };
    let seen = format!(
        "{} of {} had no answer after {} ms; the first was {} sent to {} at {}, {answered}",
        late.len(),
        exchanges.len(),
        within / 1_000,
        first.what,
        first.node,
        first.sent_at,
    );
    broken(violations, rule, seen);
}

fn spans_at<'a>(spans: &'a BTreeMap<&str, Vec<(u64, u64)>>, node: &str) -> &'a [(u64, u64)] {
    spans.get(node).map_or(&[], Vec::as_slice)
}

/// When each node could reach no majority of the voting disks.
fn spans_without_majority(lines: &[Line]) -> BTreeMap<&str, Vec<(u64, u64)>> {
    let mut spans: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for line in lines {
        let Line::ControlReached { at, node, reached } = line else { continue };
        let node_spans = spans.entry(node).or_default();
        match reached {
            false => node_spans.push((*at, u64::MAX)),
            true => node_spans.iter_mut().rev().take(1).for_each(|(_, until)| *until = *at),
        }
    }
    spans
}

fn order_exchanges<'a>(orders: &BTreeMap<&str, SentOrder<'a>>) -> Vec<Exchange<'a>> {
    let mut exchanges = Vec::new();
    for order in orders.values() {
        for (number, attempt) in &order.attempts {
            let ended_at = attempt.response.map_or(u64::MAX, |(at, _)| at);
            let what = format!("attempt {number} of {}", order.name);
            exchanges.push(Exchange { what, node: attempt.node, sent_at: attempt.sent_at, ended_at });
        }
    }
    exchanges
}

fn read_exchanges(lines: &[Line]) -> Vec<Exchange<'_>> {
    let mut reads: BTreeMap<u64, Exchange> = BTreeMap::new();
    for line in lines {
        match line {
            Line::ReadSent { at, read, node } => {
                let what = format!("read {read}");
                reads.insert(*read, Exchange { what, node, sent_at: *at, ended_at: u64::MAX });
            }
            Line::ReadAnswered { at, read, .. } => {
                if let Some(exchange) = reads.get_mut(read) {
                    exchange.ended_at = *at;
                }
            }
            _ => {}
        }
    }
    reads.into_values().collect()
}

fn frozen_spans(lines: &[Line]) -> BTreeMap<&str, Vec<(u64, u64)>> {
    let mut spans: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for line in lines {
        if let Line::NodeFrozen { at, node, until } = line {
            spans.entry(node).or_default().push((*at, *until));
        }
    }
    spans
}

#[cfg(test)]
mod tests;
