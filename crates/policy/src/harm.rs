//! Detection of requests that crash every upstream that executes them.
//!
//! Requests are identified by a digest of their content. A request that was in flight when an
//! upstream crashed is a suspect. A suspect that was in flight at several crashed upstreams, and
//! was not answered since, is refused. A complete response clears it, so that a harmless request
//! that was in flight by chance is not refused.
//!
//! The engine and the `gateway` crate record the crashes that they observe and exchange them with
//! their peers.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

/// Number of crashed upstreams from which on a request is refused.
pub const MAX_CRASHED: usize = 2;
/// Time after which the record of a suspect expires.
const RETENTION: Span = Span::seconds(600);
/// Maximum number of suspects; the oldest are evicted first.
const MAX_SUSPECTS: usize = 4_096;

record! {
    /// What is known about a suspected request.
    pub struct Suspect {
        /// Number of responses that have cleared the request; reports with a lower number are
        /// outdated.
        pub generation: u32,
        /// Upstreams that crashed with the request in flight.
        pub crashed: BTreeSet<u64>,
        /// When the request was last suspected or cleared.
        pub updated_at: Moment,
    }
}

/// The suspected requests that a process knows of.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_digest: BTreeMap<u64, Suspect>,
}

impl Suspects {
    /// Returns whether a request has crashed too many upstreams.
    #[must_use]
    pub fn is_harmful(&self, now: Moment, digest: u64) -> bool {
        self.by_digest.get(&digest).is_some_and(|suspect| {
            suspect.crashed.len() >= MAX_CRASHED && now < suspect.updated_at + RETENTION
        })
    }

    /// Returns the digests of the requests that are refused.
    #[must_use]
    pub fn harmful(&self, now: Moment) -> Vec<u64> {
        self.by_digest.keys().copied().filter(|digest| self.is_harmful(now, *digest)).collect()
    }

    /// Records that an upstream crashed with a request in flight; returns the generation to report.
    pub fn record(&mut self, now: Moment, digest: u64, upstream: u64) -> u32 {
        self.evict(now);
        let suspect = self.by_digest.entry(digest).or_insert_with(|| Suspect::new(now));
        suspect.crashed.insert(upstream);
        suspect.updated_at = now;
        suspect.generation
    }

    /// Clears a request after a complete response; returns the generation to report if it was
    /// suspected.
    pub fn clear(&mut self, now: Moment, digest: u64) -> Option<u32> {
        let suspect =
            self.by_digest.get_mut(&digest).filter(|suspect| !suspect.crashed.is_empty())?;
        suspect.generation += 1;
        suspect.crashed.clear();
        suspect.updated_at = now;
        Some(suspect.generation)
    }

    /// Applies a peer's report; returns whether it was new.
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

    /// Evicts expired suspects, and the oldest one if there are still too many.
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
