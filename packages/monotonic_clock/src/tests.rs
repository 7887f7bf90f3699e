use super::*;

#[test]
fn a_tick_does_not_catch_up_after_a_freeze() {
    let mut probe_event = Ticker::every(Micros(10));
    assert!(probe_event.due(Micros(0)));
    assert!(!probe_event.due(Micros(9)));
    assert!(probe_event.due(Micros(1_000)));
    assert!(!probe_event.due(Micros(1_001)));
    assert_eq!(Micros(3) - Micros(5), Micros(0));
}
