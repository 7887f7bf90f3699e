use crate::zone::{WorkerZones, Zone};
use monotonic_clock::Micros;
use peer_messages::rendezvous_weight;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A worker as listed by the platform.
/// Example: `ListedWorker { id: "w1".into(), memory_mb: 6500, free_mb: None, draining: false, zone: "a".into() }`.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The platform's id.
    pub id: String,
    /// Its total memory.
    pub memory_mb: u64,
    /// Free memory as reported by the platform, if it is.
    pub free_mb: Option<u64>,
    /// It accepts no new instances, and its instances are being drained.
    pub draining: bool,
    /// Its zone's name; empty if the platform reports none.
    pub zone: String,
}

#[derive(Clone, Debug)]
struct RecentStart {
    worker: String,
    memory_mb: u64,
    at: Micros,
}

/// Places instances on the workers with the most free memory in the wanted zone, spread by rendezvous hash.
/// Example: `placement.pick(600, start_id, false, zone, now)`.
#[derive(Debug, Default)]
pub struct Placement {
    workers: Vec<ListedWorker>,
    /// Memory of each worker that is reserved for a function's first instance.
    reserve_mb: u64,
    used: BTreeMap<String, u64>,
    recent: Vec<RecentStart>,
    full_until: BTreeMap<String, (u64, Micros)>,
    zones: Arc<WorkerZones>,
}

/// How long a start is counted separately, until the delayed platform list is certain to include it.
const RECENT_START_RETENTION: Micros = Micros::from_secs(4);
const FULL_WORKER_BACKOFF: Micros = Micros::from_secs(2);

impl Placement {
    /// Updates the workers from the platform's list; `used` is the memory of the listed instances on each
    /// worker.
    /// Example: `placement.update_list(workers, used)`.
    pub fn update_list(&mut self, workers: Vec<ListedWorker>, mut used: BTreeMap<String, u64>) {
        // The platform's own figure includes booting instances, which are not in the list yet.
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

    /// Reserves memory on each worker for functions without an instance. Memory held by a group above its
    /// share is only available seconds after its instances began to stop.
    /// Example: `placement.set_reserve(128)`.
    pub fn set_reserve(&mut self, reserve_mb: u64) {
        self.reserve_mb = reserve_mb;
    }

    /// Memory of all usable workers, without the reserve. Example: `placement.total_memory_mb() == 78_000`.
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

    /// Picks a worker with room, in the zone if one there has room: among the three with the most free
    /// memory, the one with the highest rendezvous weight for the start id, so that leaders placing at the
    /// same time spread over them.
    /// Example: `placement.pick(600, "7-1", false, zone, now) == Some("w3".into())`.
    pub fn pick(
        &mut self,
        memory_mb: u64,
        start_id: &str,
        is_first: bool,
        zone: Zone,
        now: Micros,
    ) -> Option<String> {
        let reserved_mb = if is_first { 0 } else { self.reserve_mb };
        self.recent.retain(|start| now < start.at + RECENT_START_RETENTION);
        self.full_until.retain(|_, (_, until)| now < *until);
        let mut candidates: Vec<(u64, &str)> = self
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
                (free_mb >= memory_mb + reserved_mb).then_some((free_mb, worker.id.as_str()))
            })
            .collect();
        let is_remote = |worker: &str| self.zones.get(worker).is_some_and(|other| other.is_remote_from(zone));
        if candidates.iter().any(|(_, worker)| !is_remote(worker)) {
            candidates.retain(|(_, worker)| !is_remote(worker));
        }
        candidates.sort_by(|left, right| right.cmp(left));
        candidates.truncate(3);
        let picked_worker = candidates
            .into_iter()
            .max_by_key(|(_, worker_id)| {
                rendezvous_weight(start_id, peer_messages::stable_hash(worker_id.as_bytes()))
            })
            .map(|(_, worker_id)| worker_id.to_owned())?;
        self.recent.push(RecentStart { worker: picked_worker.clone(), memory_mb, at: now });
        Some(picked_worker)
    }

    /// Records that the worker refused an instance of this size; for a while it is skipped for instances of
    /// that size or larger.
    /// Example: `placement.record_refusal("w3", 600, now)`.
    pub fn record_refusal(&mut self, worker_name: &str, memory_mb: u64, now: Micros) {
        self.full_until.insert(worker_name.to_owned(), (memory_mb, now + FULL_WORKER_BACKOFF));
    }
}

#[cfg(test)]
mod tests;
