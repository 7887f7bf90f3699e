//! Counts of open calls by stage.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Open calls at one moment. Example: `gateway.open_calls_by_stage().at_instance`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCalls {
    /// All open calls. Those whose request is being read or whose response is being sent are in neither count
    /// below.
    pub all: usize,
    /// Calls that requested a permit and have none yet: in this attempt they reached no instance.
    pub awaiting_permit: usize,
    /// Calls that were sent to an instance, or whose connection to it is being opened.
    pub at_instance: usize,
}

impl fmt::Display for OpenCalls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OpenCalls { all, awaiting_permit, at_instance } = self;
        write!(
            formatter,
            "{all} open calls ({awaiting_permit} waiting for a permit, {at_instance} at an instance)"
        )
    }
}

/// The number of calls in one stage. A call leaves the stage when its [`StageGuard`] is dropped.
#[derive(Debug, Default)]
pub(super) struct StageCount(AtomicUsize);

impl StageCount {
    pub(super) fn enter(self: &Arc<Self>) -> StageGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        StageGuard(self.clone())
    }

    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// One call's place in a stage.
pub(super) struct StageGuard(Arc<StageCount>);

impl Drop for StageGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
