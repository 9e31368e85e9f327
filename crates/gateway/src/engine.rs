//! The decisions of one node, put together.

mod advise;
mod call;
mod candidate;
mod choose;
mod dump;
mod facts;
mod health;
mod note;
mod outcome;
mod peers;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::prelude::*;
use model::registry::{Kind, Member};
use policy::harm::Suspects;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SecondaryMap, SlotMap};

pub use advise::Advice;
pub use call::{Call, Outcome, Refusal, Rejection, Request};
pub use choose::Why;
pub use dump::{Census, Dump, Stats};
pub use health::Health;
pub use note::Note;
pub use trials::Order;

use crate::budget::Budget;
use crate::exchange::{self, Exchange};
use crate::gauge::Report;
use crate::member::Members;
use crate::message::Frame;
use crate::route::Routes;
use crate::trial::Trial;
use crate::upstream::Upstream;
use crate::view::{Batch, View};
use crate::{Charts, Terms};

/// What comes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// Facts that this node read from the store.
    Facts {
        /// Their kind.
        kind: Kind,
        /// The facts.
        batch: Batch,
        /// When they were asked for.
        asked_at: Moment,
    },
    /// The store has nothing newer of a kind.
    Current {
        /// The kind.
        kind: Kind,
        /// Revision of the store.
        at: u64,
        /// When it was asked.
        asked_at: Moment,
    },
    /// A request of a caller.
    Request(Request),
    /// Something happened to an exchange.
    Exchange {
        /// The exchange.
        exchange: key::Attempt,
        /// What happened.
        event: exchange::Event,
        /// What the upstream said of itself, if it did.
        report: Option<Report>,
    },
    /// The answer to a call takes long; another upstream may be asked too.
    Slow(key::Call),
    /// The time of a call is over.
    Late(key::Call),
    /// The caller of a call has left.
    Left(key::Call),
    /// A question for the health of an upstream has ended.
    Probed {
        /// The upstream.
        upstream: key::Upstream,
        /// What came of it.
        health: Health,
    },
    /// A frame of another node.
    Peer {
        /// The node's identity.
        from: u64,
        /// What it sent.
        frame: Frame,
    },
    /// The store has accepted how a trial ended, or has not.
    Written {
        /// Identity of the trial.
        trial: u64,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// The process stood still for a while; everything known is old.
    Resumed,
    /// A moment that was asked for has come.
    Wake,
    /// Time has passed.
    Tick,
    /// The node tells others that it leaves.
    Leave,
}

/// What goes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A request is to be sent to an upstream.
    Send {
        /// The front's mark.
        token: u64,
        /// The exchange.
        exchange: key::Attempt,
        /// The upstream.
        upstream: key::Upstream,
        /// What decided it.
        why: Why,
    },
    /// A call has begun.
    Begun {
        /// The front's mark.
        token: u64,
        /// The call.
        call: key::Call,
    },
    /// The answer of an exchange is the call's answer.
    Pass {
        /// The front's mark.
        token: u64,
    },
    /// Another exchange of the call may still answer.
    Await {
        /// The front's mark.
        token: u64,
    },
    /// A request gets no answer of an upstream.
    Refuse {
        /// The front's mark.
        token: u64,
        /// What it gets instead.
        rejection: Rejection,
    },
    /// An upstream is to be asked for its health.
    Probe {
        /// The upstream.
        upstream: key::Upstream,
    },
    /// Idle connections to an upstream are to be closed.
    Retire {
        /// The upstream.
        upstream: key::Upstream,
    },
    /// A frame for another node.
    Frame {
        /// Its identity.
        to: u64,
        /// What goes to it.
        frame: Frame,
    },
    /// A frame for nodes whose addresses the settings give.
    Hail(Frame),
    /// A member has a new address.
    Address(Member),
    /// Whether this node is to watch the store.
    Watch(bool),
    /// The store is to be told how a trial ended.
    Write(Order),
    /// What this node believes has changed.
    Note(Note),
}

/// A service as a node knows it.
#[derive(Clone, Debug)]
struct Service {
    name: String,
    health: String,
    connections: u32,
    cold_rate: f64,
    upstreams: Vec<key::Upstream>,
    budget: Budget,
    trial: Option<Trial>,
    /// Versions whose rollouts were rolled back.
    banned: BTreeSet<key::Version>,
    /// Versions that get traffic without an order.
    established: BTreeSet<key::Version>,
}

/// A failure domain as a node knows it.
#[derive(Clone, Debug)]
struct Domain {
    name: String,
    withdrawn: bool,
}

/// A version as a node knows it.
#[derive(Clone, Debug)]
struct Version {
    name: String,
    seen_at: Moment,
}

/// The state of one node.
#[derive(Debug)]
pub struct Engine {
    charts: Arc<Charts>,
    terms: Terms,
    home: key::Domain,
    process: u64,
    started_at: Moment,
    views: BTreeMap<Kind, View>,
    table_version: u64,
    limits: model::table::Limits,
    routes: Routes,
    services: SlotMap<key::Service, Service>,
    service_names: BTreeMap<String, key::Service>,
    domains: SlotMap<key::Domain, Domain>,
    domain_names: BTreeMap<String, key::Domain>,
    versions: SlotMap<key::Version, Version>,
    version_names: BTreeMap<(key::Service, String), key::Version>,
    upstreams: SlotMap<key::Upstream, Upstream>,
    upstream_ids: BTreeMap<String, key::Upstream>,
    departed: Vec<key::Upstream>,
    lapsed: BTreeSet<String>,
    lapse_until: Moment,
    /// Whether upstreams and rollouts were both known once.
    versions_known: bool,
    calls: SlotMap<key::Call, Call>,
    exchanges: SlotMap<key::Attempt, Exchange>,
    waits: BTreeSet<(Moment, key::Call)>,
    members: Members,
    suspects: Suspects,
    accused: SecondaryMap<key::Upstream, Vec<u64>>,
    watching: bool,
    watch_until: Moment,
    beat_at: Moment,
    beat_away_at: Moment,
    /// The proof that this domain was told last.
    proof_told: Option<Moment>,
    hailed_at: Option<Moment>,
    leaving: bool,
    tallies: BTreeMap<u64, trials::Ledger>,
    rng: SmallRng,
    stats: Stats,
}

impl Engine {
    /// Makes the state of the node `own` before it knows anything.
    ///
    /// `process` tells this start of the node from others.
    #[must_use]
    pub fn new(charts: Charts, own: Member, terms: Terms, process: u64, now: Moment) -> Self {
        let mut domains = SlotMap::with_key();
        let home = domains.insert(Domain { name: own.domain.clone(), withdrawn: false });
        Self {
            charts: Arc::new(charts),
            terms,
            home,
            process,
            started_at: now,
            views: BTreeMap::new(),
            table_version: 0,
            limits: model::table::Limits::default(),
            routes: Routes::default(),
            services: SlotMap::with_key(),
            service_names: BTreeMap::new(),
            domain_names: BTreeMap::from([(own.domain.clone(), home)]),
            domains,
            versions: SlotMap::with_key(),
            version_names: BTreeMap::new(),
            upstreams: SlotMap::with_key(),
            upstream_ids: BTreeMap::new(),
            departed: Vec::new(),
            lapsed: BTreeSet::new(),
            lapse_until: Moment::default(),
            versions_known: false,
            calls: SlotMap::with_key(),
            exchanges: SlotMap::with_key(),
            waits: BTreeSet::new(),
            members: Members::new(own),
            suspects: Suspects::default(),
            accused: SecondaryMap::new(),
            watching: false,
            watch_until: now,
            beat_at: now,
            beat_away_at: now,
            proof_told: None,
            hailed_at: None,
            leaving: false,
            tallies: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(process),
            stats: Stats::default(),
        }
    }

    /// Takes one input and appends what follows to `out`.
    pub fn input(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Facts { kind, batch, asked_at } => {
                self.read_facts(now, kind, &batch, asked_at, out);
            }
            Input::Current { kind, at, asked_at } => {
                self.read_current(now, kind, at, asked_at, out);
            }
            Input::Request(request) => self.admit(now, request, out),
            Input::Exchange { exchange, event, report } => {
                self.exchange_event(now, exchange, event, report, out);
            }
            Input::Slow(call) => self.slow(now, call, out),
            Input::Late(call) => self.late(now, call, out),
            Input::Left(call) => self.left(now, call, out),
            Input::Probed { upstream, health } => self.probed(now, upstream, &health, out),
            Input::Peer { from, frame } => self.hear(now, from, frame, out),
            Input::Written { trial, accepted } => self.written(trial, accepted),
            Input::Resumed => self.resume(now, out),
            Input::Wake => self.expire_waits(now, out),
            Input::Tick => self.tick(now, out),
            Input::Leave => self.leave(now, out),
        }
    }

    /// Returns when something is to happen next without any input.
    #[must_use]
    pub fn wake(&self) -> Option<Moment> {
        self.waits.first().map(|(moment, _)| *moment)
    }

    /// Returns the call of an exchange that is in progress.
    #[must_use]
    pub fn call_of(&self, exchange: key::Attempt) -> Option<key::Call> {
        Some(self.exchanges.get(exchange)?.call)
    }

    /// Returns how many idle connections to an upstream this node may keep, as its part of what the
    /// upstream accepts from all nodes together.
    #[must_use]
    pub fn idle_share(&self, key: key::Upstream) -> usize {
        /// Part of the connections that may be idle; the others are for requests in progress.
        const IDLE_PART: u32 = 2;
        let service = self.upstreams.get(key).and_then(|one| self.services.get(one.service));
        let most = service.map_or(1, |service| service.connections / IDLE_PART) as usize;
        (most / self.members.count()).max(1)
    }

    /// Returns up to which revision the facts of a kind are known.
    #[must_use]
    pub fn revision(&self, kind: Kind) -> u64 {
        self.view_at(kind)
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> model::table::Limits {
        self.limits
    }

    /// Tells whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table_version > 0 && self.view_at(Kind::Upstreams) > 0 && !self.leaving
    }

    /// Tells whether the node leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns an upstream, and the path of the question for its health.
    #[must_use]
    pub fn upstream(&self, key: key::Upstream) -> Option<(&Upstream, &str)> {
        let upstream = self.upstreams.get(key)?;
        Some((upstream, &self.services.get(upstream.service)?.health))
    }

    fn view_at(&self, kind: Kind) -> u64 {
        self.views.get(&kind).map_or(0, |view| view.revision)
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.expire_waits(now, out);
        self.end_lapses(now, out);
        self.age_upstreams(now, out);
        self.establish(now);
        self.drive_trials(now, out);
        self.beat_if_due(now, out);
        self.watch_if_needed(now, out);
    }

    /// Treats everything known of others as old.
    fn resume(&mut self, now: Moment, out: &mut Vec<Output>) {
        for upstream in self.upstreams.values_mut() {
            upstream.step(&self.charts.upstream, now, crate::upstream::Event::Stale);
        }
        for view in self.views.values_mut() {
            view.confirmed_at = None;
        }
        self.started_at = now;
        self.watch_if_needed(now, out);
        out.push(Output::Note(Note::Resumed));
    }
}
