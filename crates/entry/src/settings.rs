//! The settings of a daemon: JSON with comments, checked as a whole.

mod reader;

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

pub use reader::{Cause, Fault, Faults, Reader};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Peers to ask first, by their peer addresses.
    pub peers: Vec<SocketAddr>,
    /// Keys for talking with peers; without them the entry talks with none.
    pub keys: Option<Keys>,
    /// Operators who may use the operators' interface.
    pub operators: Vec<Operator>,
    /// Bounds.
    pub limits: Limits,
    /// Level of logs.
    pub log: LevelFilter,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and scrapers.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time to wait for an answer.
    pub timeout: Duration,
}

/// Key material in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Certificates of the authorities that sign members' certificates.
    pub authority: Source,
    /// This instance's certificate.
    pub certificate: Source,
    /// This instance's private key.
    pub key: Source,
}

/// Where PEM text comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the settings themselves.
    Inline(String),
    /// From a file, which is read again when keys change.
    File(std::path::PathBuf),
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name that the history shows.
    pub name: String,
    /// The secret that proves who it is.
    pub token: String,
    /// Whether it may order changes.
    pub commands: bool,
}

/// Bounds of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of callers.
    pub caller_connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Bytes of a body that is kept so that it can be sent again.
    pub replay_bytes: u64,
    /// Time for a caller to send a request's head.
    pub head_timeout: Duration,
    /// Time for calls in progress when the daemon stops.
    pub stop_timeout: Duration,
    /// Time for which callers keep an answer of which entries to use.
    pub resolve_ttl: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            caller_connections: 8_192,
            head_bytes: 32 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            replay_bytes: 64 * 1_024,
            head_timeout: Duration::from_secs(5),
            stop_timeout: Duration::from_secs(30),
            resolve_ttl: Duration::from_secs(5),
        }
    }
}

impl Settings {
    /// Reads settings from their text.
    ///
    /// # Errors
    ///
    /// Returns every fault with its place.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::new(text)?;
        let settings = Self {
            name: reader.required_text("name"),
            domain: reader.required_text("domain"),
            listen: Listen {
                callers: reader.required_address("listen.callers"),
                operators: reader.required_address("listen.operators"),
                peers: reader.required_address("listen.peers"),
            },
            store: Store {
                address: reader.required_address("store.address"),
                timeout: reader.duration("store.patience", Duration::from_secs(2)),
            },
            peers: reader.addresses("peers"),
            keys: reader.contains("keys").then(|| Keys {
                authority: reader.required_source("keys.authority"),
                certificate: reader.required_source("keys.certificate"),
                key: reader.required_source("keys.key"),
            }),
            operators: reader.operators("operators"),
            limits: limits(&mut reader),
            log: reader.level("log", LevelFilter::Info),
        };
        reader.finish(settings)
    }
}

fn limits(reader: &mut Reader) -> Limits {
    let default = Limits::default();
    let size = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let word = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    Limits {
        caller_connections: word(reader.count(
            "limits.caller_connections",
            size(default.caller_connections),
            1,
            1 << 20,
        )),
        head_bytes: word(reader.count(
            "limits.head_bytes",
            size(default.head_bytes),
            8_192,
            1 << 20,
        )),
        body_bytes: reader.count("limits.body_bytes", default.body_bytes, 0, 1 << 40),
        replay_bytes: reader.count("limits.replay_bytes", default.replay_bytes, 0, 1 << 24),
        head_timeout: reader.duration("limits.head_time", default.head_timeout),
        stop_timeout: reader.duration("limits.stop_time", default.stop_timeout),
        resolve_ttl: reader.duration("limits.resolve_time", default.resolve_ttl),
    }
}
