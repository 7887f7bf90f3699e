//! Policies that can be switched off one by one, to measure what each is worth.

use std::fmt;
use std::str::FromStr;

/// A policy that no rule rests on: without it a fleet serves worse or costs more, and nothing else.
/// Example: `"relays".parse::<Policy>() == Ok(Policy::Relays)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Policy {
    /// News, leader records and the list cross a zone's border through its relay.
    Relays,
    /// A call goes to a cell in its zone, and cells are started where calls come from.
    LocalInstances,
    /// Functions that nobody calls have longer leases, renewed less often.
    IdleLeases,
    /// Cells are kept ready for functions that nobody called yet.
    SpareInstances,
    /// Memory goes to calls first, then to what keeps called functions quick.
    DemandClasses,
    /// Another node grants tickets while a function's leader does not answer.
    FallbackSchedulers,
    /// A function that takes much of a small machine goes to a larger one.
    LargeFunctions,
    /// A node that stops names who takes over what it leads.
    NamedSuccessors,
}

/// All policies with their names in settings.
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

/// A name that is no policy's. Example: `"relay".parse::<Policy>().is_err()`.
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
