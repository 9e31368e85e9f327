//! Upstreams that have announced that they are leaving.
//!
//! The announcement of an upstream holds for its whole process, whatever its entry in the registry
//! says and however often the entry disappears and returns. It ends with a new process, which has
//! another identity. The engine asks the [`Departures`] whenever an upstream registers.

use std::collections::BTreeMap;

use base::prelude::*;

/// Time for which an announcement is remembered: longer than any upstream takes to leave.
pub const LIFETIME: Span = Span::seconds(600);
/// Maximum number of remembered announcements; the oldest ones are dropped first.
const MAX_DEPARTURES: usize = 10_000;

/// Identities of upstreams that are leaving, with the time when this node learned of it.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    learned: BTreeMap<u64, Moment>,
}

impl Departures {
    /// Records that an upstream is leaving, and returns whether that is new.
    pub fn record(&mut self, now: Moment, ident: u64) -> bool {
        if self.learned.insert(ident, now).is_some() {
            return false;
        }
        if self.learned.len() > MAX_DEPARTURES
            && let Some(oldest) = self.learned.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = *oldest.0;
            self.learned.remove(&oldest);
        }
        true
    }

    /// Returns whether an upstream is leaving.
    #[must_use]
    pub fn contains(&self, ident: u64) -> bool {
        self.learned.contains_key(&ident)
    }

    /// Returns the identities of all upstreams that are leaving.
    pub fn idents(&self) -> impl Iterator<Item = u64> {
        self.learned.keys().copied()
    }

    /// Removes announcements that are older than [`LIFETIME`].
    pub fn expire(&mut self, now: Moment) {
        self.learned.retain(|_, at| now.since(*at) < LIFETIME);
    }
}
