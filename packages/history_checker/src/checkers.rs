//! The checkers over calls, routes, configuration changes, leader epochs, quotas and platform operations.

use crate::fences::check_fences;
use crate::linearizability::check_register;
use crate::order_rules::check_orders;
use crate::usage_rules::check_usage;
use crate::{Line, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// A violated rule and the observation that violates it. Example: `Violation { rule: "no double run", .. }`.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule's short name.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

/// The limits that the rules use. Example: `CheckSettings::default().refusals_fixed == 5`.
#[derive(Clone, Debug)]
pub struct CheckSettings {
    /// Dispatches of a function that instances may refuse as busy within five seconds.
    pub refused_busy_in_five_seconds: usize,
    /// Microseconds after which a draining instance gets no new call.
    pub draining_grace: u64,
    /// Microseconds from a change's acknowledgement until all nodes must apply it.
    pub apply_within: u64,
    /// Microseconds for which a node may still match calls by an older generation after it has used a newer one.
    pub fall_back_within: u64,
    /// Microseconds within which a call that reached its node is matched.
    pub admitted_within: u64,
    /// Microseconds for which a quota's ceiling may be exceeded while demand updates spread by gossip.
    pub ceiling_lag: u64,
    /// Starts and stops per second that the platform may reject, over the whole fleet: a tenth of its rate limit.
    pub operations_throttled_per_second: usize,
    /// Microseconds within which a node that reaches no majority of the disks must report that it cannot decide.
    pub inability_reported_within: u64,
    /// Microseconds within which each node that is not paused must respond to an order or a read.
    pub order_answered_within: u64,
    /// Microseconds of a leader's lease: within it no holder acts again after another holder has acted.
    pub lease: u64,
    /// Refusals allowed in addition to one in 500 calls.
    pub refusals_fixed: usize,
    /// Whether refusals are checked; runs that overload the fleet on purpose switch this off.
    pub count_refusals: bool,
}

impl Default for CheckSettings {
    fn default() -> CheckSettings {
        CheckSettings {
            refused_busy_in_five_seconds: 12,
            draining_grace: 3_000_000,
            apply_within: 3_000_000,
            fall_back_within: 250_000,
            admitted_within: 50_000,
            ceiling_lag: 3_000_000,
            operations_throttled_per_second: 8,
            inability_reported_within: 1_500_000,
            order_answered_within: 6_500_000,
            lease: 3_000_000,
            refusals_fixed: 5,
            count_refusals: true,
        }
    }
}

/// Runs every checker. Example: `assert!(check_all(&lines, &CheckSettings::default()).is_empty())`.
pub fn check_all(lines: &[Line], settings: &CheckSettings) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_runs(lines, &mut violations);
    check_responses(lines, &mut violations);
    let spans = route_spans(lines, settings);
    check_services(lines, &spans, &mut violations);
    check_refused_busy(lines, settings, &mut violations);
    check_draining(lines, settings, &mut violations);
    check_extra_tries(lines, &mut violations);
    check_refusals(lines, settings, &spans, &mut violations);
    check_generations(lines, &mut violations);
    check_changes(lines, &mut violations);
    check_epochs(lines, &mut violations);
    check_fences(lines, settings, &mut violations);
    check_planned_stops(lines, &mut violations);
    check_ceilings(lines, settings, &mut violations);
    check_operations(lines, settings, &mut violations);
    check_voters(lines, &mut violations);
    check_matched(lines, settings, &mut violations);
    check_admission(lines, settings, &mut violations);
    check_orders(lines, settings, &mut violations);
    check_register(lines, &mut violations);
    check_usage(lines, &mut violations);
    violations
}

pub(crate) fn broken(violations: &mut Vec<Violation>, rule: &'static str, seen: String) {
    violations.push(Violation { rule, seen });
}

struct SentCall<'a> {
    path: &'a str,
    repeatable: bool,
}

fn sent_calls(lines: &[Line]) -> BTreeMap<&str, SentCall<'_>> {
    lines
        .iter()
        .filter_map(|line| match line {
            Line::CallSent { call, path, repeatable, .. } => {
                Some((call.as_str(), SentCall { path, repeatable: *repeatable }))
            }
            _ => None,
        })
        .collect()
}

fn run_counts(lines: &[Line]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for line in lines {
        if let Line::InstanceReceivedCall { call, ran: true, .. } = line {
            *counts.entry(call.as_str()).or_default() += 1;
        }
    }
    counts
}

/// A call that is not repeatable runs at most once, and a call refused as not run never runs.
fn check_runs(lines: &[Line], violations: &mut Vec<Violation>) {
    let calls = sent_calls(lines);
    let counts = run_counts(lines);
    for (call, count) in &counts {
        let is_repeatable = calls.get(call).is_some_and(|sent| sent.repeatable);
        if *count > 1 && !is_repeatable {
            broken(violations, "no double run", format!("{call} ran {count} times"));
        }
    }
    for line in lines {
        if let Line::CallEnded { call, outcome: Outcome::NotRun, .. } = line
            && counts.contains_key(call.as_str())
        {
            broken(violations, "not run is true", format!("{call} was refused as not run and ran"));
        }
    }
}

/// A response with outcome `ran` is complete, belongs to its call, and some instance ran the call.
fn check_responses(lines: &[Line], violations: &mut Vec<Violation>) {
    let counts = run_counts(lines);
    for line in lines {
        if let Line::CallEnded { call, outcome: Outcome::Ran, is_own, .. } = line {
            if !is_own {
                broken(violations, "own whole answer", format!("{call} got bytes not its own whole answer"));
            }
            if !counts.contains_key(call.as_str()) {
                broken(violations, "own whole answer", format!("{call} was answered and never ran"));
            }
        }
    }
}

/// The routes of one generation with the time span in which calls may be routed by them.
struct RouteSpan {
    generation: u64,
    from: u64,
    until: u64,
    routes: BTreeMap<String, String>,
}

/// The function that a path is routed to: the longest prefix of whole segments wins. A prefix with a slash at its
/// end does not take the path without that slash.
fn route_of<'routes>(routes: &'routes BTreeMap<String, String>, path: &str) -> Option<&'routes str> {
    let below = path.rmatch_indices('/').flat_map(|(slash, _)| [&path[..=slash], &path[..slash]]);
    let mut prefixes = std::iter::once(path).chain(below);
    prefixes.find_map(|prefix| routes.get(prefix).map(String::as_str))
}

/// Routes are valid from when the first node has them until `apply_within` after the acknowledgement of a
/// generation with other routes.
fn route_spans(lines: &[Line], settings: &CheckSettings) -> Vec<RouteSpan> {
    let mut spans: Vec<RouteSpan> = Vec::new();
    let mut routes = BTreeMap::new();
    for line in lines {
        let Line::RoutesChanged { at, generation, routes: changed } = line else { continue };
        for (prefix, function) in changed {
            match function {
                Some(function) => routes.insert(prefix.clone(), function.clone()),
                None => routes.remove(prefix),
            };
        }
        spans.push(RouteSpan { generation: *generation, from: *at, until: u64::MAX, routes: routes.clone() });
    }
    let mut acknowledged: Vec<(u64, u64)> = lines
        .iter()
        .filter_map(|line| match line {
            Line::ChangeAccepted { at, generation, .. } => Some((*generation, *at)),
            _ => None,
        })
        .collect();
    acknowledged.sort_unstable();
    for index in 0..spans.len() {
        // The routes expire once a generation with other routes was acknowledged.
        let other = spans[index + 1..].iter().find(|later| later.routes != spans[index].routes);
        let Some(other_generation) = other.map(|later| later.generation) else { continue };
        let replaced = acknowledged.iter().filter(|(generation, _)| *generation >= other_generation);
        let replaced_at = replaced.map(|(_, at)| *at).min();
        spans[index].until = replaced_at.map_or(u64::MAX, |at| at + settings.apply_within);
    }
    spans
}

/// A call reaches only instances of a function that it is routed to by a generation valid at that time.
fn check_services(lines: &[Line], spans: &[RouteSpan], violations: &mut Vec<Violation>) {
    let calls = sent_calls(lines);
    for line in lines {
        let Line::InstanceReceivedCall { at, call, function, instance, .. } = line else { continue };
        let Some(sent) = calls.get(call.as_str()) else { continue };
        let is_allowed = spans
            .iter()
            .filter(|span| span.from <= *at && *at <= span.until)
            .any(|span| route_of(&span.routes, sent.path) == Some(function.as_str()));
        if !is_allowed {
            let seen = format!("{call} to {} reached {instance} of {function} at {at}", sent.path);
            broken(violations, "only allowed services", seen);
        }
    }
}

/// The largest number of entries of a sorted list of times within any window of this length.
fn most_within(sorted_times: &[u64], window: u64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in sorted_times.iter().enumerate() {
        while sorted_times[first] + window <= *time {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn check_refused_busy(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let mut times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines {
        match line {
            Line::InstanceReceivedCall { at, function, ran: false, .. } => {
                times.entry(function).or_default().push(*at)
            }
            Line::InstanceReceivedCall { instance, in_flight, limit, ran: true, .. } if in_flight > limit => {
                broken(violations, "cell limits", format!("{instance} ran {in_flight} at once of {limit}"));
            }
            _ => {}
        }
    }
    for (function, mut function_times) in times {
        function_times.sort_unstable();
        let most = most_within(&function_times, 5_000_000);
        if most > settings.refused_busy_in_five_seconds {
            broken(violations, "cell limits", format!("{function}: {most} turned away in five seconds"));
        }
    }
}

fn check_draining(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let mut draining_since: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        if let Line::InstanceShownDraining { at, instance } = line {
            draining_since.entry(instance).or_insert(*at);
        }
    }
    for line in lines {
        if let Line::InstanceReceivedCall { at, call, instance, .. } = line
            && let Some(since) = draining_since.get(instance.as_str())
            && *at > since + settings.draining_grace
        {
            let late = (at - since) / 1_000;
            broken(
                violations,
                "leaving cells",
                format!("{instance} got {call} {late} ms after it was shown leaving"),
            );
        }
    }
}

/// Limits the dispatches after each call's first to one in five calls plus 60, per function within ten seconds.
fn check_extra_tries(lines: &[Line], violations: &mut Vec<Violation>) {
    let mut seen_calls = BTreeSet::new();
    let mut firsts: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut extras: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines {
        if let Line::InstanceReceivedCall { at, call, function, .. } = line {
            let times = if seen_calls.insert(call.as_str()) { &mut firsts } else { &mut extras };
            times.entry(function).or_default().push(*at);
        }
    }
    for (function, mut extra_times) in extras {
        extra_times.sort_unstable();
        let call_times = firsts.get(function).cloned().unwrap_or_default();
        for window_start in &extra_times {
            let within = |time: &&u64| **time >= *window_start && **time < window_start + 10_000_000;
            let extra_count = extra_times.iter().filter(within).count();
            let call_count = call_times.iter().filter(within).count();
            if extra_count > call_count / 5 + 60 {
                let seen = format!("{function}: {extra_count} extra tries beside {call_count} calls");
                broken(violations, "extra tries", seen);
                break;
            }
        }
    }
}

/// Spans in which each function had a running instance, each node reached no majority of the disks, and each
/// node was paused.
struct FaultContext<'a> {
    running: BTreeMap<&'a str, Vec<(u64, u64)>>,
    without_control: BTreeMap<&'a str, Vec<(u64, u64)>>,
    frozen: BTreeMap<&'a str, Vec<(u64, u64)>>,
}

impl<'a> FaultContext<'a> {
    fn of(lines: &'a [Line]) -> FaultContext<'a> {
        let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
        for line in lines {
            if let Line::InstanceEnded { at, instance } | Line::InstanceStopped { at, instance } = line {
                let end = ends.entry(instance).or_insert(*at);
                *end = (*end).min(*at);
            }
        }
        let mut running: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        let mut without_control: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        let mut frozen: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        for line in lines {
            match line {
                Line::InstanceStarted { instance, function, runs_from, .. } => {
                    let end = ends.get(instance.as_str()).copied().unwrap_or(u64::MAX);
                    running.entry(function).or_default().push((*runs_from, end));
                }
                Line::NodeFrozen { at, node, until } => {
                    frozen.entry(node).or_default().push((*at, *until));
                }
                Line::ControlReached { at, node, reached: false } => {
                    without_control.entry(node).or_default().push((*at, u64::MAX));
                }
                Line::ControlReached { at, node, reached: true } => {
                    let open = without_control.get_mut(node.as_str()).and_then(|spans| spans.last_mut());
                    if let Some((_, until)) = open {
                        *until = *at;
                    }
                }
                _ => {}
            }
        }
        FaultContext { running, without_control, frozen }
    }

    fn was_frozen(&self, node: &str, sent_at: u64, ended_at: u64) -> bool {
        let spans = self.frozen.get(node);
        spans.is_some_and(|spans| spans.iter().any(|(from, until)| *from <= ended_at && sent_at <= *until))
    }

    /// Whether no instance of the function ran and the node could not get one started: a start needs a leader, and
    /// electing one needs a majority.
    fn could_not_start(&self, node: &str, function: &str, at: u64) -> bool {
        let holds = |spans: Option<&Vec<(u64, u64)>>| {
            spans.is_some_and(|spans| spans.iter().any(|(from, until)| *from <= at && at < *until))
        };
        holds(self.without_control.get(node)) && !holds(self.running.get(function))
    }
}

/// Limits the refusals of proper calls, whatever fails. A call is proper if its node was live, ready and not
/// paused, every generation valid during the call had a route for it, and an instance of its function ran or
/// the node could reach a majority of the disks.
fn check_refusals(
    lines: &[Line],
    settings: &CheckSettings,
    spans: &[RouteSpan],
    violations: &mut Vec<Violation>,
) {
    if !settings.count_refusals {
        return;
    }
    let fault_context = FaultContext::of(lines);
    let is_proper = |sent_at: u64, ended_at: u64, node: &str, path: &str| {
        let held = spans.iter().filter(|span| span.from <= ended_at && sent_at <= span.until);
        let mut functions = held.map(|span| route_of(&span.routes, path));
        let was_frozen = fault_context.was_frozen(node, sent_at, ended_at);
        !was_frozen
            && functions.all(|function| {
                function.is_some_and(|function| !fault_context.could_not_start(node, function, sent_at))
            })
    };
    let mut sent: BTreeMap<&str, (u64, &str, &str)> = BTreeMap::new();
    let mut refused = 0;
    for line in lines {
        match line {
            Line::CallSent { at, call, node, path, .. } => {
                sent.insert(call, (*at, node, path));
            }
            Line::CallEnded { at, call, outcome: Outcome::NotRun, .. } => {
                let Some((sent_at, node, path)) = sent.get(call.as_str()) else { continue };
                refused += usize::from(is_proper(*sent_at, *at, node, path));
            }
            _ => {}
        }
    }
    if refused > settings.refusals_fixed + sent.len() / 500 {
        let seen = format!("{refused} proper calls of {} were refused", sent.len());
        broken(violations, "few refusals", seen);
    }
}

/// The generation held by a process of a node never decreases.
fn check_generations(lines: &[Line], violations: &mut Vec<Violation>) {
    let mut held: BTreeMap<(&str, &str), (u64, u64)> = BTreeMap::new();
    for line in lines {
        if let Line::GenerationHeld { at, node, incarnation, generation } = line {
            let entry = held.entry((node, incarnation)).or_insert((*at, *generation));
            if entry.0 <= *at && entry.1 > *generation {
                let seen = format!("{node} went from {} back to {generation}", entry.1);
                broken(violations, "no generation back", seen);
            }
            *entry = (*at, *generation);
        }
    }
}

/// Two acknowledged changes never share a generation. Every acknowledged change is in force in later generations
/// at all nodes; a refused change never is.
fn check_changes(lines: &[Line], violations: &mut Vec<Violation>) {
    let mut accepted: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut refused = BTreeSet::new();
    let mut by_generation: BTreeMap<u64, &str> = BTreeMap::new();
    for line in lines {
        match line {
            Line::ChangeAccepted { at, change, generation } => {
                accepted.entry(change).or_insert((*at, *generation));
                let first = by_generation.entry(*generation).or_insert(change);
                if *first != change {
                    let seen = format!("{first} and {change} were both accepted as {generation}");
                    broken(violations, "one change a generation", seen);
                }
            }
            Line::ChangeRefused { change, .. } => {
                refused.insert(change.as_str());
            }
            _ => {}
        }
    }
    for line in lines {
        let Line::ChangesInForce { node, generation, changes, .. } = line else { continue };
        for (change, (_, accepted_as)) in &accepted {
            if accepted_as <= generation && !changes.iter().any(|in_force| in_force == change) {
                let seen =
                    format!("{change}, accepted as {accepted_as}, is missing at {node} in {generation}");
                broken(violations, "no acknowledged change lost", seen);
            }
        }
        for in_force in changes.iter().filter(|in_force| refused.contains(in_force.as_str())) {
            let seen = format!("{in_force} was refused and stands at {node}");
            broken(violations, "refused changes never stand", seen);
        }
    }
}

/// Each (function, leader epoch) belongs to one node, and no node acts under an epoch lower than one already
/// acted under.
fn check_epochs(lines: &[Line], violations: &mut Vec<Violation>) {
    let mut holders: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        let (Line::LeadershipTaken { node, function, epoch, .. }
        | Line::LeaderActed { node, function, epoch, .. }) = line
        else {
            continue;
        };
        let holder = holders.entry((function, *epoch)).or_insert(node);
        if *holder != node {
            let seen = format!("{holder} and {node} are both steward of {function} in epoch {epoch}");
            broken(violations, "one steward an epoch", seen);
        }
        if matches!(line, Line::LeaderActed { .. }) {
            let newest_epoch = newest.entry(function).or_default();
            if *epoch < *newest_epoch {
                let seen =
                    format!("{node} acted for {function} in {epoch} after {newest_epoch} had begun to act");
                broken(violations, "one steward an epoch", seen);
            }
            *newest_epoch = (*newest_epoch).max(*epoch);
        }
    }
}

fn check_planned_stops(lines: &[Line], violations: &mut Vec<Violation>) {
    for line in lines {
        if let Line::DroppedInPlannedStop { call, .. } = line {
            broken(violations, "planned stops drop nothing", format!("{call} was dropped"));
        }
    }
}

/// Checks the memory of the instances below each quota against its ceiling. Each function may have one instance
/// whatever its share. Exceeding the ceiling is a violation only after `ceiling_lag`, since leaders learn each
/// other's demand by gossip.
fn check_ceilings(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let mut parents: BTreeMap<&str, Option<&str>> = BTreeMap::new();
    let mut ceilings: BTreeMap<&str, f64> = BTreeMap::new();
    let mut functions: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    let mut instances: BTreeMap<&str, &str> = BTreeMap::new();
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut exceeded_since: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        let at = match line {
            Line::QuotasHeld { at, quotas, functions: held } => {
                parents = quotas.iter().map(|(name, parent, _)| (name.as_str(), parent.as_deref())).collect();
                let capped =
                    quotas.iter().filter_map(|(name, _, ceiling)| Some((name.as_str(), (*ceiling)?)));
                ceilings = capped.collect();
                functions =
                    held.iter().map(|(name, own, memory)| (name.as_str(), (own.as_str(), *memory))).collect();
                *at
            }
            Line::InstanceStarted { at, instance, function, .. } => {
                instances.insert(instance, function);
                *counts.entry(function).or_default() += 1;
                *at
            }
            Line::InstanceStopped { at, instance } | Line::InstanceEnded { at, instance } => {
                let Some(function) = instances.remove(instance.as_str()) else { continue };
                *counts.entry(function).or_default() -= 1;
                *at
            }
            _ => continue,
        };
        for (name, ceiling) in &ceilings {
            let is_below = |own: &str| {
                let mut next = Some(own);
                while let Some(quota) = next {
                    if quota == *name {
                        return true;
                    }
                    next = parents.get(quota).copied().flatten();
                }
                false
            };
            let used: u64 = functions
                .iter()
                .filter(|(_, (own, _))| is_below(own))
                .map(|(function, (_, memory))| {
                    counts.get(function).copied().unwrap_or(0).saturating_sub(1) * memory
                })
                .sum();
            if used as f64 <= *ceiling {
                exceeded_since.remove(name);
                continue;
            }
            let since = *exceeded_since.entry(name).or_insert(at);
            if at > since + settings.ceiling_lag {
                exceeded_since.insert(name, u64::MAX - settings.ceiling_lag);
                let seen = format!(
                    "{name}: {used} MB beside the first cells of its functions, over {ceiling}, at {at}"
                );
                broken(violations, "allowances hold", seen);
            }
        }
    }
}

/// A node, across its processes, matches no call by a generation older than one it used more than
/// `fall_back_within` before.
fn check_matched(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    // Per node: the newest generation used, with the time of its first use.
    let mut used: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for line in lines {
        let Line::CallMatched { at, call, node, generation } = line else { continue };
        let newest = used.entry(node).or_insert((*generation, *at));
        if *generation > newest.0 {
            *newest = (*generation, *at);
        }
        if *generation < newest.0 && *at > newest.1 + settings.fall_back_within {
            let seen = format!("{call} was matched by {generation} at {node}, which had used {}", newest.0);
            broken(violations, "no generation back", seen);
        }
    }
}

/// A call is matched, and so admitted or refused, within `admitted_within` of reaching its node, whether or not
/// the function has a leader.
fn check_admission(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let mut arrived: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        match line {
            Line::CallReached { at, call } => {
                arrived.insert(call, *at);
            }
            Line::CallMatched { at, call, node, .. } => {
                let Some(reached_at) = arrived.get(call.as_str()) else { continue };
                if *at > reached_at + settings.admitted_within {
                    let seen =
                        format!("{call} waited {} ms at {node} to be matched", (at - reached_at) / 1_000);
                    broken(violations, "admission never waits on election", seen);
                }
            }
            _ => {}
        }
    }
}

/// A generation of the voter set is the same set at all nodes.
fn check_voters(lines: &[Line], violations: &mut Vec<Violation>) {
    let mut sets: BTreeMap<u64, (&Vec<u64>, &Vec<u64>)> = BTreeMap::new();
    for line in lines {
        let Line::VotersSeen { node, generation, disks, joining, .. } = line else { continue };
        let first = sets.entry(*generation).or_insert((disks, joining));
        if *first != (disks, joining) {
            let seen = format!("generation {generation} is {first:?}, and {disks:?} {joining:?} at {node}");
            broken(violations, "one voter set a generation", seen);
        }
    }
}

/// Limits the starts and stops that the platform rejects because of its rate limit, within any second.
fn check_operations(lines: &[Line], settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let throttled: Vec<u64> = lines
        .iter()
        .filter_map(|line| match line {
            Line::OperationThrottled { at } => Some(*at),
            _ => None,
        })
        .collect();
    let most = most_within(&throttled, 1_000_000);
    if most > settings.operations_throttled_per_second {
        broken(violations, "start rate", format!("{most} starts and stops turned away in a second"));
    }
}

#[cfg(test)]
mod tests;
