use super::*;

#[test]
fn line_is_due_every_five_seconds_with_rates_of_that_interval_only() {
    let started_at = Instant::now();
    let mut costs = ControlCosts::new(started_at);
    let counts = NodeCounts { permits_granted: 7, remote_permits: 2, ..NodeCounts::default() };
    for _ in 0..10 {
        costs.record_sent("Probe", 100, true);
        costs.record_received("Probe", Duration::from_millis(4));
    }
    costs.record_sent("News", 500, false);
    costs.record_stale("RecordsPoll");
    costs.record_time("tick", Duration::from_millis(50));
    assert_eq!(costs.due_line(started_at + Duration::from_secs(4), &counts), None);
    let line = costs.due_line(started_at + Duration::from_secs(5), &counts).expect("a line");
    let reported: serde_json::Value = line.parse().expect("JSON");
    assert_eq!(reported["bytes_a_second"], 300.0);
    assert_eq!(reported["tickets"]["for_another_zone"], 2);
    assert_eq!(reported["far_bytes_a_second"], 100.0);
    assert_eq!(reported["messages_a_second"]["News"]["far"], 100.0);
    assert_eq!(reported["messages_a_second"]["Probe"]["far"], 0.0);
    assert_eq!(reported["messages_a_second"]["Probe"]["heard"], 2.0);
    assert_eq!(reported["messages_a_second"]["Probe"]["waited_ms"], 4.0);
    assert_eq!(reported["messages_a_second"]["RecordsPoll"]["stale"], 0.2);
    assert_eq!(reported["millis_a_second"]["tick"], 10.0);
    assert!(costs.messages.is_empty(), "the counts are reset");
}
