//! Checks the usage reports to the platform and compares each window's report with the calls that began in it.

use crate::Line;
use crate::checkers::{Violation, broken};
use std::collections::BTreeMap;

/// The results of the windows of a history for which a report was due.
/// Example: `usage_windows(&lines, 0.05).missing.is_empty()`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageWindows {
    /// Windows with calls whose report fell due within the history.
    pub due: Vec<u64>,
    /// Due windows without a report.
    pub missing: Vec<u64>,
    /// Due windows whose report arrived late.
    pub late: Vec<u64>,
    /// Due windows in which a tenant's count is off by more than the bound.
    pub off: Vec<u64>,
}

/// A call is counted in the window in which it was dispatched and begins within this time, so a call that begins
/// so soon after a window's start may be counted in the window before.
const DISPATCH_DELAY_MICROS: u64 = 2_000;

/// The number of a tenant's calls that began in a window, and of those that may be counted in the window before.
#[derive(Clone, Copy, Default)]
struct Begun {
    calls: u32,
    at_start: u32,
}

struct Terms {
    unix: u64,
    window: u64,
    delay: u64,
    lease: u64,
}

fn terms(lines: &[Line]) -> Option<Terms> {
    lines.iter().find_map(|line| match line {
        Line::UsageTerms { unix, window, delay, lease, .. } => {
            Some(Terms { unix: *unix, window: *window, delay: *delay, lease: *lease })
        }
        _ => None,
    })
}

/// A window has one accepted set of counts; a fence belongs to one holder; accepted reports of holders do not
/// alternate (A, B, A) within the lease.
pub(crate) fn check_usage(lines: &[Line], violations: &mut Vec<Violation>) {
    let Some(terms) = terms(lines) else { return };
    let mut accepted_counts: BTreeMap<u64, &Vec<(String, u32)>> = BTreeMap::new();
    let mut fence_holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut last_actions: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        let Line::UsageReported { at, holder, fence, window, counts, accepted } = line else { continue };
        let first_holder = fence_holders.entry(*fence).or_insert(holder);
        if first_holder != holder {
            broken(violations, "one fence, one holder", format!("{fence} of {first_holder} and {holder}"));
        }
        if !accepted {
            continue;
        }
        let first_counts = accepted_counts.entry(*window).or_insert(counts);
        if *first_counts != counts {
            let seen = format!("window {window}: {first_counts:?}, then {counts:?} of {holder}");
            broken(violations, "one set of counts for a window", seen);
        }
        let own_before = last_actions.insert(holder, *at).filter(|before| *at < before + terms.lease);
        let between = own_before.and_then(|before| {
            last_actions.iter().find(|(other, other_at)| *other != holder && **other_at > before)
        });
        if let Some((other, _)) = between {
            let seen = format!("{holder}, {other}, {holder} until {at}");
            broken(violations, "holders do not take turns within the lease", seen);
        }
    }
}

/// Compares the accepted reports with the calls that began; a count may differ by the share `bound`.
/// Example: `usage_windows(&lines, 0.05).late`.
pub fn usage_windows(lines: &[Line], bound: f64) -> UsageWindows {
    let Some(terms) = terms(lines) else { return UsageWindows::default() };
    let mut began: BTreeMap<u64, BTreeMap<&str, Begun>> = BTreeMap::new();
    let mut reported: BTreeMap<u64, (u64, BTreeMap<&str, u32>)> = BTreeMap::new();
    let mut ends_at = 0;
    for line in lines {
        match line {
            Line::UsageBegan { at, tenant } => {
                let unix = terms.unix + at;
                let begun = began.entry(unix / terms.window).or_default().entry(tenant).or_default();
                begun.calls += 1;
                begun.at_start += u32::from(unix % terms.window < DISPATCH_DELAY_MICROS);
            }
            Line::UsageReported { at, window, counts, accepted: true, .. } => {
                let counts = counts.iter().map(|(tenant, count)| (tenant.as_str(), *count)).collect();
                reported.entry(*window).or_insert((*at, counts));
            }
            Line::UsageOver { at } => ends_at = *at,
            _ => {}
        }
    }
    let mut windows = UsageWindows::default();
    for (window, truth) in &began {
        let due_at = ((window + 1) * terms.window + terms.delay).saturating_sub(terms.unix);
        if due_at > ends_at {
            continue;
        }
        windows.due.push(*window);
        let Some((at, counts)) = reported.get(window) else {
            windows.missing.push(*window);
            continue;
        };
        if *at > due_at {
            windows.late.push(*window);
        }
        let next = began.get(&(window + 1));
        let is_off = |tenant: &&str| {
            let begun = truth.get(tenant).copied().unwrap_or_default();
            let after = next.and_then(|next| next.get(tenant)).map_or(0, |begun| begun.at_start);
            let total = f64::from(counts.get(tenant).copied().unwrap_or(0));
            let (least, most) = (f64::from(begun.calls - begun.at_start), f64::from(begun.calls + after));
            total < least * (1.0 - bound) || total > most * (1.0 + bound)
        };
        if truth.keys().chain(counts.keys()).any(is_off) {
            windows.off.push(*window);
        }
    }
    windows
}

#[cfg(test)]
mod tests;
