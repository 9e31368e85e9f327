//! The settings of a node: JSON with comments, checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use entry::settings::{Faults, Reader};
use gateway::Terms;
use log::LevelFilter;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, which a restart keeps.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Where it listens.
    pub listen: Listen,
    /// The store.
    pub store_address: SocketAddr,
    /// Time to wait for an answer of the store.
    pub store_timeout: Duration,
    /// Where some other nodes take connections of their peers, if nothing else is known.
    pub seeds: Vec<SocketAddr>,
    /// Time from the order to stop until the process has to be gone.
    pub stop_timeout: Duration,
    /// Bounds of the deployment.
    pub terms: Terms,
    /// Lines of log a second.
    pub log_rate: u64,
    /// Level of logs.
    pub log_level: LevelFilter,
}

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether it can serve.
    pub ready: SocketAddr,
    /// For callers that ask where to connect.
    pub directory: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

impl Settings {
    /// Reads settings from their text.
    ///
    /// # Errors
    ///
    /// Returns every fault with its place.
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
            // Peers listen on the same port everywhere.
            seeds: reader
                .addresses("seeds")
                .into_iter()
                .map(|seed| SocketAddr::new(seed.ip(), listen.peers.port()))
                .collect(),
            stop_timeout: reader.duration("stop_time", Duration::from_secs(6)),
            terms: terms(&mut reader),
            log_rate: reader.count("log_rate", 100, 1, 100_000),
            log_level: reader.level("log", LevelFilter::Info),
        };
        reader.finish(settings)
    }
}

/// Failure domains that settings may name as lost at a time.
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
        advice_time: reader.duration("terms.advice_time", time(default.advice_time)).into(),
    }
}
