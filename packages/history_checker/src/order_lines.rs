//! What operators saw of their orders: the answers that history lines carry.

use serde::{Deserialize, Serialize};

/// How one sending of an order ended. Example: `OrderResponse::Accepted { generation: 5 }`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[serde(rename = "OrderAnswer")]
pub enum OrderResponse {
    /// It stands under this generation.
    Accepted { generation: u64 },
    /// Refused because of the version that stands.
    RefusedVersion,
    /// Refused for any other reason.
    RefusedInvalid { reason: String },
    /// The node said that it cannot tell.
    Unclear,
    /// The node answered and the answer was lost, or the node ended before it answered.
    Lost,
}

impl OrderResponse {
    /// Whether the node refused the order. Example: `OrderResponse::RefusedVersion.is_refusal()`.
    pub fn is_refusal(&self) -> bool {
        matches!(self, OrderResponse::RefusedVersion | OrderResponse::RefusedInvalid { .. })
    }
}

/// What a confirmed read of the configuration showed. Example: `ReadResponse::NoMajority`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[serde(rename = "ReadAnswer")]
pub enum ReadResponse {
    /// The version that stands, and the order that was applied last.
    Confirmed { version: u64, last_order: Option<String> },
    /// The node said that no majority answers.
    NoMajority,
    /// The answer was lost, or the node ended before it answered.
    Lost,
}
