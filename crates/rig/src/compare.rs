//! Comparison of strategies for choosing upstreams, on one seeded trace in virtual time.
//!
//! The simulation covers entries, upstreams with slots and a first-in, first-out queue, and the
//! delay between them. It has no network and no store. Times are in units of the mean service time
//! of an upstream that is not slow. The `compare` and `bench` commands use it.

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

/// Default number of calls in a trace.
pub const CALLS: usize = 60_000;
/// Number of upstreams in the subset that an entry uses under [`Name::Subset`].
const SUBSET: usize = 6;

symbols! {
    /// Names of the compared strategies.
    pub enum Name {
        /// Uniformly random choice.
        Random = "random",
        /// Each upstream in turn.
        RoundRobin = "round-robin",
        /// The lower estimated cost of two random upstreams.
        TwoChoices = "two-choices",
        /// Asynchronous probes, with upstreams classified as hot or cold.
        Probing = "probing",
        /// One owner entry for each upstream, which grants its slots.
        Credits = "credits",
        /// The lowest estimated cost within a subset.
        Subset = "subset",
        /// The lowest estimated cost of all upstreams.
        Least = "least",
        /// As `Least`, but calls are held at the entry while every upstream is overloaded.
        Held = "least-held",
        /// The shortest queue, with exact knowledge of all upstreams.
        Exact = "exact",
    }
}

/// Runs the named strategy on a trace and returns its results.
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
