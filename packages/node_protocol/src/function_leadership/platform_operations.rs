//! Starts and stops on their way to the platform: their order, the start rate, and what their answers mean.

use crate::node::Node;
use crate::{Action, StartResult, StopResult};
use function_scheduler::{StartOutcome, Zone};
use monotonic_clock::Micros;
use serde_json::json;

const START_TRIES: u32 = 4;
/// Where that many workers had no room a start waits for stops rather than for luck.
const ROOM_TRIES: u32 = 2;
/// Stops wait behind starts for no longer than this.
const STOP_TIMEOUT: Micros = Micros::from_secs(2);
/// After a start found no room memory counts as short for so long.
const SHORT_SPAN: Micros = Micros::from_secs(3);
const NO_ROOM_REPORT_INTERVAL: Micros = Micros::from_secs(5);

#[derive(Debug)]
pub(super) struct WaitingStart {
    pub(super) function: String,
    pub(super) start_id: String,
    pub(super) worker: Option<String>,
    /// Where it had better go.
    pub(super) zone: Zone,
    pub(super) tries: u32,
    /// The epoch under which it was sent last.
    pub(super) sent_under: Option<u64>,
}

#[derive(Debug)]
pub(super) struct WaitingStop {
    pub(super) function: String,
    pub(super) instance: String,
    pub(super) since: Micros,
}

impl Node {
    /// Starts before stops, as far as the start rate goes, and only under a standing term: a call may wait
    /// for a start. Where memory is short starts wait for the room that stops make, and they take turns, as
    /// they do when stops waited for long. What nobody called yet is started with what acts are left.
    pub(super) fn serve_platform(&mut self) {
        let now = self.now;
        self.leadership.action_guard.tick(now);
        loop {
            let oldest_stop = self.leadership.stops.front().map(|stop| stop.since);
            let is_stop_late = oldest_stop.is_some_and(|since| now >= since + STOP_TIMEOUT);
            let takes_turns = is_stop_late || now < self.leadership.short_until;
            let is_done = match takes_turns && self.leadership.is_stop_turn {
                true => self.serve_stop() || self.serve_start(),
                false => self.serve_start() || self.serve_stop(),
            };
            if !is_done {
                break;
            }
        }
        if self.leadership.starts.is_empty() && self.leadership.stops.is_empty() {
            std::mem::swap(&mut self.leadership.starts, &mut self.leadership.spare_starts);
            self.serve_start();
            std::mem::swap(&mut self.leadership.starts, &mut self.leadership.spare_starts);
        }
    }

    /// Sends the first start that waits; false if none does, or the start rate allows none now.
    fn serve_start(&mut self) -> bool {
        let now = self.now;
        while let Some(place) = self.free_place(self.leadership.starts.iter().map(|start| &start.function)) {
            let Some(start) = self.leadership.starts.get(place) else { return false };
            let function = start.function.clone();
            let term = self.leadership.election.term(&function, now);
            let memory_mb =
                self.configuration.current().functions.get(&function).map(|found| found.instance_memory_mb);
            let (Some(leader_epoch), Some(memory_mb)) = (term, memory_mb) else {
                self.leadership.starts.remove(place);
                continue;
            };
            let picked_worker = match &start.worker {
                Some(worker) => Some(worker.clone()),
                None => {
                    let work = self.leadership.works.get(&function);
                    let is_first = work.is_some_and(|work| !work.has_instances());
                    self.leadership.placement.pick(memory_mb, &start.start_id, is_first, start.zone, now)
                }
            };
            let Some(worker) = picked_worker else {
                let Some(start) = self.leadership.starts.remove(place) else { return false };
                self.end_start(&start, StartOutcome::NoRoom);
                continue;
            };
            if !self.leadership.rate.spend(now) {
                if let Some(start) = self.leadership.starts.get_mut(place) {
                    start.worker = Some(worker);
                }
                return false;
            }
            let Some(mut start) = self.leadership.starts.remove(place) else { return false };
            start.worker = Some(worker.clone());
            start.tries += 1;
            start.sent_under = Some(leader_epoch);
            self.leadership.action_guard.operation_sent(&function, leader_epoch, now);
            let start_id = start.start_id.clone();
            self.leadership.starts_out.insert(start_id.clone(), start);
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

    /// Sends the first stop that waits; false if none does, or the start rate allows none now.
    fn serve_stop(&mut self) -> bool {
        let now = self.now;
        while let Some(place) = self.free_place(self.leadership.stops.iter().map(|stop| &stop.function)) {
            let Some(stop) = self.leadership.stops.get(place) else { return false };
            let Some(leader_epoch) = self.leadership.election.term(&stop.function, now) else {
                self.leadership.stops.remove(place);
                continue;
            };
            if !self.leadership.rate.spend(now) {
                return false;
            }
            let Some(WaitingStop { function, instance, .. }) = self.leadership.stops.remove(place) else {
                return false;
            };
            self.leadership.action_guard.operation_sent(&function, leader_epoch, now);
            self.decision_log.append("stop", json!({"function": function, "cell": instance}), now);
            self.leadership.stops_out.insert(instance.clone(), function);
            self.emit(Action::Stop { instance, leader_epoch });
            self.leadership.is_stop_turn = false;
            return true;
        }
        false
    }

    /// Takes one act of this node's part of the platform's rate for a report, ahead of starts and stops.
    pub(crate) fn spend_report_operation(&mut self) -> bool {
        self.leadership.rate.spend_ahead(self.now)
    }

    /// The platform took an act.
    pub(crate) fn operation_accepted(&mut self) {
        self.leadership.rate.accepted();
    }

    /// The platform turned an act away: too many in a second.
    pub(crate) fn operation_throttled(&mut self) {
        self.leadership.rate.throttled(self.now);
    }

    /// The first of what waits whose function this node may act for by now.
    fn free_place<'names>(&self, mut functions: impl Iterator<Item = &'names String>) -> Option<usize> {
        let (guard, now) = (&self.leadership.action_guard, self.now);
        functions.position(|function| !guard.is_barred(function, now))
    }

    fn end_start(&mut self, start: &WaitingStart, outcome: StartOutcome) {
        let now = self.now;
        if outcome == StartOutcome::NoRoom {
            self.leadership.short_until = now + SHORT_SPAN;
            // Told once in a while, however often it is tried.
            let reported = self.leadership.no_room_reported.get(&start.function);
            if reported.is_none_or(|reported_at| now >= *reported_at + NO_ROOM_REPORT_INTERVAL) {
                self.leadership.no_room_reported.insert(start.function.clone(), now);
                self.decision_log.append("no_room", json!({"function": start.function}), now);
            }
        }
        if let Some(work) = self.leadership.works.get_mut(&start.function) {
            work.started(&start.start_id, outcome, now);
        }
    }

    pub(crate) fn start_done(&mut self, start_id: &str, result: StartResult) {
        let now = self.now;
        let Some(mut start) = self.leadership.starts_out.remove(start_id) else { return };
        self.leadership.action_guard.operation_answered(&start.function, now);
        let worker = start.worker.clone().unwrap_or_default();
        let is_term_over = self.leadership.election.term(&start.function, now) != start.sent_under;
        match result {
            // The platform may have refused the fence rather than the worker, and nobody here waits for the start.
            StartResult::NoRoom | StartResult::Unknown if is_term_over => {}
            StartResult::Started { instance, address } => {
                self.leadership.rate.accepted();
                self.end_start(&start, StartOutcome::Started { instance, address, worker });
            }
            StartResult::NoRoom => {
                let configuration = self.configuration.current();
                let memory_mb =
                    configuration.functions.get(&start.function).map_or(0, |f| f.instance_memory_mb);
                self.leadership.placement.refused(&worker, memory_mb, now);
                if start.tries >= ROOM_TRIES {
                    self.end_start(&start, StartOutcome::NoRoom);
                    return;
                }
                start.worker = None;
                self.leadership.starts.push_front(start);
            }
            StartResult::Throttled => {
                self.leadership.rate.throttled(now);
                self.decision_log.append("throttled", json!({"function": start.function}), now);
                start.tries = start.tries.saturating_sub(1);
                if !is_term_over {
                    self.leadership.starts.push_front(start);
                }
            }
            StartResult::Unknown => {
                if start.tries >= START_TRIES {
                    self.end_start(&start, StartOutcome::NoRoom);
                    return;
                }
                // The same id at the same worker: the platform starts it once.
                self.leadership.starts.push_back(start);
            }
        }
    }

    pub(crate) fn stop_done(&mut self, instance: &str, result: StopResult) {
        if let Some(function) = self.leadership.stops_out.remove(instance) {
            self.leadership.action_guard.operation_answered(&function, self.now);
        }
        if result == StopResult::Throttled {
            self.leadership.rate.throttled(self.now);
            self.decision_log.append("throttled", json!({"cell": instance}), self.now);
        }
        // A stop that did not take is asked for again by the function's work.
    }
}
