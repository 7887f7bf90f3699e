//! The platform's list: a few nodes ask the platform, all others pull what changed from one of them. Where
//! zones have relays a zone's relay pulls it over the border, and the zone pulls it from the relay.

use crate::Act;
use crate::node::Node;
use function_scheduler::{ListedCell, ListedWorker};
use monotonic_clock::Micros;
use peer_messages::{Address, CellTold, List, Message, NodeId, Text, WorkerTold, rendezvous_weight};
use std::collections::{BTreeMap, VecDeque};

/// A lister that leaves a pull unanswered this long is passed over, for a while.
const LISTER_PATIENCE: Micros = Micros::from_millis(600);
/// Where nobody at all was heard since the pull, this node may be cut off and asks the platform.
const UNHEARD_PATIENCE: Micros = Micros::from_millis(300);
const LISTER_DOUBT: Micros = Micros::from_secs(2);
/// After so many listers in a row that were silent or had no list, a node asks the platform itself.
const LISTERS_TRIED: usize = 2;
const WAITING_LIMIT: usize = 512;
const GONE_LIMIT: usize = 2_048;

/// What the platform told this node itself, numbered, so that colleagues get what changed.
#[derive(Debug, Default)]
struct ListLedger {
    sequence: u64,
    cells: BTreeMap<String, (u64, ListedCell)>,
    /// Cells that left the list, and the number up to which they are no longer remembered.
    gone: VecDeque<(u64, String)>,
    forgotten_to: u64,
    workers: (u64, Vec<ListedWorker>),
    listed_at: Option<Micros>,
}

impl ListLedger {
    fn take(&mut self, workers: &[ListedWorker], cells: &[ListedCell], listed_at: Micros) {
        self.listed_at = Some(listed_at);
        self.sequence += 1;
        let sequence = self.sequence;
        if self.workers.1 != workers {
            self.workers = (sequence, workers.to_vec());
        }
        let mut previous_cells = std::mem::take(&mut self.cells);
        for cell in cells {
            let previous = previous_cells.remove(&cell.id).filter(|(_, previous)| previous == cell);
            let changed_at = previous.map_or(sequence, |(changed_at, _)| changed_at);
            self.cells.insert(cell.id.clone(), (changed_at, cell.clone()));
        }
        self.gone.extend(previous_cells.into_keys().filter_map(|cell| {
            let is_listed = self.cells.contains_key(&cell);
            (!is_listed).then_some((sequence, cell))
        }));
        while self.gone.len() > GONE_LIMIT {
            self.forgotten_to = self.gone.pop_front().map_or(self.forgotten_to, |(gone_at, _)| gone_at);
        }
    }

    /// What changed since a number; everything for zero, and for one that lies too far back.
    fn told_since(&self, since: u64, now: Micros) -> Message {
        let is_whole = since == 0 || since < self.forgotten_to || since > self.sequence;
        let base = if is_whole { 0 } else { since };
        let cells = self.cells.values().filter(|(changed_at, _)| *changed_at > base);
        let gone = self.gone.iter().filter(|(gone_at, _)| !is_whole && *gone_at > base);
        let has_workers = is_whole || self.workers.0 > base;
        let workers = self.workers.1.iter().filter(|_| has_workers);
        Message::ListTold {
            failed: 0,
            base,
            sequence: self.sequence,
            age_micros: self.listed_at.map_or(u64::MAX / 2, |listed_at| (now - listed_at).0),
            has_workers: u8::from(has_workers),
            workers: workers.map(worker_told).collect(),
            cells: cells.map(|(_, cell)| cell_told(cell)).collect(),
            gone: gone.map(|(_, cell)| Text::from(cell.as_str())).collect(),
        }
    }
}

/// The list as pulled from one lister.
#[derive(Debug)]
struct ListCopy {
    lister: NodeId,
    sequence: u64,
    cells: BTreeMap<String, ListedCell>,
    workers: Vec<ListedWorker>,
}

#[derive(Debug)]
struct Pull {
    lister: NodeId,
    asked_at: Micros,
}

#[derive(Debug, Default)]
pub(crate) struct ListPart {
    ledger: ListLedger,
    /// Colleagues that wait for this node's next list, and what they have.
    waiting: BTreeMap<NodeId, u64>,
    copy: Option<ListCopy>,
    pull: Option<Pull>,
    tries: usize,
    doubted: BTreeMap<NodeId, Micros>,
}

impl ListPart {
    /// A list that was pulled before a sleep is not waited for.
    pub(crate) fn forget_pull(&mut self) {
        self.pull = None;
    }
}

impl Node {
    /// Whom this node gets the list from: itself when it slept, hears nobody, or tried others in vain; the
    /// zone's relay, unless this is the fleet's lister or the relay itself.
    pub(crate) fn lister(&self) -> NodeId {
        let own = self.settings.node;
        let lists = &self.stewards.lists;
        if self.stewards.is_list_stale || self.is_unheard() || lists.tries >= LISTERS_TRIED {
            return own;
        }
        let fleet_lister = self.fleet_lister();
        let relay = self.zones.relay().filter(|relay| *relay != own && !self.is_lister_doubted(*relay));
        if fleet_lister == own { own } else { relay.unwrap_or(fleet_lister) }
    }

    /// The node that asks the platform for all: machines with disks come first, then rendezvous. All nodes
    /// with one view pick the same.
    fn fleet_lister(&self) -> NodeId {
        self.members
            .live()
            .into_iter()
            .filter(|news| news.draining == 0 && news.state == 0)
            .filter(|news| !self.is_lister_doubted(news.node))
            .max_by_key(|news| (news.disk != 0, rendezvous_weight("list", news.node), news.node))
            .map_or(self.settings.node, |news| news.node)
    }

    fn is_lister_doubted(&self, node: NodeId) -> bool {
        self.stewards.lists.doubted.get(&node).is_some_and(|until| self.now < *until)
    }

    /// Until the next list of one that was just gotten from there. A pull is cheap and comes twice as often
    /// as the platform is asked, a relay's four times, so that all ages together stay below two lists'.
    pub(crate) fn list_pause(&self, lister: NodeId) -> Micros {
        // All nodes together stay below what the platform takes, also while each lists for itself.
        let fleet_pace = Micros((1e6 / self.settings.lists_per_second) as u64);
        let least = self.settings.list_every.max(fleet_pace);
        match lister == self.settings.node {
            true => least,
            false if self.zones.relay() == Some(self.settings.node) => Micros(least.0 / 4),
            false => Micros(least.0 / 2),
        }
    }

    /// Gives up on a lister that is silent. Whether a pull is still open is returned.
    pub(crate) fn check_pull(&mut self) -> bool {
        let now = self.now;
        let lists = &mut self.stewards.lists;
        let Some(pull) = &lists.pull else { return false };
        let is_unheard = self.heard_at.is_none_or(|heard_at| heard_at < pull.asked_at)
            && now >= pull.asked_at + UNHEARD_PATIENCE;
        if now < pull.asked_at + LISTER_PATIENCE && !is_unheard {
            return true;
        }
        if is_unheard {
            lists.tries = LISTERS_TRIED;
        }
        lists.doubted.retain(|_, until| now < *until);
        lists.doubted.insert(pull.lister, now + LISTER_DOUBT);
        lists.pull = None;
        lists.tries += 1;
        self.stewards.list_due = now;
        false
    }

    pub(crate) fn pull_list(&mut self, lister: NodeId) {
        let lists = &mut self.stewards.lists;
        let since = lists.copy.as_ref().filter(|copy| copy.lister == lister).map_or(0, |copy| copy.sequence);
        lists.pull = Some(Pull { lister, asked_at: self.now });
        self.send(lister, Message::ListAsk { since });
    }

    /// A colleague pulls the list: it is answered from one that is young enough, or with the next.
    pub(crate) fn list_asked(&mut self, from: NodeId, since: u64) {
        let now = self.now;
        let is_pulling = self.zones.may_relay() && self.lister() != self.settings.node;
        // A list that was pulled here has some age already.
        let list_every = self.settings.list_every;
        let young_age = if is_pulling { Micros(list_every.0 * 2) } else { list_every };
        let lists = &mut self.stewards.lists;
        let is_young = lists.ledger.listed_at.is_some_and(|listed_at| now < listed_at + young_age);
        if is_young && !self.stewards.is_list_stale {
            let told = lists.ledger.told_since(since, now);
            self.send(from, told);
            return;
        }
        if lists.waiting.len() < WAITING_LIMIT {
            lists.waiting.insert(from, since);
        }
        if is_pulling {
            self.stewards.list_due = now;
        } else if !self.is_platform_asked() {
            self.ask_platform();
        }
    }

    pub(crate) fn ask_platform(&mut self) {
        self.stewards.list_asked_at = Some(self.now);
        self.act(Act::List);
    }

    /// A list that the platform gave, or that a relay pulled: kept for those who pull it here.
    pub(crate) fn note_list(&mut self, workers: &[ListedWorker], cells: &[ListedCell], asked_at: Micros) {
        let now = self.now;
        let lists = &mut self.stewards.lists;
        lists.tries = 0;
        lists.ledger.take(workers, cells, asked_at);
        for (node, since) in std::mem::take(&mut lists.waiting) {
            let told = self.stewards.lists.ledger.told_since(since, now);
            self.send(node, told);
        }
    }

    /// The platform did not answer this node: those who wait go elsewhere.
    pub(crate) fn note_list_failed(&mut self) {
        self.stewards.lists.tries = 0;
        let waiting = std::mem::take(&mut self.stewards.lists.waiting);
        for node in waiting.into_keys() {
            let told = Message::ListTold {
                failed: 1,
                base: 0,
                sequence: 0,
                age_micros: 0,
                has_workers: 0,
                workers: List(Vec::new()),
                cells: List(Vec::new()),
                gone: List(Vec::new()),
            };
            self.send(node, told);
        }
    }

    pub(crate) fn take_list_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::ListAsk { since } => self.list_asked(from, since),
            Message::ListTold { failed, base, sequence, age_micros, has_workers, workers, cells, gone } => {
                let lists = &mut self.stewards.lists;
                let Some(pull) = lists.pull.take_if(|pull| pull.lister == from) else { return };
                if failed == 1 {
                    lists.tries += 1;
                    lists.doubted.insert(from, self.now + LISTER_DOUBT);
                    self.stewards.list_due = self.now;
                    return;
                }
                let is_fitting =
                    lists.copy.as_ref().is_some_and(|copy| copy.lister == from && copy.sequence == base);
                if base == 0 {
                    lists.copy = Some(ListCopy {
                        lister: from,
                        sequence,
                        cells: BTreeMap::new(),
                        workers: Vec::new(),
                    });
                } else if !is_fitting {
                    lists.copy = None;
                    self.pull_list(from);
                    return;
                }
                let Some(copy) = &mut lists.copy else { return };
                copy.sequence = sequence;
                for cell in gone.0 {
                    copy.cells.remove(&cell.0);
                }
                copy.cells.extend(cells.0.into_iter().map(|cell| (cell.cell.0.clone(), listed_cell(cell))));
                if has_workers == 1 {
                    copy.workers = workers.0.into_iter().map(listed_worker).collect();
                }
                lists.tries = 0;
                // The lister answered after this node asked: its list is at least as old as this.
                let listed_at = pull.asked_at - Micros(age_micros);
                let workers = copy.workers.clone();
                let cells: Vec<ListedCell> = copy.cells.values().cloned().collect();
                if self.stewards.listed_at.is_none_or(|newest_at| listed_at > newest_at) {
                    if self.zones.may_relay() {
                        self.note_list(&workers, &cells, listed_at);
                    }
                    self.take_list(workers, cells, listed_at);
                }
            }
            _ => {}
        }
    }
}

fn cell_told(cell: &ListedCell) -> CellTold {
    CellTold {
        cell: cell.id.as_str().into(),
        function: cell.function.as_str().into(),
        worker: cell.worker.as_str().into(),
        address: Address::from(cell.address),
        memory_mb: cell.memory_mb,
        leaving: u8::from(cell.leaving),
        started: u8::from(cell.started),
    }
}

fn listed_cell(told: CellTold) -> ListedCell {
    ListedCell {
        id: told.cell.0,
        function: told.function.0,
        worker: told.worker.0,
        address: told.address.socket(),
        memory_mb: told.memory_mb,
        leaving: told.leaving == 1,
        started: told.started == 1,
    }
}

fn worker_told(worker: &ListedWorker) -> WorkerTold {
    WorkerTold {
        worker: worker.id.as_str().into(),
        memory_mb: worker.memory_mb,
        tells_free: u8::from(worker.free_mb.is_some()),
        free_mb: worker.free_mb.unwrap_or(0),
        draining: u8::from(worker.draining),
        zone: worker.zone.as_str().into(),
    }
}

fn listed_worker(told: WorkerTold) -> ListedWorker {
    ListedWorker {
        id: told.worker.0,
        memory_mb: told.memory_mb,
        free_mb: (told.tells_free == 1).then_some(told.free_mb),
        draining: told.draining == 1,
        zone: told.zone.0,
    }
}

#[cfg(test)]
mod tests;
