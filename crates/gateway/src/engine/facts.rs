//! Application of facts from the store: the routing table, upstreams, members, rollouts and
//! withdrawals.
//!
//! Facts come from this node's own watch of the store or in frames from other nodes.

use std::collections::btree_map;

use base::prelude::*;
use model::registry::{self, Fact, Kind, Member, Phase};
use model::table::Table;

use super::{Domain, Engine, Note, Output, Service, Version};
use crate::budget::Budget;
use crate::gauge::Gauge;
use crate::message::Frame;
use crate::upstream::{Event, State, Upstream};
use crate::view::{Batch, Delta, Gap, View};

/// Time for which the removal of upstreams that vanished during a store outage is delayed, because
/// their entries may come back.
const REMOVAL_GRACE: Span = Span::millis(2_200);
/// Time after which a version that no rollout names gets traffic like any other.
const NO_ROLLOUT_DELAY: Span = Span::seconds(5);
/// Number of health checks that a newly registered upstream may get at once.
const INITIAL_PROBES: f64 = 4.0;

impl Engine {
    /// Applies facts that this node read from the store, and broadcasts them if they change
    /// anything.
    pub(super) fn on_facts(
        &mut self,
        now: Moment,
        kind: Kind,
        batch: &Batch,
        asked_at: Moment,
        out: &mut Vec<Output>,
    ) {
        if kind == Kind::Members {
            return self.contact_listed(now, listed_members(batch), out);
        }
        let initial = self.view_revision(kind) == 0;
        let changed = self.views.get(&kind).map_or(0, |view| view.changed_revision);
        if let Ok(delta) = self.apply_facts(now, kind, batch, out)
            && !initial
            && delta != Delta::default()
        {
            // Nothing changed between the last change and this batch, so nodes that know the last
            // change can apply the batch too.
            let after = batch.after.map(|after| after.min(changed));
            let frame = Frame::Facts { kind, batch: Batch { after, ..batch.clone() } };
            self.broadcast(now, &frame, out);
        }
        self.views.entry(kind).or_default().confirm(asked_at);
        if kind == Kind::Upstreams {
            self.report_confirmation(now, None, out);
        }
    }

    /// Records that the store has nothing newer of a kind.
    ///
    /// If this node watches the store for all, it reports the confirmation to the others at once.
    pub(super) fn on_current(
        &mut self,
        now: Moment,
        kind: Kind,
        revision: u64,
        asked_at: Moment,
        out: &mut Vec<Output>,
    ) {
        let view = self.views.entry(kind).or_default();
        if view.revision == 0 {
            return;
        }
        view.advance(revision);
        view.confirm(asked_at);
        if kind == Kind::Upstreams {
            self.report_confirmation(now, None, out);
        }
    }

    /// Applies facts, whether read from the store or received from another node.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if changes between the known facts and the batch are missing.
    pub(super) fn apply_facts(
        &mut self,
        now: Moment,
        kind: Kind,
        batch: &Batch,
        out: &mut Vec<Output>,
    ) -> Result<Delta, Gap> {
        let view = self.views.entry(kind).or_default();
        let at = view.revision;
        if batch.after_outage && kind == Kind::Upstreams && batch.revision >= at {
            self.removal_grace_until = now + REMOVAL_GRACE;
        }
        let result = view.apply(batch);
        match &result {
            Ok(delta) => {
                self.apply_kind(now, kind, delta, batch.revision, out);
                self.establish_initial_versions();
            }
            Err(Gap) => out.push(Output::Note(Note::Gap { kind, at })),
        }
        result
    }

    fn apply_kind(
        &mut self,
        now: Moment,
        kind: Kind,
        delta: &Delta,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        match kind {
            Kind::Table => self.apply_table(now, out),
            Kind::Upstreams => self.apply_upstreams(now, delta, revision, out),
            Kind::Rollouts => self.apply_rollouts(now, delta, out),
            Kind::Withdrawals => self.apply_withdrawals(now, delta, revision, out),
            // The store lists members only for nodes that know no other.
            Kind::Members => {}
        }
    }

    /// Establishes every version that is present when this node first knows both upstreams and
    /// rollouts, except the targets of running rollouts: which of the versions came first is not
    /// known.
    fn establish_initial_versions(&mut self) {
        let known =
            self.view_revision(Kind::Upstreams) > 0 && self.view_revision(Kind::Rollouts) > 0;
        if self.versions_known || !known {
            return;
        }
        self.versions_known = true;
        for service in self.services.values_mut() {
            let target = service.trial.as_ref().map(|trial| trial.target);
            let present = service.upstreams.iter().map(|key| self.upstreams[*key].version);
            service.established.extend(present);
            service.established.retain(|version| Some(*version) != target);
        }
    }

    fn apply_table(&mut self, now: Moment, out: &mut Vec<Output>) {
        let tables = self.views.get(&Kind::Table).into_iter().flat_map(View::facts);
        let tables = tables.filter_map(|(_, fact)| match fact {
            Fact::Table(table) => Some(table),
            _ => None,
        });
        let Some(table) = tables.max_by_key(|table| table.version).cloned() else { return };
        // An older table may come from a node that was partitioned; the table in force is never
        // reverted.
        if table.version <= self.table_version {
            return;
        }
        self.table_version = table.version;
        self.limits = table.limits;
        self.apply_services(&table);
        let mut routes = std::mem::take(&mut self.routes);
        routes.apply_table(&table, |name| self.service_key(name));
        self.routes = routes;
        self.refuse_unrouted(now, out);
        out.push(Output::Note(Note::Table { version: table.version, routes: table.routes.len() }));
    }

    fn apply_services(&mut self, table: &Table) {
        for listed in &table.services {
            let key = self.service_key(&listed.name);
            let service = &mut self.services[key];
            service.health_path.clone_from(&listed.health_path);
            service.max_connections = listed.max_connections;
            service.cold_rate = listed.cold_rate;
        }
    }

    /// Refuses the calls whose route was removed, unless an exchange is in flight or may have run
    /// the request.
    fn refuse_unrouted(&mut self, now: Moment, out: &mut Vec<Output>) {
        let unrouted =
            self.calls.iter().filter(|(_, call)| !call.may_have_run && call.in_flight == 0);
        let keys: Vec<key::Call> = unrouted
            .filter(|(_, call)| !self.routes.arena.contains_key(call.route))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.refuse(now, key, super::Refusal::NoUpstream, out);
        }
    }

    /// Returns the key of a service, which a table, an upstream or a rollout may be the first to
    /// name.
    pub(super) fn service_key(&mut self, name: &str) -> key::Service {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let key = self.services.insert(Service {
            name: name.to_owned(),
            health_path: "/health".to_owned(),
            max_connections: u32::MAX,
            cold_rate: 1.0,
            upstreams: Vec::new(),
            budget: Budget::default(),
            trial: None,
            rolled_back: Default::default(),
            established: Default::default(),
        });
        self.service_names.insert(name.to_owned(), key);
        key
    }

    fn domain_key(&mut self, name: &str) -> key::Domain {
        let known = self.domain_names.get(name).copied();
        known.unwrap_or_else(|| {
            let key = self.domains.insert(Domain { name: name.to_owned(), withdrawn: false });
            self.domain_names.insert(name.to_owned(), key);
            key
        })
    }

    pub(super) fn version_key(
        &mut self,
        now: Moment,
        service: key::Service,
        name: &str,
    ) -> key::Version {
        match self.version_names.entry((service, name.to_owned())) {
            btree_map::Entry::Occupied(known) => *known.get(),
            btree_map::Entry::Vacant(vacant) => {
                let version = Version { name: name.to_owned(), seen_at: now };
                *vacant.insert(self.versions.insert(version))
            }
        }
    }

    fn apply_upstreams(
        &mut self,
        now: Moment,
        delta: &Delta,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        for name in &delta.removed {
            if now < self.removal_grace_until {
                self.pending_removals.insert(name.clone());
                out.push(Output::Note(Note::Lapsed { id: name.clone() }));
            } else {
                self.deregister(now, name, revision, out);
            }
        }
        for name in &delta.changed {
            let view = self.views.get(&Kind::Upstreams);
            let Some(Fact::Upstream(entry)) = view.and_then(|view| view.get(name)) else {
                continue;
            };
            let entry = entry.clone();
            self.pending_removals.remove(name);
            self.apply_upstream(now, &entry, revision, out);
        }
    }

    fn apply_upstream(
        &mut self,
        now: Moment,
        entry: &registry::Upstream,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        let known = self.upstream_ids.get(&entry.id).copied();
        let key = match known {
            Some(key) if self.is_same_process(key, entry) => key,
            Some(_) => {
                self.deregister(now, &entry.id, revision, out);
                self.register(now, entry, revision, out)
            }
            None => self.register(now, entry, revision, out),
        };
        self.upstreams[key].slots = entry.slots;
        if entry.state == registry::State::Draining || self.departures.contains(entry.ident()) {
            self.apply_upstream_event(now, key, Event::Draining, out);
        } else if entry.cold_remaining > Span::ZERO && known == Some(key) {
            self.upstreams[key].cold_until = now + entry.cold_remaining;
            self.apply_upstream_event(now, key, Event::SeenCold, out);
        }
    }

    /// Returns whether an entry belongs to the same process of an upstream, at the same address.
    fn is_same_process(&self, key: key::Upstream, entry: &registry::Upstream) -> bool {
        let upstream = &self.upstreams[key];
        let service = self.services.get(upstream.service).map(|service| service.name.as_str());
        upstream.ident == entry.ident()
            && upstream.address == entry.address
            && service == Some(entry.service.as_str())
            && self.versions[upstream.version].name == entry.version
            // A process that has announced its drain cannot revoke it. Entries without a start time
            // do not tell processes apart, so a ready one may belong to a new process.
            && (upstream.state != State::Draining
                || entry.state == registry::State::Draining
                || entry.started_ms > 0
                || self.departures.contains(upstream.ident))
    }

    fn register(
        &mut self,
        now: Moment,
        entry: &registry::Upstream,
        revision: u64,
        out: &mut Vec<Output>,
    ) -> key::Upstream {
        let service = self.service_key(&entry.service);
        let version = self.version_key(now, service, &entry.version);
        let domain = self.domain_key(&entry.domain);
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
            back_off: Upstream::initial_back_off(),
            back_off_until: now,
            full_until: now,
            paused_until: now,
            unhealthy: false,
            probe_started_at: None,
            probe_tokens: INITIAL_PROBES,
            probe_refilled_at: now,
            consecutive_failures: 0,
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

    /// Removes an upstream whose entry is gone.
    ///
    /// Its exchanges in progress continue; it gets no new ones.
    fn deregister(&mut self, now: Moment, id: &str, revision: u64, out: &mut Vec<Output>) {
        let Some(key) = self.upstream_ids.remove(id) else { return };
        self.apply_upstream_event(now, key, Event::Draining, out);
        let service = self.upstreams[key].service;
        self.services[service].upstreams.retain(|other| *other != key);
        self.deregistered.push(key);
        out.push(Output::CloseIdle { upstream: key });
        out.push(Output::Note(Note::Departed { id: id.to_owned(), revision }));
    }

    /// Applies the pending removals at once: only this node had lost the store, while the upstreams
    /// could renew their entries.
    pub(super) fn end_removal_grace(&mut self, now: Moment, out: &mut Vec<Output>) {
        if now < self.removal_grace_until {
            self.removal_grace_until = now;
            self.apply_pending_removals(now, out);
        }
    }

    /// Removes the upstreams whose entries have not come back within the grace time.
    pub(super) fn apply_pending_removals(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.pending_removals.is_empty() || now < self.removal_grace_until {
            return;
        }
        let revision = self.view_revision(Kind::Upstreams);
        for id in std::mem::take(&mut self.pending_removals) {
            self.deregister(now, &id, revision, out);
        }
    }

    /// Establishes versions that have been present for a while without a rollout.
    pub(super) fn establish_versions(&mut self, now: Moment) {
        for service in self.services.values_mut() {
            for key in &service.upstreams {
                let version = self.upstreams[*key].version;
                let on_trial = service.trial.as_ref().is_some_and(|trial| trial.target == version);
                if !on_trial
                    && !service.rolled_back.contains(&version)
                    && now.since(self.versions[version].seen_at) >= NO_ROLLOUT_DELAY
                {
                    service.established.insert(version);
                }
            }
        }
    }

    fn apply_withdrawals(
        &mut self,
        now: Moment,
        delta: &Delta,
        revision: u64,
        out: &mut Vec<Output>,
    ) {
        let changed = delta.changed.iter().map(|name| (name, true));
        let removed = delta.removed.iter().map(|name| (name, false));
        for (name, withdrawn) in changed.chain(removed) {
            let key = self.domain_key(name);
            self.domains[key].withdrawn = withdrawn;
            let domain = name.clone();
            out.push(Output::Note(Note::Withdrawal { domain, withdrawn, revision }));
            if !withdrawn {
                // Upstreams of the domain may have restarted during the withdrawal.
                let upstreams =
                    self.upstreams.iter().filter(|(_, upstream)| upstream.domain == key);
                let upstreams: Vec<key::Upstream> =
                    upstreams.map(|(upstream, _)| upstream).collect();
                for upstream in upstreams {
                    self.apply_upstream_event(now, upstream, Event::Stale, out);
                }
            }
        }
    }

    /// Applies an event to an upstream's state, and logs the change unless it is routine.
    pub(super) fn apply_upstream_event(
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
            out.push(Output::CloseIdle { upstream: key });
        }
        // Upstreams become stale and are confirmed again all the time.
        let routine = matches!(event, Event::Stale | Event::BackOffEnded | Event::Proven);
        if !routine {
            out.push(Output::Note(Note::Upstream {
                id: upstream.id.clone(),
                state: upstream.state,
                before,
                cause: event,
                heard_ms: upstream.gauge.answer_age(now).map(Span::as_millis),
            }));
        }
    }

    /// Ends back-offs, marks silent upstreams as stale, and removes deregistered upstreams without
    /// exchanges.
    pub(super) fn refresh_upstreams(&mut self, now: Moment, out: &mut Vec<Output>) {
        /// Silence after which an upstream needs a successful health check before it gets a
        /// request.
        const STALE: Span = Span::millis(1_000);
        let keys: Vec<key::Upstream> = self.upstreams.keys().collect();
        for key in keys {
            let upstream = &self.upstreams[key];
            let silent = now.since(upstream.gauge.answered_at) >= STALE;
            if upstream.is_back_off_over(now) {
                self.apply_upstream_event(now, key, Event::BackOffEnded, out);
                // Requests in flight may have crashed it; the health check shows whether it is
                // still there.
                if self.interrupted_requests.contains_key(key) {
                    self.probe(now, key, out);
                }
            } else if silent && matches!(upstream.state, State::Warm | State::Cold) {
                self.apply_upstream_event(now, key, Event::Stale, out);
            }
        }
        let upstreams = &mut self.upstreams;
        self.deregistered.retain(|key| {
            let idle = upstreams.get(*key).is_none_or(|upstream| upstream.gauge.in_flight == 0);
            if idle {
                upstreams.remove(*key);
            }
            !idle
        });
    }

    fn apply_rollouts(&mut self, now: Moment, delta: &Delta, out: &mut Vec<Output>) {
        for name in &delta.changed {
            let view = self.views.get(&Kind::Rollouts);
            if let Some(Fact::Rollout(rollout)) = view.and_then(|view| view.get(name)) {
                let rollout = rollout.clone();
                self.apply_rollout(now, &rollout, out);
            }
        }
    }

    fn apply_rollout(&mut self, now: Moment, rollout: &registry::Rollout, out: &mut Vec<Output>) {
        let service = self.service_key(&rollout.service);
        let target = self.version_key(now, service, &rollout.target);
        match rollout.phase {
            Phase::Running => self.start_trial(now, service, target, rollout, out),
            phase => self.finish_trial(now, service, target, phase, out),
        }
    }
}

/// Returns the members that a batch lists.
fn listed_members(batch: &Batch) -> Vec<Member> {
    let members = batch.items.iter().filter_map(|item| match &item.fact {
        Some(Fact::Member(member)) => Some(member.clone()),
        _ => None,
    });
    members.collect()
}
