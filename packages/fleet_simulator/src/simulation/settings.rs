//! Settings of a simulated fleet.

use super::*;

/// Settings of a simulated fleet. Example: `SimulationSettings::default().node_count == 10`.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Number of nodes; by default the first three have disks.
    pub node_count: usize,
    /// Number of busy functions, named `busy-N`.
    pub busy: usize,
    /// Number of rare functions, named `rare-N`.
    pub rare: usize,
    /// Functions whose calls are repeatable.
    pub repeatable: BTreeSet<String>,
    /// Time limit of a call.
    pub timeout: Micros,
    /// Mean duration of a call at an instance.
    pub work: Micros,
    /// Calls an instance may run at once.
    pub calls_at_once: u32,
    /// Share of calls that run and lose their response.
    pub lost_responses: f64,
    /// Share of messages that the network loses.
    pub lost_messages: f64,
    /// Timings of the leader election.
    pub election: ElectionSettings,
    /// A voter absent for this long is replaced.
    pub replace_disk_after: Micros,
    /// Delay of the platform's list.
    pub list_late: Micros,
    /// Added to the boot times of 1.4 s (busy) and 0.9 s (rare), in the configuration too.
    pub extra_boot: Micros,
    /// How long surplus instances may be idle.
    pub idle_seconds: u64,
    /// With a value, functions keep instances by cost, and routes have this target latency.
    pub kept_by_cost: Option<Micros>,
    /// Number of workers of the platform, and the memory of each in MB.
    pub workers: (usize, u64),
    /// Largest relative error of the nodes' clock rates.
    pub clock_drift: f64,
    /// Number of nodes with disks; `bootstrap_disks` of them bootstrap the state, the others are spares.
    pub disks: usize,
    /// Number of the first node with a disk; the nodes before it, which are seeds too, have none.
    pub first_disk: usize,
    /// Disks that bootstrap the state.
    pub bootstrap_disks: usize,
    /// Processes that start before this time are told that the whole fleet starts for the first time.
    pub first_start_ends: Micros,
    /// Number of zones that may be lost at one time.
    pub tolerated_zones: usize,
    /// Memory ceiling of the rare functions' quota in MB, if any.
    pub rare_ceiling_mb: Option<f64>,
    /// Rates of the nodes' links; without them transfer time does not depend on size.
    pub link_rates: Option<LinkRates>,
    /// Policies that are switched off.
    pub switched_off: BTreeSet<Policy>,
    /// Processor time of the machines; without it, processing takes no time.
    pub processors: Option<Processors>,
    /// Tenants whose usage is reported; without them calls belong to no tenant.
    pub usage: Option<SimUsage>,
}

impl SimulationSettings {
    /// A large fleet: 77 nodes, eight of them with disks, and links of 100 Mbit/s for those and 2 Mbit/s for the
    /// others. Example: `SimulationSettings { busy: 30, ..SimulationSettings::large_fleet() }`.
    pub fn large_fleet() -> SimulationSettings {
        SimulationSettings {
            node_count: 77,
            disks: 8,
            bootstrap_disks: 5,
            link_rates: Some(LinkRates { with_disk: 12.5e6, others: 250e3 }),
            ..SimulationSettings::default()
        }
    }

    /// A large fleet with the functions and workers of the users' grown deployments.
    /// Example: `SimulationSettings { node_count: 30, ..SimulationSettings::grown_deployment() }`.
    pub fn grown_deployment() -> SimulationSettings {
        SimulationSettings {
            busy: 30,
            rare: 1_000,
            workers: (40, 6_332),
            ..SimulationSettings::large_fleet()
        }
    }
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
            first_start_ends: Micros(1),
            tolerated_zones: 0,
            rare_ceiling_mb: None,
            link_rates: None,
            switched_off: BTreeSet::new(),
            processors: None,
            usage: None,
        }
    }
}
