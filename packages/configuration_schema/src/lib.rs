//! Reading, checking and changing the operator's configuration.
//!
//! A document is checked against the shipped schema and then for meaning; all reasons are reported,
//! each with its JSON path. A change is applied to the stored document as one step: it takes effect
//! whole under a new generation, or not at all.

mod annotations;
mod api_key;
mod changes;
mod delta;
mod function_targets;
mod path_prefix;
mod schema_reasons;
mod tenant_checks;

pub use annotations::Annotations;
pub use api_key::ApiKey;
pub use changes::{Change, ChangeOutcome, EXPECTED_VERSION, StoredConfiguration};
pub use delta::{ChangedAnnotations, ChangedFunctions, ChangedLimits, ConfigurationDelta};
pub use function_targets::FunctionTargets;
pub use path_prefix::PathPrefix;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

/// The schema that is shipped with vanelane. Example: `vanelane schema` prints it.
pub const SCHEMA: &str = include_str!("../configuration.schema.json");
/// The maximum length of a configuration document, in bytes.
pub const DOCUMENT_LIMIT: usize = 8 * 1024 * 1024;
/// The maximum number of reasons reported for one document.
const REASON_LIMIT: usize = 100;

/// One reason why a document is refused. Example: `Reason::at("/lanes/a/function", "no such function")`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// The place in the document, as a JSON pointer.
    pub path: String,
    /// What is wrong there.
    pub reason: String,
}

impl Reason {
    /// A reason at a place. Example: `Reason::at("", "not JSON").path.is_empty()`.
    pub fn at(path: impl Into<String>, reason: impl Into<String>) -> Reason {
        Reason { path: path.into(), reason: reason.into() }
    }
}

/// The policy that decides how many instances of a function are kept. Example: `"kept_by": "cost"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeptBy {
    /// As many as the peak use during the last `idle_seconds`.
    #[default]
    Idle,
    /// Load and target latency, weighted by the cost model.
    Cost,
}

/// Declares the structs of the document with their serde derives.
macro_rules! document_structs {
    ($($(#[$note:meta])* $name:ident { $($(#[$field_note:meta])* $field:ident: $type:ty,)* })*) => {
        $(#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        $(#[$note])*
        pub struct $name { $($(#[$field_note])* pub $field: $type,)* })*
    };
}

document_structs! {
    /// A node of the quota tree. Example: `{"parent": "all", "weight": 3}`.
    #[serde(rename = "Allowance")]
    Quota {
        /// The parent quota; none for a root.
        #[serde(default)] parent: Option<String>,
        /// The share relative to its siblings.
        weight: f64,
        /// Memory that is guaranteed if there is demand for it.
        #[serde(default)] memory_floor_mb: Option<f64>,
        /// The maximum memory.
        #[serde(default)] memory_ceiling_mb: Option<f64>,
        /// Instance starts per second that are guaranteed if there is demand for them.
        #[serde(default)] starts_floor_per_second: Option<f64>,
        /// The maximum instance starts per second.
        #[serde(default)] starts_ceiling_per_second: Option<f64>,
    }
    /// A function, which runs in instances.
    /// Example: `{"allowance": "busy", "cell_memory_mb": 600, "calls_at_once": 4}`.
    Function {
        /// The quota that it belongs to, as a leaf of the tree.
        #[serde(rename = "allowance")] quota: String,
        /// The share relative to its siblings.
        #[serde(default = "default_weight")] weight: f64,
        /// The memory of one instance.
        #[serde(rename = "cell_memory_mb")] instance_memory_mb: u64,
        /// The maximum number of concurrent calls of one instance.
        calls_at_once: u32,
        /// The assumed boot time of an instance, until boot times have been measured.
        #[serde(default = "default_boot_millis")] boot_millis: u64,
        /// How long an instance may be idle before it is stopped, if instances are kept by `idle`.
        #[serde(default = "default_idle_seconds")] idle_seconds: u64,
        /// The policy that decides how many instances are kept.
        #[serde(default)] kept_by: KeptBy,
        /// The minimum number of instances, kept even when idle.
        #[serde(default)] #[serde(rename = "least_cells")] min_instances: u32,
        /// The maximum number of instances.
        #[serde(default = "default_max_instances")] #[serde(rename = "most_cells")] max_instances: u32,
        /// The maximum number of calls queued at the leader.
        #[serde(default = "default_queue_limit")] #[serde(rename = "waitlist")] queue_limit: u32,
        /// The maximum number of connections of one instance, from all nodes together.
        #[serde(default, skip_serializing_if = "Option::is_none")] connection_limit: Option<u32>,
        /// Kept as sent and not interpreted.
        #[serde(default, skip_serializing_if = "Option::is_none")] annotations: Option<Annotations>,
    }
    /// One share of a route that is split over functions. Example: `{"function": "proof", "weight": 3}`.
    #[serde(rename = "LaneShare")]
    RouteShare {
        /// The function that these calls go to.
        function: String,
        /// The share relative to the others; no calls are sent for zero.
        weight: f64,
    }
    /// Limits on the size and duration of clients' requests. Example: `{"body_bytes": 262144}`.
    #[serde(rename = "VisitorLimits")]
    ClientLimits {
        /// The maximum length of a request head, in bytes.
        #[serde(default, skip_serializing_if = "Option::is_none")] header_bytes: Option<u64>,
        /// The maximum length of a request body, in bytes.
        #[serde(default, skip_serializing_if = "Option::is_none")] body_bytes: Option<u64>,
        /// How long a request head may take to arrive, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")] header_wait_millis: Option<u64>,
        /// How long a connection may be idle between two requests, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")] idle_millis: Option<u64>,
        /// Kept as sent and not interpreted.
        #[serde(default, skip_serializing_if = "Option::is_none")] annotations: Option<Annotations>,
    }
    /// A route: which calls go to which function. Example: `{"function": "proof", "path_prefix": "/proof"}`.
    #[serde(rename = "Lane")]
    Route {
        /// The function that its calls go to, unless it is split.
        #[serde(default, skip_serializing_if = "String::is_empty")] function: String,
        /// The functions that its calls go to by weight, instead of one function.
        #[serde(default, skip_serializing_if = "Vec::is_empty")] split: Vec<RouteShare>,
        /// The only host that it applies to; any host if none is named.
        #[serde(default)] host: Option<String>,
        /// Matched at whole path segments; the longest prefix wins. With a slash at its end, it does not take the path
        /// without that slash.
        path_prefix: String,
        /// The methods that it applies to; all if empty.
        #[serde(default)] methods: Vec<String>,
        /// Whether a call whose outcome is unknown may be dispatched again.
        #[serde(default)] repeatable: bool,
        /// The time limit of a call as a whole, unless the client names a shorter one.
        #[serde(default = "default_timeout")] #[serde(rename = "patience_millis")] timeout_millis: u64,
        /// The latency within which a response is worth most: decides whether a call may wait for a cold start.
        #[serde(default, skip_serializing_if = "Option::is_none")] target_millis: Option<u64>,
        /// The priority when not all calls can be served; zero is served first.
        #[serde(default)] rank: u32,
        /// Whether its calls need no API key.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")] is_public: bool,
        /// The maximum number of instances that one call may be dispatched to.
        #[serde(default, skip_serializing_if = "Option::is_none")] dispatch_limit: Option<u32>,
        /// Kept as sent and not interpreted.
        #[serde(default, skip_serializing_if = "Option::is_none")] annotations: Option<Annotations>,
    }
    /// A tenant, whose calls are identified by API keys. Example: `{"keys": ["k1", "k2"], "rank": 1}`.
    Tenant {
        /// The keys that its calls may carry; a key belongs to one tenant only.
        keys: Vec<ApiKey>,
        /// The priority when not all calls can be served, compared before the route's rank; zero is served first.
        #[serde(default)] rank: u32,
        /// Kept as sent and not interpreted.
        #[serde(default, skip_serializing_if = "Option::is_none")] annotations: Option<Annotations>,
    }
    /// A checked document. Example: `check(&document)?.routes["proofs"].function`.
    Configuration {
        /// The quota tree.
        #[serde(rename = "allowances")] quotas: BTreeMap<String, Quota>,
        /// The functions.
        functions: BTreeMap<String, Function>,
        /// The routes.
        #[serde(rename = "lanes")] routes: BTreeMap<String, Route>,
        /// The tenants. If the document has this group, even empty, calls on routes that are not public need a
        /// tenant's key.
        #[serde(default, skip_serializing_if = "Option::is_none")] tenants: Option<BTreeMap<String, Tenant>>,
        /// Limits on clients; the program's defaults apply where none is given.
        #[serde(default)] #[serde(rename = "visitor_limits")] client_limits: Option<ClientLimits>,
        /// Kept as sent and not interpreted.
        #[serde(default)] annotations: Option<Annotations>,
    }
}

fn default_weight() -> f64 {
    1.0
}
fn default_idle_seconds() -> u64 {
    60
}
fn default_boot_millis() -> u64 {
    1_000
}
fn default_max_instances() -> u32 {
    1_000
}
fn default_queue_limit() -> u32 {
    256
}
fn default_timeout() -> u64 {
    4_000
}

impl Configuration {
    /// The configuration before any change. Example: `Configuration::empty().routes.is_empty()`.
    pub fn empty() -> Configuration {
        Configuration {
            quotas: BTreeMap::new(),
            functions: BTreeMap::new(),
            routes: BTreeMap::new(),
            tenants: None,
            client_limits: None,
            annotations: None,
        }
    }
}

impl Route {
    /// The functions that this route may send calls to, with their weights.
    /// Example: for an unsplit route, its one function with weight 1.
    pub fn shares(&self) -> Vec<(&str, f64)> {
        match self.split.is_empty() {
            true => vec![(self.function.as_str(), 1.0)],
            false => {
                let shares = self.split.iter().filter(|share| share.weight > 0.0);
                shares.map(|share| (share.function.as_str(), share.weight)).collect()
            }
        }
    }
}

static VALIDATOR: LazyLock<Result<jsonschema::Validator, String>> = LazyLock::new(|| {
    let schema_value: Value = serde_json::from_str(SCHEMA).map_err(|failure| failure.to_string())?;
    jsonschema::validator_for(&schema_value).map_err(|failure| failure.to_string())
});

/// Checks a document against the schema and then for meaning; every reason has its path.
/// Example: `check(&json!({"lanes": 3})).unwrap_err()[0].path == "/lanes"`.
pub fn check(document: &Value) -> Result<Configuration, Vec<Reason>> {
    let validator = match &*VALIDATOR {
        Ok(validator) => validator,
        Err(failure) => return Err(vec![Reason::at("", format!("the shipped schema: {failure}"))]),
    };
    let schema_reasons: Vec<Reason> = validator
        .iter_errors(document)
        .take(REASON_LIMIT)
        .map(|failure| schema_reasons::schema_reason(&failure))
        .collect();
    if !schema_reasons.is_empty() {
        return Err(schema_reasons);
    }
    let configuration = match Configuration::deserialize(document) {
        Ok(configuration) => configuration,
        Err(failure) => return Err(vec![type_mismatch(document, &failure)]),
    };
    let mut reasons = Vec::new();
    check_quotas(&configuration, &mut reasons);
    check_functions(&configuration, &mut reasons);
    check_routes(&configuration, &mut reasons);
    tenant_checks::check_tenants(&configuration, &mut reasons);
    reasons.truncate(REASON_LIMIT);
    if reasons.is_empty() { Ok(configuration) } else { Err(reasons) }
}

/// The reason for a document that passes the schema but does not fit the types, such as a whole number written
/// as `1.0`. For tenants the failure's text is left out, as it may quote a key.
fn type_mismatch(document: &Value, failure: &serde_json::Error) -> Reason {
    let mut without_tenants = document.clone();
    if let Some(fields) = without_tenants.as_object_mut() {
        fields.remove("tenants");
    }
    match Configuration::deserialize(&without_tenants) {
        Ok(_) => {
            Reason::at("/tenants", "a value does not fit its type, such as a whole number with a fraction")
        }
        Err(_) => Reason::at("", failure.to_string()),
    }
}

fn check_quotas(configuration: &Configuration, reasons: &mut Vec<Reason>) {
    for (name, quota) in &configuration.quotas {
        let place = format!("/allowances/{name}");
        if let Some(parent) = &quota.parent
            && !configuration.quotas.contains_key(parent)
        {
            reasons.push(Reason::at(format!("{place}/parent"), format!("no allowance named {parent}")));
        }
        if is_circular(configuration, name) {
            reasons.push(Reason::at(format!("{place}/parent"), "the tree runs in a circle"));
            continue;
        }
        let pairs = [
            ("memory_floor_mb", quota.memory_floor_mb, quota.memory_ceiling_mb),
            ("starts_floor_per_second", quota.starts_floor_per_second, quota.starts_ceiling_per_second),
        ];
        for (field, floor, ceiling) in pairs {
            if floor.zip(ceiling).is_some_and(|(low, high)| low > high) {
                reasons.push(Reason::at(format!("{place}/{field}"), "the floor is above the ceiling"));
            }
        }
        let child_floors = |floor: fn(&Quota) -> Option<f64>| -> f64 {
            let children = configuration.quotas.values().filter(|child| child.parent.as_ref() == Some(name));
            children.filter_map(floor).sum()
        };
        let floor_sums = [
            ("memory_ceiling_mb", child_floors(|child| child.memory_floor_mb), quota.memory_ceiling_mb),
            (
                "starts_ceiling_per_second",
                child_floors(|child| child.starts_floor_per_second),
                quota.starts_ceiling_per_second,
            ),
        ];
        for (field, floor_sum, ceiling) in floor_sums {
            if ceiling.is_some_and(|high| floor_sum > high) {
                let reason = format!("the children's floors add up to {floor_sum}, above this ceiling");
                reasons.push(Reason::at(format!("{place}/{field}"), reason));
            }
        }
    }
}

fn is_circular(configuration: &Configuration, start: &str) -> bool {
    let mut seen_names = BTreeSet::new();
    let mut current_name = start;
    while seen_names.insert(current_name) {
        let parent_name = configuration.quotas.get(current_name).and_then(|quota| quota.parent.as_deref());
        let Some(parent_name) = parent_name else { return false };
        current_name = parent_name;
    }
    true
}

fn check_functions(configuration: &Configuration, reasons: &mut Vec<Reason>) {
    for (name, function) in &configuration.functions {
        let place = format!("/functions/{name}");
        let Some(quota) = configuration.quotas.get(&function.quota) else {
            let reason = format!("no allowance named {}", function.quota);
            reasons.push(Reason::at(format!("{place}/allowance"), reason));
            continue;
        };
        if quota.memory_ceiling_mb.is_some_and(|ceiling| (function.instance_memory_mb as f64) > ceiling) {
            let reason = "one cell is larger than its allowance's memory ceiling";
            reasons.push(Reason::at(format!("{place}/cell_memory_mb"), reason));
        }
        if function.min_instances > function.max_instances {
            let reason = "least_cells is above most_cells";
            reasons.push(Reason::at(format!("{place}/least_cells"), reason));
        }
    }
}

fn check_routes(configuration: &Configuration, reasons: &mut Vec<Reason>) {
    let mut routes_by_match: BTreeMap<(Option<&str>, &str, &str), &str> = BTreeMap::new();
    for (name, route) in &configuration.routes {
        let place = format!("/lanes/{name}");
        let is_named = !route.function.is_empty();
        if is_named && !configuration.functions.contains_key(&route.function) {
            let reason = format!("no function named {}", route.function);
            reasons.push(Reason::at(format!("{place}/function"), reason));
        }
        if is_named != route.split.is_empty() {
            reasons.push(Reason::at(place.clone(), "name either function or split"));
        }
        for (number, share) in route.split.iter().enumerate() {
            if !configuration.functions.contains_key(&share.function) {
                let reason = format!("no function named {}", share.function);
                reasons.push(Reason::at(format!("{place}/split/{number}/function"), reason));
            }
        }
        if !route.split.is_empty() && route.split.iter().map(|share| share.weight).sum::<f64>() <= 0.0 {
            reasons.push(Reason::at(format!("{place}/split"), "the weights add up to 0"));
        }
        let directory = PathPrefix::of(&route.path_prefix).directory;
        let methods: Vec<&str> = match route.methods.is_empty() {
            true => vec!["any"],
            false => route.methods.iter().map(String::as_str).collect(),
        };
        for method in methods {
            let key = (route.host.as_deref(), directory, method);
            if let Some(other_name) = routes_by_match.insert(key, name) {
                let reason = format!("lane {other_name} takes the same calls");
                reasons.push(Reason::at(format!("{place}/path_prefix"), reason));
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests;
