//! Several nodes in virtual time.

use std::collections::BTreeMap;

use base::prelude::*;
use gateway::engine::{Input, Output};
use gateway::view::Batch;
use gateway::{Charts, Engine, Terms};
use model::registry::{Fact, Item, Kind, Member};

use super::{healthy, member, table, upstream};

/// Time after which the store answers a watch without changes.
const WATCH_TIME: Span = Span::millis(700);

/// Several nodes that exchange messages, some of which the test may stop.
pub struct Fleet {
    pub engines: BTreeMap<u64, Engine>,
    pub members: Vec<Member>,
    /// Nodes that receive nothing and send nothing.
    pub stopped: Vec<u64>,
    watching: BTreeMap<u64, bool>,
    pub now: Moment,
    /// Health checks so far, each as the node that sent it.
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

    /// Sends every node all facts from the store.
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
                let batch = Batch { after: None, revision: 5, after_outage: false, items };
                let input = Input::Facts { kind: *kind, batch, asked_at: self.now };
                self.send_input(ident, input);
            }
        }
    }

    /// Sends a node one input, and the messages that follow to the other nodes.
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
                    Output::Send { to: next, frame } => {
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

    /// Advances the time with ticks; nodes that watch the store get its answers.
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

    /// Answers a node's watch of the store, if it has waited long enough.
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
            self.send_input(ident, Input::Current { kind: Kind::Upstreams, revision: 5, asked_at });
        }
    }

    /// Returns the age of the oldest store confirmation at a running node.
    pub fn oldest_confirmation(&self) -> Span {
        let running = self.engines.iter().filter(|(ident, _)| !self.stopped.contains(ident));
        let age = |engine: &Engine| engine.dump(self.now).proof_ms.get("upstreams").copied();
        let ages = running.map(|(_, engine)| age(engine).unwrap_or(u64::MAX / 1_000));
        Span::millis(ages.max().unwrap_or(0))
    }

    /// Returns the running nodes that watch the store.
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
