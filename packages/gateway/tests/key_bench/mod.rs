//! A whole front behind a real HTTP/1.1 server on loopback, with a protocol that grants tickets for one cell.

use actix_http::header::HeaderName;
use actix_http::{HttpService, StatusCode};
use actix_service::{Service, ServiceFactory};
use call_traces::TraceWriter;
use configuration_schema::Configuration;
use function_scheduler::TicketWish;
use gateway::{CallDialect, Front, FrontLink, FrontSettings, Recorder, TicketAnswer};
use peer_messages::{Address, Ticket};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// An answer that does not come within this time never comes.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// How long a client looks for an answer that should not come.
const SURPLUS_WITHIN: Duration = Duration::from_millis(300);

/// The words of a dialect for the key and the tenant, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct Words {
    pub api_key: &'static str,
    pub tenant: &'static str,
    pub has_outcome: bool,
}

impl Words {
    pub const NATIVE: Words =
        Words { api_key: "x-vanelane-api-key", tenant: "x-vanelane-tenant", has_outcome: true };
    /// A platform's own words, beyond the native prefix.
    pub const PLATFORM: Words = Words { api_key: "api-key", tenant: "tenant", has_outcome: false };
    pub const ALL: [Words; 2] = [Words::NATIVE, Words::PLATFORM];

    fn dialect(&self) -> CallDialect {
        match self.has_outcome {
            true => CallDialect::default(),
            false => CallDialect {
                api_key: Some(HeaderName::from_static(self.api_key)),
                tenant: Some(HeaderName::from_static(self.tenant)),
                ..crate::scripted_cell::platform_words()
            },
        }
    }
}

/// A configuration with the functions `f` and `g` and these further settings.
pub fn lanes(settings: &str) -> Configuration {
    let document = format!(
        r#"{{"allowances": {{"all": {{"weight": 1}}}},
            "functions": {{"f": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}},
                "g": {{"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 4}}}},
            {settings}}}"#
    );
    configuration_schema::check(&document.parse().expect("JSON")).expect("a checked document")
}

fn head(path: &str, lines: &[String], framing: &str) -> String {
    let lines: String = lines.iter().map(|line| format!("{line}\r\n")).collect();
    format!("POST {path} HTTP/1.1\r\nHost: here\r\nRequest-Id: a\r\n{lines}{framing}\r\n\r\n")
}

/// A whole request with these header lines and a body with a length.
pub fn request_bytes(path: &str, lines: &[String], body: &str) -> Vec<u8> {
    let framing = format!("Content-Length: {}", body.len());
    format!("{}{body}", head(path, lines, &framing)).into_bytes()
}

/// The head of a request whose body comes in chunks.
pub fn chunked_head(path: &str, lines: &[String]) -> String {
    head(path, lines, "Transfer-Encoding: chunked")
}

/// Where a front writes what calls it had.
pub struct Writers {
    pub recorder: Recorder,
    pub traces: TraceWriter,
}

pub struct Bench {
    pub front: Arc<Front>,
    address: SocketAddr,
    cell: SocketAddr,
    /// Until all asks are granted.
    links: Option<mpsc::Receiver<FrontLink>>,
    wishes: Arc<Mutex<Vec<TicketWish>>>,
    connections: Arc<AtomicUsize>,
}

impl Bench {
    /// A front whose every ask is granted at once.
    pub async fn start(words: &Words, configuration: &Configuration, cell: SocketAddr) -> Bench {
        let mut bench = Bench::start_holding(words, configuration, cell).await;
        bench.grant_all();
        bench
    }

    /// A front whose asks wait for the test.
    pub async fn start_holding(words: &Words, configuration: &Configuration, cell: SocketAddr) -> Bench {
        Bench::start_with(words, configuration, cell, None).await
    }

    /// The same, with its calls recorded and traced.
    pub async fn start_recording(
        words: &Words,
        configuration: &Configuration,
        cell: SocketAddr,
        writers: Writers,
    ) -> Bench {
        Bench::start_with(words, configuration, cell, Some(writers)).await
    }

    async fn start_with(
        words: &Words,
        configuration: &Configuration,
        cell: SocketAddr,
        writers: Option<Writers>,
    ) -> Bench {
        let (link, links) = mpsc::channel(64);
        let dispatch = crate::scripted_cell::keeping(words.dialect());
        let mut front = Front::new(FrontSettings { dispatch, ..FrontSettings::default() }, link);
        if let Some(writers) = writers {
            front.record_with(writers.recorder);
            front.trace_with(writers.traces);
        }
        front.take_configuration(1, configuration);
        let front = Arc::new(front);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let connections = Arc::new(AtomicUsize::new(0));
        actix_rt::spawn(serve(listener, front.clone(), connections.clone()));
        Bench { front, address, cell, links: Some(links), wishes: Arc::default(), connections }
    }

    /// Grants every ask from now on.
    pub fn grant_all(&mut self) {
        let Some(mut links) = self.links.take() else { return };
        let (cell, wishes) = (self.cell, self.wishes.clone());
        actix_rt::spawn(async move {
            while let Some(said) = links.recv().await {
                if let FrontLink::Ask { wish, .. } = &said {
                    wishes.lock().expect("no test broke").push(wish.clone());
                }
                grant(said, cell);
            }
        });
    }

    /// The next ask for a ticket, which waits.
    pub async fn next_ask(&mut self) -> FrontLink {
        let links = self.links.as_mut().expect("asks wait");
        loop {
            let said = tokio::time::timeout(ANSWER_WITHIN, links.recv()).await;
            let said = said.expect("no ask came").expect("the front is there");
            if matches!(said, FrontLink::Ask { .. }) {
                return said;
            }
        }
    }

    pub fn grant(&self, ask: FrontLink) {
        grant(ask, self.cell);
    }

    /// All asks of a front that grants them at once.
    pub fn wishes(&self) -> Vec<TicketWish> {
        self.wishes.lock().expect("no test broke").clone()
    }

    pub fn count(&self, name: &str) -> u64 {
        let counts = self.front.counts.all();
        counts.iter().find(|(named, _)| *named == name).map(|(_, count)| *count).expect("a count")
    }

    /// Connections of clients so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub async fn connect(&self) -> Client {
        Client::connect(self.address).await
    }

    /// One request on a connection of its own.
    pub async fn call(&self, request: &[u8]) -> HttpAnswer {
        self.connect().await.exchange(request).await
    }

    /// The same, while the test does something else.
    pub fn begin(&self, request: &[u8]) -> actix_rt::task::JoinHandle<HttpAnswer> {
        let (address, request) = (self.address, request.to_vec());
        actix_rt::spawn(async move { Client::connect(address).await.exchange(&request).await })
    }
}

fn grant(said: FrontLink, cell: SocketAddr) {
    let FrontLink::Ask { call, wish, reply } = said else { return };
    let ticket = Ticket {
        id: call,
        granted_by: 1,
        steward_epoch: 1,
        function: wish.function.as_str().into(),
        cell: "c".into(),
        address: Address::from(cell),
    };
    let _ = reply.send(TicketAnswer::Granted(ticket));
}

async fn serve(listener: TcpListener, front: Arc<Front>, connections: Arc<AtomicUsize>) {
    while let Ok((stream, peer)) = listener.accept().await {
        connections.fetch_add(1, Ordering::SeqCst);
        let front = front.clone();
        let factory = HttpService::build().h1(move |request| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(front.call(request).await) }
        });
        actix_rt::spawn(async move {
            if let Ok(service) = factory.new_service(()).await {
                let _ = service.call((stream, Some(peer))).await;
            }
        });
    }
}

/// An answer as it came.
#[derive(Debug)]
pub struct HttpAnswer {
    pub status: StatusCode,
    pub body: String,
    /// Head and body.
    pub whole: String,
}

impl HttpAnswer {
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
        let stream = TcpStream::connect(address).await.expect("connected");
        Client { stream, unread: Vec::new() }
    }

    /// Sends bytes, on a connection that the server may have closed.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    pub async fn exchange(&mut self, request: &[u8]) -> HttpAnswer {
        self.send(request).await;
        let answer = tokio::time::timeout(ANSWER_WITHIN, self.read_answer()).await;
        answer.expect("an answer in time").expect("an answer")
    }

    /// An answer that may or may not come.
    pub async fn next_answer(&mut self) -> Option<HttpAnswer> {
        tokio::time::timeout(SURPLUS_WITHIN, self.read_answer()).await.ok().flatten()
    }

    /// Reads a head and a body with a length; none at the connection's end.
    async fn read_answer(&mut self) -> Option<HttpAnswer> {
        loop {
            if let Some((answer, length)) = whole_answer(&self.unread) {
                self.unread.drain(..length);
                return Some(answer);
            }
            if self.stream.read_buf(&mut self.unread).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }
}

/// The first answer in these bytes and its length, once it is whole.
fn whole_answer(bytes: &[u8]) -> Option<(HttpAnswer, usize)> {
    let text = std::str::from_utf8(bytes).expect("text");
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .to_ascii_lowercase()
        .split("\r\n")
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
        .unwrap_or(0);
    let body = rest.get(..length)?.to_owned();
    let end = head.len() + "\r\n\r\n".len() + length;
    Some((HttpAnswer { status, body, whole: text[..end].to_owned() }, end))
}

/// What these files hold once each has so many lines.
pub async fn written_lines(paths: &[&Path], lines: usize) -> String {
    let began = Instant::now();
    loop {
        let texts: Vec<String> =
            paths.iter().map(|path| std::fs::read_to_string(path).unwrap_or_default()).collect();
        if texts.iter().all(|text| text.lines().count() >= lines) {
            return texts.concat();
        }
        assert!(began.elapsed() < ANSWER_WITHIN, "not written: {texts:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
