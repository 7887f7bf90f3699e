//! Keeps a node from acting for a function again while the platform may still count its acts from before
//! another's term.
//!
//! Terms follow each other within a lease where they are given away (a stop, balance, a large function). If a
//! node gives a function to another, which acts, and gets it back at once, the platform sees the holders A, B, A
//! within one lease. So a node that takes a function back holds its starts and stops until a lease has passed
//! since its own last act, unless nobody else can have held the function in between. What a process that has just
//! started takes over from others is held too: the process before it, which has the same name, may have acted.

use monotonic_clock::Micros;
use std::collections::BTreeMap;

#[derive(Debug)]
struct LastAction {
    leader_epoch: u64,
    at: Micros,
}

/// The last acts of this process by function, and the functions that it does not act for yet.
/// Example: `ActionGuard::new(Micros::from_secs(3), now).is_barred("proof", now) == false`.
#[derive(Debug)]
pub struct ActionGuard {
    lease: Micros,
    began_at: Micros,
    /// Only those of the last lease.
    last_actions: BTreeMap<String, LastAction>,
    held_until: BTreeMap<String, Micros>,
}

impl ActionGuard {
    /// A process that begins now. Example: `ActionGuard::new(settings.lease, now)`.
    pub fn new(lease: Micros, now: Micros) -> ActionGuard {
        ActionGuard { lease, began_at: now, last_actions: BTreeMap::new(), held_until: BTreeMap::new() }
    }

    /// A term begins. Of the record that it was claimed on: the epoch, if it names this process, and whether it is
    /// the first ever or names a process that was at this place before.
    /// Example: `guard.term_taken("proof", 12, (Some(9), false), now)`.
    pub fn term_taken(
        &mut self,
        function: &str,
        leader_epoch: u64,
        (own_epoch_before, is_kept): (Option<u64>, bool),
        now: Micros,
    ) {
        let began_at = self.began_at;
        let quiet_since = match self.last_actions.get_mut(function) {
            Some(last) if own_epoch_before == Some(last.leader_epoch) => {
                last.leader_epoch = leader_epoch;
                return;
            }
            Some(last) => last.at,
            None if is_kept => return,
            None => began_at,
        };
        let held_until = quiet_since + self.lease;
        if now < held_until {
            self.held_until.insert(function.to_owned(), held_until);
        }
    }

    /// A start or stop leaves for the platform. Example: `guard.operation_sent("proof", 12, now)`.
    pub fn operation_sent(&mut self, function: &str, leader_epoch: u64, now: Micros) {
        let lease = self.lease;
        self.last_actions.retain(|_, last| now < last.at + lease);
        self.last_actions.insert(function.to_owned(), LastAction { leader_epoch, at: now });
    }

    /// The platform answered a start or stop: it may have counted it as late as now.
    /// Example: `guard.operation_answered("proof", now)`.
    pub fn operation_answered(&mut self, function: &str, now: Micros) {
        if let Some(last) = self.last_actions.get_mut(function) {
            last.at = now;
        }
        if let Some(held_until) = self.held_until.get_mut(function) {
            *held_until = (*held_until).max(now + self.lease);
        }
    }

    /// Whether starts and stops of the function have to wait. Example: `if guard.is_barred("proof", now) { .. }`.
    pub fn is_barred(&self, function: &str, now: Micros) -> bool {
        !self.held_until.is_empty() && self.held_until.get(function).is_some_and(|until| now < *until)
    }

    /// Forgets what is over. Example: `guard.tick(now)`.
    pub fn tick(&mut self, now: Micros) {
        self.held_until.retain(|_, until| now < *until);
    }
}

#[cfg(test)]
mod tests;
