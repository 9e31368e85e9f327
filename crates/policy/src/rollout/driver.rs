//! The driver of a move, which decides when the share of the new version rises, stays or drops.
//!
//! One driver for each move runs at the member that owns the move, and steps the chart
//! `charts/move.jsonc`.

use base::prelude::*;
use chart::Chart;

use super::judge::{Finding, Judge};
use super::{STEPS, Verdict};

/// Share of the time until the deadline that all steps together take.
const STEPPING_SHARE: f64 = 0.6;
/// Shortest time at a step, unless the deadline is too close for it.
const MIN_DWELL: Span = Span::millis(1_500);
/// Informative responses of the new version for each step; with fewer, only time decides.
const MIN_SAMPLES: u32 = 30;
/// Multiple of the regular time at a step after which fewer responses suffice.
const MAX_DWELL_FACTOR: f64 = 1.3;
/// Interval between two submissions of the same command to the store.
const SUBMIT_INTERVAL: Span = Span::seconds(2);

symbols! {
    /// Progress of a move at its driver.
    pub enum State {
        /// The new version gets its first share next.
        Starting = "starting",
        /// The share rises step by step.
        Shifting = "shifting",
        /// The share stays, as the evidence raises doubts about the new version.
        Holding = "holding",
        /// Operators have paused the move.
        Paused = "paused",
        /// All traffic goes to the new version.
        Finished = "finished",
        /// No traffic goes to the new version.
        Failed = "failed",
    }
}

symbols! {
    /// Events of a move.
    pub enum Event {
        /// Time and evidence permit the next share.
        Due = "due",
        /// The evidence raises doubts about the new version.
        Doubtful = "doubtful",
        /// The evidence raises no doubts any more.
        Clear = "clear",
        /// All traffic has gone to the new version for long enough.
        Complete = "complete",
        /// The new version is bad.
        Bad = "bad",
        /// The deadline passed.
        Late = "late",
        /// Operators have paused the move.
        Paused = "paused",
        /// Operators have resumed the move.
        Resumed = "resumed",
        /// The store has not accepted the end of the move yet.
        NotAccepted = "not-accepted",
    }
}

symbols! {
    /// Actions of the driver.
    pub enum Action {
        /// Sets the first share.
        Start = "start",
        /// Sets the next share.
        Raise = "raise",
        /// Announces to every member that the new version is bad.
        AnnounceBad = "announce-bad",
        /// Announces to every member that the move missed its deadline.
        AnnounceLate = "announce-late",
        /// Submits the completion of the move to the store.
        SubmitCompletion = "submit-completion",
        /// Submits the rollback of the move to the store.
        SubmitRollback = "submit-rollback",
    }
}

/// The state of a move at its driver.
#[derive(Clone, Debug)]
pub struct Driver {
    /// Progress of the move.
    pub state: State,
    /// Statistical tests of the new version.
    pub judge: Judge,
    /// Index of the current share in [`STEPS`].
    pub step: usize,
    /// When the current step was reached.
    pub step_reached_at: Moment,
    /// Informative responses counted when the current step was reached.
    step_samples: u32,
    /// When the next submission to the store is due.
    next_submit_at: Moment,
    /// Whether this member has driven the move from the start, so that tallies count in full.
    pub from_start: bool,
}

/// Conditions of a move, by the configuration and the state of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Time from the start to the deadline.
    pub window: Span,
    /// Whether the deadline has passed.
    pub is_past_deadline: bool,
    /// Whether operators have paused the move.
    pub is_paused: bool,
    /// Whether the upstreams of the new version have the capacity for the next share.
    pub has_capacity: bool,
}

impl Driver {
    /// Creates the state of a driver that takes over the move at the given share.
    #[must_use]
    pub fn new(chart: &Chart<State, Event, Action>, now: Moment, permille: u32) -> Self {
        let step = STEPS.iter().rposition(|step| *step <= permille);
        let state = if step.is_some() { State::Shifting } else { chart.initial() };
        Self {
            state,
            judge: Judge::default(),
            step: step.unwrap_or(0),
            step_reached_at: now,
            step_samples: 0,
            next_submit_at: Moment::default(),
            from_start: permille == 0,
        }
    }

    /// Evaluates the evidence and returns the resulting event, with a verdict if it ends the move.
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
            return (now >= self.next_submit_at).then_some((Event::NotAccepted, None));
        }
        if conditions.is_past_deadline {
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
        // Without an informative response at this step there is no evidence for a higher share.
        if elapsed < dwell || !enough || samples == 0 {
            return None;
        }
        if self.step + 1 == STEPS.len() {
            return Some(Event::Complete);
        }
        conditions.has_capacity.then_some(Event::Due)
    }

    /// Sets the first share and returns it in thousandths.
    pub fn start(&mut self, now: Moment) -> u32 {
        self.enter_step(now, 0)
    }

    /// Sets the next share and returns it in thousandths.
    pub fn raise(&mut self, now: Moment) -> u32 {
        self.enter_step(now, (self.step + 1).min(STEPS.len() - 1))
    }

    fn enter_step(&mut self, now: Moment, step: usize) -> u32 {
        self.step = step;
        self.step_reached_at = now;
        self.step_samples = self.judge.informative();
        STEPS[step]
    }

    /// Returns whether the remaining steps take longer than the time until the deadline.
    #[must_use]
    pub fn expects_late(&self, now: Moment, window: Span, remaining: Span) -> bool {
        let steps = (STEPS.len() - self.step) as f64;
        let elapsed = now.since(self.step_reached_at);
        let needed = Span(dwell(window).scale(steps).0.saturating_sub(elapsed.0));
        !matches!(self.state, State::Finished | State::Failed) && needed > remaining
    }

    /// Records that a command was submitted to the store.
    pub fn record_submission(&mut self, now: Moment) {
        self.next_submit_at = now + SUBMIT_INTERVAL;
    }
}

/// Returns the regular time at each step of a move with the given time until its deadline.
fn dwell(window: Span) -> Span {
    let dwell = window.scale(STEPPING_SHARE / STEPS.len() as f64);
    dwell.min(Span::seconds(600)).max(MIN_DWELL.min(dwell))
}
