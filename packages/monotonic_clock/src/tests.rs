use super::*;

#[test]
fn ticker_does_not_make_up_missed_intervals_after_a_freeze() {
    let mut ticker = Ticker::every(Micros(10));
    assert!(ticker.due(Micros(0)));
    assert!(!ticker.due(Micros(9)));
    assert!(ticker.due(Micros(1_000)));
    assert!(!ticker.due(Micros(1_001)));
    assert_eq!(Micros(3) - Micros(5), Micros(0));
}
