//! Messages between the tasks of a node, and the handle that sends messages to the dispatcher.
//!
//! The tasks import this module and not each other, except those that they start.

use std::net::SocketAddr;

use base::prelude::*;
use derive_more::{Display, Error};
use gateway::engine::{Advice, Choice, Dump, Health, Notice, Rejection, Request, Verdict};
use gateway::exchange::Event;
use gateway::gauge::Report;
use gateway::message::Frame;
use gateway::view::Batch;
use model::registry::{Kind, Member};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::pool::Connection;

/// A message to the dispatcher.
#[derive(Debug)]
pub enum Message {
    /// A caller's request has arrived.
    Submit {
        /// The request; the dispatcher sets its token.
        request: Request,
        /// Receives the first directive.
        reply: oneshot::Sender<Directive>,
    },
    /// A request is about to be written to a connection.
    Sent(key::Attempt),
    /// An exchange has ended.
    Completed {
        /// Request token of the front end.
        token: u64,
        /// Key of the exchange.
        exchange: key::Attempt,
        /// The event that ended the exchange.
        event: Event,
        /// Load that the upstream reported.
        report: Option<Report>,
        /// Receives the next directive.
        reply: oneshot::Sender<Directive>,
    },
    /// The hedging delay of a call has passed without a response.
    HedgeDue {
        /// Request token of the front end.
        token: u64,
        /// Key of the call.
        call: key::Call,
        /// Receives the next directive.
        reply: oneshot::Sender<Directive>,
    },
    /// The deadline of a call has passed.
    DeadlinePassed {
        /// Request token of the front end.
        token: u64,
        /// Key of the call.
        call: key::Call,
        /// Receives the next directive.
        reply: oneshot::Sender<Directive>,
    },
    /// The caller has disconnected.
    Cancelled(key::Call),
    /// A connection is idle again and returns to the pool.
    Release(key::Upstream, Connection),
    /// A probe has ended.
    Probed {
        /// Key of the upstream.
        upstream: key::Upstream,
        /// Result of the probe.
        health: Health,
    },
    /// The head of an upstream's response states something about the upstream.
    Notice(key::Upstream, Notice),
    /// A reader has read facts from the store.
    Facts {
        /// Kind of the facts.
        kind: Kind,
        /// The facts and the revisions that they cover.
        batch: Batch,
        /// When the request to the store was made.
        asked_at: Moment,
    },
    /// The store has nothing newer than the given revision.
    Current {
        /// Kind of fact.
        kind: Kind,
        /// Revision up to which the facts are current.
        revision: u64,
        /// Time at which the facts are known to have been current.
        asked_at: Moment,
    },
    /// The write of a trial's verdict to the store has ended.
    Written {
        /// Identity of the trial.
        trial: u64,
        /// Whether the store accepted the verdict.
        accepted: bool,
    },
    /// A frame from another node.
    Peer {
        /// Identity of the sending node.
        from: u64,
        /// The frame.
        frame: Frame,
    },
    /// A caller asks which addresses to connect to.
    Advise {
        /// The caller's failure domain, if it stated one.
        domain: Option<String>,
        /// Receives the addresses.
        reply: oneshot::Sender<Advice>,
    },
    /// A readiness check asks whether the node can serve.
    Ready(oneshot::Sender<bool>),
    /// A reader asks up to which revision the engine knows the facts of a kind.
    Revision(Kind, oneshot::Sender<u64>),
    /// An operator or a scraper asks for the state.
    Inspect(oneshot::Sender<State>),
    /// The node is shutting down and has to announce that it leaves.
    Leave,
}

/// What the front end has to do next for a request.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to an upstream.
    Forward(Box<Target>),
    /// Relay the response of the exchange that ended last to the caller.
    Relay,
    /// Wait for the exchanges in progress.
    Await,
    /// Respond with a refusal.
    Refuse(Rejection),
}

/// An upstream to send a request to, and the exchange to run with it.
#[derive(Debug)]
pub struct Target {
    /// Request token of the front end.
    pub token: u64,
    /// Key of the call.
    pub call: key::Call,
    /// Key of the exchange.
    pub exchange: key::Attempt,
    /// Key of the upstream.
    pub upstream: key::Upstream,
    /// Identity of the upstream.
    pub id: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// An idle connection to the upstream, if the pool has one.
    pub connection: Option<Connection>,
    /// Deadline of the call.
    pub deadline: Instant,
    /// When the request should be hedged with a second exchange.
    pub hedge_at: Option<Instant>,
    /// Why this upstream was chosen, for the log.
    pub choice: Choice,
}

/// The dispatcher's state for operators and metrics.
#[derive(Debug, serde::Serialize)]
pub struct State {
    /// State of the engine.
    pub engine: Dump,
    /// Number of idle connections to upstreams.
    pub idle: usize,
}

/// Sends a frame to one node.
#[derive(Debug)]
pub struct Deliver {
    /// Identity of the receiving node.
    pub to: u64,
    /// The frame to send.
    pub frame: Frame,
}

/// Sends a frame to an address at which the node is not known yet.
#[derive(Debug)]
pub struct Discover {
    /// The address.
    pub to: SocketAddr,
    /// The frame to send.
    pub frame: Frame,
}

/// Records the address of a member that is new, has moved or has restarted.
#[derive(Debug)]
pub struct UpdateAddress(pub Member);

/// A health check to run.
#[derive(Debug)]
pub struct Probe {
    /// Key of the upstream.
    pub upstream: key::Upstream,
    /// Identity of the upstream; another instance may have taken its address.
    pub id: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Path of the health check.
    pub path: String,
    /// An idle connection to the upstream, if the pool has one.
    pub connection: Option<Connection>,
}

/// Reads the members that the store lists, which may be some seconds old.
#[derive(Clone, Copy, Debug)]
pub struct FindMembers;

/// Registers this node in the store as a member.
#[derive(Clone, Copy, Debug)]
pub struct RegisterMember {
    /// Whether the node has to find those that register at the same time.
    pub alone: bool,
}

/// Writes the verdict of a trial to the store.
#[derive(Debug)]
pub struct FinishRollout(pub Verdict);

/// A handle that sends messages to the dispatcher.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::UnboundedSender<Message>);

/// The dispatcher's task has ended.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the node stops")]
pub struct Closed;

impl Handle {
    /// Creates a handle, and the receiver for the dispatcher's task.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends a message; it is dropped if the task has ended.
    pub fn post(&self, message: Message) {
        let _ = self.0.send(message);
    }

    /// Sends a message with a reply channel and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the task has ended.
    pub async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Closed> {
        let (sender, reply) = oneshot::channel();
        self.post(message(sender));
        reply.await.map_err(|_| Closed)
    }
}
