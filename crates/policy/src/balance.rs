//! Choosing an upstream by load and speed.

mod choose;
mod gauge;

pub use choose::{Candidate, Chooser, Least, Random, RoundRobin, TwoChoices};
pub use gauge::{Gauge, Report};
