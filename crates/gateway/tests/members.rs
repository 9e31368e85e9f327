//! Tests of nodes that find, lose and lead each other.

mod common;

use std::collections::BTreeMap;

use base::prelude::*;
use common::{member, table, upstream};
use gateway::engine::{Input, Output};
use gateway::view::Batch;
use gateway::{Charts, Engine, Terms};
use model::registry::{Fact, Item, Kind, Member};

/// Several nodes in virtual time, with a network that can be cut.
struct Fleet {
    engines: BTreeMap<u64, Engine>,
    members: Vec<Member>,
    down: Vec<u64>,
    watching: BTreeMap<u64, bool>,
    now: Moment,
}

impl Fleet {
    fn new(domains: &[(&str, usize)]) -> Self {
        let now = Moment(10_000_000);
        let mut members = Vec::new();
        for (domain, count) in domains {
            for number in 0..*count {
                let port = u16::try_from(members.len()).expect("few nodes") + 1;
                members.push(member(&format!("{domain}-{number}"), domain, port));
            }
        }
        let engine = |one: &Member| {
            let charts = Charts::load().expect("charts fit");
            Engine::new(charts, one.clone(), Terms::default(), one.ident(), now)
        };
        let engines = members.iter().map(|one| (one.ident(), engine(one))).collect();
        let mut fleet = Self { engines, members, down: Vec::new(), watching: BTreeMap::new(), now };
        fleet.list();
        fleet
    }

    /// Lets every node read what the store has.
    fn list(&mut self) {
        let members = self.members.iter();
        let members = members.map(|one| (one.name.clone(), Fact::Member(one.clone()))).collect();
        let all: Vec<(Kind, Vec<(String, Fact)>)> = vec![
            (Kind::Members, members),
            (Kind::Table, vec![("main".into(), Fact::Table(table()))]),
            (Kind::Upstreams, vec![("e1".into(), Fact::Upstream(upstream("e1", "east")))]),
        ];
        for ident in self.engines.keys().copied().collect::<Vec<_>>() {
            for (kind, facts) in &all {
                let item = |(name, fact): &(String, Fact)| Item {
                    name: name.clone(),
                    revision: 1,
                    fact: Some(fact.clone()),
                };
                let items = facts.iter().map(item).collect();
                let batch = Batch { after: None, at: 5, outage: false, items };
                let input = Input::Facts { kind: *kind, batch, asked_at: self.now };
                self.feed(ident, input);
            }
        }
    }

    fn feed(&mut self, ident: u64, input: Input) {
        let mut work = vec![(ident, input)];
        while let Some((to, input)) = work.pop() {
            if self.down.contains(&to) {
                continue;
            }
            let Some(engine) = self.engines.get_mut(&to) else { continue };
            let mut out = Vec::new();
            engine.input(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Frame { to: next, frame } => {
                        work.push((next, Input::Peer { from: to, frame }));
                    }
                    Output::Watch(watching) => {
                        self.watching.insert(to, watching);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Lets time pass; nodes that watch hear from the store.
    fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(100);
            for ident in self.engines.keys().copied().collect::<Vec<_>>() {
                if self.watching.get(&ident) == Some(&true) {
                    let asked_at = self.now;
                    self.feed(ident, Input::Current { kind: Kind::Upstreams, at: 5, asked_at });
                }
                self.feed(ident, Input::Tick);
            }
        }
    }

    fn readers(&self) -> Vec<u64> {
        let live = self.watching.iter().filter(|(ident, _)| !self.down.contains(ident));
        live.filter(|(_, watching)| **watching).map(|(ident, _)| *ident).collect()
    }

    fn domain_of(&self, ident: u64) -> &str {
        let known = self.members.iter().find(|one| one.ident() == ident);
        known.map_or("", |one| one.domain.as_str())
    }
}

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
