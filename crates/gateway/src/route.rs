//! Routes of the table: which route and which service a request gets.

use std::collections::BTreeMap;

use base::hash::digest;
use base::prelude::*;
use model::table::{self, Table};
use slotmap::SlotMap;

record! {
    /// A route with its services resolved to keys.
    pub struct Route {
        /// The route as the table defines it.
        pub spec: table::Route,
        /// Identity that is equal on every node.
        pub ident: u64,
        /// Services with their shares of the requests.
        pub parts: Vec<Part>,
        /// Moving average of the service time at usual speed, in microseconds.
        pub service_time: f64,
    }

    /// Share of one service in the requests of a route.
    #[derive(Copy)]
    pub struct Part {
        /// Service that gets the requests.
        pub service: key::Service,
        /// Its weight divided by the sum of weights.
        pub share: f64,
        /// Requests by which it is behind its share.
        pub deficit: f64,
    }
}

/// Service time that is assumed before the first sample, as a part of the target latency.
const INITIAL_PART: f64 = 0.35;
/// Weight of a new sample in the moving average of the service time.
const TIME_WEIGHT: f64 = 0.05;

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// All routes.
    pub arena: SlotMap<key::Route, Route>,
    hosts: BTreeMap<String, Vec<key::Route>>,
    names: BTreeMap<String, key::Route>,
}

impl Route {
    fn new(
        spec: &table::Route,
        service_time: Option<f64>,
        service: &mut impl FnMut(&str) -> key::Service,
    ) -> Self {
        let sum: f64 = spec.parts.iter().map(|part| part.weight).sum();
        let parts = spec.parts.iter().map(|part| Part {
            service: service(&part.service),
            share: if sum > 0.0 { part.weight / sum } else { 0.0 },
            deficit: 0.0,
        });
        Self {
            ident: digest(&[b"route", spec.name.as_bytes()]),
            parts: parts.collect(),
            service_time: service_time.unwrap_or(spec.target_latency.0 as f64 * INITIAL_PART),
            spec: spec.clone(),
        }
    }
}

impl Routes {
    /// Replaces the routes by those of a table; `service` finds services by name.
    ///
    /// A route whose name was known before keeps its key, on which calls in progress rely, and its
    /// average service time.
    pub fn apply_table(&mut self, table: &Table, mut service: impl FnMut(&str) -> key::Service) {
        let mut before = std::mem::take(&mut self.names);
        self.hosts.clear();
        for spec in &table.routes {
            let known = before.remove(&spec.name);
            let service_time = known.map(|key| self.arena[key].service_time);
            let route = Route::new(spec, service_time, &mut service);
            let key = match known {
                Some(key) => {
                    self.arena[key] = route;
                    key
                }
                None => self.arena.insert(route),
            };
            self.names.insert(spec.name.clone(), key);
            self.hosts.entry(spec.host.clone()).or_default().push(key);
        }
        for removed in before.into_values() {
            self.arena.remove(removed);
        }
        let arena = &self.arena;
        for keys in self.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(arena[*key].spec.prefix.len()));
        }
    }

    /// Finds the route of a request by its host, without a port, and its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<key::Route> {
        let keys = self.hosts.get(host)?;
        keys.iter().copied().find(|key| path.starts_with(&self.arena[*key].spec.prefix))
    }

    /// Chooses the service of the next request by weighted round-robin: the one that is furthest
    /// behind its share.
    pub fn choose_service(&mut self, key: key::Route) -> Option<key::Service> {
        let parts = &mut self.arena.get_mut(key)?.parts;
        for part in parts.iter_mut() {
            part.deficit += part.share;
        }
        let next = parts.iter_mut().max_by(|a, b| a.deficit.total_cmp(&b.deficit))?;
        next.deficit -= 1.0;
        Some(next.service)
    }

    /// Updates the average service time with a sample in microseconds, corrected for slowdown.
    pub fn record_service_time(&mut self, key: key::Route, time: f64) {
        if let Some(route) = self.arena.get_mut(key) {
            route.service_time += TIME_WEIGHT * (time - route.service_time);
        }
    }
}
