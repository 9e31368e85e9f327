//! The dispatcher: the task that owns the policy engine and the pool of idle connections.
//!
//! The front end sends requests and the progress of attempts to it and receives directives. Other
//! tasks send inputs of the engine. The dispatcher passes them to the engine and performs the
//! engine's outputs.

mod control;
mod queue;

use std::collections::BTreeMap;
use std::ops::ControlFlow;

use base::prelude::*;
use policy::balance::Least;
use policy::call::Request;
use policy::engine::{Dump, Input, Output};
use policy::{Engine, Now};
use tokio::sync::{mpsc, oneshot};
use xtra::{Address, Mailbox};

pub use control::{Advice, Advise, Apply, Connect, Inspect, Opened, Tick};
pub use queue::{Description, Directive, Handle, Message, Progress, Submission, Target};

use crate::clock::Clock;
use crate::front::post;
use crate::peers::{Deliver, Discover, Peers, SetRoster};
use crate::pool::Pool;
use crate::probe;
use crate::sync::{Confirm, Propose, Submit, Synchronizer};

/// Ticks between two sweeps of the pool.
const SWEEP_TICKS: u32 = 50;

/// The state of the dispatcher.
#[derive(xtra::Actor)]
pub struct Dispatcher {
    engine: Engine<Least>,
    clock: Clock,
    pool: Pool,
    /// Requests that wait for a directive, by token.
    waiting: BTreeMap<u64, Waiting>,
    last_token: u64,
    ticks: u32,
    /// Buffer for the engine's outputs, kept so that it is allocated once.
    outputs: Vec<Output>,
    tasks: Option<Tasks>,
    /// Number of the roster that the peers task has received last.
    roster_number: u64,
}

/// A request that waits for a directive.
struct Waiting {
    reply: oneshot::Sender<Directive>,
    /// The call, once the engine has queued it.
    call: Option<key::Call>,
}

/// Addresses of the tasks that the dispatcher sends messages to.
pub struct Tasks {
    /// The task that exchanges frames with peers.
    pub peers: Address<Peers>,
    /// The task that synchronizes with the store.
    pub synchronizer: Address<Synchronizer<store::Http>>,
    /// The dispatcher itself, for the results of probes.
    pub own: Address<Dispatcher>,
}

/// A snapshot for operators and metrics.
#[derive(Clone, Debug, serde::Serialize)]
pub struct State {
    /// State of the engine.
    pub engine: Dump,
    /// Open connections to upstreams.
    pub connections: usize,
}

/// Runs the dispatcher until all its handles, or all addresses of its mailbox, are dropped.
pub async fn run(
    mut dispatcher: Dispatcher,
    mailbox: Mailbox<Dispatcher>,
    mut queue: mpsc::UnboundedReceiver<Message>,
) {
    // Dropping a pending `next` future of the mailbox can lose a message that arrives at that
    // moment, so the same future is polled until it completes.
    let mut next = mailbox.next();
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => dispatcher.handle_message(message),
                None => return,
            },
            message = &mut next => {
                next = mailbox.next();
                if let ControlFlow::Break(()) = message.dispatch_to(&mut dispatcher).await {
                    return;
                }
            }
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without other tasks; [`Connect`] adds them.
    #[must_use]
    pub fn new(engine: Engine<Least>, clock: Clock) -> Self {
        Self {
            engine,
            clock,
            pool: Pool::default(),
            waiting: BTreeMap::new(),
            last_token: 0,
            ticks: 0,
            outputs: Vec::new(),
            tasks: None,
            roster_number: 0,
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submission(submission) => self.submit(submission),
            Message::Progress(progress) => self.record_progress(progress),
            Message::Closed(connection) => self.pool.remove(connection),
        }
    }

    /// Resolves a new request and passes it to the engine.
    fn submit(&mut self, submission: Submission) {
        let now = self.clock.now();
        self.last_token += 1;
        let token = self.last_token;
        match self.resolve(token, now, &submission.description) {
            Some(request) => {
                self.waiting.insert(token, Waiting { reply: submission.reply, call: None });
                self.apply_input(now, Input::Request(request));
            }
            None => {
                // The front end drops the receiver if the caller has disconnected.
                let _ = submission.reply.send(Directive::Unknown);
            }
        }
    }

    /// Passes the progress of an attempt to the engine and returns its connection to the pool.
    fn record_progress(&mut self, progress: Progress) {
        let now = self.clock.now();
        if let Some(connection) = progress.connection {
            self.pool.put_back(now.at, connection);
        }
        if let Some(reply) = progress.reply {
            self.waiting.insert(progress.token, Waiting { reply, call: None });
        }
        let Progress { attempt, event, report, .. } = progress;
        self.apply_input(now, Input::Attempt { attempt, event, report });
    }

    /// Resolves the names of a request; returns `None` if the service is unknown.
    ///
    /// A route decides whether the request is idempotent, and the method if no route matches. The
    /// service's timeout limits the caller's.
    fn resolve(&self, token: u64, now: Now, description: &Description) -> Option<Request> {
        let catalog = self.engine.catalog();
        let service = catalog.service(&description.service)?;
        let route = catalog.route(service, &description.method, &description.path);
        let idempotent_method = is_idempotent(&description.method);
        let idempotent = route.map_or(idempotent_method, |route| catalog.routes[route].idempotent);
        let max_timeout = catalog.services[service].timeout;
        let timeout = description.timeout.unwrap_or(max_timeout).min(max_timeout);
        let workspace = description.workspace.as_deref().and_then(|name| catalog.workspace(name));
        Some(Request {
            token,
            service,
            workspace,
            route,
            idempotent,
            replayable: description.replayable,
            deadline: now.at + timeout,
            key: description.key,
            digest: description.digest,
        })
    }

    /// Passes an input to the engine and performs its outputs.
    fn apply_input(&mut self, now: Now, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.input(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.perform(now, output);
        }
        self.outputs = outputs;
        self.publish_roster();
    }

    fn perform(&mut self, now: Now, output: Output) {
        match output {
            Output::Forward { token, attempt, upstream } => {
                let target = self.prepare_target(now, token, attempt, upstream);
                self.reply(token, Directive::Forward(target));
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
            Output::Probe { upstream } => self.start_probe(upstream),
            Output::CloseIdle { upstream } => self.pool.close_idle(upstream, now.at),
            Output::Relay { token } => self.reply(token, Directive::Relay),
            Output::Send { to, frame } => self.with_peers(|task| post(task, Deliver { to, frame })),
            Output::Discover { frame } => self.with_peers(|task| post(task, Discover(frame))),
            Output::Submit { command, text } => {
                self.with_sync(|task| post(task, Submit { command, text }));
            }
            Output::ConfirmRoster => self.with_sync(|task| post(task, Confirm)),
            Output::ProposeRoster(roster) => self.with_sync(|task| post(task, Propose(roster))),
        }
    }

    /// Starts a task that probes an upstream.
    fn start_probe(&self, upstream: key::Upstream) {
        let target = self.engine.catalog().upstreams.get(upstream);
        if let (Some(tasks), Some(target)) = (&self.tasks, target) {
            tokio::spawn(probe::run(tasks.own.clone(), upstream, target.address));
        }
    }

    fn with_peers(&self, send: impl FnOnce(&Address<Peers>)) {
        if let Some(tasks) = &self.tasks {
            send(&tasks.peers);
        }
    }

    fn with_sync(&self, send: impl FnOnce(&Address<Synchronizer<store::Http>>)) {
        if let Some(tasks) = &self.tasks {
            send(&tasks.synchronizer);
        }
    }

    /// Describes where an attempt goes, with an idle connection if one may be reused.
    fn prepare_target(
        &mut self,
        now: Now,
        token: u64,
        attempt: key::Attempt,
        upstream: key::Upstream,
    ) -> Target {
        let record = &self.engine.catalog().upstreams[upstream];
        let request = self.engine.request(attempt);
        let deadline = request.map_or(now.at, |request| request.deadline);
        let connection = self.pool.take(now.at, upstream, self.engine.reuse(attempt));
        let hedge_after = self.engine.hedge_after(attempt);
        let (name, address) = (record.name.clone(), record.address);
        Target { token, deadline, attempt, upstream, name, address, connection, hedge_after }
    }

    /// Sends a directive to the front end, and cancels the attempt if the caller has disconnected.
    fn reply(&mut self, token: u64, directive: Directive) {
        let Some(waiting) = self.waiting.remove(&token) else { return };
        if let Err(Directive::Forward(target)) = waiting.reply.send(directive) {
            // The caller disconnected while it waited, so nothing was sent to the upstream.
            let event = policy::attempt::Event::Cancelled;
            let input = Input::Attempt { attempt: target.attempt, event, report: None };
            let now = self.clock.now();
            // `apply_input` is still draining the shared buffer.
            let mut outputs = Vec::new();
            self.engine.input(now, input, &mut outputs);
            for output in outputs {
                self.perform(now, output);
            }
        }
    }

    /// Sends the roster to the peers task if it has changed.
    fn publish_roster(&mut self) {
        let lease = self.engine.lease();
        if lease.number() == self.roster_number {
            return;
        }
        self.roster_number = lease.number();
        if let (Some(tasks), Some(roster)) = (&self.tasks, lease.roster()) {
            post(&tasks.peers, SetRoster(roster.clone()));
        }
    }

    /// Cancels queued calls whose callers have disconnected.
    fn cancel_abandoned(&mut self, now: Now) {
        let abandoned = self
            .waiting
            .extract_if(.., |_, waiting| waiting.call.is_some() && waiting.reply.is_closed());
        let calls: Vec<key::Call> = abandoned.filter_map(|(_, waiting)| waiting.call).collect();
        for call in calls {
            self.apply_input(now, Input::Cancelled(call));
        }
    }

    /// Runs the engine's timers and, every [`SWEEP_TICKS`], sweeps the pool.
    fn tick(&mut self) {
        let now = self.clock.now();
        self.cancel_abandoned(now);
        self.apply_input(now, Input::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            let catalog = self.engine.catalog();
            self.pool.sweep(now.at, |upstream| catalog.upstreams.contains_key(upstream));
        }
    }
}

/// Returns whether a method is idempotent by RFC 9110, section 9.2.2.
#[must_use]
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
}
