//! The settings of a node: JSON with comments; all faults are reported at once.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use entry::settings::{Faults, Reader};
use gateway::Terms;
use log::LevelFilter;

use crate::memory::Memory;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance; it stays the same across restarts.
    pub name: String,
    /// Name of the instance's failure domain.
    pub domain: String,
    /// Addresses on which the node listens.
    pub listen: Listen,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Time-out for a response of the store.
    pub store_timeout: Duration,
    /// Peer addresses of some other nodes, used to discover members while none are known.
    pub seeds: Vec<SocketAddr>,
    /// Time from the signal to stop until the process has to have ended.
    pub stop_timeout: Duration,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// Limits and times of the engine.
    pub terms: Terms,
    /// Maximum rate of log lines, per second.
    pub log_rate: u64,
    /// Log level.
    pub log_level: LevelFilter,
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory, which gives callers the addresses to connect to.
    pub directory: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for connections of other nodes.
    pub peers: SocketAddr,
    /// Address for the metrics scraper.
    pub metrics: SocketAddr,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its position in the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::new(text)?;
        let listen = Listen {
            callers: reader.required_address("listen.callers"),
            ready: reader.required_address("listen.ready"),
            directory: reader.required_address("listen.directory"),
            operators: reader.required_address("listen.operators"),
            peers: reader.required_address("listen.peers"),
            metrics: reader.required_address("listen.metrics"),
        };
        let settings = Self {
            name: reader.required_text("name"),
            domain: reader.required_text("domain"),
            listen,
            store_address: reader.required_address("store.address"),
            store_timeout: reader.duration("store.patience", Duration::from_millis(700)),
            // All nodes use the same port for peers, so the port of a seed is ignored.
            seeds: reader
                .addresses("seeds")
                .into_iter()
                .map(|seed| SocketAddr::new(seed.ip(), listen.peers.port()))
                .collect(),
            stop_timeout: reader.duration("stop_time", Duration::from_secs(6)),
            memory_bytes: memory_bytes(&mut reader),
            terms: terms(&mut reader),
            log_rate: reader.count("log_rate", 100, 1, 100_000),
            log_level: reader.level("log", LevelFilter::Info),
        };
        reader.finish(settings)
    }
}

/// Shortest time after which a change can be followed everywhere: some reads and hops.
const MIN_CHANGE_TIME: Duration = Duration::from_secs(1);
/// Largest accepted memory of a machine, in MiB.
const MAX_MEMORY_MIB: u64 = 1_048_576;

/// Reads the memory of the machine, which the operating system tells if the settings do not.
fn memory_bytes(reader: &mut Reader) -> u64 {
    match reader.count("memory_mib", 0, 0, MAX_MEMORY_MIB) {
        0 => Memory::of_machine(),
        mib => mib * 1_048_576,
    }
}

/// Reads the time after which a change has to be followed everywhere: the shortest of those for the
/// kinds of change.
fn change_time(reader: &mut Reader, default: Duration) -> Duration {
    let drain = reader.duration("terms.drain_time", default);
    let table = reader.duration("terms.table_time", default);
    drain.min(table).max(MIN_CHANGE_TIME)
}

/// Largest accepted number of failure domains that may be lost at the same time.
const MAX_DOMAINS_LOST: u64 = 1_000;

fn domains_lost(reader: &mut Reader, default: usize) -> usize {
    let count = reader.count("terms.domains_lost", default as u64, 0, MAX_DOMAINS_LOST);
    usize::try_from(count).unwrap_or(default)
}

fn terms(reader: &mut Reader) -> Terms {
    let default = Terms::default();
    let time = |span: Span| Duration::from(span);
    Terms {
        retry_ratio: reader.number("terms.retry_ratio", default.retry_ratio),
        retry_slack: reader.number("terms.retry_slack", default.retry_slack),
        retry_window: reader.duration("terms.retry_window", time(default.retry_window)).into(),
        trial_share: reader.number("terms.trial_share", default.trial_share),
        domains_lost: domains_lost(reader, default.domains_lost),
        cold_factor: reader.number("terms.cold_factor", default.cold_factor),
        cold_slack: reader.number("terms.cold_slack", default.cold_slack),
        probe_rate: reader.number("terms.probe_rate", default.probe_rate),
        change_time: change_time(reader, time(default.change_time)).into(),
        advice_time: reader.duration("terms.advice_time", time(default.advice_time)).into(),
    }
}
