use super::*;

#[test]
fn maximum_is_reported_until_the_end_of_the_next_window() {
    let started_at = Instant::now();
    let longest = RecentMaximum::new(started_at);
    let at = |seconds: f64| started_at + Duration::from_secs_f64(seconds);
    let millis = Duration::from_millis;
    assert_eq!(longest.value_at(at(0.0)), millis(0));
    longest.record_at(millis(900), at(1.0));
    longest.record_at(millis(20), at(2.0));
    assert_eq!(longest.value_at(at(4.9)), millis(900));
    longest.record_at(millis(30), at(6.0));
    assert_eq!(longest.value_at(at(9.9)), millis(900), "maximum of the previous window");
    assert_eq!(longest.value_at(at(10.1)), millis(30));
    assert_eq!(longest.value_at(at(15.1)), millis(0), "nothing was recorded for two windows");
    longest.record_at(millis(5), at(30.0));
    assert_eq!(longest.value_at(at(30.0)), millis(5));
}
