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

pub use message::{Closed, Directive, Handle, Message, State, Target};

use crate::Dialect;
use crate::clock;
use crate::logs;
use crate::peers::{Deliver, Discover, Peers, UpdateAddress};
use crate::pool::Pool;
use crate::probe::{self, Probe};
use crate::writer::{FinishRollout, Writer};

/// Time between ticks of the decisions.
const TICK: Span = Span::millis(200);
/// Ticks between sweeps of idle connections.
const POOL_CLEANUP_TICKS: u32 = 10;
/// Difference of the clocks that shows a suspension.
const SUSPENSION_THRESHOLD: Span = Span::millis(250);

/// Ways to the other tasks.
pub struct Tasks<R: store::Registry> {
    /// To the other nodes.
    pub peers: Address<Peers>,
    /// To the store.
    pub writer: Address<Writer<R>>,
    /// To the readers of the store.
    pub watching: watch::Sender<bool>,
    /// To the front, which keeps callers to the limits.
    pub limits: watch::Sender<Limits>,
}

/// What another task is to do.
enum Outgoing {
    Deliver(Deliver),
    Discover(Discover),
    Address(UpdateAddress),
    Finish(FinishRollout),
}

/// A request whose front waits for a directive.
struct Waiting {
    reply: oneshot::Sender<Directive>,
    call: Option<key::Call>,
}

/// The task's state.
pub struct Dispatcher<R: store::Registry> {
    engine: Engine,
    dialect: Arc<Dialect>,
    handle: Handle,
    tasks: Tasks<R>,
    pool: Pool,
    waiting: BTreeMap<u64, Waiting>,
    last_token: u64,
    ticks: u32,
    tick_at: Moment,
    /// How far the clocks are apart, one of which counts suspensions.
    clock_offset: Span,
    outputs: Vec<Output>,
    outbox: Vec<Outgoing>,
}

impl<R: store::Registry> Dispatcher<R> {
    /// Makes the task's state.
    #[must_use]
    pub fn new(engine: Engine, dialect: Arc<Dialect>, handle: Handle, tasks: Tasks<R>) -> Self {
        let now = clock::now();
        Self {
            engine,
            dialect,
            handle,
            tasks,
            pool: Pool::default(),
            waiting: BTreeMap::new(),
            last_token: 0,
            ticks: 0,
            tick_at: now,
            clock_offset: now.since(clock::monotonic()),
            outputs: Vec::new(),
            outbox: Vec::new(),
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
                    self.detect_suspension();
                    self.handle_message(message);
                }
                () = tokio::time::sleep_until(clock::instant(wake)) => self.detect_suspension(),
            }
            self.run_timers();
            self.send_outbox().await;
        }
    }

    /// Lets the decisions know if the process stood still.
    fn detect_suspension(&mut self) {
        let clock_offset = clock::now().since(clock::monotonic());
        if clock_offset.0 > (self.clock_offset + SUSPENSION_THRESHOLD).0 {
            self.apply(Input::Resumed);
        }
        self.clock_offset = clock_offset;
    }

    fn run_timers(&mut self) {
        let now = clock::now();
        if self.engine.next_wake().is_some_and(|wake| wake <= now) {
            self.apply(Input::Wake);
        }
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK;
        self.apply(Input::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(POOL_CLEANUP_TICKS) {
            self.pool.remove_expired(now);
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submit { request, reply } => self.submit(request, reply),
            Message::Sent(exchange) => {
                self.apply(Input::Exchange { exchange, event: Event::Sent, report: None });
            }
            Message::Completed { token, exchange, event, report, reply } => {
                self.add_waiting(token, exchange, reply);
                self.apply(Input::Exchange { exchange, event, report });
            }
            Message::HedgeDue { token, call, reply } => {
                self.waiting.insert(token, Waiting { reply, call: Some(call) });
                self.apply(Input::HedgeDue(call));
            }
            Message::DeadlinePassed { token, call, reply } => {
                self.waiting.insert(token, Waiting { reply, call: Some(call) });
                self.apply(Input::DeadlinePassed(call));
            }
            Message::Cancelled(call) => self.apply(Input::Cancelled(call)),
            Message::Release(upstream, connection) => {
                if self.engine.upstream(upstream).is_some() {
                    let max_idle = self.engine.idle_limit(upstream);
                    self.pool.put(clock::now(), upstream, connection, max_idle);
                }
            }
            Message::Probed { upstream, health } => self.apply(Input::Probed { upstream, health }),
            Message::Facts { kind, batch, asked_at } => {
                self.apply(Input::Facts { kind, batch, asked_at });
                self.tasks.limits.send_if_modified(|limits| {
                    let changed = *limits != self.engine.limits();
                    *limits = self.engine.limits();
                    changed
                });
            }
            Message::Current { kind, at, asked_at } => {
                self.apply(Input::Current { kind, at, asked_at });
            }
            Message::Written { trial, accepted } => self.apply(Input::Written { trial, accepted }),
            Message::Peer { from, frame } => self.apply(Input::Peer { from, frame }),
            Message::Leave => self.apply(Input::Leave),
            query => self.answer_query(query),
        }
    }

    /// Answers questions; who asked may have left meanwhile.
    fn answer_query(&mut self, query: Message) {
        let now = clock::now();
        match query {
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
                let state = State { engine: self.engine.dump(now), idle: self.pool.len() };
                let _ = reply.send(state);
            }
            _ => {}
        }
    }

    fn submit(&mut self, request: Request, reply: oneshot::Sender<Directive>) {
        self.last_token += 1;
        let token = self.last_token;
        self.waiting.insert(token, Waiting { reply, call: None });
        self.apply(Input::Request(Request { token, ..request }));
    }

    fn add_waiting(
        &mut self,
        token: u64,
        exchange: key::Attempt,
        reply: oneshot::Sender<Directive>,
    ) {
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

    fn apply(&mut self, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.input(clock::now(), input, &mut outputs);
        let mut cancelled = Vec::new();
        for output in outputs.drain(..) {
            cancelled.extend(self.execute(output));
        }
        self.outputs = outputs;
        for call in cancelled {
            self.apply(Input::Cancelled(call));
        }
    }

    /// Carries out one output; returns a call whose caller has left.
    fn execute(&mut self, output: Output) -> Option<key::Call> {
        match output {
            Output::Admitted { token, call } => {
                if let Some(waiting) = self.waiting.get_mut(&token) {
                    waiting.call = Some(call);
                }
            }
            Output::Send { token, exchange, upstream, choice } => {
                return self.forward(token, exchange, upstream, choice);
            }
            Output::Relay { token } => return self.reply(token, Directive::Relay),
            Output::Await { token } => return self.reply(token, Directive::Await),
            Output::Refuse { token, rejection } => {
                return self.reply(token, Directive::Refuse(rejection));
            }
            Output::Probe { upstream } => self.probe(upstream),
            Output::CloseIdle { upstream } => self.pool.close(upstream),
            Output::Frame { to, frame } => {
                self.outbox.push(Outgoing::Deliver(Deliver { to, frame }));
            }
            Output::Announce(frame) => self.outbox.push(Outgoing::Discover(Discover(frame))),
            Output::Address(member) => self.outbox.push(Outgoing::Address(UpdateAddress(member))),
            Output::Watch(watching) => {
                // The readers end only with the process.
                let _ = self.tasks.watching.send(watching);
            }
            Output::Write(verdict) => self.outbox.push(Outgoing::Finish(FinishRollout(verdict))),
            Output::Note(note) => logs::emit(Level::Warn, &note),
        }
        None
    }

    /// Sends what the other tasks are to do; their mailboxes are unbounded, so nothing waits.
    async fn send_outbox(&mut self) {
        for message in std::mem::take(&mut self.outbox) {
            let Tasks { peers, writer, .. } = &self.tasks;
            // The actors end only with the process.
            let _ = match message {
                Outgoing::Deliver(deliver) => peers.send(deliver).detach().await.map(drop),
                Outgoing::Discover(discover) => peers.send(discover).detach().await.map(drop),
                Outgoing::Address(update) => peers.send(update).detach().await.map(drop),
                Outgoing::Finish(finish) => writer.send(finish).detach().await.map(drop),
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

    fn forward(
        &mut self,
        token: u64,
        exchange: key::Attempt,
        upstream: key::Upstream,
        choice: Choice,
    ) -> Option<key::Call> {
        let call = self.engine.call_of(exchange)?;
        let (deadline, hedge_at) = self.engine.timers(call)?;
        let registered = self.engine.upstream(upstream)?.0;
        let target = Target {
            token,
            call,
            exchange,
            upstream,
            id: registered.id.clone(),
            address: registered.address,
            connection: self.pool.take(clock::now(), upstream),
            deadline: clock::instant(deadline),
            hedge_at: hedge_at.map(clock::instant),
            choice,
        };
        self.reply(token, Directive::Forward(Box::new(target)))
    }

    fn probe(&mut self, upstream: key::Upstream) {
        let Some((registered, path)) = self.engine.upstream(upstream) else { return };
        let request = Probe {
            upstream,
            id: registered.id.clone(),
            address: registered.address,
            path: path.to_owned(),
            connection: self.pool.take(clock::now(), upstream),
        };
        let (handle, dialect) = (self.handle.clone(), Arc::clone(&self.dialect));
        tokio::spawn(async move { probe::run(handle, &dialect, request).await });
    }
}

/// Time for which a node that leaves is still named to callers.
#[must_use]
pub fn advice_lifetime(terms: &gateway::Terms) -> Duration {
    Duration::from(terms.advice_time).min(Duration::from_millis(2_200))
}
