//! Reports of usage to the platform: the counts of this node's own calls, their way to the collector, and the
//! collector's rounds (`docs/duties.md`).
//!
//! A window's counts are chosen by one conditional write of the key of usage; only what stands there is sent,
//! so every repeat of a report is the same whoever sends it. There is no lease and no election of its own.

use crate::control_store::WritePurpose;
use crate::node::{Node, PAUSE_A_MEMBER};
use crate::{Action, UsageResult};
use control_registers::{DIFFERS, USAGE_KEY, WRITTEN};
use function_scheduler::{NOT_RUN, REFUSED_BUSY, UNUSED};
use monotonic_clock::{Micros, Ticker};
use peer_messages::{
    Bytes, List, Message, NodeId, UsageWindow, WriteOutcome, is_previous_incarnation, rendezvous_weight,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use usage_reports::{
    FleetClock, REPORTS_KEPT, UsageAggregator, UsageCounter, UsageDelta, UsageRegister, WindowLength,
};

/// The collector hears of changed counts this often, the node after it half as often.
const UPDATE_INTERVAL: Micros = Micros::from_millis(500);
const SECOND_COLLECTOR_INTERVAL: Micros = Micros::from_millis(1_000);
/// Counts of a process that is gone are told on so often: nobody answers that.
const FORWARD_TIMES: u32 = 3;
/// Also without a change, so that the collector knows that a node is through with a window.
const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(1_000);
/// Nodes spread what they tell after the end of a window over this.
const UPDATE_JITTER_MILLIS: u64 = 250;
/// A new collector first hears what everybody counted.
const COLLECTOR_SETTLES: Micros = Micros::from_millis(1_000);
/// A collector that hears too few clocks goes by its own after this.
const CLOCK_TIMEOUT: Micros = Micros::from_secs(4);
/// Between two reads of the register.
const READ_EVERY: Micros = Micros::from_millis(400);
/// Between two sends of a report that was not accepted.
const SEND_AGAIN: Micros = Micros::from_millis(700);
/// A report whose answer was given up may still reach the platform this much later.
const LATE_ARRIVAL: Micros = Micros::from_millis(1_500);
/// The share of the delay after which a window is decided without those who are not through with it.
const DECIDE_AT: f64 = 0.6;
/// A process that is gone and was heard of so lately may be back with its counts.
const AWAITED_SPAN: Micros = Micros::from_secs(20);
/// Counts that nobody asked for are dropped after this.
const KEPT_SPAN: Micros = Micros::from_secs(60);

/// The bounds of reports of usage. Example: `UsageSettings { holder: "edge-1".into(), .. }`.
#[derive(Clone, Debug)]
pub struct UsageSettings {
    /// The name that this node acts under, the same after a restart.
    pub holder: String,
    /// The length of a window.
    pub window: Micros,
    /// A report counts until so long after its window's end.
    pub delay: Micros,
    /// Within this span holders may not act in the order A, B, A.
    pub lease: Micros,
}

/// A change of the register on its way.
#[derive(Debug)]
struct RegisterWrite {
    request_id: u64,
    value: UsageRegister,
    decided: Vec<u64>,
}

/// What stands in the register, as a majority told it.
#[derive(Debug)]
struct StoredRegister {
    version: u64,
    register: Option<UsageRegister>,
    /// When this node first saw it so.
    seen_at: Micros,
}

/// What one node was told, by this one.
#[derive(Debug, Default)]
struct SentProgress {
    held: u64,
    sent_at: Option<Micros>,
    sent_sequence: u64,
    /// The window that was open when it was told.
    open_window: u64,
}

#[derive(Debug)]
pub(crate) struct UsageReporting {
    usage_counter: UsageCounter,
    /// Where each ticket in use was counted.
    counted: BTreeMap<u64, (u64, Arc<str>)>,
    clock: FleetClock,
    usage_aggregator: UsageAggregator,
    sent_progress: BTreeMap<NodeId, SentProgress>,
    /// How often counts of a process that is gone were told on, and when last: by collector and process.
    forwarded: BTreeMap<(NodeId, NodeId), (u32, Micros)>,
    collector_since: Option<Micros>,
    stored_register: Option<StoredRegister>,
    /// Under the highest fence that this node has heard of: who holds the register.
    known_holder: Option<(u64, NodeId)>,
    write: Option<RegisterWrite>,
    is_reading: bool,
    read_due: Micros,
    /// The platform saw a higher fence than this one, which the register has for this node.
    refused_fence: u64,
    delivered_below: u64,
    newest_delivered: Option<u64>,
    /// The window of a report whose answer is out.
    sent: Option<u64>,
    send_due: Micros,
    /// The last act under any fence, or this process's start: what the process before it did is not known.
    acted_at: Micros,
    /// After another holder stood in between, acts wait until here.
    barred_until: Micros,
    event: Ticker,
}

impl UsageReporting {
    pub(crate) fn new(now: Micros) -> UsageReporting {
        UsageReporting {
            usage_counter: UsageCounter::default(),
            counted: BTreeMap::new(),
            clock: FleetClock::default(),
            usage_aggregator: UsageAggregator::default(),
            sent_progress: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            collector_since: None,
            stored_register: None,
            known_holder: None,
            write: None,
            is_reading: false,
            read_due: Micros(0),
            refused_fence: 0,
            delivered_below: 0,
            newest_delivered: None,
            sent: None,
            send_due: Micros(0),
            acted_at: now,
            barred_until: now,
            event: Ticker::every(Micros::from_millis(60)),
        }
    }

    fn register(&self) -> Option<&UsageRegister> {
        self.stored_register.as_ref()?.register.as_ref()
    }

    /// Takes word of who holds the register; of two processes under one fence the later word counts.
    fn note_holder(&mut self, fence: u64, process: NodeId) {
        if process != 0 && self.known_holder.is_none_or(|(known, _)| known <= fence) {
            self.known_holder = Some((fence, process));
        }
    }

    pub(crate) fn is_collecting(&self) -> bool {
        self.collector_since.is_some()
    }

    /// Takes what stands; a sleep or another node's write may have made it another.
    fn stands(&mut self, version: u64, register: Option<UsageRegister>, now: Micros) {
        let is_seen = self.stored_register.as_ref().is_some_and(|seen| seen.version == version);
        let seen_at = self.stored_register.as_ref().filter(|_| is_seen).map_or(now, |seen| seen.seen_at);
        self.stored_register = Some(StoredRegister { version, register, seen_at });
    }
}

impl Node {
    /// The machine's wall clock, read by the shell.
    pub(crate) fn wall_clock_read(&mut self, unix: Micros) {
        self.usage.clock.set_own(unix, self.now);
    }

    fn usage_length(&self) -> Option<WindowLength> {
        self.settings.usage.as_ref().map(|usage| WindowLength(usage.window))
    }

    /// A call of a tenant goes to its cell under this ticket.
    pub(crate) fn count_usage(&mut self, permit: u64, tenant: Option<Arc<str>>) {
        let now = self.now;
        let (Some(length), Some(tenant)) = (self.usage_length(), tenant) else { return };
        let Some(unix) = self.usage.clock.unix(now) else { return };
        let window = length.number_at(unix);
        if self.usage.usage_counter.add(window, &tenant, now) {
            self.usage.counted.insert(permit, (window, tenant));
        }
    }

    /// The dispatch under a ticket is over: one that did not run is taken back.
    pub(crate) fn settle_usage(&mut self, permit: u64, outcome: u8) {
        let Some((window, tenant)) = self.usage.counted.remove(&permit) else { return };
        if [NOT_RUN, REFUSED_BUSY, UNUSED].contains(&outcome) {
            self.usage.usage_counter.remove(window, &tenant);
        }
    }

    /// What this node knew of the register and of others' clocks may be long out of date.
    pub(crate) fn usage_woke_up(&mut self) {
        self.usage.stored_register = None;
        self.usage.collector_since = None;
        self.usage.clock.woke_up();
    }

    /// The nodes that collect: the first acts, the second only keeps what it is told. Machines with disks come
    /// first, then rendezvous; all nodes with one view pick the same.
    fn usage_collectors(&self) -> (Option<NodeId>, Option<NodeId>) {
        let mut choices: Vec<(bool, u64, NodeId)> = self
            .members
            .live()
            .into_iter()
            .filter(|member| member.draining == 0 && member.state == 0)
            .map(|member| (member.disk != 0, rendezvous_weight(USAGE_KEY, member.node), member.node))
            .collect();
        choices.sort_unstable();
        // Whoever holds the register goes on as long as it serves: a hand-over costs a lease.
        let known_holder = self.usage.known_holder.map(|(_, process)| process);
        if let Some(place) = choices.iter().position(|(.., node)| Some(*node) == known_holder) {
            let holder = choices.remove(place);
            choices.push(holder);
        }
        let first = choices.pop().map(|(.., node)| node);
        (first, choices.pop().map(|(.., node)| node))
    }

    pub(crate) fn tick_usage(&mut self) {
        let now = self.now;
        if self.settings.usage.is_none() || !self.usage.event.due(now) {
            return;
        }
        let (first, second) = self.usage_collectors();
        self.send_usage_updates(first, UPDATE_INTERVAL);
        self.send_usage_updates(second, SECOND_COLLECTOR_INTERVAL);
        self.forward_usage_of_gone([first, second]);
        self.usage.sent_progress.retain(|node, _| [first, second].contains(&Some(*node)));
        let kept_since = now - KEPT_SPAN;
        self.usage.usage_counter.forget_untouched(kept_since);
        let open_from = self.usage.usage_counter.open_from();
        self.usage.usage_aggregator.forget(open_from, kept_since);
        self.usage.counted.retain(|_, (window, _)| *window >= open_from);
        if first == Some(self.settings.node) {
            self.collect_usage();
        } else {
            self.usage.collector_since = None;
            self.usage.stored_register = None;
        }
    }

    /// Tells a collector what changed since it last answered.
    fn send_usage_updates(&mut self, collector: Option<NodeId>, every: Micros) {
        let now = self.now;
        let (Some(collector), Some(length)) = (collector, self.usage_length()) else { return };
        let clock = self.usage.clock.unix(now).unwrap_or_default();
        let open_window = length.number_at(clock);
        let least_pause = Micros(PAUSE_A_MEMBER.0 * self.member_count() as u64).max(every);
        let spread = Micros::from_millis(self.settings.node % UPDATE_JITTER_MILLIS);
        let usage = &mut self.usage;
        let progress = usage.sent_progress.entry(collector).or_default();
        let is_window_over =
            open_window > progress.open_window && clock >= length.end_of(open_window - 1) + spread;
        let is_changed = usage.usage_counter.sequence() != progress.sent_sequence;
        let is_due = progress.sent_at.is_none_or(|sent_at| {
            now >= sent_at + least_pause.max(HEARTBEAT_INTERVAL)
                || (is_changed && now >= sent_at + least_pause)
        });
        if !is_due && !is_window_over {
            return;
        }
        let sequence = usage.usage_counter.sequence();
        let message = Message::UsageUpdate {
            reporter: self.settings.node,
            since: progress.held,
            sequence,
            wall_micros: usage.clock.own(now).map_or(0, |unix| unix.0),
            clock_micros: clock.0,
            windows: usage.usage_counter.changed_since(progress.held),
        };
        (progress.sent_at, progress.sent_sequence, progress.open_window) = (Some(now), sequence, open_window);
        self.send(collector, message);
    }

    /// Tells the collectors what processes that are gone told this node: a new collector cannot ask them.
    fn forward_usage_of_gone(&mut self, collectors: [Option<NodeId>; 2]) {
        let now = self.now;
        let own = self.settings.node;
        let held: Vec<NodeId> = self.usage.usage_aggregator.reporters().map(|(node, _)| node).collect();
        let gone: Vec<NodeId> = held.into_iter().filter(|node| self.members.find(*node).is_none()).collect();
        self.usage.forwarded.retain(|(collector, reporter), _| {
            collectors.contains(&Some(*collector)) && gone.contains(reporter)
        });
        let others = collectors.into_iter().flatten().filter(|collector| *collector != own);
        for (collector, reporter) in
            others.flat_map(|collector| gone.iter().map(move |node| (collector, *node)))
        {
            let (times, sent_at) =
                self.usage.forwarded.get(&(collector, reporter)).copied().unwrap_or_default();
            if times >= FORWARD_TIMES || (times > 0 && now < sent_at + UPDATE_INTERVAL) {
                continue;
            }
            let Some(reported) = self.usage.usage_aggregator.reported_by(reporter) else { continue };
            self.usage.forwarded.insert((collector, reporter), (times + 1, now));
            let message = Message::UsageUpdate {
                reporter,
                since: 0,
                sequence: reported.sequence,
                wall_micros: 0,
                clock_micros: reported.clock.0,
                windows: reported.windows,
            };
            self.send(collector, message);
        }
    }

    pub(crate) fn handle_usage_message(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::UsageUpdate { reporter, since, sequence, wall_micros, clock_micros, windows }
                if reporter != from =>
            {
                let reported = UsageDelta { since, sequence, clock: Micros(clock_micros), windows };
                // A live process tells its own counts; there is no wall clock of one that is gone.
                if wall_micros == 0 && self.members.find(reporter).is_none() {
                    self.usage.usage_aggregator.apply(reporter, reported, now);
                }
            }
            Message::UsageUpdate { since, sequence, wall_micros, clock_micros, windows, .. } => {
                if wall_micros > 0 {
                    self.usage.clock.set_reported(from, Micros(wall_micros), now);
                }
                let reported = UsageDelta { since, sequence, clock: Micros(clock_micros), windows };
                let held = self.usage.usage_aggregator.apply(from, reported, now);
                let is_collector = self.usage.collector_since.is_some();
                let is_agreed = is_collector && self.usage.clock.is_agreed();
                let clock_micros = self.usage.clock.unix(now).filter(|_| is_agreed).map_or(0, |unix| unix.0);
                let register = self.usage.register().filter(|_| is_collector);
                let next_window = register.map_or(0, |register| register.next_window);
                let (fence, holder) = self.usage.known_holder.unwrap_or_default();
                let sequence = held;
                self.send(from, Message::UsageAck { sequence, next_window, clock_micros, holder, fence });
            }
            Message::UsageAck { sequence, next_window, clock_micros, holder, fence } => {
                self.usage.note_holder(fence, holder);
                if let Some(progress) = self.usage.sent_progress.get_mut(&from) {
                    progress.held = sequence;
                }
                self.usage.usage_counter.decided_below(next_window);
                if clock_micros > 0 && self.usage_collectors().0 == Some(from) {
                    self.usage.clock.set_fleet_time(Micros(clock_micros), now);
                }
            }
            _ => {}
        }
    }

    /// One step of the collector: know what stands, decide the windows that are over, send what is decided.
    fn collect_usage(&mut self) {
        let now = self.now;
        let since = *self.usage.collector_since.get_or_insert(now);
        let members: Vec<NodeId> = self.members.live().iter().map(|member| member.node).collect();
        self.usage.clock.agree(&members, now);
        let own = self.settings.node;
        let is_holder = self.usage.register().is_some_and(|register| register.process == own);
        if (self.usage.stored_register.is_none() || !is_holder) && now >= self.usage.read_due {
            self.read_usage();
        }
        if self.usage.stored_register.is_none() || self.configuration.current().tenants.is_none() {
            return;
        }
        let is_clock_known =
            self.usage.clock.is_agreed() || (now >= since + CLOCK_TIMEOUT && self.usage.clock.knows_fleet());
        if is_clock_known && now >= since + COLLECTOR_SETTLES && self.usage.write.is_none() {
            self.decide_usage(&members);
        }
        self.send_usage();
    }

    fn read_usage(&mut self) {
        if self.usage.is_reading || self.usage.write.is_some() {
            return;
        }
        self.usage.read_due = self.now + READ_EVERY;
        let is_sent = self.send_write(USAGE_KEY, 0, Bytes::default(), WritePurpose::UsageRead).is_some();
        self.usage.is_reading = is_sent;
    }

    /// Puts the windows that are over into the register, under this node's name.
    fn decide_usage(&mut self, members: &[NodeId]) {
        let now = self.now;
        let (Some(settings), Some(length)) = (self.settings.usage.clone(), self.usage_length()) else {
            return;
        };
        let (Some(unix), Some(standing)) = (self.usage.clock.unix(now), &self.usage.stored_register) else {
            return;
        };
        let (version, own) = (standing.version, self.settings.node);
        let Some(register) = &standing.register else {
            // Windows that began before anything stood may have been reported by a fleet that lost its disks.
            let first_window = length.number_at(unix);
            let value = UsageRegister::bootstrapped(&settings.holder, own, first_window, unix);
            self.write_usage(version, value, Vec::new());
            return;
        };
        if self.usage.refused_fence == register.fence && register.holder.0 == settings.holder {
            let value = register.raised(own, unix);
            self.write_usage(version, value, Vec::new());
            return;
        }
        let awaited = self.awaited_reporters(members);
        let deciding_at = Micros((settings.delay.0 as f64 * DECIDE_AT) as u64);
        let over_below = length.number_at(unix);
        let oldest = over_below.saturating_sub(REPORTS_KEPT as u64).max(register.next_window);
        let mut decided = Vec::new();
        for window in oldest..over_below {
            let ended_at = length.end_of(window);
            if !self.usage.usage_aggregator.is_complete(&awaited, ended_at) && unix < ended_at + deciding_at {
                break;
            }
            decided.push(UsageWindow { window, counts: self.usage.usage_aggregator.counts(window) });
        }
        // What a holder that is gone decided and may not have sent is not kept until the next window is decided.
        let left = register.undelivered(self.usage.delivered_below).filter(|_| register.process != own);
        let is_left = left.is_some_and(|report| unix >= length.end_of(report.window) + deciding_at);
        if (decided.is_empty() && !is_left) || !self.may_take_usage(register, standing.seen_at, &settings) {
            return;
        }
        let numbers = decided.iter().map(|report| report.window).collect();
        let value = register.with_decided(&settings.holder, own, decided, self.usage.delivered_below);
        self.write_usage(version, value, numbers);
    }

    /// Whose counts a decision waits for: the members', and those of processes that counted lately and may only
    /// be beyond a cut. One whose place has another process has ended.
    fn awaited_reporters(&self, members: &[NodeId]) -> Vec<NodeId> {
        let has_ended = |node: NodeId| members.iter().any(|member| is_previous_incarnation(*member, node));
        let recently = self.now - AWAITED_SPAN;
        let reporters = self.usage.usage_aggregator.reporters();
        let away = reporters.filter(|(node, received_at)| {
            *received_at >= recently && !members.contains(node) && !has_ended(*node)
        });
        members.iter().copied().chain(away.map(|(node, _)| node)).collect()
    }

    /// Whether this node may act in the holder's place: it is the holder, the holder is gone, or did nothing
    /// for longer than the lease.
    fn may_take_usage(&self, register: &UsageRegister, seen_at: Micros, settings: &UsageSettings) -> bool {
        let own = self.settings.node;
        let is_own = register.process == own || is_previous_incarnation(own, register.process);
        let is_serving = self.members.find(register.process).is_some_and(|member| member.draining == 0);
        is_own || !is_serving || self.now > seen_at + settings.lease
    }

    fn write_usage(&mut self, version: u64, value: UsageRegister, decided: Vec<u64>) {
        let encoded = value.encode();
        let request_id = self.send_write(USAGE_KEY, version, encoded, WritePurpose::UsageWrite);
        self.usage.write = request_id.map(|request_id| RegisterWrite { request_id, value, decided });
    }

    /// A read of the register was answered.
    pub(crate) fn usage_read(&mut self, outcome: &WriteOutcome) {
        self.usage.is_reading = false;
        if outcome.outcome == WRITTEN && self.usage.write.is_none() {
            let register = UsageRegister::decode(&outcome.value);
            self.usage_stands(outcome.version, register);
        }
    }

    /// A write of the register was answered.
    pub(crate) fn usage_written(&mut self, outcome: &WriteOutcome) {
        let Some(write) = self.usage.write.take_if(|write| write.request_id == outcome.request_id) else {
            return;
        };
        match outcome.outcome {
            WRITTEN => {
                let (holder, fence) = (write.value.holder.0.clone(), write.value.fence);
                for window in write.decided {
                    let report = write.value.reports.0.iter().find(|report| report.window == window);
                    let calls: u64 = report.map_or(0, |report| total(&report.counts));
                    self.counts.usage_decided += 1;
                    let details = json!({"window": window, "calls": calls, "fence": fence});
                    self.decision_log.append("usage_decided", details, self.now);
                }
                if self.usage.register().is_none_or(|before| before.fence != fence) {
                    let details = json!({"holder": holder, "fence": fence});
                    self.decision_log.append("usage_holder", details, self.now);
                }
                self.usage_stands(outcome.version, Some(write.value));
            }
            DIFFERS => {
                let register = UsageRegister::decode(&outcome.value);
                self.usage_stands(outcome.version, register);
            }
            _ => self.usage.stored_register = None,
        }
    }

    pub(crate) fn usage_read_unanswered(&mut self) {
        self.usage.is_reading = false;
    }

    /// Whether the write took effect is not known: what stands is read anew. There is one write at a time.
    pub(crate) fn usage_write_unanswered(&mut self) {
        self.usage.write = None;
        self.usage.stored_register = None;
    }

    fn usage_stands(&mut self, version: u64, register: Option<UsageRegister>) {
        let now = self.now;
        // What an owner that was deposed unnoticed answers may be older than what is known.
        if self.usage.stored_register.as_ref().is_some_and(|seen| seen.version > version) {
            return;
        }
        let Some(settings) = &self.settings.usage else { return };
        let is_own = |register: Option<&UsageRegister>| {
            register.is_some_and(|register| register.holder.0 == settings.holder)
        };
        if let Some(register) = &register
            && !is_own(Some(register))
        {
            // Somebody else may act from now on: this node's next act comes a lease after its last.
            self.usage.barred_until = self.usage.acted_at + settings.lease + LATE_ARRIVAL;
        }
        if let Some(register) = &register {
            self.usage.note_holder(register.fence, register.process);
            self.usage.usage_counter.decided_below(register.next_window);
        }
        self.usage.stands(version, register, now);
    }

    /// Sends the oldest report that is not known to be accepted, if it is this node's turn to send.
    fn send_usage(&mut self) {
        let now = self.now;
        let Some(settings) = &self.settings.usage else { return };
        let Some(register) = self.usage.register() else { return };
        let is_holder = register.holder.0 == settings.holder && register.process == self.settings.node;
        if !is_holder
            || register.fence == self.usage.refused_fence
            || self.usage.sent.is_some()
            || now < self.usage.send_due.max(self.usage.barred_until)
        {
            return;
        }
        let Some(report) = register.undelivered(self.usage.delivered_below).cloned() else { return };
        let fence = register.fence;
        if !self.spend_report_operation() {
            return;
        }
        self.usage.sent = Some(report.window);
        self.usage.acted_at = now;
        self.emit(Action::ReportUsage { report, fence });
    }

    /// The platform answered a report, or did not.
    pub(crate) fn usage_reported(&mut self, window: u64, fence: u64, result: UsageResult) {
        let now = self.now;
        self.usage.sent = None;
        self.usage.acted_at = now;
        match result {
            UsageResult::Accepted => {
                self.operation_accepted();
                self.usage.delivered_below = self.usage.delivered_below.max(window + 1);
                self.usage.newest_delivered = self.usage.newest_delivered.max(Some(window));
                self.counts.usage_reported += 1;
                self.decision_log.append("usage_reported", json!({"window": window, "fence": fence}), now);
            }
            UsageResult::Fenced => {
                self.decision_log.append("usage_fenced", json!({"window": window, "fence": fence}), now);
                self.usage.refused_fence = fence;
                self.usage.stored_register = None;
            }
            UsageResult::Throttled => {
                self.operation_throttled();
                self.usage.send_due = now + SEND_AGAIN;
            }
            UsageResult::Unknown => self.usage.send_due = now + SEND_AGAIN,
        }
    }

    /// How long ago the newest window ended that this node's reports were accepted for.
    pub(crate) fn usage_report_age(&self, now: Micros) -> Option<Micros> {
        let ended_at = self.usage_length()?.end_of(self.usage.newest_delivered?);
        self.usage.clock.unix(now).map(|unix| unix - ended_at)
    }
}

fn total(counts: &List<peer_messages::TenantCount>) -> u64 {
    counts.0.iter().map(|reported| u64::from(reported.count)).sum()
}
