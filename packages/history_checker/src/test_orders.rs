//! Builders of lines for operators' orders and their responses, for this package's tests.

use crate::{Line, OrderResponse};

/// A proper order sent to the node `n1`.
pub(crate) fn sent(
    order: &str,
    attempt: u64,
    at: u64,
    expected_version: Option<u64>,
    version: Option<u64>,
) -> Line {
    let (order, node) = (order.to_owned(), "n1".to_owned());
    Line::OrderSent { at, order, attempt, node, expected_version, version, is_proper: true }
}

pub(crate) fn answered(order: &str, attempt: u64, at: u64, response: OrderResponse) -> Line {
    Line::OrderAnswered { at, order: order.to_owned(), attempt, response }
}

pub(crate) fn accepted(order: &str, attempt: u64, at: u64, generation: u64) -> Line {
    answered(order, attempt, at, OrderResponse::Accepted { generation })
}
