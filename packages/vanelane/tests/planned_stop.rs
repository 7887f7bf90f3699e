//! A planned stop under load: clients use their connections until the process has ended, and every complete
//! request gets a response.

mod running_node;

use history_checker::History;
use running_node::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STOP_WITHIN: Duration = Duration::from_millis(2_000);
const STILL_ACCEPTING: Duration = Duration::from_millis(300);
/// Boot time longer than the test, so that calls wait for a permit until they end.
const BOOTS_FOREVER_MILLIS: u64 = 600_000;

/// A node with a short time limit for its stop and this many worker threads.
fn start_short_stop(name: &str, worker_threads: usize, platform: std::net::SocketAddr) -> RunningNode {
    let settings = std::env::temp_dir().join(format!("vanelane-test-{name}-{}.toml", std::process::id()));
    let text = format!(
        "stop_within_millis = {}\nstill_accepting_millis = {}\nworker_threads = {worker_threads}\n",
        STOP_WITHIN.as_millis(),
        STILL_ACCEPTING.as_millis()
    );
    std::fs::write(&settings, text).expect("written");
    let mut program = vanelane();
    program.arg("run").arg("--settings").arg(&settings);
    let node = start_node_by(program, name, platform);
    let _ = std::fs::remove_file(settings);
    node
}

fn send_call(stream: &mut TcpStream, id: &str) {
    let request =
        format!("POST /proof/1 HTTP/1.1\r\nhost: h\r\nx-call-id: {id}\r\ncontent-length: 1\r\n\r\nx");
    stream.write_all(request.as_bytes()).expect("sent");
}

fn connected(node: &RunningNode) -> TcpStream {
    let stream = TcpStream::connect(node.clients).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a limit");
    stream
}

fn signal(node: &RunningNode, name: &str) {
    let pid = node.child.id().to_string();
    assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
}

/// The response read from a connection until it ends.
fn rest_of(mut stream: TcpStream) -> (u16, String) {
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    split(&response)
}

#[test]
fn planned_stop_answers_calls_that_wait_for_a_permit() {
    for worker_threads in [0, 2] {
        let history = Arc::new(History::default());
        let platform = platform_that_boots(&history, BOOTS_FOREVER_MILLIS);
        let name = format!("stop-waiting-{worker_threads}");
        let mut node = start_short_stop(&name, worker_threads, platform.address());
        let outcome = change(&node, &format!("{}\n", WHOLE.replace('\n', " ")));
        assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");

        // One call is open when the stop begins; one arrives later on a connection opened before.
        let mut early = connected(&node);
        let mut late = connected(&node);
        send_call(&mut early, "early");
        std::thread::sleep(Duration::from_millis(300));
        signal(&node, "-TERM");
        let stop_began = Instant::now();
        std::thread::sleep(STILL_ACCEPTING / 3);
        send_call(&mut late, "late");

        for (id, stream) in [("early", early), ("late", late)] {
            let (status, text) = rest_of(stream);
            assert_eq!(status, 503, "{id}, {worker_threads} threads: {text:?}");
            assert!(text.to_ascii_lowercase().contains("retry-after: "), "{id}: {text}");
            assert!(stop_began.elapsed() < STOP_WITHIN, "{id}: {:?}", stop_began.elapsed());
        }
        assert_eq!(node.child.wait().expect("ended").code(), Some(0));
        assert!(stop_began.elapsed() < STOP_WITHIN + Duration::from_secs(1));
    }
}
