//! Checks a recorded history (what clients, instances, nodes and operators observed) against the rules of the
//! system. For each rule a test shows that its checker rejects a history with a planted violation.

mod checkers;
mod fences;
mod linearizability;
mod order_lines;
mod order_rules;
mod register_operations;
#[cfg(test)]
mod test_orders;
mod usage_rules;

pub use checkers::{CheckSettings, Violation, check_all};
pub use order_lines::{OrderResponse, ReadResponse};
pub use usage_rules::{UsageWindows, usage_windows};

use serde::{Deserialize, Serialize};
use std::sync::Mutex;

/// How a call ended, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete response of an instance.
    Ran,
    /// Refused; the call did not run.
    NotRun,
    /// The node reported that the outcome is unknown.
    Unknown,
    /// No response: the node was killed, cut off or too late.
    #[serde(rename = "no_answer")]
    NoResponse,
}

/// One observation; `at` is in microseconds of the history's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// A client sends a call.
    CallSent { at: u64, call: String, node: String, path: String, repeatable: bool },
    /// A client's call ends. For `ran`, `is_own` says that the response is complete and belongs to this call.
    CallEnded { at: u64, call: String, outcome: Outcome, is_own: bool, latency: u64 },
    /// A call reached an instance; `ran` is false if the instance refused it as busy.
    #[serde(rename = "cell_took")]
    InstanceReceivedCall {
        at: u64,
        call: String,
        function: String,
        #[serde(rename = "cell")]
        instance: String,
        ran: bool,
        in_flight: u32,
        limit: u32,
    },
    /// The platform started an instance, which accepts calls from `runs_from` on.
    #[serde(rename = "cell_started")]
    InstanceStarted {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
        function: String,
        worker: String,
        memory_mb: u64,
        runs_from: u64,
    },
    /// A node's machine is paused until `until`; its calls do not count as calls to a live node.
    NodeFrozen { at: u64, node: String, until: u64 },
    /// A call reached its node, which is not paused.
    CallReached { at: u64, call: String },
    /// A node looked up a call's route in a generation and passed the call on to be queued or refused.
    CallMatched { at: u64, call: String, node: String, generation: u64 },
    /// The quotas and functions of a generation: each quota with its parent and memory ceiling, each function
    /// with its quota and the memory of one instance.
    #[serde(rename = "allowances_held")]
    QuotasHeld {
        at: u64,
        #[serde(rename = "allowances")]
        quotas: Vec<(String, Option<String>, Option<f64>)>,
        functions: Vec<(String, String, u64)>,
    },
    /// The platform accepted a stop.
    #[serde(rename = "cell_stopped")]
    InstanceStopped {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
    },
    /// The platform rejected a start or stop because of its rate limit.
    #[serde(rename = "act_throttled")]
    OperationThrottled { at: u64 },
    /// An instance ended and its memory is free.
    #[serde(rename = "cell_ended")]
    InstanceEnded {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
    },
    /// A node uses this voter set from now on.
    VotersSeen { at: u64, node: String, generation: u64, disks: Vec<u64>, joining: Vec<u64> },
    /// Whether a node can reach a majority of the voting disks.
    ControlReached { at: u64, node: String, reached: bool },
    /// The platform's list began to show an instance as draining or gone.
    #[serde(rename = "cell_shown_leaving")]
    InstanceShownDraining {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
    },
    /// An operator's change was acknowledged with a generation.
    ChangeAccepted { at: u64, change: String, generation: u64 },
    /// An operator's change was refused.
    ChangeRefused { at: u64, change: String },
    /// An operator sends an order to a node, for the first time or again under the same name. An order
    /// with `is_proper` false is invalid in itself and has to be refused.
    OrderSent {
        at: u64,
        order: String,
        attempt: u64,
        node: String,
        expected_version: Option<u64>,
        version: Option<u64>,
        is_proper: bool,
    },
    /// One attempt of an order ends.
    OrderAnswered {
        at: u64,
        order: String,
        attempt: u64,
        #[serde(rename = "answer")]
        response: OrderResponse,
    },
    /// An operator requests from a node the configuration as a majority of the disks confirms it.
    ReadSent { at: u64, read: u64, node: String },
    /// An operator's read ends.
    ReadAnswered {
        at: u64,
        read: u64,
        #[serde(rename = "answer")]
        response: ReadResponse,
    },
    /// A node uses a configuration whose last applied order is this one.
    ConfigurationHeld { at: u64, node: String, generation: u64, last_order: String },
    /// The routes that a generation changes: path prefixes with their function, `None` for a removed route.
    #[serde(rename = "lanes_changed")]
    RoutesChanged {
        at: u64,
        generation: u64,
        #[serde(rename = "lanes")]
        routes: Vec<(String, Option<String>)>,
    },
    /// A node holds a generation. `incarnation` distinguishes the processes of a node.
    GenerationHeld {
        at: u64,
        node: String,
        #[serde(rename = "life")]
        incarnation: String,
        generation: u64,
    },
    /// The configuration in force at a node contains these changes.
    #[serde(rename = "changes_stand")]
    ChangesInForce { at: u64, node: String, generation: u64, changes: Vec<String> },
    /// A node became leader of a function under a leader epoch.
    #[serde(rename = "steward_taken")]
    LeadershipTaken { at: u64, node: String, function: String, epoch: u64 },
    /// A node acted as leader (a permit, a start or a stop) under an epoch.
    #[serde(rename = "steward_acted")]
    LeaderActed { at: u64, node: String, function: String, epoch: u64 },
    /// The terms of usage reporting: wall-clock time at the start of the history, length of a window, delay until
    /// a report is due, lease of a holder's reports; all in microseconds.
    UsageTerms { at: u64, unix: u64, window: u64, delay: u64, lease: u64 },
    /// An instance began a tenant's call.
    UsageBegan { at: u64, tenant: String },
    /// A usage report reached the platform; `accepted` is false if the platform had seen a higher fence.
    UsageReported {
        at: u64,
        holder: String,
        fence: u64,
        window: u64,
        counts: Vec<(String, u32)>,
        accepted: bool,
    },
    /// End of usage reporting: windows whose report is due later are not checked.
    UsageOver { at: u64 },
    /// A start or stop of the function's leader reached the platform with the leader's name and fence;
    /// `is_accepted` is false if the platform had seen a higher fence or rejected the operation otherwise.
    #[serde(rename = "platform_act")]
    PlatformOperation { at: u64, holder: String, function: String, fence: u64, is_accepted: bool },
    /// A call was dropped although its node was only stopped as planned.
    DroppedInPlannedStop { at: u64, call: String },
}

/// The line for the routes of a history's first configuration.
/// Example: `first_routes(0, [("/proof".to_owned(), "proof".to_owned())])`.
pub fn first_routes(at: u64, routes: impl IntoIterator<Item = (String, String)>) -> Line {
    let routes = routes.into_iter().map(|(prefix, function)| (prefix, Some(function))).collect();
    Line::RoutesChanged { at, generation: 1, routes }
}

/// A history that several threads append to. Example: `history.append(Line::InstanceShownDraining { .. })`.
#[derive(Debug, Default)]
pub struct History {
    lines: Mutex<Vec<Line>>,
}

impl History {
    /// Appends a line. Example: `history.append(line)`.
    pub fn append(&self, line: Line) {
        match self.lines.lock() {
            Ok(mut lines) => lines.push(line),
            Err(poisoned) => poisoned.into_inner().push(line),
        }
    }

    /// All lines so far. Example: `check_all(&history.lines(), &CheckSettings::default())`.
    pub fn lines(&self) -> Vec<Line> {
        match self.lines.lock() {
            Ok(lines) => lines.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }
}
