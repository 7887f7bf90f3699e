//! The shortest target latency of the lanes that lead to each function, kept up by the lanes that change.

use crate::{Configuration, ConfigurationDelta, Lane};
use std::collections::{BTreeMap, BTreeSet};

/// Targets by function. Example: `FunctionTargets::of(&configuration).get("proof") == Some(300)`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionTargets {
    /// By function, each lane that leads to it and names a target, in milliseconds.
    by_function: BTreeMap<String, BTreeMap<String, u64>>,
}

impl FunctionTargets {
    /// The targets of a whole configuration. Example: `FunctionTargets::of(&Configuration::empty())`.
    pub fn of(configuration: &Configuration) -> FunctionTargets {
        let mut targets = FunctionTargets::default();
        for (name, lane) in &configuration.lanes {
            targets.add_lane(name, lane);
        }
        targets
    }

    /// The shortest target of a function in milliseconds, if a lane that leads to it names one.
    /// Example: `targets.get("nobody") == None`.
    pub fn get(&self, function: &str) -> Option<u64> {
        self.by_function.get(function)?.values().min().copied()
    }

    /// Takes what a delta changes of the configuration that it builds on. Returns the functions whose lanes
    /// changed. Example: `targets.take(&delta, &base).contains("proof")`.
    pub fn take(&mut self, delta: &ConfigurationDelta, base: &Configuration) -> BTreeSet<String> {
        let mut touched = BTreeSet::new();
        for (name, lane) in &delta.lanes {
            let old = base.lanes.get(name);
            for lane in old.into_iter().chain(lane) {
                touched.extend(lane.shares().into_iter().map(|(function, _)| function.to_owned()));
            }
            if let Some(old) = old {
                self.remove_lane(name, old);
            }
            if let Some(lane) = lane {
                self.add_lane(name, lane);
            }
        }
        touched
    }

    fn add_lane(&mut self, name: &str, lane: &Lane) {
        let Some(target) = lane.target_millis else { return };
        for (function, _) in lane.shares() {
            self.by_function.entry(function.to_owned()).or_default().insert(name.to_owned(), target);
        }
    }

    fn remove_lane(&mut self, name: &str, lane: &Lane) {
        for (function, _) in lane.shares() {
            let Some(lanes) = self.by_function.get_mut(function) else { continue };
            lanes.remove(name);
            if lanes.is_empty() {
                self.by_function.remove(function);
            }
        }
    }
}
