//! Histories checked after the fact: what callers, cells, nodes and operators saw, and the rules
//! that must hold over it. Every checker is shown to fail on a doctored history.

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

/// How a caller saw its call end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A whole answer of a cell.
    Ran,
    /// Refused: it did not run.
    NotRun,
    /// Told to be of unknown fate.
    Unknown,
    /// The node never answered: killed, cut off, or too late.
    #[serde(rename = "no_answer")]
    NoResponse,
}

/// One thing that somebody saw, at microseconds of the history's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// A caller sends a call.
    CallSent { at: u64, call: String, node: String, path: String, repeatable: bool },
    /// A caller's call ends; `is_own` when a `ran` answer is the call's own, whole.
    CallEnded { at: u64, call: String, outcome: Outcome, is_own: bool, latency: u64 },
    /// A call reached a cell; `ran` false when the cell turned it away.
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
    /// The platform started a cell; it takes calls from `runs_from` on.
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
    /// A node's machine stands still until a time: its calls are none of a live node's.
    NodeFrozen { at: u64, node: String, until: u64 },
    /// A call reached its node, which is awake.
    CallReached { at: u64, call: String },
    /// A node looked up a call's lane, in a generation, and gave it over to be held or refused.
    CallMatched { at: u64, call: String, node: String, generation: u64 },
    /// The allowances and functions of a generation: names with parent and memory ceiling, names with
    /// allowance and memory of one cell.
    #[serde(rename = "allowances_held")]
    QuotasHeld {
        at: u64,
        #[serde(rename = "allowances")]
        quotas: Vec<(String, Option<String>, Option<f64>)>,
        functions: Vec<(String, String, u64)>,
    },
    /// The platform took a stop.
    #[serde(rename = "cell_stopped")]
    InstanceStopped {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
    },
    /// The platform turned a start or stop away: too many in a second.
    #[serde(rename = "act_throttled")]
    OperationThrottled { at: u64 },
    /// A cell is gone with its memory.
    #[serde(rename = "cell_ended")]
    InstanceEnded {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
    },
    /// A node goes by this voter set from now on.
    VotersSeen { at: u64, node: String, generation: u64, disks: Vec<u64>, joining: Vec<u64> },
    /// Whether a node can reach a majority of the voting disks.
    ControlReached { at: u64, node: String, reached: bool },
    /// The platform began to show a cell leaving, or gone.
    #[serde(rename = "cell_shown_leaving")]
    InstanceShownDraining {
        at: u64,
        #[serde(rename = "cell")]
        instance: String,
    },
    /// An operator's change was acknowledged under a generation.
    ChangeAccepted { at: u64, change: String, generation: u64 },
    /// An operator's change was refused.
    ChangeRefused { at: u64, change: String },
    /// An operator sends an order to a node, for the first time or again under the same name. An order
    /// that is not proper has a fault of its own and has to be refused.
    OrderSent {
        at: u64,
        order: String,
        attempt: u64,
        node: String,
        expected_version: Option<u64>,
        version: Option<u64>,
        is_proper: bool,
    },
    /// One sending of an order ends.
    OrderAnswered {
        at: u64,
        order: String,
        attempt: u64,
        #[serde(rename = "answer")]
        response: OrderResponse,
    },
    /// An operator asks a node for the configuration as a majority of the disks confirms it.
    ReadSent { at: u64, read: u64, node: String },
    /// An operator's read ends.
    ReadAnswered {
        at: u64,
        read: u64,
        #[serde(rename = "answer")]
        response: ReadResponse,
    },
    /// A node goes by a configuration whose last applied order is this one.
    ConfigurationHeld { at: u64, node: String, generation: u64, last_order: String },
    /// What a generation changes: path prefixes with the function their calls go to, none for no lane.
    #[serde(rename = "lanes_changed")]
    RoutesChanged {
        at: u64,
        generation: u64,
        #[serde(rename = "lanes")]
        routes: Vec<(String, Option<String>)>,
    },
    /// A node holds a generation. `incarnation` tells a node's processes apart.
    GenerationHeld {
        at: u64,
        node: String,
        #[serde(rename = "life")]
        incarnation: String,
        generation: u64,
    },
    /// The document that holds at a node contains the marks of these changes.
    #[serde(rename = "changes_stand")]
    ChangesInForce { at: u64, node: String, generation: u64, changes: Vec<String> },
    /// A node took a function under a steward epoch.
    #[serde(rename = "steward_taken")]
    LeadershipTaken { at: u64, node: String, function: String, epoch: u64 },
    /// A node acted as steward (a ticket, a start or a stop) under an epoch.
    #[serde(rename = "steward_acted")]
    LeaderActed { at: u64, node: String, function: String, epoch: u64 },
    /// Usage is to be reported: true time at the history's beginning, the length of a window, the delay until
    /// a report is due, the lease of acts, all in microseconds.
    UsageTerms { at: u64, unix: u64, window: u64, delay: u64, lease: u64 },
    /// A cell began a tenant's call.
    UsageBegan { at: u64, tenant: String },
    /// A report of usage reached the platform; `accepted` false where it had seen a higher fence.
    UsageReported {
        at: u64,
        holder: String,
        fence: u64,
        window: u64,
        counts: Vec<(String, u32)>,
        accepted: bool,
    },
    /// Reports that fall due after this are not waited for.
    UsageOver { at: u64 },
    /// A start or stop reached the platform, under the holder's name and fence, for a function of its own;
    /// `is_accepted` unless a higher fence was seen or it was turned away.
    #[serde(rename = "platform_act")]
    PlatformOperation { at: u64, holder: String, function: String, fence: u64, is_accepted: bool },
    /// A call was dropped although its node was only stopped in a planned way.
    DroppedInPlannedStop { at: u64, call: String },
}

/// What a first configuration's lanes are, for a history that begins with it.
/// Example: `first_routes(0, [("/proof".to_owned(), "proof".to_owned())])`.
pub fn first_routes(at: u64, routes: impl IntoIterator<Item = (String, String)>) -> Line {
    let routes = routes.into_iter().map(|(prefix, function)| (prefix, Some(function))).collect();
    Line::RoutesChanged { at, generation: 1, routes }
}

/// A history that many threads append to. Example: `history.append(Line::InstanceShownDraining { .. })`.
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
