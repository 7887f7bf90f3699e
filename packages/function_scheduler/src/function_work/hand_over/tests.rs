use super::*;
use crate::function_work::{AskDetails, ListedCell, StartOutcome, WorkAct, WorkSettings};
use crate::{CostModel, RAN};
use std::net::SocketAddr;

const OLD_LEADER: NodeId = 7;
const NEW_LEADER: NodeId = 8;
const ASKER: NodeId = 9;
const LONG: Micros = Micros::from_secs(4);

fn settings() -> WorkSettings {
    WorkSettings {
        calls_at_once: 2,
        boot: Micros::from_secs(1),
        idle: None,
        memory_mb: 128,
        target: None,
        costs: CostModel::default(),
        least_cells: 0,
        most_cells: 1,
        waitlist: 5,
    }
}

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn granted(work: &mut FunctionWork) -> Vec<(u64, Ticket)> {
    let acts = work.take_acts().into_iter();
    acts.filter_map(|act| match act {
        WorkAct::Grant { ask, ticket, .. } => Some((ask, ticket)),
        _ => None,
    })
    .collect()
}

/// A leader with one proven cell of two places, both taken, and two more calls that wait.
fn full_leader() -> (FunctionWork, Vec<Ticket>) {
    let mut work = FunctionWork::new("proof", OLD_LEADER, 12, settings(), Vec::new(), at(0));
    work.allow_cells(1);
    work.ask(ASKER, 1, LONG, 0, "", at(0));
    let start = work.take_acts().into_iter().find_map(|act| match act {
        WorkAct::Start { start_id, .. } => Some(start_id),
        _ => None,
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let outcome = StartOutcome::Started { cell: "c1".to_owned(), address, worker: "w1".to_owned() };
    work.started(&start.expect("a start"), outcome, at(0));
    work.tick(at(1_000));
    let trial = granted(&mut work).remove(0);
    work.returned(&trial.1, RAN, at(20), at(1_020));
    for ask in 2..=5 {
        work.ask_in_detail(ASKER, ask, LONG, 0, AskDetails::default(), at(1_030));
    }
    let tickets = granted(&mut work).into_iter().map(|(_, ticket)| ticket).collect();
    (work, tickets)
}

fn successor_of(handed: HandedWork) -> FunctionWork {
    let mut work = FunctionWork::new("proof", NEW_LEADER, 20, settings(), vec![ASKER, 10, 11], at(1_100));
    work.allow_cells(1);
    let cell = ListedCell {
        id: "c1".to_owned(),
        function: "proof".to_owned(),
        worker: "w1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        memory_mb: 128,
        leaving: false,
        started: true,
    };
    work.listed(&[cell], &["c1".to_owned()], at(1_100), at(1_100));
    work.take_over(handed.tickets, at(1_100));
    work.resume_demand(&handed.demand, at(1_100));
    work
}

#[test]
fn tickets_that_are_out_and_those_who_wait_are_told_in_order() {
    let (mut work, tickets) = full_leader();
    let handed = work.hand_over(at(1_100));
    assert!(handed.is_whole);
    assert_eq!(handed.tickets.len(), tickets.len());
    assert_eq!(handed.asks.iter().map(|ask| ask.ask).collect::<Vec<_>>(), [4, 5]);
    assert_eq!(handed.asks[0].time_left, at(3_930));
    assert_eq!(work.waiting_count(), 0);
}

#[test]
fn a_successor_grants_no_place_that_is_taken_and_asks_only_who_holds_tickets() {
    let (mut work, tickets) = full_leader();
    let mut successor = successor_of(work.hand_over(at(1_100)));
    assert_eq!(successor.unheard(), [ASKER]);
    successor.ask(10, 1, LONG, 0, "", at(1_110));
    assert!(granted(&mut successor).is_empty(), "both places are taken");
    successor.returned(&tickets[0], RAN, at(80), at(1_120));
    assert_eq!(granted(&mut successor).len(), 1);
    successor.ask(10, 2, LONG, 0, "", at(1_130));
    assert!(granted(&mut successor).is_empty(), "one place was free, not two");
}

#[test]
fn a_ticket_that_its_asker_does_not_name_any_more_was_returned_to_the_leader_before() {
    let (mut work, tickets) = full_leader();
    let mut successor = successor_of(work.hand_over(at(1_100)));
    let still_held = vec![(tickets[0].clone(), at(3_000))];
    successor.held_elsewhere(ASKER, still_held, at(1_120));
    assert_eq!(successor.open_count(), 1);
    successor.ask(10, 1, LONG, 0, "", at(1_130));
    successor.ask(10, 2, LONG, 0, "", at(1_130));
    assert_eq!(granted(&mut successor).len(), 1);
}

#[test]
fn a_leader_that_still_asks_who_holds_tickets_does_not_claim_to_know_all() {
    let mut work = FunctionWork::new("proof", OLD_LEADER, 12, settings(), vec![ASKER], at(0));
    assert!(!work.hand_over(at(100)).is_whole);
}

#[test]
fn a_successor_knows_the_rate_of_calls_at_once() {
    let (mut work, _) = full_leader();
    let before = (work.call_rate(at(1_100)) * 100.0).round();
    let handed = work.hand_over(at(1_100));
    assert!(handed.demand.cells_kept >= 1);
    let successor = successor_of(handed);
    assert_eq!((successor.call_rate(at(1_100)) * 100.0).round(), before);
    assert!(successor.demanded_cells().total() >= 1);
}
