//! What differs between two generations of the configuration, item by item.
//!
//! A node that has the older generation makes the newer one of it by the items that changed: the cost of a
//! change does not grow with the configuration.

use crate::{Annotations, ClientLimits, Configuration, Function, Quota, Route, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Items by name; one that is removed is none.
type ItemChanges<T> = BTreeMap<String, Option<T>>;

/// The items that lead from one generation to a later one.
/// Example: `ConfigurationDelta::between((4, &old), (5, &new)).apply(&mut old)` makes `old == new`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The generation that it builds on.
    pub base_generation: u64,
    /// The generation that it makes.
    pub generation: u64,
    /// Shares, as far as they changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "allowances")]
    pub quotas: ItemChanges<Quota>,
    /// Functions, as far as they changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub functions: ItemChanges<Function>,
    /// Lanes, as far as they changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "lanes")]
    pub routes: ItemChanges<Route>,
    /// Tenants, as far as they changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: ItemChanges<Tenant>,
    /// Whether the later generation names tenants at all, where that changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub has_tenants: Option<bool>,
    /// The bounds on clients, whole, where they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<ChangedLimits>,
    /// The document's annotations, whole, where they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub annotations: Option<ChangedAnnotations>,
}

/// New bounds on clients; none where the document names none any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangedLimits {
    /// What holds now.
    pub limits: Option<ClientLimits>,
}

/// New annotations of the document; none where it has none any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangedAnnotations {
    /// What holds now.
    pub annotations: Option<Annotations>,
}

/// The functions that a delta brought, changed or took out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedFunctions {
    /// Not configured before.
    pub added: BTreeSet<String>,
    /// Configured differently now.
    pub altered: BTreeSet<String>,
    /// Configured no more.
    pub removed: BTreeSet<String>,
}

impl ConfigurationDelta {
    /// What leads from one generation to another.
    /// Example: `ConfigurationDelta::between((4, &old), (5, &new)).routes.len()`.
    pub fn between(
        (base_generation, old): (u64, &Configuration),
        (generation, new): (u64, &Configuration),
    ) -> ConfigurationDelta {
        let are_limits_new = old.client_limits != new.client_limits;
        let are_annotations_new = old.annotations != new.annotations;
        let no_tenants = BTreeMap::new();
        let old_tenants = old.tenants.as_ref().unwrap_or(&no_tenants);
        let new_tenants = new.tenants.as_ref().unwrap_or(&no_tenants);
        let is_presence_new = old.tenants.is_some() != new.tenants.is_some();
        ConfigurationDelta {
            base_generation,
            generation,
            quotas: items_between(&old.quotas, &new.quotas),
            functions: items_between(&old.functions, &new.functions),
            routes: items_between(&old.routes, &new.routes),
            tenants: items_between(old_tenants, new_tenants),
            has_tenants: is_presence_new.then_some(new.tenants.is_some()),
            limits: are_limits_new.then(|| ChangedLimits { limits: new.client_limits.clone() }),
            annotations: are_annotations_new
                .then(|| ChangedAnnotations { annotations: new.annotations.clone() }),
        }
    }

    /// The bytes that travel. Example: `ConfigurationDelta::decode(&delta.encode()) == Some(delta)`.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads the bytes that travel; none if they are no delta.
    /// Example: `ConfigurationDelta::decode(b"").is_none()`.
    pub fn decode(delta_bytes: &[u8]) -> Option<ConfigurationDelta> {
        serde_json::from_slice(delta_bytes).ok()
    }

    /// Makes the later generation of the one that it builds on. Example: `delta.apply(&mut configuration)`.
    pub fn apply(&self, configuration: &mut Configuration) {
        apply_items(&self.quotas, &mut configuration.quotas);
        apply_items(&self.functions, &mut configuration.functions);
        apply_items(&self.routes, &mut configuration.routes);
        if self.has_tenants == Some(true) {
            configuration.tenants.get_or_insert_default();
        }
        if let Some(tenants) = &mut configuration.tenants {
            apply_items(&self.tenants, tenants);
        }
        if self.has_tenants == Some(false) {
            configuration.tenants = None;
        }
        if let Some(changed) = &self.limits {
            configuration.client_limits.clone_from(&changed.limits);
        }
        if let Some(changed) = &self.annotations {
            configuration.annotations.clone_from(&changed.annotations);
        }
    }

    /// The functions that it touches, against the configuration that it builds on.
    /// Example: `delta.changed_functions(&base).added.contains("new")`.
    pub fn changed_functions(&self, base: &Configuration) -> ChangedFunctions {
        let mut changed = ChangedFunctions::default();
        for (name, function) in &self.functions {
            let names = match (base.functions.contains_key(name), function.is_some()) {
                (false, true) => &mut changed.added,
                (true, true) => &mut changed.altered,
                (true, false) => &mut changed.removed,
                (false, false) => continue,
            };
            names.insert(name.clone());
        }
        changed
    }
}

fn items_between<T: Clone + PartialEq>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> ItemChanges<T> {
    let gone = old.keys().filter(|name| !new.contains_key(*name)).map(|name| (name.clone(), None));
    let come = new
        .iter()
        .filter(|(name, item)| old.get(*name) != Some(*item))
        .map(|(name, item)| (name.clone(), Some(item.clone())));
    gone.chain(come).collect()
}

fn apply_items<T: Clone>(changes: &ItemChanges<T>, items: &mut BTreeMap<String, T>) {
    for (name, change) in changes {
        match change {
            Some(item) => items.insert(name.clone(), item.clone()),
            None => items.remove(name),
        };
    }
}

#[cfg(test)]
mod tests;
