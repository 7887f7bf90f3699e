//! The machines: processes of the deploy file's program, each on a loopback address of its own.

use crate::record::Record;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// `[survive]` of the settings.
#[derive(Clone, Copy)]
pub struct Survive {
    pub machines: u32,
    pub zones: u32,
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub local: u16,
}

pub const ZONES: [&str; 3] = ["szeged-hall", "kecskemet-hall", "bekescsaba-hall"];

pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub has_disk: bool,
    process: Option<Child>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub ports: Ports,
    pub seeds: Vec<usize>,
    pub survive: Survive,
    folder: PathBuf,
    program: Vec<String>,
    platform: SocketAddr,
    record: Record,
}

/// Ports that are free on every loopback address now.
pub fn free_ports<const COUNT: usize>() -> std::io::Result<[u16; COUNT]> {
    let mut listeners = Vec::new();
    let mut ports = [0; COUNT];
    for port in &mut ports {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

impl Fleet {
    /// Machines in the three zones in turn, those with a disk first. Nothing is started.
    pub fn lay_out(
        folder: &Path,
        program: Vec<String>,
        platform: SocketAddr,
        (with_disk, without_disk): (usize, usize),
        survive: Survive,
        record: Record,
    ) -> std::io::Result<Fleet> {
        let [front, ready, control, local] = free_ports::<4>()?;
        let network = 64 + (std::process::id() % 128) as u8;
        let machines = (0..with_disk + without_disk)
            .map(|index| {
                let zone = index % ZONES.len();
                Machine {
                    name: format!("edge-{}-{}", ZONES[zone], index / ZONES.len() + 1),
                    zone: ZONES[zone],
                    ip: Ipv4Addr::new(127, network, zone as u8 + 1, 20 + (index / ZONES.len()) as u8),
                    has_disk: index < with_disk,
                    process: None,
                }
            })
            .collect();
        let ports = Ports { front, ready, control, local };
        let seeds = (0..ZONES.len()).collect();
        let folder = folder.to_owned();
        Ok(Fleet { machines, ports, seeds, survive, folder, program, platform, record })
    }

    fn data(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    pub fn at(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[index].ip), port)
    }

    fn settings(&self, index: usize, first_start: bool) -> String {
        let machine = &self.machines[index];
        let Ports { front, ready, control, local } = self.ports;
        let ip = machine.ip;
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{}:{control}\"", self.machines[*seed].ip)).collect();
        let disk = match machine.has_disk {
            true => format!("dataDir = \"{}\"\n", self.data(index).display()),
            false => String::new(),
        };
        let limit_disk = if machine.has_disk { "diskMb = 64\n" } else { "" };
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"alfold\"\n")).collect();
        format!(
            "nodeName = \"{}\"\nrole = \"node\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"control\"]\n\
             ip = \"{ip}\"\nzone = \"{}\"\nregion = \"alfold\"\nlocalPorts = [{local},{local}]\n\
             seedNodes = [{}]\nfirstStart = {first_start}\nlossCounts = {}\n{disk}discovery = \"cloud\"\n\
             entry = \"virtual_ip\"\nbeatEveryMs = 1200\n\
             ruleParts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"functions\"]\n\
             [zones]\n{zones}[listenOn]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\n[limits]\ncpuShare = 0.45\ncpuCores = 1\nmemoryMb = 260\n\
             openFiles = 4100\nnetworkMbps = 1000.0\n{limit_disk}[survive]\nmachineLosses = {}\nzones = {}\n\
             regionLosses = 0\n[bounds]\nseedDelayS = 3\nreuseAfterS = 2\ninTouchMs = 4000\n\
             ackWithinMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlostSlackMs = 200\n\
             configApplyMs = 3000\ngoBackMs = 250\nstretchMs = 12000\nretryRatio = 0.2\nretryWindowS = 10\n\
             extraRetries = 60\nrecoverS = 12\nturnAwaySlack = 11\n[cloudApi]\naddress = \"{}\"\n\
             ratePerS = 26.0\nduties = [\"starting\"]\nlagMs = 800\ndutyPerS = 78.0\n",
            machine.name,
            machine.zone,
            seeds.join(","),
            machine.has_disk,
            self.survive.machines,
            self.survive.zones,
            self.platform,
        )
    }

    /// Starts a machine's process with settings written now.
    pub fn start(&mut self, index: usize, first_start: bool) -> std::io::Result<()> {
        let settings = self.folder.join(format!("machine-{index}.toml"));
        std::fs::write(&settings, self.settings(index, first_start))?;
        if self.machines[index].has_disk {
            std::fs::create_dir_all(self.data(index))?;
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("machine-{index}.log")))?;
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env_clear()
            .env("VANELANE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        // For `case.sh`, if this program is ended.
        let mut processes =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("processes"))?;
        writeln!(processes, "{}", child.id())?;
        let name = &self.machines[index].name;
        self.record.line(format!("machine {name} starts, firstStart = {first_start}"));
        self.machines[index].process = Some(child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].process.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("machine {} was killed", self.machines[index].name));
        }
    }

    /// The disk of a machine without a process comes back empty.
    pub fn lose_disk(&self, index: usize) {
        let _ = std::fs::remove_dir_all(self.data(index));
        self.record.line(format!("machine {} lost its disk", self.machines[index].name));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
    }
}
