//! Runs every short sequence of attempt events and checks that no request runs twice and that no
//! reply to the caller contradicts what happened.

mod common;

use base::prelude::*;
use policy::attempt::Event;
use policy::balance::Least;
use policy::call::{Outcome, Request};
use policy::engine::{Input, Output};
use policy::{Charts, Engine, Now};

/// Maximum number of events over all attempts of one call.
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

/// The actual state of one call's attempts, tracked independently of the engine.
#[derive(Clone, Debug, Default)]
struct Actual {
    /// Number of attempts that may have run.
    may_have_run: u32,
    /// Whether the open attempt was sent to the upstream.
    sent: bool,
    /// Whether the head of a response was received.
    answered: bool,
    /// The open attempt, if any.
    attempt: Option<key::Attempt>,
    /// Whether the engine let the open attempt continue.
    continued: bool,
    /// Number of replies to the caller.
    replies: u32,
}

/// One call and the sequence of events applied to it.
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
            let updates = vec![policy::message::Update::ColdStart { upstream, epoch: 2 }];
            case.input(Input::Peer { from: 9, frame: common::updates_frame(updates) });
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
                assert!(is_safe, "may run twice: {:?}", self.history);
                assert_eq!(
                    self.actual.replies, 0,
                    "new attempt after a reply to the caller: {:?}",
                    self.history
                );
                self.actual.attempt = Some(*attempt);
                self.actual.sent = false;
                self.actual.answered = false;
            }
            Output::Refuse { outcome, .. } => {
                self.actual.replies += 1;
                let is_wrong = *outcome == Outcome::NotRun && self.actual.may_have_run > 0;
                assert!(
                    !is_wrong,
                    "reported as not run although it may have run: {:?}",
                    self.history
                );
            }
            Output::Continue { .. } => self.actual.continued = true,
            Output::Relay { .. } => {
                self.actual.replies += 1;
                assert!(
                    self.actual.answered,
                    "relays a response that was not received: {:?}",
                    self.history
                );
            }
            _ => {}
        }
    }

    /// Returns whether the front end can report an event in the current state.
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
            Event::Late | Event::Cancelled => true,
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
            // The request was returned unsent or refused, so this attempt has not run.
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
            // A call may wait for upstreams that shed load, at most until its deadline.
            case.at = Moment(5_000_000);
            case.input(Input::Tick);
            assert_eq!(
                case.engine.open_calls(),
                0,
                "call still open after its deadline: {:?}",
                case.history
            );
            assert!(
                case.actual.replies <= 1,
                "more than one reply to the caller: {:?}",
                case.history
            );
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
