use super::*;

#[test]
fn a_call_that_may_have_run_is_never_refused() {
    let mut state_machine = CallStateMachine::begin();
    for state in [CallState::Matched, CallState::PermitRequested, CallState::Dispatched] {
        state_machine.step(state);
    }
    state_machine.mark_may_have_run();
    state_machine.step(CallState::PermitRequested);
    assert_eq!(state_machine.give_up(), CallState::Unknown);
    // The same through the decision functions that the gateway and the simulator share.
    let mut state_machine = CallStateMachine::begin();
    state_machine.step(CallState::Matched);
    state_machine.step(CallState::PermitRequested);
    assert_eq!(state_machine.permit_arrived(true, false), NextStep::MatchAgain);
    state_machine.step(CallState::PermitRequested);
    assert_eq!(state_machine.permit_arrived(true, true), NextStep::Dispatch);
    assert_eq!(state_machine.dispatch_ended(DispatchEnd::RefusedBusy, false, 4), NextStep::RequestAgain);
    state_machine.step(CallState::PermitRequested);
    assert_eq!(state_machine.permit_arrived(true, true), NextStep::Dispatch);
    assert_eq!(
        state_machine.clone().dispatch_ended(DispatchEnd::Unknown, false, 4),
        NextStep::GiveUp(CallState::Unknown)
    );
    assert_eq!(
        state_machine.clone().dispatch_ended(DispatchEnd::RefusedBusy, false, 2),
        NextStep::GiveUp(CallState::Refused)
    );
    // Dispatches that reached no instance do not count against the route's limit, but are bounded too.
    let mut unreached = state_machine.clone();
    let mut unreached_count = 0;
    while unreached.dispatch_ended(DispatchEnd::NotRun, false, 2) == NextStep::RequestAgain {
        unreached_count += 1;
        unreached.step(CallState::PermitRequested);
        assert_eq!(unreached.permit_arrived(true, true), NextStep::Dispatch);
    }
    assert_eq!((unreached_count, unreached.state()), (UNREACHED_LIMIT, CallState::Refused));
    assert_eq!(state_machine.dispatch_ended(DispatchEnd::Unknown, true, 4), NextStep::RequestAgain);
    state_machine.step(CallState::PermitRequested);
    assert_eq!(state_machine.permit_arrived(true, false), NextStep::GiveUp(CallState::Unknown));
    let end_states = CallState::ALL
        .iter()
        .filter(|state| !CallState::ALL.iter().any(|next_state| state.may_become(*next_state)));
    assert_eq!(end_states.count(), 3);
}
