//! What the schema has against a document, told without the secrets that the document holds.

use crate::Reason;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;

/// What stands in a reason in place of a value that is not told.
const HIDDEN_VALUE: &str = "the value";
const HIDDEN_NAME: &str = "a name";
/// The group whose values and field names are never told.
const TENANTS: &str = "/tenants";

/// The reason that a failed check of the schema makes. A value is only told if it is a number, or none, outside
/// the tenants: a text, list or object may hold keys that were put in the wrong place.
/// Example: `schema_reason(&failure).reason == "the value is not of type \"array\""`.
pub fn schema_reason(failure: &ValidationError<'_>) -> Reason {
    let path = failure.instance_path().to_string();
    let is_of_tenants = path == TENANTS || path.starts_with(&format!("{TENANTS}/"));
    let instance = failure.instance();
    let is_plain = instance.is_number() || instance.is_boolean() || instance.is_null();
    let text = match failure.kind() {
        _ if !is_of_tenants && is_plain => failure.to_string(),
        ValidationErrorKind::PropertyNames { error } => error.masked_with(HIDDEN_NAME).to_string(),
        ValidationErrorKind::AdditionalProperties { unexpected } if is_of_tenants => {
            format!("{} of the fields here are not known", unexpected.len())
        }
        _ => failure.masked_with(HIDDEN_VALUE).to_string(),
    };
    Reason::at(path, text)
}
