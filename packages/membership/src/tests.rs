use super::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn update(node: NodeId) -> MemberUpdate {
    MemberUpdate {
        node,
        address: Address::from(SocketAddr::from(([127, 0, 0, 1], node as u16))),
        zone: "a".into(),
        incarnation: 1,
        state: ALIVE,
        disk: 0,
        disk_state: 0,
        draining: 0,
        processor: 1_000,
    }
}

/// Runs the fleet in steps of 50 ms; links for which `is_cut` returns true lose all messages.
fn run(fleet: &mut [Members], from_millis: u64, to_millis: u64, is_cut: impl Fn(NodeId, NodeId) -> bool) {
    for millisecond in (from_millis..to_millis).step_by(50) {
        let now = Micros::from_millis(millisecond);
        let mut waiting: Vec<(NodeId, Outgoing)> = Vec::new();
        for members in fleet.iter_mut() {
            let sender = members.own().node;
            waiting.extend(members.tick(now).into_iter().map(|sent| (sender, sent)));
        }
        while let Some((sender, (address, message))) = waiting.pop() {
            let sender_address = update(sender).address;
            let Some(receiver) = fleet.iter_mut().find(|members| members.own().address == address) else {
                continue;
            };
            let receiver_node = receiver.own().node;
            if is_cut(sender, receiver_node) {
                continue;
            }
            let responses = receiver.handle_message(sender, sender_address, message, now);
            waiting.extend(responses.into_iter().map(|sent| (receiver_node, sent)));
        }
    }
}

fn live_nodes(members: &Members) -> BTreeSet<NodeId> {
    members.live().iter().map(|update| update.node).collect()
}

#[test]
fn both_sides_detect_a_partition_and_rejoin_and_one_bad_link_removes_no_member() {
    let mut fleet: Vec<Members> = (1..=10)
        .map(|node| Members::new(update(node), vec![update(1).address], ProbeSettings::default(), node))
        .collect();
    let everyone: BTreeSet<NodeId> = (1..=10).collect();
    run(&mut fleet, 0, 8_000, |_, _| false);
    assert!(fleet.iter().all(|members| live_nodes(members) == everyone));
    // A single link that loses all messages in one direction is covered by indirect probes.
    run(&mut fleet, 8_000, 20_000, |sender, receiver| (sender, receiver) == (2, 3));
    assert!(fleet.iter().all(|members| live_nodes(members) == everyone));
    run(&mut fleet, 20_000, 30_000, |sender, receiver| (sender <= 4) != (receiver <= 4));
    assert!(
        fleet.iter().all(|members| live_nodes(members).len() == if members.own().node <= 4 { 4 } else { 6 })
    );
    run(&mut fleet, 30_000, 40_000, |_, _| false);
    assert!(fleet.iter().all(|members| live_nodes(members) == everyone));
}

#[test]
fn a_restarted_process_replaces_the_previous_one_at_its_address() {
    let mut fleet: Vec<Members> = (1..=3)
        .map(|node| Members::new(update(node), vec![update(1).address], ProbeSettings::default(), node))
        .collect();
    run(&mut fleet, 0, 5_000, |_, _| false);
    let restarted = MemberUpdate { node: 77, ..update(3) };
    let first_probe = Message::Probe { sequence: 1, target: 0, members: List(vec![restarted.clone()]) };
    fleet[0].handle_message(77, restarted.address, first_probe, Micros::from_secs(5));
    assert_eq!(live_nodes(&fleet[0]), BTreeSet::from([1, 2, 77]));
    assert_eq!(
        fleet[0].take_changes().last_chunk::<2>(),
        Some(&[MemberChange::Gone(3), MemberChange::Joined(77)])
    );
}

/// The bytes of one node's own probes and the responses to them within a span of time.
fn bytes_sent_by(fleet: &mut [Members], index: usize, from_millis: u64, to_millis: u64) -> usize {
    let mut sent_bytes = 0;
    for millisecond in (from_millis..to_millis).step_by(50) {
        let now = Micros::from_millis(millisecond);
        let sender = fleet[index].own().node;
        for (address, message) in fleet[index].tick(now) {
            let receiver = fleet.iter_mut().find(|members| members.own().address == address);
            let responses = receiver
                .map(|members| members.handle_message(sender, update(sender).address, message.clone(), now));
            sent_bytes += [message]
                .into_iter()
                .chain(responses.into_iter().flatten().map(|sent| sent.1))
                .map(|message| deku::DekuContainerWrite::to_bytes(&message).expect("bytes").len())
                .sum::<usize>();
        }
    }
    sent_bytes
}

#[test]
fn a_large_fleet_converges_sends_little_and_loses_no_member() {
    let mut fleet: Vec<Members> = (1..=90)
        .map(|node| Members::new(update(node), vec![update(1).address], ProbeSettings::default(), node))
        .collect();
    let everyone: BTreeSet<NodeId> = (1..=90).collect();
    run(&mut fleet, 0, 6_000, |_, _| false);
    assert!(
        fleet.iter().all(|members| live_nodes(members) == everyone),
        "all members known within six seconds"
    );
    run(&mut fleet, 6_000, 20_000, |_, _| false);
    let sent_bytes = bytes_sent_by(&mut fleet, 5, 20_000, 22_000) / 2;
    assert!(sent_bytes < 2_000, "{sent_bytes} bytes a second while nothing changes");
    // A change of one node's own entry reaches all nodes within three seconds.
    fleet[40].update_own(|own| own.draining = 1);
    run(&mut fleet, 22_000, 25_000, |_, _| false);
    let is_draining = |members: &Members| members.find(41).is_some_and(|update| update.draining == 1);
    assert!(fleet.iter().all(is_draining));
    // Three nodes become unreachable: all others remove them, and all rejoin once they are reachable again.
    run(&mut fleet, 25_000, 40_000, |sender, receiver| {
        [7, 8, 9].iter().any(|dead| [sender, receiver].contains(dead))
    });
    let alive: BTreeSet<NodeId> = (1..=90).filter(|node| ![7, 8, 9].contains(node)).collect();
    assert!(
        fleet
            .iter()
            .filter(|members| alive.contains(&members.own().node))
            .all(|members| live_nodes(members) == alive)
    );
    run(&mut fleet, 40_000, 80_000, |_, _| false);
    assert!(fleet.iter().all(|members| live_nodes(members) == everyone));
}

#[test]
fn the_member_removed_longest_ago_is_dropped_when_the_limit_is_reached() {
    let mut members = Members::new(update(1), Vec::new(), ProbeSettings::default(), 1);
    for node in 2..3_000u64 {
        let mut updates = vec![MemberUpdate { node, ..update(2) }];
        if node > 2 {
            updates.push(MemberUpdate { node: node - 1, state: GONE, ..update(2) });
        }
        let message = Message::MembersResponse { is_requested: 0, members: List(updates) };
        members.handle_message(900, update(900).address, message, Micros(node));
    }
    assert!(members.find(2_999).is_some());
    assert!(members.remembered().count() <= MEMBER_LIMIT);
}
