use super::*;
use crate::tests::small_document;

fn change(change_id: &str, expected: Option<u64>, whole: Option<Value>, partial: Option<Value>) -> Change {
    Change { change_id: change_id.to_owned(), expected_generation: expected, whole, partial }
}

#[test]
fn changes_apply_whole_once_and_in_turn() {
    let mut stored = StoredConfiguration::empty();
    let first = change("a", Some(0), Some(small_document()), None);
    assert_eq!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: false });
    assert_eq!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: true });
    let before_refusals = stored.clone();
    let late = change("b", Some(0), None, Some(json!({})));
    assert!(matches!(stored.apply(&late), ChangeOutcome::Refused { generation: 1, .. }));
    let dangling = change("c", None, None, Some(json!({ "functions": { "proof": null } })));
    assert!(matches!(stored.apply(&dangling), ChangeOutcome::Refused { .. }));
    let neither = change("d", None, None, None);
    assert!(matches!(stored.apply(&neither), ChangeOutcome::Refused { .. }));
    assert_eq!(stored, before_refusals);
    let partial = change("e", None, None, Some(json!({ "lanes": { "proofs": { "repeatable": true } } })));
    assert_eq!(stored.apply(&partial), ChangeOutcome::Accepted { generation: 2, repeated: false });
    assert!(stored.checked().expect("a checked document").lanes["proofs"].repeatable);
    assert_eq!(StoredConfiguration::decode(&stored.encode()), Some(stored));
}

#[test]
fn no_line_of_the_change_stream_makes_the_reader_panic() {
    arbtest::arbtest(|source| {
        let line: String = source.arbitrary()?;
        if let Ok(found_change) = serde_json::from_str::<Change>(&line) {
            StoredConfiguration::empty().apply(&found_change);
        }
        let partial_line = format!("{{\"change_id\":\"x\",\"partial\":{line}}}");
        if let Ok(found_change) = serde_json::from_str::<Change>(&partial_line) {
            StoredConfiguration::empty().apply(&found_change);
        }
        StoredConfiguration::decode(line.as_bytes());
        Ok(())
    })
    .seed(0x5eed_0003_0000_0040);
}
