//! The platform with its workers and cells, by the users' pages.

use crate::http::{encode, Connection, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The memory of a worker in the small deployment.
pub const WORKER_MB: u64 = 6_509;
const CELL_MB: u64 = 128;
const LIST_LAG: Duration = Duration::from_millis(800);
/// "requestNonce chosen by the caller (at most 64 bytes)"
const NONCE_BYTES: usize = 64;

/// How cells are in trouble.
#[derive(Default)]
pub struct Trouble {
    /// Some whole answers are followed by late bytes while this is set.
    pub sends_late_bytes: AtomicBool,
    /// Some answers have no length, or offer another protocol, and end with their connection while this is set.
    pub sends_unframed: AtomicBool,
    /// Answers and spoiled answers meanwhile, over the cells in trouble.
    pub answers: AtomicU64,
    pub spoiled: AtomicU64,
}

/// One answer in so many of a cell is spoiled: under the share of 0.02 of `garble`.
const SPOILED_EVERY: u64 = 51;
/// One cell in so many is in trouble: at most the share of 0.5 of `garble`.
const TROUBLED_EVERY: u64 = 2;
/// These bytes belong to no request: they bear no `Request-Id`, which cells send back in their answers.
const LATE_BYTES: [&str; 2] = [
    "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nNot-Run: other\r\nContent-Length: 0\r\n\r\n",
];
/// The body of every answer.
pub const WHOLE_BODY: &[u8] = b"the order is printed";
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

struct Cell {
    id: String,
    number: u64,
    service: String,
    worker: usize,
    address: SocketAddr,
    ready_at: Instant,
    is_stopped: Arc<AtomicBool>,
    /// Answers of this cell in the trouble.
    answers: AtomicU64,
}

pub struct Platform {
    pub address: SocketAddr,
    pub trouble: Trouble,
    /// Which requests cells ran, by id, and how often.
    pub runs: Mutex<HashMap<String, u32>>,
    /// Starts that were refused for the length of their nonce, by service.
    pub refused_nonces: Mutex<HashMap<String, u32>>,
    cells: Mutex<Vec<Arc<Cell>>>,
    by_nonce: Mutex<HashMap<(String, String), Arc<Cell>>>,
    services: Vec<(String, u32)>,
    record: Record,
    next: AtomicU64,
    worker_mb: u64,
    boot: Duration,
    work: Duration,
}

fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = body.split(&format!("\"{name}\"")).nth(1)?;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    rest.split('"').next().map(str::to_owned)
}

fn json(status: &str, document: &str) -> Vec<u8> {
    encode(&format!("HTTP/1.1 {status}"), &[("Content-Type", "application/json")], document.as_bytes())
}

impl Platform {
    /// Serves the API. `services` are those that exist, with the calls that one cell takes at once.
    pub fn start(
        services: Vec<(String, u32)>,
        worker_mb: u64,
        boot: Duration,
        work: Duration,
        record: Record,
    ) -> std::io::Result<Arc<Platform>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let platform = Arc::new(Platform {
            address: listener.local_addr()?,
            trouble: Trouble::default(),
            runs: Mutex::default(),
            refused_nonces: Mutex::default(),
            cells: Mutex::default(),
            by_nonce: Mutex::default(),
            services,
            record,
            next: AtomicU64::new(1),
            worker_mb,
            boot,
            work,
        });
        let served = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = served.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read(None) {
                        let answer = platform.answer(&request);
                        if connection.write(&answer).is_err() || request.closes() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(platform)
    }

    fn answer(self: &Arc<Platform>, request: &Message) -> Vec<u8> {
        let path = request.path().split('?').next().unwrap_or("");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), path) {
            ("GET", "/v1/workers") => json("200 OK", &self.workers()),
            ("GET", "/servers") => json("200 OK", &self.servers()),
            ("POST", "/v1/start") => self.start_cell(&body),
            ("POST", "/v1/stop") => self.stop_cell(&body),
            _ => json("404 Not Found", "{}"),
        }
    }

    fn live(&self) -> Vec<Arc<Cell>> {
        let cells = self.cells.lock().unwrap();
        cells.iter().filter(|cell| !cell.is_stopped.load(Ordering::SeqCst)).cloned().collect()
    }

    fn workers(&self) -> String {
        let live = self.live();
        let rows: Vec<String> = (0..3)
            .map(|worker| {
                let used = CELL_MB * live.iter().filter(|cell| cell.worker == worker).count() as u64;
                format!(
                    "{{\"name\":\"w-{worker}\",\"zone\":\"{}\",\"memoryMb\":{},\
                     \"freeMemoryMb\":{},\"phase\":\"ready\"}}",
                    crate::fleet::ZONES[worker],
                    self.worker_mb,
                    self.worker_mb.saturating_sub(used)
                )
            })
            .collect();
        format!("{{\"workers\":[{}]}}", rows.join(","))
    }

    fn capacity(&self, service: &str) -> Option<u32> {
        self.services.iter().find(|(name, _)| name == service).map(|(_, at_once)| *at_once)
    }

    fn servers(&self) -> String {
        let shown = self.live().into_iter().filter(|cell| Instant::now() >= cell.ready_at + LIST_LAG);
        let rows: Vec<String> = shown
            .map(|cell| {
                format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"capacity\":{},\"phase\":\"ready\",\"coldLeftMs\":0,\"id\":\"{}\",\"worker\":\"w-{}\"}}",
                    cell.service,
                    cell.address,
                    crate::fleet::ZONES[cell.worker],
                    self.capacity(&cell.service).unwrap_or(1),
                    cell.id,
                    cell.worker
                )
            })
            .collect();
        format!("{{\"servers\":[{}],\"nextToken\":null}}", rows.join(","))
    }

    fn start_cell(self: &Arc<Platform>, body: &str) -> Vec<u8> {
        let fields = (text_field(body, "service"), text_field(body, "worker"), text_field(body, "requestNonce"));
        let (Some(service), Some(worker), Some(nonce)) = fields else {
            return json("400 Bad Request", "{}");
        };
        let Some(capacity) = self.capacity(&service) else { return json("400 Bad Request", "{}") };
        if nonce.len() > NONCE_BYTES {
            let mut refused = self.refused_nonces.lock().unwrap();
            let count = refused.entry(service.clone()).or_default();
            *count += 1;
            if *count == 1 {
                self.record.line(format!("start of {service}: the nonce {nonce} has {} bytes: 400", nonce.len()));
            }
            return json("400 Bad Request", "{}");
        }
        let Some(worker) = worker.strip_prefix("w-").and_then(|number| number.parse::<usize>().ok()) else {
            return json("409 Conflict", "{}");
        };
        let mut by_nonce = self.by_nonce.lock().unwrap();
        let cell = match by_nonce.get(&(service.clone(), nonce.clone())) {
            Some(cell) => cell.clone(),
            None => {
                let used = CELL_MB * self.live().iter().filter(|cell| cell.worker == worker).count() as u64;
                if used + CELL_MB > self.worker_mb {
                    return json("409 Conflict", "{}");
                }
                let Ok(cell) = self.new_cell(&service, worker, capacity) else {
                    return json("409 Conflict", "{}");
                };
                by_nonce.insert((service, nonce), cell.clone());
                cell
            }
        };
        json("200 OK", &format!("{{\"id\":\"{}\",\"address\":\"{}\"}}", cell.id, cell.address))
    }

    fn new_cell(
        self: &Arc<Platform>,
        service: &str,
        worker: usize,
        capacity: u32,
    ) -> std::io::Result<Arc<Cell>> {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        // The port is free; the cell listens there once its start is done.
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let cell = Arc::new(Cell {
            id: format!("i-{number:08x}"),
            number,
            service: service.to_owned(),
            worker,
            address,
            ready_at: Instant::now() + self.boot,
            is_stopped: Arc::default(),
            answers: AtomicU64::new(0),
        });
        self.record.line(format!("cell {} of {service} starts", cell.id));
        self.cells.lock().unwrap().push(cell.clone());
        let (platform, served) = (self.clone(), cell.clone());
        std::thread::spawn(move || {
            std::thread::sleep(platform.boot);
            let Ok(listener) = TcpListener::bind(served.address) else { return };
            let in_flight = Arc::new(AtomicU32::new(0));
            for stream in listener.incoming().flatten() {
                if served.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (platform, cell, in_flight) = (platform.clone(), served.clone(), in_flight.clone());
                std::thread::spawn(move || platform.serve_cell(&cell, capacity, &in_flight, stream));
            }
        });
        Ok(cell)
    }

    fn stop_cell(&self, body: &str) -> Vec<u8> {
        let id = text_field(body, "id").unwrap_or_default();
        let cells = self.cells.lock().unwrap();
        let Some(cell) = cells.iter().find(|cell| cell.id == id) else { return json("404 Not Found", "{}") };
        if !cell.is_stopped.swap(true, Ordering::SeqCst) {
            self.record.line(format!("cell {id} is stopped"));
            // Wakes the listener, which closes.
            let _ = std::net::TcpStream::connect_timeout(&cell.address, Duration::from_millis(100));
        }
        json("200 OK", "{}")
    }

    fn serve_cell(&self, cell: &Cell, capacity: u32, in_flight: &AtomicU32, stream: std::net::TcpStream) {
        let mut connection = Connection::new(stream);
        let mut late_bytes = None;
        while let Ok(Some(request)) = connection.read(None) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let not_run = |status: &str| {
                let headers = [("Request-Id", id.as_str()), ("Not-Run", "full"), ("Keep-Alive", "timeout=10")];
                encode(&format!("HTTP/1.1 {status}"), &headers, b"")
            };
            if request.header("expect-server").is_some_and(|expected| expected != cell.id) {
                if connection.write(&not_run("421 Misdirected Request")).is_err() {
                    return;
                }
                continue;
            }
            if in_flight.fetch_add(1, Ordering::SeqCst) >= capacity {
                in_flight.fetch_sub(1, Ordering::SeqCst);
                self.record.line(format!("cell {} is full: {id} is not run", cell.id));
                if connection.write(&not_run("503 Service Unavailable")).is_err() {
                    return;
                }
                continue;
            }
            if let Some(bytes) = late_bytes.take() {
                self.record.line(format!("cell {} sends the late bytes as {id} arrives", cell.id));
                if connection.write(str::as_bytes(bytes)).is_err() {
                    return;
                }
            }
            self.record.line(format!("cell {} runs {id}", cell.id));
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            std::thread::sleep(self.work);
            in_flight.fetch_sub(1, Ordering::SeqCst);
            let spoiled = self.spoils_this(cell);
            if let Some(number) = spoiled.filter(|_| self.trouble.sends_unframed.load(Ordering::SeqCst)) {
                // Two kinds in turn: without a length, and with a length and the offer of another protocol.
                let framing = match number % 2 {
                    0 => "Transfer-Encoding: identity\r\nConnection: close\r\n".to_owned(),
                    _ => format!(
                        "Upgrade: websocket\r\nConnection: upgrade, close\r\nContent-Length: {}\r\n",
                        WHOLE_BODY.len()
                    ),
                };
                let kind = if number % 2 == 0 { "without a length" } else { "with an offer to upgrade" };
                self.record.line(format!("cell {} answers {id} {kind} and closes", cell.id));
                let head =
                    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {SEAL}\r\n{framing}\r\n");
                let _ = connection.write(&[head.as_bytes(), WHOLE_BODY].concat());
                return;
            }
            let headers =
                [("Request-Id", id.as_str()), ("Server-Seal", SEAL), ("Keep-Alive", "timeout=10")];
            if connection.write(&encode("HTTP/1.1 200 OK", &headers, WHOLE_BODY)).is_err() {
                return;
            }
            late_bytes = spoiled.map(|number| LATE_BYTES[number as usize % LATE_BYTES.len()]);
        }
    }

    /// Counts an answer of a cell in trouble; the number of the spoiled one, if it is to be spoiled.
    fn spoils_this(&self, cell: &Cell) -> Option<u64> {
        let Trouble { sends_late_bytes, sends_unframed, answers, spoiled } = &self.trouble;
        if cell.number % TROUBLED_EVERY != 0 {
            return None;
        }
        if !sends_late_bytes.load(Ordering::SeqCst) && !sends_unframed.load(Ordering::SeqCst) {
            return None;
        }
        answers.fetch_add(1, Ordering::SeqCst);
        // Counted for each cell, so that none spoils more than its share.
        let is_spoiled = (cell.answers.fetch_add(1, Ordering::SeqCst) + 1) % SPOILED_EVERY == 0;
        is_spoiled.then(|| spoiled.fetch_add(1, Ordering::SeqCst))
    }
}
