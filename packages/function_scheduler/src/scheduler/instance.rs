//! One cell of a function: how far it is, and what is learnt from how its calls end.

use crate::{NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN};
use monotonic_clock::Micros;
use std::net::SocketAddr;

/// After a turn-away a cell is held to the calls it has; twice as long with each further one.
pub(super) const FIRST_HOLD: Micros = Micros::from_millis(600);
pub(super) const LONGEST_HOLD: Micros = Micros::from_millis(4_800);
/// A cell that does not run after this is broken, not slow.
const LONGEST_BOOT: Micros = Micros::from_secs(30);
pub(super) const TRIAL_BACKOFF: Micros = Micros::from_millis(150);
const LEAST_TRIAL_PAUSE: Micros = Micros::from_millis(40);
const MOST_TRIAL_PAUSE: Micros = Micros::from_millis(900);
pub(super) const REPLACE_AFTER_ERRORS: u32 = 6;
const SUSPECT_AFTER_ERRORS: u32 = 3;
const SUSPECT_SPAN: Micros = Micros::from_millis(500);

/// How far a cell is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Booting, or adopted without being known to run: one call goes first.
    Unproven {
        trial_at: Micros,
    },
    /// The first call is out.
    Trial,
    Ready,
    /// No new tickets; stopped once its calls are done.
    Draining {
        stop_sent: Option<Micros>,
    },
}

/// A cell as its function's steward knows it.
#[derive(Clone, Debug)]
pub(super) struct Instance {
    pub(super) address: SocketAddr,
    pub(super) worker: String,
    pub(super) phase: Phase,
    pub(super) in_flight: u32,
    pub(super) booted_from: Option<Micros>,
    pub(super) known_at: Micros,
    pub(super) listed: bool,
    pub(super) errors_in_row: u32,
    /// Held to so many calls until a time, after a turn-away; the next one holds it longer.
    pub(super) limit: u32,
    pub(super) limited_until: Micros,
    pub(super) hold: Micros,
}

/// A cell that runs after some time shows that booting takes no longer, however late it was first
/// called; a refused connection shows that it takes longer. The small step down lets the estimate
/// follow boots that became quicker, at the price of a rare early trial.
pub(super) fn learn_boot(learnt_boot: Micros, elapsed: Micros, outcome: u8) -> Micros {
    match outcome {
        RAN if elapsed < learnt_boot => elapsed,
        RAN => Micros(learnt_boot.0 - learnt_boot.0 / 200),
        NOT_RUN => learnt_boot.max((elapsed + TRIAL_BACKOFF).min(LONGEST_BOOT)),
        _ => learnt_boot,
    }
}

/// Follows the median: a step towards each sample, so that a few calls that stall do not make all
/// others look hopeless. A call that was given up on took at least as long as it was waited for;
/// without that, a crowd served at the end of its patience would never be seen to be too slow. Where
/// nothing but such ends come the steps grow.
pub(super) fn learn_latency(usual_latency: Micros, latency: Micros, outcome: u8, slow_in_row: u32) -> Micros {
    let step = (usual_latency.0 / 10 + 1) << slow_in_row.min(4);
    match outcome {
        RAN | UNKNOWN if latency > usual_latency => Micros((usual_latency.0 + step).min(latency.0)),
        RAN => Micros(usual_latency.0.saturating_sub(step).max(latency.0)),
        _ => usual_latency,
    }
}

/// Until a booting cell that refused is tried again: soon while it may come up any moment, the longer
/// the later it is.
pub(super) fn trial_pause(instance: &Instance, now: Micros) -> Micros {
    match instance.booted_from {
        Some(booted_from) => Micros((now - booted_from).0 / 12).clamp(LEAST_TRIAL_PAUSE, MOST_TRIAL_PAUSE),
        None => Micros(TRIAL_BACKOFF.0 * u64::from(instance.errors_in_row.min(6))),
    }
}

/// Learns from an outcome; true when the cell became known to run or ceased to be.
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
            let is_booting = matches!(instance.phase, Phase::Trial) && instance.booted_from.is_some();
            instance.phase = match instance.phase {
                Phase::Draining { stop_sent } => Phase::Draining { stop_sent },
                _ if instance.errors_in_row >= REPLACE_AFTER_ERRORS && !is_booting => {
                    Phase::Draining { stop_sent: None }
                }
                Phase::Trial if outcome == NOT_RUN => {
                    Phase::Unproven { trial_at: now + trial_pause(instance, now) }
                }
                _ if is_suspected => Phase::Unproven { trial_at: now + SUSPECT_SPAN },
                Phase::Trial => Phase::Unproven { trial_at: now },
                phase => phase,
            };
        }
        REFUSED_BUSY => {
            // Somebody else fills it. Dispatches that were out together count once.
            if now >= instance.limited_until {
                let is_long_ago = now >= instance.limited_until + LONGEST_HOLD;
                instance.hold =
                    if is_long_ago { FIRST_HOLD } else { Micros(instance.hold.0 * 2).min(LONGEST_HOLD) };
                instance.limited_until = now + instance.hold;
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
