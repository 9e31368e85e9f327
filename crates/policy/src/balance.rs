//! Choice of an upstream by estimated load and service time.
//!
//! The engine keeps one [`Gauge`] for each upstream and passes the candidates to a [`Chooser`]. The
//! `rig` crate compares the algorithms.

mod choose;
mod gauge;

pub use choose::{Candidate, Chooser, Least, Random, RoundRobin, TwoChoices};
pub use gauge::{Gauge, Report};
