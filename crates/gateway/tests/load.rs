//! Simulations of load patterns: which share of requests gets a response within the target.

mod common;

use base::prelude::*;
use common::load::{Results, Simulation};
use common::{Harness, upstream};
use gateway::exchange::Event;

/// Request rate, per second.
const RATE: u64 = 100;
const DURATION: Span = Span::seconds(20);
const WARM_UP: Span = Span::seconds(4);

fn nine_upstreams() -> Harness {
    let upstreams = (0..9).map(|number| upstream(&format!("e{number}"), "east"));
    Harness::new(&upstreams.collect::<Vec<_>>())
}

/// Returns the share of all requests that got a response within their target.
fn share_in_target(results: &Results) -> f64 {
    results.in_target as f64 / (results.in_target + results.late + results.unserved) as f64
}

#[test]
fn run_calm_load_is_served_in_time() {
    let results = Simulation::new(nine_upstreams(), |_: &str, number, _| {
        (Span::millis(55 + number % 20), Event::Answered)
    });
    let results = results.run(RATE, DURATION, WARM_UP);
    assert!(share_in_target(&results) > 0.99, "{results:?}");
}

/// Every upstream refuses half of its requests at once, although it is not full.
#[test]
fn run_random_shedding_is_retried_in_time() {
    let results = Simulation::new(nine_upstreams(), |_: &str, number: u64, _| {
        if base::hash::mix(number).is_multiple_of(2) {
            return (Span::millis(2), Event::Refused);
        }
        (Span::millis(55 + number % 20), Event::Answered)
    });
    let results = results.run(RATE, DURATION, WARM_UP);
    println!("{results:?}");
    assert!(share_in_target(&results) > 0.82, "{results:?}");
}
