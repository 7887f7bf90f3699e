//! The `vanelane` binary, the same on all machines. A node with a data folder also stores control state.

use std::process::ExitCode;
use vanelane::{command_line, operator_commands, run_node};

fn main() -> ExitCode {
    let command_line = command_line::Vanelane::from_env_or_exit();
    match command_line.subcommand {
        command_line::VanelaneCmd::Run(run) => run_node::run(run),
        command_line::VanelaneCmd::SetAsideRecords(quarantine) => {
            operator_commands::quarantine_records(&quarantine.data_folder)
        }
        command_line::VanelaneCmd::Schema(_) => operator_commands::schema(),
        command_line::VanelaneCmd::CheckConfiguration(check) => {
            operator_commands::check_configuration(&check.file)
        }
        command_line::VanelaneCmd::Change(change) => operator_commands::change(change),
        command_line::VanelaneCmd::Decisions(decisions) => operator_commands::decisions(decisions),
        command_line::VanelaneCmd::Status(status) => operator_commands::page(&status.control, "status"),
        command_line::VanelaneCmd::Configuration(configuration) => {
            operator_commands::page(&configuration.control, "configuration")
        }
    }
}
