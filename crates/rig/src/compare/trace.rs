//! Seeded traces of calls. Every strategy is run on the same trace.

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::simulation::Scenario;

/// Load over time, as a share of the capacity of all upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
pub enum Shape {
    /// A constant share.
    #[display("{:.0} % of capacity", _0 * 100.0)]
    Steady(f64),
    /// A tenth of the share during warm-up, then a step to the full share.
    #[display("from {:.1} % to {:.0} % of capacity at once", _0 * 10.0, _0 * 100.0)]
    Step(f64),
    /// A constant share. The slow upstreams become slow when measuring starts.
    #[display("{:.0} % of capacity, upstreams become slow at once", _0 * 100.0)]
    Sudden(f64),
}

/// A call that arrives at an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: f64,
    /// Index of the entry that receives the call.
    pub entry: usize,
    /// Service time that the call needs at an upstream without slowdown.
    pub work: f64,
}

/// A seeded sequence of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Calls in the order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Time at which measuring starts, after the warm-up.
    pub measured_from: f64,
    /// Time at which the slow upstreams become slow.
    pub slow_from: f64,
}

impl Trace {
    /// Generates `calls` calls with exponentially distributed gaps and service times.
    #[must_use]
    pub fn new(scenario: &Scenario, shape: Shape, calls: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let capacity = scenario.capacity();
        let mut at = 0.0;
        let mut measured_from = 0.0;
        let mut arrivals = Vec::with_capacity(calls);
        for number in 0..calls {
            let share = match shape {
                Shape::Steady(share) | Shape::Sudden(share) => share,
                Shape::Step(share) if number < calls / 20 => share / 10.0,
                Shape::Step(share) => share,
            };
            at += sample_exponential(&mut rng) / (capacity * share);
            let warm_up = match shape {
                Shape::Steady(_) | Shape::Sudden(_) => calls / 10,
                Shape::Step(_) => calls / 20,
            };
            if number == warm_up {
                measured_from = at;
            }
            let entry = rng.random_range(0..scenario.entries);
            arrivals.push(Arrival { at, entry, work: sample_exponential(&mut rng) });
        }
        let slow_from = if matches!(shape, Shape::Sudden(_)) { measured_from } else { 0.0 };
        Self { arrivals, measured_from, slow_from }
    }
}

/// Samples the exponential distribution with mean 1.
fn sample_exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
