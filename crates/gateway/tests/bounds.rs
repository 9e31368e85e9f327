//! Tests of bounds that hold in sum over all nodes, whatever they know of each other.

mod common;

use base::prelude::*;
use common::{Harness, cold_start, upstream};
use gateway::Terms;
use gateway::budget::Budget;
use gateway::cold::{Sends, WINDOW, share};
use gateway::engine::Input;

/// Returns identities of nodes.
fn nodes(count: u64) -> impl Iterator<Item = u64> + Clone {
    (1..=count).map(base::hash::mix)
}

#[test]
fn share_of_all_nodes_is_within_the_bound() {
    let terms = Terms::default();
    for count in 1..=150 {
        for rate in [2.0, 6.6, 7.4, 15.0, 40.0] {
            let bound = rate * terms.cold_factor + terms.cold_slack;
            let each = |node| share(&terms, rate, node, 99, nodes(count));
            let sum: usize = nodes(count).map(each).sum();
            assert!(sum as f64 <= bound, "{count} nodes, {rate}: {sum} above {bound}");
            assert!(sum >= 1, "{count} nodes, {rate}: nobody may send");
        }
    }
}

/// A node that was added is not known to all others at once. Until then they compute their shares
/// without it.
#[test]
fn share_with_some_nodes_unknown_is_within_the_bound() {
    let terms = Terms::default();
    for rate in [7.4, 15.0] {
        let bound = rate * terms.cold_factor + terms.cold_slack;
        let old: usize = nodes(5).map(|node| share(&terms, rate, node, 99, nodes(5))).sum();
        let new = nodes(6).last().map_or(0, |node| share(&terms, rate, node, 99, nodes(6)));
        assert!((old + new) as f64 <= bound, "{rate}: {} above {bound}", old + new);
    }
}

#[test]
fn fits_within_any_window() {
    let mut sends = Sends::default();
    let mut times = Vec::new();
    for step in 0..4_000 {
        let now = Moment(step * 1_000);
        if sends.fits(now, 3) {
            sends.record(now);
            times.push(now);
        }
    }
    let in_window = times.iter().map(|from| {
        let within = times.iter().filter(|at| **at >= *from && at.since(*from) < WINDOW);
        within.count()
    });
    assert_eq!(in_window.max(), Some(3));
}

/// Every node retries as often as its budget permits, while its callers send bursts of requests
/// with pauses in between.
#[test]
fn try_spend_of_all_nodes_in_bursts_is_within_the_bound() {
    let terms = Terms::default();
    for count in [3_usize, 16, 40] {
        let mut budgets = vec![Budget::default(); count];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..60_000_u64 {
            let now = Moment(step * 1_000);
            let busy = (step / 7_000) % 2 == 0;
            for (node, budget) in budgets.iter_mut().enumerate() {
                let interval = if busy { 20 } else { 400 };
                if (step + node as u64).is_multiple_of(interval) {
                    budget.earn(now, &terms, count);
                    requests.push(now);
                }
                if step % 10 == 0 && budget.try_spend(now, &terms, count) {
                    retries.push(now);
                }
            }
        }
        let within = |times: &[Moment], from: Moment| {
            let until = from + terms.retry_window;
            let first = times.partition_point(|at| *at < from);
            (times.partition_point(|at| *at < until) - first) as f64
        };
        for start in 0..50 {
            let from = Moment(start * 1_000_000);
            let before = from - terms.retry_window;
            let midway = from - Span::seconds(5);
            let requested = [from, before, midway].map(|from| within(&requests, from));
            let requested = requested.into_iter().fold(0.0, f64::max);
            let bound = terms.retry_ratio * requested + terms.retry_slack;
            let spent = within(&retries, from);
            assert!(spent <= bound, "{count} nodes at {start} s: {spent} above {bound}");
        }
    }
}

#[test]
fn try_spend_after_a_restart_finds_nothing_saved() {
    let terms = Terms::default();
    assert!(!Budget::default().try_spend(Moment(0), &terms, 16));
}

/// A process that was paused holds reports and shares that have run out meanwhile: it must not send
/// on the strength of them.
#[test]
fn resume_sends_nothing_on_what_was_known_before() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    harness.place("/read/1").expect("an upstream");
    harness.now = harness.now + Span::seconds(3);
    harness.send_input(Input::Resumed);
    harness.request("/read/2");
    assert!(harness.take_sends().is_empty(), "a report from before the pause was used");
    harness.answer_probes_idle();
    assert_eq!(harness.take_sends().len(), 1);
}

#[test]
fn resume_sends_nothing_to_a_cold_upstream_for_a_window() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    let place = |harness: &mut Harness| {
        harness.outputs.clear();
        harness.request("/read/1");
        harness.answer_probes(|_| cold_start());
        harness.take_sends().len()
    };
    assert_eq!(place(&mut harness), 1, "a cold upstream gets this node's share");
    harness.now = harness.now + Span::seconds(3);
    harness.send_input(Input::Resumed);
    for _ in 0..10 {
        assert_eq!(place(&mut harness), 0);
        harness.run(Span::millis(100));
    }
    harness.run(Span::millis(200));
    assert_eq!(place(&mut harness), 1);
}
