//! Client disconnects on real sockets: at each stage of a call and by each way to end a connection.

use super::*;
use crate::local_server::{LocalServer, serve};
use gateway::{Gateway, GatewayMessage, GatewaySettings, PermitResponse};
use peer_messages::{Address, Permit};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// A call must end within this time after its client disconnects, and must not reach an instance later.
const CALL_END_LIMIT: Duration = Duration::from_millis(500);
/// Time from the request to the disconnect, by which each stage is reached.
const STAGE_DELAY: Duration = Duration::from_millis(150);
/// The complete request of a call, as counted by each instance.
const REQUEST: &[u8] = b"POST /again/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";

/// The stage of a call at which its client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Half of the body has arrived.
    HalfOfBodyReceived,
    /// No permit has arrived yet.
    AwaitsPermit,
    /// The instance of the first permit refused the connection.
    AwaitsPermitAfterRefusedConnection,
    /// The instance of the first permit refused the call as busy.
    AwaitsPermitAfterBusyRefusal,
    /// The instance of the first permit closed the connection without a response.
    AwaitsPermitAfterBrokenInstance,
    /// A newer generation routes the call to another function.
    AwaitsPermitAfterReroute,
    /// The connection to the instance is never established.
    Connecting,
    /// The call is the second on its connection.
    SecondCallOnConnection,
}

const STAGES: [Stage; 8] = [
    Stage::HalfOfBodyReceived,
    Stage::AwaitsPermit,
    Stage::AwaitsPermitAfterRefusedConnection,
    Stage::AwaitsPermitAfterBusyRefusal,
    Stage::AwaitsPermitAfterBrokenInstance,
    Stage::AwaitsPermitAfterReroute,
    Stage::Connecting,
    Stage::SecondCallOnConnection,
];

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisconnectKind {
    /// Orderly close.
    Closed,
    /// Reset, as when the client's machine is lost.
    Reset,
    /// The client closes its sending side and could still read.
    HalfClosed,
    /// Close after the first half of another request.
    ClosedAfterPartialRequest,
    /// Close after another complete request.
    ClosedAfterRequest,
    /// Reset after another complete request.
    ResetAfterRequest,
    /// Close after more bytes than the buffers of a connection hold.
    ClosedAfterLongRequest,
}

const DISCONNECT_KINDS: [DisconnectKind; 7] = [
    DisconnectKind::Closed,
    DisconnectKind::Reset,
    DisconnectKind::HalfClosed,
    DisconnectKind::ClosedAfterPartialRequest,
    DisconnectKind::ClosedAfterRequest,
    DisconnectKind::ResetAfterRequest,
    DisconnectKind::ClosedAfterLongRequest,
];

fn configuration(function: &str) -> configuration_schema::Configuration {
    let document = format!(
        r#"{{"allowances": {{"all": {{"weight": 1}}}},
            "functions": {{"f": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}},
                "g": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}}}},
            "lanes": {{"l": {{"function": "{function}", "path_prefix": "/", "repeatable": true,
                "patience_millis": 30000}}}}}}"#
    );
    configuration_schema::check(&document.parse().expect("JSON")).expect("a checked document")
}

/// An instance that sends this response to each request, and its count of requests.
async fn instance(response: &'static [u8]) -> (SocketAddr, Rc<RefCell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let requests = Rc::new(RefCell::new(0));
    let seen = requests.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let seen = seen.clone();
            actix_rt::spawn(async move {
                let mut buffer = vec![0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    *seen.borrow_mut() += 1;
                    if response.is_empty() || stream.write_all(response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, requests)
}

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BUSY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-vanelane-outcome: not_run\r\ncontent-length: 0\r\n\r\n";
const NO_RESPONSE: &[u8] = b"";

/// An address on which no further connection is established: its backlog is full.
async fn unconnectable() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(0).expect("listening");
    let address = listener.local_addr().expect("bound");
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        waiting.push(stream);
    }
    (address, waiting, listener)
}

/// A server with its gateway, and the gateway's messages to the node.
async fn start_server() -> (SocketAddr, Arc<Gateway>, mpsc::Receiver<GatewayMessage>, watch::Sender<bool>) {
    let (link, links) = mpsc::channel(64);
    let gateway = Arc::new(Gateway::new(GatewaySettings::default(), link));
    gateway.set_configuration(1, &configuration("f"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (closing, is_closing) = watch::channel(false);
    let call_gateway = gateway.clone();
    actix_rt::spawn(serve(LocalServer {
        listener: Rc::new(listener),
        request_handler: Rc::new(move |request| Box::pin(call_gateway.clone().call(request))),
        timeouts: Rc::new(|| ClientTimeouts {
            idle: Duration::from_secs(15),
            header_wait: Duration::from_secs(3),
            linger: Duration::from_millis(200),
        }),
        connection_limit: 10,
        open_connections: OpenConnections::default(),
        closing: is_closing,
    }));
    (address, gateway, links, closing)
}

fn permit(number: u64, function: &str, instance: SocketAddr) -> PermitResponse {
    PermitResponse::Granted(Permit {
        id: number,
        granted_by: 1,
        leader_epoch: 1,
        function: function.into(),
        instance: format!("cell at {instance}").as_str().into(),
        address: Address::from(instance),
    })
}

/// The function of the next permit request, and the channel for its response.
async fn next_permit_request(
    links: &mut mpsc::Receiver<GatewayMessage>,
) -> (String, tokio::sync::oneshot::Sender<PermitResponse>) {
    loop {
        if let GatewayMessage::RequestPermit { parameters, reply, .. } =
            links.recv().await.expect("the gateway is running")
        {
            return (parameters.function, reply);
        }
    }
}

async fn disconnect(mut client: TcpStream, kind: DisconnectKind) -> Option<TcpStream> {
    let mut long_request = b"POST /again/2 HTTP/1.1\r\nhost: h\r\ncontent-length: 900000\r\n\r\n".to_vec();
    long_request.resize(900_000, b'x');
    match kind {
        DisconnectKind::ClosedAfterPartialRequest => {
            client.write_all(&REQUEST[..REQUEST.len() / 2]).await.expect("sent")
        }
        DisconnectKind::ClosedAfterRequest | DisconnectKind::ResetAfterRequest => {
            client.write_all(REQUEST).await.expect("sent");
        }
        // Bytes that the node does not read stay in the socket buffers.
        DisconnectKind::ClosedAfterLongRequest => {
            let sending = client.write_all(&long_request);
            let _ = tokio::time::timeout(Duration::from_millis(300), sending).await;
        }
        DisconnectKind::Closed | DisconnectKind::Reset | DisconnectKind::HalfClosed => {}
    }
    match kind {
        DisconnectKind::Reset | DisconnectKind::ResetAfterRequest => {
            client.set_zero_linger().expect("a socket option")
        }
        DisconnectKind::HalfClosed => {
            client.shutdown().await.expect("closed for sending");
            return Some(client);
        }
        _ => {}
    }
    None
}

/// Runs one case. Returns the failure, if any.
async fn run_case(stage: Stage, kind: DisconnectKind) -> Result<(), String> {
    let (address, gateway, mut links, _closing) = start_server().await;
    let (healthy, healthy_requests) = instance(OK_RESPONSE).await;
    let (refusing_busy, _) = instance(BUSY_RESPONSE).await;
    let (silent, _) = instance(NO_RESPONSE).await;
    let refusing = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
    let (unconnectable, _waiting, _listener) = unconnectable().await;
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let sent_bytes = if stage == Stage::HalfOfBodyReceived { REQUEST.len() - 2 } else { REQUEST.len() };
    client.write_all(&REQUEST[..sent_bytes]).await.expect("sent");
    let mut reply = None;
    if stage != Stage::HalfOfBodyReceived {
        let (function, first_reply) = next_permit_request(&mut links).await;
        let first_instance = match stage {
            Stage::AwaitsPermitAfterRefusedConnection => Some(refusing),
            Stage::AwaitsPermitAfterBusyRefusal => Some(refusing_busy),
            Stage::AwaitsPermitAfterBrokenInstance => Some(silent),
            Stage::Connecting => Some(unconnectable),
            Stage::AwaitsPermitAfterReroute | Stage::SecondCallOnConnection => Some(healthy),
            Stage::HalfOfBodyReceived | Stage::AwaitsPermit => None,
        };
        if stage == Stage::AwaitsPermitAfterReroute {
            gateway.set_configuration(2, &configuration("g"));
        }
        match first_instance {
            None => reply = Some((function, first_reply)),
            Some(instance) => drop(first_reply.send(permit(1, &function, instance))),
        }
        if stage == Stage::SecondCallOnConnection {
            let mut response = vec![0; 4096];
            let count = client.read(&mut response).await.expect("a response");
            assert!(response[..count].starts_with(b"HTTP/1.1 200"));
            client.write_all(REQUEST).await.expect("sent");
        }
        if first_instance.is_some() && stage != Stage::Connecting {
            reply = Some(next_permit_request(&mut links).await);
        }
    }
    let before = *healthy_requests.borrow();
    sleep(STAGE_DELAY).await;
    if gateway.open_calls() != 1 {
        return Err(format!("{} calls are open before the disconnect", gateway.open_calls()));
    }
    let half_closed = disconnect(client, kind).await;
    let disconnected_at = Instant::now();
    while gateway.open_calls() > 0 && disconnected_at.elapsed() < CALL_END_LIMIT {
        sleep(Duration::from_millis(5)).await;
    }
    let open_calls = gateway.open_calls();
    // A permit that arrives now must not be used.
    if let Some((function, reply)) = reply {
        let _ = reply.send(permit(2, &function, healthy));
    }
    sleep(STAGE_DELAY).await;
    drop(half_closed);
    match (open_calls, *healthy_requests.borrow() - before) {
        (0, 0) => Ok(()),
        (open_calls, sent) => {
            Err(format!("{open_calls} calls open after {CALL_END_LIMIT:?}, {sent} sent to an instance"))
        }
    }
}

/// Guards against calls that continue without their client (GONE): at whatever stage and in whatever way a
/// client disconnects, the call ends within half a second and is not sent to an instance.
#[test]
fn call_ends_after_a_disconnect_at_every_stage_and_of_every_kind() {
    let failed: Vec<String> = STAGES
        .iter()
        .flat_map(|stage| DISCONNECT_KINDS.iter().map(move |kind| (*stage, *kind)))
        .filter_map(|(stage, kind)| {
            let result = actix_rt::System::new().block_on(run_case(stage, kind));
            result.err().map(|seen| format!("{stage:?}, {kind:?}: {seen}"))
        })
        .collect();
    assert_eq!(failed, Vec::<String>::new(), "of {} cases", STAGES.len() * DISCONNECT_KINDS.len());
}
