//! The members of a deployment and which of them owns what.
//!
//! The roster is one object in the store. Its number grows with each change. The owner of an
//! upstream follows from the roster alone; a [`Lease`] tells whether this member may act as the
//! owner at a moment, so that no two members may at once even while their views differ.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::hash::{digest, mix};
use base::prelude::*;

/// Time for which a confirmed roster entitles its members to act as owners.
pub const LEASE_DURATION: Span = Span::seconds(5);
/// The newest schema of the roster's document that this build reads.
pub const SCHEMA: u32 = 1;

record! {
    /// A member.
    pub struct Member {
        /// Identity of the instance; a replacement has another.
        pub ident: u64,
        /// Name of the instance.
        pub name: String,
        /// Name of its failure domain.
        pub domain: String,
        /// Where peers reach it.
        pub peer: SocketAddr,
        /// Where callers reach it.
        pub caller: SocketAddr,
    }

    /// The members under one number.
    #[derive(Default)]
    pub struct Roster {
        /// Version of the document's shape.
        pub schema: u32,
        /// Count of changes.
        pub number: u64,
        /// Identities of the members under the number before.
        pub previous: Vec<u64>,
        /// Members by identity.
        pub members: BTreeMap<u64, Member>,
    }
}

impl Roster {
    /// Returns the member that owns the thing with the given identity.
    #[must_use]
    pub fn owner(&self, ident: u64) -> Option<u64> {
        let members = self.members.keys();
        members.copied().max_by_key(|member| (mix(*member ^ mix(ident)), *member))
    }

    /// Returns the members in the order in which they would own the thing.
    pub fn ranked(&self, ident: u64) -> impl Iterator<Item = u64> {
        rank(self.members.keys().copied(), ident)
    }

    /// Returns the roster without some members and with others, one number higher.
    #[must_use]
    pub fn with_changes(&self, removed: &[u64], joiners: &[Member]) -> Self {
        let mut next = self.clone();
        next.number += 1;
        next.schema = SCHEMA;
        next.previous = self.members.keys().copied().collect();
        next.members.retain(|ident, _| !removed.contains(ident));
        next.members.extend(joiners.iter().map(|member| (member.ident, member.clone())));
        next
    }
}

/// Returns the identity of an instance from its name and the time of its start.
#[must_use]
pub fn ident(name: &str, started_ms: u64) -> u64 {
    digest(&[b"instance", name.as_bytes(), &started_ms.to_le_bytes()])
}

/// The right of one member to act as the owner of things.
#[derive(Clone, Debug)]
pub struct Lease {
    own_ident: u64,
    roster: Option<Roster>,
    adopted_at: Moment,
    confirmed_at: Moment,
    /// Whether this member held all that it owned when it adopted the roster, straight from the
    /// one before.
    owned_all_before: bool,
    handed_over: BTreeSet<u64>,
    peer_confirmations: BTreeMap<u64, Moment>,
    handover: Handover,
}

/// What a member that adopts a roster has to tell others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Members that have to know that this one acts for nothing of theirs any more.
    pub recipients: Vec<u64>,
}

impl Lease {
    /// Makes the tenure of a member that knows no roster yet.
    #[must_use]
    pub fn new(own_ident: u64) -> Self {
        Self {
            own_ident,
            roster: None,
            adopted_at: Moment::default(),
            confirmed_at: Moment::default(),
            owned_all_before: false,
            handed_over: BTreeSet::new(),
            peer_confirmations: BTreeMap::new(),
            handover: Handover::default(),
        }
    }

    /// Returns this member's identity.
    #[must_use]
    pub fn own_ident(&self) -> u64 {
        self.own_ident
    }

    /// Returns the newest roster known.
    #[must_use]
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// Returns the number of the newest roster known, or zero.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.roster().map_or(0, |roster| roster.number)
    }

    /// Returns when the newest roster was last known to be current.
    #[must_use]
    pub fn confirmed_at(&self) -> Moment {
        self.confirmed_at
    }

    /// Adopts a roster that was current at some time after `asked_at`, if it is newer.
    ///
    /// `linger` is how long the effects of an owner may last once its right has ended. Returns
    /// whether the roster was newer.
    pub fn adopt(&mut self, now: Moment, asked_at: Moment, roster: &Roster, grace: Span) -> bool {
        if roster.number <= self.number() {
            self.confirm_number(asked_at, roster.number);
            return false;
        }
        let consecutive = self.number() + 1 == roster.number;
        let covered_all = consecutive && self.covers_all(now, grace) && now < self.expires_at();
        let recipients = if covered_all { self.successors(roster) } else { Vec::new() };
        let joins = !roster.previous.contains(&self.own_ident);
        self.owned_all_before = covered_all || joins;
        self.roster = Some(roster.clone());
        self.adopted_at = now;
        self.confirmed_at = self.confirmed_at.max(asked_at);
        self.handed_over.clear();
        self.peer_confirmations.clear();
        self.handover = Handover { recipients };
        true
    }

    /// Returns whom this member has to tell that it acts no more for what they own now.
    #[must_use]
    pub fn handover(&self) -> &Handover {
        &self.handover
    }

    /// Returns the members that may own under `next` what this one owns now.
    fn successors(&self, next: &Roster) -> Vec<u64> {
        let stays = next.members.contains_key(&self.own_ident);
        let gains = |ident: &u64| !stays || !next.previous.contains(ident);
        next.members
            .keys()
            .copied()
            .filter(|ident| *ident != self.own_ident)
            .filter(gains)
            .collect()
    }

    /// Takes in a confirmation of the number alone; another number than the known one is ignored.
    pub fn confirm_number(&mut self, asked_at: Moment, number: u64) {
        if number == self.number() && number > 0 {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }

    /// Takes in that a member knew no newer roster at some time after `asked_at`.
    pub fn record_confirmation(&mut self, member: u64, asked_at: Moment, number: u64) {
        if number == self.number() {
            let last = self.peer_confirmations.entry(member).or_default();
            *last = asked_at.max(*last);
        }
    }

    /// Returns when every other member was last known to know no newer roster.
    ///
    /// While all of them agree, none of them has written a newer one, and a member that learns
    /// one later waits before it acts by it. So their word together stands for the store's.
    #[must_use]
    pub fn peers_confirmed_at(&self) -> Moment {
        let Some(roster) = self.roster() else { return Moment::default() };
        let others = roster.members.keys().filter(|ident| **ident != self.own_ident);
        let last =
            others.map(|ident| self.peer_confirmations.get(ident).copied().unwrap_or_default());
        // A member alone in its roster has nobody whose word could stand for the store's.
        last.min().unwrap_or_default()
    }

    /// Takes in that a member of the roster before acts no more for what it owned under that one.
    pub fn record_handover(&mut self, number: u64, member: u64) -> bool {
        let is_current = number == self.number();
        if is_current {
            self.handed_over.insert(member);
        }
        is_current
    }

    /// Tells whether the newest roster names this member as the owner.
    #[must_use]
    pub fn is_owner(&self, ident: u64) -> bool {
        self.roster().and_then(|roster| roster.owner(ident)) == Some(self.own_ident)
    }

    /// Tells whether this member may act as the owner now.
    ///
    /// `linger` is how long the effects of an owner may last once its right has ended.
    #[must_use]
    pub fn covers(&self, now: Moment, ident: u64, grace: Span) -> bool {
        if now >= self.expires_at() || !self.is_owner(ident) {
            return false;
        }
        let Some(roster) = self.roster() else { return false };
        if roster.number == 1 || self.prior_leases_expired(now, grace) {
            return true;
        }
        match rank(roster.previous.iter().copied(), ident).next() {
            Some(before) if before == self.own_ident => self.owned_all_before,
            Some(before) => self.handed_over.contains(&before),
            None => false,
        }
    }

    /// Returns when this member's right ends unless the roster is confirmed again.
    fn expires_at(&self) -> Moment {
        if self.roster.is_none() {
            return Moment::default();
        }
        self.confirmed_at.max(self.peers_confirmed_at()) + LEASE_DURATION
    }

    /// Tells whether every right under rosters before has ended by itself.
    fn prior_leases_expired(&self, now: Moment, grace: Span) -> bool {
        // Twice the term, so that a chain of two hand-overs cannot overlap either.
        now >= self.adopted_at + LEASE_DURATION + LEASE_DURATION + grace
    }

    /// Tells whether this member holds all that it owns.
    fn covers_all(&self, now: Moment, grace: Span) -> bool {
        let Some(roster) = self.roster() else { return false };
        if roster.number == 1 || self.prior_leases_expired(now, grace) {
            return true;
        }
        let joined = !roster.previous.contains(&self.own_ident);
        let mut predecessors = roster.previous.iter().filter(|ident| {
            **ident != self.own_ident && (joined || !roster.members.contains_key(ident))
        });
        self.owned_all_before && predecessors.all(|ident| self.handed_over.contains(ident))
    }
}

/// Returns members in the order in which they would own the thing.
pub(crate) fn rank(members: impl Iterator<Item = u64>, ident: u64) -> impl Iterator<Item = u64> {
    let mut order: Vec<(u64, u64)> =
        members.map(|member| (mix(member ^ mix(ident)), member)).collect();
    order.sort_unstable_by(|left, right| right.cmp(left));
    order.into_iter().map(|(_, member)| member)
}
