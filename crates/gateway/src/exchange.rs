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
        Left = "left",
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
        ReportLate = "report-late",
        /// Ends the call with nothing to tell.
        Forget = "forget",
        /// Counts a good answer.
        Credit = "credit",
        /// Counts a failed connect.
        BlameConnect = "blame-connect",
        /// Counts a failed answer.
        BlameAnswer = "blame-answer",
        /// Counts a broken exchange.
        BlameBreak = "blame-break",
        /// Counts a passed deadline.
        BlameLate = "blame-late",
        /// Suspects the request of having broken the upstream.
        Accuse = "accuse",
        /// Notes that the upstream is full.
        NoteFull = "note-full",
        /// Notes that another upstream has the address.
        NoteOther = "note-other",
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
        pub arrived: bool,
        /// When it was ordered.
        pub start: Moment,
        /// Whether the upstream was in a cold start.
        pub cold: bool,
        /// How much longer than usual it was expected to take.
        pub stretch: f64,
    }
}
