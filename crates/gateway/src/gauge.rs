//! Load and speed of an upstream, as one node estimates them.
//!
//! The estimate combines the node's own requests in flight with the reports that upstreams attach
//! to responses and health checks. The engine compares upstreams by [`Gauge::cost`].

use base::prelude::*;

/// Time constant with which the last reported load of other nodes decays to its average.
const OTHERS_DECAY_TIME: Span = Span::millis(250);
/// Weight of a new report in the averages of other nodes' load and of the slowdown.
const AVERAGE_WEIGHT: f64 = 0.25;
/// Time constant with which the last reported slowdown decays to its average: the load of
/// neighbours on the machine changes faster than that.
const SLOWDOWN_DECAY_TIME: Span = Span::millis(250);
/// Average slowdown that is assumed before the first report.
const DEFAULT_SLOWDOWN: f64 = 1.5;
/// Lower limit on a reported slowdown.
const MIN_SLOWDOWN: f64 = 0.1;
/// Share of occupied slots above which an upstream slows down.
pub const KNEE: f64 = 0.8;
/// Factor on the service time at an upstream loaded beyond the knee.
const KNEE_SLOWDOWN: f64 = 1.7;
/// Cost of occupied slots, in service_us times per share of the slots.
const OCCUPANCY_COST: f64 = 0.1;
/// Factor on the service time at an upstream in a cold start.
const COLD_START_SLOWDOWN: f64 = 2.0;
/// Time constant with which the failure rate decays.
const FAILURE_DECAY_TIME: Span = Span::seconds(4);
/// Weight of one response in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Cost of a certain failure, in service_us times.
const FAILURE_COST: f64 = 8.0;

record! {
    /// Load that an upstream reports of itself.
    #[derive(Copy)]
    pub struct Report {
        /// Requests that run there.
        pub running: u32,
        /// Requests that wait for a slot there.
        pub waiting: u32,
        /// Maximum number of requests that it runs at the same time.
        pub slots: u32,
        /// Current service time relative to the usual one; 1.0 is the usual speed.
        pub slowdown: f64,
    }

    /// Load and speed of an upstream as one node estimates them.
    #[derive(Copy)]
    pub struct Gauge {
        /// Exchanges of this node in flight.
        pub in_flight: u32,
        /// Requests of other nodes at the last report.
        pub others: f64,
        /// Moving average of the requests of other nodes, over reports.
        pub others_mean: f64,
        /// Slowdown at the last report.
        pub slowdown: f64,
        /// Moving average of the slowdown, over reports.
        pub slowdown_mean: f64,
        /// Time of the last report.
        pub reported_at: Moment,
        /// Time of the last answer of any kind; `Moment::default()` if there was none.
        pub answered_at: Moment,
        /// Moving average of the failure rate of responses, as of `failure_rate_at`.
        pub failure_rate: f64,
        /// Time of the last response in the failure rate.
        pub failure_rate_at: Moment,
    }
}

impl Report {
    /// Returns whether one more request would start immediately.
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
    /// Updates load and slowdown from a report.
    pub fn apply_report(&mut self, now: Moment, report: Report) {
        let total = report.running.saturating_add(report.waiting);
        self.others = f64::from(total.saturating_sub(self.in_flight));
        self.others_mean += AVERAGE_WEIGHT * (self.others - self.others_mean);
        self.slowdown = report.slowdown.max(MIN_SLOWDOWN);
        self.slowdown_mean += AVERAGE_WEIGHT * (self.slowdown - self.slowdown_mean);
        self.reported_at = now;
    }

    /// Assumes that all slots are occupied, for an upstream that refuses or does not respond.
    pub fn assume_full(&mut self, now: Moment, slots: u32) {
        self.others = self.others.max(f64::from(slots));
        self.others_mean += AVERAGE_WEIGHT * (self.others - self.others_mean);
        self.reported_at = now;
    }

    /// Updates the failure rate with a response.
    pub fn record_answer(&mut self, now: Moment, failed: bool) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (f64::from(u8::from(failed)) - rate);
        self.failure_rate_at = now;
    }

    /// Returns the failure rate of recent responses.
    #[must_use]
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate * decay(now.since(self.failure_rate_at), FAILURE_DECAY_TIME)
    }

    /// Estimates the requests that run or wait there.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Estimates the requests of other nodes: the last report, decaying to the average.
    fn others(&self, now: Moment) -> f64 {
        self.others_mean
            + (self.others - self.others_mean)
                * decay(now.since(self.reported_at), OTHERS_DECAY_TIME)
    }

    /// Estimates the slowdown: the last report, decaying to the average.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        let weight = decay(now.since(self.reported_at), SLOWDOWN_DECAY_TIME);
        self.slowdown_mean + (self.slowdown - self.slowdown_mean) * weight
    }

    /// Returns the estimate as it would be after a new report without a slowdown.
    #[must_use]
    pub fn best_case(&self, now: Moment) -> Self {
        Self { others: self.others(now), slowdown: 1.0, reported_at: now, ..*self }
    }

    /// Returns the time since the upstream last answered, if it ever has.
    #[must_use]
    pub fn answer_age(&self, now: Moment) -> Option<Span> {
        (self.answered_at > Moment::default()).then(|| now.since(self.answered_at))
    }

    /// Returns the time since the last report.
    #[must_use]
    pub fn report_age(&self, now: Moment) -> Span {
        now.since(self.reported_at)
    }

    /// Estimates the time of one more request in microseconds.
    ///
    /// `service_us` is the usual service time of the request in microseconds.
    #[must_use]
    pub fn expected_time(&self, now: Moment, slots: u32, service_us: f64, cold: bool) -> f64 {
        let slots = f64::from(slots.max(1));
        let load = self.load(now);
        let mut time = service_us * self.slowdown(now);
        if load + 1.0 > KNEE * slots {
            time *= KNEE_SLOWDOWN;
        }
        if cold {
            time *= COLD_START_SLOWDOWN;
        }
        let queued = (load + 1.0 - slots).max(0.0);
        time + queued / slots * time
    }

    /// Estimates the cost of one more request in microseconds: its expected time, and penalties
    /// for occupied slots and recent failures.
    #[must_use]
    pub fn cost(&self, now: Moment, slots: u32, service_us: f64, cold: bool) -> f64 {
        // The load estimate is out of date, so a free slot is worth more where many are free.
        let occupancy_cost = OCCUPANCY_COST * service_us * self.load(now) / f64::from(slots.max(1));
        let failure_cost = FAILURE_COST * service_us * self.failure_rate(now);
        self.expected_time(now, slots, service_us, cold) + occupancy_cost + failure_cost
    }
}

/// Returns the remaining weight of an observation of the given age.
fn decay(age: Span, time_constant: Span) -> f64 {
    (-(age.0 as f64) / time_constant.0 as f64).exp()
}
