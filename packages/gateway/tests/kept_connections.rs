//! Guards against mixed-up responses on kept connections: the instance sends an extra response at every
//! point.

mod scripted_instance;

use actix_http::Method;
use actix_http::header::HeaderName;
use bytes::Bytes;
use gateway::{DispatchCall, DispatchOutcome, DispatchSettings, HeaderConventions, dispatch};
use monotonic_clock::Micros;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// When the instance sends its extra response, in addition to the expected ones.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Extra {
    Never,
    /// In one write with the response that it repeats.
    WithResponse,
    /// After the response, before the next call.
    AfterResponse,
    /// Immediately before the next call's response.
    BeforeNext,
    /// Bytes that are no response, after the response.
    Garbage,
}

fn response_bytes(id: &str) -> String {
    let body = format!("answer to {id}");
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nkeep-alive: timeout=5\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn start_instance(extra: Extra, connections: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            connections.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a cloned stream"));
                let mut previous: Option<String> = None;
                loop {
                    let mut id = String::new();
                    loop {
                        let mut line = String::new();
                        if lines.read_line(&mut line).unwrap_or(0) == 0 {
                            return;
                        }
                        if let Some(value) = line.to_ascii_lowercase().strip_prefix("request-id: ") {
                            id = value.trim().to_owned();
                        }
                        if line == "\r\n" {
                            break;
                        }
                    }
                    let mut text = String::new();
                    if let (Extra::BeforeNext, Some(earlier)) = (extra, previous.take()) {
                        text.push_str(&response_bytes(&earlier));
                    }
                    text.push_str(&response_bytes(&id));
                    if extra == Extra::WithResponse {
                        text.push_str(&response_bytes(&id));
                    }
                    if extra == Extra::Garbage {
                        text.push_str("\u{1}garbage");
                    }
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    if extra == Extra::AfterResponse {
                        let _ = stream.write_all(response_bytes(&id).as_bytes());
                    }
                    previous = Some(id);
                }
            });
        }
    });
    address
}

async fn call(address: SocketAddr, id: &str, settings: &DispatchSettings) -> Option<Bytes> {
    let call = DispatchCall {
        method: Method::GET,
        body: Bytes::new(),
        ..scripted_instance::call_to(address, id, Micros::from_secs(4))
    };
    match dispatch(call, settings).await {
        DispatchOutcome::Answered(answered) => Some(answered.body),
        _ => None,
    }
}

#[test]
fn an_extra_response_at_any_point_is_never_delivered_to_another_call() {
    let header_conventions = HeaderConventions {
        call_id: Some(HeaderName::from_static("request-id")),
        ..HeaderConventions::default()
    };
    let settings = DispatchSettings {
        idle_limit: 2,
        header_conventions: Arc::new(header_conventions),
        connect_timeout: Duration::from_secs(5),
        ..DispatchSettings::default()
    };
    for extra in [Extra::Never, Extra::WithResponse, Extra::AfterResponse, Extra::BeforeNext, Extra::Garbage]
    {
        let connections = Arc::new(AtomicUsize::new(0));
        let address = start_instance(extra, connections.clone());
        actix_rt::System::new().block_on(async {
            for number in 0..20 {
                let id = format!("{extra:?}-{number}").to_ascii_lowercase();
                // One response to an earlier call may precede the right one and is discarded; any other
                // surplus may cost the call its response, but never gives it another call's.
                if let Some(body) = call(address, &id, &settings).await {
                    assert_eq!(body, format!("answer to {id}"), "{extra:?}");
                } else {
                    assert_ne!(extra, Extra::Never);
                    assert_ne!(
                        extra,
                        Extra::BeforeNext,
                        "the late response is recognized by its id and discarded"
                    );
                }
            }
        });
        let opened = connections.load(Ordering::SeqCst);
        match extra {
            Extra::Never | Extra::BeforeNext => {
                assert_eq!(opened, 1, "{extra:?}: the connection was not kept")
            }
            Extra::WithResponse | Extra::Garbage => {
                assert_eq!(opened, 20, "{extra:?}: a connection was reused")
            }
            Extra::AfterResponse => assert!(opened >= 1),
        }
    }
}
