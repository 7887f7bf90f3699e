//! The platform's list: a few nodes request it from the platform, and all others pull the changes from one
//! of them. In a fleet with relays the zone's relay pulls it from outside the zone, and the zone's other
//! nodes pull it from the relay.

use crate::Action;
use crate::node::Node;
use function_scheduler::{ListedInstance, ListedWorker};
use monotonic_clock::Micros;
use peer_messages::{Address, InstanceEntry, List, Message, NodeId, Text, WorkerEntry, rendezvous_weight};
use std::collections::{BTreeMap, VecDeque};

/// A lister that does not respond to a pull within this time is skipped for a while.
const LISTER_TIMEOUT: Micros = Micros::from_millis(600);
/// If no peer sent a message within this time after the pull, this node may be isolated and requests the
/// list from the platform.
const NO_CONTACT_TIMEOUT: Micros = Micros::from_millis(300);
const LISTER_SUSPECT_SPAN: Micros = Micros::from_secs(2);
/// After this many listers in a row without a response or a list, a node requests the list from the
/// platform itself.
const MAX_FAILED_PULLS: usize = 2;
const WAITING_LIMIT: usize = 512;
const GONE_LIMIT: usize = 2_048;

/// The list that this node received, numbered by change, so that peers can pull only what changed.
#[derive(Debug, Default)]
struct ListChangeLog {
    sequence: u64,
    instances: BTreeMap<String, (u64, ListedInstance)>,
    /// Instances that left the list, each with the change number at which it left.
    gone: VecDeque<(u64, String)>,
    forgotten_up_to: u64,
    workers: (u64, Vec<ListedWorker>),
    listed_at: Option<Micros>,
}

impl ListChangeLog {
    fn apply(&mut self, workers: &[ListedWorker], instances: &[ListedInstance], listed_at: Micros) {
        self.listed_at = Some(listed_at);
        self.sequence += 1;
        let sequence = self.sequence;
        if self.workers.1 != workers {
            self.workers = (sequence, workers.to_vec());
        }
        let mut previous_instances = std::mem::take(&mut self.instances);
        for instance in instances {
            let previous =
                previous_instances.remove(&instance.id).filter(|(_, previous)| previous == instance);
            let changed_at = previous.map_or(sequence, |(changed_at, _)| changed_at);
            self.instances.insert(instance.id.clone(), (changed_at, instance.clone()));
        }
        self.gone.extend(previous_instances.into_keys().filter_map(|instance| {
            let is_listed = self.instances.contains_key(&instance);
            (!is_listed).then_some((sequence, instance))
        }));
        while self.gone.len() > GONE_LIMIT {
            self.forgotten_up_to = self.gone.pop_front().map_or(self.forgotten_up_to, |(gone_at, _)| gone_at);
        }
    }

    /// The changes since a change number; the full list for zero and for numbers that are too old or
    /// unknown.
    fn changes_since(&self, since: u64, now: Micros) -> Message {
        let is_full = since == 0 || since < self.forgotten_up_to || since > self.sequence;
        let base = if is_full { 0 } else { since };
        let instances = self.instances.values().filter(|(changed_at, _)| *changed_at > base);
        let gone = self.gone.iter().filter(|(gone_at, _)| !is_full && *gone_at > base);
        let has_workers = is_full || self.workers.0 > base;
        let workers = self.workers.1.iter().filter(|_| has_workers);
        Message::ListResponse {
            failed: 0,
            base,
            sequence: self.sequence,
            age_micros: self.listed_at.map_or(u64::MAX / 2, |listed_at| (now - listed_at).0),
            has_workers: u8::from(has_workers),
            workers: workers.map(worker_entry).collect(),
            instances: instances.map(|(_, instance)| instance_entry(instance)).collect(),
            gone: gone.map(|(_, instance)| Text::from(instance.as_str())).collect(),
        }
    }
}

/// The list as pulled from one lister.
#[derive(Debug)]
struct ListCopy {
    lister: NodeId,
    sequence: u64,
    instances: BTreeMap<String, ListedInstance>,
    workers: Vec<ListedWorker>,
}

#[derive(Debug)]
struct Pull {
    lister: NodeId,
    requested_at: Micros,
}

#[derive(Debug, Default)]
pub(crate) struct PlatformListCache {
    change_log: ListChangeLog,
    /// Peers that wait for this node's next list, each with the change number that it has.
    waiting: BTreeMap<NodeId, u64>,
    copy: Option<ListCopy>,
    pull: Option<Pull>,
    failed_pulls: usize,
    suspected: BTreeMap<NodeId, Micros>,
}

impl PlatformListCache {
    /// Discards a pull sent before this process was suspended.
    pub(crate) fn forget_pull(&mut self) {
        self.pull = None;
    }
}

impl Node {
    /// The node that this node gets the list from. That is itself if it was suspended, has no contact, or
    /// failed with other listers; otherwise the zone's relay, unless this node is the fleet's lister or the
    /// relay itself.
    pub(crate) fn lister(&self) -> NodeId {
        let own = self.settings.node;
        let lists = &self.leadership.lists;
        if self.leadership.is_list_stale || self.is_out_of_contact() || lists.failed_pulls >= MAX_FAILED_PULLS
        {
            return own;
        }
        let fleet_lister = self.fleet_lister();
        let relay = self.zones.relay().filter(|relay| *relay != own && !self.is_lister_suspected(*relay));
        if fleet_lister == own { own } else { relay.unwrap_or(fleet_lister) }
    }

    /// The node that requests the list from the platform for the fleet: machines with disks first, then by
    /// rendezvous. All nodes with the same view choose the same one.
    fn fleet_lister(&self) -> NodeId {
        self.members
            .live()
            .into_iter()
            .filter(|member| member.draining == 0 && member.state == 0)
            .filter(|member| !self.is_lister_suspected(member.node))
            .max_by_key(|member| (member.disk != 0, rendezvous_weight("list", member.node), member.node))
            .map_or(self.settings.node, |member| member.node)
    }

    fn is_lister_suspected(&self, node: NodeId) -> bool {
        self.leadership.lists.suspected.get(&node).is_some_and(|until| self.now < *until)
    }

    /// The pause before the next list from a lister. Pulls are cheap and are sent twice as often as
    /// requests to the platform, and a relay's pulls four times as often, so that the delays add up to less
    /// than two list intervals.
    pub(crate) fn list_pause(&self, lister: NodeId) -> Micros {
        // The fleet as a whole stays within the platform's rate, even while each node requests the list
        // itself.
        let fleet_interval = Micros((1e6 / self.settings.lists_per_second) as u64);
        let min_interval = self.settings.list_every.max(fleet_interval);
        match lister == self.settings.node {
            true => min_interval,
            false if self.zones.relay() == Some(self.settings.node) => Micros(min_interval.0 / 4),
            false => Micros(min_interval.0 / 2),
        }
    }

    /// Abandons a pull that timed out. Returns whether a pull is still open.
    pub(crate) fn check_pull(&mut self) -> bool {
        let now = self.now;
        let lists = &mut self.leadership.lists;
        let Some(pull) = &lists.pull else { return false };
        let is_out_of_contact = self.received_at.is_none_or(|received_at| received_at < pull.requested_at)
            && now >= pull.requested_at + NO_CONTACT_TIMEOUT;
        if now < pull.requested_at + LISTER_TIMEOUT && !is_out_of_contact {
            return true;
        }
        if is_out_of_contact {
            lists.failed_pulls = MAX_FAILED_PULLS;
        }
        lists.suspected.retain(|_, until| now < *until);
        lists.suspected.insert(pull.lister, now + LISTER_SUSPECT_SPAN);
        lists.pull = None;
        lists.failed_pulls += 1;
        self.leadership.list_due = now;
        false
    }

    pub(crate) fn pull_list(&mut self, lister: NodeId) {
        let lists = &mut self.leadership.lists;
        let since = lists.copy.as_ref().filter(|copy| copy.lister == lister).map_or(0, |copy| copy.sequence);
        lists.pull = Some(Pull { lister, requested_at: self.now });
        self.send(lister, Message::ListRequest { since });
    }

    /// Handles a peer's pull: responds from a list that is recent enough, or with the next one.
    pub(crate) fn list_requested(&mut self, from: NodeId, since: u64) {
        let now = self.now;
        let is_pulling = self.zones.may_relay() && self.lister() != self.settings.node;
        // A list that was pulled has some age on arrival.
        let list_every = self.settings.list_every;
        let max_age = if is_pulling { Micros(list_every.0 * 2) } else { list_every };
        let lists = &mut self.leadership.lists;
        let is_recent = lists.change_log.listed_at.is_some_and(|listed_at| now < listed_at + max_age);
        if is_recent && !self.leadership.is_list_stale {
            let response = lists.change_log.changes_since(since, now);
            self.send(from, response);
            return;
        }
        if lists.waiting.len() < WAITING_LIMIT {
            lists.waiting.insert(from, since);
        }
        if is_pulling {
            self.leadership.list_due = now;
        } else if !self.is_platform_requested() {
            self.request_platform_list();
        }
    }

    pub(crate) fn request_platform_list(&mut self) {
        self.leadership.list_requested_at = Some(self.now);
        self.emit(Action::List);
    }

    /// Stores a list received from the platform, or pulled by a relay, for the peers that pull it from this
    /// node.
    pub(crate) fn record_list(
        &mut self,
        workers: &[ListedWorker],
        instances: &[ListedInstance],
        requested_at: Micros,
    ) {
        let now = self.now;
        let lists = &mut self.leadership.lists;
        lists.failed_pulls = 0;
        lists.change_log.apply(workers, instances, requested_at);
        for (node, since) in std::mem::take(&mut lists.waiting) {
            let response = self.leadership.lists.change_log.changes_since(since, now);
            self.send(node, response);
        }
    }

    /// The platform did not respond to this node: notifies the waiting peers, which then try another
    /// lister.
    pub(crate) fn record_list_failure(&mut self) {
        self.leadership.lists.failed_pulls = 0;
        let waiting = std::mem::take(&mut self.leadership.lists.waiting);
        for node in waiting.into_keys() {
            let response = Message::ListResponse {
                failed: 1,
                base: 0,
                sequence: 0,
                age_micros: 0,
                has_workers: 0,
                workers: List(Vec::new()),
                instances: List(Vec::new()),
                gone: List(Vec::new()),
            };
            self.send(node, response);
        }
    }

    pub(crate) fn handle_list_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::ListRequest { since } => self.list_requested(from, since),
            Message::ListResponse {
                failed,
                base,
                sequence,
                age_micros,
                has_workers,
                workers,
                instances,
                gone,
            } => {
                let lists = &mut self.leadership.lists;
                let Some(pull) = lists.pull.take_if(|pull| pull.lister == from) else { return };
                if failed == 1 {
                    lists.failed_pulls += 1;
                    lists.suspected.insert(from, self.now + LISTER_SUSPECT_SPAN);
                    self.leadership.list_due = self.now;
                    return;
                }
                let matches_base =
                    lists.copy.as_ref().is_some_and(|copy| copy.lister == from && copy.sequence == base);
                if base == 0 {
                    lists.copy = Some(ListCopy {
                        lister: from,
                        sequence,
                        instances: BTreeMap::new(),
                        workers: Vec::new(),
                    });
                } else if !matches_base {
                    lists.copy = None;
                    self.pull_list(from);
                    return;
                }
                let Some(copy) = &mut lists.copy else { return };
                copy.sequence = sequence;
                for instance in gone.0 {
                    copy.instances.remove(&instance.0);
                }
                copy.instances.extend(
                    instances
                        .0
                        .into_iter()
                        .map(|instance| (instance.instance.0.clone(), listed_instance(instance))),
                );
                if has_workers == 1 {
                    copy.workers = workers.0.into_iter().map(listed_worker).collect();
                }
                lists.failed_pulls = 0;
                // The lister responded after this node's request, so its list is at least as recent as this
                // time.
                let listed_at = pull.requested_at - Micros(age_micros);
                let workers = copy.workers.clone();
                let instances: Vec<ListedInstance> = copy.instances.values().cloned().collect();
                if self.leadership.listed_at.is_none_or(|newest_at| listed_at > newest_at) {
                    if self.zones.may_relay() {
                        self.record_list(&workers, &instances, listed_at);
                    }
                    self.update_list(workers, instances, listed_at);
                }
            }
            _ => {}
        }
    }
}

fn instance_entry(instance: &ListedInstance) -> InstanceEntry {
    InstanceEntry {
        instance: instance.id.as_str().into(),
        function: instance.function.as_str().into(),
        worker: instance.worker.as_str().into(),
        address: Address::from(instance.address),
        memory_mb: instance.memory_mb,
        draining: u8::from(instance.draining),
        started: u8::from(instance.started),
    }
}

fn listed_instance(entry: InstanceEntry) -> ListedInstance {
    ListedInstance {
        id: entry.instance.0,
        function: entry.function.0,
        worker: entry.worker.0,
        address: entry.address.socket(),
        memory_mb: entry.memory_mb,
        draining: entry.draining == 1,
        started: entry.started == 1,
    }
}

fn worker_entry(worker: &ListedWorker) -> WorkerEntry {
    WorkerEntry {
        worker: worker.id.as_str().into(),
        memory_mb: worker.memory_mb,
        reports_free: u8::from(worker.free_mb.is_some()),
        free_mb: worker.free_mb.unwrap_or(0),
        draining: u8::from(worker.draining),
        zone: worker.zone.as_str().into(),
    }
}

fn listed_worker(entry: WorkerEntry) -> ListedWorker {
    ListedWorker {
        id: entry.worker.0,
        memory_mb: entry.memory_mb,
        free_mb: (entry.reports_free == 1).then_some(entry.free_mb),
        draining: entry.draining == 1,
        zone: entry.zone.0,
    }
}

#[cfg(test)]
mod tests;
