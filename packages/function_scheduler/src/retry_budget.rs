use monotonic_clock::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Fleet-wide limit on the retries of one function (dispatches beyond each call's first): in any sliding
/// window a share of the calls plus a fixed number.
/// Example: `RetryLimits::default().fixed == 60`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub fixed: u64,
    /// The window's length.
    pub window: Micros,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { ratio: 0.2, fixed: 60, window: Micros::from_secs(10) }
    }
}

/// Granularity in which grants are counted.
const STEP: Micros = Micros::from_millis(250);
/// A dispatch reaches its instance within four steps of its grant; one more step allows for the rounding of
/// times to steps.
const LATE_STEPS: u64 = 5;
/// A smaller known fleet is taken for part of a larger one: during a partition or just after a start, a node
/// does not know all members.
const MIN_NODE_COUNT: u64 = 10;

impl RetryLimits {
    /// The window plus the longest delay between a grant and its dispatch.
    /// Example: `RetryLimits::default().span()` is 11.25 seconds.
    pub fn span(&self) -> Micros {
        self.window + Micros(STEP.0 * LATE_STEPS)
    }

    /// All fallback schedulers together get a third of the fixed number.
    fn fallback_total(&self) -> u64 {
        self.fixed / 3
    }

    /// Retries that one node's fallback scheduler may grant within a span.
    /// Example: `RetryLimits::default().fallback_share(10) == 2`.
    pub fn fallback_share(&self, node_count: usize) -> usize {
        (self.fallback_total() / (node_count as u64).max(MIN_NODE_COUNT)) as usize
    }

    /// A leader's burst, and the number of further retries it may grant per microsecond. Each uses half of
    /// the leaders' part of the fixed number.
    fn leader_share(&self) -> (f64, f64) {
        let share = (self.fixed - self.fallback_total()) as f64;
        (share / 2.0, share / 2.0 / self.span().0.max(1) as f64)
    }
}

/// A leader's retry budget. From any moment on, a leader grants at most its burst, what has accrued since,
/// and its ratio of the calls first dispatched from then on that are known to have reached an instance. A new
/// leader starts without a burst: the previous leader may have used all of it, and both together must stay
/// within the limit for one leader.
///
/// Example: `budget.spend(now)` is false right after `RetryBudget::new(bound, now)`.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limits: RetryLimits,
    created_at: Micros,
    /// By step: calls first dispatched in it that reached an instance, and retries granted in it.
    steps: BTreeMap<u64, (u32, u32)>,
}

impl RetryBudget {
    pub(crate) fn new(limits: RetryLimits, now: Micros) -> RetryBudget {
        RetryBudget { limits, created_at: now, steps: BTreeMap::new() }
    }

    /// Whether the budget is still reduced by what the previous leader may have granted.
    pub(crate) fn is_in_first_window(&self, now: Micros) -> bool {
        now < self.created_at + self.limits.span()
    }

    /// Records that a call, first dispatched with a grant of that time, reached an instance.
    pub(crate) fn record_call(&mut self, granted_at: Micros) {
        self.steps.entry(granted_at.0 / STEP.0).or_default().0 += 1;
    }

    /// Gives back a retry granted at that time that never reached an instance.
    pub(crate) fn refund_retry(&mut self, granted_at: Micros) {
        if let Some((_, retries)) = self.steps.get_mut(&(granted_at.0 / STEP.0)) {
            *retries = retries.saturating_sub(1);
        }
    }

    /// Whether one more retry is within the limit of every window that ends from now on.
    pub(crate) fn may_spend(&mut self, now: Micros) -> bool {
        let span = self.limits.span();
        self.steps.retain(|step, _| now < Micros(step * STEP.0) + span);
        let (full_burst, per_micro) = self.limits.leader_share();
        let allowed_since = |since: Micros| {
            let includes_creation = since <= self.created_at;
            let since = since.max(self.created_at);
            let burst = if includes_creation { 0.0 } else { full_burst };
            burst + (now - since).0 as f64 * per_micro
        };
        let calls_from = |step: u64| -> u32 { self.steps.range(step..).map(|(_, (calls, _))| calls).sum() };
        let first_step = now.0.saturating_sub(span.0) / STEP.0;
        let creation_step = self.created_at.0 / STEP.0;
        let mut starts: Vec<u64> =
            self.steps.iter().filter(|(_, (_, retries))| *retries > 0).map(|(step, _)| *step).collect();
        starts.push(now.0 / STEP.0);
        starts.extend((creation_step >= first_step).then_some(creation_step));
        starts.into_iter().all(|start| {
            let retries: u32 = self.steps.range(start..).map(|(_, (_, retries))| retries).sum();
            let by_ratio = self.limits.ratio * f64::from(calls_from(start + LATE_STEPS));
            f64::from(retries + 1) <= allowed_since(Micros(start * STEP.0)) + by_ratio
        })
    }

    /// Grants a retry if the limit allows it. Example: at most 40 with the default limits and without any call.
    pub(crate) fn spend(&mut self, now: Micros) -> bool {
        let may_spend = self.may_spend(now);
        if may_spend {
            self.steps.entry(now.0 / STEP.0).or_default().1 += 1;
        }
        may_spend
    }
}

/// A fallback scheduler's retry budget: a number of retries per span, and none until grants of an earlier
/// process of this node are out of the window.
#[derive(Debug)]
pub(crate) struct FallbackRetryBudget {
    pub(crate) share: usize,
    pub(crate) span: Micros,
    pub(crate) opens_at: Micros,
    granted: VecDeque<Micros>,
}

impl FallbackRetryBudget {
    pub(crate) fn new(share: usize, span: Micros) -> FallbackRetryBudget {
        FallbackRetryBudget { share, span, opens_at: Micros(0), granted: VecDeque::new() }
    }

    pub(crate) fn spend(&mut self, now: Micros) -> bool {
        while self.granted.front().is_some_and(|granted_at| now >= *granted_at + self.span) {
            self.granted.pop_front();
        }
        let may_spend = now >= self.opens_at && self.granted.len() < self.share;
        if may_spend {
            self.granted.push_back(now);
        }
        may_spend
    }
}

#[cfg(test)]
mod tests;
