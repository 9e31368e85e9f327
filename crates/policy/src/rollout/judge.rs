//! Sequential tests of a new version against the old one under the same load.
//!
//! Each test is a cumulative sum of log-likelihood ratios that never falls below zero, so that a
//! version that turns bad after a long good time is found as fast as one that was bad at once.

use std::collections::BTreeMap;

use super::Verdict;
use super::evidence::{Arm, BUCKETS, Group, Row, Tally};

/// Sum at which a test finds for badness. A good version reaches it in one of e^16 samples.
const BAD_THRESHOLD: f64 = 16.0;
/// Sum at which a test gives cause for doubt.
const DOUBT_THRESHOLD: f64 = 8.0;
/// The same for the test of slowness over all upstreams.
const POOLED_BAD_THRESHOLD: f64 = 10.0;
/// The same for its doubt.
const POOLED_DOUBT_THRESHOLD: f64 = 4.0;
/// Part of a sum that each of most upstreams has to reach for slowness to be the version's.
const MAJORITY_DIVISOR: f64 = 4.0;
/// Failures that a good version may have beyond those of the old one, as a share.
const FAILURE_SLACK: f64 = 0.005;
/// Further failures by which a bad version differs, as a share.
const MIN_EXCESS_FAILURES: f64 = 0.05;
/// Share of the old version's answers that count as slow.
const SLOW_TAIL: f64 = 0.1;
/// Share of slow answers of a slow version.
const SLOW_SHARE_IF_SLOW: f64 = 0.45;
/// Share of slow answers that a good version has at the least, over all upstreams.
const MIN_GOOD_SLOW_SHARE: f64 = 0.06;
/// Share of slow answers of a bad version at the least, over all upstreams.
const MIN_BAD_SLOW_SHARE: f64 = 0.22;
/// Share of failures of a bad version at the least, over all upstreams.
const MIN_BAD_FAILURE_SHARE: f64 = 0.2;
/// How many times more slow answers or failures than the old one a bad version has, over all
/// upstreams.
const BAD_RATIO: f64 = 2.5;
/// Share of slow answers of the old version up to which a slow one can be told from it.
const MAX_OLD_SLOW_SHARE: f64 = 0.25;
/// Answers of the old version that are needed to say what is slow.
const MIN_BASELINE_ANSWERS: u32 = 100;
/// What remains of the old version's counts after each further answer, so that they follow its
/// load however many answers a look brings.
const DECAY: f64 = 0.997;

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// Nothing speaks against the new version.
    Clear,
    /// Something does, though not enough.
    Doubtful,
    /// The new version is bad.
    Bad(Verdict),
}

/// The tests of one move.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    last_tallies: BTreeMap<(u64, Group), Tally>,
    baselines: BTreeMap<u64, Baseline>,
    /// Sums of the tests of failures, by route and upstream.
    failure_sums: BTreeMap<u64, BTreeMap<u64, f64>>,
    /// Sums of the tests of slowness, by upstream.
    slow_sums: BTreeMap<u64, f64>,
    /// Whether times are free of what single upstreams add, so that all count together.
    pooled: bool,
    /// A test of slowness over all upstreams, each of which may have few answers.
    slow_pool: Pool,
    /// The same for failures, by route.
    failure_pools: BTreeMap<u64, Pool>,
    samples: u32,
    informative: u32,
    /// Service times of all answers of both versions, in microseconds.
    total_service_us: f64,
}

/// Sums of one test, over all upstreams and of each.
#[derive(Clone, Debug, Default)]
struct Pool {
    total: f64,
    by_upstream: BTreeMap<u64, f64>,
}

/// What the old version does on one route.
#[derive(Clone, Debug, Default)]
struct Baseline {
    count: f64,
    failed: f64,
    times: [f64; BUCKETS],
}

impl Judge {
    /// Makes the tests for times from which the upstreams' own load and pace were taken out.
    ///
    /// Slow answers then tell of the version, whichever upstream gives them.
    #[must_use]
    pub fn pooled() -> Self {
        Self { pooled: true, ..Self::default() }
    }

    /// Takes in rows of one member; the first of a row is where its counting starts.
    pub fn add(&mut self, member: u64, rows: &[Row], from_start: bool) {
        for row in rows {
            let known = self.last_tallies.insert((member, row.group), row.tally.clone());
            match known {
                Some(known) => {
                    let delta = row.tally.since(&known);
                    self.total_service_us += delta.total_service_us();
                    self.weigh(row.group, &delta);
                }
                None if from_start => self.weigh(row.group, &row.tally),
                None => {}
            }
        }
    }

    /// Returns the answers of the new version that were weighed.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the failures and the service times of the new version that were weighed, leaving
    /// out good answers in cold starts.
    #[must_use]
    pub fn informative(&self) -> u32 {
        self.informative
    }

    /// Returns the sum of the service times of all answers of both versions, in microseconds.
    ///
    /// What members had counted before they first told is left out.
    #[must_use]
    pub fn total_service_us(&self) -> f64 {
        self.total_service_us
    }

    /// Says what the evidence says.
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

    /// Tells whether more than half of the upstreams are slow; noisy neighbours slow a few.
    fn most_are_slow(&self, bound: f64) -> bool {
        let slow = self.slow_sums.values().filter(|sum| **sum >= bound / MAJORITY_DIVISOR).count();
        slow * 2 > self.slow_sums.len() && without_greatest(&self.slow_sums) >= bound
    }

    /// Returns what the tests over all upstreams say against the version.
    ///
    /// A slow version also fails where answers have to come in time, so both count together.
    fn pooled_sum(&self) -> f64 {
        let failing = self.failure_pools.values().map(Pool::without_greatest).fold(0.0, f64::max);
        if self.pooled { self.slow_pool.without_greatest() + failing } else { 0.0 }
    }

    fn weigh(&mut self, group: Group, delta: &Tally) {
        if delta.count == 0 {
            return;
        }
        match group.arm {
            Arm::Old => self.baselines.entry(group.route).or_default().add(delta),
            Arm::New => {
                self.samples += delta.count;
                self.informative += delta.failed + delta.times.iter().sum::<u32>();
                self.weigh_failures(group, delta);
                self.weigh_times(group, delta);
            }
        }
    }

    fn weigh_failures(&mut self, group: Group, delta: &Tally) {
        let share = self.baselines.get(&group.route).map_or(0.0, Baseline::failure_share);
        let good = (share + FAILURE_SLACK).min(0.9);
        let bad = (good * 2.0).max(good + MIN_EXCESS_FAILURES).min(0.99);
        let step = log_likelihood(delta.failed, delta.count, good, bad);
        let pooled_bad = (good * BAD_RATIO).clamp(MIN_BAD_FAILURE_SHARE, 0.95);
        let pooled_step = log_likelihood(delta.failed, delta.count, good, pooled_bad);
        self.failure_pools.entry(group.route).or_default().add(group.upstream, pooled_step);
        let route = self.failure_sums.entry(group.route).or_default();
        let sum = route.entry(group.upstream).or_insert(0.0);
        *sum = (*sum + step).max(0.0);
    }

    fn weigh_times(&mut self, group: Group, delta: &Tally) {
        let Some(baseline) = self.baselines.get(&group.route) else { return };
        let Some((bound, share)) = baseline.slow_bound() else { return };
        let slow: u32 = delta.times[bound..].iter().sum();
        let count: u32 = delta.times.iter().sum();
        let step = log_likelihood(slow, count, share.max(SLOW_TAIL), SLOW_SHARE_IF_SLOW);
        let good = share.max(MIN_GOOD_SLOW_SHARE);
        let bad = (good * BAD_RATIO).max(MIN_BAD_SLOW_SHARE);
        let pooled_step = log_likelihood(slow, count, good, bad);
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

    /// Returns what is left without the upstream that adds most.
    fn without_greatest(&self) -> f64 {
        let greatest = self.by_upstream.values().copied().fold(0.0, f64::max);
        if self.by_upstream.len() > 1 { (self.total - greatest).max(0.0) } else { 0.0 }
    }
}

impl Baseline {
    fn add(&mut self, delta: &Tally) {
        let kept = DECAY.powf(f64::from(delta.count));
        self.count = self.count * kept + f64::from(delta.count);
        self.failed = self.failed * kept + f64::from(delta.failed);
        for (old, new) in self.times.iter_mut().zip(delta.times) {
            *old = *old * kept + f64::from(new);
        }
    }

    fn failure_share(&self) -> f64 {
        if self.count < 1.0 { 0.0 } else { self.failed / self.count }
    }

    /// Returns the first bucket that counts as slow and the share of the old version in it or
    /// above.
    fn slow_bound(&self) -> Option<(usize, f64)> {
        let all: f64 = self.times.iter().sum();
        if all < f64::from(MIN_BASELINE_ANSWERS) {
            return None;
        }
        let mut above = 0.0;
        for bucket in (1..BUCKETS).rev() {
            let next = above + self.times[bucket] / all;
            if next > SLOW_TAIL {
                // Where even the slowest bucket holds more, it is the bound as long as it tells.
                let last = bucket + 1 == BUCKETS;
                let bound = if last { (bucket, next) } else { (bucket + 1, above) };
                return (bound.1 <= MAX_OLD_SLOW_SHARE).then_some(bound);
            }
            above = next;
        }
        Some((1, above))
    }
}

/// Returns what several upstreams have in common: all sums but the greatest.
///
/// One broken upstream among several is not the version's fault.
fn without_greatest(sums: &BTreeMap<u64, f64>) -> f64 {
    let greatest = sums.values().copied().fold(0.0, f64::max);
    let all: f64 = sums.values().sum();
    if sums.len() > 1 { all - greatest } else { all }
}

/// Returns the logarithm of how much likelier `hits` of `count` are at the share `bad` than at
/// `good`.
fn log_likelihood(hits: u32, count: u32, good: f64, bad: f64) -> f64 {
    let misses = f64::from(count.saturating_sub(hits));
    f64::from(hits) * (bad / good).ln() + misses * ((1.0 - bad) / (1.0 - good)).ln()
}
