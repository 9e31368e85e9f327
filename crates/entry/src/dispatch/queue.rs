//! The way of the request path into the decisions' task, in order of sending.
//!
//! The mailbox of an actor orders messages by priority and not by age, and the events of one
//! attempt mean something else in another order. So they have a queue of their own.

use std::net::SocketAddr;

use base::prelude::*;
use policy::attempt::Event;
use policy::balance::Report;
use policy::call::{Outcome, Refusal};
use tokio::sync::{mpsc, oneshot};
use xtra::{Address, Handler};

use super::Dispatcher;
use crate::pool::Connection;

/// A message of the request path.
#[derive(Debug)]
pub enum Message {
    /// Places a request.
    Submission(Submission),
    /// Reports what happened to an attempt.
    Progress(Progress),
    /// Forgets a connection that was closed.
    Closed(key::Connection),
}

/// Places a request; directives come through `reply`.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub description: Description,
    /// Takes the first directive.
    pub reply: oneshot::Sender<Directive>,
}

/// What the front found out about a request that it names by text.
#[derive(Debug)]
pub struct Description {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: Option<String>,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Time that the caller waits.
    pub timeout: Option<Span>,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Digest of the idempotency key, within the service and the workspace.
    pub key: Option<u64>,
    /// Digest of the request.
    pub digest: u64,
}

/// Reports what happened to an attempt.
#[derive(Debug)]
pub struct Progress {
    /// The task's mark for the request.
    pub token: u64,
    /// The attempt.
    pub attempt: key::Attempt,
    /// What happened.
    pub event: Event,
    /// What the upstream said of itself.
    pub report: Option<Report>,
    /// A connection that is free again.
    pub connection: Option<Connection>,
    /// Takes the next directive, if the front waits for one.
    pub reply: Option<oneshot::Sender<Directive>>,
}

impl Progress {
    /// Makes a report with nothing but the event.
    #[must_use]
    pub fn new(token: u64, attempt: key::Attempt, event: Event) -> Self {
        Self { token, attempt, event, report: None, connection: None, reply: None }
    }
}

/// What the front has to do with a request.
#[derive(Debug)]
pub enum Directive {
    /// Sends it to an upstream.
    Send(Target),
    /// Goes on waiting for the attempt's answer.
    Continue,
    /// Passes the answer on.
    Relay,
    /// Answers that the service is not known.
    Unknown,
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
    /// The task's mark for the request.
    pub token: u64,
    /// When the caller's patience ends.
    pub deadline: Moment,
    /// The attempt.
    pub attempt: key::Attempt,
    /// The upstream.
    pub upstream: key::Upstream,
    /// The upstream's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// An open connection, if a usable one is idle.
    pub connection: Option<Connection>,
    /// Time without an answer after which another attempt is weighed.
    pub hedge_after: Option<Span>,
}

/// A way into the decisions' task.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: mpsc::UnboundedSender<Message>,
    control: Address<Dispatcher>,
}

impl Handle {
    /// Makes a way from its two parts.
    #[must_use]
    pub fn new(queue: mpsc::UnboundedSender<Message>, control: Address<Dispatcher>) -> Self {
        Self { queue, control }
    }

    /// Sends a message of the request path; order is kept.
    pub fn post(&self, message: Message) {
        // The task ends only with the process, and then nobody needs the message.
        let _ = self.queue.send(message);
    }

    /// Reports what happened to an attempt.
    pub fn report(&self, progress: Progress) {
        self.post(Message::Progress(progress));
    }

    /// Sends a message off the request path and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the task has ended.
    pub async fn ask<M>(
        &self,
        message: M,
    ) -> Result<<Dispatcher as Handler<M>>::Return, xtra::Error>
    where
        M: Send + 'static,
        Dispatcher: Handler<M>,
    {
        self.control.send(message).await
    }
}
