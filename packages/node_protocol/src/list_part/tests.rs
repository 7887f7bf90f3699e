use super::*;
use crate::{Event, NodeSettings};
use leader_election::ElectionSettings;
use membership::ProbeSettings;
use peer_messages::{Envelope, MemberNews};
use std::net::SocketAddr;

fn cell(id: &str, leaving: bool) -> ListedCell {
    ListedCell {
        id: id.to_owned(),
        function: "f".to_owned(),
        worker: "w".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        memory_mb: 128,
        leaving,
        started: false,
    }
}

fn worker(free_mb: u64) -> ListedWorker {
    ListedWorker {
        id: "w".to_owned(),
        memory_mb: 1_000,
        free_mb: Some(free_mb),
        draining: false,
        zone: "a".to_owned(),
    }
}

fn address(port: u16) -> Address {
    Address::from(SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Node 1, which has no disk, and knows node 2, which has one.
fn node_beside_a_disk() -> Node {
    let settings = NodeSettings {
        node: 1,
        address: address(1),
        zone: "a".to_owned(),
        seeds: vec![address(2)],
        founding_disks: 3,
        costs: function_scheduler::CostModel::default(),
        extra_bound: function_scheduler::ExtraBound::default(),
        may_found: false,
        lists_per_second: 1_000.0,
        list_every: Micros::from_millis(900),
        replace_disk_after: Micros::from_secs(60),
        acts_per_second: 10.0,
        link_rate: None,
        processor_millis: 1_000,
        election: ElectionSettings::default(),
        probes: ProbeSettings::default(),
        usage: None,
        switched_off: Default::default(),
        luck_seed: 1,
    };
    let mut node = Node::new(settings, None, Micros(0));
    let two = MemberNews {
        node: 2,
        address: address(2),
        zone: "a".into(),
        incarnation: 1,
        state: 0,
        disk: 5,
        disk_state: 1,
        draining: 0,
        processor: 1_000,
    };
    heard(&mut node, Message::Probe { sequence: 1, target: 1, members: List(vec![two]) }, Micros(0));
    node
}

fn heard(node: &mut Node, message: Message, now: Micros) -> Vec<Act> {
    let envelope = Envelope { fleet: 0, from: 2, from_address: address(2), to: 1, message };
    node.handle(Event::Heard(envelope), now)
}

/// Ticks until a moment and returns when the list was pulled, and when the platform was asked.
fn tick(node: &mut Node, from_millis: u64, to_millis: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut pulls, mut lists) = (Vec::new(), Vec::new());
    for millisecond in (from_millis..to_millis).step_by(20) {
        for act in node.handle(Event::Tick, Micros::from_millis(millisecond)) {
            match act {
                Act::Send { message: Message::ListAsk { .. }, .. } => pulls.push(millisecond),
                Act::List => lists.push(millisecond),
                _ => {}
            }
        }
    }
    (pulls, lists)
}

#[test]
fn who_pulls_gets_what_changed_and_everything_after_a_gap() {
    let mut ledger = ListLedger::default();
    ledger.take(&[worker(500)], &[cell("a", false), cell("b", false)], Micros(0));
    let told = |ledger: &ListLedger, since| match ledger.told_since(since, Micros(7)) {
        Message::ListTold { base, sequence, age_micros, has_workers, cells, gone, .. } => {
            let cells: Vec<String> = cells.0.into_iter().map(|cell| cell.cell.0).collect();
            (base, sequence, age_micros, has_workers, cells, gone.0.len())
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(told(&ledger, 0), (0, 1, 7, 1, vec!["a".to_owned(), "b".to_owned()], 0));
    assert_eq!(told(&ledger, 9), (0, 1, 7, 1, vec!["a".to_owned(), "b".to_owned()], 0), "another life");
    ledger.take(&[worker(500)], &[cell("a", false), cell("b", true)], Micros(3));
    assert_eq!(told(&ledger, 1), (1, 2, 4, 0, vec!["b".to_owned()], 0));
    ledger.take(&[worker(400)], &[cell("b", true)], Micros(5));
    assert_eq!(told(&ledger, 2), (2, 3, 2, 1, vec![], 1));
    assert_eq!(told(&ledger, 3), (3, 3, 2, 0, vec![], 0));
    let many: Vec<ListedCell> = (0..GONE_LIMIT + 1).map(|number| cell(&number.to_string(), false)).collect();
    ledger.take(&[], &many, Micros(5));
    ledger.take(&[], &[], Micros(6));
    assert_eq!(told(&ledger, 3).0, 0, "cells that left are no longer remembered so far back");
    assert!(ledger.gone.len() <= GONE_LIMIT);
}

#[test]
fn a_list_is_pulled_and_its_age_counts_from_when_the_lister_asked() {
    let mut node = node_beside_a_disk();
    let (pulls, lists) = tick(&mut node, 20, 60);
    assert_eq!((pulls.len(), lists.len()), (1, 0));
    let told = Message::ListTold {
        failed: 0,
        base: 0,
        sequence: 4,
        age_micros: 15_000,
        has_workers: 1,
        workers: List(vec![worker_told(&worker(500))]),
        cells: List(vec![cell_told(&cell("a", false))]),
        gone: List(Vec::new()),
    };
    heard(&mut node, told.clone(), Micros::from_millis(60));
    let asked_at = Micros::from_millis(pulls[0]);
    assert_eq!(node.stewards.listed_at, Some(asked_at - Micros(15_000)));
    // An answer that nobody asked for changes nothing.
    heard(&mut node, told, Micros::from_millis(80));
    assert_eq!(node.stewards.listed_at, Some(asked_at - Micros(15_000)));
}

#[test]
fn a_node_that_hears_nobody_asks_the_platform_itself() {
    let mut node = node_beside_a_disk();
    let (pulls, lists) = tick(&mut node, 20, 600);
    assert_eq!(pulls.len(), 1);
    assert!(lists.first().is_some_and(|at| *at <= pulls[0] + 340), "{pulls:?} {lists:?}");
}

#[test]
fn a_node_that_slept_asks_the_platform_itself_before_anything() {
    let mut node = node_beside_a_disk();
    tick(&mut node, 20, 60);
    let acts = node.handle(Event::Tick, Micros::from_secs(5));
    assert!(acts.iter().any(|act| matches!(act, Act::List)));
}

#[test]
fn colleagues_wait_for_one_list_and_hear_when_it_fails() {
    let mut node = node_beside_a_disk();
    tick(&mut node, 20, 60);
    let acts = heard(&mut node, Message::ListAsk { since: 0 }, Micros::from_millis(70));
    assert!(acts.iter().any(|act| matches!(act, Act::List)));
    let acts = heard(&mut node, Message::ListAsk { since: 0 }, Micros::from_millis(80));
    assert!(!acts.iter().any(|act| matches!(act, Act::List)), "one question to the platform at a time");
    let listed = Event::Listed { workers: vec![worker(500)], cells: vec![cell("a", false)] };
    let told = |acts: Vec<Act>| {
        acts.into_iter().find_map(|act| match act {
            Act::Send { message: Message::ListTold { failed, cells, .. }, .. } => {
                Some((failed, cells.0.len()))
            }
            _ => None,
        })
    };
    assert_eq!(told(node.handle(listed, Micros::from_millis(90))), Some((0, 1)));
    // From a young list the answer comes at once, without the platform.
    assert_eq!(told(heard(&mut node, Message::ListAsk { since: 0 }, Micros::from_millis(500))), Some((0, 1)));
    heard(&mut node, Message::ListAsk { since: 0 }, Micros::from_millis(1_200));
    assert_eq!(told(node.handle(Event::ListFailed, Micros::from_millis(1_300))), Some((1, 0)));
}
