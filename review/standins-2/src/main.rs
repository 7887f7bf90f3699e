//! The cases of the second review, one subcommand each. Exit codes: 0 the rule held, 1 it was broken, 2 the case
//! could not run. Usage: `review_two CASE FOLDER RECORD TROUBLE PROGRAM...`.

mod fleet;
mod http;
mod operator;
mod platform;
mod record;

use fleet::{Fleet, Survive};
use operator::{configuration, put, read, Service, HOST};
use platform::Platform;
use record::Record;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a case needs.
struct Setting {
    folder: PathBuf,
    program: Vec<String>,
    has_trouble: bool,
    record: Record,
}

/// Whether the rule held; the error says why the case could not run.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record, trouble, program @ ..] = arguments.as_slice() else {
        eprintln!("usage: review_two CASE FOLDER RECORD TROUBLE PROGRAM...");
        return ExitCode::from(2);
    };
    if program.is_empty() {
        return ExitCode::from(2);
    }
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(failure) => {
            eprintln!("record: {failure}");
            return ExitCode::from(2);
        }
    };
    let setting = Setting {
        folder: PathBuf::from(folder),
        program: program.to_vec(),
        has_trouble: trouble != "0",
        record: record.clone(),
    };
    record.line(format!("case {case}, trouble {}", setting.has_trouble));
    let verdict = match case.as_str() {
        "zone_loss" => zone_loss(&setting),
        "late_bytes" => spoiled_answers(&setting, Spoil::LateBytes),
        "unframed" => spoiled_answers(&setting, Spoil::Unframed),
        "long_name" => long_name(&setting),
        "short_memory" => short_memory(&setting),
        "first_seeds" => first_seeds(&setting),
        "first_kill" => first_kill(&setting),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match &verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

fn text(failure: std::io::Error) -> String {
    failure.to_string()
}

fn seconds(count: f64) {
    std::thread::sleep(Duration::from_secs_f64(count));
}

const SERVICE: &str = "dele69a";
const PREFIX: &str = "/finy721/je87/";

fn desk(route_type: &str) -> Service<'_> {
    Service { name: SERVICE, prefix: PREFIX, route_type, at_once: 6 }
}

/// Client requests to one route, one after the other, to the machines in turn; how many got a 200.
fn serve_share(setting: &Setting, fleet: &Fleet, prefix: &str, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let machine = number % fleet.machines.len();
        let id = format!("{:016x}", fastrandom());
        let answer = http::call(
            fleet.at(machine, fleet.ports.front),
            &format!("GET {prefix}{number} HTTP/1.1"),
            &[("Host", HOST), ("Request-Id", &id), ("Time-Left-Ms", "4000")],
            b"",
            Duration::from_secs(4),
        );
        let status = answer.as_ref().map_or(0, http::Message::status);
        setting.record.line(format!("request {id} on {prefix} at {}: {status}", fleet.machines[machine].name));
        served += usize::from(status == 200);
    }
    served
}

/// A number that differs from call to call.
fn fastrandom() -> u64 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    RandomState::new().build_hasher().finish()
}

/// Three zones with one machine each, of which one zone may be lost. The zone of the first machine is lost, and
/// its disk does not come back with it.
fn zone_loss(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(
        vec![(SERVICE.to_owned(), 6)],
        platform::WORKER_MB,
        Duration::from_millis(500),
        Duration::from_millis(60),
        record.clone(),
    )
    .map_err(text)?;
    let survive = Survive { machines: 0, zones: 1 };
    let mut fleet =
        Fleet::lay_out(&setting.folder, setting.program.clone(), platform.address, (3, 0), survive, record.clone())
            .map_err(text)?;
    for index in 0..3 {
        fleet.start(index, true).map_err(text)?;
    }
    let services = [desk("safe")];
    let within = Duration::from_secs(15);
    put(&fleet, record, (1, 0), &configuration(1, &services), within).ok_or("the first configuration")?;
    put(&fleet, record, (3, 1), &configuration(3, &services), within).ok_or("the second configuration")?;
    seconds(8.0);
    let served_before = serve_share(setting, &fleet, PREFIX, 12);
    let read_before = (0..3).filter(|index| read(&fleet, *index) == Ok(3)).count();
    record.line(format!("before: {served_before} of 12 requests served, {read_before} of 3 machines read version 3"));
    if read_before == 0 || served_before < 3 {
        return Err("the quiet fleet does not serve".to_owned());
    }
    if setting.has_trouble {
        record.line("the zone szeged-hall is lost for 5 s");
        fleet.kill(0);
        fleet.lose_disk(0);
        seconds(5.0);
        fleet.start(0, false).map_err(text)?;
    } else {
        seconds(5.0);
    }
    // catchUpS, then recoverS; then the operator asks again and again for five times inTouchMs.
    seconds(16.0);
    let mut newest = None;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20) {
        let answers: Vec<Result<u64, u16>> = (0..3).map(|index| read(&fleet, index)).collect();
        record.line(format!("GET /v1/config at the three machines: {answers:?}"));
        newest = newest.max(answers.iter().filter_map(|answer| answer.ok()).max());
        seconds(1.0);
    }
    record.line(format!("newest version read back: {newest:?}; the newest acknowledged is 3"));
    let taken = put(&fleet, record, (5, 3), &configuration(5, &services), Duration::from_secs(10));
    record.line(format!("a further change on top of version 3 is acknowledged after {taken:?}"));
    let served_after = serve_share(setting, &fleet, PREFIX, 12);
    record.line(format!("after: {served_after} of 12 requests served"));
    Ok(newest >= Some(3))
}

/// The answers to the clients' orders: the status, and whether the body was the cell's whole body.
type Answers = Arc<Mutex<HashMap<String, (u16, bool)>>>;

/// What the cells do with some of their answers for 5 s.
#[derive(Clone, Copy, PartialEq)]
enum Spoil {
    LateBytes,
    Unframed,
}

/// Clients send orders that may run once at most; for 5 s the cells spoil some of their answers.
fn spoiled_answers(setting: &Setting, spoil: Spoil) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(
        vec![(SERVICE.to_owned(), 2)],
        platform::WORKER_MB,
        Duration::from_millis(500),
        Duration::from_millis(20),
        record.clone(),
    )
    .map_err(text)?;
    let survive = Survive { machines: 1, zones: 0 };
    let mut fleet =
        Fleet::lay_out(&setting.folder, setting.program.clone(), platform.address, (3, 0), survive, record.clone())
            .map_err(text)?;
    for index in 0..3 {
        fleet.start(index, true).map_err(text)?;
    }
    let document = configuration(1, &[Service { at_once: 2, ..desk("unsafe") }]);
    put(&fleet, record, (1, 0), &document, Duration::from_secs(15)).ok_or("the first configuration")?;
    seconds(5.0);
    let answers: Answers = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12)
        .map(|client| {
            let address = fleet.at(client % 3, fleet.ports.front);
            let (answers, ends, record) = (answers.clone(), ends.clone(), record.clone());
            std::thread::spawn(move || order_client(address, &answers, &ends, &record))
        })
        .collect();
    seconds(10.0);
    let trouble = match spoil {
        Spoil::LateBytes => &platform.trouble.sends_late_bytes,
        Spoil::Unframed => &platform.trouble.sends_unframed,
    };
    if setting.has_trouble {
        record.line("the cells are in trouble for 5 s");
        trouble.store(true, Ordering::SeqCst);
    }
    seconds(5.0);
    trouble.store(false, Ordering::SeqCst);
    seconds(8.0);
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    seconds(1.0);
    let answers = answers.lock().unwrap();
    let runs = platform.runs.lock().unwrap();
    let (of, spoiled) =
        (platform.trouble.answers.load(Ordering::SeqCst), platform.trouble.spoiled.load(Ordering::SeqCst));
    record.line(format!("the cells in trouble gave {of} answers and spoiled {spoiled} of them"));
    let served = answers.values().filter(|(status, _)| *status == 200).count();
    let with_status = |wanted: &dyn Fn(&String, u16, bool) -> bool| -> Vec<String> {
        let found = answers.iter().filter(|(id, (status, is_whole))| wanted(id, *status, *is_whole));
        found.map(|(id, _)| id.clone()).collect()
    };
    let promised = with_status(&|id, status, _| is_promise(status) && runs.contains_key(id));
    let mixed = with_status(&|_, status, is_whole| status == 200 && !is_whole);
    let twice: Vec<&String> = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
    record.line(format!("{} orders, {served} answered with 200", answers.len()));
    record.line(format!("REFUSED: {} orders got a promise and were run: {promised:?}", promised.len()));
    record.line(format!("TWICE: {} orders were run more than once: {twice:?}", twice.len()));
    record.line(format!("MIXED: {} orders got a success without the whole body: {mixed:?}", mixed.len()));
    if served < 100 {
        return Err("the clients were hardly served".to_owned());
    }
    Ok(promised.is_empty() && twice.is_empty() && mixed.is_empty())
}

/// Whether clients take this status as a promise that the request has not run and never will.
fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

/// Sends one order after the other on a kept connection. Where an order is refused, it is sent again as a new try
/// after `Retry-After`, up to a third of its time, twice at most.
fn order_client(address: std::net::SocketAddr, answers: &Answers, ends: &AtomicBool, record: &Record) {
    let mut connection: Option<http::Connection> = None;
    while !ends.load(Ordering::SeqCst) {
        for _ in 0..3 {
            let id = format!("{:016x}", fastrandom());
            let request = http::encode(
                &format!("POST {PREFIX}order HTTP/1.1"),
                &[("Host", HOST), ("Request-Id", &id), ("Time-Left-Ms", "4000")],
                b"a pallet of labels",
            );
            if connection.is_none() {
                connection = http::Connection::open(address, Duration::from_secs(1)).ok();
            }
            let answer = connection.as_mut().and_then(|open| {
                open.write(&request).ok()?;
                open.read(Some(Instant::now() + Duration::from_secs(5))).ok().flatten()
            });
            let status = answer.as_ref().map_or(0, http::Message::status);
            let is_whole = answer.as_ref().is_some_and(|answer| answer.body == platform::WHOLE_BODY);
            answers.lock().unwrap().insert(id.clone(), (status, is_whole));
            if status != 200 || !is_whole {
                let length = answer.as_ref().map_or(0, |answer| answer.body.len());
                record.line(format!("order {id} is answered with {status} and {length} bytes"));
            }
            if answer.as_ref().is_none_or(http::Message::closes) || status != 200 {
                connection = None;
            }
            if !is_promise(status) {
                break;
            }
            let pause: f64 = answer
                .as_ref()
                .and_then(|answer| answer.header("retry-after")?.parse().ok())
                .unwrap_or(0.2);
            seconds(pause.clamp(0.05, 1.3));
        }
    }
}

/// A configuration adds a route to a service whose name has 64 bytes.
fn long_name(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let long = "orderdesk-of-the-wineries-for-the-rush-reorders-of-bottle-labels";
    let short = "orderdesk-of-the-wineries";
    let added = if setting.has_trouble { long } else { short };
    record.line(format!("the added service is {added}, of {} bytes", added.len()));
    let platform = Platform::start(
        vec![(SERVICE.to_owned(), 6), (added.to_owned(), 6)],
        platform::WORKER_MB,
        Duration::from_millis(500),
        Duration::from_millis(20),
        record.clone(),
    )
    .map_err(text)?;
    let survive = Survive { machines: 1, zones: 0 };
    let mut fleet =
        Fleet::lay_out(&setting.folder, setting.program.clone(), platform.address, (3, 0), survive, record.clone())
            .map_err(text)?;
    for index in 0..3 {
        fleet.start(index, true).map_err(text)?;
    }
    let within = Duration::from_secs(15);
    put(&fleet, record, (1, 0), &configuration(1, &[desk("safe")]), within).ok_or("the first configuration")?;
    seconds(5.0);
    let services =
        [desk("safe"), Service { name: added, prefix: "/rami751x5/", route_type: "safe", at_once: 6 }];
    put(&fleet, record, (3, 1), &configuration(3, &services), within).ok_or("the second configuration")?;
    seconds(5.0);
    let first = serve_share(setting, &fleet, PREFIX, 22);
    let later = serve_share(setting, &fleet, "/rami751x5/", 22);
    let refused = platform.refused_nonces.lock().unwrap().values().sum::<u32>();
    record.line(format!("served: {first} of 22 on the first route, {later} of 22 on the one added later"));
    record.line(format!("{refused} starts were refused because their nonce has more than 64 bytes"));
    if first < 20 {
        return Err("the first route is hardly served".to_owned());
    }
    Ok(later * 4 >= first)
}

/// How many services the workers have room for, one cell each.
const ROOM: usize = 9;

/// The workers have room for the cells of nine services, which are called all the time. A configuration adds a
/// route, with the disruption to a service of its own, without it to one of the nine.
fn short_memory(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let names: Vec<String> = (0..=ROOM).map(|number| format!("{}{number}", SERVICE)).collect();
    let prefixes: Vec<String> = (0..=ROOM).map(|number| format!("/rami751x{number}/")).collect();
    let platform = Platform::start(
        names.iter().map(|name| (name.clone(), 4)).collect(),
        384,
        Duration::from_millis(500),
        Duration::from_millis(60),
        record.clone(),
    )
    .map_err(text)?;
    let survive = Survive { machines: 1, zones: 0 };
    let mut fleet =
        Fleet::lay_out(&setting.folder, setting.program.clone(), platform.address, (3, 0), survive, record.clone())
            .map_err(text)?;
    for index in 0..3 {
        fleet.start(index, true).map_err(text)?;
    }
    let service = |number: usize| Service {
        name: &names[number],
        prefix: &prefixes[number],
        route_type: "safe",
        at_once: 4,
    };
    let mut services: Vec<Service> = (0..ROOM).map(service).collect();
    let within = Duration::from_secs(15);
    put(&fleet, record, (1, 0), &configuration(1, &services), within).ok_or("the first configuration")?;
    seconds(4.0);
    let ends = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Vec<(usize, usize)>>> = Arc::new(Mutex::new(vec![(0, 0); ROOM + 1]));
    let client = |number: usize, machine: usize| {
        let address = fleet.at(machine % 3, fleet.ports.front);
        let (prefix, record, ends, counts) =
            (prefixes[number].clone(), record.clone(), ends.clone(), counts.clone());
        std::thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                let id = format!("{:016x}", fastrandom());
                let answer = http::call(
                    address,
                    &format!("GET {prefix}x HTTP/1.1"),
                    &[("Host", HOST), ("Request-Id", &id), ("Time-Left-Ms", "4000")],
                    b"",
                    Duration::from_secs(4),
                );
                let status = answer.as_ref().map_or(0, http::Message::status);
                record.line(format!("request {id} on {prefix}: {status}"));
                let mut counts = counts.lock().unwrap();
                counts[number].0 += 1;
                counts[number].1 += usize::from(status == 200);
                drop(counts);
                seconds(0.5);
            }
        })
    };
    let mut clients: Vec<_> = (0..ROOM).map(|number| client(number, number)).collect();
    seconds(15.0);
    let before: Vec<(usize, usize)> = counts.lock().unwrap().clone();
    record.line(format!("before the change, requests and served, by route: {before:?}"));
    let mut added = service(ROOM);
    if !setting.has_trouble {
        added.name = &names[0];
    }
    services.push(added);
    // A service is listed once; without the disruption the added route names the first one again.
    let document = match setting.has_trouble {
        true => configuration(3, &services),
        false => operator::with_route(&configuration(3, &services[..ROOM]), &services[ROOM]),
    };
    put(&fleet, record, (3, 1), &document, within).ok_or("the second configuration")?;
    seconds(4.0);
    counts.lock().unwrap().iter_mut().for_each(|count| *count = (0, 0));
    clients.extend((0..4).map(|machine| client(ROOM, machine)));
    seconds(60.0);
    let after: Vec<(usize, usize)> = counts.lock().unwrap().clone();
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.line(format!("after the change, requests and served, by route: {after:?}"));
    let (asked, served) = after[..ROOM].iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let (later_asked, later_served) = after[ROOM];
    record.line(format!("first routes: {served} of {asked}; added route: {later_served} of {later_asked}"));
    if later_asked < 20 || served * 2 < asked {
        return Err("too few requests, or the first routes are not served".to_owned());
    }
    // Served under a quarter as often.
    Ok(later_served * asked * 4 >= served * later_asked)
}

/// At the first start the list names three machines that serve `control` and carry no disk.
fn first_seeds(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(
        vec![(SERVICE.to_owned(), 6)],
        platform::WORKER_MB,
        Duration::from_millis(500),
        Duration::from_millis(60),
        record.clone(),
    )
    .map_err(text)?;
    let survive = Survive { machines: 1, zones: 0 };
    let mut fleet =
        Fleet::lay_out(&setting.folder, setting.program.clone(), platform.address, (3, 3), survive, record.clone())
            .map_err(text)?;
    if setting.has_trouble {
        fleet.seeds = vec![3, 4, 5];
    }
    for index in 0..6 {
        fleet.start(index, true).map_err(text)?;
        seconds(0.04);
    }
    first_service(setting, &fleet)
}

/// The first configuration is sent until it is taken; then clients call.
fn first_service(setting: &Setting, fleet: &Fleet) -> Verdict {
    let record = &setting.record;
    let document = configuration(1, &[desk("safe")]);
    let taken = put(fleet, record, (1, 0), &document, Duration::from_secs(60));
    record.line(format!("the first configuration is acknowledged after {taken:?}"));
    seconds(4.0);
    let served = serve_share(setting, fleet, PREFIX, 12);
    record.line(format!("{served} of 12 requests served"));
    Ok(taken.is_some() && served > 0)
}

/// One process of the core is killed in the first start, before the last machine is up, and starts again.
fn first_kill(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(
        vec![(SERVICE.to_owned(), 6)],
        platform::WORKER_MB,
        Duration::from_millis(500),
        Duration::from_millis(60),
        record.clone(),
    )
    .map_err(text)?;
    let survive = Survive { machines: 1, zones: 0 };
    let mut fleet =
        Fleet::lay_out(&setting.folder, setting.program.clone(), platform.address, (3, 0), survive, record.clone())
            .map_err(text)?;
    fleet.start(0, true).map_err(text)?;
    seconds(0.1);
    fleet.start(1, true).map_err(text)?;
    seconds(0.15);
    if setting.has_trouble {
        fleet.kill(0);
    }
    fleet.start(2, true).map_err(text)?;
    seconds(1.0);
    if setting.has_trouble {
        fleet.start(0, false).map_err(text)?;
    }
    first_service(setting, &fleet)
}
