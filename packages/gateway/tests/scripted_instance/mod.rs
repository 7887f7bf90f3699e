//! An instance on loopback whose every response is scripted by the test.
#![allow(dead_code, reason = "each test file uses only a part of it")]

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Uri};
use bytes::Bytes;
use gateway::{DispatchCall, DispatchSettings, HeaderConventions};
use monotonic_clock::Micros;
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// What the instance does after sending its bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum After {
    /// Waits for the next request on the connection.
    Next,
    /// Closes the connection cleanly.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection open and sends nothing more.
    Silence,
}

/// The reply to one request.
pub struct Reply {
    pub bytes: Vec<u8>,
    pub after: After,
}

/// Produces a reply from the request's number on its connection and its id.
type Script = Box<dyn Fn(usize, &str) -> Reply + Send + Sync>;

/// A running instance, with what it received.
pub struct ScriptedInstance {
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<Mutex<Vec<SeenRequest>>>,
}

/// One request as the instance read it.
#[derive(Clone)]
struct SeenRequest {
    id: String,
    /// Its head and body as received.
    text: String,
}

impl ScriptedInstance {
    pub fn start(script: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> ScriptedInstance {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let (connections, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
        let script: Arc<Script> = Arc::new(Box::new(script));
        let (seen_connections, seen_requests) = (connections.clone(), requests.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                seen_connections.fetch_add(1, Ordering::SeqCst);
                let (script, requests) = (script.clone(), seen_requests.clone());
                std::thread::spawn(move || serve_connection(stream, &script, &requests));
            }
        });
        ScriptedInstance { address, connections, requests }
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// The ids of all requests read whole so far, in order.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("the mutex is not poisoned").iter().map(|seen| seen.id.clone()).collect()
    }

    /// Head and body of all requests read whole so far, in order.
    pub fn received(&self) -> Vec<String> {
        self.requests
            .lock()
            .expect("the mutex is not poisoned")
            .iter()
            .map(|seen| seen.text.clone())
            .collect()
    }
}

fn serve_connection(mut stream: TcpStream, script: &Script, requests: &Mutex<Vec<SeenRequest>>) {
    let mut lines = BufReader::new(stream.try_clone().expect("a cloned stream"));
    for number in 0.. {
        let Some(seen) = read_request(&mut lines) else { return };
        requests.lock().expect("the mutex is not poisoned").push(seen.clone());
        let reply = script(number, &seen.id);
        if stream.write_all(&reply.bytes).is_err() {
            return;
        }
        match reply.after {
            After::Next => {}
            After::Close => return,
            After::Reset => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            After::Silence => {
                let _ = lines.read(&mut [0]);
                return;
            }
        }
    }
}

/// Reads a head and a body with a length.
fn read_request(lines: &mut BufReader<TcpStream>) -> Option<SeenRequest> {
    let (mut id, mut length, mut text) = (String::new(), 0, String::new());
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        text.push_str(&line);
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("request-id: ") {
            id = value.trim().to_owned();
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8_lossy(&body));
    Some(SeenRequest { id, text })
}

/// A whole response with these headers (each with its line end).
pub fn response_bytes(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A valid response to a request, on a connection that may be kept.
pub fn valid_response(id: &str) -> Vec<u8> {
    response_bytes(
        "200 OK",
        &format!("request-id: {id}\r\nkeep-alive: timeout=5\r\n"),
        &format!("answer to {id}"),
    )
}

/// Header conventions of a platform whose calls have ids and whose statuses alone promise that a call did not
/// run.
pub fn platform_conventions() -> HeaderConventions {
    HeaderConventions {
        call_id: Some(HeaderName::from_static("request-id")),
        not_run: (HeaderName::from_static("not-run"), None),
        outcome: None,
        ..HeaderConventions::default()
    }
}

/// Dispatch settings that keep connections.
pub fn keep_alive_settings(header_conventions: HeaderConventions) -> DispatchSettings {
    DispatchSettings {
        idle_limit: 2,
        header_conventions: Arc::new(header_conventions),
        ..DispatchSettings::default()
    }
}

/// A call to the instance at this address; an empty id means no id.
pub fn call_to(address: SocketAddr, id: &str, time_left: Micros) -> DispatchCall {
    let mut headers = HeaderMap::new();
    if !id.is_empty() {
        headers.insert(
            HeaderName::from_static("request-id"),
            HeaderValue::from_str(id).expect("a valid header value"),
        );
    }
    DispatchCall {
        method: Method::POST,
        uri: Uri::from_static("/x"),
        headers,
        body: Bytes::from_static(b"body"),
        function: "f".to_owned(),
        tenant: None,
        is_nested: false,
        instance: format!("cell at {address}"),
        address,
        time_left,
        client_left: CancellationToken::new(),
        is_repeatable: false,
    }
}
