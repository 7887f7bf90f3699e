//! Linearizability of the configuration register: is there one order of all operations, each between
//! its begin and its end, that a single compare-and-set register would have answered the same way?
//!
//! The search is that of Wing and Gong with the memo of Lowe: configurations of operations done and
//! register state that led nowhere are not tried again. Reads and refusals change nothing, so each is
//! done as soon as the state allows; only applied orders are branched over.

use crate::Line;
use crate::checkers::{Violation, broken};
use crate::register_operations::{RegisterHistory, Step};
use std::collections::HashSet;

const RULE: &str = "configuration is linearizable";
/// Configurations that the search looks at before it gives up, and says so.
const SEARCH_LIMIT: usize = 200_000;

/// How a search ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Search {
    Found,
    Exhausted,
    /// Neither found nor excluded within the limit.
    GivenUp,
}

/// What a compare-and-set register holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RegisterState {
    version: u64,
    /// The place of the order applied last.
    last_order: Option<usize>,
}

struct Searcher<'a> {
    history: RegisterHistory<'a>,
    /// For each order the place of its operation, if it may be applied.
    apply_places: Vec<Option<usize>>,
    tried: HashSet<(Vec<bool>, RegisterState)>,
    search_limit: usize,
    /// The most operations done, with the state and the operation that was due there.
    furthest: (usize, RegisterState, usize),
}

/// A history of orders and reads is that of one register.
pub(crate) fn check_register(lines: &[Line], violations: &mut Vec<Violation>) {
    judge(lines, SEARCH_LIMIT, violations);
}

fn judge(lines: &[Line], search_limit: usize, violations: &mut Vec<Violation>) {
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
        let mut apply_places = vec![None; history.orders.len()];
        for (place, operation) in history.operations.iter().enumerate() {
            if let Step::Apply { order } = operation.step {
                apply_places[order] = Some(place);
            }
        }
        let furthest = (0, RegisterState { version: 0, last_order: None }, 0);
        Searcher { history, apply_places, tried: HashSet::new(), search_limit, furthest }
    }

    /// Does all operations that are left, from a state on.
    fn extend(&mut self, mut done: Vec<bool>, state: RegisterState) -> Search {
        self.do_without_effect(&mut done, state);
        let Some(due) = self.first_due(&done) else { return Search::Found };
        let done_count = done.iter().filter(|is_done| **is_done).count();
        if done_count >= self.furthest.0 {
            self.furthest = (done_count, state, due);
        }
        if self.is_passed_over(&done, state) || !self.tried.insert((done.clone(), state)) {
            return Search::Exhausted;
        }
        if self.tried.len() > self.search_limit {
            return Search::GivenUp;
        }
        let due_at = self.history.operations[due].ends_at;
        for place in 0..done.len() {
            let operation = &self.history.operations[place];
            let Step::Apply { order } = operation.step else { continue };
            let terms = &self.history.orders[order];
            if done[place] || operation.begins_at > due_at || !terms.admit(state.version) {
                continue;
            }
            let version = terms.version.unwrap_or(state.version);
            let mut next_done = done.clone();
            next_done[place] = true;
            match self.extend(next_done, RegisterState { version, last_order: Some(order) }) {
                Search::Exhausted => {}
                ended => return ended,
            }
        }
        Search::Exhausted
    }

    /// Whether something that has to be done needs a version that is over: versions never fall.
    fn is_passed_over(&self, done: &[bool], state: RegisterState) -> bool {
        self.history.operations.iter().zip(done).any(|(operation, is_done)| {
            if *is_done || !operation.is_required {
                return false;
            }
            match operation.step {
                Step::Apply { order } => self.history.orders[order].is_over_at(state.version),
                Step::Read { version, .. } => version < state.version,
                Step::Refuse { .. } => false,
            }
        })
    }

    /// Does every read and refusal that the state answers and that may come next: none of them
    /// changes the state, so that doing them now closes no way.
    fn do_without_effect(&self, done: &mut [bool], state: RegisterState) {
        while let Some(due) = self.first_due(done) {
            let due_at = self.history.operations[due].ends_at;
            let mut is_any_done = false;
            for (place, operation) in self.history.operations.iter().enumerate() {
                if operation.begins_at > due_at {
                    break;
                }
                if !done[place] && self.is_answered_by(operation.step, done, state) {
                    done[place] = true;
                    is_any_done = true;
                }
            }
            if !is_any_done {
                return;
            }
        }
    }

    fn is_answered_by(&self, step: Step, done: &[bool], state: RegisterState) -> bool {
        match step {
            Step::Apply { .. } => false,
            Step::Refuse { order } => {
                let is_applied = self.apply_places[order].is_some_and(|place| done[place]);
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

    /// The operation that has to be done first, if any is left.
    fn first_due(&self, done: &[bool]) -> Option<usize> {
        let left = |place: &usize| !done[*place] && self.history.operations[*place].is_required;
        (0..done.len()).filter(left).min_by_key(|place| self.history.operations[*place].ends_at)
    }

    /// What could not be done where the search came furthest.
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
