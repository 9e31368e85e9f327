//! Commands that change the configuration, and the reasons why one is refused.

use std::net::SocketAddr;

use base::record;
use derive_more::{Display, Error};

use crate::object::{Kind, Phase, Standing};

record! {
    /// A change to the configuration, requested by an operator or by the system itself.
    pub enum Command {
        /// Creates a service.
        CreateService {
            /// Name of the service.
            name: String,
            /// Slots of each upstream; the default if absent.
            slots: Option<u32>,
            /// Concurrent calls that a cold upstream can take; the default if absent.
            cold: Option<u32>,
            /// Time-out of a call in milliseconds; the default if absent.
            timeout_ms: Option<u64>,
        },
        /// Creates a failure domain.
        CreateDomain {
            /// Name of the failure domain.
            name: String,
        },
        /// Creates a workspace, or changes an existing one.
        SetWorkspace {
            /// Name of the workspace.
            name: String,
            /// Share relative to other workspaces; if absent, unchanged or the default of a new
            /// workspace.
            weight: Option<u32>,
            /// Maximum number of calls in progress at one entry; if absent, unchanged or the
            /// default of a new workspace.
            limit: Option<u32>,
        },
        /// Creates a version; the first version of a service serves at once.
        CreateVersion {
            /// Name of the version.
            name: String,
            /// Service of the version.
            service: String,
        },
        /// Creates an upstream.
        CreateUpstream {
            /// Name of the upstream.
            name: String,
            /// Service that it runs.
            service: String,
            /// Version that it runs.
            version: String,
            /// Failure domain that it runs in.
            domain: String,
            /// Address that it listens on.
            address: SocketAddr,
        },
        /// Creates a route.
        CreateRoute {
            /// Service of the route.
            service: String,
            /// Method of the requests; any if absent.
            method: Option<String>,
            /// Prefix of the path.
            prefix: String,
            /// Whether a request may be executed more than once.
            idempotent: bool,
        },
        /// Deletes an object that nothing refers to.
        Delete {
            /// Kind of the object.
            kind: Kind,
            /// Name of the object.
            name: String,
        },
        /// Withdraws a failure domain from service.
        WithdrawDomain {
            /// Name of the failure domain.
            domain: String,
            /// Duration in milliseconds; until it is restored if absent.
            duration_ms: Option<u64>,
        },
        /// Restores a withdrawn failure domain to service.
        RestoreDomain {
            /// Name of the failure domain.
            domain: String,
        },
        /// Starts to move a service's traffic to another version.
        StartMove {
            /// Service whose traffic moves.
            service: String,
            /// Version that serves the traffic now.
            from: String,
            /// Version that is to serve the traffic.
            to: String,
            /// Time by which the move has to be complete.
            deadline: Deadline,
        },
        /// Pauses, resumes, completes or rolls back a move.
        SetMove {
            /// Name of the move.
            name: String,
            /// New phase.
            phase: Phase,
            /// Reason that operators see in listings.
            reason: String,
        },
        /// Holds a version, releases it, or marks it as bad.
        SetStanding {
            /// Service of the version.
            service: String,
            /// Name of the version.
            version: String,
            /// New standing.
            standing: Standing,
        },
    }

    /// Time by which a move has to be complete.
    #[derive(Copy)]
    pub enum Deadline {
        /// Milliseconds from the acceptance of the command.
        Within(u64),
        /// Unix time in milliseconds.
        At(u64),
    }

    /// Author, time and identity of a change, kept in the configuration's history.
    pub struct Origin {
        /// Author of the change.
        pub who: String,
        /// Unix time of the change, in milliseconds.
        pub when_ms: u64,
        /// Identity of the write, by which the author recognizes it after a lost answer.
        pub write: u64,
        /// Text of the command as the author entered it.
        pub text: String,
    }
}

impl Command {
    /// Returns the kind and the name of the object that the command changes.
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

/// Returns the name of a version that is unique within a configuration.
pub(crate) fn version_path(service: &str, version: &str) -> String {
    format!("{service}/{version}")
}

/// Returns the name of a route that is unique within a configuration.
pub(crate) fn route_name(service: &str, method: Option<&str>, prefix: &str) -> String {
    format!("{service} {} {prefix}", method.unwrap_or("any"))
}

/// The reason why a command was refused. A refused command has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The named object does not exist.
    #[display("there is no {} '{name}'", kind_name(*kind))]
    NotFound {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
    },
    /// An object of that name already exists.
    #[display("{} '{name}' exists already, since change {rev}", kind_name(*kind))]
    AlreadyExists {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// Number of the change that created or last changed it.
        rev: u64,
    },
    /// Another object refers to the object that is to be deleted.
    #[display("{} '{name}' is used by {} '{user}'", kind_name(*kind), kind_name(*by))]
    InUse {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// Kind of the object that refers to it.
        by: Kind,
        /// Name of the object that refers to it.
        user: String,
    },
    /// The move has ended and cannot be changed any more.
    #[display("move '{name}' has ended as {}, which is final", phase_name(*phase))]
    MoveEnded {
        /// Name of the move.
        name: String,
        /// Final phase of the move.
        phase: Phase,
    },
    /// The service is already being moved.
    #[display("service '{service}' is in move '{name}'")]
    MoveInProgress {
        /// Name of the service.
        service: String,
        /// Name of the move in progress.
        name: String,
    },
    /// The version to move from is not the one that serves the traffic.
    #[display("version '{version}' is not the one that serves '{service}'")]
    NotServing {
        /// Name of the service.
        service: String,
        /// Name of the version.
        version: String,
    },
    /// The version is held or bad, and so may not get traffic.
    #[display("version '{version}' is {}", standing_name(*standing))]
    Ineligible {
        /// Name of the version.
        version: String,
        /// Its current standing.
        standing: Standing,
    },
    /// The deadline of the move is not in the future.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// A number is outside the permitted range.
    #[display("{field} must be from {low} to {high}, not {found}")]
    OutOfRange {
        /// The field that has the number.
        field: Field,
        /// Minimum value.
        low: u64,
        /// Maximum value.
        high: u64,
        /// Value in the command.
        found: u64,
    },
}

/// A field with a permitted range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, serde::Serialize, serde::Deserialize)]
pub enum Field {
    /// Slots of an upstream.
    #[display("slots")]
    Slots,
    /// Concurrent calls that a cold upstream can take.
    #[display("cold")]
    Cold,
    /// Time-out of a call in milliseconds.
    #[display("timeout in milliseconds")]
    Timeout,
    /// Weight of a workspace.
    #[display("weight")]
    Weight,
    /// Maximum number of calls in progress of a workspace.
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
