//! Who is steward of which function: the balanced leader distribution of Nguyen and Kim (Sensors
//! 2021, 21, 869), as a pure machine of observations and times.
//!
//! Kept: the leader record (holder, renew time, lease duration) claimed by a conditional write; the
//! observer copy with the local time it was taken; candidacy after a whole lease without change by
//! own observation; the gate `own <= (L_cluster + 1) / N`; renewal. Changed: the tally is folded
//! from the leader records themselves, so tally and record can never part; N is weighted by what the
//! members' machines can carry, which is the paper's N where all are alike; a steward epoch rides in
//! the record and fences; and after several polls with nobody holding, the next by (own count,
//! rendezvous weight) claims without the gate.

mod action_guard;
mod holder_index;
mod successors;

pub use action_guard::ActionGuard;
use holder_index::HolderIndex;
use monotonic_clock::Micros;
use peer_messages::{LeaderRecord, NodeId, is_previous_incarnation, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet};
pub use successors::Successors;

/// The election's times and limits. Example: `ElectionSettings::default().lease == Micros::from_secs(3)`.
#[derive(Clone, Debug)]
pub struct ElectionSettings {
    /// How long a record stands without renewal.
    pub lease: Micros,
    /// Between two polls of the records.
    pub poll: Micros,
    /// Between two renewals.
    pub renewal: Micros,
    /// Off only to measure what the gate does.
    pub gate: bool,
    /// Claims in flight at once, so that a herd does not race on one stale tally.
    pub claims_at_once: usize,
    /// Polls without a holder after which the gate is passed over.
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

/// A conditional write of a leader record that the election wants.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordWrite {
    /// The function.
    pub function: String,
    /// The version that must stand for the write to count.
    pub expected: u64,
    /// What to write.
    pub record: LeaderRecord,
    /// Claims and releases are hasty; renewals wait for company.
    pub urgent: bool,
}

/// What became of a steward's term, for the decision stream.
#[derive(Clone, Debug, PartialEq)]
pub enum TermChange {
    /// This node is steward now; `past_gate` when the fallback was used. `transferred_epoch` is the epoch of the term that
    /// was given to this process, if it was; `is_kept` when nobody led before, or a process at this place.
    Taken {
        function: String,
        leader_epoch: u64,
        past_gate: bool,
        waited: Micros,
        transferred_epoch: Option<u64>,
        is_kept: bool,
    },
    /// This node is steward no more.
    Lost { function: String, leader_epoch: u64, why: &'static str },
}

#[derive(Clone, Debug)]
struct ObserverCopy {
    version: u64,
    record: Option<LeaderRecord>,
    observed_at: Micros,
    idle_polls: u32,
    /// Hastened polls do not count as further ones: the fallback waits out whole intervals.
    idle_poll_at: Micros,
}

impl ObserverCopy {
    /// A poll shows the same version: polls without a holder are counted, whole intervals apart.
    fn stays(&mut self, poll: Micros, now: Micros) {
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
    is_kept: bool,
}

#[derive(Clone, Debug)]
struct Term {
    version: u64,
    record: LeaderRecord,
    /// When the last acknowledged write was sent: the term ends a lease after that.
    acknowledged_sent_at: Micros,
    /// When the open write was sent last, for the patience with its answer.
    renewal_sent_at: Option<Micros>,
    /// When the open write was sent first: if it stands, it may stand since then.
    first_sent_at: Option<Micros>,
    /// The shortest lease among the writes that were sent since then: any of them may stand.
    open_lease: Option<Micros>,
    renewal_due: Micros,
    /// The term is being given to this node, zero for nobody; no act is done under it any more.
    transferred_to: Option<NodeId>,
}

impl Term {
    /// When the term ends: a lease after the last acknowledged write was sent, and no later than a lease
    /// after the open write was, if that one names a shorter lease and may stand already.
    fn ends_at(&self) -> Micros {
        let acknowledged_end = self.acknowledged_sent_at + lease_of(&self.record);
        match (self.first_sent_at, self.open_lease) {
            (Some(first_sent_at), Some(open_lease)) => acknowledged_end.min(first_sent_at + open_lease),
            _ => acknowledged_end,
        }
    }
}

/// One node's part in all elections. Example: `Election::new(7, ElectionSettings::default())`.
#[derive(Debug)]
pub struct Election {
    own: NodeId,
    settings: ElectionSettings,
    functions: BTreeSet<String>,
    /// Functions that are configured no more and whose cells this node has to stop, under a term as ever.
    orphaned_functions: BTreeSet<String>,
    /// What machines can carry beside each other; one that is not named counts as [`USUAL_CAPACITY`].
    capacities: BTreeMap<NodeId, u32>,
    copies: BTreeMap<String, ObserverCopy>,
    holder_index: HolderIndex,
    claims: BTreeMap<String, Claim>,
    claim_count: u64,
    terms: BTreeMap<String, Term>,
    /// Held functions that nobody calls: their leases are longer, and renewed less often.
    idle: BTreeSet<String>,
    called: BTreeSet<String>,
    draining: bool,
    /// Claims are looked for when something speaks for one, and now and then for leases that ran out.
    claim_due: Micros,
    is_claim_wanted: bool,
    changes: Vec<TermChange>,
    gate_refusals: u64,
    lost_races: u64,
    gate_bypasses: u64,
}

/// A whole core, in thousandths.
const USUAL_CAPACITY: u32 = 1_000;
/// Claims in flight at once for what this machine held before.
const CLAIMS_BACK: usize = 64;
/// The holder in a record that is given back.
const NOBODY: NodeId = 0;
/// Where nobody calls a function its lease is so many times as long, and renewed so many times less often.
const IDLE_TIMES: u64 = 2;
/// An unanswered write is sent anew after this.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_200);
/// Between two looks for claims that nothing speaks for: going through all functions costs more than
/// a small machine has at each clock event.
const CLAIM_PAUSE: Micros = Micros::from_millis(80);
/// Candidates behind a closed gate that are looked at in one go.
const FALLBACK_CHECKS: usize = 64;

impl Election {
    /// A follower of everything. Example: `Election::new(7, settings).own_count() == 0`.
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

    /// The functions of the current configuration. Example: `election.set_functions(names)`.
    pub fn set_functions(&mut self, functions: BTreeSet<String>) {
        self.functions = functions;
        self.is_claim_wanted = true;
        self.lead_again();
        let (functions, orphaned_functions) = (&self.functions, &self.orphaned_functions);
        self.copies
            .retain(|function, _| functions.contains(function) || orphaned_functions.contains(function));
        self.holder_index.rebuild(&self.copies);
    }

    /// The functions that a change of the configuration brought and took out: costs what changed.
    /// Example: `election.change_functions(["new".to_owned()].into(), &BTreeSet::new())`.
    pub fn change_functions(&mut self, added: BTreeSet<String>, removed: &BTreeSet<String>) {
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.functions.extend(added);
        self.is_claim_wanted = true;
        self.lead_again();
        for function in removed {
            self.functions.remove(function);
            self.copies.remove(function);
        }
        if !removed.is_empty() {
            self.holder_index.rebuild(&self.copies);
        }
    }

    /// The functions that are configured no more and whose cells this node has to stop. Their terms are claimed past
    /// the gate and given back to nobody once they are named no more. Their records are not polled: a claim that
    /// finds another version learns of the one that stands.
    /// Example: `election.set_orphaned_functions(["gone".to_owned()].into(), now)`.
    pub fn set_orphaned_functions(&mut self, mut orphaned_functions: BTreeSet<String>, now: Micros) {
        orphaned_functions.retain(|function| !self.functions.contains(function));
        if orphaned_functions == self.orphaned_functions {
            return;
        }
        let over: Vec<String> = self.orphaned_functions.difference(&orphaned_functions).cloned().collect();
        for function in &over {
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

    /// Leftovers that are configured again get a leader as every function does.
    fn lead_again(&mut self) {
        let again: Vec<String> = self.orphaned_functions.intersection(&self.functions).cloned().collect();
        for function in again {
            self.orphaned_functions.remove(&function);
            self.transfer_to(NOBODY, &function);
        }
    }

    /// What the members can carry beside each other: the gate weighs a node's count by its machine.
    /// Example: `election.set_capacities([(7, 260), (9, 62)].into())`.
    pub fn set_capacities(&mut self, capacities: BTreeMap<NodeId, u32>) {
        self.capacities = capacities;
    }

    /// What a node can carry. Example: `election.capacity(7) == 260.0`.
    pub fn capacity(&self, node: NodeId) -> f64 {
        f64::from(self.capacities.get(&node).copied().unwrap_or(USUAL_CAPACITY).max(1))
    }

    /// The share of all leaders that a node should have at the most: the paper's `M`, by capacity.
    /// Example: with equal machines `election.fair_share(7, &members, 29) == 30.0 / 3.0`.
    pub fn fair_share(&self, node: NodeId, members: &[NodeId], cluster_count: usize) -> f64 {
        let fleet: f64 = members.iter().map(|member| self.capacity(*member)).sum();
        (cluster_count as f64 + 1.0) * self.capacity(node) / fleet.max(1.0)
    }

    /// Takes a polled record; an unchanged one leaves the observer copy's time alone.
    /// Example: `election.observe("proof", 4, Some(record), now)`.
    pub fn observe(&mut self, function: &str, version: u64, record: Option<LeaderRecord>, now: Micros) {
        if !self.functions.contains(function) && !self.orphaned_functions.contains(function) {
            return;
        }
        let record = record.filter(|leader_record| leader_record.holder != 0);
        match self.copies.get_mut(function) {
            // The owner's answers may arrive out of order: a copy never goes back.
            Some(copy) if copy.version > version => {}
            Some(copy) if copy.version == version => copy.stays(self.settings.poll, now),
            _ => {
                let is_free = record.as_ref().is_none_or(|held| held.holder == self.own);
                self.is_claim_wanted |= is_free;
                let copy =
                    ObserverCopy { version, record, observed_at: now, idle_polls: 0, idle_poll_at: now };
                self.holder_index.changed(function, self.copies.get(function), &copy);
                self.copies.insert(function.to_owned(), copy);
            }
        }
    }

    /// The record was only renewed, as its key's owner says who knows that this node has the record.
    /// Example: `election.renewed("proof", 5, now)`.
    pub fn renewed(&mut self, function: &str, version: u64, now: Micros) {
        if let Some(copy) = self.copies.get_mut(function)
            && version > copy.version
        {
            copy.version = version;
            copy.observed_at = now;
            copy.idle_polls = 0;
            self.holder_index.renewed(function, copy);
        }
    }

    /// A poll was answered: what the answer did not name stands unchanged, and the observer copies keep
    /// their times. Only polls of records without a holder are counted, so only those are gone through.
    /// Example: `election.confirmed(|function| polled.contains(function), now)`.
    pub fn confirmed(&mut self, is_polled: impl Fn(&str) -> bool, now: Micros) {
        self.holder_index.refresh(&self.copies, now);
        for function in self.holder_index.open() {
            if let Some(copy) = self.copies.get_mut(function).filter(|_| is_polled(function)) {
                copy.stays(self.settings.poll, now);
            }
        }
    }

    /// A call waits on this function and nobody holds it: the election is tried at once.
    /// Example: `election.call_waits("proof")`.
    pub fn call_waits(&mut self, function: &str) {
        if self.functions.contains(function) && !self.called.contains(function) {
            self.called.insert(function.to_owned());
            self.is_claim_wanted = true;
        }
    }

    /// Whether a poll should come soon rather than at the next interval: something is unheld, or held
    /// by a node that is no serving member any more and may just have given it back. `members` are in
    /// order of id. Example: `if election.is_unsettled(&members, now) { poll_event.hasten() }`.
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

    /// Who holds the function by this node's observation, with the steward epoch.
    /// Example: `election.holder("proof", now) == Some((7, 12))`.
    pub fn holder(&self, function: &str, now: Micros) -> Option<(NodeId, u64)> {
        if let Some(leader_epoch) = self.term(function, now) {
            return Some((self.own, leader_epoch));
        }
        let copy = self.copies.get(function)?;
        let record = copy.record.as_ref()?;
        let is_over = now >= copy.observed_at + lease_of(record);
        if record.holder == self.own || is_over || is_previous_incarnation(self.own, record.holder) {
            return None;
        }
        Some((record.holder, record.leader_epoch))
    }

    /// The epoch under which this node may act as steward now. The term ends one lease after the
    /// last acknowledged write was *sent*, which is before any follower's observation can run out.
    /// Example: `let Some(epoch) = election.term("proof", now) else { return };`.
    pub fn term(&self, function: &str, now: Micros) -> Option<u64> {
        let term = self.terms.get(function)?;
        let stands = term.transferred_to.is_none() && now < term.ends_at();
        stands.then_some(term.record.leader_epoch)
    }

    /// Functions this node is steward of now. Example: `election.held(now).len()`.
    pub fn held(&self, now: Micros) -> Vec<String> {
        self.terms.keys().filter(|function| self.term(function, now).is_some()).cloned().collect()
    }

    /// Own count: terms and claims in flight. Example: `election.own_count() <= 16`.
    pub fn own_count(&self) -> usize {
        self.terms.len() + self.claims.len()
    }

    /// Leaders counted by holder, folded from the records: the paper's tally.
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

    /// Counts for measuring: gate refusals, lost races, gates passed over.
    /// Example: `let (refused, lost, passed) = election.counts();`.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.gate_refusals, self.lost_races, self.gate_bypasses)
    }

    /// Whether a record names this process, or one that ran at its place before.
    fn is_named(&self, copy: &ObserverCopy) -> bool {
        let holder = copy.record.as_ref().map(|record| record.holder);
        holder.is_some_and(|holder| holder == self.own || is_previous_incarnation(self.own, holder))
    }

    /// Stops claiming and gives every term that is not given to a node already back to nobody; the writes come
    /// with the next tick. Example: `election.release_all(); let writes = election.tick(&members, now);`.
    pub fn release_all(&mut self) {
        self.draining = true;
        let held: Vec<String> = self.terms.keys().cloned().collect();
        for function in held {
            self.transfer_to(NOBODY, &function);
        }
    }

    /// Gives one term to another node, which claims it as soon as it sees itself named; if it never
    /// does, the lease runs out for everybody as ever. Nothing is done under the term from now on;
    /// the write comes with a tick, after a renewal that is still open was answered.
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

    /// Whether all releases were answered. Example: `if election.is_empty() { exit }`.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty() && self.claims.is_empty()
    }

    /// The writes that are due: renewals of what is held, then claims that pass the gate.
    /// `members` are the nodes believed alive and not draining: the paper's N.
    /// Example: `for write in election.tick(&members, now) { send(write) }`.
    pub fn tick(&mut self, members: &[NodeId], now: Micros) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        self.end_terms(now);
        self.renew(now, &mut writes);
        if !self.draining && (self.is_claim_wanted || now >= self.claim_due) {
            self.is_claim_wanted = false;
            self.claim_due = now + CLAIM_PAUSE;
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
            let is_over = now >= term.ends_at();
            let is_led = functions.contains(function) || orphaned_functions.contains(function);
            let is_unknown = !is_led && term.transferred_to.is_none();
            // It is given back: if the function comes again soon, nobody has to wait out the lease.
            if is_unknown {
                term.transferred_to = Some(NOBODY);
            }
            if is_over && !is_unknown && term.transferred_to.is_none() {
                changes.push(TermChange::Lost {
                    function: function.clone(),
                    leader_epoch: term.record.leader_epoch,
                    why: "lease ran out",
                });
            }
            if is_unknown {
                changes.push(TermChange::Lost {
                    function: function.clone(),
                    leader_epoch: term.record.leader_epoch,
                    why: "function no longer configured",
                });
            }
            !is_over
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

    /// Tells which of the held functions nobody calls now. Example: `election.set_idle_functions(idle_functions)`.
    pub fn set_idle_functions(&mut self, idle: BTreeSet<String>) {
        self.idle = idle;
    }

    fn renew(&mut self, now: Micros, writes: &mut Vec<RecordWrite>) {
        for (function, term) in &mut self.terms {
            let is_waiting = term.renewal_sent_at.is_some_and(|sent_at| now < sent_at + WRITE_TIMEOUT);
            if is_waiting || (term.transferred_to.is_none() && now < term.renewal_due) {
                continue;
            }
            term.renewal_sent_at = Some(now);
            term.first_sent_at.get_or_insert(now);
            let is_idle = term.transferred_to.is_none() && self.idle.contains(function);
            let times = if is_idle { IDLE_TIMES } else { 1 };
            let lease = match term.transferred_to {
                // What is given away is nobody's until the other claims it, and nobody acts under this
                // record: where the other cannot, the next may soon.
                Some(_) => self.settings.renewal,
                None => Micros(self.settings.lease.0 * times),
            };
            term.renewal_due = now + Micros(self.settings.renewal.0 * times);
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
        // Called functions first; the rest in this node's own rendezvous order, so that nodes
        // begin at different functions.
        // Leftovers last.
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
            // What this machine held before its process ended it takes back past the gate: nothing in
            // the balance changes, and nobody else may claim it yet. So it does with what another gave it:
            // nobody leads the function until it does.
            let is_own_before = self.copies.get(&function).is_some_and(|copy| self.is_named(copy));
            let most_claims = if is_own_before { CLAIMS_BACK } else { self.settings.claims_at_once };
            if self.claims.len() >= most_claims {
                continue;
            }
            let own_count = counts.get(&self.own).copied().unwrap_or(0);
            let passes_gate = is_own_before
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
            // Each claim's record differs from all before: a lost answer to an earlier one is never
            // taken for the answer to this one, whose term would begin too late.
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
            let transferred = copy.record.as_ref().filter(|standing| standing.holder == self.own);
            let transferred_epoch = transferred.map(|standing| standing.leader_epoch);
            let is_kept = copy.version == 0 || (is_own_before && transferred_epoch.is_none());
            self.gate_bypasses += u64::from(is_fallback);
            let claim = Claim {
                record,
                sent_at: now,
                past_gate: is_fallback,
                candidate_since,
                transferred_epoch,
                is_kept,
            };
            self.claims.insert(function, claim);
            cluster_count += 1;
            *counts.entry(self.own).or_default() += 1;
        }
    }

    /// The smallest exception: nobody held it for several polls, and this node comes next by
    /// (own count, rendezvous weight); one node more is let in with each further poll.
    fn is_next_without_gate(
        &self,
        function: &str,
        members: &[NodeId],
        counts: &BTreeMap<NodeId, usize>,
    ) -> bool {
        let Some(copy) = self.copies.get(function) else { return false };
        let Some(timeout) = copy.idle_polls.checked_sub(self.settings.polls_before_fallback) else {
            return false;
        };
        let rank = |node: NodeId| {
            let count = counts.get(&node).copied().unwrap_or(0);
            // In thousandths of a leader for each unit of capacity, so that ranks are whole numbers.
            let filled = (count as f64 * 1_000.0 / self.capacity(node)) as u64;
            (filled, u64::MAX - rendezvous_weight(function, node), node)
        };
        let own_rank = rank(self.own);
        members.iter().filter(|node| rank(**node) < own_rank).count() <= timeout as usize
    }

    /// The write stands at `version`. Example: `election.written("proof", 4, &record, now)`.
    pub fn written(&mut self, function: &str, version: u64, record: &LeaderRecord, now: Micros) {
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
            is_kept: claim.is_kept,
        });
    }

    /// Another version stands: refresh the copy and be a follower.
    /// Example: `election.differs("proof", 5, Some(theirs), now)`.
    pub fn differs(&mut self, function: &str, version: u64, record: Option<LeaderRecord>, now: Micros) {
        // A repeated write whose first answer was lost finds its own record standing.
        if let Some(standing) = &record
            && self.is_own_write(function, standing)
        {
            self.written(function, version, &standing.clone(), now);
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

    fn is_own_write(&self, function: &str, standing: &LeaderRecord) -> bool {
        if let Some(claim) = self.claims.get(function) {
            return claim.record == *standing;
        }
        self.terms.get(function).is_some_and(|term| {
            standing.leader_epoch == term.record.leader_epoch
                && standing.renew_count == term.record.renew_count + 1
                && (standing.holder == self.own || Some(standing.holder) == term.transferred_to)
        })
    }

    /// No answer of worth came: claims are dropped, renewals tried again at once.
    /// Example: `election.unanswered("proof", now)`.
    pub fn unanswered(&mut self, function: &str, now: Micros) {
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
