//! Cost of one changed route for a node that has the previous generation, at 100, 1,000 and 10,000 routes: the
//! incremental parts, the body of the gossip item, and decoding the whole document. Incremental application is
//! also measured for one tenant that gets a key, at as many tenants.
//!
//! `cargo bench -p fleet_simulator --bench configuration_change`

use configuration_schema::{Configuration, ConfigurationDelta, StoredConfiguration};
use criterion::measurement::WallTime;
use criterion::{BatchSize, BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main};
use gateway::RouteTable;
use gossip::{Gossip, Neighbours};
use monotonic_clock::Micros;
use peer_messages::{Bytes, Message};
use serde_json::{Map, Value, json};
use std::hint::black_box;

const SIZES: [usize; 3] = [100, 1_000, 10_000];
const KEYS_OF_A_TENANT: usize = 4;
const TOPIC: &str = "configuration";
const OWNER: u64 = 1;
const READER: u64 = 2;

/// Two generations that differ by one route, in all forms that a node handles.
struct Generations {
    old_stored: StoredConfiguration,
    new_stored: StoredConfiguration,
    old: Configuration,
    delta: ConfigurationDelta,
}

fn document(routes: usize) -> Value {
    let mut functions = Map::new();
    let mut rows = Map::new();
    for number in 0..routes {
        let name = format!("function-{number}");
        let function = json!({
            "allowance": "all", "cell_memory_mb": 128, "calls_at_once": 1, "boot_millis": 900,
            "connection_limit": 95, "annotations": {"healthPath": null, "protocol": "h1", "tls": false},
        });
        let route = json!({
            "function": &name, "host": "traders.example", "path_prefix": format!("/{name}/"),
            "patience_millis": 4_000, "target_millis": 200, "rank": 2, "dispatch_limit": 2, "repeatable": true,
        });
        functions.insert(name.clone(), function);
        rows.insert(format!("lane-{number}"), route);
    }
    json!({"allowances": {"all": {"weight": 1}}, "functions": functions, "lanes": rows})
}

/// A stored configuration. It is not checked against the schema, whose bounds are below the largest size here.
fn stored(generation: u64, document: &Value) -> StoredConfiguration {
    let text = json!({"generation": generation, "document": document, "recent": []}).to_string();
    StoredConfiguration::decode(text.as_bytes()).expect("a decodable stored configuration")
}

fn generations(routes: usize) -> Generations {
    let mut document = document(routes);
    let old_stored = stored(1, &document);
    document["lanes"][format!("lane-{}", routes / 2)]["patience_millis"] = json!(3_000);
    let new_stored = stored(2, &document);
    let (old, new) = (
        old_stored.trusted().expect("a valid configuration"),
        new_stored.trusted().expect("a valid configuration"),
    );
    let delta = ConfigurationDelta::between((1, &old), (2, &new));
    Generations { old_stored, new_stored, old, delta }
}

/// Two generations that differ by one key of one tenant.
fn generations_of_tenants(count: usize) -> (Configuration, ConfigurationDelta) {
    let mut document = document(1);
    let key = |tenant: usize, number: usize| format!("key-{number}-of-tenant-{tenant}");
    let keys = |tenant: usize, key_count: usize| {
        (0..key_count).map(|number| key(tenant, number)).collect::<Vec<String>>()
    };
    let tenants: Map<String, Value> = (0..count)
        .map(|tenant| (format!("tenant-{tenant}"), json!({"keys": keys(tenant, KEYS_OF_A_TENANT)})))
        .collect();
    document["tenants"] = Value::Object(tenants);
    let old = stored(1, &document).trusted().expect("a valid configuration");
    let changed = count / 2;
    document["tenants"][format!("tenant-{changed}")]["keys"] = json!(keys(changed, KEYS_OF_A_TENANT + 1));
    let new = stored(2, &document).trusted().expect("a valid configuration");
    let delta = ConfigurationDelta::between((1, &old), (2, &new));
    (old, delta)
}

/// The message that announces the change to a peer, and that peer's gossip state before it.
fn announced_change(generations: &Generations) -> (Message, Gossip) {
    let mut owner = Gossip::new(7);
    owner.set_neighbours(OWNER, Neighbours::of_one_zone(vec![READER]));
    let body = |stored: &StoredConfiguration| Bytes(stored.encode());
    owner.publish(TOPIC, OWNER, 1, body(&generations.old_stored));
    let encoded_delta = Bytes(generations.delta.encode());
    owner.publish_changed(TOPIC, OWNER, 2, body(&generations.new_stored), encoded_delta);
    let known = peer_messages::List(vec![peer_messages::GossipVersion { topic: TOPIC.into(), sequence: 1 }]);
    let (_, sends) = owner.handle_message(READER, Message::GossipRequest { known });
    let message = sends.into_iter().map(|(_, message)| message).next().expect("a response with the change");
    let mut reader = Gossip::new(8);
    reader.publish(TOPIC, OWNER, 1, body(&generations.old_stored));
    (message, reader)
}

fn by_item(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("by_item");
    for size in SIZES {
        let routes = generations(size);
        bench_by_item(
            &mut group,
            BenchmarkId::new("configuration and table", size),
            &routes.old,
            &routes.delta,
        );
        let (old, delta) = generations_of_tenants(size);
        bench_by_item(&mut group, BenchmarkId::new("a key of one tenant", size), &old, &delta);
    }
    group.finish();
}

fn bench_by_item(
    group: &mut BenchmarkGroup<'_, WallTime>,
    name: BenchmarkId,
    old: &Configuration,
    delta: &ConfigurationDelta,
) {
    let table = RouteTable::new(1, old);
    let encoded_delta = delta.encode();
    let mut configuration = old.clone();
    group.bench_function(name, |bencher| {
        bencher.iter(|| {
            let delta = ConfigurationDelta::decode(black_box(&encoded_delta)).expect("a decodable delta");
            delta.apply(&mut configuration);
            let mut next = table.clone();
            next.apply_changes(2, &configuration, std::slice::from_ref(&delta));
            next
        });
    });
}

fn gossip(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("news");
    for routes in SIZES {
        let generations = generations(routes);
        let (message, _) = announced_change(&generations);
        group.bench_function(BenchmarkId::new("the body", routes), |bencher| {
            bencher.iter_batched(
                || (message.clone(), announced_change(&generations).1),
                |(message, mut reader)| {
                    let (newer, _) = reader.handle_message(OWNER, message);
                    assert_eq!(newer, [TOPIC]);
                    reader
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn whole(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole");
    for routes in SIZES {
        let stored_bytes = generations(routes).new_stored.encode();
        group.bench_function(BenchmarkId::new("configuration and table", routes), |bencher| {
            bencher.iter(|| {
                let stored = StoredConfiguration::decode(black_box(&stored_bytes))
                    .expect("a decodable stored configuration");
                let configuration = stored.trusted().expect("a valid configuration");
                RouteTable::new(stored.generation, &configuration)
            });
        });
    }
    group.finish();
}

fn short_benchmark() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Micros::from_millis(300).duration())
        .measurement_time(Micros::from_millis(1_500).duration())
}

criterion_group! { name = changes; config = short_benchmark(); targets = by_item, gossip, whole }
criterion_main!(changes);
