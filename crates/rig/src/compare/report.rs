//! Results of a simulation run, and their table.

use base::derive::Symbol;
use serde::Serialize;

use super::Name;

/// Results of one strategy on one trace. Times are in mean service times.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The strategy that was run.
    #[serde(rename = "way")]
    pub strategy: Name,
    /// Median latency of the answered calls.
    pub p50: f64,
    /// 99th percentile of the latency.
    pub p99: f64,
    /// 99.9th percentile of the latency.
    pub p999: f64,
    /// Calls answered before the caller's time-out.
    pub answered: u64,
    /// Calls answered after the caller's time-out, or cancelled in the queue of an upstream.
    pub late: u64,
    /// Calls that timed out while held at an entry and were refused as not run.
    pub refused: u64,
    /// Calls that an upstream completed after their caller had timed out.
    pub wasted: u64,
    /// Calls that found no free slot when they reached their upstream.
    pub collisions: u64,
    /// Probes sent, which only ask for the load of an upstream.
    pub probes: u64,
}

impl Row {
    pub(super) fn new(strategy: Name) -> Self {
        Self {
            strategy,
            p50: 0.0,
            p99: 0.0,
            p999: 0.0,
            answered: 0,
            late: 0,
            refused: 0,
            wasted: 0,
            collisions: 0,
            probes: 0,
        }
    }

    pub(super) fn record_latencies(&mut self, mut latencies: Vec<f64>, timeout: f64) {
        let measured = latencies.len() as u64;
        latencies.retain(|latency| *latency <= timeout);
        latencies.sort_by(f64::total_cmp);
        self.answered = latencies.len() as u64;
        self.late = measured - self.answered;
        let quantile = |share: f64| {
            let last = latencies.len().saturating_sub(1);
            latencies.get((last as f64 * share) as usize).copied().unwrap_or(f64::NAN)
        };
        (self.p50, self.p99, self.p999) = (quantile(0.5), quantile(0.99), quantile(0.999));
    }
}

/// Prints a table with one row for each strategy.
pub fn print(title: &str, rows: &[Row]) {
    println!("\n{title}");
    println!(
        "{:<14} {:>6} {:>6} {:>6} {:>8} {:>6} {:>7} {:>6} {:>10} {:>7}",
        "way",
        "p50",
        "p99",
        "p99.9",
        "answered",
        "late",
        "refused",
        "wasted",
        "collisions",
        "probes"
    );
    for row in rows {
        println!(
            "{:<14} {:>6.2} {:>6.2} {:>6.2} {:>8} {:>6} {:>7} {:>6} {:>10} {:>7}",
            row.strategy.name(),
            row.p50,
            row.p99,
            row.p999,
            row.answered,
            row.late,
            row.refused,
            row.wasted,
            row.collisions,
            row.probes
        );
    }
}
