//! The difference between two generations of the configuration, item by item.
//!
//! A node with the older generation is sent only the items that changed, so that the cost of a change does not
//! grow with the size of the configuration.

use crate::{Annotations, ClientLimits, Configuration, Function, Quota, Route, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Changed items by name; a removed item is `None`.
type ItemChanges<T> = BTreeMap<String, Option<T>>;

/// The changed items between one generation and a later one.
/// Example: `ConfigurationDelta::between((4, &old), (5, &new)).apply(&mut old)` makes `old == new`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The generation that the delta is based on.
    pub base_generation: u64,
    /// The generation that results.
    pub generation: u64,
    /// The quotas that changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "allowances")]
    pub quotas: ItemChanges<Quota>,
    /// The functions that changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub functions: ItemChanges<Function>,
    /// The routes that changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "lanes")]
    pub routes: ItemChanges<Route>,
    /// The tenants that changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: ItemChanges<Tenant>,
    /// Whether the later generation has the group of tenants, if that changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub has_tenants: Option<bool>,
    /// All limits on clients, if any of them changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<ChangedLimits>,
    /// All annotations of the document, if any of them changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub annotations: Option<ChangedAnnotations>,
}

/// Changed limits on clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangedLimits {
    /// The new limits; none if the document no longer has any.
    pub limits: Option<ClientLimits>,
}

/// Changed annotations of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangedAnnotations {
    /// The new annotations; none if the document no longer has any.
    pub annotations: Option<Annotations>,
}

/// The functions that a delta adds, alters or removes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedFunctions {
    /// Functions that were not configured before.
    pub added: BTreeSet<String>,
    /// Functions whose configuration changed.
    pub altered: BTreeSet<String>,
    /// Functions that are no longer configured.
    pub removed: BTreeSet<String>,
}

impl ConfigurationDelta {
    /// The delta between two generations.
    /// Example: `ConfigurationDelta::between((4, &old), (5, &new)).routes.len()`.
    pub fn between(
        (base_generation, old): (u64, &Configuration),
        (generation, new): (u64, &Configuration),
    ) -> ConfigurationDelta {
        let have_limits_changed = old.client_limits != new.client_limits;
        let have_annotations_changed = old.annotations != new.annotations;
        let no_tenants = BTreeMap::new();
        let old_tenants = old.tenants.as_ref().unwrap_or(&no_tenants);
        let new_tenants = new.tenants.as_ref().unwrap_or(&no_tenants);
        let has_presence_changed = old.tenants.is_some() != new.tenants.is_some();
        ConfigurationDelta {
            base_generation,
            generation,
            quotas: items_between(&old.quotas, &new.quotas),
            functions: items_between(&old.functions, &new.functions),
            routes: items_between(&old.routes, &new.routes),
            tenants: items_between(old_tenants, new_tenants),
            has_tenants: has_presence_changed.then_some(new.tenants.is_some()),
            limits: have_limits_changed.then(|| ChangedLimits { limits: new.client_limits.clone() }),
            annotations: have_annotations_changed
                .then(|| ChangedAnnotations { annotations: new.annotations.clone() }),
        }
    }

    /// Encodes the delta for a message. Example: `ConfigurationDelta::decode(&delta.encode()) == Some(delta)`.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a delta from a message; none if the bytes are not a valid delta.
    /// Example: `ConfigurationDelta::decode(b"").is_none()`.
    pub fn decode(delta_bytes: &[u8]) -> Option<ConfigurationDelta> {
        serde_json::from_slice(delta_bytes).ok()
    }

    /// Turns the configuration that the delta is based on into the later one.
    /// Example: `delta.apply(&mut configuration)`.
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

    /// The functions that the delta changes, given the configuration that it is based on.
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
    let removed = old.keys().filter(|name| !new.contains_key(*name)).map(|name| (name.clone(), None));
    let added_or_changed = new
        .iter()
        .filter(|(name, item)| old.get(*name) != Some(*item))
        .map(|(name, item)| (name.clone(), Some(item.clone())));
    removed.chain(added_or_changed).collect()
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
