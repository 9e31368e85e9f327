//! Snapshot of an engine's state for operators.
//!
//! The dump is written as JSON, so its field names are part of the operators' interface.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Serialize;

use super::{Engine, Stats};
use crate::Now;
use crate::balance::Chooser;
use crate::member::Member;
use crate::quota::Allotment;
use crate::rollout::{self, Verdict};
use crate::roster::Roster;
use crate::upstream::State;

/// The state of an engine, with objects by name.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Number of the configuration in force.
    pub number: u64,
    /// Identity of this member.
    pub me: u64,
    /// The newest known roster.
    pub roster: Option<Roster>,
    /// Milliseconds since the roster was last confirmed to be current.
    pub roster_age_ms: u64,
    /// State of the other members, by identity.
    pub members: BTreeMap<u64, Member>,
    /// State of the upstreams, by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Number of waiting calls, by service.
    pub waiting: BTreeMap<String, usize>,
    /// Number of calls in flight or waiting.
    pub calls: usize,
    /// State of the active moves, by name.
    pub moves: BTreeMap<String, Move>,
    /// Digests of requests that are refused because they crash upstreams.
    pub harmful: Vec<u64>,
    /// Number of idempotency key records.
    pub keys: usize,
    /// Names of withdrawn failure domains.
    pub out: Vec<String>,
    /// Counters since the start of the process.
    pub stats: Stats,
}

/// State of one move between versions.
#[derive(Clone, Debug, Serialize)]
pub struct Move {
    /// Traffic share of the new version, in per mille.
    pub mille: u32,
    /// Reason to roll it back, if any.
    pub verdict: Option<Verdict>,
    /// Progress, known at the member that drives it.
    pub state: Option<rollout::State>,
    /// Number of evaluated responses of the new version, known at the member that drives it.
    pub samples: Option<u32>,
    /// Whether it may miss its deadline, known at the member that drives it.
    pub expects_late: Option<bool>,
}

/// State of one upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Name of its service.
    pub service: String,
    /// Name of its version.
    pub version: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address that it listens on.
    pub address: std::net::SocketAddr,
    /// Health and cold-start state.
    pub state: State,
    /// Number of cold starts and of their ends; odd during a cold start.
    pub epoch: u32,
    /// Calls of this entry in flight there.
    pub own: u32,
    /// Estimated number of calls of all entries in flight there.
    pub load: f64,
    /// Estimated service time of one call without queueing, in microseconds.
    pub service_us: f64,
    /// Whether the roster names this member as its owner.
    pub owner: bool,
    /// Cold-start limit and open grants, if this member keeps them.
    pub allotment: Option<Allotment>,
}

impl<C: Chooser> Engine<C> {
    /// Returns a snapshot of the state.
    #[must_use]
    pub fn dump(&self, now: Now) -> Dump {
        let domains = self.catalog.domains.iter();
        let withdrawn = domains
            .filter(|(key, _)| self.is_withdrawn(*key))
            .map(|(_, domain)| domain.name.clone());
        let waiting = self.queues.iter().filter_map(|(key, queue)| {
            let service = self.catalog.services.get(key)?;
            Some((service.name.clone(), queue.len()))
        });
        Dump {
            number: self.catalog.number,
            me: self.lease.own_ident(),
            roster: self.lease.roster().cloned(),
            roster_age_ms: now.at.since(self.lease.confirmed_at()).as_millis(),
            members: self.gossip.members().clone(),
            upstreams: self
                .catalog
                .upstreams
                .keys()
                .map(|key| self.dump_upstream(now, key))
                .collect(),
            waiting: waiting.collect(),
            calls: self.calls.len(),
            moves: self.plans.keys().map(|key| self.dump_move(now, key)).collect(),
            harmful: self.suspects.harmful(now.at),
            keys: self.records.len(),
            out: withdrawn.collect(),
            stats: self.stats,
        }
    }

    fn dump_move(&self, now: Now, key: key::Move) -> (String, Move) {
        let (spec, plan) = (&self.catalog.moves[key], &self.plans[key]);
        let window = Span::millis(spec.deadline_ms.saturating_sub(spec.start_ms));
        let remaining = Span::millis(spec.deadline_ms.saturating_sub(now.unix_ms));
        let driver = plan.driver.as_ref();
        let dump = Move {
            mille: plan.share.mille,
            verdict: plan.verdict,
            state: driver.map(|driver| driver.state),
            samples: driver.map(|driver| driver.judge.samples()),
            expects_late: driver.map(|driver| driver.expects_late(now.at, window, remaining)),
        };
        (spec.name.clone(), dump)
    }

    fn dump_upstream(&self, now: Now, key: key::Upstream) -> (String, Upstream) {
        let spec = &self.catalog.upstreams[key];
        let state = &self.upstreams[key];
        let upstream = Upstream {
            service: self.catalog.services[spec.service].name.clone(),
            version: self.catalog.versions[spec.version].name.clone(),
            domain: self.catalog.domains[spec.domain].name.clone(),
            address: spec.address,
            state: state.state,
            epoch: state.epoch,
            own: state.gauge.in_flight,
            load: state.gauge.load(now.at),
            service_us: state.gauge.service_us,
            owner: self.lease.is_owner(spec.ident),
            allotment: self.allotments.get(&spec.ident).cloned(),
        };
        (spec.name.clone(), upstream)
    }
}
