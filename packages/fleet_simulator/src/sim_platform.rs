//! The simulated platform.

use function_scheduler::{ListedInstance, ListedWorker};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Zones of the simulated fleet; nodes and workers are assigned to them in turn.
pub(crate) const ZONES: usize = 3;

/// The longest start id that a platform takes, in bytes.
const START_ID_LIMIT: usize = 64;

/// The zone of a node or worker by its number. Example: `zone_name(4) == "zone-1"`.
pub(crate) fn zone_name(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

/// An instance on the simulated platform.
#[derive(Clone, Debug)]
pub(crate) struct SimInstance {
    pub id: String,
    pub function: String,
    pub worker: String,
    pub address: SocketAddr,
    pub memory_mb: u64,
    pub start_id: String,
    pub ready_at: u64,
    pub draining: bool,
    pub in_flight: u32,
}

/// Result of a start at the simulated platform.
pub(crate) enum SimStart {
    Started(String, SocketAddr),
    NoRoom,
    /// A higher fence was seen.
    Fenced,
    Throttled,
}

/// Result of a stop at the simulated platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SimStop {
    Accepted,
    /// A higher fence was seen.
    Fenced,
    Throttled,
}

/// The simulated platform: workers, instances, a delayed list, a rate limit on operations, reuse of addresses.
/// Example: `SimPlatform::new(12, 6_500, 80.0, 1_000_000)`.
#[derive(Debug)]
pub struct SimPlatform {
    workers: Vec<ListedWorker>,
    pub(crate) instances: BTreeMap<String, SimInstance>,
    lists: VecDeque<(u64, Vec<ListedWorker>, Vec<ListedInstance>)>,
    /// Delay of the list, in microseconds.
    pub list_late: u64,
    operations_per_second: f64,
    tokens: f64,
    refilled_at: u64,
    /// Highest fence seen, by function.
    fences: BTreeMap<String, u64>,
    free_ports: VecDeque<u16>,
    next_port: u16,
    next_instance: u64,
    /// Instances that have ended since this was last drained.
    pub(crate) ended: Vec<String>,
    /// Counts of starts, stops and throttled operations.
    pub counts: (u64, u64, u64),
}

impl SimPlatform {
    /// A platform without instances. Example: `SimPlatform::new(2, 1_000, 80.0, 0)`.
    pub fn new(
        worker_count: usize,
        worker_memory_mb: u64,
        operations_per_second: f64,
        list_late: u64,
    ) -> SimPlatform {
        let workers = (0..worker_count)
            .map(|number| ListedWorker {
                id: format!("worker-{number}"),
                memory_mb: worker_memory_mb,
                free_mb: None,
                draining: false,
                zone: zone_name(number),
            })
            .collect();
        SimPlatform {
            workers,
            instances: BTreeMap::new(),
            lists: VecDeque::new(),
            list_late,
            operations_per_second,
            tokens: operations_per_second,
            refilled_at: 0,
            fences: BTreeMap::new(),
            free_ports: VecDeque::new(),
            next_port: 20_000,
            next_instance: 1,
            ended: Vec::new(),
            counts: (0, 0, 0),
        }
    }

    fn take_token(&mut self, now: u64) -> bool {
        let passed = (now - self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * self.operations_per_second).min(self.operations_per_second);
        if self.tokens < 1.0 {
            self.counts.2 += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Records a fence; false if it is lower than one seen before.
    fn accept_fence(&mut self, function: &str, fence: u64) -> bool {
        let highest = self.fences.entry(function.to_owned()).or_default();
        *highest = (*highest).max(fence);
        fence == *highest
    }

    /// The function of an instance, if the instance still exists.
    pub(crate) fn function_of(&self, instance: &str) -> Option<String> {
        self.instances.get(instance).map(|found| found.function.clone())
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn start(
        &mut self,
        start_id: &str,
        function: &str,
        worker: &str,
        memory_mb: u64,
        boot: u64,
        fence: u64,
        now: u64,
    ) -> SimStart {
        if !self.accept_fence(function, fence) {
            return SimStart::Fenced;
        }
        assert!(start_id.len() <= START_ID_LIMIT, "a start id of {} bytes", start_id.len());
        if let Some(known) = self.instances.values().find(|instance| instance.start_id == start_id) {
            return SimStart::Started(known.id.clone(), known.address);
        }
        if !self.take_token(now) {
            return SimStart::Throttled;
        }
        let usable = self.workers.iter().find(|listed| listed.id == worker && !listed.draining);
        let Some(worker_memory) = usable.map(|listed| listed.memory_mb) else { return SimStart::NoRoom };
        let used_memory: u64 = self
            .instances
            .values()
            .filter(|instance| instance.worker == worker)
            .map(|instance| instance.memory_mb)
            .sum();
        if used_memory + memory_mb > worker_memory {
            return SimStart::NoRoom;
        }
        let port = self.free_ports.pop_front().unwrap_or_else(|| {
            self.next_port += 1;
            self.next_port
        });
        let id = format!("cell-{}", self.next_instance);
        self.next_instance += 1;
        self.counts.0 += 1;
        let address = SocketAddr::from(([10, 9, 9, 9], port));
        let instance = SimInstance {
            id: id.clone(),
            function: function.to_owned(),
            worker: worker.to_owned(),
            address,
            memory_mb,
            start_id: start_id.to_owned(),
            ready_at: now + boot,
            draining: false,
            in_flight: 0,
        };
        self.instances.insert(id.clone(), instance);
        SimStart::Started(id, address)
    }

    /// Begins the stop of an instance; a stop of one that has ended is accepted.
    pub(crate) fn stop(&mut self, instance: &str, fence: u64, now: u64) -> SimStop {
        let Some(function) = self.function_of(instance) else { return SimStop::Accepted };
        if !self.accept_fence(&function, fence) {
            return SimStop::Fenced;
        }
        if !self.take_token(now) {
            return SimStop::Throttled;
        }
        self.counts.1 += 1;
        if let Some(stopped) = self.instances.get_mut(instance) {
            stopped.draining = true;
        }
        SimStop::Accepted
    }

    pub(crate) fn end(&mut self, instance: &str) {
        if let Some(ended) = self.instances.remove(instance) {
            self.free_ports.push_back(ended.address.port());
            self.ended.push(ended.id);
        }
    }

    /// Drains a worker: its instances are marked as draining. Example: `platform.drain(0)`.
    pub fn drain(&mut self, worker: usize) {
        let Some(drained) = self.workers.get_mut(worker) else { return };
        drained.draining = true;
        let worker_id = drained.id.clone();
        for instance in self.instances.values_mut().filter(|instance| instance.worker == worker_id) {
            instance.draining = true;
        }
    }

    /// Crashes a worker with its instances. Example: `platform.crash(1)`.
    pub fn crash(&mut self, worker: usize) {
        if worker >= self.workers.len() {
            return;
        }
        let crashed = self.workers.remove(worker);
        let lost_instances: Vec<String> = self
            .instances
            .values()
            .filter(|instance| instance.worker == crashed.id)
            .map(|instance| instance.id.clone())
            .collect();
        for instance in lost_instances {
            self.end(&instance);
        }
    }

    /// Memory in MB of the instances that are not draining, for functions with this name prefix.
    /// Example: `platform.memory_of("busy")`.
    pub fn memory_of(&self, prefix: &str) -> u64 {
        let own = self
            .instances
            .values()
            .filter(|instance| instance.function.starts_with(prefix) && !instance.draining);
        own.map(|instance| instance.memory_mb).sum()
    }

    pub(crate) fn instance_at(&mut self, address: SocketAddr) -> Option<&mut SimInstance> {
        self.instances.values_mut().find(|instance| instance.address == address)
    }

    pub(crate) fn record_digest(&mut self, now: u64) -> Vec<String> {
        let instances = self
            .instances
            .values()
            .map(|instance| ListedInstance {
                id: instance.id.clone(),
                function: instance.function.clone(),
                worker: instance.worker.clone(),
                address: instance.address,
                memory_mb: instance.memory_mb,
                draining: instance.draining,
                started: false,
            })
            .collect();
        self.lists.push_back((now, self.workers.clone(), instances));
        while self.lists.len() > 1 && self.lists[1].0 + self.list_late <= now {
            self.lists.pop_front();
        }
        let shown = self.lists.front().filter(|(taken_at, ..)| taken_at + self.list_late <= now);
        let draining = shown.map(|(_, _, instances)| instances.iter().filter(|instance| instance.draining));
        draining.into_iter().flatten().map(|instance| instance.id.clone()).collect()
    }

    pub(crate) fn late_list(&self, now: u64) -> (Vec<ListedWorker>, Vec<ListedInstance>) {
        let late = self.lists.front().filter(|(taken_at, ..)| taken_at + self.list_late <= now);
        late.map_or_else(
            || (self.workers.clone(), Vec::new()),
            |(_, workers, instances)| (workers.clone(), instances.clone()),
        )
    }
}
