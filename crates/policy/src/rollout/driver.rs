//! The member that drives a move: when the share rises, stays or goes back.

use base::prelude::*;
use chart::Chart;

use super::judge::{Finding, Judge};
use super::{STEPS, Verdict};

/// Share of the time until the deadline that the steps may take in all.
const STEPPING_SHARE: f64 = 0.6;
/// Shortest time at a step.
const MIN_DWELL: Span = Span::millis(1_500);
/// Telling answers of the new version for each step; with fewer, time alone decides.
const MIN_SAMPLES: u32 = 30;
/// Time at a step, in dwells, after which few answers do.
const MAX_DWELL_FACTOR: f64 = 1.3;
/// Time between two orders for the store.
const ORDER_INTERVAL: Span = Span::seconds(2);

symbols! {
    /// How far a move is at the member that drives it.
    pub enum State {
        /// The new version gets its first small share.
        Starting = "starting",
        /// The share rises.
        Shifting = "shifting",
        /// The share stays, as something speaks against the new version.
        Holding = "holding",
        /// Operators paused it.
        Paused = "paused",
        /// All traffic goes to the new version.
        Finished = "finished",
        /// No traffic goes to the new version.
        Failed = "failed",
    }
}

symbols! {
    /// What happens to a move.
    pub enum Event {
        /// Time and evidence permit the next share.
        Due = "due",
        /// Something speaks against the new version.
        Doubtful = "doubtful",
        /// Nothing does.
        Clear = "clear",
        /// The whole traffic has gone to the new version for long enough.
        Complete = "complete",
        /// The new version is bad.
        Bad = "bad",
        /// The deadline passed.
        Late = "late",
        /// Operators paused it.
        Paused = "paused",
        /// Operators let it go on.
        Resumed = "resumed",
        /// The store has not accepted the end yet.
        NotAccepted = "not-accepted",
    }
}

symbols! {
    /// What the member does about it.
    pub enum Action {
        /// Sets the first share.
        Start = "start",
        /// Sets the next share.
        Raise = "raise",
        /// Tells every member that the new version is bad.
        AnnounceBad = "announce-bad",
        /// Tells every member that the move came too late.
        AnnounceLate = "announce-late",
        /// Orders the end of the move in the store.
        OrderDone = "order-done",
        /// Orders the move back in the store.
        OrderRollback = "order-rollback",
    }
}

/// The state of a move at the member that drives it.
#[derive(Clone, Debug)]
pub struct Driver {
    /// How far it is.
    pub state: State,
    /// The tests of the new version.
    pub judge: Judge,
    /// Position among [`STEPS`].
    pub step: usize,
    /// When the step was reached.
    pub step_reached_at: Moment,
    /// Answers weighed when the step was reached.
    step_samples: u32,
    /// When an order for the store is due.
    next_order_at: Moment,
    /// Whether this member has driven the move from its start.
    pub from_start: bool,
}

/// What a move is about, as the configuration says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Time from the start to the deadline.
    pub window: Span,
    /// Whether the deadline has passed.
    pub is_over: bool,
    /// Whether operators paused it.
    pub is_paused: bool,
    /// Whether the upstreams of the new version bear the next share.
    pub has_capacity: bool,
}

impl Driver {
    /// Makes the state of a member that takes the move over at the given share.
    #[must_use]
    pub fn new(chart: &Chart<State, Event, Action>, now: Moment, mille: u32) -> Self {
        let step = STEPS.iter().rposition(|step| *step <= mille);
        let state = if step.is_some() { State::Shifting } else { chart.initial() };
        Self {
            state,
            judge: Judge::default(),
            step: step.unwrap_or(0),
            step_reached_at: now,
            step_samples: 0,
            next_order_at: Moment::default(),
            from_start: mille == 0,
        }
    }

    /// Looks at the evidence and returns what has happened.
    #[must_use]
    pub fn evaluate(
        &self,
        now: Moment,
        conditions: Conditions,
    ) -> Option<(Event, Option<Verdict>)> {
        let finding = self.judge.finding();
        if let Finding::Bad(verdict) = finding {
            return Some((Event::Bad, Some(verdict)));
        }
        if matches!(self.state, State::Finished | State::Failed) {
            return (now >= self.next_order_at).then_some((Event::NotAccepted, None));
        }
        if conditions.is_over {
            return Some((Event::Late, Some(Verdict::Late)));
        }
        let event = match (conditions.is_paused, self.state) {
            (true, State::Paused | State::Starting) => return None,
            (true, _) => Event::Paused,
            (false, State::Paused) => Event::Resumed,
            (false, State::Holding) if finding == Finding::Clear => Event::Clear,
            (false, State::Shifting) if finding == Finding::Doubtful => Event::Doubtful,
            (false, _) => self.next_event(now, conditions)?,
        };
        Some((event, None))
    }

    fn next_event(&self, now: Moment, conditions: Conditions) -> Option<Event> {
        if self.state == State::Starting {
            return Some(Event::Due);
        }
        let dwell = dwell(conditions.window);
        let elapsed = now.since(self.step_reached_at);
        let samples = self.judge.informative().saturating_sub(self.step_samples);
        let enough = samples >= MIN_SAMPLES || elapsed >= dwell.scale(MAX_DWELL_FACTOR);
        if elapsed < dwell || !enough || samples == 0 {
            return None;
        }
        if self.step + 1 == STEPS.len() {
            return Some(Event::Complete);
        }
        conditions.has_capacity.then_some(Event::Due)
    }

    /// Starts at the first share and returns it in thousandths.
    pub fn start(&mut self, now: Moment) -> u32 {
        self.enter_step(now, 0)
    }

    /// Goes to the next share and returns it in thousandths.
    pub fn raise(&mut self, now: Moment) -> u32 {
        self.enter_step(now, (self.step + 1).min(STEPS.len() - 1))
    }

    fn enter_step(&mut self, now: Moment, step: usize) -> u32 {
        self.step = step;
        self.step_reached_at = now;
        self.step_samples = self.judge.informative();
        STEPS[step]
    }

    /// Tells whether the move may end after its deadline at the pace of its steps.
    #[must_use]
    pub fn expects_late(&self, now: Moment, window: Span, remaining: Span) -> bool {
        let steps = (STEPS.len() - self.step) as f64;
        let elapsed = now.since(self.step_reached_at);
        let needed = Span(dwell(window).scale(steps).0.saturating_sub(elapsed.0));
        !matches!(self.state, State::Finished | State::Failed) && needed > remaining
    }

    /// Notes that the store was given an order.
    pub fn order_sent(&mut self, now: Moment) {
        self.next_order_at = now + ORDER_INTERVAL;
    }
}

/// Returns the time at each step of a move with so much time in all.
fn dwell(window: Span) -> Span {
    let dwell = window.scale(STEPPING_SHARE / STEPS.len() as f64);
    dwell.min(Span::seconds(600)).max(MIN_DWELL.min(dwell))
}
