//! The task that owns the decisions and the idle connections.
//!
//! It takes messages in the order in which they were sent, which an actor's mailbox would not keep:
//! the end of an exchange that overtakes its sending means something else.

mod message;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use gateway::engine::{Choice, Request};
use gateway::exchange::Event;
use gateway::{Engine, Input, Output};
use log::Level;
use model::table::Limits;
use tokio::sync::{mpsc, oneshot, watch};

use xtra::Address;

pub use message::{Directive, Gone, Message, State, Target, Way};

use crate::Dialect;
use crate::clock;
use crate::contact::{Contact, End};
use crate::link::Idle;
use crate::logs;
use crate::peers::{Deliver, Hail, Learn, Peers};
use crate::probe::{self, Question};

/// Time between ticks of the decisions.
const TICK: Span = Span::millis(200);
/// Ticks between sweeps of idle connections.
const SWEEP_TICKS: u32 = 10;
/// Difference of the clocks that shows a suspension.
const SUSPENDED: Span = Span::millis(250);

/// Ways to the other tasks.
pub struct Ways<R: store::Registry> {
    /// To the other nodes.
    pub peers: Address<Peers>,
    /// To the store.
    pub contact: Address<Contact<R>>,
    /// To the readers of the store.
    pub watching: watch::Sender<bool>,
    /// To the front, which keeps callers to the limits.
    pub limits: watch::Sender<Limits>,
}

/// What another task is to do.
enum Errand {
    Deliver(Deliver),
    Hail(Hail),
    Learn(Learn),
    End(End),
}

/// A request whose front waits for a directive.
struct Waiting {
    reply: oneshot::Sender<Directive>,
    call: Option<key::Call>,
}

/// The task's state.
pub struct Steer<R: store::Registry> {
    engine: Engine,
    dialect: Arc<Dialect>,
    own: Way,
    ways: Ways<R>,
    idle: Idle,
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    ticks: u32,
    tick_at: Moment,
    /// How far the clocks are apart, one of which counts suspensions.
    apart: Span,
    out: Vec<Output>,
    errands: Vec<Errand>,
}

impl<R: store::Registry> Steer<R> {
    /// Makes the task's state.
    #[must_use]
    pub fn new(engine: Engine, dialect: Arc<Dialect>, own: Way, ways: Ways<R>) -> Self {
        let now = clock::now();
        Self {
            engine,
            dialect,
            own,
            ways,
            idle: Idle::default(),
            waiting: BTreeMap::new(),
            next: 0,
            ticks: 0,
            tick_at: now,
            apart: now.since(clock::running()),
            out: Vec::new(),
            errands: Vec::new(),
        }
    }

    /// Runs the task until the way to it is gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wake = self.engine.next_wake().map_or(self.tick_at, |wake| wake.min(self.tick_at));
            tokio::select! {
                biased;
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.check_clocks();
                    self.handle(message);
                }
                () = tokio::time::sleep_until(clock::instant(wake)) => self.check_clocks(),
            }
            self.pass_time();
            self.run_errands().await;
        }
    }

    /// Lets the decisions know if the process stood still.
    fn check_clocks(&mut self) {
        let apart = clock::now().since(clock::running());
        if apart.0 > (self.apart + SUSPENDED).0 {
            self.feed(Input::Resumed);
        }
        self.apart = apart;
    }

    fn pass_time(&mut self) {
        let now = clock::now();
        if self.engine.next_wake().is_some_and(|wake| wake <= now) {
            self.feed(Input::Wake);
        }
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK;
        self.feed(Input::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            self.idle.sweep(now);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Place { request, reply } => self.place(request, reply),
            Message::Sent(exchange) => {
                self.feed(Input::Exchange { exchange, event: Event::Sent, report: None });
            }
            Message::Ended { token, exchange, event, report, reply } => {
                self.wait(token, exchange, reply);
                self.feed(Input::Exchange { exchange, event, report });
            }
            Message::Slow { token, call, reply } => {
                self.waiting.insert(token, Waiting { reply, call: Some(call) });
                self.feed(Input::HedgeDue(call));
            }
            Message::Late { token, call, reply } => {
                self.waiting.insert(token, Waiting { reply, call: Some(call) });
                self.feed(Input::DeadlinePassed(call));
            }
            Message::Left(call) => self.feed(Input::Cancelled(call)),
            Message::Free(upstream, link) => {
                if self.engine.upstream(upstream).is_some() {
                    let most = self.engine.idle_limit(upstream);
                    self.idle.put(clock::now(), upstream, link, most);
                }
            }
            Message::Probed { upstream, health } => self.feed(Input::Probed { upstream, health }),
            Message::Facts { kind, batch, asked_at } => {
                self.feed(Input::Facts { kind, batch, asked_at });
                self.ways.limits.send_if_modified(|limits| {
                    let changed = *limits != self.engine.limits();
                    *limits = self.engine.limits();
                    changed
                });
            }
            Message::Current { kind, at, asked_at } => {
                self.feed(Input::Current { kind, at, asked_at });
            }
            Message::Written { trial, accepted } => self.feed(Input::Written { trial, accepted }),
            Message::Peer { from, frame } => self.feed(Input::Peer { from, frame }),
            Message::Leave => self.feed(Input::Leave),
            question => self.answer(question),
        }
    }

    /// Answers questions; who asked may have left meanwhile.
    fn answer(&mut self, question: Message) {
        let now = clock::now();
        match question {
            Message::Advise { domain, reply } => {
                let _ = reply.send(self.engine.advise(now, domain.as_deref()));
            }
            Message::Ready(reply) => {
                let _ = reply.send(self.engine.is_ready());
            }
            Message::Revision(kind, reply) => {
                let _ = reply.send(self.engine.revision(kind));
            }
            Message::Inspect(reply) => {
                let state = State { engine: self.engine.dump(now), idle: self.idle.len() };
                let _ = reply.send(state);
            }
            _ => {}
        }
    }

    fn place(&mut self, request: Request, reply: oneshot::Sender<Directive>) {
        self.next += 1;
        let token = self.next;
        self.waiting.insert(token, Waiting { reply, call: None });
        self.feed(Input::Request(Request { token, ..request }));
    }

    fn wait(&mut self, token: u64, exchange: key::Attempt, reply: oneshot::Sender<Directive>) {
        match self.engine.call_of(exchange) {
            Some(call) => {
                self.waiting.insert(token, Waiting { reply, call: Some(call) });
            }
            // The call has ended meanwhile, so that no directive would come.
            None => {
                let _ = reply.send(Directive::Await);
            }
        }
    }

    fn feed(&mut self, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.engine.input(clock::now(), input, &mut out);
        let mut left = Vec::new();
        for output in out.drain(..) {
            left.extend(self.carry_out(output));
        }
        self.out = out;
        for call in left {
            self.feed(Input::Cancelled(call));
        }
    }

    /// Carries out one output; returns a call whose caller has left.
    fn carry_out(&mut self, output: Output) -> Option<key::Call> {
        match output {
            Output::Admitted { token, call } => {
                if let Some(waiting) = self.waiting.get_mut(&token) {
                    waiting.call = Some(call);
                }
            }
            Output::Forward { token, exchange, upstream, choice } => {
                return self.send(token, exchange, upstream, choice);
            }
            Output::Relay { token } => return self.reply(token, Directive::Pass),
            Output::Await { token } => return self.reply(token, Directive::Await),
            Output::Refuse { token, rejection } => {
                return self.reply(token, Directive::Refuse(rejection));
            }
            Output::Probe { upstream } => self.probe(upstream),
            Output::CloseIdle { upstream } => self.idle.retire(upstream),
            Output::Send { to, frame } => {
                self.errands.push(Errand::Deliver(Deliver { to, frame }));
            }
            Output::Discover(frame) => self.errands.push(Errand::Hail(Hail(frame))),
            Output::Address(member) => self.errands.push(Errand::Learn(Learn(member))),
            Output::Watch(watching) => {
                // The readers end only with the process.
                let _ = self.ways.watching.send(watching);
            }
            Output::Write(order) => self.errands.push(Errand::End(End(order))),
            Output::Note(note) => logs::value(Level::Warn, &note),
        }
        None
    }

    /// Sends what the other tasks are to do; their mailboxes are unbounded, so nothing waits.
    async fn run_errands(&mut self) {
        for errand in std::mem::take(&mut self.errands) {
            let Ways { peers, contact, .. } = &self.ways;
            // The actors end only with the process.
            let _ = match errand {
                Errand::Deliver(deliver) => peers.send(deliver).detach().await.map(drop),
                Errand::Hail(hail) => peers.send(hail).detach().await.map(drop),
                Errand::Learn(learn) => peers.send(learn).detach().await.map(drop),
                Errand::End(end) => contact.send(end).detach().await.map(drop),
            };
        }
    }

    fn reply(&mut self, token: u64, directive: Directive) -> Option<key::Call> {
        let waiting = self.waiting.remove(&token)?;
        match waiting.reply.send(directive) {
            Ok(()) => None,
            Err(_) => waiting.call,
        }
    }

    fn send(
        &mut self,
        token: u64,
        exchange: key::Attempt,
        upstream: key::Upstream,
        choice: Choice,
    ) -> Option<key::Call> {
        let call = self.engine.call_of(exchange)?;
        let (deadline, slow) = self.engine.timers(call)?;
        let known = self.engine.upstream(upstream)?.0;
        let target = Target {
            token,
            call,
            exchange,
            upstream,
            id: known.id.clone(),
            address: known.address,
            link: self.idle.take(clock::now(), upstream),
            deadline: clock::instant(deadline),
            slow: slow.map(clock::instant),
            choice,
        };
        self.reply(token, Directive::Send(Box::new(target)))
    }

    fn probe(&mut self, upstream: key::Upstream) {
        let Some((known, path)) = self.engine.upstream(upstream) else { return };
        let question = Question {
            upstream,
            id: known.id.clone(),
            address: known.address,
            path: path.to_owned(),
            link: self.idle.take(clock::now(), upstream),
        };
        let (own, dialect) = (self.own.clone(), Arc::clone(&self.dialect));
        tokio::spawn(async move { probe::ask(own, &dialect, question).await });
    }
}

/// Time for which a node that leaves is still named to callers.
#[must_use]
pub fn forgotten_after(terms: &gateway::Terms) -> Duration {
    Duration::from(terms.advice_time).min(Duration::from_millis(2_200))
}
