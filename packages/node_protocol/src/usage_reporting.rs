//! Usage reporting to the platform: counting this node's calls, sending the counts to the collector, and the
//! collector's periodic work (`docs/duties.md`).
//!
//! The counts of a window are decided by one conditional write of the usage register. Only decided counts are
//! reported, so all repeats of a report are identical, whichever node sends them. Usage reporting has no lease
//! and no election of its own.

use crate::control_store::WritePurpose;
use crate::node::{Node, PAUSE_PER_MEMBER};
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

/// Changed counts are sent to the collector at this interval, and to the standby collector half as often.
const UPDATE_INTERVAL: Micros = Micros::from_millis(500);
const STANDBY_UPDATE_INTERVAL: Micros = Micros::from_millis(1_000);
/// Counts of a process that is gone are forwarded this many times, since forwarded counts are not acknowledged.
const FORWARD_TIMES: u32 = 3;
/// Sent even without changes, so that the collector knows that a node has completed a window.
const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(1_000);
/// The updates of all nodes after the end of a window are spread over this time.
const UPDATE_JITTER_MILLIS: u64 = 250;
/// A new collector waits this long before its first decision, to receive the counts of all nodes.
const COLLECTOR_WARM_UP: Micros = Micros::from_millis(1_000);
/// A collector that receives too few clock readings uses its own clock after this time.
const CLOCK_TIMEOUT: Micros = Micros::from_secs(4);
/// The pause between two reads of the register.
const READ_INTERVAL: Micros = Micros::from_millis(400);
/// The pause before a report that was not accepted is sent again.
const SEND_RETRY_PAUSE: Micros = Micros::from_millis(700);
/// A report whose response timed out may still reach the platform this much later.
const LATE_ARRIVAL_MARGIN: Micros = Micros::from_millis(1_500);
/// After this share of the delay a window is decided without the nodes that have not completed it.
const DECIDE_AFTER_SHARE: f64 = 0.6;
/// A process that is gone may return with its counts if an update of it was received within this time.
const AWAITED_SPAN: Micros = Micros::from_secs(20);
/// Windows without new counts and reporters without updates are dropped after this time.
const COUNTS_RETENTION: Micros = Micros::from_secs(60);

/// The settings of usage reporting. Example: `UsageSettings { holder: "edge-1".into(), .. }`.
#[derive(Clone, Debug)]
pub struct UsageSettings {
    /// The name under which this node reports, which is the same after a restart.
    pub holder: String,
    /// The length of a usage window.
    pub window: Micros,
    /// The platform accepts a report until this long after the end of its window.
    pub delay: Micros,
    /// Within this span holders must not send reports in the order A, B, A.
    pub lease: Micros,
}

/// A pending write of the usage register.
#[derive(Debug)]
struct RegisterWrite {
    request_id: u64,
    value: UsageRegister,
    decided: Vec<u64>,
}

/// The stored usage register, as confirmed by a majority.
#[derive(Debug)]
struct StoredRegister {
    version: u64,
    register: Option<UsageRegister>,
    /// When this node first saw this version.
    seen_at: Micros,
}

/// The progress of the usage updates to one collector.
#[derive(Debug, Default)]
struct SentProgress {
    acknowledged: u64,
    sent_at: Option<Micros>,
    sent_sequence: u64,
    /// The window that was open at the last update.
    open_window: u64,
}

#[derive(Debug)]
pub(crate) struct UsageReporting {
    usage_counter: UsageCounter,
    /// The window and tenant under which each open permit was counted.
    counted: BTreeMap<u64, (u64, Arc<str>)>,
    clock: FleetClock,
    usage_aggregator: UsageAggregator,
    sent_progress: BTreeMap<NodeId, SentProgress>,
    /// How often counts of a process that is gone were forwarded, and when last, by collector and process.
    forwarded: BTreeMap<(NodeId, NodeId), (u32, Micros)>,
    collector_since: Option<Micros>,
    stored_register: Option<StoredRegister>,
    /// The highest known fence and the process that holds the register under it.
    known_holder: Option<(u64, NodeId)>,
    write: Option<RegisterWrite>,
    is_reading: bool,
    read_due: Micros,
    /// The fence of this node that the platform refused, having seen a higher one.
    refused_fence: u64,
    delivered_below: u64,
    newest_delivered: Option<u64>,
    /// The window of the report that awaits its response.
    sent_window: Option<u64>,
    send_due: Micros,
    /// The last report under any fence, or this process's start, since earlier reports of this holder are not known.
    last_operation_at: Micros,
    /// Reports wait until then if another holder was in the register in between.
    barred_until: Micros,
    ticker: Ticker,
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
            sent_window: None,
            send_due: Micros(0),
            last_operation_at: now,
            barred_until: now,
            ticker: Ticker::every(Micros::from_millis(60)),
        }
    }

    fn register(&self) -> Option<&UsageRegister> {
        self.stored_register.as_ref()?.register.as_ref()
    }

    /// Records who holds the register; of two processes under one fence the one recorded later counts.
    fn record_holder(&mut self, fence: u64, process: NodeId) {
        if process != 0 && self.known_holder.is_none_or(|(known, _)| known <= fence) {
            self.known_holder = Some((fence, process));
        }
    }

    pub(crate) fn is_collecting(&self) -> bool {
        self.collector_since.is_some()
    }

    /// Sets the stored register; `seen_at` changes only with the version.
    fn set_stored_register(&mut self, version: u64, register: Option<UsageRegister>, now: Micros) {
        let is_known = self.stored_register.as_ref().is_some_and(|known| known.version == version);
        let seen_at = self.stored_register.as_ref().filter(|_| is_known).map_or(now, |known| known.seen_at);
        self.stored_register = Some(StoredRegister { version, register, seen_at });
    }
}

impl Node {
    /// Sets the machine's wall clock, as read by the protocol runtime.
    pub(crate) fn wall_clock_read(&mut self, unix: Micros) {
        self.usage.clock.set_own(unix, self.now);
    }

    fn usage_length(&self) -> Option<WindowLength> {
        self.settings.usage.as_ref().map(|usage| WindowLength(usage.window))
    }

    /// Counts a call of a tenant that is dispatched under this permit.
    pub(crate) fn count_usage(&mut self, permit: u64, tenant: Option<Arc<str>>) {
        let now = self.now;
        let (Some(length), Some(tenant)) = (self.usage_length(), tenant) else { return };
        let Some(unix) = self.usage.clock.unix(now) else { return };
        let window = length.number_at(unix);
        if self.usage.usage_counter.add(window, &tenant, now) {
            self.usage.counted.insert(permit, (window, tenant));
        }
    }

    /// Settles the count of a permit whose dispatch has ended: a dispatch that did not run is not counted.
    pub(crate) fn settle_usage(&mut self, permit: u64, outcome: u8) {
        let Some((window, tenant)) = self.usage.counted.remove(&permit) else { return };
        if [NOT_RUN, REFUSED_BUSY, UNUSED].contains(&outcome) {
            self.usage.usage_counter.remove(window, &tenant);
        }
    }

    /// After a freeze the known register and the clocks of other nodes may be outdated.
    pub(crate) fn usage_resumed_after_freeze(&mut self) {
        self.usage.stored_register = None;
        self.usage.collector_since = None;
        self.usage.clock.discard_readings();
    }

    /// The collector and the standby collector, which only stores the updates it receives. Machines with disks are
    /// preferred, then the rendezvous order decides; nodes with the same membership view pick the same nodes.
    fn usage_collectors(&self) -> (Option<NodeId>, Option<NodeId>) {
        let mut choices: Vec<(bool, u64, NodeId)> = self
            .members
            .live()
            .into_iter()
            .filter(|member| member.draining == 0 && member.state == 0)
            .map(|member| (member.disk != 0, rendezvous_weight(USAGE_KEY, member.node), member.node))
            .collect();
        choices.sort_unstable();
        // The holder of the register stays the collector while it serves, since a handover costs a lease.
        let known_holder = self.usage.known_holder.map(|(_, process)| process);
        if let Some(position) = choices.iter().position(|(.., node)| Some(*node) == known_holder) {
            let holder = choices.remove(position);
            choices.push(holder);
        }
        let first = choices.pop().map(|(.., node)| node);
        (first, choices.pop().map(|(.., node)| node))
    }

    pub(crate) fn tick_usage(&mut self) {
        let now = self.now;
        if self.settings.usage.is_none() || !self.usage.ticker.due(now) {
            return;
        }
        let (first, second) = self.usage_collectors();
        self.send_usage_updates(first, UPDATE_INTERVAL);
        self.send_usage_updates(second, STANDBY_UPDATE_INTERVAL);
        self.forward_usage_of_gone([first, second]);
        self.usage.sent_progress.retain(|node, _| [first, second].contains(&Some(*node)));
        let retained_since = now - COUNTS_RETENTION;
        self.usage.usage_counter.forget_untouched(retained_since);
        let open_from = self.usage.usage_counter.open_from();
        self.usage.usage_aggregator.forget(open_from, retained_since);
        self.usage.counted.retain(|_, (window, _)| *window >= open_from);
        if first == Some(self.settings.node) {
            self.tick_collector();
        } else {
            self.usage.collector_since = None;
            self.usage.stored_register = None;
        }
    }

    /// Sends a collector the changes since its last acknowledgement.
    fn send_usage_updates(&mut self, collector: Option<NodeId>, every: Micros) {
        let now = self.now;
        let (Some(collector), Some(length)) = (collector, self.usage_length()) else { return };
        let clock = self.usage.clock.unix(now).unwrap_or_default();
        let open_window = length.number_at(clock);
        let least_pause = Micros(PAUSE_PER_MEMBER.0 * self.member_count() as u64).max(every);
        let jitter = Micros::from_millis(self.settings.node % UPDATE_JITTER_MILLIS);
        let usage = &mut self.usage;
        let progress = usage.sent_progress.entry(collector).or_default();
        let has_window_ended =
            open_window > progress.open_window && clock >= length.end_of(open_window - 1) + jitter;
        let is_changed = usage.usage_counter.sequence() != progress.sent_sequence;
        let is_due = progress.sent_at.is_none_or(|sent_at| {
            now >= sent_at + least_pause.max(HEARTBEAT_INTERVAL)
                || (is_changed && now >= sent_at + least_pause)
        });
        if !is_due && !has_window_ended {
            return;
        }
        let sequence = usage.usage_counter.sequence();
        let message = Message::UsageUpdate {
            reporter: self.settings.node,
            since: progress.acknowledged,
            sequence,
            wall_micros: usage.clock.own(now).map_or(0, |unix| unix.0),
            clock_micros: clock.0,
            windows: usage.usage_counter.changed_since(progress.acknowledged),
        };
        (progress.sent_at, progress.sent_sequence, progress.open_window) = (Some(now), sequence, open_window);
        self.send(collector, message);
    }

    /// Forwards the counts of processes that are gone to the collectors, since a new collector cannot request them.
    fn forward_usage_of_gone(&mut self, collectors: [Option<NodeId>; 2]) {
        let now = self.now;
        let own = self.settings.node;
        let reporters: Vec<NodeId> = self.usage.usage_aggregator.reporters().map(|(node, _)| node).collect();
        let gone: Vec<NodeId> =
            reporters.into_iter().filter(|node| self.members.find(*node).is_none()).collect();
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
                // Live processes send their own counts; forwarded counts carry no wall clock.
                if wall_micros == 0 && self.members.find(reporter).is_none() {
                    self.usage.usage_aggregator.apply(reporter, reported, now);
                }
            }
            Message::UsageUpdate { since, sequence, wall_micros, clock_micros, windows, .. } => {
                if wall_micros > 0 {
                    self.usage.clock.set_reported(from, Micros(wall_micros), now);
                }
                let reported = UsageDelta { since, sequence, clock: Micros(clock_micros), windows };
                let acknowledged = self.usage.usage_aggregator.apply(from, reported, now);
                let is_collector = self.usage.collector_since.is_some();
                let is_agreed = is_collector && self.usage.clock.is_agreed();
                let clock_micros = self.usage.clock.unix(now).filter(|_| is_agreed).map_or(0, |unix| unix.0);
                let register = self.usage.register().filter(|_| is_collector);
                let next_window = register.map_or(0, |register| register.next_window);
                let (fence, holder) = self.usage.known_holder.unwrap_or_default();
                let sequence = acknowledged;
                self.send(from, Message::UsageAck { sequence, next_window, clock_micros, holder, fence });
            }
            Message::UsageAck { sequence, next_window, clock_micros, holder, fence } => {
                self.usage.record_holder(fence, holder);
                if let Some(progress) = self.usage.sent_progress.get_mut(&from) {
                    progress.acknowledged = sequence;
                }
                self.usage.usage_counter.set_decided_below(next_window);
                if clock_micros > 0 && self.usage_collectors().0 == Some(from) {
                    self.usage.clock.set_fleet_time(Micros(clock_micros), now);
                }
            }
            _ => {}
        }
    }

    /// One step of the collector: reads the register, decides ended windows, and sends decided reports.
    fn tick_collector(&mut self) {
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
        if is_clock_known && now >= since + COLLECTOR_WARM_UP && self.usage.write.is_none() {
            self.decide_ended_windows(&members);
        }
        self.send_report();
    }

    fn read_usage(&mut self) {
        if self.usage.is_reading || self.usage.write.is_some() {
            return;
        }
        self.usage.read_due = self.now + READ_INTERVAL;
        let is_sent = self.send_write(USAGE_KEY, 0, Bytes::default(), WritePurpose::UsageRead).is_some();
        self.usage.is_reading = is_sent;
    }

    /// Writes the counts of ended windows to the register with this node as the holder.
    fn decide_ended_windows(&mut self, members: &[NodeId]) {
        let now = self.now;
        let (Some(settings), Some(length)) = (self.settings.usage.clone(), self.usage_length()) else {
            return;
        };
        let (Some(unix), Some(stored)) = (self.usage.clock.unix(now), &self.usage.stored_register) else {
            return;
        };
        let (version, own) = (stored.version, self.settings.node);
        let Some(register) = &stored.register else {
            // Windows before the register's creation may have been reported by a fleet that has lost its disks.
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
        let awaited_reporters = self.awaited_reporters(members);
        let decision_delay = Micros((settings.delay.0 as f64 * DECIDE_AFTER_SHARE) as u64);
        let ended_below = length.number_at(unix);
        let oldest = ended_below.saturating_sub(REPORTS_KEPT as u64).max(register.next_window);
        let mut decided = Vec::new();
        for window in oldest..ended_below {
            let ended_at = length.end_of(window);
            if !self.usage.usage_aggregator.is_complete(&awaited_reporters, ended_at)
                && unix < ended_at + decision_delay
            {
                break;
            }
            decided.push(UsageWindow { window, counts: self.usage.usage_aggregator.counts(window) });
        }
        // A report that a gone holder decided and may not have sent is not delayed until the next decision.
        let undelivered =
            register.undelivered(self.usage.delivered_below).filter(|_| register.process != own);
        let is_undelivered_due =
            undelivered.is_some_and(|report| unix >= length.end_of(report.window) + decision_delay);
        if (decided.is_empty() && !is_undelivered_due)
            || !self.may_take_over_usage(register, stored.seen_at, &settings)
        {
            return;
        }
        let numbers = decided.iter().map(|report| report.window).collect();
        let value = register.with_decided(&settings.holder, own, decided, self.usage.delivered_below);
        self.write_usage(version, value, numbers);
    }

    /// The nodes whose counts a decision waits for: the members, and processes with recent updates that may only be
    /// partitioned. A process that was replaced by a newer one of the same node has ended.
    fn awaited_reporters(&self, members: &[NodeId]) -> Vec<NodeId> {
        let has_ended = |node: NodeId| members.iter().any(|member| is_previous_incarnation(*member, node));
        let earliest = self.now - AWAITED_SPAN;
        let reporters = self.usage.usage_aggregator.reporters();
        let partitioned = reporters.filter(|(node, received_at)| {
            *received_at >= earliest && !members.contains(node) && !has_ended(*node)
        });
        members.iter().copied().chain(partitioned.map(|(node, _)| node)).collect()
    }

    /// Whether this node may take over as holder: it is the holder, the holder is gone, or the holder did nothing
    /// for longer than the lease.
    fn may_take_over_usage(
        &self,
        register: &UsageRegister,
        seen_at: Micros,
        settings: &UsageSettings,
    ) -> bool {
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

    /// Handles the response to a read of the register.
    pub(crate) fn usage_read(&mut self, outcome: &WriteOutcome) {
        self.usage.is_reading = false;
        if outcome.outcome == WRITTEN && self.usage.write.is_none() {
            let register = UsageRegister::decode(&outcome.value);
            self.apply_stored_register(outcome.version, register);
        }
    }

    /// Handles the response to a write of the register.
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
                self.apply_stored_register(outcome.version, Some(write.value));
            }
            DIFFERS => {
                let register = UsageRegister::decode(&outcome.value);
                self.apply_stored_register(outcome.version, register);
            }
            _ => self.usage.stored_register = None,
        }
    }

    pub(crate) fn usage_read_unanswered(&mut self) {
        self.usage.is_reading = false;
    }

    /// The write may have taken effect, so the register is read again. There is one write at a time.
    pub(crate) fn usage_write_unanswered(&mut self) {
        self.usage.write = None;
        self.usage.stored_register = None;
    }

    fn apply_stored_register(&mut self, version: u64, register: Option<UsageRegister>) {
        let now = self.now;
        // The response of an owner that does not know it was deposed may be older than the known version.
        if self.usage.stored_register.as_ref().is_some_and(|known| known.version > version) {
            return;
        }
        let Some(settings) = &self.settings.usage else { return };
        let is_own = |register: Option<&UsageRegister>| {
            register.is_some_and(|register| register.holder.0 == settings.holder)
        };
        if let Some(register) = &register
            && !is_own(Some(register))
        {
            // Another holder may report from now on, so this node's next report waits a lease after its last one.
            self.usage.barred_until = self.usage.last_operation_at + settings.lease + LATE_ARRIVAL_MARGIN;
        }
        if let Some(register) = &register {
            self.usage.record_holder(register.fence, register.process);
            self.usage.usage_counter.set_decided_below(register.next_window);
        }
        self.usage.set_stored_register(version, register, now);
    }

    /// Sends the oldest report that is not known to be accepted, if this node is the holder and may send now.
    fn send_report(&mut self) {
        let now = self.now;
        let Some(settings) = &self.settings.usage else { return };
        let Some(register) = self.usage.register() else { return };
        let is_holder = register.holder.0 == settings.holder && register.process == self.settings.node;
        if !is_holder
            || register.fence == self.usage.refused_fence
            || self.usage.sent_window.is_some()
            || now < self.usage.send_due.max(self.usage.barred_until)
        {
            return;
        }
        let Some(report) = register.undelivered(self.usage.delivered_below).cloned() else { return };
        let fence = register.fence;
        if !self.spend_report_operation() {
            return;
        }
        self.usage.sent_window = Some(report.window);
        self.usage.last_operation_at = now;
        self.emit(Action::ReportUsage { report, fence });
    }

    /// Handles the result of a report to the platform.
    pub(crate) fn usage_reported(&mut self, window: u64, fence: u64, result: UsageResult) {
        let now = self.now;
        self.usage.sent_window = None;
        self.usage.last_operation_at = now;
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
                self.usage.send_due = now + SEND_RETRY_PAUSE;
            }
            UsageResult::Unknown => self.usage.send_due = now + SEND_RETRY_PAUSE,
        }
    }

    /// The time since the end of the newest window whose report was accepted from this node.
    pub(crate) fn usage_report_age(&self, now: Micros) -> Option<Micros> {
        let ended_at = self.usage_length()?.end_of(self.usage.newest_delivered?);
        self.usage.clock.unix(now).map(|unix| unix - ended_at)
    }
}

fn total(counts: &List<peer_messages::TenantCount>) -> u64 {
    counts.0.iter().map(|reported| u64::from(reported.count)).sum()
}
