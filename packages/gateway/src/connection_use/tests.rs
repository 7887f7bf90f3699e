use super::*;

const SOUND_END: ResponseEnd =
    ResponseEnd { has_unread_bytes: false, has_unsent_bytes: false, instance_keeps_alive: true };
const SOUND_IDLE: IdleCheck = IdleCheck { is_same_address: true, is_expired: false, has_unread_bytes: false };

fn reused() -> ConnectionUse<u8> {
    let mut usage = ConnectionUse::fresh();
    usage.request_sent(Some(1));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Awaited);
    assert!(usage.response_ended(SOUND_END));
    usage
}

#[test]
fn a_response_belongs_to_the_request_whose_id_it_bears() {
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Earlier);
    assert_eq!(usage.response_began(Some(&2), false), ResponseOwner::Awaited);
    // Only one late answer is read past.
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Earlier);
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Nobody);
    assert_eq!(usage.response_began(Some(&2), false), ResponseOwner::Nobody, "it is trusted no more");
    // On a fresh connection nothing can be late.
    let mut usage = ConnectionUse::fresh();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(Some(&1), false), ResponseOwner::Nobody);
}

#[test]
fn a_response_without_an_id_only_ever_turns_a_request_away() {
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(None, true), ResponseOwner::Awaited);
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.response_began(None, false), ResponseOwner::Nobody);
    // A request without an id never takes an answer that bears one, and its connection is not kept.
    let mut usage = reused();
    usage.request_sent(None);
    assert_eq!(usage.response_began(Some(&1), true), ResponseOwner::Earlier);
    assert_eq!(usage.response_began(None, false), ResponseOwner::Awaited);
    assert!(!usage.response_ended(SOUND_END));
}

#[test]
fn a_connection_is_kept_and_taken_up_only_when_it_is_sound() {
    let unsound_ends = [
        ResponseEnd { has_unread_bytes: true, ..SOUND_END },
        ResponseEnd { has_unsent_bytes: true, ..SOUND_END },
        ResponseEnd { instance_keeps_alive: false, ..SOUND_END },
    ];
    for end in unsound_ends {
        let mut usage = reused();
        usage.request_sent(Some(2));
        assert_eq!(usage.response_began(Some(&2), false), ResponseOwner::Awaited);
        assert!(!usage.response_ended(end), "{end:?}");
        assert!(!usage.may_reuse(SOUND_IDLE), "{end:?}");
    }
    assert!(reused().may_reuse(SOUND_IDLE));
    let unsound_checks = [
        IdleCheck { is_same_address: false, ..SOUND_IDLE },
        IdleCheck { is_expired: true, ..SOUND_IDLE },
        IdleCheck { has_unread_bytes: true, ..SOUND_IDLE },
    ];
    for check in unsound_checks {
        assert!(!reused().may_reuse(check), "{check:?}");
    }
    // Two requests are never under way on one connection.
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert!(!usage.may_reuse(SOUND_IDLE));
    usage.request_sent(Some(3));
    assert_eq!(usage.response_began(Some(&3), false), ResponseOwner::Nobody);
}
