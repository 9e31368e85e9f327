//! Tallies of the responses of the two versions of a move.
//!
//! Every member counts the responses that it relays and reports the tallies to the driver of the
//! move.

use std::collections::BTreeMap;

use base::prelude::*;

/// Number of buckets in a histogram of service times, each half an octave wide.
pub const BUCKETS: usize = 24;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BUCKET_US: f64 = 250.0;

symbols! {
    /// One of the two versions in the comparison.
    pub enum Arm {
        /// The version that serves the traffic so far.
        Old = "old",
        /// The version that the traffic moves to.
        New = "new",
    }
}

value! {
    /// The group in which a response is counted.
    pub struct Group {
        /// The version that sent the response.
        pub arm: Arm,
        /// Identity of the route, or zero for requests without one.
        pub route: u64,
        /// Identity of the upstream; zero for the old version, whose upstreams are counted
        /// together.
        pub upstream: u64,
    }
}

record! {
    /// Counts of responses.
    #[derive(Default)]
    pub struct Tally {
        /// All exchanges, with or without a response.
        pub count: u32,
        /// Responses that report a failure of the upstream, and exchanges that broke or missed the
        /// deadline.
        pub failed: u32,
        /// Histogram of the service times of good responses, without those of upstreams in a cold
        /// start.
        pub times: [u32; BUCKETS],
    }

    /// The tally of one group.
    pub struct Row {
        /// The group that is counted.
        pub group: Group,
        /// Counts since the member started.
        pub tally: Tally,
    }
}

/// The tallies of one member for one move.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    rows: BTreeMap<Group, Tally>,
    changed: Vec<Group>,
}

impl Tally {
    /// Counts one response; `service_us` is its service time if that is meaningful.
    pub fn add(&mut self, failed: bool, service_us: Option<f64>) {
        self.count += 1;
        self.failed += u32::from(failed);
        if let Some(service_us) = service_us.filter(|_| !failed) {
            self.times[bucket(service_us)] += 1;
        }
    }

    /// Returns the difference to an earlier state of the same tally.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut times = self.times;
        for (count, earlier) in times.iter_mut().zip(earlier.times) {
            *count = count.saturating_sub(earlier);
        }
        Self {
            count: self.count.saturating_sub(earlier.count),
            failed: self.failed.saturating_sub(earlier.failed),
            times,
        }
    }

    /// Returns the sum of the service times in microseconds. Responses without a service time count
    /// with the mean of the others.
    #[must_use]
    pub fn total_service_us(&self) -> f64 {
        let known: u32 = self.times.iter().sum();
        if known == 0 {
            return 0.0;
        }
        let times = self.times.iter().enumerate();
        let sum: f64 = times.map(|(bucket, count)| f64::from(*count) * midpoint_us(bucket)).sum();
        sum / f64::from(known) * f64::from(self.count)
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.count += other.count;
        self.failed += other.failed;
        for (count, more) in self.times.iter_mut().zip(other.times) {
            *count += more;
        }
    }
}

impl Tallies {
    /// Counts one response.
    pub fn add(&mut self, group: Group, failed: bool, service_us: Option<f64>) {
        self.rows.entry(group).or_default().add(failed, service_us);
        if !self.changed.contains(&group) {
            self.changed.push(group);
        }
    }

    /// Returns at most `max` rows that have changed since they were last returned.
    pub fn take_changed(&mut self, max: usize) -> Vec<Row> {
        let count = self.changed.len().min(max);
        let groups: Vec<Group> = self.changed.drain(..count).collect();
        let rows = groups
            .into_iter()
            .filter_map(|group| Some(Row { group, tally: self.rows.get(&group)?.clone() }));
        rows.collect()
    }

    /// Marks every row as changed, for a new driver that knows none of them.
    pub fn mark_all_changed(&mut self) {
        self.changed = self.rows.keys().copied().collect();
    }
}

/// Returns the midpoint of a bucket, in microseconds.
fn midpoint_us(bucket: usize) -> f64 {
    FIRST_BUCKET_US * ((bucket as f64 - 0.5) / 2.0).exp2()
}

fn bucket(service_us: f64) -> usize {
    let position = (2.0 * (service_us / FIRST_BUCKET_US).max(1e-9).log2()).ceil();
    (position.max(0.0) as usize).min(BUCKETS - 1)
}
