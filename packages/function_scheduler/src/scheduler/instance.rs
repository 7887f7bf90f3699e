//! One instance of a function: its phase, and what is learnt from the outcomes of its calls.

use crate::{NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN};
use monotonic_clock::Micros;
use std::net::SocketAddr;

/// After a busy refusal an instance is limited to the calls it has for this long, doubled with each further
/// refusal.
pub(super) const FIRST_LIMIT_PERIOD: Micros = Micros::from_millis(600);
pub(super) const MAX_LIMIT_PERIOD: Micros = Micros::from_millis(4_800);
/// An instance that does not run after this time is treated as broken.
const MAX_BOOT: Micros = Micros::from_secs(30);
pub(super) const TRIAL_BACKOFF: Micros = Micros::from_millis(150);
const MIN_TRIAL_PAUSE: Micros = Micros::from_millis(40);
const MAX_TRIAL_PAUSE: Micros = Micros::from_millis(900);
pub(super) const REPLACE_AFTER_ERRORS: u32 = 6;
const SUSPECT_AFTER_ERRORS: u32 = 3;
const SUSPECT_PERIOD: Micros = Micros::from_millis(500);

/// The phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Booting, or adopted without being known to run. It gets a single trial call first.
    Unproven {
        trial_at: Micros,
    },
    /// The trial call is in progress.
    Trial,
    Ready,
    /// Gets no new permits; stopped once its calls are done.
    Draining {
        stop_sent: Option<Micros>,
    },
}

/// An instance as the function's leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Instance {
    pub(super) address: SocketAddr,
    pub(super) worker: String,
    pub(super) phase: Phase,
    pub(super) in_flight: u32,
    pub(super) boot_started_at: Option<Micros>,
    pub(super) first_seen_at: Micros,
    pub(super) listed: bool,
    pub(super) errors_in_row: u32,
    /// Limit on concurrent calls after a busy refusal, until `limited_until`, and the period of the last
    /// limit.
    pub(super) limit: u32,
    pub(super) limited_until: Micros,
    pub(super) limit_period: Micros,
}

/// Updates the estimated boot time. A response after some time shows that booting takes no longer than that,
/// however late the first call was; a refused connection shows that it takes longer. Otherwise the estimate
/// shrinks by a small step to follow boots that became faster, at the price of a rare early trial.
pub(super) fn updated_boot_estimate(boot_estimate: Micros, elapsed: Micros, outcome: u8) -> Micros {
    match outcome {
        RAN if elapsed < boot_estimate => elapsed,
        RAN => Micros(boot_estimate.0 - boot_estimate.0 / 200),
        NOT_RUN => boot_estimate.max((elapsed + TRIAL_BACKOFF).min(MAX_BOOT)),
        _ => boot_estimate,
    }
}

/// Updates the usual latency, following the median: one step towards each sample, so that a few stalled calls
/// do not make all others look hopeless. A call that timed out took at least as long as the caller waited;
/// without counting it, a function whose calls all run into their timeouts would never be seen to be too
/// slow. The steps grow while only timeouts occur.
pub(super) fn updated_latency(
    usual_latency: Micros,
    latency: Micros,
    outcome: u8,
    slow_in_row: u32,
) -> Micros {
    let step = (usual_latency.0 / 10 + 1) << slow_in_row.min(4);
    match outcome {
        RAN | UNKNOWN if latency > usual_latency => Micros((usual_latency.0 + step).min(latency.0)),
        RAN => Micros(usual_latency.0.saturating_sub(step).max(latency.0)),
        _ => usual_latency,
    }
}

/// The pause before the next trial of a booting instance that refused the connection: short at first, while
/// it may come up at any moment, and longer the longer it has been booting.
pub(super) fn trial_pause(instance: &Instance, now: Micros) -> Micros {
    match instance.boot_started_at {
        Some(boot_started_at) => {
            Micros((now - boot_started_at).0 / 12).clamp(MIN_TRIAL_PAUSE, MAX_TRIAL_PAUSE)
        }
        None => Micros(TRIAL_BACKOFF.0 * u64::from(instance.errors_in_row.min(6))),
    }
}

/// Updates an instance from a call's outcome; returns whether it became ready or ceased to be.
pub(super) fn apply_outcome(instance: &mut Instance, outcome: u8, now: Micros) -> bool {
    let was_ready = instance.phase == Phase::Ready;
    match outcome {
        RAN => {
            instance.errors_in_row = 0;
            if !matches!(instance.phase, Phase::Draining { .. }) {
                instance.phase = Phase::Ready;
            }
        }
        NOT_RUN | UNKNOWN => {
            instance.errors_in_row += 1;
            let is_suspected = outcome == NOT_RUN || instance.errors_in_row >= SUSPECT_AFTER_ERRORS;
            let is_booting = matches!(instance.phase, Phase::Trial) && instance.boot_started_at.is_some();
            instance.phase = match instance.phase {
                Phase::Draining { stop_sent } => Phase::Draining { stop_sent },
                _ if instance.errors_in_row >= REPLACE_AFTER_ERRORS && !is_booting => {
                    Phase::Draining { stop_sent: None }
                }
                Phase::Trial if outcome == NOT_RUN => {
                    Phase::Unproven { trial_at: now + trial_pause(instance, now) }
                }
                _ if is_suspected => Phase::Unproven { trial_at: now + SUSPECT_PERIOD },
                Phase::Trial => Phase::Unproven { trial_at: now },
                phase => phase,
            };
        }
        REFUSED_BUSY => {
            // Another sender uses this instance as well. Refusals of calls dispatched together count once.
            if now >= instance.limited_until {
                let is_long_ago = now >= instance.limited_until + MAX_LIMIT_PERIOD;
                instance.limit_period = if is_long_ago {
                    FIRST_LIMIT_PERIOD
                } else {
                    Micros(instance.limit_period.0 * 2).min(MAX_LIMIT_PERIOD)
                };
                instance.limited_until = now + instance.limit_period;
            }
            instance.limit = instance.in_flight;
            if instance.phase == Phase::Trial {
                instance.phase = Phase::Unproven { trial_at: now + TRIAL_BACKOFF };
            }
        }
        _ => {
            if instance.phase == Phase::Trial {
                instance.phase = Phase::Unproven { trial_at: now };
            }
        }
    }
    was_ready != (instance.phase == Phase::Ready)
}
