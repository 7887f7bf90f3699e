use monotonic_clock::Micros;
use std::collections::{BTreeMap, VecDeque};

/// What the whole fleet may dispatch to one function beyond each call's first: in any sliding window a
/// share of the calls and a fixed part. Example: `RetryLimits::default().fixed == 60`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Extra dispatches for each call.
    pub ratio: f64,
    /// Extra dispatches besides those.
    pub fixed: u64,
    /// The window's length.
    pub window: Micros,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { ratio: 0.2, fixed: 60, window: Micros::from_secs(10) }
    }
}

/// Grants are counted in steps of this length.
const STEP: Micros = Micros::from_millis(250);
/// A dispatch reaches its cell within four steps of its grant, and a step is not told apart in itself.
const LATE_STEPS: u64 = 5;
/// A fleet smaller than this is taken for a part of one: beyond a cut or just started, a node does not
/// know them all.
const FEWEST_NODES: u64 = 10;

impl RetryLimits {
    /// The window with the time that a dispatch may be late by.
    /// Example: `RetryLimits::default().span()` is 11.25 seconds.
    pub fn span(&self) -> Micros {
        self.window + Micros(STEP.0 * LATE_STEPS)
    }

    /// A third of the fixed part is all deputies' together.
    fn fallbacks_share(&self) -> u64 {
        self.fixed / 3
    }

    /// What one node of so many may grant as deputy in a span.
    /// Example: `RetryLimits::default().fallback_share(10) == 2`.
    pub fn fallback_share(&self, node_count: usize) -> usize {
        (self.fallbacks_share() / (node_count as u64).max(FEWEST_NODES)) as usize
    }

    /// What a steward may grant at once, and the microseconds after which it may grant one more: the
    /// two halves of its part of the fixed part.
    fn leader_share(&self) -> (f64, f64) {
        let share = (self.fixed - self.fallbacks_share()) as f64;
        (share / 2.0, share / 2.0 / self.span().0.max(1) as f64)
    }
}

/// A steward's extra dispatches. From any moment on it grants at most what it may at once, what has
/// come in since, and its ratio of the calls that it dispatched first from then on and that surely
/// reached a cell. A new steward begins with nothing to grant at once: the one before may have
/// granted all of that, so that both together stay within one steward's part.
///
/// Example: `budget.spend(now)` is false right after `RetryBudget::new(bound, now)`.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bound: RetryLimits,
    began_at: Micros,
    /// By step: calls first dispatched then that reached a cell, and extra dispatches.
    steps: BTreeMap<u64, (u32, u32)>,
}

impl RetryBudget {
    pub(crate) fn new(bound: RetryLimits, now: Micros) -> RetryBudget {
        RetryBudget { bound, began_at: now, steps: BTreeMap::new() }
    }

    /// Whether it may still pay for what the steward before granted.
    pub(crate) fn is_young(&self, now: Micros) -> bool {
        now < self.began_at + self.bound.span()
    }

    /// A call that was granted its first dispatch then did reach a cell.
    pub(crate) fn call_arrived(&mut self, granted_at: Micros) {
        self.steps.entry(granted_at.0 / STEP.0).or_default().0 += 1;
    }

    /// An extra dispatch that was granted then never reached a cell.
    pub(crate) fn not_arrived(&mut self, granted_at: Micros) {
        if let Some((_, extras)) = self.steps.get_mut(&(granted_at.0 / STEP.0)) {
            *extras = extras.saturating_sub(1);
        }
    }

    /// Whether one more is within the bound of every window that ends from now on.
    pub(crate) fn may_spend(&mut self, now: Micros) -> bool {
        let span = self.bound.span();
        self.steps.retain(|step, _| now < Micros(step * STEP.0) + span);
        let (at_once, each_micro) = self.bound.leader_share();
        let allowed_since = |since: Micros| {
            let begins_here = since <= self.began_at;
            let since = since.max(self.began_at);
            let burst = if begins_here { 0.0 } else { at_once };
            burst + (now - since).0 as f64 * each_micro
        };
        let calls_from = |step: u64| -> u32 { self.steps.range(step..).map(|(_, (calls, _))| calls).sum() };
        let first_step = now.0.saturating_sub(span.0) / STEP.0;
        let began_step = self.began_at.0 / STEP.0;
        let mut starts: Vec<u64> =
            self.steps.iter().filter(|(_, (_, extras))| *extras > 0).map(|(step, _)| *step).collect();
        starts.push(now.0 / STEP.0);
        starts.extend((began_step >= first_step).then_some(began_step));
        starts.into_iter().all(|start| {
            let extras: u32 = self.steps.range(start..).map(|(_, (_, extras))| extras).sum();
            let by_ratio = self.bound.ratio * f64::from(calls_from(start + LATE_STEPS));
            f64::from(extras + 1) <= allowed_since(Micros(start * STEP.0)) + by_ratio
        })
    }

    /// Grants one if it may. Example: at most 40 at the default bound without any call.
    pub(crate) fn spend(&mut self, now: Micros) -> bool {
        let may_spend = self.may_spend(now);
        if may_spend {
            self.steps.entry(now.0 / STEP.0).or_default().1 += 1;
        }
        may_spend
    }
}

/// A deputy's extra dispatches: so many in any span, and none before what an earlier process of its
/// node may have granted is out of the window.
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
