//! The decisions of one entry, put together.

mod advise;
mod calls;
mod cold;
mod dump;
mod fleet;
mod health;
mod keyed;
mod members;
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
pub use keyed::Claim;

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

/// Calls that wait at one entry for one service at the most.
const QUEUE_BOUND: usize = 256;
/// Connections that an upstream bears, less a margin for views that differ.
const CONNECTIONS: u32 = 200;
/// Entries that are assumed to share an upstream's connections at the least.
const FEWEST_SHARERS: u32 = 16;

/// What comes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration.
    Config(Box<Config>),
    /// A request of a caller.
    Request(Request),
    /// Something happened to an attempt.
    Attempt {
        /// The attempt.
        attempt: key::Attempt,
        /// What happened.
        event: attempt::Event,
        /// What the upstream said of itself, if it did.
        report: Option<Report>,
    },
    /// The caller of a request that waits has left.
    Left(key::Call),
    /// A roster that was current at some time after the asking.
    Roster {
        /// When it was asked for.
        asked_at: Moment,
        /// The roster.
        roster: Roster,
    },
    /// A frame of a peer.
    Peer {
        /// The peer's identity.
        from: u64,
        /// What it sent.
        frame: Frame,
    },
    /// The platform says that what serves at these addresses leaves.
    Leaving(Vec<SocketAddr>),
    /// A question for the health of an upstream has ended.
    Probed {
        /// The upstream.
        upstream: key::Upstream,
        /// Whether a connection could be opened.
        reached: bool,
        /// What the upstream said of itself.
        report: Option<Report>,
    },
    /// Time has passed.
    Tick,
    /// The entry tells its peers that it leaves.
    Leave,
    /// The entry takes no more requests.
    Stop,
}

/// What goes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A request may be sent.
    Grant {
        /// The front's mark.
        token: u64,
        /// The attempt.
        attempt: key::Attempt,
        /// The upstream.
        upstream: key::Upstream,
    },
    /// A request waits.
    Wait {
        /// The front's mark.
        token: u64,
        /// The call.
        call: key::Call,
    },
    /// A request gets no answer of an upstream.
    Refuse {
        /// The front's mark.
        token: u64,
        /// Why.
        refusal: Refusal,
        /// Whether it has run.
        outcome: Outcome,
        /// When to try again.
        retry_after: Span,
    },
    /// The request goes on as it is.
    Continue {
        /// The front's mark.
        token: u64,
    },
    /// An upstream is to be asked for its health.
    Probe {
        /// The upstream.
        upstream: key::Upstream,
    },
    /// Idle connections to an upstream may be silent.
    Retire {
        /// The upstream.
        upstream: key::Upstream,
    },
    /// The store has to accept a command of the system's own.
    Order {
        /// The command.
        command: Command,
        /// The command in words, with its reason.
        text: String,
    },
    /// The answer may be passed on.
    Pass {
        /// The front's mark.
        token: u64,
    },
    /// A frame for a peer.
    Send {
        /// The peer's identity.
        to: u64,
        /// What goes to it.
        frame: Frame,
    },
    /// A frame for a peer whose address the settings give.
    Hail {
        /// What goes to it.
        frame: Frame,
    },
    /// The store has to say which roster is current.
    Confirm,
    /// A roster that is to replace the current one, if that has the number before.
    Propose(Roster),
}

impl Output {
    fn message(to: u64, message: Message) -> Self {
        Self::Send { to, frame: Frame::Message(message) }
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Stats {
    /// Requests.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts after the first of their call.
    pub retries: u64,
    /// Attempts that were not permitted by a budget.
    pub over_budget: u64,
    /// Refusals told as not run.
    pub not_run: u64,
    /// Refusals told as unknown.
    pub unknown: u64,
    /// Whole answers.
    pub complete: u64,
    /// Answers cut short.
    pub cut: u64,
    /// Calls displaced from the queue or not taken into it.
    pub shed: u64,
    /// Grants asked of owners.
    pub asked: u64,
    /// Grants given as an owner.
    pub granted: u64,
    /// Cold starts announced.
    pub cold_starts: u64,
    /// Requests refused because they break upstreams.
    pub harmful: u64,
    /// Questions for the health of upstreams.
    pub probes: u64,
    /// Requests sent to the new version of a move.
    pub shifted: u64,
    /// Attempts given up because no answer began in time, in favour of another.
    pub hedged: u64,
}

/// The state of one entry.
#[derive(Debug)]
pub struct Engine<C = Least> {
    charts: Charts,
    catalog: Catalog,
    upstreams: SecondaryMap<key::Upstream, Upstream>,
    calls: SlotMap<key::Call, Call>,
    attempts: SlotMap<key::Attempt, Attempt>,
    queues: SecondaryMap<key::Service, Queue>,
    budgets: SecondaryMap<key::Service, Budget>,
    in_progress: SecondaryMap<key::Workspace, u32>,
    tenure: Lease,
    gossip: Gossip,
    fleet: fleet::Fleet,
    allotments: BTreeMap<u64, Allotment>,
    asks: cold::Asks,
    ledger: Records,
    suspects: Suspects,
    probe_at: Moment,
    plans: SecondaryMap<key::Move, moves::Plan>,
    claims: BTreeMap<u64, key::Call>,
    early: Vec<(u64, Message)>,
    domains: SecondaryMap<key::Domain, withdrawal::State>,
    home: Option<key::Domain>,
    home_name: String,
    chooser: C,
    rng: SmallRng,
    stopping: bool,
    /// Counts since the start.
    pub stats: Stats,
}

impl<C: Chooser> Engine<C> {
    /// Makes the state of the member `me` in the failure domain `home` before it knows anything.
    pub fn new(charts: Charts, me: u64, home: impl Into<String>, seed: u64, chooser: C) -> Self {
        Self {
            charts,
            catalog: Catalog::default(),
            upstreams: SecondaryMap::new(),
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queues: SecondaryMap::new(),
            budgets: SecondaryMap::new(),
            in_progress: SecondaryMap::new(),
            tenure: Lease::new(me),
            gossip: Gossip::new(me),
            fleet: fleet::Fleet::default(),
            allotments: BTreeMap::new(),
            asks: cold::Asks::default(),
            ledger: Records::default(),
            suspects: Suspects::default(),
            probe_at: Moment::default(),
            plans: SecondaryMap::new(),
            claims: BTreeMap::new(),
            early: Vec::new(),
            domains: SecondaryMap::new(),
            home: None,
            home_name: home.into(),
            chooser,
            rng: SmallRng::seed_from_u64(seed),
            stopping: false,
            stats: Stats::default(),
        }
    }

    /// Lets the engine talk with the other members of its deployment as `member`.
    pub fn join(&mut self, member: Member) {
        self.fleet.member = Some(member);
    }

    /// Takes one input and adds its outputs to `out`.
    pub fn input(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Config(config) => self.adopt(now, &config, out),
            Input::Request(request) => self.admit(now, request, out),
            Input::Attempt { attempt, event, report } => {
                self.attempt_event(now, attempt, event, report, out);
            }
            Input::Left(call) => self.leave(now, call, out),
            Input::Roster { asked_at, roster } => self.adopt_roster(now, asked_at, &roster, out),
            Input::Peer { from, frame } => self.frame(now, from, frame, out),
            Input::Leaving(addresses) => self.drain_listed(now, &addresses, out),
            Input::Probed { upstream, reached, report } => {
                self.probed(now, upstream, reached, report, out);
            }
            Input::Tick => self.tick(now, out),
            Input::Leave => self.fleet.leaving = true,
            Input::Stop => self.stop(now, out),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns this member's right to act as an owner.
    #[must_use]
    pub fn tenure(&self) -> &Lease {
        &self.tenure
    }

    /// Returns the number of calls in progress or waiting.
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

    fn adopt(&mut self, now: Now, config: &Config, out: &mut Vec<Output>) {
        let Some(delta) = self.catalog.adopt(config) else { return };
        for upstream in delta.removed {
            self.upstreams.remove(upstream);
        }
        for upstream in delta.added {
            self.upstreams.insert(upstream, Upstream::default());
        }
        let idents: Vec<u64> = self.catalog.upstreams.values().map(|one| one.ident).collect();
        self.allotments.retain(|ident, _| idents.contains(ident));
        for service in self.catalog.services.keys() {
            if !self.queues.contains_key(service) {
                self.queues.insert(service, Queue::new(QUEUE_BOUND));
                self.budgets.insert(service, Budget::default());
            }
        }
        self.home = self.catalog.domain(&self.home_name);
        self.adopt_plans();
        self.watch_domains(now, out);
        self.drain_queues(now, out);
    }

    /// Follows the orders that take failure domains out and bring them back.
    fn watch_domains(&mut self, now: Now, out: &mut Vec<Output>) {
        let domains: Vec<key::Domain> = self.catalog.domains.keys().collect();
        for domain in domains {
            let ordered_out = self.catalog.is_withdrawn(domain, now.unix_ms);
            let event = if ordered_out {
                withdrawal::Event::Withdrawn
            } else {
                withdrawal::Event::Restored
            };
            let chart = &self.charts.withdrawal;
            let state = self.domains.get(domain).copied().unwrap_or_else(|| chart.initial());
            let step = chart.step(state, event);
            let actions = step.actions.to_vec();
            self.domains.insert(domain, step.next);
            for action in actions {
                match action {
                    withdrawal::Action::Restart => self.restart_domain(now, domain, out),
                }
            }
        }
    }

    /// Lets the upstreams of a failure domain start cold.
    fn restart_domain(&mut self, now: Now, domain: key::Domain, out: &mut Vec<Output>) {
        let inside =
            |(_, upstream): &(key::Upstream, &model::catalog::Upstream)| upstream.domain == domain;
        let back: Vec<_> =
            self.catalog.upstreams.iter().filter(inside).map(|(key, _)| key).collect();
        for upstream in back {
            self.upstream_event(now, upstream, upstream::Event::Returned, out);
        }
    }

    /// Tells whether a failure domain gets no new work.
    fn is_out(&self, domain: key::Domain) -> bool {
        self.domains.get(domain) == Some(&withdrawal::State::Withdrawn)
    }

    /// Drains upstreams that the platform says are leaving.
    fn drain_listed(&mut self, now: Now, addresses: &[SocketAddr], out: &mut Vec<Output>) {
        let listed = |(_, one): &(key::Upstream, &model::catalog::Upstream)| {
            addresses.contains(&one.address)
        };
        let listed: Vec<_> =
            self.catalog.upstreams.iter().filter(listed).map(|(key, _)| key).collect();
        for upstream in listed {
            self.upstream_event(now, upstream, upstream::Event::Draining, out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.watch_domains(now, out);
        self.expire_calls(now, out);
        let rested = |(_, upstream): &(key::Upstream, &Upstream)| upstream.is_back_off_over(now.at);
        let rested: Vec<_> = self.upstreams.iter().filter(rested).map(|(key, _)| key).collect();
        for upstream in rested {
            self.upstream_event(now, upstream, upstream::Event::BackOffEnded, out);
        }
        self.expire_asks(now, out);
        self.retry_claims(now, out);
        self.tick_fleet(now, out);
        self.tick_moves(now, out);
        self.probe_upstreams(now, out);
        self.drain_queues(now, out);
    }

    fn stop(&mut self, now: Now, out: &mut Vec<Output>) {
        self.stopping = true;
        self.refuse_waiting(now, Refusal::Stopping, out);
    }

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
                // Odd numbers are cold starts, so the next odd one is a new cold start.
                upstream.epoch += 1 + upstream.epoch % 2;
                self.stats.cold_starts += 1;
                let news = Update::ColdStart { upstream: ident, epoch: upstream.epoch };
                self.tell_all(news, out);
                self.reset_allotment(key);
            }
            upstream::Action::AnnounceWarm => {
                upstream.epoch += 2 - upstream.epoch % 2;
                self.gossip.enqueue(Update::ColdStart { upstream: ident, epoch: upstream.epoch });
            }
            upstream::Action::AnnounceDrain => {
                let news = Update::Drain { upstream: ident, epoch: upstream.epoch };
                self.tell_all(news, out);
            }
            upstream::Action::BackOff => upstream.back_off(now.at),
            upstream::Action::ReportDown => self.report_down(now, ident, out),
            upstream::Action::Release => {
                let service = self.catalog.upstreams[key].service;
                self.drain_queue(now, service, out);
            }
        }
    }

    /// Returns how many connections this entry may have to one upstream.
    fn connection_share(&self) -> u32 {
        let known = self.tenure.roster().map_or(0, |roster| roster.members.len());
        let sharers = FEWEST_SHARERS.max(u32::try_from(known).unwrap_or(u32::MAX));
        (CONNECTIONS / sharers).max(1)
    }
}
