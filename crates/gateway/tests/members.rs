//! Tests of membership: discovery, failure detection and leaders of domains.

mod common;

use std::collections::BTreeMap;

use base::prelude::*;
use common::fleet::Fleet;
use gateway::Terms;
use gateway::engine::{Input, Output, Request};
use gateway::view::Batch;
use model::registry::{Fact, Item, Kind, Member};

const DOMAINS: [(&str, usize); 4] = [("east", 5), ("west", 5), ("north", 3), ("south", 3)];

#[test]
fn update_watch_selects_one_reader() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(8));
    assert_eq!(fleet.readers().len(), 1, "readers among {} nodes", fleet.members.len());
}

/// The reader's backup is in another domain and begins to watch before the confirmations are so old
/// that other nodes do, except in the reader's domain, whose leader it was.
#[test]
fn update_watch_replaces_a_stopped_reader_by_its_backup() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(8));
    let reader = fleet.readers()[0];
    fleet.stopped.push(reader);
    fleet.run(Span::millis(1_250));
    let domain = fleet.domain_of(reader).to_owned();
    let watching = fleet.readers();
    let backups = watching.iter().filter(|ident| fleet.domain_of(**ident) != domain);
    assert_eq!(backups.count(), 1, "{watching:?}");
    fleet.run(Span::seconds(10));
    assert_eq!(fleet.readers().len(), 1);
}

#[test]
fn update_watch_replaces_a_stopped_reader_and_its_backup() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(8));
    for _ in 0..2 {
        fleet.stopped.extend(fleet.readers());
        fleet.run(Span::millis(1_700));
        assert!(
            !fleet.readers().is_empty(),
            "no node watches the store, so a change may be missed"
        );
    }
    fleet.run(Span::seconds(10));
    assert_eq!(fleet.readers().len(), 1);
}

/// A change has to be known on every node within 2 s of its acknowledgement, even if the nodes
/// that watch the store have just stopped.
#[test]
fn confirmed_at_stays_recent_while_readers_stop() {
    /// The 2 s less the time of a query to the store and one tick.
    const MAX_AGE: Span = Span::millis(1_750);
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(8));
    for _ in 0..3 {
        let readers = fleet.readers();
        fleet.stopped.extend(&readers);
        for _ in 0..60 {
            fleet.run(Span::millis(100));
            let oldest = fleet.oldest_confirmation();
            assert!(oldest <= MAX_AGE, "confirmation is {} ms old", oldest.as_millis());
        }
    }
}

/// Every node sends as many health checks as its share permits; the sum at one upstream must not
/// exceed the limit.
#[test]
fn probe_of_all_nodes_is_within_the_rate_limit() {
    const SECONDS: u64 = 20;
    for domains in [&DOMAINS[..], &[("east", 30), ("west", 2)], &[("west", 12)]] {
        let mut fleet = Fleet::new(domains);
        fleet.run(Span::seconds(3));
        fleet.probes.clear();
        for step in 0..SECONDS * 10 {
            fleet.run(Span::millis(100));
            for ident in fleet.engines.keys().copied().collect::<Vec<_>>() {
                let request = Request {
                    token: step,
                    host: common::HOST.into(),
                    path: "/read/1".into(),
                    timeout: None,
                    arrived_at: fleet.now,
                    digest: step,
                };
                fleet.send_input(ident, Input::Request(request));
            }
        }
        let limit = Terms::default().probe_rate * SECONDS as f64;
        assert!(!fleet.probes.is_empty());
        assert!(
            fleet.probes.len() as f64 <= limit,
            "{} health checks in {SECONDS} s",
            fleet.probes.len()
        );
    }
}

#[test]
fn advise_names_the_callers_domain() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(5));
    let engine = fleet.engines.values().next().expect("a node");
    for (domain, count) in DOMAINS {
        let advice = engine.advise(fleet.now, Some(domain));
        assert_eq!(advice.addresses.len(), count, "{domain}");
    }
    assert_eq!(engine.advise(fleet.now, None).addresses.len(), fleet.members.len());
}

/// A request that enters a withdrawn domain crosses to another domain and back, so callers have to
/// be sent elsewhere.
#[test]
fn advise_names_no_node_of_a_withdrawn_domain() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(8));
    let ident = fleet.members[0].ident();
    withdraw(&mut fleet, ident, &["east"]);
    let addresses = fleet.engines[&ident].advise(fleet.now, Some("east")).addresses;
    let east = fleet.members.iter().filter(|member| member.domain == "east");
    assert!(!addresses.is_empty());
    for member in east {
        assert!(!addresses.contains(&member.caller), "{}", member.name);
    }
    withdraw(&mut fleet, ident, &["east", "west", "north", "south"]);
    let addresses = fleet.engines[&ident].advise(fleet.now, Some("east")).addresses;
    assert!(!addresses.is_empty(), "some node has to be left to refuse requests");
}

/// Sends a node withdrawals of domains from the store.
fn withdraw(fleet: &mut Fleet, ident: u64, domains: &[&str]) {
    let revision = fleet.engines[&ident].revision(Kind::Withdrawals) + 1;
    let item =
        |name: &&str| Item { name: (*name).to_owned(), revision, fact: Some(Fact::Withdrawal) };
    let items = domains.iter().map(item).collect();
    let batch = Batch { after: None, revision, after_outage: false, items };
    let kind = Kind::Withdrawals;
    fleet.send_input(ident, Input::Facts { kind, batch, asked_at: fleet.now });
}

#[test]
fn advise_excludes_stopped_nodes_within_three_seconds() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(5));
    let stopped: Vec<Member> =
        fleet.members.iter().filter(|member| member.domain == "west").take(2).cloned().collect();
    fleet.stopped.extend(stopped.iter().map(Member::ident));
    fleet.run(Span::seconds(5));
    for (ident, engine) in &fleet.engines {
        if fleet.stopped.contains(ident) {
            continue;
        }
        let addresses = engine.advise(fleet.now, Some("west")).addresses;
        assert!(stopped.iter().all(|member| !addresses.contains(&member.caller)), "{addresses:?}");
    }
}

/// Traffic between domains is expensive, so only leaders exchange heartbeats across them.
#[test]
fn send_heartbeats_crosses_domains_between_leaders_only() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.run(Span::seconds(5));
    let mut crossing = BTreeMap::new();
    fleet.now = fleet.now + Span::seconds(1);
    for ident in fleet.engines.keys().copied().collect::<Vec<_>>() {
        let mut outputs = Vec::new();
        let now = fleet.now;
        fleet.engines.get_mut(&ident).expect("a node").input(now, Input::Tick, &mut outputs);
        let from = fleet.domain_of(ident).to_owned();
        let targets = outputs.iter().filter_map(|output| match output {
            Output::Send { to, .. } => Some(*to),
            _ => None,
        });
        let remote = targets.filter(|to| fleet.domain_of(*to) != from).count();
        if remote > 0 {
            *crossing.entry(from).or_insert(0) += 1;
        }
    }
    assert!(crossing.values().all(|count| *count == 1), "{crossing:?}");
}
