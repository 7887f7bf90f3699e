//! The node as a library: settings, sockets, disk thread, operator pages. The binary `vanelane` is a thin
//! `main` over it; a binary for another platform only supplies its own [`PlatformIntegration`].

pub mod command_line;
pub mod operator_commands;
pub mod operator_port;
pub mod run_node;
pub mod settings;

mod client_connection;
mod control_costs;
mod control_pages;
mod disk_opening;
mod disk_thread;
mod local_server;
mod node_lag;
mod peer_links;
mod protocol_runtime;
mod settings_watch;

pub use node_protocol::LossTolerance;

pub use control_pages::{ControlPages, metrics_page};
pub use operator_port::{ConfirmedConfiguration, OperatorPages, OperatorPort, Page};
pub use run_node::{PlatformIntegration, start};
pub use settings::{Settings, SettingsReason};
