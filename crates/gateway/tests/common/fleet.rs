//! Several nodes in virtual time.

use std::collections::BTreeMap;

use base::prelude::*;
use gateway::engine::{Input, Output};
use gateway::view::Batch;
use gateway::{Charts, Engine, Terms};
use model::registry::{Fact, Item, Kind, Member};

use super::{healthy, member, table, upstream};

/// Time that a watch waits for changes.
const WATCH_TIME: Span = Span::millis(700);

/// Several nodes in virtual time, with a network that can be cut.
pub struct Fleet {
    pub engines: BTreeMap<u64, Engine>,
    pub members: Vec<Member>,
    pub stopped: Vec<u64>,
    watching: BTreeMap<u64, bool>,
    pub now: Moment,
    /// Questions for health, by the asking node.
    pub probes: Vec<u64>,
    watch_answered_at: BTreeMap<u64, Moment>,
}

impl Fleet {
    pub fn new(domains: &[(&str, usize)]) -> Self {
        let now = Moment(10_000_000);
        let mut members = Vec::new();
        for (domain, count) in domains {
            for number in 0..*count {
                let port = u16::try_from(members.len()).expect("few nodes") + 1;
                members.push(member(&format!("{domain}-{number}"), domain, port));
            }
        }
        let engine = |member: &Member| {
            let charts = Charts::load().expect("charts fit");
            Engine::new(charts, member.clone(), Terms::default(), member.ident(), now)
        };
        let engines = members.iter().map(|member| (member.ident(), engine(member))).collect();
        let mut fleet = Self {
            engines,
            members,
            stopped: Vec::new(),
            watching: BTreeMap::new(),
            now,
            probes: Vec::new(),
            watch_answered_at: BTreeMap::new(),
        };
        fleet.load_store();
        fleet
    }

    /// Lets every node read what the store has.
    fn load_store(&mut self) {
        let members = self.members.iter();
        let members =
            members.map(|member| (member.name.clone(), Fact::Member(member.clone()))).collect();
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
                let batch = Batch { after: None, at: 5, after_outage: false, items };
                let input = Input::Facts { kind: *kind, batch, asked_at: self.now };
                self.send_input(ident, input);
            }
        }
    }

    /// Feeds one input to a node, and what follows to others.
    pub fn send_input(&mut self, ident: u64, input: Input) {
        let mut pending = vec![(ident, input)];
        while let Some((to, input)) = pending.pop() {
            if self.stopped.contains(&to) {
                continue;
            }
            let Some(engine) = self.engines.get_mut(&to) else { continue };
            let mut outputs = Vec::new();
            engine.input(self.now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Frame { to: next, frame } => {
                        pending.push((next, Input::Peer { from: to, frame }));
                    }
                    Output::Watch(watching) => {
                        self.watching.insert(to, watching);
                    }
                    Output::Probe { upstream } => {
                        self.probes.push(to);
                        pending.push((to, Input::Probed { upstream, health: healthy(0, 1.0) }));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Lets time pass; nodes that watch hear from the store.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(100);
            for ident in self.engines.keys().copied().collect::<Vec<_>>() {
                self.answer_watch(ident);
                self.send_input(ident, Input::Tick);
            }
        }
    }

    /// Lets the store answer a node's watch, if that has waited long enough.
    fn answer_watch(&mut self, ident: u64) {
        if self.watching.get(&ident) != Some(&true) {
            self.watch_answered_at.remove(&ident);
            return;
        }
        let due =
            self.watch_answered_at.get(&ident).is_none_or(|at| self.now.since(*at) >= WATCH_TIME);
        if due {
            self.watch_answered_at.insert(ident, self.now);
            let asked_at = self.now;
            self.send_input(ident, Input::Current { kind: Kind::Upstreams, at: 5, asked_at });
        }
    }

    /// Returns the age of the oldest proof that a live node has.
    pub fn oldest_confirmation(&self) -> Span {
        let running = self.engines.iter().filter(|(ident, _)| !self.stopped.contains(ident));
        let age = |engine: &Engine| engine.dump(self.now).proof_ms.get("upstreams").copied();
        let ages = running.map(|(_, engine)| age(engine).unwrap_or(u64::MAX / 1_000));
        Span::millis(ages.max().unwrap_or(0))
    }

    /// Returns the live nodes that watch the store.
    pub fn readers(&self) -> Vec<u64> {
        let running = self.watching.iter().filter(|(ident, _)| !self.stopped.contains(ident));
        running.filter(|(_, watching)| **watching).map(|(ident, _)| *ident).collect()
    }

    /// Returns the failure domain of a node.
    pub fn domain_of(&self, ident: u64) -> &str {
        let known = self.members.iter().find(|member| member.ident() == ident);
        known.map_or("", |member| member.domain.as_str())
    }
}
