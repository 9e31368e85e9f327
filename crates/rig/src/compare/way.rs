//! The ways that are compared.

use base::prelude::*;
use policy::balance::{Candidate, Chooser, Gauge, Report};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::world::{Setting, Worker};

/// Microseconds in one mean service time.
const UNIT: f64 = 5_000.0;
/// Calls at an upstream, in slots, above which none is sent there if calls are held.
const CROWD: f64 = 2.0;

/// What a way may look at; only the exact one looks at the upstreams themselves.
pub struct Seen<'a> {
    /// The time.
    pub now: f64,
    /// What entries and upstreams are like.
    pub setting: &'a Setting,
    /// The upstreams as they are.
    pub workers: &'a [Worker],
}

/// Where a call goes.
pub struct Choice {
    /// The upstream.
    pub worker: usize,
    /// Calls estimated to be ahead of it.
    pub ahead: f64,
    /// Time before it is sent.
    pub wait: f64,
    /// Upstreams that are asked for their load.
    pub probes: Vec<usize>,
}

impl Choice {
    fn of(worker: usize) -> Self {
        Self { worker, ahead: 0.0, wait: 0.0, probes: Vec::new() }
    }
}

/// A way to choose.
pub trait Way {
    /// Chooses for a call at an entry, or holds it.
    fn choose(&mut self, seen: &Seen<'_>, entry: usize) -> Option<Choice>;

    /// Takes in an answer with the load that the upstream reports.
    fn answered(
        &mut self,
        now: f64,
        entry: usize,
        worker: usize,
        latency: f64,
        ahead: f64,
        in_flight: u32,
    );

    /// Takes in the answer to a probe.
    fn probed(&mut self, _now: f64, _entry: usize, _worker: usize, _in_flight: u32, _recent: f64) {}
}

/// Which upstreams each entry chooses among.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sees {
    /// All of them.
    All,
    /// So many, drawn for each entry.
    Subset(usize),
}

/// The entries' own estimates of load and speed, with one of the choosers that the daemon has.
pub struct Estimate<C> {
    gauges: Vec<Vec<Gauge>>,
    subsets: Vec<Vec<usize>>,
    choosers: Vec<C>,
    rng: SmallRng,
    held: bool,
}

impl<C: Chooser> Estimate<C> {
    /// Makes the state of all entries.
    pub fn new(
        entries: usize,
        workers: usize,
        seed: u64,
        sees: Sees,
        chooser: impl Fn() -> C,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let subset = |_| {
            let mut all: Vec<usize> = (0..workers).collect();
            all.shuffle(&mut rng);
            if let Sees::Subset(count) = sees {
                all.truncate(count);
            }
            all
        };
        Self {
            gauges: vec![vec![Gauge::default(); workers]; entries],
            subsets: (0..entries).map(subset).collect(),
            choosers: (0..entries).map(|_| chooser()).collect(),
            rng,
            held: false,
        }
    }

    /// Holds calls while every upstream has twice the calls that it has slots for.
    #[must_use]
    pub fn held(mut self) -> Self {
        self.held = true;
        self
    }
}

fn moment(now: f64) -> Moment {
    Moment((now * UNIT) as u64)
}

impl<C: Chooser> Way for Estimate<C> {
    fn choose(&mut self, seen: &Seen<'_>, entry: usize) -> Option<Choice> {
        let now = moment(seen.now);
        let gauges = &mut self.gauges[entry];
        let slots = seen.setting.slots;
        let bound = CROWD * f64::from(slots);
        let held = self.held;
        let subset = &self.subsets[entry];
        let typical = typical(gauges);
        let open = subset.iter().filter(|worker| !held || gauges[**worker].load(now) < bound);
        let open: Vec<usize> = open.copied().collect();
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|worker| Candidate {
                upstream: key::Upstream::default(),
                cost: gauges[*worker].cost(now, slots, typical),
            })
            .collect();
        let position = self.choosers[entry].choose(&candidates, &mut self.rng)?;
        let worker = open[position];
        let ahead = gauges[worker].start(now);
        Some(Choice { ahead, ..Choice::of(worker) })
    }

    fn answered(
        &mut self,
        now: f64,
        entry: usize,
        worker: usize,
        latency: f64,
        ahead: f64,
        in_flight: u32,
    ) {
        let gauge = &mut self.gauges[entry][worker];
        gauge.stop();
        gauge.report(moment(now), Report { in_flight, ..Report::default() });
        gauge.sample(moment(now), Span((latency * UNIT) as u64), ahead, 4);
    }
}

fn typical(gauges: &[Gauge]) -> f64 {
    let mut known: Vec<f64> =
        gauges.iter().map(|gauge| gauge.service_us).filter(|service| *service > 0.0).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or(UNIT)
}

/// Asynchronous probes and a choice between hot and cold upstreams, in the manner of Prequal.
pub struct Probing {
    pools: Vec<Vec<Probe>>,
    rng: SmallRng,
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug)]
struct Probe {
    worker: usize,
    at: f64,
    in_flight: u32,
    recent: f64,
}

/// Probes for each call.
const PROBES: usize = 3;
/// Answers that an entry keeps.
const POOL: usize = 16;
/// Time for which an answer is kept.
const KEPT: f64 = 2.0;
/// Quantile of load above which an upstream is hot.
const HOT: f64 = 0.8;

impl Probing {
    /// Makes the state of all entries.
    #[must_use]
    pub fn new(entries: usize, seed: u64) -> Self {
        Self { pools: vec![Vec::new(); entries], rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Way for Probing {
    fn choose(&mut self, seen: &Seen<'_>, entry: usize) -> Option<Choice> {
        let workers = seen.workers.len();
        let probes = (0..PROBES).map(|_| self.rng.random_range(0..workers)).collect();
        let pool = &mut self.pools[entry];
        pool.retain(|probe| seen.now - probe.at < KEPT);
        if pool.is_empty() {
            let worker = self.rng.random_range(0..workers);
            return Some(Choice { probes, ..Choice::of(worker) });
        }
        let mut loads: Vec<u32> = pool.iter().map(|probe| probe.in_flight).collect();
        loads.sort_unstable();
        let hot = loads[((loads.len() - 1) as f64 * HOT) as usize];
        let rank = |probe: &Probe| {
            // Cold ones come first, by their time; hot ones after them, by their load.
            if probe.in_flight < hot || loads[0] == hot {
                (0, probe.recent)
            } else {
                (1, f64::from(probe.in_flight))
            }
        };
        let best = (0..pool.len()).min_by(|one, other| {
            let (one, other) = (rank(&pool[*one]), rank(&pool[*other]));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        })?;
        let chosen = pool.swap_remove(best);
        Some(Choice { probes, ..Choice::of(chosen.worker) })
    }

    fn answered(&mut self, _: f64, _: usize, _: usize, _: f64, _: f64, _: u32) {}

    fn probed(&mut self, now: f64, entry: usize, worker: usize, in_flight: u32, recent: f64) {
        let pool = &mut self.pools[entry];
        pool.retain(|probe| probe.worker != worker);
        pool.push(Probe { worker, at: now, in_flight, recent });
        if pool.len() > POOL {
            pool.remove(0);
        }
    }
}

/// One responsible entry for each upstream, which hands out its slots.
///
/// An entry asks one owner after another; each asking costs a round trip.
pub struct Credits {
    out: Vec<u32>,
    rng: SmallRng,
}

/// Owners that are asked before a call goes to the least loaded of them all the same.
const ASKS: usize = 4;

impl Credits {
    /// Makes the state of all owners.
    #[must_use]
    pub fn new(workers: usize, seed: u64) -> Self {
        Self { out: vec![0; workers], rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Way for Credits {
    fn choose(&mut self, seen: &Seen<'_>, _: usize) -> Option<Choice> {
        let round_trip = 2.0 * seen.setting.delay;
        let asked: Vec<usize> =
            (0..ASKS).map(|_| self.rng.random_range(0..self.out.len())).collect();
        let free = asked.iter().position(|worker| self.out[*worker] < seen.setting.slots);
        let least = asked.iter().copied().min_by_key(|worker| self.out[*worker])?;
        let (worker, asks) = match free {
            Some(position) => (asked[position], position + 1),
            None => (least, ASKS),
        };
        self.out[worker] += 1;
        Some(Choice { wait: round_trip * asks as f64, ..Choice::of(worker) })
    }

    fn answered(&mut self, _: f64, _: usize, worker: usize, _: f64, _: f64, _: u32) {
        self.out[worker] = self.out[worker].saturating_sub(1);
    }
}

/// Exact knowledge of every upstream at the moment of choice: the shortest queue.
pub struct Exact {
    sent: Vec<u32>,
    rng: SmallRng,
}

impl Exact {
    /// Makes the state.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { sent: Vec::new(), rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Way for Exact {
    fn choose(&mut self, seen: &Seen<'_>, _: usize) -> Option<Choice> {
        self.sent.resize(seen.workers.len(), 0);
        let least = *self.sent.iter().min()?;
        let equal: Vec<usize> =
            (0..self.sent.len()).filter(|worker| self.sent[*worker] == least).collect();
        let worker = equal[self.rng.random_range(0..equal.len())];
        self.sent[worker] += 1;
        Some(Choice::of(worker))
    }

    fn answered(&mut self, _: f64, _: usize, worker: usize, _: f64, _: f64, _: u32) {
        self.sent[worker] -= 1;
    }
}
