//! The node's settings: a TOML file, overridden by flags. All fields are checked and wrong ones reported by
//! name.

use crate::command_line::Run;
use monotonic_clock::Micros;
use node_protocol::{LossTolerance, MOST_VOTERS, Policy};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Declares the fields of the settings file, each of them optional.
macro_rules! settings_file {
    ($($(#[$note:meta])* $field:ident: $type:ty,)*) => {
        #[derive(Clone, Debug, Default, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct SettingsFile { $($(#[$note])* pub $field: Option<$type>,)* }
    };
}

settings_file! {
    fleet: String,
    node_name: String,
    zone: String,
    #[serde(rename = "visitor_address")]
    client_address: String,
    control_address: String,
    ready_address: String,
    #[serde(rename = "colleague_address")]
    peer_address: String,
    seeds: Vec<String>,
    data_folder: PathBuf,
    platform_address: String,
    #[serde(rename = "founding_disks")]
    bootstrap_disks: u64,
    #[serde(rename = "may_found")]
    may_bootstrap: bool,
    #[serde(rename = "first_start")]
    is_first_start: bool,
    tolerated_zone_losses: u64,
    tolerated_region_losses: u64,
    zone_regions: BTreeMap<String, String>,
    #[serde(rename = "acts_per_second")]
    operations_per_second: f64,
    lease_millis: u64,
    poll_millis: u64,
    renewal_millis: u64,
    gate: bool,
    switched_off: Vec<String>,
    replace_disk_after_seconds: u64,
    worker_threads: u64,
    kept_connections: u64,
    start_cost: f64,
    late_call_cost: f64,
    #[serde(rename = "far_call_cost")]
    remote_call_cost: f64,
    extra_ratio: f64,
    extra_fixed: u64,
    extra_window_seconds: u64,
    list_every_millis: u64,
    lists_per_second: f64,
    usage_window_seconds: f64,
    usage_delay_seconds: f64,
    #[serde(rename = "act_lease_millis")]
    action_lease_millis: u64,
    header_wait_millis: u64,
    idle_millis: u64,
    still_accepting_millis: u64,
    stop_within_millis: u64,
    body_limit_bytes: u64,
    memory_limit_bytes: u64,
    calls_limit: u64,
    link_megabits: f64,
    processor_cores: f64,
    recording: PathBuf,
    recording_limit_bytes: u64,
    traces: PathBuf,
    traces_sample: f64,
    traces_limit_bytes: u64,
    log_level: String,
}

/// Where the number of founding disks is not set, the loss of so many machines with disks is tolerated.
const DEFAULT_TOLERATED_MACHINE_LOSSES: usize = 1;
/// The largest number of zones or regions that the most voters can lose.
const MOST_LOSSES: u64 = (MOST_VOTERS as u64 - 1) / 2;

/// Checked settings. Example: `validate(SettingsFile::default()).unwrap_err()[0].0 == "zone"`.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet: String,
    pub node_name: String,
    pub zone: String,
    pub client_address: SocketAddr,
    pub control_address: SocketAddr,
    pub ready_address: Option<SocketAddr>,
    pub peer_address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub data_folder: Option<PathBuf>,
    pub platform_address: SocketAddr,
    pub bootstrap_disks: usize,
    pub may_bootstrap: bool,
    /// The whole fleet starts for the first time, on empty disks.
    pub is_first_start: bool,
    /// The zones and regions that may be lost at one time.
    pub tolerance: LossTolerance,
    pub operations_per_second: f64,
    pub lease_millis: u64,
    pub poll_millis: u64,
    pub renewal_millis: u64,
    pub gate: bool,
    pub switched_off: BTreeSet<Policy>,
    pub replace_disk_after_seconds: u64,
    pub worker_threads: usize,
    pub kept_connections: usize,
    pub start_cost: f64,
    pub late_call_cost: f64,
    pub remote_call_cost: f64,
    pub extra_ratio: f64,
    pub extra_fixed: u64,
    pub extra_window_seconds: u64,
    pub list_every_millis: u64,
    pub lists_per_second: f64,
    /// Usage reports to the platform, if it wants them.
    pub usage: Option<UsageBounds>,
    pub header_wait_millis: u64,
    pub idle_millis: u64,
    pub still_accepting_millis: u64,
    pub stop_within_millis: u64,
    pub body_limit_bytes: usize,
    pub memory_limit_bytes: usize,
    pub calls_limit: usize,
    /// Bandwidth of this machine's link in megabits a second, if known.
    pub link_megabits: Option<f64>,
    /// Processor capacity in thousandths of a core. Larger machines lead more functions.
    pub processor_millis: u32,
    pub recording: Option<PathBuf>,
    pub recording_limit_bytes: u64,
    pub traces: Option<PathBuf>,
    pub traces_sample: f64,
    pub traces_limit_bytes: u64,
    pub log_level: log::LevelFilter,
}

/// The time bounds of usage reports. Example: `settings.usage.map(|usage| usage.window)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageBounds {
    /// The length of a usage window.
    pub window: Micros,
    /// The time after a window's end within which its report is valid.
    pub delay: Micros,
    /// Within this span reports of two nodes may not alternate (A, B, A).
    pub action_lease: Micros,
}

impl Settings {
    /// Bandwidth of this machine's link in bytes a second, if known. Example: `settings.link_rate()`.
    pub fn link_rate(&self) -> Option<f64> {
        self.link_megabits.map(|megabits| megabits * 1e6 / 8.0)
    }
}

/// A field's name and what is wrong with it.
pub type SettingsReason = (&'static str, String);

/// Reads the file, if any, and applies the flags over it. Example: `read(&run)?.zone`.
pub fn read(run: &Run) -> Result<Settings, Vec<SettingsReason>> {
    let mut file = match &run.settings {
        None => SettingsFile::default(),
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|failure| vec![("settings", format!("{}: {failure}", path.display()))])?;
            toml::from_str(&text)
                .map_err(|failure| vec![("settings", format!("{}: {}", path.display(), failure.message()))])?
        }
    };
    let mut reasons = Vec::new();
    let override_with = |setting: &mut Option<String>, flag: &Option<String>| {
        if flag.is_some() {
            setting.clone_from(flag);
        }
    };
    override_with(&mut file.fleet, &run.fleet);
    override_with(&mut file.zone, &run.zone);
    override_with(&mut file.client_address, &run.visitor_address);
    override_with(&mut file.control_address, &run.control_address);
    override_with(&mut file.peer_address, &run.colleague_address);
    override_with(&mut file.platform_address, &run.platform_address);
    override_with(&mut file.log_level, &run.log_level);
    if run.data_folder.is_some() {
        file.data_folder.clone_from(&run.data_folder);
    }
    if !run.seed.is_empty() {
        file.seeds = Some(run.seed.clone());
    }
    if let Some(text) = &run.founding_disks {
        match text.parse() {
            Ok(number) => file.bootstrap_disks = Some(number),
            Err(_) => reasons.push(("founding_disks", format!("{text} is no whole number"))),
        }
    }
    if let Some(text) = &run.acts_per_second {
        match text.parse() {
            Ok(number) => file.operations_per_second = Some(number),
            Err(_) => reasons.push(("acts_per_second", format!("{text} is no number"))),
        }
    }
    match validate(file) {
        Ok(settings) if reasons.is_empty() => Ok(settings),
        Ok(_) => Err(reasons),
        Err(check_reasons) => {
            reasons.extend(check_reasons);
            Err(reasons)
        }
    }
}

struct Checker {
    reasons: Vec<SettingsReason>,
}

impl Checker {
    fn address(&mut self, field: &'static str, given: Option<String>) -> SocketAddr {
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(text) = given else {
            self.reasons.push((field, "is missing".to_owned()));
            return placeholder;
        };
        match text.parse() {
            Ok(address) => address,
            Err(_) => {
                self.reasons.push((field, format!("{text} is no IP address with a port")));
                placeholder
            }
        }
    }

    fn text(&mut self, field: &'static str, given: Option<String>, fallback: Option<&str>) -> String {
        let text = given.or_else(|| fallback.map(str::to_owned)).unwrap_or_default();
        if text.is_empty() || text.len() > 64 || !text.chars().all(|c| c.is_ascii_graphic()) {
            self.reasons.push((field, "must have 1 to 64 visible ASCII characters".to_owned()));
        }
        text
    }

    fn number(&mut self, field: &'static str, given: Option<u64>, fallback: u64, low: u64, high: u64) -> u64 {
        let number = given.unwrap_or(fallback);
        if !(low..=high).contains(&number) {
            self.reasons.push((field, format!("{number} is not within {low} to {high}")));
        }
        number
    }

    fn seconds(&mut self, field: &'static str, given: f64, low: f64, high: f64) -> Micros {
        if !(low..=high).contains(&given) {
            self.reasons.push((field, format!("{given} is not within {low} to {high}")));
        }
        Micros((given * 1e6) as u64)
    }

    /// Usage is reported only if its window is set. The delay defaults to two windows.
    fn usage(&mut self, window: Option<f64>, delay: Option<f64>, lease: Option<u64>) -> Option<UsageBounds> {
        let Some(window_seconds) = window else {
            if delay.is_some() {
                let reason = "needs usage_window_seconds beside it".to_owned();
                self.reasons.push(("usage_delay_seconds", reason));
            }
            return None;
        };
        let window = self.seconds("usage_window_seconds", window_seconds, 0.5, 86_400.0);
        let delay_seconds = delay.unwrap_or(window_seconds * 2.0);
        Some(UsageBounds {
            window,
            delay: self.seconds("usage_delay_seconds", delay_seconds, 0.5, 172_800.0),
            action_lease: Micros::from_millis(self.number("act_lease_millis", lease, 3_000, 0, 600_000)),
        })
    }

    fn policies(&mut self, names: Option<Vec<String>>) -> BTreeSet<Policy> {
        let mut policies = BTreeSet::new();
        for name in names.unwrap_or_default() {
            match name.parse::<Policy>() {
                Ok(policy) => _ = policies.insert(policy),
                Err(unknown) => self.reasons.push(("switched_off", unknown.to_string())),
            }
        }
        policies
    }
}

/// Checks every field and returns all reasons. Example: `validate(file).map_err(print_all)`.
pub fn validate(file: SettingsFile) -> Result<Settings, Vec<SettingsReason>> {
    let mut checker = Checker { reasons: Vec::new() };
    let zone = checker.text("zone", file.zone, None);
    let fleet = checker.text("fleet", file.fleet, Some("vanelane"));
    let peer_address = checker.address("colleague_address", file.peer_address);
    if peer_address.ip().is_unspecified() && !checker.reasons.iter().any(|(f, _)| *f == "colleague_address") {
        let reason = "must be an address that colleagues can reach, not a wildcard".to_owned();
        checker.reasons.push(("colleague_address", reason));
    }
    if peer_address.port() == 0 && !checker.reasons.iter().any(|(f, _)| *f == "colleague_address") {
        let reason = "must name its port: it is told to colleagues as it stands".to_owned();
        checker.reasons.push(("colleague_address", reason));
    }
    let given_seeds = file.seeds.unwrap_or_default();
    if given_seeds.len() > 3 {
        checker.reasons.push(("seeds", format!("{} seeds are given, three are the most", given_seeds.len())));
    }
    let seeds = given_seeds.into_iter().map(|seed| checker.address("seeds", Some(seed))).collect();
    let log_level = match file.log_level.as_deref().unwrap_or("info").parse() {
        Ok(level) => level,
        Err(_) => {
            checker.reasons.push(("log_level", "must be off, error, warn, info, debug or trace".to_owned()));
            log::LevelFilter::Info
        }
    };
    let operations_per_second = file.operations_per_second.unwrap_or(80.0);
    if !(operations_per_second > 0.0 && operations_per_second <= 1_000_000.0) {
        checker
            .reasons
            .push(("acts_per_second", format!("{operations_per_second} is not above 0 and up to 1000000")));
    }
    let traces_sample = file.traces_sample.unwrap_or(0.01);
    if !(0.0..=1.0).contains(&traces_sample) {
        checker.reasons.push(("traces_sample", format!("{traces_sample} is not within 0 to 1")));
    }
    let lease_millis = checker.number("lease_millis", file.lease_millis, 3_000, 500, 600_000);
    let renewal_millis = checker.number("renewal_millis", file.renewal_millis, 1_000, 50, 600_000);
    if renewal_millis.saturating_mul(2) > lease_millis {
        let reason = format!("{renewal_millis} is more than half of lease_millis {lease_millis}");
        checker.reasons.push(("renewal_millis", reason));
    }
    let extra_ratio = file.extra_ratio.unwrap_or(0.2);
    if !(0.0..=10.0).contains(&extra_ratio) {
        checker.reasons.push(("extra_ratio", format!("{extra_ratio} is not within 0 to 10")));
    }
    let lists_per_second = file.lists_per_second.unwrap_or(1_000.0);
    if !(lists_per_second > 0.0 && lists_per_second <= 1_000_000.0) {
        let reason = format!("{lists_per_second} is not above 0 and up to 1000000");
        checker.reasons.push(("lists_per_second", reason));
    }
    if let Some(link_megabits) = file.link_megabits.filter(|megabits| !(0.01..=1e6).contains(megabits)) {
        checker.reasons.push(("link_megabits", format!("{link_megabits} is not within 0.01 to 1000000")));
    }
    let processor_cores = file.processor_cores.unwrap_or(1.0);
    if !(0.001..=1_000.0).contains(&processor_cores) {
        checker.reasons.push(("processor_cores", format!("{processor_cores} is not within 0.001 to 1000")));
    }
    let costs = [
        ("start_cost", file.start_cost.unwrap_or(110.0)),
        ("late_call_cost", file.late_call_cost.unwrap_or(600.0)),
        ("far_call_cost", file.remote_call_cost.unwrap_or(20.0)),
    ];
    for (field, cost) in costs {
        if !(0.0..=1e9).contains(&cost) {
            checker.reasons.push((field, format!("{cost} is not within 0 to 1000000000")));
        }
    }
    let [(_, start_cost), (_, late_call_cost), (_, remote_call_cost)] = costs;
    let own_name = file.node_name.unwrap_or_else(|| peer_address.to_string());
    let tolerance = LossTolerance {
        machines: DEFAULT_TOLERATED_MACHINE_LOSSES,
        zones: checker.number("tolerated_zone_losses", file.tolerated_zone_losses, 0, 0, MOST_LOSSES)
            as usize,
        regions: checker.number("tolerated_region_losses", file.tolerated_region_losses, 0, 0, MOST_LOSSES)
            as usize,
        zone_regions: file.zone_regions.unwrap_or_default(),
    };
    let settings = Settings {
        fleet,
        node_name: checker.text("node_name", Some(own_name), None),
        zone,
        client_address: checker.address("visitor_address", file.client_address),
        control_address: checker.address("control_address", file.control_address),
        ready_address: file.ready_address.map(|text| checker.address("ready_address", Some(text))),
        peer_address,
        seeds,
        data_folder: file.data_folder,
        platform_address: checker.address("platform_address", file.platform_address),
        bootstrap_disks: checker.number(
            "founding_disks",
            file.bootstrap_disks,
            tolerance.voter_count() as u64,
            1,
            MOST_VOTERS as u64,
        ) as usize,
        tolerance,
        may_bootstrap: file.may_bootstrap.unwrap_or(true),
        is_first_start: file.is_first_start.unwrap_or(false),
        operations_per_second,
        lease_millis,
        poll_millis: checker.number("poll_millis", file.poll_millis, 500, 50, 600_000),
        renewal_millis,
        gate: file.gate.unwrap_or(true),
        switched_off: checker.policies(file.switched_off),
        replace_disk_after_seconds: checker.number(
            "replace_disk_after_seconds",
            file.replace_disk_after_seconds,
            20,
            5,
            86_400,
        ),
        worker_threads: checker.number("worker_threads", file.worker_threads, 2, 0, 64) as usize,
        kept_connections: checker.number("kept_connections", file.kept_connections, 8, 0, 1_000) as usize,
        lists_per_second,
        usage: checker.usage(file.usage_window_seconds, file.usage_delay_seconds, file.action_lease_millis),
        start_cost,
        late_call_cost,
        remote_call_cost,
        extra_ratio,
        extra_fixed: checker.number("extra_fixed", file.extra_fixed, 60, 0, 1_000_000),
        extra_window_seconds: checker.number("extra_window_seconds", file.extra_window_seconds, 10, 1, 3_600),
        list_every_millis: checker.number("list_every_millis", file.list_every_millis, 900, 100, 60_000),
        header_wait_millis: checker.number("header_wait_millis", file.header_wait_millis, 5_000, 1, 600_000),
        idle_millis: checker.number("idle_millis", file.idle_millis, 15_000, 1, 86_400_000),
        still_accepting_millis: checker.number(
            "still_accepting_millis",
            file.still_accepting_millis,
            700,
            0,
            600_000,
        ),
        stop_within_millis: checker.number(
            "stop_within_millis",
            file.stop_within_millis,
            5_600,
            100,
            600_000,
        ),
        body_limit_bytes: checker.number(
            "body_limit_bytes",
            file.body_limit_bytes,
            4 * 1024 * 1024,
            1_024,
            64 * 1024 * 1024,
        ) as usize,
        memory_limit_bytes: checker.number(
            "memory_limit_bytes",
            file.memory_limit_bytes,
            96 * 1024 * 1024,
            1024 * 1024,
            64 * 1024 * 1024 * 1024,
        ) as usize,
        calls_limit: checker.number("calls_limit", file.calls_limit, 1_000, 1, 1_000_000) as usize,
        link_megabits: file.link_megabits,
        processor_millis: (processor_cores * 1_000.0) as u32,
        recording: file.recording,
        recording_limit_bytes: checker.number(
            "recording_limit_bytes",
            file.recording_limit_bytes,
            1024 * 1024 * 1024,
            1_024,
            u64::MAX,
        ),
        traces: file.traces,
        traces_sample,
        traces_limit_bytes: checker.number(
            "traces_limit_bytes",
            file.traces_limit_bytes,
            1024 * 1024 * 1024,
            1_024,
            u64::MAX,
        ),
        log_level,
    };
    if checker.reasons.is_empty() { Ok(settings) } else { Err(checker.reasons) }
}

#[cfg(test)]
mod tests;
