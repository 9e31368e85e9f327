//! Which route a request takes and which service of it.

use std::collections::BTreeMap;

use base::prelude::*;
use model::table::{Kind, Table};
use slotmap::SlotMap;

record! {
    /// A route with its services resolved.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// Identity that is equal on every node.
        pub ident: u64,
        /// The start of the path.
        pub prefix: String,
        /// Whether requests may run more than once.
        pub kind: Kind,
        /// Longest time that a caller is kept waiting.
        pub timeout: Span,
        /// Time within which an answer is worth most.
        pub target: Span,
        /// Upstreams to which one request may go.
        pub attempts: u32,
        /// Rank; zero is the most urgent.
        pub rank: u32,
        /// Services with their weights.
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
}

impl Routes {
    /// Makes the routes of a table; `service` finds services by name.
    ///
    /// Usual times that were learned before stay with routes of the same name.
    pub fn adopt(&mut self, table: &Table, mut service: impl FnMut(&str) -> key::Service) {
        let before: BTreeMap<String, f64> =
            self.arena.values().map(|route| (route.name.clone(), route.service_time)).collect();
        self.arena.clear();
        self.hosts.clear();
        for route in &table.routes {
            let sum: f64 = route.parts.iter().map(|part| part.weight).sum();
            let parts = route.parts.iter().map(|part| Part {
                service: service(&part.service),
                share: if sum > 0.0 { part.weight / sum } else { 0.0 },
                credit: 0.0,
            });
            let assumed = route.target.0 as f64 * ASSUMED_PART;
            let key = self.arena.insert(Route {
                name: route.name.clone(),
                ident: base::hash::digest(&[b"route", route.name.as_bytes()]),
                prefix: route.prefix.clone(),
                kind: route.kind,
                timeout: route.timeout,
                target: route.target,
                attempts: route.attempts.max(1),
                rank: route.rank,
                parts: parts.collect(),
                service_time: before.get(&route.name).copied().unwrap_or(assumed),
            });
            self.hosts.entry(route.host.clone()).or_default().push(key);
        }
        let arena = &self.arena;
        for keys in self.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(arena[*key].prefix.len()));
        }
    }

    /// Finds the route of a request by its host, without a port, and its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<key::Route> {
        let keys = self.hosts.get(host)?;
        keys.iter().copied().find(|key| path.starts_with(&self.arena[*key].prefix))
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
