//! A seeded simulator of a whole fleet: the very protocol code of the program, with a simulated
//! network, disks, platform, cells, callers and operators, and the failures of the brief.
//!
//! The same seed gives the same history, byte for byte. What is seen goes into a history that
//! `history_checker` judges after the fact.

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
