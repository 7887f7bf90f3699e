//! The load generator: clients that call the nodes at a given rate and record what they observe.

mod kept_connections;

use crate::{BEHAVE_HEADER, CALL_HEADER, micros_since};
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, StatusCode};
use bytes::BytesMut;
use fastrand::Rng;
use futures_util::{SinkExt, StreamExt};
use gateway::OUTCOME_HEADER;
use history_checker::{History, Line, Outcome};
use kept_connections::{KeptConnections, NodeConnection};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A route to call. Example: `Target { function: "proof".into(), path: "/proof".into(), weight: 9.0, .. }`.
#[derive(Clone, Debug)]
pub struct Target {
    /// The function of the route.
    pub function: String,
    /// The path to call.
    pub path: String,
    /// Its share of all calls, relative to the other targets.
    pub weight: f64,
    /// Whether the route is repeatable.
    pub repeatable: bool,
}

/// Settings of the load. Example: `LoadSettings { calls_per_second: 300.0, .. }`.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Calls sent per second, whether or not earlier ones got a response.
    pub calls_per_second: f64,
    /// Duration of the load.
    pub span: Duration,
    /// The routes to call.
    pub targets: Vec<Target>,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Seed of the order of targets.
    pub random_seed: u64,
    /// Number of retries sent immediately after a refusal.
    pub immediate_retries: u32,
    /// Length of the request bodies.
    pub body_length: usize,
    /// The share of calls that request one of these behaviours of their instance.
    pub behaviours: (f64, Vec<&'static str>),
    /// Whether connections are reused until their node closes them; otherwise each call opens its own.
    pub keeps_connections: bool,
}

/// Summary of what the clients observed.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Calls sent, retries included.
    pub sent: u64,
    /// Calls with a complete response.
    pub ran: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls of unknown outcome.
    pub unknown: u64,
    /// Calls without a response.
    pub no_response: u64,
    /// Requests that their node did not accept, since it was gone or closed the connection at that moment; they were
    /// sent again to another node.
    pub not_taken: u64,
    /// Sorted latencies of complete responses, in microseconds.
    pub latencies: Vec<u64>,
    /// Reasons of calls without a complete response, with their counts.
    pub reasons: Vec<(String, u64)>,
}

impl LoadReport {
    /// A quantile of the latencies. Example: `report.quantile(0.99)`.
    pub fn quantile(&self, fraction: f64) -> u64 {
        let index = ((self.latencies.len() as f64 - 1.0) * fraction).max(0.0) as usize;
        self.latencies.get(index).copied().unwrap_or(0)
    }
}

/// Clients on a thread of their own. Example: `LoadGenerator::start(settings, nodes, history, began)`.
pub struct LoadGenerator {
    thread: std::thread::JoinHandle<LoadReport>,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    ending: Arc<AtomicBool>,
}

static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

impl LoadGenerator {
    /// Starts calling the nodes, each call to a node chosen at random. Example: `load.finish().ran`.
    pub fn start(
        settings: LoadSettings,
        nodes: Vec<SocketAddr>,
        history: Arc<History>,
        began: Instant,
    ) -> std::io::Result<LoadGenerator> {
        let nodes = Arc::new(Mutex::new(nodes));
        let ending = Arc::new(AtomicBool::new(false));
        let (shared_nodes, shared_ending) = (nodes.clone(), ending.clone());
        let thread = std::thread::Builder::new().name("callers".to_owned()).spawn(move || {
            actix_rt::System::new().block_on(call_all(settings, shared_nodes, shared_ending, history, began))
        })?;
        Ok(LoadGenerator { thread, nodes, ending })
    }

    /// Sends calls only to these nodes from now on. Example: `load.set_nodes(nodes)`.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        match self.nodes.lock() {
            Ok(mut shared) => *shared = nodes,
            Err(poisoned) => *poisoned.into_inner() = nodes,
        }
    }

    /// Stops before the span is over. Example: `load.end_early()`.
    pub fn end_early(&self) {
        self.ending.store(true, Ordering::Relaxed);
    }

    /// Waits for the end of the span and of all calls. Example: `let report = load.finish();`.
    pub fn finish(self) -> LoadReport {
        self.thread.join().unwrap_or_default()
    }
}

struct Shared {
    history: Arc<History>,
    began: Instant,
    report: RefCell<LoadReport>,
    settings: LoadSettings,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    kept: KeptConnections,
}

impl Shared {
    fn random_node(&self, rng: &mut Rng) -> Option<SocketAddr> {
        let nodes = match self.nodes.lock() {
            Ok(nodes) => nodes.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        };
        rng.choice(nodes)
    }
}

async fn call_all(
    settings: LoadSettings,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    ending: Arc<AtomicBool>,
    history: Arc<History>,
    began: Instant,
) -> LoadReport {
    let weight_sum: f64 = settings.targets.iter().map(|target| target.weight).sum();
    let mut rng = Rng::with_seed(settings.random_seed);
    let shared = Rc::new(Shared {
        history,
        began,
        report: RefCell::default(),
        settings: settings.clone(),
        nodes,
        kept: KeptConnections::default(),
    });
    let mut calls = tokio::task::JoinSet::new();
    let start = Instant::now();
    let mut sent_count = 0u64;
    let mut ticker = tokio::time::interval(Duration::from_millis(2));
    while start.elapsed() < settings.span && !ending.load(Ordering::Relaxed) {
        ticker.tick().await;
        let due_count = (start.elapsed().as_secs_f64() * settings.calls_per_second) as u64;
        while sent_count < due_count {
            sent_count += 1;
            let mut random = rng.f64() * weight_sum;
            let picked = settings.targets.iter().find(|target| {
                random -= target.weight;
                random <= 0.0
            });
            let Some(target) = picked.or(settings.targets.last()).cloned() else { continue };
            calls.spawn_local(call_with_retries(shared.clone(), target, rng.u64(..)));
        }
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let mut report = shared.report.take();
    report.latencies.sort_unstable();
    report
}

async fn call_with_retries(shared: Rc<Shared>, target: Target, random_seed: u64) {
    let mut rng = Rng::with_seed(random_seed);
    for _ in 0..=shared.settings.immediate_retries {
        let outcome = call_once(&shared, &target, &mut rng).await;
        if outcome != Outcome::NotRun {
            return;
        }
    }
}

async fn call_once(shared: &Rc<Shared>, target: &Target, rng: &mut Rng) -> Outcome {
    let Some(node) = shared.random_node(rng) else { return Outcome::NoResponse };
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed).to_string();
    let sent_at = micros_since(shared.began);
    shared.history.append(Line::CallSent {
        at: sent_at,
        call: call.clone(),
        node: node.to_string(),
        path: target.path.clone(),
        repeatable: target.repeatable,
    });
    let (share, behaviours) = &shared.settings.behaviours;
    let requested = if rng.f64() < *share { rng.choice(behaviours).copied() } else { None };
    let (outcome, is_own, reason) = exchange(shared, target, node, &call, requested.unwrap_or(""), rng).await;
    let at = micros_since(shared.began);
    let latency = at - sent_at;
    shared.history.append(Line::CallEnded { at, call, outcome, is_own, latency });
    let mut report = shared.report.borrow_mut();
    report.sent += 1;
    match outcome {
        Outcome::Ran => {
            report.ran += 1;
            report.latencies.push(latency);
        }
        Outcome::NotRun => report.not_run += 1,
        Outcome::Unknown => report.unknown += 1,
        Outcome::NoResponse => report.no_response += 1,
    }
    if !reason.is_empty() {
        match report.reasons.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => report.reasons.push((reason, 1)),
        }
    }
    outcome
}

async fn exchange(
    shared: &Rc<Shared>,
    target: &Target,
    node: SocketAddr,
    call: &str,
    behaviour: &str,
    rng: &mut Rng,
) -> (Outcome, bool, String) {
    let response = request_any_node(shared, target, node, call, behaviour, rng);
    let (status, reported, body) = match tokio::time::timeout(shared.settings.timeout, response).await {
        Ok(Ok(response)) => response,
        Ok(Err(reason)) => return (Outcome::NoResponse, false, reason.to_owned()),
        Err(_) => return (Outcome::NoResponse, false, "no answer in time".to_owned()),
    };
    let text = String::from_utf8_lossy(&body);
    match reported.as_deref() {
        Some("ran") => {
            let is_own =
                text.starts_with(&format!("{{\"call\":\"{call}\",")) && text.ends_with("\"end\":true}");
            (Outcome::Ran, is_own, String::new())
        }
        Some("not_run") => (Outcome::NotRun, false, format!("{status} {}", strip_numbers(&text))),
        Some("unknown") => (Outcome::Unknown, false, format!("{status} {}", strip_numbers(&text))),
        _ => (Outcome::NoResponse, false, format!("{status} without an outcome")),
    }
}

/// Why a request got no response.
enum RequestFailure {
    /// The node was gone or closed the connection as the request arrived; another node may be tried.
    NotAccepted,
    /// The node accepted the request, but the response failed for this reason.
    Failed(&'static str),
}

/// The status, the outcome that the node reports, and the body.
type Response = (StatusCode, Option<String>, BytesMut);

/// A connection that ends without a response within this time after its request may have been closed by the node
/// before the request arrived.
const CLOSE_RACE_SPAN: Duration = Duration::from_millis(500);
/// Number of attempts for a request that nodes do not accept.
const ATTEMPT_LIMIT: u32 = 40;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(20);

/// Sends a request to the first node and, if connections are kept, to others until one accepts it.
async fn request_any_node(
    shared: &Rc<Shared>,
    target: &Target,
    first_node: SocketAddr,
    call: &str,
    behaviour: &str,
    rng: &mut Rng,
) -> Result<Response, &'static str> {
    let mut node = first_node;
    for _ in 0..ATTEMPT_LIMIT {
        match read_response(shared, target, node, call, behaviour).await {
            Ok(response) => return Ok(response),
            Err(RequestFailure::Failed(reason)) => return Err(reason),
            Err(RequestFailure::NotAccepted) if !shared.settings.keeps_connections => {
                return Err("no connection");
            }
            Err(RequestFailure::NotAccepted) => {}
        }
        shared.report.borrow_mut().not_taken += 1;
        tokio::time::sleep(ATTEMPT_PAUSE).await;
        node = shared.random_node(rng).unwrap_or(node);
    }
    Err("no node takes it")
}

/// Sends one request and reads the response with the codec itself, which detects a chunked body without its last
/// chunk; higher-level clients ignore this silently.
async fn read_response(
    shared: &Shared,
    target: &Target,
    node: SocketAddr,
    call: &str,
    behaviour: &str,
) -> Result<Response, RequestFailure> {
    let failed = RequestFailure::Failed;
    let keeps_connection = shared.settings.keeps_connections;
    let mut framed = match shared.kept.check_out(node) {
        Some(kept) => kept,
        None => connect(node).await?,
    };
    let head = request_head(target, node, call, behaviour, keeps_connection).map_err(failed)?;
    let length = shared.settings.body_length;
    let begin = Message::Item((RequestHeadType::from(head), BodySize::Sized(length as u64)));
    framed.send(begin).await.map_err(|_| RequestFailure::NotAccepted)?;
    if length > 0 {
        let body = vec![b'b'; length].into();
        framed.send(Message::Chunk(Some(body))).await.map_err(|_| RequestFailure::NotAccepted)?;
    }
    let sent_at = Instant::now();
    let ended = |reason| match keeps_connection && sent_at.elapsed() < CLOSE_RACE_SPAN {
        true => RequestFailure::NotAccepted,
        false => RequestFailure::Failed(reason),
    };
    let response = match framed.next().await {
        Some(Ok(response)) => response,
        Some(Err(_)) => return Err(ended("the connection broke, or the answer is no HTTP")),
        None => return Err(ended("no answer")),
    };
    let status = response.status;
    let reported =
        response.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let may_be_kept = keeps_connection && response.connection_type() == ConnectionType::KeepAlive;
    let mut body = BytesMut::new();
    if framed.codec_ref().message_type() != MessageType::None {
        let mut payload = framed.into_map_codec(ClientCodec::into_payload_codec);
        loop {
            match payload.next().await {
                Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Ok(None)) => break,
                Some(Err(_)) => return Err(failed("the answer is damaged")),
                None => return Err(failed("the answer was cut")),
            }
        }
        framed = payload.into_map_codec(ClientPayloadCodec::into_message_codec);
    }
    if may_be_kept {
        shared.kept.put_back(node, framed);
    }
    Ok((status, reported, body))
}

async fn connect(node: SocketAddr) -> Result<NodeConnection, RequestFailure> {
    let stream = TcpStream::connect(node).await.map_err(|_| RequestFailure::NotAccepted)?;
    let _ = stream.set_nodelay(true);
    Ok(Framed::new(stream, ClientCodec::default()))
}

fn request_head(
    target: &Target,
    node: SocketAddr,
    call: &str,
    behaviour: &str,
    keeps_connection: bool,
) -> Result<RequestHead, &'static str> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = target.path.parse().map_err(|_| "no path")?;
    head.set_connection_type(if keeps_connection {
        ConnectionType::KeepAlive
    } else {
        ConnectionType::Close
    });
    for (name, value) in
        [("host", node.to_string().as_str()), (CALL_HEADER, call), (BEHAVE_HEADER, behaviour)]
    {
        let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value))
        else {
            return Err("no header");
        };
        head.headers.insert(name, value);
    }
    Ok(head)
}

fn strip_numbers(text: &str) -> String {
    text.chars().filter(|character| !character.is_ascii_digit()).collect()
}
