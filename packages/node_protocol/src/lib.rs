//! One node's whole protocol as a pure machine: an event and the time go in, acts come out.
//!
//! The program's shell and the fleet simulator drive the very same [`Node`]; neither the clock, the
//! network, the disk nor the platform is touched here.

mod call_admission;
mod configuration_sync;
mod control_store;
mod decision_log;
mod function_leadership;
mod node;
mod permit_ledger;
mod platform_list;
mod policy;
mod request_relay;
mod usage_reporting;
mod voter_replacement;
mod zones;

pub use decision_log::DecisionLog;
pub use node::{Node, NodeCounts, NodeStatus};
pub use permit_ledger::{PermitAdmission, PermitLedger};
pub use policy::{Policy, UnknownPolicy};
pub use usage_reporting::UsageSettings;

use configuration_schema::{Change, ChangeOutcome, Configuration, ConfigurationDelta};
use function_scheduler::{CostModel, ListedInstance, ListedWorker, PermitParameters, RetryLimits};
use leader_election::ElectionSettings;
use membership::ProbeSettings;
use monotonic_clock::Micros;
use peer_messages::{Address, DecisionLine, Envelope, Message, NodeId, Permit, UsageWindow};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

/// What a node is told at its start. Example: see `fleet_simulator`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Drawn anew by each process.
    pub node: NodeId,
    /// Where colleagues reach it.
    pub address: Address,
    /// Its zone.
    pub zone: String,
    /// Seed addresses.
    pub seeds: Vec<Address>,
    /// How many disks found the first voter set.
    pub bootstrap_disks: usize,
    /// What cells, starts and late answers cost beside each other.
    pub costs: CostModel,
    /// Whether this node may found the fleet's state, which happens once in the fleet's life.
    pub may_bootstrap: bool,
    /// Between two lists of the platform.
    pub list_every: Micros,
    /// Lists a second that the platform takes from the whole fleet.
    pub lists_per_second: f64,
    /// A voter whose machine lives, but whose disk failed for this long, is replaced by a spare disk.
    pub replace_disk_after: Micros,
    /// Starts and stops a second that the platform takes from the whole fleet.
    pub operations_per_second: f64,
    /// What may be dispatched to a function beyond each call's first.
    pub retry_limits: RetryLimits,
    /// Bytes a second that this machine's link carries, where that is known.
    pub link_rate: Option<f64>,
    /// Processor time that this machine has, in thousandths of a core.
    pub processor_millis: u32,
    /// The election's times.
    pub election: ElectionSettings,
    /// The probes' times.
    pub probes: ProbeSettings,
    /// Reports of usage to the platform, where it wants them.
    pub usage: Option<UsageSettings>,
    /// Policies that are switched off, to measure what they are worth.
    pub switched_off: BTreeSet<Policy>,
    /// Seeds every random choice.
    pub random_seed: u64,
}

/// How a start at the platform went.
#[derive(Clone, Debug, PartialEq)]
pub enum StartResult {
    /// The cell exists.
    Started { instance: String, address: std::net::SocketAddr },
    /// The worker has no room, or is draining or unknown.
    NoRoom,
    /// Too many acts: back off.
    Throttled,
    /// No answer: the same start id is sent again.
    Unknown,
}

/// How a stop at the platform went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// It is leaving or gone.
    Stopped,
    /// Too many acts: back off.
    Throttled,
    /// No answer.
    Unknown,
}

/// How a report of usage at the platform went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageResult {
    /// It is accepted, or was before.
    Accepted,
    /// The platform saw a higher fence.
    Fenced,
    /// Too many acts: back off.
    Throttled,
    /// No answer: it may have been accepted.
    Unknown,
}

/// What a read of the configuration brought.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationResponse {
    /// These bytes stand on a majority of the disks.
    Stored(Vec<u8>),
    /// A newer value stands than this node has; the colleague at this address has it.
    Elsewhere(Address),
    /// No majority answered in time.
    Unconfirmed,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A colleague speaks.
    Received(Envelope),
    /// A call on this node needs a ticket, after so many dispatches.
    CallNeedsPermit { call: u64, parameters: PermitParameters },
    /// The call is over; a ticket that still comes is returned unused.
    CallEnds { call: u64 },
    /// A dispatch under a ticket ended.
    PermitDone { permit: Permit, outcome: u8, latency: Micros },
    /// The disk synced the records of a token, or failed.
    DiskDone { token: u64, is_synced: bool },
    /// The disk's records were read, and may not be synced: they are rewritten before the disk votes.
    DiskUnsynced,
    /// The data folder's disk cannot be used in this process's life; the reason is for the operator.
    DiskUnusable { reason: String },
    /// The data folder holds a file that was set aside: its disk was formatted after damage.
    DiskQuarantined,
    /// The platform's list.
    Listed { workers: Vec<ListedWorker>, instances: Vec<ListedInstance> },
    /// The platform did not answer the list.
    ListFailed,
    /// A start was answered.
    StartDone { start_id: String, result: StartResult },
    /// A stop was answered.
    StopDone { instance: String, result: StopResult },
    /// A report of usage was answered.
    UsageReported { window: u64, fence: u64, result: UsageResult },
    /// The machine's wall clock, in microseconds since the start of 1970; only windows of usage go by it.
    WallClock { unix: Micros },
    /// An operator's change.
    ChangeRequested { request: u64, change: Change },
    /// An operator reads the configuration as a majority of the disks confirms it.
    ConfigurationRequested { request: u64 },
    /// An operator reads the decision stream.
    DecisionsRequested { request: u64, after: Vec<(NodeId, u64)>, most: u32 },
    /// Finish: release leases, take no new work.
    Drain,
    /// The settings file names other seeds.
    SeedsChanged { seeds: Vec<Address> },
}

/// Why a call gets no ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedAs {
    /// Its time is over.
    NoTimeLeft,
    /// The steward turned it down: waitlist full, no room, budget.
    Rejected,
    /// The function is no longer configured.
    NoFunction,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send to a colleague; losing it is harmless.
    Send { address: Address, to: NodeId, message: Message },
    /// Append the records and sync; a rewrite replaces the whole file instead.
    WriteDisk { token: u64, records: Vec<Vec<u8>>, is_rewrite: bool },
    /// Ask the platform for its list.
    List,
    /// Start a cell.
    Start { start_id: String, function: String, worker: String, memory_mb: u64, leader_epoch: u64 },
    /// Stop a cell.
    Stop { instance: String, leader_epoch: u64 },
    /// Report a window's usage.
    ReportUsage { report: UsageWindow, fence: u64 },
    /// The call may be dispatched once under this ticket.
    CallGranted { call: u64, permit: Permit },
    /// The call is refused: it did not run.
    CallRefused { call: u64, refused_as: RefusedAs, reason: String, retry_after: Micros },
    /// A newer configuration holds here from now on.
    ConfigurationApplied {
        generation: u64,
        configuration: Arc<Configuration>,
        /// What changed since the generation that this node had; empty where that is not known by item.
        deltas: Vec<ConfigurationDelta>,
    },
    /// The hosts that cells run on, as the newest list has them: calls from there are made by running calls.
    InstanceHosts { hosts: BTreeSet<IpAddr> },
    /// The operator's change has this outcome.
    ChangeAnswered { request: u64, change_id: String, outcome: ChangeOutcome },
    /// The stored configuration, as a majority of the disks confirms it.
    ConfigurationAnswered { request: u64, response: ConfigurationResponse },
    /// The decision lines after the cursor, and the cursor behind them.
    DecisionsAnswered { request: u64, lines: Vec<DecisionLine>, cursor: Vec<(NodeId, u64)> },
    /// The node knows the newest configuration and may take calls.
    Ready,
    /// All leases are given back: the node may go once its calls are done.
    Drained,
}
