//! Messages to the dispatcher that are not part of the request path.
//!
//! They arrive through the actor's mailbox, from the tasks for peers, the store, probes and
//! operators.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use policy::engine::Input;
use xtra::prelude::*;

use super::{Dispatcher, State, Tasks};

/// Sets the tasks that the dispatcher sends messages to.
pub struct Connect(pub Tasks);

/// Registers a new connection to an upstream and returns its key.
#[derive(Debug)]
pub struct Opened(pub key::Upstream);

/// Applies an input to the engine; returns the number of the configuration in force.
#[derive(Debug)]
pub struct Apply(pub Input);

/// Runs the timers.
#[derive(Debug)]
pub struct Tick;

/// Returns a snapshot of the state.
#[derive(Debug)]
pub struct Inspect;

/// Returns the entries that a caller should use, or `None` for an unknown service.
#[derive(Debug)]
pub struct Advise {
    /// Name of the service.
    pub service: String,
    /// Failure domain of the caller, if it is known.
    pub domain: Option<String>,
}

/// Entries that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Addresses for callers, in order of preference.
    pub entries: Vec<SocketAddr>,
}

impl Handler<Connect> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, connect: Connect, _: &mut Context<Self>) {
        self.tasks = Some(connect.0);
    }
}

impl Handler<Opened> for Dispatcher {
    type Return = key::Connection;

    async fn handle(&mut self, opened: Opened, _: &mut Context<Self>) -> key::Connection {
        self.pool.register(opened.0)
    }
}

impl Handler<Apply> for Dispatcher {
    type Return = u64;

    async fn handle(&mut self, apply: Apply, _: &mut Context<Self>) -> u64 {
        self.apply_input(self.clock.now(), apply.0);
        self.engine.catalog().number
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.tick();
    }
}

impl Handler<Inspect> for Dispatcher {
    type Return = Arc<State>;

    async fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Arc<State> {
        let engine = self.engine.dump(self.clock.now());
        Arc::new(State { engine, connections: self.pool.open_connections() })
    }
}

impl Handler<Advise> for Dispatcher {
    type Return = Option<Advice>;

    async fn handle(&mut self, advise: Advise, _: &mut Context<Self>) -> Option<Advice> {
        let service = self.engine.catalog().service(&advise.service)?;
        let now = self.clock.now();
        let entries = self.engine.advise(now, service, advise.domain.as_deref());
        Some(Advice { entries })
    }
}
