use super::*;

const SOUND_END: AnswerEnd =
    AnswerEnd { has_unread_bytes: false, has_unsent_bytes: false, cell_keeps_it: true };
const SOUND_IDLE: IdleCheck = IdleCheck { is_same_address: true, is_expired: false, has_unread_bytes: false };

fn reused() -> ConnectionUse<u8> {
    let mut usage = ConnectionUse::fresh();
    usage.request_sent(Some(1));
    assert_eq!(usage.answer_began(Some(&1), false), AnswerOwner::Awaited);
    assert!(usage.answer_ended(SOUND_END));
    usage
}

#[test]
fn an_answer_belongs_to_the_request_whose_id_it_bears() {
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.answer_began(Some(&1), false), AnswerOwner::Earlier);
    assert_eq!(usage.answer_began(Some(&2), false), AnswerOwner::Awaited);
    // Only one late answer is read past.
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.answer_began(Some(&1), false), AnswerOwner::Earlier);
    assert_eq!(usage.answer_began(Some(&1), false), AnswerOwner::Nobody);
    assert_eq!(usage.answer_began(Some(&2), false), AnswerOwner::Nobody, "it is trusted no more");
    // On a fresh connection nothing can be late.
    let mut usage = ConnectionUse::fresh();
    usage.request_sent(Some(2));
    assert_eq!(usage.answer_began(Some(&1), false), AnswerOwner::Nobody);
}

#[test]
fn an_answer_without_an_id_only_ever_turns_a_request_away() {
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.answer_began(None, true), AnswerOwner::Awaited);
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert_eq!(usage.answer_began(None, false), AnswerOwner::Nobody);
    // A request without an id never takes an answer that bears one, and its connection is not kept.
    let mut usage = reused();
    usage.request_sent(None);
    assert_eq!(usage.answer_began(Some(&1), true), AnswerOwner::Earlier);
    assert_eq!(usage.answer_began(None, false), AnswerOwner::Awaited);
    assert!(!usage.answer_ended(SOUND_END));
}

#[test]
fn a_connection_is_kept_and_taken_up_only_when_it_is_sound() {
    let unsound_ends = [
        AnswerEnd { has_unread_bytes: true, ..SOUND_END },
        AnswerEnd { has_unsent_bytes: true, ..SOUND_END },
        AnswerEnd { cell_keeps_it: false, ..SOUND_END },
    ];
    for end in unsound_ends {
        let mut usage = reused();
        usage.request_sent(Some(2));
        assert_eq!(usage.answer_began(Some(&2), false), AnswerOwner::Awaited);
        assert!(!usage.answer_ended(end), "{end:?}");
        assert!(!usage.may_take_up(SOUND_IDLE), "{end:?}");
    }
    assert!(reused().may_take_up(SOUND_IDLE));
    let unsound_checks = [
        IdleCheck { is_same_address: false, ..SOUND_IDLE },
        IdleCheck { is_expired: true, ..SOUND_IDLE },
        IdleCheck { has_unread_bytes: true, ..SOUND_IDLE },
    ];
    for check in unsound_checks {
        assert!(!reused().may_take_up(check), "{check:?}");
    }
    // Two requests are never under way on one connection.
    let mut usage = reused();
    usage.request_sent(Some(2));
    assert!(!usage.may_take_up(SOUND_IDLE));
    usage.request_sent(Some(3));
    assert_eq!(usage.answer_began(Some(&3), false), AnswerOwner::Nobody);
}
