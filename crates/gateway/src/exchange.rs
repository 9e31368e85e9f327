//! One exchange with an upstream: a request that is sent, and its response.
//!
//! The engine creates an exchange for each upstream that it sends a call to and steps it through
//! `charts/exchange.jsonc`. The response is read in full before it is forwarded.

use base::prelude::*;

symbols! {
    /// Whether the request has run, as far as this node knows.
    pub enum State {
        /// No byte of the request has been sent.
        Ready = "ready",
        /// Bytes have been sent, so the request may run.
        Sent = "sent",
        /// The request has certainly not run.
        NotRun = "not-run",
        /// The request may have run.
        Unknown = "unknown",
        /// The request has run and its whole response was received.
        Ran = "ran",
    }
}

symbols! {
    /// Events of an exchange.
    pub enum Event {
        /// No connection could be opened.
        ConnectFailed = "connect-failed",
        /// The connection returned the request unsent.
        NeverSent = "never-sent",
        /// The request was handed to the connection.
        Sent = "sent",
        /// The upstream refused the request without running it.
        Refused = "refused",
        /// Another upstream listens at the address; the request has not run.
        Misdirected = "misdirected",
        /// A whole response was received.
        Answered = "answered",
        /// A whole response was received that reports a failure of the upstream.
        Failed = "failed",
        /// The connection broke, or the response is truncated or belongs to another request.
        Broken = "broken",
        /// The deadline passed.
        Late = "late",
        /// The caller disconnected, or another exchange of the call delivered the response.
        Cancelled = "left",
    }
}

symbols! {
    /// Actions of an exchange.
    pub enum Action {
        /// Retries on another upstream, as the request has not run.
        Retry = "retry",
        /// Retries on another upstream if the request is idempotent.
        RetryIdempotent = "retry-idempotent",
        /// Retries on another upstream if the request is idempotent, otherwise forwards the
        /// response.
        RelayOrRetry = "relay-or-retry",
        /// Forwards the response to the caller.
        Relay = "relay",
        /// Reports to the caller that the deadline passed before anything was sent.
        RefuseLate = "refuse-late",
        /// Reports to the caller that the outcome is unknown.
        ReportUnknown = "report-unknown",
        /// Ends the exchange without a report to the caller.
        Discard = "discard",
        /// Records a successful response of the upstream.
        RecordSuccess = "record-success",
        /// Records a failed connection attempt.
        RecordConnectFailure = "record-connect-failure",
        /// Records a response that reports a failure.
        RecordAnswerFailure = "record-answer-failure",
        /// Records a broken exchange.
        RecordBreak = "record-break",
        /// Records a passed deadline.
        RecordTimeout = "record-timeout",
        /// Records the request as one that may have crashed the upstream.
        RecordSuspect = "record-suspect",
        /// Marks the upstream as full for a short time.
        MarkFull = "mark-full",
        /// Marks the upstream as unreachable, because another upstream listens at its address.
        MarkMisdirected = "mark-misdirected",
    }
}

impl State {
    /// Returns whether the state is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::NotRun | Self::Unknown | Self::Ran)
    }
}

record! {
    /// An exchange in progress.
    #[derive(Copy)]
    pub struct Exchange {
        /// Call that it serves.
        pub call: key::Call,
        /// Upstream that it was sent to.
        pub upstream: key::Upstream,
        /// Whether the request has run, as far as is known.
        pub state: State,
        /// Whether the request may have reached the upstream.
        pub may_have_arrived: bool,
        /// Time when the engine started it.
        pub started_at: Moment,
        /// Whether the upstream was in a cold start at that time.
        pub cold: bool,
        /// Ratio of its expected duration to the route's average service time.
        pub expected_slowdown: f64,
    }
}
