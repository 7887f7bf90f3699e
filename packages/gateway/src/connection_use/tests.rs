use super::*;

const CLEAN_END: ResponseEnd =
    ResponseEnd { has_unread_bytes: false, has_unsent_bytes: false, instance_keeps_alive: true };
const CLEAN_IDLE: IdleCheck = IdleCheck { is_same_address: true, is_expired: false, has_unread_bytes: false };

fn reused() -> ConnectionUse<u8> {
    let mut usage = ConnectionUse::fresh();
    usage.request_sent(Some(1));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Awaited);
    assert!(usage.response_ended(CLEAN_END));
    usage
}

#[test]
fn a_response_belongs_only_to_the_request_with_its_id() {
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Earlier);
    assert_eq!(usage.response_began(Some(&2), false), ResponseOwner::Awaited);
    // Only one late response is discarded.
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Earlier);
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Nobody);
    assert_eq!(
        usage.response_began(Some(&2), false),
        ResponseOwner::Nobody,
        "the connection is no longer trusted"
    );
    // On a fresh connection no response can be late.
    let mut usage = ConnectionUse::fresh();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Nobody);
}

#[test]
fn a_response_without_an_id_is_accepted_only_as_a_refusal() {
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(None, true), ResponseOwner::Awaited);
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(None, false), ResponseOwner::Nobody);
    // A request without an id never accepts a response with one, and its connection is not kept.
    let mut usage = reused();
    usage.request_sent(None);
    assert_eq!(usage.response_began(Some(&1), true), ResponseOwner::Earlier);
    assert_eq!(usage.response_began(None, false), ResponseOwner::Awaited);
    assert!(!usage.response_ended(CLEAN_END));
}

#[test]
fn a_connection_is_kept_and_reused_only_when_it_is_clean() {
    let unclean_ends = [
        ResponseEnd { has_unread_bytes: true, ..CLEAN_END },
        ResponseEnd { has_unsent_bytes: true, ..CLEAN_END },
        ResponseEnd { instance_keeps_alive: false, ..CLEAN_END },
    ];
    for end in unclean_ends {
        let mut usage = reused();
        usage.request_sent(Some(2));
        assert_eq!(usage.response_began(Some(&2), false), ResponseOwner::Awaited);
        assert!(!usage.response_ended(end), "{end:?}");
        assert!(!usage.may_reuse(CLEAN_IDLE), "{end:?}");
    }
    assert!(reused().may_reuse(CLEAN_IDLE));
    let unclean_checks = [
        IdleCheck { is_same_address: false, ..CLEAN_IDLE },
        IdleCheck { is_expired: true, ..CLEAN_IDLE },
        IdleCheck { has_unread_bytes: true, ..CLEAN_IDLE },
    ];
    for check in unclean_checks {
        assert!(!reused().may_reuse(check), "{check:?}");
    }
    // A connection never carries two requests at once.
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert!(!usage.may_reuse(CLEAN_IDLE));
    usage.request_sent(Some(3));
    assert_eq!(usage.response_began(Some(&3), false), ResponseOwner::Nobody);
}
