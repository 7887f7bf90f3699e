//! The fake platform: an HTTP API to list, start and stop instances and to report usage.

use crate::fake_instance::{FakeFunction, FakeInstance};
use crate::micros_since;
use actix_http::body::BoxBody;
use actix_http::{HttpService, Method, Request, Response, StatusCode};
use actix_server::Server;
use futures_util::StreamExt;
use history_checker::{History, Line};
use platform_client::{
    InstanceDocument, ListDocument, StartDocument, StartedDocument, UsageReportDocument, WorkerDocument,
};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// The longest start id, in bytes.
const START_ID_LIMIT: usize = 64;

/// Settings of the fake platform. Example: `PlatformSettings { workers: 12, .. }`.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Number of workers.
    pub workers: usize,
    /// Memory of each worker.
    pub worker_memory_mb: u64,
    /// Operations (starts, stops and usage reports) accepted per second.
    pub operations_per_second: f64,
    /// Age of the list that is served.
    pub list_late: Duration,
    /// Behaviour of the functions' instances; other functions cannot be started.
    pub functions: BTreeMap<String, FakeFunction>,
    /// Time that a stopped instance has to finish its calls.
    pub drain_within: Duration,
}

struct RunningInstance {
    document: InstanceDocument,
    start_id: String,
    port: u16,
    task: AbortHandle,
}

struct PlatformState {
    settings: PlatformSettings,
    history: Arc<History>,
    began: Instant,
    workers: Vec<WorkerDocument>,
    instances: BTreeMap<String, RunningInstance>,
    /// Recent lists, newest last; the oldest is served.
    lists: VecDeque<(Instant, ListDocument)>,
    shown_draining: BTreeSet<String>,
    started: BTreeMap<String, StartedDocument>,
    free_ports: VecDeque<u16>,
    next_instance: u64,
    tokens: f64,
    filled_at: Instant,
    throttled: u64,
    starts: u64,
    stops: u64,
    /// The highest fence of the usage reports so far.
    highest_fence: u64,
}

/// A fake platform on its own thread. Example: `FakePlatform::start(listen, settings, history, began)`.
pub struct FakePlatform {
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

enum Command {
    Http { method: Method, path: String, body: Vec<u8>, reply: oneshot::Sender<(StatusCode, String)> },
    Drain(usize),
    Crash(usize),
    Counts(std::sync::mpsc::Sender<(u64, u64, u64)>),
    End,
}

impl FakePlatform {
    /// Starts the platform at this address; port 0 selects a free port. Example: `platform.address()`.
    pub fn start(
        listen: SocketAddr,
        settings: PlatformSettings,
        history: Arc<History>,
        began: Instant,
    ) -> std::io::Result<FakePlatform> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (commands, received) = mpsc::unbounded_channel();
        let http_commands = commands.clone();
        std::thread::Builder::new().name("platform stand-in".to_owned()).spawn(move || {
            actix_rt::System::new().block_on(run(
                listener,
                settings,
                history,
                began,
                http_commands,
                received,
            ));
        })?;
        Ok(FakePlatform { address, commands })
    }

    /// The address that it listens at. Example: `platform.address().port() != 0`.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drains a worker and its instances. Example: `platform.drain(0)`.
    pub fn drain(&self, worker: usize) {
        let _ = self.commands.send(Command::Drain(worker));
    }

    /// Removes a worker with its instances at once. Example: `platform.crash(1)`.
    pub fn crash(&self, worker: usize) {
        let _ = self.commands.send(Command::Crash(worker));
    }

    /// Numbers of starts, stops and throttled operations so far. Example: `let (starts, ..) = platform.counts();`.
    pub fn counts(&self) -> (u64, u64, u64) {
        let (sender, receiver) = std::sync::mpsc::channel();
        let _ = self.commands.send(Command::Counts(sender));
        receiver.recv_timeout(Duration::from_secs(5)).unwrap_or_default()
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::End);
    }
}

async fn run(
    listener: TcpListener,
    settings: PlatformSettings,
    history: Arc<History>,
    began: Instant,
    http_commands: mpsc::UnboundedSender<Command>,
    mut received: mpsc::UnboundedReceiver<Command>,
) {
    let workers = (0..settings.workers)
        .map(|number| WorkerDocument {
            id: format!("worker-{number}"),
            memory_mb: settings.worker_memory_mb,
            zone: String::new(),
            state: "ready".to_owned(),
        })
        .collect();
    let state = Rc::new(RefCell::new(PlatformState {
        tokens: settings.operations_per_second,
        settings,
        history,
        began,
        workers,
        instances: BTreeMap::new(),
        lists: VecDeque::new(),
        shown_draining: BTreeSet::new(),
        started: BTreeMap::new(),
        free_ports: VecDeque::new(),
        next_instance: 1,
        filled_at: Instant::now(),
        throttled: 0,
        starts: 0,
        stops: 0,
        highest_fence: 0,
    }));
    let server = Server::build().workers(1).disable_signals().listen("platform", listener, move || {
        let sender = http_commands.clone();
        HttpService::build()
            .h1(move |mut request: Request| {
                let sender = sender.clone();
                async move {
                    let mut body = Vec::new();
                    let mut payload = request.take_payload();
                    while let Some(Ok(chunk)) = payload.next().await {
                        body.extend_from_slice(&chunk);
                    }
                    let (reply, response) = oneshot::channel();
                    let (method, path) = (request.method().clone(), request.path().to_owned());
                    let _ = sender.send(Command::Http { method, path, body, reply });
                    let no_response = (StatusCode::INTERNAL_SERVER_ERROR, String::new());
                    let (status, text) = response.await.unwrap_or(no_response);
                    Ok::<_, std::convert::Infallible>(Response::with_body(status, BoxBody::new(text)))
                }
            })
            .tcp()
    });
    let Ok(server) = server else { return };
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    let mut list_ticker = tokio::time::interval(Duration::from_millis(50));
    loop {
        tokio::select! {
            _ = list_ticker.tick() => state.borrow_mut().record_list(),
            command = received.recv() => match command {
                Some(Command::Drain(worker)) => state.borrow_mut().drain(worker),
                Some(Command::Crash(worker)) => state.borrow_mut().crash(worker),
                Some(Command::Counts(reply)) => {
                    let _ = reply.send(state.borrow().counts());
                }
                Some(Command::Http { method, path, body, reply }) => {
                    let _ = reply.send(respond(&state, &method, &path, &body));
                }
                Some(Command::End) | None => break,
            },
        }
    }
    handle.stop(false).await;
}

fn respond(
    state: &Rc<RefCell<PlatformState>>,
    method: &Method,
    path: &str,
    body: &[u8],
) -> (StatusCode, String) {
    match (method.as_str(), path, path.strip_prefix("/cells/")) {
        ("GET", "/cells", _) => (StatusCode::OK, state.borrow().late_list()),
        ("POST", "/cells", _) => match serde_json::from_slice::<StartDocument>(body) {
            Ok(start) => start_instance(state, &start),
            Err(failure) => (StatusCode::BAD_REQUEST, failure.to_string()),
        },
        ("POST", "/usage", _) => match serde_json::from_slice::<UsageReportDocument>(body) {
            Ok(report) => state.borrow_mut().report_usage(report),
            Err(failure) => (StatusCode::BAD_REQUEST, failure.to_string()),
        },
        ("DELETE", _, Some(instance)) => stop_instance(state, instance),
        _ => (StatusCode::NOT_FOUND, String::new()),
    }
}

fn start_instance(state: &Rc<RefCell<PlatformState>>, start: &StartDocument) -> (StatusCode, String) {
    if start.start_id.len() > START_ID_LIMIT {
        return (StatusCode::BAD_REQUEST, json!({"reason": "the start id is too long"}).to_string());
    }
    let mut platform = state.borrow_mut();
    if let Some(started) = platform.started.get(&start.start_id) {
        return (StatusCode::OK, json!(started).to_string());
    }
    if !platform.take_token() {
        return (StatusCode::TOO_MANY_REQUESTS, String::new());
    }
    let Some(behaviour) = platform.settings.functions.get(&start.function).cloned() else {
        return (StatusCode::CONFLICT, json!({"reason": "no such function"}).to_string());
    };
    let worker = platform.workers.iter().find(|worker| worker.id == start.worker && worker.state == "ready");
    let Some(worker_memory) = worker.map(|worker| worker.memory_mb) else {
        return (StatusCode::CONFLICT, json!({"reason": "no such worker"}).to_string());
    };
    let used_memory: u64 = platform
        .instances
        .values()
        .filter(|instance| instance.document.worker == start.worker)
        .map(|instance| instance.document.memory_mb)
        .sum();
    if used_memory + start.memory_mb > worker_memory {
        return (StatusCode::CONFLICT, json!({"reason": "no room"}).to_string());
    }
    // Freed ports are reused first, since a platform may reuse addresses.
    let reused_port = platform.free_ports.pop_front();
    let Some((socket, address)) = bind(reused_port.unwrap_or(0)).or_else(|| bind(0)) else {
        return (StatusCode::CONFLICT, json!({"reason": "no address"}).to_string());
    };
    // The id contains the process id: another fake platform on this machine may assign the same port.
    let id = format!("cell-{}-{}", std::process::id(), platform.next_instance);
    platform.next_instance += 1;
    platform.starts += 1;
    let boot = Duration::from_millis(behaviour.boot_millis);
    let instance = Rc::new(FakeInstance {
        id: id.clone(),
        function: start.function.clone(),
        behaviour,
        history: platform.history.clone(),
        began: platform.began,
        in_flight: Cell::new(0),
    });
    // The socket is bound but does not listen yet, so connections are refused while the instance boots.
    let task = actix_rt::spawn(async move {
        tokio::time::sleep(boot).await;
        if let Ok(listener) = socket.listen(1_024) {
            instance.accept(listener).await;
        }
    });
    let document = InstanceDocument {
        id: id.clone(),
        function: start.function.clone(),
        worker: start.worker.clone(),
        address,
        memory_mb: start.memory_mb,
        state: "running".to_owned(),
    };
    let running = RunningInstance {
        document,
        start_id: start.start_id.clone(),
        port: address.port(),
        task: task.abort_handle(),
    };
    platform.instances.insert(id.clone(), running);
    let at = micros_since(platform.began);
    platform.history.append(Line::InstanceStarted {
        at,
        instance: id.clone(),
        function: start.function.clone(),
        worker: start.worker.clone(),
        memory_mb: start.memory_mb,
        runs_from: at + boot.as_micros() as u64,
    });
    let started = StartedDocument { instance: id, address };
    platform.started.insert(start.start_id.clone(), started.clone());
    (StatusCode::CREATED, json!(started).to_string())
}

fn bind(port: u16) -> Option<(TcpSocket, SocketAddr)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], port))).ok()?;
    let address = socket.local_addr().ok()?;
    Some((socket, address))
}

fn stop_instance(state: &Rc<RefCell<PlatformState>>, instance: &str) -> (StatusCode, String) {
    let mut platform = state.borrow_mut();
    if !platform.instances.contains_key(instance) {
        return (StatusCode::NOT_FOUND, String::new());
    }
    if !platform.take_token() {
        return (StatusCode::TOO_MANY_REQUESTS, String::new());
    }
    platform.stops += 1;
    platform.drain_instance(instance);
    let stopped = Line::InstanceStopped { at: micros_since(platform.began), instance: instance.to_owned() };
    platform.history.append(stopped);
    let (state, instance, within) = (state.clone(), instance.to_owned(), platform.settings.drain_within);
    actix_rt::spawn(async move {
        tokio::time::sleep(within).await;
        state.borrow_mut().end(&instance);
    });
    (StatusCode::ACCEPTED, String::new())
}

impl PlatformState {
    /// Takes a token of the rate limit; false if there is none.
    fn take_token(&mut self) -> bool {
        let elapsed = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        let rate = self.settings.operations_per_second;
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        if self.tokens < 1.0 {
            self.throttled += 1;
            self.history.append(Line::OperationThrottled { at: micros_since(self.began) });
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn report_usage(&mut self, report: UsageReportDocument) -> (StatusCode, String) {
        if !self.take_token() {
            return (StatusCode::TOO_MANY_REQUESTS, String::new());
        }
        let accepted = report.fence >= self.highest_fence;
        self.highest_fence = self.highest_fence.max(report.fence);
        let count = |calls: u64| u32::try_from(calls).unwrap_or(u32::MAX);
        self.history.append(Line::UsageReported {
            at: micros_since(self.began),
            holder: report.holder,
            fence: report.fence,
            window: report.usage.window,
            counts: report.usage.counts.into_iter().map(|(tenant, calls)| (tenant, count(calls))).collect(),
            accepted,
        });
        (if accepted { StatusCode::OK } else { StatusCode::CONFLICT }, String::new())
    }

    fn drain_instance(&mut self, instance: &str) {
        if let Some(running) = self.instances.get_mut(instance) {
            running.document.state = "leaving".to_owned();
        }
    }

    /// Ends an instance and frees its port.
    fn end(&mut self, instance: &str) {
        let Some(running) = self.instances.remove(instance) else { return };
        running.task.abort();
        self.started.remove(&running.start_id);
        self.free_ports.push_back(running.port);
    }

    fn drain(&mut self, worker: usize) {
        let Some(drained) = self.workers.get_mut(worker) else { return };
        drained.state = "draining".to_owned();
        let worker_id = drained.id.clone();
        for instance in self.instances.values_mut().filter(|instance| instance.document.worker == worker_id) {
            instance.document.state = "leaving".to_owned();
        }
    }

    fn crash(&mut self, worker: usize) {
        let Some(crashed) = self.workers.get(worker) else { return };
        let worker_id = crashed.id.clone();
        let lost: Vec<String> = self
            .instances
            .iter()
            .filter(|(_, instance)| instance.document.worker == worker_id)
            .map(|(id, _)| id.clone())
            .collect();
        for instance in lost {
            self.end(&instance);
        }
        self.workers.remove(worker);
    }

    fn counts(&self) -> (u64, u64, u64) {
        (self.starts, self.stops, self.throttled)
    }

    /// Records the current list and reports instances that the served list shows as draining for the first time.
    fn record_list(&mut self) {
        let list = ListDocument {
            workers: self.workers.clone(),
            instances: self.instances.values().map(|instance| instance.document.clone()).collect(),
        };
        self.lists.push_back((Instant::now(), list));
        while self.lists.len() > 1 && self.lists[1].0.elapsed() >= self.settings.list_late {
            self.lists.pop_front();
        }
        let Some((recorded_at, shown)) = self.lists.front() else { return };
        if recorded_at.elapsed() < self.settings.list_late {
            return;
        }
        for instance in shown.instances.iter().filter(|instance| instance.state == "leaving") {
            if self.shown_draining.insert(instance.id.clone()) {
                let at = micros_since(self.began);
                self.history.append(Line::InstanceShownDraining { at, instance: instance.id.clone() });
            }
        }
    }

    fn late_list(&self) -> String {
        let late =
            self.lists.front().filter(|(recorded_at, _)| recorded_at.elapsed() >= self.settings.list_late);
        let empty = ListDocument { workers: self.workers.clone(), instances: Vec::new() };
        json!(late.map_or(&empty, |(_, list)| list)).to_string()
    }
}
