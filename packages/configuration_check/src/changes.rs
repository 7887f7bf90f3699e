use crate::{Configuration, DOCUMENT_LIMIT, Reason, check};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// How many accepted change ids are remembered with the configuration.
const REMEMBERED_CHANGES: usize = 256;
const CHANGE_ID_LIMIT: usize = 128;

/// One line of the operators' change stream.
///
/// Example: `{"change_id": "a1", "expected_generation": 4, "partial": {"lanes": {"old": null}}}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's own name for it: sent again, it gets the same answer and applies once.
    pub change_id: String,
    /// If given, the change holds only against this generation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_generation: Option<u64>,
    /// A whole document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<Value>,
    /// A part that is merged in (RFC 7396: null removes).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partial: Option<Value>,
}

/// An accepted change, as remembered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RememberedChange {
    change_id: String,
    generation: u64,
}

/// What stands in the configuration's register: the document, its generation, the recent changes.
///
/// Example: `StoredConfiguration::decode(&stored.encode()) == Some(stored)`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Zero before any change was accepted; each accepted change adds one.
    pub generation: u64,
    /// The whole document.
    pub document: Value,
    recent: Vec<RememberedChange>,
}

/// What became of a change. Example: `ChangeOutcome::Accepted { generation: 5, repeated: false }`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// It stands under this generation; `repeated` when its id had been accepted before.
    Accepted { generation: u64, repeated: bool },
    /// It changed nothing; the reasons are all that were found.
    Refused { generation: u64, reasons: Vec<Reason> },
    /// The state could not be reached or its answer was lost: ask again under the same id.
    Unknown { reason: String },
}

impl ChangeOutcome {
    /// The outcome line of the change stream.
    /// Example: `{"change_id":"a1","outcome":"accepted","generation":5,"repeated":false}`.
    pub fn line(&self, changeId: &str) -> Value {
        match self {
            ChangeOutcome::Accepted { generation, repeated } => json!({
                "change_id": changeId, "outcome": "accepted", "generation": generation, "repeated": repeated
            }),
            ChangeOutcome::Refused { generation, reasons } => json!({
                "change_id": changeId, "outcome": "refused", "generation": generation, "reasons": reasons
            }),
            ChangeOutcome::Unknown { reason } => {
                json!({ "change_id": changeId, "outcome": "unknown", "reason": reason })
            }
        }
    }
}

impl StoredConfiguration {
    /// What stands before any change. Example: `StoredConfiguration::empty().generation == 0`.
    pub fn empty() -> StoredConfiguration {
        StoredConfiguration {
            generation: 0,
            document: json!({ "allowances": {}, "functions": {}, "lanes": {} }),
            recent: Vec::new(),
        }
    }

    /// The register's bytes. Example: `stored.encode().len()`.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads the register's bytes; no bytes are the empty configuration.
    /// Example: `StoredConfiguration::decode(b"").unwrap().generation == 0`.
    pub fn decode(storedBytes: &[u8]) -> Option<StoredConfiguration> {
        if storedBytes.is_empty() {
            return Some(StoredConfiguration::empty());
        }
        serde_json::from_slice(storedBytes).ok()
    }

    /// The checked document. Example: `stored.checked().unwrap().lanes.len()`.
    pub fn checked(&self) -> Result<Configuration, Vec<Reason>> {
        check(&self.document)
    }

    /// The document as it was checked before it was stored, without checking it again.
    /// Example: `stored.trusted().unwrap().lanes.len()`.
    pub fn trusted(&self) -> Option<Configuration> {
        Configuration::deserialize(&self.document).ok()
    }

    /// Applies a change to what stands. On `Accepted` without repetition `self` is the next value to
    /// write; otherwise `self` is untouched.
    /// Example: `stored.apply(&change) == ChangeOutcome::Accepted { generation: 1, repeated: false }`.
    pub fn apply(&mut self, change: &Change) -> ChangeOutcome {
        if let Some(known) = self.recent.iter().find(|known| known.change_id == change.change_id) {
            return ChangeOutcome::Accepted { generation: known.generation, repeated: true };
        }
        let refused = |reasons: Vec<Reason>| ChangeOutcome::Refused { generation: self.generation, reasons };
        let mut reasons = Vec::new();
        if change.change_id.is_empty() || change.change_id.len() > CHANGE_ID_LIMIT {
            reasons.push(Reason::at("/change_id", format!("must have 1 to {CHANGE_ID_LIMIT} bytes")));
        }
        if let Some(expectedGeneration) = change.expected_generation
            && expectedGeneration != self.generation
        {
            let reason = format!("generation {} stands, not {expectedGeneration}", self.generation);
            reasons.push(Reason::at("/expected_generation", reason));
        }
        let nextDocument = match (&change.whole, &change.partial) {
            (Some(whole), None) => whole.clone(),
            (None, Some(partial)) => merged(&self.document, partial),
            _ => {
                reasons.push(Reason::at("", "name either whole or partial"));
                return refused(reasons);
            }
        };
        if !reasons.is_empty() {
            return refused(reasons);
        }
        if nextDocument.to_string().len() > DOCUMENT_LIMIT {
            return refused(vec![Reason::at("", format!("the document is over {DOCUMENT_LIMIT} bytes"))]);
        }
        if let Err(checkReasons) = check(&nextDocument) {
            return refused(checkReasons);
        }
        self.generation += 1;
        self.document = nextDocument;
        self.recent
            .push(RememberedChange { change_id: change.change_id.clone(), generation: self.generation });
        let surplusCount = self.recent.len().saturating_sub(REMEMBERED_CHANGES);
        self.recent.drain(..surplusCount);
        ChangeOutcome::Accepted { generation: self.generation, repeated: false }
    }
}

/// JSON merge patch (RFC 7396).
fn merged(standing: &Value, partial: &Value) -> Value {
    let Value::Object(partialFields) = partial else { return partial.clone() };
    let mut mergedFields = standing.as_object().cloned().unwrap_or_default();
    for (name, partialValue) in partialFields {
        if partialValue.is_null() {
            mergedFields.remove(name);
            continue;
        }
        let standingValue = mergedFields.get(name).cloned().unwrap_or(Value::Null);
        mergedFields.insert(name.clone(), merged(&standingValue, partialValue));
    }
    Value::Object(mergedFields)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tests::small_document;

    fn change(changeId: &str, expected: Option<u64>, whole: Option<Value>, partial: Option<Value>) -> Change {
        Change { change_id: changeId.to_owned(), expected_generation: expected, whole, partial }
    }

    #[test]
    fn changes_apply_whole_once_and_in_turn() {
        let mut stored = StoredConfiguration::empty();
        let first = change("a", Some(0), Some(small_document()), None);
        assert_eq!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: false });
        assert_eq!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: true });
        let beforeRefusals = stored.clone();
        let late = change("b", Some(0), None, Some(json!({})));
        assert!(matches!(stored.apply(&late), ChangeOutcome::Refused { generation: 1, .. }));
        let dangling = change("c", None, None, Some(json!({ "functions": { "proof": null } })));
        assert!(matches!(stored.apply(&dangling), ChangeOutcome::Refused { .. }));
        let neither = change("d", None, None, None);
        assert!(matches!(stored.apply(&neither), ChangeOutcome::Refused { .. }));
        assert_eq!(stored, beforeRefusals);
        let partial = change("e", None, None, Some(json!({ "lanes": { "proofs": { "repeatable": true } } })));
        assert_eq!(stored.apply(&partial), ChangeOutcome::Accepted { generation: 2, repeated: false });
        assert!(stored.checked().expect("a checked document").lanes["proofs"].repeatable);
        assert_eq!(StoredConfiguration::decode(&stored.encode()), Some(stored));
    }

    #[test]
    fn no_line_of_the_change_stream_makes_the_reader_panic() {
        arbtest::arbtest(|source| {
            let line: String = source.arbitrary()?;
            if let Ok(foundChange) = serde_json::from_str::<Change>(&line) {
                StoredConfiguration::empty().apply(&foundChange);
            }
            let partialLine = format!("{{\"change_id\":\"x\",\"partial\":{line}}}");
            if let Ok(foundChange) = serde_json::from_str::<Change>(&partialLine) {
                StoredConfiguration::empty().apply(&foundChange);
            }
            StoredConfiguration::decode(line.as_bytes());
            Ok(())
        })
        .seed(0x5eed_0003_0000_0040);
    }
}
