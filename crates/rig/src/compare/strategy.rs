//! The compared strategies for choosing upstreams.

use base::prelude::*;
use policy::balance::{Candidate, Chooser, Gauge, Report};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::simulation::{Scenario, Upstream};

/// Length of one mean service time, in microseconds.
const SERVICE_TIME_US: f64 = 5_000.0;
/// Load of an upstream from which on a strategy that holds calls sends it no more, as a multiple of
/// its slots.
const HOLD_THRESHOLD: f64 = 2.0;

/// Input of a choice. Only probing and exact strategies use the upstreams themselves.
pub struct View<'a> {
    /// Current time.
    pub now: f64,
    /// Parameters of the simulated entries and upstreams.
    pub scenario: &'a Scenario,
    /// True state of the upstreams.
    pub upstreams: &'a [Upstream],
}

/// An upstream chosen for a call.
pub struct Choice {
    /// Index of the upstream.
    pub upstream: usize,
    /// Estimated number of calls ahead of this one at the upstream.
    pub ahead: f64,
    /// Delay before the call is sent.
    pub send_delay: f64,
    /// Upstreams to probe for their load.
    pub probes: Vec<usize>,
}

impl Choice {
    fn new(upstream: usize) -> Self {
        Self { upstream, ahead: 0.0, send_delay: 0.0, probes: Vec::new() }
    }
}

/// A strategy for choosing upstreams.
pub trait Strategy {
    /// Chooses an upstream for a call at an entry, or returns `None` to hold the call.
    fn choose(&mut self, view: &View<'_>, entry: usize) -> Option<Choice>;

    /// Records a response and the load that the upstream reports with it.
    fn on_response(
        &mut self,
        now: f64,
        entry: usize,
        upstream: usize,
        latency: f64,
        ahead: f64,
        in_flight: u32,
    );

    /// Records the reply to a probe.
    fn on_probe_reply(
        &mut self,
        _now: f64,
        _entry: usize,
        _upstream: usize,
        _in_flight: u32,
        _recent: f64,
    ) {
    }
}

/// The upstreams that each entry chooses from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Visibility {
    /// All upstreams.
    All,
    /// This number of upstreams, sampled for each entry.
    Subset(usize),
}

/// Each entry's own estimates of load and speed, with one of the daemon's choosers.
pub struct Estimate<C> {
    /// Estimates by entry and upstream.
    gauges: Vec<Vec<Gauge>>,
    /// Upstreams that each entry chooses from.
    subsets: Vec<Vec<usize>>,
    choosers: Vec<C>,
    rng: SmallRng,
    /// Whether calls are held while every upstream is overloaded.
    holds_calls: bool,
}

impl<C: Chooser> Estimate<C> {
    /// Creates the state of all entries.
    pub fn new(
        entries: usize,
        upstreams: usize,
        seed: u64,
        visibility: Visibility,
        chooser: impl Fn() -> C,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let subset = |_| {
            let mut all: Vec<usize> = (0..upstreams).collect();
            all.shuffle(&mut rng);
            if let Visibility::Subset(count) = visibility {
                all.truncate(count);
            }
            all
        };
        Self {
            gauges: vec![vec![Gauge::default(); upstreams]; entries],
            subsets: (0..entries).map(subset).collect(),
            choosers: (0..entries).map(|_| chooser()).collect(),
            rng,
            holds_calls: false,
        }
    }

    /// Holds calls while every upstream has at least twice as many calls as slots.
    #[must_use]
    pub fn with_holding(mut self) -> Self {
        self.holds_calls = true;
        self
    }
}

fn to_moment(now: f64) -> Moment {
    Moment((now * SERVICE_TIME_US) as u64)
}

impl<C: Chooser> Strategy for Estimate<C> {
    fn choose(&mut self, view: &View<'_>, entry: usize) -> Option<Choice> {
        let now = to_moment(view.now);
        let gauges = &mut self.gauges[entry];
        let slots = view.scenario.slots;
        let hold_load = HOLD_THRESHOLD * f64::from(slots);
        let holds_calls = self.holds_calls;
        let subset = &self.subsets[entry];
        let median_service_us = median_service_us(gauges);
        let eligible = subset
            .iter()
            .filter(|upstream| !holds_calls || gauges[**upstream].load(now) < hold_load);
        let eligible: Vec<usize> = eligible.copied().collect();
        let candidates: Vec<Candidate> = eligible
            .iter()
            .map(|upstream| Candidate {
                upstream: key::Upstream::default(),
                cost: gauges[*upstream].cost(now, slots, median_service_us),
            })
            .collect();
        let position = self.choosers[entry].choose(&candidates, &mut self.rng)?;
        let upstream = eligible[position];
        let ahead = gauges[upstream].start(now);
        Some(Choice { ahead, ..Choice::new(upstream) })
    }

    fn on_response(
        &mut self,
        now: f64,
        entry: usize,
        upstream: usize,
        latency: f64,
        ahead: f64,
        in_flight: u32,
    ) {
        let gauge = &mut self.gauges[entry][upstream];
        gauge.stop();
        gauge.report(to_moment(now), Report { in_flight, ..Report::default() });
        gauge.sample(to_moment(now), Span((latency * SERVICE_TIME_US) as u64), ahead, 4);
    }
}

/// Returns the median of the estimated service times, or the mean service time without estimates.
fn median_service_us(gauges: &[Gauge]) -> f64 {
    let mut known: Vec<f64> =
        gauges.iter().map(|gauge| gauge.service_us).filter(|service| *service > 0.0).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or(SERVICE_TIME_US)
}

/// Asynchronous probes and a choice between hot and cold upstreams, as in Prequal.
pub struct Probing {
    /// Unused probe replies by entry.
    pools: Vec<Vec<Probe>>,
    rng: SmallRng,
}

/// The reply to a probe.
#[derive(Clone, Copy, Debug)]
struct Probe {
    upstream: usize,
    at: f64,
    in_flight: u32,
    recent: f64,
}

/// Probes sent for each call.
const PROBES_PER_CALL: usize = 3;
/// Probe replies that an entry keeps.
const POOL_SIZE: usize = 16;
/// Time for which a probe reply is kept, in mean service times.
const PROBE_TTL: f64 = 2.0;
/// Quantile of the probed loads from which on an upstream counts as hot.
const HOT_QUANTILE: f64 = 0.8;

impl Probing {
    /// Creates the state of all entries.
    #[must_use]
    pub fn new(entries: usize, seed: u64) -> Self {
        Self { pools: vec![Vec::new(); entries], rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Strategy for Probing {
    fn choose(&mut self, view: &View<'_>, entry: usize) -> Option<Choice> {
        let upstreams = view.upstreams.len();
        let probes = (0..PROBES_PER_CALL).map(|_| self.rng.random_range(0..upstreams)).collect();
        let pool = &mut self.pools[entry];
        pool.retain(|probe| view.now - probe.at < PROBE_TTL);
        if pool.is_empty() {
            let upstream = self.rng.random_range(0..upstreams);
            return Some(Choice { probes, ..Choice::new(upstream) });
        }
        let mut loads: Vec<u32> = pool.iter().map(|probe| probe.in_flight).collect();
        loads.sort_unstable();
        let hot = loads[((loads.len() - 1) as f64 * HOT_QUANTILE) as usize];
        let order = |probe: &Probe| {
            // Cold upstreams come first, by recent latency. Hot ones follow, by load.
            if probe.in_flight < hot || loads[0] == hot {
                (0, probe.recent)
            } else {
                (1, f64::from(probe.in_flight))
            }
        };
        let best = (0..pool.len()).min_by(|left, right| {
            let (left, right) = (order(&pool[*left]), order(&pool[*right]));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        })?;
        let chosen = pool.swap_remove(best);
        Some(Choice { probes, ..Choice::new(chosen.upstream) })
    }

    fn on_response(&mut self, _: f64, _: usize, _: usize, _: f64, _: f64, _: u32) {}

    fn on_probe_reply(
        &mut self,
        now: f64,
        entry: usize,
        upstream: usize,
        in_flight: u32,
        recent: f64,
    ) {
        let pool = &mut self.pools[entry];
        pool.retain(|probe| probe.upstream != upstream);
        pool.push(Probe { upstream, at: now, in_flight, recent });
        if pool.len() > POOL_SIZE {
            pool.remove(0);
        }
    }
}

/// One owner entry for each upstream, which grants its slots.
///
/// An entry asks one owner after another, and each request costs a round trip.
pub struct Credits {
    /// Granted slots by upstream.
    slots_in_use: Vec<u32>,
    rng: SmallRng,
}

/// Owners that are asked before a call goes to the least loaded of them without a free slot.
const MAX_REQUESTS: usize = 4;

impl Credits {
    /// Creates the state of all owners, with every slot free.
    #[must_use]
    pub fn new(upstreams: usize, seed: u64) -> Self {
        Self { slots_in_use: vec![0; upstreams], rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Strategy for Credits {
    fn choose(&mut self, view: &View<'_>, _: usize) -> Option<Choice> {
        let round_trip = 2.0 * view.scenario.delay;
        let asked: Vec<usize> =
            (0..MAX_REQUESTS).map(|_| self.rng.random_range(0..self.slots_in_use.len())).collect();
        let free =
            asked.iter().position(|upstream| self.slots_in_use[*upstream] < view.scenario.slots);
        let least = asked.iter().copied().min_by_key(|upstream| self.slots_in_use[*upstream])?;
        let (upstream, requests) = match free {
            Some(position) => (asked[position], position + 1),
            None => (least, MAX_REQUESTS),
        };
        self.slots_in_use[upstream] += 1;
        Some(Choice { send_delay: round_trip * requests as f64, ..Choice::new(upstream) })
    }

    fn on_response(&mut self, _: f64, _: usize, upstream: usize, _: f64, _: f64, _: u32) {
        self.slots_in_use[upstream] = self.slots_in_use[upstream].saturating_sub(1);
    }
}

/// The shortest queue, with exact knowledge of the calls sent to every upstream.
pub struct Exact {
    /// Calls sent and not yet answered, by upstream.
    sent: Vec<u32>,
    rng: SmallRng,
}

impl Exact {
    /// Creates a strategy that has sent no calls.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { sent: Vec::new(), rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Strategy for Exact {
    fn choose(&mut self, view: &View<'_>, _: usize) -> Option<Choice> {
        self.sent.resize(view.upstreams.len(), 0);
        let least = *self.sent.iter().min()?;
        let candidates: Vec<usize> =
            (0..self.sent.len()).filter(|upstream| self.sent[*upstream] == least).collect();
        let upstream = candidates[self.rng.random_range(0..candidates.len())];
        self.sent[upstream] += 1;
        Some(Choice::new(upstream))
    }

    fn on_response(&mut self, _: f64, _: usize, upstream: usize, _: f64, _: f64, _: u32) {
        self.sent[upstream] -= 1;
    }
}
