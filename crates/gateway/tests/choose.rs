//! Tests of the choice of upstreams: slow neighbours, full upstreams, failure domains, cold starts.

mod common;

use base::prelude::*;
use common::{World, cold_start, healthy, upstream};
use gateway::engine::{Health, Input, Output, Refusal};
use gateway::exchange::Event;
use model::registry::{Fact, Kind, State};

fn two_domains() -> Vec<model::registry::Upstream> {
    vec![upstream("e1", "east"), upstream("e2", "east"), upstream("w1", "west")]
}

#[test]
fn place_probes_before_it_sends() {
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    assert!(world.take_sends().is_empty(), "no upstream is known to be healthy");
    let probes =
        world.outputs.iter().filter(|output| matches!(output, Output::Probe { .. })).count();
    assert_eq!(probes, 2, "only upstreams of the own domain");
    world.answer_probes_idle();
    assert_eq!(world.take_sends().len(), 1);
}

#[test]
fn place_stays_in_its_domain() {
    let mut world = World::new(&two_domains());
    for _ in 0..6 {
        let (exchange, id) = world.place("/read/1").expect("an upstream");
        assert!(id.starts_with('e'), "{id}");
        world.exchange_event(exchange, Event::Sent);
        world.exchange_event(exchange, Event::Answered);
        world.run(Span::millis(300));
    }
}

/// At any time a quarter of the machines is four times slower, and every 300 ms it is another one.
#[test]
fn place_avoids_slow_neighbours() {
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    world.answer_probes(|id| healthy(0, if id == "e1" { 4.0 } else { 1.0 }));
    assert_eq!(world.take_sends()[0].1, "e2");
}

/// After a restart the upstreams of the own domain may be full and slow to respond to health
/// checks, while those of other domains are idle but not known yet. Requests must not be refused
/// then.
#[test]
fn place_probes_others_when_its_domain_is_silent() {
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    for _ in 0..8 {
        world.answer_some_probes(|id| id.starts_with('w').then(|| healthy(0, 1.0)));
        world.now = world.now + Span::millis(5);
        world.send_input(Input::Wake);
    }
    let sends = world.take_sends();
    assert_eq!(world.refusals(), []);
    assert_eq!(sends.first().map(|send| send.1.as_str()), Some("w1"));
}

/// The load report of a slow upstream is stale and its health check gets no response in time. The
/// upstream may have recovered, but that is no reason to send there.
#[test]
fn place_treats_a_stale_report_as_average() {
    let mut world = World::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    for _ in 0..8 {
        world.request("/read/1");
        world.answer_probes(|id| if id == "e1" { healthy(0, 12.0) } else { healthy(1, 1.0) });
        for (exchange, _) in world.take_sends() {
            world.exchange_event(exchange, Event::Sent);
            world.exchange_event(exchange, Event::Answered);
        }
        world.run(Span::millis(300));
    }
    world.request("/read/1");
    for _ in 0..4 {
        world.now = world.now + Span::millis(16);
        world.send_input(Input::Wake);
    }
    assert_eq!(world.take_sends()[0].1, "e2");
}

#[test]
fn place_leaves_its_domain_when_that_is_slow() {
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    world.answer_probes(|id| healthy(0, if id.starts_with('e') { 4.0 } else { 1.0 }));
    assert_eq!(world.take_sends()[0].1, "w1");
}

/// With too few upstreams a queue would make every response late. Requests without room are refused
/// at once instead.
#[test]
fn place_refuses_at_once_when_all_are_full() {
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    world.answer_probes(|_| healthy(9, 1.0));
    assert!(world.take_sends().is_empty());
    assert_eq!(world.refusals(), [Refusal::Full]);
}

/// The last slots of an upstream are for urgent requests, as long as their own responses come in
/// time.
#[test]
fn place_keeps_the_last_slots_for_urgent_requests() {
    let nearly_full = |_: &str| healthy(3, 1.4);
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    world.answer_probes(nearly_full);
    assert_eq!(world.refusals(), [Refusal::Full]);
    world.request("/write/1");
    world.answer_probes(nearly_full);
    assert_eq!(world.take_sends().len(), 1);
}

/// A full upstream lets a new connection wait for a slot, which makes the health check time out. It
/// must not be taken for unreachable.
#[test]
fn on_probe_result_timed_out_means_full() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let (exchange, _) = world.place("/read/1").expect("an upstream");
    world.exchange_event(exchange, Event::Sent);
    world.exchange_event(exchange, Event::Answered);
    world.run(Span::millis(200));
    world.request("/read/2");
    world.answer_probes(|_| Health::TimedOut);
    assert_eq!(world.refusals(), [Refusal::Full]);
    world.run(Span::millis(600));
    assert!(world.place("/read/3").is_some(), "its health is checked again");
}

#[test]
fn place_sends_little_to_cold_upstreams() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let mut sent = 0;
    for _ in 0..100 {
        world.request("/read/1");
        world.answer_probes(|_| cold_start());
        sent += world.take_sends().len();
        world.now = world.now + Span::millis(10);
        world.send_input(Input::Wake);
        sent += world.take_sends().len();
    }
    assert!((1..=15).contains(&sent), "{sent} requests within a second");
}

#[test]
fn place_sends_nothing_cold_to_other_domains() {
    let mut world = World::new(&[upstream("w1", "west")]);
    world.request("/read/1");
    world.answer_probes(|_| cold_start());
    assert!(world.take_sends().is_empty());
}

#[test]
fn place_sends_nothing_to_draining_upstreams() {
    let mut world = World::new(&two_domains());
    let draining = model::registry::Upstream { state: State::Draining, ..upstream("e1", "east") };
    world.apply_facts(Kind::Upstreams, vec![("e1", Some(Fact::Upstream(draining)))]);
    for _ in 0..4 {
        let (exchange, id) = world.place("/read/1").expect("an upstream");
        assert_ne!(id, "e1");
        world.exchange_event(exchange, Event::Answered);
        world.run(Span::millis(200));
    }
}

#[test]
fn place_sends_nothing_to_withdrawn_domains() {
    let mut world = World::new(&two_domains());
    world.apply_facts(Kind::Withdrawals, vec![("east", Some(Fact::Withdrawal))]);
    assert_eq!(world.place("/read/1").expect("an upstream").1, "w1");
    world.apply_facts(Kind::Withdrawals, vec![("east", None)]);
    // Its upstreams may have restarted meanwhile and need a health check first.
    world.request("/read/2");
    world.answer_probes(|id| if id == "w1" { healthy(9, 1.0) } else { cold_start() });
    assert!(world.take_sends().iter().all(|(_, id)| id.starts_with('e')));
}

#[test]
fn place_waits_no_longer_than_its_probes() {
    let mut world = World::new(&two_domains());
    world.request("/read/1");
    let wake = world.engine.next_wake().expect("the call waits for health checks");
    assert!(wake.since(world.now) <= Span::millis(60));
    for _ in 0..20 {
        world.now = world.now + Span::millis(20);
        world.send_input(Input::Wake);
    }
    assert_eq!(world.refusals().len(), 1, "refused after health checks without response");
}

#[test]
fn hedge_uses_only_idle_upstreams() {
    for (others, hedged) in [(0, 1), (3, 0)] {
        let mut world = World::new(&two_domains());
        world.earn_retries();
        world.request("/read/2");
        world.answer_probes(|id| healthy(if id == "e1" { 0 } else { others }, 1.0));
        let (exchange, _) = world.take_sends().pop().expect("an upstream");
        world.exchange_event(exchange, Event::Sent);
        let call = world.engine.call_of(exchange).expect("in progress");
        world.send_input(Input::HedgeDue(call));
        assert_eq!(world.take_sends().len(), hedged, "{others} requests at the other upstreams");
    }
}
