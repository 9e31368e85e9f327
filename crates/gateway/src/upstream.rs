//! A registered upstream as one node sees it.

use std::net::SocketAddr;

use base::prelude::*;
use chart::Chart;

use crate::cold::Sends;
use crate::gauge::Gauge;

/// Pause after a first failure.
const MIN_BACK_OFF: Span = Span::millis(250);
/// Longest pause after failures.
const MAX_BACK_OFF: Span = Span::seconds(2);

symbols! {
    /// Where it is in its life.
    pub enum State {
        /// Its health has to be asked for first.
        Unproven = "unproven",
        /// In a cold start.
        Cold = "cold",
        /// Ready for any node.
        Warm = "warm",
        /// Answers fail.
        Failing = "failing",
        /// Connections fail.
        Down = "down",
        /// It leaves.
        Draining = "draining",
    }
}

symbols! {
    /// What happens to it.
    pub enum Event {
        /// It answers as itself and tells of no cold start.
        Proven = "proven",
        /// It tells of a cold start.
        SeenCold = "seen-cold",
        /// A connection failed or broke.
        Unreachable = "unreachable",
        /// Its answers fail.
        Failing = "failing",
        /// The back-off is over.
        Rested = "rested",
        /// It was not heard of for too long.
        Stale = "stale",
        /// It leaves, or its entry is gone.
        Draining = "draining",
    }
}

symbols! {
    /// What a node does about it.
    pub enum Action {
        /// Starts a pause that doubles each time.
        BackOff = "back-off",
    }
}

record! {
    /// What a node knows of an upstream.
    pub struct Upstream {
        /// Its identity in the registry.
        pub id: String,
        /// Identity that is equal on every node and differs between starts.
        pub ident: u64,
        /// Its service.
        pub service: key::Service,
        /// The version that it runs.
        pub version: key::Version,
        /// Its failure domain.
        pub domain: key::Domain,
        /// Where it listens.
        pub address: SocketAddr,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Where it is in its life.
        pub state: State,
        /// Load and speed.
        pub gauge: Gauge,
        /// Until when it says that it is in a cold start.
        pub cold_until: Moment,
        /// Requests that this node sent it lately.
        pub sends: Sends,
        /// The next pause.
        pub back_off: Span,
        /// End of the pause.
        pub back_off_until: Moment,
        /// Until when it is left alone, as it said that it is full.
        pub full_until: Moment,
        /// Whether its own word of its health is bad.
        pub unhealthy: bool,
        /// Whether a question for its health is under way, and since when.
        pub probe_started_at: Option<Moment>,
        /// Questions that may be asked, refilled with time.
        pub probe_tokens: f64,
        /// When they were last refilled.
        pub probe_refilled_at: Moment,
        /// Failed answers in a row.
        pub consecutive_failures: u32,
    }
}

impl Upstream {
    /// Takes one event.
    pub fn step(&mut self, chart: &Chart<State, Event, Action>, now: Moment, event: Event) {
        let step = chart.step(self.state, event);
        self.state = step.next;
        for Action::BackOff in step.actions {
            self.back_off(now);
        }
    }

    fn back_off(&mut self, now: Moment) {
        self.back_off_until = now + self.back_off;
        self.back_off = (self.back_off + self.back_off).min(MAX_BACK_OFF);
        self.consecutive_failures = 0;
    }

    /// Tells whether a pause is over.
    #[must_use]
    pub fn is_back_off_over(&self, now: Moment) -> bool {
        matches!(self.state, State::Down | State::Failing) && now >= self.back_off_until
    }

    /// Tells whether it could serve, as far as is known.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        matches!(self.state, State::Unproven | State::Cold | State::Warm)
    }

    /// Counts a good answer.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.back_off = MIN_BACK_OFF;
    }

    /// Returns the pause after a first failure.
    #[must_use]
    pub fn initial_back_off() -> Span {
        MIN_BACK_OFF
    }
}
