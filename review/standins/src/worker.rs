//! Stand-in of a worker: it registers in the store and serves requests, each start under a new id.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::{Random, Record};
use crate::setup::SERVICE;
use crate::store::Store;

/// Time between two writes of a worker to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time of silence after which the store removes an entry.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);
/// Time after which a worker that has crashed is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// `coldStart` of the configuration: time for which a worker is cold.
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests in a second that a cold worker bears: `coldPerS` x `coldOver` + `coldSlack`.
pub const COLD_BOUND: f64 = 15.0 * 1.5 + 5.0;
/// Time after which a cold worker no longer bears more.
pub const COLD_NOTICE: Duration = Duration::from_millis(200);
/// Time over which the load of a version counts.
pub const LOAD_WINDOW: Duration = Duration::from_millis(400);
/// How much longer a cold worker takes.
const COLD_FACTOR: u32 = 2;
/// Size of a body.
const BODY_BYTES: usize = 600;

/// What a worker is.
#[derive(Clone, Default)]
pub struct Config {
    /// Number of the worker.
    pub number: usize,
    /// Zone that it runs in.
    pub zone: String,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Requests that it queues.
    pub queue: u32,
    /// Time of one request.
    pub work: Duration,
    /// Whether it tells its load.
    pub tells_load: bool,
    /// Version of its software; the first one if there is none.
    pub release: Option<Arc<Release>>,
}

/// A version of the workers' software beside the first one. It fails half of its requests while it
/// serves most of the traffic, and is good below.
pub struct Release {
    /// Name of the version.
    pub version: String,
    /// Requests in [`LOAD_WINDOW`] from which on it fails.
    pub limit: usize,
    arrivals: Mutex<Vec<Instant>>,
    failures: Mutex<Vec<Duration>>,
}

impl Release {
    /// Creates a version that fails from `limit` requests in [`LOAD_WINDOW`] on.
    pub fn new(version: &str, limit: usize) -> Self {
        let (arrivals, failures) = (Mutex::default(), Mutex::default());
        Self { version: version.to_owned(), limit, arrivals, failures }
    }

    /// Counts a request, and returns whether the version is under load.
    fn is_under_load(&self) -> bool {
        let mut arrivals = self.arrivals.lock().expect("unpoisoned lock");
        arrivals.retain(|at| at.elapsed() < LOAD_WINDOW);
        arrivals.push(Instant::now());
        arrivals.len() >= self.limit
    }

    /// Returns the times of its bad answers.
    pub fn failures(&self) -> Vec<Duration> {
        self.failures.lock().expect("unpoisoned lock").clone()
    }
}

/// Troubles of a worker, in answers of a thousand; zero means none.
#[derive(Default)]
pub struct Trouble {
    /// Answers of which a second copy follows late.
    pub late_copies: AtomicU32,
    stopped: AtomicBool,
    cold_until: Mutex<Option<Instant>>,
}

impl Trouble {
    /// Makes the worker cold for a time.
    pub fn become_cold(&self, time: Duration) {
        *self.cold_until.lock().expect("unpoisoned lock") = Some(Instant::now() + time);
    }

    /// Stops the worker for good.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns whether the worker has been cold for a while.
    fn is_sensitive(&self) -> bool {
        let left = self.cold_remaining();
        !left.is_zero() && left + COLD_NOTICE < COLD_TIME
    }

    /// Returns how much longer the worker is cold.
    fn cold_remaining(&self) -> Duration {
        let until = *self.cold_until.lock().expect("unpoisoned lock");
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}

/// A worker; its processes follow each other under new ids.
pub struct Worker {
    /// Its troubles.
    pub trouble: Arc<Trouble>,
    id: Arc<Mutex<String>>,
}

/// One process of a worker.
struct Process {
    id: String,
    config: Config,
    address: SocketAddr,
    alive: AtomicBool,
    trouble: Arc<Trouble>,
    store: Store,
    record: Record,
    load: Mutex<Load>,
    freed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
    random: Mutex<Random>,
    /// Times of the last requests while it was cold.
    recent: Mutex<Vec<Instant>>,
}

#[derive(Clone, Copy, Default)]
struct Load {
    running: u32,
    waiting: u32,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(config: Config, store: &Store, record: &Record) -> std::io::Result<Self> {
        let trouble: Arc<Trouble> = Arc::default();
        let free = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let (store, record) = (store.clone(), record.clone());
        let listener = TcpListener::bind(free)?;
        let shared = Arc::clone(&trouble);
        let id: Arc<Mutex<String>> = Arc::default();
        let current = Arc::clone(&id);
        thread::spawn(move || run(config, listener, &current, shared, store, record));
        Ok(Self { trouble, id })
    }

    /// Returns the id of its present process, or of the last one.
    pub fn id(&self) -> String {
        self.id.lock().expect("unpoisoned lock").clone()
    }
}

/// Runs the processes of a worker one after the other.
fn run(
    config: Config,
    listener: TcpListener,
    current: &Mutex<String>,
    trouble: Arc<Trouble>,
    store: Store,
    record: Record,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    for start in 0.. {
        let id = format!("i-{:02}-{start}", config.number);
        id.clone_into(&mut current.lock().expect("unpoisoned lock"));
        if start > 0 {
            trouble.become_cold(COLD_TIME);
        }
        let process = Arc::new(Process {
            id,
            config: config.clone(),
            address,
            alive: AtomicBool::new(true),
            trouble: Arc::clone(&trouble),
            store: store.clone(),
            record: record.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
            streams: Mutex::default(),
            random: Mutex::new(Random::new(config.number as u64 * 1_000 + start)),
            recent: Mutex::default(),
        });
        let bound = listener.take().map_or_else(|| TcpListener::bind(address), Ok);
        let Ok(bound) = bound else { return };
        record.line(format!("worker {} starts at {address}", process.id));
        process.accept(bound);
        thread::sleep(RESTART_TIME);
        if trouble.stopped.load(Ordering::SeqCst) {
            return;
        }
    }
}

impl Process {
    /// Accepts connections until the process crashes.
    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let beating = Arc::clone(self);
        thread::spawn(move || beating.register());
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        while self.alive.load(Ordering::SeqCst) {
            if self.trouble.stopped.load(Ordering::SeqCst) {
                self.crash();
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let process = Arc::clone(self);
                    thread::spawn(move || process.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Writes the entry in the store again and again; it goes some time after the last one.
    fn register(&self) {
        let Config { zone, slots, release, .. } = &self.config;
        let version = release.as_ref().map_or("v1", |release| release.version.as_str());
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let specification = format!(
            "{{\"address\":\"{}\",\"born\":{born},\"information\":{{\"service\":\"{SERVICE}\",\
             \"version\":\"{version}\",\"zone\":\"{zone}\",\"slots\":{slots}}}}}",
            self.address
        );
        for sequence in 1.. {
            if !self.alive.load(Ordering::SeqCst) {
                break;
            }
            let status = format!(
                "{{\"state\":\"ready\",\"sequence\":{sequence},\"coldRemaining\":\"{}ms\"}}",
                self.trouble.cold_remaining().as_millis()
            );
            self.store.put("servers", &self.id, &specification, &status);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
        thread::sleep(ENTRY_LIFETIME - HEARTBEAT_INTERVAL);
        self.store.remove("servers", &self.id);
    }

    fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        self.record.line(format!("worker {} crashes", self.id));
        for stream in self.streams.lock().expect("unpoisoned lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        let _ = writer.set_nodelay(true);
        self.streams.lock().expect("unpoisoned lock").push(kept);
        let mut reader = BufReader::new(stream);
        let mut copy: Option<(String, Vec<u8>)> = None;
        while self.alive.load(Ordering::SeqCst) {
            let Ok(Some(request)) = http::read(&mut reader, false) else { return };
            if !self.alive.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header("nutmegwharf-attempt-id").unwrap_or_default().to_owned();
            if let Some((of, bytes)) = copy.take() {
                self.record.line(format!(
                    "worker {} sends the answer to {of} once more, before that to {id:?}",
                    self.id
                ));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let Some(answer) = self.respond(&request, &id) else { return };
            if writer.write_all(&answer).is_err() {
                return;
            }
            if !id.is_empty() && self.happens(&self.trouble.late_copies) {
                copy = Some((id, answer));
            }
        }
    }

    /// Returns whether a trouble happens to this answer.
    fn happens(&self, permille: &AtomicU32) -> bool {
        let fraction = self.random.lock().expect("unpoisoned lock").fraction();
        fraction * 1_000.0 < f64::from(permille.load(Ordering::Relaxed))
    }

    /// Returns the answer to a request, or `None` if the process crashes.
    fn respond(&self, request: &Message, id: &str) -> Option<Vec<u8>> {
        let load = self.load_header();
        if request.target() == "/health" {
            let cold = format!("{}ms", self.trouble.cold_remaining().as_millis());
            let mut headers = vec![
                ("Nutmegwharf-Instance-Id", self.id.as_str()),
                ("Nutmegwharf-Cold-Remaining", &cold),
            ];
            if self.config.tells_load {
                headers.push(("Nutmegwharf-Instance-Load", &load));
            }
            return Some(http::format("HTTP/1.1 200 OK", &headers, b"ok"));
        }
        let expected = request.header("nutmegwharf-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers =
                [("Nutmegwharf-Attempt-Id", id), ("Nutmegwharf-Instance-Id", self.id.as_str())];
            let start = "HTTP/1.1 421 Misdirected Request";
            return Some(http::format(start, &headers, b""));
        }
        if id.is_empty() {
            let headers = [("Nutmegwharf-Not-Executed", "1")];
            return Some(http::format("HTTP/1.1 400 Bad Request", &headers, b""));
        }
        let remaining = request.header("nutmegwharf-deadline-remaining");
        let remaining = remaining.and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(remaining);
        if !self.take_slot(deadline) {
            self.record.line(format!("worker {} turns {id} away with 503", self.id));
            let mut headers =
                vec![("Nutmegwharf-Attempt-Id", id), ("Nutmegwharf-Not-Executed", "1")];
            if self.config.tells_load {
                headers.push(("Nutmegwharf-Instance-Load", &load));
            }
            return Some(http::format("HTTP/1.1 503 Service Unavailable", &headers, b""));
        }
        self.record.run(id, &self.id);
        if self.trouble.is_sensitive() && self.is_overrun() {
            self.crash();
            return None;
        }
        if request.target().contains("/poison") {
            self.crash();
            return None;
        }
        let is_loaded = self.config.release.as_ref().is_some_and(|release| release.is_under_load());
        let is_cold = !self.trouble.cold_remaining().is_zero();
        let factor = if is_cold { COLD_FACTOR } else { 1 };
        let work_end = Instant::now() + self.config.work * factor;
        thread::sleep(work_end.min(deadline).saturating_duration_since(Instant::now()));
        self.free_slot();
        let fails = is_loaded && self.random.lock().expect("unpoisoned lock").fraction() < 0.5;
        if fails && let Some(release) = &self.config.release {
            let now = self.record.now();
            release.failures.lock().expect("unpoisoned lock").push(now);
            let signature = signature_of(&self.id, id, b"");
            let headers =
                [("Nutmegwharf-Attempt-Id", id), ("Nutmegwharf-Response-Signature", &signature)];
            return Some(http::format("HTTP/1.1 500 Internal Server Error", &headers, b""));
        }
        self.alive.load(Ordering::SeqCst).then(|| self.answer(id, work_end <= deadline))
    }

    /// Counts a request to a cold worker, and returns whether there were too many in a second.
    fn is_overrun(&self) -> bool {
        let mut recent = self.recent.lock().expect("unpoisoned lock");
        recent.retain(|at| at.elapsed() < Duration::from_secs(1));
        recent.push(Instant::now());
        recent.len() as f64 > COLD_BOUND
    }

    fn answer(&self, id: &str, in_time: bool) -> Vec<u8> {
        let body = body_of(&self.id, id);
        let signature = signature_of(&self.id, id, &body);
        let load = self.load_header();
        let mut headers =
            vec![("Nutmegwharf-Attempt-Id", id), ("Nutmegwharf-Response-Signature", &signature)];
        if self.config.tells_load {
            headers.push(("Nutmegwharf-Instance-Load", &load));
        }
        if !in_time {
            return http::format("HTTP/1.1 504 Gateway Timeout", &headers, b"");
        }
        http::format("HTTP/1.1 200 OK", &headers, &body)
    }

    fn load_header(&self) -> String {
        let load = *self.load.lock().expect("unpoisoned lock");
        format!("{},{},{},100", load.running, load.waiting, self.config.slots)
    }

    /// Waits for a slot; returns whether there was one.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().expect("unpoisoned lock");
        if load.running >= self.config.slots && load.waiting >= self.config.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.config.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = self.freed.wait_timeout(load, left).expect("unpoisoned lock").0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().expect("unpoisoned lock").running -= 1;
        self.freed.notify_one();
    }
}

/// Returns the body of a worker's answer to a request.
pub fn body_of(worker: &str, id: &str) -> Vec<u8> {
    format!("answer of {worker} to {id};").bytes().cycle().take(BODY_BYTES).collect()
}

/// Returns the signature of an answer: worker, request, length and a sum of the body.
pub fn signature_of(worker: &str, id: &str, body: &[u8]) -> String {
    let sum = body.iter().fold(0_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(*byte));
    format!("{worker}.{id}.{}.{sum:x}", body.len())
}
