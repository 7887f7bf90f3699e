//! What a planned stop means for calls: none is held past the time that the process has left.

use monotonic_clock::{Micros, MonotonicClock};
use std::time::Duration;
use tokio::sync::watch;

/// The part of a stop's time kept for answers to leave, and its bounds: a busy machine needs a while to write them.
const RESPONSES_LEAVE_SHARE: u32 = 10;
const RESPONSES_LEAVE_AT_LEAST: Duration = Duration::from_millis(50);
const RESPONSES_LEAVE_AT_MOST: Duration = Duration::from_millis(500);

/// When calls end at the latest on a node that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StopDeadlines {
    /// From then on no call is sent to a cell: those that wait for a ticket are refused.
    dispatch_until: Micros,
    /// From then on no cell is waited for: calls at a cell get an answer of unknown fate.
    response_until: Micros,
}

impl StopDeadlines {
    /// The first half of a stop may still begin work, the second half is for work to end.
    fn of_a_stop(began: Micros, within: Duration) -> StopDeadlines {
        let leave = (within / RESPONSES_LEAVE_SHARE).clamp(RESPONSES_LEAVE_AT_LEAST, RESPONSES_LEAVE_AT_MOST);
        let after = |span: Duration| began + Micros(span.as_micros() as u64);
        StopDeadlines {
            dispatch_until: after(within / 2),
            response_until: after(within.saturating_sub(leave)),
        }
    }
}

/// Whether the node stops, and what calls wait on to hear of it.
#[derive(Debug)]
pub(super) struct PlannedStop(watch::Sender<Option<StopDeadlines>>);

impl PlannedStop {
    pub(super) fn none_yet() -> PlannedStop {
        PlannedStop(watch::Sender::new(None))
    }

    /// The stop begins, and the process ends within this time. A second word changes nothing.
    pub(super) fn begin(&self, now: Micros, within: Duration) {
        self.0.send_if_modified(|deadlines| {
            let is_first = deadlines.is_none();
            deadlines.get_or_insert(StopDeadlines::of_a_stop(now, within));
            is_first
        });
    }

    pub(super) fn has_begun(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns when no call may be sent to a cell any more.
    pub(super) async fn dispatch_is_over(&self, clock: &MonotonicClock) {
        self.reached(clock, |deadlines| deadlines.dispatch_until).await;
    }

    /// Returns when no cell may be waited for any more.
    pub(super) async fn responses_are_due(&self, clock: &MonotonicClock) {
        self.reached(clock, |deadlines| deadlines.response_until).await;
    }

    async fn reached(&self, clock: &MonotonicClock, deadline: impl Fn(&StopDeadlines) -> Micros) {
        let mut reported = self.0.subscribe();
        let until = match reported.wait_for(Option::is_some).await {
            Ok(deadlines) => deadlines.as_ref().map(&deadline),
            Err(_) => None,
        };
        match until {
            Some(until) => tokio::time::sleep((until - clock.now()).duration()).await,
            None => std::future::pending().await,
        }
    }
}
