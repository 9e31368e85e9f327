//! The small deployment that the cases share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{Client, Request};
use crate::fleet::{Fleet, Node};
use crate::record::{Random, Record};
use crate::store::Store;
use crate::worker::{Config, Worker};

/// Host of the routes.
pub const HOST: &str = "registry.example";
/// Service of the routes.
pub const SERVICE: &str = "registry";
/// Zones of machines and workers.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Prefix of the route whose requests may run more than once.
pub const SAFE_PREFIX: &str = "/lookup/";
/// Prefix of the route whose requests run once at most.
pub const UNSAFE_PREFIX: &str = "/record/";
/// Time that clients wait for an answer.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// Time from the start of the machines to that of the traffic.
pub const LEAD: Duration = Duration::from_secs(6);

/// Starts workers that differ in number and zone only.
pub fn workers(
    count: usize,
    config: &Config,
    store: &Store,
    record: &Record,
) -> Result<Vec<Worker>, String> {
    let start = |number: usize| {
        let number = config.number + number;
        let zone = ZONES[number % ZONES.len()].to_owned();
        let config = Config { number, zone, ..config.clone() };
        Worker::start(config, store, record).map_err(|error| format!("worker: {error}"))
    };
    (0..count).map(start).collect()
}

/// Clients that send requests until they are stopped.
pub struct Clients {
    done: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients that pause for up to `pause_ms` between two requests and of whose
    /// requests `unsafe_share` are unsafe.
    pub fn start(
        count: usize,
        pause_ms: usize,
        unsafe_share: f64,
        fleet: &Fleet,
        record: &Record,
    ) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let directories: Vec<_> = fleet.nodes.iter().map(Node::directory).collect();
        let start = |number: usize| {
            let zone = ZONES[number % ZONES.len()];
            let client = Client::new(number, directories.clone(), HOST, zone, record);
            let done = Arc::clone(&done);
            thread::spawn(move || work(number, client, pause_ms, unsafe_share, &done))
        };
        let threads = (0..count).map(start).collect();
        Self { done, threads }
    }

    /// Stops the clients and waits for their last answers.
    pub fn stop(self) {
        self.done.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Sends requests one after the other on kept connections.
fn work(number: usize, mut client: Client, pause_ms: usize, unsafe_share: f64, done: &AtomicBool) {
    let mut random = Random::new(number as u64 + 77);
    for count in 0.. {
        if done.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{number:02}x{count:05}");
        let (method, path) = match random.fraction() < unsafe_share {
            true => ("POST", format!("{UNSAFE_PREFIX}{number}/{count}")),
            false => ("GET", format!("{SAFE_PREFIX}{number}/{count}")),
        };
        let request = Request { id: &id, method, path: &path, body: b"", deadline: DEADLINE };
        client.call(&request, None);
        thread::sleep(Duration::from_millis(20 + random.below(pause_ms) as u64));
    }
}

/// Returns the operator's configuration: a route of each kind, one service and the limits.
pub fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\
             \"specification\":{{\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout\":\"1000ms\",\"targetLatency\":\"400ms\",\
             \"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2}}}}"
        )
    };
    format!(
        "{{\"version\":\"r7\",\"baseVersion\":\"r5\",\"resources\":[{},{},\
         {{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{SERVICE}\"}},\
         \"specification\":{{\"healthCheckPath\":\"/health\",\"maxConnections\":240,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStart\":\"3s\",\"coldPerS\":15.0}}}},\
         {{\"resourceKind\":\"limits\",\"metadata\":{{}},\"specification\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}]}}",
        route("r-lookup", SAFE_PREFIX, "safe"),
        route("r-record", UNSAFE_PREFIX, "unsafe")
    )
}
