use super::*;

#[test]
fn instances_are_placed_on_workers_with_room_that_did_not_just_refuse() {
    let worker = |id: &str, draining| ListedWorker {
        id: id.to_owned(),
        memory_mb: 1_000,
        free_mb: None,
        draining,
        zone: String::new(),
    };
    let mut placement = Placement::default();
    placement.update_list(
        vec![worker("w1", false), worker("w2", false), worker("w3", true)],
        BTreeMap::from([("w1".to_owned(), 500)]),
    );
    assert_eq!(placement.total_memory_mb(), 2_000);
    assert_eq!(
        placement.pick(600, "a", false, Zone::default(), Micros(0)),
        Some("w2".to_owned()),
        "the only one with room"
    );
    assert_eq!(
        placement.pick(600, "b", false, Zone::default(), Micros(0)),
        None,
        "its own starts count before the list shows them"
    );
    assert_eq!(
        placement.pick(600, "c", false, Zone::default(), RECENT_START_RETENTION),
        Some("w2".to_owned())
    );
    placement.record_refusal("w2", 600, RECENT_START_RETENTION);
    let late = RECENT_START_RETENTION + RECENT_START_RETENTION;
    placement.record_refusal("w2", 600, late);
    assert_eq!(placement.pick(600, "d", false, Zone::default(), late), None);
    assert_eq!(
        placement.pick(600, "e", false, Zone::default(), late + FULL_WORKER_BACKOFF),
        Some("w2".to_owned())
    );
}

#[test]
fn an_instance_is_placed_in_the_wanted_zone_unless_that_is_full() {
    let worker = |id: &str, zone: &str, free_mb| ListedWorker {
        id: id.to_owned(),
        memory_mb: 10_000,
        free_mb: Some(free_mb),
        draining: false,
        zone: zone.to_owned(),
    };
    let mut placement = Placement::default();
    let workers = vec![worker("w1", "a", 900), worker("w2", "b", 9_000), worker("w3", "b", 8_000)];
    placement.update_list(workers, BTreeMap::new());
    let local = Zone::named("a");
    assert_eq!(placement.pick(600, "x", false, local, Micros(0)), Some("w1".to_owned()));
    let elsewhere = placement.pick(600, "y", false, local, Micros(0)).expect("room in another zone");
    assert_ne!(elsewhere, "w1", "it has no more room");
}
