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
        address: Address::from("10.0.0.1:80".parse::<std::net::SocketAddr>().expect("an address")),
    }
}

#[test]
fn a_repeated_request_keeps_its_number_and_the_time_since_it_waits_for_a_response() {
    let mut relay = RequestRelay::default();
    let number = relay.pass_on(REQUESTER, 12, LEADER, at(4_000), at(100)).expect("room");
    assert!(is_relayed(number));
    assert_eq!(relay.pass_on(REQUESTER, 12, LEADER, at(4_000), at(300)), Some(number));
    assert_eq!(relay.get(number).and_then(|relayed| relayed.unanswered_since), Some(at(100)));
    assert_eq!(relay.answered(number, LEADER), Some((REQUESTER, 12)));
    assert_eq!(relay.get(number).and_then(|relayed| relayed.unanswered_since), None);
}

#[test]
fn only_the_leader_that_was_asked_answers() {
    let mut relay = RequestRelay::default();
    let number = relay.pass_on(REQUESTER, 12, LEADER, at(4_000), at(0)).expect("room");
    assert_eq!(relay.answered(number, LEADER + 1), None);
    relay.pass_on(REQUESTER, 12, LEADER + 1, at(4_000), at(200));
    assert_eq!(relay.answered(number, LEADER), None);
    assert_eq!(relay.answered(number, LEADER + 1), Some((REQUESTER, 12)));
}

#[test]
fn requests_of_two_nodes_under_one_number_stay_apart() {
    let mut relay = RequestRelay::default();
    let first = relay.pass_on(REQUESTER, 12, LEADER, at(4_000), at(0)).expect("room");
    let second = relay.pass_on(REQUESTER + 1, 12, LEADER, at(4_000), at(0)).expect("room");
    assert_ne!(first, second);
    assert_eq!(relay.answered(second, LEADER), Some((REQUESTER + 1, 12)));
}

#[test]
fn a_permit_that_went_through_is_taken_back_once() {
    let mut relay = RequestRelay::default();
    relay.note_permit(&permit(5), at(4_000));
    assert!(relay.accepts_return(&permit(5)));
    assert!(!relay.accepts_return(&permit(5)));
    assert!(!relay.accepts_return(&permit(6)));
}

#[test]
fn what_is_over_is_forgotten_and_what_is_too_much_is_not_relayed() {
    let mut relay = RequestRelay::default();
    for request_id in 0..RELAYED_MOST as u64 {
        assert!(relay.pass_on(REQUESTER, request_id, LEADER, at(4_000), at(0)).is_some());
    }
    assert_eq!(relay.pass_on(REQUESTER, u64::MAX, LEADER, at(4_000), at(0)), None);
    relay.note_permit(&permit(5), at(4_000));
    relay.expire(at(4_000));
    assert!(relay.pass_on(REQUESTER, u64::MAX, LEADER, at(9_000), at(4_000)).is_some());
    assert!(relay.accepts_return(&permit(5)), "a return may come a little later than the call's end");
    relay.note_permit(&permit(5), at(4_000));
    relay.expire(at(5_000));
    assert!(!relay.accepts_return(&permit(5)));
}
