//! Tests of requests that crash upstreams, and of upstreams that stop responding.

mod common;

use base::prelude::*;
use common::{Answer, End, Fleet, config};
use policy::call::Refusal;

const TIMEOUT: Span = Span::millis(900);
const CALL_INTERVAL: Span = Span::millis(10);

fn warm_fleet(entries: usize, upstreams: u16) -> Fleet {
    let mut fleet = Fleet::new(entries, config(upstreams, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.load(Span::seconds(4), CALL_INTERVAL, TIMEOUT);
    fleet
}

#[test]
fn harmful_request_breaks_few_upstreams() {
    let mut fleet = warm_fleet(4, 8);
    fleet.poison = Some(666);
    let mut tokens = Vec::new();
    for round in 0..40 {
        tokens.push(fleet.call_digest(round % 4, true, TIMEOUT, 666));
        fleet.load(Span::millis(100), CALL_INTERVAL, TIMEOUT);
    }
    assert!(fleet.poisoned <= 3, "it crashed {} upstreams", fleet.poisoned);
    let refused =
        |token: &&u64| matches!(fleet.ends.get(*token), Some(End::Refused(Refusal::Harmful, _)));
    assert!(tokens.iter().filter(refused).count() >= 36);
    // No other request is refused because of it.
    let others = fleet.count(|end| matches!(end, End::Refused(Refusal::Harmful, _)));
    assert_eq!(others, tokens.iter().filter(refused).count());
}

#[test]
fn harmless_request_is_cleared_by_an_answer() {
    let mut fleet = warm_fleet(2, 4);
    for name in ["u0", "u1", "u2", "u3"] {
        fleet.upstreams.get_mut(name).expect("an upstream").answer = Answer::Breaks;
    }
    // The request is in flight by chance while the upstreams break for other reasons.
    fleet.call_digest(0, false, TIMEOUT, 5);
    fleet.run(Span::seconds(1));
    for upstream in fleet.upstreams.values_mut() {
        upstream.answer = Answer::Good;
    }
    let first = fleet.call_digest(1, false, TIMEOUT, 5);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.ends[&first], End::Answered);
    fleet.load(Span::seconds(2), CALL_INTERVAL, TIMEOUT);
    let again = fleet.call_digest(0, false, TIMEOUT, 5);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.ends[&again], End::Answered);
}

#[test]
fn silent_upstream_is_left_for_another() {
    let mut fleet = warm_fleet(2, 4);
    fleet.upstreams.get_mut("u0").expect("u0").answer = Answer::Silent;
    let before = fleet.answered();
    fleet.load(Span::seconds(3), CALL_INTERVAL, TIMEOUT);
    fleet.run(Span::seconds(1));
    let refused = fleet.count(|end| matches!(end, End::Refused(..)));
    assert_eq!(fleet.answered() - before + refused, 600);
    // The retry budget limits how many calls can be retried; missed deadlines then exclude the
    // upstream.
    assert!(refused <= 30, "{refused}");
    let late = fleet.upstreams["u0"].sent;
    fleet.load(Span::seconds(3), CALL_INTERVAL, TIMEOUT);
    let more = fleet.upstreams["u0"].sent - late;
    assert!(more < 30, "{more} further calls to the silent upstream");
}
