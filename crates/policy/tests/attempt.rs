//! Every sequence of events of attempts, checked against what may be told of them.

mod common;

use base::prelude::*;
use policy::attempt::Event;
use policy::balance::Least;
use policy::call::{Outcome, Request};
use policy::engine::{Input, Output};
use policy::{Charts, Engine, Now};

/// Events over all attempts of one call.
const DEPTH: usize = 6;

const EVENTS: [Event; 12] = [
    Event::ConnectFailed,
    Event::NeverSent,
    Event::Sent,
    Event::Refused,
    Event::Head,
    Event::HeadFailed,
    Event::End,
    Event::Broken,
    Event::Silent,
    Event::SilentNew,
    Event::Late,
    Event::Cancelled,
];

/// What really became of the requests of one call.
#[derive(Clone, Debug, Default)]
struct Truth {
    /// Attempts that may have run.
    may_have_run: u32,
    /// Whether the open attempt has left the entry.
    sent: bool,
    /// Whether the head of an answer came.
    answered: bool,
    /// The open attempt.
    attempt: Option<key::Attempt>,
    /// Whether the open attempt was told to go on.
    goes_on: bool,
    /// Answers to the caller.
    told: u32,
}

/// A call under one sequence of events.
struct Case {
    engine: Engine<Least>,
    truth: Truth,
    idempotent: bool,
    trail: Vec<Event>,
    at: Moment,
}

impl Case {
    fn start(idempotent: bool) -> Self {
        let engine = Engine::new(Charts::load().expect("charts fit"), 7, "d1", 7, Least);
        let at = Moment(1_000);
        let mut case = Self { engine, truth: Truth::default(), idempotent, trail: Vec::new(), at };
        let config = common::config(3, 4, 1);
        case.input(Input::Config(Box::new(config)));
        let idents: Vec<u64> =
            case.engine.catalog().upstreams.values().map(|one| one.ident).collect();
        for upstream in idents {
            let updates = vec![policy::message::Update::ColdStart { upstream, epoch: 2 }];
            case.input(Input::Peer { from: 9, frame: common::updates(updates) });
        }
        let service = case.engine.catalog().service("seal").expect("a service");
        case.input(Input::Request(Request {
            token: 1,
            service,
            workspace: None,
            route: None,
            idempotent,
            replayable: true,
            deadline: Moment(5_000_000),
            key: None,
            digest: 1,
        }));
        case
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.engine.input(Now { at: self.at, unix_ms: 0 }, input, &mut out);
        for output in out {
            self.output(&output);
        }
    }

    fn output(&mut self, output: &Output) {
        match output {
            Output::Grant { attempt, .. } => {
                let safe = self.idempotent || self.truth.may_have_run == 0;
                assert!(safe, "runs twice: {:?}", self.trail);
                assert_eq!(self.truth.told, 0, "goes on after an answer: {:?}", self.trail);
                self.truth.attempt = Some(*attempt);
                self.truth.sent = false;
                self.truth.answered = false;
            }
            Output::Refuse { outcome, .. } => {
                self.truth.told += 1;
                let lie = *outcome == Outcome::NotRun && self.truth.may_have_run > 0;
                assert!(!lie, "told as not run: {:?}", self.trail);
            }
            Output::Continue { .. } => self.truth.goes_on = true,
            Output::Pass { .. } => {
                self.truth.told += 1;
                assert!(self.truth.answered, "nothing to pass on: {:?}", self.trail);
            }
            _ => {}
        }
    }

    /// Tells whether the front may report an event now.
    fn is_possible(&self, event: Event) -> bool {
        let (sent, answered) = (self.truth.sent, self.truth.answered);
        match event {
            Event::ConnectFailed | Event::Sent => !sent,
            Event::NeverSent => !answered,
            Event::Refused | Event::Head | Event::HeadFailed | Event::Silent | Event::SilentNew => {
                sent && !answered
            }
            Event::End => answered,
            Event::Broken => sent,
            Event::Late | Event::Cancelled => true,
        }
    }

    fn happen(&mut self, event: Event) {
        let Some(attempt) = self.truth.attempt else { return };
        self.trail.push(event);
        match event {
            Event::Sent => {
                self.truth.sent = true;
                self.truth.may_have_run += 1;
            }
            // The request came back or was refused, so this attempt has not run.
            Event::NeverSent | Event::Refused if self.truth.sent => self.truth.may_have_run -= 1,
            Event::Head | Event::HeadFailed => self.truth.answered = true,
            _ => {}
        }
        let open = self.truth.clone();
        self.truth.goes_on = false;
        self.input(Input::Attempt { attempt, event, report: None });
        let same = self.truth.attempt == open.attempt;
        let ended = !matches!(event, Event::Sent | Event::Head | Event::HeadFailed);
        let silent = matches!(event, Event::Silent | Event::SilentNew);
        if same && (if silent { !self.truth.goes_on } else { ended }) {
            self.truth.attempt = None;
        }
    }
}

fn explore(idempotent: bool, trail: &mut Vec<Event>, cases: &mut u64) {
    *cases += 1;
    for event in EVENTS {
        let mut case = Case::start(idempotent);
        for past in trail.iter() {
            case.happen(*past);
        }
        if case.truth.attempt.is_none() || !case.is_possible(event) {
            continue;
        }
        case.happen(event);
        let over = case.truth.attempt.is_none();
        if over {
            *cases += 1;
            // A call may wait for upstreams that shed, until its deadline at the latest.
            case.at = Moment(5_000_000);
            case.input(Input::Tick);
            assert_eq!(case.engine.open_calls(), 0, "left open: {:?}", case.trail);
            assert!(case.truth.told <= 1, "told twice: {:?}", case.trail);
        } else if trail.len() + 1 < DEPTH {
            trail.push(event);
            explore(idempotent, trail, cases);
            trail.pop();
        }
    }
}

#[test]
fn attempt_every_sequence() {
    for idempotent in [true, false] {
        let mut cases = 0;
        explore(idempotent, &mut Vec::new(), &mut cases);
        println!("idempotent {idempotent}: {cases} sequences");
        assert!(cases > 100, "{cases}");
    }
}
