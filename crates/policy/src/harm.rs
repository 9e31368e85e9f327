//! Requests that break each upstream that runs them.
//!
//! The same request is known by a digest. One that was in flight when an upstream broke is a
//! suspect; one that was in flight at several, and was answered by none since, is refused. A whole
//! answer clears it, so that a harmless request that was there by chance is not held back.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

/// Upstreams that a request may break before it is refused.
pub const MAX_CRASHED: usize = 2;
/// Time after which a suspicion is forgotten.
const RETENTION: Span = Span::seconds(600);
/// Suspects that are kept; the oldest yield.
const MAX_SUSPECTS: usize = 4_096;

record! {
    /// What is known of a suspected request.
    pub struct Suspect {
        /// Count of answers that cleared it; what is told of an earlier count is out of date.
        pub generation: u32,
        /// Upstreams that broke with it in flight.
        pub crashed: BTreeSet<u64>,
        /// When it was last suspected or cleared.
        pub updated_at: Moment,
    }
}

/// The suspected requests that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_digest: BTreeMap<u64, Suspect>,
}

impl Suspects {
    /// Tells whether a request has broken too many upstreams.
    #[must_use]
    pub fn is_harmful(&self, now: Moment, digest: u64) -> bool {
        self.by_digest.get(&digest).is_some_and(|suspect| {
            suspect.crashed.len() >= MAX_CRASHED && now < suspect.updated_at + RETENTION
        })
    }

    /// Returns the digests of requests that are refused.
    #[must_use]
    pub fn harmful(&self, now: Moment) -> Vec<u64> {
        self.by_digest.keys().copied().filter(|digest| self.is_harmful(now, *digest)).collect()
    }

    /// Notes that an upstream broke with a request in flight; returns the generation to tell.
    pub fn record(&mut self, now: Moment, digest: u64, upstream: u64) -> u32 {
        self.evict(now);
        let suspect = self.by_digest.entry(digest).or_insert_with(|| Suspect::new(now));
        suspect.crashed.insert(upstream);
        suspect.updated_at = now;
        suspect.generation
    }

    /// Notes a whole answer; returns the generation to tell if the request was suspected.
    pub fn clear(&mut self, now: Moment, digest: u64) -> Option<u32> {
        let suspect =
            self.by_digest.get_mut(&digest).filter(|suspect| !suspect.crashed.is_empty())?;
        suspect.generation += 1;
        suspect.crashed.clear();
        suspect.updated_at = now;
        Some(suspect.generation)
    }

    /// Takes in what a peer says; returns whether it was new.
    pub fn receive(
        &mut self,
        now: Moment,
        digest: u64,
        generation: u32,
        upstream: Option<u64>,
    ) -> bool {
        self.evict(now);
        let suspect = self.by_digest.entry(digest).or_insert_with(|| Suspect::new(now));
        if generation < suspect.generation {
            return false;
        }
        let newer = generation > suspect.generation;
        if newer {
            suspect.generation = generation;
            suspect.crashed.clear();
        }
        let added = upstream.is_some_and(|upstream| suspect.crashed.insert(upstream));
        if added || newer {
            suspect.updated_at = now;
        }
        added || newer
    }

    /// Forgets what is old, and the oldest if there are too many.
    fn evict(&mut self, now: Moment) {
        if self.by_digest.len() < MAX_SUSPECTS {
            return;
        }
        self.by_digest.retain(|_, suspect| now < suspect.updated_at + RETENTION);
        let oldest = self.by_digest.iter().min_by_key(|(_, suspect)| suspect.updated_at);
        if let Some(digest) = oldest.map(|(digest, _)| *digest)
            && self.by_digest.len() >= MAX_SUSPECTS
        {
            self.by_digest.remove(&digest);
        }
    }
}

impl Suspect {
    fn new(now: Moment) -> Self {
        Self { generation: 0, crashed: BTreeSet::new(), updated_at: now }
    }
}
