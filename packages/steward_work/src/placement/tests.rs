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
