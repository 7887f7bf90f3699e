use super::*;

#[test]
fn the_longest_span_is_told_for_one_window_more_and_then_forgotten() {
    let began_at = Instant::now();
    let longest = RecentMaximum::starting(began_at);
    let at = |seconds: f64| began_at + Duration::from_secs_f64(seconds);
    let millis = Duration::from_millis;
    assert_eq!(longest.value_at(at(0.0)), millis(0));
    longest.note_at(millis(900), at(1.0));
    longest.note_at(millis(20), at(2.0));
    assert_eq!(longest.value_at(at(4.9)), millis(900));
    longest.note_at(millis(30), at(6.0));
    assert_eq!(longest.value_at(at(9.9)), millis(900), "the window before");
    assert_eq!(longest.value_at(at(10.1)), millis(30));
    assert_eq!(longest.value_at(at(15.1)), millis(0), "nothing was noted for two windows");
    longest.note_at(millis(5), at(30.0));
    assert_eq!(longest.value_at(at(30.0)), millis(5));
}
