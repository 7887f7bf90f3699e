use super::*;
use crate::scheduler::{ListedInstance, RequestDetails, SchedulerAction, SchedulerSettings, StartOutcome};
use crate::{CostModel, RAN};
use std::net::SocketAddr;

const OLD_LEADER: NodeId = 7;
const NEW_LEADER: NodeId = 8;
const REQUESTER: NodeId = 9;
const AMPLE_TIME: Micros = Micros::from_secs(4);

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        calls_at_once: 2,
        boot: Micros::from_secs(1),
        idle: None,
        memory_mb: 128,
        target: None,
        costs: CostModel::default(),
        min_instances: 0,
        max_instances: 1,
        queue_limit: 5,
    }
}

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn granted(scheduler: &mut FunctionScheduler) -> Vec<(u64, Permit)> {
    let actions = scheduler.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            SchedulerAction::Grant { request_id, permit, .. } => Some((request_id, permit)),
            _ => None,
        })
        .collect()
}

/// A leader with one running instance of two slots, both in use, and two queued calls.
fn full_leader() -> (FunctionScheduler, Vec<Permit>) {
    let mut scheduler = FunctionScheduler::new("proof", OLD_LEADER, 12, settings(), Vec::new(), at(0));
    scheduler.set_allowed_instances(1);
    scheduler.request(REQUESTER, 1, AMPLE_TIME, 0, "", at(0));
    let start = scheduler.take_actions().into_iter().find_map(|action| match action {
        SchedulerAction::Start { start_id, .. } => Some(start_id),
        _ => None,
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let outcome = StartOutcome::Started { instance: "c1".to_owned(), address, worker: "w1".to_owned() };
    scheduler.handle_start_outcome(&start.expect("a start"), outcome, at(0));
    scheduler.tick(at(1_000));
    let trial = granted(&mut scheduler).remove(0);
    scheduler.handle_permit_return(&trial.1, RAN, at(20), at(1_020));
    for request_id in 2..=5 {
        scheduler.request_with_details(
            REQUESTER,
            request_id,
            AMPLE_TIME,
            0,
            RequestDetails::default(),
            at(1_030),
        );
    }
    let permits = granted(&mut scheduler).into_iter().map(|(_, permit)| permit).collect();
    (scheduler, permits)
}

fn successor_of(handover: HandoverState) -> FunctionScheduler {
    let mut scheduler =
        FunctionScheduler::new("proof", NEW_LEADER, 20, settings(), vec![REQUESTER, 10, 11], at(1_100));
    scheduler.set_allowed_instances(1);
    let instance = ListedInstance {
        id: "c1".to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 128,
        draining: false,
        started: true,
    };
    scheduler.handle_list(&[instance], &["c1".to_owned()], at(1_100), at(1_100));
    scheduler.accept_handover(handover.permits, at(1_100));
    scheduler.resume_demand(&handover.demand, at(1_100));
    scheduler
}

#[test]
fn open_permits_and_queued_requests_are_transferred_in_order() {
    let (mut scheduler, permits) = full_leader();
    let handover = scheduler.begin_handover(at(1_100));
    assert!(handover.is_complete);
    assert_eq!(handover.permits.len(), permits.len());
    assert_eq!(handover.requests.iter().map(|request| request.request_id).collect::<Vec<_>>(), [4, 5]);
    assert_eq!(handover.requests[0].time_left, at(3_930));
    assert_eq!(scheduler.waiting_count(), 0);
}

#[test]
fn a_successor_grants_no_slot_in_use_and_queries_only_permit_holders() {
    let (mut scheduler, permits) = full_leader();
    let mut successor = successor_of(scheduler.begin_handover(at(1_100)));
    assert_eq!(successor.awaited_holders(), [REQUESTER]);
    successor.request(10, 1, AMPLE_TIME, 0, "", at(1_110));
    assert!(granted(&mut successor).is_empty(), "both slots are in use");
    successor.handle_permit_return(&permits[0], RAN, at(80), at(1_120));
    assert_eq!(granted(&mut successor).len(), 1);
    successor.request(10, 2, AMPLE_TIME, 0, "", at(1_130));
    assert!(granted(&mut successor).is_empty(), "one slot was free, not two");
}

#[test]
fn a_transferred_permit_that_its_holder_no_longer_names_is_dropped() {
    let (mut scheduler, permits) = full_leader();
    let mut successor = successor_of(scheduler.begin_handover(at(1_100)));
    let still_held = vec![(permits[0].clone(), at(3_000))];
    successor.record_held_permits(REQUESTER, still_held, at(1_120));
    assert_eq!(successor.open_count(), 1);
    successor.request(10, 1, AMPLE_TIME, 0, "", at(1_130));
    successor.request(10, 2, AMPLE_TIME, 0, "", at(1_130));
    assert_eq!(granted(&mut successor).len(), 1);
}

#[test]
fn a_leader_still_awaiting_permit_holders_transfers_an_incomplete_state() {
    let mut scheduler = FunctionScheduler::new("proof", OLD_LEADER, 12, settings(), vec![REQUESTER], at(0));
    assert!(!scheduler.begin_handover(at(100)).is_complete);
}

#[test]
fn a_successor_continues_with_the_previous_call_rate() {
    let (mut scheduler, _) = full_leader();
    let before = (scheduler.call_rate(at(1_100)) * 100.0).round();
    let handover = scheduler.begin_handover(at(1_100));
    assert!(handover.demand.instances_kept >= 1);
    let successor = successor_of(handover);
    assert_eq!((successor.call_rate(at(1_100)) * 100.0).round(), before);
    assert!(successor.demanded_instances().total() >= 1);
}
