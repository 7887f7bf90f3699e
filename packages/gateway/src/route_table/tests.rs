use super::*;
use std::collections::BTreeMap;

#[test]
fn the_longest_prefix_of_whole_segments_and_the_more_specific_route_win() {
    let document = r#"{"allowances": {"all": {"weight": 1}},
        "functions": {"f": {"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 1}},
        "lanes": {"root": {"function": "f", "path_prefix": "/"},
            "proof": {"function": "f", "path_prefix": "/proof"},
            "posted": {"function": "f", "path_prefix": "/proof", "methods": ["POST"]},
            "hosted": {"function": "f", "path_prefix": "/proof/", "host": "rush.example"},
            "deep": {"function": "f", "path_prefix": "/proof/rush"}}}"#;
    let configuration =
        configuration_schema::check(&document.parse().expect("JSON")).expect("a valid configuration");
    let table = RouteTable::new(1, &configuration);
    let name = |method, host, path| table.find(method, host, path).map(|route| route.name.as_str());
    assert_eq!(name("GET", None, "/proof/1"), Some("proof"));
    assert_eq!(name("POST", None, "/proof"), Some("posted"));
    assert_eq!(name("POST", Some("RUSH.example:80"), "/proof"), Some("posted"));
    assert_eq!(name("POST", Some("RUSH.example:80"), "/proof/"), Some("hosted"));
    assert_eq!(name("POST", Some("RUSH.example:80"), "/proof/1"), Some("hosted"));
    assert_eq!(name("GET", None, "/proof/rush/now"), Some("deep"));
    assert_eq!(name("GET", None, "/proofs"), Some("root"));
    assert_eq!(name("GET", None, "/proof/../admin"), None);
    assert_eq!(RouteTable::default().find("GET", None, "/"), None);
}

/// A random path of up to three segments, of which some are empty; it ends with a slash or without one.
fn random_path(rng: &mut fastrand::Rng) -> String {
    let segments = ["a", "b", "ab", ""];
    let path: String =
        (0..rng.u8(..4)).map(|_| format!("/{}", segments[rng.usize(..segments.len())])).collect();
    if path.is_empty() || rng.bool() { format!("{path}/") } else { path }
}

/// Whether a prefix takes a path, by comparing whole strings.
fn takes(path_prefix: &str, path: &str) -> bool {
    if path_prefix.ends_with('/') {
        return path.starts_with(path_prefix);
    }
    path == path_prefix || path.starts_with(&format!("{path_prefix}/"))
}

/// The name of the route that a call has to get: the longest prefix, then the more specific route.
fn expected_route(
    configuration: &Configuration,
    method: &str,
    host: Option<&str>,
    path: &str,
) -> Option<String> {
    let is_matching = |route: &Route| {
        takes(&route.path_prefix, path)
            && (route.host.is_none() || route.host.as_deref() == host)
            && (route.methods.is_empty() || route.methods.iter().any(|named| named == method))
    };
    let matching = configuration.routes.iter().filter(|(_, route)| is_matching(route));
    let first = matching.min_by_key(|(name, route)| {
        let directory = route.path_prefix.strip_suffix('/').unwrap_or(&route.path_prefix);
        let longest_first = std::cmp::Reverse(directory.len());
        (longest_first, route.host.is_none(), route.methods.is_empty(), (*name).clone())
    });
    first.map(|(name, _)| name.clone())
}

/// Guards against violations of ROUTE: a path that equals a prefix without its last slash went to that prefix's
/// route, which does not take it.
#[test]
fn calls_go_to_the_longest_prefix_that_takes_the_whole_path() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut configuration = Configuration::empty();
        for number in 0..rng.u8(1..12) {
            let route = Route { path_prefix: random_path(&mut rng), ..random_route(&mut rng) };
            configuration.routes.insert(format!("lane-{number}"), route);
        }
        let table = RouteTable::new(1, &configuration);
        for _ in 0..200 {
            let path = random_path(&mut rng);
            let host = rng.bool().then(|| format!("host-{}.example", rng.u8(..3)));
            let method = if rng.bool() { "POST" } else { "GET" };
            let found = table.find(method, host.as_deref(), &path).map(|route| route.name.clone());
            let expected = expected_route(&configuration, method, host.as_deref(), &path);
            assert_eq!(found, expected, "seed {seed}: {method} {host:?} {path} in {configuration:?}");
        }
    }
}

/// A random route; many share a prefix and differ by host, methods or target.
fn random_route(rng: &mut fastrand::Rng) -> Route {
    let host = rng.bool().then(|| format!("host-{}.example", rng.u8(..3)));
    let methods = if rng.bool() { vec!["POST".to_owned()] } else { Vec::new() };
    let document = serde_json::json!({
        "function": format!("f-{}", rng.u8(..5)),
        "path_prefix": format!("/{}/", rng.u8(..6)),
        "host": host,
        "methods": methods,
        "is_public": rng.bool(),
        "target_millis": rng.u64(1..500),
    });
    serde_json::from_value(document).expect("a valid route")
}

/// A random change of tenants: one is added, changed or removed, a key moves to another tenant, or the whole
/// section is added or removed.
fn random_change_of_tenants(rng: &mut fastrand::Rng, configuration: &mut Configuration) {
    if rng.u8(..12) == 0 {
        configuration.tenants = rng.bool().then(BTreeMap::new);
    }
    let Some(tenants) = &mut configuration.tenants else { return };
    let name = format!("tenant-{}", rng.u8(..6));
    if rng.u8(..4) == 0 {
        tenants.remove(&name);
        return;
    }
    let key = ApiKey::new(format!("key-{}", rng.u8(..12)));
    for tenant in tenants.values_mut() {
        tenant.keys.retain(|other| *other != key);
    }
    let none = Tenant { keys: Vec::new(), rank: rng.u32(..3), annotations: None };
    let tenant = tenants.entry(name).or_insert(none);
    tenant.rank = rng.u32(..3);
    // A tenant may list the same key twice.
    tenant.keys.extend(std::iter::repeat_n(key, rng.usize(1..3)));
}

fn random_change(rng: &mut fastrand::Rng, configuration: &mut Configuration) {
    for _ in 0..rng.u8(1..4) {
        let route = format!("lane-{}", rng.u8(..20));
        match rng.u8(..8) {
            0 => drop(configuration.routes.remove(&route)),
            1 => drop(configuration.functions.remove(&format!("f-{}", rng.u8(..5)))),
            2 => {
                let document = serde_json::json!({
                    "allowance": "all", "cell_memory_mb": 1, "calls_at_once": rng.u32(1..9),
                    "connection_limit": rng.u32(1..99),
                });
                let function = serde_json::from_value(document).expect("a valid function");
                configuration.functions.insert(format!("f-{}", rng.u8(..5)), function);
            }
            3 => drop(configuration.routes.insert(route, random_route(rng))),
            _ => random_change_of_tenants(rng, configuration),
        }
    }
    let body_bytes = rng.u64(1_024..9_999);
    configuration.client_limits =
        rng.bool().then(|| serde_json::from_value(serde_json::json!({ "body_bytes": body_bytes })).unwrap());
}

/// Guards against a table that diverges from its configuration when deltas are applied: over hundreds of
/// random changes, applied one by one, several at once, or with a delta missing.
#[test]
fn a_changed_table_equals_the_one_built_from_the_whole_configuration() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut configuration = Configuration::empty();
        let mut table = RouteTable::default();
        let mut generation = 0;
        for _ in 0..150 {
            let mut deltas = Vec::new();
            for _ in 0..rng.u8(1..4) {
                let before = configuration.clone();
                random_change(&mut rng, &mut configuration);
                let base = (generation, &before);
                generation += rng.u64(1..3);
                deltas.push(ConfigurationDelta::between(base, (generation, &configuration)));
            }
            match rng.u8(..8) {
                // This node's table is older than the base of the remaining deltas.
                0 => drop(deltas.remove(0)),
                // It has applied some of them already, as after a catch-up by another path.
                1 => table.apply_changes(deltas[0].generation, &configuration, &deltas[..1]),
                _ => {}
            }
            let before = table.clone();
            table.apply_changes(generation, &configuration, &deltas);
            assert_eq!(table, RouteTable::new(generation, &configuration), "seed {seed}");
            // A call that began with the older table still holds it unchanged.
            assert!(before.generation <= generation);
        }
    }
}

fn table_with_tenants(tenants: Option<serde_json::Value>) -> RouteTable {
    let mut document = serde_json::json!({"allowances": {"all": {"weight": 1}},
        "functions": {"f": {"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 1}},
        "lanes": {"own": {"function": "f", "path_prefix": "/own"},
            "open": {"function": "f", "path_prefix": "/open", "is_public": true}}});
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    RouteTable::new(1, &configuration_schema::check(&document).expect("a valid configuration"))
}

/// Guards against violations of ROUTE: where the document has a `tenants` section, even an empty one, a route
/// that is not public needs a tenant's key; without the section no route needs one.
#[test]
fn a_key_is_needed_where_tenants_are_configured_and_the_route_is_not_public() {
    let needs =
        |table: &RouteTable, path| table.needs_key(table.find("GET", None, path).expect("a matching route"));
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
    assert!(!format!("{table:?}").contains("SECRET"), "the Debug form of a table shows keys");
}
