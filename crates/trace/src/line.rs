//! Lines of a node's log, as far as they tell of requests and of what the node believed.

use base::record;
use serde::Deserialize;
use serde_json::Value;

record! {
    /// One line of a log.
    pub struct Line {
        /// The node, if the line names it before its JSON.
        pub node: String,
        /// When it was written, in Unix milliseconds.
        pub ms: u64,
        /// What it tells.
        pub record: Record,
        /// The line's JSON as it stands in the log.
        pub text: String,
    }

    /// What a line tells.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Record {
        /// A request has ended.
        Request(Request),
        /// What a node believes of an upstream has changed.
        Upstream {
            /// The upstream.
            id: String,
            /// Its state from now on.
            state: String,
            /// Why.
            cause: String,
        },
        /// A failure domain is withdrawn, or back.
        Withdrawal {
            /// Its name.
            domain: String,
            /// Whether it is withdrawn.
            withdrawn: bool,
        },
        /// A rollout has moved.
        Trial {
            /// Where it is.
            state: String,
        },
        /// A move waits for more upstreams.
        Held {},
        /// The store does not answer.
        StoreLost {},
        /// The store answers again.
        StoreRegained {},
        /// Other routes are in force.
        Table {
            /// Their version.
            version: u64,
        },
        /// Anything else.
        #[serde(other)]
        Other,
    }

    /// A request that has ended.
    pub struct Request {
        /// Its identity.
        pub id: String,
        /// Status of its answer.
        pub status: u16,
        /// Why, in the node's words.
        pub cause: String,
        /// Time from its last byte to its answer, in milliseconds.
        pub took_ms: u64,
        /// Version of the routes.
        pub table: u64,
        /// Upstreams that it was sent to.
        pub sends: Vec<Send>,
        /// What the node saw of the service, if the request got no upstream's answer.
        pub seen: Option<Seen>,
    }

    /// One send of a request.
    pub struct Send {
        /// The upstream.
        pub to: String,
        /// Expected time, in milliseconds.
        pub cost_ms: u64,
        /// Age of the upstream's report, in milliseconds.
        pub report_age_ms: u64,
        /// Pace that the upstream told.
        pub pace: f64,
        /// How it ended; absent if it was given up.
        pub end: Option<String>,
        /// How long it took, in milliseconds.
        pub ms: u64,
    }

    /// Upstreams of a service, by what a node believes of them.
    #[derive(Copy)]
    pub struct Seen {
        /// Ready.
        pub warm: u32,
        /// Ready and without a free slot.
        pub full: u32,
        /// Not known yet.
        pub unproven: u32,
        /// Failing or out of reach.
        pub failing: u32,
        /// Leaving.
        pub draining: u32,
        /// In a withdrawn domain.
        pub withdrawn: u32,
    }
}

impl Line {
    /// Reads one line; text before its JSON may name the node, as its last word.
    ///
    /// Returns nothing for a line that is not of a node's log.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let (before, text) = line.split_at(line.find('{')?);
        let value: Value = serde_json::from_str(text.trim_end()).ok()?;
        let ms = value.get("ms")?.as_u64()?;
        let record = Record::deserialize(&value).unwrap_or(Record::Other);
        let node = before.split_whitespace().next_back().unwrap_or_default().to_owned();
        Some(Self { node, ms, record, text: text.trim_end().to_owned() })
    }

    /// Returns the request that the line tells of.
    #[must_use]
    pub fn request(&self) -> Option<&Request> {
        match &self.record {
            Record::Request(request) => Some(request),
            _ => None,
        }
    }
}
