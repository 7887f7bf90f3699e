//! A model checker of the control state: the real [`control_registers`] parts on a few machines, explored
//! breadth first to a stated depth and by long seeded walks beyond.
//!
//! A [`Fleet`] is one state. [`Fleet::actions`] lists what may happen next (a message arrives, records are
//! synced, power is lost, a disk is wiped, a change of the voter set begins), [`Fleet::apply`] lets it
//! happen and judges the outcome by the numbered [`Invariant`]s. Messages are lost by never arriving; they
//! arrive in any order, and twice where [`Limits`] allow it. A [`PlantedFault`] breaks one rule of the
//! glue around the real parts, to show that the invariants bite.

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
