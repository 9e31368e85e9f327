//! What came of a run.

use base::derive::Symbol;
use serde::Serialize;

use super::Name;

/// The figures of one way on one trace; times in mean service times.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The way.
    #[serde(rename = "way")]
    pub strategy: Name,
    /// Latency that half of the answered calls stay below.
    pub p50: f64,
    /// Latency that 99 in 100 stay below.
    pub p99: f64,
    /// Latency that 999 in 1000 stay below.
    pub p999: f64,
    /// Calls answered in time.
    pub answered: u64,
    /// Calls answered too late, or cancelled while they waited at an upstream.
    pub late: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls that an upstream ran although their caller had given up.
    pub wasted: u64,
    /// Calls that found no free slot.
    pub collisions: u64,
    /// Calls that only measure.
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

/// Prints rows as a table.
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
