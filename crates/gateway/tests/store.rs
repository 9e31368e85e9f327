//! Tests of facts and outages of the store, and their effect on upstreams and tables.

mod common;

use base::prelude::*;
use common::{Harness, table, upstream};
use gateway::engine::Refusal;
use gateway::exchange::Event;
use gateway::message::{Confirmation, Frame, Heartbeat};
use gateway::peer::Standing;
use model::registry::{Fact, Kind};
use model::table::Table;

#[test]
fn on_facts_removed_upstream_gets_no_requests() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    assert!(harness.place("/read/1").is_some());
    harness.apply_facts(Kind::Upstreams, vec![("e1", None)]);
    assert!(harness.place("/read/2").is_none());
    assert_eq!(harness.refusals(), [Refusal::NoUpstream]);
}

/// Entries expire during an outage of the store, since upstreams cannot renew them, and return
/// within two seconds of its end. They must not be removed before.
#[test]
fn on_facts_removal_after_outage_waits_for_its_grace_time() {
    let mut harness = Harness::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    harness.apply_batch(Kind::Upstreams, vec![("e1", None), ("e2", None)], true);
    let (exchange, _) = harness.place("/read/1").expect("an expired entry, as it may return");
    harness.exchange_event(exchange, Event::Sent);
    harness.exchange_event(exchange, Event::Answered);
    harness
        .apply_facts(Kind::Upstreams, vec![("e2", Some(Fact::Upstream(upstream("e2", "east"))))]);
    harness.run(Span::millis(2_400));
    for _ in 0..4 {
        assert_eq!(harness.place("/read/2").expect("an upstream").1, "e2");
        harness.run(Span::millis(200));
    }
}

/// If other nodes reached the store throughout, upstreams could renew their entries: those that
/// are gone will not return, and a node that was partitioned must not wait for them.
#[test]
fn end_removal_grace_if_others_reached_the_store() {
    for (reachable_for, kept) in [(Span::seconds(1), true), (Span::seconds(9), false)] {
        let mut harness = Harness::new(&[upstream("e1", "east")]);
        let other = common::member("other", "east", 2);
        let revision = harness.engine.revision(Kind::Upstreams) + 1;
        harness.apply_batch(Kind::Upstreams, vec![("e1", None)], true);
        let age = Span::millis(100);
        let confirmation = Confirmation {
            kind: Kind::Upstreams,
            revision,
            changed_revision: revision,
            age,
            reachable_for,
        };
        let heartbeat = Heartbeat {
            process: 3,
            incarnation: 1,
            standing: Standing::Ready,
            expects_reply: true,
            domains: Vec::new(),
            confirmations: vec![confirmation],
            trials: Vec::new(),
        };
        let from = other.ident();
        let frame = Frame::Join { member: other, heartbeat };
        harness.send_input(gateway::Input::Peer { from, frame });
        assert_eq!(harness.place("/read/1").is_some(), kept, "reachable for {reachable_for:?}");
    }
}

#[test]
fn on_facts_restarted_upstream_is_a_new_one() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    let (exchange, _) = harness.place("/read/1").expect("an upstream");
    let restarted = model::registry::Upstream { started_ms: 2, ..upstream("e1", "east") };
    harness.apply_facts(Kind::Upstreams, vec![("e1", Some(Fact::Upstream(restarted)))]);
    harness.request("/read/2");
    assert!(harness.take_sends().is_empty(), "the new process has to answer a health check first");
    assert!(
        harness.engine.call_of(exchange).is_some(),
        "the exchange with the old process stays in progress"
    );
}

#[test]
fn apply_table_ignores_an_older_version() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    let newer = Table { version: 9, ..table() };
    harness.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(newer)))]);
    let older = Table { version: 4, routes: Vec::new(), ..table() };
    harness.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(older)))]);
    assert_eq!(harness.engine.dump(harness.now).table, 9);
    assert!(harness.place("/read/1").is_some());
}

/// A new table that arrives while a call waits for health checks must not remove the call's route.
#[test]
fn apply_table_keeps_the_route_of_a_waiting_call() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    harness.request("/read/1");
    let newer = Table { version: 9, ..table() };
    harness.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(newer)))]);
    harness.answer_probes_idle();
    assert_eq!(harness.take_sends().len(), 1, "{:?}", harness.refusals());
}

#[test]
fn admit_without_a_table_is_refused() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    let charts = gateway::Charts::load().expect("charts fit");
    let own = common::member("me", "east", 1);
    harness.engine = gateway::Engine::new(charts, own, Default::default(), 1, harness.now);
    harness.request("/read/1");
    assert_eq!(harness.refusals(), [Refusal::NoTable]);
    assert!(!harness.engine.is_ready());
}

#[test]
fn find_takes_the_longest_prefix() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    harness.request("/nothing/1");
    assert_eq!(harness.refusals(), [Refusal::NoRoute]);
    assert!(harness.place("/read/a/b?c=d").is_some());
}

#[test]
fn choose_service_follows_the_weights() {
    let mut routes = gateway::route::Routes::default();
    let mut all = table();
    let part = |service: &str, weight| model::table::Part { service: service.into(), weight };
    all.routes[0].parts = vec![part("a", 90.0), part("b", 10.0)];
    let mut keys = slotmap::SlotMap::<key::Service, &str>::with_key();
    let (a, b) = (keys.insert("a"), keys.insert("b"));
    routes.apply_table(&all, |name| if name == "a" { a } else { b });
    let key = routes.find(common::HOST, "/read/1").expect("a route");
    let chosen: Vec<_> = (0..200).filter_map(|_| routes.choose_service(key)).collect();
    assert_eq!(chosen.iter().filter(|service| **service == b).count(), 20);
}
