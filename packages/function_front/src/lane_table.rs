use clock_events::Micros;
use configuration_check::Configuration;
use std::collections::BTreeMap;

/// A lane as calls are matched to it. Example: `table.find("POST", None, "/proof/1").unwrap().function`.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneRow {
    /// The lane's name.
    pub name: String,
    /// Where its calls go.
    pub function: String,
    /// Whether a call of unknown fate may be dispatched again.
    pub repeatable: bool,
    /// How long its calls may take.
    pub patience: Micros,
    host: Option<String>,
    methods: Vec<String>,
    prefix: String,
}

/// All lanes of one generation, by path prefix. Example: `LaneTable::new(4, &configuration)`.
#[derive(Debug, Default)]
pub struct LaneTable {
    /// The configuration's generation.
    pub generation: u64,
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
                function: lane.function.clone(),
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
        LaneTable { generation, by_prefix }
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
