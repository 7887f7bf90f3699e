//! What a leader hands to the one that it gives a function to: the tickets that are out, and who waits.

use super::{FunctionScheduler, OpenPermit, Urgency};
use monotonic_clock::Micros;
use peer_messages::{HeldPermit, NodeId, Permit, TransferredDemand, TransferredPermit};

/// An ask that waits as its leader goes. Example: see `FunctionScheduler::begin_handover`.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredRequest {
    /// Who asks, and under which number.
    pub requester: NodeId,
    /// The ask's number.
    pub request_id: u64,
    /// Until the call's time is over.
    pub time_left: Micros,
    /// Dispatches of the call so far.
    pub dispatches: u32,
    /// The cell that the last of them failed on; empty for none.
    pub avoid: String,
    /// Until the call's answer is late; none where no lane names a target.
    pub target_left: Option<Micros>,
    /// Zero goes first.
    pub rank: u16,
    /// Tells apart who calls; zero where no tenant does.
    pub tenant: u32,
    /// A call under way made it.
    pub is_nested: bool,
}

/// A function's work as its leader goes. Example: `let handover = work.begin_handover(now);`.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverState {
    /// Whether the tickets are all that are out: a leader that still asks for others' does not know.
    pub is_whole: bool,
    /// The tickets that are out.
    pub permits: Vec<TransferredPermit>,
    /// Who waits, in the order of the list.
    pub requests: Vec<TransferredRequest>,
    /// What was seen of the calls, and how many cells are kept for them.
    pub demand: TransferredDemand,
}

impl FunctionScheduler {
    /// Empties the list of those who wait and tells what is under way; nothing is granted any more.
    /// Example: `let handover = work.begin_handover(now);`.
    pub fn begin_handover(&mut self, now: Micros) -> HandoverState {
        let waiting = std::mem::take(&mut self.queue).into_iter().filter(|waiting| now < waiting.ends_at);
        let requests = waiting.map(|waiting| TransferredRequest {
            requester: waiting.requester,
            request_id: waiting.request_id,
            time_left: waiting.ends_at - now,
            dispatches: waiting.dispatches,
            avoid: waiting.avoid,
            target_left: (waiting.urgency.late_at != Urgency::default().late_at)
                .then(|| waiting.urgency.late_at - now),
            rank: waiting.urgency.rank,
            tenant: waiting.urgency.tenant,
            is_nested: waiting.urgency.is_nested,
        });
        let instances_kept = self.demanded_instances().total().min(self.keepable_instances());
        let permits = self.open.values().map(|open| TransferredPermit {
            requester: open.requester,
            held: HeldPermit { permit: open.permit.clone(), ends_in_micros: (open.ends_at - now).0 },
            is_over: u8::from(open.is_over),
        });
        HandoverState {
            is_whole: !self.is_careful(now),
            permits: permits.collect(),
            requests: requests.collect(),
            demand: TransferredDemand {
                instances_kept,
                usual_latency_micros: if self.knows_latency { self.usual_latency.0 } else { 0 },
                boot_micros: self.learnt_boot.0,
                ..self.demand.handover(now)
            },
        }
    }

    /// Takes over what the leader before knew to be out: cells are used in full at once, and only those who
    /// hold tickets are asked whether they still do.
    /// Example: `work.accept_handover(handover.permits, now)`.
    pub fn accept_handover(&mut self, permits: Vec<TransferredPermit>, now: Micros) {
        self.awaited_holders.clear();
        self.careful_until = now;
        for handover in permits {
            let TransferredPermit { requester, held, is_over } = handover;
            if !self.awaited_holders.contains(&requester) && requester != self.own {
                self.awaited_holders.push(requester);
            }
            if self.open.contains_key(&held.permit.id) {
                continue;
            }
            if let Some(instance) = self.instances.get_mut(&held.permit.instance.0) {
                instance.in_flight += 1;
            }
            let open_permit = OpenPermit {
                instance: held.permit.instance.0.clone(),
                requester,
                request_id: 0,
                dispatches: 0,
                granted_at: None,
                ends_at: now + Micros(held.ends_in_micros),
                permit: held.permit,
                is_over: is_over == 1,
            };
            self.open.insert(open_permit.permit.id, open_permit);
        }
    }

    /// Goes on from what the leader before saw of the calls and of the cells' boots.
    /// Example: `work.resume_demand(&handover.demand, now)`.
    pub fn resume_demand(&mut self, handover: &TransferredDemand, now: Micros) {
        self.demand.resume(handover, now);
        if handover.called_for_micros > 0 {
            self.called_at = now;
        }
        if handover.instances_kept > 0 {
            self.hold_instances(handover.instances_kept, now);
        }
        if handover.usual_latency_micros > 0 {
            self.usual_latency = Micros(handover.usual_latency_micros);
            self.knows_latency = true;
        }
        if handover.boot_micros > 0 {
            let longest_boot = Micros(self.settings.boot.0 * 2);
            self.learnt_boot = Micros(handover.boot_micros).min(longest_boot);
        }
    }

    /// Tickets of leaders before that a node does not name any more were returned to them.
    pub(super) fn drop_returned(&mut self, node: NodeId, held: &[(Permit, Micros)]) {
        let is_returned = |open: &OpenPermit| {
            let is_named = held.iter().any(|(permit, _)| permit.id == open.permit.id);
            open.requester == node && open.granted_at.is_none() && !open.is_over && !is_named
        };
        let returned: Vec<u64> =
            self.open.iter().filter(|(_, open)| is_returned(open)).map(|(id, _)| *id).collect();
        for permit_id in returned {
            let Some(open) = self.open.remove(&permit_id) else { continue };
            if let Some(instance) = self.instances.get_mut(&open.instance) {
                instance.in_flight = instance.in_flight.saturating_sub(1);
            }
        }
    }
}

#[cfg(test)]
mod tests;
