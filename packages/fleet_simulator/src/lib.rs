//! Deterministic simulator of a whole fleet: the program's own protocol code with a simulated network, disks,
//! platform, instances, callers and operators, under injected faults.
//!
//! The same seed gives the same history, byte for byte. A run records a history, and `history_checker` checks
//! it afterwards.

mod acknowledgement_scenarios;
mod catch_up_scenarios;
mod control_scenarios;
mod disk_scenarios;
mod grown_scenarios;
mod late_gossip_scenarios;
mod machine_scenarios;
mod operator_clients;
mod order_scenarios;
mod processor_scenarios;
mod processors;
mod quota_scenarios;
mod route_scenarios;
pub mod scenarios;
mod sim_calls;
mod sim_disk;
mod sim_links;
mod sim_operators;
mod sim_platform;
mod sim_usage;
mod simulation;
mod stop_scenarios;
mod usage_scenarios;

pub use processors::Processors;
pub use sim_disk::SimDisk;
pub use sim_links::LinkRates;
pub use sim_operators::{OrderPlan, Repeat};
pub use sim_platform::SimPlatform;
pub use sim_usage::SimUsage;
pub use simulation::{FreezeIn, Simulation, SimulationSettings};
