use super::*;
use crate::{RAN, REFUSED_BUSY};

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        calls_at_once: 2,
        boot: Micros::from_secs(1),
        idle: Some(Micros::from_secs(10)),
        memory_mb: 128,
        target: None,
        costs: CostModel::default(),
        min_instances: 0,
        max_instances: 10,
        queue_limit: 5,
    }
}

fn new_scheduler() -> FunctionScheduler {
    let mut scheduler = FunctionScheduler::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    scheduler.set_allowed_instances(10);
    scheduler
}

fn started(instance: &str) -> StartOutcome {
    let address = SocketAddr::from(([127, 0, 0, 1], 9000));
    StartOutcome::Started { instance: instance.to_owned(), address, worker: "w1".to_owned() }
}

fn grants(scheduler: &mut FunctionScheduler) -> Vec<(u64, Permit)> {
    let actions = scheduler.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Grant { request_id, permit, .. } => Some((request_id, permit)),
            _ => None,
        })
        .collect()
}

fn first_start(scheduler: &mut FunctionScheduler) -> String {
    let actions = scheduler.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Start { start_id, .. } => Some(start_id),
            _ => None,
        })
        .next()
        .expect("a start")
}

/// A scheduler whose first call was answered by its first instance, at 1.02 s.
fn with_running_instance(mut scheduler: FunctionScheduler) -> FunctionScheduler {
    scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros(0));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros(0));
    scheduler.tick(Micros::from_millis(1_000));
    let trial = grants(&mut scheduler);
    scheduler.handle_permit_return(&trial[0].1, RAN, Micros::from_millis(20), Micros::from_millis(1_020));
    scheduler
}

const AMPLE_TIME: Micros = Micros::from_secs(60);

#[test]
fn a_booting_instance_gets_one_trial_call_and_then_calls_up_to_its_limit() {
    let mut scheduler = new_scheduler();
    for request_id in 1..=2 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", Micros(0));
    }
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros(0));
    scheduler.tick(Micros::from_millis(900));
    assert!(grants(&mut scheduler).is_empty(), "not before the learnt boot time");
    scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros::from_millis(950));
    scheduler.request(9, 2, AMPLE_TIME, 0, "", Micros::from_millis(950));
    scheduler.tick(Micros::from_secs(1));
    let trial = grants(&mut scheduler);
    assert_eq!(trial.iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [1]);
    // Repeating a request returns the same permit; nothing is granted twice.
    scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros::from_secs(1));
    assert_eq!(grants(&mut scheduler), trial);
    scheduler.handle_permit_return(&trial[0].1, RAN, Micros::from_millis(20), Micros::from_millis(1_100));
    assert_eq!(grants(&mut scheduler).len(), 1);
    for request_id in 3..=6 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", Micros::from_millis(1_100));
    }
    assert_eq!(grants(&mut scheduler).len(), 1, "the instance may run two calls at once");
    // Calls this short complete before another instance has booted, unless they keep waiting.
    assert_eq!(scheduler.wanted_instances(), 1);
    scheduler.take_actions();
    scheduler.tick(Micros::from_millis(1_200));
    assert!(!scheduler.take_actions().iter().any(|action| matches!(action, SchedulerAction::Start { .. })));
    scheduler.tick(Micros::from_millis(1_400));
    first_start(&mut scheduler);
}

#[test]
fn requests_that_cannot_be_served_are_refused_at_once_and_idle_instances_stop() {
    let mut scheduler = new_scheduler();
    scheduler.request(9, 1, Micros::from_millis(500), 0, "", Micros(0));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros::from_millis(1));
    scheduler.tick(Micros::from_millis(2));
    let refusals = scheduler.take_actions();
    assert!(
        matches!(&refusals[..], [SchedulerAction::Defer { deferral: Deferral::Refused, retry_after, .. }]
            if *retry_after > Micros::from_millis(900)),
        "{refusals:?}"
    );
    for request_id in 2..=7 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", Micros::from_millis(3));
    }
    let full_count = scheduler
        .take_actions()
        .iter()
        .filter(|action| matches!(action, SchedulerAction::Defer { reason: "waitlist full", .. }))
        .count();
    assert_eq!(full_count, 1);
    (2..=7).for_each(|request_id| scheduler.withdraw(9, request_id));
    let listed_instance = ListedInstance {
        id: "c1".to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        memory_mb: 1,
        draining: false,
        started: false,
    };
    scheduler.handle_list(&[listed_instance], &[], Micros::from_secs(2), Micros::from_secs(2));
    for second in 3..=25 {
        scheduler.tick(Micros::from_secs(second));
    }
    assert!(scheduler.take_actions().contains(&SchedulerAction::Stop { instance: "c1".to_owned() }));
    scheduler.handle_list(&[], &[], Micros::from_secs(26), Micros::from_secs(26));
    assert_eq!(scheduler.instance_count(), 0);
}

#[test]
fn a_new_leader_keeps_discovered_instances_for_one_idle_period() {
    let listed = |id: &str| ListedInstance {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        draining: false,
        started: false,
    };
    let stops = |scheduler: &mut FunctionScheduler| {
        scheduler
            .take_actions()
            .iter()
            .filter(|action| matches!(action, SchedulerAction::Stop { .. }))
            .count()
    };
    let mut scheduler = new_scheduler();
    let discovered = [listed("c1"), listed("c2"), listed("c3")];
    let known = ["c1".to_owned(), "c2".to_owned(), "c3".to_owned()];
    scheduler.handle_list(&discovered, &known, Micros(0), Micros(0));
    for second in 0..9 {
        scheduler.tick(Micros::from_secs(second));
    }
    assert_eq!((stops(&mut scheduler), scheduler.ready_instances().len()), (0, 3));
    for second in 9..30 {
        scheduler.tick(Micros::from_secs(second));
    }
    assert!(
        stops(&mut scheduler) >= 3 && scheduler.ready_instances().is_empty(),
        "not called for an idle period"
    );
    // Before the first list, no request is refused for lack of instances.
    let mut new_leader = FunctionScheduler::new("proof", 7, 13, settings(), Vec::new(), Micros(0));
    new_leader.hold_starts(Micros::from_secs(2));
    new_leader.request(9, 1, Micros::from_millis(500), 0, "", Micros(0));
    new_leader.tick(Micros::from_millis(100));
    assert!(
        !new_leader
            .take_actions()
            .iter()
            .any(|action| matches!(action, SchedulerAction::Defer { deferral: Deferral::Refused, .. }))
    );
    new_leader.handle_list(&discovered, &known, Micros::from_millis(200), Micros::from_millis(200));
    assert_eq!(grants(&mut new_leader).len(), 1);
}

#[test]
fn a_late_first_call_does_not_raise_the_boot_estimate_and_unproven_surplus_instances_stop_first() {
    assert_eq!(updated_boot_estimate(Micros(1_000), Micros(9_000), RAN), Micros(995));
    assert_eq!(updated_boot_estimate(Micros(1_000), Micros(700), RAN), Micros(700));
    assert!(updated_boot_estimate(Micros(1_000), Micros(1_200), NOT_RUN) > Micros(1_200));
    let mut scheduler = new_scheduler();
    scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros(0));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros(0));
    scheduler.tick(Micros::from_secs(1));
    let trial = grants(&mut scheduler);
    scheduler.handle_permit_return(&trial[0].1, RAN, Micros(1_000), Micros::from_millis(1_100));
    // A second instance is started for a short load spike and then not needed.
    for request_id in 2..=4 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", Micros::from_millis(1_200));
    }
    scheduler.tick(Micros::from_millis(1_500));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c0"), Micros::from_millis(1_500));
    scheduler.set_allowed_instances(1);
    scheduler.tick(Micros::from_millis(1_600));
    let actions = scheduler.take_actions();
    assert!(actions.contains(&SchedulerAction::Stop { instance: "c0".to_owned() }));
    assert_eq!(scheduler.ready_instances().len(), 1);
}

#[test]
fn an_abandoned_call_keeps_its_slot_and_counts_towards_the_latency() {
    let ms = Micros::from_millis;
    assert_eq!(updated_latency(ms(50), ms(90), RAN, 0), Micros(55_001));
    assert_eq!(
        updated_latency(ms(50), ms(10), UNKNOWN, 0),
        ms(50),
        "a lost response does not change the estimate"
    );
    let slow = (1..8).fold(ms(50), |usual, row| updated_latency(usual, ms(800), UNKNOWN, row));
    assert_eq!(slow, ms(800), "calls that only time out raise the estimate within a few calls");
    let mut scheduler = new_scheduler();
    scheduler.settings.calls_at_once = 1;
    scheduler.settings.max_instances = 1;
    scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros(0));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros(0));
    scheduler.tick(ms(1_000));
    let trial = grants(&mut scheduler);
    scheduler.handle_permit_return(&trial[0].1, RAN, ms(50), ms(1_050));
    scheduler.request(9, 2, AMPLE_TIME, 0, "", ms(1_100));
    let second = grants(&mut scheduler);
    scheduler.request(9, 3, AMPLE_TIME, 0, "", ms(1_200));
    scheduler.handle_permit_return(&second[0].1, UNKNOWN, ms(200), ms(1_300));
    scheduler.tick(ms(1_340));
    assert!(grants(&mut scheduler).is_empty(), "the instance may still run the call");
    scheduler.tick(ms(1_600));
    assert_eq!(grants(&mut scheduler).len(), 1);
}

#[test]
fn retries_stay_within_one_in_five_calls_and_the_fixed_part() {
    let mut scheduler = new_scheduler();
    let start_id = {
        scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros(0));
        first_start(&mut scheduler)
    };
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros(0));
    let mut granted = 0;
    for request_id in 2..=400u64 {
        let now = Micros::from_millis(1_000 + request_id);
        scheduler.request(9, request_id, AMPLE_TIME, 1, "", now);
        for (_, permit) in grants(&mut scheduler) {
            granted += 1;
            scheduler.handle_permit_return(&permit, REFUSED_BUSY, Micros(1), now);
        }
        scheduler.withdraw(9, request_id);
    }
    assert!(granted <= 50, "{granted}");
    assert!(!scheduler.spend_retry(Micros::from_millis(1_500)));
    assert!(scheduler.spend_retry(Micros::from_millis(12_000)), "the window moves on");
}

#[test]
fn requests_are_served_by_timeliness_then_rank_then_arrival() {
    let mut scheduler = new_scheduler();
    let ms = Micros::from_millis;
    scheduler.request(9, 1, AMPLE_TIME, 0, "", Micros(0));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros(0));
    scheduler.tick(ms(1_000));
    let trial = grants(&mut scheduler);
    for (request_id, late_at, rank) in [(2, 1_010, 0), (3, 9_000, 2), (4, 9_000, 1), (5, 9_000, 1)] {
        let urgency = Urgency { late_at: ms(late_at), rank, tenant: 0, is_nested: false };
        let details = RequestDetails { urgency, ..RequestDetails::default() };
        scheduler.request_with_details(9, request_id, AMPLE_TIME, 0, details, ms(1_005));
    }
    scheduler.handle_permit_return(&trial[0].1, RAN, ms(20), ms(1_020));
    let mut order = Vec::new();
    for step in 0..4 {
        for (request_id, permit) in grants(&mut scheduler) {
            order.push(request_id);
            scheduler.handle_permit_return(&permit, RAN, ms(20), ms(1_040 + step));
        }
    }
    assert_eq!(order, [4, 5, 3, 2]);
}

#[test]
fn an_instance_booting_on_a_draining_worker_is_replaced() {
    let mut scheduler = FunctionScheduler::new(
        "proof",
        7,
        12,
        SchedulerSettings { idle: None, ..settings() },
        Vec::new(),
        Micros(0),
    );
    scheduler.set_allowed_instances(10);
    scheduler.request(9, 1, Micros::from_secs(4), 0, "", Micros(0));
    scheduler.tick(Micros(1));
    let start_id = first_start(&mut scheduler);
    scheduler.handle_start_outcome(&start_id, started("c1"), Micros::from_millis(5));
    scheduler.evacuate_workers(|_| true, Micros::from_millis(300));
    assert!(scheduler.take_actions().is_empty());
    scheduler.evacuate_workers(|worker| worker != "w1", Micros::from_millis(500));
    assert_ne!(
        first_start(&mut scheduler),
        start_id,
        "another start, although no list showed the first instance"
    );
}

#[test]
fn a_new_leaders_retry_waits_for_its_budget_without_blocking_first_dispatches() {
    let mut scheduler = with_running_instance(new_scheduler());
    let ms = Micros::from_millis;
    // Another leader takes over; the previous one may have just used its whole retry budget.
    scheduler.set_retry_limits(RetryLimits::default(), ms(2_000));
    scheduler.request(9, 2, AMPLE_TIME, 1, "", ms(2_000));
    assert!(grants(&mut scheduler).is_empty());
    scheduler.request(9, 3, AMPLE_TIME, 0, "", ms(2_000));
    assert_eq!(grants(&mut scheduler).iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [3]);
    scheduler.tick(ms(2_600));
    assert_eq!(grants(&mut scheduler).iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [2]);
    // With many retries queued, and once the leader is no longer new, retries beyond the budget are refused.
    let mut refused = 0;
    for request_id in 10..30 {
        scheduler.request(9, request_id, AMPLE_TIME, 1, "", ms(2_600));
        let is_refusal = |action: &SchedulerAction| {
            matches!(action, SchedulerAction::Defer { deferral: Deferral::Refused, .. })
        };
        refused += scheduler.take_actions().iter().filter(|action| is_refusal(action)).count();
    }
    assert_eq!(refused, 20 - RETRIES_WAITING_LIMIT);
}

/// The starts after ten calls have waited in a queue of forty for an eighth of a boot time, by latency.
fn starts_for_a_filling_queue(latency: Micros) -> usize {
    let mut scheduler = FunctionScheduler::new(
        "proof",
        7,
        12,
        SchedulerSettings { queue_limit: 40, ..settings() },
        Vec::new(),
        Micros(0),
    );
    scheduler.set_allowed_instances(10);
    scheduler.usual_latency = latency;
    let mut scheduler = with_running_instance(scheduler);
    scheduler.usual_latency = latency;
    let ms = Micros::from_millis;
    for request_id in 2..12 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", ms(1_100));
    }
    let starts = |scheduler: &mut FunctionScheduler| {
        scheduler
            .take_actions()
            .iter()
            .filter(|action| matches!(action, SchedulerAction::Start { .. }))
            .count()
    };
    let at_once = starts(&mut scheduler);
    scheduler.tick(ms(1_240));
    at_once + starts(&mut scheduler)
}

#[test]
fn a_filling_queue_starts_enough_instances_to_serve_it_in_time() {
    let ms = Micros::from_millis;
    assert_eq!(starts_for_a_filling_queue(ms(400)), 4, "ten long calls need five instances of two");
    assert_eq!(starts_for_a_filling_queue(ms(60)), 1, "an instance serves six short calls in the time");
    assert_eq!(starts_for_a_filling_queue(ms(5)), 0, "calls this short complete at once");
}

#[test]
fn queued_short_calls_do_not_count_as_one_slot_each() {
    let scheduler_settings = SchedulerSettings { queue_limit: 1_000, idle: None, ..settings() };
    let mut scheduler = FunctionScheduler::new("proof", 7, 12, scheduler_settings, Vec::new(), Micros(0));
    scheduler.set_allowed_instances(1_000);
    let mut scheduler = with_running_instance(scheduler);
    let ms = Micros::from_millis;
    for request_id in 0..200 {
        scheduler.request(9, 100 + request_id, AMPLE_TIME, 0, "", ms(1_100));
    }
    let mut started = 0;
    for millis in (1_100..2_000).step_by(40) {
        scheduler.tick(ms(millis));
        for action in scheduler.take_actions() {
            started += usize::from(matches!(action, SchedulerAction::Start { .. }));
        }
    }
    // 200 calls of about 50 ms are ten seconds of scheduler: about ten slots within a boot time of one second.
    assert!((3..=20).contains(&started), "{started} instances were started for 200 short calls");
}

#[test]
fn a_nested_call_is_served_before_calls_whose_caller_holds_no_slot() {
    let mut scheduler = FunctionScheduler::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    scheduler.set_allowed_instances(1);
    let mut scheduler = with_running_instance(scheduler);
    let ms = Micros::from_millis;
    scheduler.request(9, 2, AMPLE_TIME, 0, "", ms(1_001));
    scheduler.request(9, 3, AMPLE_TIME, 0, "", ms(1_002));
    let running: Vec<Permit> = grants(&mut scheduler).into_iter().map(|(_, permit)| permit).collect();
    assert_eq!(running.len(), 2, "the instance is full");
    for request_id in 4..10 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", ms(1_003));
    }
    // Late by its route's target and of the lowest priority, but its caller holds a slot.
    let nested = Urgency { late_at: ms(1), rank: 9, tenant: 0, is_nested: true };
    let details = RequestDetails { urgency: nested, ..RequestDetails::default() };
    scheduler.request_with_details(9, 50, AMPLE_TIME, 0, details, ms(1_004));
    scheduler.handle_permit_return(&running[0], RAN, ms(30), ms(1_040));
    assert_eq!(grants(&mut scheduler).iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [50]);
}

/// A scheduler with one running instance in each of two zones.
fn scheduler_in_two_zones() -> FunctionScheduler {
    let mut scheduler = FunctionScheduler::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    scheduler.set_allowed_instances(10);
    let zones = [("w1", "a"), ("w2", "b")].map(|(worker, zone)| (worker.to_owned(), Zone::named(zone)));
    scheduler.set_worker_zones(Arc::new(zones.into()));
    let listed = |id: &str, worker: &str| ListedInstance {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: worker.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        draining: false,
        started: true,
    };
    scheduler.handle_list(&[listed("c1", "w1"), listed("c2", "w2")], &[], Micros(0), Micros(0));
    scheduler
}

fn request_from(scheduler: &mut FunctionScheduler, request_id: u64, zone: &str) -> Option<String> {
    let details = RequestDetails { zone: Zone::named(zone), ..RequestDetails::default() };
    scheduler.request_with_details(9, request_id, AMPLE_TIME, 0, details, Micros::from_millis(request_id));
    grants(scheduler).first().map(|(_, permit)| permit.instance.0.clone())
}

#[test]
fn a_call_leaves_its_zone_only_when_no_instance_there_has_room() {
    let mut scheduler = scheduler_in_two_zones();
    assert_eq!(request_from(&mut scheduler, 1, "b").as_deref(), Some("c2"));
    assert_eq!(
        request_from(&mut scheduler, 2, "b").as_deref(),
        Some("c2"),
        "although the other instance has no call"
    );
    assert_eq!(request_from(&mut scheduler, 3, "b").as_deref(), Some("c1"), "the zone is full");
    assert_eq!(request_from(&mut scheduler, 4, "a").as_deref(), Some("c1"));
    assert_eq!(request_from(&mut scheduler, 5, "a"), None, "all instances are full");
}

#[test]
fn starts_go_to_the_zone_that_lacks_most_and_stops_to_the_zone_with_surplus() {
    let mut scheduler = scheduler_in_two_zones();
    for request_id in 1..=9 {
        request_from(&mut scheduler, request_id, if request_id == 9 { "a" } else { "b" });
    }
    scheduler.tick(Micros::from_millis(700));
    let zones: Vec<Zone> = scheduler.starting.values().map(|(_, zone)| *zone).collect();
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == Zone::named("b")), "{zones:?}");
    let mut scheduler = scheduler_in_two_zones();
    let open: Vec<Permit> = (1..=4)
        .filter_map(|request_id| {
            let details = RequestDetails { zone: Zone::named("b"), ..RequestDetails::default() };
            scheduler.request_with_details(
                9,
                request_id,
                AMPLE_TIME,
                0,
                details,
                Micros::from_millis(request_id),
            );
            grants(&mut scheduler).pop().map(|(_, permit)| permit)
        })
        .collect();
    for permit in open {
        scheduler.handle_permit_return(&permit, RAN, Micros::from_millis(20), Micros::from_millis(40));
    }
    scheduler.set_allowed_instances(1);
    scheduler.tick(Micros::from_millis(100));
    let ready: Vec<String> = scheduler.ready_instances().into_iter().map(|instance| instance.id).collect();
    assert_eq!(ready, ["c2"], "no calls come from the zone of c1");
}

#[test]
fn discovered_instances_are_kept_until_the_first_quota_split() {
    let mut scheduler = FunctionScheduler::new(
        "proof",
        7,
        12,
        SchedulerSettings { idle: None, ..settings() },
        Vec::new(),
        Micros(0),
    );
    let listed = |id: &str| ListedInstance {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        draining: false,
        started: true,
    };
    scheduler.handle_list(&[listed("c1"), listed("c2"), listed("c3")], &[], Micros(0), Micros(0));
    let ms = Micros::from_millis;
    scheduler.tick(ms(40));
    assert_eq!(scheduler.ready_instances().len(), 3, "there was no quota split yet");
    let demanded = scheduler.demanded_instances();
    assert_eq!(
        (demanded.warm + demanded.needed, demanded.spare),
        (3, 0),
        "they were in use under the previous leader"
    );
    scheduler.set_allowed_instances(2);
    scheduler.tick(ms(80));
    assert_eq!(scheduler.ready_instances().len(), 2, "the quota split applies");
    scheduler.set_traffic_since(Some(ms(40)));
    scheduler.tick(Micros::from_secs(12));
    assert_eq!(scheduler.ready_instances().len(), 0, "other functions are called and this one is not");
}

#[test]
fn calls_of_disconnected_clients_keep_their_slot_and_do_not_count_as_instance_failures() {
    let ms = Micros::from_millis;
    let mut scheduler = with_running_instance(new_scheduler());
    let many = u64::from(instance::REPLACE_AFTER_ERRORS) * 2;
    for number in 0..many {
        let now = ms(2_000 + number * 1_000);
        scheduler.request(9, 100 + number, AMPLE_TIME, 0, "", now);
        let granted = grants(&mut scheduler);
        assert_eq!(granted.len(), 1, "the instance is not suspected after {number} clients disconnected");
        scheduler.handle_permit_return(&granted[0].1, ABANDONED, ms(40), now + ms(40));
        scheduler.tick(now + ms(50));
    }
    // One of two slots is still in use: the instance may be working for the client that disconnected last.
    let now = ms(2_000 + many * 1_000) + MAX_SLOT_RETENTION;
    scheduler.tick(now);
    scheduler.request(9, 500, AMPLE_TIME, 0, "", now);
    let left = grants(&mut scheduler);
    scheduler.handle_permit_return(&left[0].1, ABANDONED, ms(40), now);
    for request_id in 501..=502 {
        scheduler.request(9, request_id, AMPLE_TIME, 0, "", now);
    }
    assert_eq!(grants(&mut scheduler).len(), 1);
    let mut waited = ms(0);
    while grants(&mut scheduler).is_empty() {
        waited = waited + ms(100);
        assert!(waited <= MAX_SLOT_RETENTION, "the slot is not released");
        scheduler.request(9, 502, AMPLE_TIME, 0, "", now + waited);
        scheduler.tick(now + waited);
    }
}

#[test]
fn discovered_instances_are_claimed_before_the_first_tick() {
    let cost_model_settings = SchedulerSettings { idle: None, ..settings() };
    let mut scheduler = FunctionScheduler::new("proof", 7, 12, cost_model_settings, vec![9], Micros(0));
    let instance = |number: u16| ListedInstance {
        id: format!("c{number}"),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        memory_mb: 128,
        draining: false,
        started: true,
    };
    scheduler.handle_list(&[instance(1), instance(2), instance(3), instance(4)], &[], Micros(0), Micros(0));
    // If the memory split runs in between, instances that are not claimed are not allowed and are stopped.
    assert_eq!(scheduler.demanded_instances().total(), 4);
    scheduler.set_allowed_instances(scheduler.demanded_instances().total());
    scheduler.tick(Micros::from_millis(40));
    assert!(!scheduler.take_actions().iter().any(|action| matches!(action, SchedulerAction::Stop { .. })));
}

/// A scheduler with one running instance of one slot, which is in use, and a queue of the given length.
fn single_slot_scheduler(queue_limit: usize) -> (FunctionScheduler, Permit) {
    let single_slot = SchedulerSettings { calls_at_once: 1, max_instances: 1, queue_limit, ..settings() };
    let mut scheduler = FunctionScheduler::new("proof", 7, 12, single_slot, Vec::new(), Micros(0));
    scheduler.set_allowed_instances(1);
    let mut scheduler = with_running_instance(scheduler);
    scheduler.request(9, 2, AMPLE_TIME, 0, "", Micros::from_millis(1_030));
    let permit = grants(&mut scheduler).remove(0).1;
    (scheduler, permit)
}

fn request_as(scheduler: &mut FunctionScheduler, request_id: u64, (tenant, rank): (u32, u16)) {
    let urgency = Urgency { rank, tenant, ..Urgency::default() };
    let details = RequestDetails { urgency, ..RequestDetails::default() };
    scheduler.request_with_details(9, request_id, AMPLE_TIME, 0, details, Micros::from_millis(1_040));
}

/// The requests in the order they are served, each for 20 ms.
fn served_order(scheduler: &mut FunctionScheduler, permit: Permit, count: usize) -> Vec<u64> {
    let mut order = Vec::new();
    let mut permit = permit;
    for step in 1..=count as u64 {
        let now = Micros::from_millis(1_040 + step * 20);
        scheduler.handle_permit_return(&permit, RAN, Micros::from_millis(20), now);
        let Some((request_id, next)) = grants(scheduler).pop() else { break };
        order.push(request_id);
        permit = next;
    }
    order
}

fn full_refusals(scheduler: &mut FunctionScheduler) -> Vec<u64> {
    let actions = scheduler.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Defer { request_id, reason: "waitlist full", .. } => Some(request_id),
            _ => None,
        })
        .collect()
}

/// A load spike of one tenant that arrived first was served completely before any other tenant.
#[test]
fn a_load_spike_of_one_tenant_does_not_delay_twenty_small_tenants() {
    let (mut scheduler, permit) = single_slot_scheduler(256);
    for request_id in 100..300 {
        request_as(&mut scheduler, request_id, (1, 0));
    }
    for small in 0..20 {
        request_as(&mut scheduler, 1_000 + u64::from(small), (10 + small, 0));
    }
    let order = served_order(&mut scheduler, permit, 42);
    let small_count = order.iter().filter(|request_id| **request_id >= 1_000).count();
    assert_eq!(small_count, 20, "{order:?}");
    // At least every second one, starting with the spike's first.
    assert_eq!(order[..10].iter().filter(|request_id| **request_id >= 1_000).count(), 4, "{order:?}");
    let spike: Vec<u64> = order.into_iter().filter(|request_id| *request_id < 1_000).collect();
    assert!(spike.is_sorted() && spike[0] == 100, "requests of one tenant keep their order: {spike:?}");
}

/// A tenant was held back for queued requests that had already been withdrawn.
#[test]
fn withdrawn_requests_do_not_reduce_a_tenants_share() {
    let (mut scheduler, mut permit) = single_slot_scheduler(256);
    for request_id in 100..300 {
        request_as(&mut scheduler, request_id, (1, 0));
    }
    (100..290).for_each(|request_id| scheduler.withdraw(9, request_id));
    let mut spike_count = 0;
    for step in 0..40u64 {
        // Four other tenants send requests as often as the instance serves one.
        for small in 0..4u32 {
            request_as(&mut scheduler, 1_000 + step * 10 + u64::from(small), (10 + small, 0));
        }
        scheduler.handle_permit_return(
            &permit,
            RAN,
            Micros::from_millis(20),
            Micros::from_millis(1_041 + step),
        );
        let (request_id, next) = grants(&mut scheduler).pop().expect("a request is served");
        spike_count += usize::from(request_id < 1_000);
        permit = next;
    }
    // Serving by order of arrival takes the rest of the spike, and the fair order a fifth.
    assert_eq!(spike_count, 10);
}

/// A route's rank went before the tenant's rank, or the fair order before ranks.
#[test]
fn rank_goes_before_fair_order_and_nested_calls_before_both() {
    let (mut scheduler, permit) = single_slot_scheduler(256);
    // The tenant's rank is in the upper byte, the route's in the lower one.
    request_as(&mut scheduler, 10, (1, 1 << 8));
    request_as(&mut scheduler, 11, (2, 9));
    request_as(&mut scheduler, 12, (2, 0));
    request_as(&mut scheduler, 13, (2, 0));
    request_as(&mut scheduler, 14, (3, 0));
    let urgency = Urgency { rank: 2 << 8, tenant: 4, is_nested: true, ..Urgency::default() };
    let details = RequestDetails { urgency, ..RequestDetails::default() };
    scheduler.request_with_details(9, 15, AMPLE_TIME, 0, details, Micros::from_millis(1_040));
    assert_eq!(served_order(&mut scheduler, permit, 6), [15, 12, 14, 13, 11, 10]);
}

/// A full queue refused a small tenant's only call in favour of the hundredth of a load spike.
#[test]
fn a_full_queue_refuses_the_newest_request_of_the_spike_and_of_the_lowest_priority() {
    let (mut scheduler, permit) = single_slot_scheduler(5);
    for request_id in 100..105 {
        request_as(&mut scheduler, request_id, (1, 0));
    }
    request_as(&mut scheduler, 200, (2, 0));
    assert_eq!(full_refusals(&mut scheduler), [104]);
    // A new request of the large tenant is refused as before, and so are three of four others.
    request_as(&mut scheduler, 105, (1, 0));
    assert_eq!(full_refusals(&mut scheduler), [105]);
    for request_id in 201..204 {
        request_as(&mut scheduler, request_id, (4, 0));
    }
    assert_eq!(full_refusals(&mut scheduler), [201, 202, 203]);
    // A request of lower priority is evicted first, however few its tenant has, and replaces no other.
    request_as(&mut scheduler, 300, (3, 256));
    assert_eq!(full_refusals(&mut scheduler), [300]);
    scheduler.withdraw(9, 103);
    request_as(&mut scheduler, 301, (3, 256));
    assert_eq!(full_refusals(&mut scheduler), [0; 0]);
    request_as(&mut scheduler, 106, (1, 0));
    assert_eq!(full_refusals(&mut scheduler), [301]);
    // Alternates between the fair order and the order of arrival.
    assert_eq!(served_order(&mut scheduler, permit, 5), [100, 101, 200, 102, 106]);
}

/// Requests that could not all be served in time were refused by order of arrival, whatever the tenant.
#[test]
fn requests_that_would_be_served_last_are_shed_first() {
    let (mut scheduler, _permit) = single_slot_scheduler(256);
    let now = Micros::from_millis(1_040);
    let request_within = |scheduler: &mut FunctionScheduler, request_id: u64, (tenant, rank): (u32, u16)| {
        let urgency = Urgency { rank, tenant, ..Urgency::default() };
        let details = RequestDetails { urgency, ..RequestDetails::default() };
        scheduler.request_with_details(9, request_id, Micros::from_millis(400), 0, details, now);
    };
    for request_id in 100..140 {
        request_within(&mut scheduler, request_id, (1, 256));
    }
    request_within(&mut scheduler, 200, (2, 0));
    request_within(&mut scheduler, 201, (3, 256));
    scheduler.take_actions();
    scheduler.tick(now + Micros(1));
    let actions = scheduler.take_actions().into_iter();
    let refused: Vec<u64> = actions
        .filter_map(|action| match action {
            SchedulerAction::Defer { request_id, deferral: Deferral::Refused, .. } => Some(request_id),
            _ => None,
        })
        .collect();
    assert!(refused.len() > 10, "not all can be served: {refused:?}");
    assert!(refused.iter().all(|request_id| (101..140).contains(request_id)), "{refused:?}");
    assert!(refused.is_sorted() && refused.last() == Some(&139), "{refused:?}");
}

/// While instances were short, a large tenant was served less than a quarter as often as the average.
#[test]
fn a_large_tenant_is_not_starved_while_instances_are_short() {
    for queue in [24, 256] {
        let (mut scheduler, mut permit) = single_slot_scheduler(queue);
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut requested, mut served) = ([0.0; 2], [0.0; 2]);
        // The instance serves a call each 20 ms and twice as many arrive: four in ten from one tenant, the
        // rest from thirty others.
        for step in 0..20_000u64 {
            let now = Micros::from_millis(2_000 + step * 10);
            let tenant = if rng.u8(..10) < 4 { 1 } else { rng.u32(10..40) };
            let request_id = (step + 1_000) * 2 + u64::from(tenant == 1);
            requested[usize::from(tenant == 1)] += 1.0;
            let urgency = Urgency { tenant, ..Urgency::default() };
            let details = RequestDetails { urgency, ..RequestDetails::default() };
            scheduler.request_with_details(9, request_id, Micros::from_millis(900), 0, details, now);
            if step % 2 == 1 {
                scheduler.handle_permit_return(&permit, RAN, Micros::from_millis(20), now);
            }
            scheduler.tick(now);
            if let Some((request_id, next)) = grants(&mut scheduler).pop() {
                served[usize::from(request_id % 2 == 1)] += 1.0;
                permit = next;
            }
        }
        let all = (served[0] + served[1]) / (requested[0] + requested[1]);
        let (large, small) = (served[1] / requested[1], served[0] / requested[0]);
        assert!(all > 0.4, "queue {queue}: {all} of all requests served");
        assert!(
            large > all / 2.5 && small >= all,
            "queue {queue}: served {large} of the large tenant, {small} of the others, {all} of all"
        );
    }
}
