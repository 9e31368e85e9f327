//! Health and cold start of an upstream as one process sees it.
//!
//! The engine steps the chart `charts/upstream.jsonc` with what calls, probes and peers report.

use base::prelude::*;
use chart::Chart;

use crate::balance::Gauge;

symbols! {
    /// Health of an upstream.
    pub enum State {
        /// Nothing is known about the upstream yet.
        Fresh = "fresh",
        /// The upstream is in a cold start.
        Cold = "cold",
        /// Every member may send calls to the upstream.
        Warm = "warm",
        /// Connections fail.
        Down = "down",
        /// Responses fail.
        Suspect = "suspect",
        /// One call at a time tests whether responses are good again.
        Trial = "trial",
        /// The upstream is leaving and receives no new calls.
        Draining = "draining",
    }
}

symbols! {
    /// Events of an upstream.
    pub enum Event {
        /// A peer reported a newer cold start.
        ReportedCold = "reported-cold",
        /// A peer reported that the cold start is over.
        ReportedWarm = "reported-warm",
        /// A response shows a cold start.
        SeenCold = "seen-cold",
        /// The owner's cold-start limit has grown past the upstream's capacity.
        Proven = "proven",
        /// Connections fail.
        Unreachable = "unreachable",
        /// Responses fail repeatedly, or the trial call failed.
        Failing = "failing",
        /// The upstream or the platform reports that the upstream is leaving.
        Draining = "draining",
        /// The upstream's failure domain is back in service.
        Returned = "returned",
        /// The back-off has ended.
        BackOffEnded = "rested",
        /// A good response arrived.
        Answered = "answered",
    }
}

symbols! {
    /// Actions of an upstream.
    pub enum Action {
        /// Announces a cold start to peers.
        AnnounceCold = "announce-cold",
        /// Announces the end of a cold start to peers.
        AnnounceWarm = "announce-warm",
        /// Reports to the owner that connections fail.
        ReportDown = "report-down",
        /// Starts a back-off. Each one is twice as long as the one before, until a good response.
        BackOff = "back-off",
        /// Announces to peers that the upstream is draining.
        AnnounceDrain = "announce-drain",
        /// Sends queued calls.
        Release = "release",
    }
}

/// Consecutive failed responses at which an upstream becomes suspect.
pub const FAILING_THRESHOLD: u32 = 5;
/// Consecutive failed connects at which an upstream is down.
pub const UNREACHABLE_THRESHOLD: u32 = 2;
/// Back-off after the first failures.
const INITIAL_BACK_OFF: Span = Span::millis(500);
/// Longest back-off.
const MAX_BACK_OFF: Span = Span::seconds(8);

record! {
    /// What a process knows about an upstream.
    pub struct Upstream {
        /// Health of the upstream.
        pub state: State,
        /// Count of cold starts and of their ends: odd while cold, even while warm, 0 if unknown.
        pub epoch: u32,
        /// Estimates of load and service time.
        pub gauge: Gauge,
        /// Consecutive failed responses.
        pub failures: u32,
        /// Consecutive failed connects.
        pub connect_failures: u32,
        /// Length of the next back-off.
        pub back_off: Span,
        /// End of the current back-off.
        pub back_off_until: Moment,
        /// When the last health probe was sent.
        pub probed_at: Moment,
        /// End of the pause after the upstream shed load.
        pub shed_until: Moment,
    }
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            state: State::Fresh,
            epoch: 0,
            gauge: Gauge::default(),
            failures: 0,
            connect_failures: 0,
            back_off: INITIAL_BACK_OFF,
            back_off_until: Moment::default(),
            probed_at: Moment::default(),
            shed_until: Moment::default(),
        }
    }
}

impl Upstream {
    /// Applies one event and returns the actions that the chart demands.
    pub fn step<'a>(
        &mut self,
        chart: &'a Chart<State, Event, Action>,
        event: Event,
    ) -> &'a [Action] {
        let step = chart.step(self.state, event);
        self.state = step.next;
        step.actions
    }

    /// Starts a back-off, and doubles the next one.
    pub fn back_off(&mut self, now: Moment) {
        self.back_off_until = now + self.back_off;
        self.back_off = (self.back_off + self.back_off).min(MAX_BACK_OFF);
        self.failures = 0;
        self.connect_failures = 0;
    }

    /// Returns whether the upstream was in a back-off that is now over.
    #[must_use]
    pub fn is_back_off_over(&self, now: Moment) -> bool {
        matches!(self.state, State::Down | State::Suspect) && now >= self.back_off_until
    }

    /// Records a good response, which resets the failure counts and the back-off.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.connect_failures = 0;
        self.back_off = INITIAL_BACK_OFF;
    }
}
