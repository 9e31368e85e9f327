//! An upstream as one entry sees it.

use base::prelude::*;
use chart::Chart;

use crate::balance::Gauge;

symbols! {
    /// Where an upstream is in its life.
    pub enum State {
        /// Nothing is known yet.
        Fresh = "fresh",
        /// In a cold start.
        Cold = "cold",
        /// Ready for any entry.
        Warm = "warm",
        /// Connections fail.
        Down = "down",
        /// Answers fail.
        Suspect = "suspect",
        /// One call at a time shows whether answers are good again.
        Trial = "trial",
        /// It leaves.
        Draining = "draining",
    }
}

symbols! {
    /// What happens to an upstream.
    pub enum Event {
        /// A peer knows of a newer cold start.
        ReportedCold = "reported-cold",
        /// A peer knows that the cold start is over.
        ReportedWarm = "reported-warm",
        /// An answer shows a cold start.
        SeenCold = "seen-cold",
        /// The owner has seen it bear its full load.
        Proven = "proven",
        /// Connections fail.
        Unreachable = "unreachable",
        /// Answers fail again and again.
        Failing = "failing",
        /// It says, or the platform says, that it leaves.
        Draining = "draining",
        /// Its failure domain came back.
        Returned = "returned",
        /// The back-off is over.
        BackOffEnded = "rested",
        /// A good answer came.
        Answered = "answered",
    }
}

symbols! {
    /// What an entry does about it.
    pub enum Action {
        /// Tells peers of a cold start.
        AnnounceCold = "announce-cold",
        /// Tells peers that the cold start is over.
        AnnounceWarm = "announce-warm",
        /// Tells the owner that connections fail.
        ReportDown = "report-down",
        /// Starts a pause that doubles each time.
        BackOff = "back-off",
        /// Tells peers that it leaves.
        AnnounceDrain = "announce-drain",
        /// Lets waiting calls go.
        Release = "release",
    }
}

/// Failed answers in a row after which an upstream is suspect.
pub const FAILING_THRESHOLD: u32 = 5;
/// Failed connects in a row after which an upstream is down.
pub const UNREACHABLE_THRESHOLD: u32 = 2;
/// First pause after failures.
const INITIAL_BACK_OFF: Span = Span::millis(500);
/// Longest pause after failures.
const MAX_BACK_OFF: Span = Span::seconds(8);

record! {
    /// What an entry knows of an upstream.
    pub struct Upstream {
        /// Where it is in its life.
        pub state: State,
        /// Count of cold starts and of their ends: odd while cold, even while warm, 0 if unknown.
        pub epoch: u32,
        /// Load and speed.
        pub gauge: Gauge,
        /// Failed answers in a row.
        pub failures: u32,
        /// Failed connects in a row.
        pub connect_failures: u32,
        /// The next pause.
        pub back_off: Span,
        /// End of the pause.
        pub back_off_until: Moment,
        /// When its health was last asked for.
        pub probed_at: Moment,
        /// Until when the upstream asked for less.
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
    /// Takes one event and returns the actions that the chart orders.
    pub fn step<'a>(
        &mut self,
        chart: &'a Chart<State, Event, Action>,
        event: Event,
    ) -> &'a [Action] {
        let step = chart.step(self.state, event);
        self.state = step.next;
        step.actions
    }

    /// Starts a pause that is twice as long as the one before.
    pub fn back_off(&mut self, now: Moment) {
        self.back_off_until = now + self.back_off;
        self.back_off = (self.back_off + self.back_off).min(MAX_BACK_OFF);
        self.failures = 0;
        self.connect_failures = 0;
    }

    /// Tells whether a pause is over.
    #[must_use]
    pub fn is_back_off_over(&self, now: Moment) -> bool {
        matches!(self.state, State::Down | State::Suspect) && now >= self.back_off_until
    }

    /// Counts a good answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.connect_failures = 0;
        self.back_off = INITIAL_BACK_OFF;
    }
}
