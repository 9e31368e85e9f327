//! The kinds of object in a configuration.

use std::net::SocketAddr;

use base::{record, symbols};

/// Slots of an upstream whose service does not say.
pub const DEFAULT_SLOTS: u32 = 4;
/// Calls that a cold upstream bears at a time whose service does not say.
pub const DEFAULT_COLD: u32 = 1;
/// Time that a call may take whose service does not say, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Calls in progress that a workspace may have at one entry if it does not say.
pub const DEFAULT_LIMIT: u32 = 512;

record! {
    /// A service that callers name.
    pub struct Service {
        /// Calls that each upstream runs at a time.
        pub slots: u32,
        /// Calls that each upstream bears at a time in a cold start, over all entries.
        pub cold: u32,
        /// Time that a call may take, in milliseconds.
        pub timeout_ms: u64,
        /// The version that gets the traffic, but for a move's share.
        pub serving: Option<String>,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }

    /// A failure domain.
    pub struct Domain {
        /// Whether operators have taken it out.
        #[serde(rename = "out")]
        pub withdrawn: bool,
        /// End of the withdrawal in milliseconds of Unix time, if it has one.
        pub until_ms: Option<u64>,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }

    /// A workspace and its limits.
    pub struct Workspace {
        /// Share against other workspaces when calls wait.
        pub weight: u32,
        /// Calls in progress at one entry.
        pub limit: u32,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }

    /// A version of a service.
    pub struct Version {
        /// The service.
        pub service: String,
        /// Whether it may get traffic.
        pub standing: Standing,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }

    /// An upstream that runs one version in one failure domain.
    pub struct Upstream {
        /// The service.
        pub service: String,
        /// The version.
        pub version: String,
        /// The failure domain.
        pub domain: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }

    /// A route of a service, which says what its requests are.
    pub struct Route {
        /// The service.
        pub service: String,
        /// The method, or any if none is given.
        pub method: Option<String>,
        /// The start of the path.
        pub prefix: String,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }

    /// A planned move of a service from one version to another.
    pub struct Move {
        /// The service.
        pub service: String,
        /// The version that has the traffic.
        pub from: String,
        /// The version that gets the traffic.
        pub to: String,
        /// When the command was accepted, in milliseconds of Unix time.
        pub start_ms: u64,
        /// When the move has to be done, in milliseconds of Unix time.
        pub deadline_ms: u64,
        /// How far it is.
        pub phase: Phase,
        /// Why the move ended, in words for operators.
        pub reason: String,
        /// Number of the configuration that last changed this object.
        pub rev: u64,
    }
}

symbols! {
    /// Whether a version may get traffic.
    pub enum Standing {
        /// It may.
        Good = "good",
        /// Operators hold it back.
        Held = "held",
        /// It was found bad; this is final.
        Bad = "bad",
    }
}

symbols! {
    /// How far a move is. `Done` and `RolledBack` are final.
    pub enum Phase {
        /// Traffic shifts as the evidence permits.
        Running = "running",
        /// The share stays where it is.
        Paused = "paused",
        /// All traffic goes to the new version.
        Done = "done",
        /// All traffic goes to the old version.
        RolledBack = "taken-back",
    }
}

symbols! {
    /// The kinds of object.
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
    /// Tells whether the move has ended.
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
