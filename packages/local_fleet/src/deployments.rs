//! The two deployments that vanelane is built for, scaled down to one machine.

use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use test_doubles::{FakeFunction, Misbehaviour, PlatformSettings, Target};

/// Number of functions that get nine in ten calls.
pub const BUSY_FUNCTIONS: usize = 8;
/// Number of functions that share the remaining calls.
pub const RARE_FUNCTIONS: usize = 150;

/// The functions and sizes of a deployment.
pub struct Deployment {
    pub name: &'static str,
    worker_memory_mb: u64,
    busy_names: [&'static str; BUSY_FUNCTIONS],
    rare_name: &'static str,
    busy_memory_mb: [u64; BUSY_FUNCTIONS],
    busy_calls_at_once: u32,
    busy_work_millis: u64,
    repeatable_from: usize,
}

/// The deployment of this name, if there is one.
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
    /// The names of all functions, the busy ones first.
    pub fn functions(&self) -> Vec<String> {
        let busy = self.busy_names.iter().map(|name| (*name).to_owned());
        busy.chain((0..RARE_FUNCTIONS).map(|number| format!("{}-{number:03}", self.rare_name))).collect()
    }

    /// The configuration document that an operator sends.
    pub fn document(&self) -> Value {
        let mut functions = Map::new();
        let mut routes = Map::new();
        for (number, name) in self.functions().into_iter().enumerate() {
            let is_busy = number < BUSY_FUNCTIONS;
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

    /// Settings of a fake platform with this deployment's workers and functions.
    pub fn platform(&self) -> PlatformSettings {
        let mut functions = BTreeMap::new();
        for (number, name) in self.functions().into_iter().enumerate() {
            let is_busy = number < BUSY_FUNCTIONS;
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

    /// The targets of the load; nine in ten calls go to the busy functions.
    pub fn targets(&self) -> Vec<Target> {
        let functions = self.functions().into_iter().enumerate();
        functions
            .map(|(number, name)| Target {
                path: format!("/{name}/1"),
                weight: if number < BUSY_FUNCTIONS {
                    0.9 / BUSY_FUNCTIONS as f64
                } else {
                    0.1 / RARE_FUNCTIONS as f64
                },
                repeatable: (self.repeatable_from..BUSY_FUNCTIONS).contains(&number),
                function: name,
            })
            .collect()
    }
}
