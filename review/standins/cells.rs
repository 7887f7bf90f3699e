//! The users' platform with its workers and cells.

use crate::http::{self, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const WORKERS: usize = 12;
pub const LIST_LAG: Duration = Duration::from_millis(800);

/// What the platform knows of a service.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    pub memory_mb: u64,
    pub boot: Duration,
    pub most: u32,
    pub work: Duration,
}

/// One request that a cell began to work on.
#[derive(Clone)]
pub struct Run {
    pub request_id: String,
    pub service: &'static str,
    pub cell: String,
    pub target: String,
    pub at_millis: u64,
}

pub struct Cell {
    id: String,
    service: Service,
    address: SocketAddr,
    worker: usize,
    started_at: Instant,
    stopped: AtomicBool,
    running: AtomicU32,
    /// Slots that new connections hold for a moment.
    held: AtomicU32,
    answers: AtomicU64,
    /// Answers and extra answers while the trouble lasts.
    troubled_answers: AtomicU64,
    extra_answers: AtomicU64,
    /// Whether it gives an extra answer now and then.
    is_troubled: AtomicBool,
}

pub struct World {
    pub record: Arc<Record>,
    services: Vec<Service>,
    worker_memory_mb: u64,
    cells: Mutex<Vec<Arc<Cell>>>,
    nonces: Mutex<HashMap<(String, String), usize>>,
    pub runs: Mutex<Vec<Run>>,
    /// Requests turned away with `Not-Run`.
    pub shed: AtomicU64,
    /// How long a new connection holds a slot.
    pub hold: Duration,
    /// Every so many answers of a cell, one closes its connection; zero for none.
    pub close_every: u64,
    network: u8,
    port: u16,
}

/// The largest share of the cells in trouble, in tenths, and the most extra answers of a troubled cell, in hundredths
/// of its answers while the trouble lasts.
const TROUBLED_TENTHS: usize = 6;
const EXTRA_HUNDREDTHS: u64 = 3;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl World {
    pub fn new(record: Arc<Record>, services: Vec<Service>, network: u8, port: u16) -> World {
        World {
            record,
            services,
            worker_memory_mb: 6_509,
            cells: Mutex::default(),
            nonces: Mutex::default(),
            runs: Mutex::default(),
            shed: AtomicU64::new(0),
            hold: Duration::ZERO,
            close_every: 0,
            network,
            port,
        }
    }

    /// Some of the cells that run give extra answers from now on, or none does any more.
    pub fn set_extra_answers(&self, is_on: bool) {
        let cells = lock(&self.cells);
        // Only cells that have booted count: the share is of those that answer.
        let is_up = |cell: &&Arc<Cell>| {
            !cell.stopped.load(Ordering::SeqCst) && cell.started_at.elapsed() > cell.service.boot
        };
        let running: Vec<&Arc<Cell>> = cells.iter().filter(is_up).collect();
        let troubled = if is_on { running.len() * TROUBLED_TENTHS / 10 } else { 0 };
        for cell in cells.iter() {
            let (answers, extras) = (&cell.troubled_answers, &cell.extra_answers);
            if cell.is_troubled.swap(false, Ordering::SeqCst) {
                self.record.line(&format!(
                    "trouble: cell {} gave {} answers and planned {} extra ones",
                    cell.id,
                    answers.load(Ordering::SeqCst),
                    extras.load(Ordering::SeqCst)
                ));
            }
            // Each trouble has a dose of its own.
            answers.store(0, Ordering::SeqCst);
            extras.store(0, Ordering::SeqCst);
        }
        running.iter().take(troubled).for_each(|cell| cell.is_troubled.store(true, Ordering::SeqCst));
        self.record.line(&format!("trouble: {troubled} of {} cells give extra answers", running.len()));
    }

    /// Serves the platform's interface.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) {
        let world = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = http::read(&mut reader) {
                        let (status, body) = world.respond(&request);
                        let headers = [("Content-Type", "application/json".to_owned())];
                        if writer.write_all(&http::answer(status, &headers, &body)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn respond(self: &Arc<Self>, request: &Message) -> (&'static str, String) {
        let path = request.word(1).split('?').next().unwrap_or("");
        match (request.word(0), path) {
            ("GET", "/v1/workers") => ("200 OK", self.workers()),
            ("GET", "/servers") => ("200 OK", self.list()),
            ("POST", "/v1/start") => self.start(&String::from_utf8_lossy(&request.body)),
            ("POST", "/v1/stop") => self.stop(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn free_memory(&self, worker: usize) -> u64 {
        let cells = lock(&self.cells);
        let used = cells.iter().filter(|cell| cell.worker == worker && !cell.has_ended());
        self.worker_memory_mb - used.map(|cell| cell.service.memory_mb).sum::<u64>().min(self.worker_memory_mb)
    }

    fn workers(&self) -> String {
        let rows: Vec<String> = (0..WORKERS)
            .map(|worker| {
                format!(
                    r#"{{"name":"w-{worker}","zone":"hall-{}","memoryMb":{},"freeMemoryMb":{},"phase":"ready"}}"#,
                    worker % 3,
                    self.worker_memory_mb,
                    self.free_memory(worker)
                )
            })
            .collect();
        format!(r#"{{"workers":[{}]}}"#, rows.join(","))
    }

    fn list(&self) -> String {
        let cells = lock(&self.cells);
        let listed = cells
            .iter()
            .filter(|cell| cell.started_at.elapsed() > cell.service.boot + LIST_LAG && !cell.has_ended());
        let rows: Vec<String> = listed
            .map(|cell| {
                format!(
                    concat!(
                        r#"{{"service":"{}","address":"{}","zone":"hall-{}","version":"v1","capacity":{},"#,
                        r#""phase":"ready","coldLeftMs":0,"id":"{}","worker":"w-{}"}}"#
                    ),
                    cell.service.name, cell.address, cell.worker % 3, cell.service.most, cell.id, cell.worker
                )
            })
            .collect();
        format!(r#"{{"servers":[{}],"nextToken":null}}"#, rows.join(","))
    }

    fn start(self: &Arc<Self>, body: &str) -> (&'static str, String) {
        let (service, worker, nonce) = (field(body, "service"), field(body, "worker"), field(body, "requestNonce"));
        let Some(service) = self.services.iter().find(|known| known.name == service) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let Some(worker) = worker.strip_prefix("w-").and_then(|text| text.parse().ok()).filter(|w| *w < WORKERS) else {
            return ("409 Conflict", "{}".to_owned());
        };
        let mut nonces = lock(&self.nonces);
        let key = (service.name.to_owned(), nonce);
        if let Some(index) = nonces.get(&key) {
            let cell = lock(&self.cells)[*index].clone();
            return ("200 OK", format!(r#"{{"id":"{}","address":"{}"}}"#, cell.id, cell.address));
        }
        if self.free_memory(worker) < service.memory_mb {
            return ("409 Conflict", "{}".to_owned());
        }
        let mut cells = lock(&self.cells);
        let number = cells.len() as u64;
        let ip = Ipv4Addr::new(127, self.network, 100 + (number / 200) as u8, 1 + (number % 200) as u8);
        let cell = Arc::new(Cell {
            id: format!("i-{:08x}", 0x7f3a_0000 + number),
            service: service.clone(),
            address: SocketAddr::from((ip, self.port)),
            worker,
            started_at: Instant::now(),
            stopped: AtomicBool::new(false),
            running: AtomicU32::new(0),
            held: AtomicU32::new(0),
            answers: AtomicU64::new(0),
            troubled_answers: AtomicU64::new(0),
            extra_answers: AtomicU64::new(0),
            is_troubled: AtomicBool::new(false),
        });
        nonces.insert(key, cells.len());
        cells.push(cell.clone());
        self.record.line(&format!("platform: start {} of {} on w-{worker} at {}", cell.id, service.name, cell.address));
        let answer = format!(r#"{{"id":"{}","address":"{}"}}"#, cell.id, cell.address);
        let world = self.clone();
        thread::spawn(move || world.run_cell(&cell));
        ("200 OK", answer)
    }

    fn stop(&self, body: &str) -> (&'static str, String) {
        let id = field(body, "id");
        let cells = lock(&self.cells);
        let Some(cell) = cells.iter().find(|cell| cell.id == id) else { return ("404 Not Found", "{}".to_owned()) };
        if !cell.stopped.swap(true, Ordering::SeqCst) {
            self.record.line(&format!("platform: stop {id}"));
        }
        ("200 OK", "{}".to_owned())
    }

    /// Boots the cell, then accepts connections until it is stopped.
    fn run_cell(self: &Arc<Self>, cell: &Arc<Cell>) {
        thread::sleep(cell.service.boot);
        let Ok(listener) = TcpListener::bind(cell.address) else {
            self.record.line(&format!("cell {}: could not listen", cell.id));
            return;
        };
        let _ = listener.set_nonblocking(true);
        while !cell.stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (world, cell) = (self.clone(), cell.clone());
                    cell.held.fetch_add(1, Ordering::SeqCst);
                    let held_cell = cell.clone();
                    let hold = self.hold;
                    thread::spawn(move || {
                        thread::sleep(hold);
                        held_cell.held.fetch_sub(1, Ordering::SeqCst);
                    });
                    thread::spawn(move || world.serve_caller(&cell, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve_caller(&self, cell: &Cell, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        // The extra answer that arrives in the place where the next answer should come.
        let mut late_answer: Option<Vec<u8>> = None;
        while let Some(request) = http::read(&mut reader) {
            if let Some(extra) = late_answer.take().filter(|_| cell.is_troubled.load(Ordering::SeqCst)) {
                self.record.line(&format!("cell {}: a late extra answer, a second `{}`", cell.id, first_line(&extra)));
                if writer.write_all(&extra).is_err() {
                    return;
                }
            }
            let (answer, closes) = self.work(cell, &request);
            if writer.write_all(&answer).is_err() || closes || cell.stopped.load(Ordering::SeqCst) {
                return;
            }
            if cell.is_troubled.load(Ordering::SeqCst) {
                let answers = cell.troubled_answers.fetch_add(1, Ordering::SeqCst) + 1;
                let extras = cell.extra_answers.load(Ordering::SeqCst);
                if (extras + 1) * 100 <= answers * EXTRA_HUNDREDTHS && answer.starts_with(b"HTTP/1.1 503") {
                    cell.extra_answers.fetch_add(1, Ordering::SeqCst);
                    late_answer = Some(answer);
                }
            }
        }
    }

    /// Answers one request; `true` if the connection closes after it.
    fn work(&self, cell: &Cell, request: &Message) -> (Vec<u8>, bool) {
        let target = request.word(1).to_owned();
        let keep_alive = || ("Keep-Alive", "timeout=5".to_owned());
        if request.header("Expect-Server").is_some_and(|expected| expected != cell.id) {
            return (http::answer("421 Misdirected Request", &[("Server-Id", cell.id.clone())], ""), true);
        }
        let Some(request_id) = request.header("Request-Id") else {
            return (http::answer("400 Bad Request", &[("Not-Run", "1".to_owned())], ""), true);
        };
        let running = cell.running.fetch_add(1, Ordering::SeqCst);
        if running + cell.held.load(Ordering::SeqCst) >= cell.service.most {
            cell.running.fetch_sub(1, Ordering::SeqCst);
            self.shed.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!("cell {}: full, turns {request_id} away with 503 and Not-Run", cell.id));
            let headers = [("Not-Run", "1".to_owned()), keep_alive()];
            return (http::answer("503 Service Unavailable", &headers, ""), false);
        }
        self.record.line(&format!("cell {} of {}: runs {request_id} {target}", cell.id, cell.service.name));
        lock(&self.runs).push(Run {
            request_id: request_id.to_owned(),
            service: cell.service.name,
            cell: cell.id.clone(),
            target,
            at_millis: self.record.millis(),
        });
        thread::sleep(cell.service.work);
        cell.running.fetch_sub(1, Ordering::SeqCst);
        let answers = cell.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let closes = self.close_every > 0 && answers % self.close_every == 0;
        let body = format!("{} did {request_id}\n", cell.id);
        let mut headers = vec![("Request-Id", request_id.to_owned()), ("Server-Seal", format!("s.{request_id}"))];
        headers.push(if closes { ("Connection", "close".to_owned()) } else { keep_alive() });
        (http::answer("200 OK", &headers, &body), closes)
    }
}

impl Cell {
    /// Whether it was stopped and its work is done.
    fn has_ended(&self) -> bool {
        self.stopped.load(Ordering::SeqCst) && self.running.load(Ordering::SeqCst) == 0
    }
}

fn first_line(answer: &[u8]) -> String {
    String::from_utf8_lossy(answer).lines().next().unwrap_or("").to_owned()
}

/// The value of a string field of a flat JSON object.
fn field(body: &str, name: &str) -> String {
    let quoted = format!("\"{name}\"");
    let rest = body.split_once(&quoted).map_or("", |(_, rest)| rest);
    rest.split('"').nth(1).unwrap_or("").to_owned()
}
