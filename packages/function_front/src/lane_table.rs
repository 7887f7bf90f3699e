use clock_events::Micros;
use configuration_check::{Configuration, VisitorLimits};
use std::collections::{BTreeMap, HashMap};

/// A lane as calls are matched to it. Example: `table.find("POST", None, "/proof/1").unwrap().function`.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneRow {
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
    /// Whether a call of unknown fate may be dispatched again.
    pub repeatable: bool,
    /// How long its calls may take.
    pub patience: Micros,
    host: Option<String>,
    methods: Vec<String>,
    prefix: String,
}

impl LaneRow {
    /// The function for one call: by weight where the lane is split. `draw` is within 0 and 1.
    /// Example: a lane split 3 to 1 picks its first function for draws below 0.75.
    pub fn pick(&self, draw: f64) -> &str {
        let total: f64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * total;
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

/// All lanes of one generation, by path prefix. Example: `LaneTable::new(4, &configuration)`.
#[derive(Debug, Default)]
pub struct LaneTable {
    /// The configuration's generation.
    pub generation: u64,
    /// Bounds on visitors, as far as the configuration names them.
    pub visitor_limits: Option<VisitorLimits>,
    /// Connections each cell of a function takes, and calls it may run at once.
    cell_limits: HashMap<String, (Option<u32>, u32)>,
    by_prefix: BTreeMap<String, Vec<LaneRow>>,
}

impl LaneTable {
    /// Lays out a configuration's lanes. Example: `LaneTable::new(0, &Configuration::empty())`.
    pub fn new(generation: u64, configuration: &Configuration) -> LaneTable {
        let mut by_prefix: BTreeMap<String, Vec<LaneRow>> = BTreeMap::new();
        for (name, lane) in &configuration.lanes {
            let prefix = lane.path_prefix.trim_end_matches('/').to_owned();
            by_prefix.entry(prefix.clone()).or_default().push(LaneRow {
                name: name.clone(),
                function: lane.shares().first().map_or_else(String::new, |(name, _)| (*name).to_owned()),
                split: match lane.split.is_empty() {
                    true => Vec::new(),
                    false => lane.shares().into_iter().map(|(name, part)| (name.to_owned(), part)).collect(),
                },
                dispatch_limit: lane.dispatch_limit,
                target: lane.target_millis.map(Micros::from_millis),
                rank: lane.rank,
                repeatable: lane.repeatable,
                patience: Micros::from_millis(lane.patience_millis),
                host: lane.host.clone(),
                methods: lane.methods.clone(),
                prefix,
            });
        }
        // The narrower lane of a prefix comes first: one with a host, then one with methods.
        for rows in by_prefix.values_mut() {
            rows.sort_by_key(|row| (row.host.is_none(), row.methods.is_empty(), row.name.clone()));
        }
        let cell_limits = configuration
            .functions
            .iter()
            .map(|(name, function)| (name.clone(), (function.connection_limit, function.calls_at_once)))
            .collect();
        LaneTable { generation, visitor_limits: configuration.visitor_limits.clone(), cell_limits, by_prefix }
    }

    /// Idle connections that one of so many nodes may keep to each cell of a function.
    /// Example: 106 connections over 10 nodes, for cells of six calls at once, are six.
    pub fn idle_limit(&self, function: &str, node_count: usize) -> usize {
        let Some((connections, calls_at_once)) = self.cell_limits.get(function) else { return 0 };
        let calls_at_once = *calls_at_once as usize;
        connections.map_or(calls_at_once, |all| (all as usize / node_count.max(1)).min(calls_at_once))
    }

    /// The lane for a call: the longest prefix of whole segments wins.
    /// Example: `/proof` takes `/proof` and `/proof/1`, not `/proofs`.
    pub fn find(&self, method: &str, host: Option<&str>, path: &str) -> Option<&LaneRow> {
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
        self.by_prefix.values().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests;
