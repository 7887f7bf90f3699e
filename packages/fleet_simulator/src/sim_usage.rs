//! Reports of usage at the simulated platform, and the nodes' wall clocks.

use crate::simulation::{Simulation, SimulationEvent};
use history_checker::Line;
use monotonic_clock::Micros;
use node_protocol::{Event, UsageResult, UsageSettings};
use peer_messages::UsageWindow;
use serde_json::{Value, json};

/// True time at the beginning of a simulation, in microseconds since the start of 1970: amid a window.
const UNIX_AT_START: u64 = 1_700_000_001_700_000;
/// Nodes are told their wall clock this often.
const WALL_CLOCK_EVERY: u64 = 200_000;
/// A report's answer is given up after this.
const RESPONSE_WITHIN: u64 = 1_500_000;

/// Reports of usage in a simulated fleet. Example: `SimUsage::default().tenants == 3`.
#[derive(Clone, Debug)]
pub struct SimUsage {
    /// Tenants, named `tenant-N`; calls are theirs in turn.
    pub tenants: u64,
    /// The length of a window.
    pub window: Micros,
    /// Until so long after its window a report counts.
    pub delay: Micros,
    /// The lease of acts.
    pub lease: Micros,
    /// The share of reports that are taken and whose answer is lost.
    pub lost_responses: f64,
}

impl Default for SimUsage {
    fn default() -> SimUsage {
        SimUsage {
            tenants: 3,
            window: Micros::from_secs(5),
            delay: Micros::from_secs(10),
            lease: Micros::from_secs(3),
            lost_responses: 0.0,
        }
    }
}

impl SimUsage {
    pub(crate) fn settings_of(&self, number: usize) -> UsageSettings {
        UsageSettings {
            holder: holder_name(number),
            window: self.window,
            delay: self.delay,
            lease: self.lease,
        }
    }

    /// The document's group of tenants.
    pub(crate) fn tenants_document(&self) -> Value {
        let names = (0..self.tenants)
            .map(|number| (format!("tenant-{number}"), json!({"keys": [format!("key-{number}")]})));
        Value::Object(names.collect())
    }
}

fn holder_name(number: usize) -> String {
    format!("node-{number}")
}

/// The platform's desk for reports.
#[derive(Debug, Default)]
pub(crate) struct UsageState {
    highest_fence: u64,
    down_until: u64,
    /// What a report takes on its way there, beside the usual.
    slow_by: u64,
}

impl Simulation {
    /// The platform takes no reports for so many seconds. Example: `simulation.platform_down(4.0)`.
    pub fn platform_down(&mut self, seconds: f64) {
        self.usage_state.down_until = self.now + (seconds * 1e6) as u64;
    }

    /// Reports take so much longer on their way to the platform. Example: `simulation.platform_slow(1.2)`.
    pub fn platform_slow(&mut self, seconds: f64) {
        self.usage_state.slow_by = (seconds * 1e6) as u64;
    }

    /// A node's wall clock jumps by so many seconds. Example: `simulation.step_clock(3, -7.5)`.
    pub fn step_clock(&mut self, number: usize, seconds: f64) {
        self.nodes[number].wall_step += (seconds * 1e6) as i64;
    }

    /// The node that collects counts in the eyes of most, if it is up. Example: `simulation.usage_collector()`.
    pub fn usage_collector(&self) -> Option<usize> {
        self.up().into_iter().find(|number| self.status(*number).is_some_and(|status| status.collects_usage))
    }

    /// The tenant of a call, where there are tenants.
    pub(crate) fn tenant_of(&self, call: u64) -> Option<String> {
        self.settings.usage.as_ref().map(|usage| format!("tenant-{}", call % usage.tenants))
    }

    pub(crate) fn begin_usage(&mut self) {
        let Some(usage) = self.settings.usage.clone() else { return };
        self.history(Line::UsageTerms {
            at: self.now,
            unix: UNIX_AT_START,
            window: usage.window.0,
            delay: usage.delay.0,
            lease: usage.lease.0,
        });
    }

    pub(crate) fn send_wall_clock(&mut self, number: usize, tick: u64) {
        if self.settings.usage.is_none()
            || self.now / WALL_CLOCK_EVERY == (self.now - tick.min(self.now)) / WALL_CLOCK_EVERY
        {
            return;
        }
        let unix = Micros((UNIX_AT_START + self.now).saturating_add_signed(self.nodes[number].wall_step));
        self.deliver_event(number, Event::WallClock { unix });
    }

    pub(crate) fn report_usage(&mut self, number: usize, incarnation: u64, report: UsageWindow, fence: u64) {
        if self.nodes[number].is_isolated {
            self.usage_answered(
                (number, incarnation),
                report.window,
                fence,
                UsageResult::Unknown,
                RESPONSE_WITHIN,
            );
            return;
        }
        // What is on its way arrives also if its sender died meanwhile.
        let span = self.travel() + self.usage_state.slow_by;
        self.after(span, SimulationEvent::UsageArrives { node: number, incarnation, report, fence });
    }

    pub(crate) fn usage_arrives(&mut self, number: usize, incarnation: u64, report: UsageWindow, fence: u64) {
        let sender = (number, incarnation);
        if self.usage_state.down_until > self.now {
            self.usage_answered(sender, report.window, fence, UsageResult::Unknown, RESPONSE_WITHIN);
            return;
        }
        let accepted = fence >= self.usage_state.highest_fence;
        self.usage_state.highest_fence = self.usage_state.highest_fence.max(fence);
        let counts =
            report.counts.0.iter().map(|reported| (reported.tenant.0.clone(), reported.count)).collect();
        self.history(Line::UsageReported {
            at: self.now,
            holder: holder_name(number),
            fence,
            window: report.window,
            counts,
            accepted,
        });
        let lost_responses = self.settings.usage.as_ref().map_or(0.0, |usage| usage.lost_responses);
        let is_lost = lost_responses > 0.0 && self.rng.f64() < lost_responses;
        let travel = self.travel();
        let (result, span) = match (is_lost, accepted) {
            (true, _) => (UsageResult::Unknown, RESPONSE_WITHIN),
            (false, true) => (UsageResult::Accepted, travel),
            (false, false) => (UsageResult::Fenced, travel),
        };
        self.usage_answered(sender, report.window, fence, result, span);
    }

    fn usage_answered(
        &mut self,
        (node, incarnation): (usize, u64),
        window: u64,
        fence: u64,
        result: UsageResult,
        span: u64,
    ) {
        let event = Box::new(Event::UsageReported { window, fence, result });
        self.after(span, SimulationEvent::NodeEvent { node, incarnation, event });
    }
}
