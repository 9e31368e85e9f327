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
const BURST: Span = Span::millis(300);
/// Time from one burst to the next.
const PERIOD: Span = Span::millis(2_500);
/// Part of a trial's time after which it may end well.
const TRY_PART: f64 = 0.78;
/// Part of a trial's time after which less evidence is enough.
const HURRY_PART: f64 = 0.86;
/// Part of a trial's time at which it ends badly without evidence.
const LAST_PART: f64 = 0.94;
/// Answers that are enough at first.
const ENOUGH: u32 = 60;
/// Answers that are enough later.
const ENOUGH_LATE: u32 = 15;
/// Requests that may be saved up for the target version.
const MOST_CREDIT: f64 = 1.5;
/// Time between the switch and its end, in which nodes follow and badness under load shows.
pub const SETTLE: Span = Span::millis(800);
/// Time after which an end that is not written lets the other versions serve too.
const STUCK: Span = Span::millis(1_000);
/// Time between two tries to write the end.
pub const WRITE_AGAIN: Span = Span::millis(700);

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
        Enough = "enough",
        /// The evidence is enough and good, and the upstreams are too few.
        Short = "short",
        /// The nodes have followed the switch.
        Settled = "settled",
        /// The version is bad.
        Bad = "bad",
        /// The time is over without enough evidence.
        Overdue = "overdue",
        /// The store has not accepted the end yet.
        Again = "again",
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
    pub enum Draw {
        /// To the versions that serve anyway.
        Old,
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
    pub since: Moment,
    /// How far the target version is behind its share at this node, in requests.
    pub credit: f64,
    /// The tests, at the driver.
    pub judge: Judge,
    /// What the service's requests keep busy, at the driver.
    pub demand: Demand,
    /// Whether the store has accepted the end.
    pub written: bool,
    /// When the end was last written.
    pub wrote_at: Option<Moment>,
}

/// Returns the identity of a trial.
#[must_use]
pub fn ident(service: &str, target: &str) -> u64 {
    digest(&[b"trial", service.as_bytes(), target.as_bytes()])
}

impl Trial {
    /// Draws where the next request goes; `allowed` is the share that a bad version may get.
    pub fn draw(&mut self, now: Moment, allowed: f64) -> Draw {
        let age = now.since(self.start).0;
        let (burst, within) = (age / PERIOD.0, age % PERIOD.0);
        let bursting = within < BURST.0;
        let share = match self.state {
            State::Trying if bursting => {
                allowed * (SPREAD_PART + BURST_PART * PERIOD.0 as f64 / BURST.0 as f64)
            }
            // Any version serves the others, so that the tests go on where the target version is
            // avoided.
            State::Trying | State::Held => allowed * SPREAD_PART,
            State::Switching | State::Finished => 1.0,
            State::Failed => 0.0,
        };
        self.credit = (self.credit + share).min(MOST_CREDIT);
        if self.credit < 1.0 {
            return Draw::Old;
        }
        self.credit -= 1.0;
        if bursting && self.state == State::Trying { Draw::Burst(burst) } else { Draw::Spread }
    }

    /// Gives back a request that could not go to the target version.
    pub fn restore(&mut self) {
        self.credit = (self.credit + 1.0).min(MOST_CREDIT);
    }

    /// Returns what has happened, seen by the driver.
    ///
    /// `reachable` tells whether the store answers: without it a switch could not be ended.
    /// `carried` tells whether the target version's upstreams could carry the traffic alone.
    #[must_use]
    pub fn look(&self, now: Moment, reachable: bool, carried: bool) -> Option<Event> {
        match self.state {
            State::Trying => self.look_trying(now, reachable, carried),
            State::Held | State::Switching if self.is_bad() => Some(Event::Bad),
            State::Held => (reachable && carried && self.is_clear()).then_some(Event::Enough),
            State::Switching => (now.since(self.since) >= SETTLE).then_some(Event::Settled),
            State::Finished | State::Failed => {
                let due = self.wrote_at.is_none_or(|at| now.since(at) >= WRITE_AGAIN);
                (due && !self.written).then_some(Event::Again)
            }
        }
    }

    fn look_trying(&self, now: Moment, reachable: bool, carried: bool) -> Option<Event> {
        if self.is_bad() {
            return Some(Event::Bad);
        }
        let part = now.since(self.start).0 as f64 / self.duration.0.max(1) as f64;
        let telling = self.judge.informative();
        let enough = (part >= TRY_PART && telling >= ENOUGH)
            || (part >= HURRY_PART && telling >= ENOUGH_LATE);
        match () {
            () if enough && self.is_clear() && carried => reachable.then_some(Event::Enough),
            () if enough && self.is_clear() => (part >= 1.0).then_some(Event::Short),
            () if part >= LAST_PART => Some(Event::Overdue),
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
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Trying | State::Held | State::Switching)
    }

    /// Tells whether the switch has ended while the store did not accept that, so that the other
    /// versions are still there.
    #[must_use]
    pub fn is_stuck(&self, now: Moment) -> bool {
        self.state == State::Finished && !self.written && now.since(self.since) >= STUCK
    }

    /// Moves to a state that another node or the store has told, if it is further.
    pub fn advance(&mut self, now: Moment, state: State) -> bool {
        let further = state > self.state && self.state != State::Finished;
        if further {
            self.state = state;
            self.since = now;
        }
        further
    }
}
