//! A real node on real sockets: settings, the path of a call, misbehaving instances, disks, the planned stop.

mod running_node;

use history_checker::{CheckSettings, History, Line, check_all};
use running_node::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

#[test]
fn bad_settings_exit_with_code_two_and_name_the_field() {
    let output =
        vanelane().args(["run", "--zone", "a", "--visitor-address", "nowhere"]).output().expect("run");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("setting visitor_address: nowhere is no IP address"), "{text}");
    assert!(text.contains("setting platform_address: is missing"), "{text}");
}

#[test]
fn single_node_serves_calls_reports_outcomes_and_stops_without_dropping_calls() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let mut node = start_node("whole", platform.address());

    // Changes: invalid lines are refused with reasons and change nothing; a repeated id is applied once.
    let outcomes = change(
        &node,
        &format!(
            "not json\n{{\"change_id\": \"bad\", \"whole\": {{\"lanes\": 3}}}}\n{0}\n{0}\n",
            WHOLE.replace('\n', " ")
        ),
    );
    assert!(outcomes.contains("no change: "), "{outcomes}");
    assert!(outcomes.contains("\"path\":\"/lanes\""), "{outcomes}");
    assert!(outcomes.contains("\"outcome\":\"accepted\",\"repeated\":false"), "{outcomes}");
    assert!(outcomes.contains("\"outcome\":\"accepted\",\"repeated\":true"), "{outcomes}");

    // The first call is queued while an instance boots.
    let (status, text) = call(&node, "/proof/1", "x-call-id: c1\r\n", "hello");
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("{\"call\":\"c1\"") && text.contains("\"body_length\":5"), "{text}");
    assert!(text.contains("x-vanelane-outcome: ran"), "{text}");

    // Instances that run a call and fail to respond correctly: the outcome is unknown, with one dispatch
    // only.
    for behaviour in ["lose", "garble", "cut", "cut_chunks", "until_close"] {
        let headers = format!("x-call-id: once-{behaviour}\r\nx-stand-in: {behaviour}\r\n");
        let (status, text) = call(&node, "/proof/1", &headers, "x");
        assert_eq!(status, 502, "{behaviour}: {text}");
        assert!(text.contains("x-vanelane-outcome: unknown"), "{behaviour}: {text}");
    }
    // A stalled response ends at the call's deadline, with outcome unknown.
    let headers = "x-call-id: stalled\r\nx-stand-in: stall\r\nx-vanelane-time-left-ms: 3000\r\n";
    let (status, text) = call(&node, "/proof/1", headers, "x");
    assert_eq!(status, 504, "{text}");
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    // A truncated response that is longer than the buffer does not end cleanly.
    let (status, text) = call(&node, "/proof/1", "x-call-id: long\r\nx-stand-in: cut_long\r\n", "x");
    assert_eq!(status, 200);
    assert!(text.contains("content-length: 2000000") && text.len() < 1_500_000, "{}", text.len());
    let (status, text) = call(&node, "/proof/1", "x-call-id: chunks\r\nx-stand-in: cut_long_chunks\r\n", "x");
    assert_eq!(status, 200);
    assert!(text.contains("transfer-encoding: chunked") && !text.ends_with("0\r\n\r\n"));
    // A repeatable route retries within its limit, and the outcome is still unknown.
    let (status, text) = call(&node, "/again/1", "x-call-id: again\r\nx-stand-in: lose\r\n", "x");
    assert_eq!(status, 502, "{text}");

    // Invalid HTTP and calls that match no route.
    assert_eq!(split(&exchange(node.clients, b"GARBAGE\r\n\r\n")).0, 400);
    let long_head = format!("GET /proof HTTP/1.1\r\nhost: h\r\nx-long: {}\r\n\r\n", "a".repeat(200_000));
    assert_eq!(split(&exchange(node.clients, long_head.as_bytes())).0, 431);
    assert_eq!(call(&node, "/proof", "", &"x".repeat(5_000_000)).0, 413);
    let (status, text) = call(&node, "/nowhere", "", "");
    assert_eq!((status, text.contains("\"outcome\":\"not_run\"")), (404, true), "{text}");
    assert_eq!(call(&node, "/proof/../control", "", "").0, 404);

    let lines = history.lines();
    let runs = |call: &str| {
        let is_run = |line: &&history_checker::Line| matches!(line, history_checker::Line::InstanceReceivedCall { call: taken, ran: true, .. } if taken == call);
        lines.iter().filter(is_run).count()
    };
    assert_eq!((runs("c1"), runs("once-lose"), runs("once-garble"), runs("stalled")), (1, 1, 1, 1));
    assert!((2..=4).contains(&runs("again")), "{}", runs("again"));
    let loose = CheckSettings { count_refusals: false, ..CheckSettings::default() };
    let violations: Vec<_> = check_all(&lines, &loose)
        .into_iter()
        .filter(|violation| !violation.seen.starts_with("again"))
        .collect();
    assert_eq!(violations, []);

    // The metrics contain the processing delays by place.
    let metrics = read_page(&node, "/metrics");
    for place in ["clock_events", "urgent_inbox", "bulk_inbox", "urgent_links", "bulk_links"] {
        let name = format!("vanelane_lag_micros{{at=\"{place}\"}} ");
        assert!(metrics.lines().any(|line| line.starts_with(&name)), "{place}: {metrics}");
    }
    assert!(metrics.contains("vanelane_newer_generation_awaited_millis 0\n"), "{metrics}");

    // The planned stop drops no open call.
    let clients = node.clients;
    let all_sent = Arc::new(Barrier::new(5));
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let all_sent = all_sent.clone();
            std::thread::spawn(move || {
                let request = format!(
                    "POST /proof/1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\nx-call-id: last-{number}\r\ncontent-length: 1\r\n\r\nx"
                );
                let mut stream = TcpStream::connect(clients).expect("a connection");
                stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a limit");
                stream.write_all(request.as_bytes()).expect("sent");
                all_sent.wait();
                let mut response = Vec::new();
                let _ = stream.read_to_end(&mut response);
                split(&response).0
            })
        })
        .collect();
    all_sent.wait();
    let pid = node.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill").success());
    let statuses: Vec<u16> = callers.into_iter().map(|caller| caller.join().expect("no panic")).collect();
    assert_eq!(statuses, [200, 200, 200, 200]);
    assert_eq!(node.child.wait().expect("ended").code(), Some(0));
}

/// Guards against violations of ROUTE on real sockets: after a route was added below another one, calls to its prefix
/// without the last slash ran on instances of the added route's function.
#[test]
fn a_route_added_below_another_leaves_the_path_without_its_last_slash() {
    const ADDED: &str = r#"{"change_id": "below", "partial": {"lanes":
        {"below": {"function": "again", "path_prefix": "/proof/rush/", "patience_millis": 20000}}}}"#;
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let node = start_node("below", platform.address());
    for lines in [WHOLE, ADDED] {
        let outcome = change(&node, &format!("{}\n", lines.replace('\n', " ")));
        assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    }
    let calls = [("edge", "/proof/rush"), ("inside", "/proof/rush/1"), ("beside", "/proof/rushes")];
    for (id, path) in calls {
        let (status, text) = call(&node, path, &format!("x-call-id: {id}\r\n"), "x");
        assert_eq!(status, 200, "{path}: {text}");
    }
    let lines = history.lines();
    let function_of = |id: &str| {
        lines.iter().find_map(|line| match line {
            Line::InstanceReceivedCall { call, function, .. } if call == id => Some(function.as_str()),
            _ => None,
        })
    };
    assert_eq!(calls.map(|(id, _)| function_of(id)), [Some("proof"), Some("again"), Some("proof")]);
}

/// Guards against a function that is acknowledged and never started: the platform refuses start ids over 64 bytes.
#[test]
fn a_function_with_a_long_name_is_started() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let node = start_node("long-name", platform.address());
    let added = format!(
        "{{\"change_id\": \"long\", \"partial\": {{\"functions\": {{\"{LONG_NAME}\": {{\"allowance\": \"all\", \
         \"cell_memory_mb\": 300, \"calls_at_once\": 4, \"boot_millis\": 150}}}}, \"lanes\": {{\"long\": \
         {{\"function\": \"{LONG_NAME}\", \"path_prefix\": \"/long\", \"patience_millis\": 20000}}}}}}}}"
    );
    for lines in [WHOLE, &added] {
        let outcome = change(&node, &format!("{}\n", lines.replace('\n', " ")));
        assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    }
    let (status, text) = call(&node, "/long/1", "x-call-id: long\r\n", "x");
    assert_eq!(status, 200, "{text}");
}

/// A file size limit simulates a full disk; the test lifts it with `prlimit`.
#[test]
fn full_disk_acknowledges_nothing_and_recovers_without_a_restart() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let mut limited = Command::new("sh");
    // SIGXFSZ is ignored, so that the write fails as on a full disk.
    let script = "trap '' XFSZ; ulimit -S -f 64; exec \"$0\" \"$@\"";
    limited.args(["-c", script, env!("CARGO_BIN_EXE_vanelane"), "run"]);
    let node = start_node_by(limited, "full", platform.address());
    let outcome = change(&node, &format!("{}\n", WHOLE.replace('\n', " ")));
    assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    assert_eq!(call(&node, "/proof/1", "", "x").0, 200);
    // A change over the file size limit is not acknowledged, and calls are still served.
    let prefix = format!("/{}", "x".repeat(900));
    let routes: Vec<String> = (0..200)
        .map(|number| {
            format!("\"long-{number}\": {{\"function\": \"proof\", \"path_prefix\": \"{prefix}{number}\"}}")
        })
        .collect();
    let large =
        format!("{{\"change_id\": \"large\", \"partial\": {{\"lanes\": {{{}}}}}}}\n", routes.join(", "));
    let outcome = change(&node, &large);
    assert!(outcome.contains("\"outcome\":\"unknown\""), "{outcome}");
    assert_eq!(call(&node, "/proof/1", "", "x").0, 200);
    let pid = node.child.id().to_string();
    let lifted = Command::new("prlimit").args(["--pid", &pid, "--fsize=unlimited:unlimited"]).status();
    assert!(lifted.expect("prlimit").success());
    // Sent again under the same id it is accepted, once the disk votes again.
    let limit = Instant::now() + Duration::from_secs(120);
    let outcome = loop {
        let outcome = change(&node, &large);
        if outcome.contains("accepted") || Instant::now() > limit {
            break outcome;
        }
    };
    assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    let decisions =
        exchange(node.control, b"GET /control/decisions HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n");
    let text = String::from_utf8_lossy(&decisions).into_owned();
    assert!(text.contains("\"disk_failed\"") && text.contains("\"disk_sound_again\""), "{text}");
    assert_eq!(call(&node, "/proof/1", "", "x").0, 200);
}

#[test]
fn second_process_on_a_data_folder_is_refused_with_the_reason() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let node = start_node("folder", platform.address());
    let holder = TcpListener::bind("127.0.0.1:0").expect("a port");
    let free = holder.local_addr().expect("bound");
    drop(holder);
    let output = vanelane()
        .args(["run", "--zone", "a", "--visitor-address", "127.0.0.1:0", "--control-address", "127.0.0.1:0"])
        .args([
            "--colleague-address",
            &free.to_string(),
            "--platform-address",
            &platform.address().to_string(),
        ])
        .arg("--data-folder")
        .arg(&node.folder)
        .output()
        .expect("run");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("another process holds the data folder"), "{text}");
}

fn read_page(node: &RunningNode, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n");
    split(&exchange(node.control, request.as_bytes())).1
}

fn quarantine(folder: &std::path::Path) -> (Option<i32>, String) {
    let output =
        vanelane().arg("set-aside-records").arg("--data-folder").arg(folder).output().expect("the program");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

/// With damaged synced records the process keeps running, reports the damage and formats nothing. Only an
/// operator's command replaces the disk, and the new disk does not bootstrap new state next to the old file.
#[test]
fn damaged_disk_is_reported_and_its_file_left_unchanged() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let mut node = start_node("damaged", platform.address());
    let outcome = change(&node, &format!("{}\n", WHOLE.replace('\n', " ")));
    assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    let confirmed = read_page(&node, "/control/configuration");
    assert!(confirmed.contains("\"generation\":1"), "{confirmed}");
    node.child.kill().expect("ended");
    node.child.wait().expect("ended");
    let folder = node.folder.clone();
    // Dropping the node would remove the folder.
    std::mem::forget(node);
    assert_eq!(quarantine(&folder).0, Some(1), "an intact file stays");
    let records = folder.join("records");
    let mut damaged_bytes = std::fs::read(&records).expect("records");
    // A byte of the salt in the header, which was synced before the file was renamed into place.
    damaged_bytes[33] ^= 1;
    std::fs::write(&records, &damaged_bytes).expect("damage");

    let mut node = start_node_in(vanelane(), folder.clone(), platform.address(), "damaged at byte");
    let status = read_page(&node, "/control/status");
    assert!(
        status.contains("\"disk\":\"failed\"") && status.contains("vanelane set-aside-records"),
        "{status}"
    );
    assert!(read_page(&node, "/metrics").contains("vanelane_disk_unusable 1\n"));
    let unconfirmed = read_page(&node, "/control/configuration");
    assert!(unconfirmed.contains("no majority") && !unconfirmed.contains("generation"), "{unconfirmed}");
    assert!(read_page(&node, "/control/decisions").contains("\"disk_unusable\""));
    assert_eq!(std::fs::read(&records).expect("records"), damaged_bytes);
    let (code, text) = quarantine(&folder);
    assert!(code == Some(1) && text.contains("another process holds the data folder"), "{text}");
    node.child.kill().expect("ended");
    node.child.wait().expect("ended");
    std::mem::forget(node);

    let (code, text) = quarantine(&folder);
    assert!(code == Some(0) && text.contains("records.damaged-0"), "{text}");
    assert_eq!(std::fs::read(folder.join("records.damaged-0")).expect("kept"), damaged_bytes);
    let node = start_node_in(vanelane(), folder, platform.address(), "founds nothing");
    let status = read_page(&node, "/control/status");
    assert!(status.contains("\"disk\":\"spare\"") && status.contains("\"disk_trouble\":null"), "{status}");
    assert!(read_page(&node, "/metrics").contains("vanelane_disk_unusable 0\n"));
}

/// The status codes of all responses on one kept connection.
fn statuses(responses: &[u8]) -> Vec<u16> {
    let text = String::from_utf8_lossy(responses).into_owned();
    text.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)?.parse().ok()).collect()
}

#[test]
fn pipelined_nested_and_truncated_requests_are_parsed_apart() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let node = start_node("pieces", platform.address());
    let limited = WHOLE.replace('\n', " ").replace(
        r#"{"change_id": "first", "whole": {"#,
        r#"{"change_id": "first", "whole": { "visitor_limits": {"header_bytes": 600, "body_bytes": 400},"#,
    );
    let outcome = change(&node, &format!("{limited}\n"));
    assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    let post = |path: &str, id: &str, more: &str, body: &str| {
        let length = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\nx-call-id: {id}\r\n{more}content-length: {length}\r\n\r\n{body}"
        )
    };
    let last = "connection: close\r\n";
    // Pipelined requests: each gets its own response, in order.
    let pipelined =
        ["p1", "p2", "p3"].map(|id| post("/proof/1", id, if id == "p3" { last } else { "" }, "x")).concat();
    let responses = exchange(node.clients, pipelined.as_bytes());
    let text = String::from_utf8_lossy(&responses).into_owned();
    assert_eq!(statuses(&responses), [200, 200, 200], "{text}");
    let positions =
        ["p1", "p2", "p3"].map(|id| text.find(&format!("{{\"call\":\"{id}\"")).expect("answered"));
    assert!(positions.is_sorted(), "{text}");
    // A request inside a body stays a body, whether the outer request is served, matches no route or is too
    // long.
    let smuggled = post("/proof/1", "smuggled", "", "x");
    let outer = post("/proof/1", "outer", last, &smuggled);
    assert_eq!(statuses(&exchange(node.clients, outer.as_bytes())), [200]);
    let unknown = post("/nowhere", "unknown", "", &smuggled) + &post("/proof/1", "after", last, "x");
    let seen = statuses(&exchange(node.clients, unknown.as_bytes()));
    assert!(seen == [404] || seen == [404, 200], "{seen:?}");
    let long_body = format!("{}{smuggled}", "x".repeat(400));
    let long = post("/proof/1", "long", "", &long_body);
    assert_eq!(statuses(&exchange(node.clients, long.as_bytes())), [413]);
    // A request with two declarations of its length is invalid.
    let both = "POST /proof/1 HTTP/1.1\r\nhost: h\r\nx-call-id: both\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(statuses(&exchange(node.clients, format!("{both}{smuggled}").as_bytes())), [400]);
    let twice = "POST /proof/1 HTTP/1.1\r\nhost: h\r\nx-call-id: twice\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nxxxxx";
    assert_eq!(statuses(&exchange(node.clients, format!("{twice}{smuggled}").as_bytes())), [400]);
    // A request with a truncated body reaches no instance.
    for broken in [
        "POST /proof/1 HTTP/1.1\r\nhost: h\r\nx-call-id: broken\r\ncontent-length: 9\r\n\r\nhalf",
        "POST /proof/1 HTTP/1.1\r\nhost: h\r\nx-call-id: broken\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
    ] {
        let mut stream = TcpStream::connect(node.clients).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a limit");
        stream.write_all(broken.as_bytes()).expect("sent");
        stream.shutdown(std::net::Shutdown::Write).expect("closed");
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        assert!(!statuses(&response).contains(&200), "{}", String::from_utf8_lossy(&response));
    }
    // A head over the configured limit.
    let long_head =
        post("/proof/1", "head", &format!("x-long: {}\r\nconnection: close\r\n", "x".repeat(600)), "");
    assert_eq!(statuses(&exchange(node.clients, long_head.as_bytes())), [431]);

    let received: Vec<String> = history
        .lines()
        .iter()
        .filter_map(|line| match line {
            history_checker::Line::InstanceReceivedCall { call, .. } => Some(call.clone()),
            _ => None,
        })
        .collect();
    let expected = ["p1", "p2", "p3", "outer", "after"];
    assert!(received.iter().all(|call| expected.contains(&call.as_str())), "{received:?}");
    assert!(received.iter().filter(|call| *call == "outer").count() == 1, "{received:?}");
}

/// Guards against flaky tests: a node ended before it was ready because another process had taken its port
/// between the choice of the port and the bind.
#[test]
fn test_node_is_restarted_on_other_ports_if_its_port_is_taken() {
    let history = Arc::new(History::default());
    let platform = platform(&history);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = std::env::temp_dir().join(format!("vanelane-test-taken-{}", std::process::id()));
    let mut attempts = 0;
    let node = start_node_on(vanelane(), folder, platform.address(), "\"message\":\"ready\"", |attempt| {
        attempts = attempt + 1;
        let mut addresses = free_addresses();
        if attempt == 0 {
            addresses[0] = taken.local_addr().expect("bound");
        }
        addresses
    });
    assert_eq!(attempts, 2);
    assert_ne!(node.clients, taken.local_addr().expect("bound"));
}

/// Clients reuse connections that were idle for up to four fifths of the announced idle time.
#[test]
fn idle_connection_is_kept_for_the_announced_idle_time() {
    const IDLE_MILLIS: u64 = 500;
    let history = Arc::new(History::default());
    let platform = platform(&history);
    // With no worker threads, the server on the node's thread must apply the limits of the configuration.
    let settings = std::env::temp_dir().join(format!("vanelane-test-idle-{}.toml", std::process::id()));
    std::fs::write(&settings, "worker_threads = 0\n").expect("written");
    let mut program = vanelane();
    program.arg("run").arg("--settings").arg(&settings);
    let node = start_node_by(program, "idle", platform.address());
    let _ = std::fs::remove_file(&settings);
    let limits =
        format!(r#"{{"change_id": "first", "whole": {{ "visitor_limits": {{"idle_millis": {IDLE_MILLIS}}},"#);
    let limited = WHOLE.replace('\n', " ").replace(r#"{"change_id": "first", "whole": {"#, &limits);
    let outcome = change(&node, &format!("{limited}\n"));
    assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    // The first call starts the instance, so that the others are fast.
    assert_eq!(call(&node, "/proof/1", "", "x").0, 200);
    let mut stream = TcpStream::connect(node.clients).expect("a connection");
    for _ in 0..5 {
        let request = "POST /proof/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx";
        stream.write_all(request.as_bytes()).expect("sent");
        stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a limit");
        let mut response = Vec::new();
        while !response.ends_with(b"\"end\":true}") {
            let mut piece = [0; 4096];
            let length = stream.read(&mut piece).expect("a response");
            assert!(length > 0, "closed during a response: {}", String::from_utf8_lossy(&response));
            response.extend_from_slice(&piece[..length]);
        }
        assert_eq!(statuses(&response), [200]);
        // Nothing arrives in that time, not even the end of the connection.
        let rest = Duration::from_millis(IDLE_MILLIS * 4 / 5);
        stream.set_read_timeout(Some(rest)).expect("a limit");
        let idle_read = stream.read(&mut [0]);
        assert!(idle_read.is_err(), "{idle_read:?}");
    }
}
