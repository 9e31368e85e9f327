//! A registered upstream as one node sees it.
//!
//! The engine keeps one for each entry in the registry and steps it through
//! `charts/registered.jsonc`. Requests go only to upstreams in the states that
//! [`Upstream::is_usable`] names.

use std::net::SocketAddr;

use base::prelude::*;
use chart::Chart;

use crate::cold::Sends;
use crate::gauge::Gauge;

/// Back-off after the first failure.
const MIN_BACK_OFF: Span = Span::millis(250);
/// Maximum back-off after repeated failures.
const MAX_BACK_OFF: Span = Span::seconds(2);

symbols! {
    /// Health and cold-start state of an upstream.
    pub enum State {
        /// A health check has to succeed before it gets requests.
        Unproven = "unproven",
        /// In a cold start: it gets few requests, from nodes of its own domain only.
        Cold = "cold",
        /// Healthy: any node may send it requests.
        Warm = "warm",
        /// Its responses report failures.
        Failing = "failing",
        /// Connections to it fail.
        Down = "down",
        /// It is shutting down, its entry was removed, or a rollout has replaced its version.
        Draining = "draining",
    }
}

symbols! {
    /// Events of an upstream.
    pub enum Event {
        /// A health check succeeded and reports no cold start.
        Proven = "proven",
        /// It reports a cold start.
        SeenCold = "seen-cold",
        /// A connection failed, or another upstream listens at the address.
        Unreachable = "unreachable",
        /// Several responses in a row reported failures.
        Failing = "failing",
        /// The back-off is over.
        BackOffEnded = "rested",
        /// It has not answered for too long, or what is known of it may be out of date.
        Stale = "stale",
        /// It is shutting down, its entry was removed, or a rollout has replaced its version.
        Draining = "draining",
    }
}

symbols! {
    /// Actions of an upstream.
    pub enum Action {
        /// Starts a back-off, which doubles with each failure up to a maximum.
        BackOff = "back-off",
    }
}

record! {
    /// State of an upstream at one node.
    pub struct Upstream {
        /// Name of its entry in the registry.
        pub id: String,
        /// Identity that is equal on every node and differs between starts of the upstream.
        pub ident: u64,
        /// Service that it belongs to.
        pub service: key::Service,
        /// Version that it runs.
        pub version: key::Version,
        /// Failure domain that it runs in.
        pub domain: key::Domain,
        /// Address that it listens at.
        pub address: SocketAddr,
        /// Maximum number of requests that it runs at the same time.
        pub slots: u32,
        /// Health and cold-start state.
        pub state: State,
        /// Estimate of its load and speed.
        pub gauge: Gauge,
        /// End of its cold start, as it reports it.
        pub cold_until: Moment,
        /// Recent requests of this node, for the limit during a cold start.
        pub sends: Sends,
        /// Length of the next back-off.
        pub back_off: Span,
        /// End of the current back-off.
        pub back_off_until: Moment,
        /// Time until which it gets no requests, because it refused one while it was full.
        pub full_until: Moment,
        /// Time until which it gets neither requests nor health checks, because it asked for a pause.
        pub paused_until: Moment,
        /// Whether its last health check reported a problem.
        pub unhealthy: bool,
        /// Start of the health check in progress, if there is one.
        pub probe_started_at: Option<Moment>,
        /// Health checks that this node may still send; refilled over time.
        pub probe_tokens: f64,
        /// Time of the last refill.
        pub probe_refilled_at: Moment,
        /// Number of failed responses in a row.
        pub consecutive_failures: u32,
    }
}

impl Upstream {
    /// Applies an event and carries out the actions of the chart.
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

    /// Returns whether it is in a state with a back-off and the back-off is over.
    #[must_use]
    pub fn is_back_off_over(&self, now: Moment) -> bool {
        matches!(self.state, State::Down | State::Failing) && now >= self.back_off_until
    }

    /// Returns whether its state permits requests, if need be after a health check.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        matches!(self.state, State::Unproven | State::Cold | State::Warm)
    }

    /// Resets the failure count and the back-off after a successful response.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.back_off = MIN_BACK_OFF;
    }

    /// Returns the length of the back-off after a first failure.
    #[must_use]
    pub fn initial_back_off() -> Span {
        MIN_BACK_OFF
    }
}
