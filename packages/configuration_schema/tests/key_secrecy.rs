//! Keys are secrets: whatever is wrong with a document, no reason, outcome or `Debug` form contains one.

use arbtest::arbitrary::{Result, Unstructured};
use configuration_schema::{Change, ChangeOutcome, ConfigurationDelta, StoredConfiguration, check};
use serde_json::{Value, json};

/// With a given seed arbtest runs a single case. Each case has its own seed, so that every run tests the same cases.
const CASES: u64 = 400;
/// The prefix of every random key.
const KEY_PREFIX: &str = "SECRET";

fn key(source: &mut Unstructured<'_>) -> Result<String> {
    Ok(format!("{KEY_PREFIX}-{}", source.int_in_range(0..=60u32)?))
}

fn valid_document(source: &mut Unstructured<'_>) -> Result<Value> {
    let tenants = json!({
        "acme": { "keys": [key(source)?], "rank": 1, "annotations": { "old": key(source)? } },
        "zeta": { "keys": [key(source)?, key(source)?] },
    });
    Ok(json!({
        "allowances": { "all": { "weight": 1 } },
        "functions": { "proof": { "allowance": "all", "cell_memory_mb": 600, "calls_at_once": 4 } },
        "lanes": { "proofs": { "function": "proof", "path_prefix": "/proof" } },
        "annotations": { "customers": [{ "apiKeys": [key(source)?] }] },
        "tenants": tenants,
    }))
}

/// A random value that holds a key in a wrong place or a wrong form.
fn misplaced_key(source: &mut Unstructured<'_>) -> Result<Value> {
    let key = key(source)?;
    Ok(match source.int_in_range(0..=9u32)? {
        0 => json!(key),
        1 => json!([key]),
        2 => json!([{ "name": "acme", "keys": [key] }]),
        3 => json!({ "acme": key }),
        4 => json!({ "keys": key }),
        5 => json!({ "keys": [key], "surprise": key }),
        6 => json!({ "keys": [[key]], "rank": key }),
        7 => json!({ "keys": [key.clone() + " with a space", key.repeat(100)] }),
        8 => json!({ "keys": [{ "key": key }, 3, null], "rank": -1 }),
        _ => json!({ "keys": [key], "rank": 1.0 }),
    })
}

/// Inserts such a value at a random place.
fn corrupt(document: &mut Value, source: &mut Unstructured<'_>) -> Result<()> {
    let misplaced = misplaced_key(source)?;
    let tenant_paths =
        ["", "/tenants", "/tenants/acme", "/tenants/acme/keys", "/tenants/zeta/keys/0", "/tenants/acme/rank"];
    let other_paths =
        ["/lanes", "/functions", "/allowances", "/lanes/proofs", "/annotations", "/tenants/zeta/annotations"];
    match source.int_in_range(0..=9u32)? {
        0..=4 => {
            if let Some(place) = document.pointer_mut(source.choose(&tenant_paths)?) {
                *place = misplaced;
            }
        }
        5..=6 => {
            if let Some(place) = document.pointer_mut(source.choose(&other_paths)?) {
                *place = misplaced;
            }
        }
        7 => {
            if let Some(fields) = document.pointer_mut("/tenants/acme").and_then(Value::as_object_mut) {
                fields.insert(key(source)?, misplaced);
            }
        }
        8 => {
            if let Some(fields) = document.pointer_mut("/tenants").and_then(Value::as_object_mut) {
                fields.insert("no name".to_owned(), misplaced);
            }
        }
        _ => {
            if let Some(fields) = document.as_object_mut() {
                fields.insert("customers".to_owned(), misplaced);
            }
        }
    }
    Ok(())
}

fn assert_hidden(reported: &str, what: &str) {
    assert!(!reported.contains(KEY_PREFIX), "{what} reveals a key: {reported}");
}

fn change_in_some_form(number: u64, document: Value, source: &mut Unstructured<'_>) -> Result<Change> {
    let change = Change { change_id: number.to_string(), ..Change::default() };
    Ok(match source.int_in_range(0..=2u32)? {
        0 => Change { whole: Some(document), ..change },
        1 => Change { partial: Some(document), ..change },
        _ => Change { items: Some(document), ..change },
    })
}

#[test]
fn no_key_is_revealed_by_a_reason_an_outcome_or_a_debug_form() {
    let (mut refused_count, mut accepted_count) = (0, 0);
    for case in 0..CASES {
        arbtest::arbtest(|source| {
            let mut stored = StoredConfiguration::empty();
            for number in 0..8 {
                let mut document = valid_document(source)?;
                for _ in 0..source.int_in_range(0..=2u32)? {
                    corrupt(&mut document, source)?;
                }
                if let Err(reasons) = check(&document) {
                    assert_hidden(&format!("{reasons:?}"), "a reason");
                }
                let change = change_in_some_form(number, document, source)?;
                let before = stored.clone();
                let outcome = stored.apply(&change);
                assert_hidden(&format!("{outcome:?}"), "an outcome");
                assert_hidden(&outcome.line(&change.change_id).to_string(), "a line");
                assert_hidden(&format!("{change:?} {stored:?}"), "a change or a stored configuration");
                match outcome {
                    ChangeOutcome::Accepted { .. } => accepted_count += 1,
                    _ => refused_count += 1,
                }
                let (old, new) = (before.trusted().expect("checked"), stored.trusted().expect("checked"));
                let delta = ConfigurationDelta::between((number, &old), (number + 1, &new));
                assert_hidden(&format!("{new:?} {delta:?}"), "a configuration or a delta");
            }
            Ok(())
        })
        .seed((0x5eed_0040 + case) << 32 | 0x4000);
    }
    assert!(
        refused_count > 500 && accepted_count > 100,
        "{refused_count} refused, {accepted_count} accepted"
    );
}

/// Reasons must stay useful: they name the place and the fault.
#[test]
fn reasons_for_tenants_name_the_place_and_the_fault() {
    let reported = |tenants: Value| {
        let document = json!({ "allowances": {}, "functions": {}, "lanes": {}, "tenants": tenants });
        let reasons = check(&document).expect_err("refused");
        reasons.into_iter().map(|reason| (reason.path, reason.reason)).collect::<Vec<(String, String)>>()
    };
    let one = |path: &str, reason: &str| vec![(path.to_owned(), reason.to_owned())];
    assert_eq!(reported(json!([])), one("/tenants", r#"the value is not of type "object""#));
    assert_eq!(
        reported(json!({ "a": { "keys": ["k 1"] } })),
        one("/tenants/a/keys/0", r#"the value does not match "^[!-~]+$""#)
    );
    assert_eq!(reported(json!({ "a": {} })), one("/tenants/a", r#""keys" is a required property"#));
    assert_eq!(
        reported(json!({ "a": { "keys": [], "k1": 1 } })),
        one("/tenants/a", "1 of the fields here are not known")
    );
    assert_eq!(
        reported(json!({ "a b": { "keys": [] } })),
        one("/tenants", r#"a name does not match "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$""#)
    );
    let type_mismatch = reported(json!({ "a": { "keys": [], "rank": 1.0 } }));
    assert_eq!(type_mismatch[0].0, "/tenants");
    // Outside the tenants numbers are quoted.
    let document = json!({ "allowances": { "a": { "weight": 0 } }, "functions": {}, "lanes": {} });
    assert!(check(&document).expect_err("refused")[0].reason.starts_with("0 is less than"));
}

/// Thousands of tenants and keys are accepted, and a single shared key among them is found.
#[test]
fn a_shared_key_among_thousands_is_found() {
    const TENANTS: usize = 8_000;
    const KEYS_OF_ONE: usize = 8_000;
    let mut document = json!({ "allowances": {}, "functions": {}, "lanes": {} });
    for tenant in 0..TENANTS {
        let keys = [format!("{KEY_PREFIX}-{tenant}-old"), format!("{KEY_PREFIX}-{tenant}-new")];
        document["tenants"][format!("tenant-{tenant}")] = json!({ "keys": keys });
    }
    let many: Vec<String> = (0..KEYS_OF_ONE).map(|number| format!("{KEY_PREFIX}-of-one-{number}")).collect();
    document["tenants"]["one"] = json!({ "keys": many });
    assert_eq!(check(&document).expect("a valid document").tenants.expect("tenants").len(), TENANTS + 1);
    document["tenants"]["tenant-9"]["keys"][1] = json!(format!("{KEY_PREFIX}-of-one-{}", KEYS_OF_ONE - 1));
    let reasons = check(&document).expect_err("refused");
    assert_eq!(reasons.len(), 1);
    assert_eq!(
        (&*reasons[0].path, &*reasons[0].reason),
        ("/tenants/tenant-9/keys/1", "tenant one has this key too")
    );
}

/// Neither a document that is sent in several lines nor a misplaced value is quoted.
#[test]
fn invalid_lines_of_the_change_stream_are_not_quoted() {
    let pretty = serde_json::to_string_pretty(
        &json!({ "change_id": "a", "whole": { "keys": ["SECRET-1", "SECRET-2"] } }),
    );
    let lines = pretty.expect("text");
    let others = [
        r#""SECRET-1""#,
        r#"["SECRET-1"]"#,
        r#"{"change_id": "a", "version": "SECRET-1"}"#,
        r#"{"change_id": ["SECRET-1"]}"#,
        r#"{"change_id": "a", "whole": {"keys": ["SECRET-1"]}"#,
    ];
    for line in lines.lines().chain(others) {
        let reason = Change::read(line.as_bytes()).expect_err(line);
        assert_hidden(&reason, line);
    }
    let reported = |line: &str| Change::read(line.as_bytes()).expect_err(line);
    assert_eq!(reported(r#""SECRET-1""#), "is no object");
    assert!(reported(r#"{"change_id": "a", "lanes": {}}"#).starts_with("unknown field `lanes`"));
    assert!(reported(r#"{"whole": {}}"#).starts_with("missing field `change_id`"));
    assert!(Change::read(br#"{"change_id": "a", "whole": {}}"#).is_ok());
}
