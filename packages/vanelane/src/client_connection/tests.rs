//! Clients that leave, on real sockets: at each stage of a call, by each way to end a connection.

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

/// A call ends with its client within this, and nothing reaches a cell later.
const ENDS_WITHIN: Duration = Duration::from_millis(500);
/// From the request to the end of its client: each stage is reached by then.
const STAGE_REACHED: Duration = Duration::from_millis(150);
/// The whole request of a call, which each cell counts.
const REQUEST: &[u8] = b"POST /again/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";

/// Where a call is when its client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Half of its body has come.
    BodyHalfRead,
    /// No ticket has come yet.
    AwaitsPermit,
    /// The cell of its first ticket refused the connection: it waits for the second.
    AwaitsPermitAfterRefusedConnection,
    /// The cell of its first ticket turned it away.
    AwaitsPermitAfterBusyRefusal,
    /// The cell of its first ticket broke off.
    AwaitsPermitAfterBrokenInstance,
    /// A newer generation sends it to another function.
    AwaitsPermitMatchedAgain,
    /// The connection to its cell does not come up.
    Connecting,
    /// It is the second on its connection.
    SecondOnItsConnection,
}

const STAGES: [Stage; 8] = [
    Stage::BodyHalfRead,
    Stage::AwaitsPermit,
    Stage::AwaitsPermitAfterRefusedConnection,
    Stage::AwaitsPermitAfterBusyRefusal,
    Stage::AwaitsPermitAfterBrokenInstance,
    Stage::AwaitsPermitMatchedAgain,
    Stage::Connecting,
    Stage::SecondOnItsConnection,
];

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// It closes in order.
    Closed,
    /// Its connection is reset, as when its machine is lost.
    Reset,
    /// It ends its own stream, and could still read.
    HalfClosed,
    /// The beginning of another request comes before the end.
    ClosedBehindHalfARequest,
    /// Another whole request comes before the end.
    ClosedBehindARequest,
    /// The same, and then a reset.
    ResetBehindARequest,
    /// More bytes come before the end than a connection holds.
    ClosedBehindALongRequest,
}

const ENDS: [End; 7] = [
    End::Closed,
    End::Reset,
    End::HalfClosed,
    End::ClosedBehindHalfARequest,
    End::ClosedBehindARequest,
    End::ResetBehindARequest,
    End::ClosedBehindALongRequest,
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

/// A cell that answers with these bytes, and how many requests it got.
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

const SOUND: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REFUSED_BUSY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-vanelane-outcome: not_run\r\ncontent-length: 0\r\n\r\n";
const BROKEN_OFF: &[u8] = b"";

/// An address on which connections do not come up: as many wait there as it takes.
async fn unanswering() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
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

/// A server with its front, and the front's asks.
async fn served() -> (SocketAddr, Arc<Gateway>, mpsc::Receiver<GatewayMessage>, watch::Sender<bool>) {
    let (link, links) = mpsc::channel(64);
    let gateway = Arc::new(Gateway::new(GatewaySettings::default(), link));
    gateway.set_configuration(1, &configuration("f"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (closing, is_closing) = watch::channel(false);
    let called = gateway.clone();
    actix_rt::spawn(serve(LocalServer {
        listener: Rc::new(listener),
        answering: Rc::new(move |request| Box::pin(called.clone().call(request))),
        timeouts: Rc::new(|| ClientTimeouts {
            idle: Duration::from_secs(15),
            header_wait: Duration::from_secs(3),
            linger: Duration::from_millis(200),
        }),
        connections_limit: 10,
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

/// The next ask of a call, with where its ticket goes.
async fn next_request_id(
    links: &mut mpsc::Receiver<GatewayMessage>,
) -> (String, tokio::sync::oneshot::Sender<PermitResponse>) {
    loop {
        if let GatewayMessage::RequestPermit { parameters, reply, .. } =
            links.recv().await.expect("the front lives")
        {
            return (parameters.function, reply);
        }
    }
}

async fn disconnect(mut client: TcpStream, end: End) -> Option<TcpStream> {
    let mut long_request = b"POST /again/2 HTTP/1.1\r\nhost: h\r\ncontent-length: 900000\r\n\r\n".to_vec();
    long_request.resize(900_000, b'x');
    match end {
        End::ClosedBehindHalfARequest => client.write_all(&REQUEST[..REQUEST.len() / 2]).await.expect("sent"),
        End::ClosedBehindARequest | End::ResetBehindARequest => {
            client.write_all(REQUEST).await.expect("sent");
        }
        // What the node does not take waits in the sockets.
        End::ClosedBehindALongRequest => {
            let sending = client.write_all(&long_request);
            let _ = tokio::time::timeout(Duration::from_millis(300), sending).await;
        }
        End::Closed | End::Reset | End::HalfClosed => {}
    }
    match end {
        End::Reset | End::ResetBehindARequest => client.set_zero_linger().expect("a socket option"),
        End::HalfClosed => {
            client.shutdown().await.expect("its own stream ends");
            return Some(client);
        }
        _ => {}
    }
    None
}

/// Plays one client that leaves; what was wrong, if anything was.
async fn play(stage: Stage, end: End) -> Result<(), String> {
    let (address, gateway, mut links, _closing) = served().await;
    let (sound, sound_requests) = instance(SOUND).await;
    let (refusing_busy, _) = instance(REFUSED_BUSY).await;
    let (broken, _) = instance(BROKEN_OFF).await;
    let refusing = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
    let (unanswering, _waiting, _listener) = unanswering().await;
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let sent_bytes = if stage == Stage::BodyHalfRead { REQUEST.len() - 2 } else { REQUEST.len() };
    client.write_all(&REQUEST[..sent_bytes]).await.expect("sent");
    let mut reply = None;
    if stage != Stage::BodyHalfRead {
        let (function, first_reply) = next_request_id(&mut links).await;
        let first_instance = match stage {
            Stage::AwaitsPermitAfterRefusedConnection => Some(refusing),
            Stage::AwaitsPermitAfterBusyRefusal => Some(refusing_busy),
            Stage::AwaitsPermitAfterBrokenInstance => Some(broken),
            Stage::Connecting => Some(unanswering),
            Stage::AwaitsPermitMatchedAgain | Stage::SecondOnItsConnection => Some(sound),
            Stage::BodyHalfRead | Stage::AwaitsPermit => None,
        };
        if stage == Stage::AwaitsPermitMatchedAgain {
            gateway.set_configuration(2, &configuration("g"));
        }
        match first_instance {
            None => reply = Some((function, first_reply)),
            Some(instance) => drop(first_reply.send(permit(1, &function, instance))),
        }
        if stage == Stage::SecondOnItsConnection {
            let mut response = vec![0; 4096];
            let count = client.read(&mut response).await.expect("an answer");
            assert!(response[..count].starts_with(b"HTTP/1.1 200"));
            client.write_all(REQUEST).await.expect("sent");
        }
        if first_instance.is_some() && stage != Stage::Connecting {
            reply = Some(next_request_id(&mut links).await);
        }
    }
    let before = *sound_requests.borrow();
    sleep(STAGE_REACHED).await;
    if gateway.open_calls() != 1 {
        return Err(format!("{} calls are open at the stage", gateway.open_calls()));
    }
    let half_closed = disconnect(client, end).await;
    let left_at = Instant::now();
    while gateway.open_calls() > 0 && left_at.elapsed() < ENDS_WITHIN {
        sleep(Duration::from_millis(5)).await;
    }
    let open_calls = gateway.open_calls();
    // A ticket that comes now finds nobody.
    if let Some((function, reply)) = reply {
        let _ = reply.send(permit(2, &function, sound));
    }
    sleep(STAGE_REACHED).await;
    drop(half_closed);
    match (open_calls, *sound_requests.borrow() - before) {
        (0, 0) => Ok(()),
        (open_calls, sent) => Err(format!("{open_calls} calls open after {ENDS_WITHIN:?}, {sent} sent on")),
    }
}

/// Guards against work that goes on without its client (GONE): however a client leaves, and whatever its call waits
/// for, the call ends within half a second and is not sent on.
#[test]
fn a_call_ends_with_its_client_at_every_stage_and_by_every_kind_of_end() {
    let failed: Vec<String> = STAGES
        .iter()
        .flat_map(|stage| ENDS.iter().map(move |end| (*stage, *end)))
        .filter_map(|(stage, end)| {
            let played = actix_rt::System::new().block_on(play(stage, end));
            played.err().map(|seen| format!("{stage:?}, {end:?}: {seen}"))
        })
        .collect();
    assert_eq!(failed, Vec::<String>::new(), "of {} cases", STAGES.len() * ENDS.len());
}
