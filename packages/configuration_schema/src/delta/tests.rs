use super::*;
use crate::tests::small_document;
use crate::{Change, ChangeOutcome, FunctionTargets, StoredConfiguration};
use arbtest::arbitrary::{Result, Unstructured};
use serde_json::{Value, json};

/// With a given seed arbtest runs a single case. Each case has its own seed, so that every run tests the same cases.
const CASES: u64 = 60;
const CHANGES_PER_CASE: u64 = 200;
const NAME_COUNT: u64 = 12;

fn name(source: &mut Unstructured<'_>, kind: &str) -> Result<String> {
    Ok(format!("{kind}-{}", source.int_in_range(0..=NAME_COUNT - 1)?))
}

/// One of 100 keys, so that some changes are refused because another tenant has the key.
fn key(source: &mut Unstructured<'_>) -> Result<String> {
    Ok(format!("key-{}", source.int_in_range(0..=99u32)?))
}

/// A random item, or null to remove one. Many are refused because they refer to items that do not exist.
fn item(source: &mut Unstructured<'_>, kind: &str) -> Result<Value> {
    if source.ratio(1u8, 4u8)? {
        return Ok(Value::Null);
    }
    let weight = f64::from(source.int_in_range(1..=1_000_000u32)?) / 7.0;
    Ok(match kind {
        "allowances" => json!({ "weight": weight, "parent": "all" }),
        "functions" => json!({
            "allowance": "all", "weight": weight, "cell_memory_mb": source.int_in_range(1..=900u32)?,
            "calls_at_once": source.int_in_range(1..=9u32)?, "annotations": { "seen": weight },
        }),
        "tenants" => json!({
            "keys": [key(source)?, key(source)?], "rank": source.int_in_range(0..=3u32)?,
            "annotations": { "seen": weight },
        }),
        _ => json!({
            "split": [
                { "function": name(source, "functions")?, "weight": weight },
                { "function": "proof", "weight": 1 },
            ],
            "path_prefix": format!("/{}", name(source, "lanes")?),
            "target_millis": source.int_in_range(1..=4_000u32)?,
        }),
    })
}

fn change(source: &mut Unstructured<'_>, number: u64) -> Result<Change> {
    let change = Change { change_id: number.to_string(), ..Change::default() };
    if source.ratio(1u8, 40u8)? {
        return Ok(Change { whole: Some(small_document()), ..change });
    }
    if source.ratio(1u8, 20u8)? {
        let limits = match source.ratio(1u8, 3u8)? {
            true => Value::Null,
            false => json!({ "body_bytes": source.int_in_range(1_024..=9_999u32)? }),
        };
        return Ok(Change { partial: Some(json!({ "visitor_limits": limits })), ..change });
    }
    if source.ratio(1u8, 20u8)? {
        // The group is added, removed, or loses all of its items.
        let group = if source.ratio(1u8, 2u8)? { Value::Null } else { json!({}) };
        return Ok(Change { partial: Some(json!({ "tenants": group })), ..change });
    }
    let kind = *source.choose(&["allowances", "functions", "lanes", "lanes", "tenants", "tenants"])?;
    let mut items = json!({});
    for _ in 0..source.int_in_range(1..=3u32)? {
        items[kind][name(source, kind)?] = item(source, kind)?;
    }
    Ok(Change { items: Some(items), ..change })
}

fn with_tenants(tenants: Option<Value>) -> Configuration {
    let mut document = small_document();
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    crate::check(&document).expect("a valid document")
}

/// Guards against violations of the rules ROUTE and CONFIG through wrongly distributed keys: the delta between any
/// two states of the tenants results in the later one and contains only the tenants that changed.
#[test]
fn deltas_between_all_states_of_the_tenants_are_exact() {
    let group = |acme: &[&str], zeta: &[&str]| {
        Some(json!({ "acme": { "keys": acme }, "zeta": { "keys": zeta }, "still": { "keys": ["k-still"] } }))
    };
    let states = [
        None,
        Some(json!({})),
        group(&["k1"], &["k2"]),
        group(&["k1", "k3"], &["k2"]),
        // The keys are exchanged between the tenants in one step.
        group(&["k2"], &["k1", "k3"]),
        Some(json!({ "acme": { "keys": ["k2"], "rank": 2 } })),
    ];
    for old in &states {
        for new in &states {
            let (before, after) = (with_tenants(old.clone()), with_tenants(new.clone()));
            let delta = ConfigurationDelta::between((1, &before), (2, &after));
            let mut result = before.clone();
            ConfigurationDelta::decode(&delta.encode()).expect("a delta").apply(&mut result);
            assert_eq!(result, after, "{old:?} to {new:?}");
            assert_eq!(delta.has_tenants.is_some(), old.is_some() != new.is_some());
        }
    }
    let delta = ConfigurationDelta::between(
        (1, &with_tenants(states[2].clone())),
        (2, &with_tenants(states[3].clone())),
    );
    assert_eq!(delta.tenants.keys().collect::<Vec<&String>>(), ["acme"]);
}

/// Deltas that are encoded, decoded and applied in order result in the same configuration as decoding each stored
/// document.
#[test]
fn deltas_result_in_the_configuration_of_the_whole_document() {
    let mut accepted_count = 0;
    for number in 0..CASES {
        arbtest::arbtest(|source| {
            let mut stored = StoredConfiguration::empty();
            let mut applied = Configuration::empty();
            let mut targets = FunctionTargets::default();
            for number in 0..CHANGES_PER_CASE {
                let before = stored.clone();
                let outcome = stored.apply(&change(source, number)?);
                if !matches!(outcome, ChangeOutcome::Accepted { .. }) {
                    continue;
                }
                accepted_count += 1;
                let (old, new) = (before.trusted().expect("checked"), stored.trusted().expect("checked"));
                let delta = ConfigurationDelta::between((before.generation, &old), (stored.generation, &new));
                let received = ConfigurationDelta::decode(&delta.encode()).expect("a delta");
                let functions = received.changed_functions(&applied);
                targets.apply(&received, &applied);
                received.apply(&mut applied);
                assert_eq!(targets, FunctionTargets::of(&applied));
                let decoded = StoredConfiguration::decode(&stored.encode()).expect("stored");
                assert_eq!(applied, decoded.trusted().expect("checked"));
                let is_configured = |name: &String| new.functions.contains_key(name);
                let was_configured = |name: &String| old.functions.contains_key(name);
                assert!(functions.added.iter().all(|name| is_configured(name) && !was_configured(name)));
                assert!(functions.removed.iter().all(|name| !is_configured(name) && was_configured(name)));
                assert!(functions.altered.iter().all(|name| is_configured(name) && was_configured(name)));
            }
            Ok(())
        })
        .seed((0x5eed_0007 + number) << 32 | 0x8000);
    }
    assert!(accepted_count > 1_000, "{accepted_count} changes were accepted");
}

#[test]
fn invalid_bytes_are_not_decoded_as_a_delta() {
    for invalid_bytes in [&b""[..], b"{}", b"[]", b"null", b"\xff"] {
        assert_eq!(ConfigurationDelta::decode(invalid_bytes), None);
    }
}
