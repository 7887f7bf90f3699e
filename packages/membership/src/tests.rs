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

/// Runs the fleet in steps of 50 ms; links for which `cut` holds lose everything.
fn run(fleet: &mut [Members], from_millis: u64, to_millis: u64, cut: impl Fn(NodeId, NodeId) -> bool) {
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
            if cut(sender, receiver_node) {
                continue;
            }
            let responses = receiver.received(sender, sender_address, message, now);
            waiting.extend(responses.into_iter().map(|sent| (receiver_node, sent)));
        }
    }
}

fn seen(members: &Members) -> BTreeSet<NodeId> {
    members.live().iter().map(|update| update.node).collect()
}

#[test]
fn a_cut_is_seen_by_both_sides_and_heals_and_one_bad_link_harms_nobody() {
    let mut fleet: Vec<Members> = (1..=10)
        .map(|node| Members::new(update(node), vec![update(1).address], ProbeSettings::default(), node))
        .collect();
    let everyone: BTreeSet<NodeId> = (1..=10).collect();
    run(&mut fleet, 0, 8_000, |_, _| false);
    assert!(fleet.iter().all(|members| seen(members) == everyone));
    // A single link that loses everything one way is covered by second opinions.
    run(&mut fleet, 8_000, 20_000, |sender, receiver| (sender, receiver) == (2, 3));
    assert!(fleet.iter().all(|members| seen(members) == everyone));
    run(&mut fleet, 20_000, 30_000, |sender, receiver| (sender <= 4) != (receiver <= 4));
    assert!(fleet.iter().all(|members| seen(members).len() == if members.own().node <= 4 { 4 } else { 6 }));
    run(&mut fleet, 30_000, 40_000, |_, _| false);
    assert!(fleet.iter().all(|members| seen(members) == everyone));
}

#[test]
fn a_restarted_process_displaces_the_one_before_at_its_address() {
    let mut fleet: Vec<Members> = (1..=3)
        .map(|node| Members::new(update(node), vec![update(1).address], ProbeSettings::default(), node))
        .collect();
    run(&mut fleet, 0, 5_000, |_, _| false);
    let reborn = MemberUpdate { node: 77, ..update(3) };
    let displacing = Message::Probe { sequence: 1, target: 0, members: List(vec![reborn.clone()]) };
    fleet[0].received(77, reborn.address, displacing, Micros::from_secs(5));
    assert_eq!(seen(&fleet[0]), BTreeSet::from([1, 2, 77]));
    assert_eq!(
        fleet[0].take_changes().last_chunk::<2>(),
        Some(&[MemberChange::Gone(3), MemberChange::Joined(77)])
    );
}

/// What one node says in so many milliseconds, in bytes, on its own side of the probes.
fn sent_by(fleet: &mut [Members], place: usize, from_millis: u64, to_millis: u64) -> usize {
    let mut sent_bytes = 0;
    for millisecond in (from_millis..to_millis).step_by(50) {
        let now = Micros::from_millis(millisecond);
        let sender = fleet[place].own().node;
        for (address, message) in fleet[place].tick(now) {
            let receiver = fleet.iter_mut().find(|members| members.own().address == address);
            let responses = receiver
                .map(|members| members.received(sender, update(sender).address, message.clone(), now));
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
fn a_large_fleet_finds_itself_says_little_and_forgets_nobody() {
    let mut fleet: Vec<Members> = (1..=90)
        .map(|node| Members::new(update(node), vec![update(1).address], ProbeSettings::default(), node))
        .collect();
    let everyone: BTreeSet<NodeId> = (1..=90).collect();
    run(&mut fleet, 0, 6_000, |_, _| false);
    assert!(fleet.iter().all(|members| seen(members) == everyone), "found within six seconds");
    run(&mut fleet, 6_000, 20_000, |_, _| false);
    let sent_bytes = sent_by(&mut fleet, 5, 20_000, 22_000) / 2;
    assert!(sent_bytes < 2_000, "{sent_bytes} bytes a second while nothing changes");
    // What one node says of itself is everywhere soon.
    fleet[40].update_own(|own| own.draining = 1);
    run(&mut fleet, 22_000, 25_000, |_, _| false);
    let is_draining = |members: &Members| members.find(41).is_some_and(|update| update.draining == 1);
    assert!(fleet.iter().all(is_draining));
    // Three of them die; everybody finds out, and a cut in two heals.
    run(&mut fleet, 25_000, 40_000, |sender, receiver| {
        [7, 8, 9].iter().any(|dead| [sender, receiver].contains(dead))
    });
    let alive: BTreeSet<NodeId> = (1..=90).filter(|node| ![7, 8, 9].contains(node)).collect();
    assert!(
        fleet
            .iter()
            .filter(|members| alive.contains(&members.own().node))
            .all(|members| seen(members) == alive)
    );
    run(&mut fleet, 40_000, 80_000, |_, _| false);
    assert!(fleet.iter().all(|members| seen(members) == everyone));
}

#[test]
fn whoever_is_gone_longest_makes_room() {
    let mut members = Members::new(update(1), Vec::new(), ProbeSettings::default(), 1);
    for node in 2..3_000u64 {
        let mut updates_for = vec![MemberUpdate { node, ..update(2) }];
        if node > 2 {
            updates_for.push(MemberUpdate { node: node - 1, state: GONE, ..update(2) });
        }
        let message = Message::MembersResponse { is_requested: 0, members: List(updates_for) };
        members.received(900, update(900).address, message, Micros(node));
    }
    assert!(members.find(2_999).is_some());
    assert!(members.remembered().count() <= MEMBER_LIMIT);
}
