//! Converts the lines about orders and reads into operations on the configuration register.
//!
//! An order is one operation however often it is sent. It takes effect between its first attempt and the first
//! response that accepts it; without such a response it may take effect at any later time or never. A refusal
//! and a confirmed read are separate operations that do not change the register.

use crate::{Line, OrderResponse, ReadResponse};
use std::collections::BTreeMap;

/// An order's conditions on the register. Example: `terms.admit(5)`.
#[derive(Debug)]
pub(crate) struct OrderTerms<'a> {
    pub name: &'a str,
    pub expected_version: Option<u64>,
    pub version: Option<u64>,
}

impl OrderTerms<'_> {
    /// Whether the order may be applied at this current version.
    pub fn admit(&self, current: u64) -> bool {
        self.expected_version.is_none_or(|expected| expected == current)
            && self.version.is_none_or(|version| version > current)
    }

    /// Whether the order can no longer be applied at this current version or a later one.
    pub fn is_obsolete_at(&self, current: u64) -> bool {
        self.expected_version.is_some_and(|expected| expected < current)
            || self.version.is_some_and(|version| version <= current)
    }
}

/// What an operation does. `order` is an index into [`RegisterHistory::orders`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step<'a> {
    /// An order is applied.
    Apply { order: usize },
    /// An order is refused because of the current version.
    Refuse { order: usize },
    /// A confirmed read shows a version and the order applied last.
    Read { version: u64, last_order: Option<&'a str> },
}

/// One operation with the time span in which it takes effect.
#[derive(Debug)]
pub(crate) struct Operation<'a> {
    pub begins_at: u64,
    /// `u64::MAX` if no response bounds it.
    pub ends_at: u64,
    /// Whether it must take effect; an order without an accepting response may never do.
    pub is_required: bool,
    pub step: Step<'a>,
}

/// All operations on the configuration register in a history.
#[derive(Debug, Default)]
pub(crate) struct RegisterHistory<'a> {
    pub orders: Vec<OrderTerms<'a>>,
    pub operations: Vec<Operation<'a>>,
}

/// One attempt of an order.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub node: &'a str,
    pub sent_at: u64,
    /// Time and kind of the response; `None` if there was none by the end of the history.
    pub response: Option<(u64, &'a OrderResponse)>,
}

/// An order with all its attempts by number.
#[derive(Debug)]
pub(crate) struct SentOrder<'a> {
    pub name: &'a str,
    pub expected_version: Option<u64>,
    pub version: Option<u64>,
    pub is_proper: bool,
    pub attempts: BTreeMap<u64, Attempt<'a>>,
}

impl SentOrder<'_> {
    /// When the first response that accepts it arrived.
    pub fn accepted_at(&self) -> Option<u64> {
        self.acceptances().map(|(at, _)| at).min()
    }

    /// Times and generations of the responses that accept it.
    pub fn acceptances(&self) -> impl Iterator<Item = (u64, u64)> {
        self.attempts.values().filter_map(|attempt| match attempt.response {
            Some((at, OrderResponse::Accepted { generation })) => Some((at, *generation)),
            _ => None,
        })
    }

    /// When the first attempt that was not refused was sent.
    fn may_apply_from(&self) -> Option<u64> {
        let is_refused =
            |attempt: &&Attempt| attempt.response.is_some_and(|(_, response)| response.is_refusal());
        self.attempts.values().filter(|attempt| !is_refused(attempt)).map(|attempt| attempt.sent_at).min()
    }
}

/// All orders in a history by name.
pub(crate) fn sent_orders(lines: &[Line]) -> BTreeMap<&str, SentOrder<'_>> {
    let mut orders: BTreeMap<&str, SentOrder> = BTreeMap::new();
    for line in lines {
        match line {
            Line::OrderSent { at, order, attempt, node, expected_version, version, is_proper } => {
                let sent = orders.entry(order).or_insert_with(|| SentOrder {
                    name: order,
                    expected_version: *expected_version,
                    version: *version,
                    is_proper: *is_proper,
                    attempts: BTreeMap::new(),
                });
                sent.attempts.insert(*attempt, Attempt { node, sent_at: *at, response: None });
            }
            Line::OrderAnswered { at, order, attempt, response } => {
                let sent = orders.get_mut(order.as_str());
                if let Some(attempt) = sent.and_then(|sent| sent.attempts.get_mut(attempt)) {
                    attempt.response.get_or_insert((*at, response));
                }
            }
            _ => {}
        }
    }
    orders
}

impl<'a> RegisterHistory<'a> {
    /// The operations recorded in a history.
    pub fn of(lines: &'a [Line]) -> RegisterHistory<'a> {
        let mut history = RegisterHistory::default();
        let held_since = first_held(lines);
        for (name, sent) in sent_orders(lines) {
            history.add_order(&sent, held_since.get(name).copied());
        }
        history.add_reads(lines);
        history.operations.sort_by_key(|operation| operation.begins_at);
        history
    }

    fn add_order(&mut self, sent: &SentOrder<'a>, held_since: Option<u64>) {
        let order = self.orders.len();
        let (expected_version, version) = (sent.expected_version, sent.version);
        self.orders.push(OrderTerms { name: sent.name, expected_version, version });
        if let Some(begins_at) = sent.may_apply_from() {
            // A node that uses an order exposes it to clients, so the order must have been applied by then.
            let shown_at = sent.accepted_at().into_iter().chain(held_since).min();
            self.operations.push(Operation {
                begins_at,
                ends_at: shown_at.unwrap_or(u64::MAX),
                is_required: shown_at.is_some(),
                step: Step::Apply { order },
            });
        }
        for attempt in sent.attempts.values() {
            let Some((ends_at, OrderResponse::RefusedVersion)) = attempt.response else { continue };
            let (begins_at, step) = (attempt.sent_at, Step::Refuse { order });
            self.operations.push(Operation { begins_at, ends_at, is_required: true, step });
        }
    }

    fn add_reads(&mut self, lines: &'a [Line]) {
        let mut sent: BTreeMap<u64, u64> = BTreeMap::new();
        for line in lines {
            match line {
                Line::ReadSent { at, read, .. } => {
                    sent.insert(*read, *at);
                }
                Line::ReadAnswered {
                    at,
                    read,
                    response: ReadResponse::Confirmed { version, last_order },
                } => {
                    let Some(begins_at) = sent.get(read).copied() else { continue };
                    let step = Step::Read { version: *version, last_order: last_order.as_deref() };
                    self.operations.push(Operation { begins_at, ends_at: *at, is_required: true, step });
                }
                _ => {}
            }
        }
    }
}

/// When each order was first in use at a node.
fn first_held(lines: &[Line]) -> BTreeMap<&str, u64> {
    let mut held_since: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        if let Line::ConfigurationHeld { at, last_order, .. } = line {
            let first = held_since.entry(last_order).or_insert(*at);
            *first = (*first).min(*at);
        }
    }
    held_since
}
