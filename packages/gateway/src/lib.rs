//! The way of a call through a node: lane, ticket, dispatch, answer.
//!
//! The lane table is swapped by read-copy-update and counters are atomics: no lock is taken on the
//! way. The node's protocol is reached through [`FrontLink`] messages.

mod call_chart;
mod call_dialect;
mod cell_dispatch;
mod cell_pool;
mod connection_use;
mod front;
mod lane_table;
mod recording;

pub use call_chart::{CallChart, CallState, DispatchEnd, NextStep};
pub use call_dialect::CallDialect;
pub use cell_dispatch::{CellAnswer, DispatchCall, DispatchOutcome, DispatchSettings, dispatch};
pub use connection_use::{AnswerEnd, AnswerOwner, ConnectionUse, IdleCheck};
pub use front::{Front, FrontAnswer, FrontCounts, FrontLink, FrontSettings, OpenCalls, TicketAnswer};
pub use lane_table::{LaneRow, LaneTable, TenantRow};
pub use recording::{RecordedCall, Recorder};

/// The header that says how the call ended: `ran`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-vanelane-outcome";
/// The header that carries the time left in milliseconds, to cells and from them through nodes.
pub const TIME_LEFT_HEADER: &str = "x-vanelane-time-left-ms";
/// The header that names the function a dispatch is meant for.
pub const FUNCTION_HEADER: &str = "x-vanelane-function";
/// The header that names the cell a dispatch is meant for.
pub const CELL_HEADER: &str = "x-vanelane-cell";
/// The header that carries a visitor's API key; it never goes on to a cell.
pub const API_KEY_HEADER: &str = "x-vanelane-api-key";
/// The header that tells a cell whose call it runs.
pub const TENANT_HEADER: &str = "x-vanelane-tenant";
