use super::*;
use std::collections::BTreeMap;

#[test]
fn the_longest_whole_prefix_and_the_narrower_lane_win() {
    let document = r#"{"allowances": {"all": {"weight": 1}},
        "functions": {"f": {"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 1}},
        "lanes": {"root": {"function": "f", "path_prefix": "/"},
            "proof": {"function": "f", "path_prefix": "/proof"},
            "posted": {"function": "f", "path_prefix": "/proof", "methods": ["POST"]},
            "hosted": {"function": "f", "path_prefix": "/proof/", "host": "rush.example"},
            "deep": {"function": "f", "path_prefix": "/proof/rush"}}}"#;
    let configuration =
        configuration_schema::check(&document.parse().expect("JSON")).expect("a checked document");
    let table = LaneTable::new(1, &configuration);
    let name = |method, host, path| table.find(method, host, path).map(|row| row.name.as_str());
    assert_eq!(name("GET", None, "/proof/1"), Some("proof"));
    assert_eq!(name("POST", None, "/proof"), Some("posted"));
    assert_eq!(name("POST", Some("RUSH.example:80"), "/proof"), Some("hosted"));
    assert_eq!(name("GET", None, "/proof/rush/now"), Some("deep"));
    assert_eq!(name("GET", None, "/proofs"), Some("root"));
    assert_eq!(name("GET", None, "/proof/../admin"), None);
    assert_eq!(LaneTable::default().find("GET", None, "/"), None);
}

/// A lane drawn so that many share a prefix and differ by host, methods, split or target.
fn drawn_lane(dice: &mut fastrand::Rng) -> Lane {
    let host = dice.bool().then(|| format!("host-{}.example", dice.u8(..3)));
    let methods = if dice.bool() { vec!["POST".to_owned()] } else { Vec::new() };
    let document = serde_json::json!({
        "function": format!("f-{}", dice.u8(..5)),
        "path_prefix": format!("/{}/", dice.u8(..6)),
        "host": host,
        "methods": methods,
        "is_public": dice.bool(),
        "target_millis": dice.u64(1..500),
    });
    serde_json::from_value(document).expect("a lane")
}

/// Tenants come, go and change, a key goes from one to another, and the whole group comes and goes.
fn drawn_change_of_tenants(dice: &mut fastrand::Rng, configuration: &mut Configuration) {
    if dice.u8(..12) == 0 {
        configuration.tenants = dice.bool().then(BTreeMap::new);
    }
    let Some(tenants) = &mut configuration.tenants else { return };
    let name = format!("tenant-{}", dice.u8(..6));
    if dice.u8(..4) == 0 {
        tenants.remove(&name);
        return;
    }
    let key = ApiKey::new(format!("key-{}", dice.u8(..12)));
    for tenant in tenants.values_mut() {
        tenant.keys.retain(|other| *other != key);
    }
    let none = Tenant { keys: Vec::new(), rank: dice.u32(..3), annotations: None };
    let tenant = tenants.entry(name).or_insert(none);
    tenant.rank = dice.u32(..3);
    // One that its own tenant lists twice does no harm.
    tenant.keys.extend(std::iter::repeat_n(key, dice.usize(1..3)));
}

fn drawn_change(dice: &mut fastrand::Rng, configuration: &mut Configuration) {
    for _ in 0..dice.u8(1..4) {
        let lane = format!("lane-{}", dice.u8(..20));
        match dice.u8(..8) {
            0 => drop(configuration.lanes.remove(&lane)),
            1 => drop(configuration.functions.remove(&format!("f-{}", dice.u8(..5)))),
            2 => {
                let document = serde_json::json!({
                    "allowance": "all", "cell_memory_mb": 1, "calls_at_once": dice.u32(1..9),
                    "connection_limit": dice.u32(1..99),
                });
                let function = serde_json::from_value(document).expect("a function");
                configuration.functions.insert(format!("f-{}", dice.u8(..5)), function);
            }
            3 => drop(configuration.lanes.insert(lane, drawn_lane(dice))),
            _ => drawn_change_of_tenants(dice, configuration),
        }
    }
    let body_bytes = dice.u64(1_024..9_999);
    configuration.visitor_limits =
        dice.bool().then(|| serde_json::from_value(serde_json::json!({ "body_bytes": body_bytes })).unwrap());
}

/// Over hundreds of random changes, some taken one by one, some several at once, some after a gap that no
/// delta fills, the table is the one that the whole configuration makes.
#[test]
fn a_changed_table_equals_the_one_built_from_the_whole_configuration() {
    for seed in 0..20 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut configuration = Configuration::empty();
        let mut table = LaneTable::default();
        let mut generation = 0;
        for _ in 0..150 {
            let mut deltas = Vec::new();
            for _ in 0..dice.u8(1..4) {
                let before = configuration.clone();
                drawn_change(&mut dice, &mut configuration);
                let base = (generation, &before);
                generation += dice.u64(1..3);
                deltas.push(ConfigurationDelta::between(base, (generation, &configuration)));
            }
            match dice.u8(..8) {
                // What this node had was older than the deltas build on.
                0 => drop(deltas.remove(0)),
                // It had some of them already, as after a catch-up by another way.
                1 => table.take_changed(deltas[0].generation, &configuration, &deltas[..1]),
                _ => {}
            }
            let before = table.clone();
            table.take_changed(generation, &configuration, &deltas);
            assert_eq!(table, LaneTable::new(generation, &configuration), "seed {seed}");
            // A call that began under the older table goes on by it.
            assert!(before.generation <= generation);
        }
    }
}

fn table_with_tenants(tenants: Option<serde_json::Value>) -> LaneTable {
    let mut document = serde_json::json!({"allowances": {"all": {"weight": 1}},
        "functions": {"f": {"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 1}},
        "lanes": {"own": {"function": "f", "path_prefix": "/own"},
            "open": {"function": "f", "path_prefix": "/open", "is_public": true}}});
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    LaneTable::new(1, &configuration_schema::check(&document).expect("a checked document"))
}

/// Guards against ROUTE on the duties: a lane that is not public needs a key of a tenant, even where the
/// document names no tenant, and no key where it does not name the group at all.
#[test]
fn a_key_is_needed_where_tenants_are_named_and_the_lane_is_not_public() {
    let needs = |table: &LaneTable, path| table.needs_key(table.find("GET", None, path).expect("a lane"));
    let acme =
        serde_json::json!({"acme": {"keys": ["SECRET-1", "SECRET-2"], "rank": 3}, "new": {"keys": []}});
    for (tenants, is_needed) in
        [(None, false), (Some(serde_json::json!({})), true), (Some(acme.clone()), true)]
    {
        let table = table_with_tenants(tenants);
        assert_eq!((needs(&table, "/own"), needs(&table, "/open")), (is_needed, false));
    }
    let table = table_with_tenants(Some(acme));
    let tenant = table.tenant_of("SECRET-2").expect("a tenant");
    assert_eq!((&*tenant.name, tenant.rank), ("acme", 3));
    for unknown in ["", "SECRET", "SECRET-11", "secret-1", "acme"] {
        assert_eq!(table.tenant_of(unknown), None);
    }
    assert!(!format!("{table:?}").contains("SECRET"), "a table hides its keys");
}
