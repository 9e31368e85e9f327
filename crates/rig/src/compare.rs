//! Ways to choose upstreams, compared on one seeded trace in virtual time.
//!
//! Entries, upstreams with slots and a queue in order of arrival, and the delay between them; no
//! network and no store. Times are in units of the mean service time of a good upstream.

mod report;
mod simulation;
mod strategy;
mod trace;

pub use report::{Row, print};
pub use simulation::{Scenario, simulate};
pub use strategy::{Credits, Estimate, Exact, Probing, Strategy, Visibility};
pub use trace::{Shape, Trace};

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
pub fn run_strategy(name: Name, scenario: &Scenario, trace: &Trace, seed: u64) -> Row {
    let (entries, upstreams, all) = (scenario.entries, scenario.upstreams, Visibility::All);
    let least = |visibility| Estimate::new(entries, upstreams, seed, visibility, || Least);
    match name {
        Name::Random => {
            simulate(name, scenario, trace, Estimate::new(entries, upstreams, seed, all, || Random))
        }
        Name::RoundRobin => {
            let strategy = Estimate::new(entries, upstreams, seed, all, RoundRobin::default);
            simulate(name, scenario, trace, strategy)
        }
        Name::TwoChoices => simulate(
            name,
            scenario,
            trace,
            Estimate::new(entries, upstreams, seed, all, || TwoChoices),
        ),
        Name::Probing => simulate(name, scenario, trace, Probing::new(entries, seed)),
        Name::Credits => simulate(name, scenario, trace, Credits::new(upstreams, seed)),
        Name::Subset => simulate(name, scenario, trace, least(Visibility::Subset(SUBSET))),
        Name::Least => simulate(name, scenario, trace, least(all)),
        Name::Held => simulate(name, scenario, trace, least(all).with_holding()),
        Name::Exact => simulate(name, scenario, trace, Exact::new(seed)),
    }
}
