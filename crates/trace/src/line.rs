//! Parses the lines of a node's log that show requests and the state of the node.

use base::record;
use serde::Deserialize;
use serde_json::Value;

record! {
    /// A line of a node's log.
    pub struct Line {
        /// Name of the node; empty if the line has no name before its JSON.
        pub node: String,
        /// Unix time of the line, in milliseconds.
        pub ms: u64,
        /// The event that the line records.
        pub record: Record,
        /// JSON of the line, as it appears in the log.
        pub text: String,
    }

    /// The event that a line records.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Record {
        /// A request was answered or abandoned.
        Request(Request),
        /// The state of an upstream has changed, as the node sees it.
        Upstream {
            /// Identity of the upstream.
            id: String,
            /// New state.
            state: String,
            /// Reason for the change.
            cause: String,
        },
        /// A failure domain was withdrawn or restored.
        Withdrawal {
            /// Name of the failure domain.
            domain: String,
            /// Whether it is withdrawn.
            withdrawn: bool,
        },
        /// The trial of a rollout has changed its state.
        Trial {
            /// New state of the trial.
            state: String,
        },
        /// A move of traffic waits for more upstreams.
        Held {},
        /// The store has become unavailable.
        StoreLost {},
        /// The store has become available again.
        StoreRegained {},
        /// A new table of routes is in force.
        Table {
            /// Version of the table.
            version: u64,
        },
        /// Any other event.
        #[serde(other)]
        Other,
    }

    /// A request that has ended, with all its attempts.
    pub struct Request {
        /// Identity of the request.
        pub id: String,
        /// HTTP status of the answer.
        pub status: u16,
        /// Reason for the status, as the node logged it.
        pub cause: String,
        /// Time from the last byte of the request to the answer, in milliseconds.
        pub took_ms: u64,
        /// Version of the table of routes; zero if the node had none.
        pub table: u64,
        /// Attempts, in the order in which they were sent.
        pub sends: Vec<Attempt>,
        /// State of the service's upstreams, if no upstream answered the request.
        pub seen: Option<Seen>,
    }

    /// An attempt: a request sent to an upstream.
    pub struct Attempt {
        /// Identity of the upstream.
        pub to: String,
        /// Expected time until the answer, in milliseconds.
        pub cost_ms: u64,
        /// Age of the upstream's last report when the request was sent, in milliseconds.
        pub report_age_ms: u64,
        /// Slowdown that the upstream reported, relative to its usual speed.
        pub pace: f64,
        /// Outcome; absent if the attempt was abandoned.
        pub end: Option<String>,
        /// Why there is no usable response, if that is known.
        pub fault: Option<String>,
        /// Time until the outcome, in milliseconds.
        pub ms: u64,
    }

    /// Number of a service's upstreams in each state, as the node sees them.
    #[derive(Copy)]
    pub struct Seen {
        /// Upstreams that are ready.
        pub warm: u32,
        /// Upstreams that are ready but have no free slot.
        pub full: u32,
        /// Upstreams whose health is not known yet.
        pub unproven: u32,
        /// Upstreams that fail or are unreachable.
        pub failing: u32,
        /// Upstreams that are being removed.
        pub draining: u32,
        /// Upstreams in a withdrawn domain.
        pub withdrawn: u32,
    }
}

impl Line {
    /// Parses a line. The last word before its JSON, if there is one, is the name of the node.
    ///
    /// Returns `None` if the line is not from a node's log.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let (before, text) = line.split_at(line.find('{')?);
        let value: Value = serde_json::from_str(text.trim_end()).ok()?;
        let ms = value.get("ms")?.as_u64()?;
        let record = Record::deserialize(&value).unwrap_or(Record::Other);
        let node = before.split_whitespace().next_back().unwrap_or_default().to_owned();
        Some(Self { node, ms, record, text: text.trim_end().to_owned() })
    }

    /// Returns the request that the line records, if it records one.
    #[must_use]
    pub fn request(&self) -> Option<&Request> {
        match &self.record {
            Record::Request(request) => Some(request),
            _ => None,
        }
    }
}
