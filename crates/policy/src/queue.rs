//! Queue of calls that wait for an upstream, fair between workspaces by deficit round robin.
//!
//! The engine has one queue for each service.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

/// Calls that a lane may send in one turn for each unit of its weight.
const QUANTUM: u32 = 1;

/// A bounded queue with a lane for each workspace.
#[derive(Clone, Debug)]
pub struct Queue {
    lanes: BTreeMap<Option<key::Workspace>, Lane>,
    /// The lane whose turn it is, `None` before the first turn.
    turn: Option<Option<key::Workspace>>,
    len: usize,
    capacity: usize,
}

/// Queued calls of one workspace.
#[derive(Clone, Debug, Default)]
struct Lane {
    calls: VecDeque<Ticket>,
    weight: u32,
    /// Number of calls that may still be sent in the current turn.
    credit: u32,
}

value! {
    /// A queued call.
    pub struct Ticket {
        /// The call that waits.
        pub call: key::Call,
        /// Deadline of the caller.
        pub deadline: Moment,
    }
}

/// Result of adding a call to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// The call was queued.
    Queued,
    /// The call was queued and displaced this call, of a workspace with more than its share.
    Displaced(key::Call),
    /// The call was not queued, as its own workspace has the most queued calls for its weight.
    Full,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` calls.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { lanes: BTreeMap::new(), turn: None, len: 0, capacity }
    }

    /// Returns the number of queued calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no call is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a call. If the queue is full, the newest call of the lane with the most calls for its
    /// weight is dropped.
    pub fn push(&mut self, workspace: Option<key::Workspace>, weight: u32, ticket: Ticket) -> Push {
        let lane = self.lanes.entry(workspace).or_default();
        lane.weight = weight.max(1);
        lane.calls.push_back(ticket);
        self.len += 1;
        if self.len <= self.capacity {
            return Push::Queued;
        }
        let longest = self.lanes.iter().max_by(|(_, left), (_, right)| {
            let weighted = left.calls.len() as u64 * u64::from(right.weight);
            weighted.cmp(&(right.calls.len() as u64 * u64::from(left.weight)))
        });
        let Some((&longest, _)) = longest else { return Push::Queued };
        let dropped = self.lanes.get_mut(&longest).and_then(|lane| lane.calls.pop_back());
        self.len -= 1;
        match dropped {
            Some(dropped) if dropped.call != ticket.call => Push::Displaced(dropped.call),
            _ => Push::Full,
        }
    }

    /// Removes and returns the next call by weighted turns.
    pub fn pop(&mut self) -> Option<Ticket> {
        while self.len > 0 {
            let workspace = self.current()?;
            let lane = self.lanes.get_mut(&workspace)?;
            if lane.credit > 0
                && let Some(ticket) = lane.calls.pop_front()
            {
                lane.credit -= 1;
                self.len -= 1;
                return Some(ticket);
            }
            self.advance(workspace);
        }
        None
    }

    /// Puts a call back at the head of its lane.
    pub fn push_front(&mut self, workspace: Option<key::Workspace>, ticket: Ticket) {
        let lane = self.lanes.entry(workspace).or_default();
        lane.calls.push_front(ticket);
        lane.credit += 1;
        self.len += 1;
    }

    /// Removes a call at any position of its lane.
    pub fn remove(&mut self, workspace: Option<key::Workspace>, call: key::Call) {
        if let Some(lane) = self.lanes.get_mut(&workspace) {
            let before = lane.calls.len();
            lane.calls.retain(|ticket| ticket.call != call);
            self.len -= before - lane.calls.len();
        }
    }

    /// Removes and returns every call whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<key::Call> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.calls.retain(|ticket| {
                let pending = ticket.deadline > now;
                if !pending {
                    expired.push(ticket.call);
                }
                pending
            });
        }
        self.len -= expired.len();
        self.lanes.retain(|_, lane| !lane.calls.is_empty());
        expired
    }

    /// Returns the lane whose turn it is.
    fn current(&mut self) -> Option<Option<key::Workspace>> {
        match self.turn {
            Some(turn) if self.lanes.contains_key(&turn) => Some(turn),
            _ => {
                let first = self.lanes.keys().next().copied()?;
                self.start_turn(first);
                Some(first)
            }
        }
    }

    /// Gives the turn to the lane after `workspace`, whose own lane is removed if it is empty.
    fn advance(&mut self, workspace: Option<key::Workspace>) {
        if self.lanes.get(&workspace).is_some_and(|lane| lane.calls.is_empty()) {
            self.lanes.remove(&workspace);
        }
        let after = (std::ops::Bound::Excluded(workspace), std::ops::Bound::Unbounded);
        let next = self.lanes.range(after).next().or_else(|| self.lanes.iter().next());
        if let Some((&next, _)) = next {
            self.start_turn(next);
        }
    }

    fn start_turn(&mut self, workspace: Option<key::Workspace>) {
        if let Some(lane) = self.lanes.get_mut(&workspace) {
            lane.credit = lane.weight.max(1) * QUANTUM;
            self.turn = Some(workspace);
        }
    }
}
