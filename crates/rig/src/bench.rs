//! Checks of the measurements against their bounds, for the `bench` command.

use base::derive::Symbol;
use serde::Serialize;

use crate::compare::{self, Name, Row, Scenario, Shape, Trace};
use crate::load::Summary;
use crate::slopes;

/// A measured value and the bound that it must not exceed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// Name of the measurement, as printed and written to the report.
    pub name: String,
    /// Measured value: a count, or a ratio to a baseline of the same run.
    pub value: f64,
    /// Largest value that passes.
    pub bound: f64,
    /// Whether the value depends on the speed of this machine.
    pub timed: bool,
}

impl Check {
    fn new(name: impl Into<String>, value: f64, bound: f64) -> Self {
        Self { name: name.into(), value, bound, timed: false }
    }

    /// Returns whether the value is within its bound.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.value <= self.bound
    }
}

/// Compares the daemon's strategy with the baselines on simulated traces.
#[must_use]
pub fn strategy_checks(calls: usize, seed: u64) -> Vec<Check> {
    let scenario = Scenario::default();
    let mut checks = Vec::new();
    for shape in [Shape::Steady(0.6), Shape::Steady(0.85), Shape::Step(0.85)] {
        let trace = Trace::new(&scenario, shape, calls, seed);
        let row = |name| compare::run_strategy(name, &scenario, &trace, seed);
        let held = row(Name::Held);
        for (name, bound) in [(Name::TwoChoices, 0.95), (Name::Probing, 0.95), (Name::Exact, 1.0)] {
            let ratio = held.p99 / row(name).p99;
            checks.push(Check::new(format!("p99 against {}, {shape}", name.name()), ratio, bound));
        }
        checks.push(Check::new(format!("late or refused, {shape}"), late_or_refused(&held), 0.0));
    }
    let trace = Trace::new(&scenario, Shape::Steady(1.3), calls, seed);
    let row = |name| compare::run_strategy(name, &scenario, &trace, seed);
    let ratio = row(Name::Least).answered as f64 / row(Name::Held).answered as f64;
    checks.push(Check::new("answers without holding against with, 130 % of capacity", ratio, 0.95));
    checks
}

fn late_or_refused(row: &Row) -> f64 {
    (row.late + row.refused) as f64
}

/// Checks the cost of the control traffic and of decisions.
///
/// # Errors
///
/// Returns an error if a state chart does not match the code.
pub fn control_checks(seconds: u64) -> Result<Vec<Check>, policy::charts::Fault> {
    let mut checks = Vec::new();
    for (entries, upstreams) in [(16, 30), (16, 620), (64, 620)] {
        let cost = slopes::measure(entries, upstreams, seconds)?;
        let size = format!("{entries} entries, {upstreams} upstreams");
        checks.push(Check::new(format!("bytes/s of a node, {size}"), cost.bytes, 11_000.0));
        checks.push(Check::new(format!("store calls/s, {size}"), cost.store_calls, 1.5));
        let cpu = Check::new(format!("% of a core for decisions, {size}"), cost.cpu_percent, 2.6);
        checks.push(Check { timed: true, ..cpu });
    }
    let few = slopes::decision_time_us(10, 20_000)?;
    let many = slopes::decision_time_us(160, 20_000)?;
    let ratio = Check::new("decisions with 160 upstreams against 10", many / few, 16.0);
    checks.push(Check { timed: true, ..ratio });
    Ok(checks)
}

/// Checks the latency that an entry adds to a call. Both paths must come from the same run.
#[must_use]
pub fn latency_checks(direct: &Summary, entry: &Summary) -> Vec<Check> {
    let added = entry.p99_us.saturating_sub(direct.p99_us) as f64;
    let check = Check::new("us added for 99 in 100", added, 770.0);
    vec![Check { timed: true, ..check }]
}

/// Prints the checks as a table and returns whether all of them pass.
#[must_use]
pub fn print(checks: &[Check]) -> bool {
    println!("{:<58} {:>10} {:>10}  result", "measurement", "value", "bound");
    for check in checks {
        let result = if check.passes() { "pass" } else { "FAIL" };
        let timed = if check.timed { " (timed)" } else { "" };
        println!("{:<58} {:>10.3} {:>10.3}  {result}{timed}", check.name, check.value, check.bound);
    }
    checks.iter().all(Check::passes)
}
