//! The state a leader transfers to its successor for a function: the open permits and the queue.

use super::{FunctionScheduler, OpenPermit, Urgency};
use monotonic_clock::Micros;
use peer_messages::{HeldPermit, NodeId, Permit, TransferredDemand, TransferredPermit};

/// A queued request at the time of a handover. Example: see `FunctionScheduler::begin_handover`.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredRequest {
    /// The node that requests the permit.
    pub requester: NodeId,
    /// The requester's id for the request.
    pub request_id: u64,
    /// Time left until the call's deadline.
    pub time_left: Micros,
    /// Dispatches of the call so far.
    pub dispatches: u32,
    /// The instance on which the last dispatch failed; empty for none.
    pub avoid: String,
    /// Time left until the response is late; none if no route has a target.
    pub target_left: Option<Micros>,
    /// Lower ranks go first.
    pub rank: u16,
    /// Hash of the calling tenant; zero for none.
    pub tenant: u32,
    /// The call was made by a running call.
    pub is_nested: bool,
}

/// A function's state at the time of a handover. Example: `let handover = scheduler.begin_handover(now);`.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverState {
    /// Whether `permits` holds all open permits; `false` while the leader itself still awaits the permits of
    /// others.
    pub is_complete: bool,
    /// The open permits.
    pub permits: Vec<TransferredPermit>,
    /// The queued requests, in queue order.
    pub requests: Vec<TransferredRequest>,
    /// The call history, and the number of instances kept for it.
    pub demand: TransferredDemand,
}

impl FunctionScheduler {
    /// Empties the queue and returns it together with the open permits; no permit is granted after this.
    /// Example: `let handover = scheduler.begin_handover(now);`.
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
            is_complete: !self.is_half_limited(now),
            permits: permits.collect(),
            requests: requests.collect(),
            demand: TransferredDemand {
                instances_kept,
                usual_latency_micros: if self.knows_latency { self.usual_latency.0 } else { 0 },
                boot_micros: self.boot_estimate.0,
                ..self.demand.handover(now)
            },
        }
    }

    /// Takes over the permits that the previous leader knew to be open. Instances are used up to their full
    /// limit at once, and only the holders of these permits are queried for what they still hold.
    /// Example: `scheduler.accept_handover(handover.permits, now)`.
    pub fn accept_handover(&mut self, permits: Vec<TransferredPermit>, now: Micros) {
        self.awaited_holders.clear();
        self.half_limit_until = now;
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

    /// Continues from the previous leader's call history, latency and boot time.
    /// Example: `scheduler.resume_demand(&handover.demand, now)`.
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
            self.boot_estimate = Micros(handover.boot_micros).min(longest_boot);
        }
    }

    /// Removes permits of previous leaders that a node no longer names: they were returned to those leaders.
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
