//! How many calls are under way, by what they wait for.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Calls under way at one moment. Example: `gateway.open_calls_by_stage().at_instance`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCalls {
    /// All of them: those whose request is read or whose answer leaves are in neither count below.
    pub all: usize,
    /// Asked for a ticket and got none yet: they reached no cell in this try.
    pub awaiting_permit: usize,
    /// A cell was sent the call, or is being connected to.
    pub at_instance: usize,
}

impl fmt::Display for OpenCalls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OpenCalls { all, awaiting_permit, at_instance } = self;
        write!(
            formatter,
            "{all} calls open ({awaiting_permit} wait for a ticket, {at_instance} are at a cell)"
        )
    }
}

/// Calls in one stage. A call leaves it when its place is dropped, however it ends.
#[derive(Debug, Default)]
pub(super) struct StageCount(AtomicUsize);

impl StageCount {
    pub(super) fn enter(self: &Arc<Self>) -> StagePlace {
        self.0.fetch_add(1, Ordering::Relaxed);
        StagePlace(self.clone())
    }

    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// One call's place in a stage.
pub(super) struct StagePlace(Arc<StageCount>);

impl Drop for StagePlace {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
