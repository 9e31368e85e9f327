//! Tests of upstreams that leave and of failure domains that go and come back.

mod common;

use base::prelude::*;
use common::{Answer, End, Fleet, config, upstream};
use model::command::Command;
use policy::engine::Input;

/// Time after which nothing new may go to what is known to leave: rounds of gossip, not seconds.
const GRACE: Span = Span::millis(1_500);
/// The same for what says so itself, which is heard by its next answer or its owner's question.
const SIGNAL_GRACE: Span = Span::millis(3_000);
const GAP: Span = Span::millis(5);
const PATIENCE: Span = Span::millis(500);

fn warm_fleet() -> Fleet {
    let mut fleet = Fleet::new(4, config(6, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    fleet
}

fn sent(fleet: &Fleet, names: &[&str]) -> u64 {
    names.iter().map(|name| fleet.upstreams[*name].sent).sum()
}

fn refused(fleet: &Fleet) -> usize {
    fleet.count(|end| matches!(end, End::Refused(..)))
}

#[test]
fn drain_signal_stops_new_work_everywhere() {
    let mut fleet = warm_fleet();
    fleet.upstreams.get_mut("u1").expect("u1").draining = true;
    fleet.load(SIGNAL_GRACE, GAP, PATIENCE);
    let before = sent(&fleet, &["u1"]);
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    assert_eq!(sent(&fleet, &["u1"]), before);
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn drain_signal_of_a_quiet_upstream_is_found() {
    let mut fleet = warm_fleet();
    fleet.run(Span::seconds(10));
    for upstream in fleet.upstreams.values_mut() {
        upstream.draining = true;
    }
    // No call goes anywhere, and yet every entry knows after a few seconds.
    fleet.run(SIGNAL_GRACE);
    let before = sent(&fleet, &["u0", "u1", "u2", "u3", "u4", "u5"]);
    fleet.load(Span::millis(100), GAP, Span::millis(50));
    assert_eq!(sent(&fleet, &["u0", "u1", "u2", "u3", "u4", "u5"]), before);
}

#[test]
fn measuring_stays_within_its_budget() {
    let mut fleet = Fleet::new(4, config(6, 4, 1));
    fleet.run(Span::seconds(30));
    let probes = |fleet: &Fleet| fleet.upstreams.values().map(|one| one.probes).sum::<u64>();
    let before = probes(&fleet);
    fleet.kill(1);
    fleet.add();
    fleet.run(Span::seconds(40));
    // One for each upstream in the time that an owner waits, over all entries.
    let most = 6 * 40 * 1_000 / policy::engine::PROBE_AFTER.as_millis();
    let made = probes(&fleet) - before;
    assert!(made <= most, "{made} of {most}");
    assert!(made > most / 3, "{made} of {most}");
    // Answers to calls make measuring needless.
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    let before = probes(&fleet);
    fleet.load(Span::seconds(10), GAP, PATIENCE);
    assert!(probes(&fleet) - before <= 6 * 5, "{}", probes(&fleet) - before);
}

#[test]
fn platform_list_stops_new_work_everywhere() {
    let mut fleet = warm_fleet();
    fleet.feed(2, Input::Leaving(vec![([127, 0, 0, 1], 9_001).into()]));
    fleet.load(GRACE, GAP, PATIENCE);
    let before = sent(&fleet, &["u1"]);
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    assert_eq!(sent(&fleet, &["u1"]), before);
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn domain_goes_and_comes_back_twice() {
    let inside = ["u1", "u3", "u5"];
    let mut fleet = warm_fleet();
    let first = sent(&fleet, &inside);
    for _ in 0..2 {
        fleet.order_all(Command::WithdrawDomain { domain: "d2".into(), duration_ms: None });
        fleet.load(Span::seconds(1), GAP, PATIENCE);
        let before = sent(&fleet, &inside);
        fleet.load(Span::seconds(8), GAP, PATIENCE);
        assert_eq!(sent(&fleet, &inside), before, "nothing goes there while it is out");
        for name in inside {
            fleet.upstreams.get_mut(name).expect("an upstream").peak = 0;
        }
        fleet.order_all(Command::RestoreDomain { domain: "d2".into() });
        // The return starts from the cold bound.
        fleet.run(Span::millis(20));
        fleet.load(Span::millis(30), GAP, PATIENCE);
        for name in inside {
            assert!(fleet.upstreams[name].peak <= 1, "{name}: {}", fleet.upstreams[name].peak);
        }
        fleet.load(Span::seconds(8), GAP, PATIENCE);
    }
    assert!(sent(&fleet, &inside) > first);
    for engine in fleet.entries.iter().flatten() {
        let dump = engine.dump(policy::Now { at: fleet.now, unix_ms: 0 });
        for name in inside {
            assert_eq!(dump.upstreams[name].state, policy::upstream::State::Warm, "{name}");
        }
    }
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn domain_out_ends_with_its_term() {
    let mut fleet = warm_fleet();
    fleet.order_all(Command::WithdrawDomain { domain: "d2".into(), duration_ms: Some(3_000) });
    fleet.load(Span::seconds(2), GAP, PATIENCE);
    let before = sent(&fleet, &["u1", "u3", "u5"]);
    fleet.load(Span::millis(900), GAP, PATIENCE);
    assert_eq!(sent(&fleet, &["u1", "u3", "u5"]), before);
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    assert!(sent(&fleet, &["u1", "u3", "u5"]) > before);
}

#[test]
fn domain_out_while_the_other_is_out_waits() {
    let mut fleet = warm_fleet();
    fleet.order_all(Command::WithdrawDomain { domain: "d1".into(), duration_ms: None });
    fleet.order_all(Command::WithdrawDomain { domain: "d2".into(), duration_ms: None });
    let answered = fleet.answered();
    let token = fleet.call(0, true, PATIENCE);
    fleet.run(Span::millis(200));
    // With nothing left the call waits, and the first domain that returns takes it.
    assert!(!fleet.ends.contains_key(&token));
    fleet.order_all(Command::RestoreDomain { domain: "d1".into() });
    fleet.run(Span::millis(280));
    assert_eq!(fleet.ends.get(&token), Some(&End::Answered));
    assert!(fleet.answered() > answered);
}

#[test]
fn refused_connections_keep_calls_away() {
    let mut fleet = warm_fleet();
    fleet.upstreams.get_mut("u0").expect("u0").answer = Answer::Refuses;
    fleet.load(Span::seconds(3), GAP, PATIENCE);
    // It restarts cold: the owner alone lets it have one call at a time at first.
    let restarted = fleet.upstreams.get_mut("u0").expect("u0");
    restarted.answer = Answer::Good;
    restarted.cold = true;
    restarted.peak = 0;
    fleet.load(Span::seconds(12), GAP, PATIENCE);
    assert_eq!(fleet.upstreams["u0"].peak, 1);
    assert!(fleet.upstreams["u0"].last_sent + Span::seconds(1) > fleet.now, "it is tried");
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn new_upstream_starts_cold() {
    let mut fleet = warm_fleet();
    fleet.order_all(upstream(6, "v1"));
    let cold = common::Upstream { cold: true, ..common::Upstream::default() };
    fleet.upstreams.insert("u6".into(), cold);
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    assert_eq!(fleet.upstreams["u6"].peak, 1);
    assert!(fleet.upstreams["u6"].sent > 10);
}
