//! The cases: what is sent, when the trouble begins, and the check of the rule.

use crate::cells::{Service, World, lock};
use crate::fleet::{Fleet, HOST};
use crate::http::{Connection, Message};
use crate::record::Record;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time that a client waits.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// A client's further tries.
const FURTHER_TRIES: usize = 2;
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The answers to all tries of the clients.
#[derive(Default)]
struct Answers {
    by_status: BTreeMap<u16, u64>,
    /// The ids of the requests that were answered with a promise.
    promised: Vec<(String, u16)>,
}

struct Client {
    record: Arc<Record>,
    answers: Arc<Mutex<Answers>>,
    front: SocketAddr,
    target: String,
    pause: Duration,
    connection: Option<Connection>,
}

impl Client {
    /// Sends request after request until `stop` is set.
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.request();
            thread::sleep(self.pause);
        }
    }

    /// One request with its further tries: each has an id of its own, a promise is followed by another try after the
    /// time that it names, and nothing else is.
    fn request(&mut self) {
        let ends_at = Instant::now() + DEADLINE;
        for _ in 0..=FURTHER_TRIES {
            let time_left = ends_at.saturating_duration_since(Instant::now());
            if time_left < Duration::from_millis(50) {
                return;
            }
            let request_id = format!("{:016x}", 0x9c41_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst));
            let answer = self.try_once(&request_id, time_left);
            let status = answer.as_ref().map_or(0, Message::status);
            let outcome = if status == 0 { "no answer".to_owned() } else { status.to_string() };
            self.record.line(&format!("client: {request_id} is answered with {outcome}"));
            let mut answers = lock(&self.answers);
            *answers.by_status.entry(status).or_default() += 1;
            if PROMISES.contains(&status) {
                answers.promised.push((request_id, status));
            }
            drop(answers);
            let Some(answer) = answer.filter(|_| PROMISES.contains(&status)) else { return };
            let wait: f64 = answer.header("Retry-After").and_then(|text| text.parse().ok()).unwrap_or(0.1);
            let longest = ends_at.saturating_duration_since(Instant::now()) / 3;
            thread::sleep(Duration::from_secs_f64(wait).min(longest));
            // Each further try goes over a new connection.
            self.connection = None;
        }
    }

    fn try_once(&mut self, request_id: &str, time_left: Duration) -> Option<Message> {
        if self.connection.is_none() {
            self.connection = Connection::open(self.front, DEADLINE + Duration::from_secs(1));
        }
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Id", request_id.to_owned()),
            ("Time-Left-Ms", time_left.as_millis().to_string()),
        ];
        self.record.line(&format!("client: {request_id} POST {}", self.target));
        let answer = self.connection.as_mut()?.send(&format!("POST {}", self.target), &headers, "one order");
        if answer.as_ref().is_none_or(Message::closes) {
            self.connection = None;
        }
        answer
    }
}

fn record_file(case: &str) -> Result<Arc<Record>, String> {
    Ok(Arc::new(Record::create(&PathBuf::from("review").join(case).join("record.txt"))?))
}

fn service_json(service: &Service) -> String {
    format!(
        concat!(
            r#"{{"name":"{}","healthPath":null,"maxConns":106,"protocol":"h1","tls":false,"memoryMb":{},"#,
            r#""bootMs":{},"maxConcurrent":{}}}"#
        ),
        service.name,
        service.memory_mb,
        service.boot.as_millis(),
        service.most
    )
}

fn route_json(name: &str, prefix: &str, service: &str) -> String {
    format!(
        concat!(
            r#"{{"name":"{}","host":"{}","pathPrefix":"{}","routeType":"unsafe","timeoutMs":4000,"targetMs":400,"#,
            r#""rank":1,"service":"{}","tries":1}}"#
        ),
        name, HOST, prefix, service
    )
}

fn configuration(version: u64, routes: &[String], services: &[Service]) -> String {
    let services: Vec<String> = services.iter().map(service_json).collect();
    format!(
        concat!(
            r#"{{"version":{},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"#,
            r#""maxBodyBytes":262144,"headerWaitMs":3000,"idleMs":15000}}}}"#
        ),
        version,
        routes.join(","),
        services.join(",")
    )
}

/// Runs one client for each target, calls `midway` after a while, and ends the clients.
fn with_clients(
    fleet: &Fleet,
    targets: &[String],
    pause: Duration,
    (before, after): (Duration, Duration),
    midway: impl FnOnce() -> Result<(), String>,
) -> Result<Arc<Mutex<Answers>>, String> {
    let answers: Arc<Mutex<Answers>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (number, target) in targets.iter().enumerate() {
        let client = Client {
            record: fleet.record.clone(),
            answers: answers.clone(),
            front: fleet.front(number),
            target: target.clone(),
            pause,
            connection: None,
        };
        let stop = stop.clone();
        threads.push(thread::spawn(move || client.run(&stop)));
    }
    thread::sleep(before);
    let outcome = midway();
    thread::sleep(after);
    stop.store(true, Ordering::SeqCst);
    for ended in threads {
        let _ = ended.join();
    }
    outcome?;
    // Whatever still runs shows itself.
    thread::sleep(Duration::from_secs(2));
    let by_status = lock(&answers).by_status.clone();
    fleet.record.line(&format!(
        "summary: answers by status {by_status:?} (0 is none), {} runs, {} turned away by cells",
        lock(&fleet.world.runs).len(),
        fleet.world.shed.load(Ordering::SeqCst)
    ));
    if by_status.get(&200).copied().unwrap_or(0) < 200 {
        return Err(format!("too few requests were served: {by_status:?}"));
    }
    Ok(answers)
}

/// Rule REFUSED: a request that may not be repeated is answered with a promise that it has not run, and runs.
pub fn extra_refusal(trouble: bool) -> Result<u64, String> {
    let record = record_file("1")?;
    let names = ["books0", "books1", "books2", "books3"];
    let services: Vec<Service> = names
        .iter()
        .map(|name| Service {
            name,
            memory_mb: 512,
            boot: Duration::from_millis(1_400),
            most: 4,
            work: Duration::from_millis(45),
        })
        .collect();
    let adjust = |world: &mut World| {
        world.hold = Duration::from_millis(30);
        world.close_every = 10;
    };
    let fleet = Fleet::start(&record, services.clone(), adjust)?;
    let routes: Vec<String> =
        names.iter().map(|name| route_json(&format!("r-{name}"), &format!("/{name}/"), name)).collect();
    fleet.change("PUT", 0, &configuration(1, &routes, &services))?;
    fleet.wait_ready()?;
    let targets: Vec<String> = (0..40).map(|number| format!("/{}/order", names[number % names.len()])).collect();
    let times = (Duration::from_secs(8), Duration::from_secs(4));
    let world = fleet.world.clone();
    let answers = with_clients(&fleet, &targets, Duration::from_millis(40), times, || {
        for pause in [4, 0] {
            world.set_extra_answers(trouble);
            thread::sleep(Duration::from_secs(5));
            world.set_extra_answers(false);
            thread::sleep(Duration::from_secs(pause));
        }
        Ok(())
    })?;
    let run: HashSet<String> = lock(&world.runs).iter().map(|run| run.request_id.clone()).collect();
    let mut broken = 0;
    for (request_id, status) in &lock(&answers).promised {
        if run.contains(request_id) {
            broken += 1;
            record.line(&format!("REFUSED is broken: {request_id} was answered with {status} and has run"));
        }
    }
    record.line(&format!("result: REFUSED was broken {broken} times"));
    Ok(broken)
}

/// Rule ROUTE: a service runs a request that no configuration ever sent lets go to it.
pub fn nested_prefix(trouble: bool) -> Result<u64, String> {
    let record = record_file("2")?;
    let service = |name| Service {
        name,
        memory_mb: 768,
        boot: Duration::from_millis(1_400),
        most: 6,
        work: Duration::from_millis(90),
    };
    let services = vec![service("desk"), service("rush")];
    let fleet = Fleet::start(&record, services.clone(), |_| {})?;
    let routes = [route_json("r-desk", "/gowu780/", "desk"), route_json("r-other", "/yeje571/", "rush")];
    fleet.change("PUT", 0, &configuration(1, &routes, &services))?;
    fleet.wait_ready()?;
    let targets: Vec<String> = ["/gowu780/fi14", "/gowu780/fi14", "/gowu780/fi14", "/gowu780/2f", "/yeje571/2f", "/yeje571/2f"]
        .map(str::to_owned)
        .to_vec();
    let times = (Duration::from_secs(10), Duration::from_secs(8));
    let answers = with_clients(&fleet, &targets, Duration::from_millis(60), times, || {
        if !trouble {
            return Ok(());
        }
        let route = route_json("r-rush", "/gowu780/fi14/", "rush");
        record.line("operator: adds the route /gowu780/fi14/ to the service rush");
        fleet.change("PATCH", 1, &format!(r#"{{"version":2,"putItems":{{"routes":[{route}]}}}}"#))
    })?;
    drop(answers);
    let mut broken = 0;
    for run in lock(&fleet.world.runs).iter() {
        // Only `/gowu780/` begins this path, in every version.
        if run.target == "/gowu780/fi14" && run.service != "desk" {
            broken += 1;
            record.line(&format!(
                "ROUTE is broken: at {} ms cell {} of {} ran {} {}",
                run.at_millis, run.cell, run.service, run.request_id, run.target
            ));
        }
    }
    record.line(&format!("result: ROUTE was broken {broken} times"));
    Ok(broken)
}
