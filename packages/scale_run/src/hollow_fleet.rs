use crate::{Sums, resident_bytes, thread_nanos};
use clock_events::Micros;
use colleague_messages::{Address, Envelope, Message, NodeId, decode_frame, fleet_mark};
use colleague_probes::ProbeSettings;
use configuration_check::Change;
use control_registers::DiskRegisters;
use fastrand::Rng;
use node_protocol::{Act, Event, Node, NodeSettings, StartResult, StopResult};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use steward_election::ElectionSettings;
use steward_work::{ListedCell, ListedWorker, RAN, TicketWish, UNUSED};

/// How large a fleet is and what it does. Example: `FleetSize { nodes: 10, functions: 100, .. }`.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Hollow nodes; the first three have disks.
    pub nodes: usize,
    /// Configured functions, each with a lane.
    pub functions: usize,
    /// Cells that run at the platform from the start.
    pub cells: usize,
    /// Calls a second in the whole fleet, at random functions.
    pub calls: f64,
    /// Changes that come at once after the steady state, each of one function.
    pub changes: usize,
    /// Seeds all choices.
    pub seed: u64,
    /// Whether a tenth of the nodes is killed and started again at the end.
    pub kill_tenth: bool,
    /// The run stops by itself after this.
    pub wall: Duration,
    /// How long the steady state is counted, in simulated seconds.
    pub steady_seconds: u64,
    /// Whether each frame passes through a real TCP connection on loopback.
    pub sockets: bool,
}

const DISKS: usize = 3;
const TICK: u64 = 20_000;
const BOOT: u64 = 1_000_000;
const WORK: u64 = 60_000;
const FLEET: &str = "hollow";
/// No phase waits longer than this, in simulated time.
const PHASE: u64 = 60_000_000;

enum Happening {
    Tick { node: usize, life: u64 },
    Arrives { to: Address, frame: Vec<u8>, name: &'static str },
    Given { node: usize, life: u64, event: Box<Event> },
    CallComes { node: usize },
    CallOver { node: usize, life: u64, call: u64 },
}

struct Hollow {
    node: Option<Node>,
    id: NodeId,
    address: Address,
    life: u64,
    started_at: u64,
    disk: Option<(u64, DiskRegisters)>,
    generation: u64,
    sums: Sums,
}

/// Hollow nodes in one process. Example: `HollowFleet::new(size).run_until(30_000_000, |fleet| fleet.is_met())`.
pub struct HollowFleet {
    size: FleetSize,
    now: u64,
    begun: Instant,
    dice: Rng,
    nodes: Vec<Hollow>,
    places: BTreeMap<Address, usize>,
    happenings: BTreeMap<(u64, u64), Happening>,
    next_happening: u64,
    workers: Vec<ListedWorker>,
    cells: BTreeMap<String, ListedCell>,
    next_cell: u64,
    next_call: u64,
    next_request: u64,
    asked: BTreeMap<u64, (u64, String)>,
    called: BTreeSet<String>,
    is_calling: bool,
    socket: Option<(TcpStream, TcpStream)>,
    /// Waits for a ticket, in microseconds: first calls of a function, and the others.
    cold_waits: Vec<u64>,
    warm_waits: Vec<u64>,
    refused: u64,
}

/// No more than this is written before it is read: a connection's buffers hold it.
const SOCKET_STEP: usize = 16 * 1024;

fn socket_pair() -> Option<(TcpStream, TcpStream)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).ok()?;
    let writer = TcpStream::connect(listener.local_addr().ok()?).ok()?;
    let (reader, _) = listener.accept().ok()?;
    writer.set_nodelay(true).ok()?;
    for stream in [&writer, &reader] {
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(5))).ok()?;
    }
    Some((writer, reader))
}

fn address_of(number: usize) -> Address {
    let bytes = (number as u32 + 1).to_be_bytes();
    Address::from(SocketAddr::from(([10, bytes[1], bytes[2], bytes[3]], 7_000)))
}

impl HollowFleet {
    /// A fleet at its first start. Example: `HollowFleet::new(size)`.
    pub fn new(size: FleetSize) -> HollowFleet {
        // Memory on the workers never is what a run is short of.
        let worker_count = 12;
        let worker_memory = 1_000 + 128 * (size.cells + size.functions) as u64;
        let workers = (0..worker_count)
            .map(|number| ListedWorker {
                id: format!("worker-{number}"),
                memory_mb: worker_memory,
                free_mb: None,
                draining: false,
            })
            .collect();
        let mut fleet = HollowFleet {
            size,
            now: 0,
            begun: Instant::now(),
            dice: Rng::with_seed(size.seed),
            nodes: Vec::new(),
            places: BTreeMap::new(),
            happenings: BTreeMap::new(),
            next_happening: 0,
            workers,
            cells: BTreeMap::new(),
            next_cell: 0,
            next_call: 0,
            next_request: 0,
            asked: BTreeMap::new(),
            called: BTreeSet::new(),
            is_calling: false,
            socket: size.sockets.then(socket_pair).flatten(),
            cold_waits: Vec::new(),
            warm_waits: Vec::new(),
            refused: 0,
        };
        for number in 0..size.cells {
            let function = function_name(number % size.functions.max(1));
            fleet.add_cell(function, format!("worker-{}", number % worker_count));
        }
        for number in 0..size.nodes {
            let address = address_of(number);
            fleet.places.insert(address, number);
            let disk = (number < DISKS).then(|| (fleet.dice.u64(1..), DiskRegisters::default()));
            fleet.nodes.push(Hollow {
                node: None,
                id: 0,
                address,
                life: 0,
                started_at: 0,
                disk,
                generation: 0,
                sums: Sums::default(),
            });
            fleet.start(number);
        }
        fleet
    }

    fn add_cell(&mut self, function: String, worker: String) -> ListedCell {
        self.next_cell += 1;
        let bytes = (self.next_cell as u32).to_be_bytes();
        let cell = ListedCell {
            id: format!("cell-{}", self.next_cell),
            function,
            worker,
            address: SocketAddr::from(([11, bytes[1], bytes[2], bytes[3]], 80)),
            memory_mb: 128,
            leaving: false,
            started: false,
        };
        self.cells.insert(cell.id.clone(), cell.clone());
        cell
    }

    fn start(&mut self, number: usize) {
        let id = self.dice.u64(1..);
        let seed_count = self.size.nodes.min(DISKS);
        let settings = NodeSettings {
            node: id,
            address: self.nodes[number].address,
            zone: format!("zone-{}", number % 6),
            seeds: (0..seed_count).map(address_of).collect(),
            founding_disks: DISKS.min(self.size.nodes),
            costs: steward_work::CostModel::default(),
            may_found: true,
            list_every: Micros::from_millis(900),
            lists_per_second: 1_000.0,
            extra_bound: steward_work::ExtraBound::default(),
            replace_disk_after: Micros::from_secs(600),
            acts_per_second: 80.0,
            link_rate: None,
            processor_millis: 1_000,
            election: ElectionSettings::default(),
            probes: ProbeSettings::default(),
            luck_seed: self.dice.u64(..),
        };
        let hollow = &mut self.nodes[number];
        hollow.life += 1;
        hollow.id = id;
        hollow.started_at = self.now;
        hollow.generation = 0;
        hollow.node = Some(Node::new(settings, hollow.disk.clone(), Micros(0)));
        let life = hollow.life;
        let first_tick = self.dice.u64(..TICK);
        self.after(first_tick, Happening::Tick { node: number, life });
    }

    fn after(&mut self, span: u64, happening: Happening) {
        self.next_happening += 1;
        self.happenings.insert((self.now + span, self.next_happening), happening);
    }

    fn is_out_of_time(&self) -> bool {
        self.begun.elapsed() > self.size.wall
    }

    /// Lets simulated time pass; false when the run's own time is over.
    fn run_for(&mut self, span: u64) -> bool {
        let end = self.now + span;
        let mut count = 0u32;
        while let Some(entry) = self.happenings.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let happening = entry.remove();
            self.now = at;
            self.happen(happening);
            count += 1;
            if count.is_multiple_of(64) && self.is_out_of_time() {
                return false;
            }
        }
        self.now = end;
        true
    }

    /// The simulated microseconds until something holds, looked at each 50 ms; none if it did not in
    /// time. Example: `fleet.run_until(PHASE, HollowFleet::is_met)`.
    pub fn run_until(&mut self, span: u64, holds: impl Fn(&HollowFleet) -> bool) -> Option<u64> {
        let begun = self.now;
        while self.now < begun + span {
            if holds(self) {
                return Some(self.now - begun);
            }
            if !self.run_for(50_000) {
                return None;
            }
        }
        None
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { node, life } => {
                if self.nodes[node].life != life {
                    return;
                }
                self.give(node, Event::Tick, "Tick");
                self.after(TICK, Happening::Tick { node, life });
            }
            Happening::Arrives { to, frame, name } => {
                let Some(node) = self.places.get(&to).copied() else { return };
                if self.nodes[node].node.is_none() {
                    return;
                }
                let begun = Instant::now();
                let decoded = decode_frame(&frame);
                self.spend(node, "decode", begun);
                let Ok(envelope) = decoded else { return };
                self.give(node, Event::Heard(envelope), name);
            }
            Happening::Given { node, life, event } => {
                if self.nodes[node].life == life {
                    let name = match *event {
                        Event::Listed { .. } => "list",
                        Event::DiskDone { .. } => "disk done",
                        _ => "platform answer",
                    };
                    self.give(node, *event, name);
                }
            }
            Happening::CallComes { node } => self.call_comes(node),
            Happening::CallOver { node, life, call } => {
                if self.nodes[node].life == life {
                    self.give(node, Event::CallEnds { call }, "call");
                }
            }
        }
    }

    fn spend(&mut self, node: usize, on: &'static str, begun: Instant) {
        *self.nodes[node].sums.spent.entry(on).or_default() += begun.elapsed().as_nanos() as u64;
    }

    fn give(&mut self, number: usize, event: Event, name: &'static str) {
        let hollow = &mut self.nodes[number];
        let local_time = Micros(self.now - hollow.started_at);
        let Some(node) = &mut hollow.node else { return };
        let begun = Instant::now();
        let acts = node.handle(event, local_time);
        self.spend(number, name, begun);
        for act in acts {
            self.carry_out(number, act);
        }
    }

    fn carry_out(&mut self, number: usize, act: Act) {
        let life = self.nodes[number].life;
        match act {
            Act::Send { address, to, message } => self.carry_message(number, address, to, message),
            Act::WriteDisk { token, records, is_rewrite } => {
                let hollow = &mut self.nodes[number];
                // As the record file: 32 bytes before each group, four before each record.
                let byte_count = 32 + records.iter().map(|record| record.len() + 4).sum::<usize>();
                let sums = &mut hollow.sums.disk;
                *sums = (sums.0 + byte_count as u64, sums.1 + 1, sums.2 + u64::from(is_rewrite));
                let event = Box::new(Event::DiskDone { token, is_synced: true });
                self.after(1_000, Happening::Given { node: number, life, event });
            }
            Act::List => {
                let cells = self.cells.values().cloned().collect();
                let event = Box::new(Event::Listed { workers: self.workers.clone(), cells });
                self.after(5_000, Happening::Given { node: number, life, event });
            }
            Act::Start { start_id, function, worker, .. } => {
                let cell = self.add_cell(function, worker);
                let result = StartResult::Started { cell: cell.id, address: cell.address };
                let event = Box::new(Event::StartDone { start_id, result });
                self.after(5_000, Happening::Given { node: number, life, event });
            }
            Act::Stop { cell, .. } => {
                self.cells.remove(&cell);
                let event = Box::new(Event::StopDone { cell, result: StopResult::Stopped });
                self.after(5_000, Happening::Given { node: number, life, event });
            }
            Act::CallGranted { call, ticket } => {
                let Some((asked_at, function)) = self.asked.remove(&call) else {
                    let event = Event::TicketDone { ticket, how: UNUSED, latency: Micros(0) };
                    self.after(0, Happening::Given { node: number, life, event: Box::new(event) });
                    return;
                };
                let wait = self.now - asked_at;
                match self.called.insert(function) {
                    true => self.cold_waits.push(wait),
                    false => self.warm_waits.push(wait),
                }
                let event = Box::new(Event::TicketDone { ticket, how: RAN, latency: Micros(WORK) });
                self.after(WORK, Happening::Given { node: number, life, event });
                self.after(WORK, Happening::CallOver { node: number, life, call });
            }
            Act::CallRefused { call, .. } => {
                self.asked.remove(&call);
                self.refused += 1;
            }
            Act::ConfigurationTaken { generation, .. } => self.nodes[number].generation = generation,
            _ => {}
        }
    }

    fn carry_message(&mut self, number: usize, address: Address, to: NodeId, message: Message) {
        let name = message.name();
        let begun = Instant::now();
        let envelope = Envelope {
            fleet: fleet_mark(FLEET),
            from: self.nodes[number].id,
            from_address: self.nodes[number].address,
            to,
            message,
        };
        let frame = envelope.frame();
        self.spend(number, "encode", begun);
        let Some(frame) = frame else { return };
        let sent = self.nodes[number].sums.sent.entry(name).or_default();
        *sent = (sent.0 + 1, sent.1 + frame.len() as u64);
        self.pass_socket(number, address, &frame);
        let travel = self.dice.u64(250..750);
        self.after(travel, Happening::Arrives { to: address, frame, name });
    }

    /// Sends a frame through the connection; the sender pays for writing, the receiver for reading.
    fn pass_socket(&mut self, sender: usize, to: Address, frame: &[u8]) {
        let Some((mut writer, mut reader)) = self.socket.take() else { return };
        let receiver = self.places.get(&to).copied().unwrap_or(sender);
        let mut read_bytes = [0u8; SOCKET_STEP];
        let mut is_whole = true;
        for step in frame.chunks(SOCKET_STEP) {
            let begun = Instant::now();
            is_whole &= writer.write_all(step).is_ok();
            self.spend(sender, "socket", begun);
            let begun = Instant::now();
            is_whole &= reader.read_exact(&mut read_bytes[..step.len()]).is_ok();
            self.spend(receiver, "socket", begun);
        }
        // A connection that broke leaves the socket's time out from here on, which the table shows.
        self.socket = is_whole.then_some((writer, reader));
    }

    fn call_comes(&mut self, node: usize) {
        if !self.is_calling {
            return;
        }
        let span = (1e6 * self.size.nodes as f64 / self.size.calls) as u64;
        let next_span = self.dice.u64(span / 2..span + span / 2 + 1);
        self.after(next_span, Happening::CallComes { node });
        let function = function_name(self.dice.usize(..self.size.functions.max(1)));
        self.next_call += 1;
        let call = self.next_call;
        self.asked.insert(call, (self.now, function.clone()));
        let time_left = Micros::from_secs(4);
        let wish = TicketWish {
            function,
            time_left,
            dispatches: 0,
            avoid: String::new(),
            target_left: None,
            rank: 0,
            is_nested: false,
        };
        let event = Event::CallAsks { call, wish };
        self.give(node, event, "call");
    }

    fn begin_calls(&mut self) {
        if self.size.calls <= 0.0 {
            return;
        }
        self.is_calling = true;
        for node in 0..self.nodes.len() {
            let span = (1e6 * self.size.nodes as f64 / self.size.calls) as u64;
            let first_span = self.dice.u64(..span + 1);
            self.after(first_span, Happening::CallComes { node });
        }
    }

    fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter_map(|hollow| hollow.node.as_ref())
    }

    /// Whether every node sees every other. Example: `fleet.run_until(span, HollowFleet::is_met)`.
    pub fn is_met(&self) -> bool {
        self.live().all(|node| node.member_count() == self.nodes.len())
    }

    fn is_founded(&self) -> bool {
        self.live().all(|node| node.voters().generation > 0)
    }

    fn holds_generation(&self, generation: u64) -> bool {
        self.nodes.iter().all(|hollow| hollow.node.is_none() || hollow.generation >= generation)
    }

    fn held_count(&self) -> usize {
        let now = self.now;
        let live = self.nodes.iter().filter_map(|hollow| Some((hollow.node.as_ref()?, hollow.started_at)));
        live.map(|(node, started_at)| node.status(Micros(now - started_at)).held.len()).sum()
    }

    /// What the platform's answer to `GET /cells` is long, as docs/design.md lays it out.
    fn list_bytes(&self) -> usize {
        let workers = self.workers.iter().map(|worker| {
            json!({"id": worker.id, "memory_mb": worker.memory_mb, "state": "ready"}).to_string().len() + 1
        });
        let cells = self.cells.values().map(|cell| {
            let line = json!({
                "id": cell.id, "function": cell.function, "worker": cell.worker,
                "address": cell.address.to_string(), "memory_mb": cell.memory_mb, "state": "running",
            });
            line.to_string().len() + 1
        });
        json!({"workers": [], "cells": []}).to_string().len() + workers.sum::<usize>() + cells.sum::<usize>()
    }

    fn change(&mut self, change: Change) {
        self.next_request += 1;
        let event = Event::ChangeAsked { request: self.next_request, change };
        let last = self.nodes.len() - 1;
        self.give(last, event, "change");
    }

    fn take_sums(&mut self) -> [Sums; 3] {
        let mut groups = [Sums::default(), Sums::default(), Sums::default()];
        for (number, hollow) in self.nodes.iter_mut().enumerate() {
            let sums = std::mem::take(&mut hollow.sums);
            groups[usize::from(number < DISKS)].add(&sums);
            groups[2].add(&sums);
        }
        groups
    }
}

fn function_name(number: usize) -> String {
    format!("function-{number:06}")
}

fn function_document(boot_millis: u64) -> Value {
    json!({
        "allowance": "all", "cell_memory_mb": 128, "calls_at_once": 4,
        "boot_millis": boot_millis, "idle_seconds": 600,
    })
}

fn document(functions: usize) -> Value {
    let mut document = json!({"allowances": {"all": {"weight": 1}}, "functions": {}, "lanes": {}});
    for name in (0..functions).map(function_name) {
        document["functions"][&name] = function_document(BOOT / 1_000);
        document["lanes"][&name] = json!({"function": name, "path_prefix": format!("/{name}")});
    }
    document
}

/// Runs one fleet through its phases and returns the figures; a phase that was not reached within
/// the run's time or within a simulated minute is null. Example: `measure(size)["messages_per_node_s"]`.
pub fn measure(size: FleetSize) -> Value {
    let resident_before = resident_bytes();
    let mut fleet = HollowFleet::new(size);
    let seconds = |span: Option<u64>| span.map(|span| span as f64 / 1e6);
    let mut figures = json!({
        "nodes": size.nodes, "functions": size.functions, "cells": size.cells, "calls": size.calls, "changes": size.changes,
        "seed": size.seed,
    });
    let met = fleet.run_until(PHASE / 2, HollowFleet::is_met);
    figures["all_see_all_s"] = json!(seconds(met));
    figures["members_seen_least"] = json!(fleet.live().map(Node::member_count).min());
    if fleet.run_until(PHASE, HollowFleet::is_founded).is_none() {
        return figures;
    }
    figures["resident_bare_mb"] =
        json!(resident_bytes().saturating_sub(resident_before) as f64 / 1e6 / size.nodes as f64);
    let whole = document(size.functions);
    figures["document_bytes"] = json!(whole.to_string().len());
    fleet.change(Change { change_id: "first".into(), whole: Some(whole), ..Change::default() });
    let taken = fleet.run_until(PHASE, |fleet| fleet.holds_generation(1));
    figures["first_configuration_s"] = json!(seconds(taken));
    let function_count = size.functions;
    let held = fleet.run_until(PHASE * 3, |fleet| fleet.held_count() == function_count);
    figures["all_held_s"] = json!(seconds(held.zip(taken).map(|(held, taken)| held + taken)));
    if held.is_none() {
        figures["held_at_the_end"] = json!(fleet.held_count());
        return figures;
    }
    // What followed the start dies away; first calls start the cells.
    fleet.begin_calls();
    if !fleet.run_for(5_000_000) {
        return figures;
    }
    if size.calls > 0.0 {
        fleet.warm_waits.clear();
    }
    figures["list_bytes"] = json!(fleet.list_bytes());
    let Some(steady) = fleet.count(size.steady_seconds * 1_000_000) else { return figures };
    let per_second = size.steady_seconds as f64;
    figures["resident_mb"] =
        json!(resident_bytes().saturating_sub(resident_before) as f64 / 1e6 / size.nodes as f64);
    let steady_rate = steady.tell(&mut figures, size, per_second);
    if size.calls > 0.0 {
        for (name, waits) in [("cold", &mut fleet.cold_waits), ("warm", &mut fleet.warm_waits)] {
            waits.sort_unstable();
            for (percent, place) in [("median", 50), ("p99", 99)] {
                let wait = waits.get((waits.len() * place / 100).min(waits.len().saturating_sub(1)));
                figures[format!("{name}_wait_{percent}_ms")] = json!(wait.map(|wait| *wait as f64 / 1e3));
            }
        }
        figures["refused"] = json!(fleet.refused);
        return figures;
    }
    fleet.tell_change(&mut figures, steady_rate);
    if size.kill_tenth {
        fleet.tell_kills(&mut figures);
    }
    figures
}

/// What a window of time came to.
struct Window {
    groups: [Sums; 3],
    /// Processor nanoseconds for each of the wall's.
    share: f64,
}

impl Window {
    fn core_millis(&self, group: usize) -> f64 {
        self.groups[group].spent_total() as f64 / 1e6 * self.share
    }

    /// Writes the figures a second; returns bytes and core milliseconds a second of the whole fleet.
    fn tell(&self, figures: &mut Value, size: FleetSize, per_second: f64) -> (f64, f64) {
        let disks = DISKS.min(size.nodes) as f64;
        let others = (size.nodes as f64 - disks).max(1.0);
        let (messages, bytes) = self.groups[2].sent_total();
        figures["messages_per_node_s"] = json!(messages as f64 / size.nodes as f64 / per_second);
        figures["kb_per_node_s"] = json!(bytes as f64 / 1e3 / size.nodes as f64 / per_second);
        for (group, name, count) in [(0, "plain", others), (1, "disk", disks)] {
            figures[format!("{name}_core_ms_s")] = json!(self.core_millis(group) / count / per_second);
            let listing = *self.groups[group].spent.get("list").unwrap_or(&0) as f64 / 1e6 * self.share;
            figures[format!("{name}_list_core_ms_s")] = json!(listing / count / per_second);
            let passing = *self.groups[group].spent.get("socket").unwrap_or(&0) as f64 / 1e6 * self.share;
            figures[format!("{name}_socket_core_ms_s")] = json!(passing / count / per_second);
            let sent = self.groups[group].sent_total().1 as f64;
            figures[format!("{name}_sent_kb_s")] = json!(sent / 1e3 / count / per_second);
        }
        let (written, groups, rewrites) = self.groups[1].disk;
        figures["disk_written_kb_s"] = json!(written as f64 / 1e3 / disks / per_second);
        figures["disk_groups_s"] = json!(groups as f64 / disks / per_second);
        figures["disk_rewrites"] = json!(rewrites);
        let mut by_name = serde_json::Map::new();
        for (name, (count, byte_count)) in &self.groups[2].sent {
            let messages = *count as f64 / per_second;
            by_name.insert((*name).into(), json!([messages, *byte_count as f64 / 1e3 / per_second]));
        }
        figures["fleet_by_name_s"] = Value::Object(by_name);
        for (group, name, count) in [(0, "plain", others), (1, "disk", disks)] {
            let spent = self.groups[group].spent.iter();
            let spent = spent.map(|(on, nanos)| {
                ((*on).into(), json!(*nanos as f64 / 1e6 * self.share / count / per_second))
            });
            figures[format!("{name}_core_ms_by_event_s")] = Value::Object(spent.collect());
        }
        (bytes as f64 / per_second, self.core_millis(2) / per_second)
    }
}

impl HollowFleet {
    fn count(&mut self, span: u64) -> Option<Window> {
        self.take_sums();
        let (wall_begun, nanos_begun) = (Instant::now(), thread_nanos());
        if !self.run_for(span) {
            return None;
        }
        let wall = wall_begun.elapsed().as_nanos() as f64;
        let spent = (thread_nanos() - nanos_begun) as f64;
        let share = if spent > 0.0 { (spent / wall).min(1.0) } else { 1.0 };
        Some(Window { groups: self.take_sums(), share })
    }

    /// Changed functions: until they are in force everywhere, and what they cost above the steady rate.
    fn tell_change(&mut self, figures: &mut Value, steady_rate: (f64, f64)) {
        self.take_sums();
        let (begun, wall_begun, nanos_begun) = (self.now, Instant::now(), thread_nanos());
        let changes = self.size.changes.max(1);
        for number in 0..changes {
            let name = function_name(number % self.size.functions);
            let items = json!({"functions": {name: function_document(BOOT / 1_000 + 1)}});
            let change_id = format!("later-{number}");
            self.change(Change { change_id, items: Some(items), ..Change::default() });
        }
        let last_generation = 1 + changes as u64;
        let taken = self.run_until(PHASE, |fleet| fleet.holds_generation(last_generation));
        figures["change_everywhere_s"] = json!(taken.map(|span| span as f64 / 1e6));
        if taken.is_none() || !self.run_for(1_000_000) {
            return;
        }
        let share = (thread_nanos() - nanos_begun) as f64 / wall_begun.elapsed().as_nanos() as f64;
        let window = Window { groups: self.take_sums(), share };
        let seconds = (self.now - begun) as f64 / 1e6;
        let node_count = self.nodes.len() as f64;
        let bytes = window.groups[2].sent_total().1 as f64 - steady_rate.0 * seconds;
        let core_millis = window.core_millis(2) - steady_rate.1 * seconds;
        figures["change_kb_per_node"] = json!(bytes / 1e3 / node_count);
        figures["change_core_ms_per_node"] = json!(core_millis / node_count);
    }

    /// A tenth of the nodes without disks is killed and, three seconds later, started anew.
    fn tell_kills(&mut self, figures: &mut Value) {
        let mut numbers: Vec<usize> = (DISKS.min(self.nodes.len())..self.nodes.len()).collect();
        self.dice.shuffle(&mut numbers);
        numbers.truncate((self.nodes.len() / 10).max(1));
        for number in &numbers {
            self.nodes[*number].node = None;
            self.nodes[*number].life += 1;
        }
        if !self.run_for(3_000_000) {
            return;
        }
        for number in numbers {
            self.start(number);
        }
        let function_count = self.size.functions;
        let settled =
            self.run_until(PHASE, |fleet| fleet.holds_generation(2) && fleet.held_count() == function_count);
        figures["tenth_back_s"] = json!(settled.map(|span| span as f64 / 1e6));
    }
}
