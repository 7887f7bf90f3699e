//! A whole gateway behind a real HTTP/1.1 server on loopback, with a protocol that grants permits for one
//! instance.

use actix_http::header::HeaderName;
use actix_http::{HttpService, StatusCode};
use actix_service::{Service, ServiceFactory};
use call_traces::TraceWriter;
use configuration_schema::Configuration;
use function_scheduler::PermitParameters;
use gateway::{Gateway, GatewayMessage, GatewaySettings, HeaderConventions, PermitResponse, Recorder};
use peer_messages::{Address, Permit};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Timeout of an expected response.
const RESPONSE_WITHIN: Duration = Duration::from_secs(20);
/// How long a client waits for a response that should not arrive.
const SURPLUS_WITHIN: Duration = Duration::from_millis(300);

/// Header names for the key and the tenant, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    pub api_key: &'static str,
    pub tenant: &'static str,
    pub has_outcome: bool,
}

impl HeaderNames {
    pub const NATIVE: HeaderNames =
        HeaderNames { api_key: "x-vanelane-api-key", tenant: "x-vanelane-tenant", has_outcome: true };
    /// A platform's own header names, without the native prefix.
    pub const PLATFORM: HeaderNames =
        HeaderNames { api_key: "api-key", tenant: "tenant", has_outcome: false };
    pub const ALL: [HeaderNames; 2] = [HeaderNames::NATIVE, HeaderNames::PLATFORM];

    fn header_conventions(&self) -> HeaderConventions {
        match self.has_outcome {
            true => HeaderConventions::default(),
            false => HeaderConventions {
                api_key: Some(HeaderName::from_static(self.api_key)),
                tenant: Some(HeaderName::from_static(self.tenant)),
                ..crate::scripted_instance::platform_conventions()
            },
        }
    }
}

/// A configuration with the functions `f` and `g` and these further settings.
pub fn routes(settings: &str) -> Configuration {
    let document = format!(
        r#"{{"allowances": {{"all": {{"weight": 1}}}},
            "functions": {{"f": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}},
                "g": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}}}},
            {settings}}}"#
    );
    configuration_schema::check(&document.parse().expect("JSON")).expect("a valid configuration")
}

fn head(path: &str, lines: &[String], framing: &str) -> String {
    let lines: String = lines.iter().map(|line| format!("{line}\r\n")).collect();
    format!("POST {path} HTTP/1.1\r\nHost: here\r\nRequest-Id: a\r\n{lines}{framing}\r\n\r\n")
}

/// A whole request with these header lines and a body with a declared length.
pub fn request_bytes(path: &str, lines: &[String], body: &str) -> Vec<u8> {
    let framing = format!("Content-Length: {}", body.len());
    format!("{}{body}", head(path, lines, &framing)).into_bytes()
}

/// The head of a request with a chunked body.
pub fn chunked_head(path: &str, lines: &[String]) -> String {
    head(path, lines, "Transfer-Encoding: chunked")
}

/// The files that a gateway records its calls in.
pub struct Writers {
    pub recorder: Recorder,
    pub traces: TraceWriter,
}

/// A running gateway with its server, its scripted protocol and one instance.
pub struct Bench {
    pub gateway: Arc<Gateway>,
    address: SocketAddr,
    instance: SocketAddr,
    /// The protocol's messages, until requests are granted automatically.
    messages: Option<mpsc::Receiver<GatewayMessage>>,
    parameter_sets: Arc<Mutex<Vec<PermitParameters>>>,
    connections: Arc<AtomicUsize>,
}

impl Bench {
    /// A gateway whose every permit request is granted at once.
    pub async fn start(
        header_names: &HeaderNames,
        configuration: &Configuration,
        instance: SocketAddr,
    ) -> Bench {
        let mut bench = Bench::start_holding(header_names, configuration, instance).await;
        bench.grant_all();
        bench
    }

    /// A gateway whose permit requests wait for the test.
    pub async fn start_holding(
        header_names: &HeaderNames,
        configuration: &Configuration,
        instance: SocketAddr,
    ) -> Bench {
        Bench::start_with(header_names, configuration, instance, None).await
    }

    /// The same, with its calls recorded and traced.
    pub async fn start_recording(
        header_names: &HeaderNames,
        configuration: &Configuration,
        instance: SocketAddr,
        writers: Writers,
    ) -> Bench {
        Bench::start_with(header_names, configuration, instance, Some(writers)).await
    }

    async fn start_with(
        header_names: &HeaderNames,
        configuration: &Configuration,
        instance: SocketAddr,
        writers: Option<Writers>,
    ) -> Bench {
        let (protocol_sender, messages) = mpsc::channel(64);
        let dispatch = crate::scripted_instance::keep_alive_settings(header_names.header_conventions());
        let mut gateway =
            Gateway::new(GatewaySettings { dispatch, ..GatewaySettings::default() }, protocol_sender);
        if let Some(writers) = writers {
            gateway.record_with(writers.recorder);
            gateway.trace_with(writers.traces);
        }
        gateway.set_configuration(1, configuration);
        let gateway = Arc::new(gateway);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let connections = Arc::new(AtomicUsize::new(0));
        actix_rt::spawn(serve(listener, gateway.clone(), connections.clone()));
        Bench {
            gateway,
            address,
            instance,
            messages: Some(messages),
            parameter_sets: Arc::default(),
            connections,
        }
    }

    /// Grants every permit request from now on.
    pub fn grant_all(&mut self) {
        let Some(mut messages) = self.messages.take() else { return };
        let (instance, parameter_sets) = (self.instance, self.parameter_sets.clone());
        actix_rt::spawn(async move {
            while let Some(message) = messages.recv().await {
                if let GatewayMessage::RequestPermit { parameters, .. } = &message {
                    parameter_sets.lock().expect("the mutex is not poisoned").push(parameters.clone());
                }
                grant(message, instance);
            }
        });
    }

    /// The next permit request, which waits.
    pub async fn next_permit_request(&mut self) -> GatewayMessage {
        let messages = self.messages.as_mut().expect("requests are not granted automatically");
        loop {
            let message = tokio::time::timeout(RESPONSE_WITHIN, messages.recv()).await;
            let message = message.expect("a permit request in time").expect("a running gateway");
            if matches!(message, GatewayMessage::RequestPermit { .. }) {
                return message;
            }
        }
    }

    pub fn grant(&self, permit_request: GatewayMessage) {
        grant(permit_request, self.instance);
    }

    /// The parameters of all requests that were granted automatically.
    pub fn parameter_sets(&self) -> Vec<PermitParameters> {
        self.parameter_sets.lock().expect("the mutex is not poisoned").clone()
    }

    pub fn count(&self, name: &str) -> u64 {
        let counts = self.gateway.counts.all();
        counts.iter().find(|(counter, _)| *counter == name).map(|(_, count)| *count).expect("a known counter")
    }

    /// The number of client connections so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub async fn connect(&self) -> Client {
        Client::connect(self.address).await
    }

    /// Sends one request on a connection of its own.
    pub async fn call(&self, request: &[u8]) -> HttpReply {
        self.connect().await.exchange(request).await
    }

    /// The same in the background.
    pub fn spawn_call(&self, request: &[u8]) -> actix_rt::task::JoinHandle<HttpReply> {
        let (address, request) = (self.address, request.to_vec());
        actix_rt::spawn(async move { Client::connect(address).await.exchange(&request).await })
    }
}

fn grant(message: GatewayMessage, instance: SocketAddr) {
    let GatewayMessage::RequestPermit { call, parameters, reply } = message else { return };
    let permit = Permit {
        id: call,
        granted_by: 1,
        leader_epoch: 1,
        function: parameters.function.as_str().into(),
        instance: "c".into(),
        address: Address::from(instance),
    };
    let _ = reply.send(PermitResponse::Granted(permit));
}

async fn serve(listener: TcpListener, gateway: Arc<Gateway>, connections: Arc<AtomicUsize>) {
    while let Ok((stream, peer)) = listener.accept().await {
        connections.fetch_add(1, Ordering::SeqCst);
        let gateway = gateway.clone();
        let factory = HttpService::build().h1(move |request| {
            let gateway = gateway.clone();
            async move { Ok::<_, Infallible>(gateway.call(request).await) }
        });
        actix_rt::spawn(async move {
            if let Ok(service) = factory.new_service(()).await {
                let _ = service.call((stream, Some(peer))).await;
            }
        });
    }
}

/// A response as received.
#[derive(Debug)]
pub struct HttpReply {
    pub status: StatusCode,
    pub body: String,
    /// Head and body together.
    pub whole: String,
}

impl HttpReply {
    pub fn has_header(&self, name: &str) -> bool {
        let head = self.whole.split("\r\n\r\n").next().unwrap_or_default().to_ascii_lowercase();
        head.contains(&format!("\r\n{name}:"))
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Client { stream, unread: Vec::new() }
    }

    /// Sends bytes on a connection that the server may have closed.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    pub async fn exchange(&mut self, request: &[u8]) -> HttpReply {
        self.send(request).await;
        let response = tokio::time::timeout(RESPONSE_WITHIN, self.read_response()).await;
        response.expect("a response in time").expect("a response")
    }

    /// The next response, if one arrives.
    pub async fn next_response(&mut self) -> Option<HttpReply> {
        tokio::time::timeout(SURPLUS_WITHIN, self.read_response()).await.ok().flatten()
    }

    /// Reads a head and a body with a declared length; none at the connection's end.
    async fn read_response(&mut self) -> Option<HttpReply> {
        loop {
            if let Some((response, length)) = whole_response(&self.unread) {
                self.unread.drain(..length);
                return Some(response);
            }
            if self.stream.read_buf(&mut self.unread).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }
}

/// The first response in these bytes and its length, once it is whole.
fn whole_response(bytes: &[u8]) -> Option<(HttpReply, usize)> {
    let text = std::str::from_utf8(bytes).expect("UTF-8");
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .to_ascii_lowercase()
        .split("\r\n")
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
        .unwrap_or(0);
    let body = rest.get(..length)?.to_owned();
    let end = head.len() + "\r\n\r\n".len() + length;
    Some((HttpReply { status, body, whole: text[..end].to_owned() }, end))
}

/// The contents of these files once each has at least this many lines.
pub async fn written_lines(paths: &[&Path], lines: usize) -> String {
    let began = Instant::now();
    loop {
        let texts: Vec<String> =
            paths.iter().map(|path| std::fs::read_to_string(path).unwrap_or_default()).collect();
        if texts.iter().all(|text| text.lines().count() >= lines) {
            return texts.concat();
        }
        assert!(began.elapsed() < RESPONSE_WITHIN, "the files were not written in time: {texts:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
