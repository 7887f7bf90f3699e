//! Callers, the gateways' use of the call state machine, and the handling of dispatches by instances.

use crate::simulation::{Simulation, SimulationEvent};
use function_scheduler::{PermitParameters, UNUSED};
use gateway::{CallState, CallStateMachine, DispatchEnd, NextStep};
use history_checker::{Line, Outcome};
use monotonic_clock::Micros;
use node_protocol::Event;
use peer_messages::Permit;

const DISPATCH_LIMIT: u32 = 4;
const CONNECT_TIMEOUT_MICROS: u64 = 1_000_000;

#[derive(Debug)]
pub(crate) struct SimCall {
    node: usize,
    incarnation: u64,
    path: String,
    function: String,
    repeatable: bool,
    sent_at: u64,
    ends_at: u64,
    state_machine: CallStateMachine,
    permit: Option<(Permit, u64)>,
    retries_left: u32,
}

impl Simulation {
    /// Sends a call to a node, at the path of the named function; a refused call is retried at once up to
    /// `immediate_retries` times. Example: `simulation.send_call(3, "proof", 0)`.
    pub fn send_call(&mut self, node: usize, name: &str, immediate_retries: u32) {
        self.next_call += 1;
        let call = self.next_call;
        let repeatable = self.settings.repeatable.contains(name);
        let path = format!("/{name}");
        self.history(Line::CallSent {
            at: self.now,
            call: call.to_string(),
            node: format!("node-{node}"),
            path: path.clone(),
            repeatable,
        });
        let timeout = self.settings.timeout.0;
        let sim_call = SimCall {
            node,
            incarnation: self.nodes[node].incarnation,
            path,
            function: String::new(),
            repeatable,
            sent_at: self.now,
            ends_at: self.now + timeout,
            state_machine: CallStateMachine::begin(),
            permit: None,
            retries_left: immediate_retries,
        };
        self.calls.insert(call, sim_call);
        let is_reached = self.nodes[node].is_up() && !self.nodes[node].is_isolated;
        if !is_reached {
            self.end_call(call, Outcome::NoResponse);
            return;
        }
        self.schedule_after(500, SimulationEvent::CallArrives { call });
        self.schedule_after(timeout + 2_000_000, SimulationEvent::CallExpired { call });
    }

    /// The node that handles a call, if the process that received it still runs.
    fn gateway_of(&self, call: u64) -> Option<usize> {
        let sim_call = self.calls.get(&call)?;
        let node = &self.nodes[sim_call.node];
        (node.is_up() && node.incarnation == sim_call.incarnation).then_some(sim_call.node)
    }

    pub(crate) fn call_arrives(&mut self, call: u64) {
        let Some(node) = self.gateway_of(call) else { return };
        if self.defer_if_frozen(node, SimulationEvent::CallArrives { call }) {
            return;
        }
        let is_ready = self.nodes[node].is_ready;
        let function = self.function_of(node, call);
        self.history(Line::CallReached { at: self.now, call: call.to_string() });
        if is_ready {
            self.history(Line::CallMatched {
                at: self.now,
                call: call.to_string(),
                node: format!("node-{node}"),
                generation: self.nodes[node].routes.generation,
            });
        }
        let Some(sim_call) = self.calls.get_mut(&call) else { return };
        let Some(function) = function.filter(|_| is_ready) else {
            self.refuse_without_route(call);
            return;
        };
        sim_call.state_machine.step(CallState::Matched);
        sim_call.function = function;
        self.request_permit(call, String::new());
    }

    fn refuse_without_route(&mut self, call: u64) {
        if let Some(sim_call) = self.calls.get_mut(&call) {
            sim_call.state_machine.give_up();
        }
        *self.refusals.entry("no lane takes this call".to_owned()).or_default() += 1;
        self.end_call(call, Outcome::NotRun);
    }

    /// The function that the node's current routes give for a call.
    fn function_of(&self, node: usize, call: u64) -> Option<String> {
        let path = &self.calls.get(&call)?.path;
        self.nodes[node].routes.find("POST", None, path).map(|row| row.function.clone())
    }

    fn request_permit(&mut self, call: u64, avoid: String) {
        let now = self.now;
        let tenant = self.tenant_of(call);
        let Some(sim_call) = self.calls.get_mut(&call) else { return };
        sim_call.state_machine.step(CallState::PermitRequested);
        let parameters = PermitParameters {
            function: sim_call.function.clone(),
            time_left: Micros(sim_call.ends_at.saturating_sub(now)),
            dispatches: sim_call.state_machine.dispatches(),
            avoid,
            target_left: None,
            rank: 0,
            tenant: tenant.as_deref().map(Into::into),
            is_nested: false,
        };
        let node = sim_call.node;
        self.deliver_event(node, Event::CallNeedsPermit { call, parameters });
    }

    pub(crate) fn call_granted(&mut self, node: usize, call: u64, permit: Permit) {
        let now = self.now;
        let is_open = self.calls.get(&call).is_some_and(|sim_call| {
            sim_call.state_machine.state() == CallState::PermitRequested && sim_call.node == node
        });
        if !is_open || self.gateway_of(call).is_none() {
            self.deliver_event(node, Event::PermitDone { permit, outcome: UNUSED, latency: Micros(0) });
            return;
        }
        let is_isolated = self.nodes[node].is_isolated;
        let network_latency = self.network_latency();
        let current_function = self.function_of(node, call);
        let Some(sim_call) = self.calls.get_mut(&call) else { return };
        let is_still_routed = current_function.as_ref() == Some(&sim_call.function);
        let step = sim_call.state_machine.permit_arrived(now < sim_call.ends_at, is_still_routed);
        if step != NextStep::Dispatch {
            self.deliver_event(node, Event::PermitDone { permit, outcome: UNUSED, latency: Micros(0) });
            self.apply_step(call, step, String::new());
            return;
        }
        sim_call.permit = Some((permit.clone(), now));
        let dispatch = sim_call.state_machine.dispatches();
        let time_left = sim_call.ends_at.saturating_sub(now);
        if is_isolated {
            let end = DispatchEnd::NotRun;
            self.schedule_after(
                CONNECT_TIMEOUT_MICROS,
                SimulationEvent::ResponseArrives { call, dispatch, end },
            );
        } else {
            self.schedule_after(network_latency, SimulationEvent::DispatchArrives { call, dispatch, permit });
        }
        let end = DispatchEnd::TimedOut;
        self.schedule_after(time_left, SimulationEvent::ResponseArrives { call, dispatch, end });
    }

    /// Carries out the next step of the call state machine.
    fn apply_step(&mut self, call: u64, step: NextStep, avoid: String) {
        match step {
            NextStep::Response => self.end_call(call, Outcome::Ran),
            NextStep::RequestAgain => self.request_permit(call, avoid),
            NextStep::GiveUp(CallState::Unknown) => self.end_call(call, Outcome::Unknown),
            NextStep::GiveUp(_) => self.end_call(call, Outcome::NotRun),
            NextStep::Dispatch => {}
            NextStep::MatchAgain => {
                let Some(node) = self.gateway_of(call) else { return };
                let function = self.function_of(node, call);
                self.history(Line::CallMatched {
                    at: self.now,
                    call: format!("{call} again"),
                    node: format!("node-{node}"),
                    generation: self.nodes[node].routes.generation,
                });
                let Some(sim_call) = self.calls.get_mut(&call) else { return };
                let Some(function) = function else {
                    self.refuse_without_route(call);
                    return;
                };
                sim_call.function = function;
                self.request_permit(call, String::new());
            }
        }
    }

    pub(crate) fn call_refused(&mut self, call: u64, is_missing: bool) {
        let now = self.now;
        let Some(node) = self.gateway_of(call) else { return };
        let current_function = self.function_of(node, call);
        let Some(sim_call) = self.calls.get_mut(&call) else { return };
        if sim_call.state_machine.state() != CallState::PermitRequested {
            return;
        }
        let is_routed_elsewhere = is_missing && current_function.as_ref() != Some(&sim_call.function);
        let step = match is_routed_elsewhere {
            true => sim_call.state_machine.permit_arrived(now < sim_call.ends_at, false),
            false => NextStep::GiveUp(sim_call.state_machine.give_up()),
        };
        self.apply_step(call, step, String::new());
    }

    /// Delivers a dispatch to the instance that has the permit's address now, which may be a different one.
    pub(crate) fn dispatch_arrives(&mut self, call: u64, dispatch: u32, permit: &Permit) {
        let now = self.now;
        let network_latency = self.network_latency();
        let limit = self.settings.calls_at_once;
        let work = self.settings.work.0;
        let loses_response = self.rng.f64() < self.settings.lost_responses;
        let found = self.platform.instance_at(permit.address.socket());
        let Some(instance) = found.filter(|instance| instance.ready_at <= now) else {
            self.schedule_after(
                network_latency,
                SimulationEvent::ResponseArrives { call, dispatch, end: DispatchEnd::NotRun },
            );
            return;
        };
        if instance.id != permit.instance.0 {
            self.schedule_after(
                network_latency,
                SimulationEvent::ResponseArrives { call, dispatch, end: DispatchEnd::NotRun },
            );
            return;
        }
        let is_running = instance.in_flight < limit;
        let (instance_id, function, in_flight) =
            (instance.id.clone(), instance.function.clone(), instance.in_flight + 1);
        if is_running {
            instance.in_flight += 1;
        }
        self.history(Line::InstanceReceivedCall {
            at: now,
            call: call.to_string(),
            function,
            instance: instance_id.clone(),
            ran: is_running,
            in_flight,
            limit,
        });
        if !is_running {
            self.schedule_after(
                network_latency,
                SimulationEvent::ResponseArrives { call, dispatch, end: DispatchEnd::RefusedBusy },
            );
            return;
        }
        if let Some(tenant) = self.tenant_of(call) {
            self.history(Line::UsageBegan { at: now, tenant });
        }
        let end = if loses_response { DispatchEnd::Unknown } else { DispatchEnd::Answered };
        let work_span = work / 2 + self.rng.u64(..work + 1);
        self.schedule_after(
            work_span,
            SimulationEvent::InstanceFinishes { call, dispatch, instance: instance_id, end },
        );
    }

    pub(crate) fn instance_finishes(&mut self, call: u64, dispatch: u32, instance: &str, end: DispatchEnd) {
        let network_latency = self.network_latency();
        let Some(finished) = self.platform.instances.get_mut(instance) else {
            // The instance ended with the call on it: the connection breaks.
            self.schedule_after(
                network_latency,
                SimulationEvent::ResponseArrives { call, dispatch, end: DispatchEnd::Unknown },
            );
            return;
        };
        finished.in_flight -= 1;
        self.schedule_after(network_latency, SimulationEvent::ResponseArrives { call, dispatch, end });
    }

    /// Takes the permit of a dispatch, if that dispatch is still the current one of its call.
    fn take_permit(&mut self, call: u64, dispatch: u32) -> Option<(Permit, u64)> {
        let sim_call = self.calls.get_mut(&call)?;
        let is_under_way = sim_call.state_machine.state() == CallState::Dispatched
            && sim_call.state_machine.dispatches() == dispatch;
        if is_under_way { sim_call.permit.take() } else { None }
    }

    pub(crate) fn response_arrives(&mut self, call: u64, dispatch: u32, end: DispatchEnd) {
        let Some(node) = self.gateway_of(call) else { return };
        if self.defer_if_frozen(node, SimulationEvent::ResponseArrives { call, dispatch, end }) {
            return;
        }
        let now = self.now;
        let Some((permit, sent_at)) = self.take_permit(call, dispatch) else { return };
        let Some(sim_call) = self.calls.get_mut(&call) else { return };
        let step = sim_call.state_machine.dispatch_ended(end, sim_call.repeatable, DISPATCH_LIMIT);
        self.apply_step(call, step, permit.instance.0.clone());
        self.deliver_event(
            node,
            Event::PermitDone { permit, outcome: end.outcome(), latency: Micros(now - sent_at) },
        );
    }

    pub(crate) fn call_expired(&mut self, call: u64) {
        if self.calls.contains_key(&call) {
            if let Some(node) = self.gateway_of(call) {
                self.deliver_event(node, Event::CallEnds { call });
            }
            self.end_call(call, Outcome::NoResponse);
        }
    }

    /// Ends the calls of a process that stopped: they get no response.
    pub(crate) fn drop_calls_of(&mut self, node: usize, is_planned: bool) {
        let lost: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, sim_call)| {
                sim_call.node == node && sim_call.incarnation == self.nodes[node].incarnation
            })
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            if is_planned {
                self.history(Line::DroppedInPlannedStop { at: self.now, call: call.to_string() });
            }
            self.end_call(call, Outcome::NoResponse);
        }
    }

    pub(crate) fn open_calls_of(&self, node: usize) -> usize {
        self.calls.values().filter(|sim_call| sim_call.node == node).count()
    }

    fn end_call(&mut self, call: u64, outcome: Outcome) {
        let Some(sim_call) = self.calls.remove(&call) else { return };
        let at = self.now;
        self.history(Line::CallEnded {
            at,
            call: call.to_string(),
            outcome,
            is_own: outcome == Outcome::Ran,
            latency: at - sim_call.sent_at,
        });
        let counted = match outcome {
            Outcome::Ran => &mut self.outcomes[0],
            Outcome::NotRun => &mut self.outcomes[1],
            Outcome::Unknown => &mut self.outcomes[2],
            Outcome::NoResponse => &mut self.outcomes[3],
        };
        *counted += 1;
        if outcome == Outcome::NotRun && sim_call.retries_left > 0 {
            let (node, retries_left) = (sim_call.node, sim_call.retries_left - 1);
            let name = sim_call.path.trim_start_matches('/').to_owned();
            self.send_call(node, &name, retries_left);
        }
    }
}
