//! The platform's view of starts and stops: who sent them, under which fence, and which of them it took.

use crate::checkers::broken;
use crate::{CheckSettings, Line, Violation};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of one function's acts so far.
#[derive(Default)]
struct PlatformOperations<'a> {
    /// Who sent each fence first.
    senders: BTreeMap<u64, &'a str>,
    /// Fences that were told of already.
    reported: BTreeSet<u64>,
    highest_accepted: u64,
    /// When each holder's last act was accepted.
    accepted: BTreeMap<&'a str, u64>,
    /// The holder of the last accepted act.
    last_holder: Option<&'a str>,
    /// Since when that holder's acts follow each other without another's in between.
    last_began: u64,
    /// Refused acts of each holder since one of its acts was accepted.
    refused: BTreeMap<&'a str, usize>,
}

/// A deposed holder may send so many acts that are refused: what was under way when it lost its term.
const REFUSED_IN_A_ROW: usize = 4;

/// A fence belongs to one holder; nothing is accepted under a lower fence than before, and who is refused stops
/// soon; and within a lease no holder acts again after another did. Example: `check_fences(&lines, &settings, &mut violations)`.
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
            if *refused == REFUSED_IN_A_ROW + 1 {
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
            // Acts of this holder's before the other began.
            if let Some(before) = actions.accepted.get(holder.as_str())
                && *at < before + settings.lease
            {
                let other = actions.last_holder.unwrap_or_default();
                let seen = format!(
                    "{function}: {holder} acted at {before} and {at}, {other} in between (from {})",
                    actions.last_began
                );
                broken(violations, "no holder there and back", seen);
            }
        }
        if is_other || actions.last_holder.is_none() {
            actions.last_began = *at;
        }
        actions.last_holder = Some(holder);
        actions.accepted.insert(holder, *at);
    }
}
