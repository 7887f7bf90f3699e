//! Usage reports at the simulated platform, and the nodes' wall clocks.

use crate::simulation::{Simulation, SimulationEvent};
use history_checker::Line;
use monotonic_clock::Micros;
use node_protocol::{Event, UsageResult, UsageSettings};
use peer_messages::UsageWindow;
use serde_json::{Value, json};

/// True time at the beginning of a simulation, in microseconds since 1970; inside a usage window.
const START_UNIX_MICROS: u64 = 1_700_000_001_700_000;
/// Interval at which nodes read their wall clock.
const WALL_CLOCK_INTERVAL_MICROS: u64 = 200_000;
/// A report without a response by then has an unknown result.
const RESPONSE_TIMEOUT_MICROS: u64 = 1_500_000;

/// Usage reporting in a simulated fleet. Example: `SimUsage::default().tenants == 3`.
#[derive(Clone, Debug)]
pub struct SimUsage {
    /// Number of tenants, named `tenant-N`; calls are assigned to them in turn.
    pub tenants: u64,
    /// Length of a usage window.
    pub window: Micros,
    /// How long after the end of its window a report is still accepted.
    pub delay: Micros,
    /// Length of the action lease.
    pub lease: Micros,
    /// Share of reports that are accepted and lose their response.
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

    /// The tenants in the configuration document.
    pub(crate) fn tenants_document(&self) -> Value {
        let names = (0..self.tenants)
            .map(|number| (format!("tenant-{number}"), json!({"keys": [format!("key-{number}")]})));
        Value::Object(names.collect())
    }
}

fn holder_name(number: usize) -> String {
    format!("node-{number}")
}

/// State of the platform's endpoint for usage reports.
#[derive(Debug, Default)]
pub(crate) struct UsageState {
    highest_fence: u64,
    down_until: u64,
    /// Added latency of a report on its way to the platform, in microseconds.
    extra_latency: u64,
}

impl Simulation {
    /// Makes the platform accept no reports for some seconds. Example: `simulation.platform_down(4.0)`.
    pub fn platform_down(&mut self, seconds: f64) {
        self.usage_state.down_until = self.now + (seconds * 1e6) as u64;
    }

    /// Adds latency to reports on their way to the platform. Example: `simulation.platform_slow(1.2)`.
    pub fn platform_slow(&mut self, seconds: f64) {
        self.usage_state.extra_latency = (seconds * 1e6) as u64;
    }

    /// Steps a node's wall clock by some seconds. Example: `simulation.step_clock(3, -7.5)`.
    pub fn step_clock(&mut self, number: usize, seconds: f64) {
        self.nodes[number].wall_step += (seconds * 1e6) as i64;
    }

    /// The first node that is up and acts as the usage collector. Example: `simulation.usage_collector()`.
    pub fn usage_collector(&self) -> Option<usize> {
        self.up().into_iter().find(|number| self.status(*number).is_some_and(|status| status.collects_usage))
    }

    /// The tenant of a call, if there are tenants.
    pub(crate) fn tenant_of(&self, call: u64) -> Option<String> {
        self.settings.usage.as_ref().map(|usage| format!("tenant-{}", call % usage.tenants))
    }

    pub(crate) fn record_usage_terms(&mut self) {
        let Some(usage) = self.settings.usage.clone() else { return };
        self.history(Line::UsageTerms {
            at: self.now,
            unix: START_UNIX_MICROS,
            window: usage.window.0,
            delay: usage.delay.0,
            lease: usage.lease.0,
        });
    }

    pub(crate) fn send_wall_clock(&mut self, number: usize, tick: u64) {
        if self.settings.usage.is_none()
            || self.now / WALL_CLOCK_INTERVAL_MICROS
                == (self.now - tick.min(self.now)) / WALL_CLOCK_INTERVAL_MICROS
        {
            return;
        }
        let unix = Micros((START_UNIX_MICROS + self.now).saturating_add_signed(self.nodes[number].wall_step));
        self.deliver_event(number, Event::WallClock { unix });
    }

    pub(crate) fn report_usage(&mut self, number: usize, incarnation: u64, report: UsageWindow, fence: u64) {
        if self.nodes[number].is_isolated {
            self.usage_answered(
                (number, incarnation),
                report.window,
                fence,
                UsageResult::Unknown,
                RESPONSE_TIMEOUT_MICROS,
            );
            return;
        }
        // A report in flight arrives even if its sender has ended meanwhile.
        let span = self.network_latency() + self.usage_state.extra_latency;
        self.schedule_after(span, SimulationEvent::UsageArrives { node: number, incarnation, report, fence });
    }

    pub(crate) fn usage_arrives(&mut self, number: usize, incarnation: u64, report: UsageWindow, fence: u64) {
        let sender = (number, incarnation);
        if self.usage_state.down_until > self.now {
            self.usage_answered(sender, report.window, fence, UsageResult::Unknown, RESPONSE_TIMEOUT_MICROS);
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
        let network_latency = self.network_latency();
        let (result, span) = match (is_lost, accepted) {
            (true, _) => (UsageResult::Unknown, RESPONSE_TIMEOUT_MICROS),
            (false, true) => (UsageResult::Accepted, network_latency),
            (false, false) => (UsageResult::Fenced, network_latency),
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
        self.schedule_after(span, SimulationEvent::NodeEvent { node, incarnation, event });
    }
}
