//! Data that an operator adds to a document for its own use.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// Any JSON, kept as sent and not interpreted. It may hold secrets, so its `Debug` form hides it.
/// Example: `serde_json::from_value::<Annotations>(json!({ "note": 1 }))`.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Annotations(Value);

impl fmt::Debug for Annotations {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Annotations(..)")
    }
}
