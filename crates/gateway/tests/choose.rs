//! Tests of the choice of upstreams: slow neighbours, full upstreams, failure domains, cold starts.

mod common;

use base::prelude::*;
use common::{Harness, cold_start, healthy, upstream};
use gateway::engine::{Health, Input, Output, Refusal};
use gateway::exchange::Event;
use model::registry::{Fact, Kind, State};

fn two_domains() -> Vec<model::registry::Upstream> {
    vec![upstream("e1", "east"), upstream("e2", "east"), upstream("w1", "west")]
}

#[test]
fn place_probes_before_it_sends() {
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    assert!(harness.take_sends().is_empty(), "no upstream is known to be healthy");
    let probes =
        harness.outputs.iter().filter(|output| matches!(output, Output::Probe { .. })).count();
    assert_eq!(probes, 2, "only upstreams of the own domain");
    harness.answer_probes_idle();
    assert_eq!(harness.take_sends().len(), 1);
}

/// The body of a request takes longer to arrive than health checks may take. The time before its end
/// is no reason to refuse the request without a health check.
#[test]
fn place_probes_after_a_slow_body() {
    let mut harness = Harness::new(&two_domains());
    harness.request_with_body("/read/1", Span::millis(300));
    harness.answer_probes_idle();
    assert_eq!(harness.refusals(), []);
    assert_eq!(harness.take_sends().len(), 1);
}

#[test]
fn place_stays_in_its_domain() {
    let mut harness = Harness::new(&two_domains());
    for _ in 0..6 {
        let (exchange, id) = harness.place("/read/1").expect("an upstream");
        assert!(id.starts_with('e'), "{id}");
        harness.exchange_event(exchange, Event::Sent);
        harness.exchange_event(exchange, Event::Answered);
        harness.run(Span::millis(300));
    }
}

/// At any time a quarter of the machines is four times slower, and every 300 ms it is another one.
#[test]
fn place_avoids_slow_neighbours() {
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    harness.answer_probes(|id| healthy(0, if id == "e1" { 4.0 } else { 1.0 }));
    assert_eq!(harness.take_sends()[0].1, "e2");
}

/// After a restart the upstreams of the own domain may be full and slow to respond to health
/// checks, while those of other domains are idle but not known yet. Requests must not be refused
/// then.
#[test]
fn place_probes_others_when_its_domain_is_silent() {
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    for _ in 0..8 {
        harness.answer_some_probes(|id| id.starts_with('w').then(|| healthy(0, 1.0)));
        harness.now = harness.now + Span::millis(5);
        harness.send_input(Input::Wake);
    }
    let sends = harness.take_sends();
    assert_eq!(harness.refusals(), []);
    assert_eq!(sends.first().map(|send| send.1.as_str()), Some("w1"));
}

/// The load report of a slow upstream is stale and its health check gets no response in time. The
/// upstream may have recovered, but that is no reason to send there.
#[test]
fn place_treats_a_stale_report_as_average() {
    let mut harness = Harness::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    for _ in 0..8 {
        harness.request("/read/1");
        harness.answer_probes(|id| if id == "e1" { healthy(0, 12.0) } else { healthy(1, 1.0) });
        for (exchange, _) in harness.take_sends() {
            harness.exchange_event(exchange, Event::Sent);
            harness.exchange_event(exchange, Event::Answered);
        }
        harness.run(Span::millis(300));
    }
    harness.request("/read/1");
    for _ in 0..4 {
        harness.now = harness.now + Span::millis(16);
        harness.send_input(Input::Wake);
    }
    assert_eq!(harness.take_sends()[0].1, "e2");
}

#[test]
fn place_leaves_its_domain_when_that_is_slow() {
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    harness.answer_probes(|id| healthy(0, if id.starts_with('e') { 4.0 } else { 1.0 }));
    assert_eq!(harness.take_sends()[0].1, "w1");
}

/// With too few upstreams a queue would make every response late. Requests without room are refused
/// at once instead.
#[test]
fn place_refuses_at_once_when_all_are_full() {
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    harness.answer_probes(|_| healthy(9, 1.0));
    assert!(harness.take_sends().is_empty());
    assert_eq!(harness.refusals(), [Refusal::Full]);
}

/// The last slots of an upstream are for urgent requests, as long as their own responses come in
/// time.
#[test]
fn place_keeps_the_last_slots_for_urgent_requests() {
    let nearly_full = |_: &str| healthy(3, 1.4);
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    harness.answer_probes(nearly_full);
    assert_eq!(harness.refusals(), [Refusal::Full]);
    harness.request("/write/1");
    harness.answer_probes(nearly_full);
    assert_eq!(harness.take_sends().len(), 1);
}

/// A full upstream lets a new connection wait for a slot, which makes the health check time out. It
/// must not be taken for unreachable.
#[test]
fn on_probe_result_timed_out_means_full() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    let (exchange, _) = harness.place("/read/1").expect("an upstream");
    harness.exchange_event(exchange, Event::Sent);
    harness.exchange_event(exchange, Event::Answered);
    harness.run(Span::millis(200));
    harness.request("/read/2");
    harness.answer_probes(|_| Health::TimedOut);
    assert_eq!(harness.refusals(), [Refusal::Full]);
    harness.run(Span::millis(600));
    assert!(harness.place("/read/3").is_some(), "its health is checked again");
}

#[test]
fn place_sends_little_to_cold_upstreams() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    let mut sent = 0;
    for _ in 0..100 {
        harness.request("/read/1");
        harness.answer_probes(|_| cold_start());
        sent += harness.take_sends().len();
        harness.now = harness.now + Span::millis(10);
        harness.send_input(Input::Wake);
        sent += harness.take_sends().len();
    }
    assert!((1..=15).contains(&sent), "{sent} requests within a second");
}

#[test]
fn place_sends_nothing_cold_to_other_domains() {
    let mut harness = Harness::new(&[upstream("w1", "west")]);
    harness.request("/read/1");
    harness.answer_probes(|_| cold_start());
    assert!(harness.take_sends().is_empty());
}

#[test]
fn place_sends_nothing_to_draining_upstreams() {
    let mut harness = Harness::new(&two_domains());
    let draining = model::registry::Upstream { state: State::Draining, ..upstream("e1", "east") };
    harness.apply_facts(Kind::Upstreams, vec![("e1", Some(Fact::Upstream(draining)))]);
    for _ in 0..4 {
        let (exchange, id) = harness.place("/read/1").expect("an upstream");
        assert_ne!(id, "e1");
        harness.exchange_event(exchange, Event::Answered);
        harness.run(Span::millis(200));
    }
}

#[test]
fn place_sends_nothing_to_withdrawn_domains() {
    let mut harness = Harness::new(&two_domains());
    harness.apply_facts(Kind::Withdrawals, vec![("east", Some(Fact::Withdrawal))]);
    assert_eq!(harness.place("/read/1").expect("an upstream").1, "w1");
    harness.apply_facts(Kind::Withdrawals, vec![("east", None)]);
    // Its upstreams may have restarted meanwhile and need a health check first.
    harness.request("/read/2");
    harness.answer_probes(|id| if id == "w1" { healthy(9, 1.0) } else { cold_start() });
    assert!(harness.take_sends().iter().all(|(_, id)| id.starts_with('e')));
}

#[test]
fn place_waits_no_longer_than_its_probes() {
    let mut harness = Harness::new(&two_domains());
    harness.request("/read/1");
    let wake = harness.engine.next_wake().expect("the call waits for health checks");
    assert!(wake.since(harness.now) <= Span::millis(60));
    for _ in 0..20 {
        harness.now = harness.now + Span::millis(20);
        harness.send_input(Input::Wake);
    }
    assert_eq!(harness.refusals().len(), 1, "refused after health checks without response");
}

#[test]
fn hedge_uses_only_idle_upstreams() {
    for (others, hedged) in [(0, 1), (3, 0)] {
        let mut harness = Harness::new(&two_domains());
        harness.earn_retries();
        harness.request("/read/2");
        harness.answer_probes(|id| healthy(if id == "e1" { 0 } else { others }, 1.0));
        let (exchange, _) = harness.take_sends().pop().expect("an upstream");
        harness.exchange_event(exchange, Event::Sent);
        let call = harness.engine.call_of(exchange).expect("in progress");
        harness.send_input(Input::HedgeDue(call));
        assert_eq!(harness.take_sends().len(), hedged, "{others} requests at the other upstreams");
    }
}
