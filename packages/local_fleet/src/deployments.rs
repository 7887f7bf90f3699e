//! The two deployments of the brief, as far as one machine can stand in for them.

use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use test_doubles::{FakeFunction, Misbehaviour, PlatformSettings, Target};

pub const BUSY: usize = 8;
pub const RARE: usize = 150;

/// A deployment's sizes.
pub struct Deployment {
    pub name: &'static str,
    worker_memory_mb: u64,
    busy_names: [&'static str; BUSY],
    rare_name: &'static str,
    busy_memory_mb: [u64; BUSY],
    busy_calls_at_once: u32,
    busy_work_millis: u64,
    repeatable_from: usize,
}

pub fn find(name: &str) -> Option<Deployment> {
    match name {
        "tiszacimke" => Some(Deployment {
            name: "tiszacimke",
            worker_memory_mb: 6_500,
            busy_names: [
                "proof",
                "rush-reorder",
                "preflight",
                "colour",
                "impose",
                "quote",
                "label-check",
                "batch",
            ],
            rare_name: "converter",
            busy_memory_mb: [500, 600, 700, 800, 500, 600, 700, 800],
            busy_calls_at_once: 6,
            busy_work_millis: 60,
            repeatable_from: 4,
        }),
        "ledgerwick" => Some(Deployment {
            name: "ledgerwick",
            worker_memory_mb: 5_300,
            busy_names: [
                "receipt",
                "invoice-post",
                "tax-summary",
                "ledger",
                "match",
                "export",
                "remind",
                "scan",
            ],
            rare_name: "trader",
            busy_memory_mb: [500, 500, 800, 600, 700, 600, 500, 800],
            busy_calls_at_once: 8,
            busy_work_millis: 80,
            repeatable_from: 5,
        }),
        _ => None,
    }
}

impl Deployment {
    pub fn functions(&self) -> Vec<String> {
        let busy = self.busy_names.iter().map(|name| (*name).to_owned());
        busy.chain((0..RARE).map(|number| format!("{}-{number:03}", self.rare_name))).collect()
    }

    /// The configuration document that an operator would send.
    pub fn document(&self) -> Value {
        let mut functions = Map::new();
        let mut routes = Map::new();
        for (number, name) in self.functions().into_iter().enumerate() {
            let is_busy = number < BUSY;
            let function = match is_busy {
                true => json!({
                    "allowance": "busy",
                    "cell_memory_mb": self.busy_memory_mb[number],
                    "calls_at_once": self.busy_calls_at_once,
                    "boot_millis": 1_500,
                    "idle_seconds": 30,
                }),
                false => json!({
                    "allowance": "rare",
                    "cell_memory_mb": 128,
                    "calls_at_once": 2,
                    "boot_millis": 1_000,
                    "idle_seconds": 15,
                }),
            };
            let route = json!({
                "function": name,
                "path_prefix": format!("/{name}"),
                "methods": ["POST"],
                "repeatable": is_busy && number >= self.repeatable_from,
                "patience_millis": 4_000,
            });
            functions.insert(name.clone(), function);
            routes.insert(name, route);
        }
        json!({
            "allowances": {
                "all": { "weight": 1 },
                "busy": { "parent": "all", "weight": 3 },
                "rare": { "parent": "all", "weight": 1, "memory_floor_mb": 8_000 },
            },
            "functions": functions,
            "lanes": routes,
        })
    }

    /// The platform stand-in with this deployment's workers and cells.
    pub fn platform(&self) -> PlatformSettings {
        let mut functions = BTreeMap::new();
        for (number, name) in self.functions().into_iter().enumerate() {
            let is_busy = number < BUSY;
            let behaviour = FakeFunction {
                boot_millis: if is_busy { 1_400 } else { 900 },
                calls_at_once: if is_busy { self.busy_calls_at_once } else { 2 },
                work_millis: if is_busy { self.busy_work_millis } else { 40 },
                misbehaviour: Misbehaviour::default(),
            };
            functions.insert(name, behaviour);
        }
        PlatformSettings {
            workers: 12,
            worker_memory_mb: self.worker_memory_mb,
            operations_per_second: 80.0,
            list_late: Duration::from_millis(1_000),
            functions,
            drain_within: Duration::from_secs(5),
        }
    }

    /// Nine in ten calls go to the busy functions.
    pub fn targets(&self) -> Vec<Target> {
        let functions = self.functions().into_iter().enumerate();
        functions
            .map(|(number, name)| Target {
                path: format!("/{name}/1"),
                weight: if number < BUSY { 0.9 / BUSY as f64 } else { 0.1 / RARE as f64 },
                repeatable: (self.repeatable_from..BUSY).contains(&number),
                function: name,
            })
            .collect()
    }
}
