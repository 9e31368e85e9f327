//! The task that owns the decisions and the idle connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use policy::attempt::Event;
use policy::balance::{Least, Report};
use policy::call::{Outcome, Refusal, Request};
use policy::engine::{Dump, Input, Output};
use policy::{Engine, Now};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::clock::Clock;
use crate::contact::{Confirm, Contact, Propose};
use crate::front::post;
use crate::idle::{Idle, Link};
use crate::peers::{Deliver, Hail, Members, Peers};

/// Ticks between sweeps of idle connections.
const SWEEP_TICKS: u32 = 50;

/// The task's state.
#[derive(xtra::Actor)]
pub struct Steer {
    engine: Engine<Least>,
    clock: Clock,
    idle: Idle,
    replies: BTreeMap<u64, oneshot::Sender<Directive>>,
    calls: BTreeMap<u64, key::Call>,
    next: u64,
    ticks: u32,
    out: Vec<Output>,
    ways: Option<Ways>,
    roster: u64,
}

/// Ways to the tasks that talk with peers and with the store.
pub struct Ways {
    /// To the peers.
    pub peers: Address<Peers>,
    /// To the store.
    pub contact: Address<Contact<store::Http>>,
}

/// Gives the task its ways to others.
pub struct Connect(pub Ways);

/// What the front has to do with a request.
#[derive(Debug)]
pub enum Directive {
    /// Sends it to an upstream.
    Send(Target),
    /// Passes the answer on.
    Pass,
    /// Answers with a refusal.
    Refuse {
        /// Why.
        refusal: Refusal,
        /// Whether it has run.
        outcome: Outcome,
        /// When to try again.
        retry_after: Span,
    },
}

/// Where to send a request.
#[derive(Debug)]
pub struct Target {
    /// The attempt.
    pub attempt: key::Attempt,
    /// The upstream.
    pub upstream: key::Upstream,
    /// The upstream's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// An open connection, if a usable one is idle.
    pub link: Option<Link>,
}

/// What the front found out about a request that it names by text.
#[derive(Debug)]
pub struct Asked {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: Option<String>,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Time that the caller waits.
    pub patience: Option<Span>,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Digest of the request.
    pub digest: u64,
}

/// What became known of a request before it was placed.
#[derive(Clone, Copy, Debug)]
pub struct Placed {
    /// The task's mark for the request.
    pub token: u64,
    /// When the caller's patience ends.
    pub deadline: Moment,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Places a request; the directive comes through `reply`.
#[derive(Debug)]
pub struct Place {
    /// The request.
    pub asked: Asked,
    /// Takes the directive.
    pub reply: oneshot::Sender<Directive>,
}

/// Reports what happened to an attempt.
#[derive(Debug)]
pub struct Happened {
    /// The task's mark for the request.
    pub token: u64,
    /// The attempt.
    pub attempt: key::Attempt,
    /// What happened.
    pub event: Event,
    /// What the upstream said of itself.
    pub report: Option<Report>,
    /// A connection that is free again.
    pub link: Option<Link>,
    /// Takes the next directive, if the front waits for one.
    pub reply: Option<oneshot::Sender<Directive>>,
}

/// Tells that the caller of a request left.
#[derive(Debug)]
pub struct Left(pub u64);

/// Registers a connection that was opened.
#[derive(Debug)]
pub struct Opened(pub key::Upstream);

/// Forgets a connection that was closed.
#[derive(Debug)]
pub struct Closed(pub key::Connection);

/// Passes an input to the decisions.
#[derive(Debug)]
pub struct Feed(pub Input);

/// Lets time pass.
#[derive(Debug)]
pub struct Tick;

/// Asks for the state.
#[derive(Debug)]
pub struct Inspect;

/// The state of the task for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct State {
    /// The decisions.
    pub engine: Dump,
    /// Open connections to upstreams.
    pub connections: usize,
}

impl Steer {
    /// Makes the task's state.
    #[must_use]
    pub fn new(engine: Engine<Least>, clock: Clock) -> Self {
        Self {
            engine,
            clock,
            idle: Idle::default(),
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            next: 0,
            ticks: 0,
            out: Vec::new(),
            ways: None,
            roster: 0,
        }
    }

    fn feed(&mut self, now: Now, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.engine.input(now, input, &mut out);
        for output in out.drain(..) {
            self.carry_out(now, output);
        }
        self.out = out;
        self.tell_members();
    }

    /// Tells the task that owns the endpoint of a new roster.
    fn tell_members(&mut self) {
        let tenure = self.engine.tenure();
        if tenure.number() == self.roster {
            return;
        }
        self.roster = tenure.number();
        if let (Some(ways), Some(roster)) = (&self.ways, tenure.roster()) {
            post(&ways.peers, Members(roster.clone()));
        }
    }

    fn carry_out(&mut self, now: Now, output: Output) {
        match output {
            Output::Grant { token, attempt, upstream } => {
                self.calls.remove(&token);
                let target = self.target(now, token, attempt, upstream);
                self.reply(token, Directive::Send(target));
            }
            Output::Wait { token, call } => {
                self.calls.insert(token, call);
            }
            Output::Refuse { token, refusal, outcome, retry_after } => {
                self.calls.remove(&token);
                self.reply(token, Directive::Refuse { refusal, outcome, retry_after });
            }
            Output::Pass { token } => self.reply(token, Directive::Pass),
            Output::Send { to, frame } => {
                if let Some(ways) = &self.ways {
                    post(&ways.peers, Deliver { to, frame });
                }
            }
            Output::Hail { frame } => {
                if let Some(ways) = &self.ways {
                    post(&ways.peers, Hail(frame));
                }
            }
            Output::Confirm => {
                if let Some(ways) = &self.ways {
                    post(&ways.contact, Confirm);
                }
            }
            Output::Propose(roster) => {
                if let Some(ways) = &self.ways {
                    post(&ways.contact, Propose(roster));
                }
            }
        }
    }

    fn target(
        &mut self,
        now: Now,
        token: u64,
        attempt: key::Attempt,
        upstream: key::Upstream,
    ) -> Target {
        let known = &self.engine.catalog().upstreams[upstream];
        let proven = !self.engine.is_idempotent(attempt);
        let _ = token;
        let link = self.idle.take(now.at, upstream, proven);
        Target { attempt, upstream, name: known.name.clone(), address: known.address, link }
    }

    fn reply(&mut self, token: u64, directive: Directive) {
        let Some(reply) = self.replies.remove(&token) else { return };
        if let Err(Directive::Send(target)) = reply.send(directive) {
            // The caller left while it waited, so nothing was sent.
            let input =
                Input::Attempt { attempt: target.attempt, event: Event::Left, report: None };
            let now = self.clock.now();
            let mut out = Vec::new();
            self.engine.input(now, input, &mut out);
            for output in out {
                self.carry_out(now, output);
            }
        }
    }

    fn request(&self, token: u64, now: Now, asked: &Asked) -> Option<Request> {
        let catalog = self.engine.catalog();
        let service = catalog.service(&asked.service)?;
        let route = catalog.route(service, &asked.method, &asked.path);
        let by_method = is_idempotent(&asked.method);
        let idempotent = route.map_or(by_method, |route| catalog.routes[route].idempotent);
        let most = catalog.services[service].timeout;
        let patience = asked.patience.unwrap_or(most).min(most);
        let workspace = asked.workspace.as_deref().and_then(|name| catalog.workspace(name));
        Some(Request {
            token,
            service,
            workspace,
            route,
            idempotent,
            replayable: asked.replayable,
            deadline: now.at + patience,
            digest: asked.digest,
        })
    }
}

/// Tells whether a method is idempotent by RFC 9110, section 9.2.2.
#[must_use]
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
}

impl Handler<Place> for Steer {
    type Return = Option<Placed>;

    async fn handle(&mut self, place: Place, _: &mut Context<Self>) -> Option<Placed> {
        let now = self.clock.now();
        self.next += 1;
        let token = self.next;
        let request = self.request(token, now, &place.asked)?;
        self.replies.insert(token, place.reply);
        self.feed(now, Input::Request(request));
        Some(Placed { token, deadline: request.deadline, idempotent: request.idempotent })
    }
}

impl Handler<Happened> for Steer {
    type Return = ();

    async fn handle(&mut self, happened: Happened, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(link) = happened.link {
            self.idle.put(now.at, link);
        }
        if let Some(reply) = happened.reply {
            self.replies.insert(happened.token, reply);
        }
        let Happened { attempt, event, report, .. } = happened;
        self.feed(now, Input::Attempt { attempt, event, report });
    }
}

impl Handler<Connect> for Steer {
    type Return = ();

    async fn handle(&mut self, connect: Connect, _: &mut Context<Self>) {
        self.ways = Some(connect.0);
    }
}

impl Handler<Left> for Steer {
    type Return = ();

    async fn handle(&mut self, left: Left, _: &mut Context<Self>) {
        self.replies.remove(&left.0);
        if let Some(call) = self.calls.remove(&left.0) {
            self.feed(self.clock.now(), Input::Left(call));
        }
    }
}

impl Handler<Opened> for Steer {
    type Return = key::Connection;

    async fn handle(&mut self, opened: Opened, _: &mut Context<Self>) -> key::Connection {
        self.idle.open(opened.0)
    }
}

impl Handler<Closed> for Steer {
    type Return = ();

    async fn handle(&mut self, closed: Closed, _: &mut Context<Self>) {
        self.idle.close(closed.0);
    }
}

impl Handler<Feed> for Steer {
    type Return = u64;

    async fn handle(&mut self, feed: Feed, _: &mut Context<Self>) -> u64 {
        self.feed(self.clock.now(), feed.0);
        self.engine.catalog().number
    }
}

impl Handler<Tick> for Steer {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.feed(now, Input::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            let catalog = self.engine.catalog();
            self.idle.sweep(now.at, |upstream| catalog.upstreams.contains_key(upstream));
        }
    }
}

impl Handler<Inspect> for Steer {
    type Return = Arc<State>;

    async fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Arc<State> {
        let engine = self.engine.dump(self.clock.now());
        Arc::new(State { engine, connections: self.idle.len() })
    }
}

/// Asks which entries a caller should use.
#[derive(Debug)]
pub struct Advise {
    /// The service that the caller wants.
    pub service: String,
    /// The failure domain that the caller is in, if it says so.
    pub domain: Option<String>,
}

/// Entries that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Addresses for callers, the best first.
    pub entries: Vec<SocketAddr>,
}

impl Handler<Advise> for Steer {
    type Return = Option<Advice>;

    async fn handle(&mut self, advise: Advise, _: &mut Context<Self>) -> Option<Advice> {
        let service = self.engine.catalog().service(&advise.service)?;
        let now = self.clock.now();
        let entries = self.engine.advise(now, service, advise.domain.as_deref());
        Some(Advice { entries })
    }
}
