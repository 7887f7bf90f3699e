use super::*;

#[test]
fn cells_go_where_room_is_and_not_where_they_were_just_refused() {
    let worker =
        |id: &str, draining| ListedWorker { id: id.to_owned(), memory_mb: 1_000, free_mb: None, draining };
    let mut placement = Placement::default();
    placement.take_list(
        vec![worker("w1", false), worker("w2", false), worker("w3", true)],
        BTreeMap::from([("w1".to_owned(), 500)]),
    );
    assert_eq!(placement.total_memory_mb(), 2_000);
    assert_eq!(placement.pick(600, "a", false, Micros(0)), Some("w2".to_owned()), "the only one with room");
    assert_eq!(
        placement.pick(600, "b", false, Micros(0)),
        None,
        "its own starts count before the list shows them"
    );
    assert_eq!(placement.pick(600, "c", false, RECENT_SPAN), Some("w2".to_owned()));
    placement.refused("w2", 600, RECENT_SPAN);
    let late = RECENT_SPAN + RECENT_SPAN;
    placement.refused("w2", 600, late);
    assert_eq!(placement.pick(600, "d", false, late), None);
    assert_eq!(placement.pick(600, "e", false, late + FULL_SPAN), Some("w2".to_owned()));
}

#[test]
fn acts_keep_to_the_rate_and_hold_twice_as_long_at_each_429() {
    let mut rate = StartRate::new();
    rate.take_rate(10.0, Micros(0));
    let spent = |rate: &mut StartRate, from: u64, to: u64| {
        (from..to).filter(|millisecond| rate.spend(Micros::from_millis(*millisecond))).count()
    };
    let in_two_seconds = spent(&mut rate, 0, 2_000);
    assert!((23..=24).contains(&in_two_seconds), "{in_two_seconds}: a burst of four and ten a second");
    rate.throttled(Micros::from_secs(2));
    assert_eq!(spent(&mut rate, 2_000, 2_100), 0);
    assert!(rate.spend(Micros::from_millis(2_200)));
    rate.throttled(Micros::from_millis(2_200));
    assert_eq!(spent(&mut rate, 2_200, 2_400), 0);
    rate.accepted();
    assert!(rate.spend(Micros::from_millis(2_500)));
}
