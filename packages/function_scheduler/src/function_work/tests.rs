use super::*;
use crate::{RAN, TURNED_AWAY};

fn settings() -> WorkSettings {
    WorkSettings {
        calls_at_once: 2,
        boot: Micros::from_secs(1),
        idle: Some(Micros::from_secs(10)),
        memory_mb: 128,
        target: None,
        costs: CostModel::default(),
        least_cells: 0,
        most_cells: 10,
        waitlist: 5,
    }
}

fn work() -> FunctionWork {
    let mut work = FunctionWork::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    work.allow_cells(10);
    work
}

fn started(cell: &str) -> StartOutcome {
    let address = SocketAddr::from(([127, 0, 0, 1], 9000));
    StartOutcome::Started { cell: cell.to_owned(), address, worker: "w1".to_owned() }
}

fn grants(work: &mut FunctionWork) -> Vec<(u64, Ticket)> {
    let acts = work.take_acts().into_iter();
    acts.filter_map(|act| match act {
        WorkAct::Grant { ask, ticket, .. } => Some((ask, ticket)),
        _ => None,
    })
    .collect()
}

fn first_start(work: &mut FunctionWork) -> String {
    let acts = work.take_acts().into_iter();
    acts.filter_map(|act| match act {
        WorkAct::Start { start_id, .. } => Some(start_id),
        _ => None,
    })
    .next()
    .expect("a start")
}

/// The work once its first call was answered by its first cell, at 1.02 s.
fn proved(mut work: FunctionWork) -> FunctionWork {
    work.ask(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(Micros::from_millis(1_000));
    let trial = grants(&mut work);
    work.returned(&trial[0].1, RAN, Micros::from_millis(20), Micros::from_millis(1_020));
    work
}

const LONG: Micros = Micros::from_secs(60);

#[test]
fn one_call_proves_a_booting_cell_and_the_rest_follow_within_its_limit() {
    let mut work = work();
    for ask in 1..=2 {
        work.ask(9, ask, LONG, 0, "", Micros(0));
    }
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(Micros::from_millis(900));
    assert!(grants(&mut work).is_empty(), "not before the learnt boot time");
    work.ask(9, 1, LONG, 0, "", Micros::from_millis(950));
    work.ask(9, 2, LONG, 0, "", Micros::from_millis(950));
    work.tick(Micros::from_secs(1));
    let trial = grants(&mut work);
    assert_eq!(trial.iter().map(|(ask, _)| *ask).collect::<Vec<u64>>(), [1]);
    // Asking again gives the same ticket; nothing is granted twice.
    work.ask(9, 1, LONG, 0, "", Micros::from_secs(1));
    assert_eq!(grants(&mut work), trial);
    work.returned(&trial[0].1, RAN, Micros::from_millis(20), Micros::from_millis(1_100));
    assert_eq!(grants(&mut work).len(), 1);
    for ask in 3..=6 {
        work.ask(9, ask, LONG, 0, "", Micros::from_millis(1_100));
    }
    assert_eq!(grants(&mut work).len(), 1, "two at once are what the cell may run");
    // Calls this short are through before another cell has booted, unless they go on waiting.
    assert_eq!(work.wanted_cells(), 1);
    work.take_acts();
    work.tick(Micros::from_millis(1_200));
    assert!(!work.take_acts().iter().any(|act| matches!(act, WorkAct::Start { .. })));
    work.tick(Micros::from_millis(1_400));
    first_start(&mut work);
}

#[test]
fn hopeless_and_surplus_asks_are_refused_at_once_and_idle_cells_stop() {
    let mut work = work();
    work.ask(9, 1, Micros::from_millis(500), 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros::from_millis(1));
    work.tick(Micros::from_millis(2));
    let refusals = work.take_acts();
    assert!(
        matches!(&refusals[..], [WorkAct::HoldBack { held_back_as: HeldBackAs::Refused, retry_after, .. }]
            if *retry_after > Micros::from_millis(900)),
        "{refusals:?}"
    );
    for ask in 2..=7 {
        work.ask(9, ask, LONG, 0, "", Micros::from_millis(3));
    }
    let full_count = work
        .take_acts()
        .iter()
        .filter(|act| matches!(act, WorkAct::HoldBack { reason: "waitlist full", .. }))
        .count();
    assert_eq!(full_count, 1);
    (2..=7).for_each(|ask| work.withdraw(9, ask));
    let listed_cell = ListedCell {
        id: "c1".to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        memory_mb: 1,
        leaving: false,
        started: false,
    };
    work.listed(&[listed_cell], &[], Micros::from_secs(2), Micros::from_secs(2));
    for second in 3..=25 {
        work.tick(Micros::from_secs(second));
    }
    assert!(work.take_acts().contains(&WorkAct::Stop { cell: "c1".to_owned() }));
    work.listed(&[], &[], Micros::from_secs(26), Micros::from_secs(26));
    assert_eq!(work.cell_count(), 0);
}

#[test]
fn a_new_steward_keeps_the_cells_it_finds_for_one_idle_span() {
    let listed = |id: &str| ListedCell {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        leaving: false,
        started: false,
    };
    let stops = |work: &mut FunctionWork| {
        work.take_acts().iter().filter(|act| matches!(act, WorkAct::Stop { .. })).count()
    };
    let mut work = work();
    let found = [listed("c1"), listed("c2"), listed("c3")];
    let known = ["c1".to_owned(), "c2".to_owned(), "c3".to_owned()];
    work.listed(&found, &known, Micros(0), Micros(0));
    for second in 0..9 {
        work.tick(Micros::from_secs(second));
    }
    assert_eq!((stops(&mut work), work.ready_cells().len()), (0, 3));
    for second in 9..30 {
        work.tick(Micros::from_secs(second));
    }
    assert!(stops(&mut work) >= 3 && work.ready_cells().is_empty(), "not called for an idle span");
    // Before the first list nobody is refused for want of cells.
    let mut fresh = FunctionWork::new("proof", 7, 13, settings(), Vec::new(), Micros(0));
    fresh.hold_starts(Micros::from_secs(2));
    fresh.ask(9, 1, Micros::from_millis(500), 0, "", Micros(0));
    fresh.tick(Micros::from_millis(100));
    assert!(
        !fresh
            .take_acts()
            .iter()
            .any(|act| matches!(act, WorkAct::HoldBack { held_back_as: HeldBackAs::Refused, .. }))
    );
    fresh.listed(&found, &known, Micros::from_millis(200), Micros::from_millis(200));
    assert_eq!(grants(&mut fresh).len(), 1);
}

#[test]
fn a_late_first_call_teaches_no_long_boot_and_surplus_cells_that_do_not_run_go_first() {
    assert_eq!(learn_boot(Micros(1_000), Micros(9_000), RAN), Micros(995));
    assert_eq!(learn_boot(Micros(1_000), Micros(700), RAN), Micros(700));
    assert!(learn_boot(Micros(1_000), Micros(1_200), NOT_RUN) > Micros(1_200));
    let mut work = work();
    work.ask(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(Micros::from_secs(1));
    let trial = grants(&mut work);
    work.returned(&trial[0].1, RAN, Micros(1_000), Micros::from_millis(1_100));
    // A second cell is started for a moment's crowd and then not needed.
    for ask in 2..=4 {
        work.ask(9, ask, LONG, 0, "", Micros::from_millis(1_200));
    }
    work.tick(Micros::from_millis(1_500));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c0"), Micros::from_millis(1_500));
    work.allow_cells(1);
    work.tick(Micros::from_millis(1_600));
    let acts = work.take_acts();
    assert!(acts.contains(&WorkAct::Stop { cell: "c0".to_owned() }));
    assert_eq!(work.ready_cells().len(), 1);
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
    work.settings.most_cells = 1;
    work.ask(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(ms(1_000));
    let trial = grants(&mut work);
    work.returned(&trial[0].1, RAN, ms(50), ms(1_050));
    work.ask(9, 2, LONG, 0, "", ms(1_100));
    let second = grants(&mut work);
    work.ask(9, 3, LONG, 0, "", ms(1_200));
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
        work.ask(9, 1, LONG, 0, "", Micros(0));
        first_start(&mut work)
    };
    work.started(&start_id, started("c1"), Micros(0));
    let mut granted = 0;
    for ask in 2..=400u64 {
        let now = Micros::from_millis(1_000 + ask);
        work.ask(9, ask, LONG, 1, "", now);
        for (_, ticket) in grants(&mut work) {
            granted += 1;
            work.returned(&ticket, TURNED_AWAY, Micros(1), now);
        }
        work.withdraw(9, ask);
    }
    assert!(granted <= 50, "{granted}");
    assert!(!work.spend_extra(Micros::from_millis(1_500)));
    assert!(work.spend_extra(Micros::from_millis(12_000)), "the window moves on");
}

#[test]
fn who_can_still_be_answered_in_time_goes_first_then_rank_then_who_came_first() {
    let mut work = work();
    let ms = Micros::from_millis;
    work.ask(9, 1, LONG, 0, "", Micros(0));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros(0));
    work.tick(ms(1_000));
    let trial = grants(&mut work);
    for (ask, late_at, rank) in [(2, 1_010, 0), (3, 9_000, 2), (4, 9_000, 1), (5, 9_000, 1)] {
        let urgency = Urgency { late_at: ms(late_at), rank, tenant: 0, is_nested: false };
        let details = AskDetails { urgency, ..AskDetails::default() };
        work.ask_in_detail(9, ask, LONG, 0, details, ms(1_005));
    }
    work.returned(&trial[0].1, RAN, ms(20), ms(1_020));
    let mut order = Vec::new();
    for step in 0..4 {
        for (ask, ticket) in grants(&mut work) {
            order.push(ask);
            work.returned(&ticket, RAN, ms(20), ms(1_040 + step));
        }
    }
    assert_eq!(order, [4, 5, 3, 2]);
}

#[test]
fn a_cell_that_boots_on_a_worker_that_drains_is_given_up_for_another() {
    let mut work =
        FunctionWork::new("proof", 7, 12, WorkSettings { idle: None, ..settings() }, Vec::new(), Micros(0));
    work.allow_cells(10);
    work.ask(9, 1, Micros::from_secs(4), 0, "", Micros(0));
    work.tick(Micros(1));
    let start_id = first_start(&mut work);
    work.started(&start_id, started("c1"), Micros::from_millis(5));
    work.leave_workers(|_| true, Micros::from_millis(300));
    assert!(work.take_acts().is_empty());
    work.leave_workers(|worker| worker != "w1", Micros::from_millis(500));
    assert_ne!(first_start(&mut work), start_id, "another start, though no list showed the first");
}

#[test]
fn a_new_stewards_extra_dispatch_waits_for_its_part_and_lets_first_ones_pass() {
    let mut work = proved(work());
    let ms = Micros::from_millis;
    // Another steward takes over: the one before may have granted its whole part just now.
    work.bound_extras(ExtraBound::default(), ms(2_000));
    work.ask(9, 2, LONG, 1, "", ms(2_000));
    assert!(grants(&mut work).is_empty());
    work.ask(9, 3, LONG, 0, "", ms(2_000));
    assert_eq!(grants(&mut work).iter().map(|(ask, _)| *ask).collect::<Vec<u64>>(), [3]);
    work.tick(ms(2_600));
    assert_eq!(grants(&mut work).iter().map(|(ask, _)| *ask).collect::<Vec<u64>>(), [2]);
    // Where many wait already, and once it is no longer new, what it may not grant is refused.
    let mut refused = 0;
    for ask in 10..30 {
        work.ask(9, ask, LONG, 1, "", ms(2_600));
        let is_refusal =
            |act: &WorkAct| matches!(act, WorkAct::HoldBack { held_back_as: HeldBackAs::Refused, .. });
        refused += work.take_acts().iter().filter(|act| is_refusal(act)).count();
    }
    assert_eq!(refused, 20 - EXTRAS_WAITING_MOST);
}

/// Ten calls wait in a list of forty, for an eighth of a boot; what one call takes is known.
fn starts_of_a_list_that_fills_up(latency: Micros) -> usize {
    let mut work =
        FunctionWork::new("proof", 7, 12, WorkSettings { waitlist: 40, ..settings() }, Vec::new(), Micros(0));
    work.allow_cells(10);
    work.usual_latency = latency;
    let mut work = proved(work);
    work.usual_latency = latency;
    let ms = Micros::from_millis;
    for ask in 2..12 {
        work.ask(9, ask, LONG, 0, "", ms(1_100));
    }
    let starts = |work: &mut FunctionWork| {
        work.take_acts().iter().filter(|act| matches!(act, WorkAct::Start { .. })).count()
    };
    let at_once = starts(&mut work);
    work.tick(ms(1_240));
    at_once + starts(&mut work)
}

#[test]
fn a_list_that_fills_up_starts_the_cells_that_are_through_with_it_in_time() {
    let ms = Micros::from_millis;
    assert_eq!(starts_of_a_list_that_fills_up(ms(400)), 4, "ten long calls are five cells of two");
    assert_eq!(starts_of_a_list_that_fills_up(ms(60)), 1, "of short calls a cell serves six in the time");
    assert_eq!(starts_of_a_list_that_fills_up(ms(5)), 0, "calls this short are through at once");
}

#[test]
fn calls_that_wait_are_work_to_be_done_and_not_slots_that_are_taken() {
    let work_settings = WorkSettings { waitlist: 1_000, idle: None, ..settings() };
    let mut work = FunctionWork::new("proof", 7, 12, work_settings, Vec::new(), Micros(0));
    work.allow_cells(1_000);
    let mut work = proved(work);
    let ms = Micros::from_millis;
    for ask in 0..200 {
        work.ask(9, 100 + ask, LONG, 0, "", ms(1_100));
    }
    let mut started = 0;
    for millis in (1_100..2_000).step_by(40) {
        work.tick(ms(millis));
        for act in work.take_acts() {
            started += usize::from(matches!(act, WorkAct::Start { .. }));
        }
    }
    // 200 calls of about 50 ms are ten seconds of work: in a boot of a second some ten slots.
    assert!((3..=20).contains(&started), "{started} cells were started for 200 short calls");
}

#[test]
fn a_call_made_by_a_running_call_goes_before_those_that_hold_no_slot() {
    let mut work = FunctionWork::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    work.allow_cells(1);
    let mut work = proved(work);
    let ms = Micros::from_millis;
    work.ask(9, 2, LONG, 0, "", ms(1_001));
    work.ask(9, 3, LONG, 0, "", ms(1_002));
    let running: Vec<Ticket> = grants(&mut work).into_iter().map(|(_, ticket)| ticket).collect();
    assert_eq!(running.len(), 2, "the cell is full");
    for ask in 4..10 {
        work.ask(9, ask, LONG, 0, "", ms(1_003));
    }
    // Late by its lane's target, and of the last rank: its caller's slot is taken all the same.
    let nested = Urgency { late_at: ms(1), rank: 9, tenant: 0, is_nested: true };
    let details = AskDetails { urgency: nested, ..AskDetails::default() };
    work.ask_in_detail(9, 50, LONG, 0, details, ms(1_004));
    work.returned(&running[0], RAN, ms(30), ms(1_040));
    assert_eq!(grants(&mut work).iter().map(|(ask, _)| *ask).collect::<Vec<u64>>(), [50]);
}

/// Two cells that run, one in each of two zones.
fn work_in_two_zones() -> FunctionWork {
    let mut work = FunctionWork::new("proof", 7, 12, settings(), Vec::new(), Micros(0));
    work.allow_cells(10);
    let zones = [("w1", "a"), ("w2", "b")].map(|(worker, zone)| (worker.to_owned(), Zone::named(zone)));
    work.take_worker_zones(Arc::new(zones.into()));
    let listed = |id: &str, worker: &str| ListedCell {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: worker.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        leaving: false,
        started: true,
    };
    work.listed(&[listed("c1", "w1"), listed("c2", "w2")], &[], Micros(0), Micros(0));
    work
}

fn ask_from(work: &mut FunctionWork, ask: u64, zone: &str) -> Option<String> {
    let details = AskDetails { zone: Zone::named(zone), ..AskDetails::default() };
    work.ask_in_detail(9, ask, LONG, 0, details, Micros::from_millis(ask));
    grants(work).first().map(|(_, ticket)| ticket.cell.0.clone())
}

#[test]
fn a_call_goes_to_a_cell_in_its_zone_while_one_there_has_room_and_elsewhere_after_that() {
    let mut work = work_in_two_zones();
    assert_eq!(ask_from(&mut work, 1, "b").as_deref(), Some("c2"));
    assert_eq!(ask_from(&mut work, 2, "b").as_deref(), Some("c2"), "though the other cell has no call");
    assert_eq!(ask_from(&mut work, 3, "b").as_deref(), Some("c1"), "the zone is full");
    assert_eq!(ask_from(&mut work, 4, "a").as_deref(), Some("c1"));
    assert_eq!(ask_from(&mut work, 5, "a"), None, "all is full");
}

#[test]
fn a_start_is_wanted_where_cells_lack_most_and_the_zone_with_too_many_gives_one_back() {
    let mut work = work_in_two_zones();
    for ask in 1..=9 {
        ask_from(&mut work, ask, if ask == 9 { "a" } else { "b" });
    }
    work.tick(Micros::from_millis(700));
    let zones: Vec<Zone> = work.starting.values().map(|(_, zone)| *zone).collect();
    assert!(!zones.is_empty() && zones.iter().all(|zone| *zone == Zone::named("b")), "{zones:?}");
    let mut work = work_in_two_zones();
    let open: Vec<Ticket> = (1..=4)
        .filter_map(|ask| {
            let details = AskDetails { zone: Zone::named("b"), ..AskDetails::default() };
            work.ask_in_detail(9, ask, LONG, 0, details, Micros::from_millis(ask));
            grants(&mut work).pop().map(|(_, ticket)| ticket)
        })
        .collect();
    for ticket in open {
        work.returned(&ticket, RAN, Micros::from_millis(20), Micros::from_millis(40));
    }
    work.allow_cells(1);
    work.tick(Micros::from_millis(100));
    let ready: Vec<String> = work.ready_cells().into_iter().map(|cell| cell.id).collect();
    assert_eq!(ready, ["c2"], "no calls come from the zone of c1");
}

#[test]
fn cells_that_a_new_steward_finds_are_kept_while_it_does_not_know_what_it_is_allowed() {
    let mut work =
        FunctionWork::new("proof", 7, 12, WorkSettings { idle: None, ..settings() }, Vec::new(), Micros(0));
    let listed = |id: &str| ListedCell {
        id: id.to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 1,
        leaving: false,
        started: true,
    };
    work.listed(&[listed("c1"), listed("c2"), listed("c3")], &[], Micros(0), Micros(0));
    let ms = Micros::from_millis;
    work.tick(ms(40));
    assert_eq!(work.ready_cells().len(), 3, "there was no split yet");
    let demanded = work.demanded_cells();
    assert_eq!((demanded.warm + demanded.needed, demanded.spare), (3, 0), "they were called for before");
    work.allow_cells(2);
    work.tick(ms(80));
    assert_eq!(work.ready_cells().len(), 2, "what the split says holds");
    work.take_traffic(Some(ms(40)));
    work.tick(Micros::from_secs(12));
    assert_eq!(work.ready_cells().len(), 0, "others are called, and this one is not any more");
}

#[test]
fn clients_that_leave_keep_their_place_for_a_while_and_say_nothing_against_the_cell() {
    let ms = Micros::from_millis;
    let mut work = proved(work());
    let many = u64::from(cell::REPLACE_AFTER_ERRORS) * 2;
    for number in 0..many {
        let now = ms(2_000 + number * 1_000);
        work.ask(9, 100 + number, LONG, 0, "", now);
        let granted = grants(&mut work);
        assert_eq!(granted.len(), 1, "the cell is trusted after {number} clients left");
        work.returned(&granted[0].1, ABANDONED, ms(40), now + ms(40));
        work.tick(now + ms(50));
    }
    // One place of two is taken still, since the cell may be at work for the client that left last.
    let now = ms(2_000 + many * 1_000) + MOST_LINGERING;
    work.tick(now);
    work.ask(9, 500, LONG, 0, "", now);
    let left = grants(&mut work);
    work.returned(&left[0].1, ABANDONED, ms(40), now);
    for ask in 501..=502 {
        work.ask(9, ask, LONG, 0, "", now);
    }
    assert_eq!(grants(&mut work).len(), 1);
    let mut waited = ms(0);
    while grants(&mut work).is_empty() {
        waited = waited + ms(100);
        assert!(waited <= MOST_LINGERING, "the place is given back");
        work.ask(9, 502, LONG, 0, "", now + waited);
        work.tick(now + waited);
    }
}

#[test]
fn cells_that_a_new_leader_finds_are_claimed_before_its_first_clock_event() {
    let counted = WorkSettings { idle: None, ..settings() };
    let mut work = FunctionWork::new("proof", 7, 12, counted, vec![9], Micros(0));
    let cell = |number: u16| ListedCell {
        id: format!("c{number}"),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        memory_mb: 128,
        leaving: false,
        started: true,
    };
    work.listed(&[cell(1), cell(2), cell(3), cell(4)], &[], Micros(0), Micros(0));
    // The split of memory may come in between: what is not claimed then is not allowed, and is stopped.
    assert_eq!(work.demanded_cells().total(), 4);
    work.allow_cells(work.demanded_cells().total());
    work.tick(Micros::from_millis(40));
    assert!(!work.take_acts().iter().any(|act| matches!(act, WorkAct::Stop { .. })));
}

/// One cell of one call at once that runs, and a list of so many places.
fn narrow_work(waitlist: usize) -> (FunctionWork, Ticket) {
    let narrow = WorkSettings { calls_at_once: 1, most_cells: 1, waitlist, ..settings() };
    let mut work = FunctionWork::new("proof", 7, 12, narrow, Vec::new(), Micros(0));
    work.allow_cells(1);
    let mut work = proved(work);
    work.ask(9, 2, LONG, 0, "", Micros::from_millis(1_030));
    let ticket = grants(&mut work).remove(0).1;
    (work, ticket)
}

fn ask_as(work: &mut FunctionWork, ask: u64, (tenant, rank): (u32, u16)) {
    let urgency = Urgency { rank, tenant, ..Urgency::default() };
    let details = AskDetails { urgency, ..AskDetails::default() };
    work.ask_in_detail(9, ask, LONG, 0, details, Micros::from_millis(1_040));
}

/// The asks in the order they are served in, each for 20 ms.
fn served_order(work: &mut FunctionWork, ticket: Ticket, count: usize) -> Vec<u64> {
    let mut order = Vec::new();
    let mut ticket = ticket;
    for step in 1..=count as u64 {
        let now = Micros::from_millis(1_040 + step * 20);
        work.returned(&ticket, RAN, Micros::from_millis(20), now);
        let Some((ask, next)) = grants(work).pop() else { break };
        order.push(ask);
        ticket = next;
    }
    order
}

fn full_refusals(work: &mut FunctionWork) -> Vec<u64> {
    let acts = work.take_acts().into_iter();
    acts.filter_map(|act| match act {
        WorkAct::HoldBack { ask, reason: "waitlist full", .. } => Some(ask),
        _ => None,
    })
    .collect()
}

/// Guards against: a crowd of one tenant that came first is served to its end before anybody else.
#[test]
fn a_crowd_of_one_tenant_waits_behind_itself_and_twenty_small_ones_go_by() {
    let (mut work, ticket) = narrow_work(256);
    for ask in 100..300 {
        ask_as(&mut work, ask, (1, 0));
    }
    for small in 0..20 {
        ask_as(&mut work, 1_000 + u64::from(small), (10 + small, 0));
    }
    let order = served_order(&mut work, ticket, 42);
    let small_count = order.iter().filter(|ask| **ask >= 1_000).count();
    assert_eq!(small_count, 20, "{order:?}");
    // Every second one at the least, from the crowd's first on.
    assert_eq!(order[..10].iter().filter(|ask| **ask >= 1_000).count(), 4, "{order:?}");
    let crowd: Vec<u64> = order.into_iter().filter(|ask| *ask < 1_000).collect();
    assert!(crowd.is_sorted() && crowd[0] == 100, "asks of one tenant keep their order: {crowd:?}");
}

/// Guards against: a crowd most of whose callers gave up is made to wait for those as well.
#[test]
fn a_crowds_share_is_one_in_so_many_tenants_while_others_keep_coming() {
    let (mut work, mut ticket) = narrow_work(256);
    for ask in 100..300 {
        ask_as(&mut work, ask, (1, 0));
    }
    (100..290).for_each(|ask| work.withdraw(9, ask));
    let mut crowd_count = 0;
    for step in 0..40u64 {
        // Four others ask as often as the cell serves one.
        for small in 0..4u32 {
            ask_as(&mut work, 1_000 + step * 10 + u64::from(small), (10 + small, 0));
        }
        work.returned(&ticket, RAN, Micros::from_millis(20), Micros::from_millis(1_041 + step));
        let (ask, next) = grants(&mut work).pop().expect("somebody is served");
        crowd_count += usize::from(ask < 1_000);
        ticket = next;
    }
    // The order of coming serves what is left of it, and the turns a fifth.
    assert_eq!(crowd_count, 10);
}

/// Guards against: a lane's rank goes before the rank of the tenant, or turns before ranks.
#[test]
fn rank_goes_before_turns_and_nested_calls_before_both() {
    let (mut work, ticket) = narrow_work(256);
    // The tenant's rank in the upper byte, the lane's in the lower one.
    ask_as(&mut work, 10, (1, 1 << 8));
    ask_as(&mut work, 11, (2, 9));
    ask_as(&mut work, 12, (2, 0));
    ask_as(&mut work, 13, (2, 0));
    ask_as(&mut work, 14, (3, 0));
    let urgency = Urgency { rank: 2 << 8, tenant: 4, is_nested: true, ..Urgency::default() };
    let details = AskDetails { urgency, ..AskDetails::default() };
    work.ask_in_detail(9, 15, LONG, 0, details, Micros::from_millis(1_040));
    assert_eq!(served_order(&mut work, ticket, 6), [15, 12, 14, 13, 11, 10]);
}

/// Guards against: a full list refuses a small tenant's only call for the hundredth of a crowd.
#[test]
fn a_full_list_refuses_the_newest_of_the_crowd_and_of_the_lowest_rank() {
    let (mut work, ticket) = narrow_work(5);
    for ask in 100..105 {
        ask_as(&mut work, ask, (1, 0));
    }
    ask_as(&mut work, 200, (2, 0));
    assert_eq!(full_refusals(&mut work), [104]);
    // The crowd's own newcomer is refused as before, and of four others three.
    ask_as(&mut work, 105, (1, 0));
    assert_eq!(full_refusals(&mut work), [105]);
    for ask in 201..204 {
        ask_as(&mut work, ask, (4, 0));
    }
    assert_eq!(full_refusals(&mut work), [201, 202, 203]);
    // A lower rank gives way first, however few ask, and does not take a place.
    ask_as(&mut work, 300, (3, 256));
    assert_eq!(full_refusals(&mut work), [300]);
    work.withdraw(9, 103);
    ask_as(&mut work, 301, (3, 256));
    assert_eq!(full_refusals(&mut work), [0; 0]);
    ask_as(&mut work, 106, (1, 0));
    assert_eq!(full_refusals(&mut work), [301]);
    // By turn, by coming, by turn...
    assert_eq!(served_order(&mut work, ticket, 5), [100, 101, 200, 102, 106]);
}

/// Guards against: what cannot all be served in time is refused in the order it came, whoever it is.
#[test]
fn who_is_served_last_is_shed_first_where_not_all_can_be_served() {
    let (mut work, _ticket) = narrow_work(256);
    let now = Micros::from_millis(1_040);
    let ask_within = |work: &mut FunctionWork, ask: u64, (tenant, rank): (u32, u16)| {
        let urgency = Urgency { rank, tenant, ..Urgency::default() };
        let details = AskDetails { urgency, ..AskDetails::default() };
        work.ask_in_detail(9, ask, Micros::from_millis(400), 0, details, now);
    };
    for ask in 100..140 {
        ask_within(&mut work, ask, (1, 256));
    }
    ask_within(&mut work, 200, (2, 0));
    ask_within(&mut work, 201, (3, 256));
    work.take_acts();
    work.tick(now + Micros(1));
    let acts = work.take_acts().into_iter();
    let refused: Vec<u64> = acts
        .filter_map(|act| match act {
            WorkAct::HoldBack { ask, held_back_as: HeldBackAs::Refused, .. } => Some(ask),
            _ => None,
        })
        .collect();
    assert!(refused.len() > 10, "not all can be served: {refused:?}");
    assert!(refused.iter().all(|ask| (101..140).contains(ask)), "{refused:?}");
    assert!(refused.is_sorted() && refused.last() == Some(&139), "{refused:?}");
}

/// Guards against: a tenant that asks for much is served less than a quarter as often as all, where cells are short.
#[test]
fn a_large_tenant_is_not_starved_where_cells_are_short_for_long() {
    for waitlist in [24, 256] {
        let (mut work, mut ticket) = narrow_work(waitlist);
        let mut dice = fastrand::Rng::with_seed(7);
        let (mut asked, mut served) = ([0.0; 2], [0.0; 2]);
        // The cell serves one each 20 ms; twice as many come, four in ten of them of one tenant, thirty others.
        for step in 0..20_000u64 {
            let now = Micros::from_millis(2_000 + step * 10);
            let tenant = if dice.u8(..10) < 4 { 1 } else { dice.u32(10..40) };
            let ask = (step + 1_000) * 2 + u64::from(tenant == 1);
            asked[usize::from(tenant == 1)] += 1.0;
            let urgency = Urgency { tenant, ..Urgency::default() };
            let details = AskDetails { urgency, ..AskDetails::default() };
            work.ask_in_detail(9, ask, Micros::from_millis(900), 0, details, now);
            if step % 2 == 1 {
                work.returned(&ticket, RAN, Micros::from_millis(20), now);
            }
            work.tick(now);
            if let Some((ask, next)) = grants(&mut work).pop() {
                served[usize::from(ask % 2 == 1)] += 1.0;
                ticket = next;
            }
        }
        let all = (served[0] + served[1]) / (asked[0] + asked[1]);
        let (large, small) = (served[1] / asked[1], served[0] / asked[0]);
        assert!(all > 0.4, "{waitlist}: {all} of all");
        assert!(large > all / 2.5 && small >= all, "{waitlist}: {large} of the large one's, {small}, {all}");
    }
}
