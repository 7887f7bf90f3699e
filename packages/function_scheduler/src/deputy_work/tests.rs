use super::*;

#[test]
fn a_deputy_grants_a_quarter_and_backs_off_on_the_first_turn_away() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let known = [DeputyCell { id: "c1".to_owned(), address, is_known: true }];
    let mut deputy = DeputyWork::default();
    let grant = |deputy: &mut DeputyWork, ticket_id: u64, is_extra: bool, now: Micros| {
        let ends_at = now + Micros::from_secs(4);
        let ask = DeputyAsk { ticket_id, function: "f", is_extra, avoid: "", ends_at };
        deputy.grant(7, ask, &known, 8, now)
    };
    let first = grant(&mut deputy, 1, false, Micros(0)).expect("room");
    assert_eq!((first.steward_epoch, first.cell.0.as_str()), (0, "c1"));
    assert!(grant(&mut deputy, 2, false, Micros(0)).is_some());
    assert!(grant(&mut deputy, 3, false, Micros(0)).is_none(), "two of eight are a quarter");
    deputy.returned(1, TURNED_AWAY, Micros(0));
    assert!(grant(&mut deputy, 4, false, Micros(1)).is_none(), "backed off");
    assert!(grant(&mut deputy, 4, false, BACK_OFF).is_none(), "one at a time after that, and 2 is out");
    deputy.returned(2, RAN, BACK_OFF);
    assert!(grant(&mut deputy, 4, false, BACK_OFF).is_some());
    for ticket_id in 10..20 {
        deputy.returned(4, RAN, BACK_OFF);
        deputy.returned(ticket_id - 1, RAN, BACK_OFF);
        let is_granted = grant(&mut deputy, ticket_id, true, BACK_OFF).is_some();
        assert_eq!(is_granted, ticket_id < 10 + u64::from(EXTRA_PART), "extra ticket {ticket_id}");
    }
    assert!(grant(&mut deputy, 30, false, Micros::from_secs(60)).is_some(), "lost tickets run out");
}

#[test]
fn a_listed_cell_that_nobody_knows_gets_one_call_at_a_time_until_it_answers() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let listed = [DeputyCell { id: "c1".to_owned(), address, is_known: false }];
    let mut deputy = DeputyWork::default();
    let grant = |deputy: &mut DeputyWork, ticket_id: u64, now: Micros| {
        let ends_at = now + Micros::from_secs(4);
        let ask = DeputyAsk { ticket_id, function: "f", is_extra: false, avoid: "", ends_at };
        deputy.grant(7, ask, &listed, 8, now).is_some()
    };
    assert!(grant(&mut deputy, 1, Micros(0)));
    assert!(!grant(&mut deputy, 2, Micros(0)), "one goes first");
    deputy.returned(1, NOT_RUN, Micros(0));
    assert!(!grant(&mut deputy, 2, Micros(1)), "it may still boot");
    assert!(grant(&mut deputy, 2, TRIAL_PAUSE));
    deputy.returned(2, RAN, TRIAL_PAUSE);
    assert!(grant(&mut deputy, 3, TRIAL_PAUSE) && grant(&mut deputy, 4, TRIAL_PAUSE));
    assert!(!grant(&mut deputy, 5, TRIAL_PAUSE), "a quarter, as for one that a steward knew");
}
