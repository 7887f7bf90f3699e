use super::*;
use peer_messages::Address;

const REQUESTER: NodeId = 7;
const LEADER: NodeId = 3;

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn permit(id: u64) -> Permit {
    Permit {
        id,
        granted_by: LEADER,
        leader_epoch: 1,
        function: "proof".into(),
        instance: "c1".into(),
        address: Address::from("10.0.0.1:80".parse::<std::net::SocketAddr>().expect("valid socket address")),
    }
}

#[test]
fn repeated_request_keeps_its_relay_id_and_the_start_of_its_wait() {
    let mut relay = RequestRelay::default();
    let relay_id = relay.register(REQUESTER, 12, LEADER, at(4_000), at(100)).expect("the relay is not full");
    assert!(is_relayed(relay_id));
    assert_eq!(relay.register(REQUESTER, 12, LEADER, at(4_000), at(300)), Some(relay_id));
    assert_eq!(relay.get(relay_id).and_then(|relayed| relayed.unanswered_since), Some(at(100)));
    assert_eq!(relay.record_response(relay_id, LEADER), Some((REQUESTER, 12)));
    assert_eq!(relay.get(relay_id).and_then(|relayed| relayed.unanswered_since), None);
}

#[test]
fn response_of_a_node_without_the_request_is_ignored() {
    let mut relay = RequestRelay::default();
    let relay_id = relay.register(REQUESTER, 12, LEADER, at(4_000), at(0)).expect("the relay is not full");
    assert_eq!(relay.record_response(relay_id, LEADER + 1), None);
    relay.register(REQUESTER, 12, LEADER + 1, at(4_000), at(200));
    assert_eq!(relay.record_response(relay_id, LEADER), None);
    assert_eq!(relay.record_response(relay_id, LEADER + 1), Some((REQUESTER, 12)));
}

#[test]
fn same_request_id_of_two_nodes_gets_two_relay_ids() {
    let mut relay = RequestRelay::default();
    let first = relay.register(REQUESTER, 12, LEADER, at(4_000), at(0)).expect("the relay is not full");
    let second = relay.register(REQUESTER + 1, 12, LEADER, at(4_000), at(0)).expect("the relay is not full");
    assert_ne!(first, second);
    assert_eq!(relay.record_response(second, LEADER), Some((REQUESTER + 1, 12)));
}

#[test]
fn relayed_permit_is_returned_only_once() {
    let mut relay = RequestRelay::default();
    relay.record_permit(&permit(5), at(4_000));
    assert!(relay.remove_permit(&permit(5)));
    assert!(!relay.remove_permit(&permit(5)));
    assert!(!relay.remove_permit(&permit(6)));
}

#[test]
fn expired_entries_are_removed_and_requests_above_the_limit_are_not_relayed() {
    let mut relay = RequestRelay::default();
    for request_id in 0..RELAYED_LIMIT as u64 {
        assert!(relay.register(REQUESTER, request_id, LEADER, at(4_000), at(0)).is_some());
    }
    assert_eq!(relay.register(REQUESTER, u64::MAX, LEADER, at(4_000), at(0)), None);
    relay.record_permit(&permit(5), at(4_000));
    relay.expire(at(4_000));
    assert!(relay.register(REQUESTER, u64::MAX, LEADER, at(9_000), at(4_000)).is_some());
    assert!(relay.remove_permit(&permit(5)), "a return may arrive shortly after the end of the call");
    relay.record_permit(&permit(5), at(4_000));
    relay.expire(at(5_000));
    assert!(!relay.remove_permit(&permit(5)));
}
