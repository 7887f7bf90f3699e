//! The shortest target latency of the routes to each function, updated for the routes that change.

use crate::{Configuration, ConfigurationDelta, Route};
use std::collections::{BTreeMap, BTreeSet};

/// Targets by function. Example: `FunctionTargets::of(&configuration).get("proof") == Some(300)`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionTargets {
    /// By function and route name: the target of each route that has one, in milliseconds.
    by_function: BTreeMap<String, BTreeMap<String, u64>>,
}

impl FunctionTargets {
    /// The targets of a whole configuration. Example: `FunctionTargets::of(&Configuration::empty())`.
    pub fn of(configuration: &Configuration) -> FunctionTargets {
        let mut targets = FunctionTargets::default();
        for (name, route) in &configuration.routes {
            targets.add_route(name, route);
        }
        targets
    }

    /// The shortest target of a function in milliseconds; none if no route to it has a target.
    /// Example: `targets.get("nobody") == None`.
    pub fn get(&self, function: &str) -> Option<u64> {
        self.by_function.get(function)?.values().min().copied()
    }

    /// Applies a delta, given the configuration that it is based on. Returns the functions whose routes
    /// changed. Example: `targets.apply(&delta, &base).contains("proof")`.
    pub fn apply(&mut self, delta: &ConfigurationDelta, base: &Configuration) -> BTreeSet<String> {
        let mut changed_functions = BTreeSet::new();
        for (name, route) in &delta.routes {
            let old = base.routes.get(name);
            for route in old.into_iter().chain(route) {
                changed_functions.extend(route.shares().into_iter().map(|(function, _)| function.to_owned()));
            }
            if let Some(old) = old {
                self.remove_route(name, old);
            }
            if let Some(route) = route {
                self.add_route(name, route);
            }
        }
        changed_functions
    }

    fn add_route(&mut self, name: &str, route: &Route) {
        let Some(target) = route.target_millis else { return };
        for (function, _) in route.shares() {
            self.by_function.entry(function.to_owned()).or_default().insert(name.to_owned(), target);
        }
    }

    fn remove_route(&mut self, name: &str, route: &Route) {
        for (function, _) in route.shares() {
            let Some(routes) = self.by_function.get_mut(function) else { continue };
            routes.remove(name);
            if routes.is_empty() {
                self.by_function.remove(function);
            }
        }
    }
}
