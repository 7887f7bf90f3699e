//! Clients that disconnect before their response: their calls are not dispatched.

mod running_node;

use history_checker::{History, Line};
use running_node::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

const BOOT_MILLIS: u64 = 1_500;

#[test]
fn call_of_a_disconnected_client_is_not_sent_to_an_instance() {
    let history = Arc::new(History::default());
    let platform = platform_that_boots(&history, BOOT_MILLIS);
    let node = start_node("client-left", platform.address());
    // The platform boots as slowly as it is configured to.
    let whole = WHOLE.replace("\"boot_millis\": 150", &format!("\"boot_millis\": {BOOT_MILLIS}"));
    let outcome = change(&node, &format!("{}\n", whole.replace('\n', " ")));
    assert!(outcome.contains("\"outcome\":\"accepted\""), "{outcome}");
    for path in ["/proof/1", "/again/1"] {
        let request = |id: &str| {
            format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-call-id: {id}\r\ncontent-length: 1\r\n\r\nx")
        };
        // The client closes its connection while its call waits for an instance to boot.
        let mut disconnecting = TcpStream::connect(node.clients).expect("a connection");
        disconnecting.write_all(request(&format!("left{path}")).as_bytes()).expect("sent");
        std::thread::sleep(Duration::from_millis(200));
        drop(disconnecting);
        let headers = format!("x-call-id: stayed{path}\r\n");
        let (status, text) = call(&node, path, &headers, "x");
        assert_eq!(status, 200, "{path}: {text}");
    }
    let received: Vec<String> = history
        .lines()
        .into_iter()
        .filter_map(|line| match line {
            Line::InstanceReceivedCall { call, .. } => Some(call),
            _ => None,
        })
        .collect();
    assert_eq!(received, ["stayed/proof/1", "stayed/again/1"]);
}
