//! Test harness that runs several engines against a fake store and fake upstreams in virtual time.
//!
//! Tests can pause or kill entries, cut links between them and take away their access to the store.
//! Every run is deterministic.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use model::Config;
use model::command::{Command, Origin};
use policy::attempt::Event;
use policy::balance::{Least, Report};
use policy::call::{Outcome, Refusal, Request};
use policy::engine::{Input, Output};
use policy::message::Frame;
use policy::roster::{Member, Roster};
use policy::{Charts, Engine, Now};

/// Interval between two ticks of an entry.
pub const TICK: Span = Span::millis(20);
/// One-way delay between two entries, and between an entry and the store.
pub const DELAY: Span = Span::millis(1);
/// Unix time at the start of a test, in milliseconds.
pub const EPOCH_MS: u64 = 1_800_000_000_000;

/// How a fake upstream handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Responds after the service time.
    Succeeds,
    /// Responds with a server error after the service time.
    Fails,
    /// Refuses connections.
    Refuses,
    /// Closes the connection after the service time, without a response.
    Breaks,
    /// Accepts calls and never responds.
    Hangs,
    /// Responds with a server error to requests that match a route.
    FailsOnRoute,
    /// Responds with a server error if at least this many other calls are in flight.
    FailsAbove(u32),
}

/// A fake upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Service time of one call.
    pub service: Span,
    /// Whether it reports a cold start.
    pub cold: bool,
    /// Whether it reports that it drains.
    pub draining: bool,
    /// How it handles calls.
    pub behavior: Behavior,
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Highest number of calls in flight at a time.
    pub peak: u32,
    /// Number of health probes received.
    pub probes: u64,
    /// Number of calls received.
    pub sent: u64,
    /// Time at which the last call was received.
    pub last_sent: Moment,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            service: Span::millis(5),
            cold: false,
            draining: false,
            behavior: Behavior::Succeeds,
            in_flight: 0,
            peak: 0,
            probes: 0,
            sent: 0,
            last_sent: Moment::default(),
        }
    }
}

/// An event that is scheduled for a later time.
#[derive(Clone, Debug)]
enum Scheduled {
    Tick(usize),
    Deliver { to: usize, from: u64, frame: Frame },
    Attempt { entry: usize, attempt: key::Attempt, event: Event, report: Option<Report> },
    Complete { upstream: String, entry: usize, attempt: key::Attempt, call: u64 },
    Config { entry: usize },
    Probed { entry: usize, upstream: key::Upstream, reached: bool, report: Option<Report> },
    Roster { entry: usize, asked_at: Moment, roster: Roster },
    WriteRoster { entry: usize, roster: Roster },
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The caller received a complete response.
    Answered,
    /// The entry refused the call.
    Refused(Refusal, Outcome),
}

/// A set of entries with their store and upstreams, in virtual time.
pub struct Fleet {
    /// Current virtual time.
    pub now: Moment,
    /// Engines by entry number, `None` for an entry that was killed.
    pub entries: Vec<Option<Engine<Least>>>,
    /// Entries that are paused. Their events are delivered after they resume.
    pub paused: BTreeSet<usize>,
    /// Links, as (sender, receiver), on which every frame is lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Entries without access to the store.
    pub without_store: BTreeSet<usize>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Results of calls, by token.
    pub completions: BTreeMap<u64, Completion>,
    /// Number of store accesses.
    pub store_calls: u64,
    /// Number of frames sent between entries.
    pub frames: u64,
    /// How often an upstream received each request, by token.
    pub executions: BTreeMap<u64, u32>,
    /// Digest of a request that makes each upstream that runs it break the connection.
    pub poison_digest: Option<u64>,
    /// Number of connections broken by that request.
    pub broken_by_poison: u32,
    /// Idempotency keys of calls, by token.
    pub keys: BTreeMap<u64, u64>,
    roster: Roster,
    config: Config,
    idents: Vec<u64>,
    scheduled: BTreeMap<(Moment, u64), Scheduled>,
    last_event: u64,
    last_token: u64,
    digest_override: Option<u64>,
}

impl Fleet {
    /// Creates `entries` entries that have `config` in force.
    pub fn new(entries: usize, config: Config) -> Self {
        let mut fleet = Self {
            now: Moment::default(),
            entries: Vec::new(),
            paused: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            without_store: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            completions: BTreeMap::new(),
            store_calls: 0,
            frames: 0,
            executions: BTreeMap::new(),
            poison_digest: None,
            broken_by_poison: 0,
            keys: BTreeMap::new(),
            roster: Roster::default(),
            config,
            idents: Vec::new(),
            scheduled: BTreeMap::new(),
            last_event: 0,
            last_token: 0,
            digest_override: None,
        };
        let names: Vec<String> = fleet.config.upstreams.keys().cloned().collect();
        for name in names {
            fleet.upstreams.insert(name, Upstream::default());
        }
        for _ in 0..entries {
            fleet.add_entry();
        }
        fleet
    }

    /// Adds an entry and returns its number.
    pub fn add_entry(&mut self) -> usize {
        let number = self.entries.len();
        let ident = policy::roster::ident(&format!("entry-{number}"), 0);
        let charts = Charts::load().expect("charts fit");
        let mut engine = Engine::new(charts, ident, "d1", ident, Least);
        let port = u16::try_from(number + 1).expect("few entries");
        let address = ([127, 0, 0, 1], port).into();
        engine.join(Member {
            ident,
            name: format!("entry-{number}"),
            domain: "d1".into(),
            peer: address,
            caller: address,
        });
        self.idents.push(ident);
        self.entries.push(Some(engine));
        let config = self.config.clone();
        self.input(number, Input::Config(Box::new(config)));
        self.schedule(self.now + Span(number as u64 * 500), Scheduled::Tick(number));
        number
    }

    /// Applies a command to the configuration and delivers the result to one entry.
    pub fn apply_command(&mut self, entry: usize, command: Command) {
        self.config = apply(&self.config, command, self.unix_ms());
        let config = self.config.clone();
        self.input(entry, Input::Config(Box::new(config)));
    }

    /// Applies a command to the configuration and delivers the result to every entry.
    pub fn apply_command_to_all(&mut self, command: Command) {
        self.config = apply(&self.config, command, self.unix_ms());
        for entry in 0..self.entries.len() {
            self.push_config(entry);
        }
    }

    /// Returns the configuration in the store.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Passes an input to an entry.
    pub fn send_input(&mut self, entry: usize, input: Input) {
        self.input(entry, input);
    }

    /// Delivers the current configuration to an entry.
    pub fn push_config(&mut self, entry: usize) {
        let config = self.config.clone();
        self.input(entry, Input::Config(Box::new(config)));
    }

    /// Stops an entry abruptly.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry] = None;
    }

    /// Returns the entries that hold a valid lease on an upstream by their own view.
    pub fn acting_owners(&self, upstream: &str) -> Vec<usize> {
        let call_timeout = Span::millis(250) + Span::seconds(1);
        let holds = |engine: &Engine<Least>| {
            let key = engine.catalog().upstream(upstream).expect("an upstream");
            let ident = engine.catalog().upstreams[key].ident;
            engine.lease().covers(self.now, ident, call_timeout)
        };
        let entries = self.entries.iter().enumerate();
        let live =
            entries.filter_map(|(number, engine)| engine.as_ref().map(|engine| (number, engine)));
        live.filter(|(_, engine)| holds(engine)).map(|(number, _)| number).collect()
    }

    /// Sends a call to an entry and returns the call's token.
    pub fn call(&mut self, entry: usize, idempotent: bool, timeout: Span) -> u64 {
        self.call_with_key(entry, idempotent, timeout, None)
    }

    /// Sends a call with the given request digest and returns the call's token.
    pub fn call_with_digest(
        &mut self,
        entry: usize,
        idempotent: bool,
        timeout: Span,
        digest: u64,
    ) -> u64 {
        self.digest_override = Some(digest);
        let token = self.call(entry, idempotent, timeout);
        self.digest_override = None;
        token
    }

    /// Sends a call with an optional idempotency key and returns the call's token.
    pub fn call_with_key(
        &mut self,
        entry: usize,
        idempotent: bool,
        timeout: Span,
        key: Option<u64>,
    ) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.keys.extend(key.map(|key| (token, key)));
        let Some(engine) = &self.entries[entry] else { return token };
        let service = engine.catalog().service("seal").expect("a service");
        let routes = &engine.catalog().services[service].routes;
        // Every fifth call matches the service's route, if it has one.
        let route = routes.first().copied().filter(|_| token.is_multiple_of(5));
        let request = Request {
            token,
            service,
            workspace: None,
            route,
            idempotent,
            replayable: true,
            deadline: self.now + timeout,
            key,
            digest: self.digest_override.unwrap_or(token),
        };
        self.input(entry, Input::Request(request));
        token
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(((at, _), _)) = self.scheduled.first_key_value() {
            if *at > until {
                break;
            }
            let ((at, _), scheduled) = self.scheduled.pop_first().expect("a first one");
            self.now = at;
            self.process(scheduled);
        }
        self.now = until;
    }

    /// Advances the time while each entry that is not paused gets a call every `call_interval`.
    pub fn run_with_load(&mut self, span: Span, call_interval: Span, timeout: Span) {
        let until = self.now + span;
        while self.now < until {
            for entry in 0..self.entries.len() {
                if !self.paused.contains(&entry) {
                    self.call(entry, true, timeout);
                }
            }
            self.run(call_interval);
        }
    }

    /// Returns how often requests with an idempotency key reached an upstream.
    pub fn executions_of_key(&self, key: u64) -> u32 {
        let tokens = self.keys.iter().filter(|(_, sent)| **sent == key).map(|(token, _)| token);
        tokens.filter_map(|token| self.executions.get(token)).sum()
    }

    /// Returns the number of calls whose result satisfies a predicate.
    pub fn count_completions(&self, predicate: impl Fn(&Completion) -> bool) -> usize {
        self.completions.values().filter(|completion| predicate(completion)).count()
    }

    /// Returns the number of calls that received a complete response.
    pub fn answered(&self) -> usize {
        self.count_completions(|completion| *completion == Completion::Answered)
    }

    fn unix_ms(&self) -> u64 {
        EPOCH_MS + self.now.0 / 1_000
    }

    fn input(&mut self, entry: usize, input: Input) {
        let now = Now { at: self.now, unix_ms: self.unix_ms() };
        let Some(engine) = self.entries[entry].as_mut() else { return };
        let mut out = Vec::new();
        engine.input(now, input, &mut out);
        for output in out {
            self.output(entry, output);
        }
    }

    fn output(&mut self, entry: usize, output: Output) {
        let from = self.idents[entry];
        match output {
            Output::Forward { token, attempt, upstream } => {
                self.send(entry, token, attempt, upstream);
            }
            Output::Refuse { token, refusal, outcome, .. } => {
                self.completions.insert(token, Completion::Refused(refusal, outcome));
            }
            Output::Relay { .. }
            | Output::Wait { .. }
            | Output::Continue { .. }
            | Output::CloseIdle { .. } => {}
            Output::Send { frame: Frame::Fetch, .. } => {
                self.schedule(self.now + DELAY + DELAY, Scheduled::Config { entry });
            }
            Output::Send { to, frame } => {
                self.frames += 1;
                let Some(to) = self.idents.iter().position(|ident| *ident == to) else { return };
                if !self.cut_links.contains(&(entry, to)) {
                    self.schedule(self.now + DELAY, Scheduled::Deliver { to, from, frame });
                }
            }
            Output::Discover { frame } => {
                let to = (entry + 1) % self.idents.len();
                if to != entry && !self.cut_links.contains(&(entry, to)) {
                    self.schedule(self.now + DELAY, Scheduled::Deliver { to, from, frame });
                }
            }
            Output::Submit { command, .. } => {
                self.store_calls += 2;
                let origin = Origin {
                    who: "system".into(),
                    when_ms: self.unix_ms(),
                    write: self.last_event,
                    text: String::new(),
                };
                // The store refuses a command that was applied before.
                if !self.without_store.contains(&entry)
                    && let Ok(next) = self.config.apply(&command, origin)
                {
                    self.config = next;
                    self.schedule(self.now + DELAY, Scheduled::Config { entry });
                }
            }
            Output::Probe { upstream } => {
                let engine = self.entries[entry].as_ref().expect("a live entry");
                let name = engine.catalog().upstreams[upstream].name.clone();
                let target = self.upstreams.get_mut(&name).expect("an upstream");
                target.probes += 1;
                let reached = target.behavior != Behavior::Refuses;
                let (in_flight, cold, draining) = (target.in_flight, target.cold, target.draining);
                let report = reached.then_some(Report { in_flight, cold, draining });
                self.schedule(
                    self.now + DELAY,
                    Scheduled::Probed { entry, upstream, reached, report },
                );
            }
            Output::ConfirmRoster => {
                self.store_calls += 1;
                if !self.without_store.contains(&entry) {
                    let roster = self.roster.clone();
                    let asked_at = self.now;
                    self.schedule(self.now + DELAY, Scheduled::Roster { entry, asked_at, roster });
                }
            }
            Output::ProposeRoster(roster) => {
                self.store_calls += 2;
                if !self.without_store.contains(&entry) {
                    self.schedule(self.now + DELAY, Scheduled::WriteRoster { entry, roster });
                }
            }
        }
    }

    fn send(&mut self, entry: usize, token: u64, attempt: key::Attempt, upstream: key::Upstream) {
        let engine = self.entries[entry].as_ref().expect("a live entry");
        let name = engine.catalog().upstreams[upstream].name.clone();
        let target = self.upstreams.get_mut(&name).expect("an upstream");
        if target.behavior == Behavior::Refuses {
            let event = Event::ConnectFailed;
            return self.schedule(
                self.now + DELAY,
                Scheduled::Attempt { entry, attempt, event, report: None },
            );
        }
        target.in_flight += 1;
        target.sent += 1;
        target.last_sent = self.now;
        target.peak = target.peak.max(target.in_flight);
        *self.executions.entry(token).or_insert(0) += 1;
        let service = target.service;
        let event = Event::Sent;
        self.schedule(self.now, Scheduled::Attempt { entry, attempt, event, report: None });
        let engine = self.entries[entry].as_ref().expect("a live entry");
        if let Some(span) = engine.hedge_after(attempt) {
            let event = Event::SilentNew;
            self.schedule(
                self.now + span,
                Scheduled::Attempt { entry, attempt, event, report: None },
            );
        }
        let complete = Scheduled::Complete { upstream: name, entry, attempt, call: token };
        self.schedule(self.now + service, complete);
    }

    fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(entry) => {
                if self.entries[entry].is_some() {
                    self.schedule(self.now + TICK, Scheduled::Tick(entry));
                }
                if !self.paused.contains(&entry) {
                    self.input(entry, Input::Tick);
                }
            }
            // A paused entry receives messages only after it resumes.
            Scheduled::Deliver { to, .. } | Scheduled::Roster { entry: to, .. }
                if self.paused.contains(&to) =>
            {
                self.schedule(self.now + TICK, scheduled);
            }
            Scheduled::Attempt { entry, .. } if self.paused.contains(&entry) => {
                self.schedule(self.now + TICK, scheduled);
            }
            Scheduled::Deliver { to, from, frame } => {
                // Cutting a link also loses the frames in transit.
                let sender = self.idents.iter().position(|ident| *ident == from);
                if sender.is_none_or(|sender| !self.cut_links.contains(&(sender, to))) {
                    self.input(to, Input::Peer { from, frame });
                }
            }
            Scheduled::Attempt { entry, attempt, event, report } => {
                self.input(entry, Input::Attempt { attempt, event, report });
            }
            Scheduled::Complete { upstream, entry, attempt, call } => {
                self.complete_call(&upstream, entry, attempt, call);
            }
            Scheduled::Config { entry } => self.push_config(entry),
            Scheduled::Probed { entry, upstream, reached, report } => {
                self.input(entry, Input::Probed { upstream, reached, report });
            }
            Scheduled::Roster { entry, asked_at, roster } => {
                self.input(entry, Input::Roster { asked_at, roster });
            }
            Scheduled::WriteRoster { entry, roster } => {
                if roster.number == self.roster.number + 1 {
                    self.roster = roster;
                }
                let roster = self.roster.clone();
                let asked_at = self.now;
                self.schedule(self.now + DELAY, Scheduled::Roster { entry, asked_at, roster });
            }
        }
    }

    fn complete_call(&mut self, name: &str, entry: usize, attempt: key::Attempt, token: u64) {
        let target = self.upstreams.get_mut(name).expect("an upstream");
        if target.behavior == Behavior::Hangs {
            return;
        }
        target.in_flight -= 1;
        let (in_flight, cold, draining) = (target.in_flight, target.cold, target.draining);
        let report = Some(Report { in_flight, cold, draining });
        let is_open =
            self.entries[entry].as_ref().is_some_and(|engine| engine.request(attempt).is_some());
        let engine = self.entries[entry].as_ref();
        let request = engine.and_then(|engine| engine.request(attempt));
        let (digest, route) =
            (request.map(|request| request.digest), request.and_then(|request| request.route));
        let is_poison = digest.is_some() && digest == self.poison_digest;
        self.broken_by_poison += u32::from(is_poison);
        let event = match target.behavior {
            _ if is_poison => Event::Broken,
            Behavior::Fails => Event::HeadFailed,
            Behavior::FailsOnRoute if route.is_some() => Event::HeadFailed,
            Behavior::FailsAbove(bound) if in_flight >= bound => Event::HeadFailed,
            Behavior::Breaks => Event::Broken,
            _ => Event::Head,
        };
        let report = report.filter(|_| event != Event::Broken);
        self.schedule(self.now, Scheduled::Attempt { entry, attempt, event, report });
        if event != Event::Broken {
            let event = Event::End;
            self.schedule(self.now, Scheduled::Attempt { entry, attempt, event, report: None });
            // The response to an abandoned attempt does not reach the caller.
            if is_open {
                self.completions.insert(token, Completion::Answered);
            }
        }
    }

    fn schedule(&mut self, at: Moment, scheduled: Scheduled) {
        self.last_event += 1;
        self.scheduled.insert((at, self.last_event), scheduled);
    }
}

/// Applies one command and panics if it is refused.
pub fn apply(config: &Config, command: Command, when_ms: u64) -> Config {
    let origin =
        Origin { who: "op".into(), when_ms, write: config.number + 1, text: String::new() };
    config.apply(&command, origin).expect("a command that fits")
}

/// Returns a configuration with one service, two versions, and `upstreams` upstreams of the first
/// version spread over two failure domains.
pub fn config(upstreams: u16, slots: u32, cold: u32) -> Config {
    let service = Command::CreateService {
        name: "seal".into(),
        slots: Some(slots),
        cold: Some(cold),
        timeout_ms: Some(1_000),
    };
    let mut commands = vec![service];
    for name in ["d1", "d2"] {
        commands.push(Command::CreateDomain { name: name.into() });
    }
    for name in ["v1", "v2"] {
        commands.push(Command::CreateVersion { name: name.into(), service: "seal".into() });
    }
    for number in 0..upstreams {
        commands.push(upstream(number, "v1"));
    }
    let start = Config::default();
    commands.into_iter().fold(start, |config, command| apply(&config, command, EPOCH_MS))
}

/// Returns the command that creates upstream `u{number}`.
pub fn upstream(number: u16, version: &str) -> Command {
    Command::CreateUpstream {
        name: format!("u{number}"),
        service: "seal".into(),
        version: version.into(),
        domain: if number.is_multiple_of(2) { "d1" } else { "d2" }.into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
    }
}

/// Returns a gossip reply that carries the given updates and is otherwise empty.
pub fn updates_frame(updates: Vec<policy::message::Update>) -> Frame {
    Frame::Reply(policy::message::Digest {
        sent_at: Moment::default(),
        config: 0,
        calls: 0,
        roster: 0,
        roster_age: Span::ZERO,
        newer_roster: None,
        joiner: None,
        just_started: false,
        leaving: false,
        heartbeats: Vec::new(),
        updates,
    })
}
