//! The protocol of one node as a deterministic state machine: events and the time go in, actions come out.
//!
//! The protocol runtime of the program and the fleet simulator both drive [`Node`]. This package does no I/O:
//! it uses no clock, network, disk or platform.

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
mod voter_placement;
mod voter_replacement;
mod zones;

pub use control_store::VoterChange;
pub use decision_log::DecisionLog;
pub use node::{Node, NodeCounts, NodeStatus};
pub use permit_ledger::{PermitAdmission, PermitLedger};
pub use policy::{Policy, UnknownPolicy};
pub use usage_reporting::UsageSettings;
pub use voter_placement::{LossTolerance, MOST_VOTERS};

use configuration_schema::{Change, ChangeOutcome, Configuration, ConfigurationDelta};
use function_scheduler::{CostModel, ListedInstance, ListedWorker, PermitParameters, RetryLimits};
use leader_election::ElectionSettings;
use membership::ProbeSettings;
use monotonic_clock::Micros;
use peer_messages::{Address, DecisionLine, Envelope, Message, NodeId, Permit, UsageWindow};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

/// The settings of a node, given at its start. Example: see `fleet_simulator`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Chosen at random by each process at its start.
    pub node: NodeId,
    /// The address at which peers reach this node.
    pub address: Address,
    /// The zone of this node.
    pub zone: String,
    /// Seed addresses.
    pub seeds: Vec<Address>,
    /// The number of disks in the first voter set, which the bootstrap creates.
    pub bootstrap_disks: usize,
    /// The zones and regions that may be lost; the voters' places allow for it.
    pub tolerance: LossTolerance,
    /// The relative costs of running instances, starts and late responses.
    pub costs: CostModel,
    /// Whether this node may bootstrap the fleet's state, which is done once for each fleet.
    pub may_bootstrap: bool,
    /// The whole fleet starts for the first time, on empty disks; only then may seeds without a disk bootstrap
    /// it, since nothing of theirs outlasts their processes.
    pub is_first_start: bool,
    /// The interval between two lists requested from the platform.
    pub list_every: Micros,
    /// The platform's limit on list requests per second from the whole fleet.
    pub lists_per_second: f64,
    /// A voter whose machine is up but whose disk has failed for this long is replaced by a spare disk.
    pub replace_disk_after: Micros,
    /// The platform's limit on starts and stops per second from the whole fleet.
    pub operations_per_second: f64,
    /// Limits on dispatches to a function beyond the first one of each call.
    pub retry_limits: RetryLimits,
    /// The bandwidth of this machine's network link in bytes per second, if known.
    pub link_rate: Option<f64>,
    /// The processor time of this machine, in thousandths of a core.
    pub processor_millis: u32,
    /// Timing of the leader election.
    pub election: ElectionSettings,
    /// Timing of the membership probes.
    pub probes: ProbeSettings,
    /// Usage reporting to the platform; `None` if it is not required.
    pub usage: Option<UsageSettings>,
    /// Policies that are switched off, to measure their effect.
    pub switched_off: BTreeSet<Policy>,
    /// The seed of all random choices.
    pub random_seed: u64,
}

/// The result of a start operation at the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum StartResult {
    /// The instance exists.
    Started { instance: String, address: std::net::SocketAddr },
    /// The worker has too little free memory, is draining or is unknown.
    NoRoom,
    /// The platform's rate limit was exceeded: back off.
    Throttled,
    /// No response: the start is retried with the same start id.
    Unknown,
}

/// The result of a stop operation at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The instance is draining or gone.
    Stopped,
    /// The platform's rate limit was exceeded: back off.
    Throttled,
    /// No response.
    Unknown,
}

/// The result of a usage report to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageResult {
    /// The report was accepted now or earlier.
    Accepted,
    /// The platform has seen a higher fence.
    Fenced,
    /// The platform's rate limit was exceeded: back off.
    Throttled,
    /// No response: the report may have been accepted.
    Unknown,
}

/// The result of a confirmed read of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationResponse {
    /// The bytes stored on a majority of the disks.
    Stored(Vec<u8>),
    /// The stored value is newer than this node's; the peer at this address has it.
    NewerOnPeer(Address),
    /// No majority responded in time.
    Unconfirmed,
}

/// An input to [`Node::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from a peer.
    Received(Envelope),
    /// A call on this node needs a permit; the parameters include the number of dispatches so far.
    CallNeedsPermit { call: u64, parameters: PermitParameters },
    /// The call has ended; a permit that arrives later is returned unused.
    CallEnds { call: u64 },
    /// The dispatch under a permit has ended.
    PermitDone { permit: Permit, outcome: u8, latency: Micros },
    /// The disk synced the records of this token, or failed to.
    DiskDone { token: u64, is_synced: bool },
    /// Records read from the disk may not be synced: they are rewritten before the disk votes.
    DiskUnsynced,
    /// The disk of the data folder cannot be used until the process restarts; the reason is for the operator.
    DiskUnusable { reason: String },
    /// The data folder holds a quarantined file: its disk was formatted after damage.
    DiskQuarantined,
    /// The platform's list of workers and instances.
    Listed { workers: Vec<ListedWorker>, instances: Vec<ListedInstance> },
    /// The list request to the platform failed.
    ListFailed,
    /// The result of a start.
    StartDone { start_id: String, result: StartResult },
    /// The result of a stop.
    StopDone { instance: String, result: StopResult },
    /// The result of a usage report.
    UsageReported { window: u64, fence: u64, result: UsageResult },
    /// The machine's wall clock, in microseconds since the Unix epoch; used only for usage windows.
    WallClock { unix: Micros },
    /// A change requested by an operator.
    ChangeRequested { request: u64, change: Change },
    /// An operator's read of the configuration, to be confirmed by a majority of the disks.
    ConfigurationRequested { request: u64 },
    /// An operator's read of the decision stream.
    DecisionsRequested { request: u64, after: Vec<(NodeId, u64)>, limit: u32 },
    /// Drain this node: release its leases and accept no new work.
    Drain,
    /// The seeds in the settings file have changed.
    SeedsChanged { seeds: Vec<Address> },
}

/// Why a call gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedAs {
    /// The call's deadline has passed.
    NoTimeLeft,
    /// Rejected by the leader: queue full, no room for an instance, or retry budget exhausted.
    Rejected,
    /// The function is not configured.
    NoFunction,
}

/// An output of [`Node::handle`], to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer; its loss is tolerated.
    Send { address: Address, to: NodeId, message: Message },
    /// Append the records and sync; a rewrite replaces the whole file.
    WriteDisk { token: u64, records: Vec<Vec<u8>>, is_rewrite: bool },
    /// Request the platform's list.
    List,
    /// Start an instance.
    Start { start_id: String, function: String, worker: String, memory_mb: u64, leader_epoch: u64 },
    /// Stop an instance.
    Stop { instance: String, leader_epoch: u64 },
    /// Report the usage of one window to the platform.
    ReportUsage { report: UsageWindow, fence: u64 },
    /// The call may be dispatched once under this permit.
    CallGranted { call: u64, permit: Permit },
    /// The call is refused without having run.
    CallRefused { call: u64, refused_as: RefusedAs, reason: String, retry_after: Micros },
    /// A newer configuration is in force on this node.
    ConfigurationApplied {
        generation: u64,
        configuration: Arc<Configuration>,
        /// The changes since this node's previous generation; empty if they are not known item by item.
        deltas: Vec<ConfigurationDelta>,
    },
    /// The hosts of the instances in the newest list: calls from these hosts are nested calls.
    InstanceHosts { hosts: BTreeSet<IpAddr> },
    /// The outcome of an operator's change.
    ChangeCompleted { request: u64, change_id: String, outcome: ChangeOutcome },
    /// The result of a confirmed read of the configuration.
    ConfigurationRead { request: u64, response: ConfigurationResponse },
    /// The decision lines after the given cursor, and the cursor that follows them.
    DecisionsRead { request: u64, lines: Vec<DecisionLine>, cursor: Vec<(NodeId, u64)> },
    /// The node knows the newest configuration and may accept calls.
    Ready,
    /// All leases are released: the process may exit once its calls are done.
    Drained,
}
