//! What the decisions' task is told and asked, and what it answers.

use std::net::SocketAddr;

use base::prelude::*;
use derive_more::{Display, Error};
use gateway::engine::{Advice, Choice, Dump, Health, Rejection, Request};
use gateway::exchange::Event;
use gateway::gauge::Report;
use gateway::message::Frame;
use gateway::view::Batch;
use model::registry::Kind;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::pool::Connection;

/// What the task is told.
#[derive(Debug)]
pub enum Message {
    /// A request asks where to go.
    Submit {
        /// The request; its mark is set by the task.
        request: Request,
        /// Where the answer goes.
        reply: oneshot::Sender<Directive>,
    },
    /// A request was handed to a connection.
    Sent(key::Attempt),
    /// An exchange has ended.
    Completed {
        /// The call's mark.
        token: u64,
        /// The exchange.
        exchange: key::Attempt,
        /// What happened.
        event: Event,
        /// What the upstream said of itself.
        report: Option<Report>,
        /// Where the next directive goes.
        reply: oneshot::Sender<Directive>,
    },
    /// The answer to a call takes long.
    HedgeDue {
        /// The call's mark.
        token: u64,
        /// The call.
        call: key::Call,
        /// Where the next directive goes.
        reply: oneshot::Sender<Directive>,
    },
    /// The time of a call is over.
    DeadlinePassed {
        /// The call's mark.
        token: u64,
        /// The call.
        call: key::Call,
        /// Where the next directive goes.
        reply: oneshot::Sender<Directive>,
    },
    /// The caller of a call has left.
    Cancelled(key::Call),
    /// A connection is free.
    Release(key::Upstream, Connection),
    /// A question for health has ended.
    Probed {
        /// The upstream.
        upstream: key::Upstream,
        /// What came of it.
        health: Health,
    },
    /// The store holds facts.
    Facts {
        /// Their kind.
        kind: Kind,
        /// The facts.
        batch: Batch,
        /// When they were asked for.
        asked_at: Moment,
    },
    /// The store has nothing newer.
    Current {
        /// The kind.
        kind: Kind,
        /// Revision of the store.
        at: u64,
        /// When it was asked.
        asked_at: Moment,
    },
    /// The store has accepted how a trial ended, or has not.
    Written {
        /// Identity of the trial.
        trial: u64,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// A frame of another node.
    Peer {
        /// The node's identity.
        from: u64,
        /// What it sent.
        frame: Frame,
    },
    /// A caller asks where to connect.
    Advise {
        /// Its failure domain.
        domain: Option<String>,
        /// Where the answer goes.
        reply: oneshot::Sender<Advice>,
    },
    /// Someone asks whether the node can serve.
    Ready(oneshot::Sender<bool>),
    /// A reader asks up to which revision facts are known.
    Revision(Kind, oneshot::Sender<u64>),
    /// An operator asks for the state.
    Inspect(oneshot::Sender<State>),
    /// The node is to leave.
    Leave,
}

/// What a request's front is to do.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to an upstream.
    Forward(Box<Target>),
    /// Pass on the answer of the exchange that was told last.
    Relay,
    /// Wait for the exchanges in progress.
    Await,
    /// Answer with a refusal.
    Refuse(Rejection),
}

/// Where a request is to go.
#[derive(Debug)]
pub struct Target {
    /// The call's mark.
    pub token: u64,
    /// The call.
    pub call: key::Call,
    /// The exchange.
    pub exchange: key::Attempt,
    /// The upstream.
    pub upstream: key::Upstream,
    /// Its identity.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// An idle connection to it.
    pub connection: Option<Connection>,
    /// When the call's time is over.
    pub deadline: Instant,
    /// When another upstream should be asked too.
    pub hedge_at: Option<Instant>,
    /// What decided it.
    pub choice: Choice,
}

/// The state of the task for operators.
#[derive(Debug, serde::Serialize)]
pub struct State {
    /// The decisions.
    pub engine: Dump,
    /// Idle connections to upstreams.
    pub idle: usize,
}

/// The way to the task.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::UnboundedSender<Message>);

/// The task has ended.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the node stops")]
pub struct Closed;

impl Handle {
    /// Makes the way and the end that the task keeps.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends a message; one that comes after the task's end has no meaning any more.
    pub fn post(&self, message: Message) {
        let _ = self.0.send(message);
    }

    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the task has ended.
    pub async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Closed> {
        let (reply, answer) = oneshot::channel();
        self.post(message(reply));
        answer.await.map_err(|_| Closed)
    }
}
