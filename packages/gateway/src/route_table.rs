use configuration_schema::{
    ApiKey, ClientLimits, Configuration, ConfigurationDelta, Function, PathPrefix, Route, Tenant,
};
use imbl::HashMap;
use monotonic_clock::Micros;
use std::sync::Arc;

/// A route as calls are matched to it. Example: `table.find("POST", None, "/proof/1").unwrap().function`.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The route's name.
    pub name: String,
    /// The function that its calls go to; the first of the split if there is one.
    pub function: String,
    /// The functions that its calls go to with their weights; empty for a route with one function.
    split: Vec<(String, f64)>,
    /// The number of instances that one call may be sent to, if the route sets it.
    pub dispatch_limit: Option<u32>,
    /// The target response time, within which a response is worth most.
    pub target: Option<Micros>,
    /// Rank of its calls; zero is served first.
    pub rank: u32,
    /// Whether its calls need no tenant's key.
    pub is_public: bool,
    /// Whether a call of unknown outcome may be dispatched again.
    pub repeatable: bool,
    /// The timeout of its calls.
    pub timeout: Micros,
    host: Option<String>,
    methods: Vec<String>,
    directory: String,
    takes_directory: bool,
}

impl RouteEntry {
    /// The function for one call, by weight where the route is split. `random` is between 0 and 1.
    /// Example: a route split 3 to 1 picks its first function for `random` below 0.75.
    pub fn pick(&self, random: f64) -> &str {
        let total: f64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = random * total;
        for (function, weight) in &self.split {
            remaining -= weight;
            if remaining < 0.0 {
                return function;
            }
        }
        &self.function
    }

    /// Whether this route may send calls to the function. Example: `route.allows("proof")`.
    pub fn allows(&self, function: &str) -> bool {
        self.function == function || self.split.iter().any(|(name, _)| name == function)
    }
}

impl RouteEntry {
    fn new(name: &str, route: &Route) -> RouteEntry {
        let shares = route.shares();
        let prefix = PathPrefix::of(&route.path_prefix);
        RouteEntry {
            name: name.to_owned(),
            function: shares.first().map_or_else(String::new, |(function, _)| (*function).to_owned()),
            split: match route.split.is_empty() {
                true => Vec::new(),
                false => shares.into_iter().map(|(function, weight)| (function.to_owned(), weight)).collect(),
            },
            dispatch_limit: route.dispatch_limit,
            target: route.target_millis.map(Micros::from_millis),
            rank: route.rank,
            is_public: route.is_public,
            repeatable: route.repeatable,
            timeout: Micros::from_millis(route.timeout_millis),
            host: route.host.clone(),
            methods: route.methods.clone(),
            directory: prefix.directory.to_owned(),
            takes_directory: prefix.takes_directory,
        }
    }

    /// Sort key within a directory: the more specific route comes first, one with a host, then one with methods.
    fn precedence(&self) -> (bool, bool, &str) {
        (self.host.is_none(), self.methods.is_empty(), &self.name)
    }

    /// Whether the route's host and methods admit a call. The host has no port and is in lower case.
    fn admits(&self, method: &str, host_name: Option<&str>) -> bool {
        (self.host.is_none() || self.host.as_deref() == host_name)
            && (self.methods.is_empty() || self.methods.iter().any(|named| named == method))
    }
}

/// A tenant as calls are matched to it by their API keys. Example: `table.tenant_of("k1").unwrap().name`.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantEntry {
    /// The tenant's name.
    pub name: Arc<str>,
    /// Outweighs the rank of routes; zero is served first.
    pub rank: u32,
}

/// What one instance of a function accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InstanceLimits {
    /// Connections from all nodes together, if they are limited.
    connections: Option<u32>,
    calls_at_once: u32,
}

/// All routes of one configuration generation, by the directory of their path prefix. Its maps are persistent: the table of the next
/// generation shares everything unchanged with this one. Example: `RouteTable::new(4, &configuration)`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The configuration's generation.
    pub generation: u64,
    /// Limits on clients, as far as the configuration sets them.
    pub client_limits: Option<ClientLimits>,
    instance_limits: HashMap<String, InstanceLimits>,
    by_directory: HashMap<String, Arc<Vec<RouteEntry>>>,
    /// The directory of each route.
    directories: HashMap<String, String>,
    /// Whether calls on routes that are not public need a key.
    needs_keys: bool,
    tenants_by_key: HashMap<ApiKey, TenantEntry>,
    /// The keys of each tenant.
    tenant_keys: HashMap<String, Vec<ApiKey>>,
}

impl RouteTable {
    /// Builds the table of a configuration. Example: `RouteTable::new(0, &Configuration::empty())`.
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

    /// Becomes the table of a later generation: by applying the deltas if they cover all changes since this
    /// one, and by a rebuild otherwise. Example: `table.apply_changes(5, &configuration, &deltas)`.
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
        // A key may move from one tenant to another in one change: all removals are made first.
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
        let entry = RouteEntry::new(name, route);
        self.directories.insert(name.to_owned(), entry.directory.clone());
        let entries = self.by_directory.entry(entry.directory.clone()).or_default();
        let entries = Arc::make_mut(entries);
        let index = entries.partition_point(|other| other.precedence() < entry.precedence());
        entries.insert(index, entry);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(directory) = self.directories.remove(name) else { return };
        let Some(entries) = self.by_directory.get_mut(&directory) else { return };
        Arc::make_mut(entries).retain(|entry| entry.name != name);
        if entries.is_empty() {
            self.by_directory.remove(&directory);
        }
    }

    fn put_function(&mut self, name: &str, function: &Function) {
        let limits =
            InstanceLimits { connections: function.connection_limit, calls_at_once: function.calls_at_once };
        self.instance_limits.insert(name.to_owned(), limits);
    }

    fn put_tenant(&mut self, name: &str, tenant: &Tenant) {
        let entry = TenantEntry { name: Arc::from(name), rank: tenant.rank };
        for key in &tenant.keys {
            self.tenants_by_key.insert(key.clone(), entry.clone());
        }
        self.tenant_keys.insert(name.to_owned(), tenant.keys.clone());
    }

    fn remove_tenant(&mut self, name: &str) {
        for key in self.tenant_keys.remove(name).unwrap_or_default() {
            self.tenants_by_key.remove(&key);
        }
    }

    /// Whether a call on this route needs a tenant's key. Example: `!table.needs_key(public_route)`.
    pub fn needs_key(&self, route: &RouteEntry) -> bool {
        self.needs_keys && !route.is_public
    }

    /// The tenant that a key belongs to. Example: `table.tenant_of("k1").is_none()` for an unknown key.
    pub fn tenant_of(&self, key: &str) -> Option<&TenantEntry> {
        self.tenants_by_key.get(key)
    }

    /// The number of idle connections that each of `node_count` nodes may keep to one instance of a function.
    /// Example: 106 connections over 10 nodes, for instances of six calls at once, are six.
    pub fn idle_limit(&self, function: &str, node_count: usize) -> usize {
        let Some(limits) = self.instance_limits.get(function) else { return 0 };
        let calls_at_once = limits.calls_at_once as usize;
        limits.connections.map_or(calls_at_once, |all| (all as usize / node_count.max(1)).min(calls_at_once))
    }

    /// The route for a call: the longest prefix of whole path segments wins.
    /// Example: `/proof` matches `/proof` and `/proof/1`, not `/proofs`; `/proof/` matches `/proof/1`, not `/proof`.
    pub fn find(&self, method: &str, host: Option<&str>, path: &str) -> Option<&RouteEntry> {
        // An instance could resolve a path with `.` or `..` segments to another path: it matches no route.
        if path.split('/').any(|segment| segment == ".." || segment == ".") {
            return None;
        }
        let host_name = host.map(|named| named.split(':').next().unwrap_or(named).to_ascii_lowercase());
        let admits = |entry: &RouteEntry| entry.admits(method, host_name.as_deref());
        let exact = self.first_in(path, |entry| entry.takes_directory && admits(entry));
        exact.or_else(|| {
            let mut directories = path.rmatch_indices('/').map(|(end, _)| &path[..end]);
            directories.find_map(|directory| self.first_in(directory, admits))
        })
    }

    /// The most specific route of a directory that matches.
    fn first_in(&self, directory: &str, is_match: impl Fn(&RouteEntry) -> bool) -> Option<&RouteEntry> {
        self.by_directory.get(directory)?.iter().find(|entry| is_match(entry))
    }

    /// The number of routes. Example: `table.count() == 158`.
    pub fn count(&self) -> usize {
        self.directories.len()
    }
}

#[cfg(test)]
mod tests;
