//! Commands that change the configuration.

use std::net::SocketAddr;

use base::record;
use derive_more::{Display, Error};

use crate::object::{Kind, Phase, Standing};

record! {
    /// A change that an operator or the system orders.
    pub enum Command {
        /// Creates a service.
        CreateService {
            /// Its name.
            name: String,
            /// Slots of each upstream, if not the default.
            slots: Option<u32>,
            /// Calls that a cold upstream bears, if not the default.
            cold: Option<u32>,
            /// Time for a call in milliseconds, if not the default.
            timeout_ms: Option<u64>,
        },
        /// Creates a failure domain.
        CreateDomain {
            /// Its name.
            name: String,
        },
        /// Creates a workspace, or changes the limits of one.
        SetWorkspace {
            /// Its name.
            name: String,
            /// Share against other workspaces.
            weight: Option<u32>,
            /// Calls in progress at one entry.
            limit: Option<u32>,
        },
        /// Creates a version; the first of a service serves at once.
        CreateVersion {
            /// Its name.
            name: String,
            /// Its service.
            service: String,
        },
        /// Creates an upstream.
        CreateUpstream {
            /// Its name.
            name: String,
            /// Its service.
            service: String,
            /// Its version.
            version: String,
            /// Its failure domain.
            domain: String,
            /// Where it listens.
            address: SocketAddr,
        },
        /// Creates a route.
        CreateRoute {
            /// Its service.
            service: String,
            /// The method, or any.
            method: Option<String>,
            /// The start of the path.
            prefix: String,
            /// Whether a request may run more than once.
            idempotent: bool,
        },
        /// Deletes an object that nothing refers to.
        Delete {
            /// The kind.
            kind: Kind,
            /// The name.
            name: String,
        },
        /// Takes a failure domain out.
        WithdrawDomain {
            /// Its name.
            domain: String,
            /// For how long in milliseconds, if not until ordered back.
            duration_ms: Option<u64>,
        },
        /// Brings a failure domain back.
        RestoreDomain {
            /// Its name.
            domain: String,
        },
        /// Starts a move between versions.
        StartMove {
            /// The service.
            service: String,
            /// The version that has the traffic.
            from: String,
            /// The version that gets it.
            to: String,
            /// When it has to be done.
            deadline: Deadline,
        },
        /// Pauses, resumes, finishes or takes back a move.
        SetMove {
            /// The move's name.
            name: String,
            /// The phase that is ordered.
            phase: Phase,
            /// Why.
            reason: String,
        },
        /// Holds a version back, releases it, or marks it bad.
        SetStanding {
            /// The service.
            service: String,
            /// The version.
            version: String,
            /// The standing that is ordered.
            standing: Standing,
        },
    }

    /// When a move has to be done.
    #[derive(Copy)]
    pub enum Deadline {
        /// So many milliseconds from acceptance.
        Within(u64),
        /// At a time in milliseconds of Unix time.
        At(u64),
    }

    /// Who orders a change, when, and under which identity.
    pub struct Origin {
        /// Who.
        pub who: String,
        /// When, in milliseconds of Unix time.
        pub when_ms: u64,
        /// Identity of the write.
        pub write: u64,
        /// The command as given.
        pub text: String,
    }
}

impl Command {
    /// Returns the object that the command changes, as its kind and its name.
    #[must_use]
    pub fn target(&self) -> (Kind, String) {
        match self {
            Self::CreateService { name, .. } => (Kind::Service, name.clone()),
            Self::CreateDomain { name } => (Kind::Domain, name.clone()),
            Self::SetWorkspace { name, .. } => (Kind::Workspace, name.clone()),
            Self::CreateVersion { name, service } => (Kind::Version, version_path(service, name)),
            Self::CreateUpstream { name, .. } => (Kind::Upstream, name.clone()),
            Self::CreateRoute { service, method, prefix, .. } => {
                (Kind::Route, route_name(service, method.as_deref(), prefix))
            }
            Self::Delete { kind, name } => (*kind, name.clone()),
            Self::WithdrawDomain { domain, .. } | Self::RestoreDomain { domain } => {
                (Kind::Domain, domain.clone())
            }
            Self::StartMove { service, .. } => (Kind::Service, service.clone()),
            Self::SetMove { name, .. } => (Kind::Move, name.clone()),
            Self::SetStanding { service, version, .. } => {
                (Kind::Version, version_path(service, version))
            }
        }
    }
}

/// Returns the name of a version within the whole configuration.
pub(crate) fn version_path(service: &str, version: &str) -> String {
    format!("{service}/{version}")
}

/// Returns the name of a route within the whole configuration.
pub(crate) fn route_name(service: &str, method: Option<&str>, prefix: &str) -> String {
    format!("{service} {} {prefix}", method.unwrap_or("any"))
}

/// Why a command was refused. A refused command has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The named object does not exist.
    #[display("there is no {} '{name}'", kind_name(*kind))]
    NotFound {
        /// The kind.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// The named object exists already.
    #[display("{} '{name}' exists already, since change {rev}", kind_name(*kind))]
    AlreadyExists {
        /// The kind.
        kind: Kind,
        /// The name.
        name: String,
        /// Number of the change that it stems from.
        rev: u64,
    },
    /// Something else refers to the object.
    #[display("{} '{name}' is used by {} '{user}'", kind_name(*kind), kind_name(*by))]
    InUse {
        /// The kind.
        kind: Kind,
        /// The name.
        name: String,
        /// Kind of the object that refers to it.
        by: Kind,
        /// Name of the object that refers to it.
        user: String,
    },
    /// The move has ended, which is final.
    #[display("move '{name}' has ended as {}, which is final", phase_name(*phase))]
    MoveEnded {
        /// The move.
        name: String,
        /// How it ended.
        phase: Phase,
    },
    /// Another move of the service has not ended.
    #[display("service '{service}' is in move '{name}'")]
    MoveInProgress {
        /// The service.
        service: String,
        /// The move that has not ended.
        name: String,
    },
    /// The version does not have the service's traffic.
    #[display("version '{version}' is not the one that serves '{service}'")]
    NotServing {
        /// The service.
        service: String,
        /// The version.
        version: String,
    },
    /// The version is held back or bad.
    #[display("version '{version}' is {}", standing_name(*standing))]
    Ineligible {
        /// The version.
        version: String,
        /// Its standing.
        standing: Standing,
    },
    /// The deadline has passed.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// A number is outside its bounds.
    #[display("{field} must be from {low} to {high}, not {found}")]
    OutOfRange {
        /// The field.
        field: Field,
        /// The least value.
        low: u64,
        /// The greatest value.
        high: u64,
        /// The value given.
        found: u64,
    },
}

/// A field with bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, serde::Serialize, serde::Deserialize)]
pub enum Field {
    /// Slots of an upstream.
    #[display("slots")]
    Slots,
    /// Calls that a cold upstream bears.
    #[display("cold")]
    Cold,
    /// Time for a call in milliseconds.
    #[display("timeout in milliseconds")]
    Timeout,
    /// Share of a workspace.
    #[display("weight")]
    Weight,
    /// Calls in progress of a workspace.
    #[display("limit")]
    Limit,
}

fn kind_name(kind: Kind) -> &'static str {
    base::derive::Symbol::name(kind)
}

fn phase_name(phase: Phase) -> &'static str {
    base::derive::Symbol::name(phase)
}

fn standing_name(standing: Standing) -> &'static str {
    base::derive::Symbol::name(standing)
}
