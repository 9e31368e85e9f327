//! Decision logic of one gateway node, free of I/O.
//!
//! The node's dispatcher task feeds every event to [`Engine::input`] as an [`Input`], with the
//! current time, and carries out the [`Output`]s that the engine appends. The submodules implement
//! the parts of [`Engine`].

mod advise;
mod bootstrap;
mod call;
mod candidate;
mod choose;
mod dump;
mod facts;
mod health;
mod membership;
mod note;
mod notice;
mod outcome;
mod peers;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use model::registry::{Kind, Member};
use policy::harm::Suspects;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SecondaryMap, SlotMap};

pub use advise::Advice;
pub use call::{Call, Outcome, Refusal, Rejection, Request};
pub use choose::Choice;
pub use dump::{Census, Dump, Stats};
pub use health::Health;
pub use note::Note;
pub use notice::Notice;
pub use trials::Verdict;

use crate::budget::Budget;
use crate::departure::Departures;
use crate::exchange::{self, Exchange};
use crate::gauge::Report;
use crate::member::Members;
use crate::message::Frame;
use crate::route::Routes;
use crate::trial::Trial;
use crate::upstream::Upstream;
use crate::view::{Batch, View};
use crate::{Charts, Terms};

/// An event that the engine reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// This node read facts from the store.
    Facts {
        /// Kind of the facts.
        kind: Kind,
        /// The facts, either all of this kind or the changes since a revision.
        batch: Batch,
        /// When the store was asked, which is how current the facts are at least.
        asked_at: Moment,
    },
    /// The store reports that it has nothing newer of a kind.
    Current {
        /// Kind of the facts.
        kind: Kind,
        /// Current revision of the store.
        revision: u64,
        /// When the store was asked.
        asked_at: Moment,
    },
    /// A caller's request arrived.
    Request(Request),
    /// An exchange made progress or ended.
    Exchange {
        /// Key of the exchange.
        exchange: key::Attempt,
        /// What happened.
        event: exchange::Event,
        /// Load that the upstream reported with its response, if any.
        report: Option<Report>,
    },
    /// The response to a call is slow; the call may be hedged to a second upstream.
    HedgeDue(key::Call),
    /// The deadline of a call has passed.
    DeadlinePassed(key::Call),
    /// The caller of a call has disconnected.
    Cancelled(key::Call),
    /// A health check of an upstream has ended.
    Probed {
        /// Key of the upstream.
        upstream: key::Upstream,
        /// Result of the health check.
        health: Health,
    },
    /// The head of an upstream's response has arrived and states something about the upstream.
    Notice {
        /// Key of the upstream that the request was sent to.
        upstream: key::Upstream,
        /// The statement.
        notice: Notice,
    },
    /// A frame from another node arrived.
    Peer {
        /// Identity of the sending node.
        from: u64,
        /// The frame.
        frame: Frame,
    },
    /// A write of a trial's verdict to the store has ended.
    Written {
        /// Identity of the trial.
        trial: u64,
        /// Whether the store accepted a verdict on the trial, be it this node's or another's.
        accepted: bool,
    },
    /// The process was suspended for a while; all its facts and upstream states are stale.
    Resumed,
    /// The time returned by [`Engine::next_wake`] has come.
    Wake,
    /// The periodic tick.
    Tick,
    /// The node starts to shut down and announces that to the other nodes.
    Leave,
}

/// An action that the engine requests from the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a request to an upstream.
    Forward {
        /// Token by which the front end identifies the request.
        token: u64,
        /// Key of the new exchange.
        exchange: key::Attempt,
        /// Key of the upstream.
        upstream: key::Upstream,
        /// The figures on which the choice of the upstream was based, for the log.
        choice: Choice,
    },
    /// Reports that a request was admitted as a call.
    Admitted {
        /// Token by which the front end identifies the request.
        token: u64,
        /// Key of the call.
        call: key::Call,
    },
    /// Relays the response of the exchange that ended last to the caller.
    Relay {
        /// Token by which the front end identifies the request.
        token: u64,
    },
    /// Keeps waiting for another exchange of the call, which may still get a response.
    Await {
        /// Token by which the front end identifies the request.
        token: u64,
    },
    /// Refuses a request that gets no response from an upstream.
    Refuse {
        /// Token by which the front end identifies the request.
        token: u64,
        /// Reason and outcome for the caller.
        rejection: Rejection,
    },
    /// Probes the health of an upstream.
    Probe {
        /// Key of the upstream.
        upstream: key::Upstream,
    },
    /// Closes the idle connections to an upstream.
    CloseIdle {
        /// Key of the upstream.
        upstream: key::Upstream,
    },
    /// Sends a frame to another node.
    Send {
        /// Identity of the receiving node.
        to: u64,
        /// The frame.
        frame: Frame,
    },
    /// Sends a frame to one of the peer addresses from the settings, to find a first member.
    Discover {
        /// The address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Records the address of a member that is new, has moved or has restarted.
    Address(Member),
    /// Reads the members that are registered in the store.
    FindMembers,
    /// Registers this node in the store.
    Register {
        /// Whether it knows no other node and has to find those that register at the same time.
        alone: bool,
    },
    /// Starts (true) or stops (false) watching the store.
    Watch(bool),
    /// Writes the verdict of a trial to the store.
    Write(Verdict),
    /// Logs a change of state.
    Note(Note),
}

/// A service and its upstreams.
#[derive(Clone, Debug)]
struct Service {
    name: String,
    health_path: String,
    max_connections: u32,
    cold_rate: f64,
    upstreams: Vec<key::Upstream>,
    budget: Budget,
    trial: Option<Trial>,
    /// Versions whose rollout was rolled back; they get no traffic.
    rolled_back: BTreeSet<key::Version>,
    /// Versions that get traffic without a rollout.
    established: BTreeSet<key::Version>,
}

/// A failure domain.
#[derive(Clone, Debug)]
struct Domain {
    name: String,
    withdrawn: bool,
}

/// A version of a service, and when this node first saw it.
#[derive(Clone, Debug)]
struct Version {
    name: String,
    seen_at: Moment,
}

/// State of one gateway node.
#[derive(Debug)]
pub struct Engine {
    charts: Arc<Charts>,
    terms: Terms,
    own_domain: key::Domain,
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
    /// Upstreams without an entry, kept until their exchanges have ended.
    deregistered: Vec<key::Upstream>,
    /// Upstreams whose entries vanished during a store outage and may come back.
    pending_removals: BTreeSet<String>,
    departures: Departures,
    removal_grace_until: Moment,
    /// Whether upstreams and rollouts have both been read at least once.
    versions_known: bool,
    calls: SlotMap<key::Call, Call>,
    exchanges: SlotMap<key::Attempt, Exchange>,
    /// Calls that wait for health checks, by the time when the wait ends.
    probe_waits: BTreeSet<(Moment, key::Call)>,
    members: Members,
    suspects: Suspects,
    /// Digests of the requests that were in flight when a connection to an upstream broke.
    interrupted_requests: SecondaryMap<key::Upstream, Vec<u64>>,
    search: bootstrap::Search,
    /// Whether the entries of members are complete, as far as this node can know.
    settled: bool,
    divergences: BTreeMap<(u64, String), membership::Divergence>,
    /// Changes of what is known of nodes that have to be passed on.
    gossip: Vec<membership::Update>,
    fetches: BTreeMap<Kind, peers::Fetch>,
    served: peers::Served,
    last_tick: Moment,
    gossip_sent_at: Moment,
    announced_leadership: bool,
    watching: bool,
    watch_until: Moment,
    next_local_heartbeat: Moment,
    next_remote_heartbeat: Moment,
    /// Confirmation time in the last heartbeat to this node's failure domain.
    reported_confirmation: Option<Moment>,
    leaving: bool,
    /// Evidence from this node, by trial identity.
    evidence: BTreeMap<u64, trials::Evidence>,
    rng: SmallRng,
    stats: Stats,
}

impl Engine {
    /// Creates the state of the node `own`, without any facts.
    ///
    /// `process` identifies this start of the node; it also seeds the random choices.
    #[must_use]
    pub fn new(charts: Charts, own: Member, terms: Terms, process: u64, now: Moment) -> Self {
        let mut domains = SlotMap::with_key();
        let own_domain = domains.insert(Domain { name: own.domain.clone(), withdrawn: false });
        Self {
            charts: Arc::new(charts),
            terms,
            own_domain,
            process,
            started_at: now,
            views: BTreeMap::new(),
            table_version: 0,
            limits: model::table::Limits::default(),
            routes: Routes::default(),
            services: SlotMap::with_key(),
            service_names: BTreeMap::new(),
            domain_names: BTreeMap::from([(own.domain.clone(), own_domain)]),
            domains,
            versions: SlotMap::with_key(),
            version_names: BTreeMap::new(),
            upstreams: SlotMap::with_key(),
            upstream_ids: BTreeMap::new(),
            deregistered: Vec::new(),
            pending_removals: BTreeSet::new(),
            departures: Departures::default(),
            removal_grace_until: Moment::default(),
            versions_known: false,
            calls: SlotMap::with_key(),
            exchanges: SlotMap::with_key(),
            probe_waits: BTreeSet::new(),
            members: Members::new(own),
            suspects: Suspects::default(),
            interrupted_requests: SecondaryMap::new(),
            search: bootstrap::Search::default(),
            settled: false,
            divergences: BTreeMap::new(),
            gossip: Vec::new(),
            fetches: BTreeMap::new(),
            served: peers::Served::default(),
            last_tick: now,
            gossip_sent_at: now,
            announced_leadership: false,
            watching: false,
            watch_until: now,
            next_local_heartbeat: now,
            next_remote_heartbeat: now,
            reported_confirmation: None,
            leaving: false,
            evidence: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(process),
            stats: Stats::default(),
        }
    }

    /// Handles one input and appends the resulting outputs to `out`.
    pub fn input(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Facts { kind, batch, asked_at } => {
                self.on_facts(now, kind, &batch, asked_at, out);
            }
            Input::Current { kind, revision, asked_at } => {
                self.on_current(now, kind, revision, asked_at, out);
            }
            Input::Request(request) => self.admit(now, request, out),
            Input::Exchange { exchange, event, report } => {
                self.on_exchange_event(now, exchange, event, report, out);
            }
            Input::HedgeDue(call) => self.on_hedge_due(now, call, out),
            Input::DeadlinePassed(call) => self.on_deadline(now, call, out),
            Input::Cancelled(call) => self.on_cancelled(now, call, out),
            Input::Probed { upstream, health } => self.on_probe_result(now, upstream, &health, out),
            Input::Notice { upstream, notice } => self.on_notice(now, upstream, notice, out),
            Input::Peer { from, frame } => self.on_frame(now, from, frame, out),
            Input::Written { trial, accepted } => self.on_verdict_written(trial, accepted),
            Input::Resumed => self.resume(now, out),
            Input::Wake => self.expire_probe_waits(now, out),
            Input::Tick => self.tick(now, out),
            Input::Leave => self.leave(now, out),
        }
    }

    /// Returns when the engine next needs [`Input::Wake`], if calls wait for health checks.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        self.probe_waits.first().map(|(moment, _)| *moment)
    }

    /// Returns the call of an exchange in progress.
    #[must_use]
    pub fn call_of(&self, exchange: key::Attempt) -> Option<key::Call> {
        Some(self.exchanges.get(exchange)?.call)
    }

    /// Returns how many idle connections to an upstream this node may keep: its share of what the
    /// upstream accepts from all nodes together.
    #[must_use]
    pub fn idle_limit(&self, key: key::Upstream) -> usize {
        /// Half of the connections may be idle; the others are for requests in progress.
        const IDLE_DIVISOR: u32 = 2;
        let service =
            self.upstreams.get(key).and_then(|upstream| self.services.get(upstream.service));
        let limit = service.map_or(1, |service| service.max_connections / IDLE_DIVISOR) as usize;
        (limit / self.members.count()).max(1)
    }

    /// Returns the store revision up to which facts of a kind are known, or zero if none are.
    #[must_use]
    pub fn revision(&self, kind: Kind) -> u64 {
        self.view_revision(kind)
    }

    /// Returns the table's limits on callers' requests.
    #[must_use]
    pub fn limits(&self) -> model::table::Limits {
        self.limits
    }

    /// Returns whether the node can serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table_version > 0 && self.view_revision(Kind::Upstreams) > 0 && !self.leaving
    }

    /// Returns the other nodes as this node sees them.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns whether the node is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns an upstream and the path of its health check.
    #[must_use]
    pub fn upstream(&self, key: key::Upstream) -> Option<(&Upstream, &str)> {
        let upstream = self.upstreams.get(key)?;
        Some((upstream, &self.services.get(upstream.service)?.health_path))
    }

    fn view_revision(&self, kind: Kind) -> u64 {
        self.views.get(&kind).map_or(0, |view| view.revision)
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.expire_probe_waits(now, out);
        self.apply_pending_removals(now, out);
        self.departures.expire(now);
        self.refresh_upstreams(now, out);
        self.establish_versions(now);
        self.drive_trials(now, out);
        self.tick_membership(now, out);
        if !self.leaving {
            self.send_due_heartbeats(now, out);
        }
        self.tick_search(now, out);
        self.update_watch(now, out);
    }

    /// Starts the shutdown and announces it to the other nodes.
    fn leave(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.leaving = true;
        self.update_standing(now);
        self.flush_gossip(now, out);
        self.send_heartbeats(now, out);
        self.update_watch(now, out);
    }

    /// Marks all upstreams and confirmations as stale after the process was suspended, and restarts
    /// the waiting times that follow a start.
    fn resume(&mut self, now: Moment, out: &mut Vec<Output>) {
        for upstream in self.upstreams.values_mut() {
            upstream.step(&self.charts.upstream, now, crate::upstream::Event::Stale);
        }
        for view in self.views.values_mut() {
            view.confirmed_at = None;
        }
        self.started_at = now;
        // What others have sent meanwhile has not been read yet.
        self.members.excuse(now, Span(u64::MAX));
        self.last_tick = now;
        self.update_watch(now, out);
        out.push(Output::Note(Note::Resumed));
    }
}
