//! Linearizability of the configuration register: searches for an order of all operations, each between its begin
//! and its end, in which a single compare-and-set register would have given the same responses.
//!
//! The search is Wing and Gong's algorithm with Lowe's memoization: a configuration (operations done and register
//! state) that failed is not tried again. Reads and refusals do not change the state, so each is done as soon as
//! the state allows; the search branches only over applied orders.

use crate::Line;
use crate::checkers::{Violation, broken};
use crate::register_operations::{RegisterHistory, Step};
use std::collections::HashSet;

const RULE: &str = "configuration is linearizable";
/// Number of configurations after which the search gives up and reports the history as undecided.
const SEARCH_LIMIT: usize = 200_000;

/// How a search ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Search {
    Found,
    Exhausted,
    /// Undecided within the limit.
    GivenUp,
}

/// State of the compare-and-set register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RegisterState {
    version: u64,
    /// Index of the order applied last.
    last_order: Option<usize>,
}

struct Searcher<'a> {
    history: RegisterHistory<'a>,
    /// For each order the index of its apply operation, if it may have been applied.
    apply_indexes: Vec<Option<usize>>,
    tried: HashSet<(Vec<bool>, RegisterState)>,
    search_limit: usize,
    /// The largest number of operations done, with the state and the operation that was due there.
    furthest: (usize, RegisterState, usize),
}

/// Checks that the orders and reads of a history are those of one register.
pub(crate) fn check_register(lines: &[Line], violations: &mut Vec<Violation>) {
    check_within(lines, SEARCH_LIMIT, violations);
}

fn check_within(lines: &[Line], search_limit: usize, violations: &mut Vec<Violation>) {
    let mut searcher = Searcher::new(RegisterHistory::of(lines), search_limit);
    let start = RegisterState { version: 0, last_order: None };
    let done = vec![false; searcher.history.operations.len()];
    match searcher.extend(done, start) {
        Search::Found => {}
        Search::Exhausted => broken(violations, RULE, searcher.obstacle()),
        Search::GivenUp => {
            let seen = format!("not decided after {search_limit} configurations: {}", searcher.obstacle());
            broken(violations, RULE, seen);
        }
    }
}

impl<'a> Searcher<'a> {
    fn new(history: RegisterHistory<'a>, search_limit: usize) -> Searcher<'a> {
        let mut apply_indexes = vec![None; history.orders.len()];
        for (index, operation) in history.operations.iter().enumerate() {
            if let Step::Apply { order } = operation.step {
                apply_indexes[order] = Some(index);
            }
        }
        let furthest = (0, RegisterState { version: 0, last_order: None }, 0);
        Searcher { history, apply_indexes, tried: HashSet::new(), search_limit, furthest }
    }

    /// Tries to do all remaining operations from this state on.
    fn extend(&mut self, mut done: Vec<bool>, state: RegisterState) -> Search {
        self.do_without_effect(&mut done, state);
        let Some(due) = self.first_due(&done) else { return Search::Found };
        let done_count = done.iter().filter(|is_done| **is_done).count();
        if done_count >= self.furthest.0 {
            self.furthest = (done_count, state, due);
        }
        if self.is_obsolete(&done, state) || !self.tried.insert((done.clone(), state)) {
            return Search::Exhausted;
        }
        if self.tried.len() > self.search_limit {
            return Search::GivenUp;
        }
        let due_at = self.history.operations[due].ends_at;
        for index in 0..done.len() {
            let operation = &self.history.operations[index];
            let Step::Apply { order } = operation.step else { continue };
            let terms = &self.history.orders[order];
            if done[index] || operation.begins_at > due_at || !terms.admit(state.version) {
                continue;
            }
            let version = terms.version.unwrap_or(state.version);
            let mut next_done = done.clone();
            next_done[index] = true;
            match self.extend(next_done, RegisterState { version, last_order: Some(order) }) {
                Search::Exhausted => {}
                ended => return ended,
            }
        }
        Search::Exhausted
    }

    /// Whether a required operation needs a version below the current one; versions never decrease.
    fn is_obsolete(&self, done: &[bool], state: RegisterState) -> bool {
        self.history.operations.iter().zip(done).any(|(operation, is_done)| {
            if *is_done || !operation.is_required {
                return false;
            }
            match operation.step {
                Step::Apply { order } => self.history.orders[order].is_obsolete_at(state.version),
                Step::Read { version, .. } => version < state.version,
                Step::Refuse { .. } => false,
            }
        })
    }

    /// Does every read and refusal that agrees with the state and may come next. They do not change the state, so
    /// doing them now excludes no solution.
    fn do_without_effect(&self, done: &mut [bool], state: RegisterState) {
        while let Some(due) = self.first_due(done) {
            let due_at = self.history.operations[due].ends_at;
            let mut is_any_done = false;
            for (index, operation) in self.history.operations.iter().enumerate() {
                if operation.begins_at > due_at {
                    break;
                }
                if !done[index] && self.agrees_with(operation.step, done, state) {
                    done[index] = true;
                    is_any_done = true;
                }
            }
            if !is_any_done {
                return;
            }
        }
    }

    fn agrees_with(&self, step: Step, done: &[bool], state: RegisterState) -> bool {
        match step {
            Step::Apply { .. } => false,
            Step::Refuse { order } => {
                let is_applied = self.apply_indexes[order].is_some_and(|index| done[index]);
                !is_applied && !self.history.orders[order].admit(state.version)
            }
            Step::Read { version, last_order } => {
                version == state.version && last_order == self.name_of(state.last_order)
            }
        }
    }

    fn name_of(&self, order: Option<usize>) -> Option<&'a str> {
        order.map(|order| self.history.orders[order].name)
    }

    /// The remaining required operation that ends first.
    fn first_due(&self, done: &[bool]) -> Option<usize> {
        let is_due = |index: &usize| !done[*index] && self.history.operations[*index].is_required;
        (0..done.len()).filter(is_due).min_by_key(|index| self.history.operations[*index].ends_at)
    }

    /// Describes the operation that could not be done at the furthest point of the search.
    fn obstacle(&self) -> String {
        let (done_count, state, due) = self.furthest;
        let operation = &self.history.operations[due];
        let reported = match operation.step {
            Step::Apply { order } => format!("{} was accepted", self.describe_order(order)),
            Step::Refuse { order } => format!("{} was refused", self.describe_order(order)),
            Step::Read { version, last_order } => format!("a read showed {version} by {last_order:?}"),
        };
        format!(
            "after {done_count} of {} operations version {} by {:?} stands; then {reported} between {} and {}",
            self.history.operations.len(),
            state.version,
            self.name_of(state.last_order),
            operation.begins_at,
            operation.ends_at,
        )
    }

    fn describe_order(&self, order: usize) -> String {
        let terms = &self.history.orders[order];
        format!("{} ({:?} on {:?})", terms.name, terms.version, terms.expected_version)
    }
}

#[cfg(test)]
mod tests;
