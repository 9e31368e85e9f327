//! What a node knows of an upstream's load and speed.

use base::prelude::*;

/// Time after which what others do at an upstream is only guessed.
const OTHERS_LIFE: Span = Span::millis(250);
/// Weight of a new report in the usual requests of others and the usual pace.
const USUAL_GAIN: f64 = 0.25;
/// Time after which a told pace has lost most of its worth; neighbours change faster than that.
const PACE_LIFE: Span = Span::millis(250);
/// Mean of the pace that is assumed while nothing is told.
const USUAL_PACE: f64 = 1.5;
/// Least pace that a report may tell.
const LEAST_PACE: f64 = 0.1;
/// Share of taken slots from which on an upstream slows down.
pub const KNEE: f64 = 0.8;
/// How much slower a nearly full upstream is.
const KNEE_FACTOR: f64 = 1.7;
/// Cost of each share of an upstream's slots that is taken, in usual times of the work.
const CROWDING: f64 = 0.1;
/// How much slower an upstream in a cold start is.
const COLD_FACTOR: f64 = 2.0;
/// Time in which the share of failed answers loses most of its weight.
const FAILURE_LIFE: Span = Span::seconds(4);
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
        pub pace: f64,
    }

    /// Load and speed of an upstream as one node estimates them.
    #[derive(Copy)]
    pub struct Gauge {
        /// Exchanges of this node in progress there.
        pub own: u32,
        /// Requests of others there at the last report.
        pub others: f64,
        /// Mean of the requests of others, over some reports.
        pub usual: f64,
        /// Pace at the last report.
        pub pace: f64,
        /// Mean of the pace, over some reports.
        pub usual_pace: f64,
        /// When the last report came.
        pub told_at: Moment,
        /// When the upstream last answered anything.
        pub heard_at: Moment,
        /// Share of answers that failed, lately.
        pub failures: f64,
        /// When an answer was last counted.
        pub counted_at: Moment,
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
            own: 0,
            others: 0.0,
            usual: 0.0,
            pace: USUAL_PACE,
            usual_pace: USUAL_PACE,
            told_at: Moment::default(),
            heard_at: Moment::default(),
            failures: 0.0,
            counted_at: Moment::default(),
        }
    }
}

impl Gauge {
    /// Takes in a report.
    pub fn report(&mut self, now: Moment, report: Report) {
        let total = report.running + report.waiting;
        self.others = f64::from(total.saturating_sub(self.own));
        self.usual += USUAL_GAIN * (self.others - self.usual);
        self.pace = report.pace.max(LEAST_PACE);
        self.usual_pace += USUAL_GAIN * (self.pace - self.usual_pace);
        self.told_at = now;
    }

    /// Takes an upstream that does not answer for full.
    pub fn assume_full(&mut self, now: Moment, slots: u32) {
        self.others = self.others.max(f64::from(slots));
        self.usual += USUAL_GAIN * (self.others - self.usual);
        self.told_at = now;
    }

    /// Counts an answer.
    pub fn count(&mut self, now: Moment, failed: bool) {
        let share = self.failure_share(now);
        self.failures = share + FAILURE_GAIN * (f64::from(u8::from(failed)) - share);
        self.counted_at = now;
    }

    /// Returns the share of answers that failed, lately.
    #[must_use]
    pub fn failure_share(&self, now: Moment) -> f64 {
        self.failures * decay(now.since(self.counted_at), FAILURE_LIFE)
    }

    /// Estimates the requests there.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        f64::from(self.own) + self.others(now)
    }

    /// Estimates the requests of others there: those of the last report at first, then the usual.
    fn others(&self, now: Moment) -> f64 {
        self.usual + (self.others - self.usual) * decay(now.since(self.told_at), OTHERS_LIFE)
    }

    /// Estimates the pace there: that of the last report at first, then the usual.
    #[must_use]
    pub fn pace(&self, now: Moment) -> f64 {
        let worth = decay(now.since(self.told_at), PACE_LIFE);
        self.usual_pace + (self.pace - self.usual_pace) * worth
    }

    /// Returns what a new report would say of a good upstream.
    #[must_use]
    pub fn at_best(&self, now: Moment) -> Self {
        Self { others: self.others(now), pace: 1.0, told_at: now, ..*self }
    }

    /// Returns the time since the upstream last answered, if it ever has.
    #[must_use]
    pub fn heard_age(&self, now: Moment) -> Option<Span> {
        (self.heard_at > Moment::default()).then(|| now.since(self.heard_at))
    }

    /// Returns how old the last report is.
    #[must_use]
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.told_at)
    }

    /// Estimates the time of one more request whose usual work takes `service` microseconds.
    #[must_use]
    pub fn time(&self, now: Moment, slots: u32, service: f64, cold: bool) -> f64 {
        let slots = f64::from(slots.max(1));
        let load = self.load(now);
        let mut time = service * self.pace(now);
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
        let crowding = CROWDING * service * self.load(now) / f64::from(slots.max(1));
        let failing = FAILURE_COST * service * self.failure_share(now);
        self.time(now, slots, service, cold) + crowding + failing
    }
}

fn decay(age: Span, life: Span) -> f64 {
    (-(age.0 as f64) / life.0 as f64).exp()
}
