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

fn work() -> FunctionScheduler {
    let mut work = FunctionScheduler::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    work.set_allowed_instances(10);
    work
}

fn started(instance: &str) -> StartOutcome {
    let address = SocketAddr::from(([127, 0, 0, 1], 9000));
    StartOutcome::Started { instance: instance.to_owned(), address, worker: "w1".to_owned() }
}

fn grants(work: &mut FunctionScheduler) -> Vec<(u64, Permit)> {
    let actions = work.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Grant { request_id, permit, .. } => Some((request_id, permit)),
            _ => None,
        })
        .collect()
}

fn first_start(work: &mut FunctionScheduler) -> String {
    let actions = work.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Start { start_id, .. } => Some(start_id),
            _ => None,
        })
        .next()
        .expect("a start")
}

/// The work once its first call was answered by its first cell, at 1.02 s.
fn proved(mut work: FunctionScheduler) -> FunctionScheduler {
    work.request(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(Micros::from_millis(1_000));
    let trial = grants(&mut work);
    work.returned(&trial[0].1, RAN, Micros::from_millis(20), Micros::from_millis(1_020));
    work
}

const LONG: Micros = Micros::from_secs(60);

#[test]
fn one_call_proves_a_booting_instance_and_the_rest_follow_within_its_limit() {
    let mut work = work();
    for request_id in 1..=2 {
        work.request(9, request_id, LONG, 0, "", Micros(0));
    }
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(Micros::from_millis(900));
    assert!(grants(&mut work).is_empty(), "not before the learnt boot time");
    work.request(9, 1, LONG, 0, "", Micros::from_millis(950));
    work.request(9, 2, LONG, 0, "", Micros::from_millis(950));
    work.tick(Micros::from_secs(1));
    let trial = grants(&mut work);
    assert_eq!(trial.iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [1]);
    // Asking again gives the same ticket; nothing is granted twice.
    work.request(9, 1, LONG, 0, "", Micros::from_secs(1));
    assert_eq!(grants(&mut work), trial);
    work.returned(&trial[0].1, RAN, Micros::from_millis(20), Micros::from_millis(1_100));
    assert_eq!(grants(&mut work).len(), 1);
    for request_id in 3..=6 {
        work.request(9, request_id, LONG, 0, "", Micros::from_millis(1_100));
    }
    assert_eq!(grants(&mut work).len(), 1, "two at once are what the cell may run");
    // Calls this short are through before another cell has booted, unless they go on waiting.
    assert_eq!(work.wanted_instances(), 1);
    work.take_actions();
    work.tick(Micros::from_millis(1_200));
    assert!(!work.take_actions().iter().any(|action| matches!(action, SchedulerAction::Start { .. })));
    work.tick(Micros::from_millis(1_400));
    first_start(&mut work);
}

#[test]
fn hopeless_and_surplus_requests_are_refused_at_once_and_idle_instances_stop() {
    let mut work = work();
    work.request(9, 1, Micros::from_millis(500), 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros::from_millis(1));
    work.tick(Micros::from_millis(2));
    let refusals = work.take_actions();
    assert!(
        matches!(&refusals[..], [SchedulerAction::Defer { deferral: Deferral::Refused, retry_after, .. }]
            if *retry_after > Micros::from_millis(900)),
        "{refusals:?}"
    );
    for request_id in 2..=7 {
        work.request(9, request_id, LONG, 0, "", Micros::from_millis(3));
    }
    let full_count = work
        .take_actions()
        .iter()
        .filter(|action| matches!(action, SchedulerAction::Defer { reason: "waitlist full", .. }))
        .count();
    assert_eq!(full_count, 1);
    (2..=7).for_each(|request_id| work.withdraw(9, request_id));
    let listed_instance = ListedInstance {
        id: "c1".to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        memory_mb: 1,
        draining: false,
        started: false,
    };
    work.listed(&[listed_instance], &[], Micros::from_secs(2), Micros::from_secs(2));
    for second in 3..=25 {
        work.tick(Micros::from_secs(second));
    }
    assert!(work.take_actions().contains(&SchedulerAction::Stop { instance: "c1".to_owned() }));
    work.listed(&[], &[], Micros::from_secs(26), Micros::from_secs(26));
    assert_eq!(work.instance_count(), 0);
}

#[test]
fn a_new_leader_keeps_the_instances_it_finds_for_one_idle_span() {
    let listed = |id: &str| ListedInstance {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        draining: false,
        started: false,
    };
    let stops = |work: &mut FunctionScheduler| {
        work.take_actions().iter().filter(|action| matches!(action, SchedulerAction::Stop { .. })).count()
    };
    let mut work = work();
    let found = [listed("c1"), listed("c2"), listed("c3")];
    let known = ["c1".to_owned(), "c2".to_owned(), "c3".to_owned()];
    work.listed(&found, &known, Micros(0), Micros(0));
    for second in 0..9 {
        work.tick(Micros::from_secs(second));
    }
    assert_eq!((stops(&mut work), work.ready_instances().len()), (0, 3));
    for second in 9..30 {
        work.tick(Micros::from_secs(second));
    }
    assert!(stops(&mut work) >= 3 && work.ready_instances().is_empty(), "not called for an idle span");
    // Before the first list nobody is refused for want of cells.
    let mut fresh = FunctionScheduler::new("proof", 7, 13, settings(), Vec::new(), Micros(0));
    fresh.hold_starts(Micros::from_secs(2));
    fresh.request(9, 1, Micros::from_millis(500), 0, "", Micros(0));
    fresh.tick(Micros::from_millis(100));
    assert!(
        !fresh
            .take_actions()
            .iter()
            .any(|action| matches!(action, SchedulerAction::Defer { deferral: Deferral::Refused, .. }))
    );
    fresh.listed(&found, &known, Micros::from_millis(200), Micros::from_millis(200));
    assert_eq!(grants(&mut fresh).len(), 1);
}

#[test]
fn a_late_first_call_teaches_no_long_boot_and_surplus_instances_that_do_not_run_go_first() {
    assert_eq!(learn_boot(Micros(1_000), Micros(9_000), RAN), Micros(995));
    assert_eq!(learn_boot(Micros(1_000), Micros(700), RAN), Micros(700));
    assert!(learn_boot(Micros(1_000), Micros(1_200), NOT_RUN) > Micros(1_200));
    let mut work = work();
    work.request(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(Micros::from_secs(1));
    let trial = grants(&mut work);
    work.returned(&trial[0].1, RAN, Micros(1_000), Micros::from_millis(1_100));
    // A second cell is started for a moment's crowd and then not needed.
    for request_id in 2..=4 {
        work.request(9, request_id, LONG, 0, "", Micros::from_millis(1_200));
    }
    work.tick(Micros::from_millis(1_500));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c0"), Micros::from_millis(1_500));
    work.set_allowed_instances(1);
    work.tick(Micros::from_millis(1_600));
    let actions = work.take_actions();
    assert!(actions.contains(&SchedulerAction::Stop { instance: "c0".to_owned() }));
    assert_eq!(work.ready_instances().len(), 1);
}

#[test]
fn a_call_that_was_given_up_on_keeps_its_place_and_teaches_how_long_calls_take() {
    let ms = Micros::from_millis;
    assert_eq!(learn_latency(ms(50), ms(90), RAN, 0), Micros(55_001));
    assert_eq!(learn_latency(ms(50), ms(10), UNKNOWN, 0), ms(50), "a lost answer tells nothing");
    let slow = (1..8).fold(ms(50), |usual, row| learn_latency(usual, ms(800), UNKNOWN, row));
    assert_eq!(slow, ms(800), "a crowd that only times out is seen to be slow within a few calls");
    let mut work = work();
    work.settings.calls_at_once = 1;
    work.settings.max_instances = 1;
    work.request(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(ms(1_000));
    let trial = grants(&mut work);
    work.returned(&trial[0].1, RAN, ms(50), ms(1_050));
    work.request(9, 2, LONG, 0, "", ms(1_100));
    let second = grants(&mut work);
    work.request(9, 3, LONG, 0, "", ms(1_200));
    work.returned(&second[0].1, UNKNOWN, ms(200), ms(1_300));
    work.tick(ms(1_340));
    assert!(grants(&mut work).is_empty(), "the cell may still be at it");
    work.tick(ms(1_600));
    assert_eq!(grants(&mut work).len(), 1);
}

#[test]
fn extra_dispatches_stay_within_one_in_five_and_the_fixed_part() {
    let mut work = work();
    let start_id = {
        work.request(9, 1, LONG, 0, "", Micros(0));
        first_start(&mut work)
    };
    work.started(&start_id, started("c1"), Micros(0));
    let mut granted = 0;
    for request_id in 2..=400u64 {
        let now = Micros::from_millis(1_000 + request_id);
        work.request(9, request_id, LONG, 1, "", now);
        for (_, permit) in grants(&mut work) {
            granted += 1;
            work.returned(&permit, REFUSED_BUSY, Micros(1), now);
        }
        work.withdraw(9, request_id);
    }
    assert!(granted <= 50, "{granted}");
    assert!(!work.spend_retry(Micros::from_millis(1_500)));
    assert!(work.spend_retry(Micros::from_millis(12_000)), "the window moves on");
}

#[test]
fn who_can_still_be_answered_in_time_goes_first_then_rank_then_who_came_first() {
    let mut work = work();
    let ms = Micros::from_millis;
    work.request(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(ms(1_000));
    let trial = grants(&mut work);
    for (request_id, late_at, rank) in [(2, 1_010, 0), (3, 9_000, 2), (4, 9_000, 1), (5, 9_000, 1)] {
        let urgency = Urgency { late_at: ms(late_at), rank, tenant: 0, is_nested: false };
        let details = RequestDetails { urgency, ..RequestDetails::default() };
        work.request_with_details(9, request_id, LONG, 0, details, ms(1_005));
    }
    work.returned(&trial[0].1, RAN, ms(20), ms(1_020));
    let mut order = Vec::new();
    for step in 0..4 {
        for (request_id, permit) in grants(&mut work) {
            order.push(request_id);
            work.returned(&permit, RAN, ms(20), ms(1_040 + step));
        }
    }
    assert_eq!(order, [4, 5, 3, 2]);
}

#[test]
fn an_instance_that_boots_on_a_worker_that_drains_is_given_up_for_another() {
    let mut work = FunctionScheduler::new(
        "proof",
        7,
        12,
        SchedulerSettings { idle: None, ..settings() },
        Vec::new(),
        Micros(0),
    );
    work.set_allowed_instances(10);
    work.request(9, 1, Micros::from_secs(4), 0, "", Micros(0));
    work.tick(Micros(1));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros::from_millis(5));
    work.evacuate_workers(|_| true, Micros::from_millis(300));
    assert!(work.take_actions().is_empty());
    work.evacuate_workers(|worker| worker != "w1", Micros::from_millis(500));
    assert_ne!(first_start(&mut work), start_id, "another start, though no list showed the first");
}

#[test]
fn a_new_leaders_extra_dispatch_waits_for_its_part_and_lets_first_ones_pass() {
    let mut work = proved(work());
    let ms = Micros::from_millis;
    // Another steward takes over: the one before may have granted its whole part just now.
    work.set_retry_limits(RetryLimits::default(), ms(2_000));
    work.request(9, 2, LONG, 1, "", ms(2_000));
    assert!(grants(&mut work).is_empty());
    work.request(9, 3, LONG, 0, "", ms(2_000));
    assert_eq!(grants(&mut work).iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [3]);
    work.tick(ms(2_600));
    assert_eq!(grants(&mut work).iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [2]);
    // Where many wait already, and once it is no longer new, what it may not grant is refused.
    let mut refused = 0;
    for request_id in 10..30 {
        work.request(9, request_id, LONG, 1, "", ms(2_600));
        let is_refusal = |action: &SchedulerAction| {
            matches!(action, SchedulerAction::Defer { deferral: Deferral::Refused, .. })
        };
        refused += work.take_actions().iter().filter(|action| is_refusal(action)).count();
    }
    assert_eq!(refused, 20 - RETRIES_WAITING_LIMIT);
}

/// Ten calls wait in a list of forty, for an eighth of a boot; what one call takes is known.
fn starts_of_a_list_that_fills_up(latency: Micros) -> usize {
    let mut work = FunctionScheduler::new(
        "proof",
        7,
        12,
        SchedulerSettings { queue_limit: 40, ..settings() },
        Vec::new(),
        Micros(0),
    );
    work.set_allowed_instances(10);
    work.usual_latency = latency;
    let mut work = proved(work);
    work.usual_latency = latency;
    let ms = Micros::from_millis;
    for request_id in 2..12 {
        work.request(9, request_id, LONG, 0, "", ms(1_100));
    }
    let starts = |work: &mut FunctionScheduler| {
        work.take_actions().iter().filter(|action| matches!(action, SchedulerAction::Start { .. })).count()
    };
    let at_once = starts(&mut work);
    work.tick(ms(1_240));
    at_once + starts(&mut work)
}

#[test]
fn a_list_that_fills_up_starts_the_instances_that_are_through_with_it_in_time() {
    let ms = Micros::from_millis;
    assert_eq!(starts_of_a_list_that_fills_up(ms(400)), 4, "ten long calls are five cells of two");
    assert_eq!(starts_of_a_list_that_fills_up(ms(60)), 1, "of short calls a cell serves six in the time");
    assert_eq!(starts_of_a_list_that_fills_up(ms(5)), 0, "calls this short are through at once");
}

#[test]
fn calls_that_wait_are_work_to_be_done_and_not_slots_that_are_taken() {
    let scheduler_settings = SchedulerSettings { queue_limit: 1_000, idle: None, ..settings() };
    let mut work = FunctionScheduler::new("proof", 7, 12, scheduler_settings, Vec::new(), Micros(0));
    work.set_allowed_instances(1_000);
    let mut work = proved(work);
    let ms = Micros::from_millis;
    for request_id in 0..200 {
        work.request(9, 100 + request_id, LONG, 0, "", ms(1_100));
    }
    let mut started = 0;
    for millis in (1_100..2_000).step_by(40) {
        work.tick(ms(millis));
        for action in work.take_actions() {
            started += usize::from(matches!(action, SchedulerAction::Start { .. }));
        }
    }
    // 200 calls of about 50 ms are ten seconds of work: in a boot of a second some ten slots.
    assert!((3..=20).contains(&started), "{started} cells were started for 200 short calls");
}

#[test]
fn a_call_made_by_a_running_call_goes_before_those_that_hold_no_slot() {
    let mut work = FunctionScheduler::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    work.set_allowed_instances(1);
    let mut work = proved(work);
    let ms = Micros::from_millis;
    work.request(9, 2, LONG, 0, "", ms(1_001));
    work.request(9, 3, LONG, 0, "", ms(1_002));
    let running: Vec<Permit> = grants(&mut work).into_iter().map(|(_, permit)| permit).collect();
    assert_eq!(running.len(), 2, "the cell is full");
    for request_id in 4..10 {
        work.request(9, request_id, LONG, 0, "", ms(1_003));
    }
    // Late by its lane's target, and of the last rank: its caller's slot is taken all the same.
    let nested = Urgency { late_at: ms(1), rank: 9, tenant: 0, is_nested: true };
    let details = RequestDetails { urgency: nested, ..RequestDetails::default() };
    work.request_with_details(9, 50, LONG, 0, details, ms(1_004));
    work.returned(&running[0], RAN, ms(30), ms(1_040));
    assert_eq!(grants(&mut work).iter().map(|(request_id, _)| *request_id).collect::<Vec<u64>>(), [50]);
}

/// Two cells that run, one in each of two zones.
fn work_in_two_zones() -> FunctionScheduler {
    let mut work = FunctionScheduler::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    work.set_allowed_instances(10);
    let zones = [("w1", "a"), ("w2", "b")].map(|(worker, zone)| (worker.to_owned(), Zone::named(zone)));
    work.set_worker_zones(Arc::new(zones.into()));
    let listed = |id: &str, worker: &str| ListedInstance {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: worker.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        draining: false,
        started: true,
    };
    work.listed(&[listed("c1", "w1"), listed("c2", "w2")], &[], Micros(0), Micros(0));
    work
}

fn request_from(work: &mut FunctionScheduler, request_id: u64, zone: &str) -> Option<String> {
    let details = RequestDetails { zone: Zone::named(zone), ..RequestDetails::default() };
    work.request_with_details(9, request_id, LONG, 0, details, Micros::from_millis(request_id));
    grants(work).first().map(|(_, permit)| permit.instance.0.clone())
}

#[test]
fn a_call_goes_to_an_instance_in_its_zone_while_one_there_has_room_and_elsewhere_after_that() {
    let mut work = work_in_two_zones();
    assert_eq!(request_from(&mut work, 1, "b").as_deref(), Some("c2"));
    assert_eq!(request_from(&mut work, 2, "b").as_deref(), Some("c2"), "though the other cell has no call");
    assert_eq!(request_from(&mut work, 3, "b").as_deref(), Some("c1"), "the zone is full");
    assert_eq!(request_from(&mut work, 4, "a").as_deref(), Some("c1"));
    assert_eq!(request_from(&mut work, 5, "a"), None, "all is full");
}

#[test]
fn a_start_is_wanted_where_instances_lack_most_and_the_zone_with_too_many_gives_one_back() {
    let mut work = work_in_two_zones();
    for request_id in 1..=9 {
        request_from(&mut work, request_id, if request_id == 9 { "a" } else { "b" });
    }
    work.tick(Micros::from_millis(700));
    let zones: Vec<Zone> = work.starting.values().map(|(_, zone)| *zone).collect();
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == Zone::named("b")), "{zones:?}");
    let mut work = work_in_two_zones();
    let open: Vec<Permit> = (1..=4)
        .filter_map(|request_id| {
            let details = RequestDetails { zone: Zone::named("b"), ..RequestDetails::default() };
            work.request_with_details(9, request_id, LONG, 0, details, Micros::from_millis(request_id));
            grants(&mut work).pop().map(|(_, permit)| permit)
        })
        .collect();
    for permit in open {
        work.returned(&permit, RAN, Micros::from_millis(20), Micros::from_millis(40));
    }
    work.set_allowed_instances(1);
    work.tick(Micros::from_millis(100));
    let ready: Vec<String> = work.ready_instances().into_iter().map(|instance| instance.id).collect();
    assert_eq!(ready, ["c2"], "no calls come from the zone of c1");
}

#[test]
fn instances_that_a_new_leader_finds_are_kept_while_it_does_not_know_what_it_is_allowed() {
    let mut work = FunctionScheduler::new(
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
    work.listed(&[listed("c1"), listed("c2"), listed("c3")], &[], Micros(0), Micros(0));
    let ms = Micros::from_millis;
    work.tick(ms(40));
    assert_eq!(work.ready_instances().len(), 3, "there was no split yet");
    let demanded = work.demanded_instances();
    assert_eq!((demanded.warm + demanded.needed, demanded.spare), (3, 0), "they were called for before");
    work.set_allowed_instances(2);
    work.tick(ms(80));
    assert_eq!(work.ready_instances().len(), 2, "what the split says holds");
    work.set_traffic_since(Some(ms(40)));
    work.tick(Micros::from_secs(12));
    assert_eq!(work.ready_instances().len(), 0, "others are called, and this one is not any more");
}

#[test]
fn clients_that_leave_keep_their_place_for_a_while_and_say_nothing_against_the_instance() {
    let ms = Micros::from_millis;
    let mut work = proved(work());
    let many = u64::from(instance::REPLACE_AFTER_ERRORS) * 2;
    for number in 0..many {
        let now = ms(2_000 + number * 1_000);
        work.request(9, 100 + number, LONG, 0, "", now);
        let granted = grants(&mut work);
        assert_eq!(granted.len(), 1, "the cell is trusted after {number} clients left");
        work.returned(&granted[0].1, ABANDONED, ms(40), now + ms(40));
        work.tick(now + ms(50));
    }
    // One place of two is taken still, since the cell may be at work for the client that left last.
    let now = ms(2_000 + many * 1_000) + MOST_LINGERING;
    work.tick(now);
    work.request(9, 500, LONG, 0, "", now);
    let left = grants(&mut work);
    work.returned(&left[0].1, ABANDONED, ms(40), now);
    for request_id in 501..=502 {
        work.request(9, request_id, LONG, 0, "", now);
    }
    assert_eq!(grants(&mut work).len(), 1);
    let mut waited = ms(0);
    while grants(&mut work).is_empty() {
        waited = waited + ms(100);
        assert!(waited <= MOST_LINGERING, "the place is given back");
        work.request(9, 502, LONG, 0, "", now + waited);
        work.tick(now + waited);
    }
}

#[test]
fn instances_that_a_new_leader_finds_are_claimed_before_its_first_tick() {
    let counted = SchedulerSettings { idle: None, ..settings() };
    let mut work = FunctionScheduler::new("proof", 7, 12, counted, vec![9], Micros(0));
    let instance = |number: u16| ListedInstance {
        id: format!("c{number}"),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        memory_mb: 128,
        draining: false,
        started: true,
    };
    work.listed(&[instance(1), instance(2), instance(3), instance(4)], &[], Micros(0), Micros(0));
    // The split of memory may come in between: what is not claimed then is not allowed, and is stopped.
    assert_eq!(work.demanded_instances().total(), 4);
    work.set_allowed_instances(work.demanded_instances().total());
    work.tick(Micros::from_millis(40));
    assert!(!work.take_actions().iter().any(|action| matches!(action, SchedulerAction::Stop { .. })));
}

/// One cell of one call at once that runs, and a list of so many places.
fn narrow_work(queue_limit: usize) -> (FunctionScheduler, Permit) {
    let narrow = SchedulerSettings { calls_at_once: 1, max_instances: 1, queue_limit, ..settings() };
    let mut work = FunctionScheduler::new("proof", 7, 12, narrow, Vec::new(), Micros(0));
    work.set_allowed_instances(1);
    let mut work = proved(work);
    work.request(9, 2, LONG, 0, "", Micros::from_millis(1_030));
    let permit = grants(&mut work).remove(0).1;
    (work, permit)
}

fn request_as(work: &mut FunctionScheduler, request_id: u64, (tenant, rank): (u32, u16)) {
    let urgency = Urgency { rank, tenant, ..Urgency::default() };
    let details = RequestDetails { urgency, ..RequestDetails::default() };
    work.request_with_details(9, request_id, LONG, 0, details, Micros::from_millis(1_040));
}

/// The asks in the order they are served in, each for 20 ms.
fn served_order(work: &mut FunctionScheduler, permit: Permit, count: usize) -> Vec<u64> {
    let mut order = Vec::new();
    let mut permit = permit;
    for step in 1..=count as u64 {
        let now = Micros::from_millis(1_040 + step * 20);
        work.returned(&permit, RAN, Micros::from_millis(20), now);
        let Some((request_id, next)) = grants(work).pop() else { break };
        order.push(request_id);
        permit = next;
    }
    order
}

fn full_refusals(work: &mut FunctionScheduler) -> Vec<u64> {
    let actions = work.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Defer { request_id, reason: "waitlist full", .. } => Some(request_id),
            _ => None,
        })
        .collect()
}

/// Guards against: a crowd of one tenant that came first is served to its end before anybody else.
#[test]
fn a_spike_of_one_tenant_waits_behind_itself_and_twenty_small_ones_go_by() {
    let (mut work, permit) = narrow_work(256);
    for request_id in 100..300 {
        request_as(&mut work, request_id, (1, 0));
    }
    for small in 0..20 {
        request_as(&mut work, 1_000 + u64::from(small), (10 + small, 0));
    }
    let order = served_order(&mut work, permit, 42);
    let small_count = order.iter().filter(|request_id| **request_id >= 1_000).count();
    assert_eq!(small_count, 20, "{order:?}");
    // Every second one at the least, from the crowd's first on.
    assert_eq!(order[..10].iter().filter(|request_id| **request_id >= 1_000).count(), 4, "{order:?}");
    let spike: Vec<u64> = order.into_iter().filter(|request_id| *request_id < 1_000).collect();
    assert!(spike.is_sorted() && spike[0] == 100, "asks of one tenant keep their order: {spike:?}");
}

/// Guards against: a crowd most of whose callers gave up is made to wait for those as well.
#[test]
fn a_spikes_share_is_one_in_so_many_tenants_while_others_keep_coming() {
    let (mut work, mut permit) = narrow_work(256);
    for request_id in 100..300 {
        request_as(&mut work, request_id, (1, 0));
    }
    (100..290).for_each(|request_id| work.withdraw(9, request_id));
    let mut spike_count = 0;
    for step in 0..40u64 {
        // Four others ask as often as the cell serves one.
        for small in 0..4u32 {
            request_as(&mut work, 1_000 + step * 10 + u64::from(small), (10 + small, 0));
        }
        work.returned(&permit, RAN, Micros::from_millis(20), Micros::from_millis(1_041 + step));
        let (request_id, next) = grants(&mut work).pop().expect("somebody is served");
        spike_count += usize::from(request_id < 1_000);
        permit = next;
    }
    // The order of coming serves what is left of it, and the turns a fifth.
    assert_eq!(spike_count, 10);
}

/// Guards against: a lane's rank goes before the rank of the tenant, or turns before ranks.
#[test]
fn rank_goes_before_turns_and_nested_calls_before_both() {
    let (mut work, permit) = narrow_work(256);
    // The tenant's rank in the upper byte, the lane's in the lower one.
    request_as(&mut work, 10, (1, 1 << 8));
    request_as(&mut work, 11, (2, 9));
    request_as(&mut work, 12, (2, 0));
    request_as(&mut work, 13, (2, 0));
    request_as(&mut work, 14, (3, 0));
    let urgency = Urgency { rank: 2 << 8, tenant: 4, is_nested: true, ..Urgency::default() };
    let details = RequestDetails { urgency, ..RequestDetails::default() };
    work.request_with_details(9, 15, LONG, 0, details, Micros::from_millis(1_040));
    assert_eq!(served_order(&mut work, permit, 6), [15, 12, 14, 13, 11, 10]);
}

/// Guards against: a full list refuses a small tenant's only call for the hundredth of a crowd.
#[test]
fn a_full_list_refuses_the_newest_of_the_spike_and_of_the_lowest_rank() {
    let (mut work, permit) = narrow_work(5);
    for request_id in 100..105 {
        request_as(&mut work, request_id, (1, 0));
    }
    request_as(&mut work, 200, (2, 0));
    assert_eq!(full_refusals(&mut work), [104]);
    // The crowd's own newcomer is refused as before, and of four others three.
    request_as(&mut work, 105, (1, 0));
    assert_eq!(full_refusals(&mut work), [105]);
    for request_id in 201..204 {
        request_as(&mut work, request_id, (4, 0));
    }
    assert_eq!(full_refusals(&mut work), [201, 202, 203]);
    // A lower rank gives way first, however few ask, and does not take a place.
    request_as(&mut work, 300, (3, 256));
    assert_eq!(full_refusals(&mut work), [300]);
    work.withdraw(9, 103);
    request_as(&mut work, 301, (3, 256));
    assert_eq!(full_refusals(&mut work), [0; 0]);
    request_as(&mut work, 106, (1, 0));
    assert_eq!(full_refusals(&mut work), [301]);
    // By turn, by coming, by turn...
    assert_eq!(served_order(&mut work, permit, 5), [100, 101, 200, 102, 106]);
}

/// Guards against: what cannot all be served in time is refused in the order it came, whoever it is.
#[test]
fn who_is_served_last_is_shed_first_where_not_all_can_be_served() {
    let (mut work, _permit) = narrow_work(256);
    let now = Micros::from_millis(1_040);
    let request_within = |work: &mut FunctionScheduler, request_id: u64, (tenant, rank): (u32, u16)| {
        let urgency = Urgency { rank, tenant, ..Urgency::default() };
        let details = RequestDetails { urgency, ..RequestDetails::default() };
        work.request_with_details(9, request_id, Micros::from_millis(400), 0, details, now);
    };
    for request_id in 100..140 {
        request_within(&mut work, request_id, (1, 256));
    }
    request_within(&mut work, 200, (2, 0));
    request_within(&mut work, 201, (3, 256));
    work.take_actions();
    work.tick(now + Micros(1));
    let actions = work.take_actions().into_iter();
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

/// Guards against: a tenant that asks for much is served less than a quarter as often as all, where cells are short.
#[test]
fn a_large_tenant_is_not_starved_where_instances_are_short_for_long() {
    for queue in [24, 256] {
        let (mut work, mut permit) = narrow_work(queue);
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut requested, mut served) = ([0.0; 2], [0.0; 2]);
        // The cell serves one each 20 ms; twice as many come, four in ten of them of one tenant, thirty others.
        for step in 0..20_000u64 {
            let now = Micros::from_millis(2_000 + step * 10);
            let tenant = if rng.u8(..10) < 4 { 1 } else { rng.u32(10..40) };
            let request_id = (step + 1_000) * 2 + u64::from(tenant == 1);
            requested[usize::from(tenant == 1)] += 1.0;
            let urgency = Urgency { tenant, ..Urgency::default() };
            let details = RequestDetails { urgency, ..RequestDetails::default() };
            work.request_with_details(9, request_id, Micros::from_millis(900), 0, details, now);
            if step % 2 == 1 {
                work.returned(&permit, RAN, Micros::from_millis(20), now);
            }
            work.tick(now);
            if let Some((request_id, next)) = grants(&mut work).pop() {
                served[usize::from(request_id % 2 == 1)] += 1.0;
                permit = next;
            }
        }
        let all = (served[0] + served[1]) / (requested[0] + requested[1]);
        let (large, small) = (served[1] / requested[1], served[0] / requested[0]);
        assert!(all > 0.4, "{queue}: {all} of all");
        assert!(large > all / 2.5 && small >= all, "{queue}: {large} of the large one's, {small}, {all}");
    }
}
