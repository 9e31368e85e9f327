//! Algorithms that choose among upstreams.

use base::prelude::*;
use rand::{Rng, RngExt};

/// Difference of costs, as a share of the lower one, up to which costs count as equal.
const TIE_MARGIN: f64 = 0.02;

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: key::Upstream,
    /// Expected time of one more call at the upstream, in microseconds.
    pub cost: f64,
}

/// An algorithm that chooses among upstreams.
pub trait Chooser {
    /// Returns the position of the chosen candidate, or `None` if there are no candidates.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize>;
}

/// Chooses the candidate with the least cost, at random among equal ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Least;

/// Chooses the cheaper one of two candidates picked at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

/// Chooses at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

/// Chooses candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Chooser for Least {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        let least = candidates.iter().map(|candidate| candidate.cost).reduce(f64::min)?;
        let bound = least * (1.0 + TIE_MARGIN);
        let cheapest =
            || candidates.iter().enumerate().filter(|(_, candidate)| candidate.cost <= bound);
        let pick = rng.random_range(0..cheapest().count());
        cheapest().nth(pick).map(|(position, _)| position)
    }
}

impl Chooser for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        Some(if candidates[second].cost < candidates[first].cost { second } else { first })
    }
}

impl Chooser for Random {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
    }
}

impl Chooser for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: &mut impl Rng) -> Option<usize> {
        let position = self.next.checked_rem(candidates.len())?;
        self.next = self.next.wrapping_add(1);
        Some(position)
    }
}
