//! One attempt at a call.

use base::prelude::*;

symbols! {
    /// What is known of whether a request has run.
    pub enum State {
        /// No byte has left.
        Ready = "ready",
        /// Bytes have left.
        Sent = "sent",
        /// The head of an answer has come.
        Answering = "answering",
        /// It certainly has not run.
        NotRun = "not-run",
        /// It may have run.
        Unknown = "unknown",
        /// It ran and its answer was passed on in part.
        Cut = "cut",
        /// It ran and its whole answer was passed on.
        Complete = "complete",
    }
}

symbols! {
    /// What happens to an attempt.
    pub enum Event {
        /// No connection could be opened.
        ConnectFailed = "connect-failed",
        /// The connection gave the request back unsent.
        NeverSent = "never-sent",
        /// The request was handed to the connection.
        Sent = "sent",
        /// The upstream refused it and said that it has not run.
        Refused = "refused",
        /// The head of an answer came.
        Head = "head",
        /// The head of an answer came and it tells of a failure.
        HeadFailed = "head-failed",
        /// The answer ended as its framing says.
        End = "end",
        /// The connection broke or the answer is not well formed.
        Broken = "broken",
        /// No answer has begun for longer than usual, on a connection used before.
        Silent = "silent",
        /// No answer has begun for longer than usual, on a new connection.
        SilentNew = "silent-new",
        /// The deadline passed.
        Late = "late",
        /// The caller left.
        Cancelled = "left",
    }
}

symbols! {
    /// What an entry does about it.
    pub enum Action {
        /// Tries again within the budget.
        Retry = "retry",
        /// Tries again without a charge, since the connection had closed before.
        RetryUncharged = "retry-uncharged",
        /// Tries again within the budget if the request is idempotent.
        RetryIdempotent = "retry-idempotent",
        /// Tries again if idempotent and within the budget, else passes the answer on.
        RelayOrRetry = "relay-or-retry",
        /// Gives the attempt up for another one if idempotent and within the budget.
        Hedge = "hedge",
        /// Retires idle connections, which may be silent too.
        CloseIdle = "close-idle",
        /// Suspects the request of having broken the upstream.
        RecordSuspect = "record-suspect",
        /// Passes the answer on.
        Relay = "relay",
        /// Tells the caller that the deadline passed before anything was sent.
        RefuseLate = "refuse-late",
        /// Tells the caller that the outcome is unknown.
        ReportUnknown = "report-unknown",
        /// Ends the call with nothing to tell.
        Discard = "discard",
        /// Ends the call after its whole answer.
        Finish = "finish",
        /// Counts an answer for the upstream.
        RecordSuccess = "record-success",
        /// Counts a failed connect against the upstream.
        RecordConnectFailure = "record-connect-failure",
        /// Counts a failed answer against the upstream.
        RecordAnswerFailure = "record-answer-failure",
        /// Counts a broken exchange against the upstream.
        RecordBreak = "record-break",
        /// Counts a passed deadline against the upstream.
        RecordTimeout = "record-timeout",
        /// Notes that the upstream sheds load.
        RecordShedding = "record-shedding",
    }
}

record! {
    /// An attempt in progress.
    pub struct Attempt {
        /// The call.
        pub call: key::Call,
        /// The upstream.
        pub upstream: key::Upstream,
        /// What is known of it.
        pub state: State,
        /// When it was granted.
        pub granted_at: Moment,
        /// When it was handed to a connection.
        pub sent_at: Option<Moment>,
        /// Calls estimated at the upstream when it was granted.
        pub ahead: f64,
        /// Whether the upstream said that it is in a cold start, if it said anything.
        pub reported_cold: Option<bool>,
        /// Mark of the grant of a cold upstream's owner, if it uses one.
        pub grant: Option<u64>,
    }
}

impl State {
    /// Tells whether nothing more can happen to the attempt.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::NotRun | Self::Unknown | Self::Cut | Self::Complete)
    }
}
