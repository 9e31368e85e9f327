//! Tests of facts and outages of the store, and their effect on upstreams and tables.

mod common;

use base::prelude::*;
use common::{World, table, upstream};
use gateway::engine::Refusal;
use gateway::exchange::Event;
use gateway::message::{Confirmation, Frame, Heartbeat};
use model::registry::{Fact, Kind};
use model::table::Table;

#[test]
fn removed_upstream_gets_no_requests() {
    let mut world = World::new(&[upstream("e1", "east")]);
    assert!(world.place("/read/1").is_some());
    world.apply_facts(Kind::Upstreams, vec![("e1", None)]);
    assert!(world.place("/read/2").is_none());
    assert_eq!(world.refusals(), [Refusal::NoUpstream]);
}

/// Entries expire during an outage of the store, since upstreams cannot renew them, and return
/// within two seconds of its end. They must not be dropped before.
#[test]
fn lapsed_upstream_serves_until_it_should_return() {
    let mut world = World::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    world.apply_batch(Kind::Upstreams, vec![("e1", None), ("e2", None)], true);
    let (exchange, _) = world.place("/read/1").expect("an expired entry, as it may return");
    world.exchange_event(exchange, Event::Sent);
    world.exchange_event(exchange, Event::Answered);
    world.apply_facts(Kind::Upstreams, vec![("e2", Some(Fact::Upstream(upstream("e2", "east"))))]);
    world.run(Span::millis(2_400));
    for _ in 0..4 {
        assert_eq!(world.place("/read/2").expect("a place").1, "e2");
        world.run(Span::millis(200));
    }
}

/// If other nodes reached the store throughout, upstreams could renew their entries: those that
/// are gone will not return, and a node that was partitioned must not wait for them.
#[test]
fn lapsed_upstream_is_dropped_if_others_reached_the_store() {
    for (reachable_for, kept) in [(Span::seconds(1), true), (Span::seconds(9), false)] {
        let mut world = World::new(&[upstream("e1", "east")]);
        let other = common::member("other", "east", 2);
        let revision = world.engine.revision(Kind::Upstreams) + 1;
        world.apply_batch(Kind::Upstreams, vec![("e1", None)], true);
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
            leaving: false,
            ready: true,
            leader: false,
            domains: Vec::new(),
            confirmations: vec![confirmation],
            trials: Vec::new(),
        };
        let from = other.ident();
        let frame = Frame::Join { member: other, heartbeat };
        world.send_input(gateway::Input::Peer { from, frame });
        assert_eq!(world.place("/read/1").is_some(), kept, "reachable for {reachable_for:?}");
    }
}

#[test]
fn restarted_upstream_is_another_upstream() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let (exchange, _) = world.place("/read/1").expect("a place");
    let restarted = model::registry::Upstream { started_ms: 2, ..upstream("e1", "east") };
    world.apply_facts(Kind::Upstreams, vec![("e1", Some(Fact::Upstream(restarted)))]);
    world.request("/read/2");
    assert!(world.take_sends().is_empty(), "the new process has to answer a health check first");
    assert!(
        world.engine.call_of(exchange).is_some(),
        "the exchange with the old process stays in progress"
    );
}

#[test]
fn older_table_is_ignored() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let newer = Table { version: 9, ..table() };
    world.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(newer)))]);
    let older = Table { version: 4, routes: Vec::new(), ..table() };
    world.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(older)))]);
    assert_eq!(world.engine.dump(world.now).table, 9);
    assert!(world.place("/read/1").is_some());
}

/// A new table that arrives while a call waits for health checks must not remove the call's route.
#[test]
fn waiting_call_keeps_its_route_over_a_newer_table() {
    let mut world = World::new(&[upstream("e1", "east")]);
    world.request("/read/1");
    let newer = Table { version: 9, ..table() };
    world.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(newer)))]);
    world.answer_probes_idle();
    assert_eq!(world.take_sends().len(), 1, "{:?}", world.refusals());
}

#[test]
fn request_without_a_table_is_refused_as_such() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let charts = gateway::Charts::load().expect("charts fit");
    let own = common::member("me", "east", 1);
    world.engine = gateway::Engine::new(charts, own, Default::default(), 1, world.now);
    world.request("/read/1");
    assert_eq!(world.refusals(), [Refusal::NoTable]);
    assert!(!world.engine.is_ready());
}

#[test]
fn route_takes_the_longest_prefix() {
    let mut world = World::new(&[upstream("e1", "east")]);
    world.request("/nothing/1");
    assert_eq!(world.refusals(), [Refusal::NoRoute]);
    assert!(world.place("/read/a/b?c=d").is_some());
}

#[test]
fn split_follows_its_weights() {
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
