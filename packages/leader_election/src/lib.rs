//! Per-function leader election: the balanced leader distribution of Nguyen and Kim (Sensors
//! 2021, 21, 869), as a pure state machine driven by observations and times.
//!
//! As in the paper: the leader record (holder, renew time, lease duration) is claimed by a conditional
//! write; each node keeps an observer copy with the local time of the observation; a node becomes a
//! candidate after a whole lease without change by its own observation; the gate is
//! `own <= (L_cluster + 1) / N`; leaders renew their records.
//!
//! Different from the paper: the leader counts are computed from the leader records, so counts and records
//! cannot disagree; N is weighted by the capacity of the members' machines, which equals the paper's N if all
//! machines are alike; the record carries a leader epoch that serves as a fence; and after several polls
//! without a holder, the next node by (own count, rendezvous weight) claims without the gate.

mod action_guard;
mod holder_index;
mod successors;

pub use action_guard::ActionGuard;
use holder_index::HolderIndex;
use monotonic_clock::Micros;
use peer_messages::{LeaderRecord, NodeId, is_previous_incarnation, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet};
pub use successors::Successors;

/// Times and limits of the election. Example: `ElectionSettings::default().lease == Micros::from_secs(3)`.
#[derive(Clone, Debug)]
pub struct ElectionSettings {
    /// How long a record is valid without renewal.
    pub lease: Micros,
    /// Interval between two polls of the records.
    pub poll: Micros,
    /// Interval between two renewals.
    pub renewal: Micros,
    /// Disabled only to measure the effect of the gate.
    pub gate: bool,
    /// Limit of claims in flight; it bounds races between nodes that all act on the same stale leader counts.
    pub claims_at_once: usize,
    /// Polls without a holder after which the gate is bypassed.
    pub polls_before_fallback: u32,
}

impl Default for ElectionSettings {
    fn default() -> ElectionSettings {
        ElectionSettings {
            lease: Micros::from_secs(3),
            poll: Micros::from_millis(500),
            renewal: Micros::from_secs(1),
            gate: true,
            claims_at_once: 4,
            polls_before_fallback: 4,
        }
    }
}

/// A conditional write of a leader record, requested by the election.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordWrite {
    /// The function.
    pub function: String,
    /// The write succeeds only if the register is at this version.
    pub expected: u64,
    /// The new record.
    pub record: LeaderRecord,
    /// Claims and releases are flushed at once; renewals may wait to be sent in one batch.
    pub urgent: bool,
}

/// The beginning or end of a leader's term, for the decision stream.
#[derive(Clone, Debug, PartialEq)]
pub enum TermChange {
    /// This node is the leader now. `past_gate`: the gate was bypassed. `transferred_epoch`: the epoch of the
    /// record that already named this process, if it did. `is_first_or_reclaimed`: the function had no leader
    /// before, or a previous incarnation of this node led it.
    Taken {
        function: String,
        leader_epoch: u64,
        past_gate: bool,
        waited: Micros,
        transferred_epoch: Option<u64>,
        is_first_or_reclaimed: bool,
    },
    /// This node is no longer the leader.
    Lost { function: String, leader_epoch: u64, why: &'static str },
}

#[derive(Clone, Debug)]
struct ObserverCopy {
    version: u64,
    record: Option<LeaderRecord>,
    observed_at: Micros,
    idle_polls: u32,
    /// When an idle poll was counted last. Polls that come sooner than the poll interval are not counted, so
    /// the fallback waits for whole intervals.
    idle_poll_at: Micros,
}

impl ObserverCopy {
    /// Handles a poll that shows the same version. Polls without a holder are counted at most once per
    /// interval.
    fn record_unchanged_poll(&mut self, poll: Micros, now: Micros) {
        let is_held = self.record.as_ref().is_some_and(|held| now < self.observed_at + lease_of(held));
        if is_held {
            self.idle_polls = 0;
        } else if now >= self.idle_poll_at + poll {
            self.idle_polls += 1;
            self.idle_poll_at = now;
        }
    }
}

#[derive(Clone, Debug)]
struct Claim {
    record: LeaderRecord,
    sent_at: Micros,
    past_gate: bool,
    candidate_since: Micros,
    transferred_epoch: Option<u64>,
    is_first_or_reclaimed: bool,
}

#[derive(Clone, Debug)]
struct Term {
    version: u64,
    record: LeaderRecord,
    /// When the last acknowledged write was sent: the term ends a lease after that.
    acknowledged_sent_at: Micros,
    /// When the open write was sent last, for its timeout.
    renewal_sent_at: Option<Micros>,
    /// When the open write was sent first: it may have been stored at any time since then.
    first_sent_at: Option<Micros>,
    /// The shortest lease among the writes sent since then: any of them may have been stored.
    open_lease: Option<Micros>,
    renewal_due: Micros,
    /// The node that the term is being transferred to, zero for none. Once set, no operation is sent under
    /// the term.
    transferred_to: Option<NodeId>,
}

impl Term {
    /// When the term ends: a lease after the last acknowledged write was sent, or earlier if an open write
    /// with a shorter lease may already have been stored.
    fn ends_at(&self) -> Micros {
        let acknowledged_end = self.acknowledged_sent_at + lease_of(&self.record);
        match (self.first_sent_at, self.open_lease) {
            (Some(first_sent_at), Some(open_lease)) => acknowledged_end.min(first_sent_at + open_lease),
            _ => acknowledged_end,
        }
    }
}

/// One node's view of, and participation in, all elections.
/// Example: `Election::new(7, ElectionSettings::default())`.
#[derive(Debug)]
pub struct Election {
    own: NodeId,
    settings: ElectionSettings,
    functions: BTreeSet<String>,
    /// Functions that are no longer configured and whose instances this node must stop, which needs a term
    /// too.
    orphaned_functions: BTreeSet<String>,
    /// Relative capacity of the members' machines; [`DEFAULT_CAPACITY`] for machines not listed.
    capacities: BTreeMap<NodeId, u32>,
    copies: BTreeMap<String, ObserverCopy>,
    holder_index: HolderIndex,
    claims: BTreeMap<String, Claim>,
    claim_count: u64,
    terms: BTreeMap<String, Term>,
    /// Held functions without calls: their leases are longer and renewed less often.
    idle: BTreeSet<String>,
    called: BTreeSet<String>,
    draining: bool,
    /// When to check for expired leases next. Other reasons to claim set `is_claim_wanted`.
    claim_due: Micros,
    is_claim_wanted: bool,
    changes: Vec<TermChange>,
    gate_refusals: u64,
    lost_races: u64,
    gate_bypasses: u64,
}

/// One core, in thousandths.
const DEFAULT_CAPACITY: u32 = 1_000;
/// Limit of claims in flight for functions whose records name this node or a previous incarnation of it.
const RECLAIMS_AT_ONCE: usize = 64;
/// The holder in a released record.
const NO_HOLDER: NodeId = 0;
/// Factor on lease and renewal interval of functions without calls.
const IDLE_FACTOR: u64 = 2;
/// A write without a response is sent again after this time.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_200);
/// Interval between two checks for expired leases: going through all functions at each tick costs more than
/// a small machine can spare.
const CLAIM_INTERVAL: Micros = Micros::from_millis(80);
/// Limit of functions behind a closed gate that are checked for the fallback in one tick.
const FALLBACK_CHECKS: usize = 64;

impl Election {
    /// A node that leads nothing and has no observations yet.
    /// Example: `Election::new(7, settings).own_count() == 0`.
    pub fn new(own: NodeId, settings: ElectionSettings) -> Election {
        Election {
            own,
            settings,
            functions: BTreeSet::new(),
            orphaned_functions: BTreeSet::new(),
            capacities: BTreeMap::new(),
            copies: BTreeMap::new(),
            holder_index: HolderIndex::new(own),
            claims: BTreeMap::new(),
            claim_count: 0,
            terms: BTreeMap::new(),
            idle: BTreeSet::new(),
            called: BTreeSet::new(),
            draining: false,
            claim_due: Micros(0),
            is_claim_wanted: true,
            changes: Vec::new(),
            gate_refusals: 0,
            lost_races: 0,
            gate_bypasses: 0,
        }
    }

    /// Sets the functions of the current configuration. Example: `election.set_functions(names)`.
    pub fn set_functions(&mut self, functions: BTreeSet<String>) {
        self.functions = functions;
        self.is_claim_wanted = true;
        self.release_reconfigured();
        let (functions, orphaned_functions) = (&self.functions, &self.orphaned_functions);
        self.copies
            .retain(|function, _| functions.contains(function) || orphaned_functions.contains(function));
        self.holder_index.rebuild(&self.copies);
    }

    /// Applies the functions that a configuration change added and removed; the cost is that of the change.
    /// Example: `election.change_functions(["new".to_owned()].into(), &BTreeSet::new())`.
    pub fn change_functions(&mut self, added: BTreeSet<String>, removed: &BTreeSet<String>) {
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.functions.extend(added);
        self.is_claim_wanted = true;
        self.release_reconfigured();
        for function in removed {
            self.functions.remove(function);
            self.copies.remove(function);
        }
        if !removed.is_empty() {
            self.holder_index.rebuild(&self.copies);
        }
    }

    /// Sets the functions that are no longer configured and whose instances this node must stop. Their terms
    /// are claimed without the gate and released once the function is no longer listed here. Their records
    /// are not polled: a claim that fails on another version returns the current record.
    /// Example: `election.set_orphaned_functions(["gone".to_owned()].into(), now)`.
    pub fn set_orphaned_functions(&mut self, mut orphaned_functions: BTreeSet<String>, now: Micros) {
        orphaned_functions.retain(|function| !self.functions.contains(function));
        if orphaned_functions == self.orphaned_functions {
            return;
        }
        let finished: Vec<String> =
            self.orphaned_functions.difference(&orphaned_functions).cloned().collect();
        for function in &finished {
            self.copies.remove(function);
        }
        self.orphaned_functions = orphaned_functions;
        for function in &self.orphaned_functions {
            let (observed_at, idle_poll_at) = (now, now);
            let unknown = ObserverCopy { version: 0, record: None, observed_at, idle_polls: 0, idle_poll_at };
            self.copies.entry(function.clone()).or_insert(unknown);
        }
        self.is_claim_wanted = true;
        self.holder_index.rebuild(&self.copies);
    }

    /// Releases orphaned functions that are configured again, so that they get a leader by the usual
    /// election.
    fn release_reconfigured(&mut self) {
        let reconfigured: Vec<String> =
            self.orphaned_functions.intersection(&self.functions).cloned().collect();
        for function in reconfigured {
            self.orphaned_functions.remove(&function);
            self.transfer_to(NO_HOLDER, &function);
        }
    }

    /// Sets the relative capacity of the members' machines, by which the gate weighs leader counts.
    /// Example: `election.set_capacities([(7, 260), (9, 62)].into())`.
    pub fn set_capacities(&mut self, capacities: BTreeMap<NodeId, u32>) {
        self.capacities = capacities;
    }

    /// The capacity of a node's machine. Example: `election.capacity(7) == 260.0`.
    pub fn capacity(&self, node: NodeId) -> f64 {
        f64::from(self.capacities.get(&node).copied().unwrap_or(DEFAULT_CAPACITY).max(1))
    }

    /// The largest share of all leaders that a node should have: the paper's `M`, weighted by capacity.
    /// Example: with equal machines `election.fair_share(7, &members, 29) == 30.0 / 3.0`.
    pub fn fair_share(&self, node: NodeId, members: &[NodeId], cluster_count: usize) -> f64 {
        let fleet_capacity: f64 = members.iter().map(|member| self.capacity(*member)).sum();
        (cluster_count as f64 + 1.0) * self.capacity(node) / fleet_capacity.max(1.0)
    }

    /// Handles a polled record; an unchanged one does not change the time of the observer copy.
    /// Example: `election.observe("proof", 4, Some(record), now)`.
    pub fn observe(&mut self, function: &str, version: u64, record: Option<LeaderRecord>, now: Micros) {
        if !self.functions.contains(function) && !self.orphaned_functions.contains(function) {
            return;
        }
        let record = record.filter(|leader_record| leader_record.holder != 0);
        match self.copies.get_mut(function) {
            // The key owner's responses may arrive out of order: a copy never returns to an older version.
            Some(copy) if copy.version > version => {}
            Some(copy) if copy.version == version => copy.record_unchanged_poll(self.settings.poll, now),
            _ => {
                let is_free = record.as_ref().is_none_or(|held| held.holder == self.own);
                self.is_claim_wanted |= is_free;
                let copy =
                    ObserverCopy { version, record, observed_at: now, idle_polls: 0, idle_poll_at: now };
                self.holder_index.record_changed(function, self.copies.get(function), &copy);
                self.copies.insert(function.to_owned(), copy);
            }
        }
    }

    /// Handles a report of the key's owner that the record, which this node already has, was only renewed.
    /// Example: `election.record_renewal("proof", 5, now)`.
    pub fn record_renewal(&mut self, function: &str, version: u64, now: Micros) {
        if let Some(copy) = self.copies.get_mut(function)
            && version > copy.version
        {
            copy.version = version;
            copy.observed_at = now;
            copy.idle_polls = 0;
            self.holder_index.record_renewed(function, copy);
        }
    }

    /// Handles a poll response: records that it does not list are unchanged, and their observer copies keep
    /// their times. Polls are counted only for records without a holder, so only those are visited.
    /// Example: `election.record_poll(|function| polled.contains(function), now)`.
    pub fn record_poll(&mut self, is_polled: impl Fn(&str) -> bool, now: Micros) {
        self.holder_index.refresh(&self.copies, now);
        for function in self.holder_index.open() {
            if let Some(copy) = self.copies.get_mut(function).filter(|_| is_polled(function)) {
                copy.record_unchanged_poll(self.settings.poll, now);
            }
        }
    }

    /// A call waits for this function, which has no leader: a claim is tried at the next tick.
    /// Example: `election.record_waiting_call("proof")`.
    pub fn record_waiting_call(&mut self, function: &str) {
        if self.functions.contains(function) && !self.called.contains(function) {
            self.called.insert(function.to_owned());
            self.is_claim_wanted = true;
        }
    }

    /// Whether to poll soon rather than at the next interval: some function has no leader, or its leader is
    /// not a serving member and may just have released it. `members` are sorted by id.
    /// Example: `if election.is_unsettled(&members, now) { poll_event.hasten() }`.
    pub fn is_unsettled(&mut self, members: &[NodeId], now: Micros) -> bool {
        self.holder_index.refresh(&self.copies, now);
        let is_unpolled = self.copies.len() < self.functions.len() + self.orphaned_functions.len();
        let is_open = |function: &String| {
            self.term(function, now).is_none()
                && !self.claims.contains_key(function)
                && !self.orphaned_functions.contains(function)
        };
        is_unpolled
            || self.holder_index.open().iter().any(is_open)
            || self.holder_index.holders().any(|holder| members.binary_search(&holder).is_err())
    }

    /// The holder of the function by this node's observation, with the leader epoch.
    /// Example: `election.holder("proof", now) == Some((7, 12))`.
    pub fn holder(&self, function: &str, now: Micros) -> Option<(NodeId, u64)> {
        if let Some(leader_epoch) = self.term(function, now) {
            return Some((self.own, leader_epoch));
        }
        let copy = self.copies.get(function)?;
        let record = copy.record.as_ref()?;
        let is_expired = now >= copy.observed_at + lease_of(record);
        if record.holder == self.own || is_expired || is_previous_incarnation(self.own, record.holder) {
            return None;
        }
        Some((record.holder, record.leader_epoch))
    }

    /// The epoch under which this node may act as the leader now. The term ends one lease after the last
    /// acknowledged write was *sent*, which is before the lease can expire by any follower's observation.
    /// Example: `let Some(epoch) = election.term("proof", now) else { return };`.
    pub fn term(&self, function: &str, now: Micros) -> Option<u64> {
        let term = self.terms.get(function)?;
        let is_active = term.transferred_to.is_none() && now < term.ends_at();
        is_active.then_some(term.record.leader_epoch)
    }

    /// Functions that this node leads now. Example: `election.held(now).len()`.
    pub fn held(&self, now: Micros) -> Vec<String> {
        self.terms.keys().filter(|function| self.term(function, now).is_some()).cloned().collect()
    }

    /// The paper's own count: terms and claims in flight. Example: `election.own_count() <= 16`.
    pub fn own_count(&self) -> usize {
        self.terms.len() + self.claims.len()
    }

    /// Leader counts by holder, computed from the records.
    /// Example: `election.leader_counts(&members, now)[&7]`.
    pub fn leader_counts(&self, members: &[NodeId], now: Micros) -> BTreeMap<NodeId, usize> {
        let mut counts: BTreeMap<NodeId, usize> = members.iter().map(|node| (*node, 0)).collect();
        for (function, copy) in &self.copies {
            if self.terms.contains_key(function) || self.claims.contains_key(function) {
                continue;
            }
            let Some(record) = &copy.record else { continue };
            let is_held = now < copy.observed_at + lease_of(record);
            if is_held
                && record.holder != self.own
                && let Some(count) = counts.get_mut(&record.holder)
            {
                *count += 1;
            }
        }
        counts.insert(self.own, self.own_count());
        counts
    }

    /// Counters for measurements: gate refusals, lost races, gate bypasses.
    /// Example: `let (refused, lost, passed) = election.counts();`.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.gate_refusals, self.lost_races, self.gate_bypasses)
    }

    /// Whether a record names this process or a previous incarnation of this node.
    fn names_own_node(&self, copy: &ObserverCopy) -> bool {
        let holder = copy.record.as_ref().map(|record| record.holder);
        holder.is_some_and(|holder| holder == self.own || is_previous_incarnation(self.own, holder))
    }

    /// Stops claiming and releases every term that is not being transferred already; the next tick returns
    /// the writes.
    /// Example: `election.release_all(); let writes = election.tick(&members, now);`.
    pub fn release_all(&mut self) {
        self.draining = true;
        let held: Vec<String> = self.terms.keys().cloned().collect();
        for function in held {
            self.transfer_to(NO_HOLDER, &function);
        }
    }

    /// Transfers one term to another node, which claims it as soon as it observes the record that names it;
    /// if it never does, the lease expires as usual. No operation is sent under the term from now on. A tick
    /// returns the write, once the response to a renewal that is still open has arrived.
    /// Example: `election.transfer_to(9, "proof")`.
    pub fn transfer_to(&mut self, node: NodeId, function: &str) {
        let Some(term) = self.terms.get_mut(function) else { return };
        if term.transferred_to.is_some() {
            return;
        }
        term.transferred_to = Some(node);
        self.changes.push(TermChange::Lost {
            function: function.to_owned(),
            leader_epoch: term.record.leader_epoch,
            why: "released",
        });
    }

    /// Whether there are no terms and no claims left, as after all releases were acknowledged.
    /// Example: `if election.is_empty() { exit }`.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty() && self.claims.is_empty()
    }

    /// Returns the writes that are due: renewals of held terms, then claims that pass the gate.
    /// `members` are the nodes believed to be alive and not draining: the paper's N.
    /// Example: `for write in election.tick(&members, now) { send(write) }`.
    pub fn tick(&mut self, members: &[NodeId], now: Micros) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        self.end_terms(now);
        self.renew(now, &mut writes);
        if !self.draining && (self.is_claim_wanted || now >= self.claim_due) {
            self.is_claim_wanted = false;
            self.claim_due = now + CLAIM_INTERVAL;
            self.claim(members, now, &mut writes);
        }
        writes
    }

    /// The changes since the last call. Example: `for change in election.take_changes() { .. }`.
    pub fn take_changes(&mut self) -> Vec<TermChange> {
        std::mem::take(&mut self.changes)
    }

    fn end_terms(&mut self, now: Micros) {
        let (functions, orphaned_functions) = (&self.functions, &self.orphaned_functions);
        let changes = &mut self.changes;
        self.terms.retain(|function, term| {
            let is_expired = now >= term.ends_at();
            let needs_leader = functions.contains(function) || orphaned_functions.contains(function);
            let is_unneeded = !needs_leader && term.transferred_to.is_none();
            // Released rather than left to expire: if the function is configured again soon, no candidate has
            // to wait for the lease to end.
            if is_unneeded {
                term.transferred_to = Some(NO_HOLDER);
            }
            if is_expired && !is_unneeded && term.transferred_to.is_none() {
                changes.push(TermChange::Lost {
                    function: function.clone(),
                    leader_epoch: term.record.leader_epoch,
                    why: "lease ran out",
                });
            }
            if is_unneeded {
                changes.push(TermChange::Lost {
                    function: function.clone(),
                    leader_epoch: term.record.leader_epoch,
                    why: "function no longer configured",
                });
            }
            !is_expired
        });
        let called = &mut self.called;
        let is_claim_wanted = &mut self.is_claim_wanted;
        self.claims.retain(|function, claim| {
            let is_open = now < claim.sent_at + WRITE_TIMEOUT;
            if !is_open {
                called.remove(function);
                *is_claim_wanted = true;
            }
            is_open
        });
    }

    /// Sets which held functions have no calls now. Example: `election.set_idle_functions(idle_functions)`.
    pub fn set_idle_functions(&mut self, idle: BTreeSet<String>) {
        self.idle = idle;
    }

    fn renew(&mut self, now: Micros, writes: &mut Vec<RecordWrite>) {
        for (function, term) in &mut self.terms {
            let is_write_open = term.renewal_sent_at.is_some_and(|sent_at| now < sent_at + WRITE_TIMEOUT);
            if is_write_open || (term.transferred_to.is_none() && now < term.renewal_due) {
                continue;
            }
            term.renewal_sent_at = Some(now);
            term.first_sent_at.get_or_insert(now);
            let is_idle = term.transferred_to.is_none() && self.idle.contains(function);
            let factor = if is_idle { IDLE_FACTOR } else { 1 };
            let lease = match term.transferred_to {
                // A short lease: no node may act under this record until the named node claims it, and if
                // that node cannot, others may claim soon.
                Some(_) => self.settings.renewal,
                None => Micros(self.settings.lease.0 * factor),
            };
            term.renewal_due = now + Micros(self.settings.renewal.0 * factor);
            term.open_lease = Some(term.open_lease.map_or(lease, |shortest| shortest.min(lease)));
            let record = LeaderRecord {
                holder: term.transferred_to.unwrap_or(self.own),
                renew_count: term.record.renew_count + 1,
                lease_micros: lease.0,
                ..term.record.clone()
            };
            writes.push(RecordWrite {
                function: function.clone(),
                expected: term.version,
                record,
                urgent: term.transferred_to.is_some(),
            });
        }
    }

    fn claim(&mut self, members: &[NodeId], now: Micros, writes: &mut Vec<RecordWrite>) {
        if !members.contains(&self.own) {
            return;
        }
        // Called functions first, orphaned functions last; otherwise in this node's own rendezvous order, so
        // that nodes begin with different functions.
        let mut candidates: Vec<(bool, bool, u64, String)> = Vec::new();
        self.holder_index.refresh(&self.copies, now);
        for function in self.holder_index.open() {
            if self.terms.contains_key(function) || self.claims.contains_key(function) {
                continue;
            }
            let is_called = self.called.contains(function);
            let is_orphaned = self.orphaned_functions.contains(function);
            let weight = u64::MAX - rendezvous_weight(function, self.own);
            candidates.push((is_orphaned, !is_called, weight, function.clone()));
        }
        if candidates.is_empty() {
            self.called.clear();
            return;
        }
        candidates.sort();
        let mut counts = self.leader_counts(members, now);
        let mut cluster_count: usize = counts.values().sum();
        let mut checks = 0;
        for (is_orphaned, _, _, function) in candidates {
            // Records that name this node are claimed without the gate. If they name a previous incarnation,
            // the balance does not change and no other node may claim yet; if the term was transferred to
            // this process, the function has no leader until the claim is written.
            let names_own_node = self.copies.get(&function).is_some_and(|copy| self.names_own_node(copy));
            let claim_limit = if names_own_node { RECLAIMS_AT_ONCE } else { self.settings.claims_at_once };
            if self.claims.len() >= claim_limit {
                continue;
            }
            let own_count = counts.get(&self.own).copied().unwrap_or(0);
            let passes_gate = names_own_node
                || is_orphaned
                || !self.settings.gate
                || own_count as f64 <= self.fair_share(self.own, members, cluster_count);
            checks += usize::from(!passes_gate);
            if checks > FALLBACK_CHECKS {
                return;
            }
            let is_fallback = !passes_gate && self.is_next_without_gate(&function, members, &counts);
            if !passes_gate && !is_fallback {
                self.gate_refusals += 1;
                continue;
            }
            let Some(copy) = self.copies.get(&function) else { continue };
            // Each claim's record differs from all earlier ones, so that the stored record of an earlier
            // claim is never taken for that of this claim, whose term would then begin too late.
            self.claim_count += 1;
            let record = LeaderRecord {
                holder: self.own,
                renew_count: self.claim_count << 32,
                lease_micros: self.settings.lease.0,
                leader_epoch: copy.version + 1,
            };
            writes.push(RecordWrite {
                function: function.clone(),
                expected: copy.version,
                record: record.clone(),
                urgent: true,
            });
            let candidate_since =
                copy.record.as_ref().map_or(copy.observed_at, |held| copy.observed_at + lease_of(held));
            let transferred = copy.record.as_ref().filter(|current| current.holder == self.own);
            let transferred_epoch = transferred.map(|current| current.leader_epoch);
            let is_first_or_reclaimed = copy.version == 0 || (names_own_node && transferred_epoch.is_none());
            self.gate_bypasses += u64::from(is_fallback);
            let claim = Claim {
                record,
                sent_at: now,
                past_gate: is_fallback,
                candidate_since,
                transferred_epoch,
                is_first_or_reclaimed,
            };
            self.claims.insert(function, claim);
            cluster_count += 1;
            *counts.entry(self.own).or_default() += 1;
        }
    }

    /// Whether this node may claim without the gate: the function had no holder for several polls, and this
    /// node is next by (own count, rendezvous weight). Each further poll admits one node more.
    fn is_next_without_gate(
        &self,
        function: &str,
        members: &[NodeId],
        counts: &BTreeMap<NodeId, usize>,
    ) -> bool {
        let Some(copy) = self.copies.get(function) else { return false };
        let Some(extra_polls) = copy.idle_polls.checked_sub(self.settings.polls_before_fallback) else {
            return false;
        };
        let rank = |node: NodeId| {
            let count = counts.get(&node).copied().unwrap_or(0);
            // In thousandths of a leader per unit of capacity, so that ranks are integers.
            let load = (count as f64 * 1_000.0 / self.capacity(node)) as u64;
            (load, u64::MAX - rendezvous_weight(function, node), node)
        };
        let own_rank = rank(self.own);
        members.iter().filter(|node| rank(**node) < own_rank).count() <= extra_polls as usize
    }

    /// Handles a successful write, stored at `version`.
    /// Example: `election.handle_written("proof", 4, &record, now)`.
    pub fn handle_written(&mut self, function: &str, version: u64, record: &LeaderRecord, now: Micros) {
        if let Some(term) = self.terms.get_mut(function)
            && (record.leader_epoch == term.record.leader_epoch)
        {
            if record.holder != self.own {
                self.terms.remove(function);
                self.observe(function, version, Some(record.clone()), now);
                return;
            }
            term.renewal_sent_at = None;
            if let Some(sent_at) = term.first_sent_at.take() {
                term.acknowledged_sent_at = sent_at;
            }
            term.open_lease = None;
            term.version = version;
            term.record = record.clone();
            self.observe(function, version, Some(record.clone()), now);
            return;
        }
        let Some(claim) = self.claims.get(function) else { return };
        if claim.record != *record {
            return;
        }
        let claim = claim.clone();
        self.claims.remove(function);
        self.is_claim_wanted = true;
        self.called.remove(function);
        self.observe(function, version, Some(record.clone()), now);
        let term = Term {
            version,
            record: record.clone(),
            acknowledged_sent_at: claim.sent_at,
            renewal_sent_at: None,
            first_sent_at: None,
            open_lease: None,
            renewal_due: claim.sent_at + self.settings.renewal,
            transferred_to: None,
        };
        self.terms.insert(function.to_owned(), term);
        self.changes.push(TermChange::Taken {
            function: function.to_owned(),
            leader_epoch: record.leader_epoch,
            past_gate: claim.past_gate,
            waited: now - claim.candidate_since,
            transferred_epoch: claim.transferred_epoch,
            is_first_or_reclaimed: claim.is_first_or_reclaimed,
        });
    }

    /// Handles a write that failed because the register is at another version: updates the copy and drops
    /// claim and term.
    /// Example: `election.handle_conflict("proof", 5, Some(theirs), now)`.
    pub fn handle_conflict(
        &mut self,
        function: &str,
        version: u64,
        record: Option<LeaderRecord>,
        now: Micros,
    ) {
        // A repeated write whose first response was lost finds its own record stored.
        if let Some(current) = &record
            && self.is_own_write(function, current)
        {
            self.handle_written(function, version, &current.clone(), now);
            return;
        }
        if self.claims.remove(function).is_some() {
            self.lost_races += 1;
            self.is_claim_wanted = true;
            self.called.remove(function);
        }
        if let Some(term) = self.terms.remove(function)
            && term.transferred_to.is_none()
        {
            self.changes.push(TermChange::Lost {
                function: function.to_owned(),
                leader_epoch: term.record.leader_epoch,
                why: "another record stands",
            });
        }
        self.observe(function, version, record, now);
    }

    fn is_own_write(&self, function: &str, current: &LeaderRecord) -> bool {
        if let Some(claim) = self.claims.get(function) {
            return claim.record == *current;
        }
        self.terms.get(function).is_some_and(|term| {
            current.leader_epoch == term.record.leader_epoch
                && current.renew_count == term.record.renew_count + 1
                && (current.holder == self.own || Some(current.holder) == term.transferred_to)
        })
    }

    /// Handles a write without a usable response: a claim is dropped, a renewal is repeated after 100 ms.
    /// Example: `election.handle_no_response("proof", now)`.
    pub fn handle_no_response(&mut self, function: &str, now: Micros) {
        self.is_claim_wanted |= self.claims.remove(function).is_some();
        self.called.remove(function);
        if let Some(term) = self.terms.get_mut(function) {
            term.renewal_sent_at = None;
            term.renewal_due = now + Micros::from_millis(100);
        }
    }
}

fn lease_of(record: &LeaderRecord) -> Micros {
    Micros(record.lease_micros)
}

#[cfg(test)]
mod tests;
