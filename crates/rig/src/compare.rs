//! Ways to choose upstreams, compared on one seeded trace in virtual time.
//!
//! Entries, upstreams with slots and a queue in order of arrival, and the delay between them; no
//! network and no store. Times are in units of the mean service time of a good upstream.

mod report;
mod trace;
mod way;
mod world;

pub use report::{Row, print};
pub use trace::{Shape, Trace};
pub use way::{Credits, Estimate, Exact, Probing, Sees, Way};
pub use world::{Setting, run};

use base::symbols;
use policy::balance::{Least, Random, RoundRobin, TwoChoices};

/// Calls in one trace.
pub const CALLS: usize = 60_000;
/// Upstreams that an entry sees which sees a subset.
const SUBSET: usize = 6;

symbols! {
    /// The ways that are compared.
    pub enum Name {
        /// At random.
        Random = "random",
        /// In turn.
        RoundRobin = "round-robin",
        /// The better of two by estimate.
        TwoChoices = "two-choices",
        /// Asynchronous probes, hot and cold.
        Probing = "probing",
        /// One responsible entry for each upstream hands out its slots.
        Credits = "credits",
        /// The least estimate over a subset.
        Subset = "subset",
        /// The least estimate over all.
        Least = "least",
        /// The same, with calls held while every upstream is crowded.
        Held = "least-held",
        /// The shortest queue by exact knowledge.
        Exact = "exact",
    }
}

/// Runs one way on a trace.
#[must_use]
pub fn one(name: Name, setting: &Setting, trace: &Trace, seed: u64) -> Row {
    let (entries, workers, all) = (setting.entries, setting.workers, Sees::All);
    let least = |sees| Estimate::new(entries, workers, seed, sees, || Least);
    match name {
        Name::Random => {
            run(name, setting, trace, Estimate::new(entries, workers, seed, all, || Random))
        }
        Name::RoundRobin => {
            let way = Estimate::new(entries, workers, seed, all, RoundRobin::default);
            run(name, setting, trace, way)
        }
        Name::TwoChoices => {
            run(name, setting, trace, Estimate::new(entries, workers, seed, all, || TwoChoices))
        }
        Name::Probing => run(name, setting, trace, Probing::new(entries, seed)),
        Name::Credits => run(name, setting, trace, Credits::new(workers, seed)),
        Name::Subset => run(name, setting, trace, least(Sees::Subset(SUBSET))),
        Name::Least => run(name, setting, trace, least(all)),
        Name::Held => run(name, setting, trace, least(all).held()),
        Name::Exact => run(name, setting, trace, Exact::new(seed)),
    }
}
