//! The platform's view of starts and stops: who sent them, under which fence, and which of them it took.

use crate::checkers::broken;
use crate::{Breach, CheckSettings, Line};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of one function's acts so far.
#[derive(Default)]
struct Acts<'a> {
    /// Who sent each fence first.
    senders: BTreeMap<u64, &'a str>,
    /// Fences that were told of already.
    told: BTreeSet<u64>,
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
/// soon; and within a lease no holder acts again after another did. Example: `check_fences(&lines, &settings, &mut breaches)`.
pub(crate) fn check_fences(lines: &[Line], settings: &CheckSettings, breaches: &mut Vec<Breach>) {
    let mut functions: BTreeMap<&str, Acts> = BTreeMap::new();
    for line in lines {
        let Line::PlatformAct { at, holder, function, fence, is_accepted } = line else { continue };
        let acts = functions.entry(function).or_default();
        let first = *acts.senders.entry(*fence).or_insert(holder);
        if first != holder && acts.told.insert(*fence) {
            let seen = format!("{first} and {holder} both sent fence {fence} for {function}");
            broken(breaches, "one holder a fence", seen);
        }
        if !is_accepted {
            let refused = acts.refused.entry(holder).or_default();
            *refused += 1;
            if *refused == REFUSED_IN_A_ROW + 1 {
                let seen = format!("{function}: {holder} went on under fence {fence} though it was refused");
                broken(breaches, "deposed holders stop", seen);
            }
            continue;
        }
        acts.refused.remove(holder.as_str());
        if *fence < acts.highest_accepted {
            let seen =
                format!("{function}: {holder}'s fence {fence} was taken after {}", acts.highest_accepted);
            broken(breaches, "fences rise", seen);
        }
        acts.highest_accepted = acts.highest_accepted.max(*fence);
        let is_other = acts.last_holder.is_some_and(|last| last != holder);
        if is_other {
            // Acts of this holder's before the other began.
            if let Some(before) = acts.accepted.get(holder.as_str())
                && *at < before + settings.lease
            {
                let other = acts.last_holder.unwrap_or_default();
                let seen = format!(
                    "{function}: {holder} acted at {before} and {at}, {other} in between (from {})",
                    acts.last_began
                );
                broken(breaches, "no holder there and back", seen);
            }
        }
        if is_other || acts.last_holder.is_none() {
            acts.last_began = *at;
        }
        acts.last_holder = Some(holder);
        acts.accepted.insert(holder, *at);
    }
}
