//! The dispatcher: the task that owns the engine and the pool of idle connections.
//!
//! All other tasks send it messages through a [`Handle`]; it passes them to the engine and carries
//! out the engine's outputs. The channel keeps the order in which messages were sent, which an
//! actor's mailbox would not: the engine interprets the end of an exchange differently if it
//! arrives before [`Message::Sent`].

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

use crate::Dialect;
use crate::clock;
use crate::logs;
use crate::message::{
    Deliver, Directive, Discover, FindMembers, FinishRollout, Handle, Message, Probe,
    RegisterMember, State, Target, UpdateAddress,
};
use crate::peers::Peers;
use crate::pool::Pool;
use crate::probe;
use crate::writer::Writer;

/// Time between ticks of the engine.
const TICK_INTERVAL: Span = Span::millis(200);
/// Time between ticks of an engine that cannot serve yet.
const START_TICK_INTERVAL: Span = Span::millis(50);
/// Ticks between removals of expired idle connections.
const POOL_CLEANUP_TICKS: u32 = 10;
/// Minimum growth of [`Dispatcher::clock_offset`] that counts as a suspension of the machine.
const SUSPENSION_THRESHOLD: Span = Span::millis(250);

/// Channels to the other tasks of the node.
pub struct Tasks<R: store::Registry> {
    /// The task that sends frames to other nodes.
    pub peers: Address<Peers>,
    /// The task that writes to the store.
    pub writer: Address<Writer<R>>,
    /// Notifies the readers of the store whether to watch it.
    pub watching: watch::Sender<bool>,
    /// Sends the current limits on callers to the front end.
    pub limits: watch::Sender<Limits>,
}

/// A message to another task that has yet to be sent.
enum Outgoing {
    Deliver(Deliver),
    Discover(Discover),
    Address(UpdateAddress),
    Finish(FinishRollout),
    Find(FindMembers),
    Register(RegisterMember),
}

/// A request whose front end waits for a directive.
struct Waiting {
    reply: oneshot::Sender<Directive>,
    call: Option<key::Call>,
}

/// The state of the dispatcher's task.
pub struct Dispatcher<R: store::Registry> {
    engine: Engine,
    dialect: Arc<Dialect>,
    handle: Handle,
    tasks: Tasks<R>,
    pool: Pool,
    waiting: BTreeMap<u64, Waiting>,
    last_token: u64,
    ticks: u32,
    next_tick: Moment,
    /// Difference between the clocks with and without suspensions, when last read.
    clock_offset: Span,
    outputs: Vec<Output>,
    outbox: Vec<Outgoing>,
}

impl<R: store::Registry> Dispatcher<R> {
    /// Creates the task's state; probes report to the task through `handle`.
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
            next_tick: now,
            clock_offset: now.since(clock::monotonic()),
            outputs: Vec::new(),
            outbox: Vec::new(),
        }
    }

    /// Runs the task until all handles to it are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wake =
                self.engine.next_wake().map_or(self.next_tick, |wake| wake.min(self.next_tick));
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

    /// Notifies the engine if the machine was suspended.
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
        if now < self.next_tick {
            return;
        }
        let interval = if self.engine.is_ready() { TICK_INTERVAL } else { START_TICK_INTERVAL };
        self.next_tick = now + interval;
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
            Message::Current { kind, revision, asked_at } => {
                self.apply(Input::Current { kind, revision, asked_at });
            }
            Message::Written { trial, accepted } => self.apply(Input::Written { trial, accepted }),
            Message::Notice(upstream, notice) => self.apply(Input::Notice { upstream, notice }),
            Message::Peer { from, frame } => self.apply(Input::Peer { from, frame }),
            Message::Leave => self.apply(Input::Leave),
            query => self.reply_to_query(query),
        }
    }

    /// Replies to a query; a reply whose receiver has been dropped meanwhile is discarded.
    fn reply_to_query(&mut self, query: Message) {
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
            // The call has ended meanwhile, so the engine has no directive for it.
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

    /// Carries out one output; returns the call if its caller has disconnected.
    fn execute(&mut self, output: Output) -> Option<key::Call> {
        match output {
            Output::Admitted { token, call } => {
                if let Some(waiting) = self.waiting.get_mut(&token) {
                    waiting.call = Some(call);
                }
            }
            Output::Forward { token, exchange, upstream, choice } => {
                return self.forward(token, exchange, upstream, choice);
            }
            Output::Relay { token } => return self.reply(token, Directive::Relay),
            Output::Await { token } => return self.reply(token, Directive::Await),
            Output::Refuse { token, rejection } => {
                return self.reply(token, Directive::Refuse(rejection));
            }
            Output::Probe { upstream } => self.probe(upstream),
            Output::CloseIdle { upstream } => self.pool.close(upstream),
            Output::Send { to, frame } => {
                self.outbox.push(Outgoing::Deliver(Deliver { to, frame }));
            }
            Output::Discover { to, frame } => {
                self.outbox.push(Outgoing::Discover(Discover { to, frame }));
            }
            Output::Address(member) => self.outbox.push(Outgoing::Address(UpdateAddress(member))),
            Output::FindMembers => self.outbox.push(Outgoing::Find(FindMembers)),
            Output::Register { alone } => {
                self.outbox.push(Outgoing::Register(RegisterMember { alone }));
            }
            Output::Watch(watching) => {
                // The readers end only when the node does.
                let _ = self.tasks.watching.send(watching);
            }
            Output::Write(verdict) => self.outbox.push(Outgoing::Finish(FinishRollout(verdict))),
            Output::Note(note) => logs::emit(Level::Warn, &note),
        }
        None
    }

    /// Sends the pending messages to the other tasks.
    ///
    /// Their mailboxes are unbounded, so this does not wait.
    async fn send_outbox(&mut self) {
        for message in std::mem::take(&mut self.outbox) {
            let Tasks { peers, writer, .. } = &self.tasks;
            // The actors end only when the node does.
            let _ = match message {
                Outgoing::Deliver(deliver) => peers.send(deliver).detach().await.map(drop),
                Outgoing::Discover(discover) => peers.send(discover).detach().await.map(drop),
                Outgoing::Address(update) => peers.send(update).detach().await.map(drop),
                Outgoing::Find(find) => writer.send(find).detach().await.map(drop),
                Outgoing::Register(register) => writer.send(register).detach().await.map(drop),
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

/// Returns how long callers may still use the address of a node that is shutting down.
///
/// This is the time for which the directory's responses are valid, but at most 2.2 s, as the engine
/// limits their time to live to 2 s.
#[must_use]
pub fn advice_lifetime(terms: &gateway::Terms) -> Duration {
    Duration::from(terms.advice_time).min(Duration::from_millis(2_200))
}
