//! What clients, workers and the platform saw, in the order in which they saw it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Duration,
    /// Worker that ran it.
    pub worker: String,
}

/// One answer to a request, or the end of its connection without one.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status, or zero if there was no answer.
    pub status: u16,
    /// What is wrong with it, or why there is none.
    pub note: String,
}

#[derive(Default)]
struct State {
    lines: Vec<String>,
    runs: BTreeMap<String, Vec<Run>>,
    answers: BTreeMap<String, Answer>,
    methods: BTreeMap<String, String>,
    on_kept: BTreeSet<String>,
    sent_at: BTreeMap<String, (Duration, SocketAddr)>,
}

/// The record of a play, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    path: PathBuf,
    state: Arc<Mutex<State>>,
}

impl Record {
    /// Starts the record of the case in `review/CASE/`.
    pub fn new(case: u32) -> Self {
        let path = Path::new("review").join(case.to_string()).join("record.txt");
        Self { started_at: Instant::now(), path, state: Arc::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("unpoisoned lock")
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.state().lines.push(line);
    }

    /// Records that a client sends a request.
    pub fn sent(&self, id: &str, method: &str, path: &str, to: SocketAddr) {
        let now = self.now();
        let mut state = self.state();
        state.methods.insert(id.to_owned(), method.to_owned());
        state.sent_at.insert(id.to_owned(), (now, to));
        drop(state);
        self.line(format!("sent {id} {method} {path} to {to}"));
    }

    /// Returns when a request was sent, and to which machine.
    pub fn sent_at(&self, id: &str) -> Option<(Duration, SocketAddr)> {
        self.state().sent_at.get(id).copied()
    }

    /// Records that a request goes out on a connection that has had an answer before.
    pub fn on_kept_connection(&self, id: &str) {
        self.state().on_kept.insert(id.to_owned());
    }

    /// Returns whether a request went out on a connection that had had an answer before.
    pub fn was_on_kept_connection(&self, id: &str) -> bool {
        self.state().on_kept.contains(id)
    }

    /// Records that a worker begins to work on a request.
    pub fn run(&self, id: &str, worker: &str) {
        let run = Run { at: self.now(), worker: worker.to_owned() };
        self.state().runs.entry(id.to_owned()).or_default().push(run);
        self.line(format!("run {id} at {worker}"));
    }

    /// Records what a client got; status 0 means no answer.
    pub fn answered(&self, id: &str, status: u16, text: &str) {
        let answer = Answer { status, note: text.to_owned() };
        self.state().answers.insert(id.to_owned(), answer);
        self.line(format!("answered {id} {status} {text}"));
    }

    /// Returns each request with its method, its runs and its answer.
    pub fn requests(&self) -> Vec<(String, String, Vec<Run>, Option<Answer>)> {
        let state = self.state();
        let requests = state.methods.iter().map(|(id, method)| {
            let runs = state.runs.get(id).cloned().unwrap_or_default();
            (id.clone(), method.clone(), runs, state.answers.get(id).cloned())
        });
        requests.collect()
    }

    /// Prints lines of the result and writes the record, which they end.
    pub fn finish(&self, result: &[String]) -> Result<(), String> {
        for line in result {
            println!("{line}");
            self.line(line);
        }
        let text = self.state().lines.join("\n") + "\n";
        fs::write(&self.path, text).map_err(|error| format!("record: {error}"))
    }
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns the next number.
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }
}
