//! Idempotency keys: a request that may run once runs only if both homes of its key grant it.
//!
//! The homes of a key are the first two members in the roster's order for it. Each keeps a record
//! of the key. A claim names the number of the roster by which it chose the homes; a home that
//! knows another number refuses it. When the roster changes, each member tells all others what it
//! keeps of theirs, and from then on grants nothing by the number before.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::prelude::*;

use crate::roster::{Roster, rank};

/// Time for which a record is kept; a caller has to stop sending again before.
pub const RETENTION: Span = Span::seconds(600);
/// Records that a member keeps at the most.
const MAX_RECORDS: usize = 500_000;
/// Records in one part.
const PART_ROWS: usize = 10_000;
/// Homes of each key.
pub const REPLICAS: usize = 2;

symbols! {
    /// What is known of the request with a key.
    pub enum State {
        /// It runs.
        Running = "running",
        /// It has run.
        Ran = "ran",
        /// It may have run.
        Unknown = "unknown",
    }
}

symbols! {
    /// What a home says to a claim.
    pub enum Verdict {
        /// The request may run as far as this home is concerned.
        Granted = "granted",
        /// A request with the key runs.
        Running = "running",
        /// A request with the key has run.
        Ran = "ran",
        /// What became of a request with the key is not known.
        Unknown = "unknown",
        /// This home cannot say: it knows another roster, or not yet all records.
        Unready = "unready",
    }
}

value! {
    /// What is kept of a key.
    pub struct Record {
        /// What is known.
        pub state: State,
        /// The member whose request it was.
        pub claimant: u64,
        /// The member's mark for the claim.
        pub serial: u64,
        /// When the record is forgotten.
        pub expires_at: Moment,
    }

    /// What goes to another home of a key.
    pub struct Row {
        /// The key.
        pub key: u64,
        /// What is known.
        pub state: State,
        /// The member whose request it was.
        pub claimant: u64,
        /// The member's mark for the claim.
        pub serial: u64,
    }
}

value! {
    /// A claim as a home sees it.
    pub struct ClaimId {
        /// The key.
        pub key: u64,
        /// The member whose request it is.
        pub claimant: u64,
        /// The member's mark for the claim.
        pub serial: u64,
    }
}

record! {
    /// A part of what a member tells another of its keys.
    pub struct Part {
        /// Whether all parts together are all that the receiver has to know from the sender.
        pub complete: bool,
        /// Position among the parts.
        pub index: u32,
        /// Number of parts.
        pub total: u32,
        /// The records.
        pub rows: Vec<Row>,
    }
}

/// The records of one member.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: BTreeMap<u64, Record>,
    order: VecDeque<(Moment, u64)>,
    /// Whether this member kept all records of its keys when it adopted the roster.
    complete_before: bool,
    adopted_at: Moment,
    /// Whether this member may say that it tells all.
    sends_complete: bool,
    /// Parts that members of the roster before have told, with the number of their parts.
    received_parts: BTreeMap<u64, (u32, BTreeSet<u32>)>,
}

impl Records {
    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Answers a claim.
    pub fn claim(
        &mut self,
        now: Moment,
        own_ident: u64,
        roster: &Roster,
        claim_id: ClaimId,
    ) -> Verdict {
        self.evict_expired(now);
        let ClaimId { key, claimant, serial } = claim_id;
        if !self.covers(now, own_ident, roster, key) {
            return Verdict::Unready;
        }
        match self.records.get(&key) {
            None if self.records.len() >= MAX_RECORDS => Verdict::Unready,
            None => {
                self.insert(now, key, State::Running, claimant, serial);
                Verdict::Granted
            }
            Some(Record { state: State::Running, claimant, .. })
                if roster.members.contains_key(claimant) =>
            {
                Verdict::Running
            }
            Some(Record { state: State::Ran, .. }) => Verdict::Ran,
            // The member that ran it is gone, or it said that it does not know.
            Some(_) => Verdict::Unknown,
        }
    }

    /// Takes in what became of a claimed request; `None` if it certainly has not run.
    ///
    /// A message that comes late, about an earlier claim, changes nothing.
    pub fn record_result(&mut self, now: Moment, claim_id: ClaimId, state: Option<State>) {
        let ClaimId { key, claimant, serial } = claim_id;
        let known = self.records.get(&key);
        if known.is_some_and(|one| one.serial != serial || one.state != State::Running) {
            return;
        }
        match state {
            Some(state) => self.insert(now, key, state, claimant, serial),
            None => {
                self.records.remove(&key);
            }
        }
    }

    /// Goes on from the roster `before` to `next`.
    pub fn adopt(&mut self, now: Moment, own_ident: u64, before: Option<&Roster>, next: &Roster) {
        self.evict_expired(now);
        let consecutive = before.is_some_and(|before| before.number + 1 == next.number);
        let complete =
            consecutive && before.is_some_and(|before| self.is_complete(now, own_ident, before));
        let joins = !next.previous.contains(&own_ident);
        self.sends_complete = complete;
        self.complete_before = complete || joins;
        self.adopted_at = now;
        self.received_parts.clear();
    }

    /// Returns what a member that is a home by the roster has to know, in parts.
    #[must_use]
    pub fn parts_for(&self, roster: &Roster, member: u64) -> Vec<Part> {
        let previous = |key| rank(roster.previous.iter().copied(), key).take(REPLICAS);
        let gains = |key: u64| {
            roster.ranked(key).take(REPLICAS).any(|replica| replica == member)
                && previous(key).all(|replica| replica != member)
        };
        let kept = self.records.iter().filter(|(key, _)| gains(**key));
        let rows: Vec<Row> = kept
            .map(|(key, record)| Row {
                key: *key,
                state: record.state,
                claimant: record.claimant,
                serial: record.serial,
            })
            .collect();
        let count = rows.len().div_ceil(PART_ROWS).max(1);
        let total = u32::try_from(count).unwrap_or(u32::MAX);
        let mut received_parts: Vec<Part> = rows
            .chunks(PART_ROWS)
            .zip(0..)
            .map(|(rows, index)| Part {
                complete: self.sends_complete,
                index,
                total,
                rows: rows.to_vec(),
            })
            .collect();
        if received_parts.is_empty() {
            received_parts.push(Part {
                complete: self.sends_complete,
                index: 0,
                total,
                rows: Vec::new(),
            });
        }
        received_parts
    }

    /// Takes in a part of what a member of the roster before kept of this member's keys.
    pub fn receive_part(&mut self, now: Moment, from: u64, part: &Part) {
        for row in &part.rows {
            // What is known here already is at least as new.
            if !self.records.contains_key(&row.key) {
                self.insert(now, row.key, row.state, row.claimant, row.serial);
            }
        }
        if part.complete {
            let received = self.received_parts.entry(from).or_insert((part.total, BTreeSet::new()));
            received.1.insert(part.index);
        }
    }

    /// Returns members of the roster before that have not told all that they kept.
    pub fn missing<'a>(
        &'a self,
        own_ident: u64,
        roster: &'a Roster,
    ) -> impl Iterator<Item = u64> + 'a {
        roster
            .previous
            .iter()
            .copied()
            .filter(move |member| *member != own_ident && !self.is_received(*member))
    }

    fn is_received(&self, member: u64) -> bool {
        self.received_parts
            .get(&member)
            .is_some_and(|(total, received)| received.len() as u64 >= u64::from(*total))
    }

    /// Tells whether this member keeps what there is to know of a key.
    fn covers(&self, now: Moment, own_ident: u64, roster: &Roster, key: u64) -> bool {
        if roster.number == 1 || now >= self.adopted_at + RETENTION {
            return true;
        }
        let mut previous = rank(roster.previous.iter().copied(), key).take(REPLICAS);
        previous.any(|replica| {
            (replica == own_ident && self.complete_before) || self.is_received(replica)
        })
    }

    /// Tells whether this member keeps what there is to know of every key that it is a home of.
    fn is_complete(&self, now: Moment, own_ident: u64, roster: &Roster) -> bool {
        if roster.number == 1 || now >= self.adopted_at + RETENTION {
            return true;
        }
        // Each key has had two homes, so the silence of one member hides nothing.
        self.complete_before && self.missing(own_ident, roster).count() < REPLICAS
    }

    fn insert(&mut self, now: Moment, key: u64, state: State, claimant: u64, serial: u64) {
        let expires_at = now + RETENTION;
        self.records.insert(key, Record { state, claimant, serial, expires_at });
        self.order.push_back((expires_at, key));
    }

    fn evict_expired(&mut self, now: Moment) {
        while let Some((expires_at, key)) = self.order.front().copied().filter(|(at, _)| *at <= now)
        {
            self.order.pop_front();
            // A record that was renewed has a later entry in the order.
            if self.records.get(&key).is_some_and(|record| record.expires_at <= expires_at) {
                self.records.remove(&key);
            }
        }
    }
}
