//! Starts and stops at the platform: their order, the rate limit, and the handling of the responses.

use crate::node::Node;
use crate::{Action, StartResult, StopResult};
use function_scheduler::{StartOutcome, Zone};
use monotonic_clock::Micros;
use serde_json::json;

const START_ATTEMPTS: u32 = 4;
/// After this many workers without room a start waits for stops to free room instead of trying further workers.
const NO_ROOM_ATTEMPTS: u32 = 2;
/// Stops wait behind starts for at most this long.
const STOP_MAX_DELAY: Micros = Micros::from_secs(2);
/// After a start without room, memory counts as short for this long.
const MEMORY_SHORT_SPAN: Micros = Micros::from_secs(3);
const NO_ROOM_REPORT_INTERVAL: Micros = Micros::from_secs(5);

#[derive(Debug)]
pub(super) struct QueuedStart {
    pub(super) function: String,
    pub(super) start_id: String,
    pub(super) worker: Option<String>,
    /// The preferred zone.
    pub(super) zone: Zone,
    pub(super) attempts: u32,
    /// The leader epoch under which it was last sent.
    pub(super) sent_epoch: Option<u64>,
}

#[derive(Debug)]
pub(super) struct QueuedStop {
    pub(super) function: String,
    pub(super) instance: String,
    pub(super) since: Micros,
}

impl Node {
    /// Sends queued starts and stops within the rate limit and only under a valid term. Starts come first, since
    /// calls may wait for them. The two alternate if memory is short, since starts then need the room that stops
    /// free, and if a stop has waited for long. Spare starts get the operations that are left over.
    pub(super) fn send_platform_operations(&mut self) {
        let now = self.now;
        self.leadership.action_guard.tick(now);
        loop {
            let oldest_stop = self.leadership.queued_stops.front().map(|stop| stop.since);
            let is_stop_late = oldest_stop.is_some_and(|since| now >= since + STOP_MAX_DELAY);
            let is_alternating = is_stop_late || now < self.leadership.memory_short_until;
            let is_sent = match is_alternating && self.leadership.is_stop_turn {
                true => self.send_next_stop() || self.send_next_start(),
                false => self.send_next_start() || self.send_next_stop(),
            };
            if !is_sent {
                break;
            }
        }
        if self.leadership.queued_starts.is_empty() && self.leadership.queued_stops.is_empty() {
            std::mem::swap(&mut self.leadership.queued_starts, &mut self.leadership.queued_spare_starts);
            self.send_next_start();
            std::mem::swap(&mut self.leadership.queued_starts, &mut self.leadership.queued_spare_starts);
        }
    }

    /// Sends the next queued start; `false` if there is none or the rate limit does not allow one now.
    fn send_next_start(&mut self) -> bool {
        let now = self.now;
        while let Some(index) =
            self.first_unbarred(self.leadership.queued_starts.iter().map(|start| &start.function))
        {
            let Some(start) = self.leadership.queued_starts.get(index) else { return false };
            let function = start.function.clone();
            let term = self.leadership.election.term(&function, now);
            let memory_mb = self
                .configuration
                .current()
                .functions
                .get(&function)
                .map(|function| function.instance_memory_mb);
            let (Some(leader_epoch), Some(memory_mb)) = (term, memory_mb) else {
                self.leadership.queued_starts.remove(index);
                continue;
            };
            let picked_worker = match &start.worker {
                Some(worker) => Some(worker.clone()),
                None => {
                    let scheduler = self.leadership.schedulers.get(&function);
                    let is_first = scheduler.is_some_and(|scheduler| !scheduler.has_instances());
                    self.leadership.placement.pick(memory_mb, &start.start_id, is_first, start.zone, now)
                }
            };
            let Some(worker) = picked_worker else {
                let Some(start) = self.leadership.queued_starts.remove(index) else { return false };
                self.finish_start(&start, StartOutcome::NoRoom);
                continue;
            };
            if !self.leadership.rate.spend(now) {
                if let Some(start) = self.leadership.queued_starts.get_mut(index) {
                    start.worker = Some(worker);
                }
                return false;
            }
            let Some(mut start) = self.leadership.queued_starts.remove(index) else { return false };
            start.worker = Some(worker.clone());
            start.attempts += 1;
            start.sent_epoch = Some(leader_epoch);
            self.leadership.action_guard.operation_sent(&function, leader_epoch, now);
            let start_id = start.start_id.clone();
            self.leadership.pending_starts.insert(start_id.clone(), start);
            self.decision_log.append(
                "start",
                json!({"function": function, "worker": worker, "start_id": start_id}),
                now,
            );
            self.emit(Action::Start { start_id, function, worker, memory_mb, leader_epoch });
            self.leadership.is_stop_turn = true;
            return true;
        }
        false
    }

    /// Sends the next queued stop; `false` if there is none or the rate limit does not allow one now.
    fn send_next_stop(&mut self) -> bool {
        let now = self.now;
        while let Some(index) =
            self.first_unbarred(self.leadership.queued_stops.iter().map(|stop| &stop.function))
        {
            let Some(stop) = self.leadership.queued_stops.get(index) else { return false };
            let Some(leader_epoch) = self.leadership.election.term(&stop.function, now) else {
                self.leadership.queued_stops.remove(index);
                continue;
            };
            if !self.leadership.rate.spend(now) {
                return false;
            }
            let Some(QueuedStop { function, instance, .. }) = self.leadership.queued_stops.remove(index)
            else {
                return false;
            };
            self.leadership.action_guard.operation_sent(&function, leader_epoch, now);
            self.decision_log.append("stop", json!({"function": function, "cell": instance}), now);
            self.leadership.pending_stops.insert(instance.clone(), function);
            self.emit(Action::Stop { instance, leader_epoch });
            self.leadership.is_stop_turn = false;
            return true;
        }
        false
    }

    /// Spends one operation of this node's share of the platform's rate on a usage report, ahead of starts and stops.
    pub(crate) fn spend_report_operation(&mut self) -> bool {
        self.leadership.rate.spend_ahead(self.now)
    }

    /// The platform accepted an operation.
    pub(crate) fn operation_accepted(&mut self) {
        self.leadership.rate.record_accepted();
    }

    /// The platform throttled an operation: its rate limit was exceeded.
    pub(crate) fn operation_throttled(&mut self) {
        self.leadership.rate.record_throttled(self.now);
    }

    /// The index of the first function that the action guard does not bar.
    fn first_unbarred<'names>(&self, mut functions: impl Iterator<Item = &'names String>) -> Option<usize> {
        let (guard, now) = (&self.leadership.action_guard, self.now);
        functions.position(|function| !guard.is_barred(function, now))
    }

    fn finish_start(&mut self, start: &QueuedStart, outcome: StartOutcome) {
        let now = self.now;
        if outcome == StartOutcome::NoRoom {
            self.leadership.memory_short_until = now + MEMORY_SHORT_SPAN;
            // Logged at most once per interval for each function.
            let reported = self.leadership.no_room_reported.get(&start.function);
            if reported.is_none_or(|reported_at| now >= *reported_at + NO_ROOM_REPORT_INTERVAL) {
                self.leadership.no_room_reported.insert(start.function.clone(), now);
                self.decision_log.append("no_room", json!({"function": start.function}), now);
            }
        }
        if let Some(scheduler) = self.leadership.schedulers.get_mut(&start.function) {
            scheduler.handle_start_outcome(&start.start_id, outcome, now);
        }
    }

    pub(crate) fn start_done(&mut self, start_id: &str, result: StartResult) {
        let now = self.now;
        let Some(mut start) = self.leadership.pending_starts.remove(start_id) else { return };
        self.leadership.action_guard.operation_answered(&start.function, now);
        let worker = start.worker.clone().unwrap_or_default();
        let is_term_over = self.leadership.election.term(&start.function, now) != start.sent_epoch;
        match result {
            // The platform may have refused the fence rather than the worker, and the start is no longer needed here.
            StartResult::NoRoom | StartResult::Unknown if is_term_over => {}
            StartResult::Started { instance, address } => {
                self.leadership.rate.record_accepted();
                self.finish_start(&start, StartOutcome::Started { instance, address, worker });
            }
            StartResult::NoRoom => {
                let configuration = self.configuration.current();
                let memory_mb =
                    configuration.functions.get(&start.function).map_or(0, |f| f.instance_memory_mb);
                self.leadership.placement.record_refusal(&worker, memory_mb, now);
                if start.attempts >= NO_ROOM_ATTEMPTS {
                    self.finish_start(&start, StartOutcome::NoRoom);
                    return;
                }
                start.worker = None;
                self.leadership.queued_starts.push_front(start);
            }
            StartResult::Throttled => {
                self.leadership.rate.record_throttled(now);
                self.decision_log.append("throttled", json!({"function": start.function}), now);
                start.attempts = start.attempts.saturating_sub(1);
                if !is_term_over {
                    self.leadership.queued_starts.push_front(start);
                }
            }
            StartResult::Unknown => {
                if start.attempts >= START_ATTEMPTS {
                    self.finish_start(&start, StartOutcome::NoRoom);
                    return;
                }
                // Retried with the same id at the same worker, which makes the start idempotent.
                self.leadership.queued_starts.push_back(start);
            }
        }
    }

    pub(crate) fn stop_done(&mut self, instance: &str, result: StopResult) {
        if let Some(function) = self.leadership.pending_stops.remove(instance) {
            self.leadership.action_guard.operation_answered(&function, self.now);
        }
        if result == StopResult::Throttled {
            self.leadership.rate.record_throttled(self.now);
            self.decision_log.append("throttled", json!({"cell": instance}), self.now);
        }
        // The function's scheduler repeats a stop that had no effect.
    }
}
