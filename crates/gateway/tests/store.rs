//! Tests of what the store says, or does not, and of what follows for upstreams and tables.

mod common;

use base::prelude::*;
use common::{World, table, upstream};
use gateway::engine::Refusal;
use gateway::exchange::Event;
use gateway::message::{Beat, Frame, Proof};
use model::registry::{Fact, Kind};
use model::table::Table;

#[test]
fn removed_upstream_gets_nothing() {
    let mut world = World::new(&[upstream("e1", "east")]);
    assert!(world.place("/read/1").is_some());
    world.facts(Kind::Upstreams, vec![("e1", None)]);
    assert!(world.place("/read/2").is_none());
    assert_eq!(world.refusals(), [Refusal::NoUpstream]);
}

/// Entries lapse while the store is away, and are back within two seconds of its return.
#[test]
fn lapsed_upstream_serves_until_it_should_be_back() {
    let mut world = World::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    world.batch(Kind::Upstreams, vec![("e1", None), ("e2", None)], true);
    let (exchange, _) = world.place("/read/1").expect("one of them, as it may come back");
    world.happen(exchange, Event::Sent);
    world.happen(exchange, Event::Answered);
    world.facts(Kind::Upstreams, vec![("e2", Some(Fact::Upstream(upstream("e2", "east"))))]);
    world.pass(Span::millis(2_400));
    for _ in 0..4 {
        assert_eq!(world.place("/read/2").expect("a place").1, "e2");
        world.pass(Span::millis(200));
    }
}

/// A node that was cut off alone has no reason to wait for entries to come back.
#[test]
fn lapsed_upstream_goes_at_once_if_others_kept_the_store() {
    for (steady, kept) in [(Span::seconds(1), true), (Span::seconds(9), false)] {
        let mut world = World::new(&[upstream("e1", "east")]);
        let other = common::member("other", "east", 2);
        let at = world.engine.revision(Kind::Upstreams) + 1;
        world.batch(Kind::Upstreams, vec![("e1", None)], true);
        let age = Span::millis(100);
        let proof = Proof { kind: Kind::Upstreams, at, changed: at, age, steady };
        let beat = Beat {
            process: 3,
            leaving: false,
            ready: true,
            lead: false,
            domains: Vec::new(),
            proofs: vec![proof],
            trials: Vec::new(),
        };
        let from = other.ident();
        let frame = Frame::Join { member: other, beat };
        world.feed(gateway::Input::Peer { from, frame });
        assert_eq!(world.place("/read/1").is_some(), kept, "steady for {steady:?}");
    }
}

#[test]
fn restarted_upstream_is_another_one() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let (exchange, _) = world.place("/read/1").expect("a place");
    let again = model::registry::Upstream { started_ms: 2, ..upstream("e1", "east") };
    world.facts(Kind::Upstreams, vec![("e1", Some(Fact::Upstream(again)))]);
    world.request("/read/2");
    assert!(world.sends().is_empty(), "the new start has to answer first");
    assert!(world.engine.call_of(exchange).is_some(), "what runs at the old one goes on");
}

#[test]
fn older_table_is_not_taken() {
    let mut world = World::new(&[upstream("e1", "east")]);
    let newer = Table { version: 9, ..table() };
    world.facts(Kind::Table, vec![("main", Some(Fact::Table(newer)))]);
    let older = Table { version: 4, routes: Vec::new(), ..table() };
    world.facts(Kind::Table, vec![("main", Some(Fact::Table(older)))]);
    assert_eq!(world.engine.dump(world.now).table, 9);
    assert!(world.place("/read/1").is_some());
}

/// A table that comes while a call waits for its upstreams' health must not cost it its route.
#[test]
fn waiting_call_keeps_its_route_over_a_newer_table() {
    let mut world = World::new(&[upstream("e1", "east")]);
    world.request("/read/1");
    let newer = Table { version: 9, ..table() };
    world.facts(Kind::Table, vec![("main", Some(Fact::Table(newer)))]);
    world.answer_well();
    assert_eq!(world.sends().len(), 1, "{:?}", world.refusals());
}

#[test]
fn request_without_a_table_is_not_unknown() {
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
fn split_keeps_its_weights() {
    let mut routes = gateway::route::Routes::default();
    let mut all = table();
    let part = |service: &str, weight| model::table::Part { service: service.into(), weight };
    all.routes[0].parts = vec![part("a", 90.0), part("b", 10.0)];
    let mut keys = slotmap::SlotMap::<key::Service, &str>::with_key();
    let (a, b) = (keys.insert("a"), keys.insert("b"));
    routes.adopt(&all, |name| if name == "a" { a } else { b });
    let key = routes.find(common::HOST, "/read/1").expect("a route");
    let chosen: Vec<_> = (0..200).filter_map(|_| routes.choose(key)).collect();
    assert_eq!(chosen.iter().filter(|one| **one == b).count(), 20);
}
