//! Which route a request takes and which service of it.

use std::collections::BTreeMap;

use base::hash::digest;
use base::prelude::*;
use model::table::{self, Table};
use slotmap::SlotMap;

record! {
    /// A route with its services resolved.
    pub struct Route {
        /// What the table says of it.
        pub order: table::Route,
        /// Identity that is equal on every node.
        pub ident: u64,
        /// Services with their shares.
        pub parts: Vec<Part>,
        /// Usual time of a request's work, in microseconds.
        pub service_time: f64,
    }

    /// A service's part of a route.
    #[derive(Copy)]
    pub struct Part {
        /// The service.
        pub service: key::Service,
        /// Its share of the weights' sum.
        pub share: f64,
        /// How far it is behind its share, in requests.
        pub credit: f64,
    }
}

/// Part of a target that the usual work is assumed to take while nothing is known.
const ASSUMED_PART: f64 = 0.35;
/// Weight of a new sample in the usual time of the work.
const TIME_GAIN: f64 = 0.05;

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The routes.
    pub arena: SlotMap<key::Route, Route>,
    hosts: BTreeMap<String, Vec<key::Route>>,
    names: BTreeMap<String, key::Route>,
}

impl Route {
    fn new(
        ordered: &table::Route,
        learned: Option<f64>,
        service: &mut impl FnMut(&str) -> key::Service,
    ) -> Self {
        let sum: f64 = ordered.parts.iter().map(|part| part.weight).sum();
        let parts = ordered.parts.iter().map(|part| Part {
            service: service(&part.service),
            share: if sum > 0.0 { part.weight / sum } else { 0.0 },
            credit: 0.0,
        });
        Self {
            ident: digest(&[b"route", ordered.name.as_bytes()]),
            parts: parts.collect(),
            service_time: learned.unwrap_or(ordered.target_latency.0 as f64 * ASSUMED_PART),
            order: ordered.clone(),
        }
    }
}

impl Routes {
    /// Takes over the routes of a table; `service` finds services by name.
    ///
    /// Routes of names that stay keep their keys, on which calls in progress rely, and the usual
    /// times that were learned.
    pub fn adopt(&mut self, table: &Table, mut service: impl FnMut(&str) -> key::Service) {
        let mut before = std::mem::take(&mut self.names);
        self.hosts.clear();
        for ordered in &table.routes {
            let known = before.remove(&ordered.name);
            let learned = known.map(|key| self.arena[key].service_time);
            let route = Route::new(ordered, learned, &mut service);
            let key = match known {
                Some(key) => {
                    self.arena[key] = route;
                    key
                }
                None => self.arena.insert(route),
            };
            self.names.insert(ordered.name.clone(), key);
            self.hosts.entry(ordered.host.clone()).or_default().push(key);
        }
        for gone in before.into_values() {
            self.arena.remove(gone);
        }
        let arena = &self.arena;
        for keys in self.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(arena[*key].order.prefix.len()));
        }
    }

    /// Finds the route of a request by its host, without a port, and its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<key::Route> {
        let keys = self.hosts.get(host)?;
        keys.iter().copied().find(|key| path.starts_with(&self.arena[*key].order.prefix))
    }

    /// Chooses the service of the next request: the one that is furthest behind its share.
    pub fn choose(&mut self, key: key::Route) -> Option<key::Service> {
        let parts = &mut self.arena.get_mut(key)?.parts;
        for part in parts.iter_mut() {
            part.credit += part.share;
        }
        let best = parts.iter_mut().max_by(|one, other| one.credit.total_cmp(&other.credit))?;
        best.credit -= 1.0;
        Some(best.service)
    }

    /// Takes in how long the work of a request took at the usual pace, in microseconds.
    pub fn sample(&mut self, key: key::Route, time: f64) {
        if let Some(route) = self.arena.get_mut(key) {
            route.service_time += TIME_GAIN * (time - route.service_time);
        }
    }
}
