//! One attempt at a call: a single request to a single upstream.
//!
//! The engine steps the chart `charts/attempt.jsonc` with the events that the front end reports.

use base::prelude::*;

symbols! {
    /// What is known about whether the request was executed.
    pub enum State {
        /// The request has not been passed to a connection.
        Ready = "ready",
        /// The request was passed to a connection.
        Sent = "sent",
        /// The head of a response has arrived.
        Answering = "answering",
        /// The request was certainly not executed.
        NotRun = "not-run",
        /// The request may have been executed.
        Unknown = "unknown",
        /// The request was executed and its response was relayed in part.
        Cut = "cut",
        /// The request was executed and its whole response was relayed.
        Complete = "complete",
    }
}

symbols! {
    /// Events of an attempt.
    pub enum Event {
        /// No connection could be opened.
        ConnectFailed = "connect-failed",
        /// The connection closed before any byte of the request was sent.
        NeverSent = "never-sent",
        /// The request was passed to the connection.
        Sent = "sent",
        /// The upstream refused the request and reported that it was not executed.
        Refused = "refused",
        /// The head of a response arrived.
        Head = "head",
        /// The head of a response arrived with a status that counts as a failure.
        HeadFailed = "head-failed",
        /// The response ended as its framing announced.
        End = "end",
        /// The connection broke or the response is malformed.
        Broken = "broken",
        /// No response has started within the hedging delay, on a reused connection.
        Silent = "silent",
        /// No response has started within the hedging delay, on a new connection.
        SilentNew = "silent-new",
        /// The deadline passed.
        Late = "late",
        /// The caller disconnected.
        Cancelled = "left",
    }
}

symbols! {
    /// Actions of an attempt.
    pub enum Action {
        /// Retries within the retry budget.
        Retry = "retry",
        /// Retries without charging the retry budget, as the connection had closed beforehand.
        RetryUncharged = "retry-uncharged",
        /// Retries within the retry budget if the request is idempotent.
        RetryIdempotent = "retry-idempotent",
        /// Retries an idempotent request within the retry budget, or else relays the response.
        RelayOrRetry = "relay-or-retry",
        /// Abandons the attempt and starts another, if the request is idempotent and the retry
        /// budget permits it.
        Hedge = "hedge",
        /// Closes idle connections to the upstream, which may be dead too.
        CloseIdle = "close-idle",
        /// Records the request as a suspect for having crashed the upstream.
        RecordSuspect = "record-suspect",
        /// Relays the response to the caller.
        Relay = "relay",
        /// Reports to the caller that the deadline passed before anything was sent.
        RefuseLate = "refuse-late",
        /// Reports to the caller that the outcome is unknown.
        ReportUnknown = "report-unknown",
        /// Ends the call without a report to the caller.
        Discard = "discard",
        /// Ends the call after its whole response.
        Finish = "finish",
        /// Records a successful response of the upstream.
        RecordSuccess = "record-success",
        /// Records a failed connect of the upstream.
        RecordConnectFailure = "record-connect-failure",
        /// Records a failed response of the upstream.
        RecordAnswerFailure = "record-answer-failure",
        /// Records a broken exchange of the upstream.
        RecordBreak = "record-break",
        /// Records a deadline that the upstream missed.
        RecordTimeout = "record-timeout",
        /// Records that the upstream sheds load.
        RecordShedding = "record-shedding",
    }
}

record! {
    /// An in-flight attempt.
    pub struct Attempt {
        /// The call that the attempt belongs to.
        pub call: key::Call,
        /// The upstream that the request goes to.
        pub upstream: key::Upstream,
        /// What is known about the execution of the request.
        pub state: State,
        /// When the upstream was assigned.
        pub granted_at: Moment,
        /// When the request was passed to a connection.
        pub sent_at: Option<Moment>,
        /// Estimated load of the upstream, in calls, when it was assigned.
        pub ahead: f64,
        /// Whether the upstream reported a cold start; `None` without a report.
        pub reported_cold: Option<bool>,
        /// Serial number of the cold-start grant that the attempt uses, if it uses one.
        pub grant: Option<u64>,
    }
}

impl State {
    /// Returns whether the attempt has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::NotRun | Self::Unknown | Self::Cut | Self::Complete)
    }
}
