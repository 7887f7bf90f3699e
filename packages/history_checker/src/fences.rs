//! Checks starts and stops as the platform saw them: their senders, their fences, and which were accepted.

use crate::checkers::broken;
use crate::{CheckSettings, Line, Violation};
use std::collections::{BTreeMap, BTreeSet};

/// The operations of one function so far.
#[derive(Default)]
struct PlatformOperations<'a> {
    /// The first sender of each fence.
    senders: BTreeMap<u64, &'a str>,
    /// Fences already reported as violations.
    reported: BTreeSet<u64>,
    highest_accepted: u64,
    /// When each holder's last operation was accepted.
    accepted: BTreeMap<&'a str, u64>,
    /// The holder of the last accepted operation.
    last_holder: Option<&'a str>,
    /// The time of the first operation in that holder's current uninterrupted run.
    run_began: u64,
    /// Refused operations of each holder since its last accepted one.
    refused: BTreeMap<&'a str, usize>,
}

/// Refusals allowed to a deposed holder: operations that were in flight when it lost its term.
const REFUSED_IN_A_ROW_LIMIT: usize = 4;

/// A fence belongs to one holder; no operation is accepted under a lower fence than an earlier one; a refused
/// holder stops soon; and within a lease no holder acts again after another did.
/// Example: `check_fences(&lines, &settings, &mut violations)`.
pub(crate) fn check_fences(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let mut functions: BTreeMap<&str, PlatformOperations> = BTreeMap::new();
    for line in lines {
        let Line::PlatformOperation { at, holder, function, fence, is_accepted } = line else { continue };
        let actions = functions.entry(function).or_default();
        let first = *actions.senders.entry(*fence).or_insert(holder);
        if first != holder && actions.reported.insert(*fence) {
            let seen = format!("{first} and {holder} both sent fence {fence} for {function}");
            broken(violations, "one holder a fence", seen);
        }
        if !is_accepted {
            let refused = actions.refused.entry(holder).or_default();
            *refused += 1;
            if *refused == REFUSED_IN_A_ROW_LIMIT + 1 {
                let seen = format!("{function}: {holder} went on under fence {fence} though it was refused");
                broken(violations, "deposed holders stop", seen);
            }
            continue;
        }
        actions.refused.remove(holder.as_str());
        if *fence < actions.highest_accepted {
            let seen =
                format!("{function}: {holder}'s fence {fence} was taken after {}", actions.highest_accepted);
            broken(violations, "fences rise", seen);
        }
        actions.highest_accepted = actions.highest_accepted.max(*fence);
        let is_other = actions.last_holder.is_some_and(|last| last != holder);
        if is_other {
            // This holder's last operation before the other's run began.
            if let Some(before) = actions.accepted.get(holder.as_str())
                && *at < before + settings.lease
            {
                let other = actions.last_holder.unwrap_or_default();
                let seen = format!(
                    "{function}: {holder} acted at {before} and {at}, {other} in between (from {})",
                    actions.run_began
                );
                broken(violations, "no holder there and back", seen);
            }
        }
        if is_other || actions.last_holder.is_none() {
            actions.run_began = *at;
        }
        actions.last_holder = Some(holder);
        actions.accepted.insert(holder, *at);
    }
}
