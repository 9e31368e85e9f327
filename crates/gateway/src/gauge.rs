//! What a node knows of an upstream's load and speed.

use base::prelude::*;

/// Time after which what others do at an upstream is only guessed.
const OTHERS_DECAY_TIME: Span = Span::millis(250);
/// Weight of a new report in the usual requests of others and the usual pace.
const AVERAGE_GAIN: f64 = 0.25;
/// Time after which a told pace has lost most of its worth; neighbours change faster than that.
const SLOWDOWN_DECAY_TIME: Span = Span::millis(250);
/// Mean of the pace that is assumed while nothing is told.
const DEFAULT_SLOWDOWN: f64 = 1.5;
/// Least pace that a report may tell.
const MIN_SLOWDOWN: f64 = 0.1;
/// Share of taken slots from which on an upstream slows down.
pub const KNEE: f64 = 0.8;
/// How much slower a nearly full upstream is.
const KNEE_FACTOR: f64 = 1.7;
/// Cost of each share of an upstream's slots that is taken, in usual times of the work.
const CROWDING_COST: f64 = 0.1;
/// How much slower an upstream in a cold start is.
const COLD_FACTOR: f64 = 2.0;
/// Time in which the share of failed answers loses most of its weight.
const FAILURE_DECAY_TIME: Span = Span::seconds(4);
/// Weight of one answer in the share of failed ones.
const FAILURE_GAIN: f64 = 0.25;
/// Cost of a certain failure against that of a usual answer.
const FAILURE_COST: f64 = 8.0;

record! {
    /// What an upstream says of itself.
    #[derive(Copy)]
    pub struct Report {
        /// Requests that run there.
        pub running: u32,
        /// Requests that wait there.
        pub waiting: u32,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// How much slower than usual work is there now; one is usual.
        pub slowdown: f64,
    }

    /// Load and speed of an upstream as one node estimates them.
    #[derive(Copy)]
    pub struct Gauge {
        /// Exchanges of this node in progress there.
        pub in_flight: u32,
        /// Requests of others there at the last report.
        pub others: f64,
        /// Mean of the requests of others, over some reports.
        pub others_mean: f64,
        /// Pace at the last report.
        pub slowdown: f64,
        /// Mean of the pace, over some reports.
        pub slowdown_mean: f64,
        /// When the last report came.
        pub reported_at: Moment,
        /// When the upstream last answered anything.
        pub answered_at: Moment,
        /// Share of answers that failed, lately.
        pub failure_rate: f64,
        /// When an answer was last counted.
        pub failure_rate_at: Moment,
    }
}

impl Report {
    /// Tells whether one more request would run at once.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}

impl Default for Gauge {
    fn default() -> Self {
        Self {
            in_flight: 0,
            others: 0.0,
            others_mean: 0.0,
            slowdown: DEFAULT_SLOWDOWN,
            slowdown_mean: DEFAULT_SLOWDOWN,
            reported_at: Moment::default(),
            answered_at: Moment::default(),
            failure_rate: 0.0,
            failure_rate_at: Moment::default(),
        }
    }
}

impl Gauge {
    /// Takes in a report.
    pub fn apply_report(&mut self, now: Moment, report: Report) {
        let total = report.running + report.waiting;
        self.others = f64::from(total.saturating_sub(self.in_flight));
        self.others_mean += AVERAGE_GAIN * (self.others - self.others_mean);
        self.slowdown = report.slowdown.max(MIN_SLOWDOWN);
        self.slowdown_mean += AVERAGE_GAIN * (self.slowdown - self.slowdown_mean);
        self.reported_at = now;
    }

    /// Takes an upstream that does not answer for full.
    pub fn assume_full(&mut self, now: Moment, slots: u32) {
        self.others = self.others.max(f64::from(slots));
        self.others_mean += AVERAGE_GAIN * (self.others - self.others_mean);
        self.reported_at = now;
    }

    /// Counts an answer.
    pub fn record_answer(&mut self, now: Moment, failed: bool) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_GAIN * (f64::from(u8::from(failed)) - rate);
        self.failure_rate_at = now;
    }

    /// Returns the share of answers that failed, lately.
    #[must_use]
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate * decay(now.since(self.failure_rate_at), FAILURE_DECAY_TIME)
    }

    /// Estimates the requests there.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Estimates the requests of others there: those of the last report at first, then the usual.
    fn others(&self, now: Moment) -> f64 {
        self.others_mean
            + (self.others - self.others_mean)
                * decay(now.since(self.reported_at), OTHERS_DECAY_TIME)
    }

    /// Estimates the pace there: that of the last report at first, then the usual.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        let weight = decay(now.since(self.reported_at), SLOWDOWN_DECAY_TIME);
        self.slowdown_mean + (self.slowdown - self.slowdown_mean) * weight
    }

    /// Returns what a new report would say of a good upstream.
    #[must_use]
    pub fn best_case(&self, now: Moment) -> Self {
        Self { others: self.others(now), slowdown: 1.0, reported_at: now, ..*self }
    }

    /// Returns the time since the upstream last answered, if it ever has.
    #[must_use]
    pub fn answer_age(&self, now: Moment) -> Option<Span> {
        (self.answered_at > Moment::default()).then(|| now.since(self.answered_at))
    }

    /// Returns how old the last report is.
    #[must_use]
    pub fn report_age(&self, now: Moment) -> Span {
        now.since(self.reported_at)
    }

    /// Estimates the time of one more request whose usual work takes `service` microseconds.
    #[must_use]
    pub fn expected_time(&self, now: Moment, slots: u32, service: f64, cold: bool) -> f64 {
        let slots = f64::from(slots.max(1));
        let load = self.load(now);
        let mut time = service * self.slowdown(now);
        if load + 1.0 > KNEE * slots {
            time *= KNEE_FACTOR;
        }
        if cold {
            time *= COLD_FACTOR;
        }
        let queued = (load + 1.0 - slots).max(0.0);
        time + queued / slots * time
    }

    /// Estimates the cost of one more request: its time, and what may come of it.
    #[must_use]
    pub fn cost(&self, now: Moment, slots: u32, service: f64, cold: bool) -> f64 {
        // Load is stale, so a free slot is worth more where many are free.
        let crowding = CROWDING_COST * service * self.load(now) / f64::from(slots.max(1));
        let failing = FAILURE_COST * service * self.failure_rate(now);
        self.expected_time(now, slots, service, cold) + crowding + failing
    }
}

fn decay(age: Span, time: Span) -> f64 {
    (-(age.0 as f64) / time.0 as f64).exp()
}
