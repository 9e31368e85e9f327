//! Tests of nodes that find, lose and lead each other.

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
fn watch_is_held_by_two_domains() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(8));
    let readers = fleet.readers();
    assert_eq!(readers.len(), 2, "of {}", fleet.members.len());
    assert_ne!(fleet.domain_of(readers[0]), fleet.domain_of(readers[1]));
}

#[test]
fn watch_goes_over_when_readers_die() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(8));
    let readers = fleet.readers();
    fleet.down.extend(&readers);
    fleet.pass(Span::millis(1_500));
    assert!(!fleet.readers().is_empty(), "someone watches before a change may be missed");
    fleet.pass(Span::seconds(10));
    assert_eq!(fleet.readers().len(), 2);
}

/// A change has to be known within 2 s of its acknowledgement, whoever dies just before it.
#[test]
fn proof_stays_fresh_while_readers_die() {
    /// The bound less the time to ask the store and one tick.
    const BOUND: Span = Span::millis(1_750);
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(8));
    for _ in 0..3 {
        let readers = fleet.readers();
        fleet.down.extend(&readers);
        for _ in 0..60 {
            fleet.pass(Span::millis(100));
            let oldest = fleet.oldest_proof();
            assert!(oldest <= BOUND, "{} ms", oldest.as_millis());
        }
    }
}

/// Every node asks as often as it may; one upstream gets no more than the agreed rate.
#[test]
fn probe_of_all_nodes_is_within_the_agreed_rate() {
    const SECONDS: u64 = 20;
    for domains in [&DOMAINS[..], &[("east", 30), ("west", 2)], &[("west", 12)]] {
        let mut fleet = Fleet::new(domains);
        fleet.pass(Span::seconds(3));
        fleet.probes.clear();
        for step in 0..SECONDS * 10 {
            fleet.pass(Span::millis(100));
            for ident in fleet.engines.keys().copied().collect::<Vec<_>>() {
                let request = Request {
                    token: step,
                    host: common::HOST.into(),
                    path: "/read/1".into(),
                    timeout: None,
                    arrived: fleet.now,
                    digest: step,
                };
                fleet.feed(ident, Input::Request(request));
            }
        }
        let bound = Terms::default().probe_rate * SECONDS as f64;
        assert!(!fleet.probes.is_empty());
        assert!(fleet.probes.len() as f64 <= bound, "{} in {SECONDS} s", fleet.probes.len());
    }
}

#[test]
fn advise_names_the_callers_domain() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(5));
    let engine = fleet.engines.values().next().expect("a node");
    for (domain, count) in DOMAINS {
        let advice = engine.advise(fleet.now, Some(domain));
        assert_eq!(advice.addresses.len(), count, "{domain}");
    }
    assert_eq!(engine.advise(fleet.now, None).addresses.len(), fleet.members.len());
}

/// Requests that enter where nothing may serve them cross between domains, twice.
#[test]
fn advise_names_no_node_of_a_withdrawn_domain() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(8));
    let ident = fleet.members[0].ident();
    withdraw(&mut fleet, ident, &["east"]);
    let named = fleet.engines[&ident].advise(fleet.now, Some("east")).addresses;
    let east = fleet.members.iter().filter(|one| one.domain == "east");
    assert!(!named.is_empty());
    for member in east {
        assert!(!named.contains(&member.caller), "{}", member.name);
    }
    withdraw(&mut fleet, ident, &["east", "west", "north", "south"]);
    let named = fleet.engines[&ident].advise(fleet.now, Some("east")).addresses;
    assert!(!named.is_empty(), "somebody has to refuse");
}

/// Lets a node read that domains are withdrawn.
fn withdraw(fleet: &mut Fleet, ident: u64, domains: &[&str]) {
    let at = fleet.engines[&ident].revision(Kind::Withdrawals) + 1;
    let item =
        |name: &&str| Item { name: (*name).to_owned(), revision: at, fact: Some(Fact::Withdrawal) };
    let items = domains.iter().map(item).collect();
    let batch = Batch { after: None, at, outage: false, items };
    let kind = Kind::Withdrawals;
    fleet.feed(ident, Input::Facts { kind, batch, asked_at: fleet.now });
}

#[test]
fn advise_leaves_out_the_dead_within_three_seconds() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(5));
    let dead: Vec<Member> =
        fleet.members.iter().filter(|one| one.domain == "west").take(2).cloned().collect();
    fleet.down.extend(dead.iter().map(Member::ident));
    fleet.pass(Span::seconds(5));
    for (ident, engine) in &fleet.engines {
        if fleet.down.contains(ident) {
            continue;
        }
        let named = engine.advise(fleet.now, Some("west")).addresses;
        assert!(dead.iter().all(|one| !named.contains(&one.caller)), "{named:?}");
    }
}

/// Bytes between domains are dear, so only leads talk across.
#[test]
fn beat_crosses_domains_between_leads_only() {
    let mut fleet = Fleet::new(&DOMAINS);
    fleet.pass(Span::seconds(5));
    let mut crossing = BTreeMap::new();
    fleet.now = fleet.now + Span::seconds(1);
    for ident in fleet.engines.keys().copied().collect::<Vec<_>>() {
        let mut out = Vec::new();
        let now = fleet.now;
        fleet.engines.get_mut(&ident).expect("a node").input(now, Input::Tick, &mut out);
        let from = fleet.domain_of(ident).to_owned();
        let frames = out.iter().filter_map(|one| match one {
            Output::Frame { to, .. } => Some(*to),
            _ => None,
        });
        let away = frames.filter(|to| fleet.domain_of(*to) != from).count();
        if away > 0 {
            *crossing.entry(from).or_insert(0) += 1;
        }
    }
    assert!(crossing.values().all(|count| *count == 1), "{crossing:?}");
}
