//! Asks for tickets that this node passes on for nodes that cannot reach a function's leader.
//!
//! A node that is cut off from the leader asks the function's deputy. Where the deputy itself reaches the
//! leader, the ask goes on to it under a number of the deputy's own, and what the leader answers goes back: the
//! leader keeps counting every ticket, so no cell is handed more than it may run. The ticket's return takes the
//! same way. A relay keeps nothing that must not be lost: an ask that is repeated is passed on again under its
//! number, and a return that is lost is made up for by the end of the ticket, as on the direct way.

use monotonic_clock::Micros;
use peer_messages::{HeldPermit, NodeId, Permit};
use std::collections::BTreeMap;

/// Numbers from here on are those of relayed asks; a node's own calls stay below.
const FIRST_NUMBER: u64 = 1 << 63;
/// Asks and tickets kept in mind; what comes beyond that is not relayed.
const RELAYED_MOST: usize = 4_096;
/// A ticket is returned within its call's time, or a little later.
const RETURN_SPAN: Micros = Micros::from_secs(1);

/// An ask on its way between a node and the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayedRequest {
    /// Who wants the ticket, and under which number.
    pub(crate) requester: NodeId,
    pub(crate) request_id: u64,
    /// The leader that was asked.
    pub(crate) leader: NodeId,
    /// When it was asked last, if it has not answered since.
    pub(crate) unanswered_since: Option<Micros>,
    ends_at: Micros,
}

/// The asks and tickets that this node relays. Example: `RequestRelay::default().number_of(7, 12) == None`.
#[derive(Debug, Default)]
pub(crate) struct RequestRelay {
    by_number: BTreeMap<u64, RelayedRequest>,
    numbers: BTreeMap<(NodeId, u64), u64>,
    /// Tickets that went through here, by id, until they cannot be returned any more.
    permits: BTreeMap<u64, (Permit, Micros)>,
    next: u64,
}

/// Whether an ask's number is one of a relay. Example: `is_relayed(12) == false`.
pub(crate) fn is_relayed(number: u64) -> bool {
    number >= FIRST_NUMBER
}

impl RequestRelay {
    /// The number under which an ask was passed on before.
    pub(crate) fn number_of(&self, requester: NodeId, request_id: u64) -> Option<u64> {
        self.numbers.get(&(requester, request_id)).copied()
    }

    /// The ask that was passed on under a number.
    pub(crate) fn get(&self, number: u64) -> Option<&RelayedRequest> {
        self.by_number.get(&number)
    }

    /// Notes that an ask goes to a leader now, and gives its number; none where too many are on their way.
    pub(crate) fn pass_on(
        &mut self,
        requester: NodeId,
        request_id: u64,
        leader: NodeId,
        ends_at: Micros,
        now: Micros,
    ) -> Option<u64> {
        let number = match self.number_of(requester, request_id) {
            Some(number) => number,
            None if self.by_number.len() >= RELAYED_MOST => return None,
            None => {
                self.next += 1;
                FIRST_NUMBER | self.next
            }
        };
        self.numbers.insert((requester, request_id), number);
        let unanswered_since = self
            .by_number
            .get(&number)
            .filter(|before| before.leader == leader)
            .and_then(|before| before.unanswered_since);
        let unanswered_since = Some(unanswered_since.unwrap_or(now));
        self.by_number
            .insert(number, RelayedRequest { requester, request_id, leader, unanswered_since, ends_at });
        Some(number)
    }

    /// The leader answered; gives who asked, under which number.
    pub(crate) fn answered(&mut self, number: u64, leader: NodeId) -> Option<(NodeId, u64)> {
        let relayed = self.by_number.get_mut(&number).filter(|relayed| relayed.leader == leader)?;
        relayed.unanswered_since = None;
        Some((relayed.requester, relayed.request_id))
    }

    /// The ask waits no more.
    pub(crate) fn finish(&mut self, number: u64) -> Option<RelayedRequest> {
        let relayed = self.by_number.remove(&number)?;
        self.numbers.remove(&(relayed.requester, relayed.request_id));
        Some(relayed)
    }

    /// A ticket went through here: its return does too.
    pub(crate) fn note_permit(&mut self, permit: &Permit, ends_at: Micros) {
        if self.permits.len() < RELAYED_MOST {
            self.permits.insert(permit.id, (permit.clone(), ends_at + RETURN_SPAN));
        }
    }

    /// Whether a ticket that is returned here went through here.
    pub(crate) fn accepts_return(&mut self, permit: &Permit) -> bool {
        self.permits.remove(&permit.id).is_some()
    }

    /// When the call of a relayed ask is over.
    pub(crate) fn end_of(&self, number: u64) -> Option<Micros> {
        self.by_number.get(&number).map(|relayed| relayed.ends_at)
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now: Micros) {
        let over: Vec<u64> = self
            .by_number
            .iter()
            .filter(|(_, relayed)| now >= relayed.ends_at)
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            self.finish(number);
        }
        self.permits.retain(|_, (_, ends_at)| now < *ends_at);
    }

    /// The tickets for a function that went through here and did not come back yet.
    pub(crate) fn held_for(&self, function: &str, now: Micros) -> impl Iterator<Item = HeldPermit> {
        let permits = self.permits.values().filter(move |(permit, _)| permit.function.0 == function);
        permits.map(move |(permit, ends_at)| HeldPermit {
            permit: permit.clone(),
            ends_in_micros: (*ends_at - now).0,
        })
    }
}

#[cfg(test)]
mod tests;
