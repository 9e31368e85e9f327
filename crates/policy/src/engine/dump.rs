//! The state of an engine for operators.

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

/// Everything that an engine knows, by name.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Number of the configuration in force.
    pub number: u64,
    /// This member's identity.
    pub me: u64,
    /// The newest roster known.
    pub roster: Option<Roster>,
    /// Milliseconds since the roster was last known to be current.
    pub roster_age_ms: u64,
    /// Other members by identity.
    pub members: BTreeMap<u64, Member>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Waiting calls by service.
    pub waiting: BTreeMap<String, usize>,
    /// Calls in progress or waiting.
    pub calls: usize,
    /// Moves by name.
    pub moves: BTreeMap<String, Move>,
    /// Digests of requests that are refused because they break upstreams.
    pub harmful: Vec<u64>,
    /// Records of idempotency keys.
    pub keys: usize,
    /// Failure domains that are out.
    pub out: Vec<String>,
    /// Counts since the start.
    pub stats: Stats,
}

/// What an engine knows of one move.
#[derive(Clone, Debug, Serialize)]
pub struct Move {
    /// The share of the new version in thousandths.
    pub mille: u32,
    /// Why it is to be taken back.
    pub verdict: Option<Verdict>,
    /// How far it is, at the member that drives it.
    pub state: Option<rollout::State>,
    /// Answers of the new version that were weighed, at the member that drives it.
    pub samples: Option<u32>,
    /// Whether it may end after its deadline, at the member that drives it.
    pub expects_late: Option<bool>,
}

/// What an engine knows of one upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Its service.
    pub service: String,
    /// Its version.
    pub version: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Where it is in its life.
    pub state: State,
    /// Count of cold starts and of their ends.
    pub epoch: u32,
    /// Calls of this entry in progress there.
    pub own: u32,
    /// Calls estimated to be in progress there.
    pub load: f64,
    /// Time for one call without waiting, in microseconds.
    pub service_us: f64,
    /// Whether this member owns it.
    pub owner: bool,
    /// What the owner lets it bear.
    pub allotment: Option<Allotment>,
}

impl<C: Chooser> Engine<C> {
    /// Returns the whole state for operators.
    #[must_use]
    pub fn dump(&self, now: Now) -> Dump {
        let domains = self.catalog.domains.iter();
        let out = domains.filter(|(key, _)| self.is_out(*key)).map(|(_, one)| one.name.clone());
        let waiting = self.queues.iter().filter_map(|(key, queue)| {
            let service = self.catalog.services.get(key)?;
            Some((service.name.clone(), queue.len()))
        });
        Dump {
            number: self.catalog.number,
            me: self.tenure.own_ident(),
            roster: self.tenure.roster().cloned(),
            roster_age_ms: now.at.since(self.tenure.confirmed_at()).as_millis(),
            members: self.gossip.members().clone(),
            upstreams: self.catalog.upstreams.keys().map(|key| self.dump_one(now, key)).collect(),
            waiting: waiting.collect(),
            calls: self.calls.len(),
            moves: self.plans.keys().map(|key| self.dump_move(now, key)).collect(),
            harmful: self.suspects.harmful(now.at),
            keys: self.ledger.len(),
            out: out.collect(),
            stats: self.stats,
        }
    }

    fn dump_move(&self, now: Now, key: key::Move) -> (String, Move) {
        let (known, plan) = (&self.catalog.moves[key], &self.plans[key]);
        let window = Span::millis(known.deadline_ms.saturating_sub(known.start_ms));
        let left = Span::millis(known.deadline_ms.saturating_sub(now.unix_ms));
        let drive = plan.drive.as_ref();
        let dump = Move {
            mille: plan.share.mille,
            verdict: plan.verdict,
            state: drive.map(|drive| drive.state),
            samples: drive.map(|drive| drive.judge.samples()),
            expects_late: drive.map(|drive| drive.expects_late(now.at, window, left)),
        };
        (known.name.clone(), dump)
    }

    fn dump_one(&self, now: Now, key: key::Upstream) -> (String, Upstream) {
        let known = &self.catalog.upstreams[key];
        let state = &self.upstreams[key];
        let upstream = Upstream {
            service: self.catalog.services[known.service].name.clone(),
            version: self.catalog.versions[known.version].name.clone(),
            domain: self.catalog.domains[known.domain].name.clone(),
            address: known.address,
            state: state.state,
            epoch: state.epoch,
            own: state.gauge.in_flight,
            load: state.gauge.load(now.at),
            service_us: state.gauge.service_us,
            owner: self.tenure.is_owner(known.ident),
            allotment: self.allotments.get(&known.ident).cloned(),
        };
        (known.name.clone(), upstream)
    }
}
