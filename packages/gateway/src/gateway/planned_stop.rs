//! Deadlines of calls during a planned stop: no call is held past the time that the process has left.

use monotonic_clock::{Micros, MonotonicClock};
use std::time::Duration;
use tokio::sync::watch;

/// The end of a stop, a tenth of its time within these bounds, is kept for writing the last responses: a busy
/// machine needs a while for that.
const RESPONSE_MARGIN_DIVISOR: u32 = 10;
const RESPONSE_MARGIN_MIN: Duration = Duration::from_millis(50);
const RESPONSE_MARGIN_MAX: Duration = Duration::from_millis(500);

/// The latest times for calls on a node that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StopDeadlines {
    /// From then on no call is sent to an instance, and calls that wait for a permit are refused.
    dispatch_deadline: Micros,
    /// From then on no instance is waited for: calls at an instance get a response with the outcome
    /// `unknown`.
    response_deadline: Micros,
}

impl StopDeadlines {
    /// Work may still begin in the first half of a stop; the second half is for it to end.
    fn for_stop(began: Micros, within: Duration) -> StopDeadlines {
        let response_margin =
            (within / RESPONSE_MARGIN_DIVISOR).clamp(RESPONSE_MARGIN_MIN, RESPONSE_MARGIN_MAX);
        let after = |span: Duration| began + Micros(span.as_micros() as u64);
        StopDeadlines {
            dispatch_deadline: after(within / 2),
            response_deadline: after(within.saturating_sub(response_margin)),
        }
    }
}

/// Whether the node stops; calls subscribe to it.
#[derive(Debug)]
pub(super) struct PlannedStop(watch::Sender<Option<StopDeadlines>>);

impl PlannedStop {
    pub(super) fn new() -> PlannedStop {
        PlannedStop(watch::Sender::new(None))
    }

    /// Begins the stop of a process that ends within this time. A second call changes nothing.
    pub(super) fn begin(&self, now: Micros, within: Duration) {
        self.0.send_if_modified(|deadlines| {
            let is_first = deadlines.is_none();
            deadlines.get_or_insert(StopDeadlines::for_stop(now, within));
            is_first
        });
    }

    pub(super) fn has_begun(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Waits until no call may be sent to an instance any more.
    pub(super) async fn wait_for_dispatch_deadline(&self, clock: &MonotonicClock) {
        self.wait_until(clock, |deadlines| deadlines.dispatch_deadline).await;
    }

    /// Waits until no instance may be waited for any more.
    pub(super) async fn wait_for_response_deadline(&self, clock: &MonotonicClock) {
        self.wait_until(clock, |deadlines| deadlines.response_deadline).await;
    }

    async fn wait_until(&self, clock: &MonotonicClock, deadline: impl Fn(&StopDeadlines) -> Micros) {
        let mut deadlines_receiver = self.0.subscribe();
        let until = match deadlines_receiver.wait_for(Option::is_some).await {
            Ok(deadlines) => deadlines.as_ref().map(&deadline),
            Err(_) => None,
        };
        match until {
            Some(until) => tokio::time::sleep((until - clock.now()).duration()).await,
            None => std::future::pending().await,
        }
    }
}
