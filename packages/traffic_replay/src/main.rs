//! Replays recorded calls against a fleet at a given speed and compares the outcomes with the record.

use awc::http::Method;
use awc::{Client, Connector};
use gateway::{OUTCOME_HEADER, RecordedCall};
use monotonic_clock::{Micros, MonotonicClock};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

xflags::xflags! {
    /// Replays a recorded day: JSON lines as a node with the setting `recording` writes them.
    cmd vanelane-replay {
        /// A node's visitor address; calls go to all given in turn.
        repeated --to address: SocketAddr
        /// How much faster than recorded; 1 if not given.
        optional --speed speed: f64
        /// Calls under way at the most; 1000 if not given.
        optional --at-once at_once: usize
        /// The recorded day; /dev/stdin reads standard input.
        required file: PathBuf
    }
}

const LINE_LIMIT: usize = 64 * 1024;
const BODY_LIMIT: u64 = 64 * 1024 * 1024;
const REPORTED_BAD_LINES_LIMIT: usize = 100;

fn main() -> ExitCode {
    let command_line = VanelaneReplay::from_env_or_exit();
    let speed = command_line.speed.unwrap_or(1.0);
    if command_line.to.is_empty() || !(speed > 0.0 && speed.is_finite()) {
        eprintln!("vanelane_replay: name at least one --to address, and a --speed above 0");
        return ExitCode::from(2);
    }
    let reader: Box<dyn BufRead> = match std::fs::File::open(&command_line.file) {
        Ok(file) => Box::new(std::io::BufReader::new(file)),
        Err(failure) => {
            eprintln!("vanelane_replay: {}: {failure}", command_line.file.display());
            return ExitCode::from(2);
        }
    };
    let at_once = command_line.at_once.unwrap_or(1_000).max(1);
    let report = actix_rt::System::new().block_on(replay(reader, command_line.to, speed, at_once));
    println!("{}", serde_json::to_string_pretty(&report.page()).unwrap_or_default());
    if report.bad_lines == 0 && report.differing() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The results of a replay.
#[derive(Debug, Default)]
struct ReplayReport {
    replayed: u64,
    bad_lines: u64,
    /// The first bad lines: number and reason.
    reported_bad_lines: Vec<(u64, String)>,
    /// Number of calls by route, recorded outcome and replayed outcome.
    outcomes: BTreeMap<(String, String, String), u64>,
    /// Microseconds, of recorded calls that ran.
    recorded_latency: Vec<u64>,
    /// Microseconds, of replayed calls that ran.
    latency: Vec<u64>,
    /// The largest delay of a call behind its due time.
    largest_delay_micros: u64,
}

impl ReplayReport {
    fn add_bad_line(&mut self, number: u64, reason: String) {
        self.bad_lines += 1;
        if self.reported_bad_lines.len() < REPORTED_BAD_LINES_LIMIT {
            self.reported_bad_lines.push((number, reason));
        }
    }

    /// Number of calls whose outcome differs from the recorded one.
    fn differing(&self) -> u64 {
        self.outcomes.iter().filter(|((_, recorded, now), _)| recorded != now).map(|(_, count)| count).sum()
    }

    /// The report as it is printed.
    fn page(&self) -> Value {
        let quantile = |values: &[u64], fraction: f64| {
            let mut sorted_values = values.to_vec();
            sorted_values.sort_unstable();
            let index = ((sorted_values.len() as f64 - 1.0) * fraction).max(0.0) as usize;
            sorted_values.get(index).copied().unwrap_or(0) / 1_000
        };
        let latencies =
            |values: &[u64]| json!({"median": quantile(values, 0.5), "p99": quantile(values, 0.99)});
        let outcomes: Vec<Value> = self
            .outcomes
            .iter()
            .map(|((route, recorded, now), count)| {
                json!({"lane": route, "recorded": recorded, "now": now, "count": count})
            })
            .collect();
        let bad_lines: Vec<Value> = self
            .reported_bad_lines
            .iter()
            .map(|(number, reason)| json!({"line": number, "reason": reason}))
            .collect();
        json!({
            "replayed": self.replayed,
            "differing": self.differing(),
            "bad_records": self.bad_lines,
            "first_bad_records": bad_lines,
            "outcomes": outcomes,
            "recorded_latency_ms": latencies(&self.recorded_latency),
            "latency_ms": latencies(&self.latency),
            "sent_behind_time_ms": self.largest_delay_micros / 1_000,
        })
    }
}

/// Parses and validates one recorded call; the error says what is wrong.
fn read_record(line: &[u8]) -> Result<RecordedCall, String> {
    if line.len() > LINE_LIMIT {
        return Err(format!("longer than {LINE_LIMIT} bytes"));
    }
    let call: RecordedCall = serde_json::from_slice(line).map_err(|failure| failure.to_string())?;
    if !call.path.starts_with('/') || call.path.contains([' ', '\r', '\n']) {
        return Err("path is no path".to_owned());
    }
    if Method::from_bytes(call.method.as_bytes()).is_err() {
        return Err("method is no method".to_owned());
    }
    if !["ran", "not_run", "unknown"].contains(&call.outcome.as_str()) {
        return Err("outcome is none of ran, not_run, unknown".to_owned());
    }
    if call.size > BODY_LIMIT {
        return Err(format!("size is over {BODY_LIMIT}"));
    }
    Ok(call)
}

async fn replay(
    mut reader: Box<dyn BufRead>,
    nodes: Vec<SocketAddr>,
    speed: f64,
    at_once: usize,
) -> ReplayReport {
    let report = Rc::new(RefCell::new(ReplayReport::default()));
    let client = Client::builder()
        .connector(Connector::new().limit(0).timeout(Duration::from_secs(60)))
        .timeout(Duration::from_secs(60))
        .disable_redirects()
        .no_default_headers()
        .finish();
    let clock = MonotonicClock::start();
    let mut first_at = None;
    let mut line_number = 0u64;
    let mut calls = JoinSet::new();
    let mut line = Vec::new();
    loop {
        line.clear();
        match reader.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) => line_number += 1,
            Err(failure) => {
                report.borrow_mut().add_bad_line(line_number + 1, failure.to_string());
                break;
            }
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let call = match read_record(&line) {
            Ok(call) => call,
            Err(reason) => {
                report.borrow_mut().add_bad_line(line_number, reason);
                continue;
            }
        };
        let first_at_micros = *first_at.get_or_insert(call.at_micros);
        let due_at = Micros((call.at_micros.saturating_sub(first_at_micros) as f64 / speed) as u64);
        let pause = due_at - clock.now();
        if pause > Micros(0) {
            tokio::time::sleep(pause.duration()).await;
        }
        while calls.len() >= at_once {
            calls.join_next().await;
        }
        while calls.try_join_next().is_some() {}
        let delay = (clock.now() - due_at).0;
        let node = nodes[(line_number as usize) % nodes.len()];
        {
            let mut shared = report.borrow_mut();
            shared.replayed += 1;
            shared.largest_delay_micros = shared.largest_delay_micros.max(delay);
        }
        calls.spawn_local(send(client.clone(), node, call, report.clone(), clock));
    }
    while calls.join_next().await.is_some() {}
    report.take()
}

async fn send(
    client: Client,
    node: SocketAddr,
    call: RecordedCall,
    report: Rc<RefCell<ReplayReport>>,
    clock: MonotonicClock,
) {
    let sent_at = clock.now();
    let method = Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::GET);
    let request = client.request(method, format!("http://{node}{}", call.path)).force_close();
    let outcome = match request.send_body(vec![b'r'; call.size as usize]).await {
        Err(_) => "no_answer".to_owned(),
        Ok(mut response) => {
            let reported = response.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
            let reported = reported.unwrap_or("no_answer").to_owned();
            match response.body().limit(BODY_LIMIT as usize).await {
                Ok(_) => reported,
                Err(_) => "no_answer".to_owned(),
            }
        }
    };
    let mut shared = report.borrow_mut();
    if outcome == "ran" {
        shared.latency.push((clock.now() - sent_at).0);
    }
    if call.outcome == "ran" {
        shared.recorded_latency.push(call.latency_micros);
    }
    *shared.outcomes.entry((call.route, call.outcome, outcome)).or_default() += 1;
}

#[cfg(test)]
mod tests;
