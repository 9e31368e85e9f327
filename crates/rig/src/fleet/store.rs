//! The modelled store: facts by kind with revisions, and the nodes that it serves.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use gateway::view::Batch;
use model::registry::{Fact, Item, Kind, State, Upstream};
use model::table::{Limits, Table};

/// The modelled store.
#[derive(Default)]
pub(super) struct Store {
    pub revision: u64,
    /// Revision of the last change, by kind.
    changed: BTreeMap<Kind, u64>,
    pub facts: BTreeMap<Kind, BTreeMap<String, Fact>>,
    /// Names of the changed facts by revision and kind.
    history: BTreeMap<(u64, Kind), String>,
    pub calls: u64,
    pub available: bool,
    /// Nodes that the store turns away.
    pub refused: BTreeSet<u64>,
}

impl Store {
    /// Returns whether the store answers a node.
    pub fn serves(&self, ident: u64) -> bool {
        self.available && !self.refused.contains(&ident)
    }

    /// Creates a store with a table and the given number of upstreams.
    pub fn with_upstreams(upstreams: usize) -> Self {
        let mut store = Self { available: true, ..Self::default() };
        let table = Table {
            version: 1,
            routes: Vec::new(),
            services: Vec::new(),
            limits: Limits::default(),
        };
        store.put(Kind::Table, "main".into(), Fact::Table(table));
        for number in 0..upstreams {
            store.put_upstream(number, State::Ready);
        }
        store
    }

    /// Stores an upstream in a state, and returns the new revision.
    pub fn put_upstream(&mut self, number: usize, state: State) -> u64 {
        let id = format!("i-{number:08x}");
        let port = u16::try_from(number % 60_000).unwrap_or_default() + 1;
        let upstream = Upstream {
            id: id.clone(),
            started_ms: 1_780_000_000_000,
            service: format!("service-{}", number % 2),
            version: "v1".into(),
            domain: format!("d{}", number % 6),
            address: ([10, 64, 0, 1], port).into(),
            slots: 4,
            state,
            cold_remaining: Span::ZERO,
        };
        self.put(Kind::Upstreams, id, Fact::Upstream(upstream))
    }

    /// Stores a fact, and returns the new revision.
    pub fn put(&mut self, kind: Kind, name: String, fact: Fact) -> u64 {
        self.revision += 1;
        self.changed.insert(kind, self.revision);
        self.history.insert((self.revision, kind), name.clone());
        self.facts.entry(kind).or_default().insert(name, fact);
        self.revision
    }

    /// Returns all facts of a kind.
    pub fn snapshot(&self, kind: Kind) -> Batch {
        let facts = self.facts.get(&kind).into_iter().flatten();
        let item = |(name, fact): (&String, &Fact)| Item {
            name: name.clone(),
            revision: self.revision,
            fact: Some(fact.clone()),
        };
        let items = facts.map(item).collect();
        Batch { after: None, revision: self.revision, after_outage: false, items }
    }

    /// Returns the changes of a kind after a revision, if there are any.
    pub fn changes(&self, kind: Kind, after: u64) -> Option<Batch> {
        let changed = self.history.range((after + 1, Kind::Table)..);
        let names: BTreeSet<&String> =
            changed.filter(|((_, other), _)| *other == kind).map(|(_, name)| name).collect();
        let facts = self.facts.get(&kind)?;
        let item = |name: &String| Item {
            name: name.clone(),
            revision: self.revision,
            fact: facts.get(name).cloned(),
        };
        let items: Vec<Item> = names.into_iter().map(item).collect();
        let batch =
            Batch { after: Some(after), revision: self.revision, after_outage: false, items };
        (!batch.items.is_empty()).then_some(batch)
    }
}
