//! Bars a node from sending operations for a function while the platform may still count operations that the
//! node sent before another node's term.
//!
//! Terms follow each other within one lease if they are transferred (on a stop, for balance, for a large
//! function). If a node transfers a function to another, which sends operations, and gets the function back
//! at once, the platform sees the holders A, B, A within one lease. So a node that gets a function back
//! delays starts and stops until a lease has passed since its own last operation, unless no other node can
//! have led the function in between. A process that has just started is also barred for functions that it
//! takes over from others: its previous incarnation, which has the same name, may have sent operations.

use monotonic_clock::Micros;
use std::collections::BTreeMap;

#[derive(Debug)]
struct LastAction {
    leader_epoch: u64,
    at: Micros,
}

/// The last operations of this process by function, and the functions that are still barred.
/// Example: `ActionGuard::new(Micros::from_secs(3), now).is_barred("proof", now) == false`.
#[derive(Debug)]
pub struct ActionGuard {
    lease: Micros,
    started_at: Micros,
    /// Only operations of the last lease.
    last_actions: BTreeMap<String, LastAction>,
    barred_until: BTreeMap<String, Micros>,
}

impl ActionGuard {
    /// The guard of a process that starts now. Example: `ActionGuard::new(settings.lease, now)`.
    pub fn new(lease: Micros, now: Micros) -> ActionGuard {
        ActionGuard { lease, started_at: now, last_actions: BTreeMap::new(), barred_until: BTreeMap::new() }
    }

    /// A term begins. The pair describes the record that the claim replaced: its epoch, if it names this
    /// process, and whether it is the first record ever or names a previous incarnation of this node.
    /// Example: `guard.term_taken("proof", 12, (Some(9), false), now)`.
    pub fn term_taken(
        &mut self,
        function: &str,
        leader_epoch: u64,
        (own_epoch_before, is_first_or_reclaimed): (Option<u64>, bool),
        now: Micros,
    ) {
        let started_at = self.started_at;
        let last_action_at = match self.last_actions.get_mut(function) {
            Some(last) if own_epoch_before == Some(last.leader_epoch) => {
                last.leader_epoch = leader_epoch;
                return;
            }
            Some(last) => last.at,
            None if is_first_or_reclaimed => return,
            None => started_at,
        };
        let barred_until = last_action_at + self.lease;
        if now < barred_until {
            self.barred_until.insert(function.to_owned(), barred_until);
        }
    }

    /// A start or stop is sent to the platform. Example: `guard.operation_sent("proof", 12, now)`.
    pub fn operation_sent(&mut self, function: &str, leader_epoch: u64, now: Micros) {
        let lease = self.lease;
        self.last_actions.retain(|_, last| now < last.at + lease);
        self.last_actions.insert(function.to_owned(), LastAction { leader_epoch, at: now });
    }

    /// The platform responded to a start or stop, which it may have counted as late as now.
    /// Example: `guard.operation_answered("proof", now)`.
    pub fn operation_answered(&mut self, function: &str, now: Micros) {
        if let Some(last) = self.last_actions.get_mut(function) {
            last.at = now;
        }
        if let Some(barred_until) = self.barred_until.get_mut(function) {
            *barred_until = (*barred_until).max(now + self.lease);
        }
    }

    /// Whether starts and stops of the function have to wait.
    /// Example: `if guard.is_barred("proof", now) { .. }`.
    pub fn is_barred(&self, function: &str, now: Micros) -> bool {
        !self.barred_until.is_empty() && self.barred_until.get(function).is_some_and(|until| now < *until)
    }

    /// Drops expired bars. Example: `guard.tick(now)`.
    pub fn tick(&mut self, now: Micros) {
        self.barred_until.retain(|_, until| now < *until);
    }
}

#[cfg(test)]
mod tests;
