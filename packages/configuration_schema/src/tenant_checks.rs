//! Checks that each API key identifies one tenant.

use crate::{ApiKey, Configuration, Reason};
use std::collections::BTreeMap;

/// Refuses keys that another tenant has too. The reason names that tenant but never the key. A key that its own
/// tenant lists twice is allowed. Takes O(n log n) for n keys.
/// Example: `check_tenants(&configuration, &mut reasons)` adds a reason at `/tenants/zeta/keys/2`.
pub fn check_tenants(configuration: &Configuration, reasons: &mut Vec<Reason>) {
    let mut owners: BTreeMap<&ApiKey, &str> = BTreeMap::new();
    for (name, tenant) in configuration.tenants.iter().flatten() {
        for (number, key) in tenant.keys.iter().enumerate() {
            let owner: &str = owners.entry(key).or_insert(name);
            if owner != name {
                let reason = format!("tenant {owner} has this key too");
                reasons.push(Reason::at(format!("/tenants/{name}/keys/{number}"), reason));
            }
        }
    }
}
