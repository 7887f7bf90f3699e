use super::*;
use peer_messages::Address;

fn member(node: NodeId, zone: &str, processor: u32) -> MemberUpdate {
    MemberUpdate {
        node,
        address: Address::from(std::net::SocketAddr::from(([10, 0, 0, node as u8], 7_000))),
        zone: zone.into(),
        incarnation: 1,
        state: ALIVE,
        disk: 0,
        disk_state: 0,
        draining: 0,
        processor,
    }
}

/// Twenty members in two zones; the tenth and the twentieth are larger machines.
fn fleet() -> Vec<MemberUpdate> {
    let zone = |node| if node <= 10 { "a" } else { "b" };
    (1..=20).map(|node| member(node, zone(node), if node % 10 == 0 { 320 } else { 120 })).collect()
}

fn zones(fleet: &[MemberUpdate], own: usize) -> Zones {
    Zones::of(&fleet[own], &fleet.iter().collect::<Vec<_>>(), true, 1)
}

#[test]
fn all_nodes_choose_the_same_large_machines_as_relays() {
    let mut fleet = fleet();
    assert_eq!(zones(&fleet, 0).relay(), Some(10));
    assert_eq!(zones(&fleet, 14).relay(), Some(20));
    assert!(zones(&fleet, 9).may_relay() && zones(&fleet, 0).zone_of(20) == Some("b"));
    let neighbours = zones(&fleet, 0).neighbours();
    assert_eq!((neighbours.local.len(), neighbours.remote.len()), (9, 10));
    assert_eq!((neighbours.own_relays[0], neighbours.remote_relays.len()), (10, 1));
    assert_eq!(neighbours.remote_relays[0][0], 20);
    fleet[9].draining = 1;
    let relay = zones(&fleet, 0).relay().expect("a relay is chosen after the first one drains");
    assert!((1..10).contains(&relay), "a draining node must not be chosen as relay: {relay}");
    assert_eq!(zones(&fleet, 5).relay(), Some(relay));
}

#[test]
fn a_small_or_single_zone_fleet_has_no_relays() {
    let small = &fleet()[5..15];
    assert_eq!(zones(small, 0).relay(), None);
    assert_eq!(zones(small, 0).neighbours().local.len(), 9, "all other nodes are local neighbours");
    let one_zone: Vec<MemberUpdate> = (1..=20).map(|node| member(node, "a", 120)).collect();
    assert_eq!(zones(&one_zone, 0).relay(), None);
}
