//! The settings of the entry daemon, in JSON with comments.
//!
//! The file is checked completely, so that all of its errors are reported at once.

mod reader;

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

pub use reader::{Cause, Fault, Faults, Reader};

/// The settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Seeds: peer addresses of other entries, used to find members.
    pub peers: Vec<SocketAddr>,
    /// Key material for connections to peers; without it the entry runs without peers.
    pub keys: Option<Keys>,
    /// Operators that may use the operators' interface.
    pub operators: Vec<Operator>,
    /// Resource limits and time-outs.
    pub limits: Limits,
    /// Log level.
    pub log: LevelFilter,
}

/// Addresses that the entry listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For operators and metrics scrapers.
    pub operators: SocketAddr,
    /// For connections of peers.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Time to wait for a response.
    pub timeout: Duration,
}

/// Key material in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Certificates of the authorities that sign the certificates of members.
    pub authority: Source,
    /// This instance's certificate.
    pub certificate: Source,
    /// This instance's private key.
    pub key: Source,
}

/// A source of PEM text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Text in the settings.
    Inline(String),
    /// Path of a file, which is read again when keys are rotated.
    File(std::path::PathBuf),
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name that the history shows.
    pub name: String,
    /// The bearer token that authenticates the operator.
    pub token: String,
    /// Whether the operator may execute commands, not only queries.
    pub commands: bool,
}

/// Resource limits and time-outs of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections of callers.
    pub caller_connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a body that is buffered so that it can be sent again, in bytes.
    pub replay_bytes: u64,
    /// Time for a caller to send a request's head.
    pub head_timeout: Duration,
    /// Time that calls in progress have to end when the daemon stops.
    pub stop_timeout: Duration,
    /// Time for which callers may cache a resolve response.
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
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault with the path of its field.
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
    let to_u64 = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let to_usize = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    Limits {
        caller_connections: to_usize(reader.count(
            "limits.caller_connections",
            to_u64(default.caller_connections),
            1,
            1 << 20,
        )),
        head_bytes: to_usize(reader.count(
            "limits.head_bytes",
            to_u64(default.head_bytes),
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
