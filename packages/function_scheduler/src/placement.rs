use crate::zone::{WorkerZones, Zone};
use monotonic_clock::Micros;
use peer_messages::rendezvous_weight;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A worker as the platform lists it.
/// Example: `ListedWorker { id: "w1".into(), memory_mb: 6500, free_mb: None, draining: false, zone: "a".into() }`.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The platform's name for it.
    pub id: String,
    /// All its memory.
    pub memory_mb: u64,
    /// Memory that is free by the platform's own count, if it tells.
    pub free_mb: Option<u64>,
    /// It takes no new cells, and those it has will leave.
    pub draining: bool,
    /// Its zone's name; empty where the platform tells none.
    pub zone: String,
}

#[derive(Clone, Debug)]
struct RecentStart {
    worker: String,
    memory_mb: u64,
    at: Micros,
}

/// Where cells go: the workers with most free memory in the wanted zone, spread by rendezvous weight.
/// Example: `placement.pick(600, start_id, false, zone, now)`.
#[derive(Debug, Default)]
pub struct Placement {
    workers: Vec<ListedWorker>,
    /// Memory of each worker that only a function's first cell may take.
    reserve_mb: u64,
    used: BTreeMap<String, u64>,
    recent: Vec<RecentStart>,
    full_until: BTreeMap<String, (u64, Micros)>,
    zones: Arc<WorkerZones>,
}

/// A start is counted on its own until the late list surely shows it.
const RECENT_SPAN: Micros = Micros::from_secs(4);
const FULL_SPAN: Micros = Micros::from_secs(2);

impl Placement {
    /// Takes the platform's list: workers, and the memory its cells use on each.
    /// Example: `placement.update_list(workers, used)`.
    pub fn update_list(&mut self, workers: Vec<ListedWorker>, mut used: BTreeMap<String, u64>) {
        // The platform's own count holds cells that boot, which are in no list yet.
        for worker in &workers {
            if let Some(free_mb) = worker.free_mb {
                used.insert(worker.id.clone(), worker.memory_mb.saturating_sub(free_mb));
            }
        }
        let zones: WorkerZones =
            workers.iter().map(|worker| (worker.id.clone(), Zone::named(&worker.zone))).collect();
        if *self.zones != zones {
            self.zones = Arc::new(zones);
        }
        self.workers = workers;
        self.used = used;
    }

    /// Keeps so much of each worker's memory free for functions that have no cell yet: what a hungry
    /// group holds comes back only seconds after it was asked to stop.
    /// Example: `placement.set_reserve(128)`.
    pub fn set_reserve(&mut self, reserve_mb: u64) {
        self.reserve_mb = reserve_mb;
    }

    /// Memory of all usable workers, without what is kept free.
    /// Example: `placement.total_memory_mb() == 78_000`.
    pub fn total_memory_mb(&self) -> u64 {
        let usable = self.workers.iter().filter(|worker| !worker.draining);
        usable.map(|worker| worker.memory_mb.saturating_sub(self.reserve_mb)).sum()
    }

    /// Whether the worker is listed and not draining. Example: `!placement.is_usable("w9")`.
    pub fn is_usable(&self, worker_name: &str) -> bool {
        self.workers.iter().any(|worker| worker.id == worker_name && !worker.draining)
    }

    /// The zones of the listed workers. Example: `placement.zones()["w3"]`.
    pub fn zones(&self) -> Arc<WorkerZones> {
        self.zones.clone()
    }

    /// Picks a worker with room, in the zone if one there has any: of the three with most free memory
    /// the one that the start id hashes to, so that many stewards placing at once do not all pick the same.
    /// Example: `placement.pick(600, "7-1", false, zone, now) == Some("w3".into())`.
    pub fn pick(
        &mut self,
        memory_mb: u64,
        start_id: &str,
        is_first: bool,
        zone: Zone,
        now: Micros,
    ) -> Option<String> {
        let kept_mb = if is_first { 0 } else { self.reserve_mb };
        self.recent.retain(|start| now < start.at + RECENT_SPAN);
        self.full_until.retain(|_, (_, until)| now < *until);
        let mut rooms: Vec<(u64, &str)> = self
            .workers
            .iter()
            .filter(|worker| !worker.draining)
            .filter(|worker| {
                self.full_until.get(&worker.id).is_none_or(|(refused_mb, _)| memory_mb < *refused_mb)
            })
            .filter_map(|worker| {
                let recent_mb: u64 = self
                    .recent
                    .iter()
                    .filter(|start| start.worker == worker.id)
                    .map(|start| start.memory_mb)
                    .sum();
                let used_mb = self.used.get(&worker.id).copied().unwrap_or(0) + recent_mb;
                let free_mb = worker.memory_mb.checked_sub(used_mb)?;
                (free_mb >= memory_mb + kept_mb).then_some((free_mb, worker.id.as_str()))
            })
            .collect();
        let is_remote = |worker: &str| self.zones.get(worker).is_some_and(|other| other.is_remote_from(zone));
        if rooms.iter().any(|(_, worker)| !is_remote(worker)) {
            rooms.retain(|(_, worker)| !is_remote(worker));
        }
        rooms.sort_by(|left, right| right.cmp(left));
        rooms.truncate(3);
        let picked_worker = rooms
            .into_iter()
            .max_by_key(|(_, worker_id)| {
                rendezvous_weight(start_id, peer_messages::stable_hash(worker_id.as_bytes()))
            })
            .map(|(_, worker_id)| worker_id.to_owned())?;
        self.recent.push(RecentStart { worker: picked_worker.clone(), memory_mb, at: now });
        Some(picked_worker)
    }

    /// The worker refused a cell of this size: others are tried first for a while.
    /// Example: `placement.refused("w3", 600, now)`.
    pub fn refused(&mut self, worker_name: &str, memory_mb: u64, now: Micros) {
        self.full_until.insert(worker_name.to_owned(), (memory_mb, now + FULL_SPAN));
    }
}

#[cfg(test)]
mod tests;
