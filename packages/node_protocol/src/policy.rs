//! Policies that can be switched off one by one, to measure the effect of each.

use std::fmt;
use std::str::FromStr;

/// An optional policy: without it a fleet serves worse or costs more, but stays correct.
/// Example: `"relays".parse::<Policy>() == Ok(Policy::Relays)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Policy {
    /// Gossip, leader records and the platform's list cross zone borders through the zone's relay.
    Relays,
    /// A call is dispatched to an instance in its zone, and instances are started where calls arrive.
    LocalInstances,
    /// Functions without calls have longer leases, renewed less often.
    IdleLeases,
    /// Instances are kept ready for functions that have not been called yet.
    SpareInstances,
    /// Memory goes to calls first, then to keeping called functions responsive.
    DemandClasses,
    /// A fallback node grants permits while a function's leader does not respond.
    FallbackSchedulers,
    /// A function that takes a large share of a small machine's capacity moves to a larger one.
    LargeFunctions,
    /// A stopping node names the successors for the functions that it leads.
    NamedSuccessors,
}

/// All policies with their names in the settings.
const NAMES: [(Policy, &str); 8] = [
    (Policy::Relays, "relays"),
    (Policy::LocalInstances, "near_cells"),
    (Policy::IdleLeases, "idle_leases"),
    (Policy::SpareInstances, "spare_cells"),
    (Policy::DemandClasses, "demand_classes"),
    (Policy::FallbackSchedulers, "deputies"),
    (Policy::LargeFunctions, "large_functions"),
    (Policy::NamedSuccessors, "named_successors"),
];

/// The error for a name that is not a policy. Example: `"relay".parse::<Policy>().is_err()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPolicy(String);

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = NAMES.iter().map(|(_, name)| *name).collect();
        write!(formatter, "{} is none of {}", self.0, names.join(", "))
    }
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Policy, UnknownPolicy> {
        let known = NAMES.iter().find(|(_, known_name)| *known_name == name);
        known.map(|(policy, _)| *policy).ok_or_else(|| UnknownPolicy(name.to_owned()))
    }
}
