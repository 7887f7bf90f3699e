//! The simulated fleet: its nodes, its event queue and the delivery of events to nodes.

mod actions;
mod faults;
mod operators;
mod queries;
mod settings;

pub use settings::SimulationSettings;

use crate::processors::{Processor, Processors};
use crate::sim_calls::SimCall;
use crate::sim_disk::SimDisk;
use crate::sim_links::{LinkRates, SimLinks};
use crate::sim_operators::{OperatorEvent, SimOperators};
use crate::sim_platform::{SimPlatform, SimStart, SimStop, zone_name};
use crate::sim_usage::{SimUsage, UsageState};
use configuration_schema::{Change, ChangeOutcome, Configuration, StoredConfiguration};
use control_registers::VoterSet;
use fastrand::Rng;
use function_scheduler::RetryLimits;
use gateway::{DispatchEnd, RouteTable};
use history_checker::{Line, Outcome};
use leader_election::ElectionSettings;
use membership::ProbeSettings;
use monotonic_clock::Micros;
use node_protocol::{
    Action, ConfigurationResponse, Event, LossTolerance, Node, NodeSettings, NodeStatus, Policy, RefusedAs,
    StartResult, StopResult,
};
use peer_messages::{Address, Envelope, Message, NodeId, Permit, UsageWindow, fleet_id, node_id};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub(crate) enum SimulationEvent {
    Tick {
        node: usize,
        incarnation: u64,
    },
    Arrives {
        to: Address,
        envelope: Box<Envelope>,
    },
    NodeEvent {
        node: usize,
        incarnation: u64,
        event: Box<Event>,
    },
    /// A busy processor becomes free and handles its next waiting event.
    ProcessorFree {
        node: usize,
        incarnation: u64,
    },
    Synced {
        node: usize,
        incarnation: u64,
        token: u64,
    },
    InstanceEnds {
        instance: String,
    },
    Digest,
    CallArrives {
        call: u64,
    },
    DispatchArrives {
        call: u64,
        dispatch: u32,
        permit: Permit,
    },
    InstanceFinishes {
        call: u64,
        dispatch: u32,
        instance: String,
        end: DispatchEnd,
    },
    ResponseArrives {
        call: u64,
        dispatch: u32,
        end: DispatchEnd,
    },
    CallExpired {
        call: u64,
    },
    Operator(OperatorEvent),
    OperatorCalls {
        node: usize,
        call: OperatorCall,
    },
    OperatorReadEnds {
        request: u64,
    },
    UsageArrives {
        node: usize,
        incarnation: u64,
        report: UsageWindow,
        fence: u64,
    },
}

/// An operator's request to a node, with the number of redirects it has followed.
pub(crate) struct OperatorCall {
    request: u64,
    redirects: u32,
    /// A change as (id, document); `None` for a read.
    change: Option<(String, Value)>,
}

/// Operators follow at most two redirects of a request.
const REDIRECT_LIMIT: u32 = 2;

pub(crate) struct SimNode {
    pub address: Address,
    pub zone: String,
    node: Option<Node>,
    id: NodeId,
    pub incarnation: u64,
    started_at: u64,
    pub disk: Option<SimDisk>,
    frozen_until: u64,
    pub is_isolated: bool,
    pub is_ready: bool,
    pub routes: RouteTable,
    reaches_control: bool,
    voters_seen: VoterSet,
    is_draining: bool,
    is_drained: bool,
    /// Microseconds of the node's monotonic clock per simulated microsecond.
    clock_rate: f64,
    /// Offset of the node's wall clock, in microseconds.
    pub wall_step: i64,
    pub processor: Processor,
}

impl SimNode {
    /// Checks that the incrementally updated configuration and route table equal those decoded from the whole
    /// stored document.
    fn check_changed_configuration(&self, generation: u64, configuration: &Configuration) {
        assert_eq!(
            self.routes,
            RouteTable::new(generation, configuration),
            "the table at {:?}",
            self.address
        );
        let stored_bytes = self.node.as_ref().map(Node::stored_configuration).unwrap_or_default();
        let stored =
            StoredConfiguration::decode(&stored_bytes).filter(|stored| stored.generation == generation);
        if let Some(whole) = stored.and_then(|stored| stored.trusted()) {
            assert_eq!(*configuration, whole, "the configuration at {:?}", self.address);
        }
    }

    fn local_time(&self, now: u64) -> Micros {
        Micros(((now - self.started_at) as f64 * self.clock_rate) as u64)
    }

    pub fn is_up(&self) -> bool {
        self.node.is_some()
    }
}

/// The kind of action during which a node freezes. Example: `FreezeIn::Start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreezeIn {
    /// A start request is on its way to the platform.
    Start,
    /// A stop request is on its way to the platform.
    Stop,
    /// A permit has just been sent.
    Grant,
    /// A key's owner has sent its stores and has no response yet.
    Store,
    /// Records have been written to a disk and are not synced yet.
    Sync,
    /// A usage report is on its way to the platform.
    Report,
}

impl FreezeIn {
    fn is(self, action: &Action) -> bool {
        match action {
            Action::Start { .. } => self == FreezeIn::Start,
            Action::Stop { .. } => self == FreezeIn::Stop,
            Action::WriteDisk { .. } => self == FreezeIn::Sync,
            Action::ReportUsage { .. } => self == FreezeIn::Report,
            Action::Send { message: Message::PermitGranted { .. }, .. } => self == FreezeIn::Grant,
            Action::Send { message: Message::Store { .. }, .. } => self == FreezeIn::Store,
            _ => false,
        }
    }
}

/// The whole simulated fleet. Example: `Simulation::new(SimulationSettings::default(), 7).run_for(10.0)`.
pub struct Simulation {
    pub(crate) settings: SimulationSettings,
    pub(crate) now: u64,
    pub(crate) rng: Rng,
    /// Random choices of disk faults; separate, so that they do not shift the other random choices of a seed.
    disk_rng: Rng,
    pub(crate) nodes: Vec<SimNode>,
    /// The platform.
    pub platform: SimPlatform,
    pub(crate) calls: BTreeMap<u64, SimCall>,
    pub(crate) next_call: u64,
    pub(crate) operators: SimOperators,
    /// Counts of calls by outcome: ran, not run, unknown, no response.
    pub outcomes: [u64; 4],
    /// Messages and bytes sent, by kind, while counting is on; `List` counts requests for the platform's list.
    pub traffic: Option<BTreeMap<&'static str, (u64, u64)>>,
    simulation_events: BTreeMap<(u64, u64), SimulationEvent>,
    next_event_number: u64,
    lines: Vec<Line>,
    /// Message kinds that are always lost on the way to a node, as (node number, kind).
    pub(crate) lost_kinds: BTreeSet<(usize, &'static str)>,
    /// One-way links, as (from, to), that lose every message.
    cut_links: BTreeSet<(usize, usize)>,
    shown_draining: BTreeSet<String>,
    recorded_instances: BTreeSet<String>,
    changes: BTreeMap<String, (u64, u64)>,
    next_request: u64,
    /// Calls per second, spread over ready nodes and functions.
    pub call_rate: f64,
    calls_due: f64,
    calls_counted_at: u64,
    /// The next node that performs this action freezes for this many seconds.
    pub freeze_in: Option<(FreezeIn, f64)>,
    /// Groups of records written to disks.
    pub disk_groups: u64,
    /// Messages sent between nodes.
    pub messages: u64,
    seeds: Vec<Address>,
    /// The newest generation whose routes are in the history, with those routes.
    recorded_routes: (u64, BTreeMap<String, String>),
    /// Counts of refused calls by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of times a node applied a generation incrementally rather than as a whole document.
    pub changed_configurations: u64,
    links: SimLinks,
    /// Size of the largest frame sent over the link of a node without a disk, while link rates are set.
    pub largest_small_link_message: usize,
    reads_ended: BTreeSet<u64>,
    pub(crate) usage_state: UsageState,
}

const SEED_COUNT: usize = 3;
const DISK_SEED: u64 = 0xd15c;
const FLEET: &str = "simulated";

impl Simulation {
    /// A fleet at its first start, with every node up. Example: `Simulation::new(settings, 7)`.
    pub fn new(settings: SimulationSettings, seed: u64) -> Simulation {
        let addresses: Vec<Address> = (0..settings.node_count).map(address_of).collect();
        let mut simulation = Simulation {
            platform: SimPlatform::new(settings.workers.0, settings.workers.1, 80.0, settings.list_late.0),
            now: 0,
            rng: Rng::with_seed(seed),
            disk_rng: Rng::with_seed(seed ^ DISK_SEED),
            nodes: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            operators: SimOperators::default(),
            outcomes: [0; 4],
            traffic: None,
            simulation_events: BTreeMap::new(),
            next_event_number: 0,
            lines: Vec::new(),
            lost_kinds: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            shown_draining: BTreeSet::new(),
            recorded_instances: BTreeSet::new(),
            changes: BTreeMap::new(),
            next_request: 0,
            call_rate: 0.0,
            calls_due: 0.0,
            calls_counted_at: 0,
            freeze_in: None,
            disk_groups: 0,
            messages: 0,
            seeds: addresses.iter().take(SEED_COUNT).copied().collect(),
            settings,
            recorded_routes: (0, BTreeMap::new()),
            refusals: BTreeMap::new(),
            changed_configurations: 0,
            links: SimLinks::default(),
            largest_small_link_message: 0,
            reads_ended: BTreeSet::new(),
            usage_state: UsageState::default(),
        };
        for (number, address) in addresses.into_iter().enumerate() {
            let first_disk = simulation.settings.first_disk;
            let disk = (first_disk..first_disk + simulation.settings.disks)
                .contains(&number)
                .then(|| SimDisk::blank(simulation.rng.u64(1..)));
            simulation.nodes.push(SimNode {
                address,
                zone: zone_name(number),
                node: None,
                id: 0,
                incarnation: 0,
                started_at: 0,
                disk,
                frozen_until: 0,
                is_isolated: false,
                is_ready: false,
                routes: RouteTable::default(),
                reaches_control: true,
                voters_seen: VoterSet::default(),
                is_draining: false,
                is_drained: false,
                clock_rate: 1.0,
                wall_step: 0,
                processor: Processor::default(),
            });
        }
        if simulation.settings.link_rates.is_some() {
            let rates: Vec<f64> =
                (0..simulation.nodes.len()).filter_map(|number| simulation.link_rate(number)).collect();
            simulation.links = SimLinks::new(rates.into_iter());
        }
        for number in 0..simulation.nodes.len() {
            simulation.start(number);
        }
        simulation.schedule_after(50_000, SimulationEvent::Digest);
        simulation.record_usage_terms();
        simulation
    }

    /// The functions' names. Example: `simulation.functions().len() == 24`.
    pub fn functions(&self) -> Vec<String> {
        let busy = (0..self.settings.busy).map(|number| format!("busy-{number}"));
        busy.chain((0..self.settings.rare).map(|number| format!("rare-{number}"))).collect()
    }

    /// The configuration document an operator sends. Example: `simulation.document()["functions"]`.
    pub fn document(&self) -> Value {
        let mut document = json!({
            "allowances": {
                "all": {"weight": 1},
                "busy": {"parent": "all", "weight": 3},
                "rare": {"parent": "all", "weight": 1},
            },
            "functions": {},
            "lanes": {},
        });
        if let Some(ceiling) = self.settings.rare_ceiling_mb {
            document["allowances"]["rare"]["memory_ceiling_mb"] = json!(ceiling);
        }
        for name in self.functions() {
            let is_busy = name.starts_with("busy");
            document["functions"][&name] = json!({
                "allowance": if is_busy { "busy" } else { "rare" },
                "cell_memory_mb": if is_busy { 600 } else { 128 },
                "calls_at_once": self.settings.calls_at_once,
                "boot_millis": if is_busy { 1_500 } else { 1_000 } + self.settings.extra_boot.millis(),
                "idle_seconds": self.settings.idle_seconds,
            });
            document["lanes"][&name] = json!({"function": name, "path_prefix": format!("/{name}")});
            if let Some(target) = self.settings.kept_by_cost {
                document["functions"][&name]["kept_by"] = json!("cost");
                document["lanes"][&name]["target_millis"] = json!(target.millis());
            }
        }
        if let Some(usage) = &self.settings.usage {
            document["tenants"] = usage.tenants_document();
        }
        document
    }

    /// Simulated microseconds since the beginning. Example: `simulation.now()`.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// The history so far. Example: `check_all(simulation.lines(), &CheckSettings::default())`.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    pub(crate) fn drain_lines(&mut self) -> Vec<Line> {
        std::mem::take(&mut self.lines)
    }

    pub(crate) fn history(&mut self, line: Line) {
        self.lines.push(line);
    }

    pub(crate) fn schedule_after(&mut self, span: u64, simulation_event: SimulationEvent) {
        self.next_event_number += 1;
        self.simulation_events.insert((self.now + span, self.next_event_number), simulation_event);
    }

    /// Random one-way latency of a message or a dispatch: 250 to 750 microseconds.
    pub(crate) fn network_latency(&mut self) -> u64 {
        self.rng.u64(250..750)
    }

    /// Advances the simulation by some seconds. Example: `simulation.run_for(5.0)`.
    pub fn run_for(&mut self, seconds: f64) {
        let end = self.now + (seconds * 1e6) as u64;
        while let Some(entry) = self.simulation_events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let simulation_event = entry.remove();
            self.now = at;
            self.handle_event(simulation_event);
        }
        self.now = end;
    }

    /// Advances the simulation until the condition holds, checking every 100 ms; false if it does not hold
    /// within the given seconds. Example: `simulation.run_until(30.0, |simulation| simulation.is_settled())`.
    pub fn run_until(&mut self, seconds: f64, holds: impl Fn(&Simulation) -> bool) -> bool {
        let end = self.now + (seconds * 1e6) as u64;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run_for(0.1);
        }
        holds(self)
    }

    /// As `run_until`, checking every millisecond.
    /// Example: `simulation.run_until_closely(4.0, Simulation::is_set_changing)`.
    pub fn run_until_closely(&mut self, seconds: f64, holds: impl Fn(&Simulation) -> bool) -> bool {
        let end = self.now + (seconds * 1e6) as u64;
        while self.now < end && !holds(self) {
            self.run_for(0.001);
        }
        holds(self)
    }

    fn handle_event(&mut self, simulation_event: SimulationEvent) {
        match simulation_event {
            SimulationEvent::Tick { node, incarnation } => self.node_ticks(node, incarnation),
            SimulationEvent::Arrives { to, envelope } => self.message_arrives(to, envelope),
            SimulationEvent::NodeEvent { node, incarnation, event } => {
                if self.nodes[node].incarnation == incarnation {
                    self.deliver_event(node, *event);
                }
            }
            SimulationEvent::ProcessorFree { node, incarnation } => self.processor_free(node, incarnation),
            SimulationEvent::Synced { node, incarnation, token } => self.disk_syncs(node, incarnation, token),
            SimulationEvent::InstanceEnds { instance } => self.platform.end(&instance),
            SimulationEvent::Digest => {
                self.record_ended_instances();
                self.record_control_access();
                for instance in self.platform.record_digest(self.now) {
                    if self.shown_draining.insert(instance.clone()) {
                        self.history(Line::InstanceShownDraining { at: self.now, instance });
                    }
                }
                self.send_due_calls();
                self.schedule_after(50_000, SimulationEvent::Digest);
            }
            SimulationEvent::CallArrives { call } => self.call_arrives(call),
            SimulationEvent::DispatchArrives { call, dispatch, permit } => {
                self.dispatch_arrives(call, dispatch, &permit);
            }
            SimulationEvent::InstanceFinishes { call, dispatch, instance, end } => {
                self.instance_finishes(call, dispatch, &instance, end);
            }
            SimulationEvent::Operator(simulation_event) => self.operator_event(simulation_event),
            SimulationEvent::ResponseArrives { call, dispatch, end } => {
                self.response_arrives(call, dispatch, end)
            }
            SimulationEvent::CallExpired { call } => self.call_expired(call),
            SimulationEvent::OperatorCalls { node, call } => self.operator_calls(node, call),
            SimulationEvent::UsageArrives { node, incarnation, report, fence } => {
                self.usage_arrives(node, incarnation, report, fence);
            }
            SimulationEvent::OperatorReadEnds { request } => {
                self.reads_ended.insert(request);
            }
        }
    }

    fn send_due_calls(&mut self) {
        let passed = (self.now - self.calls_counted_at) as f64 / 1e6;
        self.calls_counted_at = self.now;
        self.calls_due += passed * self.call_rate;
        let functions = self.functions();
        let ready_nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|number| {
                let node = &self.nodes[*number];
                node.is_up()
                    && node.is_ready
                    && !node.is_draining
                    && !node.is_isolated
                    && node.frozen_until <= self.now
            })
            .collect();
        while self.calls_due >= 1.0 {
            self.calls_due -= 1.0;
            // Nine in ten calls go to the busy functions.
            let is_busy = self.rng.u8(..10) < 9 && self.settings.busy > 0;
            let index = match is_busy || self.settings.rare == 0 {
                true => self.rng.usize(..self.settings.busy.max(1)),
                false => self.settings.busy + self.rng.usize(..self.settings.rare),
            };
            let Some(node) = self.rng.choice(ready_nodes.iter().copied()) else { continue };
            if let Some(function) = functions.get(index) {
                self.send_call(node, function, 0);
            }
        }
    }

    fn node_ticks(&mut self, number: usize, incarnation: u64) {
        if self.nodes[number].incarnation != incarnation || !self.nodes[number].is_up() {
            return;
        }
        if self.defer_if_frozen(number, SimulationEvent::Tick { node: number, incarnation }) {
            return;
        }
        self.send_wall_clock(number, 20_000);
        self.deliver_event(number, Event::Tick);
        self.schedule_after(20_000, SimulationEvent::Tick { node: number, incarnation });
    }

    /// Postpones an event of a frozen node until the node resumes; false if the node is not frozen.
    pub(crate) fn defer_if_frozen(&mut self, number: usize, simulation_event: SimulationEvent) -> bool {
        let frozen_until = self.nodes[number].frozen_until;
        if frozen_until <= self.now {
            return false;
        }
        self.schedule_after(frozen_until - self.now, simulation_event);
        true
    }

    pub(crate) fn deliver_event(&mut self, number: usize, event: Event) {
        let frozen_until = self.nodes[number].frozen_until;
        if frozen_until > self.now {
            let incarnation = self.nodes[number].incarnation;
            let later = SimulationEvent::NodeEvent { node: number, incarnation, event: Box::new(event) };
            self.schedule_after(frozen_until - self.now, later);
            return;
        }
        let Some(event) = self.queue_if_busy(number, event) else { return };
        let now = self.now;
        let event_cost = self.event_cost(&event);
        let sim_node = &mut self.nodes[number];
        let local_now = sim_node.local_time(now);
        let Some(node) = &mut sim_node.node else { return };
        let actions = node.handle(event, local_now);
        self.set_busy(number, event_cost, &actions);
        for action in actions {
            self.perform(number, action);
        }
    }

    fn message_arrives(&mut self, to: Address, envelope: Box<Envelope>) {
        let Some(number) = self.nodes.iter().position(|node| node.address == to && node.is_up()) else {
            return;
        };
        if self.nodes[number].frozen_until > self.now {
            let span = self.nodes[number].frozen_until - self.now;
            self.schedule_after(span, SimulationEvent::Arrives { to, envelope });
            return;
        }
        self.deliver_event(number, Event::Received(*envelope));
    }

    fn disk_syncs(&mut self, number: usize, incarnation: u64, token: u64) {
        if self.nodes[number].incarnation != incarnation {
            return;
        }
        let now = self.now;
        let Some(disk) = &mut self.nodes[number].disk else { return };
        if disk.stalled_until > now {
            let span = disk.stalled_until - now;
            self.schedule_after(span, SimulationEvent::Synced { node: number, incarnation, token });
            return;
        }
        let is_synced = disk.sync(token);
        self.deliver_event(number, Event::DiskDone { token, is_synced });
    }
}

fn address_of(number: usize) -> Address {
    let [high, low] = (number as u16).to_be_bytes();
    Address::from(SocketAddr::from(([10, 0, high, low], 7_000)))
}

/// The epoch in a start id, which has the form `function-epoch-number`.
fn epoch_of(start_id: &str) -> Option<u64> {
    start_id.rsplit('-').nth(1)?.parse().ok()
}
