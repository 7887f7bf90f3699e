//! A model checker of the control state: the real [`control_registers`] code on a few machines, explored breadth
//! first up to a depth and beyond it by long seeded random walks.
//!
//! A [`Fleet`] is one state. [`Fleet::actions`] lists what may happen next (a message arrives, records are
//! synced, power is lost, a disk is wiped, a change of the voter set begins), [`Fleet::apply`] applies one
//! action and checks the numbered [`Invariant`]s. A message is lost by never arriving; messages arrive in any
//! order, and twice where [`Limits`] allow it. A [`PlantedFault`] breaks one rule in the code around the real
//! parts, to show that the invariants detect it.

mod action;
mod explore;
mod fault;
mod fleet;
mod history;
mod limits;
mod machine;

pub use action::Action;
pub use explore::{Exploration, Failure, Walks, explore, walk};
pub use fault::PlantedFault;
pub use fleet::Fleet;
pub use history::{Counts, Invariant, Violation};
pub use limits::{Limits, Operation};
