//! Facts of one kind as a node knows them, with the revision of the store that they reflect.
//!
//! Facts arrive from the store and from other nodes, late, twice or out of order. The engine keeps
//! one view for each kind and applies every batch to it.

use std::collections::BTreeMap;

use base::prelude::*;
use model::registry::{Fact, Item};

/// Time between two confirmations above which the store counts as unreachable in between.
pub const MAX_CONFIRMATION_GAP: Span = Span::millis(2_500);

record! {
    /// Facts to apply: all facts of a kind, or the changes in a range of revisions.
    pub struct Batch {
        /// Revision before the first change; absent if the batch has all facts.
        pub after: Option<u64>,
        /// Revision of the store after the batch.
        pub revision: u64,
        /// Whether the store was unreachable before the batch was read.
        pub after_outage: bool,
        /// Facts, or names whose facts were removed.
        pub items: Vec<Item>,
    }
}

/// Changes made by a batch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Names of facts that were added or changed.
    pub changed: Vec<String>,
    /// Names of facts that were removed.
    pub removed: Vec<String>,
}

/// Error for a batch of changes that starts after the known revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

/// Facts of one kind.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the store that the facts reflect; zero if nothing is known.
    pub revision: u64,
    /// Revision of the last batch that changed the view.
    pub changed_revision: u64,
    /// Latest time for which the store has confirmed that there is nothing newer.
    pub confirmed_at: Option<Moment>,
    /// Time since which no two confirmations were further apart than [`MAX_CONFIRMATION_GAP`].
    pub reachable_since: Option<Moment>,
    items: BTreeMap<String, Item>,
}

impl View {
    /// Applies a batch; one without a newer revision has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if changes between the known revision and the batch are missing, or if the
    /// batch has changes only and nothing is known yet.
    pub fn apply(&mut self, batch: &Batch) -> Result<Delta, Gap> {
        if batch.revision <= self.revision && self.revision > 0 {
            return Ok(Delta::default());
        }
        let first = self.revision == 0;
        let delta = match batch.after {
            Some(after) if after > self.revision || first => return Err(Gap),
            Some(_) => self.update(batch),
            None => self.replace(batch),
        };
        self.revision = batch.revision;
        if first || delta != Delta::default() {
            self.changed_revision = batch.revision;
        }
        Ok(delta)
    }

    /// Advances the revision without changes; has no effect if nothing is known yet.
    pub fn advance(&mut self, revision: u64) {
        if self.revision > 0 {
            self.revision = self.revision.max(revision);
        }
    }

    /// Returns a batch of all facts, for other nodes.
    #[must_use]
    pub fn snapshot(&self) -> Batch {
        let items = self.items.values().cloned().collect();
        Batch { after: None, revision: self.revision, after_outage: false, items }
    }

    /// Returns a fact by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Fact> {
        self.items.get(name)?.fact.as_ref()
    }

    /// Returns all facts with their names.
    pub fn facts(&self) -> impl Iterator<Item = (&str, &Fact)> {
        let facts = self.items.iter();
        facts.filter_map(|(name, item)| Some((name.as_str(), item.fact.as_ref()?)))
    }

    /// Records that the facts were current at a moment.
    pub fn confirm(&mut self, moment: Moment) {
        let interrupted =
            self.confirmed_at.is_none_or(|before| moment.since(before) > MAX_CONFIRMATION_GAP);
        if interrupted {
            self.reachable_since = Some(moment);
        }
        self.confirmed_at = self.confirmed_at.max(Some(moment));
    }

    /// Returns for how long the store was continuously reachable before the last confirmation.
    #[must_use]
    pub fn reachable_for(&self) -> Span {
        match (self.confirmed_at, self.reachable_since) {
            (Some(confirmed), Some(since)) => confirmed.since(since),
            _ => Span::ZERO,
        }
    }

    /// Applies changes.
    fn update(&mut self, batch: &Batch) -> Delta {
        let mut delta = Delta::default();
        for item in &batch.items {
            self.apply_item(item, &mut delta);
        }
        delta
    }

    /// Replaces all facts.
    fn replace(&mut self, batch: &Batch) -> Delta {
        let mut delta = Delta::default();
        let names: Vec<&str> = batch.items.iter().map(|item| item.name.as_str()).collect();
        let removed: Vec<String> =
            self.items.keys().filter(|name| !names.contains(&name.as_str())).cloned().collect();
        for name in removed {
            self.items.remove(&name);
            delta.removed.push(name);
        }
        for item in &batch.items {
            self.apply_item(item, &mut delta);
        }
        delta
    }

    fn apply_item(&mut self, item: &Item, delta: &mut Delta) {
        let is_same = |known: &Item| known.fact == item.fact;
        match &item.fact {
            Some(_) if self.items.get(&item.name).is_some_and(is_same) => {}
            Some(_) => {
                self.items.insert(item.name.clone(), item.clone());
                delta.changed.push(item.name.clone());
            }
            None => {
                if self.items.remove(&item.name).is_some() {
                    delta.removed.push(item.name.clone());
                }
            }
        }
    }
}
