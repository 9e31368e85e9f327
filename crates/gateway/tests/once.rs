//! Tests that a request which must not run twice is retried only if it certainly has not run.

mod common;

use base::derive::Symbol;
use common::{Harness, upstream};
use gateway::engine::{Input, Outcome, Output};
use gateway::exchange::Event;

/// Events after which the request may have run.
const MAY_HAVE_RUN: [Event; 4] = [Event::Answered, Event::Failed, Event::Broken, Event::Late];

/// Applies a sequence of events, each to the newest exchange. Returns the number of exchanges that
/// may have run and the outcomes reported to the caller.
fn run_events(path: &str, events: &[Event]) -> (u32, Vec<Outcome>) {
    let upstreams = ["e1", "e2", "e3", "e4"].map(|id| upstream(id, "east"));
    let mut harness = Harness::new(&upstreams);
    harness.earn_retries();
    let mut newest = harness.place(path).map(|(exchange, _)| exchange);
    let mut ran = 0;
    for event in events {
        let Some(exchange) = newest else { break };
        let live = harness.engine.call_of(exchange).is_some();
        harness.exchange_event(exchange, Event::Sent);
        harness.exchange_event(exchange, *event);
        ran += u32::from(live && MAY_HAVE_RUN.contains(event));
        harness.answer_probes_idle();
        newest = harness.take_sends().pop().map(|(exchange, _)| exchange);
    }
    let outcome = |output: &Output| match output {
        Output::Refuse { rejection, .. } => Some(rejection.outcome),
        _ => None,
    };
    let outcomes = harness.outputs.iter().filter_map(outcome).collect();
    (ran, outcomes)
}

#[test]
fn exchange_not_idempotent_runs_at_most_once() {
    for first in Event::ALL {
        for second in Event::ALL {
            for third in Event::ALL {
                let (ran, outcomes) = run_events("/write/1", &[*first, *second, *third]);
                assert!(ran <= 1, "{first:?} {second:?} {third:?}: {ran}");
                let reported_not_run = outcomes.contains(&Outcome::NotRun);
                assert!(!(reported_not_run && ran > 0), "{first:?} {second:?} {third:?}");
            }
        }
    }
}

#[test]
fn exchange_idempotent_is_retried() {
    let upstreams = ["e1", "e2", "e3"].map(|id| upstream(id, "east"));
    let mut harness = Harness::new(&upstreams);
    harness.earn_retries();
    let (exchange, first) = harness.place("/read/x").expect("an upstream");
    harness.exchange_event(exchange, Event::Sent);
    harness.exchange_event(exchange, Event::Broken);
    harness.answer_probes_idle();
    let (_, second) = harness.take_sends().pop().expect("another upstream");
    assert_ne!(first, second);
}

#[test]
fn on_deadline_reports_whether_it_may_have_run() {
    for (sent, outcome) in [(true, Outcome::Unknown), (false, Outcome::NotRun)] {
        let mut harness = Harness::new(&[upstream("e1", "east")]);
        let (exchange, _) = harness.place("/write/1").expect("an upstream");
        let call = harness.engine.call_of(exchange).expect("in progress");
        if sent {
            harness.exchange_event(exchange, Event::Sent);
        }
        harness.send_input(Input::DeadlinePassed(call));
        let reported = harness.outputs.iter().find_map(|output| match output {
            Output::Refuse { rejection, .. } => Some(rejection.outcome),
            _ => None,
        });
        assert_eq!(reported, Some(outcome));
    }
}
