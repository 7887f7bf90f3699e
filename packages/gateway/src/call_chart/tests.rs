use super::*;

#[test]
fn a_call_that_may_have_run_is_never_refused() {
    let mut chart = CallChart::begin();
    for state in [CallState::Matched, CallState::TicketAsked, CallState::Dispatched] {
        chart.step(state);
    }
    chart.lost_track();
    chart.step(CallState::TicketAsked);
    assert_eq!(chart.give_up(), CallState::Unknown);
    // The same through the decisions that the program and the simulator share.
    let mut chart = CallChart::begin();
    chart.step(CallState::Matched);
    chart.step(CallState::TicketAsked);
    assert_eq!(chart.ticket_came(true, false), NextStep::MatchAgain);
    chart.step(CallState::TicketAsked);
    assert_eq!(chart.ticket_came(true, true), NextStep::Dispatch);
    assert_eq!(chart.dispatch_ended(DispatchEnd::TurnedAway, false, 4), NextStep::AskAgain);
    chart.step(CallState::TicketAsked);
    assert_eq!(chart.ticket_came(true, true), NextStep::Dispatch);
    assert_eq!(
        chart.clone().dispatch_ended(DispatchEnd::Unknown, false, 4),
        NextStep::GiveUp(CallState::Unknown)
    );
    assert_eq!(
        chart.clone().dispatch_ended(DispatchEnd::TurnedAway, false, 2),
        NextStep::GiveUp(CallState::Refused)
    );
    // What reached nobody does not count against the lane's limit, and is bounded all the same.
    let mut missed = chart.clone();
    let mut misses = 0;
    while missed.dispatch_ended(DispatchEnd::NotRun, false, 2) == NextStep::AskAgain {
        misses += 1;
        missed.step(CallState::TicketAsked);
        assert_eq!(missed.ticket_came(true, true), NextStep::Dispatch);
    }
    assert_eq!((misses, missed.state()), (MISSES_MOST, CallState::Refused));
    assert_eq!(chart.dispatch_ended(DispatchEnd::Unknown, true, 4), NextStep::AskAgain);
    chart.step(CallState::TicketAsked);
    assert_eq!(chart.ticket_came(true, false), NextStep::GiveUp(CallState::Unknown));
    let end_states = CallState::ALL
        .iter()
        .filter(|state| !CallState::ALL.iter().any(|next_state| state.may_become(*next_state)));
    assert_eq!(end_states.count(), 3);
}
