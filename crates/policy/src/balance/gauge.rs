//! What one entry knows of an upstream's load and speed.

use base::prelude::*;

/// Weight of a new sample in the estimate of a service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the mean load that others cause.
const OTHERS_WEIGHT: f64 = 0.05;
/// Time after which a report of load has lost most of its worth, in service times.
const REPORT_DECAY: f64 = 1.0;
/// Cost of a call at an upstream for each share of its slots that is taken, in service times.
const OCCUPANCY_COST: f64 = 0.5;
/// Time after which a service time that nothing renews has lost most of its worth.
const SERVICE_DECAY: Span = Span::seconds(2);

value! {
    /// What an upstream says of itself in an answer.
    #[derive(Default)]
    pub struct Report {
        /// Calls that run or wait there.
        pub in_flight: u32,
        /// Whether it is in a cold start.
        pub cold: bool,
        /// Whether it leaves.
        pub draining: bool,
    }
}

record! {
    /// Load and speed of an upstream as one entry estimates them.
    #[derive(Copy, Default)]
    pub struct Gauge {
        /// Calls of this entry in progress there.
        pub in_flight: u32,
        /// Calls of others there when the last report came.
        pub others: f64,
        /// Mean of the calls of others.
        pub others_mean: f64,
        /// When the last report came.
        pub reported_at: Moment,
        /// Time for one call without waiting, in microseconds; zero if unknown.
        pub service_us: f64,
        /// When the service time was last renewed.
        pub service_updated_at: Moment,
    }
}

impl Gauge {
    /// Counts a call that goes there and returns the calls estimated to be ahead of it.
    pub fn start(&mut self, now: Moment) -> f64 {
        let ahead = self.load(now);
        self.in_flight += 1;
        ahead
    }

    /// Counts a call that ended in whatever way.
    pub fn stop(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in a report.
    pub fn report(&mut self, now: Moment, report: Report) {
        self.others = f64::from(report.in_flight.saturating_sub(self.in_flight));
        self.others_mean += OTHERS_WEIGHT * (self.others - self.others_mean);
        self.reported_at = now;
    }

    /// Takes in how long a call took that had `ahead` calls before it, and returns the time that
    /// it would have taken without waiting, in microseconds.
    pub fn sample(&mut self, now: Moment, latency: Span, ahead: f64, slots: u32) -> f64 {
        let rounds = (ahead + 1.0) / f64::from(slots.max(1));
        let service = latency.0 as f64 / rounds.max(1.0);
        self.service_us = match self.service_us {
            0.0 => service,
            old => old + SERVICE_WEIGHT * (service - old),
        };
        self.service_updated_at = now;
        service
    }

    /// Estimates the calls in progress there, of this entry and of others.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        let decay_us = REPORT_DECAY * self.service_us.max(1_000.0);
        let weight = (-(now.since(self.reported_at).0 as f64) / decay_us).exp();
        f64::from(self.in_flight) + self.others_mean + (self.others - self.others_mean) * weight
    }

    /// Estimates the time of one more call in microseconds.
    ///
    /// `typical` is the service time of the version in microseconds; an estimate that nothing
    /// renews goes back to it, so that an upstream that was slow is tried again.
    #[must_use]
    pub fn cost(&self, now: Moment, slots: u32, typical: f64) -> f64 {
        let estimate = if self.service_us > 0.0 { self.service_us } else { typical };
        let weight =
            (-(now.since(self.service_updated_at).0 as f64) / SERVICE_DECAY.0 as f64).exp();
        let service = typical + (estimate - typical) * weight;
        let slots = f64::from(slots.max(1));
        let rounds = ((self.load(now) + 1.0) / slots).max(1.0);
        // Load counts below the slots too: it is stale, so a taken slot may well be the last one.
        service.max(1.0) * (rounds + OCCUPANCY_COST * self.load(now) / slots)
    }
}
