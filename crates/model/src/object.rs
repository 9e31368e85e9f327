//! The objects of a configuration, as they are stored.

use std::net::SocketAddr;

use base::{record, symbols};

/// Default number of slots of each upstream of a service.
pub const DEFAULT_SLOTS: u32 = 4;
/// Default number of concurrent calls that a cold upstream can take.
pub const DEFAULT_COLD: u32 = 1;
/// Default time-out of a call, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Default maximum number of calls in progress of a workspace at one entry.
pub const DEFAULT_LIMIT: u32 = 512;

record! {
    /// A service that callers send requests to.
    pub struct Service {
        /// Concurrent calls that each upstream runs.
        pub slots: u32,
        /// Concurrent calls that each upstream can take during a cold start, from all entries
        /// together.
        pub cold: u32,
        /// Time-out of a call, in milliseconds.
        pub timeout_ms: u64,
        /// Version that gets the traffic, except for the share of a move in progress.
        pub serving: Option<String>,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }

    /// A failure domain.
    pub struct Domain {
        /// Whether operators have withdrawn the domain.
        #[serde(rename = "out")]
        pub withdrawn: bool,
        /// Unix time in milliseconds at which the withdrawal ends; unlimited if absent.
        pub until_ms: Option<u64>,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }

    /// A workspace and its limits.
    pub struct Workspace {
        /// Share relative to other workspaces when calls have to wait.
        pub weight: u32,
        /// Maximum number of calls in progress at one entry.
        pub limit: u32,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }

    /// A version of a service.
    pub struct Version {
        /// Service of the version.
        pub service: String,
        /// Whether the version may get traffic.
        pub standing: Standing,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }

    /// An upstream that runs one version in one failure domain.
    pub struct Upstream {
        /// Service that the upstream runs.
        pub service: String,
        /// Version that it runs.
        pub version: String,
        /// Failure domain that it runs in.
        pub domain: String,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }

    /// A route, which assigns requests to a service and classifies them.
    pub struct Route {
        /// Service that gets the requests.
        pub service: String,
        /// Method of the requests; any if absent.
        pub method: Option<String>,
        /// Prefix of the path.
        pub prefix: String,
        /// Whether a request may be executed more than once.
        pub idempotent: bool,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }

    /// A move of a service's traffic from one version to another.
    pub struct Move {
        /// Service whose traffic moves.
        pub service: String,
        /// Version that serves the traffic before the move.
        pub from: String,
        /// Version that serves the traffic after the move.
        pub to: String,
        /// Unix time in milliseconds at which the command was accepted.
        pub start_ms: u64,
        /// Unix time in milliseconds by which the move has to be complete.
        pub deadline_ms: u64,
        /// Progress of the move.
        pub phase: Phase,
        /// Reason for the last change of phase, for operators to read.
        pub reason: String,
        /// Number of the configuration in which this object last changed.
        pub rev: u64,
    }
}

symbols! {
    /// Whether a version may get traffic.
    pub enum Standing {
        /// The version may get traffic.
        Good = "good",
        /// Operators keep traffic away from the version for now.
        Held = "held",
        /// The version was found to be faulty. This is final.
        Bad = "bad",
    }
}

symbols! {
    /// Progress of a move. `Done` and `RolledBack` are final.
    pub enum Phase {
        /// Traffic shifts as fast as the results of the new version permit.
        Running = "running",
        /// The new version keeps its current share.
        Paused = "paused",
        /// The move is complete: all traffic goes to the new version.
        Done = "done",
        /// The move was undone: all traffic goes to the old version.
        RolledBack = "taken-back",
    }
}

symbols! {
    /// The kinds of object in a configuration.
    pub enum Kind {
        /// [`Service`].
        Service = "service",
        /// [`Domain`].
        Domain = "domain",
        /// [`Workspace`].
        Workspace = "workspace",
        /// [`Version`].
        Version = "version",
        /// [`Upstream`].
        Upstream = "upstream",
        /// [`Route`].
        Route = "route",
        /// [`Move`].
        Move = "move",
    }
}

impl Phase {
    /// Returns whether the move has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }
}

impl Default for Workspace {
    fn default() -> Self {
        Self { weight: 1, limit: DEFAULT_LIMIT, rev: 0 }
    }
}

impl Default for Service {
    fn default() -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            cold: DEFAULT_COLD,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            serving: None,
            rev: 0,
        }
    }
}
