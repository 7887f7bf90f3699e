//! Calls through a whole front: a protocol written by the test grants tickets for cells on loopback.

mod scripted_cell;

use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, Payload, Request, StatusCode, Uri};
use bytes::Bytes;
use function_scheduler::UNUSED;
use gateway::{Front, FrontAnswer, FrontLink, FrontSettings, TicketAnswer};
use peer_messages::{Address, Ticket};
use scripted_cell::{After, Reply, ScriptedCell, answer, keeping, platform_words, sound_answer};
use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// What a call may be held past its lane's patience at most, on a machine without trouble.
const HELD_PAST: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_millis(300);

/// What the protocol heard, and whether it answers asks.
#[derive(Default)]
struct Heard {
    asks: usize,
    withdrawn: usize,
    returned: Vec<u8>,
}

fn lanes(lane_settings: &str) -> configuration_schema::Configuration {
    let document = format!(
        r#"{{"allowances": {{"all": {{"weight": 1}}}},
            "functions": {{"f": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}},
                "g": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}}}},
            {lane_settings}}}"#
    );
    configuration_schema::check(&document.parse().expect("JSON")).expect("a checked document")
}

/// One lane, impatient.
fn one_lane(more: &str) -> configuration_schema::Configuration {
    let patience = PATIENCE.as_millis();
    lanes(&format!(
        r#""lanes": {{"l": {{"function": "f", "path_prefix": "/", "patience_millis": {patience}{more}}}}}"#
    ))
}

fn patient_lane() -> configuration_schema::Configuration {
    lanes(r#""lanes": {"l": {"function": "f", "path_prefix": "/", "patience_millis": 30000}}"#)
}

/// A front whose protocol grants the first `grants` asks a ticket for the cell, and is silent then.
fn front(
    configuration: &configuration_schema::Configuration,
    cell: SocketAddr,
    grants: usize,
) -> (Arc<Front>, Arc<Mutex<Heard>>) {
    let (link, mut links) = mpsc::channel(64);
    let settings = FrontSettings { dispatch: keeping(platform_words()), ..FrontSettings::default() };
    let front = Front::new(settings, link);
    front.take_configuration(1, configuration);
    let heard = Arc::new(Mutex::new(Heard::default()));
    let hearing = heard.clone();
    actix_rt::spawn(async move {
        // Asks that are not answered are held: a reply that is dropped would be an answer.
        let mut unanswered = Vec::new();
        while let Some(said) = links.recv().await {
            let mut heard = hearing.lock().expect("no test broke");
            match said {
                FrontLink::Ask { reply, wish, .. } => {
                    heard.asks += 1;
                    if heard.asks > grants {
                        unanswered.push(reply);
                        continue;
                    }
                    let ticket = Ticket {
                        id: heard.asks as u64,
                        granted_by: 1,
                        steward_epoch: 1,
                        function: wish.function.as_str().into(),
                        cell: "c".into(),
                        address: Address::from(cell),
                    };
                    let _ = reply.send(TicketAnswer::Granted(ticket));
                }
                FrontLink::End { .. } => heard.withdrawn += 1,
                FrontLink::Done { how, .. } => heard.returned.push(how),
            }
        }
    });
    (Arc::new(front), heard)
}

fn request(body: &'static [u8]) -> Request {
    let mut request = Request::with_payload(Payload::from(Bytes::from_static(body)));
    request.head_mut().method = Method::POST;
    request.head_mut().uri = Uri::from_static("/x");
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("here"));
    headers.insert(HeaderName::from_static("request-id"), HeaderValue::from_static("a"));
    request
}

async fn body_of(answer: FrontAnswer) -> Result<Bytes, String> {
    actix_http::body::to_bytes(answer.into_body()).await.map_err(|failure| failure.to_string())
}

fn nowhere() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// The answer's status, which comes when the patience is over and not much later.
async fn held_for_the_patience(front: Arc<Front>, request: Request) -> FrontAnswer {
    let began = Instant::now();
    let answer = front.call(request).await;
    let held = began.elapsed();
    assert!(held >= PATIENCE - Duration::from_millis(20), "{held:?}");
    assert!(held < PATIENCE + HELD_PAST, "{held:?}");
    answer
}

#[test]
fn a_call_that_waits_for_a_ticket_is_refused_when_its_patience_is_over() {
    run(async {
        let (front, heard) = front(&one_lane(""), nowhere(), 0);
        let answer = held_for_the_patience(front, request(b"x")).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key(header::RETRY_AFTER));
        actix_rt::task::yield_now().await;
        let heard = heard.lock().expect("no test broke");
        assert_eq!((heard.asks, heard.withdrawn), (1, 1));
    });
}

#[test]
fn a_call_that_names_less_time_is_held_no_longer_than_that() {
    run(async {
        let (front, _) = front(&patient_lane(), nowhere(), 0);
        let mut request = request(b"x");
        let name = HeaderName::from_static("x-vanelane-time-left-ms");
        request.headers_mut().insert(name, HeaderValue::from_str(&PATIENCE.as_millis().to_string()).unwrap());
        let answer = held_for_the_patience(front, request).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_body_that_does_not_come_is_refused_when_the_patience_is_over() {
    run(async {
        let (front, heard) = front(&one_lane(""), nowhere(), 1);
        let (_sender, payload) = actix_http::h1::Payload::create(false);
        let request = request(b"").replace_payload(Payload::from(payload)).0;
        let answer = held_for_the_patience(front, request).await;
        assert_eq!(answer.status(), StatusCode::REQUEST_TIMEOUT);
        assert_eq!(heard.lock().expect("no test broke").asks, 0, "no ticket is asked for half a call");
    });
}

#[test]
fn a_silent_cell_ends_with_a_timeout_of_unknown_fate_when_the_patience_is_over() {
    run(async {
        let cell = ScriptedCell::start(|_, _| Reply { bytes: Vec::new(), after: After::Silence });
        for more in ["", r#", "repeatable": true"#] {
            let (front, _) = front(&one_lane(more), cell.address, 1);
            let answer = held_for_the_patience(front, request(b"x")).await;
            assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
            assert!(!answer.headers().contains_key(header::RETRY_AFTER));
        }
    });
}

#[test]
fn a_repeatable_call_that_waits_for_its_second_ticket_ends_with_a_timeout() {
    run(async {
        let cell = ScriptedCell::start(|_, _| Reply { bytes: Vec::new(), after: After::Reset });
        let (front, heard) = front(&one_lane(r#", "repeatable": true"#), cell.address, 1);
        let answer = held_for_the_patience(front, request(b"x")).await;
        assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(heard.lock().expect("no test broke").asks, 2);
    });
}

#[test]
fn a_cell_that_cannot_be_reached_is_no_unknown_fate() {
    run(async {
        let (front, heard) = front(&one_lane(""), nowhere(), 1);
        let answer = held_for_the_patience(front, request(b"x")).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key(header::RETRY_AFTER));
        assert_eq!(heard.lock().expect("no test broke").asks, 2);
    });
}

#[test]
fn a_long_answer_is_cut_when_the_patience_is_over_and_never_ends_cleanly() {
    run(async {
        let cell = ScriptedCell::start(|_, _| {
            let mut bytes = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 900000\r\n\r\n".to_vec();
            bytes.extend(vec![b'x'; 600_000]);
            Reply { bytes, after: After::Silence }
        });
        let (front, _) = front(&one_lane(""), cell.address, 1);
        let began = Instant::now();
        let answer = front.call(request(b"x")).await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body().size(), BodySize::Sized(900_000));
        assert!(body_of(answer).await.is_err());
        assert!(began.elapsed() < PATIENCE + HELD_PAST, "{:?}", began.elapsed());
    });
}

#[test]
fn a_ticket_that_comes_as_its_call_ends_is_returned_unused() {
    run(async {
        let (front, heard) = front(&patient_lane(), nowhere(), 1);
        // The call runs until it asked and is dropped before it looks at the answer.
        let mut call = Box::pin(front.call(request(b"x")));
        let is_pending = futures_util::poll!(call.as_mut()).is_pending();
        assert!(is_pending);
        while heard.lock().expect("no test broke").asks == 0 {
            actix_rt::task::yield_now().await;
        }
        drop(call);
        while heard.lock().expect("no test broke").returned.is_empty() {
            actix_rt::task::yield_now().await;
        }
        let heard = heard.lock().expect("no test broke");
        assert_eq!((heard.returned.as_slice(), heard.withdrawn), (&[UNUSED][..], 0));
    });
}

/// Longer than any of these tests takes.
const LONG_STOP: Duration = Duration::from_secs(30);

/// A call is at its cell when something is done to the front; it gets its whole answer all the same.
fn answered_across(disturbance: impl Fn(&Front), long: bool) -> FrontAnswer {
    let mut taken = None;
    let system = actix_rt::System::new();
    system.block_on(async {
        let (arrived, has_arrived) = thread_channel::channel();
        let (go_on, goes_on) = thread_channel::channel::<()>();
        let goes_on = Mutex::new(goes_on);
        let cell = ScriptedCell::start(move |_, id| {
            arrived.send(()).expect("the test waits");
            let _ = goes_on.lock().expect("no test broke").recv();
            let body = if long { "x".repeat(600_000) } else { format!("answer to {id}") };
            Reply { bytes: answer("200 OK", "request-id: a\r\n", &body), after: After::Close }
        });
        let (front, _) = front(&patient_lane(), cell.address, 1);
        let call = actix_rt::spawn(front.clone().call(request(b"x")));
        while has_arrived.try_recv().is_err() {
            actix_rt::task::yield_now().await;
        }
        disturbance(&front);
        actix_rt::task::yield_now().await;
        go_on.send(()).expect("the cell waits");
        let answer = call.await.expect("the call ended");
        assert_eq!(answer.status(), StatusCode::OK);
        let head = answer.head().connection_type();
        let body = body_of(answer).await.expect("whole");
        assert_eq!(body.len(), if long { 600_000 } else { "answer to a".len() });
        let mut seen: FrontAnswer = actix_http::Response::new(StatusCode::OK).map_into_boxed_body();
        seen.head_mut().set_connection_type(head);
        taken = Some(seen);
    });
    taken.expect("an answer")
}

#[test]
fn a_new_configuration_cuts_no_call_that_is_at_its_cell() {
    for long in [false, true] {
        // The lane is gone, leads elsewhere, or is less patient than the call has waited.
        answered_across(|front| front.take_configuration(2, &lanes(r#""lanes": {}"#)), long);
        let elsewhere = r#""lanes": {"l": {"function": "g", "path_prefix": "/"}}"#;
        answered_across(|front| front.take_configuration(2, &lanes(elsewhere)), long);
        let impatient = r#""lanes": {"l": {"function": "f", "path_prefix": "/", "patience_millis": 1}}"#;
        answered_across(|front| front.take_configuration(2, &lanes(impatient)), long);
    }
}

#[test]
fn a_planned_stop_cuts_no_call_that_is_at_its_cell() {
    for long in [false, true] {
        let answer = answered_across(|front| front.begin_stop(LONG_STOP), long);
        assert_eq!(answer.head().connection_type(), ConnectionType::Close);
    }
}

#[test]
fn heads_and_bodies_over_the_configurations_limits_are_refused_unread() {
    run(async {
        let limits = r#""lanes": {"l": {"function": "f", "path_prefix": "/"}},
            "visitor_limits": {"header_bytes": 300, "body_bytes": 10}"#;
        let cell = ScriptedCell::start(|_, id| Reply { bytes: sound_answer(id), after: After::Next });
        let (front, heard) = front(&lanes(limits), cell.address, 1);
        let mut long_head = request(b"");
        let value = HeaderValue::from_str(&"x".repeat(300)).expect("a value");
        long_head.headers_mut().insert(HeaderName::from_static("x-long"), value);
        let answer = front.clone().call(long_head).await;
        assert_eq!(answer.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        // A body that tells its length is refused before any of it is read.
        let mut long_body = request(b"").replace_payload(Payload::None).0;
        long_body.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("11"));
        assert_eq!(front.clone().call(long_body).await.status(), StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(front.clone().call(request(b"eleven byte")).await.status(), StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(heard.lock().expect("no test broke").asks, 0);
        // At the limit it passes.
        assert_eq!(front.call(request(b"ten bytes!")).await.status(), StatusCode::OK);
    });
}

const STOP_WITHIN: Duration = Duration::from_millis(600);

/// The answer to a call on a front whose stop begins at once, and how long it took.
async fn answered_in_a_stop(front: Arc<Front>, request: Request) -> (FrontAnswer, Duration) {
    let began = Instant::now();
    let call = actix_rt::spawn(front.clone().call(request));
    actix_rt::task::yield_now().await;
    front.begin_stop(STOP_WITHIN);
    let answer = call.await.expect("the call ended");
    assert_eq!(front.open_calls(), 0);
    (answer, began.elapsed())
}

#[test]
fn a_call_that_waits_for_a_ticket_is_refused_halfway_through_a_stop() {
    run(async {
        let (front, heard) = front(&patient_lane(), nowhere(), 0);
        let (answer, took) = answered_in_a_stop(front, request(b"x")).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key(header::RETRY_AFTER));
        assert!(took < STOP_WITHIN * 3 / 4, "{took:?}");
        actix_rt::task::yield_now().await;
        assert_eq!(heard.lock().expect("no test broke").withdrawn, 1);
    });
}

#[test]
fn a_call_at_a_silent_cell_is_told_its_unknown_fate_before_a_stop_ends() {
    run(async {
        let cell = ScriptedCell::start(|_, _| Reply { bytes: Vec::new(), after: After::Silence });
        for repeatable in ["", r#", "repeatable": true"#] {
            let lane = format!(
                r#""lanes": {{"l": {{"function": "f", "path_prefix": "/", "patience_millis": 30000{repeatable}}}}}"#
            );
            let (front, heard) = front(&lanes(&lane), cell.address, 1);
            let (answer, took) = answered_in_a_stop(front, request(b"x")).await;
            assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
            assert!(!answer.headers().contains_key(header::RETRY_AFTER), "it may have run");
            assert!(took > STOP_WITHIN / 2 && took < STOP_WITHIN, "{took:?}");
            assert_eq!(heard.lock().expect("no test broke").asks, 1, "no second cell is asked for");
        }
    });
}

#[test]
fn a_body_that_does_not_come_is_refused_before_a_stop_ends() {
    run(async {
        let (front, _) = front(&patient_lane(), nowhere(), 0);
        let (_sender, payload) = actix_http::h1::Payload::create(false);
        let request = request(b"").replace_payload(Payload::from(payload)).0;
        let (answer, took) = answered_in_a_stop(front, request).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key(header::RETRY_AFTER));
        assert!(took < STOP_WITHIN, "{took:?}");
    });
}

/// What a cell that never answers saw of its connections.
enum CellSaw {
    Request,
    /// The connection ended.
    End,
}

/// A cell that reads requests and never answers, and what it sees.
fn watching_cell() -> (SocketAddr, thread_channel::Receiver<CellSaw>) {
    let (seen, sees) = thread_channel::channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || watch_connections(&listener, &seen));
    (address, sees)
}

fn watch_connections(listener: &std::net::TcpListener, seen: &thread_channel::Sender<CellSaw>) {
    use std::io::Read;
    let mut bytes = [0; 4096];
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else { return };
        if !matches!(stream.read(&mut bytes), Ok(count) if count > 0) {
            continue;
        }
        let _ = seen.send(CellSaw::Request);
        while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
        let _ = seen.send(CellSaw::End);
    }
}

async fn next_seen(sees: &thread_channel::Receiver<CellSaw>, within: Duration) -> Option<CellSaw> {
    let began = Instant::now();
    while began.elapsed() < within {
        if let Ok(seen) = sees.try_recv() {
            return Some(seen);
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    None
}

/// A cell is to stop its work soon after the client left, if the call may be repeated.
const ENDS_WITH_ITS_CLIENT: Duration = Duration::from_millis(400);

#[test]
fn a_repeatable_call_at_its_cell_ends_with_its_client() {
    run(async {
        for is_repeatable in [true, false] {
            let (cell, sees) = watching_cell();
            let lane = format!(
                r#""lanes": {{"l": {{"function": "f", "path_prefix": "/", "patience_millis": 30000,
                    "repeatable": {is_repeatable}}}}}"#
            );
            let (front, heard) = front(&lanes(&lane), cell, 1);
            let call = actix_rt::spawn(front.clone().call(request(b"x")));
            let reached = next_seen(&sees, Duration::from_secs(5)).await;
            assert!(matches!(reached, Some(CellSaw::Request)));
            call.abort();
            let ended = next_seen(&sees, ENDS_WITH_ITS_CLIENT).await;
            assert_eq!(ended.is_some(), is_repeatable, "one that may not run twice is left to its end");
            assert_eq!(front.open_calls(), 0);
            // The place at the cell counts as taken for a while: nothing tells whether it stopped.
            let returned = heard.lock().expect("no test broke").returned.clone();
            assert_eq!(returned.len(), usize::from(is_repeatable));
            assert!(!returned.contains(&UNUSED));
        }
    });
}
#[test]
fn a_call_whose_client_leaves_while_its_connection_comes_up_is_not_sent() {
    run(async {
        // Connections beyond the listener's queue hang until it accepts.
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        listener.listen(0).expect("listening");
        let address = listener.local_addr().expect("bound").as_socket().expect("IPv4");
        let listener = std::net::TcpListener::from(listener);
        let _first = std::net::TcpStream::connect(address).expect("the queue takes one");
        let (link, mut links) = mpsc::channel(64);
        let mut dispatch = keeping(platform_words());
        dispatch.connect_within = Duration::from_secs(20);
        let front = Arc::new(Front::new(FrontSettings { dispatch, ..FrontSettings::default() }, link));
        front.take_configuration(1, &patient_lane());
        let call = actix_rt::spawn(front.clone().call(request(b"x")));
        let Some(FrontLink::Ask { reply, wish, .. }) = links.recv().await else { panic!("no ask") };
        let ticket = Ticket {
            id: 1,
            granted_by: 1,
            steward_epoch: 1,
            function: wish.function.as_str().into(),
            cell: "c".into(),
            address: Address::from(address),
        };
        assert!(reply.send(TicketAnswer::Granted(ticket)).is_ok());
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        call.abort();
        let returned = tokio::time::timeout(ENDS_WITH_ITS_CLIENT, links.recv()).await;
        assert!(matches!(returned, Ok(Some(FrontLink::Done { how: UNUSED, .. }))), "{returned:?}");
        // The system sends the opening packet again after a second: the connection may come up now.
        let (seen, sees) = thread_channel::channel();
        std::thread::spawn(move || watch_connections(&listener, &seen));
        assert!(next_seen(&sees, Duration::from_millis(2_500)).await.is_none(), "it was sent");
    });
}
