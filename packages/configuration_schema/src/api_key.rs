//! A tenant's API key: a secret that is compared and stored but never printed.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

/// An API key. Its `Debug` form hides it. Example: `format!("{:?}", ApiKey::new("k1")) == "ApiKey(..)"`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// A key with this text. Example: `ApiKey::new("k1").as_str() == "k1"`.
    pub fn new(key: impl Into<String>) -> ApiKey {
        ApiKey(key.into())
    }

    /// The text, for comparison only: it must not appear in a log, metric, trace or error.
    /// Example: `key.as_str() == sent`.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Allows look-ups by text. Example: `keys.get("k1")` in a map with `ApiKey` keys.
impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}
