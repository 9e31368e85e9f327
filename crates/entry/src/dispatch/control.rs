//! Messages off the request path.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use policy::engine::Input;
use xtra::prelude::*;

use super::{Dispatcher, State, Tasks};

/// Gives the task its ways to others.
pub struct Connect(pub Tasks);

/// Registers a connection that was opened.
#[derive(Debug)]
pub struct Opened(pub key::Upstream);

/// Passes an input to the decisions.
#[derive(Debug)]
pub struct Apply(pub Input);

/// Lets time pass.
#[derive(Debug)]
pub struct Tick;

/// Asks for the state.
#[derive(Debug)]
pub struct Inspect;

/// Asks which entries a caller should use.
#[derive(Debug)]
pub struct Advise {
    /// The service that the caller wants.
    pub service: String,
    /// The failure domain that the caller is in, if it says so.
    pub domain: Option<String>,
}

/// Entries that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Addresses for callers, the best first.
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
