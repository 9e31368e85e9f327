//! One node in virtual time, with a table, upstreams and answers made by the test.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// The host of every route.
pub const HOST: &str = "shop.example";

/// A node and what it has put out.
pub struct World {
    pub engine: Engine,
    pub now: Moment,
    pub out: Vec<Output>,
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

impl World {
    /// Makes a node in the domain `east` with its table and the given upstreams, all proven.
    pub fn new(upstreams: &[Upstream]) -> Self {
        let now = Moment(10_000_000);
        let charts = Charts::load().expect("charts fit");
        let own = member("me", "east", 1);
        let engine = Engine::new(charts, own, Terms::default(), 7, now);
        let mut world = Self { engine, now, out: Vec::new(), revision: 1, token: 0 };
        world.facts(Kind::Table, vec![("main", Some(Fact::Table(table())))]);
        let items =
            upstreams.iter().map(|one| (one.id.as_str(), Some(Fact::Upstream(one.clone()))));
        world.facts(Kind::Upstreams, items.collect());
        world.pass(Span::seconds(2));
        world
    }

    /// Feeds one input.
    pub fn feed(&mut self, input: Input) {
        self.engine.input(self.now, input, &mut self.out);
    }

    /// Lets time pass with ticks, and keeps the store's word fresh.
    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(100);
            let (at, asked_at) = (self.revision, self.now);
            self.feed(Input::Current { kind: Kind::Upstreams, at, asked_at });
            self.feed(Input::Tick);
        }
    }

    /// Lets the store say something; the first word of a kind is all that there is of it.
    pub fn facts(&mut self, kind: Kind, items: Vec<(&str, Option<Fact>)>) {
        self.batch(kind, items, false);
    }

    pub fn batch(&mut self, kind: Kind, items: Vec<(&str, Option<Fact>)>, outage: bool) {
        let known = self.engine.revision(kind);
        self.revision += 1;
        let revision = self.revision;
        let items = items.into_iter();
        let items = items.map(|(name, fact)| Item { name: name.into(), revision, fact });
        let after = (known > 0).then_some(known);
        let batch = Batch { after, at: revision, outage, items: items.collect() };
        self.feed(Input::Facts { kind, batch, asked_at: self.now });
    }

    pub fn rollout(&mut self, rollout: Rollout) {
        let name = rollout.service.clone();
        self.facts(Kind::Rollouts, vec![(&name, Some(Fact::Rollout(rollout)))]);
    }

    /// Returns the mark that the next request gets.
    pub fn next_token(&self) -> u64 {
        self.token + 1
    }

    /// Sends a request to a path and returns its mark.
    pub fn request(&mut self, path: &str) -> u64 {
        self.token += 1;
        let token = self.token;
        self.feed(Input::Request(Request {
            token,
            host: HOST.into(),
            path: path.into(),
            timeout: Some(Span::millis(800)),
            arrived: self.now,
            digest: token,
        }));
        token
    }

    /// Answers the questions for health that were put out, by the upstream's identity.
    pub fn answer_probes(&mut self, health: impl Fn(&str) -> Health) {
        loop {
            let asked = self.out.iter().position(|one| matches!(one, Output::Probe { .. }));
            let Some(position) = asked else { return };
            let Output::Probe { upstream } = self.out.remove(position) else { return };
            let id = self.id(upstream);
            self.feed(Input::Probed { upstream, health: health(&id) });
        }
    }

    /// Answers some of the questions for health that were put out; others get no answer.
    pub fn answer_some_probes(&mut self, health: impl Fn(&str) -> Option<Health>) {
        let asked = |one: &Output| match one {
            Output::Probe { upstream } => Some(*upstream),
            _ => None,
        };
        let upstreams: Vec<key::Upstream> = self.out.iter().filter_map(asked).collect();
        self.out.retain(|one| asked(one).is_none());
        for upstream in upstreams {
            if let Some(health) = health(&self.id(upstream)) {
                self.feed(Input::Probed { upstream, health });
            }
        }
    }

    /// Answers those questions with idle upstreams at the usual pace.
    pub fn answer_well(&mut self) {
        self.answer_probes(|_| told(0, 1.0));
    }

    /// Takes the sends that were put out: the exchange and the upstream's identity.
    pub fn sends(&mut self) -> Vec<(key::Attempt, String)> {
        let sends = self.sends_with_tokens().into_iter();
        sends.map(|(_, exchange, id)| (exchange, id)).collect()
    }

    /// Takes the sends that were put out, each with its request's mark.
    pub fn sends_with_tokens(&mut self) -> Vec<(u64, key::Attempt, String)> {
        let (sends, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.out).into_iter().partition(is_send);
        self.out = rest;
        let target = |one: Output| match one {
            Output::Send { token, exchange, upstream, .. } => {
                Some((token, exchange, self.id(upstream)))
            }
            _ => None,
        };
        sends.into_iter().filter_map(target).collect()
    }

    /// Sends a request and returns where it goes, after well answered questions.
    pub fn place(&mut self, path: &str) -> Option<(key::Attempt, String)> {
        self.request(path);
        self.answer_well();
        self.sends().pop()
    }

    /// Serves some requests, by which the budget of retries is earned.
    pub fn earn_retries(&mut self) {
        for number in 0..24 {
            let (exchange, _) = self.place(&format!("/read/{number}")).expect("a place");
            self.happen(exchange, Event::Sent);
            self.happen(exchange, Event::Answered);
            self.pass(Span::millis(150));
        }
        self.out.clear();
    }

    /// Lets something happen to an exchange.
    pub fn happen(&mut self, exchange: key::Attempt, event: Event) {
        self.feed(Input::Exchange { exchange, event, report: None });
    }

    /// Returns the refusals that were put out.
    pub fn refusals(&self) -> Vec<Refusal> {
        let refusal = |one: &Output| match one {
            Output::Refuse { rejection, .. } => Some(rejection.refusal),
            _ => None,
        };
        self.out.iter().filter_map(refusal).collect()
    }

    fn id(&self, key: key::Upstream) -> String {
        self.engine.upstream(key).map(|known| known.0.id.clone()).unwrap_or_default()
    }
}

fn is_send(output: &Output) -> bool {
    matches!(output, Output::Send { .. })
}

/// An answer of health with requests running and a pace.
pub fn told(running: u32, pace: f64) -> Health {
    let report = Report { running, waiting: 0, slots: 4, pace };
    Health::Answered { healthy: true, report: Some(report), cold_remaining: Span::ZERO }
}

/// An answer of health in a cold start.
pub fn cold() -> Health {
    let report = Report { running: 0, waiting: 0, slots: 4, pace: 1.0 };
    Health::Answered { healthy: true, report: Some(report), cold_remaining: Span::seconds(3) }
}
