//! The processes under test: nodes of the gateway on loopback addresses.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// Option that sets the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time in which a node has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports that all nodes use, each at its own address.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    peers: u16,
}

/// One node: a process and its addresses.
pub struct Node {
    /// Name of the node.
    pub name: String,
    ip: Ipv4Addr,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The nodes and their temporary folder; dropping it ends the processes.
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
    folder: PathBuf,
    record: Record,
}

impl Fleet {
    /// Writes the settings of `count` nodes, spread over `zones`, and starts them.
    pub fn start(
        count: usize,
        zones: &[&str],
        memory_mb: u64,
        store: &Store,
        record: &Record,
    ) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| format!("temporary folder: {error}"))?;
        let template = fs::read_to_string("deploy/gateway.jsonc")
            .map_err(|error| format!("template of the settings: {error}"))?;
        let net = u8::try_from(10 + pid % 200).unwrap_or(10);
        let host = |number: usize| {
            let number = u8::try_from(number + 1).unwrap_or(1);
            Ipv4Addr::new(127, net, u8::try_from(pid / 200 % 250).unwrap_or(0), number)
        };
        let ips: Vec<Ipv4Addr> = (0..count).map(host).collect();
        let ports = free_ports(&ips)?;
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports.control)).collect();
        let mut nodes = Vec::new();
        for (number, ip) in ips.into_iter().enumerate() {
            let zone = zones[number % zones.len()];
            let name = format!("front-{zone}-{number}");
            let settings = folder.join(format!("{name}.jsonc"));
            let log = folder.join(format!("{name}.log"));
            let node = Node { name, ip, ports, settings, log, child: None };
            let text = node.render(&template, zone, memory_mb, store.address, &seeds)?;
            fs::write(&node.settings, text).map_err(|error| format!("settings: {error}"))?;
            nodes.push(node);
        }
        let mut fleet = Self { nodes, folder, record: record.clone() };
        for number in 0..count {
            fleet.start_node(number)?;
        }
        for number in 0..count {
            fleet.wait_until_ready(number)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a node with the command of the deploy file.
    pub fn start_node(&mut self, number: usize) -> Result<(), String> {
        let node = &mut self.nodes[number];
        let log = File::options().create(true).append(true).open(&node.log);
        let log = log.map_err(|error| format!("log: {error}"))?;
        let errors = log.try_clone().map_err(|error| format!("log: {error}"))?;
        let mut command = Command::new("target/release/nutmegwharf-gateway");
        command.arg("--settings").arg(&node.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: the closure makes one system call and touches no memory of the parent.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child =
            command.spawn().map_err(|error| format!("gateway cannot be started: {error}"))?;
        node.child = Some(child);
        self.record.line(format!("platform: start of {}", node.name));
        Ok(())
    }

    /// Lets a node stand still for a time.
    pub fn freeze_node(&self, number: usize, time: Duration) {
        let node = &self.nodes[number];
        let Some(child) = &node.child else { return };
        let pid = i32::try_from(child.id()).unwrap_or(0);
        self.record.line(format!("trouble: {} stands still for {time:?}", node.name));
        // SAFETY: the process is a child that has not been waited for, so its id is its own.
        unsafe { kill(pid, SIGSTOP) };
        std::thread::sleep(time);
        // SAFETY: as above.
        unsafe { kill(pid, SIGCONT) };
        self.record.line(format!("trouble: {} goes on", node.name));
    }

    /// Waits for a line of a node's log that contains all of `words` and lacks `without`; returns the
    /// node's number.
    pub fn wait_for_log(&self, words: &[&str], without: &str, timeout: Duration) -> Option<usize> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let has_line = |node: &Node| {
                let log = fs::read_to_string(&node.log).unwrap_or_default();
                let matches = |line: &str| {
                    words.iter().all(|word| line.contains(word)) && !line.contains(without)
                };
                log.lines().any(matches)
            };
            if let Some(number) = self.nodes.iter().position(has_line) {
                return Some(number);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Waits until a node says that it is ready.
    pub fn wait_until_ready(&mut self, number: usize) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            if self.nodes[number].is_ready() {
                self.record.line(format!("platform: {} is ready", self.nodes[number].name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready in time", self.nodes[number].name))
    }

    /// Sends SIGTERM to a node, and SIGKILL once `grace` is over; returns after its end.
    pub fn stop_node(&mut self, number: usize, grace: Duration) {
        let node = &mut self.nodes[number];
        let Some(mut child) = node.child.take() else { return };
        self.record.line(format!("platform: SIGTERM to {}", node.name));
        // SAFETY: the process is a child that has not been waited for, so its id is its own.
        unsafe { kill(i32::try_from(child.id()).unwrap_or(0), SIGTERM) };
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record.line(format!("platform: {} has ended", node.name));
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(format!("platform: {} was killed after its grace period", node.name));
    }
}

impl Fleet {
    /// Kills each process that exceeds the memory of its machine and starts it again, for `time`;
    /// returns how many were killed.
    pub fn enforce_memory(&mut self, memory_mb: u64, time: Duration) -> Result<usize, String> {
        let until = Instant::now() + time;
        let mut kills = 0;
        let mut restarts: Vec<(Instant, usize)> = Vec::new();
        while Instant::now() < until || !restarts.is_empty() {
            for number in 0..self.nodes.len() {
                let node = &mut self.nodes[number];
                let Some(child) = node.child.as_mut() else { continue };
                let used_mb = memory_of(child.id()) / 1_024;
                if used_mb > memory_mb {
                    let _ = child.kill();
                    let _ = child.wait();
                    node.child = None;
                    kills += 1;
                    restarts.push((Instant::now() + RESTART_DELAY, number));
                    self.record.line(format!(
                        "platform: {} uses {used_mb} MB of {memory_mb} and is killed",
                        self.nodes[number].name
                    ));
                }
            }
            let (due, later): (Vec<_>, Vec<_>) =
                restarts.into_iter().partition(|(at, _)| *at <= Instant::now());
            restarts = later;
            for (_, number) in due {
                self.start_node(number)?;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(kills)
    }
}

/// Returns the memory that a process has allocated, in KiB.
fn memory_of(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|text| text.trim().strip_suffix("kB")?.trim().parse().ok()).unwrap_or(0)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.ports.front)
    }

    /// Returns the address of the directory.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.ports.directory)
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip.into(), self.ports.ready);
        http::get(address, "/readiness").is_ok_and(|response| response.status() == 200)
    }

    /// Fills the project's template, as the platform does.
    fn render(
        &self,
        template: &str,
        zone: &str,
        memory_mb: u64,
        store: SocketAddr,
        seeds: &[String],
    ) -> Result<String, String> {
        let address = |port: u16| format!("\"{}:{port}\"", self.ip);
        let text = |value: &str| format!("\"{value}\"");
        let values = [
            ("{{nodeName|json}}", text(&self.name)),
            ("{{zone|json}}", text(zone)),
            ("{{listenAddresses.front|json}}", address(self.ports.front)),
            ("{{listenAddresses.ready|json}}", address(self.ports.ready)),
            ("{{listenAddresses.directory|json}}", address(self.ports.directory)),
            ("{{listenAddresses.control|json}}", address(self.ports.control)),
            ("{{ip}}", self.ip.to_string()),
            ("{{internalPortRange.0}}", self.ports.peers.to_string()),
            ("{{platform.address|json}}", text(&store.to_string())),
            ("{{#seedNodes}}{{.|json}}{{,}}{{/seedNodes}}", seeds.join(",")),
            ("{{limits.memoryMb}}", memory_mb.to_string()),
            ("{{bounds.gracePeriod|json}}", text("6s")),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.budgetSlack}}", "60".to_owned()),
            ("{{bounds.budgetWindow|json}}", text("10s")),
            ("{{bounds.exposureShare}}", "0.1".to_owned()),
            ("{{faultTolerance.zones}}", "1".to_owned()),
            ("{{bounds.coldOver}}", "1.5".to_owned()),
            ("{{bounds.coldSlack}}", "5".to_owned()),
            ("{{bounds.probesPerS}}", "60".to_owned()),
            ("{{bounds.drainTimeout|json}}", text("2000ms")),
            ("{{bounds.configApply|json}}", text("2000ms")),
            ("{{bounds.ttl_max|json}}", text("5s")),
        ];
        let mut rendered = template.to_owned();
        for (placeholder, value) in values {
            rendered = rendered.replace(placeholder, &value);
        }
        match rendered.contains("{{") {
            true => Err("the template has a placeholder that is not known here".to_owned()),
            false => Ok(rendered),
        }
    }
}

/// Finds ports that are free at all addresses.
fn free_ports(ips: &[Ipv4Addr]) -> Result<Ports, String> {
    let is_free = |port: u16| {
        ips.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        })
    };
    let first = 20_000 + u16::try_from(std::process::id() % 10_000).unwrap_or(0);
    let mut free = (first..first + 500).filter(|port| is_free(*port));
    let mut next = || free.next().ok_or("no free port".to_owned());
    Ok(Ports {
        front: next()?,
        ready: next()?,
        control: next()?,
        directory: next()?,
        peers: next()?,
    })
}

/// Checks that the programs are there and the working folder is the repository's root.
pub fn check() -> Result<(), String> {
    match Path::new("target/release/nutmegwharf-gateway").exists() {
        true => Ok(()),
        false => Err("target/release/nutmegwharf-gateway is missing".to_owned()),
    }
}
