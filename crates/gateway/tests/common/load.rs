//! Simulation of callers and upstreams in virtual time around one node, which stands for all nodes
//! of its domain.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use gateway::engine::{Input, Output};
use gateway::exchange::Event;
use gateway::gauge::Report;
use model::registry::Kind;

use super::{Harness, healthy};

/// Round-trip time between a caller and the node.
const ROUND_TRIP: Span = Span::millis(16);
/// Interval of ticks.
const TICK: Span = Span::millis(200);
/// Time for which a caller waits for a response, from its first try.
const CALLER_TIMEOUT: Span = Span::millis(800);
/// Target of every route.
const TARGET: Span = Span::millis(200);

/// Decides after which time and with which event an upstream ends a request.
///
/// Arguments are the upstream's identity, the number of the request and the time when it was sent.
pub trait Behaviour: Fn(&str, u64, Moment) -> (Span, Event) {}

impl<F: Fn(&str, u64, Moment) -> (Span, Event)> Behaviour for F {}

/// Number of requests by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Results {
    /// Response within the target, from the first try on.
    pub in_target: u64,
    /// Later response.
    pub late: u64,
    /// No response.
    pub unserved: u64,
    /// Sends to upstreams beyond the first of each try.
    pub resends: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Finish(key::Attempt, Event),
    HedgeDue(key::Call),
    DeadlinePassed(key::Call),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    first_sent: Moment,
    write: bool,
    retried: bool,
    response_time: Option<Span>,
    sends: u64,
    tries: u64,
}

/// A stream of requests to one node, and the upstreams that serve them.
pub struct Simulation<B> {
    harness: Harness,
    behaviour: B,
    schedule: BTreeSet<(Moment, u64, Step)>,
    sequence: u64,
    callers: Vec<Caller>,
    tokens: BTreeMap<u64, usize>,
    /// Number of requests in progress, by upstream.
    running: BTreeMap<String, u32>,
    exchanges: BTreeMap<key::Attempt, String>,
}

impl<B: Behaviour> Simulation<B> {
    /// Creates the simulation around a node.
    pub fn new(harness: Harness, behaviour: B) -> Self {
        Self {
            harness,
            behaviour,
            schedule: BTreeSet::new(),
            sequence: 0,
            callers: Vec::new(),
            tokens: BTreeMap::new(),
            running: BTreeMap::new(),
            exchanges: BTreeMap::new(),
        }
    }

    /// Sends `rate` requests a second for `duration`, one in three of them not idempotent, and
    /// returns the results of those that arrived after the first `warm_up` of it.
    pub fn run(mut self, rate: u64, duration: Span, warm_up: Span) -> Results {
        let start = self.harness.now;
        let interval = 1_000_000 / rate;
        for number in 0..duration.0 / interval {
            let first_sent = start + Span(number * interval);
            let write = number.is_multiple_of(3);
            let caller = Caller {
                first_sent,
                write,
                retried: false,
                response_time: None,
                sends: 0,
                tries: 0,
            };
            self.callers.push(caller);
            self.schedule_step(first_sent, Step::Arrive(self.callers.len() - 1));
        }
        for tick in 0..duration.0 / TICK.0 {
            self.schedule_step(start + Span(tick * TICK.0), Step::Tick);
        }
        while let Some((now, _, step)) = self.schedule.pop_first() {
            self.harness.now = now;
            self.run_step(step);
            self.process_outputs();
        }
        let counted = self.callers.iter().filter(|caller| caller.first_sent >= start + warm_up);
        counted.fold(Results::default(), Caller::count)
    }

    fn schedule_step(&mut self, at: Moment, step: Step) {
        self.sequence += 1;
        self.schedule.insert((at, self.sequence, step));
    }

    fn run_step(&mut self, step: Step) {
        let now = self.harness.now;
        match step {
            Step::Arrive(caller) => {
                self.callers[caller].tries += 1;
                let path = if self.callers[caller].write { "/write/1" } else { "/read/1" };
                let token = self.harness.next_token();
                self.tokens.insert(token, caller);
                self.harness.request(path);
            }
            Step::Finish(exchange, event) => self.finish(exchange, event),
            Step::HedgeDue(call) => self.harness.send_input(Input::HedgeDue(call)),
            Step::DeadlinePassed(call) => self.harness.send_input(Input::DeadlinePassed(call)),
            Step::Tick => {
                let revision = self.harness.engine.revision(Kind::Upstreams);
                self.harness.send_input(Input::Current {
                    kind: Kind::Upstreams,
                    revision,
                    asked_at: now,
                });
                self.harness.send_input(Input::Tick);
            }
        }
    }

    fn finish(&mut self, exchange: key::Attempt, event: Event) {
        let Some(id) = self.exchanges.remove(&exchange) else { return };
        let running = self.running.entry(id).or_default();
        *running = running.saturating_sub(1);
        let report = Some(Report { running: *running, waiting: 0, slots: 4, slowdown: 1.0 });
        self.harness.send_input(Input::Exchange { exchange, event, report });
    }

    /// Carries out the outputs of the node.
    fn process_outputs(&mut self) {
        let now = self.harness.now;
        let running = &self.running;
        self.harness.answer_probes(|id| healthy(running.get(id).copied().unwrap_or_default(), 1.0));
        for (token, exchange, id) in self.harness.take_sends_with_tokens() {
            self.harness.exchange_event(exchange, Event::Sent);
            self.sequence += 1;
            let (time, event) = (self.behaviour)(&id, self.sequence, now);
            *self.running.entry(id.clone()).or_default() += 1;
            self.exchanges.insert(exchange, id);
            self.schedule_step(now + time, Step::Finish(exchange, event));
            if let Some(caller) = self.tokens.get(&token) {
                self.callers[*caller].sends += 1;
            }
        }
        for output in std::mem::take(&mut self.harness.outputs) {
            match output {
                Output::Admitted { call, .. } => self.schedule_timers(call),
                Output::Relay { token } => self.record_response(token),
                Output::Refuse { token, rejection } => self.retry(token, rejection.retry_after),
                _ => {}
            }
        }
    }

    fn schedule_timers(&mut self, call: key::Call) {
        let Some((deadline, hedge_at)) = self.harness.engine.timers(call) else { return };
        self.schedule_step(deadline, Step::DeadlinePassed(call));
        if let Some(hedge_at) = hedge_at {
            self.schedule_step(hedge_at, Step::HedgeDue(call));
        }
    }

    fn record_response(&mut self, token: u64) {
        let now = self.harness.now;
        let Some(caller) = self.tokens.remove(&token) else { return };
        let caller = &mut self.callers[caller];
        caller.response_time = Some(now.since(caller.first_sent) + ROUND_TRIP);
    }

    /// Lets a refused caller retry once after the delay that it was given, if that leaves it enough
    /// time.
    fn retry(&mut self, token: u64, retry_after: Option<Span>) {
        let Some(caller) = self.tokens.remove(&token) else { return };
        let state = self.callers[caller];
        let remaining = CALLER_TIMEOUT.0.saturating_sub(self.harness.now.since(state.first_sent).0);
        let Some(wait) = retry_after.filter(|wait| !state.retried && wait.0 <= remaining / 3)
        else {
            return;
        };
        self.callers[caller].retried = true;
        self.schedule_step(self.harness.now + ROUND_TRIP + wait, Step::Arrive(caller));
    }
}

impl Caller {
    fn count(mut results: Results, caller: &Self) -> Results {
        match caller.response_time {
            Some(time) if time <= TARGET => results.in_target += 1,
            Some(_) => results.late += 1,
            None => results.unserved += 1,
        }
        results.resends += caller.sends.saturating_sub(caller.tries);
        results
    }
}
