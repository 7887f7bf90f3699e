use super::*;

#[test]
fn small_and_large_items_reach_all_nodes_within_three_seconds_despite_loss() {
    for random_seed in 0..20 {
        let mut fleet: Vec<Gossip> = (0..10).map(|node| Gossip::new(random_seed * 100 + node)).collect();
        let mut loss = Rng::with_seed(random_seed);
        fleet[0].publish("small", 0, 1, Bytes(vec![1; 10]));
        fleet[0].publish("large", 0, 7, Bytes(vec![2; 3_000_000]));
        let mut complete_at = None;
        for millisecond in (0..3_000u64).step_by(100) {
            let now = Micros::from_millis(millisecond);
            let mut waiting: Vec<(NodeId, GossipSend)> = Vec::new();
            for node in 0..10u64 {
                let peers: Vec<NodeId> = (0..10).filter(|other| *other != node).collect();
                fleet[node as usize].set_neighbours(node, Neighbours::of_one_zone(peers));
                let sends = fleet[node as usize].tick(now);
                waiting.extend(sends.into_iter().map(|send| (node, send)));
            }
            while let Some((sender, (receiver, message))) = waiting.pop() {
                if loss.u8(..10) < 3 {
                    continue;
                }
                let (_, sends) = fleet[receiver as usize].handle_message(sender, message);
                waiting.extend(sends.into_iter().map(|send| (receiver, send)));
            }
            if fleet.iter().all(|gossip| gossip.sequence("small") == 1 && gossip.sequence("large") == 7) {
                complete_at = complete_at.or(Some(millisecond));
            }
        }
        assert!(complete_at.is_some(), "seed {random_seed}: not complete with three tenths of messages lost");
        assert!(!fleet[3].publish("large", 3, 6, Bytes::default()), "an older sequence is rejected");
    }
}

/// Runs a fleet of one zone without message loss; returns the bytes sent.
fn run(fleet: &mut [Gossip], from_millis: u64, to_millis: u64) -> usize {
    let count = fleet.len() as u64;
    for node in 0..count {
        let peers: Vec<NodeId> = (0..count).filter(|other| *other != node).collect();
        fleet[node as usize].set_neighbours(node, Neighbours::of_one_zone(peers));
    }
    run_counting(fleet, (from_millis, to_millis), &|_, _| true)
}

/// The same for a fleet whose neighbours are set; returns the bytes sent between the counted pairs.
fn run_counting(
    fleet: &mut [Gossip],
    (from_millis, to_millis): (u64, u64),
    is_counted: &dyn Fn(NodeId, NodeId) -> bool,
) -> usize {
    let mut sent_bytes = 0;
    let count = fleet.len() as u64;
    for millisecond in (from_millis..to_millis).step_by(50) {
        let mut waiting: Vec<(NodeId, GossipSend)> = Vec::new();
        for node in 0..count {
            let sends = fleet[node as usize].tick(Micros::from_millis(millisecond));
            waiting.extend(sends.into_iter().map(|send| (node, send)));
        }
        while let Some((sender, (receiver, message))) = waiting.pop() {
            let envelope = peer_messages::Envelope {
                fleet: 0,
                from: sender,
                from_address: "127.0.0.1:1".parse::<std::net::SocketAddr>().expect("an address").into(),
                to: receiver,
                message,
            };
            if is_counted(sender, receiver) {
                sent_bytes += envelope.frame().expect("a frame").len();
            }
            let (_, sends) = fleet[receiver as usize].handle_message(sender, envelope.message);
            waiting.extend(sends.into_iter().map(|send| (receiver, send)));
        }
    }
    sent_bytes
}

#[test]
fn a_large_fleet_with_many_changing_topics_sends_little_and_misses_nothing() {
    let mut fleet: Vec<Gossip> = (0..77).map(Gossip::new).collect();
    for number in 0..1_030u64 {
        for gossip in &mut fleet {
            gossip.publish(&format!("cells/function-{number}"), 0, 1, Bytes(vec![1; 40]));
        }
    }
    run(&mut fleet, 0, 3_000);
    let mut sent_bytes = 0;
    // The instances of forty functions change each second.
    for second in 3..6u64 {
        for (number, gossip) in fleet.iter_mut().enumerate().take(40) {
            let topic = format!("cells/function-{number}");
            gossip.publish(&topic, number as u64, second, Bytes(vec![2; 40]));
        }
        sent_bytes += run(&mut fleet, second * 1_000, second * 1_000 + 1_000);
    }
    let bytes_per_node = sent_bytes / 3 / 77;
    assert!(bytes_per_node < 50_000, "{bytes_per_node} bytes a second");
    fleet[0].publish("configuration", 0, 9, Bytes(vec![3; 100_000]));
    run(&mut fleet, 6_000, 8_000);
    assert!(fleet.iter().all(|gossip| gossip.sequence("configuration") == 9));
    run(&mut fleet, 8_000, 12_000);
    let is_known = |gossip: &Gossip| (0..40).all(|n| gossip.sequence(&format!("cells/function-{n}")) == 5);
    assert!(fleet.iter().all(is_known));
    // A new node has all topics within five seconds.
    fleet.push(Gossip::new(99));
    run(&mut fleet, 12_000, 17_000);
    assert!((0..1_030).all(|n| fleet[77].sequence(&format!("cells/function-{n}")) > 0));
}

/// A large body of lines, of which the listed ones have another text.
fn body(changed: &[usize]) -> Bytes {
    let line = |number: usize| match changed.contains(&number) {
        true => format!("line {number} now says something else;"),
        false => format!("line {number} says what it said;"),
    };
    Bytes((0..3_000).map(line).collect::<String>().into_bytes())
}

#[test]
fn a_change_of_a_large_body_is_sent_as_a_delta_also_to_nodes_that_missed_some() {
    let mut fleet: Vec<Gossip> = (0..20).map(Gossip::new).collect();
    fleet[0].publish("configuration", 0, 1, body(&[]));
    run(&mut fleet, 0, 3_000);
    assert!(fleet.iter().all(|gossip| gossip.sequence("configuration") == 1));
    let late_node = fleet.pop().expect("a node");
    // The bytes sent while nothing changes.
    let idle_bytes = run(&mut fleet, 3_000, 6_000);
    let body_bytes = body(&[]).0.len();
    fleet[0].publish("configuration", 0, 2, body(&[5]));
    let sent_bytes = run(&mut fleet, 6_000, 9_000);
    assert!(fleet.iter().all(|gossip| gossip.body("configuration") == Some(&body(&[5]))));
    assert!(sent_bytes < idle_bytes + body_bytes / 2, "{sent_bytes} bytes sent, {idle_bytes} when idle");
    fleet[3].publish("configuration", 3, 4, body(&[5, 2_000]));
    run(&mut fleet, 9_000, 12_000);
    fleet.push(late_node);
    let sent_bytes = run(&mut fleet, 12_000, 15_000);
    assert!(fleet.iter().all(|gossip| gossip.body("configuration") == Some(&body(&[5, 2_000]))));
    assert!(sent_bytes < idle_bytes * 2 + body_bytes / 2, "{sent_bytes} bytes sent, {idle_bytes} when idle");
}

#[test]
fn changes_that_do_not_fit_are_dropped_and_the_whole_body_is_requested() {
    let mut publisher = Gossip::new(1);
    let mut other = Gossip::new(2);
    publisher.publish("configuration", 1, 1, body(&[]));
    publisher.publish("configuration", 1, 2, body(&[9]));
    // The same sequence with other bytes: the digest differs.
    other.publish("configuration", 2, 1, body(&[7]));
    let known = List(vec![GossipVersion { topic: "configuration".into(), sequence: 1 }]);
    let (_, sends) = publisher.handle_message(2, Message::GossipRequest { known });
    let [(2, changes @ Message::GossipBodyChanges { .. })] = &sends[..] else {
        panic!("changes, not {sends:?}")
    };
    let (newer_topics, sends) = other.handle_message(1, changes.clone());
    assert!(newer_topics.is_empty());
    let [(1, Message::GossipRequest { known })] = &sends[..] else { panic!("a request, not {sends:?}") };
    assert_eq!(known.0[0].sequence, 0);
    let (_, sends) = publisher.handle_message(2, sends[0].1.clone());
    let (newer_topics, _) = other.handle_message(1, sends[0].1.clone());
    assert_eq!(newer_topics, ["configuration"]);
    assert_eq!(other.body("configuration"), Some(&body(&[9])));
}

#[test]
fn a_large_body_is_requested_once_while_it_may_be_in_transit() {
    let mut gossip = Gossip::new(1);
    gossip.set_link_rate(50_000.0);
    gossip.set_neighbours(1, Neighbours::of_one_zone(vec![7, 8, 9]));
    gossip.tick(Micros(0));
    let large =
        vec![LargeBodyVersion { topic: "configuration".into(), sequence: 3, origin: 7, bytes: 100_000 }];
    let versions = |large: &Vec<LargeBodyVersion>| Message::GossipVersions {
        full_buckets: List(Vec::new()),
        versions: List(Vec::new()),
        large: List(large.clone()),
    };
    let (_, sends) = gossip.handle_message(8, versions(&large));
    assert!(
        matches!(sends[..], [(7, Message::GossipRequest { .. })]),
        "the publisher is requested: {sends:?}"
    );
    assert!(gossip.handle_message(9, versions(&large)).1.is_empty(), "it may be in transit");
    gossip.tick(Micros::from_millis(2_001));
    let (_, sends) = gossip.handle_message(9, versions(&large));
    assert!(
        matches!(sends[..], [(9, Message::GossipRequest { .. })]),
        "another node is requested: {sends:?}"
    );
}

const ZONES: u64 = 4;
const ZONE_SIZE: u64 = 23;

fn zone_of(node: NodeId) -> u64 {
    node / ZONE_SIZE
}

/// Four zones of 23 nodes each; the first two nodes of each zone that are not down are its relays.
fn zoned_fleet(down: &[NodeId]) -> Vec<Gossip> {
    let nodes = || (0..ZONES * ZONE_SIZE).filter(|node| !down.contains(node));
    let relays = |zone: u64| nodes().filter(|node| zone_of(*node) == zone).take(2).collect::<Vec<NodeId>>();
    let mut fleet: Vec<Gossip> = (0..ZONES * ZONE_SIZE).map(Gossip::new).collect();
    for (node, gossip) in fleet.iter_mut().enumerate() {
        let node = node as NodeId;
        let (local, remote) =
            nodes().filter(|other| *other != node).partition(|other| zone_of(*other) == zone_of(node));
        let remote_relays = (0..ZONES).filter(|zone| *zone != zone_of(node)).map(relays).collect();
        let neighbours = Neighbours { local, remote, own_relays: relays(zone_of(node)), remote_relays };
        gossip.set_neighbours(node, neighbours);
    }
    fleet
}

#[test]
fn items_cross_each_zone_border_about_once_and_reach_all_nodes() {
    let mut fleet = zoned_fleet(&[]);
    let is_crossing = |sender, receiver| zone_of(sender) != zone_of(receiver);
    let mut crossing_bytes = 0;
    let body_bytes = 400;
    let seconds = 4u64;
    for second in 0..seconds {
        for node in 0..ZONES * ZONE_SIZE {
            let body = Bytes((0..body_bytes).map(|index| (node * 7 + second + index) as u8).collect());
            fleet[node as usize].publish(&format!("demand/{node}"), node, second + 1, body);
        }
        crossing_bytes += run_counting(&mut fleet, (second * 1_000, second * 1_000 + 1_000), &is_crossing);
    }
    let each_once = seconds * ZONES * ZONE_SIZE * body_bytes * (ZONES - 1);
    assert!(
        crossing_bytes as u64 <= 2 * each_once,
        "{crossing_bytes} bytes, {each_once} if each crossed once"
    );
    run_counting(&mut fleet, (4_000, 5_000), &is_crossing);
    let topics: Vec<String> = (0..ZONES * ZONE_SIZE).map(|node| format!("demand/{node}")).collect();
    assert!(fleet.iter().all(|gossip| topics.iter().all(|topic| gossip.sequence(topic) == seconds)));
}

#[test]
fn digests_repair_what_relays_that_died_unnoticed_did_not_forward() {
    let down: Vec<NodeId> = vec![0, 1];
    // All nodes still regard the two dead nodes as the relays of their zone.
    let mut fleet = zoned_fleet(&[]);
    fleet[5].publish("demand/5", 5, 1, Bytes(vec![1; 40]));
    fleet[30].publish("demand/30", 30, 1, Bytes(vec![2; 40]));
    let mut is_known_by_all = false;
    for millisecond in (0..40_000u64).step_by(50) {
        let mut waiting: Vec<(NodeId, GossipSend)> = Vec::new();
        for (node, gossip) in fleet.iter_mut().enumerate() {
            let sends = gossip.tick(Micros::from_millis(millisecond));
            waiting.extend(sends.into_iter().map(|send| (node as NodeId, send)));
        }
        while let Some((sender, (receiver, message))) = waiting.pop() {
            if down.contains(&sender) || down.contains(&receiver) {
                continue;
            }
            let (_, sends) = fleet[receiver as usize].handle_message(sender, message);
            waiting.extend(sends.into_iter().map(|send| (receiver, send)));
        }
        let living = fleet.iter().enumerate().filter(|(node, _)| !down.contains(&(*node as NodeId)));
        is_known_by_all = living
            .into_iter()
            .all(|(_, gossip)| gossip.sequence("demand/5") == 1 && gossip.sequence("demand/30") == 1);
        if is_known_by_all {
            break;
        }
    }
    assert!(is_known_by_all, "digests of other nodes repair what no relay forwarded");
}

/// Guards against: a node that is behind does not know for how long. It reports when the oldest newer body
/// that has not arrived was first announced.
#[test]
fn a_newer_body_is_awaited_since_its_first_announcement() {
    let announcement = |sequence: u64| {
        let version = LargeBodyVersion { topic: "configuration".into(), sequence, origin: 7, bytes: 20_000 };
        Message::GossipVersions {
            full_buckets: List(Vec::new()),
            versions: List(Vec::new()),
            large: List(vec![version]),
        }
    };
    let mut gossip = Gossip::new(1);
    gossip.set_neighbours(1, Neighbours::of_one_zone(vec![7, 8]));
    assert_eq!(gossip.awaited_since("configuration"), None);
    for (millis, sequence) in [(1_000, 5), (1_200, 5), (1_500, 6)] {
        gossip.tick(Micros::from_millis(millis));
        gossip.handle_message(8, announcement(sequence));
    }
    assert_eq!(gossip.awaited_since("configuration"), Some(Micros::from_millis(1_000)));
    gossip.publish("configuration", 7, 5, Bytes(vec![1; 20_000]));
    assert_eq!(
        gossip.awaited_since("configuration"),
        Some(Micros::from_millis(1_500)),
        "sequence 6 has not arrived"
    );
    gossip.publish("configuration", 7, 6, Bytes(vec![2; 20_000]));
    assert_eq!(gossip.awaited_since("configuration"), None);
}
