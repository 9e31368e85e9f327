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
const KEPT: Span = Span::seconds(600);
/// Suspects that are kept; the oldest yield.
const MOST_SUSPECTS: usize = 4_096;

record! {
    /// What is known of a suspected request.
    pub struct Suspect {
        /// Count of answers that cleared it; what is told of an earlier count is out of date.
        pub generation: u32,
        /// Upstreams that broke with it in flight.
        pub crashed: BTreeSet<u64>,
        /// When it was last suspected or cleared.
        pub at: Moment,
    }
}

/// The suspected requests that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: BTreeMap<u64, Suspect>,
}

impl Suspects {
    /// Tells whether a request has broken too many upstreams.
    #[must_use]
    pub fn is_harmful(&self, now: Moment, digest: u64) -> bool {
        self.known
            .get(&digest)
            .is_some_and(|one| one.crashed.len() >= MAX_CRASHED && now < one.at + KEPT)
    }

    /// Returns the digests of requests that are refused.
    #[must_use]
    pub fn harmful(&self, now: Moment) -> Vec<u64> {
        self.known.keys().copied().filter(|digest| self.is_harmful(now, *digest)).collect()
    }

    /// Notes that an upstream broke with a request in flight; returns the generation to tell.
    pub fn record(&mut self, now: Moment, digest: u64, upstream: u64) -> u32 {
        self.make_room(now);
        let suspect = self.known.entry(digest).or_insert_with(|| Suspect::new(now));
        suspect.crashed.insert(upstream);
        suspect.at = now;
        suspect.generation
    }

    /// Notes a whole answer; returns the generation to tell if the request was suspected.
    pub fn clear(&mut self, now: Moment, digest: u64) -> Option<u32> {
        let suspect = self.known.get_mut(&digest).filter(|one| !one.crashed.is_empty())?;
        suspect.generation += 1;
        suspect.crashed.clear();
        suspect.at = now;
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
        self.make_room(now);
        let suspect = self.known.entry(digest).or_insert_with(|| Suspect::new(now));
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
            suspect.at = now;
        }
        added || newer
    }

    /// Forgets what is old, and the oldest if there are too many.
    fn make_room(&mut self, now: Moment) {
        if self.known.len() < MOST_SUSPECTS {
            return;
        }
        self.known.retain(|_, suspect| now < suspect.at + KEPT);
        let oldest = self.known.iter().min_by_key(|(_, suspect)| suspect.at);
        if let Some(digest) = oldest.map(|(digest, _)| *digest)
            && self.known.len() >= MOST_SUSPECTS
        {
            self.known.remove(&digest);
        }
    }
}

impl Suspect {
    fn new(now: Moment) -> Self {
        Self { generation: 0, crashed: BTreeSet::new(), at: now }
    }
}
