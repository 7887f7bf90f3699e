use super::*;
use crate::tests::small_document;

/// With a given seed arbtest runs a single case. Each case has its own seed, so that every run tests the same cases.
const RANDOM_CASES: u64 = 2_000;

fn change(change_id: &str, expected: Option<u64>, whole: Option<Value>, partial: Option<Value>) -> Change {
    Change {
        change_id: change_id.to_owned(),
        expected_generation: expected,
        whole,
        partial,
        ..Change::default()
    }
}

#[test]
fn changes_apply_completely_once_and_in_order() {
    let mut stored = StoredConfiguration::empty();
    let first = change("a", Some(0), Some(small_document()), None);
    assert_eq!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: false });
    assert_eq!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: true });
    let before_refused_changes = stored.clone();
    let outdated = change("b", Some(0), None, Some(json!({})));
    assert!(matches!(stored.apply(&outdated), ChangeOutcome::Refused { generation: 1, .. }));
    let dangling = change("c", None, None, Some(json!({ "functions": { "proof": null } })));
    assert!(matches!(stored.apply(&dangling), ChangeOutcome::Refused { .. }));
    let neither = change("d", None, None, None);
    assert!(matches!(stored.apply(&neither), ChangeOutcome::Refused { .. }));
    assert_eq!(stored, before_refused_changes);
    let partial = change("e", None, None, Some(json!({ "lanes": { "proofs": { "repeatable": true } } })));
    assert_eq!(stored.apply(&partial), ChangeOutcome::Accepted { generation: 2, repeated: false });
    assert!(stored.validate().expect("a checked document").routes["proofs"].repeatable);
    assert_eq!(StoredConfiguration::decode(&stored.encode()), Some(stored));
}

#[test]
fn random_lines_of_the_change_stream_cause_no_panic() {
    for number in 0..RANDOM_CASES {
        arbtest::arbtest(|source| {
            let line: String = source.arbitrary()?;
            if let Ok(parsed_change) = serde_json::from_str::<Change>(&line) {
                StoredConfiguration::empty().apply(&parsed_change);
            }
            let partial_line = format!("{{\"change_id\":\"x\",\"partial\":{line}}}");
            if let Ok(parsed_change) = serde_json::from_str::<Change>(&partial_line) {
                StoredConfiguration::empty().apply(&parsed_change);
            }
            StoredConfiguration::decode(line.as_bytes());
            Ok(())
        })
        .seed((0x5eed_0003 + number) << 32 | 0x40);
    }
}

#[test]
fn operator_versions_must_rise_and_items_are_replaced_as_a_whole() {
    let mut stored = StoredConfiguration::empty();
    let first = Change {
        change_id: "a".to_owned(),
        expected_version: Some(0),
        version: Some(5),
        whole: Some(small_document()),
        ..Change::default()
    };
    assert!(matches!(stored.apply(&first), ChangeOutcome::Accepted { generation: 1, repeated: false }));
    let reasons = |outcome: ChangeOutcome| match outcome {
        ChangeOutcome::Refused { reasons, .. } => {
            reasons.into_iter().map(|reason| reason.path).collect::<Vec<String>>()
        }
        other => panic!("{other:?}"),
    };
    let stale =
        Change { change_id: "b".to_owned(), expected_version: Some(4), version: Some(7), ..first.clone() };
    assert_eq!(reasons(stored.apply(&stale)), [EXPECTED_VERSION]);
    let lower =
        Change { change_id: "c".to_owned(), expected_version: Some(5), version: Some(5), ..first.clone() };
    assert_eq!(reasons(stored.apply(&lower)), ["/version"]);
    let set =
        json!({ "lanes": { "proofs": { "function": "proof", "path_prefix": "/p", "target_millis": 300 } } });
    let set = Change {
        change_id: "d".to_owned(),
        expected_version: Some(5),
        version: Some(9),
        items: Some(set),
        ..Change::default()
    };
    assert!(matches!(stored.apply(&set), ChangeOutcome::Accepted { generation: 2, .. }));
    assert_eq!(stored.version, 9);
    let replace = json!({ "lanes": { "proofs": { "path_prefix": "/p",
        "split": [{ "function": "proof", "weight": 0 }] }, "ghost": null } });
    let zero_weights =
        Change { change_id: "e".to_owned(), items: Some(replace.clone()), ..Change::default() };
    assert_eq!(
        reasons(stored.apply(&zero_weights)),
        ["/lanes/proofs/split"],
        "no field of the previous item is kept"
    );
    let mut replace = replace;
    replace["lanes"]["proofs"]["split"][0]["weight"] = json!(2);
    let split = Change { change_id: "f".to_owned(), items: Some(replace), ..Change::default() };
    assert!(matches!(stored.apply(&split), ChangeOutcome::Accepted { generation: 3, .. }));
    let route = &stored.validate().expect("checked").routes["proofs"];
    assert_eq!((route.target_millis, route.shares()), (None, vec![("proof", 2.0)]));
    assert_eq!(stored.version, 9, "a change without a version keeps the current one");
}

/// A change to this version, based on the previous one; the first is version 1, based on 0.
fn numbered_change(version: u64) -> Change {
    Change {
        change_id: format!("order-{version}"),
        expected_version: Some(version - 1),
        version: Some(version),
        partial: Some(json!({})),
        ..Change::default()
    }
}

fn stored_after(change_count: u64) -> StoredConfiguration {
    let mut stored = StoredConfiguration::empty();
    for version in 1..=change_count {
        let outcome = stored.apply(&numbered_change(version));
        assert_eq!(outcome, ChangeOutcome::Accepted { generation: version, repeated: false });
    }
    stored
}

#[test]
fn a_change_that_may_be_forgotten_is_never_refused() {
    let mut stored = stored_after(300);
    let before = stored.clone();
    let forgotten_count = 300 - REMEMBERED_CHANGES as u64;
    for version in 1..=300 {
        let outcome = stored.apply(&numbered_change(version));
        match version <= forgotten_count {
            true => assert_eq!(outcome, ChangeOutcome::Unknown { reason: TOO_OLD.to_owned() }, "{version}"),
            false => assert_eq!(outcome, ChangeOutcome::Accepted { generation: version, repeated: true }),
        }
    }
    assert_eq!(stored, before);
    // A change that lost to another one with the same version can be refused only while that one is remembered.
    let competing = |version| Change { change_id: "lost".to_owned(), ..numbered_change(version) };
    assert!(matches!(stored.apply(&competing(forgotten_count)), ChangeOutcome::Unknown { .. }));
    assert!(matches!(stored.apply(&competing(forgotten_count + 1)), ChangeOutcome::Refused { .. }));
    // A malformed change was never accepted.
    let malformed = Change { whole: Some(json!({})), ..numbered_change(1) };
    assert!(matches!(stored.apply(&malformed), ChangeOutcome::Refused { .. }));
    let without_id = Change { change_id: String::new(), ..numbered_change(1) };
    assert!(matches!(stored.apply(&without_id), ChangeOutcome::Refused { .. }));
}

#[test]
fn highest_forgotten_version_is_stored_and_kept_through_changes_without_versions() {
    let mut stored = stored_after(10);
    for number in 0..REMEMBERED_CHANGES {
        let without_version = change(&format!("native-{number}"), None, None, Some(json!({})));
        assert!(matches!(stored.apply(&without_version), ChangeOutcome::Accepted { repeated: false, .. }));
    }
    let mut restored = StoredConfiguration::decode(&stored.encode()).expect("stored bytes");
    assert_eq!(restored, stored);
    for version in 1..=10 {
        assert!(
            matches!(restored.apply(&numbered_change(version)), ChangeOutcome::Unknown { .. }),
            "{version}"
        );
    }
    assert!(matches!(restored.apply(&numbered_change(11)), ChangeOutcome::Accepted { repeated: false, .. }));
    // A forgotten change without a version counts as new, unless its expected generation is outdated.
    let without_version = change("native-0", None, None, Some(json!({})));
    assert!(matches!(restored.apply(&without_version), ChangeOutcome::Accepted { repeated: false, .. }));
    let with_generation = change("native-1", Some(11), None, Some(json!({})));
    assert!(matches!(restored.apply(&with_generation), ChangeOutcome::Refused { .. }));
}

#[test]
fn configuration_stored_without_remembered_versions_is_read() {
    let older = r#"{"generation":2,"version":7,"document":{"allowances":{},"functions":{},"lanes":{}},
        "recent":[{"change_id":"a","generation":1},{"change_id":"b","generation":2}]}"#;
    let mut stored = StoredConfiguration::decode(older.as_bytes()).expect("older bytes");
    let repeated = Change { change_id: "b".to_owned(), ..numbered_change(7) };
    assert_eq!(stored.apply(&repeated), ChangeOutcome::Accepted { generation: 2, repeated: true });
    assert!(matches!(stored.apply(&numbered_change(8)), ChangeOutcome::Accepted { generation: 3, .. }));
}

/// A change that is based on a version and sets the keys of two tenants.
fn keys_change(expected: u64, version: u64, acme: &str, zeta: &str) -> Change {
    let tenants = json!({ "acme": { "keys": [acme] }, "zeta": { "keys": [zeta] } });
    Change {
        change_id: format!("{expected}-{version}-{acme}-{zeta}"),
        expected_version: Some(expected),
        version: Some(version),
        items: Some(json!({ "tenants": tenants })),
        ..Change::default()
    }
}

/// Guards against violations of the rule CONFIG: after an invalid change, a valid one based on the same version must
/// be accepted.
#[test]
fn a_valid_change_after_an_invalid_one_is_based_on_the_same_version() {
    let mut stored = stored_after(4);
    let before = stored.clone();
    for _ in 0..2 {
        let ChangeOutcome::Refused { reasons, .. } = stored.apply(&keys_change(4, 6, "k1", "k1")) else {
            panic!("two tenants share a key");
        };
        assert_eq!(reasons, [Reason::at("/tenants/zeta/keys/0", "tenant acme has this key too")]);
        assert_eq!(stored, before, "a refused change leaves no trace");
    }
    // The refused change's version can be used again, by a change with another id.
    let valid = keys_change(4, 6, "k1", "k2");
    assert_eq!(stored.apply(&valid), ChangeOutcome::Accepted { generation: 5, repeated: false });
    assert_eq!(stored.apply(&valid), ChangeOutcome::Accepted { generation: 5, repeated: true });
    assert_eq!(stored.version, 6);
    // Keys are also compared with those of tenants that the change does not name.
    let mut second = keys_change(6, 7, "k3", "k4");
    second.items = Some(json!({ "tenants": { "third": { "keys": ["k2"] } } }));
    assert!(matches!(stored.apply(&second), ChangeOutcome::Refused { .. }));
    // A key moves from one tenant to another in one change.
    assert!(matches!(stored.apply(&keys_change(6, 8, "k2", "k1")), ChangeOutcome::Accepted { .. }));
}

/// Guards against locking all clients out: removing tenants from a document without the group must not create the
/// empty group, which admits no client.
#[test]
fn removing_items_from_a_missing_group_does_not_create_it() {
    let items = |items: Value| Change { items: Some(items), ..Change::default() };
    let mut stored = stored_after(1);
    let remove_unknown =
        Change { change_id: "a".to_owned(), ..items(json!({ "tenants": { "ghost": null } })) };
    assert!(matches!(stored.apply(&remove_unknown), ChangeOutcome::Accepted { .. }));
    assert_eq!(stored.trusted().expect("checked").tenants, None);
    let add_tenant =
        Change { change_id: "b".to_owned(), ..items(json!({ "tenants": { "acme": { "keys": [] } } })) };
    assert!(matches!(stored.apply(&add_tenant), ChangeOutcome::Accepted { .. }));
    let remove_last = Change { change_id: "c".to_owned(), ..items(json!({ "tenants": { "acme": null } })) };
    assert!(matches!(stored.apply(&remove_last), ChangeOutcome::Accepted { .. }));
    assert!(stored.trusted().expect("checked").tenants.is_some_and(|tenants| tenants.is_empty()));
}
