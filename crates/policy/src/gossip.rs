//! Gossip of updates and heartbeats. The total number of messages grows linearly with the number of
//! members, not with its square.
//!
//! The engine starts the rounds and sends the probes; this module picks their targets, counts how
//! often each update was sent and detects members that have failed.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::Charts;
use crate::member::{Event, Member, State};
use crate::message::Update;

/// Time between gossip rounds.
pub const ROUND_INTERVAL: Span = Span::millis(200);
/// Number of members probed in one round.
pub const FANOUT: usize = 2;
/// Time without a higher heartbeat count after which a member is suspected.
pub const SUSPECT_AFTER: Span = Span::millis(2_500);
/// Time without a higher heartbeat count after which a member is considered dead.
pub const DEAD_AFTER: Span = Span::seconds(6);
/// Maximum number of updates in one digest.
const MAX_UPDATES: usize = 32;
/// Number of transmissions of an update, per binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

/// What one member knows about the others, and the updates that it disseminates.
#[derive(Clone, Debug)]
pub struct Gossip {
    own_ident: u64,
    heartbeat: u32,
    members: BTreeMap<u64, Member>,
    updates: Vec<Pending>,
    probe_order: Vec<u64>,
    next_round_at: Moment,
}

/// An update that is being disseminated.
#[derive(Clone, Copy, Debug)]
struct Pending {
    update: Update,
    /// Number of transmissions left.
    remaining: u32,
}

impl Gossip {
    /// Creates the state of the member `own_ident`, which knows no other member.
    #[must_use]
    pub fn new(own_ident: u64) -> Self {
        Self {
            own_ident,
            heartbeat: 0,
            members: BTreeMap::new(),
            updates: Vec::new(),
            probe_order: Vec::new(),
            next_round_at: Moment::default(),
        }
    }

    /// Returns what is known about the other members.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<u64, Member> {
        &self.members
    }

    /// Returns what is known about one other member, for changes.
    pub fn member_mut(&mut self, ident: u64) -> Option<&mut Member> {
        self.members.get_mut(&ident)
    }

    /// Replaces the known members by those that the roster names.
    pub fn set_members(&mut self, now: Moment, idents: impl Iterator<Item = u64>) {
        let mut old = std::mem::take(&mut self.members);
        for ident in idents.filter(|ident| *ident != self.own_ident) {
            let member = old.remove(&ident).unwrap_or_else(|| Member::unheard(now));
            self.members.insert(ident, member);
        }
    }

    /// Queues an update for dissemination and drops those that it supersedes.
    pub fn enqueue(&mut self, update: Update) {
        self.updates.retain(|pending| !supersedes(&update, &pending.update));
        let others = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let remaining = RETRANSMIT_FACTOR * (others + 1).ilog2().max(1);
        self.updates.push(Pending { update, remaining });
    }

    /// Returns the updates for one digest and counts them as sent once more.
    pub fn take_updates(&mut self) -> Vec<Update> {
        // Those that were sent least often come first, so that new updates overtake old ones.
        self.updates.sort_by_key(|pending| std::cmp::Reverse(pending.remaining));
        let sent = self.updates.iter_mut().take(MAX_UPDATES).map(|pending| {
            pending.remaining -= 1;
            pending.update
        });
        let sent: Vec<Update> = sent.collect();
        self.updates.retain(|pending| pending.remaining > 0);
        sent
    }

    /// Returns the highest heartbeat counts, including this member's own, in the order of `idents`.
    #[must_use]
    pub fn heartbeats(&self, idents: impl Iterator<Item = u64>) -> Vec<u32> {
        let heartbeat = |ident| match self.members.get(&ident) {
            Some(member) => member.beat,
            None if ident == self.own_ident => self.heartbeat,
            None => 0,
        };
        idents.map(heartbeat).collect()
    }

    /// Applies heartbeat counts that another member has received, in the order of `idents`.
    pub fn receive_heartbeats(
        &mut self,
        now: Moment,
        charts: &Charts,
        idents: impl Iterator<Item = u64>,
        heartbeats: &[u32],
    ) {
        for (ident, heartbeat) in idents.zip(heartbeats) {
            let Some(member) = self.members.get_mut(&ident) else { continue };
            if *heartbeat > member.beat {
                member.beat = *heartbeat;
                member.heard_at = now;
                member.state = charts.member.step(member.state, Event::Heartbeat).next;
            }
        }
    }

    /// Starts a round if it is due and returns the members to probe in it.
    ///
    /// Targets follow a shuffled order that contains each member once before it is shuffled again,
    /// so that the time between two probes of the same member is bounded.
    pub fn start_round(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<u64> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + ROUND_INTERVAL;
        self.heartbeat += 1;
        let mut targets = Vec::new();
        while targets.len() < FANOUT.min(self.members.len()) {
            if self.probe_order.is_empty() {
                self.probe_order = self.members.keys().copied().collect();
                self.probe_order.shuffle(rng);
            }
            let next = self.probe_order.pop();
            let fits = |ident: &u64| self.members.contains_key(ident) && !targets.contains(ident);
            targets.extend(next.filter(fits));
        }
        targets
    }

    /// Applies the time-outs to members whose heartbeat counts have stalled.
    ///
    /// Returns whether a member has newly been declared dead.
    pub fn check_timeouts(&mut self, now: Moment, charts: &Charts) -> bool {
        let mut any_dead = false;
        for member in self.members.values_mut() {
            let silence = now.since(member.heard_at);
            let events =
                [(silence >= SUSPECT_AFTER, Event::Silent), (silence >= DEAD_AFTER, Event::Lost)];
            for (_, event) in events.into_iter().filter(|(due, _)| *due) {
                let step = charts.member.step(member.state, event);
                member.state = step.next;
                any_dead |= !step.actions.is_empty();
            }
        }
        any_dead
    }

    /// Returns the members to remove from the roster: those that are dead or leaving.
    #[must_use]
    pub fn removable(&self) -> Vec<u64> {
        let removable = self
            .members
            .iter()
            .filter(|(_, member)| matches!(member.state, State::Dead | State::Leaving));
        removable.map(|(ident, _)| *ident).collect()
    }
}

/// Returns whether a new update makes an old one redundant.
fn supersedes(new: &Update, old: &Update) -> bool {
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
