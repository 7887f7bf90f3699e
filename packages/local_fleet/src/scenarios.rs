//! The scenarios: the faults applied to the fleet, and the report.

mod soak;

use crate::LocalFleet;
use crate::deployments::{self, Deployment};
use crate::fleet::{DISK_NODES, Fleet, NODES, NodeOptions};
use crate::operator::Operator;
use history_checker::{CheckSettings, History, Line, Outcome, check_all};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_doubles::{FakePlatform, LoadGenerator, LoadReport, LoadSettings, micros_since};

const SCENARIOS: &[&str] = &[
    "quiet",
    "kills",
    "herd",
    "restart-all",
    "rolling",
    "workers",
    "freeze",
    "crowd",
    "replace",
    "changes",
    "reload",
    "misbehave",
    "soak",
];

/// One run of a scenario.
struct Run {
    fleet: Fleet,
    operator: Operator,
    platform: FakePlatform,
    history: Arc<History>,
    began: Instant,
    deployment: Deployment,
    notes: Vec<(String, Value)>,
    changes: u64,
    seed: u64,
    is_soak: bool,
}

/// Runs the scenario of the command line; whether no rule was violated.
pub fn run(command_line: &LocalFleet) -> Result<bool, String> {
    let error_text = |failure: std::io::Error| failure.to_string();
    let scenario = command_line.scenario.clone().unwrap_or_else(|| "kills".to_owned());
    if !SCENARIOS.contains(&scenario.as_str()) {
        return Err(format!("--scenario is one of {}", SCENARIOS.join(", ")));
    }
    let deployment_name = command_line.deployment.as_deref().unwrap_or("tiszacimke");
    let deployment = deployments::find(deployment_name)
        .ok_or_else(|| "--deployment is tiszacimke or ledgerwick".to_owned())?;
    let nodes = command_line.nodes.unwrap_or(NODES);
    if nodes != NODES && !(scenario == "soak" && nodes > NODES) {
        return Err(format!("--nodes is {NODES}, or more for a soak"));
    }
    let is_soak = scenario == "soak";
    let options = NodeOptions {
        nodes,
        settings: if is_soak { soak::NODE_SETTINGS } else { "" },
        times: match &command_line.times {
            None => None,
            Some(text) => {
                let numbers: Result<Vec<u64>, _> = text.split(',').map(str::parse).collect();
                let times = numbers.ok().and_then(|numbers| <[u64; 3]>::try_from(numbers).ok());
                Some(times.ok_or("--times is lease,poll,renewal in milliseconds")?)
            }
        },
        no_gate: command_line.no_gate,
    };
    let program = match &command_line.vanelane {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(error_text)?.with_file_name("vanelane"),
    };
    let folder = command_line.folder.clone().unwrap_or_else(fresh_folder);
    std::fs::create_dir_all(&folder).map_err(error_text)?;
    let history = Arc::new(History::default());
    let began = Instant::now();
    let platform = FakePlatform::start(
        "127.0.0.1:0".parse().map_err(|_| "an address")?,
        deployment.platform(),
        history.clone(),
        began,
    )
    .map_err(error_text)?;
    let fleet = Fleet::prepare(&program, &folder, platform.address(), &options).map_err(error_text)?;
    let mut run = Run {
        fleet,
        operator: Operator::new(),
        platform,
        history,
        began,
        deployment,
        notes: Vec::new(),
        changes: 0,
        seed: command_line.seed.unwrap_or(7),
        is_soak,
    };
    let seconds = command_line.seconds.unwrap_or(60);
    let rate = command_line.calls_per_second.unwrap_or(300.0);
    let load = run.play(&scenario, Duration::from_secs(seconds), rate)?;
    run.report(&scenario, &load, &folder)
}

fn fresh_folder() -> PathBuf {
    std::env::temp_dir().join(format!("vanelane-fleet-{}", std::process::id()))
}

/// Values of the behaviour header for the scenario `misbehave`.
const MISBEHAVIOURS: [&str; 8] =
    ["lose", "garble", "cut", "cut_chunks", "cut_long", "cut_long_chunks", "until_close", "long"];

impl Run {
    fn note(&mut self, name: &str, value: impl Into<Value>) {
        self.notes.push((name.to_owned(), value.into()));
    }

    fn wait_until(
        &self,
        what: &str,
        within: Duration,
        holds: impl Fn(&Run) -> bool,
    ) -> Result<Duration, String> {
        let wait_began = Instant::now();
        while wait_began.elapsed() < within {
            if holds(self) {
                return Ok(wait_began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("{what} did not come within {} s", within.as_secs()))
    }

    fn all_ready(&self) -> bool {
        self.fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| self.fleet.is_running(*number))
            .all(|(_, node)| self.operator.get(node.control, "/ready").is_some())
    }

    fn every_function_has_leader(&self) -> bool {
        self.fleet.nodes.iter().enumerate().filter(|(number, _)| self.fleet.is_running(*number)).all(
            |(_, node)| {
                let status = self.operator.get_json(node.control, "/control/status");
                status.is_some_and(|status| status["functions_without_steward"] == 0)
            },
        )
    }

    /// Sends a change and waits until every running node holds its generation.
    fn change(&mut self, body: Value, at: usize) -> Result<(u64, Duration), String> {
        self.changes += 1;
        let mut line = body;
        let change_id = format!("change-{}", self.changes);
        line["change_id"] = json!(change_id);
        let outcome = self
            .operator
            .change(self.fleet.nodes[at].control, &line)
            .ok_or("the change stream did not answer")?;
        let generation = outcome["generation"].as_u64().unwrap_or(0);
        if outcome["outcome"] != "accepted" {
            return Err(format!("the change was not accepted: {outcome}"));
        }
        let at = micros_since(self.began);
        self.history.append(Line::ChangeAccepted { at, change: change_id, generation });
        let spread = self.wait_until("the configuration", Duration::from_secs(20), |run| {
            run.fleet.nodes.iter().enumerate().filter(|(number, _)| run.fleet.is_running(*number)).all(
                |(_, node)| {
                    let metrics = run.operator.metrics(node.control);
                    metrics.get("generation").is_some_and(|held| *held >= generation)
                },
            )
        })?;
        Ok((generation, spread))
    }

    /// Load on all functions at this rate; the clients wait longer than any route's timeout.
    fn load_settings(&self, span: Duration, rate: f64) -> LoadSettings {
        LoadSettings {
            calls_per_second: rate,
            span,
            targets: self.deployment.targets(),
            timeout: Duration::from_secs(6),
            random_seed: self.seed,
            immediate_retries: 0,
            body_length: 400,
            behaviours: (0.0, Vec::new()),
            keeps_connections: self.is_soak,
        }
    }

    fn start_load(&self, settings: LoadSettings) -> Result<LoadGenerator, String> {
        LoadGenerator::start(
            settings,
            self.fleet.running_client_addresses(),
            self.history.clone(),
            self.began,
        )
        .map_err(|failure| failure.to_string())
    }

    fn wait_for_first_readiness(&mut self) -> Result<Duration, String> {
        const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
        const ATTEMPTS: u32 = 120;
        let began = Instant::now();
        for _ in 0..ATTEMPTS {
            if self.wait_until("readiness", ATTEMPT_TIMEOUT, Run::all_ready).is_ok() {
                return Ok(began.elapsed());
            }
            self.fleet.start_ended().map_err(|failure| failure.to_string())?;
        }
        Err(format!("readiness did not come within {} s", began.elapsed().as_secs()))
    }

    fn play(&mut self, scenario: &str, span: Duration, rate: f64) -> Result<LoadReport, String> {
        for number in 0..self.fleet.nodes.len() {
            self.fleet.start(number).map_err(|failure| failure.to_string())?;
        }
        let ready = self.wait_for_first_readiness()?;
        self.note("ready_ms", ready.as_millis() as u64);
        let mut document = self.deployment.document();
        if self.is_soak {
            soak::limit_narrow_function(&self.deployment, &mut document);
        }
        let at = micros_since(self.began);
        let routes = self.deployment.functions().into_iter().map(|name| (format!("/{name}"), name));
        self.history.append(history_checker::first_routes(at, routes));
        let (_, spread) = self.change(json!({ "whole": document }), 4)?;
        self.note("configuration_spread_ms", spread.as_millis() as u64);
        let held = self.wait_until("stewards", Duration::from_secs(60), Run::every_function_has_leader)?;
        self.note("all_stewards_ms", held.as_millis() as u64);
        let spread = self.leader_spread();
        self.note("steward_spread_at_first", spread);

        let immediate_retries = if scenario == "crowd" { 3 } else { 0 };
        // One call in eight requests a lost, garbled, cut or long response.
        let behaviours = match scenario {
            "misbehave" => (0.125, MISBEHAVIOURS.to_vec()),
            _ => (0.0, Vec::new()),
        };
        let settings = LoadSettings { immediate_retries, behaviours, ..self.load_settings(span, rate) };
        let load = self.start_load(settings)?;
        let part = |share: f64| span.mul_f64(share);
        let load_began = Instant::now();
        let until = |share: f64| {
            while load_began.elapsed() < part(share) {
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        match scenario {
            "kills" => {
                until(0.4);
                self.kill(&load, &[7]);
                until(0.6);
                self.kill(&load, &[DISK_NODES[1]]);
                until(0.8);
                self.start_again(&load, &[7, DISK_NODES[1]])?;
            }
            "herd" => {
                until(0.4);
                self.kill(&load, &[0, 1, 2, 5, 8]);
                until(0.5);
                self.start_again(&load, &[0, 1, 2, 5, 8])?;
            }
            "restart-all" => {
                until(0.4);
                let all: Vec<usize> = (0..NODES).collect();
                self.kill(&load, &all);
                std::thread::sleep(Duration::from_secs(2));
                self.start_again(&load, &all)?;
            }
            "rolling" => {
                for number in 0..NODES {
                    until(0.1 + 0.08 * number as f64);
                    self.stop_planned(&load, number)?;
                }
            }
            "workers" => {
                until(0.3);
                self.platform.drain(0);
                until(0.5);
                self.platform.crash(1);
                until(0.7);
                self.platform.drain(2);
            }
            "freeze" => {
                until(0.4);
                self.fleet.signal(6, "STOP");
                self.fleet.signal(DISK_NODES[2], "STOP");
                let others: Vec<usize> =
                    (0..NODES).filter(|number| ![6, DISK_NODES[2]].contains(number)).collect();
                load.set_nodes(
                    others.iter().map(|number| self.fleet.nodes[*number].client_address).collect(),
                );
                std::thread::sleep(Duration::from_secs(8));
                self.fleet.signal(6, "CONT");
                self.fleet.signal(DISK_NODES[2], "CONT");
                std::thread::sleep(Duration::from_secs(1));
                load.set_nodes(self.fleet.running_client_addresses());
            }
            "crowd" => {
                until(0.4);
                let settings =
                    LoadSettings { immediate_retries: 3, ..self.load_settings(part(0.2), rate * 2.0) };
                let spike = self.start_load(settings)?;
                let spike_report = spike.finish();
                self.note("crowd", load_page(&spike_report));
            }
            "replace" => {
                until(0.2);
                let lost = DISK_NODES[1];
                self.kill(&load, &[lost]);
                self.fleet.wipe_data(lost).map_err(|failure| failure.to_string())?;
                self.start_again(&load, &[lost])?;
                let control = self.fleet.nodes[lost].control;
                let voting_after = self.wait_until("the vote", Duration::from_secs(60), |run| {
                    let status = run.operator.get_json(control, "/control/status");
                    status.is_some_and(|status| votes(&status))
                })?;
                self.note("empty_disk_votes_after_ms", voting_after.as_millis() as u64);
                // With the new voter, another disk may be lost and changes are still accepted.
                self.kill(&load, &[DISK_NODES[0]]);
                let name = self.deployment.functions()[0].clone();
                let mut partial = json!({"lanes": {}});
                partial["lanes"][name] = json!({ "patience_millis": 4_001 });
                let (_, spread) = self.change(json!({ "partial": partial }), 5)?;
                self.note("change_with_another_disk_down_ms", spread.as_millis() as u64);
                self.start_again(&load, &[DISK_NODES[0]])?;
            }
            "reload" => {
                for round in 0..10 {
                    until(0.05 + 0.09 * round as f64);
                    self.reload_all(round)?;
                }
            }
            "changes" => {
                for number in 1..=20 {
                    until(0.1 + 0.04 * f64::from(number));
                    let timeout = 4_000 + number;
                    let name = &self.deployment.functions()[0];
                    let mut partial = json!({"lanes": {}});
                    partial["lanes"][name] = json!({ "patience_millis": timeout });
                    let (_, spread) = self.change(json!({ "partial": partial }), number as usize % NODES)?;
                    self.note(&format!("change_{number}_spread_ms"), spread.as_millis() as u64);
                }
            }
            "soak" => soak::disturb(self, load_began, span)?,
            _ => {}
        }
        let report = load.finish();
        if self
            .wait_until("stewards at the end", Duration::from_secs(20), Run::every_function_has_leader)
            .is_err()
        {
            self.note("stewards_missing_at_the_end", true);
        }
        Ok(report)
    }

    /// Every node reloads changed settings on SIGHUP; in odd rounds they are invalid and must be refused.
    fn reload_all(&mut self, round: usize) -> Result<(), String> {
        let is_bad = round % 2 == 1;
        let (line, reported) = match is_bad {
            true => ("surprise = 1", "the settings were not reloaded, the old ones stand"),
            false => ("log_level = \"info\"", "settings reloaded: "),
        };
        for number in 0..NODES {
            let before = self.fleet.logged(number, reported);
            self.fleet.write_settings(number, line, round).map_err(|failure| failure.to_string())?;
            self.fleet.signal(number, "HUP");
            self.wait_until("the reload", Duration::from_secs(20), |run| {
                run.fleet.logged(number, reported) > before
            })?;
            // The settings file is made valid again, in case the node is restarted.
            self.fleet.write_settings(number, "", round).map_err(|failure| failure.to_string())?;
        }
        let kind = if is_bad { "bad_reloads_refused" } else { "reloads" };
        self.note(&format!("{kind}_{round}"), NODES as u64);
        Ok(())
    }

    fn kill(&mut self, load: &LoadGenerator, numbers: &[usize]) {
        for number in numbers {
            self.fleet.kill(*number);
        }
        load.set_nodes(self.fleet.running_client_addresses());
    }

    fn start_again(&mut self, load: &LoadGenerator, numbers: &[usize]) -> Result<(), String> {
        for number in numbers {
            self.fleet.start(*number).map_err(|failure| failure.to_string())?;
        }
        let ready = self.wait_until("readiness again", Duration::from_secs(30), Run::all_ready)?;
        load.set_nodes(self.fleet.running_client_addresses());
        self.note("ready_again_ms", ready.as_millis() as u64);
        let held =
            self.wait_until("stewards again", Duration::from_secs(30), Run::every_function_has_leader)?;
        self.note("stewards_again_ms", (ready + held).as_millis() as u64);
        Ok(())
    }

    /// Stops a node as planned, sends it no more calls shortly after the signal, and restarts it.
    fn stop_planned(&mut self, load: &LoadGenerator, number: usize) -> Result<(), String> {
        let others: Vec<_> = (0..NODES)
            .filter(|other| *other != number && self.fleet.is_running(*other))
            .map(|other| self.fleet.nodes[other].client_address)
            .collect();
        self.fleet.signal(number, "TERM");
        std::thread::sleep(Duration::from_millis(100));
        load.set_nodes(others);
        match self.fleet.wait_gone(number, Duration::from_secs(10)) {
            Some(took) => self.note(&format!("stop_{number}_ms"), took.as_millis() as u64),
            None => return Err(format!("node {number} did not stop within ten seconds")),
        }
        self.fleet.start(number).map_err(|failure| failure.to_string())?;
        self.wait_until("readiness again", Duration::from_secs(30), Run::all_ready)?;
        load.set_nodes(self.fleet.running_client_addresses());
        Ok(())
    }

    /// Number of led functions of each running node and their standard deviation, as in the leader election paper.
    fn leader_spread(&self) -> Value {
        let counts: Vec<usize> = self
            .fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| self.fleet.is_running(*number))
            .filter_map(|(_, node)| self.operator.get_json(node.control, "/control/status"))
            .map(|status| status["steward_of"].as_array().map_or(0, Vec::len))
            .collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
        let variance = counts.iter().map(|count| (*count as f64 - mean).powi(2)).sum::<f64>()
            / counts.len().max(1) as f64;
        json!({ "counts": counts, "standard_deviation": rounded(variance.sqrt()) })
    }

    fn report(&mut self, scenario: &str, load: &LoadReport, folder: &Path) -> Result<bool, String> {
        self.fleet.sample_all();
        let decisions = self.operator.decisions(self.fleet.nodes[0].control);
        let mut waits: Vec<u64> = Vec::new();
        let mut past_gate = 0;
        let mut kinds: BTreeMap<String, u64> = BTreeMap::new();
        for decision in &decisions {
            *kinds.entry(decision["kind"].as_str().unwrap_or_default().to_owned()).or_default() += 1;
            if decision["kind"] != "steward_taken" {
                continue;
            }
            waits.push(decision["waited_micros"].as_u64().unwrap_or(0));
            past_gate += u64::from(decision["past_gate"] == true);
            self.history.append(Line::LeadershipTaken {
                at: decision["at_micros"].as_u64().unwrap_or(0),
                node: decision["node"].as_str().unwrap_or_default().to_owned(),
                function: decision["function"].as_str().unwrap_or_default().to_owned(),
                epoch: decision["steward_epoch"].as_u64().unwrap_or(0),
            });
        }
        waits.sort_unstable();
        let mut totals: BTreeMap<String, u64> = BTreeMap::new();
        for node in &self.fleet.nodes {
            for (name, value) in self.operator.metrics(node.control) {
                *totals.entry(name).or_default() += value;
            }
        }
        let total = |name: &str| totals.get(name).copied().unwrap_or(0);
        let elapsed = self.began.elapsed().as_secs_f64();
        let cpu: Vec<f64> = self.fleet.nodes.iter().map(|node| rounded(node.cpu_seconds())).collect();
        let memory: Vec<u64> = self.fleet.nodes.iter().map(|node| node.peak_memory / 1_024).collect();
        let cpu_sum: f64 = cpu.iter().sum();
        let (starts, stops, throttled) = self.platform.counts();
        let lines = self.history.lines();
        let settings = CheckSettings {
            count_refusals: ["quiet", "kills", "rolling", "reload", "misbehave", "changes", "workers"]
                .contains(&scenario),
            ..CheckSettings::default()
        };
        let mut violations = check_all(&lines, &settings);
        violations.truncate(20);
        let dropped = lines
            .iter()
            .filter(|line| matches!(line, Line::CallEnded { outcome: Outcome::NoResponse, .. }))
            .count();
        // In scenarios without kills or pauses every call must get a response.
        let must_respond_to_all =
            ["quiet", "rolling", "reload", "workers", "changes", "crowd", "soak"].contains(&scenario);
        let is_sound = violations.is_empty() && !(must_respond_to_all && dropped > 0);
        let page = json!({
            "scenario": scenario,
            "seed": self.seed,
            "deployment": self.deployment.name,
            "notes": self.notes.iter().cloned().collect::<serde_json::Map<String, Value>>(),
            "callers": load_page(load),
            "ticket_mean_micros": total("calls_ticket_micros") / total("calls_tickets").max(1),
            "extra_dispatches": total("calls_extra_dispatches"),
            "turned_away": total("calls_turned_away"),
            "deputy_tickets": total("deputy_tickets"),
            "election": {
                "takings": waits.len(),
                "wait_ms_median": waits.get(waits.len() / 2).copied().unwrap_or(0) / 1_000,
                "wait_ms_most": waits.last().copied().unwrap_or(0) / 1_000,
                "past_gate": past_gate,
                "gate_refusals": total("gate_refusals"),
                "lost_races": total("lost_races"),
            },
            "steward_spread_at_the_end": self.leader_spread(),
            "disk_groups_a_second": rounded(total("disk_groups") as f64 / elapsed),
            "messages_a_second": rounded(total("messages_sent") as f64 / elapsed),
            "cpu_seconds": cpu,
            "cpu_seconds_a_thousand_calls": rounded(cpu_sum * 1_000.0 / load.sent.max(1) as f64),
            "peak_memory_mb": memory,
            "platform": { "starts": starts, "stops": stops, "throttled": throttled },
            "decisions": kinds,
            "breaches": violations.iter().map(|violation| format!("{}: {}", violation.rule, violation.seen)).collect::<Vec<_>>(),
            "sound": is_sound,
        });
        let text = serde_json::to_string_pretty(&page).unwrap_or_default();
        println!("{text}");
        let error_text = |failure: std::io::Error| failure.to_string();
        std::fs::write(folder.join("report.json"), &text).map_err(error_text)?;
        let history_text: String = lines
            .iter()
            .filter_map(|line| serde_json::to_string(line).ok())
            .map(|line| line + "\n")
            .collect();
        std::fs::write(folder.join("history.jsonl"), history_text).map_err(error_text)?;
        let decision_text: String = decisions.iter().map(|decision| format!("{decision}\n")).collect();
        std::fs::write(folder.join("decisions.jsonl"), decision_text).map_err(error_text)?;
        eprintln!("history, decisions and logs: {}", folder.display());
        Ok(is_sound)
    }
}

/// Whether the node with this status has a voting disk.
fn votes(status: &Value) -> bool {
    let is_own = |member: &&Value| member["node"] == status["node"];
    let own = status["members"].as_array().and_then(|members| members.iter().find(is_own));
    own.is_some_and(|own| own["disk"] == "voting")
}

fn load_page(report: &LoadReport) -> Value {
    json!({
        "sent": report.sent,
        "ran": report.ran,
        "not_run": report.not_run,
        "unknown": report.unknown,
        "no_answer": report.no_response,
        "not_taken": report.not_taken,
        "latency_ms": {
            "median": report.quantile(0.5) / 1_000,
            "p99": report.quantile(0.99) / 1_000,
            "most": report.quantile(1.0) / 1_000,
        },
        "reasons": report.reasons.iter().cloned().collect::<BTreeMap<String, u64>>(),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
