//! How the simulated fleet is made.

use super::*;

/// How the simulated fleet is made. Example: `SimulationSettings::default().node_count == 10`.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Nodes; the first three have disks.
    pub node_count: usize,
    /// Functions, named `busy-N` and `rare-N`.
    pub busy: usize,
    /// Rare functions.
    pub rare: usize,
    /// Functions whose lanes are repeatable.
    pub repeatable: BTreeSet<String>,
    /// A call's time.
    pub timeout: Micros,
    /// A call's mean work on a cell.
    pub work: Micros,
    /// Calls a cell may run at once.
    pub calls_at_once: u32,
    /// The share of calls that run and lose their answer.
    pub lost_responses: f64,
    /// The share of messages that the network loses.
    pub lost_messages: f64,
    /// The election's times.
    pub election: ElectionSettings,
    /// A voter gone this long is replaced.
    pub replace_disk_after: Micros,
    /// How late the platform's list is.
    pub list_late: Micros,
    /// What cells boot longer than the brief's, by the configuration too.
    pub extra_boot: Micros,
    /// How long surplus cells may idle.
    pub idle_seconds: u64,
    /// Functions keep cells by what these cost, and lanes name this target.
    pub kept_by_cost: Option<Micros>,
    /// Workers of the platform, and the memory of each.
    pub workers: (usize, u64),
    /// How much faster or slower the nodes' clocks run, at the most.
    pub clock_drift: f64,
    /// Nodes with disks; `bootstrap_disks` of them found the state, the others are spare.
    pub disks: usize,
    /// The first node with a disk: the seeds before it carry none.
    pub first_disk: usize,
    /// Disks that found the state.
    pub bootstrap_disks: usize,
    /// The rare functions' memory ceiling, if they have one.
    pub rare_ceiling_mb: Option<f64>,
    /// Rates of the nodes' links; without them any message takes the same time.
    pub link_rates: Option<LinkRates>,
    /// Policies that are switched off.
    pub switched_off: BTreeSet<Policy>,
    /// Processor time of the machines; without it work takes no time.
    pub processors: Option<Processors>,
    /// Tenants whose usage is reported; without them calls have none.
    pub usage: Option<SimUsage>,
}

impl Default for SimulationSettings {
    fn default() -> SimulationSettings {
        SimulationSettings {
            node_count: 10,
            busy: 4,
            rare: 20,
            repeatable: BTreeSet::new(),
            timeout: Micros::from_secs(4),
            work: Micros::from_millis(60),
            calls_at_once: 4,
            lost_responses: 0.0,
            lost_messages: 0.0,
            election: ElectionSettings::default(),
            replace_disk_after: Micros::from_secs(10),
            list_late: Micros::from_secs(1),
            extra_boot: Micros(0),
            idle_seconds: 15,
            kept_by_cost: None,
            workers: (12, 6_500),
            clock_drift: 0.0,
            disks: 3,
            first_disk: 0,
            bootstrap_disks: 3,
            rare_ceiling_mb: None,
            link_rates: None,
            switched_off: BTreeSet::new(),
            processors: None,
            usage: None,
        }
    }
}
