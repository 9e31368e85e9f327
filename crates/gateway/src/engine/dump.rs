//! Counters and state of a node for operators, logs and metrics.

use std::collections::BTreeMap;

use base::prelude::*;

use super::Engine;
use crate::{peer, upstream};

record! {
    /// Counters since the start of the process.
    #[derive(Copy, Default)]
    pub struct Stats {
        /// Number of requests.
        pub requests: u64,
        /// Number of requests sent to upstreams.
        pub sends: u64,
        /// Number of requests sent to upstreams in a cold start.
        pub cold_sends: u64,
        /// Number of sends after the first of their call, other than hedges.
        pub retries: u64,
        /// Number of second sends while the first was slow.
        pub hedged: u64,
        /// Number of retries and hedges that the retry budget did not permit.
        pub over_budget: u64,
        /// Number of upstream responses relayed to callers.
        pub passed: u64,
        /// Number of refused requests that have not run.
        pub refused: u64,
        /// Number of refused requests that may have run.
        pub unknown: u64,
        /// Number of requests whose callers disconnected.
        pub left: u64,
        /// Number of requests refused because they had crashed several upstreams.
        pub harmful: u64,
        /// Number of health checks of upstreams.
        pub probes: u64,
        /// Number of pauses that upstreams have asked for.
        pub pauses: u64,
    }

    /// State of a service's upstreams when a request for it was refused.
    ///
    /// All counts are of upstreams.
    #[derive(Copy, Default)]
    pub struct Census {
        /// Version of the routing table in force.
        pub table: u64,
        /// Upstreams that any node may choose.
        pub warm: u32,
        /// Warm upstreams without a free slot, as far as this node knows.
        pub full: u32,
        /// Upstreams in a cold start.
        pub cold: u32,
        /// Upstreams that need a successful health check before they are used.
        pub unproven: u32,
        /// Upstreams whose responses or connections fail.
        pub failing: u32,
        /// Upstreams that are draining.
        pub draining: u32,
        /// Upstreams that have asked for a pause, in any state.
        pub paused: u32,
        /// Upstreams in withdrawn failure domains, in any state.
        pub withdrawn: u32,
    }

    /// An upstream in a [`Dump`].
    pub struct Row {
        /// Name of its service.
        pub service: String,
        /// Version that it runs.
        pub version: String,
        /// Name of its failure domain.
        pub domain: String,
        /// Health and cold-start state.
        pub state: upstream::State,
        /// Estimated number of requests there, those of other nodes included.
        pub load: f64,
        /// Slowdown in the last load report; 1.0 is the usual speed.
        pub pace: f64,
        /// Time since the upstream last responded, in milliseconds.
        pub heard_ms: u64,
        /// Moving average of the share of responses that failed.
        pub failures: f64,
    }

    /// Another node in a [`Dump`].
    pub struct Node {
        /// Name of its failure domain.
        pub domain: String,
        /// Whether it counts as live: not down, not leaving, and in a domain that is reachable.
        pub live: bool,
        /// Whether it is alive.
        pub state: peer::State,
        /// What it said of its service.
        pub standing: peer::Standing,
        /// Its incarnation.
        pub incarnation: u64,
        /// Whether this node exchanges heartbeats with it.
        pub neighbour: bool,
        /// Time since this node itself heard it, or began to expect that, in milliseconds.
        pub heard_ms: Option<u64>,
    }

    /// State of a node, written as JSON for operators.
    pub struct Dump {
        /// Name of the node.
        pub name: String,
        /// Version of the routing table in force.
        pub table: u64,
        /// Whether the node can serve requests.
        pub ready: bool,
        /// Whether the node watches the store.
        pub watching: bool,
        /// Number of calls in progress.
        pub calls: usize,
        /// Whether this node knows the other nodes completely, as far as it can tell.
        pub settled: bool,
        /// Name of the leader of this node's failure domain.
        pub leader: String,
        /// The other nodes by name.
        pub members: BTreeMap<String, Node>,
        /// Upstreams by identity.
        pub upstreams: BTreeMap<String, Row>,
        /// Target version and state of the trials, by service name.
        pub trials: BTreeMap<String, String>,
        /// Names of the withdrawn failure domains.
        pub withdrawn: Vec<String>,
        /// Age of the last confirmation that the facts of a kind are current, in milliseconds, by
        /// kind.
        pub proof_ms: BTreeMap<String, u64>,
        /// Counters since the start of the process.
        pub stats: Stats,
    }
}

impl Engine {
    /// Returns the node's state for operators.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Dump {
        let members = self.members.peers().map(|(ident, peer)| {
            let node = Node {
                domain: peer.member.domain.clone(),
                live: self.members.is_live(now, ident),
                state: peer.state,
                standing: peer.standing,
                incarnation: peer.incarnation,
                neighbour: self.members.neighbours().contains(&ident),
                heard_ms: peer.heard_at.map(|at| now.since(at).as_millis()),
            };
            (peer.member.name.clone(), node)
        });
        let upstreams =
            self.upstreams.values().map(|upstream| (upstream.id.clone(), self.row(now, upstream)));
        let trials = self.services.values().filter_map(|service| {
            let trial = service.trial.as_ref()?;
            let state = base::derive::Symbol::name(trial.state);
            Some((service.name.clone(), format!("{} {state}", trial.target_name)))
        });
        let withdrawn = self.domains.values().filter(|domain| domain.withdrawn);
        let confirmations = self.views.iter().filter_map(|(kind, view)| {
            let name = base::derive::Symbol::name(*kind).to_owned();
            Some((name, now.since(view.confirmed_at?).as_millis()))
        });
        Dump {
            name: self.members.own.name.clone(),
            table: self.table_version,
            ready: self.is_ready(),
            watching: self.watching,
            calls: self.calls.len(),
            settled: self.settled,
            leader: self.leader_name(),
            members: members.collect(),
            upstreams: upstreams.collect(),
            trials: trials.collect(),
            withdrawn: withdrawn.map(|domain| domain.name.clone()).collect(),
            proof_ms: confirmations.collect(),
            stats: self.stats,
        }
    }

    fn leader_name(&self) -> String {
        let leader = self.members.get(self.members.leader()).map(|peer| &peer.member);
        leader.unwrap_or(&self.members.own).name.clone()
    }

    /// Counts the upstreams of a service by their state.
    pub(super) fn census(&self, now: Moment, service: Option<key::Service>) -> Census {
        let mut census = Census { table: self.table_version, ..Census::default() };
        let service = service.and_then(|key| self.services.get(key));
        for key in service.map_or(&[][..], |service| &service.upstreams) {
            let upstream = &self.upstreams[*key];
            if self.domains[upstream.domain].withdrawn {
                census.withdrawn += 1;
            }
            census.paused += u32::from(now < upstream.paused_until);
            let full = upstream.gauge.load(now) + 1.0 > f64::from(upstream.slots);
            match upstream.state {
                upstream::State::Warm => {
                    census.warm += 1;
                    census.full += u32::from(full);
                }
                upstream::State::Cold => census.cold += 1,
                upstream::State::Unproven => census.unproven += 1,
                upstream::State::Failing | upstream::State::Down => census.failing += 1,
                upstream::State::Draining => census.draining += 1,
            }
        }
        census
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the number of calls in progress.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    fn row(&self, now: Moment, upstream: &upstream::Upstream) -> Row {
        Row {
            service: self.services[upstream.service].name.clone(),
            version: self.versions[upstream.version].name.clone(),
            domain: self.domains[upstream.domain].name.clone(),
            state: upstream.state,
            load: upstream.gauge.load(now),
            pace: upstream.gauge.slowdown,
            heard_ms: now.since(upstream.gauge.answered_at).as_millis(),
            failures: upstream.gauge.failure_rate(now),
        }
    }
}
