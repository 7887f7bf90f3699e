use super::*;
use crate::tests::small_document;

/// One seed makes arbtest run a single case: each case has its own, so that all are the same each time.
const FOREIGN_CASES: u64 = 2_000;

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
    assert!(stored.checked().expect("a checked document").routes["proofs"].repeatable);
    assert_eq!(StoredConfiguration::decode(&stored.encode()), Some(stored));
}

#[test]
fn no_line_of_the_change_stream_makes_the_reader_panic() {
    for number in 0..FOREIGN_CASES {
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
        .seed((0x5eed_0003 + number) << 32 | 0x40);
    }
}

#[test]
fn versions_of_the_operator_rise_and_items_are_replaced_whole() {
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
    let zero = Change { change_id: "e".to_owned(), items: Some(replace.clone()), ..Change::default() };
    assert_eq!(reasons(stored.apply(&zero)), ["/lanes/proofs/split"], "no field of the item before stays");
    let mut replace = replace;
    replace["lanes"]["proofs"]["split"][0]["weight"] = json!(2);
    let split = Change { change_id: "f".to_owned(), items: Some(replace), ..Change::default() };
    assert!(matches!(stored.apply(&split), ChangeOutcome::Accepted { generation: 3, .. }));
    let route = &stored.checked().expect("checked").routes["proofs"];
    assert_eq!((route.target_millis, route.shares()), (None, vec![("proof", 2.0)]));
    assert_eq!(stored.version, 9, "a change without a version keeps the one that stands");
}

/// An order under a version; the first makes version 1 of version 0.
fn numbered(version: u64) -> Change {
    Change {
        change_id: format!("order-{version}"),
        expected_version: Some(version - 1),
        version: Some(version),
        partial: Some(json!({})),
        ..Change::default()
    }
}

fn stored_after(order_count: u64) -> StoredConfiguration {
    let mut stored = StoredConfiguration::empty();
    for version in 1..=order_count {
        let outcome = stored.apply(&numbered(version));
        assert_eq!(outcome, ChangeOutcome::Accepted { generation: version, repeated: false });
    }
    stored
}

#[test]
fn an_order_that_may_be_forgotten_is_never_refused() {
    let mut stored = stored_after(300);
    let before = stored.clone();
    let forgotten_count = 300 - REMEMBERED_CHANGES as u64;
    for version in 1..=300 {
        let outcome = stored.apply(&numbered(version));
        match version <= forgotten_count {
            true => assert_eq!(outcome, ChangeOutcome::Unknown { reason: TOO_OLD.to_owned() }, "{version}"),
            false => assert_eq!(outcome, ChangeOutcome::Accepted { generation: version, repeated: true }),
        }
    }
    assert_eq!(stored, before);
    // The loser of a race long ago can't be told from the winner; of one that is remembered it can.
    let lost = |version| Change { change_id: "lost".to_owned(), ..numbered(version) };
    assert!(matches!(stored.apply(&lost(forgotten_count)), ChangeOutcome::Unknown { .. }));
    assert!(matches!(stored.apply(&lost(forgotten_count + 1)), ChangeOutcome::Refused { .. }));
    // What was never proper was never taken.
    let improper = Change { whole: Some(json!({})), ..numbered(1) };
    assert!(matches!(stored.apply(&improper), ChangeOutcome::Refused { .. }));
    let unnamed = Change { change_id: String::new(), ..numbered(1) };
    assert!(matches!(stored.apply(&unnamed), ChangeOutcome::Refused { .. }));
}

#[test]
fn the_highest_forgotten_version_is_stored_and_outlasts_changes_without_versions() {
    let mut stored = stored_after(10);
    for number in 0..REMEMBERED_CHANGES {
        let native = change(&format!("native-{number}"), None, None, Some(json!({})));
        assert!(matches!(stored.apply(&native), ChangeOutcome::Accepted { repeated: false, .. }));
    }
    let mut restored = StoredConfiguration::decode(&stored.encode()).expect("stored bytes");
    assert_eq!(restored, stored);
    for version in 1..=10 {
        assert!(matches!(restored.apply(&numbered(version)), ChangeOutcome::Unknown { .. }), "{version}");
    }
    assert!(matches!(restored.apply(&numbered(11)), ChangeOutcome::Accepted { repeated: false, .. }));
    // A change without a version that was forgotten is a new one; its generation, if named, tells.
    let native = change("native-0", None, None, Some(json!({})));
    assert!(matches!(restored.apply(&native), ChangeOutcome::Accepted { repeated: false, .. }));
    let expecting = change("native-1", Some(11), None, Some(json!({})));
    assert!(matches!(restored.apply(&expecting), ChangeOutcome::Refused { .. }));
}

#[test]
fn what_was_stored_before_versions_were_remembered_is_read() {
    let older = r#"{"generation":2,"version":7,"document":{"allowances":{},"functions":{},"lanes":{}},
        "recent":[{"change_id":"a","generation":1},{"change_id":"b","generation":2}]}"#;
    let mut stored = StoredConfiguration::decode(older.as_bytes()).expect("older bytes");
    let repeated = Change { change_id: "b".to_owned(), ..numbered(7) };
    assert_eq!(stored.apply(&repeated), ChangeOutcome::Accepted { generation: 2, repeated: true });
    assert!(matches!(stored.apply(&numbered(8)), ChangeOutcome::Accepted { generation: 3, .. }));
}

/// An order that builds on a version and names the keys of two tenants.
fn keys_order(expected: u64, version: u64, acme: &str, zeta: &str) -> Change {
    let tenants = json!({ "acme": { "keys": [acme] }, "zeta": { "keys": [zeta] } });
    Change {
        change_id: format!("{expected}-{version}-{acme}-{zeta}"),
        expected_version: Some(expected),
        version: Some(version),
        items: Some(json!({ "tenants": tenants })),
        ..Change::default()
    }
}

/// Guards against CONFIG on the duties: after an invalid order, the proper one on the same version is taken.
#[test]
fn the_proper_order_after_an_invalid_one_builds_on_the_same_version() {
    let mut stored = stored_after(4);
    let before = stored.clone();
    for _ in 0..2 {
        let ChangeOutcome::Refused { reasons, .. } = stored.apply(&keys_order(4, 6, "k1", "k1")) else {
            panic!("two tenants share a key");
        };
        assert_eq!(reasons, [Reason::at("/tenants/zeta/keys/0", "tenant acme has this key too")]);
        assert_eq!(stored, before, "a refused order leaves no trace");
    }
    // Its version is free, too: the order that is told apart by its id may name the same one.
    let proper = keys_order(4, 6, "k1", "k2");
    assert_eq!(stored.apply(&proper), ChangeOutcome::Accepted { generation: 5, repeated: false });
    assert_eq!(stored.apply(&proper), ChangeOutcome::Accepted { generation: 5, repeated: true });
    assert_eq!(stored.version, 6);
    // The tenant that stands counts, not only those that the order names.
    let mut second = keys_order(6, 7, "k3", "k4");
    second.items = Some(json!({ "tenants": { "third": { "keys": ["k2"] } } }));
    assert!(matches!(stored.apply(&second), ChangeOutcome::Refused { .. }));
    // A key goes from one tenant to another in one order.
    assert!(matches!(stored.apply(&keys_order(6, 8, "k2", "k1")), ChangeOutcome::Accepted { .. }));
}

/// Guards against a lock-out: tenants that are removed where none are named do not make the empty group, which
/// would let nobody in.
#[test]
fn removing_from_a_group_that_is_not_named_does_not_name_it() {
    let items = |items: Value| Change { items: Some(items), ..Change::default() };
    let mut stored = stored_after(1);
    let nobody = Change { change_id: "a".to_owned(), ..items(json!({ "tenants": { "ghost": null } })) };
    assert!(matches!(stored.apply(&nobody), ChangeOutcome::Accepted { .. }));
    assert_eq!(stored.trusted().expect("checked").tenants, None);
    let one = Change { change_id: "b".to_owned(), ..items(json!({ "tenants": { "acme": { "keys": [] } } })) };
    assert!(matches!(stored.apply(&one), ChangeOutcome::Accepted { .. }));
    let last = Change { change_id: "c".to_owned(), ..items(json!({ "tenants": { "acme": null } })) };
    assert!(matches!(stored.apply(&last), ChangeOutcome::Accepted { .. }));
    assert!(stored.trusted().expect("checked").tenants.is_some_and(|tenants| tenants.is_empty()));
}
