//! Overlapping planned stops, restarts, reloads and changes, chosen at random from a seed, while clients reuse their
//! connections until each process is gone. Bursts for one function that has a single instance make calls wait for
//! longer than a stop takes.

use super::Run;
use crate::deployments::Deployment;
use crate::fleet::DISK_NODES;
use fastrand::Rng;
use serde_json::{Value, json};
use std::ops::Range;
use std::time::{Duration, Instant};
use test_doubles::{LoadGenerator, LoadSettings};

/// A stop takes less time than the route timeout (4 s) of a call that arrives at its beginning.
pub(super) const NODE_SETTINGS: &str = "still_accepting_millis = 1000\nstop_within_millis = 2500\n";

const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const BETWEEN_STOPS: Range<u64> = 150..900;
const BETWEEN_RELOADS: Range<u64> = 200..1_200;
const BETWEEN_CHANGES: Range<u64> = 200..1_500;
const BETWEEN_BURSTS: Range<u64> = 4_000..7_000;
const BURST_SPAN: Duration = Duration::from_millis(2_500);
/// About three times what the single instance of the narrow function can run.
const BURST_CALLS_PER_SECOND: f64 = 300.0;
/// Milliseconds from the end of a process until its restart.
const DOWNTIME_MILLIS: Range<u64> = 0..600;
/// By its settings a stop takes 2.5 s; the rest allows for other load on the machine.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Time before the end in which no disturbance begins, so that all nodes are up again at the end.
const RECOVERY_SPAN: Duration = Duration::from_secs(7);

/// The function that gets the bursts: the first one.
fn narrow_function(deployment: &Deployment) -> String {
    deployment.functions()[0].clone()
}

/// Limits the narrow function to one instance.
pub(super) fn limit_narrow_function(deployment: &Deployment, document: &mut Value) {
    document["functions"][narrow_function(deployment)]["most_cells"] = json!(1);
}

/// The state of a planned stop of a node.
enum Stop {
    Stopping { number: usize, since: Instant },
    Down { number: usize, until: Instant },
}

impl Stop {
    fn number(&self) -> usize {
        match self {
            Stop::Stopping { number, .. } | Stop::Down { number, .. } => *number,
        }
    }
}

/// A recurring disturbance and the time of its next occurrence.
struct Series {
    between: Range<u64>,
    next_at: Instant,
}

impl Series {
    fn new(between: Range<u64>, began: Instant) -> Series {
        Series { between, next_at: began }
    }

    fn is_due(&mut self, rng: &mut Rng) -> bool {
        let is_due = Instant::now() >= self.next_at;
        if is_due {
            self.next_at = Instant::now() + Duration::from_millis(rng.u64(self.between.clone()));
        }
        is_due
    }
}

/// The state of a soak run.
struct Soak<'run> {
    run: &'run mut Run,
    rng: Rng,
    stops: Vec<Stop>,
    bursts: Vec<LoadGenerator>,
    stops_begun: u64,
    reloads: u64,
    changes: u64,
    unclear_changes: u64,
}

/// Applies the seed's disturbances until the span is over, and waits for the nodes that are still down.
pub(super) fn disturb(run: &mut Run, began: Instant, span: Duration) -> Result<(), String> {
    let rng = Rng::with_seed(run.seed);
    let mut soak = Soak {
        run,
        rng,
        stops: Vec::new(),
        bursts: Vec::new(),
        stops_begun: 0,
        reloads: 0,
        changes: 0,
        unclear_changes: 0,
    };
    let mut stop_series = Series::new(BETWEEN_STOPS, began);
    let mut reload_series = Series::new(BETWEEN_RELOADS, began);
    let mut change_series = Series::new(BETWEEN_CHANGES, began);
    let mut burst_series = Series::new(BETWEEN_BURSTS, began + Duration::from_secs(2));
    while began.elapsed() < span || !soak.stops.is_empty() {
        soak.check_stops()?;
        let is_ending = began.elapsed() + RECOVERY_SPAN >= span;
        if !is_ending && stop_series.is_due(&mut soak.rng) {
            soak.begin_stop();
        }
        if !is_ending && reload_series.is_due(&mut soak.rng) {
            soak.reload_one()?;
        }
        if !is_ending && change_series.is_due(&mut soak.rng) {
            soak.change_one();
        }
        if !is_ending && burst_series.is_due(&mut soak.rng) {
            soak.begin_burst()?;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    soak.report();
    Ok(())
}

impl Soak<'_> {
    /// Nodes without a planned stop in progress.
    fn undisturbed_nodes(&self) -> Vec<usize> {
        let is_stopped = |number: &usize| self.stops.iter().any(|stop| stop.number() == *number);
        (0..self.run.fleet.nodes.len()).filter(|number| !is_stopped(number)).collect()
    }

    /// At most a third of the fleet is down at once, and at most one of the nodes with a disk.
    fn begin_stop(&mut self) {
        if self.stops.len() >= self.run.fleet.nodes.len() / 3 {
            return;
        }
        let is_disk_node_down = self.stops.iter().any(|stop| DISK_NODES.contains(&stop.number()));
        let may_stop = |number: &usize| !(is_disk_node_down && DISK_NODES.contains(number));
        let candidates: Vec<usize> = self.undisturbed_nodes().into_iter().filter(may_stop).collect();
        let Some(number) = self.rng.choice(candidates) else { return };
        self.run.fleet.signal(number, "TERM");
        self.stops.push(Stop::Stopping { number, since: Instant::now() });
        self.stops_begun += 1;
    }

    fn check_stops(&mut self) -> Result<(), String> {
        for stop in std::mem::take(&mut self.stops) {
            let next = match stop {
                Stop::Stopping { number, since } if self.run.fleet.is_gone(number) => {
                    let pause = Duration::from_millis(self.rng.u64(DOWNTIME_MILLIS));
                    self.run
                        .note(&format!("stop_{}_ms", self.stops_begun), since.elapsed().as_millis() as u64);
                    Some(Stop::Down { number, until: Instant::now() + pause })
                }
                Stop::Stopping { number, since } if since.elapsed() > STOP_LIMIT => {
                    return Err(format!("node {number} did not stop in time"));
                }
                Stop::Down { number, until } if Instant::now() >= until => {
                    self.run.fleet.start(number).map_err(|failure| failure.to_string())?;
                    None
                }
                waiting => Some(waiting),
            };
            self.stops.extend(next);
        }
        Ok(())
    }

    fn reload_one(&mut self) -> Result<(), String> {
        let Some(number) = self.rng.choice(self.undisturbed_nodes()) else { return Ok(()) };
        let turn = self.reloads as usize;
        self.run
            .fleet
            .write_settings(number, "log_level = \"info\"", turn)
            .map_err(|failure| failure.to_string())?;
        self.run.fleet.signal(number, "HUP");
        self.reloads += 1;
        Ok(())
    }

    /// Sends one change; without a definite response from a restarting node, it may be applied or not.
    fn change_one(&mut self) {
        let Some(number) = self.rng.choice(self.undisturbed_nodes()) else { return };
        self.changes += 1;
        let function = self.run.deployment.functions()[0].clone();
        let mut partial = json!({"lanes": {}});
        partial["lanes"][function] = json!({ "patience_millis": 4_000 + self.changes });
        let line = json!({ "change_id": format!("soak-{}", self.changes), "partial": partial });
        let outcome = self.run.operator.change(self.run.fleet.nodes[number].control, &line);
        let is_accepted = outcome.is_some_and(|outcome| outcome["outcome"] == "accepted");
        self.unclear_changes += u64::from(!is_accepted);
    }

    fn begin_burst(&mut self) -> Result<(), String> {
        let narrow = narrow_function(&self.run.deployment);
        let settings = self.run.load_settings(BURST_SPAN, BURST_CALLS_PER_SECOND);
        let targets = settings.targets.iter().filter(|target| target.function == narrow).cloned().collect();
        let settings = LoadSettings { targets, random_seed: self.rng.u64(..), ..settings };
        self.bursts.push(self.run.start_load(settings)?);
        Ok(())
    }

    fn report(self) {
        let Soak { run, bursts, stops_begun, reloads, changes, unclear_changes, .. } = self;
        let reports: Vec<_> = bursts.into_iter().map(LoadGenerator::finish).collect();
        run.note("bursts", reports.len() as u64);
        run.note("bursts_no_answer", reports.iter().map(|report| report.no_response).sum::<u64>());
        run.note("bursts_ran", reports.iter().map(|report| report.ran).sum::<u64>());
        run.note("bursts_not_run", reports.iter().map(|report| report.not_run).sum::<u64>());
        run.note("bursts_not_taken", reports.iter().map(|report| report.not_taken).sum::<u64>());
        run.note("stops", stops_begun);
        run.note("reloads", reloads);
        run.note("changes", changes);
        run.note("unclear_changes", unclear_changes);
        let left = (0..run.fleet.nodes.len())
            .map(|number| run.fleet.logged(number, LEFT_OPEN_WARNING))
            .sum::<usize>();
        run.note("stops_that_left_calls", left as u64);
    }
}

/// Start of the warning that a node logs if its stop left calls or connections of clients open.
const LEFT_OPEN_WARNING: &str = "\"level\":\"WARN\",\"message\":\"stopped after";
