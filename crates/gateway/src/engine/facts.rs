//! Taking in what the store says.

use std::collections::btree_map;

use base::prelude::*;
use model::registry::{self, Fact, Kind, Phase};
use model::table::Table;

use super::{Domain, Engine, Note, Output, Service, Version};
use crate::budget::Budget;
use crate::gauge::Gauge;
use crate::message::Frame;
use crate::upstream::{Event, State, Upstream};
use crate::view::{Batch, Delta, Gap, View};

/// Time for which entries that vanished while the store was away may come back.
const LAPSE: Span = Span::millis(2_200);
/// Time after which a version without an order gets traffic like any other.
const UNORDERED: Span = Span::seconds(5);
/// Questions for health that an upstream's first moments may take.
const FIRST_PROBES: f64 = 4.0;

impl Engine {
    /// Takes in facts that this node read from the store, and tells the others.
    pub(super) fn read_facts(
        &mut self,
        now: Moment,
        kind: Kind,
        batch: &Batch,
        asked_at: Moment,
        out: &mut Vec<Output>,
    ) {
        let first = self.view_at(kind) == 0;
        let changed = self.views.get(&kind).map_or(0, |view| view.changed);
        if let Ok(delta) = self.take_facts(now, kind, batch, out)
            && !first
            && delta != Delta::default()
        {
            // Nothing has changed since the last change, so nodes that know that one can follow.
            let after = batch.after.map(|after| after.min(changed));
            let frame = Frame::Facts { kind, batch: Batch { after, ..batch.clone() } };
            self.tell_all(now, &frame, out);
        }
        self.views.entry(kind).or_default().prove(asked_at);
    }

    /// Notes that the store has nothing newer.
    pub(super) fn read_current(
        &mut self,
        now: Moment,
        kind: Kind,
        at: u64,
        asked_at: Moment,
        out: &mut Vec<Output>,
    ) {
        let view = self.views.entry(kind).or_default();
        if view.at == 0 {
            return;
        }
        view.advance(at);
        view.prove(asked_at);
        if kind == Kind::Upstreams && self.members.is_reader(now) {
            self.beat(now, out);
        }
    }

    /// Takes in facts from wherever they come.
    pub(super) fn take_facts(
        &mut self,
        now: Moment,
        kind: Kind,
        batch: &Batch,
        out: &mut Vec<Output>,
    ) -> Result<Delta, Gap> {
        let view = self.views.entry(kind).or_default();
        let at = view.at;
        if batch.outage && kind == Kind::Upstreams && batch.at >= at {
            self.lapse_until = now + LAPSE;
        }
        let applied = view.apply(batch);
        match &applied {
            Ok(delta) => {
                self.take_kind(now, kind, delta, batch.at, out);
                self.establish_present();
            }
            Err(Gap) => out.push(Output::Note(Note::Gap { kind, at })),
        }
        applied
    }

    fn take_kind(
        &mut self,
        now: Moment,
        kind: Kind,
        delta: &Delta,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        match kind {
            Kind::Table => self.take_table(now, out),
            Kind::Upstreams => self.take_upstreams(now, delta, revision, out),
            Kind::Rollouts => self.take_rollouts(now, delta, out),
            Kind::Withdrawals => self.take_withdrawals(now, delta, revision, out),
            Kind::Members => self.take_members(delta, out),
        }
    }

    /// Lets every version that is there when this node first knows upstreams and rollouts get
    /// traffic, but for those that a rollout names: which of them came first is not known.
    fn establish_present(&mut self) {
        let known = self.view_at(Kind::Upstreams) > 0 && self.view_at(Kind::Rollouts) > 0;
        if self.versions_known || !known {
            return;
        }
        self.versions_known = true;
        for service in self.services.values_mut() {
            let target = service.trial.as_ref().map(|trial| trial.target);
            let present = service.upstreams.iter().map(|at| self.upstreams[*at].version);
            service.established.extend(present);
            service.established.retain(|version| Some(*version) != target);
        }
    }

    fn take_table(&mut self, now: Moment, out: &mut Vec<Output>) {
        let tables = self.views.get(&Kind::Table).into_iter().flat_map(View::facts);
        let tables = tables.filter_map(|(_, fact)| match fact {
            Fact::Table(table) => Some(table),
            _ => None,
        });
        let Some(table) = tables.max_by_key(|table| table.version).cloned() else { return };
        // An older table may come from a node that was cut off; what is in force never reverts.
        if table.version <= self.table_version {
            return;
        }
        self.table_version = table.version;
        self.limits = table.limits;
        self.adopt_services(&table);
        let mut routes = std::mem::take(&mut self.routes);
        routes.adopt(&table, |name| self.service(name));
        self.routes = routes;
        self.drop_unrouted(now, out);
        out.push(Output::Note(Note::Table { version: table.version, routes: table.routes.len() }));
    }

    fn adopt_services(&mut self, table: &Table) {
        for named in &table.services {
            let key = self.service(&named.name);
            let service = &mut self.services[key];
            service.health.clone_from(&named.health_path);
            service.connections = named.max_connections;
            service.cold_rate = named.cold_rate;
        }
    }

    /// Refuses calls whose routes are gone before they were sent anywhere.
    fn drop_unrouted(&mut self, now: Moment, out: &mut Vec<Output>) {
        let unrouted = self.calls.iter().filter(|(_, call)| !call.may_have_run && call.live == 0);
        let keys: Vec<key::Call> = unrouted
            .filter(|(_, call)| !self.routes.arena.contains_key(call.route))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.refuse(now, key, super::Refusal::NoUpstream, out);
        }
    }

    /// Returns the key of a service, which a table or an upstream may name first.
    pub(super) fn service(&mut self, name: &str) -> key::Service {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let key = self.services.insert(Service {
            name: name.to_owned(),
            health: "/health".to_owned(),
            connections: u32::MAX,
            cold_rate: 1.0,
            upstreams: Vec::new(),
            budget: Budget::default(),
            trial: None,
            banned: Default::default(),
            established: Default::default(),
        });
        self.service_names.insert(name.to_owned(), key);
        key
    }

    fn domain(&mut self, name: &str) -> key::Domain {
        let known = self.domain_names.get(name).copied();
        known.unwrap_or_else(|| {
            let key = self.domains.insert(Domain { name: name.to_owned(), withdrawn: false });
            self.domain_names.insert(name.to_owned(), key);
            key
        })
    }

    pub(super) fn version(&mut self, now: Moment, at: key::Service, name: &str) -> key::Version {
        match self.version_names.entry((at, name.to_owned())) {
            btree_map::Entry::Occupied(known) => *known.get(),
            btree_map::Entry::Vacant(vacant) => {
                let version = Version { name: name.to_owned(), seen_at: now };
                *vacant.insert(self.versions.insert(version))
            }
        }
    }

    fn take_upstreams(&mut self, now: Moment, delta: &Delta, revision: u64, out: &mut Vec<Output>) {
        for name in &delta.removed {
            if now < self.lapse_until {
                self.lapsed.insert(name.clone());
                out.push(Output::Note(Note::Lapsed { id: name.clone() }));
            } else {
                self.depart(now, name, revision, out);
            }
        }
        for name in &delta.changed {
            let view = self.views.get(&Kind::Upstreams);
            let Some(Fact::Upstream(entry)) = view.and_then(|view| view.get(name)) else {
                continue;
            };
            let entry = entry.clone();
            self.lapsed.remove(name);
            self.take_upstream(now, &entry, revision, out);
        }
    }

    fn take_upstream(
        &mut self,
        now: Moment,
        entry: &registry::Upstream,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        let known = self.upstream_ids.get(&entry.id).copied();
        let key = match known {
            Some(key) if self.is_same(key, entry) => key,
            Some(_) => {
                self.depart(now, &entry.id, revision, out);
                self.register(now, entry, revision, out)
            }
            None => self.register(now, entry, revision, out),
        };
        self.upstreams[key].slots = entry.slots;
        if entry.state == registry::State::Draining {
            self.upstream_event(now, key, Event::Draining, out);
        } else if entry.cold_remaining > Span::ZERO && known == Some(key) {
            self.upstreams[key].cold_until = now + entry.cold_remaining;
            self.upstream_event(now, key, Event::SeenCold, out);
        }
    }

    /// Tells whether an entry is of the same start at the same place.
    fn is_same(&self, key: key::Upstream, entry: &registry::Upstream) -> bool {
        let upstream = &self.upstreams[key];
        let service = self.services.get(upstream.service).map(|one| one.name.as_str());
        upstream.ident == entry.ident()
            && upstream.address == entry.address
            && service == Some(entry.service.as_str())
            && self.versions[upstream.version].name == entry.version
            // One that has said that it leaves may not take that back.
            && (upstream.state != State::Draining || entry.state == registry::State::Draining)
    }

    fn register(
        &mut self,
        now: Moment,
        entry: &registry::Upstream,
        revision: u64,
        out: &mut Vec<Output>,
    ) -> key::Upstream {
        let service = self.service(&entry.service);
        let version = self.version(now, service, &entry.version);
        let domain = self.domain(&entry.domain);
        let key = self.upstreams.insert(Upstream {
            id: entry.id.clone(),
            ident: entry.ident(),
            service,
            version,
            domain,
            address: entry.address,
            slots: entry.slots.max(1),
            state: self.charts.upstream.initial(),
            gauge: Gauge::default(),
            cold_until: now + entry.cold_remaining,
            sends: Default::default(),
            rest: Upstream::first_rest(),
            rested_at: now,
            full_until: now,
            ill: false,
            probe: None,
            probe_tokens: FIRST_PROBES,
            probe_refilled: now,
            run: 0,
        });
        self.upstream_ids.insert(entry.id.clone(), key);
        self.services[service].upstreams.push(key);
        if self.services[service].established.is_empty() {
            self.services[service].established.insert(version);
        }
        out.push(Output::Note(Note::Registered {
            id: entry.id.clone(),
            version: entry.version.clone(),
            domain: entry.domain.clone(),
            revision,
        }));
        key
    }

    /// Sends an upstream nothing more, as its entry is gone.
    fn depart(&mut self, now: Moment, id: &str, revision: u64, out: &mut Vec<Output>) {
        let Some(key) = self.upstream_ids.remove(id) else { return };
        self.upstream_event(now, key, Event::Draining, out);
        let service = self.upstreams[key].service;
        self.services[service].upstreams.retain(|one| *one != key);
        self.departed.push(key);
        out.push(Output::Retire { upstream: key });
        out.push(Output::Note(Note::Departed { id: id.to_owned(), revision }));
    }

    /// Lets entries go at once, as only this node has lost the store and not the upstreams.
    pub(super) fn cancel_lapses(&mut self, now: Moment, out: &mut Vec<Output>) {
        if now < self.lapse_until {
            self.lapse_until = now;
            self.end_lapses(now, out);
        }
    }

    /// Lets entries go that have not come back since the store has.
    pub(super) fn end_lapses(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.lapsed.is_empty() || now < self.lapse_until {
            return;
        }
        let revision = self.view_at(Kind::Upstreams);
        for id in std::mem::take(&mut self.lapsed) {
            self.depart(now, &id, revision, out);
        }
    }

    /// Lets versions get traffic that are there for a while without an order.
    pub(super) fn establish(&mut self, now: Moment) {
        for service in self.services.values_mut() {
            for key in &service.upstreams {
                let version = self.upstreams[*key].version;
                let ordered = service.trial.as_ref().is_some_and(|trial| trial.target == version);
                if !ordered
                    && !service.banned.contains(&version)
                    && now.since(self.versions[version].seen_at) >= UNORDERED
                {
                    service.established.insert(version);
                }
            }
        }
    }

    fn take_withdrawals(
        &mut self,
        now: Moment,
        delta: &Delta,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        let changed = delta.changed.iter().map(|name| (name, true));
        let removed = delta.removed.iter().map(|name| (name, false));
        for (name, withdrawn) in changed.chain(removed) {
            let key = self.domain(name);
            self.domains[key].withdrawn = withdrawn;
            let domain = name.clone();
            out.push(Output::Note(Note::Withdrawal { domain, withdrawn, revision }));
            if !withdrawn {
                // Its upstreams may have started anew meanwhile.
                let inside = self.upstreams.iter().filter(|(_, one)| one.domain == key);
                let inside: Vec<key::Upstream> = inside.map(|(at, _)| at).collect();
                for at in inside {
                    self.upstream_event(now, at, Event::Stale, out);
                }
            }
        }
    }

    fn take_members(&mut self, delta: &Delta, out: &mut Vec<Output>) {
        for name in &delta.changed {
            let view = self.views.get(&Kind::Members);
            let Some(Fact::Member(member)) = view.and_then(|view| view.get(name)) else { continue };
            let member = member.clone();
            self.learn(&member, out);
        }
    }

    /// Takes one event of an upstream.
    pub(super) fn upstream_event(
        &mut self,
        now: Moment,
        key: key::Upstream,
        event: Event,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let before = upstream.state;
        upstream.step(&self.charts.upstream, now, event);
        if upstream.state == before {
            return;
        }
        if matches!(event, Event::Unreachable | Event::Draining) {
            out.push(Output::Retire { upstream: key });
        }
        // Proving again and again is part of the daily round.
        let usual = matches!(event, Event::Stale | Event::Rested | Event::Proven);
        if !usual {
            out.push(Output::Note(Note::Upstream {
                id: upstream.id.clone(),
                state: upstream.state,
                before,
                cause: event,
                heard_ms: upstream.gauge.heard_age(now).map(Span::as_millis),
            }));
        }
    }

    /// Ages what is known of upstreams, and forgets those that are gone.
    pub(super) fn age_upstreams(&mut self, now: Moment, out: &mut Vec<Output>) {
        /// Silence after which an upstream has to answer before it gets a request.
        const STALE: Span = Span::millis(1_000);
        let keys: Vec<key::Upstream> = self.upstreams.keys().collect();
        for key in keys {
            let upstream = &self.upstreams[key];
            let silent = now.since(upstream.gauge.heard_at) >= STALE;
            if upstream.is_rested(now) {
                self.upstream_event(now, key, Event::Rested, out);
                // Its requests may have broken it; its answer, or its silence, tells.
                if self.accused.contains_key(key) {
                    self.probe(now, key, out);
                }
            } else if silent && matches!(upstream.state, State::Warm | State::Cold) {
                self.upstream_event(now, key, Event::Stale, out);
            }
        }
        let upstreams = &mut self.upstreams;
        self.departed.retain(|key| {
            let done = upstreams.get(*key).is_none_or(|one| one.gauge.own == 0);
            if done {
                upstreams.remove(*key);
            }
            !done
        });
    }

    fn take_rollouts(&mut self, now: Moment, delta: &Delta, out: &mut Vec<Output>) {
        for name in &delta.changed {
            let view = self.views.get(&Kind::Rollouts);
            if let Some(Fact::Rollout(rollout)) = view.and_then(|view| view.get(name)) {
                let rollout = rollout.clone();
                self.take_rollout(now, &rollout, out);
            }
        }
    }

    fn take_rollout(&mut self, now: Moment, rollout: &registry::Rollout, out: &mut Vec<Output>) {
        let service = self.service(&rollout.service);
        let target = self.version(now, service, &rollout.target);
        match rollout.phase {
            Phase::Running => self.start_trial(now, service, target, rollout, out),
            phase => self.settle_trial(now, service, target, phase, out),
        }
    }
}
