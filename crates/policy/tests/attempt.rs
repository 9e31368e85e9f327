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
    Event::Left,
];

/// What really became of the requests of one call.
#[derive(Clone, Debug, Default)]
struct Actual {
    /// Attempts that may have run.
    may_have_run: u32,
    /// Whether the open attempt has left the entry.
    sent: bool,
    /// Whether the head of an answer came.
    answered: bool,
    /// The open attempt.
    attempt: Option<key::Attempt>,
    /// Whether the open attempt was told to go on.
    continued: bool,
    /// Answers to the caller.
    replies: u32,
}

/// A call under one sequence of events.
struct Case {
    engine: Engine<Least>,
    actual: Actual,
    idempotent: bool,
    history: Vec<Event>,
    at: Moment,
}

impl Case {
    fn start(idempotent: bool) -> Self {
        let engine = Engine::new(Charts::load().expect("charts fit"), 7, "d1", 7, Least);
        let at = Moment(1_000);
        let mut case =
            Self { engine, actual: Actual::default(), idempotent, history: Vec::new(), at };
        let config = common::config(3, 4, 1);
        case.input(Input::Config(Box::new(config)));
        let idents: Vec<u64> =
            case.engine.catalog().upstreams.values().map(|upstream| upstream.ident).collect();
        for upstream in idents {
            let news = vec![policy::message::News::Thermal { upstream, epoch: 2 }];
            case.input(Input::Peer { from: 9, frame: common::updates_frame(news) });
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
            Output::Forward { attempt, .. } => {
                let is_safe = self.idempotent || self.actual.may_have_run == 0;
                assert!(is_safe, "runs twice: {:?}", self.history);
                assert_eq!(self.actual.replies, 0, "goes on after an answer: {:?}", self.history);
                self.actual.attempt = Some(*attempt);
                self.actual.sent = false;
                self.actual.answered = false;
            }
            Output::Refuse { outcome, .. } => {
                self.actual.replies += 1;
                let is_wrong = *outcome == Outcome::NotRun && self.actual.may_have_run > 0;
                assert!(!is_wrong, "told as not run: {:?}", self.history);
            }
            Output::Continue { .. } => self.actual.continued = true,
            Output::Relay { .. } => {
                self.actual.replies += 1;
                assert!(self.actual.answered, "nothing to pass on: {:?}", self.history);
            }
            _ => {}
        }
    }

    /// Tells whether the front may report an event now.
    fn is_possible(&self, event: Event) -> bool {
        let (sent, answered) = (self.actual.sent, self.actual.answered);
        match event {
            Event::ConnectFailed | Event::Sent => !sent,
            Event::NeverSent => !answered,
            Event::Refused | Event::Head | Event::HeadFailed | Event::Silent | Event::SilentNew => {
                sent && !answered
            }
            Event::End => answered,
            Event::Broken => sent,
            Event::Late | Event::Left => true,
        }
    }

    fn apply(&mut self, event: Event) {
        let Some(attempt) = self.actual.attempt else { return };
        self.history.push(event);
        match event {
            Event::Sent => {
                self.actual.sent = true;
                self.actual.may_have_run += 1;
            }
            // The request came back or was refused, so this attempt has not run.
            Event::NeverSent | Event::Refused if self.actual.sent => self.actual.may_have_run -= 1,
            Event::Head | Event::HeadFailed => self.actual.answered = true,
            _ => {}
        }
        let before = self.actual.clone();
        self.actual.continued = false;
        self.input(Input::Attempt { attempt, event, report: None });
        let unchanged = self.actual.attempt == before.attempt;
        let is_end = !matches!(event, Event::Sent | Event::Head | Event::HeadFailed);
        let is_silent = matches!(event, Event::Silent | Event::SilentNew);
        if unchanged && (if is_silent { !self.actual.continued } else { is_end }) {
            self.actual.attempt = None;
        }
    }
}

fn explore(idempotent: bool, history: &mut Vec<Event>, cases: &mut u64) {
    *cases += 1;
    for event in EVENTS {
        let mut case = Case::start(idempotent);
        for earlier in history.iter() {
            case.apply(*earlier);
        }
        if case.actual.attempt.is_none() || !case.is_possible(event) {
            continue;
        }
        case.apply(event);
        let finished = case.actual.attempt.is_none();
        if finished {
            *cases += 1;
            // A call may wait for upstreams that shed, until its deadline at the latest.
            case.at = Moment(5_000_000);
            case.input(Input::Tick);
            assert_eq!(case.engine.open_calls(), 0, "left open: {:?}", case.history);
            assert!(case.actual.replies <= 1, "told twice: {:?}", case.history);
        } else if history.len() + 1 < DEPTH {
            history.push(event);
            explore(idempotent, history, cases);
            history.pop();
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
