//! Changes of the configuration, and the stored configuration that they apply to.

use crate::{Configuration, DOCUMENT_LIMIT, Reason, check};
use serde::{Deserialize, Serialize};
use serde_json::error::Category;
use serde_json::{Value, json};
use std::fmt;

/// How many accepted changes are remembered with the configuration.
const REMEMBERED_CHANGES: usize = 256;
/// The maximum length of a change id, in bytes.
const CHANGE_ID_LIMIT: usize = 128;
/// The reason for an unknown outcome: the change may have been accepted and no longer be remembered.
const TOO_OLD: &str = "too old to tell: it may have been taken and forgotten since; read the configuration";
/// How the error texts begin that quote the name of a field but no value.
const FIELD_FAILURES: [&str; 3] = ["unknown field", "missing field", "duplicate field"];
/// The path of the reason that reports a version mismatch rather than a fault in the change.
pub const EXPECTED_VERSION: &str = "/expected_version";

/// One line of the operators' change stream.
///
/// Its `Debug` form leaves out the documents, which hold keys.
/// Example: `{"change_id": "a1", "expected_generation": 4, "partial": {"lanes": {"old": null}}}`.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Chosen by the operator. A change that is sent again under the same id applies only once and gets the same
    /// outcome.
    pub change_id: String,
    /// If given, the change applies only to this generation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_generation: Option<u64>,
    /// If given, the change applies only to this operator's version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_version: Option<u64>,
    /// The operator's version of the resulting configuration; it has to rise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// A whole document that replaces the stored one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<Value>,
    /// A JSON merge patch (RFC 7396: null removes).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partial: Option<Value>,
    /// Items that are replaced as a whole or, where null, removed: `{"lanes": {"new": {..}, "old": null}}`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub items: Option<Value>,
}

/// An accepted change that is remembered to recognise a repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RememberedChange {
    change_id: String,
    generation: u64,
    /// The operator's version that the change changed_items, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
}

/// The content of the configuration's register: the document, its generation and the recent changes.
///
/// Its `Debug` form leaves out the document, which holds keys.
/// Example: `StoredConfiguration::decode(&stored.encode()) == Some(stored)`.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Zero before the first accepted change; each accepted change adds one.
    pub generation: u64,
    /// The operator's version of the document; zero if none was ever changed_items.
    #[serde(default)]
    pub version: u64,
    /// The whole document.
    pub document: Value,
    recent: Vec<RememberedChange>,
    /// The highest version of an accepted change that is no longer in `recent`.
    #[serde(default)]
    forgotten_version: u64,
}

/// The outcome of a change. Example: `ChangeOutcome::Accepted { generation: 5, repeated: false }`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is in force since this generation; `repeated` if its id had been accepted before.
    Accepted { generation: u64, repeated: bool },
    /// Nothing was changed; all reasons that were found are given.
    Refused { generation: u64, reasons: Vec<Reason> },
    /// The stored state could not be reached, its response was lost, or the change is too old to be remembered.
    /// The operator may send the change again under the same id.
    Unknown { reason: String },
}

impl ChangeOutcome {
    /// The outcome line of the change stream.
    /// Example: `{"change_id":"a1","outcome":"accepted","generation":5,"repeated":false}`.
    pub fn line(&self, change_id: &str) -> Value {
        match self {
            ChangeOutcome::Accepted { generation, repeated } => json!({
                "change_id": change_id, "outcome": "accepted", "generation": generation, "repeated": repeated
            }),
            ChangeOutcome::Refused { generation, reasons } => json!({
                "change_id": change_id, "outcome": "refused", "generation": generation, "reasons": reasons
            }),
            ChangeOutcome::Unknown { reason } => {
                json!({ "change_id": change_id, "outcome": "unknown", "reason": reason })
            }
        }
    }
}

/// Placeholder for a document in `Debug` forms.
#[derive(Debug)]
struct Document;

impl fmt::Debug for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hidden = |document: &Option<Value>| document.as_ref().map(|_| Document);
        formatter
            .debug_struct("Change")
            .field("change_id", &self.change_id)
            .field("expected_generation", &self.expected_generation)
            .field("expected_version", &self.expected_version)
            .field("version", &self.version)
            .field("whole", &hidden(&self.whole))
            .field("partial", &hidden(&self.partial))
            .field("items", &hidden(&self.items))
            .finish()
    }
}

impl fmt::Debug for StoredConfiguration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoredConfiguration")
            .field("generation", &self.generation)
            .field("version", &self.version)
            .field("document", &Document)
            .field("recent", &self.recent)
            .field("forgotten_version", &self.forgotten_version)
            .finish()
    }
}

impl Change {
    /// Reads one line of the change stream. The error quotes no value of the line: a document that was sent in
    /// several lines has keys on lines of their own.
    /// Example: `Change::read(br#""k1""#) == Err("is no object".to_owned())`.
    pub fn read(line: &[u8]) -> Result<Change, String> {
        // Serde would also accept a list of the fields' values as a change.
        if line.trim_ascii_start().first() != Some(&b'{') {
            return Err("is no object".to_owned());
        }
        serde_json::from_slice(line).map_err(|failure| {
            let text = failure.to_string();
            let quotes_field_name_only = FIELD_FAILURES.iter().any(|prefix| text.starts_with(prefix));
            match failure.classify() {
                Category::Data if !quotes_field_name_only => "a field is of another type".to_owned(),
                _ => text,
            }
        })
    }

    /// Whether exactly one of `whole`, `partial` and `items` is given.
    fn names_one_document(&self) -> bool {
        [&self.whole, &self.partial, &self.items].into_iter().flatten().count() == 1
    }
}

impl StoredConfiguration {
    /// The configuration before any change. Example: `StoredConfiguration::empty().generation == 0`.
    pub fn empty() -> StoredConfiguration {
        StoredConfiguration {
            generation: 0,
            version: 0,
            document: json!({ "allowances": {}, "functions": {}, "lanes": {} }),
            recent: Vec::new(),
            forgotten_version: 0,
        }
    }

    /// Encodes the register's value. Example: `stored.encode().len()`.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes the register's value; an empty value is the empty configuration.
    /// Example: `StoredConfiguration::decode(b"").unwrap().generation == 0`.
    pub fn decode(stored_bytes: &[u8]) -> Option<StoredConfiguration> {
        if stored_bytes.is_empty() {
            return Some(StoredConfiguration::empty());
        }
        serde_json::from_slice(stored_bytes).ok()
    }

    /// Checks the document. Example: `stored.validate().unwrap().routes.len()`.
    pub fn validate(&self) -> Result<Configuration, Vec<Reason>> {
        check(&self.document)
    }

    /// The document without another check: it was checked before it was stored.
    /// Example: `stored.trusted().unwrap().routes.len()`.
    pub fn trusted(&self) -> Option<Configuration> {
        Configuration::deserialize(&self.document).ok()
    }

    /// Applies a change. On `Accepted` without repetition `self` is the next value to write; otherwise `self` is
    /// unchanged.
    ///
    /// An accepted change that names a `version` is never refused when it is sent again: it is accepted again
    /// while it is remembered, and `Unknown` once it may have been forgotten. A change without a version is
    /// recognised only while it is among the last 256. After that it counts as a new change: it is refused if its
    /// `expected_generation` is no longer current, and otherwise applies a second time.
    /// Example: `stored.apply(&change) == ChangeOutcome::Accepted { generation: 1, repeated: false }`.
    pub fn apply(&mut self, change: &Change) -> ChangeOutcome {
        if let Some(known) = self.recent.iter().find(|known| known.change_id == change.change_id) {
            return ChangeOutcome::Accepted { generation: known.generation, repeated: true };
        }
        let refused = |reasons: Vec<Reason>| ChangeOutcome::Refused { generation: self.generation, reasons };
        let mut reasons = Vec::new();
        let has_valid_id = (1..=CHANGE_ID_LIMIT).contains(&change.change_id.len());
        if !has_valid_id {
            reasons.push(Reason::at("/change_id", format!("must have 1 to {CHANGE_ID_LIMIT} bytes")));
        }
        // A malformed change can never have been accepted, so it is refused whatever its version is.
        if has_valid_id && change.names_one_document() && self.may_be_forgotten(change) {
            return ChangeOutcome::Unknown { reason: TOO_OLD.to_owned() };
        }
        if let Some(expected_generation) = change.expected_generation
            && expected_generation != self.generation
        {
            let reason = format!("generation {} stands, not {expected_generation}", self.generation);
            reasons.push(Reason::at("/expected_generation", reason));
        }
        if let Some(expected_version) = change.expected_version
            && expected_version != self.version
        {
            let reason = format!("version {} stands, not {expected_version}", self.version);
            reasons.push(Reason::at(EXPECTED_VERSION, reason));
        }
        if let Some(version) = change.version
            && version <= self.version
        {
            let reason = format!("version {version} is not above {}", self.version);
            reasons.push(Reason::at("/version", reason));
        }
        let next_document = match (&change.whole, &change.partial, &change.items) {
            (Some(whole), None, None) => whole.clone(),
            (None, Some(partial), None) => merged(&self.document, partial),
            (None, None, Some(items)) => with_items(&self.document, items),
            _ => {
                reasons.push(Reason::at("", "name one of whole, partial and items"));
                return refused(reasons);
            }
        };
        if !reasons.is_empty() {
            return refused(reasons);
        }
        if next_document.to_string().len() > DOCUMENT_LIMIT {
            return refused(vec![Reason::at("", format!("the document is over {DOCUMENT_LIMIT} bytes"))]);
        }
        if let Err(check_reasons) = check(&next_document) {
            return refused(check_reasons);
        }
        self.generation += 1;
        self.version = change.version.unwrap_or(self.version);
        self.document = next_document;
        self.remember(change);
        ChangeOutcome::Accepted { generation: self.generation, repeated: false }
    }

    /// Whether a change that is not remembered may have been accepted. Versions rise, so every accepted change
    /// above the highest forgotten version is still remembered.
    fn may_be_forgotten(&self, change: &Change) -> bool {
        change.version.is_some_and(|version| version <= self.forgotten_version)
    }

    /// Remembers a change that was just accepted, and forgets the oldest ones beyond the limit.
    fn remember(&mut self, change: &Change) {
        self.recent.push(RememberedChange {
            change_id: change.change_id.clone(),
            generation: self.generation,
            version: change.version,
        });
        let excess_count = self.recent.len().saturating_sub(REMEMBERED_CHANGES);
        let forgotten_versions = self.recent.drain(..excess_count).filter_map(|known| known.version);
        self.forgotten_version = forgotten_versions.fold(self.forgotten_version, u64::max);
    }
}

/// The document with the given items replaced as a whole, and those that are null removed. Removing items from a
/// group that does not exist does not create the group.
fn with_items(current: &Value, items: &Value) -> Value {
    let Value::Object(groups) = items else { return items.clone() };
    let mut document = current.clone();
    for (group, changed_items) in groups {
        let Some(fields) = document.as_object_mut() else { return document };
        let Value::Object(changed_items) = changed_items else {
            fields.insert(group.clone(), changed_items.clone());
            continue;
        };
        let removes_only = !changed_items.is_empty() && changed_items.values().all(Value::is_null);
        if removes_only && !fields.contains_key(group) {
            continue;
        }
        let group_items = fields.entry(group.clone()).or_insert_with(|| json!({}));
        let Some(group_items) = group_items.as_object_mut() else { continue };
        for (name, item) in changed_items {
            match item.is_null() {
                true => group_items.remove(name),
                false => group_items.insert(name.clone(), item.clone()),
            };
        }
    }
    document
}

/// JSON merge patch (RFC 7396).
fn merged(current: &Value, partial: &Value) -> Value {
    let Value::Object(partial_fields) = partial else { return partial.clone() };
    let mut merged_fields = current.as_object().cloned().unwrap_or_default();
    for (name, partial_value) in partial_fields {
        if partial_value.is_null() {
            merged_fields.remove(name);
            continue;
        }
        let current_value = merged_fields.get(name).cloned().unwrap_or(Value::Null);
        merged_fields.insert(name.clone(), merged(&current_value, partial_value));
    }
    Value::Object(merged_fields)
}

#[cfg(test)]
mod tests;
