//! Runs a real node as a child process on loopback and exchanges raw HTTP with it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use history_checker::History;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_doubles::{FakeFunction, FakePlatform, Misbehaviour, PlatformSettings};

pub struct RunningNode {
    pub child: Child,
    pub clients: SocketAddr,
    pub control: SocketAddr,
    pub folder: std::path::PathBuf,
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn vanelane() -> Command {
    Command::new(env!("CARGO_BIN_EXE_vanelane"))
}

pub fn platform(history: &Arc<History>) -> FakePlatform {
    platform_that_boots(history, 100)
}

/// A platform whose instances take this long from their start to their first connection.
pub fn platform_that_boots(history: &Arc<History>, boot_millis: u64) -> FakePlatform {
    let behaviour =
        FakeFunction { boot_millis, calls_at_once: 4, work_millis: 5, misbehaviour: Misbehaviour::default() };
    let settings = PlatformSettings {
        workers: 2,
        worker_memory_mb: 2_000,
        operations_per_second: 80.0,
        list_late: Duration::from_millis(50),
        functions: ["proof", "again", LONG_NAME].map(|name| (name.to_owned(), behaviour.clone())).into(),
        drain_within: Duration::from_millis(500),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    FakePlatform::start(listen, settings, history.clone(), Instant::now()).expect("a platform")
}

/// Starts a single node and waits until it logs that it is ready.
pub fn start_node(name: &str, platform: SocketAddr) -> RunningNode {
    start_node_by(vanelane(), name, platform)
}

pub fn start_node_by(program: Command, name: &str, platform: SocketAddr) -> RunningNode {
    let folder = std::env::temp_dir().join(format!("vanelane-test-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    start_node_in(program, folder, platform, "\"message\":\"ready\"")
}

/// Starts a single node on an existing folder and waits for a log line that contains `awaited`.
pub fn start_node_in(
    program: Command,
    folder: std::path::PathBuf,
    platform: SocketAddr,
    awaited: &str,
) -> RunningNode {
    start_node_on(program, folder, platform, awaited, |_| free_addresses())
}

/// Like `start_node_in`, with the addresses for each attempt. A free port may be taken by another process
/// before the node binds it; only then is the start repeated.
pub fn start_node_on(
    mut program: Command,
    folder: std::path::PathBuf,
    platform: SocketAddr,
    awaited: &str,
    mut addresses_of: impl FnMut(usize) -> [SocketAddr; 3],
) -> RunningNode {
    if program.get_args().next().is_none() {
        program.arg("run");
    }
    for attempt in 0..START_ATTEMPTS {
        let addresses = addresses_of(attempt);
        match try_start(&program, &folder, platform, awaited, addresses) {
            Ok(node) => return node,
            Err(logged) if logged.contains(ADDRESS_TAKEN) => {}
            Err(logged) => panic!("the node ended before it logged {awaited:?}; its log: {logged}"),
        }
    }
    panic!("in each of {START_ATTEMPTS} attempts a port was taken before the node bound it");
}

const START_ATTEMPTS: usize = 5;
/// Part of the message with which a node ends if its port is taken.
const ADDRESS_TAKEN: &str = "Address already in use";

/// Three free ports chosen by the system, released for the node to bind.
pub fn free_addresses() -> [SocketAddr; 3] {
    let holders = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    holders.map(|holder| holder.local_addr().expect("bound"))
}

/// One attempt. Returns the node once it has logged `awaited`, or its whole log if it ended before.
fn try_start(
    program: &Command,
    folder: &std::path::Path,
    platform: SocketAddr,
    awaited: &str,
    addresses: [SocketAddr; 3],
) -> Result<RunningNode, String> {
    let mut attempt = Command::new(program.get_program());
    attempt.args(program.get_args());
    let mut child = attempt
        .args(["--zone", "a", "--founding-disks", "1"])
        .args(["--visitor-address", &addresses[0].to_string()])
        .args(["--control-address", &addresses[1].to_string()])
        .args(["--colleague-address", &addresses[2].to_string()])
        .args(["--platform-address", &platform.to_string()])
        .arg("--data-folder")
        .arg(folder)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    let mut logged = String::new();
    while !line.contains(awaited) {
        line.clear();
        if log.read_line(&mut line).expect("a log") == 0 {
            let _ = child.wait();
            return Err(logged);
        }
        logged.push_str(&line);
    }
    // Drain the rest of the log, so that the node never blocks on a full pipe.
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut log, &mut std::io::sink());
    });
    let folder = folder.to_path_buf();
    Ok(RunningNode { child, clients: addresses[0], control: addresses[1], folder })
}

/// Sends a raw request and returns all bytes received until the connection ends.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a limit");
    stream.write_all(request).expect("sent");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    response
}

pub fn call(node: &RunningNode, path: &str, headers: &str, body: &str) -> (u16, String) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: here\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    split(&exchange(node.clients, request.as_bytes()))
}

pub fn split(response: &[u8]) -> (u16, String) {
    let text = String::from_utf8_lossy(response).into_owned();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    (status, text)
}

pub fn change(node: &RunningNode, lines: &str) -> String {
    let request = format!(
        "POST /control/changes HTTP/1.1\r\nhost: here\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{lines}",
        lines.len()
    );
    split(&exchange(node.control, request.as_bytes())).1
}

/// A function whose name alone is as long as a start id may be.
pub const LONG_NAME: &str = "orderdesk-of-the-wineries-for-the-rush-reorders-of-bottle-labels";

pub const WHOLE: &str = r#"{"change_id": "first", "whole": {
    "allowances": {"all": {"weight": 1}},
    "functions": {
        "proof": {"allowance": "all", "cell_memory_mb": 300, "calls_at_once": 4, "boot_millis": 150},
        "again": {"allowance": "all", "cell_memory_mb": 300, "calls_at_once": 4, "boot_millis": 150}},
    "lanes": {
        "proofs": {"function": "proof", "path_prefix": "/proof", "patience_millis": 20000},
        "agains": {"function": "again", "path_prefix": "/again", "repeatable": true, "patience_millis": 20000}}}}"#;
