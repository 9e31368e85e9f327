//! Callers and upstreams in virtual time around one node, which plays all nodes of its domain.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use gateway::engine::{Input, Output};
use gateway::exchange::Event;
use gateway::gauge::Report;
use model::registry::Kind;

use super::{World, healthy};

/// Time from a caller to the node and back.
const CALLER_TRIP: Span = Span::millis(16);
/// Time between ticks.
const TICK: Span = Span::millis(200);
/// Patience of callers, from their first try.
const PATIENCE: Span = Span::millis(800);
/// Target of every route.
const TARGET: Span = Span::millis(200);

/// Decides how the upstream `id` answers its request number `number` that was sent at a time.
pub trait Behaviour: Fn(&str, u64, Moment) -> (Span, Event) {}

impl<F: Fn(&str, u64, Moment) -> (Span, Event)> Behaviour for F {}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Answered within the target, from the first try on.
    pub in_target: u64,
    /// Answered later.
    pub late: u64,
    /// Not answered.
    pub unserved: u64,
    /// Requests that reached upstreams beyond the first of each try.
    pub repeats: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Happen(key::Attempt, Event),
    Slow(key::Call),
    Late(key::Call),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    since: Moment,
    write: bool,
    came_back: bool,
    served: Option<Span>,
    sends: u64,
    tries: u64,
}

/// A stream of requests and what happens to them.
pub struct Load<B> {
    world: World,
    behaviour: B,
    steps: BTreeSet<(Moment, u64, Step)>,
    number: u64,
    callers: Vec<Caller>,
    tokens: BTreeMap<u64, usize>,
    /// Requests in progress by upstream.
    running: BTreeMap<String, u32>,
    exchanges: BTreeMap<key::Attempt, String>,
}

impl<B: Behaviour> Load<B> {
    /// Makes the load for a node.
    pub fn new(world: World, behaviour: B) -> Self {
        Self {
            world,
            behaviour,
            steps: BTreeSet::new(),
            number: 0,
            callers: Vec::new(),
            tokens: BTreeMap::new(),
            running: BTreeMap::new(),
            exchanges: BTreeMap::new(),
        }
    }

    /// Lets `rate` requests a second arrive for a time, one in three of them not idempotent, and
    /// returns what became of those that arrived after the first `warm` of it.
    pub fn run(mut self, rate: u64, time: Span, warm: Span) -> Served {
        let start = self.world.now;
        let gap = 1_000_000 / rate;
        for number in 0..time.0 / gap {
            let since = start + Span(number * gap);
            let write = number.is_multiple_of(3);
            let caller =
                Caller { since, write, came_back: false, served: None, sends: 0, tries: 0 };
            self.callers.push(caller);
            self.plan(since, Step::Arrive(self.callers.len() - 1));
        }
        for tick in 0..time.0 / TICK.0 {
            self.plan(start + Span(tick * TICK.0), Step::Tick);
        }
        while let Some((now, _, step)) = self.steps.pop_first() {
            self.world.now = now;
            self.step(step);
            self.follow();
        }
        let counted = self.callers.iter().filter(|caller| caller.since >= start + warm);
        counted.fold(Served::default(), Caller::count)
    }

    fn plan(&mut self, at: Moment, step: Step) {
        self.number += 1;
        self.steps.insert((at, self.number, step));
    }

    fn step(&mut self, step: Step) {
        let now = self.world.now;
        match step {
            Step::Arrive(caller) => {
                self.callers[caller].tries += 1;
                let path = if self.callers[caller].write { "/write/1" } else { "/read/1" };
                let token = self.world.next_token();
                self.tokens.insert(token, caller);
                self.world.request(path);
            }
            Step::Happen(exchange, event) => self.happen(exchange, event),
            Step::Slow(call) => self.world.send_input(Input::Slow(call)),
            Step::Late(call) => self.world.send_input(Input::Late(call)),
            Step::Tick => {
                let at = self.world.engine.revision(Kind::Upstreams);
                self.world.send_input(Input::Current { kind: Kind::Upstreams, at, asked_at: now });
                self.world.send_input(Input::Tick);
            }
        }
    }

    fn happen(&mut self, exchange: key::Attempt, event: Event) {
        let Some(id) = self.exchanges.remove(&exchange) else { return };
        let running = self.running.entry(id).or_default();
        *running = running.saturating_sub(1);
        let report = Some(Report { running: *running, waiting: 0, slots: 4, slowdown: 1.0 });
        self.world.send_input(Input::Exchange { exchange, event, report });
    }

    /// Carries out what the node has put out.
    fn follow(&mut self) {
        let now = self.world.now;
        let running = &self.running;
        self.world.answer_probes(|id| healthy(running.get(id).copied().unwrap_or_default(), 1.0));
        for (token, exchange, id) in self.world.take_sends_with_tokens() {
            self.world.exchange_event(exchange, Event::Sent);
            self.number += 1;
            let (time, event) = (self.behaviour)(&id, self.number, now);
            *self.running.entry(id.clone()).or_default() += 1;
            self.exchanges.insert(exchange, id);
            self.plan(now + time, Step::Happen(exchange, event));
            if let Some(caller) = self.tokens.get(&token) {
                self.callers[*caller].sends += 1;
            }
        }
        for output in std::mem::take(&mut self.world.outputs) {
            match output {
                Output::Begun { call, .. } => self.begun(call),
                Output::Pass { token } => self.passed(token),
                Output::Refuse { token, rejection } => self.refused(token, rejection.retry_after),
                _ => {}
            }
        }
    }

    fn begun(&mut self, call: key::Call) {
        let Some((deadline, slow)) = self.world.engine.times(call) else { return };
        self.plan(deadline, Step::Late(call));
        if let Some(slow) = slow {
            self.plan(slow, Step::Slow(call));
        }
    }

    fn passed(&mut self, token: u64) {
        let now = self.world.now;
        let Some(caller) = self.tokens.remove(&token) else { return };
        let caller = &mut self.callers[caller];
        caller.served = Some(now.since(caller.since) + CALLER_TRIP);
    }

    /// Lets a caller come back once when it was told to, if that leaves it enough time.
    fn refused(&mut self, token: u64, retry_after: Option<Span>) {
        let Some(caller) = self.tokens.remove(&token) else { return };
        let known = self.callers[caller];
        let left = PATIENCE.0.saturating_sub(self.world.now.since(known.since).0);
        let Some(wait) = retry_after.filter(|wait| !known.came_back && wait.0 <= left / 3) else {
            return;
        };
        self.callers[caller].came_back = true;
        self.plan(self.world.now + CALLER_TRIP + wait, Step::Arrive(caller));
    }
}

impl Caller {
    fn count(mut served: Served, caller: &Self) -> Served {
        match caller.served {
            Some(time) if time <= TARGET => served.in_target += 1,
            Some(_) => served.late += 1,
            None => served.unserved += 1,
        }
        served.repeats += caller.sends.saturating_sub(caller.tries);
        served
    }
}
