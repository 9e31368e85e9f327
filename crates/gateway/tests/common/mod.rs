//! One node in virtual time; the test provides the table, the upstreams and their responses.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod fleet;
pub mod load;

use base::prelude::*;
use gateway::engine::{Health, Input, Output, Refusal, Request};
use gateway::exchange::Event;
use gateway::gauge::Report;
use gateway::view::Batch;
use gateway::{Charts, Engine, Terms};
use model::registry::{Fact, Item, Kind, Member, Rollout, State, Upstream};
use model::table::{self, Limits, Part, Route, Service, Table};

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// A node and the outputs that it has produced.
pub struct Harness {
    pub engine: Engine,
    pub now: Moment,
    pub outputs: Vec<Output>,
    revision: u64,
    token: u64,
}

pub fn member(name: &str, domain: &str, port: u16) -> Member {
    Member {
        name: name.into(),
        domain: domain.into(),
        peer: ([10, 0, 0, 1], port).into(),
        caller: ([10, 0, 1, 1], port).into(),
    }
}

pub fn upstream(id: &str, domain: &str) -> Upstream {
    let port = id.bytes().map(u16::from).sum();
    Upstream {
        id: id.into(),
        started_ms: 1,
        service: "stock".into(),
        version: "v1".into(),
        domain: domain.into(),
        address: ([10, 0, 2, 1], port).into(),
        slots: 4,
        state: State::Ready,
        cold_remaining: Span::ZERO,
    }
}

pub fn route(prefix: &str, kind: table::Kind, priority: u32) -> Route {
    Route {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        timeout: Span::millis(800),
        target_latency: Span::millis(200),
        max_attempts: 2,
        priority,
        parts: vec![Part { service: "stock".into(), weight: 1.0 }],
    }
}

pub fn table() -> Table {
    Table {
        version: 1,
        routes: vec![
            route("/read/", table::Kind::Idempotent, 2),
            route("/write/", table::Kind::Once, 1),
        ],
        services: vec![Service {
            name: "stock".into(),
            health_path: "/health".into(),
            max_connections: 240,
            cold_rate: 15.0,
        }],
        limits: Limits::default(),
    }
}

impl Harness {
    /// Creates a node in the domain `east` with the table and the given upstreams, and runs it until
    /// it takes itself for the only node.
    pub fn new(upstreams: &[Upstream]) -> Self {
        let now = Moment(10_000_000);
        let charts = Charts::load().expect("charts fit");
        let own = member("me", "east", 1);
        let engine = Engine::new(charts, own, Terms::default(), 7, now);
        let mut harness = Self { engine, now, outputs: Vec::new(), revision: 1, token: 0 };
        harness.apply_facts(Kind::Table, vec![("main", Some(Fact::Table(table())))]);
        let items = upstreams
            .iter()
            .map(|upstream| (upstream.id.as_str(), Some(Fact::Upstream(upstream.clone()))));
        harness.apply_facts(Kind::Upstreams, items.collect());
        harness.run(Span::seconds(6));
        harness
    }

    /// Sends the node one input.
    pub fn send_input(&mut self, input: Input) {
        self.engine.input(self.now, input, &mut self.outputs);
    }

    /// Advances the time with ticks, while the store keeps confirming that nothing has changed.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(100);
            let (revision, asked_at) = (self.revision, self.now);
            self.send_input(Input::Current { kind: Kind::Upstreams, revision, asked_at });
            self.send_input(Input::Tick);
        }
    }

    /// Sends the node facts from the store: all facts of a kind the first time, changes afterwards.
    pub fn apply_facts(&mut self, kind: Kind, items: Vec<(&str, Option<Fact>)>) {
        self.apply_batch(kind, items, false);
    }

    /// Sends the node facts from the store, with a store outage before them or not.
    pub fn apply_batch(
        &mut self,
        kind: Kind,
        items: Vec<(&str, Option<Fact>)>,
        after_outage: bool,
    ) {
        let known = self.engine.revision(kind);
        self.revision += 1;
        let revision = self.revision;
        let items = items.into_iter();
        let items = items.map(|(name, fact)| Item { name: name.into(), revision, fact });
        let after = (known > 0).then_some(known);
        let batch = Batch { after, revision, after_outage, items: items.collect() };
        self.send_input(Input::Facts { kind, batch, asked_at: self.now });
    }

    /// Sends the node a rollout from the store.
    pub fn apply_rollout(&mut self, rollout: Rollout) {
        let name = rollout.service.clone();
        self.apply_facts(Kind::Rollouts, vec![(&name, Some(Fact::Rollout(rollout)))]);
    }

    /// Returns the token of the next request.
    pub fn next_token(&self) -> u64 {
        self.token + 1
    }

    /// Sends the node a request for a path and returns its token.
    pub fn request(&mut self, path: &str) -> u64 {
        self.request_with_body(path, Span::ZERO)
    }

    /// As [`Self::request`], for a request whose body arrived during `span`.
    pub fn request_with_body(&mut self, path: &str, span: Span) -> u64 {
        self.token += 1;
        let token = self.token;
        self.send_input(Input::Request(Request {
            token,
            host: HOST.into(),
            path: path.into(),
            timeout: Some(Span::millis(800)),
            arrived_at: self.now - span,
            digest: token,
        }));
        token
    }

    /// Answers all pending health checks, by the upstream's id.
    pub fn answer_probes(&mut self, health: impl Fn(&str) -> Health) {
        loop {
            let pending =
                self.outputs.iter().position(|output| matches!(output, Output::Probe { .. }));
            let Some(position) = pending else { return };
            let Output::Probe { upstream } = self.outputs.remove(position) else { return };
            let id = self.id(upstream);
            self.send_input(Input::Probed { upstream, health: health(&id) });
        }
    }

    /// Answers some of the pending health checks; the others get no answer.
    pub fn answer_some_probes(&mut self, health: impl Fn(&str) -> Option<Health>) {
        let probed = |output: &Output| match output {
            Output::Probe { upstream } => Some(*upstream),
            _ => None,
        };
        let upstreams: Vec<key::Upstream> = self.outputs.iter().filter_map(probed).collect();
        self.outputs.retain(|output| probed(output).is_none());
        for upstream in upstreams {
            if let Some(health) = health(&self.id(upstream)) {
                self.send_input(Input::Probed { upstream, health });
            }
        }
    }

    /// Answers all pending health checks as idle upstreams at usual speed.
    pub fn answer_probes_idle(&mut self) {
        self.answer_probes(|_| healthy(0, 1.0));
    }

    /// Takes the pending sends: the exchange and the upstream's id.
    pub fn take_sends(&mut self) -> Vec<(key::Attempt, String)> {
        let sends = self.take_sends_with_tokens().into_iter();
        sends.map(|(_, exchange, id)| (exchange, id)).collect()
    }

    /// Takes the pending sends, each with the token of its request.
    pub fn take_sends_with_tokens(&mut self) -> Vec<(u64, key::Attempt, String)> {
        let (sends, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.outputs).into_iter().partition(is_send);
        self.outputs = rest;
        let target = |output: Output| match output {
            Output::Forward { token, exchange, upstream, .. } => {
                Some((token, exchange, self.id(upstream)))
            }
            _ => None,
        };
        sends.into_iter().filter_map(target).collect()
    }

    /// Sends the node a request, answers its health checks and returns where the request goes.
    pub fn place(&mut self, path: &str) -> Option<(key::Attempt, String)> {
        self.request(path);
        self.answer_probes_idle();
        self.take_sends().pop()
    }

    /// Serves some requests, so that the retry budget is filled.
    pub fn earn_retries(&mut self) {
        for number in 0..24 {
            let (exchange, _) = self.place(&format!("/read/{number}")).expect("an upstream");
            self.exchange_event(exchange, Event::Sent);
            self.exchange_event(exchange, Event::Answered);
            self.run(Span::millis(150));
        }
        self.outputs.clear();
    }

    /// Sends the node an event of an exchange.
    pub fn exchange_event(&mut self, exchange: key::Attempt, event: Event) {
        self.send_input(Input::Exchange { exchange, event, report: None });
    }

    /// Returns the refusals among the outputs.
    pub fn refusals(&self) -> Vec<Refusal> {
        let refusal = |output: &Output| match output {
            Output::Refuse { rejection, .. } => Some(rejection.refusal),
            _ => None,
        };
        self.outputs.iter().filter_map(refusal).collect()
    }

    fn id(&self, key: key::Upstream) -> String {
        self.engine.upstream(key).map(|found| found.0.id.clone()).unwrap_or_default()
    }
}

fn is_send(output: &Output) -> bool {
    matches!(output, Output::Forward { .. })
}

/// Returns a healthy answer to a health check.
pub fn healthy(running: u32, slowdown: f64) -> Health {
    let report = Report { running, waiting: 0, slots: 4, slowdown };
    Health::Answered { healthy: true, report: Some(report), cold_remaining: Span::ZERO }
}

/// Returns a healthy answer to a health check during a cold start of three seconds.
pub fn cold_start() -> Health {
    let report = Report { running: 0, waiting: 0, slots: 4, slowdown: 1.0 };
    Health::Answered { healthy: true, report: Some(report), cold_remaining: Span::seconds(3) }
}
