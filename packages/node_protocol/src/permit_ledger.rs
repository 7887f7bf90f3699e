//! The tickets that a node holds: each is used for one dispatch, however often its grant arrives.

use monotonic_clock::Micros;
use peer_messages::{HeldPermit, Permit};
use std::collections::BTreeMap;

/// How long a ticket is known past the end of the call that it was granted to: a grant that arrives
/// once more in that time is known as a repeat.
const KNOWN_PAST_END: Micros = Micros::from_secs(1);

/// What becomes of a grant. Example: `PermitAdmission::Repeated` for the second arrival of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PermitAdmission {
    /// It is the call's, for one dispatch.
    Used,
    /// It goes back unused; `is_wanted` where the call still waits for another.
    Returned { is_wanted: bool },
    /// It was used before: nothing is done.
    Repeated,
}

/// A ticket that this node has, or had.
#[derive(Clone, Debug)]
struct HeldHere {
    permit: Permit,
    ends_at: Micros,
    is_done: bool,
}

/// All tickets of a node, with the newest steward epoch seen for each function.
/// Example: `PermitLedger::default().admit(&permit, Some(ends_at), false, now)`.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    held: BTreeMap<u64, HeldHere>,
    newest_epochs: BTreeMap<String, u64>,
}

impl PermitLedger {
    /// A steward of this epoch spoke: tickets of older ones are used no more.
    /// Example: `ledger.saw_epoch("proof", 4)`.
    pub fn saw_epoch(&mut self, function: &str, leader_epoch: u64) {
        let newest_epoch = self.newest_epochs.entry(function.to_owned()).or_default();
        *newest_epoch = leader_epoch.max(*newest_epoch);
    }

    /// A grant arrived. `request_ends_at` is the end of the call that waits for it, if one does; `is_barred`
    /// where the node may not use it now. A deputy's ticket, of epoch 0, is never stale.
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
        self.saw_epoch(&permit.function.0, permit.leader_epoch);
        if self.held.contains_key(&permit.id) {
            return PermitAdmission::Repeated;
        }
        let Some(request_ends_at) = request_ends_at.filter(|ends_at| now < *ends_at) else {
            return PermitAdmission::Returned { is_wanted: false };
        };
        if is_stale || is_barred {
            return PermitAdmission::Returned { is_wanted: true };
        }
        let ends_at = request_ends_at + KNOWN_PAST_END;
        self.held.insert(permit.id, HeldHere { permit: permit.clone(), ends_at, is_done: false });
        PermitAdmission::Used
    }

    /// Whether a ticket is still kept in mind. Example: `ledger.is_known(permit.id)`.
    pub fn is_known(&self, permit_id: u64) -> bool {
        self.held.contains_key(&permit_id)
    }

    /// The ticket's dispatch is over. Example: `ledger.done(permit.id)`.
    pub fn done(&mut self, permit_id: u64) {
        if let Some(held) = self.held.get_mut(&permit_id) {
            held.is_done = true;
        }
    }

    /// The tickets in use for a function. Example: `ledger.held_for("proof", now)`.
    pub fn held_for(&self, function: &str, now: Micros) -> Vec<HeldPermit> {
        self.held
            .values()
            .filter(|held| !held.is_done && held.permit.function.0 == function)
            .map(|held| HeldPermit { permit: held.permit.clone(), ends_in_micros: (held.ends_at - now).0 })
            .collect()
    }

    /// Forgets tickets whose calls are long over. Example: `ledger.expire(now)`.
    pub fn expire(&mut self, now: Micros) {
        self.held.retain(|_, held| now < held.ends_at);
    }
}
