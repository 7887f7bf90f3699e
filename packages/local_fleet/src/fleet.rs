//! The nodes as processes: starts, kills, stops, pauses and sampling through /proc.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Default number of nodes.
pub const NODES: usize = 10;
/// The nodes with a disk: the first one of each zone.
pub const DISK_NODES: [usize; 3] = [0, 1, 2];

/// Setup of the nodes besides their addresses.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Number of nodes; those after the first three hold no state.
    pub nodes: usize,
    /// Lines for each node's settings file.
    pub settings: &'static str,
    /// Lease, poll interval and renewal interval in milliseconds.
    pub times: Option<[u64; 3]>,
    /// Switches the balance gate of the leader election off.
    pub no_gate: bool,
}

/// One node: its addresses, files and process.
pub struct FleetNode {
    pub client_address: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    first_settings: String,
    log: PathBuf,
    data: PathBuf,
    child: Option<Child>,
    /// CPU seconds of the node's ended processes.
    ended_cpu: f64,
    /// CPU seconds of the running process when last sampled.
    sampled_cpu: f64,
    /// The largest resident memory sampled, in KiB.
    pub peak_memory: u64,
}

/// The nodes of a fleet and the program that they run.
pub struct Fleet {
    pub nodes: Vec<FleetNode>,
    program: PathBuf,
}

fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    // All listeners are open at the same time, so that no port is assigned twice.
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Fleet {
    /// Assigns addresses and writes each node's settings file; starts nothing.
    pub fn prepare(
        program: &Path,
        folder: &Path,
        platform: SocketAddr,
        options: &NodeOptions,
    ) -> std::io::Result<Fleet> {
        let addresses = free_addresses(options.nodes * 3)?;
        let seeds: Vec<String> =
            DISK_NODES.iter().map(|number| format!("\"{}\"", addresses[number * 3 + 2])).collect();
        // The fleet name is unique to this process: another fleet on this machine may be assigned a port that a
        // stopped node of this one had.
        let fleet = format!("local-{}", std::process::id());
        let mut nodes = Vec::new();
        for number in 0..options.nodes {
            let name = format!("node-{number}");
            let [client_address, control, peers] = [0, 1, 2].map(|offset| addresses[number * 3 + offset]);
            let mut text = format!(
                "fleet = \"{fleet}\"\nzone = \"zone-{}\"\nvisitor_address = \"{client_address}\"\ncontrol_address = \"{control}\"\n\
                 colleague_address = \"{peers}\"\nplatform_address = \"{platform}\"\nseeds = [{}]\n\
                 worker_threads = 1\n",
                number % 3,
                seeds.join(", ")
            );
            text.push_str(options.settings);
            if DISK_NODES.contains(&number) {
                let data = folder.join(format!("data-{number}"));
                text.push_str(&format!("data_folder = {:?}\n", data.display().to_string()));
            }
            if let Some([lease, poll, renewal]) = options.times {
                text.push_str(&format!(
                    "lease_millis = {lease}\npoll_millis = {poll}\nrenewal_millis = {renewal}\n"
                ));
            }
            if options.no_gate {
                text.push_str("gate = false\n");
            }
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text)?;
            nodes.push(FleetNode {
                client_address,
                control,
                settings,
                first_settings: String::new(),
                log: folder.join(format!("{name}.log")),
                data: folder.join(format!("data-{number}")),
                child: None,
                ended_cpu: 0.0,
                sampled_cpu: 0.0,
                peak_memory: 0,
            });
        }
        Ok(Fleet { nodes, program: program.to_path_buf() })
    }

    /// Starts a node's process; its log is appended to.
    pub fn start(&mut self, number: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[number];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(&self.program)
            .arg("run")
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()?;
        node.child = Some(child);
        Ok(())
    }

    /// Kills the process without notice, like a power loss.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].sample();
        let node = &mut self.nodes[number];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        node.ended_cpu += std::mem::take(&mut node.sampled_cpu);
    }

    /// Removes a stopped node's data folder, like a machine replaced by an empty one.
    pub fn wipe_data(&mut self, number: usize) -> std::io::Result<()> {
        fs::remove_dir_all(&self.nodes[number].data)
    }

    /// Rewrites a node's settings: the first text with one more line and the seeds rotated by `turn`.
    pub fn write_settings(&mut self, number: usize, extra_line: &str, turn: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[number];
        if node.first_settings.is_empty() {
            node.first_settings = fs::read_to_string(&node.settings)?;
        }
        let rotated_lines = node.first_settings.lines().map(|line| match line.strip_prefix("seeds = [") {
            Some(list) => {
                let mut seeds: Vec<&str> = list.trim_end_matches(']').split(", ").collect();
                let seed_count = seeds.len();
                seeds.rotate_left(turn % seed_count);
                format!("seeds = [{}]\n", seeds.join(", "))
            }
            None => format!("{line}\n"),
        });
        let text: String = rotated_lines.collect();
        fs::write(&node.settings, format!("{text}{extra_line}\n"))
    }

    /// The number of lines of a node's log that contain a text.
    pub fn logged(&self, number: usize, text: &str) -> usize {
        let log = fs::read_to_string(&self.nodes[number].log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Sends a signal by name to a node's process.
    pub fn signal(&mut self, number: usize, name: &str) {
        let Some(child) = &self.nodes[number].child else { return };
        let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    }

    /// Waits for a stopping process; returns how long it took, or `None` if it had to be killed.
    pub fn wait_gone(&mut self, number: usize, within: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < within {
            let node = &mut self.nodes[number];
            node.sample();
            let child = node.child.as_mut()?;
            if let Ok(Some(_)) = child.try_wait() {
                node.child = None;
                node.ended_cpu += std::mem::take(&mut node.sampled_cpu);
                return Some(began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill(number);
        None
    }

    /// Whether a process that was signalled to stop has ended.
    pub fn is_gone(&mut self, number: usize) -> bool {
        let node = &mut self.nodes[number];
        node.sample();
        let has_ended = node.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if has_ended {
            node.child = None;
            node.ended_cpu += std::mem::take(&mut node.sampled_cpu);
        }
        has_ended
    }

    /// Restarts the processes that ended by themselves: another program on this machine may have been assigned a
    /// node's port between its choice and its use.
    pub fn start_ended(&mut self) -> std::io::Result<()> {
        for number in 0..self.nodes.len() {
            let child = self.nodes[number].child.as_mut();
            if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                self.start(number)?;
            }
        }
        Ok(())
    }

    /// Whether the node was started and not stopped since.
    pub fn is_running(&self, number: usize) -> bool {
        self.nodes[number].child.is_some()
    }

    /// Samples CPU time and memory of all nodes.
    pub fn sample_all(&mut self) {
        self.nodes.iter_mut().for_each(FleetNode::sample);
    }

    /// The client addresses of the running nodes.
    pub fn running_client_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().filter(|node| node.child.is_some()).map(|node| node.client_address).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.nodes.len() {
            self.kill(number);
        }
    }
}

impl FleetNode {
    /// Samples the process's CPU time and memory.
    pub fn sample(&mut self) {
        let Some(child) = &self.child else { return };
        let folder = PathBuf::from(format!("/proc/{}", child.id()));
        if let Ok(stat) = fs::read_to_string(folder.join("stat"))
            && let Some((_, fields)) = stat.rsplit_once(") ")
        {
            let ticks: u64 =
                fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
            self.sampled_cpu = ticks as f64 / 100.0;
        }
        if let Ok(status) = fs::read_to_string(folder.join("status")) {
            let resident = status
                .lines()
                .find_map(|line| line.strip_prefix("VmHWM:"))
                .and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
            self.peak_memory = self.peak_memory.max(resident.unwrap_or(0));
        }
    }

    /// CPU seconds of all of the node's processes.
    pub fn cpu_seconds(&self) -> f64 {
        self.ended_cpu + self.sampled_cpu
    }
}
