//! Which observer copies are open to a claim, kept up to date as records change, so that nothing has to go
//! through all functions at each clock event.
//!
//! A record is open when nobody holds it, when its lease ran out by own observation, and when it names
//! this machine: this process, whose term may have ended, or one before it, which has surely ended. Renewals
//! only move a lease's end further away, so the earliest end that was ever noted is a lower bound: before
//! it no held record can have run out, and only from then on are all copies looked at again.

use crate::{ObserverCopy, lease_of};
use monotonic_clock::Micros;
use peer_messages::{NodeId, is_previous_incarnation};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(crate) struct HolderIndex {
    own: NodeId,
    /// Functions whose records are open as of the last look.
    open: BTreeSet<String>,
    /// Other nodes by the records that name them and are not open.
    held_by: BTreeMap<NodeId, usize>,
    /// No held record runs out before this.
    earliest_end: Micros,
}

impl HolderIndex {
    pub(crate) fn new(own: NodeId) -> HolderIndex {
        HolderIndex { own, open: BTreeSet::new(), held_by: BTreeMap::new(), earliest_end: Micros(u64::MAX) }
    }

    /// Functions open to a claim, as of the last look.
    pub(crate) fn open(&self) -> &BTreeSet<String> {
        &self.open
    }

    /// The other nodes that hold anything, as of the last look.
    pub(crate) fn holders(&self) -> impl Iterator<Item = NodeId> {
        self.held_by.keys().copied()
    }

    /// A record took another's place. Whether the new one ran out already is found at the next look.
    pub(crate) fn changed(&mut self, function: &str, before: Option<&ObserverCopy>, copy: &ObserverCopy) {
        if !self.open.remove(function)
            && let Some(holder) = before.and_then(|before| self.holder(before))
        {
            self.release(holder);
        }
        self.note(function, copy);
    }

    /// A record was renewed by its holder, at the copy's time of observation.
    pub(crate) fn renewed(&mut self, function: &str, copy: &ObserverCopy) {
        if !self.open.is_empty() && self.open.remove(function) {
            self.note(function, copy);
        }
    }

    /// Goes through all copies again after some of them were dropped.
    pub(crate) fn rebuild(&mut self, copies: &BTreeMap<String, ObserverCopy>) {
        self.open.clear();
        self.held_by.clear();
        self.earliest_end = Micros(u64::MAX);
        for (function, copy) in copies {
            self.note(function, copy);
        }
    }

    /// Finds the records whose leases ran out by now; costs nothing while none can have.
    pub(crate) fn refresh(&mut self, copies: &BTreeMap<String, ObserverCopy>, now: Micros) {
        if now < self.earliest_end {
            return;
        }
        self.earliest_end = Micros(u64::MAX);
        for (function, copy) in copies {
            let Some(holder) = self.holder(copy) else { continue };
            if self.open.contains(function) {
                continue;
            }
            let end = end_of(copy);
            if now >= end {
                self.open.insert(function.clone());
                self.release(holder);
            } else {
                self.earliest_end = self.earliest_end.min(end);
            }
        }
    }

    fn note(&mut self, function: &str, copy: &ObserverCopy) {
        match self.holder(copy) {
            Some(holder) => {
                *self.held_by.entry(holder).or_default() += 1;
                self.earliest_end = self.earliest_end.min(end_of(copy));
            }
            None => {
                self.open.insert(function.to_owned());
            }
        }
    }

    fn release(&mut self, holder: NodeId) {
        if let Some(count) = self.held_by.get_mut(&holder) {
            *count -= 1;
            if *count == 0 {
                self.held_by.remove(&holder);
            }
        }
    }

    /// The other machine's node that a record names.
    fn holder(&self, copy: &ObserverCopy) -> Option<NodeId> {
        let holder = copy.record.as_ref().map(|record| record.holder)?;
        let is_own_machine = holder == self.own || is_previous_incarnation(self.own, holder);
        (!is_own_machine).then_some(holder)
    }
}

fn end_of(copy: &ObserverCopy) -> Micros {
    copy.record.as_ref().map_or(Micros(u64::MAX), |record| copy.observed_at + lease_of(record))
}
