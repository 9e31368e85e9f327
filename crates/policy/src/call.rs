//! A call: one request of a caller, over all its attempts.

use base::prelude::*;
use derive_more::{Display, Error};

use crate::engine::Claim;

record! {
    /// What the front knows of a request when it asks where to send it.
    #[derive(Copy)]
    pub struct Request {
        /// The front's own mark for the request, which comes back in outputs.
        pub token: u64,
        /// The service.
        pub service: key::Service,
        /// The workspace, if the request names one.
        pub workspace: Option<key::Workspace>,
        /// The route, if one fits.
        pub route: Option<key::Route>,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Whether the body can be sent again.
        pub replayable: bool,
        /// When the caller's patience ends.
        pub deadline: Moment,
        /// Digest of the idempotency key, if there is one.
        pub key: Option<u64>,
        /// Digest of the request, equal when a caller sends it again.
        pub digest: u64,
    }

    /// A call in progress.
    pub struct Call {
        /// The request.
        pub request: Request,
        /// When it came.
        pub arrived_at: Moment,
        /// Attempts so far.
        pub attempts: u32,
        /// Upstreams that failed it.
        pub failed: Vec<key::Upstream>,
        /// The version that its traffic share assigned, which retries keep.
        pub version: Option<key::Version>,
        /// Whether a connection went silent under it, so that it takes new ones only.
        pub needs_new_connection: bool,
        /// Whether some attempt may have run.
        pub may_have_run: bool,
        /// The claim of its key, if it has one that needs a claim.
        pub claim: Option<Claim>,
        /// Whether it waits for an upstream.
        pub waiting: bool,
    }
}

symbols! {
    /// Which open connections an attempt may use.
    pub enum Reuse {
        /// Any.
        Any = "any",
        /// One that was in use a moment ago.
        Recent = "proven",
        /// None: it opens a new one.
        None = "none",
    }
}

symbols! {
    /// What a refusal says of whether the request has run.
    pub enum Outcome {
        /// It certainly has not run.
        NotRun = "not-run",
        /// It may have run.
        Unknown = "unknown",
        /// It has run.
        Ran = "ran",
    }
}

/// Why a call got no answer of an upstream.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, Error, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The service has no upstream that may serve.
    #[display("no upstream may serve")]
    NoUpstream,
    /// Too many calls wait.
    #[display("too many calls wait")]
    Overload,
    /// The workspace has too many calls in progress.
    #[display("the workspace has too many calls in progress")]
    WorkspaceLimit,
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    LateUnsent,
    /// The deadline passed while the request may have run.
    #[display("the deadline passed while the request may have run")]
    LateSent,
    /// Every permitted attempt failed and none of them ran.
    #[display("every permitted attempt failed")]
    Attempts,
    /// The exchange broke and the request may have run.
    #[display("the exchange broke while the request may have run")]
    Broken,
    /// The request has broken several upstreams.
    #[display("this request has broken several upstreams")]
    Harmful,
    /// The same idempotency key is running.
    #[display("a request with this idempotency key is running")]
    KeyRunning,
    /// A request with the same idempotency key has run.
    #[display("a request with this idempotency key has run")]
    KeyUsed,
    /// What became of an earlier request with the key is not known.
    #[display("what became of an earlier request with this idempotency key is not known")]
    KeyUnknown,
    /// The homes of the idempotency key cannot say whether it was used.
    #[display("whether this idempotency key was used cannot be found out now")]
    KeyUnavailable,
    /// The entry stops.
    #[display("the entry stops")]
    Stopping,
}
