//! The members of a deployment and which of them owns what.
//!
//! The roster is one object in the store. Its number grows with each change. The owner of an
//! upstream follows from the roster alone; a [`Tenure`] tells whether this member may act as the
//! owner at a moment, so that no two members may at once even while their views differ.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::hash::{digest, mix};
use base::prelude::*;

/// Time for which a confirmed roster entitles its members to act as owners.
pub const TERM: Span = Span::seconds(5);
/// The newest schema of the roster's document that this build reads.
pub const SCHEMA: u32 = 1;
/// Rosters that a member remembers to know how long it has owned something.
const REMEMBERED: usize = 8;

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
        /// Members by identity.
        pub members: BTreeMap<u64, Member>,
    }
}

impl Roster {
    /// Returns the member that owns the thing with the given identity.
    #[must_use]
    pub fn owner(&self, ident: u64) -> Option<u64> {
        self.ranked(ident).next()
    }

    /// Returns the members in the order in which they would own the thing.
    pub fn ranked(&self, ident: u64) -> impl Iterator<Item = u64> {
        let mut order: Vec<(u64, u64)> =
            self.members.keys().map(|member| (mix(*member ^ mix(ident)), *member)).collect();
        order.sort_unstable_by(|one, other| other.cmp(one));
        order.into_iter().map(|(_, member)| member)
    }

    /// Returns the roster with one member more or replaced, one number higher.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut next = self.clone();
        next.number += 1;
        next.schema = SCHEMA;
        next.members.insert(member.ident, member);
        next
    }

    /// Returns the roster without the given members, one number higher.
    #[must_use]
    pub fn without(&self, gone: &[u64]) -> Self {
        let mut next = self.clone();
        next.number += 1;
        next.schema = SCHEMA;
        next.members.retain(|ident, _| !gone.contains(ident));
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
pub struct Tenure {
    me: u64,
    history: VecDeque<Entry>,
    confirmed_at: Moment,
    ceded: BTreeMap<u64, u64>,
}

/// One roster that the member adopted.
#[derive(Clone, Debug)]
struct Entry {
    roster: Roster,
    learned_at: Moment,
}

impl Tenure {
    /// Makes the tenure of a member that knows no roster yet.
    #[must_use]
    pub fn new(me: u64) -> Self {
        Self {
            me,
            history: VecDeque::new(),
            confirmed_at: Moment::default(),
            ceded: BTreeMap::new(),
        }
    }

    /// Returns this member's identity.
    #[must_use]
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Returns the newest roster known.
    #[must_use]
    pub fn roster(&self) -> Option<&Roster> {
        self.history.back().map(|entry| &entry.roster)
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

    /// Takes in a roster that was current at some time after `asked_at`.
    ///
    /// Returns whether it is newer than the one known. An older one changes nothing.
    pub fn confirm(&mut self, now: Moment, asked_at: Moment, roster: &Roster) -> bool {
        if roster.number < self.number() {
            return false;
        }
        let newer = roster.number > self.number();
        if newer {
            self.ceded.clear();
            self.history.push_back(Entry { roster: roster.clone(), learned_at: now });
            if self.history.len() > REMEMBERED {
                self.history.pop_front();
            }
            self.confirmed_at = asked_at;
        }
        self.confirmed_at = self.confirmed_at.max(asked_at);
        newer
    }

    /// Takes in a confirmation of the number alone; another number than the known one is ignored.
    pub fn confirm_number(&mut self, asked_at: Moment, number: u64) {
        if number == self.number() && number > 0 {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }

    /// Takes in that the owner before has ceded a thing under the given roster number.
    pub fn cede(&mut self, number: u64, ident: u64) -> bool {
        let mine = number == self.number() && self.is_owner(ident);
        if mine {
            self.ceded.insert(ident, number);
        }
        mine
    }

    /// Tells whether the newest roster names this member as the owner.
    #[must_use]
    pub fn is_owner(&self, ident: u64) -> bool {
        self.roster().and_then(|roster| roster.owner(ident)) == Some(self.me)
    }

    /// Tells whether this member may act as the owner now.
    ///
    /// `linger` is how long the effects of an owner before may last once its right has ended.
    #[must_use]
    pub fn holds(&self, now: Moment, ident: u64, linger: Span) -> bool {
        if !self.is_owner(ident) || now >= self.confirmed_at + TERM {
            return false;
        }
        if self.ceded.contains_key(&ident) {
            return true;
        }
        match self.owned_since(ident) {
            Since::Always => true,
            // Twice the term, so that a chain of two hand-overs cannot overlap either.
            Since::At(since) => now >= since + TERM + TERM + linger,
        }
    }

    /// Walks back through rosters with consecutive numbers while this member is the owner.
    fn owned_since(&self, ident: u64) -> Since {
        let mut since = Since::At(Moment(u64::MAX));
        let mut number = self.number();
        for entry in self.history.iter().rev() {
            let roster = &entry.roster;
            if roster.number != number || roster.owner(ident) != Some(self.me) {
                return since;
            }
            since = Since::At(entry.learned_at);
            number -= 1;
            if roster.number == 1 {
                return Since::Always;
            }
        }
        since
    }
}

/// Since when a member owns something.
enum Since {
    /// Since the first roster of the deployment.
    Always,
    /// Since a moment.
    At(Moment),
}
