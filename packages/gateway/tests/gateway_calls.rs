//! Calls through a whole gateway: a protocol scripted by the test grants permits for instances on loopback.

mod scripted_instance;

use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, Payload, Request, StatusCode, Uri};
use bytes::Bytes;
use function_scheduler::UNUSED;
use gateway::{Gateway, GatewayMessage, GatewayResponse, GatewaySettings, PermitResponse};
use peer_messages::{Address, Permit};
use scripted_instance::{
    After, Reply, ScriptedInstance, keep_alive_settings, platform_conventions, response_bytes, valid_response,
};
use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How much longer than its route's timeout a call may be held, on a machine without faults.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_millis(300);

/// What the protocol received.
#[derive(Default)]
struct Received {
    requests: usize,
    withdrawn: usize,
    returned: Vec<u8>,
}

fn routes(route_settings: &str) -> configuration_schema::Configuration {
    let document = format!(
        r#"{{"allowances": {{"all": {{"weight": 1}}}},
            "functions": {{"f": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}},
                "g": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}}}},
            {route_settings}}}"#
    );
    configuration_schema::check(&document.parse().expect("JSON")).expect("a valid configuration")
}

/// One route with a short timeout.
fn one_route(more: &str) -> configuration_schema::Configuration {
    let timeout = TIMEOUT.as_millis();
    routes(&format!(
        r#""lanes": {{"l": {{"function": "f", "path_prefix": "/", "patience_millis": {timeout}{more}}}}}"#
    ))
}

fn route_with_long_timeout() -> configuration_schema::Configuration {
    routes(r#""lanes": {"l": {"function": "f", "path_prefix": "/", "patience_millis": 30000}}"#)
}

/// A gateway whose protocol grants the first `grants` requests a permit for the instance and leaves later
/// requests unanswered.
fn gateway(
    configuration: &configuration_schema::Configuration,
    instance: SocketAddr,
    grants: usize,
) -> (Arc<Gateway>, Arc<Mutex<Received>>) {
    let (protocol_sender, mut messages) = mpsc::channel(64);
    let settings = GatewaySettings {
        dispatch: keep_alive_settings(platform_conventions()),
        ..GatewaySettings::default()
    };
    let gateway = Gateway::new(settings, protocol_sender);
    gateway.set_configuration(1, configuration);
    let received = Arc::new(Mutex::new(Received::default()));
    let protocol_received = received.clone();
    actix_rt::spawn(async move {
        // Unanswered requests are held: dropping the reply sender would count as a response.
        let mut unanswered = Vec::new();
        while let Some(message) = messages.recv().await {
            let mut received = protocol_received.lock().expect("the mutex is not poisoned");
            match message {
                GatewayMessage::RequestPermit { reply, parameters, .. } => {
                    received.requests += 1;
                    if received.requests > grants {
                        unanswered.push(reply);
                        continue;
                    }
                    let permit = Permit {
                        id: received.requests as u64,
                        granted_by: 1,
                        leader_epoch: 1,
                        function: parameters.function.as_str().into(),
                        instance: "c".into(),
                        address: Address::from(instance),
                    };
                    let _ = reply.send(PermitResponse::Granted(permit));
                }
                GatewayMessage::End { .. } => received.withdrawn += 1,
                GatewayMessage::Done { outcome, .. } => received.returned.push(outcome),
            }
        }
    });
    (Arc::new(gateway), received)
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

async fn body_of(response: GatewayResponse) -> Result<Bytes, String> {
    actix_http::body::to_bytes(response.into_body()).await.map_err(|failure| failure.to_string())
}

fn closed_port() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("a bound socket")
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// The response to a call, which must arrive when the timeout expires and not much later.
async fn held_until_timeout(gateway: Arc<Gateway>, request: Request) -> GatewayResponse {
    let began = Instant::now();
    let response = gateway.call(request).await;
    let held = began.elapsed();
    assert!(held >= TIMEOUT - Duration::from_millis(20), "{held:?}");
    assert!(held < TIMEOUT + TIMEOUT_MARGIN, "{held:?}");
    response
}

#[test]
fn a_call_that_waits_for_a_permit_is_refused_when_its_timeout_expires() {
    run(async {
        let (gateway, received) = gateway(&one_route(""), closed_port(), 0);
        let response = held_until_timeout(gateway, request(b"x")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(header::RETRY_AFTER));
        actix_rt::task::yield_now().await;
        let received = received.lock().expect("the mutex is not poisoned");
        assert_eq!((received.requests, received.withdrawn), (1, 1));
    });
}

#[test]
fn a_call_that_names_a_shorter_timeout_is_held_no_longer() {
    run(async {
        let (gateway, _) = gateway(&route_with_long_timeout(), closed_port(), 0);
        let mut request = request(b"x");
        let name = HeaderName::from_static("x-vanelane-time-left-ms");
        request.headers_mut().insert(name, HeaderValue::from_str(&TIMEOUT.as_millis().to_string()).unwrap());
        let response = held_until_timeout(gateway, request).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_body_that_does_not_arrive_is_refused_when_the_timeout_expires() {
    run(async {
        let (gateway, received) = gateway(&one_route(""), closed_port(), 1);
        let (_sender, payload) = actix_http::h1::Payload::create(false);
        let request = request(b"").replace_payload(Payload::from(payload)).0;
        let response = held_until_timeout(gateway, request).await;
        assert_eq!(response.status(), StatusCode::REQUEST_TIMEOUT);
        assert_eq!(
            received.lock().expect("the mutex is not poisoned").requests,
            0,
            "no permit is requested before the body is whole"
        );
    });
}

#[test]
fn a_silent_instance_ends_with_a_timeout_of_unknown_outcome_when_the_timeout_expires() {
    run(async {
        let instance = ScriptedInstance::start(|_, _| Reply { bytes: Vec::new(), after: After::Silence });
        for more in ["", r#", "repeatable": true"#] {
            let (gateway, _) = gateway(&one_route(more), instance.address, 1);
            let response = held_until_timeout(gateway, request(b"x")).await;
            assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
            assert!(!response.headers().contains_key(header::RETRY_AFTER));
        }
    });
}

#[test]
fn a_repeatable_call_that_waits_for_its_second_permit_ends_with_a_timeout() {
    run(async {
        let instance = ScriptedInstance::start(|_, _| Reply { bytes: Vec::new(), after: After::Reset });
        let (gateway, received) = gateway(&one_route(r#", "repeatable": true"#), instance.address, 1);
        let response = held_until_timeout(gateway, request(b"x")).await;
        assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(received.lock().expect("the mutex is not poisoned").requests, 2);
    });
}

#[test]
fn a_call_whose_instance_cannot_be_reached_is_refused_as_not_run() {
    run(async {
        let (gateway, received) = gateway(&one_route(""), closed_port(), 1);
        let response = held_until_timeout(gateway, request(b"x")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(header::RETRY_AFTER));
        assert_eq!(received.lock().expect("the mutex is not poisoned").requests, 2);
    });
}

#[test]
fn a_long_response_is_cut_when_the_timeout_expires_and_never_ends_cleanly() {
    run(async {
        let instance = ScriptedInstance::start(|_, _| {
            let mut bytes = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 900000\r\n\r\n".to_vec();
            bytes.extend(vec![b'x'; 600_000]);
            Reply { bytes, after: After::Silence }
        });
        let (gateway, _) = gateway(&one_route(""), instance.address, 1);
        let began = Instant::now();
        let response = gateway.call(request(b"x")).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.body().size(), BodySize::Sized(900_000));
        assert!(body_of(response).await.is_err());
        assert!(began.elapsed() < TIMEOUT + TIMEOUT_MARGIN, "{:?}", began.elapsed());
    });
}

#[test]
fn a_permit_that_arrives_as_its_call_ends_is_returned_unused() {
    run(async {
        let (gateway, received) = gateway(&route_with_long_timeout(), closed_port(), 1);
        // The call is polled until it has requested a permit, and is dropped before it reads the response.
        let mut call = Box::pin(gateway.call(request(b"x")));
        let is_pending = futures_util::poll!(call.as_mut()).is_pending();
        assert!(is_pending);
        while received.lock().expect("the mutex is not poisoned").requests == 0 {
            actix_rt::task::yield_now().await;
        }
        drop(call);
        while received.lock().expect("the mutex is not poisoned").returned.is_empty() {
            actix_rt::task::yield_now().await;
        }
        let received = received.lock().expect("the mutex is not poisoned");
        assert_eq!((received.returned.as_slice(), received.withdrawn), (&[UNUSED][..], 0));
    });
}

/// Longer than any of these tests runs.
const LONG_STOP: Duration = Duration::from_secs(30);

/// Applies a change to the gateway while a call is at its instance, and checks that the call still gets its
/// whole response.
fn response_despite(change: impl Fn(&Gateway), long: bool) -> GatewayResponse {
    let mut final_response = None;
    let system = actix_rt::System::new();
    system.block_on(async {
        let (arrived, has_arrived) = thread_channel::channel();
        let (resume, resumed) = thread_channel::channel::<()>();
        let resumed = Mutex::new(resumed);
        let instance = ScriptedInstance::start(move |_, id| {
            arrived.send(()).expect("the test waits");
            let _ = resumed.lock().expect("the mutex is not poisoned").recv();
            let body = if long { "x".repeat(600_000) } else { format!("answer to {id}") };
            Reply { bytes: response_bytes("200 OK", "request-id: a\r\n", &body), after: After::Close }
        });
        let (gateway, _) = gateway(&route_with_long_timeout(), instance.address, 1);
        let call = actix_rt::spawn(gateway.clone().call(request(b"x")));
        while has_arrived.try_recv().is_err() {
            actix_rt::task::yield_now().await;
        }
        change(&gateway);
        actix_rt::task::yield_now().await;
        resume.send(()).expect("the instance waits");
        let response = call.await.expect("the call ended");
        assert_eq!(response.status(), StatusCode::OK);
        let head = response.head().connection_type();
        let body = body_of(response).await.expect("whole");
        assert_eq!(body.len(), if long { 600_000 } else { "answer to a".len() });
        let mut seen: GatewayResponse = actix_http::Response::new(StatusCode::OK).map_into_boxed_body();
        seen.head_mut().set_connection_type(head);
        final_response = Some(seen);
    });
    final_response.expect("a response")
}

#[test]
fn a_new_configuration_cuts_no_call_that_is_at_its_instance() {
    for long in [false, true] {
        // The route is removed, leads to another function, or has a timeout shorter than the call has waited.
        response_despite(|gateway| gateway.set_configuration(2, &routes(r#""lanes": {}"#)), long);
        let other_function = r#""lanes": {"l": {"function": "g", "path_prefix": "/"}}"#;
        response_despite(|gateway| gateway.set_configuration(2, &routes(other_function)), long);
        let shorter_timeout =
            r#""lanes": {"l": {"function": "f", "path_prefix": "/", "patience_millis": 1}}"#;
        response_despite(|gateway| gateway.set_configuration(2, &routes(shorter_timeout)), long);
    }
}

#[test]
fn a_planned_stop_cuts_no_call_that_is_at_its_instance() {
    for long in [false, true] {
        let response = response_despite(|gateway| gateway.begin_stop(LONG_STOP), long);
        assert_eq!(response.head().connection_type(), ConnectionType::Close);
    }
}

#[test]
fn heads_and_bodies_over_the_configured_limits_are_refused_unread() {
    run(async {
        let limits = r#""lanes": {"l": {"function": "f", "path_prefix": "/"}},
            "visitor_limits": {"header_bytes": 300, "body_bytes": 10}"#;
        let instance =
            ScriptedInstance::start(|_, id| Reply { bytes: valid_response(id), after: After::Next });
        let (gateway, received) = gateway(&routes(limits), instance.address, 1);
        let mut long_head = request(b"");
        let value = HeaderValue::from_str(&"x".repeat(300)).expect("a valid header value");
        long_head.headers_mut().insert(HeaderName::from_static("x-long"), value);
        let response = gateway.clone().call(long_head).await;
        assert_eq!(response.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        // A body with a declared length is refused before any of it is read.
        let mut long_body = request(b"").replace_payload(Payload::None).0;
        long_body.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("11"));
        assert_eq!(gateway.clone().call(long_body).await.status(), StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(
            gateway.clone().call(request(b"eleven byte")).await.status(),
            StatusCode::PAYLOAD_TOO_LARGE
        );
        assert_eq!(received.lock().expect("the mutex is not poisoned").requests, 0);
        // A body at the limit is accepted.
        assert_eq!(gateway.call(request(b"ten bytes!")).await.status(), StatusCode::OK);
    });
}

const STOP_WITHIN: Duration = Duration::from_millis(600);

/// The response to a call on a gateway whose stop begins at once, and how long it took.
async fn response_during_stop(gateway: Arc<Gateway>, request: Request) -> (GatewayResponse, Duration) {
    let began = Instant::now();
    let call = actix_rt::spawn(gateway.clone().call(request));
    actix_rt::task::yield_now().await;
    gateway.begin_stop(STOP_WITHIN);
    let response = call.await.expect("the call ended");
    assert_eq!(gateway.open_calls(), 0);
    (response, began.elapsed())
}

#[test]
fn a_call_that_waits_for_a_permit_is_refused_halfway_through_a_stop() {
    run(async {
        let (gateway, received) = gateway(&route_with_long_timeout(), closed_port(), 0);
        let (response, took) = response_during_stop(gateway, request(b"x")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(header::RETRY_AFTER));
        assert!(took < STOP_WITHIN * 3 / 4, "{took:?}");
        actix_rt::task::yield_now().await;
        assert_eq!(received.lock().expect("the mutex is not poisoned").withdrawn, 1);
    });
}

#[test]
fn a_call_at_a_silent_instance_gets_an_unknown_outcome_before_a_stop_ends() {
    run(async {
        let instance = ScriptedInstance::start(|_, _| Reply { bytes: Vec::new(), after: After::Silence });
        for repeatable in ["", r#", "repeatable": true"#] {
            let route = format!(
                r#""lanes": {{"l": {{"function": "f", "path_prefix": "/", "patience_millis": 30000{repeatable}}}}}"#
            );
            let (gateway, received) = gateway(&routes(&route), instance.address, 1);
            let (response, took) = response_during_stop(gateway, request(b"x")).await;
            assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
            assert!(!response.headers().contains_key(header::RETRY_AFTER), "it may have run");
            assert!(took > STOP_WITHIN / 2 && took < STOP_WITHIN, "{took:?}");
            assert_eq!(
                received.lock().expect("the mutex is not poisoned").requests,
                1,
                "no second permit is requested"
            );
        }
    });
}

#[test]
fn a_body_that_does_not_arrive_is_refused_before_a_stop_ends() {
    run(async {
        let (gateway, _) = gateway(&route_with_long_timeout(), closed_port(), 0);
        let (_sender, payload) = actix_http::h1::Payload::create(false);
        let request = request(b"").replace_payload(Payload::from(payload)).0;
        let (response, took) = response_during_stop(gateway, request).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(header::RETRY_AFTER));
        assert!(took < STOP_WITHIN, "{took:?}");
    });
}

/// What an instance that never responds observed on its connections.
enum Observed {
    Request,
    /// The connection was closed.
    End,
}

/// An instance that reads requests and never responds, and what it observes.
fn silent_instance() -> (SocketAddr, thread_channel::Receiver<Observed>) {
    let (observer, observations) = thread_channel::channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || watch_connections(&listener, &observer));
    (address, observations)
}

fn watch_connections(listener: &std::net::TcpListener, observer: &thread_channel::Sender<Observed>) {
    use std::io::Read;
    let mut bytes = [0; 4096];
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else { return };
        if !matches!(stream.read(&mut bytes), Ok(count) if count > 0) {
            continue;
        }
        let _ = observer.send(Observed::Request);
        while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
        let _ = observer.send(Observed::End);
    }
}

async fn next_observed(
    observations: &thread_channel::Receiver<Observed>,
    within: Duration,
) -> Option<Observed> {
    let began = Instant::now();
    while began.elapsed() < within {
        if let Ok(observed) = observations.try_recv() {
            return Some(observed);
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    None
}

/// How soon after the client left an instance must be able to abort a repeatable call.
const ABORT_WITHIN: Duration = Duration::from_millis(400);

#[test]
fn only_a_repeatable_call_at_its_instance_is_aborted_when_its_client_leaves() {
    run(async {
        for is_repeatable in [true, false] {
            let (instance, observations) = silent_instance();
            let route = format!(
                r#""lanes": {{"l": {{"function": "f", "path_prefix": "/", "patience_millis": 30000,
                    "repeatable": {is_repeatable}}}}}"#
            );
            let (gateway, received) = gateway(&routes(&route), instance, 1);
            let call = actix_rt::spawn(gateway.clone().call(request(b"x")));
            let reached = next_observed(&observations, Duration::from_secs(5)).await;
            assert!(matches!(reached, Some(Observed::Request)));
            call.abort();
            let ended = next_observed(&observations, ABORT_WITHIN).await;
            assert_eq!(
                ended.is_some(),
                is_repeatable,
                "a call that may not run twice is left to run to its end"
            );
            assert_eq!(gateway.open_calls(), 0);
            // The slot at the instance stays occupied for a while: nothing shows whether the work stopped.
            let returned = received.lock().expect("the mutex is not poisoned").returned.clone();
            assert_eq!(returned.len(), usize::from(is_repeatable));
            assert!(!returned.contains(&UNUSED));
        }
    });
}

#[test]
fn a_call_whose_client_leaves_while_its_connection_opens_is_not_sent() {
    run(async {
        // Connections beyond the listener's accept queue hang until it accepts.
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("a listening socket");
        let address = listener.local_addr().expect("a bound socket").as_socket().expect("an IPv4 address");
        let listener = std::net::TcpListener::from(listener);
        let _first = std::net::TcpStream::connect(address).expect("the queue holds one");
        let (protocol_sender, mut messages) = mpsc::channel(64);
        let mut dispatch = keep_alive_settings(platform_conventions());
        dispatch.connect_timeout = Duration::from_secs(20);
        let gateway = Arc::new(Gateway::new(
            GatewaySettings { dispatch, ..GatewaySettings::default() },
            protocol_sender,
        ));
        gateway.set_configuration(1, &route_with_long_timeout());
        let call = actix_rt::spawn(gateway.clone().call(request(b"x")));
        let Some(GatewayMessage::RequestPermit { reply, parameters, .. }) = messages.recv().await else {
            panic!("expected a permit request")
        };
        let permit = Permit {
            id: 1,
            granted_by: 1,
            leader_epoch: 1,
            function: parameters.function.as_str().into(),
            instance: "c".into(),
            address: Address::from(address),
        };
        assert!(reply.send(PermitResponse::Granted(permit)).is_ok());
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        call.abort();
        let returned = tokio::time::timeout(ABORT_WITHIN, messages.recv()).await;
        assert!(matches!(returned, Ok(Some(GatewayMessage::Done { outcome: UNUSED, .. }))), "{returned:?}");
        // The operating system retransmits the SYN after a second: the connection may open now.
        let (observer, observations) = thread_channel::channel();
        std::thread::spawn(move || watch_connections(&listener, &observer));
        assert!(
            next_observed(&observations, Duration::from_millis(2_500)).await.is_none(),
            "the call was sent"
        );
    });
}
