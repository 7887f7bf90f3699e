use super::*;
use crate::{Event, NodeSettings};
use leader_election::ElectionSettings;
use membership::ProbeSettings;
use peer_messages::{Envelope, MemberUpdate};
use std::net::SocketAddr;

fn instance(id: &str, draining: bool) -> ListedInstance {
    ListedInstance {
        id: id.to_owned(),
        function: "f".to_owned(),
        worker: "w".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        memory_mb: 128,
        draining,
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

/// Node 1, which has no disk and knows node 2, which has one.
fn node_beside_a_disk() -> Node {
    let settings = NodeSettings {
        node: 1,
        address: address(1),
        zone: "a".to_owned(),
        seeds: vec![address(2)],
        bootstrap_disks: 3,
        tolerance: crate::LossTolerance::default(),
        costs: function_scheduler::CostModel::default(),
        retry_limits: function_scheduler::RetryLimits::default(),
        may_bootstrap: false,
        is_first_start: false,
        lists_per_second: 1_000.0,
        list_every: Micros::from_millis(900),
        replace_disk_after: Micros::from_secs(60),
        operations_per_second: 10.0,
        link_rate: None,
        processor_millis: 1_000,
        election: ElectionSettings::default(),
        probes: ProbeSettings::default(),
        usage: None,
        switched_off: Default::default(),
        random_seed: 1,
    };
    let mut node = Node::new(settings, None, Micros(0));
    let disk_member = MemberUpdate {
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
    received(
        &mut node,
        Message::Probe { sequence: 1, target: 1, members: List(vec![disk_member]) },
        Micros(0),
    );
    node
}

fn received(node: &mut Node, message: Message, now: Micros) -> Vec<Action> {
    let envelope = Envelope { fleet: 0, from: 2, from_address: address(2), to: 1, message };
    node.handle(Event::Received(envelope), now)
}

/// Ticks until `to_millis` and returns when the list was pulled and when it was requested from the
/// platform.
fn tick(node: &mut Node, from_millis: u64, to_millis: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut pulls, mut lists) = (Vec::new(), Vec::new());
    for millisecond in (from_millis..to_millis).step_by(20) {
        for action in node.handle(Event::Tick, Micros::from_millis(millisecond)) {
            match action {
                Action::Send { message: Message::ListRequest { .. }, .. } => pulls.push(millisecond),
                Action::List => lists.push(millisecond),
                _ => {}
            }
        }
    }
    (pulls, lists)
}

#[test]
fn a_pull_returns_changes_or_the_full_list_after_a_gap() {
    let mut change_log = ListChangeLog::default();
    change_log.apply(&[worker(500)], &[instance("a", false), instance("b", false)], Micros(0));
    let response = |change_log: &ListChangeLog, since| match change_log.changes_since(since, Micros(7)) {
        Message::ListResponse { base, sequence, age_micros, has_workers, instances, gone, .. } => {
            let instances: Vec<String> =
                instances.0.into_iter().map(|instance| instance.instance.0).collect();
            (base, sequence, age_micros, has_workers, instances, gone.0.len())
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(response(&change_log, 0), (0, 1, 7, 1, vec!["a".to_owned(), "b".to_owned()], 0));
    assert_eq!(
        response(&change_log, 9),
        (0, 1, 7, 1, vec!["a".to_owned(), "b".to_owned()], 0),
        "a change number of a previous incarnation"
    );
    change_log.apply(&[worker(500)], &[instance("a", false), instance("b", true)], Micros(3));
    assert_eq!(response(&change_log, 1), (1, 2, 4, 0, vec!["b".to_owned()], 0));
    change_log.apply(&[worker(400)], &[instance("b", true)], Micros(5));
    assert_eq!(response(&change_log, 2), (2, 3, 2, 1, vec![], 1));
    assert_eq!(response(&change_log, 3), (3, 3, 2, 0, vec![], 0));
    let many: Vec<ListedInstance> =
        (0..GONE_LIMIT + 1).map(|number| instance(&number.to_string(), false)).collect();
    change_log.apply(&[], &many, Micros(5));
    change_log.apply(&[], &[], Micros(6));
    assert_eq!(response(&change_log, 3).0, 0, "instances that left that long ago are no longer recorded");
    assert!(change_log.gone.len() <= GONE_LIMIT);
}

#[test]
fn the_age_of_a_pulled_list_counts_back_from_the_pull_request() {
    let mut node = node_beside_a_disk();
    let (pulls, lists) = tick(&mut node, 20, 60);
    assert_eq!((pulls.len(), lists.len()), (1, 0));
    let response = Message::ListResponse {
        failed: 0,
        base: 0,
        sequence: 4,
        age_micros: 15_000,
        has_workers: 1,
        workers: List(vec![worker_entry(&worker(500))]),
        instances: List(vec![instance_entry(&instance("a", false))]),
        gone: List(Vec::new()),
    };
    received(&mut node, response.clone(), Micros::from_millis(60));
    let requested_at = Micros::from_millis(pulls[0]);
    assert_eq!(node.leadership.listed_at, Some(requested_at - Micros(15_000)));
    // A response without a pending request changes nothing.
    received(&mut node, response, Micros::from_millis(80));
    assert_eq!(node.leadership.listed_at, Some(requested_at - Micros(15_000)));
}

#[test]
fn a_node_without_peer_contact_lists_the_platform_itself() {
    let mut node = node_beside_a_disk();
    let (pulls, lists) = tick(&mut node, 20, 600);
    assert_eq!(pulls.len(), 1);
    assert!(lists.first().is_some_and(|at| *at <= pulls[0] + 340), "{pulls:?} {lists:?}");
}

#[test]
fn a_node_resuming_after_a_pause_lists_the_platform_first() {
    let mut node = node_beside_a_disk();
    tick(&mut node, 20, 60);
    let actions = node.handle(Event::Tick, Micros::from_secs(5));
    assert!(actions.iter().any(|action| matches!(action, Action::List)));
}

#[test]
fn waiting_peers_share_one_platform_list_and_are_notified_of_its_failure() {
    let mut node = node_beside_a_disk();
    tick(&mut node, 20, 60);
    let actions = received(&mut node, Message::ListRequest { since: 0 }, Micros::from_millis(70));
    assert!(actions.iter().any(|action| matches!(action, Action::List)));
    let actions = received(&mut node, Message::ListRequest { since: 0 }, Micros::from_millis(80));
    assert!(
        !actions.iter().any(|action| matches!(action, Action::List)),
        "only one platform request at a time"
    );
    let listed = Event::Listed { workers: vec![worker(500)], instances: vec![instance("a", false)] };
    let response = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| match action {
            Action::Send { message: Message::ListResponse { failed, instances, .. }, .. } => {
                Some((failed, instances.0.len()))
            }
            _ => None,
        })
    };
    assert_eq!(response(node.handle(listed, Micros::from_millis(90))), Some((0, 1)));
    // A recent list is returned immediately, without a request to the platform.
    assert_eq!(
        response(received(&mut node, Message::ListRequest { since: 0 }, Micros::from_millis(500))),
        Some((0, 1))
    );
    received(&mut node, Message::ListRequest { since: 0 }, Micros::from_millis(1_200));
    assert_eq!(response(node.handle(Event::ListFailed, Micros::from_millis(1_300))), Some((1, 0)));
}
