//! One exchange of a call with an upstream.

use base::prelude::*;

symbols! {
    /// What is known of whether the request has run.
    pub enum State {
        /// No byte has left.
        Ready = "ready",
        /// Bytes have left.
        Sent = "sent",
        /// It certainly has not run.
        NotRun = "not-run",
        /// It may have run.
        Unknown = "unknown",
        /// It ran and its whole answer came.
        Ran = "ran",
    }
}

symbols! {
    /// What happens to an exchange.
    pub enum Event {
        /// No connection could be opened.
        ConnectFailed = "connect-failed",
        /// The connection gave the request back unsent.
        NeverSent = "never-sent",
        /// The request was handed to the connection.
        Sent = "sent",
        /// The upstream said that it did not run the request.
        Refused = "refused",
        /// Another upstream has the address; the request did not run.
        Misdirected = "misdirected",
        /// The whole answer came.
        Answered = "answered",
        /// The whole answer came and tells of the upstream's failure.
        Failed = "failed",
        /// The connection broke, or the answer is cut short or belongs to another request.
        Broken = "broken",
        /// The deadline passed.
        Late = "late",
        /// The caller left, or another exchange of the call has answered.
        Cancelled = "left",
    }
}

symbols! {
    /// What a node does about it.
    pub enum Action {
        /// Tries elsewhere, as the request has not run.
        Retry = "retry",
        /// Tries elsewhere if the request may run twice.
        RetryIdempotent = "retry-idempotent",
        /// Tries elsewhere if the request may run twice, else passes the answer on.
        PassOrRetry = "pass-or-retry",
        /// Passes the answer on.
        Pass = "pass",
        /// Tells the caller that the deadline passed before anything was sent.
        RefuseLate = "refuse-late",
        /// Tells the caller that the outcome is unknown.
        ReportUnknown = "report-unknown",
        /// Ends the call with nothing to tell.
        Discard = "discard",
        /// Counts a good answer.
        RecordSuccess = "record-success",
        /// Counts a failed connect.
        RecordConnectFailure = "record-connect-failure",
        /// Counts a failed answer.
        RecordAnswerFailure = "record-answer-failure",
        /// Counts a broken exchange.
        RecordBreak = "record-break",
        /// Counts a passed deadline.
        RecordTimeout = "record-timeout",
        /// Suspects the request of having broken the upstream.
        RecordSuspect = "record-suspect",
        /// Notes that the upstream is full.
        MarkFull = "mark-full",
        /// Notes that another upstream has the address.
        MarkMisdirected = "mark-misdirected",
    }
}

impl State {
    /// Tells whether nothing more can happen to the exchange.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::NotRun | Self::Unknown | Self::Ran)
    }
}

record! {
    /// An exchange in progress.
    #[derive(Copy)]
    pub struct Exchange {
        /// The call.
        pub call: key::Call,
        /// The upstream.
        pub upstream: key::Upstream,
        /// What is known of it.
        pub state: State,
        /// Whether the request may have arrived there.
        pub may_have_arrived: bool,
        /// When it was ordered.
        pub start: Moment,
        /// Whether the upstream was in a cold start.
        pub cold: bool,
        /// How much longer than usual it was expected to take.
        pub expected_slowdown: f64,
    }
}
