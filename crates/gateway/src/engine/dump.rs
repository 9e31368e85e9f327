//! The state of a node for operators.

use std::collections::BTreeMap;

use base::prelude::*;

use super::Engine;
use crate::upstream;

record! {
    /// Counts since the start.
    #[derive(Copy, Default)]
    pub struct Stats {
        /// Requests.
        pub requests: u64,
        /// Requests sent to upstreams.
        pub sends: u64,
        /// Requests sent to upstreams in a cold start.
        pub cold_sends: u64,
        /// Sends after the first of their request, other than hedges.
        pub retries: u64,
        /// Second sends beside a first that was slow.
        pub hedged: u64,
        /// Sends that the budget did not permit.
        pub over_budget: u64,
        /// Answers passed on.
        pub passed: u64,
        /// Refusals of requests that have not run.
        pub refused: u64,
        /// Refusals of requests that may have run.
        pub unknown: u64,
        /// Requests whose callers left.
        pub left: u64,
        /// Requests refused because they break upstreams.
        pub harmful: u64,
        /// Questions for the health of upstreams.
        pub probes: u64,
    }

    /// What a node saw of a service when it refused a request.
    #[derive(Copy, Default)]
    pub struct Census {
        /// Version of the table in force.
        pub table: u64,
        /// Upstreams that any node may choose.
        pub warm: u32,
        /// Those of them without a free slot, as far as is known.
        pub full: u32,
        /// Upstreams in a cold start.
        pub cold: u32,
        /// Upstreams that have to answer first.
        pub unproven: u32,
        /// Upstreams whose answers or connections fail.
        pub failing: u32,
        /// Upstreams that leave.
        pub draining: u32,
        /// Upstreams in withdrawn domains, whatever their state.
        pub withdrawn: u32,
    }

    /// An upstream in a dump.
    pub struct Row {
        /// Its service.
        pub service: String,
        /// The version that it runs.
        pub version: String,
        /// Its failure domain.
        pub domain: String,
        /// Where it is in its life.
        pub state: upstream::State,
        /// Requests estimated there.
        pub load: f64,
        /// Pace last told.
        pub pace: f64,
        /// Time since it was last heard, in milliseconds.
        pub heard_ms: u64,
        /// Share of answers that failed, lately.
        pub failures: f64,
    }

    /// The state of a node.
    pub struct Dump {
        /// Its name.
        pub name: String,
        /// Version of the table in force.
        pub table: u64,
        /// Whether it can serve.
        pub ready: bool,
        /// Whether it watches the store.
        pub watching: bool,
        /// Requests in progress.
        pub calls: usize,
        /// Members, and whether each is live.
        pub members: BTreeMap<String, bool>,
        /// Upstreams by identity.
        pub upstreams: BTreeMap<String, Row>,
        /// Services' trials, by service.
        pub trials: BTreeMap<String, String>,
        /// Failure domains that are withdrawn.
        pub withdrawn: Vec<String>,
        /// Time since the store was last known to be current, in milliseconds, by kind.
        pub proof_ms: BTreeMap<String, u64>,
        /// Counts since the start.
        pub stats: Stats,
    }
}

impl Engine {
    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Dump {
        let away: Vec<u64> = self.members.live_remote_nodes(now).map(|live| live.ident).collect();
        let members = self.members.peers().map(|(ident, peer)| {
            let live = peer.is_live(now) || away.contains(&ident);
            (peer.member.name.clone(), live)
        });
        let upstreams = self.upstreams.values().map(|one| (one.id.clone(), self.row(now, one)));
        let trials = self.services.values().filter_map(|service| {
            let trial = service.trial.as_ref()?;
            let state = base::derive::Symbol::name(trial.state);
            Some((service.name.clone(), format!("{} {state}", trial.target_name)))
        });
        let withdrawn = self.domains.values().filter(|domain| domain.withdrawn);
        let proofs = self.views.iter().filter_map(|(kind, view)| {
            let name = base::derive::Symbol::name(*kind).to_owned();
            Some((name, now.since(view.confirmed_at?).as_millis()))
        });
        Dump {
            name: self.members.own.name.clone(),
            table: self.table_version,
            ready: self.is_ready(),
            watching: self.watching,
            calls: self.calls.len(),
            members: members.collect(),
            upstreams: upstreams.collect(),
            trials: trials.collect(),
            withdrawn: withdrawn.map(|domain| domain.name.clone()).collect(),
            proof_ms: proofs.collect(),
            stats: self.stats,
        }
    }

    /// Counts the upstreams of a service by what speaks against them.
    pub(super) fn census(&self, now: Moment, service: Option<key::Service>) -> Census {
        let mut census = Census { table: self.table_version, ..Census::default() };
        let service = service.and_then(|key| self.services.get(key));
        for key in service.map_or(&[][..], |service| &service.upstreams) {
            let upstream = &self.upstreams[*key];
            if self.domains[upstream.domain].withdrawn {
                census.withdrawn += 1;
            }
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

    /// Returns the counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the number of requests in progress.
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
