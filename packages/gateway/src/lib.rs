//! The path of a call through a node: route, permit, dispatch, response.
//!
//! The route table is swapped by read-copy-update and counters are atomics, so that no call takes a lock.
//! The node's protocol is reached through [`GatewayMessage`] messages.

mod call_state_machine;
mod connection_pool;
mod connection_use;
mod gateway;
mod header_conventions;
mod instance_dispatch;
mod recording;
mod route_table;

pub use call_state_machine::{CallState, CallStateMachine, DispatchEnd, NextStep};
pub use connection_use::{ConnectionUse, IdleCheck, ResponseEnd, ResponseOwner};
pub use gateway::{
    Gateway, GatewayCounters, GatewayMessage, GatewayResponse, GatewaySettings, OpenCalls, PermitResponse,
};
pub use header_conventions::HeaderConventions;
pub use instance_dispatch::{DispatchCall, DispatchOutcome, DispatchSettings, InstanceResponse, dispatch};
pub use recording::{RecordedCall, Recorder};
pub use route_table::{RouteEntry, RouteTable, TenantEntry};

/// The header that says how the call ended: `ran`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-vanelane-outcome";
/// The header that carries the time left in milliseconds, to instances and on the calls that they make
/// through nodes.
pub const TIME_LEFT_HEADER: &str = "x-vanelane-time-left-ms";
/// The header that names the function a dispatch is meant for.
pub const FUNCTION_HEADER: &str = "x-vanelane-function";
/// The header that names the instance a dispatch is meant for.
pub const INSTANCE_HEADER: &str = "x-vanelane-cell";
/// The header that carries a client's API key; it is never forwarded to an instance.
pub const API_KEY_HEADER: &str = "x-vanelane-api-key";
/// The header that names the tenant of the call to an instance.
pub const TENANT_HEADER: &str = "x-vanelane-tenant";
