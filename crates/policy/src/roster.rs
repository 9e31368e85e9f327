//! The members of a deployment and their ownership of upstreams, moves and idempotency keys.
//!
//! The roster is one object in the store, and its number grows with each change. Rendezvous hashing
//! of the roster alone determines the owner of an upstream. A [`Lease`] decides whether this member
//! may act as the owner at a given time, so that no two members may do so at once even while their
//! views differ. The engine checks it before it acts as an owner.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::hash::{digest, mix};
use base::prelude::*;

/// Time for which a confirmation of the roster entitles its members to act as owners.
pub const LEASE_DURATION: Span = Span::seconds(5);
/// The newest schema of the roster document that this build reads.
pub const SCHEMA: u32 = 1;

record! {
    /// One member of the deployment.
    pub struct Member {
        /// Identity of the instance; a replacement gets another one.
        pub ident: u64,
        /// Name of the instance.
        pub name: String,
        /// Name of its failure domain.
        pub domain: String,
        /// Address for peers.
        pub peer: SocketAddr,
        /// Address for callers.
        pub caller: SocketAddr,
    }

    /// The members of the deployment under one number.
    #[derive(Default)]
    pub struct Roster {
        /// Schema version of the document.
        pub schema: u32,
        /// Number of changes so far.
        pub number: u64,
        /// Identities of the members under the previous number.
        pub previous: Vec<u64>,
        /// Members by identity.
        pub members: BTreeMap<u64, Member>,
    }
}

impl Roster {
    /// Returns the member that owns the object with the given identity.
    #[must_use]
    pub fn owner(&self, ident: u64) -> Option<u64> {
        let members = self.members.keys();
        members.copied().max_by_key(|member| (mix(*member ^ mix(ident)), *member))
    }

    /// Returns the members in the order of preference for owning the object.
    pub fn ranked(&self, ident: u64) -> impl Iterator<Item = u64> {
        rank(self.members.keys().copied(), ident)
    }

    /// Returns the next roster, without the removed members and with the joiners.
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

/// Returns the identity of an instance, derived from its name and start time.
#[must_use]
pub fn ident(name: &str, started_ms: u64) -> u64 {
    digest(&[b"instance", name.as_bytes(), &started_ms.to_le_bytes()])
}

/// The right of one member to act as the owner of objects.
#[derive(Clone, Debug)]
pub struct Lease {
    own_ident: u64,
    roster: Option<Roster>,
    adopted_at: Moment,
    confirmed_at: Moment,
    /// Whether this member was the sole owner of everything that the previous roster assigned to it
    /// when it adopted this one, or is new in this one.
    owned_all_before: bool,
    /// Members of the previous roster that have handed over to this one.
    handed_over: BTreeSet<u64>,
    /// Latest time at which each other member is known to have known no newer roster.
    peer_confirmations: BTreeMap<u64, Moment>,
    handover: Handover,
}

/// The notifications that a member owes to others after adopting a roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Members to notify that this one no longer acts for anything that they own now.
    pub recipients: Vec<u64>,
}

impl Lease {
    /// Creates the lease of a member that knows no roster yet.
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

    /// Returns the number of the newest roster known, or zero if there is none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.roster().map_or(0, |roster| roster.number)
    }

    /// Returns when the newest roster was last confirmed to be current.
    #[must_use]
    pub fn confirmed_at(&self) -> Moment {
        self.confirmed_at
    }

    /// Adopts a roster that was current at some time after `asked_at`, if it is newer than the
    /// known one. Returns whether it was newer.
    ///
    /// `grace` is how long an owner's grants may have effect after its lease has expired.
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

    /// Returns the members to notify after the latest change of the roster.
    #[must_use]
    pub fn handover(&self) -> &Handover {
        &self.handover
    }

    /// Returns the members that may own under `next` what this member owns now.
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

    /// Records that the roster with this number was current at some time after `asked_at`. Numbers
    /// other than the known one are ignored.
    pub fn confirm_number(&mut self, asked_at: Moment, number: u64) {
        if number == self.number() && number > 0 {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }

    /// Records that another member knew no newer roster at some time after `asked_at`.
    pub fn record_confirmation(&mut self, member: u64, asked_at: Moment, number: u64) {
        if number == self.number() {
            let last = self.peer_confirmations.entry(member).or_default();
            *last = asked_at.max(*last);
        }
    }

    /// Returns the latest time at which every other member is known to have known no newer roster.
    ///
    /// While all of them agree, none of them has written a newer roster, and a member that learns
    /// of one later waits before it acts on it. Their joint confirmation is therefore equivalent to
    /// one by the store.
    #[must_use]
    pub fn peers_confirmed_at(&self) -> Moment {
        let Some(roster) = self.roster() else { return Moment::default() };
        let others = roster.members.keys().filter(|ident| **ident != self.own_ident);
        let last =
            others.map(|ident| self.peer_confirmations.get(ident).copied().unwrap_or_default());
        // The only member of a roster has no peers whose confirmation could replace the store's.
        last.min().unwrap_or_default()
    }

    /// Records that a member of the previous roster no longer acts for what it owned under that
    /// one. Returns whether the message belongs to the current roster.
    pub fn record_handover(&mut self, number: u64, member: u64) -> bool {
        let is_current = number == self.number();
        if is_current {
            self.handed_over.insert(member);
        }
        is_current
    }

    /// Returns whether the newest roster makes this member the owner of the object.
    #[must_use]
    pub fn is_owner(&self, ident: u64) -> bool {
        self.roster().and_then(|roster| roster.owner(ident)) == Some(self.own_ident)
    }

    /// Returns whether this member may act as the owner of the object now.
    ///
    /// `grace` is how long an owner's grants may have effect after its lease has expired.
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

    /// Returns when the lease expires unless the roster is confirmed again.
    fn expires_at(&self) -> Moment {
        if self.roster.is_none() {
            return Moment::default();
        }
        self.confirmed_at.max(self.peers_confirmed_at()) + LEASE_DURATION
    }

    /// Returns whether every lease under earlier rosters has expired by itself.
    fn prior_leases_expired(&self, now: Moment, grace: Span) -> bool {
        // Twice the lease duration, so that two successive handovers cannot overlap either.
        now >= self.adopted_at + LEASE_DURATION + LEASE_DURATION + grace
    }

    /// Returns whether this member may act as the owner of everything that the roster assigns to
    /// it.
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

/// Returns members in the order of preference for owning the object, by rendezvous hashing.
pub(crate) fn rank(members: impl Iterator<Item = u64>, ident: u64) -> impl Iterator<Item = u64> {
    let mut order: Vec<(u64, u64)> =
        members.map(|member| (mix(member ^ mix(ident)), member)).collect();
    order.sort_unstable_by(|left, right| right.cmp(left));
    order.into_iter().map(|(_, member)| member)
}
