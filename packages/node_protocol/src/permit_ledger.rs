//! The permits that a node holds. Each permit is used for one dispatch, even if its grant arrives repeatedly.

use monotonic_clock::Micros;
use peer_messages::{HeldPermit, Permit};
use std::collections::BTreeMap;

/// A permit is remembered for this long after the end of its call, so that a duplicate grant is detected.
const REPEAT_DETECTION_SPAN: Micros = Micros::from_secs(1);

/// The outcome of a received grant. Example: `PermitAdmission::Repeated` for a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PermitAdmission {
    /// The call uses the permit for one dispatch.
    Used,
    /// The permit is returned unused; `is_wanted` if the call still waits for another one.
    Returned { is_wanted: bool },
    /// A duplicate of a grant that was used: ignored.
    Repeated,
}

/// A permit that this node holds or held.
#[derive(Clone, Debug)]
struct LedgerEntry {
    permit: Permit,
    ends_at: Micros,
    is_done: bool,
}

/// All permits of a node and the newest leader epoch seen for each function.
/// Example: `PermitLedger::default().admit(&permit, Some(ends_at), false, now)`.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    entries: BTreeMap<u64, LedgerEntry>,
    newest_epochs: BTreeMap<String, u64>,
}

impl PermitLedger {
    /// Records a leader epoch; permits of older epochs are not used from now on.
    /// Example: `ledger.record_epoch("proof", 4)`.
    pub fn record_epoch(&mut self, function: &str, leader_epoch: u64) {
        let newest_epoch = self.newest_epochs.entry(function.to_owned()).or_default();
        *newest_epoch = leader_epoch.max(*newest_epoch);
    }

    /// Decides on a received grant. `request_ends_at` is the deadline of the call that waits for it, if any;
    /// `is_barred` if the node must not use the permit now. A fallback's permit has epoch 0 and is never stale.
    /// Example: `ledger.admit(&permit, None, false, now) == PermitAdmission::Returned { is_wanted: false }`.
    pub fn admit(
        &mut self,
        permit: &Permit,
        request_ends_at: Option<Micros>,
        is_barred: bool,
        now: Micros,
    ) -> PermitAdmission {
        let newest_epoch = self.newest_epochs.get(&permit.function.0).copied().unwrap_or(0);
        let is_stale = permit.leader_epoch != 0 && permit.leader_epoch < newest_epoch;
        self.record_epoch(&permit.function.0, permit.leader_epoch);
        if self.entries.contains_key(&permit.id) {
            return PermitAdmission::Repeated;
        }
        let Some(request_ends_at) = request_ends_at.filter(|ends_at| now < *ends_at) else {
            return PermitAdmission::Returned { is_wanted: false };
        };
        if is_stale || is_barred {
            return PermitAdmission::Returned { is_wanted: true };
        }
        let ends_at = request_ends_at + REPEAT_DETECTION_SPAN;
        self.entries.insert(permit.id, LedgerEntry { permit: permit.clone(), ends_at, is_done: false });
        PermitAdmission::Used
    }

    /// Whether the ledger still holds an entry for a permit. Example: `ledger.is_known(permit.id)`.
    pub fn is_known(&self, permit_id: u64) -> bool {
        self.entries.contains_key(&permit_id)
    }

    /// Records that the permit's dispatch has ended. Example: `ledger.done(permit.id)`.
    pub fn done(&mut self, permit_id: u64) {
        if let Some(entry) = self.entries.get_mut(&permit_id) {
            entry.is_done = true;
        }
    }

    /// The permits in use for a function. Example: `ledger.held_for("proof", now)`.
    pub fn held_for(&self, function: &str, now: Micros) -> Vec<HeldPermit> {
        self.entries
            .values()
            .filter(|entry| !entry.is_done && entry.permit.function.0 == function)
            .map(|entry| HeldPermit { permit: entry.permit.clone(), ends_in_micros: (entry.ends_at - now).0 })
            .collect()
    }

    /// Removes permits whose calls ended longer ago than the retention. Example: `ledger.expire(now)`.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, entry| now < entry.ends_at);
    }
}
