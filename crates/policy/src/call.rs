//! A call: one request of a caller with all its attempts.
//!
//! The front end describes the request, and the engine keeps the state of the call.

use base::prelude::*;
use derive_more::{Display, Error};

use crate::engine::Claim;

record! {
    /// What the front end knows about a request when it asks the engine for an upstream.
    #[derive(Copy)]
    pub struct Request {
        /// Token by which the front end identifies the request in the engine's outputs.
        pub token: u64,
        /// The service that the request is for.
        pub service: key::Service,
        /// The workspace of the caller, if the request names one.
        pub workspace: Option<key::Workspace>,
        /// The route that the request matches, if there is one.
        pub route: Option<key::Route>,
        /// Whether the request may be executed more than once.
        pub idempotent: bool,
        /// Whether the whole body is buffered, so that it can be sent again.
        pub replayable: bool,
        /// The caller's deadline.
        pub deadline: Moment,
        /// Digest of the idempotency key, if the request has one.
        pub key: Option<u64>,
        /// Digest of the request's content, equal when a caller sends the same request again.
        pub digest: u64,
    }

    /// A call that is queued or in progress.
    pub struct Call {
        /// The request to serve.
        pub request: Request,
        /// When the request arrived.
        pub arrived_at: Moment,
        /// Number of attempts so far.
        pub attempts: u32,
        /// Upstreams that failed the call, excluded from further attempts.
        pub failed: Vec<key::Upstream>,
        /// The version that the latest attempt was assigned to.
        pub version: Option<key::Version>,
        /// Whether a connection stalled under the call, so that it uses new connections only.
        pub needs_new_connection: bool,
        /// Whether some attempt may have been executed.
        pub may_have_run: bool,
        /// The claim of its idempotency key, if it needs one.
        pub claim: Option<Claim>,
        /// Whether the call is queued for an upstream.
        pub waiting: bool,
    }
}

symbols! {
    /// Which open connections an attempt may reuse.
    pub enum Reuse {
        /// Any open connection.
        Any = "any",
        /// A connection that was in use a moment ago.
        Recent = "proven",
        /// No open connection; the attempt opens a new one.
        None = "none",
    }
}

symbols! {
    /// What a refusal reports about whether the request was executed.
    pub enum Outcome {
        /// The request was certainly not executed.
        NotRun = "not-run",
        /// The request may have been executed.
        Unknown = "unknown",
        /// The request was executed.
        Ran = "ran",
    }
}

/// Why a call gets no response of an upstream.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, Error, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The service has no upstream that may serve the request.
    #[display("no upstream may serve")]
    NoUpstream,
    /// Too many calls are queued.
    #[display("too many calls wait")]
    Overload,
    /// The workspace has too many calls in progress.
    #[display("the workspace has too many calls in progress")]
    WorkspaceLimit,
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    LateUnsent,
    /// The deadline passed after the request was sent, and it may have been executed.
    #[display("the deadline passed while the request may have run")]
    LateSent,
    /// Every permitted attempt failed and none of them was executed.
    #[display("every permitted attempt failed")]
    Attempts,
    /// The exchange broke and the request may have been executed.
    #[display("the exchange broke while the request may have run")]
    Broken,
    /// The request has crashed several upstreams.
    #[display("this request has broken several upstreams")]
    Harmful,
    /// A request with the same idempotency key is in progress.
    #[display("a request with this idempotency key is running")]
    KeyRunning,
    /// A request with the same idempotency key was executed.
    #[display("a request with this idempotency key has run")]
    KeyUsed,
    /// The outcome of an earlier request with the key is unknown.
    #[display("what became of an earlier request with this idempotency key is not known")]
    KeyUnknown,
    /// The replicas of the idempotency key cannot tell whether it was used.
    #[display("whether this idempotency key was used cannot be found out now")]
    KeyUnavailable,
    /// The process is stopping.
    #[display("the entry stops")]
    Stopping,
}
