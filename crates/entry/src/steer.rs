//! The task that owns the decisions and the idle connections.

mod control;
mod lane;

use std::collections::BTreeMap;
use std::ops::ControlFlow;

use base::prelude::*;
use policy::balance::Least;
use policy::call::Request;
use policy::engine::{Dump, Input, Output};
use policy::{Engine, Now};
use tokio::sync::{mpsc, oneshot};
use xtra::{Address, Mailbox};

pub use control::{Advice, Advise, Connect, Feed, Inspect, Opened, Tick};
pub use lane::{Asked, Directive, Happened, Message, Place, Target, Way};

use crate::clock::Clock;
use crate::contact::{Confirm, Contact, Order, Propose};
use crate::front::post;
use crate::health;
use crate::idle::Idle;
use crate::peers::{Deliver, Hail, Members, Peers};

/// Ticks between sweeps of idle connections.
const SWEEP_TICKS: u32 = 50;

/// The task's state.
#[derive(xtra::Actor)]
pub struct Steer {
    engine: Engine<Least>,
    clock: Clock,
    idle: Idle,
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    ticks: u32,
    out: Vec<Output>,
    ways: Option<Ways>,
    roster: u64,
}

/// A request whose front waits for a directive.
struct Waiting {
    reply: oneshot::Sender<Directive>,
    call: Option<key::Call>,
}

/// Ways to the tasks that talk with peers and with the store.
pub struct Ways {
    /// To the peers.
    pub peers: Address<Peers>,
    /// To the store.
    pub contact: Address<Contact<store::Http>>,
    /// Back to this task.
    pub own: Address<Steer>,
}

/// The state of the task for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct State {
    /// The decisions.
    pub engine: Dump,
    /// Open connections to upstreams.
    pub connections: usize,
}

/// Runs the task until every way to it is gone.
pub async fn run(
    mut steer: Steer,
    mailbox: Mailbox<Steer>,
    mut lane: mpsc::UnboundedReceiver<Message>,
) {
    // Dropping a wait for the mailbox can lose the message that arrives meanwhile, so one wait is
    // kept until it ends.
    let mut next = mailbox.next();
    loop {
        tokio::select! {
            message = lane.recv() => match message {
                Some(message) => steer.handle_message(message),
                None => return,
            },
            message = &mut next => {
                next = mailbox.next();
                if let ControlFlow::Break(()) = message.dispatch_to(&mut steer).await {
                    return;
                }
            }
        }
    }
}

impl Steer {
    /// Makes the task's state.
    #[must_use]
    pub fn new(engine: Engine<Least>, clock: Clock) -> Self {
        Self {
            engine,
            clock,
            idle: Idle::default(),
            waiting: BTreeMap::new(),
            next: 0,
            ticks: 0,
            out: Vec::new(),
            ways: None,
            roster: 0,
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Place(place) => self.place(place),
            Message::Happened(happened) => self.happened(happened),
            Message::Closed(connection) => self.idle.close(connection),
        }
    }

    fn place(&mut self, place: Place) {
        let now = self.clock.now();
        self.next += 1;
        let token = self.next;
        match self.request(token, now, &place.asked) {
            Some(request) => {
                self.waiting.insert(token, Waiting { reply: place.reply, call: None });
                self.feed(now, Input::Request(request));
            }
            None => {
                // A front that left needs no answer.
                let _ = place.reply.send(Directive::Unknown);
            }
        }
    }

    fn happened(&mut self, happened: Happened) {
        let now = self.clock.now();
        if let Some(link) = happened.link {
            self.idle.put(now.at, link);
        }
        if let Some(reply) = happened.reply {
            self.waiting.insert(happened.token, Waiting { reply, call: None });
        }
        let Happened { attempt, event, report, .. } = happened;
        self.feed(now, Input::Attempt { attempt, event, report });
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
            key: asked.key,
            digest: asked.digest,
        })
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

    fn carry_out(&mut self, now: Now, output: Output) {
        match output {
            Output::Forward { token, attempt, upstream } => {
                let target = self.target(now, token, attempt, upstream);
                self.reply(token, Directive::Send(target));
            }
            Output::Wait { token, call } => {
                if let Some(waiting) = self.waiting.get_mut(&token) {
                    waiting.call = Some(call);
                }
            }
            Output::Refuse { token, refusal, outcome, retry_after } => {
                self.reply(token, Directive::Refuse { refusal, outcome, retry_after });
            }
            Output::Continue { token } => self.reply(token, Directive::Continue),
            Output::Probe { upstream } => self.probe(upstream),
            Output::CloseIdle { upstream } => self.idle.retire(upstream, now.at),
            Output::Relay { token } => self.reply(token, Directive::Pass),
            Output::Send { to, frame } => self.peers(|peers| post(peers, Deliver { to, frame })),
            Output::Discover { frame } => self.peers(|peers| post(peers, Hail(frame))),
            Output::Submit { command, text } => {
                self.contact(|contact| post(contact, Order { command, text }));
            }
            Output::ConfirmRoster => self.contact(|contact| post(contact, Confirm)),
            Output::ProposeRoster(roster) => self.contact(|contact| post(contact, Propose(roster))),
        }
    }

    /// Starts a task that asks an upstream for its health.
    fn probe(&self, upstream: key::Upstream) {
        let known = self.engine.catalog().upstreams.get(upstream);
        if let (Some(ways), Some(known)) = (&self.ways, known) {
            tokio::spawn(health::ask(ways.own.clone(), upstream, known.address));
        }
    }

    fn peers(&self, tell: impl FnOnce(&Address<Peers>)) {
        if let Some(ways) = &self.ways {
            tell(&ways.peers);
        }
    }

    fn contact(&self, tell: impl FnOnce(&Address<Contact<store::Http>>)) {
        if let Some(ways) = &self.ways {
            tell(&ways.contact);
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
        let request = self.engine.request(attempt);
        let deadline = request.map_or(now.at, |request| request.deadline);
        let link = self.idle.take(now.at, upstream, self.engine.reuse(attempt));
        let hedge_after = self.engine.hedge_after(attempt);
        let (name, address) = (known.name.clone(), known.address);
        Target { token, deadline, attempt, upstream, name, address, link, hedge_after }
    }

    fn reply(&mut self, token: u64, directive: Directive) {
        let Some(waiting) = self.waiting.remove(&token) else { return };
        if let Err(Directive::Send(target)) = waiting.reply.send(directive) {
            // The caller left while it waited, so nothing was sent.
            let event = policy::attempt::Event::Cancelled;
            let input = Input::Attempt { attempt: target.attempt, event, report: None };
            let now = self.clock.now();
            let mut out = Vec::new();
            self.engine.input(now, input, &mut out);
            for output in out {
                self.carry_out(now, output);
            }
        }
    }

    /// Tells the task that owns the endpoint of a new roster.
    fn tell_members(&mut self) {
        let tenure = self.engine.lease();
        if tenure.number() == self.roster {
            return;
        }
        self.roster = tenure.number();
        if let (Some(ways), Some(roster)) = (&self.ways, tenure.roster()) {
            post(&ways.peers, Members(roster.clone()));
        }
    }

    /// Forgets waiting calls whose callers have left.
    fn forget_left(&mut self, now: Now) {
        let gone = self
            .waiting
            .extract_if(.., |_, waiting| waiting.call.is_some() && waiting.reply.is_closed());
        let calls: Vec<key::Call> = gone.filter_map(|(_, waiting)| waiting.call).collect();
        for call in calls {
            self.feed(now, Input::Cancelled(call));
        }
    }

    /// Lets time pass.
    fn tick(&mut self) {
        let now = self.clock.now();
        self.forget_left(now);
        self.feed(now, Input::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            let catalog = self.engine.catalog();
            self.idle.sweep(now.at, |upstream| catalog.upstreams.contains_key(upstream));
        }
    }
}

/// Tells whether a method is idempotent by RFC 9110, section 9.2.2.
#[must_use]
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
}
