//! Sequential tests of a new version against the old one under the same load.
//!
//! The [`Driver`](super::Driver) of a move and the trials of the `gateway` crate feed them with
//! tallies.
//!
//! Each test is a cumulative sum (CUSUM) of log-likelihood ratios that never falls below zero, so
//! that a version that turns bad after a long good time is detected as fast as one that was bad
//! from the start.

use std::collections::BTreeMap;

use super::Verdict;
use super::evidence::{Arm, BUCKETS, Group, Row, Tally};

/// Sum at which a test finds a version bad. A good version reaches it about once in e^16 samples.
const BAD_THRESHOLD: f64 = 16.0;
/// Sum at which a test raises doubts.
const DOUBT_THRESHOLD: f64 = 8.0;
/// Sum at which the pooled tests over all upstreams find a version bad.
const POOLED_BAD_THRESHOLD: f64 = 10.0;
/// Sum at which the pooled tests over all upstreams raise doubts.
const POOLED_DOUBT_THRESHOLD: f64 = 4.0;
/// Divisor of a threshold. A version counts as slow only if more than half of its upstreams each
/// reach the threshold divided by this, as noisy neighbours only slow a few.
const MAJORITY_DIVISOR: f64 = 4.0;
/// Share of failures that a good version may have beyond that of the old version.
const FAILURE_SLACK: f64 = 0.005;
/// Minimum share of failures by which a bad version exceeds a good one.
const MIN_EXCESS_FAILURES: f64 = 0.05;
/// Share of the old version's responses that count as slow.
const SLOW_TAIL: f64 = 0.1;
/// Expected share of slow responses of a slow version.
const EXPECTED_SLOW_SHARE: f64 = 0.45;
/// Lower bound of the expected share of slow responses of a good version, in the pooled test.
const MIN_GOOD_SLOW_SHARE: f64 = 0.06;
/// Lower bound of the expected share of slow responses of a bad version, in the pooled test.
const MIN_BAD_SLOW_SHARE: f64 = 0.22;
/// Lower bound of the expected share of failures of a bad version, in the pooled test.
const MIN_BAD_FAILURE_SHARE: f64 = 0.2;
/// Ratio of the shares of slow responses or failures of a bad and a good version, in the pooled
/// tests.
const BAD_RATIO: f64 = 2.5;
/// Share of slow responses of the old version up to which a slow version can be distinguished from
/// it.
const MAX_OLD_SLOW_SHARE: f64 = 0.25;
/// Responses of the old version that are needed to define which ones are slow.
const MIN_BASELINE_RESPONSES: u32 = 100;
/// Factor by which the old version's counts decay with each further response. The decay is per
/// response so that the counts follow the load however many responses arrive at once.
const BASELINE_DECAY: f64 = 0.997;

/// Result of the tests so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// There are no doubts about the new version.
    Clear,
    /// There are doubts about the new version, but not enough to reject it.
    Doubtful,
    /// The new version is bad.
    Bad(Verdict),
}

/// The tests of one move.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    last_tallies: BTreeMap<(u64, Group), Tally>,
    baselines: BTreeMap<u64, Baseline>,
    /// Sums of the failure tests, by route and upstream.
    failure_sums: BTreeMap<u64, BTreeMap<u64, f64>>,
    /// Sums of the slowness tests, by upstream.
    slow_sums: BTreeMap<u64, f64>,
    /// Whether service times are corrected for differences between upstreams, so that the responses
    /// of all upstreams may be pooled.
    pooled: bool,
    /// Pooled slowness test over all upstreams, each of which may have few responses.
    slow_pool: Pool,
    /// Pooled failure tests over all upstreams, by route.
    failure_pools: BTreeMap<u64, Pool>,
    samples: u32,
    informative: u32,
    /// Sum of the service times of all responses of both versions, in microseconds.
    total_service_us: f64,
}

/// Sums of one pooled test, over all upstreams and for each of them.
#[derive(Clone, Debug, Default)]
struct Pool {
    total: f64,
    by_upstream: BTreeMap<u64, f64>,
}

/// Behaviour of the old version on one route.
#[derive(Clone, Debug, Default)]
struct Baseline {
    count: f64,
    failed: f64,
    times: [f64; BUCKETS],
}

impl Judge {
    /// Creates the tests for service times that are corrected for the load and slowdown of the
    /// upstreams.
    ///
    /// Slow responses are then attributed to the version, whichever upstream sends them.
    #[must_use]
    pub fn pooled() -> Self {
        Self { pooled: true, ..Self::default() }
    }

    /// Adds rows of one member. The first row of a group counts in full if `from_start` is set, or
    /// else only as the reference for later ones.
    pub fn add(&mut self, member: u64, rows: &[Row], from_start: bool) {
        for row in rows {
            let last = self.last_tallies.insert((member, row.group), row.tally.clone());
            match last {
                Some(last) => {
                    let delta = row.tally.since(&last);
                    self.total_service_us += delta.total_service_us();
                    self.add_delta(row.group, &delta);
                }
                None if from_start => self.add_delta(row.group, &row.tally),
                None => {}
            }
        }
    }

    /// Returns the number of responses of the new version in the tests.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the number of responses of the new version that failed or have a service time. Good
    /// responses in cold starts are left out.
    #[must_use]
    pub fn informative(&self) -> u32 {
        self.informative
    }

    /// Returns the sum of the service times of all responses of both versions, in microseconds.
    ///
    /// What members had counted before their first report is left out.
    #[must_use]
    pub fn total_service_us(&self) -> f64 {
        self.total_service_us
    }

    /// Returns the result of the tests so far.
    #[must_use]
    pub fn finding(&self) -> Finding {
        let failing = self.failure_sums.values().map(without_greatest).fold(0.0, f64::max);
        if failing >= BAD_THRESHOLD {
            return Finding::Bad(Verdict::Failing);
        }
        if self.most_are_slow(BAD_THRESHOLD) || self.pooled_sum() >= POOLED_BAD_THRESHOLD {
            return Finding::Bad(Verdict::Slow);
        }
        let doubt = failing >= DOUBT_THRESHOLD
            || self.most_are_slow(DOUBT_THRESHOLD)
            || self.pooled_sum() >= POOLED_DOUBT_THRESHOLD;
        if doubt { Finding::Doubtful } else { Finding::Clear }
    }

    /// Returns whether more than half of the upstreams are slow, as noisy neighbours only slow a
    /// few.
    fn most_are_slow(&self, bound: f64) -> bool {
        let slow = self.slow_sums.values().filter(|sum| **sum >= bound / MAJORITY_DIVISOR).count();
        slow * 2 > self.slow_sums.len() && without_greatest(&self.slow_sums) >= bound
    }

    /// Returns the sum of the pooled tests, or zero if responses may not be pooled.
    ///
    /// A slow version also fails where responses have a deadline, so both tests are added up.
    fn pooled_sum(&self) -> f64 {
        let failing = self.failure_pools.values().map(Pool::without_greatest).fold(0.0, f64::max);
        if self.pooled { self.slow_pool.without_greatest() + failing } else { 0.0 }
    }

    fn add_delta(&mut self, group: Group, delta: &Tally) {
        if delta.count == 0 {
            return;
        }
        match group.arm {
            Arm::Old => self.baselines.entry(group.route).or_default().add(delta),
            Arm::New => {
                self.samples += delta.count;
                self.informative += delta.failed + delta.times.iter().sum::<u32>();
                self.update_failure_sums(group, delta);
                self.update_slow_sums(group, delta);
            }
        }
    }

    fn update_failure_sums(&mut self, group: Group, delta: &Tally) {
        let share = self.baselines.get(&group.route).map_or(0.0, Baseline::failure_share);
        let good = (share + FAILURE_SLACK).min(0.9);
        let bad = (good * 2.0).max(good + MIN_EXCESS_FAILURES).min(0.99);
        let step = log_likelihood_ratio(delta.failed, delta.count, good, bad);
        let pooled_bad = (good * BAD_RATIO).clamp(MIN_BAD_FAILURE_SHARE, 0.95);
        let pooled_step = log_likelihood_ratio(delta.failed, delta.count, good, pooled_bad);
        self.failure_pools.entry(group.route).or_default().add(group.upstream, pooled_step);
        let route = self.failure_sums.entry(group.route).or_default();
        let sum = route.entry(group.upstream).or_insert(0.0);
        *sum = (*sum + step).max(0.0);
    }

    fn update_slow_sums(&mut self, group: Group, delta: &Tally) {
        let Some(baseline) = self.baselines.get(&group.route) else { return };
        let Some((bound, share)) = baseline.slow_bound() else { return };
        let slow: u32 = delta.times[bound..].iter().sum();
        let count: u32 = delta.times.iter().sum();
        let step = log_likelihood_ratio(slow, count, share.max(SLOW_TAIL), EXPECTED_SLOW_SHARE);
        let good = share.max(MIN_GOOD_SLOW_SHARE);
        let bad = (good * BAD_RATIO).max(MIN_BAD_SLOW_SHARE);
        let pooled_step = log_likelihood_ratio(slow, count, good, bad);
        let sum = self.slow_sums.entry(group.upstream).or_insert(0.0);
        *sum = (*sum + step).max(0.0);
        self.slow_pool.add(group.upstream, pooled_step);
    }
}

impl Pool {
    fn add(&mut self, upstream: u64, step: f64) {
        self.total = (self.total + step).max(0.0);
        let sum = self.by_upstream.entry(upstream).or_insert(0.0);
        *sum = (*sum + step).max(0.0);
    }

    /// Returns the sum without the upstream that contributes most, so that one broken upstream is
    /// not attributed to the version. Returns zero for a single upstream.
    fn without_greatest(&self) -> f64 {
        let greatest = self.by_upstream.values().copied().fold(0.0, f64::max);
        if self.by_upstream.len() > 1 { (self.total - greatest).max(0.0) } else { 0.0 }
    }
}

impl Baseline {
    fn add(&mut self, delta: &Tally) {
        let retained = BASELINE_DECAY.powf(f64::from(delta.count));
        self.count = self.count * retained + f64::from(delta.count);
        self.failed = self.failed * retained + f64::from(delta.failed);
        for (old, new) in self.times.iter_mut().zip(delta.times) {
            *old = *old * retained + f64::from(new);
        }
    }

    fn failure_share(&self) -> f64 {
        if self.count < 1.0 { 0.0 } else { self.failed / self.count }
    }

    /// Returns the first bucket that counts as slow and the old version's share in it and above.
    fn slow_bound(&self) -> Option<(usize, f64)> {
        let total: f64 = self.times.iter().sum();
        if total < f64::from(MIN_BASELINE_RESPONSES) {
            return None;
        }
        let mut above = 0.0;
        for bucket in (1..BUCKETS).rev() {
            let next = above + self.times[bucket] / total;
            if next > SLOW_TAIL {
                // If the last bucket alone exceeds the tail, it is the bound as long as its share
                // permits a distinction.
                let last = bucket + 1 == BUCKETS;
                let bound = if last { (bucket, next) } else { (bucket + 1, above) };
                return (bound.1 <= MAX_OLD_SLOW_SHARE).then_some(bound);
            }
            above = next;
        }
        Some((1, above))
    }
}

/// Returns the total of all sums but the greatest, or a single sum as it is.
///
/// One broken upstream among several must not be attributed to the version.
fn without_greatest(sums: &BTreeMap<u64, f64>) -> f64 {
    let greatest = sums.values().copied().fold(0.0, f64::max);
    let total: f64 = sums.values().sum();
    if sums.len() > 1 { total - greatest } else { total }
}

/// Returns the log-likelihood ratio of `hits` out of `count` for the share `bad` against `good`.
fn log_likelihood_ratio(hits: u32, count: u32, good: f64, bad: f64) -> f64 {
    let misses = f64::from(count.saturating_sub(hits));
    f64::from(hits) * (bad / good).ln() + misses * ((1.0 - bad) / (1.0 - good)).ln()
}
