//! Idempotency keys: a request that may be executed only once is executed only if both replicas of
//! its key grant the claim.
//!
//! The replicas of a key are the first two members in the roster's order of preference for it. Each
//! keeps a record of the key. A claim carries the number of the roster by which it chose the
//! replicas, and a replica that knows another number refuses it. When the roster changes, each
//! member sends all others the records that they have to keep, and from then on grants no claim
//! with the previous number.
//!
//! The engine sends the claims and answers those of other members from [`Records`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::prelude::*;

use crate::roster::{Roster, rank};

/// Time for which a record is kept. A caller must not send the request again after that.
pub const RETENTION: Span = Span::seconds(600);
/// Maximum number of records at one member.
const MAX_RECORDS: usize = 500_000;
/// Maximum number of records in one part of a transfer.
const MAX_PART_ROWS: usize = 10_000;
/// Number of replicas of each key.
pub const REPLICAS: usize = 2;

symbols! {
    /// What is known about the request with a key.
    pub enum State {
        /// The request is in progress.
        Running = "running",
        /// The request was executed.
        Ran = "ran",
        /// The request may have been executed.
        Unknown = "unknown",
    }
}

symbols! {
    /// A replica's answer to a claim.
    pub enum Verdict {
        /// This replica permits the request.
        Granted = "granted",
        /// A request with the key is in progress.
        Running = "running",
        /// A request with the key was executed.
        Ran = "ran",
        /// The outcome of a request with the key is unknown.
        Unknown = "unknown",
        /// This replica cannot decide: it knows another roster, or does not have all records yet.
        Unready = "unready",
    }
}

value! {
    /// The record of one key.
    pub struct Record {
        /// What is known about the request.
        pub state: State,
        /// The member that claimed the key.
        pub claimant: u64,
        /// Serial number of the claim, chosen by that member.
        pub serial: u64,
        /// When the record expires.
        pub expires_at: Moment,
    }

    /// A record on its way to another replica.
    pub struct Row {
        /// Digest of the idempotency key.
        pub key: u64,
        /// What is known about the request.
        pub state: State,
        /// The member that claimed the key.
        pub claimant: u64,
        /// Serial number of the claim, chosen by that member.
        pub serial: u64,
    }
}

value! {
    /// Identification of a claim.
    pub struct ClaimId {
        /// Digest of the idempotency key.
        pub key: u64,
        /// The member that claims the key.
        pub claimant: u64,
        /// Serial number of the claim, chosen by that member.
        pub serial: u64,
    }
}

record! {
    /// One part of a transfer of records from one member to another.
    pub struct Part {
        /// Whether all parts together are everything that the receiver needs from the sender.
        pub complete: bool,
        /// Position among the parts, from zero.
        pub index: u32,
        /// Number of parts of the transfer.
        pub total: u32,
        /// The records.
        pub rows: Vec<Row>,
    }
}

/// The records of one member.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: BTreeMap<u64, Record>,
    /// Keys with the expiry times of their records, the earliest first.
    order: VecDeque<(Moment, u64)>,
    /// Whether this member had all records of its keys when it adopted the roster.
    complete_before: bool,
    adopted_at: Moment,
    /// Whether this member's transfers contain every record that the receivers need from it.
    sends_complete: bool,
    /// For each member of the previous roster, the number of its parts and those received.
    received_parts: BTreeMap<u64, (u32, BTreeSet<u32>)>,
}

impl Records {
    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
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
            // The member that claimed the key has left, or it reported an unknown outcome.
            Some(_) => Verdict::Unknown,
        }
    }

    /// Records the outcome of a claimed request; `None` if it was certainly not executed.
    ///
    /// A late message about an earlier claim changes nothing.
    pub fn record_result(&mut self, now: Moment, claim_id: ClaimId, state: Option<State>) {
        let ClaimId { key, claimant, serial } = claim_id;
        let record = self.records.get(&key);
        if record.is_some_and(|record| record.serial != serial || record.state != State::Running) {
            return;
        }
        match state {
            Some(state) => self.insert(now, key, state, claimant, serial),
            None => {
                self.records.remove(&key);
            }
        }
    }

    /// Adopts the roster `next` in place of `before`.
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

    /// Returns the records that the roster newly assigns to a member, in parts.
    #[must_use]
    pub fn parts_for(&self, roster: &Roster, member: u64) -> Vec<Part> {
        let previous = |key| rank(roster.previous.iter().copied(), key).take(REPLICAS);
        let is_new_replica = |key: u64| {
            roster.ranked(key).take(REPLICAS).any(|replica| replica == member)
                && previous(key).all(|replica| replica != member)
        };
        let assigned = self.records.iter().filter(|(key, _)| is_new_replica(**key));
        let rows: Vec<Row> = assigned
            .map(|(key, record)| Row {
                key: *key,
                state: record.state,
                claimant: record.claimant,
                serial: record.serial,
            })
            .collect();
        let count = rows.len().div_ceil(MAX_PART_ROWS).max(1);
        let total = u32::try_from(count).unwrap_or(u32::MAX);
        let mut parts: Vec<Part> = rows
            .chunks(MAX_PART_ROWS)
            .zip(0..)
            .map(|(rows, index)| Part {
                complete: self.sends_complete,
                index,
                total,
                rows: rows.to_vec(),
            })
            .collect();
        if parts.is_empty() {
            parts.push(Part { complete: self.sends_complete, index: 0, total, rows: Vec::new() });
        }
        parts
    }

    /// Receives a part of the records that a member of the previous roster kept.
    pub fn receive_part(&mut self, now: Moment, from: u64, part: &Part) {
        for row in &part.rows {
            // A record that is already present is at least as new.
            if !self.records.contains_key(&row.key) {
                self.insert(now, row.key, row.state, row.claimant, row.serial);
            }
        }
        if part.complete {
            let received = self.received_parts.entry(from).or_insert((part.total, BTreeSet::new()));
            received.1.insert(part.index);
        }
    }

    /// Returns the members of the previous roster whose records have not all arrived.
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

    /// Returns whether this member has the record of a key if there is one.
    fn covers(&self, now: Moment, own_ident: u64, roster: &Roster, key: u64) -> bool {
        if roster.number == 1 || now >= self.adopted_at + RETENTION {
            return true;
        }
        let mut previous = rank(roster.previous.iter().copied(), key).take(REPLICAS);
        previous.any(|replica| {
            (replica == own_ident && self.complete_before) || self.is_received(replica)
        })
    }

    /// Returns whether this member has the records of every key that it is a replica of.
    fn is_complete(&self, now: Moment, own_ident: u64, roster: &Roster) -> bool {
        if roster.number == 1 || now >= self.adopted_at + RETENTION {
            return true;
        }
        // Each key had two replicas, so no record is lost if a single member does not respond.
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
            // A record that was renewed has a later position in the order.
            if self.records.get(&key).is_some_and(|record| record.expires_at <= expires_at) {
                self.records.remove(&key);
            }
        }
    }
}
