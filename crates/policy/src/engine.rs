//! The decision engine of one entry.
//!
//! The entry's dispatcher owns an [`Engine`]. It passes every event to it as an [`Input`], together
//! with the time, and carries out the [`Output`]s that the engine returns. The engine does no
//! input or output and reads no clock, so tests run several engines in virtual time.
//!
//! The submodules each hold one part of the engine: calls and their attempts, cold starts,
//! membership, handover of ownership, idempotency keys, moves between versions, and health probes.

mod advise;
mod calls;
mod cold;
mod dump;
mod handover;
mod health;
mod idempotency;
mod membership;
mod moves;
mod outcome;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use model::{Catalog, Command, Config};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SecondaryMap, SlotMap};

pub use dump::Dump;
pub use health::PROBE_AFTER;
pub use idempotency::Claim;

use crate::attempt::{self, Attempt};
use crate::balance::{Chooser, Least, Report};
use crate::call::{Call, Outcome, Refusal, Request};
use crate::claim::Records;
use crate::gossip::Gossip;
use crate::harm::Suspects;
use crate::message::{Frame, Message, Update};
use crate::queue::Queue;
use crate::quota::Allotment;
use crate::retry::Budget;
use crate::roster::{Lease, Member, Roster};
use crate::upstream::{self, Upstream};
use crate::{Charts, Now, withdrawal};

/// Maximum number of calls that wait at one entry for one service.
const MAX_QUEUED_CALLS: usize = 256;
/// Maximum number of connections that all entries together open to one upstream.
///
/// It leaves a margin below what an upstream accepts, since entries may see different rosters.
const MAX_UPSTREAM_CONNECTIONS: u32 = 200;
/// Minimum number of entries that are assumed to share an upstream's connections.
const MIN_SHARING_ENTRIES: u32 = 16;

/// An event that the engine reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration was read. It is ignored unless it is newer than the one in force.
    Config(Box<Config>),
    /// A caller sent a request.
    Request(Request),
    /// The state of an attempt changed.
    Attempt {
        /// The attempt.
        attempt: key::Attempt,
        /// What happened.
        event: attempt::Event,
        /// The load report in the upstream's response, if any.
        report: Option<Report>,
    },
    /// The caller disconnected before it received a response.
    Cancelled(key::Call),
    /// The store returned its roster, which was current at some time after `asked_at`.
    Roster {
        /// Time at which the read started.
        asked_at: Moment,
        /// The roster.
        roster: Roster,
    },
    /// A peer sent a frame.
    Peer {
        /// The peer's identity.
        from: u64,
        /// The frame.
        frame: Frame,
    },
    /// The platform reports that the instances at these addresses are about to stop.
    DrainAddresses(Vec<SocketAddr>),
    /// A health probe of an upstream completed.
    Probed {
        /// The upstream.
        upstream: key::Upstream,
        /// Whether a connection was established.
        reached: bool,
        /// The load report in the response, if any.
        report: Option<Report>,
    },
    /// The interval between two ticks has passed.
    Tick,
    /// The entry is about to stop; its heartbeats announce that it leaves.
    Leave,
    /// The entry accepts no more requests; waiting calls are refused.
    Stop,
}

/// An action that the engine requests from the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a request to an upstream.
    Forward {
        /// Token by which the front end identifies the request.
        token: u64,
        /// The attempt.
        attempt: key::Attempt,
        /// The upstream.
        upstream: key::Upstream,
    },
    /// Keeps a request waiting until a later output names its token.
    Wait {
        /// Token by which the front end identifies the request.
        token: u64,
        /// The call.
        call: key::Call,
    },
    /// Refuses a request.
    Refuse {
        /// Token by which the front end identifies the request.
        token: u64,
        /// The reason.
        refusal: Refusal,
        /// Whether the request has run.
        outcome: Outcome,
        /// Delay after which the caller may retry.
        retry_after: Span,
    },
    /// Keeps waiting for the response to a silent attempt.
    Continue {
        /// Token by which the front end identifies the request.
        token: u64,
    },
    /// Probes the health of an upstream.
    Probe {
        /// The upstream.
        upstream: key::Upstream,
    },
    /// Closes the idle connections to an upstream, which may be dead.
    CloseIdle {
        /// The upstream.
        upstream: key::Upstream,
    },
    /// Submits a command to the store that the engine issues by itself, without an operator.
    Submit {
        /// The command.
        command: Command,
        /// The command as text for the history, with its reason.
        text: String,
    },
    /// Relays the upstream's response to the caller.
    Relay {
        /// Token by which the front end identifies the request.
        token: u64,
    },
    /// Sends a frame to a peer.
    Send {
        /// The peer's identity.
        to: u64,
        /// The frame.
        frame: Frame,
    },
    /// Sends a frame to a peer address from the settings, to find a first member.
    Discover {
        /// The frame.
        frame: Frame,
    },
    /// Reads the current roster from the store.
    ConfirmRoster,
    /// Writes a roster to the store if the stored one still has the preceding number.
    ProposeRoster(Roster),
}

impl Output {
    fn message(to: u64, message: Message) -> Self {
        Self::Send { to, frame: Frame::Message(message) }
    }
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Stats {
    /// Requests received.
    pub requests: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts other than the first of their call.
    pub retries: u64,
    /// Retries denied because the retry budget was exhausted.
    pub over_budget: u64,
    /// Refusals that guarantee that the request has not run.
    pub not_run: u64,
    /// Refusals of requests that may have run.
    pub unknown: u64,
    /// Complete responses.
    pub complete: u64,
    /// Calls that ended with a truncated response, or whose caller disconnected during an attempt.
    pub cut: u64,
    /// Calls that a full queue displaced or rejected.
    pub shed: u64,
    /// Cold-start grants requested from owners.
    pub asked: u64,
    /// Cold-start grants given as an owner.
    pub granted: u64,
    /// Cold starts announced to peers.
    pub cold_starts: u64,
    /// Requests refused because they crash upstreams.
    pub harmful: u64,
    /// Health probes sent.
    pub probes: u64,
    /// Calls sent to the new version of a move.
    pub shifted: u64,
    /// Attempts abandoned for another one because no response started in time.
    pub hedged: u64,
}

/// The state of one entry.
///
/// `C` chooses among the upstreams that can take a call.
#[derive(Debug)]
pub struct Engine<C = Least> {
    charts: Charts,
    catalog: Catalog,
    upstreams: SecondaryMap<key::Upstream, Upstream>,
    calls: SlotMap<key::Call, Call>,
    attempts: SlotMap<key::Attempt, Attempt>,
    queues: SecondaryMap<key::Service, Queue>,
    retry_budgets: SecondaryMap<key::Service, Budget>,
    /// Number of open calls of each workspace.
    workspace_calls: SecondaryMap<key::Workspace, u32>,
    lease: Lease,
    gossip: Gossip,
    membership: membership::Membership,
    /// Cold-start limits and open grants of owned upstreams, by identity of the upstream.
    allotments: BTreeMap<u64, Allotment>,
    grant_requests: cold::GrantRequests,
    records: Records,
    suspects: Suspects,
    next_probe_at: Moment,
    plans: SecondaryMap<key::Move, moves::Plan>,
    /// Calls with a claim on an idempotency key, by digest of the key.
    claims: BTreeMap<u64, key::Call>,
    /// Messages that refer to a roster that is not known yet, with the identity of the sender.
    early_messages: Vec<(u64, Message)>,
    domain_states: SecondaryMap<key::Domain, withdrawal::State>,
    /// This member's failure domain, `None` if the configuration does not contain it.
    local_domain: Option<key::Domain>,
    local_domain_name: String,
    chooser: C,
    rng: SmallRng,
    stopping: bool,
    /// Counters since the start of the process.
    pub stats: Stats,
}

impl<C: Chooser> Engine<C> {
    /// Creates the engine of the member `own_ident` in the failure domain `local_domain`.
    ///
    /// It has no configuration and no roster yet. `seed` seeds every random choice.
    pub fn new(
        charts: Charts,
        own_ident: u64,
        local_domain: impl Into<String>,
        seed: u64,
        chooser: C,
    ) -> Self {
        Self {
            charts,
            catalog: Catalog::default(),
            upstreams: SecondaryMap::new(),
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queues: SecondaryMap::new(),
            retry_budgets: SecondaryMap::new(),
            workspace_calls: SecondaryMap::new(),
            lease: Lease::new(own_ident),
            gossip: Gossip::new(own_ident),
            membership: membership::Membership::default(),
            allotments: BTreeMap::new(),
            grant_requests: cold::GrantRequests::default(),
            records: Records::default(),
            suspects: Suspects::default(),
            next_probe_at: Moment::default(),
            plans: SecondaryMap::new(),
            claims: BTreeMap::new(),
            early_messages: Vec::new(),
            domain_states: SecondaryMap::new(),
            local_domain: None,
            local_domain_name: local_domain.into(),
            chooser,
            rng: SmallRng::seed_from_u64(seed),
            stopping: false,
            stats: Stats::default(),
        }
    }

    /// Makes the engine join the other members of its deployment as `member`.
    ///
    /// Without this call, the engine exchanges no heartbeats and proposes no roster.
    pub fn join(&mut self, member: Member) {
        self.membership.member = Some(member);
    }

    /// Processes one input and appends the resulting outputs to `out`.
    pub fn input(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Config(config) => self.apply_config(now, &config, out),
            Input::Request(request) => self.admit(now, request, out),
            Input::Attempt { attempt, event, report } => {
                self.attempt_event(now, attempt, event, report, out);
            }
            Input::Cancelled(call) => self.cancel(now, call, out),
            Input::Roster { asked_at, roster } => self.adopt_roster(now, asked_at, &roster, out),
            Input::Peer { from, frame } => self.on_frame(now, from, frame, out),
            Input::DrainAddresses(addresses) => self.drain_addresses(now, &addresses, out),
            Input::Probed { upstream, reached, report } => {
                self.on_probe_result(now, upstream, reached, report, out);
            }
            Input::Tick => self.tick(now, out),
            Input::Leave => self.membership.leaving = true,
            Input::Stop => self.stop(now, out),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the lease under which this member acts as an owner.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the number of calls in flight or waiting.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the request of an attempt.
    #[must_use]
    pub fn request(&self, attempt: key::Attempt) -> Option<&Request> {
        let attempt = self.attempts.get(attempt)?;
        Some(&self.calls.get(attempt.call)?.request)
    }

    /// Applies a configuration if it is newer than the one in force.
    fn apply_config(&mut self, now: Now, config: &Config, out: &mut Vec<Output>) {
        let Some(delta) = self.catalog.adopt(config) else { return };
        for upstream in delta.removed {
            self.upstreams.remove(upstream);
        }
        for upstream in delta.added {
            self.upstreams.insert(upstream, Upstream::default());
        }
        let idents: Vec<u64> =
            self.catalog.upstreams.values().map(|upstream| upstream.ident).collect();
        self.allotments.retain(|ident, _| idents.contains(ident));
        for service in self.catalog.services.keys() {
            if !self.queues.contains_key(service) {
                self.queues.insert(service, Queue::new(MAX_QUEUED_CALLS));
                self.retry_budgets.insert(service, Budget::default());
            }
        }
        self.local_domain = self.catalog.domain(&self.local_domain_name);
        self.update_plans();
        self.update_domains(now, out);
        self.drain_queues(now, out);
    }

    /// Applies the withdrawals of failure domains that are in force at `now`.
    fn update_domains(&mut self, now: Now, out: &mut Vec<Output>) {
        let domains: Vec<key::Domain> = self.catalog.domains.keys().collect();
        for domain in domains {
            let withdrawn = self.catalog.is_withdrawn(domain, now.unix_ms);
            let event =
                if withdrawn { withdrawal::Event::Withdrawn } else { withdrawal::Event::Restored };
            let chart = &self.charts.withdrawal;
            let state = self.domain_states.get(domain).copied().unwrap_or_else(|| chart.initial());
            let step = chart.step(state, event);
            let actions = step.actions.to_vec();
            self.domain_states.insert(domain, step.next);
            for action in actions {
                match action {
                    withdrawal::Action::Restart => self.restart_domain(now, domain, out),
                }
            }
        }
    }

    /// Puts the upstreams of a restored failure domain into a cold start.
    fn restart_domain(&mut self, now: Now, domain: key::Domain, out: &mut Vec<Output>) {
        let in_domain =
            |(_, upstream): &(key::Upstream, &model::catalog::Upstream)| upstream.domain == domain;
        let returning: Vec<_> =
            self.catalog.upstreams.iter().filter(in_domain).map(|(key, _)| key).collect();
        for upstream in returning {
            self.upstream_event(now, upstream, upstream::Event::Returned, out);
        }
    }

    /// Returns whether a failure domain is withdrawn and gets no new calls.
    fn is_withdrawn(&self, domain: key::Domain) -> bool {
        self.domain_states.get(domain) == Some(&withdrawal::State::Withdrawn)
    }

    /// Drains the upstreams at the given addresses.
    fn drain_addresses(&mut self, now: Now, addresses: &[SocketAddr], out: &mut Vec<Output>) {
        let is_leaving = |(_, upstream): &(key::Upstream, &model::catalog::Upstream)| {
            addresses.contains(&upstream.address)
        };
        let leaving: Vec<_> =
            self.catalog.upstreams.iter().filter(is_leaving).map(|(key, _)| key).collect();
        for upstream in leaving {
            self.upstream_event(now, upstream, upstream::Event::Draining, out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.update_domains(now, out);
        self.expire_calls(now, out);
        let is_back_off_over =
            |(_, upstream): &(key::Upstream, &Upstream)| upstream.is_back_off_over(now.at);
        let recovered: Vec<_> =
            self.upstreams.iter().filter(is_back_off_over).map(|(key, _)| key).collect();
        for upstream in recovered {
            self.upstream_event(now, upstream, upstream::Event::BackOffEnded, out);
        }
        self.expire_grant_requests(now, out);
        self.retry_claims(now, out);
        self.tick_membership(now, out);
        self.tick_moves(now, out);
        self.probe_upstreams(now, out);
        self.drain_queues(now, out);
    }

    fn stop(&mut self, now: Now, out: &mut Vec<Output>) {
        self.stopping = true;
        self.refuse_waiting(now, Refusal::Stopping, out);
    }

    /// Applies an event to an upstream and carries out the actions of its chart.
    fn upstream_event(
        &mut self,
        now: Now,
        key: key::Upstream,
        event: upstream::Event,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let actions = upstream.step(&self.charts.upstream, event).to_vec();
        for action in actions {
            self.upstream_action(now, key, action, out);
        }
    }

    fn upstream_action(
        &mut self,
        now: Now,
        key: key::Upstream,
        action: upstream::Action,
        out: &mut Vec<Output>,
    ) {
        let ident = self.catalog.upstreams[key].ident;
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        match action {
            upstream::Action::AnnounceCold => {
                // An odd epoch is a cold start, so the next odd number starts a new one.
                upstream.epoch += 1 + upstream.epoch % 2;
                self.stats.cold_starts += 1;
                let update = Update::ColdStart { upstream: ident, epoch: upstream.epoch };
                self.broadcast(update, out);
                self.reset_allotment(key);
            }
            upstream::Action::AnnounceWarm => {
                // An even epoch is a warm state, so this moves on to the next even number.
                upstream.epoch += 2 - upstream.epoch % 2;
                self.gossip.enqueue(Update::ColdStart { upstream: ident, epoch: upstream.epoch });
            }
            upstream::Action::AnnounceDrain => {
                let update = Update::Drain { upstream: ident, epoch: upstream.epoch };
                self.broadcast(update, out);
            }
            upstream::Action::BackOff => upstream.back_off(now.at),
            upstream::Action::ReportDown => self.report_down(now, ident, out),
            upstream::Action::Release => {
                let service = self.catalog.upstreams[key].service;
                self.drain_queue(now, service, out);
            }
        }
    }

    /// Returns the maximum number of connections from this entry to one upstream.
    fn connection_share(&self) -> u32 {
        let members = self.lease.roster().map_or(0, |roster| roster.members.len());
        let entries = MIN_SHARING_ENTRIES.max(u32::try_from(members).unwrap_or(u32::MAX));
        (MAX_UPSTREAM_CONNECTIONS / entries).max(1)
    }
}
