//! The reasons of a failed schema check, without the secrets that the document holds.

use crate::Reason;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;

/// Replaces a hidden value in a reason.
const HIDDEN_VALUE: &str = "the value";
/// Replaces a hidden field name in a reason.
const HIDDEN_NAME: &str = "a name";
/// The path of the group whose values and field names are always hidden.
const TENANTS: &str = "/tenants";

/// The reason for a failure of the schema check. Only numbers, booleans and nulls outside the tenants are quoted:
/// a string, list or object may hold keys that were put in the wrong place.
/// Example: `schema_reason(&failure).reason == "the value is not of type \"array\""`.
pub fn schema_reason(failure: &ValidationError<'_>) -> Reason {
    let path = failure.instance_path().to_string();
    let is_in_tenants = path == TENANTS || path.starts_with(&format!("{TENANTS}/"));
    let instance = failure.instance();
    let is_safe_to_quote = instance.is_number() || instance.is_boolean() || instance.is_null();
    let text = match failure.kind() {
        _ if !is_in_tenants && is_safe_to_quote => failure.to_string(),
        ValidationErrorKind::PropertyNames { error } => error.masked_with(HIDDEN_NAME).to_string(),
        ValidationErrorKind::AdditionalProperties { unexpected } if is_in_tenants => {
            format!("{} of the fields here are not known", unexpected.len())
        }
        _ => failure.masked_with(HIDDEN_VALUE).to_string(),
    };
    Reason::at(path, text)
}
