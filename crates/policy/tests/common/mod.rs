//! A few engines, a store and upstreams in virtual time, joined by messages that can be lost.

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

/// Time between ticks.
pub const TICK: Span = Span::millis(20);
/// Time from one member to another, and to the store.
pub const DELAY: Span = Span::millis(1);
/// Unix time at the start, in milliseconds.
pub const EPOCH_MS: u64 = 1_800_000_000_000;

/// What an upstream does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It answers after the service time.
    Good,
    /// It answers with a failure after the service time.
    Bad,
    /// It refuses connections.
    Refuses,
    /// It breaks the connection after the service time.
    Breaks,
    /// It never answers.
    Silent,
    /// It answers with a failure to requests of one route.
    BadOnRoute,
    /// It answers with a failure while more calls than this are in progress.
    BadAbove(u32),
}

/// A fake upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Time of one call.
    pub service: Span,
    /// Whether its answers say that it is cold.
    pub cold: bool,
    /// Whether its answers say that it leaves.
    pub draining: bool,
    /// What it does with calls.
    pub answer: Answer,
    /// Calls in progress.
    pub in_flight: u32,
    /// Most calls in progress at a time.
    pub peak: u32,
    /// Questions for its health.
    pub probes: u64,
    /// Calls that were sent to it.
    pub sent: u64,
    /// When the last call was sent to it.
    pub last_sent: Moment,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            service: Span::millis(5),
            cold: false,
            draining: false,
            answer: Answer::Good,
            in_flight: 0,
            peak: 0,
            probes: 0,
            sent: 0,
            last_sent: Moment::default(),
        }
    }
}

/// Something that happens later.
#[derive(Clone, Debug)]
enum Later {
    Tick(usize),
    Deliver { to: usize, from: u64, frame: Frame },
    Attempt { entry: usize, attempt: key::Attempt, event: Event, report: Option<Report> },
    Leave { upstream: String, entry: usize, attempt: key::Attempt, call: u64 },
    Config { entry: usize },
    Probed { entry: usize, upstream: key::Upstream, reached: bool, report: Option<Report> },
    Roster { entry: usize, asked_at: Moment, roster: Roster },
    Write { entry: usize, roster: Roster },
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered,
    /// A refusal.
    Refused(Refusal, Outcome),
}

/// A deployment in virtual time.
pub struct Fleet {
    /// Time since the start.
    pub now: Moment,
    /// Engines, `None` while stopped.
    pub entries: Vec<Option<Engine<Least>>>,
    /// Entries that are paused: nothing reaches them until they resume.
    pub paused: BTreeSet<usize>,
    /// Links from one entry to another that lose everything.
    pub cut: BTreeSet<(usize, usize)>,
    /// Entries that cannot reach the store.
    pub storeless: BTreeSet<usize>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// What became of calls, by token.
    pub ends: BTreeMap<u64, End>,
    /// Calls of the store.
    pub store_calls: u64,
    /// Frames sent between members.
    pub frames: u64,
    /// Requests run by upstreams, by token.
    pub runs: BTreeMap<u64, u32>,
    /// Digest of a request that breaks each upstream that runs it.
    pub poison: Option<u64>,
    /// Upstreams that it has broken.
    pub poisoned: u32,
    /// Keys of calls, by token.
    pub keys: BTreeMap<u64, u64>,
    roster: Roster,
    config: Config,
    idents: Vec<u64>,
    later: BTreeMap<(Moment, u64), Later>,
    serial: u64,
    token: u64,
    digest: Option<u64>,
}

impl Fleet {
    /// Makes a deployment of `entries` entries that know `config`.
    pub fn new(entries: usize, config: Config) -> Self {
        let mut fleet = Self {
            now: Moment::default(),
            entries: Vec::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            storeless: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            ends: BTreeMap::new(),
            store_calls: 0,
            frames: 0,
            runs: BTreeMap::new(),
            poison: None,
            poisoned: 0,
            keys: BTreeMap::new(),
            roster: Roster::default(),
            config,
            idents: Vec::new(),
            later: BTreeMap::new(),
            serial: 0,
            token: 0,
            digest: None,
        };
        let names: Vec<String> = fleet.config.upstreams.keys().cloned().collect();
        for name in names {
            fleet.upstreams.insert(name, Upstream::default());
        }
        for _ in 0..entries {
            fleet.add();
        }
        fleet
    }

    /// Adds an entry and returns its number.
    pub fn add(&mut self) -> usize {
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
        self.push(self.now + Span(number as u64 * 500), Later::Tick(number));
        number
    }

    /// Changes the configuration by commands and gives it to one entry.
    pub fn order(&mut self, entry: usize, command: Command) {
        self.config = apply(&self.config, command, self.unix_ms());
        let config = self.config.clone();
        self.input(entry, Input::Config(Box::new(config)));
    }

    /// Changes the configuration by commands and gives it to every entry.
    pub fn order_all(&mut self, command: Command) {
        self.config = apply(&self.config, command, self.unix_ms());
        for entry in 0..self.entries.len() {
            self.refresh(entry);
        }
    }

    /// Returns the configuration in the store.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Gives an entry an input.
    pub fn feed(&mut self, entry: usize, input: Input) {
        self.input(entry, input);
    }

    /// Gives an entry the newest configuration.
    pub fn refresh(&mut self, entry: usize) {
        let config = self.config.clone();
        self.input(entry, Input::Config(Box::new(config)));
    }

    /// Stops an entry without warning.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry] = None;
    }

    /// Returns the name of the entry that may act for an upstream, by its own view.
    pub fn holders(&self, upstream: &str) -> Vec<usize> {
        let linger = Span::millis(250) + Span::seconds(1);
        let holds = |engine: &Engine<Least>| {
            let key = engine.catalog().upstream(upstream).expect("an upstream");
            let ident = engine.catalog().upstreams[key].ident;
            engine.tenure().covers(self.now, ident, linger)
        };
        let entries = self.entries.iter().enumerate();
        let live = entries.filter_map(|(number, one)| one.as_ref().map(|one| (number, one)));
        live.filter(|(_, engine)| holds(engine)).map(|(number, _)| number).collect()
    }

    /// Gives an entry a call and returns its token.
    pub fn call(&mut self, entry: usize, idempotent: bool, patience: Span) -> u64 {
        self.call_keyed(entry, idempotent, patience, None)
    }

    /// Gives an entry a call with a digest and returns its token.
    pub fn call_digest(
        &mut self,
        entry: usize,
        idempotent: bool,
        patience: Span,
        digest: u64,
    ) -> u64 {
        self.digest = Some(digest);
        let token = self.call(entry, idempotent, patience);
        self.digest = None;
        token
    }

    /// Gives an entry a call that may run once and has an idempotency key.
    pub fn call_keyed(
        &mut self,
        entry: usize,
        idempotent: bool,
        patience: Span,
        key: Option<u64>,
    ) -> u64 {
        self.token += 1;
        let token = self.token;
        self.keys.extend(key.map(|key| (token, key)));
        let Some(engine) = &self.entries[entry] else { return token };
        let service = engine.catalog().service("seal").expect("a service");
        let routes = &engine.catalog().services[service].routes;
        // Every fifth call is of the route, if there is one.
        let route = routes.first().copied().filter(|_| token.is_multiple_of(5));
        let request = Request {
            token,
            service,
            workspace: None,
            route,
            idempotent,
            replayable: true,
            deadline: self.now + patience,
            key,
            digest: self.digest.unwrap_or(token),
        };
        self.input(entry, Input::Request(request));
        token
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(((at, _), _)) = self.later.first_key_value() {
            if *at > until {
                break;
            }
            let ((at, _), later) = self.later.pop_first().expect("a first one");
            self.now = at;
            self.happen(later);
        }
        self.now = until;
    }

    /// Lets time pass while each entry gets a call every `gap`.
    pub fn load(&mut self, span: Span, gap: Span, patience: Span) {
        let until = self.now + span;
        while self.now < until {
            for entry in 0..self.entries.len() {
                if !self.paused.contains(&entry) {
                    self.call(entry, true, patience);
                }
            }
            self.run(gap);
        }
    }

    /// Returns how often requests with a key ran.
    pub fn runs_of(&self, key: u64) -> u32 {
        let tokens = self.keys.iter().filter(|(_, one)| **one == key).map(|(token, _)| token);
        tokens.filter_map(|token| self.runs.get(token)).sum()
    }

    /// Returns how many calls ended in the given way.
    pub fn count(&self, test: impl Fn(&End) -> bool) -> usize {
        self.ends.values().filter(|end| test(end)).count()
    }

    /// Returns how many calls were answered.
    pub fn answered(&self) -> usize {
        self.count(|end| *end == End::Answered)
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
            Output::Grant { token, attempt, upstream } => {
                self.send(entry, token, attempt, upstream);
            }
            Output::Refuse { token, refusal, outcome, .. } => {
                self.ends.insert(token, End::Refused(refusal, outcome));
            }
            Output::Pass { .. }
            | Output::Wait { .. }
            | Output::Continue { .. }
            | Output::Retire { .. } => {}
            Output::Send { frame: Frame::Fetch, .. } => {
                self.push(self.now + DELAY + DELAY, Later::Config { entry });
            }
            Output::Send { to, frame } => {
                self.frames += 1;
                let Some(to) = self.idents.iter().position(|ident| *ident == to) else { return };
                if !self.cut.contains(&(entry, to)) {
                    self.push(self.now + DELAY, Later::Deliver { to, from, frame });
                }
            }
            Output::Hail { frame } => {
                let to = (entry + 1) % self.idents.len();
                if to != entry && !self.cut.contains(&(entry, to)) {
                    self.push(self.now + DELAY, Later::Deliver { to, from, frame });
                }
            }
            Output::Order { command, .. } => {
                self.store_calls += 2;
                let origin = Origin {
                    who: "system".into(),
                    when_ms: self.unix_ms(),
                    write: self.serial,
                    text: String::new(),
                };
                // A command that was carried out before is refused, as in the store.
                if !self.storeless.contains(&entry)
                    && let Ok(next) = self.config.apply(&command, origin)
                {
                    self.config = next;
                    self.push(self.now + DELAY, Later::Config { entry });
                }
            }
            Output::Probe { upstream } => {
                let engine = self.entries[entry].as_ref().expect("a live entry");
                let name = engine.catalog().upstreams[upstream].name.clone();
                let fake = self.upstreams.get_mut(&name).expect("an upstream");
                fake.probes += 1;
                let reached = fake.answer != Answer::Refuses;
                let (in_flight, cold, draining) = (fake.in_flight, fake.cold, fake.draining);
                let report = reached.then_some(Report { in_flight, cold, draining });
                self.push(self.now + DELAY, Later::Probed { entry, upstream, reached, report });
            }
            Output::Confirm => {
                self.store_calls += 1;
                if !self.storeless.contains(&entry) {
                    let roster = self.roster.clone();
                    let asked_at = self.now;
                    self.push(self.now + DELAY, Later::Roster { entry, asked_at, roster });
                }
            }
            Output::Propose(roster) => {
                self.store_calls += 2;
                if !self.storeless.contains(&entry) {
                    self.push(self.now + DELAY, Later::Write { entry, roster });
                }
            }
        }
    }

    fn send(&mut self, entry: usize, token: u64, attempt: key::Attempt, upstream: key::Upstream) {
        let engine = self.entries[entry].as_ref().expect("a live entry");
        let name = engine.catalog().upstreams[upstream].name.clone();
        let fake = self.upstreams.get_mut(&name).expect("an upstream");
        if fake.answer == Answer::Refuses {
            let event = Event::ConnectFailed;
            return self
                .push(self.now + DELAY, Later::Attempt { entry, attempt, event, report: None });
        }
        fake.in_flight += 1;
        fake.sent += 1;
        fake.last_sent = self.now;
        fake.peak = fake.peak.max(fake.in_flight);
        *self.runs.entry(token).or_insert(0) += 1;
        let service = fake.service;
        let event = Event::Sent;
        self.push(self.now, Later::Attempt { entry, attempt, event, report: None });
        let engine = self.entries[entry].as_ref().expect("a live entry");
        if let Some(span) = engine.hedge_after(attempt) {
            let event = Event::SilentNew;
            self.push(self.now + span, Later::Attempt { entry, attempt, event, report: None });
        }
        let leave = Later::Leave { upstream: name, entry, attempt, call: token };
        self.push(self.now + service, leave);
    }

    fn happen(&mut self, later: Later) {
        match later {
            Later::Tick(entry) => {
                if self.entries[entry].is_some() {
                    self.push(self.now + TICK, Later::Tick(entry));
                }
                if !self.paused.contains(&entry) {
                    self.input(entry, Input::Tick);
                }
            }
            // A paused entry takes in late what came meanwhile.
            Later::Deliver { to, .. } | Later::Roster { entry: to, .. }
                if self.paused.contains(&to) =>
            {
                self.push(self.now + TICK, later);
            }
            Later::Attempt { entry, .. } if self.paused.contains(&entry) => {
                self.push(self.now + TICK, later);
            }
            Later::Deliver { to, from, frame } => {
                // What is on its way is lost too when a link is cut.
                let sender = self.idents.iter().position(|ident| *ident == from);
                if sender.is_none_or(|sender| !self.cut.contains(&(sender, to))) {
                    self.input(to, Input::Peer { from, frame });
                }
            }
            Later::Attempt { entry, attempt, event, report } => {
                self.input(entry, Input::Attempt { attempt, event, report });
            }
            Later::Leave { upstream, entry, attempt, call } => {
                self.leave(&upstream, entry, attempt, call);
            }
            Later::Config { entry } => self.refresh(entry),
            Later::Probed { entry, upstream, reached, report } => {
                self.input(entry, Input::Probed { upstream, reached, report });
            }
            Later::Roster { entry, asked_at, roster } => {
                self.input(entry, Input::Roster { asked_at, roster });
            }
            Later::Write { entry, roster } => {
                if roster.number == self.roster.number + 1 {
                    self.roster = roster;
                }
                let roster = self.roster.clone();
                let asked_at = self.now;
                self.push(self.now + DELAY, Later::Roster { entry, asked_at, roster });
            }
        }
    }

    fn leave(&mut self, name: &str, entry: usize, attempt: key::Attempt, token: u64) {
        let fake = self.upstreams.get_mut(name).expect("an upstream");
        if fake.answer == Answer::Silent {
            return;
        }
        fake.in_flight -= 1;
        let (in_flight, cold, draining) = (fake.in_flight, fake.cold, fake.draining);
        let report = Some(Report { in_flight, cold, draining });
        let open = self.entries[entry].as_ref().is_some_and(|one| one.request(attempt).is_some());
        let engine = self.entries[entry].as_ref();
        let request = engine.and_then(|one| one.request(attempt));
        let (digest, route) = (request.map(|one| one.digest), request.and_then(|one| one.route));
        let poisoned = digest.is_some() && digest == self.poison;
        self.poisoned += u32::from(poisoned);
        let event = match fake.answer {
            _ if poisoned => Event::Broken,
            Answer::Bad => Event::HeadFailed,
            Answer::BadOnRoute if route.is_some() => Event::HeadFailed,
            Answer::BadAbove(bound) if in_flight >= bound => Event::HeadFailed,
            Answer::Breaks => Event::Broken,
            _ => Event::Head,
        };
        let report = report.filter(|_| event != Event::Broken);
        self.push(self.now, Later::Attempt { entry, attempt, event, report });
        if event != Event::Broken {
            let event = Event::End;
            self.push(self.now, Later::Attempt { entry, attempt, event, report: None });
            // An attempt that was given up is answered to nobody.
            if open {
                self.ends.insert(token, End::Answered);
            }
        }
    }

    fn push(&mut self, at: Moment, later: Later) {
        self.serial += 1;
        self.later.insert((at, self.serial), later);
    }
}

/// Applies one command that has to fit.
pub fn apply(config: &Config, command: Command, when_ms: u64) -> Config {
    let origin =
        Origin { who: "op".into(), when_ms, write: config.number + 1, text: String::new() };
    config.apply(&command, origin).expect("a command that fits")
}

/// Makes a configuration with one service, two versions and `upstreams` upstreams of the first in
/// two failure domains.
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

/// Makes the command that creates upstream `u{number}`.
pub fn upstream(number: u16, version: &str) -> Command {
    Command::CreateUpstream {
        name: format!("u{number}"),
        service: "seal".into(),
        version: version.into(),
        domain: if number.is_multiple_of(2) { "d1" } else { "d2" }.into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
    }
}

/// Makes a frame that carries news and nothing else that is known.
pub fn updates(updates: Vec<policy::message::Update>) -> Frame {
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
