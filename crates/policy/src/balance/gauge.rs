//! Estimates of an upstream's load and service time by one process.

use base::prelude::*;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the moving average of the load that others cause.
const OTHERS_WEIGHT: f64 = 0.05;
/// Time constant of the decay of a load report, in service times.
const REPORT_DECAY: f64 = 1.0;
/// Cost of the occupied share of an upstream's slots, in service times.
const OCCUPANCY_COST: f64 = 0.5;
/// Time constant of the decay of a service time without new samples.
const SERVICE_DECAY: Span = Span::seconds(2);

value! {
    /// What an upstream reports about itself in a response.
    #[derive(Default)]
    pub struct Report {
        /// Calls that are running or queued at the upstream.
        pub in_flight: u32,
        /// Whether the upstream is in a cold start.
        pub cold: bool,
        /// Whether the upstream is leaving.
        pub draining: bool,
    }
}

record! {
    /// Load and service time of an upstream as one process estimates them.
    #[derive(Copy, Default)]
    pub struct Gauge {
        /// In-flight calls of this process at the upstream.
        pub in_flight: u32,
        /// Calls of other processes at the upstream, by the last report.
        pub others: f64,
        /// Moving average of the calls of other processes.
        pub others_mean: f64,
        /// When the last report arrived.
        pub reported_at: Moment,
        /// Time for one call without queueing, in microseconds; zero if unknown.
        pub service_us: f64,
        /// When the service time was last updated.
        pub service_updated_at: Moment,
    }
}

impl Gauge {
    /// Counts a call that starts, and returns the estimated load ahead of it, in calls.
    pub fn start(&mut self, now: Moment) -> f64 {
        let ahead = self.load(now);
        self.in_flight += 1;
        ahead
    }

    /// Counts a call that ended, whatever its outcome.
    pub fn stop(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Applies a report of the upstream.
    pub fn report(&mut self, now: Moment, report: Report) {
        self.others = f64::from(report.in_flight.saturating_sub(self.in_flight));
        self.others_mean += OTHERS_WEIGHT * (self.others - self.others_mean);
        self.reported_at = now;
    }

    /// Records the latency of a call that had `ahead` calls before it, and returns the time that it
    /// would have taken without queueing, in microseconds.
    pub fn sample(&mut self, now: Moment, latency: Span, ahead: f64, slots: u32) -> f64 {
        // The upstream serves `slots` calls at a time, so a call behind `ahead` others may last
        // several service times.
        let rounds = (ahead + 1.0) / f64::from(slots.max(1));
        let service = latency.0 as f64 / rounds.max(1.0);
        self.service_us = match self.service_us {
            0.0 => service,
            mean => mean + SERVICE_WEIGHT * (service - mean),
        };
        self.service_updated_at = now;
        service
    }

    /// Estimates the calls in progress at the upstream, of this process and of others.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        let decay_us = REPORT_DECAY * self.service_us.max(1_000.0);
        let weight = (-(now.since(self.reported_at).0 as f64) / decay_us).exp();
        f64::from(self.in_flight) + self.others_mean + (self.others - self.others_mean) * weight
    }

    /// Estimates the time of one more call, in microseconds.
    ///
    /// `typical` is the service time of the version in microseconds. An estimate without new
    /// samples decays to it, so that an upstream that was slow is tried again.
    #[must_use]
    pub fn cost(&self, now: Moment, slots: u32, typical: f64) -> f64 {
        let estimate = if self.service_us > 0.0 { self.service_us } else { typical };
        let weight =
            (-(now.since(self.service_updated_at).0 as f64) / SERVICE_DECAY.0 as f64).exp();
        let service = typical + (estimate - typical) * weight;
        let slots = f64::from(slots.max(1));
        let rounds = ((self.load(now) + 1.0) / slots).max(1.0);
        // Load counts even while slots are free: the estimate is stale, so an occupied slot may
        // well be the last one.
        service.max(1.0) * (rounds + OCCUPANCY_COST * self.load(now) / slots)
    }
}
