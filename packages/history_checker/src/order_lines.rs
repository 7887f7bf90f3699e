//! The responses to operators' orders and reads, as history lines carry them.

use serde::{Deserialize, Serialize};

/// How one attempt of an order ended. Example: `OrderResponse::Accepted { generation: 5 }`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[serde(rename = "OrderAnswer")]
pub enum OrderResponse {
    /// Accepted with this generation.
    Accepted { generation: u64 },
    /// Refused because of the current version.
    RefusedVersion,
    /// Refused for any other reason.
    RefusedInvalid { reason: String },
    /// The node reported that the outcome is unknown.
    Unclear,
    /// The response was lost, or the node ended before it responded.
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
    /// The current version and the order applied last.
    Confirmed { version: u64, last_order: Option<String> },
    /// The node reported that no majority of the disks responds.
    NoMajority,
    /// The response was lost, or the node ended before it responded.
    Lost,
}
