//! Tests of loads, each named by its pattern: who is answered in time, who waits, who is refused.

mod common;

use base::prelude::*;
use common::load::{Load, Served};
use common::{World, upstream};
use gateway::exchange::Event;

/// Requests a second.
const RATE: u64 = 100;
const TIME: Span = Span::seconds(20);
const WARM: Span = Span::seconds(4);

fn nine() -> World {
    let all = (0..9).map(|number| upstream(&format!("e{number}"), "east"));
    World::new(&all.collect::<Vec<_>>())
}

/// Returns the part of all requests that were answered within their target.
fn in_target(served: &Served) -> f64 {
    served.in_target as f64 / (served.in_target + served.late + served.unserved) as f64
}

#[test]
fn load_calm_is_served_in_time() {
    let served =
        Load::new(nine(), |_: &str, number, _| (Span::millis(55 + number % 20), Event::Answered));
    let served = served.run(RATE, TIME, WARM);
    assert!(in_target(&served) > 0.99, "{served:?}");
}

/// Every upstream turns half of its requests away at once, though none of them is full.
#[test]
fn load_shed_by_chance_comes_back_in_time() {
    let served = Load::new(nine(), |_: &str, number: u64, _| {
        if base::hash::mix(number).is_multiple_of(2) {
            return (Span::millis(2), Event::Refused);
        }
        (Span::millis(55 + number % 20), Event::Answered)
    });
    let served = served.run(RATE, TIME, WARM);
    println!("{served:?}");
    assert!(in_target(&served) > 0.82, "{served:?}");
}
