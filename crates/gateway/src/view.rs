//! The facts of one kind as a node knows them, by revision of the store.

use std::collections::BTreeMap;

use base::prelude::*;
use model::registry::{Fact, Item};

/// Time between two proofs above which the store counts as having been out of reach between them.
pub const MAX_CONFIRMATION_GAP: Span = Span::millis(2_500);

record! {
    /// Facts on their way: everything of a kind, or what has changed.
    pub struct Batch {
        /// Revision after which the changes come; absent if this is everything.
        pub after: Option<u64>,
        /// Revision of the store up to which this holds.
        pub at: u64,
        /// Whether the store could not be reached for a while before.
        pub after_outage: bool,
        /// The facts.
        pub items: Vec<Item>,
    }
}

/// What a batch has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Names whose facts are new or other than before.
    pub changed: Vec<String>,
    /// Names whose facts are gone.
    pub removed: Vec<String>,
}

/// A batch that does not follow on what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

/// The facts of one kind.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the store up to which the facts hold; zero if nothing is known.
    pub revision: u64,
    /// Revision up to which the last change that this view took in holds.
    pub changed_revision: u64,
    /// Latest time at which the facts were current.
    pub confirmed_at: Option<Moment>,
    /// Since when there was a proof at least every [`MAX_CONFIRMATION_GAP`].
    pub reachable_since: Option<Moment>,
    items: BTreeMap<String, Item>,
}

impl View {
    /// Takes in a batch.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if changes between what is known and the batch are missing.
    pub fn apply(&mut self, batch: &Batch) -> Result<Delta, Gap> {
        if batch.at <= self.revision && self.revision > 0 {
            return Ok(Delta::default());
        }
        let first = self.revision == 0;
        let delta = match batch.after {
            Some(after) if after > self.revision || first => return Err(Gap),
            Some(_) => self.update(batch),
            None => self.replace(batch),
        };
        self.revision = batch.at;
        if first || delta != Delta::default() {
            self.changed_revision = batch.at;
        }
        Ok(delta)
    }

    /// Notes that nothing has changed between what is known and a revision.
    pub fn advance(&mut self, at: u64) {
        if self.revision > 0 {
            self.revision = self.revision.max(at);
        }
    }

    /// Returns everything, to be passed on.
    #[must_use]
    pub fn snapshot(&self) -> Batch {
        let items = self.items.values().cloned().collect();
        Batch { after: None, at: self.revision, after_outage: false, items }
    }

    /// Returns a fact by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Fact> {
        self.items.get(name)?.fact.as_ref()
    }

    /// Returns every fact with its name.
    pub fn facts(&self) -> impl Iterator<Item = (&str, &Fact)> {
        let facts = self.items.iter();
        facts.filter_map(|(name, item)| Some((name.as_str(), item.fact.as_ref()?)))
    }

    /// Notes that the facts were current at a moment.
    pub fn confirm(&mut self, moment: Moment) {
        let interrupted =
            self.confirmed_at.is_none_or(|before| moment.since(before) > MAX_CONFIRMATION_GAP);
        if interrupted {
            self.reachable_since = Some(moment);
        }
        self.confirmed_at = self.confirmed_at.max(Some(moment));
    }

    /// Returns for how long there was always a proof, up to the newest.
    #[must_use]
    pub fn reachable_for(&self) -> Span {
        match (self.confirmed_at, self.reachable_since) {
            (Some(confirmed), Some(since)) => confirmed.since(since),
            _ => Span::ZERO,
        }
    }

    fn update(&mut self, batch: &Batch) -> Delta {
        let mut delta = Delta::default();
        for item in &batch.items {
            self.apply_item(item, &mut delta);
        }
        delta
    }

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
