//! Usage reports of a real node to a fake platform.

mod running_node;

use history_checker::{History, Line};
use running_node::*;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SETTINGS: &str = "usage_window_seconds = 1.0\nusage_delay_seconds = 4.0\nact_lease_millis = 1000\n";

fn reports(history: &History) -> Vec<(String, u64, u64, bool)> {
    let lines = history.lines();
    let reports = lines.into_iter().filter_map(|line| match line {
        Line::UsageReported { holder, fence, window, accepted, .. } => {
            Some((holder, fence, window, accepted))
        }
        _ => None,
    });
    reports.collect()
}

/// Guards against usage reports that the protocol makes but that never reach the platform. Windows are
/// reported in order and numbered by wall-clock time, from the moment when the configuration contains
/// tenants.
#[test]
fn usage_windows_are_reported_in_order_once_tenants_are_configured() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let settings = std::env::temp_dir().join(format!("vanelane-usage-{}.toml", std::process::id()));
    std::fs::write(&settings, SETTINGS).expect("settings");
    let mut program = vanelane();
    program.arg("run").arg("--settings").arg(&settings);
    let node = start_node_by(program, "usage", platform.address());
    let whole = WHOLE.replace('\n', " ");
    assert!(change(&node, &format!("{whole}\n")).contains("accepted"));
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(reports(&history), [], "no tenants, no reports");

    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let tenants = r#"{"change_id": "tenants", "partial": {"tenants": {"acme": {"keys": ["key-of-acme"]}}}}"#;
    assert!(change(&node, &format!("{tenants}\n")).contains("accepted"));
    let limit = Instant::now() + Duration::from_secs(60);
    while reports(&history).len() < 4 && Instant::now() < limit {
        std::thread::sleep(Duration::from_millis(100));
    }
    let reports = reports(&history);
    let _ = std::fs::remove_file(&settings);
    assert!(reports.len() >= 4, "{reports:?}");
    assert!(reports.iter().all(|(.., accepted)| *accepted), "{reports:?}");
    let (holder, fence, first, _) = &reports[0];
    assert!((unix..unix + 60).contains(first), "window {first} at {unix} s");
    for (number, report) in (0..).zip(&reports) {
        assert_eq!(*report, (holder.clone(), *fence, first + number, true));
    }
    let metrics = exchange(node.control, b"GET /metrics HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n");
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    assert!(metrics.contains("vanelane_usage_newest_report_age_millis"), "{metrics}");
    assert!(!metrics.contains("vanelane_usage_windows_reported 0"), "{metrics}");
}
