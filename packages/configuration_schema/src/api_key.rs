//! A tenant's API key: a secret that is compared and stored, and never printed.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

/// An API key. Its `Debug` form hides it. Example: `format!("{:?}", ApiKey::new("k1")) == "ApiKey(..)"`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// A key as its text. Example: `ApiKey::new("k1").as_str() == "k1"`.
    pub fn new(key: impl Into<String>) -> ApiKey {
        ApiKey(key.into())
    }

    /// The text, for comparing only: it belongs in no log, metric, trace or error.
    /// Example: `key.as_str() == sent`.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A key is found by its text. Example: `keys.get("k1")` in a map by keys.
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
