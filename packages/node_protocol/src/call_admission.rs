//! Permits for this node's own calls: requests to leaders and fallbacks, held permits, and relayed requests.

use crate::node::{Node, PAUSE_PER_MEMBER};
use crate::permit_ledger::{PermitAdmission, PermitLedger};
use crate::request_relay::{RequestRelay, is_relayed};
use crate::{Action, RefusedAs};
use deku::DekuContainerRead;
use function_scheduler::{PermitParameters, ReadyInstance, UNUSED, Urgency};
use monotonic_clock::Micros;
use peer_messages::permit_request::{AS_FALLBACK, AS_LEADER, AS_RELAY};
use peer_messages::{
    HeldPermit, HeldPermitsRequestEntry, HeldPermitsResponseEntry, List, Message, NodeId, Permit,
    ReadyInstancesUpdate, tenant_hash,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request that the leader leaves unanswered for this long goes to the fallback.
const LEADER_TIMEOUT: Micros = Micros::from_millis(200);
/// A queued request is repeated at this interval, so that both sides know that the other still exists.
const KEEP_ALIVE_INTERVAL: Micros = Micros::from_millis(500);
/// The pause after an attempt without a permit; it doubles with each further attempt.
const REQUEST_RETRY_PAUSE: Micros = Micros::from_millis(60);
/// The maximum pause in a small fleet. In a large fleet the maximum grows with the number of members, up to a
/// limit: frequent requests of many nodes would overload a node that is recovering.
const REQUEST_RETRY_MAX: Micros = Micros::from_millis(120);
const LARGE_FLEET_REQUEST_RETRY_MAX: Micros = Micros::from_millis(480);
/// A node that left requests unanswered and from which nothing was received for this long is out of reach.
const OUT_OF_REACH_AFTER: Micros = Micros::from_secs(1);
/// A reported leader is used for this long without its record having been seen.
const REPORTED_LEADER_SPAN: Micros = Micros::from_secs(3);
/// A node that left a request unanswered and has sent nothing since is avoided for this long. Membership takes
/// seconds to detect that many nodes are gone at once, which is too long for the calls.
const SILENCE_RETENTION: Micros = Micros::from_secs(2);

#[derive(Debug)]
struct CallRequest {
    function: String,
    ends_at: Micros,
    dispatches: u32,
    avoid: String,
    urgency: Urgency,
    tenant: Option<Arc<str>>,
    requested: Option<NodeId>,
    requested_at: Micros,
    is_leader_next: bool,
    next_at: Micros,
    attempts: u32,
}

/// A leader that was reported by a message before its record was seen.
#[derive(Clone, Copy, Debug)]
struct ReportedLeader {
    leader: NodeId,
    leader_epoch: u64,
    reported_at: Micros,
}

#[derive(Debug)]
pub(crate) struct CallAdmission {
    /// By call id, which is also the request id: a call has one request at a time.
    requests: BTreeMap<u64, CallRequest>,
    permits: PermitLedger,
    relay: RequestRelay,
    /// By permit id, the node that relayed a permit, if it did not come directly from its granter.
    relayed_by: BTreeMap<u64, NodeId>,
    reported_leaders: BTreeMap<String, ReportedLeader>,
    /// When a message of each node was last received, and since when the node is silent.
    received_at: BTreeMap<NodeId, Micros>,
    silent_since: BTreeMap<NodeId, Micros>,
}

impl CallAdmission {
    pub(crate) fn new() -> CallAdmission {
        CallAdmission {
            requests: BTreeMap::new(),
            permits: PermitLedger::default(),
            relay: RequestRelay::default(),
            relayed_by: BTreeMap::new(),
            reported_leaders: BTreeMap::new(),
            received_at: BTreeMap::new(),
            silent_since: BTreeMap::new(),
        }
    }

    /// Records a message of a node, which shows that the node is reachable.
    pub(crate) fn received_from(&mut self, node: NodeId, now: Micros) {
        self.received_at.insert(node, now);
        self.silent_since.remove(&node);
    }

    /// Whether a message of a node was received since then.
    pub(crate) fn has_received_since(&self, node: NodeId, since: Micros) -> bool {
        self.received_at.get(&node).is_some_and(|received_at| *received_at > since)
    }

    pub(crate) fn forget(&mut self, node: NodeId) {
        self.received_at.remove(&node);
        self.silent_since.remove(&node);
    }

    fn record_silence(&mut self, node: NodeId, requested_at: Micros, now: Micros) {
        if self.received_at.get(&node).is_none_or(|received_at| *received_at < requested_at) {
            self.silent_since.entry(node).or_insert(now);
        }
    }

    fn is_silent(&self, node: NodeId, now: Micros) -> bool {
        self.silent_since.get(&node).is_some_and(|since| now < *since + SILENCE_RETENTION)
    }

    /// The permits in use for a function, by this node and by nodes that it relays for.
    pub(crate) fn held_for(&self, function: &str, now: Micros) -> Vec<HeldPermit> {
        let mut held = self.permits.held_for(function, now);
        held.extend(self.relay.held_for(function, now));
        held
    }

    /// Records that a node leads a function under this epoch, as reported by itself or by its predecessor.
    pub(crate) fn record_leader(&mut self, function: &str, leader: NodeId, leader_epoch: u64, now: Micros) {
        let known = self.reported_leaders.get(function);
        if known.is_none_or(|known| known.leader_epoch < leader_epoch) {
            let reported = ReportedLeader { leader, leader_epoch, reported_at: now };
            self.reported_leaders.insert(function.to_owned(), reported);
        }
    }
}

impl Node {
    pub(crate) fn call_needs_permit(&mut self, call: u64, parameters: PermitParameters) {
        self.leadership.traffic_since.get_or_insert(self.now);
        let late_at = parameters.target_left.map_or(Micros(u64::MAX), |left| self.now + left);
        let request = CallRequest {
            function: parameters.function,
            ends_at: self.now + parameters.time_left,
            dispatches: parameters.dispatches,
            avoid: parameters.avoid,
            urgency: Urgency {
                late_at,
                rank: parameters.rank,
                tenant: parameters.tenant.as_deref().map_or(0, tenant_hash),
                is_nested: parameters.is_nested,
            },
            tenant: parameters.tenant,
            requested: None,
            requested_at: self.now,
            is_leader_next: false,
            next_at: self.now,
            attempts: 0,
        };
        self.calls.requests.insert(call, request);
        self.advance_request(call);
    }

    pub(crate) fn call_ends(&mut self, call: u64) {
        let Some(request) = self.calls.requests.remove(&call) else { return };
        if let Some(requested) = request.requested {
            let function = request.function.as_str().into();
            self.send(requested, Message::PermitWithdraw { request_id: call, function });
        }
    }

    /// Advances a request: refuses the call, or sends the request to the leader or, if it is silent, the fallback.
    fn advance_request(&mut self, call: u64) {
        let now = self.now;
        let Some(request) = self.calls.requests.get_mut(&call) else { return };
        if now >= request.ends_at {
            self.refuse_call(call, RefusedAs::NoTimeLeft, "no time left", Micros::from_secs(1));
            return;
        }
        if now < request.next_at {
            return;
        }
        if self.configuration.is_suspected() {
            request.next_at = now + REQUEST_RETRY_PAUSE;
            return;
        }
        request.attempts += 1;
        let attempts = request.attempts;
        let function = request.function.clone();
        if let Some(requested) = request.requested.filter(|requested| *requested != self.settings.node) {
            let requested_at = request.requested_at;
            self.calls.record_silence(requested, requested_at, now);
        }
        if !self.configuration.current().functions.contains_key(&function) {
            self.refuse_call(call, RefusedAs::NoFunction, "function not configured", Micros::from_secs(1));
            return;
        }
        let holder = self.leader_of(&function);
        let reachable_leader = holder.filter(|node| {
            *node == self.settings.node
                || (self.members.find(*node).is_some() && !self.calls.is_silent(*node, now))
        });
        if reachable_leader.is_none() {
            self.leadership.election.record_waiting_call(&function);
        }
        let Some(request) = self.calls.requests.get(&call) else { return };
        // If the leader did not respond in time or denied being the leader, the next request goes to the
        // fallback; further attempts alternate between the two.
        let is_leader_turn = !(request.requested.is_some()
            && request.requested == reachable_leader
            && !request.is_leader_next);
        let (node, is_fallback) = match reachable_leader {
            Some(leader) if is_leader_turn => (leader, false),
            _ => match self.fallback_of(&function, holder) {
                Some(fallback) => (fallback, true),
                None => match reachable_leader {
                    Some(leader) => (leader, false),
                    None => {
                        self.delay_retry(call, self.request_retry_pause(attempts));
                        return;
                    }
                },
            },
        };
        let is_leader_out_of_reach = holder.is_some_and(|leader| self.is_out_of_reach(leader));
        let Some(request) = self.calls.requests.get_mut(&call) else { return };
        request.requested = Some(node);
        request.requested_at = now;
        request.is_leader_next = is_fallback;
        request.next_at = now + LEADER_TIMEOUT;
        let message = Message::PermitRequest {
            request_id: call,
            function: function.into(),
            time_left_micros: (request.ends_at - now).0,
            dispatches: u8::try_from(request.dispatches).unwrap_or(u8::MAX),
            avoid: request.avoid.as_str().into(),
            fallback: match (is_fallback, is_leader_out_of_reach) {
                (false, _) => AS_LEADER,
                (true, false) => AS_FALLBACK,
                (true, true) => AS_RELAY,
            },
            target_left_micros: match request.urgency.late_at {
                Micros(u64::MAX) => u64::MAX,
                late_at => (late_at - now).0,
            },
            rank: request.urgency.rank,
            nested: u8::from(request.urgency.is_nested),
            tenant: request.urgency.tenant,
        };
        self.send(node, message);
    }

    /// The leader of a function, by its record or by a report of a newer epoch that the record does not show yet.
    pub(crate) fn leader_of(&self, function: &str) -> Option<NodeId> {
        let recorded = self.leadership.election.holder(function, self.now);
        let reported = self.calls.reported_leaders.get(function);
        let reported = reported.filter(|reported| self.now < reported.reported_at + REPORTED_LEADER_SPAN);
        match (recorded, reported) {
            (Some((node, epoch)), Some(reported)) if epoch >= reported.leader_epoch => Some(node),
            (_, Some(reported)) => Some(reported.leader),
            (recorded, None) => recorded.map(|(node, _)| node),
        }
    }

    /// The pause before the next attempt of a call that got no permit.
    fn request_retry_pause(&self, attempts: u32) -> Micros {
        let fleet_pause = Micros(PAUSE_PER_MEMBER.0 * self.member_count() as u64);
        let max_pause = fleet_pause.clamp(REQUEST_RETRY_MAX, LARGE_FLEET_REQUEST_RETRY_MAX);
        let doublings = attempts.saturating_sub(2).min(8);
        Micros(REQUEST_RETRY_PAUSE.0 << doublings).min(max_pause)
    }

    fn delay_retry(&mut self, call: u64, pause: Micros) {
        let next_at = self.now + pause;
        if let Some(request) = self.calls.requests.get_mut(&call) {
            request.next_at = next_at;
        }
    }

    /// The reachable node with the highest rendezvous weight, the leader excluded.
    fn fallback_of(&self, function: &str, leader: Option<NodeId>) -> Option<NodeId> {
        let reachable = self
            .serving_members()
            .into_iter()
            .filter(|node| Some(*node) != leader && !self.calls.is_silent(*node, self.now));
        Node::rendezvous_choice(function, reachable)
    }

    fn refuse_call(&mut self, call: u64, refused_as: RefusedAs, reason: &str, retry_after: Micros) {
        self.call_ends(call);
        self.emit(Action::CallRefused { call, refused_as, reason: reason.to_owned(), retry_after });
    }

    pub(crate) fn handle_call_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::PermitGranted { request_id, permit } if is_relayed(request_id) => {
                self.relay_grant(from, request_id, permit);
            }
            Message::PermitDeferred { request_id, outcome, reason, retry_after_millis }
                if is_relayed(request_id) =>
            {
                let Some((requester, own_request_id)) = self.calls.relay.record_response(request_id, from)
                else {
                    return;
                };
                if outcome != 0 {
                    self.calls.relay.finish(request_id);
                }
                self.send(
                    requester,
                    Message::PermitDeferred {
                        request_id: own_request_id,
                        outcome,
                        reason,
                        retry_after_millis,
                    },
                );
            }
            Message::PermitGranted { request_id, permit } => self.permit_granted(from, request_id, permit),
            Message::PermitDeferred { request_id, outcome, reason, retry_after_millis } => {
                let Some(call_request) = self.calls.requests.get(&request_id) else { return };
                if call_request.requested != Some(from) {
                    return;
                }
                match outcome {
                    0 => self.delay_retry(request_id, KEEP_ALIVE_INTERVAL),
                    1 => {
                        let retry_after = Micros::from_millis(retry_after_millis.min(600_000));
                        self.refuse_call(request_id, RefusedAs::Rejected, &reason.0, retry_after);
                    }
                    _ => {
                        // Not the leader, or a fallback without a free instance: retried shortly.
                        let attempts = call_request.attempts;
                        let pause =
                            if attempts <= 1 { Micros(0) } else { self.request_retry_pause(attempts) };
                        self.delay_retry(request_id, pause);
                    }
                }
                // A leader that queues the request is alive: the next attempt goes to it, not to the fallback.
                if outcome == 0
                    && let Some(call_request) = self.calls.requests.get_mut(&request_id)
                {
                    call_request.is_leader_next = true;
                }
            }
            Message::HeldPermitsRequest { functions } => {
                let mut responses = Vec::new();
                for HeldPermitsRequestEntry { function, leader_epoch } in functions.0 {
                    self.calls.record_leader(&function.0, from, leader_epoch, self.now);
                    self.calls.permits.record_epoch(&function.0, leader_epoch);
                    let permits = List(self.calls.held_for(&function.0, self.now));
                    responses.push(HeldPermitsResponseEntry { function, leader_epoch, permits });
                }
                self.send(from, Message::HeldPermitsResponse { functions: List(responses) });
            }
            _ => {}
        }
    }

    fn permit_granted(&mut self, from: NodeId, call: u64, permit: Permit) {
        let now = self.now;
        let request = self.calls.requests.get(&call).filter(|request| request.function == permit.function.0);
        let request_ends_at = request.map(|request| request.ends_at);
        let is_barred = self.configuration.is_suspected() || self.is_barred(&permit);
        if permit.leader_epoch > 0 {
            self.calls.record_leader(&permit.function.0, permit.granted_by, permit.leader_epoch, now);
        }
        match self.calls.permits.admit(&permit, request_ends_at, is_barred, now) {
            PermitAdmission::Repeated => {}
            PermitAdmission::Returned { is_wanted } => {
                self.send(from, Message::PermitReturn { permit, outcome: UNUSED, latency_micros: 0 });
                if is_wanted {
                    self.delay_retry(call, REQUEST_RETRY_PAUSE);
                }
            }
            PermitAdmission::Used => {
                let tenant = self.calls.requests.remove(&call).and_then(|request| request.tenant);
                self.count_usage(permit.id, tenant);
                if permit.granted_by != from {
                    self.calls.relayed_by.insert(permit.id, from);
                }
                self.emit(Action::CallGranted { call, permit });
            }
        }
    }

    pub(crate) fn permit_done(&mut self, permit: &Permit, outcome: u8, latency: Micros) {
        self.calls.permits.done(permit.id);
        self.settle_usage(permit.id, outcome);
        let message = Message::PermitReturn { permit: permit.clone(), outcome, latency_micros: latency.0 };
        // The current leader may count a permit that a fallback or an earlier leader granted.
        let leader = self.leader_of(&permit.function.0);
        if let Some(leader) = leader.filter(|node| *node != permit.granted_by) {
            self.send(leader, message.clone());
        }
        if let Some(relay) = self.calls.relayed_by.remove(&permit.id) {
            self.send(relay, message.clone());
        }
        self.send(permit.granted_by, message);
    }

    /// Relays a request to the function's leader for a node that cannot reach it; `true` if it was sent.
    pub(crate) fn relay_request(&mut self, requester: NodeId, leader: NodeId, mut message: Message) -> bool {
        let now = self.now;
        let Message::PermitRequest { ref mut request_id, time_left_micros, ref mut fallback, .. } = message
        else {
            return false;
        };
        let is_serving = self.members.find(leader).is_some_and(|member| member.draining == 0);
        if leader == self.settings.node || leader == requester || !is_serving {
            return false;
        }
        let before = self
            .calls
            .relay
            .relay_id_of(requester, *request_id)
            .and_then(|relay_id| self.calls.relay.get(relay_id));
        let unanswered = before.filter(|relayed| relayed.leader == leader);
        let unanswered_since = unanswered.and_then(|relayed| relayed.unanswered_since);
        if let Some(requested_at) =
            unanswered_since.filter(|requested_at| now >= *requested_at + LEADER_TIMEOUT)
        {
            self.calls.record_silence(leader, requested_at, now);
        }
        if self.calls.is_silent(leader, now) {
            return false;
        }
        let ends_at = now + Micros(time_left_micros);
        let Some(relay_id) = self.calls.relay.register(requester, *request_id, leader, ends_at, now) else {
            return false;
        };
        *request_id = relay_id;
        // The recipient must not act as a fallback, so a request is relayed only once.
        *fallback = AS_LEADER;
        self.send(leader, message);
        true
    }

    /// Whether a node left requests unanswered and sent nothing else for so long that it is more likely
    /// partitioned from this node than slow.
    fn is_out_of_reach(&self, node: NodeId) -> bool {
        let is_silent = self.calls.is_silent(node, self.now);
        let received_at = self.calls.received_at.get(&node);
        is_silent && received_at.is_some_and(|received_at| self.now >= *received_at + OUT_OF_REACH_AFTER)
    }

    /// Whether a message of a node was received within the response timeout of a request.
    pub(crate) fn has_received_recently(&self, node: NodeId) -> bool {
        let received_at = self.calls.received_at.get(&node);
        received_at.is_some_and(|received_at| self.now < *received_at + LEADER_TIMEOUT)
    }

    fn relay_grant(&mut self, from: NodeId, relay_id: u64, permit: Permit) {
        let ends_at = self.calls.relay.end_of(relay_id);
        let requester = self.calls.relay.record_response(relay_id, from);
        let (Some(ends_at), Some((requester, request_id))) = (ends_at, requester) else {
            self.send(from, Message::PermitReturn { permit, outcome: UNUSED, latency_micros: 0 });
            return;
        };
        self.calls.relay.record_permit(&permit, ends_at);
        self.send(requester, Message::PermitGranted { request_id, permit });
    }

    /// Withdraws a relayed request whose call has ended.
    pub(crate) fn relay_withdraw(&mut self, requester: NodeId, request_id: u64, function: &str) {
        let relay_id = self.calls.relay.relay_id_of(requester, request_id);
        let Some((relay_id, relayed)) =
            relay_id.and_then(|relay_id| Some((relay_id, self.calls.relay.finish(relay_id)?)))
        else {
            return;
        };
        self.send(
            relayed.leader,
            Message::PermitWithdraw { request_id: relay_id, function: function.into() },
        );
    }

    /// Sends the return of a relayed permit on to its granter.
    pub(crate) fn relay_return(&mut self, permit: Permit, outcome: u8, latency_micros: u64) {
        let granted_by = permit.granted_by;
        if granted_by != self.settings.node && self.calls.relay.remove_permit(&permit) {
            self.send(granted_by, Message::PermitReturn { permit, outcome, latency_micros });
        }
    }

    /// The instances that a leader has published as running.
    pub(crate) fn known_ready(&self, function: &str) -> Vec<ReadyInstance> {
        let Some(body) = self.gossip.body(&format!("cells/{function}")) else { return Vec::new() };
        let Ok((_, ready_instances_update)) = ReadyInstancesUpdate::from_bytes((&body.0, 0)) else {
            return Vec::new();
        };
        ready_instances_update
            .instances
            .0
            .into_iter()
            .map(|entry| ReadyInstance { id: entry.instance.0, address: entry.address.socket() })
            .collect()
    }

    pub(crate) fn tick_calls(&mut self) {
        let now = self.now;
        let due_calls: Vec<u64> = self
            .calls
            .requests
            .iter()
            .filter(|(_, request)| now >= request.next_at || now >= request.ends_at)
            .map(|(call, _)| *call)
            .collect();
        for call in due_calls {
            self.advance_request(call);
        }
        self.calls.permits.expire(now);
        self.calls.relay.expire(now);
        let CallAdmission { relayed_by, permits, .. } = &mut self.calls;
        relayed_by.retain(|permit, _| permits.is_known(*permit));
        self.calls.reported_leaders.retain(|_, reported| now < reported.reported_at + REPORTED_LEADER_SPAN);
        self.calls.silent_since.retain(|_, since| now < *since + SILENCE_RETENTION);
    }
}
