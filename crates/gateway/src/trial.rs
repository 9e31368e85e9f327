//! Trial of a service's target version, the gradual part of a rollout.
//!
//! A rollout in the store starts a trial on every node. While it runs, the target version gets a
//! small share of the service's requests. The leader of one domain drives it through
//! `charts/trial.jsonc`: it judges the evidence of all nodes and writes the verdict to the store.

use base::hash::digest;
use base::prelude::*;
use policy::rollout::{Finding, Judge};

use crate::demand::Demand;

/// Part of the permitted share that is used continuously, spread over time and upstreams.
const SPREAD_PART: f64 = 0.25;
/// Part of the permitted share that is sent in short bursts to few upstreams, as some versions are
/// bad only under load.
const BURST_PART: f64 = 0.35;
/// Length of a burst.
const BURST_TIME: Span = Span::millis(300);
/// Time from the start of one burst to the start of the next.
const BURST_INTERVAL: Span = Span::millis(2_500);
/// Part of a trial's duration before which it cannot succeed.
const MIN_TIME_PART: f64 = 0.78;
/// Part of a trial's duration after which fewer responses are required.
const LATE_TIME_PART: f64 = 0.86;
/// Part of a trial's duration after which it fails without enough evidence.
const MAX_TIME_PART: f64 = 0.94;
/// Informative responses required between [`MIN_TIME_PART`] and [`LATE_TIME_PART`].
const MIN_RESPONSES: u32 = 60;
/// Informative responses required after [`LATE_TIME_PART`].
const MIN_RESPONSES_LATE: u32 = 15;
/// Maximum deficit of the target version in requests, so that a backlog is not sent at once.
const MAX_DEFICIT: f64 = 1.5;
/// Time between the switch and the end of the trial, in which the other nodes follow and failures
/// under load show.
pub const SETTLE_TIME: Span = Span::millis(800);
/// Time after which the other versions serve again while the store has not accepted the verdict.
const STUCK_TIME: Span = Span::millis(1_000);
/// Time between two attempts to write the verdict to the store.
pub const WRITE_RETRY_TIME: Span = Span::millis(700);

symbols! {
    /// State of a trial.
    pub enum State {
        /// The target version gets a small share of the requests.
        Trying = "trying",
        /// The target version is good, but has too few upstreams to serve alone: all versions
        /// serve.
        Held = "held",
        /// All requests go to the target version.
        Switching = "switching",
        /// The target version stays.
        Finished = "finished",
        /// The target version gets no more requests.
        Failed = "failed",
    }
}

symbols! {
    /// Events of a trial.
    pub enum Event {
        /// The evidence is sufficient and good, and the upstreams suffice to serve alone.
        Approved = "approved",
        /// The evidence is sufficient and good, but the upstreams are too few.
        Undersized = "undersized",
        /// The nodes have had time to follow the switch.
        Settled = "settled",
        /// The evidence shows that the version is bad.
        Bad = "bad",
        /// The time is over without sufficient evidence.
        Overdue = "overdue",
        /// The store has not accepted the verdict yet, and another attempt is due.
        WriteDue = "write-due",
    }
}

symbols! {
    /// Actions of the driver of a trial.
    pub enum Action {
        /// Sends the new state to the other nodes at once.
        Announce = "announce",
        /// Writes the verdict to the store.
        Write = "write",
    }
}

value! {
    /// Upstreams that a request may go to while its service has a trial.
    pub enum Assignment {
        /// Upstreams of the versions that serve without the trial.
        Established,
        /// Any upstream of the target version.
        Spread,
        /// The first upstream of the target version with a free slot, in the order of the burst
        /// with the given number.
        Burst(u64),
    }
}

record! {
    /// State of a trial at one node, as sent to other nodes.
    #[derive(Copy)]
    pub struct Progress {
        /// Identity of the trial.
        pub trial: u64,
        /// Time since the rollout became known to the first node.
        pub age: Span,
        /// State of the trial.
        pub state: State,
    }
}

/// A trial as one node sees it.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Identity that is equal on every node.
    pub ident: u64,
    /// Service that is rolled out.
    pub service: key::Service,
    /// Version that is rolled out.
    pub target: key::Version,
    /// Name of the service, for the store.
    pub service_name: String,
    /// Name of the version, for the store.
    pub target_name: String,
    /// Time when the rollout became known to the first node.
    pub started_at: Moment,
    /// Time from the start to the deadline of the rollout.
    pub duration: Span,
    /// State of the trial.
    pub state: State,
    /// Time when the state was entered.
    pub state_since: Moment,
    /// Requests by which the target version is behind its share at this node.
    pub deficit: f64,
    /// Evidence of all nodes, at the driver.
    pub judge: Judge,
    /// Slots that the service's requests occupy, at the driver.
    pub demand: Demand,
    /// Whether the store has accepted the verdict.
    pub accepted: bool,
    /// Time of the last attempt to write the verdict to the store.
    pub last_write_at: Option<Moment>,
}

/// Returns the identity of a trial.
#[must_use]
pub fn ident(service: &str, target: &str) -> u64 {
    digest(&[b"trial", service.as_bytes(), target.as_bytes()])
}

impl Trial {
    /// Assigns the next request; `permitted` is the share that a bad version may get.
    pub fn assign(&mut self, now: Moment, permitted: f64) -> Assignment {
        let age = now.since(self.started_at).0;
        let (burst, elapsed) = (age / BURST_INTERVAL.0, age % BURST_INTERVAL.0);
        let bursting = elapsed < BURST_TIME.0;
        let share = match self.state {
            State::Trying if bursting => {
                permitted
                    * (SPREAD_PART + BURST_PART * BURST_INTERVAL.0 as f64 / BURST_TIME.0 as f64)
            }
            // In the held state, the other requests may go to any version. The share ensures new
            // evidence even if the costs of upstreams keep them away from the target version.
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

    /// Undoes an assignment to the target version, as none of its upstreams has room.
    pub fn unassign(&mut self) {
        self.deficit = (self.deficit + 1.0).min(MAX_DEFICIT);
    }

    /// Returns the event that is due, at the driver.
    ///
    /// `store_reachable` tells whether the store responds: without it, a switch could not be ended.
    /// `has_capacity` tells whether the target version's upstreams could serve all requests alone.
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
        let elapsed = now.since(self.started_at).0 as f64 / self.duration.0.max(1) as f64;
        let informative = self.judge.informative();
        let enough_evidence = (elapsed >= MIN_TIME_PART && informative >= MIN_RESPONSES)
            || (elapsed >= LATE_TIME_PART && informative >= MIN_RESPONSES_LATE);
        match () {
            () if enough_evidence && self.is_clear() && has_capacity => {
                store_reachable.then_some(Event::Approved)
            }
            () if enough_evidence && self.is_clear() => {
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

    /// Returns whether responses of upstreams still count as evidence.
    #[must_use]
    pub fn needs_evidence(&self) -> bool {
        matches!(self.state, State::Trying | State::Held | State::Switching)
    }

    /// Returns whether the store has not accepted a successful verdict for so long that the other
    /// versions, whose upstreams are still there, serve again.
    #[must_use]
    pub fn is_stuck(&self, now: Moment) -> bool {
        self.state == State::Finished && !self.accepted && now.since(self.state_since) >= STUCK_TIME
    }

    /// Adopts a state that another node reports if it is later than the own; returns whether it is.
    pub fn advance(&mut self, now: Moment, state: State) -> bool {
        let later = state > self.state && self.state != State::Finished;
        if later {
            self.state = state;
            self.state_since = now;
        }
        later
    }
}
