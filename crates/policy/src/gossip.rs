//! Spreading news and beats, with a cost for each member that does not grow with the square of
//! their number.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::Charts;
use crate::member::{Event, Member, State};
use crate::message::Update;

/// Time between rounds of probes.
pub const ROUND_INTERVAL: Span = Span::millis(200);
/// Members probed in one round.
pub const FANOUT: usize = 2;
/// Time without a higher beat after which a member is suspected.
pub const SUSPECT_AFTER: Span = Span::millis(2_500);
/// Time without a higher beat after which a member is taken for dead.
pub const DEAD_AFTER: Span = Span::seconds(6);
/// Update in one digest at the most.
const MAX_UPDATES: usize = 32;
/// Times that each piece of news is sent for each doubling of the members.
const REPEATS: u32 = 3;

/// What one member knows of the others, and the news that it passes on.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: u64,
    beat: u32,
    members: BTreeMap<u64, Member>,
    news: Vec<Item>,
    order: Vec<u64>,
    round_at: Moment,
}

/// A piece of news that is being passed on.
#[derive(Clone, Copy, Debug)]
struct Item {
    news: Update,
    left: u32,
}

impl Gossip {
    /// Makes the state of the member `me`, which knows no other.
    #[must_use]
    pub fn new(me: u64) -> Self {
        Self {
            me,
            beat: 0,
            members: BTreeMap::new(),
            news: Vec::new(),
            order: Vec::new(),
            round_at: Moment::default(),
        }
    }

    /// Returns what is known of the other members.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<u64, Member> {
        &self.members
    }

    /// Returns what is known of one other member, for changes.
    pub fn member_mut(&mut self, ident: u64) -> Option<&mut Member> {
        self.members.get_mut(&ident)
    }

    /// Makes the known members those that the roster names.
    pub fn set_members(&mut self, now: Moment, named: impl Iterator<Item = u64>) {
        let mut old = std::mem::take(&mut self.members);
        for ident in named.filter(|ident| *ident != self.me) {
            let member = old.remove(&ident).unwrap_or_else(|| Member::unheard(now));
            self.members.insert(ident, member);
        }
    }

    /// Adds news to pass on; news of the same thing that it replaces is dropped.
    pub fn enqueue(&mut self, news: Update) {
        self.news.retain(|item| !replaces(&news, &item.news));
        let others = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let left = REPEATS * (others + 1).ilog2().max(1);
        self.news.push(Item { news, left });
    }

    /// Returns the news for one digest and counts it as sent.
    pub fn take_updates(&mut self) -> Vec<Update> {
        // The least sent first, so that new items overtake old ones.
        self.news.sort_by_key(|item| std::cmp::Reverse(item.left));
        let taken = self.news.iter_mut().take(MAX_UPDATES).map(|item| {
            item.left -= 1;
            item.news
        });
        let taken: Vec<Update> = taken.collect();
        self.news.retain(|item| item.left > 0);
        taken
    }

    /// Returns the highest beats heard of, with this member's own, in the order of `named`.
    #[must_use]
    pub fn heartbeats(&self, named: impl Iterator<Item = u64>) -> Vec<u32> {
        let beat = |ident| match self.members.get(&ident) {
            Some(member) => member.beat,
            None if ident == self.me => self.beat,
            None => 0,
        };
        named.map(beat).collect()
    }

    /// Takes in beats that another member has heard of, in the order of `named`.
    pub fn receive_heartbeats(
        &mut self,
        now: Moment,
        charts: &Charts,
        named: impl Iterator<Item = u64>,
        beats: &[u32],
    ) {
        for (ident, beat) in named.zip(beats) {
            let Some(member) = self.members.get_mut(&ident) else { continue };
            if *beat > member.beat {
                member.beat = *beat;
                member.heard_at = now;
                member.state = charts.member.step(member.state, Event::Heartbeat).next;
            }
        }
    }

    /// Starts a round if it is time and returns the members to probe in it.
    ///
    /// Targets come in a shuffled order that names each member once before it is shuffled again,
    /// so that the time between two probes of the same member is bounded.
    pub fn start_round(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<u64> {
        if now < self.round_at {
            return Vec::new();
        }
        self.round_at = now + ROUND_INTERVAL;
        self.beat += 1;
        let mut targets = Vec::new();
        while targets.len() < FANOUT.min(self.members.len()) {
            if self.order.is_empty() {
                self.order = self.members.keys().copied().collect();
                self.order.shuffle(rng);
            }
            let next = self.order.pop();
            let fits = |ident: &u64| self.members.contains_key(ident) && !targets.contains(ident);
            targets.extend(next.filter(fits));
        }
        targets
    }

    /// Lets members whose beats stand still go on in their life.
    ///
    /// Returns whether some member became dead by it.
    pub fn check_timeouts(&mut self, now: Moment, charts: &Charts) -> bool {
        let mut proposed = false;
        for member in self.members.values_mut() {
            let silence = now.since(member.heard_at);
            let events =
                [(silence >= SUSPECT_AFTER, Event::Silent), (silence >= DEAD_AFTER, Event::Lost)];
            for (_, event) in events.into_iter().filter(|(due, _)| *due) {
                let step = charts.member.step(member.state, event);
                member.state = step.next;
                proposed |= !step.actions.is_empty();
            }
        }
        proposed
    }

    /// Returns the members that are to leave the roster: the dead and those that leave.
    #[must_use]
    pub fn removable(&self) -> Vec<u64> {
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| matches!(member.state, State::Dead | State::Leaving));
        gone.map(|(ident, _)| *ident).collect()
    }
}

/// Tells whether one piece of news says all that another one says.
fn replaces(new: &Update, old: &Update) -> bool {
    match (new, old) {
        (
            Update::ColdStart { upstream, epoch },
            Update::ColdStart { upstream: other, epoch: before },
        )
        | (Update::Drain { upstream, epoch }, Update::Drain { upstream: other, epoch: before }) => {
            upstream == other && epoch >= before
        }
        (Update::Share { plan, share }, Update::Share { plan: other, share: before }) => {
            plan == other && share >= before
        }
        (
            Update::Cleared { digest, generation },
            Update::Crashed { digest: other, generation: before, .. }
            | Update::Cleared { digest: other, generation: before },
        ) => digest == other && generation >= before,
        _ => false,
    }
}
