//! Bounds on the control cost of a node. All are counts, so they do not depend on the machine.

use rig::slopes::{fit, measure};

/// Control traffic that a node may send and receive, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 11_000.0;
/// Store calls that all nodes together may make per second.
const MAX_STORE_CALLS_PER_SECOND: f64 = 1.5;
const SECONDS: u64 = 20;

#[test]
fn cost_stays_below_its_bounds() {
    for (entries, upstreams) in [(4, 30), (16, 30), (16, 620), (48, 160)] {
        let cost = measure(entries, upstreams, SECONDS).expect("charts fit");
        assert!(cost.bytes <= MAX_BYTES_PER_SECOND, "{cost:?}");
        assert!(cost.store_calls <= MAX_STORE_CALLS_PER_SECOND, "{cost:?}");
        assert!(cost.config_bytes < store::MAX_VALUE_BYTES / 2, "{cost:?}");
    }
}

#[test]
fn store_calls_do_not_grow_with_entries() {
    let points: Vec<(f64, f64)> = [4, 8, 16, 32]
        .into_iter()
        .map(|entries| {
            let cost = measure(entries, 30, SECONDS).expect("charts fit");
            (entries as f64, cost.store_calls)
        })
        .collect();
    let (slope, _) = fit(&points);
    assert!(slope < 0.02, "{slope} calls a second more for each entry: {points:?}");
}
