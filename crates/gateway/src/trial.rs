//! The trial of a service's target version.

use base::hash::digest;
use base::prelude::*;
use policy::rollout::{Finding, Judge};

use crate::demand::Demand;

/// Part of the allowed share that a trial uses, spread over its time and its upstreams.
const SPREAD_PART: f64 = 0.25;
/// Part of the allowed share that comes in short bursts at few upstreams, as some versions are bad
/// under load only.
const BURST_PART: f64 = 0.35;
/// Length of a burst.
const BURST_TIME: Span = Span::millis(300);
/// Time from one burst to the next.
const BURST_INTERVAL: Span = Span::millis(2_500);
/// Part of a trial's time after which it may end well.
const MIN_TIME_PART: f64 = 0.78;
/// Part of a trial's time after which less evidence is enough.
const LATE_TIME_PART: f64 = 0.86;
/// Part of a trial's time at which it ends badly without evidence.
const MAX_TIME_PART: f64 = 0.94;
/// Answers that are enough at first.
const MIN_SAMPLES: u32 = 60;
/// Answers that are enough later.
const MIN_SAMPLES_LATE: u32 = 15;
/// Requests that may be saved up for the target version.
const MAX_DEFICIT: f64 = 1.5;
/// Time between the switch and its end, in which nodes follow and badness under load shows.
pub const SETTLE_TIME: Span = Span::millis(800);
/// Time after which an end that is not written lets the other versions serve too.
const STUCK_TIME: Span = Span::millis(1_000);
/// Time between two tries to write the end.
pub const WRITE_RETRY_TIME: Span = Span::millis(700);

symbols! {
    /// Where a trial is.
    pub enum State {
        /// The target version gets a small share.
        Trying = "trying",
        /// It is good and too small to serve alone; the other versions serve too.
        Held = "held",
        /// All traffic goes to it.
        Switching = "switching",
        /// It stays.
        Finished = "finished",
        /// It gets nothing more.
        Failed = "failed",
    }
}

symbols! {
    /// What happens to a trial.
    pub enum Event {
        /// The evidence is enough and good.
        Approved = "approved",
        /// The evidence is enough and good, and the upstreams are too few.
        Undersized = "undersized",
        /// The nodes have followed the switch.
        Settled = "settled",
        /// The version is bad.
        Bad = "bad",
        /// The time is over without enough evidence.
        Overdue = "overdue",
        /// The store has not accepted the end yet.
        WriteDue = "write-due",
    }
}

symbols! {
    /// What its driver does about it.
    pub enum Action {
        /// Tells the other nodes at once.
        Announce = "announce",
        /// Writes the end to the store.
        Write = "write",
    }
}

value! {
    /// Where a request of a service on trial goes.
    pub enum Assignment {
        /// To the versions that serve anyway.
        Established,
        /// To any upstream of the target version.
        Spread,
        /// To the first upstream of the target version with room, in the order of a burst.
        Burst(u64),
    }
}

record! {
    /// How far a node sees a trial.
    #[derive(Copy)]
    pub struct Progress {
        /// Identity of the trial.
        pub trial: u64,
        /// Time since its order became known.
        pub age: Span,
        /// Where it is.
        pub state: State,
    }
}

/// A trial as one node sees it.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Identity that is equal on every node.
    pub ident: u64,
    /// The service.
    pub service: key::Service,
    /// The version.
    pub target: key::Version,
    /// Name of the service, for the store.
    pub service_name: String,
    /// Name of the version, for the store.
    pub target_name: String,
    /// When the order became known to any node.
    pub start: Moment,
    /// Time from the order to its deadline.
    pub duration: Span,
    /// Where it is.
    pub state: State,
    /// When that began.
    pub state_since: Moment,
    /// How far the target version is behind its share at this node, in requests.
    pub deficit: f64,
    /// The tests, at the driver.
    pub judge: Judge,
    /// What the service's requests keep busy, at the driver.
    pub demand: Demand,
    /// Whether the store has accepted the end.
    pub accepted: bool,
    /// When the end was last written.
    pub last_write_at: Option<Moment>,
}

/// Returns the identity of a trial.
#[must_use]
pub fn ident(service: &str, target: &str) -> u64 {
    digest(&[b"trial", service.as_bytes(), target.as_bytes()])
}

impl Trial {
    /// Draws where the next request goes; `allowed` is the share that a bad version may get.
    pub fn assign(&mut self, now: Moment, permitted: f64) -> Assignment {
        let age = now.since(self.start).0;
        let (burst, elapsed) = (age / BURST_INTERVAL.0, age % BURST_INTERVAL.0);
        let bursting = elapsed < BURST_TIME.0;
        let share = match self.state {
            State::Trying if bursting => {
                permitted
                    * (SPREAD_PART + BURST_PART * BURST_INTERVAL.0 as f64 / BURST_TIME.0 as f64)
            }
            // Any version serves the others, so that the tests go on where the target version is
            // avoided.
            State::Trying | State::Held => permitted * SPREAD_PART,
            State::Switching | State::Finished => 1.0,
            State::Failed => 0.0,
        };
        self.deficit = (self.deficit + share).min(MAX_DEFICIT);
        if self.deficit < 1.0 {
            return Assignment::Established;
        }
        self.deficit -= 1.0;
        if bursting && self.state == State::Trying {
            Assignment::Burst(burst)
        } else {
            Assignment::Spread
        }
    }

    /// Gives back a request that could not go to the target version.
    pub fn unassign(&mut self) {
        self.deficit = (self.deficit + 1.0).min(MAX_DEFICIT);
    }

    /// Returns what has happened, seen by the driver.
    ///
    /// `reachable` tells whether the store answers: without it a switch could not be ended.
    /// `carried` tells whether the target version's upstreams could carry the traffic alone.
    #[must_use]
    pub fn next_event(
        &self,
        now: Moment,
        store_reachable: bool,
        has_capacity: bool,
    ) -> Option<Event> {
        match self.state {
            State::Trying => self.trying_event(now, store_reachable, has_capacity),
            State::Held | State::Switching if self.is_bad() => Some(Event::Bad),
            State::Held => {
                (store_reachable && has_capacity && self.is_clear()).then_some(Event::Approved)
            }
            State::Switching => {
                (now.since(self.state_since) >= SETTLE_TIME).then_some(Event::Settled)
            }
            State::Finished | State::Failed => {
                let due = self.last_write_at.is_none_or(|at| now.since(at) >= WRITE_RETRY_TIME);
                (due && !self.accepted).then_some(Event::WriteDue)
            }
        }
    }

    fn trying_event(
        &self,
        now: Moment,
        store_reachable: bool,
        has_capacity: bool,
    ) -> Option<Event> {
        if self.is_bad() {
            return Some(Event::Bad);
        }
        let elapsed = now.since(self.start).0 as f64 / self.duration.0.max(1) as f64;
        let samples = self.judge.telling();
        let enough_samples = (elapsed >= MIN_TIME_PART && samples >= MIN_SAMPLES)
            || (elapsed >= LATE_TIME_PART && samples >= MIN_SAMPLES_LATE);
        match () {
            () if enough_samples && self.is_clear() && has_capacity => {
                store_reachable.then_some(Event::Approved)
            }
            () if enough_samples && self.is_clear() => {
                (elapsed >= 1.0).then_some(Event::Undersized)
            }
            () if elapsed >= MAX_TIME_PART => Some(Event::Overdue),
            () => None,
        }
    }

    fn is_clear(&self) -> bool {
        self.judge.finding() == Finding::Clear
    }

    fn is_bad(&self) -> bool {
        matches!(self.judge.finding(), Finding::Bad(_))
    }

    /// Tells whether what upstreams do still counts.
    #[must_use]
    pub fn needs_evidence(&self) -> bool {
        matches!(self.state, State::Trying | State::Held | State::Switching)
    }

    /// Tells whether the switch has ended while the store did not accept that, so that the other
    /// versions are still there.
    #[must_use]
    pub fn is_stuck(&self, now: Moment) -> bool {
        self.state == State::Finished && !self.accepted && now.since(self.state_since) >= STUCK_TIME
    }

    /// Moves to a state that another node or the store has told, if it is further.
    pub fn advance(&mut self, now: Moment, state: State) -> bool {
        let later = state > self.state && self.state != State::Finished;
        if later {
            self.state = state;
            self.state_since = now;
        }
        later
    }
}
