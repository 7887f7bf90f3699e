use super::*;

#[test]
fn a_fallback_grants_a_quarter_of_the_slots_and_backs_off_on_the_first_busy_refusal() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let known = [FallbackInstance { id: "c1".to_owned(), address, is_known: true }];
    let mut fallback = FallbackScheduler::default();
    let grant = |fallback: &mut FallbackScheduler, permit_id: u64, is_retry: bool, now: Micros| {
        let ends_at = now + Micros::from_secs(4);
        let request = FallbackRequest { permit_id, function: "f", is_retry, avoid: "", ends_at };
        fallback.grant(7, request, &known, 8, now)
    };
    let first = grant(&mut fallback, 1, false, Micros(0)).expect("room");
    assert_eq!((first.leader_epoch, first.instance.0.as_str()), (0, "c1"));
    assert!(grant(&mut fallback, 2, false, Micros(0)).is_some());
    assert!(grant(&mut fallback, 3, false, Micros(0)).is_none(), "two of eight are a quarter");
    fallback.handle_permit_return(1, REFUSED_BUSY, Micros(0));
    assert!(grant(&mut fallback, 4, false, Micros(1)).is_none(), "backed off");
    assert!(
        grant(&mut fallback, 4, false, FIRST_BACKOFF).is_none(),
        "one at a time after that, and permit 2 is still open"
    );
    fallback.handle_permit_return(2, RAN, FIRST_BACKOFF);
    assert!(grant(&mut fallback, 4, false, FIRST_BACKOFF).is_some());
    for permit_id in 10..20 {
        fallback.handle_permit_return(4, RAN, FIRST_BACKOFF);
        fallback.handle_permit_return(permit_id - 1, RAN, FIRST_BACKOFF);
        let is_granted = grant(&mut fallback, permit_id, true, FIRST_BACKOFF).is_some();
        assert_eq!(is_granted, permit_id < 10 + u64::from(DEFAULT_RETRY_SHARE), "retry permit {permit_id}");
    }
    assert!(
        grant(&mut fallback, 30, false, Micros::from_secs(60)).is_some(),
        "permits that are never returned expire"
    );
}

#[test]
fn a_listed_instance_not_known_to_run_gets_one_call_at_a_time_until_it_responds() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let listed = [FallbackInstance { id: "c1".to_owned(), address, is_known: false }];
    let mut fallback = FallbackScheduler::default();
    let grant = |fallback: &mut FallbackScheduler, permit_id: u64, now: Micros| {
        let ends_at = now + Micros::from_secs(4);
        let request = FallbackRequest { permit_id, function: "f", is_retry: false, avoid: "", ends_at };
        fallback.grant(7, request, &listed, 8, now).is_some()
    };
    assert!(grant(&mut fallback, 1, Micros(0)));
    assert!(!grant(&mut fallback, 2, Micros(0)), "a single trial call first");
    fallback.handle_permit_return(1, NOT_RUN, Micros(0));
    assert!(!grant(&mut fallback, 2, Micros(1)), "it may still boot");
    assert!(grant(&mut fallback, 2, TRIAL_PAUSE));
    fallback.handle_permit_return(2, RAN, TRIAL_PAUSE);
    assert!(grant(&mut fallback, 3, TRIAL_PAUSE) && grant(&mut fallback, 4, TRIAL_PAUSE));
    assert!(!grant(&mut fallback, 5, TRIAL_PAUSE), "a quarter, as for an instance reported by a leader");
}
