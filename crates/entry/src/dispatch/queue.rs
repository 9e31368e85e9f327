//! Messages of the request path, in a queue that keeps the order in which they were sent.
//!
//! An actor's mailbox orders messages by priority and not by age, and reordered events of an
//! attempt would be misinterpreted. Messages of the request path therefore have their own queue.
//! The front end sends them through a [`Handle`].

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
    /// A new request.
    Submission(Submission),
    /// An event of an attempt.
    Progress(Progress),
    /// A connection was closed.
    Closed(key::Connection),
}

/// A new request of a caller.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub description: Description,
    /// Receives the first directive.
    pub reply: oneshot::Sender<Directive>,
}

/// A request as the front end describes it, with names that are not resolved yet.
#[derive(Debug)]
pub struct Description {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace, if the request has one.
    pub workspace: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Time that the caller waits, if it states one.
    pub timeout: Option<Span>,
    /// Whether the body is buffered and can be sent again.
    pub replayable: bool,
    /// Digest of the idempotency key, within the service and the workspace.
    pub key: Option<u64>,
    /// Digest of the service, method, path and buffered body, by which the engine recognizes a
    /// request that is sent again.
    pub digest: u64,
}

/// An event of an attempt, with the load report and the connection that come with it.
#[derive(Debug)]
pub struct Progress {
    /// Token of the request.
    pub token: u64,
    /// The attempt.
    pub attempt: key::Attempt,
    /// The event.
    pub event: Event,
    /// The load report of the upstream's response, if there is one.
    pub report: Option<Report>,
    /// A connection that returns to the pool.
    pub connection: Option<Connection>,
    /// Receives the next directive, if the front end waits for one.
    pub reply: Option<oneshot::Sender<Directive>>,
}

impl Progress {
    /// Creates a message with an event only.
    #[must_use]
    pub fn new(token: u64, attempt: key::Attempt, event: Event) -> Self {
        Self { token, attempt, event, report: None, connection: None, reply: None }
    }
}

/// What the front end does next with a request.
#[derive(Debug)]
pub enum Directive {
    /// Sends the request to an upstream.
    Forward(Target),
    /// Continues to wait for the response to the attempt.
    Continue,
    /// Relays the upstream's response to the caller.
    Relay,
    /// Responds that the service is unknown.
    Unknown,
    /// Responds with a refusal.
    Refuse {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Whether the request may have run.
        outcome: Outcome,
        /// Time after which the caller may retry.
        retry_after: Span,
    },
}

/// The upstream that a request is sent to.
#[derive(Debug)]
pub struct Target {
    /// Token of the request.
    pub token: u64,
    /// Deadline of the request.
    pub deadline: Moment,
    /// The attempt.
    pub attempt: key::Attempt,
    /// The upstream.
    pub upstream: key::Upstream,
    /// The upstream's name.
    pub name: String,
    /// The upstream's address.
    pub address: SocketAddr,
    /// An idle connection that may be reused, if there is one.
    pub connection: Option<Connection>,
    /// Time without a response after which the engine is asked for a hedged attempt.
    pub hedge_after: Option<Span>,
}

/// A handle to the dispatcher: the queue of the request path and the actor's address.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: mpsc::UnboundedSender<Message>,
    control: Address<Dispatcher>,
}

impl Handle {
    /// Creates a handle from the two channels.
    #[must_use]
    pub fn new(queue: mpsc::UnboundedSender<Message>, control: Address<Dispatcher>) -> Self {
        Self { queue, control }
    }

    /// Queues a message of the request path; messages keep their order.
    pub fn post(&self, message: Message) {
        // The dispatcher ends only with the process, and messages to it are then of no use.
        let _ = self.queue.send(message);
    }

    /// Reports an event of an attempt.
    pub fn report(&self, progress: Progress) {
        self.post(Message::Progress(progress));
    }

    /// Sends a message to the mailbox and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the dispatcher has ended.
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
