//! Index of the observer copies that are open to a claim, updated as records change, so that a tick does not
//! have to go through all functions.
//!
//! A record is open if it has no holder, if its lease expired by own observation, or if it names this node:
//! this process, whose term may have ended, or a previous incarnation, which has certainly ended. Renewals
//! only postpone the end of a lease, so the earliest end recorded is a lower bound: before it no held record
//! can have expired, and the copies need not be scanned.

use crate::{ObserverCopy, lease_of};
use monotonic_clock::Micros;
use peer_messages::{NodeId, is_previous_incarnation};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(crate) struct HolderIndex {
    own: NodeId,
    /// Functions whose records are open as of the last refresh.
    open: BTreeSet<String>,
    /// For each other node the number of records that name it and are not open.
    held_by: BTreeMap<NodeId, usize>,
    /// No held record expires before this.
    earliest_end: Micros,
}

impl HolderIndex {
    pub(crate) fn new(own: NodeId) -> HolderIndex {
        HolderIndex { own, open: BTreeSet::new(), held_by: BTreeMap::new(), earliest_end: Micros(u64::MAX) }
    }

    /// Functions open to a claim, as of the last refresh.
    pub(crate) fn open(&self) -> &BTreeSet<String> {
        &self.open
    }

    /// The other nodes that hold any record, as of the last refresh.
    pub(crate) fn holders(&self) -> impl Iterator<Item = NodeId> {
        self.held_by.keys().copied()
    }

    /// A record was replaced. The next refresh finds out whether the new one has expired already.
    pub(crate) fn record_changed(
        &mut self,
        function: &str,
        previous: Option<&ObserverCopy>,
        copy: &ObserverCopy,
    ) {
        if !self.open.remove(function)
            && let Some(holder) = previous.and_then(|previous| self.holder(previous))
        {
            self.release(holder);
        }
        self.insert(function, copy);
    }

    /// A record was renewed by its holder, at the copy's time of observation.
    pub(crate) fn record_renewed(&mut self, function: &str, copy: &ObserverCopy) {
        if !self.open.is_empty() && self.open.remove(function) {
            self.insert(function, copy);
        }
    }

    /// Builds the index anew after copies were dropped.
    pub(crate) fn rebuild(&mut self, copies: &BTreeMap<String, ObserverCopy>) {
        self.open.clear();
        self.held_by.clear();
        self.earliest_end = Micros(u64::MAX);
        for (function, copy) in copies {
            self.insert(function, copy);
        }
    }

    /// Finds the records whose leases have expired; returns at once while none can have.
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

    fn insert(&mut self, function: &str, copy: &ObserverCopy) {
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

    /// The holder that a record names, unless it is this node or a previous incarnation of it.
    fn holder(&self, copy: &ObserverCopy) -> Option<NodeId> {
        let holder = copy.record.as_ref().map(|record| record.holder)?;
        let is_own_node = holder == self.own || is_previous_incarnation(self.own, holder);
        (!is_own_node).then_some(holder)
    }
}

fn end_of(copy: &ObserverCopy) -> Micros {
    copy.record.as_ref().map_or(Micros(u64::MAX), |record| copy.observed_at + lease_of(record))
}
