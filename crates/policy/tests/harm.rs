//! Tests of requests that crash upstreams, and of upstreams that stop responding.

mod common;

use base::prelude::*;
use common::{Behavior, Completion, Fleet, config};
use policy::call::Refusal;

const TIMEOUT: Span = Span::millis(900);
const CALL_INTERVAL: Span = Span::millis(10);

fn warm_fleet(entries: usize, upstreams: u16) -> Fleet {
    let mut fleet = Fleet::new(entries, config(upstreams, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.run_with_load(Span::seconds(4), CALL_INTERVAL, TIMEOUT);
    fleet
}

#[test]
fn harmful_request_crashes_few_upstreams() {
    let mut fleet = warm_fleet(4, 8);
    fleet.poison_digest = Some(666);
    let mut tokens = Vec::new();
    for round in 0..40 {
        tokens.push(fleet.call_with_digest(round % 4, true, TIMEOUT, 666));
        fleet.run_with_load(Span::millis(100), CALL_INTERVAL, TIMEOUT);
    }
    assert!(fleet.broken_by_poison <= 3, "it crashed {} upstreams", fleet.broken_by_poison);
    let refused = |token: &&u64| {
        matches!(fleet.completions.get(*token), Some(Completion::Refused(Refusal::Harmful, _)))
    };
    assert!(tokens.iter().filter(refused).count() >= 36);
    // No other request is refused because of it.
    let others = fleet.count_completions(|completion| {
        matches!(completion, Completion::Refused(Refusal::Harmful, _))
    });
    assert_eq!(others, tokens.iter().filter(refused).count());
}

#[test]
fn harmless_request_is_cleared_by_a_response() {
    let mut fleet = warm_fleet(2, 4);
    for name in ["u0", "u1", "u2", "u3"] {
        fleet.upstreams.get_mut(name).expect("an upstream").behavior = Behavior::Breaks;
    }
    // The request is in flight by chance while the upstreams break for other reasons.
    fleet.call_with_digest(0, false, TIMEOUT, 5);
    fleet.run(Span::seconds(1));
    for upstream in fleet.upstreams.values_mut() {
        upstream.behavior = Behavior::Succeeds;
    }
    let first = fleet.call_with_digest(1, false, TIMEOUT, 5);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.completions[&first], Completion::Answered);
    fleet.run_with_load(Span::seconds(2), CALL_INTERVAL, TIMEOUT);
    let again = fleet.call_with_digest(0, false, TIMEOUT, 5);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.completions[&again], Completion::Answered);
}

#[test]
fn silent_upstream_is_avoided() {
    let mut fleet = warm_fleet(2, 4);
    fleet.upstreams.get_mut("u0").expect("u0").behavior = Behavior::Hangs;
    let before = fleet.answered();
    fleet.run_with_load(Span::seconds(3), CALL_INTERVAL, TIMEOUT);
    fleet.run(Span::seconds(1));
    let refused =
        fleet.count_completions(|completion| matches!(completion, Completion::Refused(..)));
    assert_eq!(fleet.answered() - before + refused, 600);
    // The retry budget limits how many calls can be retried; missed deadlines then exclude the
    // upstream.
    assert!(refused <= 30, "{refused}");
    let sent_before = fleet.upstreams["u0"].sent;
    fleet.run_with_load(Span::seconds(3), CALL_INTERVAL, TIMEOUT);
    let sent_since = fleet.upstreams["u0"].sent - sent_before;
    assert!(sent_since < 30, "{sent_since} further calls to the silent upstream");
}
