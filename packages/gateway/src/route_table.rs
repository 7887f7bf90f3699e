use configuration_schema::{
    ApiKey, ClientLimits, Configuration, ConfigurationDelta, Function, Route, Tenant,
};
use imbl::HashMap;
use monotonic_clock::Micros;
use std::sync::Arc;

/// A lane as calls are matched to it. Example: `table.find("POST", None, "/proof/1").unwrap().function`.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The lane's name.
    pub name: String,
    /// Where its calls go; the first of the split where it is split.
    pub function: String,
    /// Where its calls go by weight; empty for a lane with one function.
    split: Vec<(String, f64)>,
    /// Cells that one call may be sent to, if the lane says so.
    pub dispatch_limit: Option<u32>,
    /// The time within which an answer is worth most.
    pub target: Option<Micros>,
    /// Zero is served first.
    pub rank: u32,
    /// Whether its calls need no tenant's key.
    pub is_public: bool,
    /// Whether a call of unknown fate may be dispatched again.
    pub repeatable: bool,
    /// How long its calls may take.
    pub timeout: Micros,
    host: Option<String>,
    methods: Vec<String>,
    prefix: String,
}

impl RouteEntry {
    /// The function for one call: by weight where the lane is split. `random` is within 0 and 1.
    /// Example: a lane split 3 to 1 picks its first function for draws below 0.75.
    pub fn pick(&self, random: f64) -> &str {
        let total: f64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = random * total;
        for (function, weight) in &self.split {
            left -= weight;
            if left < 0.0 {
                return function;
            }
        }
        &self.function
    }

    /// Whether this lane may send calls to the function. Example: `row.allows("proof")`.
    pub fn allows(&self, function: &str) -> bool {
        self.function == function || self.split.iter().any(|(name, _)| name == function)
    }
}

impl RouteEntry {
    fn new(name: &str, route: &Route) -> RouteEntry {
        let shares = route.shares();
        RouteEntry {
            name: name.to_owned(),
            function: shares.first().map_or_else(String::new, |(function, _)| (*function).to_owned()),
            split: match route.split.is_empty() {
                true => Vec::new(),
                false => shares.into_iter().map(|(function, part)| (function.to_owned(), part)).collect(),
            },
            dispatch_limit: route.dispatch_limit,
            target: route.target_millis.map(Micros::from_millis),
            rank: route.rank,
            is_public: route.is_public,
            repeatable: route.repeatable,
            timeout: Micros::from_millis(route.timeout_millis),
            host: route.host.clone(),
            methods: route.methods.clone(),
            prefix: route.path_prefix.trim_end_matches('/').to_owned(),
        }
    }

    /// The narrower lane of a prefix comes first: one with a host, then one with methods.
    fn place(&self) -> (bool, bool, &str) {
        (self.host.is_none(), self.methods.is_empty(), &self.name)
    }
}

/// A tenant as calls are told by its keys. Example: `table.tenant_of("k1").unwrap().name`.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantEntry {
    /// The tenant's name.
    pub name: Arc<str>,
    /// Goes before the rank of lanes; zero is served first.
    pub rank: u32,
}

/// What one cell of a function takes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InstanceLimits {
    /// Connections, from all nodes together, where they are bounded.
    connections: Option<u32>,
    calls_at_once: u32,
}

/// All lanes of one generation, by path prefix. Its maps are persistent: the table of the next generation
/// shares with this one all that did not change. Example: `RouteTable::new(4, &configuration)`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The configuration's generation.
    pub generation: u64,
    /// Bounds on visitors, as far as the configuration names them.
    pub client_limits: Option<ClientLimits>,
    instance_limits: HashMap<String, InstanceLimits>,
    by_prefix: HashMap<String, Arc<Vec<RouteEntry>>>,
    /// The prefix under which each lane stands.
    prefixes: HashMap<String, String>,
    /// Whether calls on lanes that are not public need a key.
    needs_keys: bool,
    tenants_by_key: HashMap<ApiKey, TenantEntry>,
    /// The keys under which each tenant stands.
    tenant_keys: HashMap<String, Vec<ApiKey>>,
}

impl RouteTable {
    /// Lays out a configuration's lanes. Example: `RouteTable::new(0, &Configuration::empty())`.
    pub fn new(generation: u64, configuration: &Configuration) -> RouteTable {
        let mut table = RouteTable {
            generation,
            client_limits: configuration.client_limits.clone(),
            ..RouteTable::default()
        };
        for (name, route) in &configuration.routes {
            table.put_route(name, route);
        }
        for (name, function) in &configuration.functions {
            table.put_function(name, function);
        }
        table.needs_keys = configuration.tenants.is_some();
        for (name, tenant) in configuration.tenants.iter().flatten() {
            table.put_tenant(name, tenant);
        }
        table
    }

    /// Becomes the table of a later generation: by what changed since this one, where the deltas tell all of
    /// it, and anew otherwise. Example: `table.apply_changes(5, &configuration, &deltas)`.
    pub fn apply_changes(
        &mut self,
        generation: u64,
        configuration: &Configuration,
        deltas: &[ConfigurationDelta],
    ) {
        for delta in deltas {
            if delta.base_generation == self.generation {
                self.apply_delta(delta);
            }
        }
        if self.generation != generation {
            *self = RouteTable::new(generation, configuration);
        }
    }

    fn apply_delta(&mut self, delta: &ConfigurationDelta) {
        self.generation = delta.generation;
        for (name, route) in &delta.routes {
            self.remove_route(name);
            if let Some(route) = route {
                self.put_route(name, route);
            }
        }
        for (name, function) in &delta.functions {
            match function {
                Some(function) => self.put_function(name, function),
                None => drop(self.instance_limits.remove(name)),
            }
        }
        // A key may go from one tenant to another in one change: all that leave go first.
        for name in delta.tenants.keys() {
            self.remove_tenant(name);
        }
        for (name, tenant) in &delta.tenants {
            if let Some(tenant) = tenant {
                self.put_tenant(name, tenant);
            }
        }
        self.needs_keys = delta.has_tenants.unwrap_or(self.needs_keys);
        if let Some(changed) = &delta.limits {
            self.client_limits.clone_from(&changed.limits);
        }
    }

    fn put_route(&mut self, name: &str, route: &Route) {
        let row = RouteEntry::new(name, route);
        self.prefixes.insert(name.to_owned(), row.prefix.clone());
        let rows = self.by_prefix.entry(row.prefix.clone()).or_default();
        let rows = Arc::make_mut(rows);
        let place = rows.partition_point(|other| other.place() < row.place());
        rows.insert(place, row);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(prefix) = self.prefixes.remove(name) else { return };
        let Some(rows) = self.by_prefix.get_mut(&prefix) else { return };
        Arc::make_mut(rows).retain(|row| row.name != name);
        if rows.is_empty() {
            self.by_prefix.remove(&prefix);
        }
    }

    fn put_function(&mut self, name: &str, function: &Function) {
        let limits =
            InstanceLimits { connections: function.connection_limit, calls_at_once: function.calls_at_once };
        self.instance_limits.insert(name.to_owned(), limits);
    }

    fn put_tenant(&mut self, name: &str, tenant: &Tenant) {
        let row = TenantEntry { name: Arc::from(name), rank: tenant.rank };
        for key in &tenant.keys {
            self.tenants_by_key.insert(key.clone(), row.clone());
        }
        self.tenant_keys.insert(name.to_owned(), tenant.keys.clone());
    }

    fn remove_tenant(&mut self, name: &str) {
        for key in self.tenant_keys.remove(name).unwrap_or_default() {
            self.tenants_by_key.remove(&key);
        }
    }

    /// Whether a call on this lane needs a tenant's key. Example: `!table.needs_key(public_lane)`.
    pub fn needs_key(&self, route: &RouteEntry) -> bool {
        self.needs_keys && !route.is_public
    }

    /// The tenant that a key belongs to. Example: `table.tenant_of("k1").is_none()` for an unknown key.
    pub fn tenant_of(&self, key: &str) -> Option<&TenantEntry> {
        self.tenants_by_key.get(key)
    }

    /// Idle connections that one of so many nodes may keep to each cell of a function.
    /// Example: 106 connections over 10 nodes, for cells of six calls at once, are six.
    pub fn idle_limit(&self, function: &str, node_count: usize) -> usize {
        let Some(limits) = self.instance_limits.get(function) else { return 0 };
        let calls_at_once = limits.calls_at_once as usize;
        limits.connections.map_or(calls_at_once, |all| (all as usize / node_count.max(1)).min(calls_at_once))
    }

    /// The lane for a call: the longest prefix of whole segments wins.
    /// Example: `/proof` takes `/proof` and `/proof/1`, not `/proofs`.
    pub fn find(&self, method: &str, host: Option<&str>, path: &str) -> Option<&RouteEntry> {
        // A path that names its parents could be read as another by the cell: it has no lane.
        if path.split('/').any(|segment| segment == ".." || segment == ".") {
            return None;
        }
        let host_name = host.map(|named| named.split(':').next().unwrap_or(named).to_ascii_lowercase());
        let mut prefix = path.trim_end_matches('/');
        loop {
            let fitting = self.by_prefix.get(prefix).and_then(|rows| {
                rows.iter().find(|row| {
                    (row.host.is_none() || row.host == host_name)
                        && (row.methods.is_empty() || row.methods.iter().any(|named| named == method))
                })
            });
            if fitting.is_some() {
                return fitting;
            }
            let cut_at = prefix.rfind('/')?;
            prefix = &prefix[..cut_at];
        }
    }

    /// How many lanes there are. Example: `table.count() == 158`.
    pub fn count(&self) -> usize {
        self.prefixes.len()
    }
}

#[cfg(test)]
mod tests;
