use super::*;

#[test]
fn instances_are_missing_in_zones_with_calls_and_in_surplus_elsewhere() {
    let [a, b, c] = ["a", "b", "c"].map(Zone::named);
    let mut calls = ZoneCalls::default();
    for number in 0..40 {
        calls.record_call(if number % 4 == 0 { b } else { a }, Micros::from_millis(number));
    }
    let shares = calls.shares();
    assert!((0.7..0.8).contains(&shares[&a]), "{shares:?}");
    let missing = calls.missing(&BTreeMap::from([(a, 1), (c, 3)]));
    assert!(missing[&a] > 1.5 && missing[&b] > 0.5 && missing[&c] < -2.5, "{missing:?}");
    // Calls of a minute ago have decayed.
    for number in 0..10 {
        calls.record_call(c, Micros::from_secs(60 + number));
    }
    assert_eq!(calls.shares().keys().copied().collect::<Vec<Zone>>(), [c]);
}

#[test]
fn an_unnamed_zone_is_remote_from_no_zone() {
    assert!(Zone::named("a").is_remote_from(Zone::named("b")));
    assert!(!Zone::named("a").is_remote_from(Zone::named("a")));
    assert!(
        !Zone::named("").is_remote_from(Zone::named("a"))
            && !Zone::named("a").is_remote_from(Zone::default())
    );
}
