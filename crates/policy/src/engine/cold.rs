//! Calls to upstreams in a cold start, which their owner limits over all entries.
//!
//! Each upstream has one owner among the entries. While the upstream is cold, an entry may send a
//! call to it only under a grant of the owner. The owner keeps an [`Allotment`] of each such
//! upstream, raises its limit with successful calls, and announces when the cold start is over.
//! `calls` requests grants for waiting calls; `outcome` reports the results.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::message::{Message, Update};
use crate::queue::Queue;
use crate::quota::{self, Allotment, GRANT_TIMEOUT};
use crate::upstream::{Event, State};

/// Share of its calls that an owner sends to its cold upstreams although warm ones have room.
const COLD_CALL_SHARE: f64 = 0.2;
/// Maximum number of open grant requests of one entry for one version.
const MAX_OPEN_REQUESTS: usize = 8;
/// Pause after a denial before the owner of the same upstream is asked again.
const REQUEST_PAUSE: Span = Span::millis(20);

/// The grants that this entry has requested from owners.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantRequests {
    last_serial: u64,
    /// Requests without a reply, by serial number.
    open: BTreeMap<u64, GrantRequest>,
    /// End of the pause after a denial.
    paused_until: BTreeMap<key::Upstream, Moment>,
    /// Unused grants for calls of a move that are still to come.
    spare: Vec<SpareGrant>,
}

/// An unused grant, received when no call was waiting for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpareGrant {
    /// The upstream.
    pub upstream: key::Upstream,
    /// Serial number of the grant.
    pub serial: u64,
    /// Time at which it becomes invalid.
    expires_at: Moment,
}

/// A grant request without a reply yet.
#[derive(Clone, Copy, Debug)]
struct GrantRequest {
    upstream: key::Upstream,
    sent_at: Moment,
}

impl<C: Chooser> Engine<C> {
    /// Returns whether this member holds a valid lease as the owner of an upstream.
    pub(super) fn is_acting_owner(&self, now: Now, key: key::Upstream) -> bool {
        let spec = &self.catalog.upstreams[key];
        self.lease.covers(now.at, spec.ident, GRANT_TIMEOUT + self.call_timeout(key))
    }

    /// Returns the maximum duration of a call to an upstream.
    pub(super) fn call_timeout(&self, key: key::Upstream) -> Span {
        let spec = &self.catalog.upstreams[key];
        self.catalog.services[spec.service].timeout
    }

    /// Returns the allotment of an upstream, created with its cold-start limit if there is none.
    pub(super) fn allotment(&mut self, key: key::Upstream) -> &mut Allotment {
        let spec = &self.catalog.upstreams[key];
        let cold = self.catalog.services[spec.service].cold;
        self.allotments.entry(spec.ident).or_insert_with(|| Allotment::new(cold))
    }

    /// Resets the limit of an upstream to its cold-start limit. Open grants still count.
    pub(super) fn reset_allotment(&mut self, key: key::Upstream) {
        let spec = &self.catalog.upstreams[key];
        let cold = self.catalog.services[spec.service].cold;
        if let Some(allotment) = self.allotments.get_mut(&spec.ident) {
            allotment.limit = cold.max(1);
            allotment.good = 0;
        }
    }

    /// Returns a cold upstream owned by this member that a call should go to, if any.
    ///
    /// If warm upstreams have room, only `COLD_CALL_SHARE` of the calls go to cold ones, enough to
    /// advance the cold start.
    pub(super) fn pick_owned_cold(
        &mut self,
        now: Now,
        call: key::Call,
        version: key::Version,
    ) -> Option<key::Upstream> {
        let upstreams = &self.catalog.versions.get(version)?.upstreams;
        let is_owned = |key: &key::Upstream| {
            self.is_cold(*key)
                && self.is_acting_owner(now, *key)
                && self.is_eligible(now, call, *key)
        };
        let owned: Vec<key::Upstream> = upstreams.iter().copied().filter(is_owned).collect();
        if owned.is_empty() {
            return None;
        }
        let has_warm_room = upstreams.iter().any(|key| self.has_room(now, call, *key));
        if has_warm_room && !self.rng.random_bool(COLD_CALL_SHARE) {
            return None;
        }
        let free: Vec<key::Upstream> =
            owned.into_iter().filter(|key| self.allotment(*key).is_free(now.at)).collect();
        free.choose(&mut self.rng).copied()
    }

    fn is_cold(&self, key: key::Upstream) -> bool {
        let state = self.upstreams.get(key).map(|upstream| upstream.state);
        matches!(state, Some(State::Fresh | State::Cold))
    }

    /// Grants a call to this member itself and returns the grant's serial number.
    pub(super) fn grant_to_self(&mut self, now: Now, key: key::Upstream) -> u64 {
        let (serial, own_ident, call_timeout) =
            (self.next_serial(), self.lease.own_ident(), self.call_timeout(key));
        self.stats.granted += 1;
        self.allotment(key).grant(now.at, own_ident, serial, call_timeout);
        serial
    }

    pub(super) fn next_serial(&mut self) -> u64 {
        self.grant_requests.last_serial += 1;
        // Mixing in the member's identity makes serial numbers of different members differ.
        base::hash::mix(self.lease.own_ident().wrapping_add(self.grant_requests.last_serial))
    }

    /// Requests grants from owners of cold upstreams, one for each waiting call of a service.
    pub(super) fn request_grants(
        &mut self,
        now: Now,
        service: key::Service,
        out: &mut Vec<Output>,
    ) {
        let waiting = self.queues.get(service).map_or(0, Queue::len);
        let serving = self.catalog.services.get(service).and_then(|service| service.serving);
        if let Some(version) = serving {
            self.request_version_grants(now, version, waiting, out);
        }
    }

    /// Requests at most `wanted` grants from owners of a version's cold upstreams.
    pub(super) fn request_version_grants(
        &mut self,
        now: Now,
        version: key::Version,
        wanted: usize,
        out: &mut Vec<Output>,
    ) {
        let Some(version) = self.catalog.versions.get(version) else { return };
        let open = self.grant_requests.open.values();
        let open = open.filter(|request| version.upstreams.contains(&request.upstream)).count();
        let count = wanted.min(MAX_OPEN_REQUESTS).saturating_sub(open);
        let may_request = |key: &&key::Upstream| self.may_request_grant(now, **key);
        let eligible: Vec<_> = version.upstreams.iter().filter(may_request).copied().collect();
        let targets: Vec<_> = eligible.sample(&mut self.rng, count).copied().collect();
        for upstream in targets {
            self.request_grant(now, upstream, out);
        }
    }

    fn may_request_grant(&self, now: Now, key: key::Upstream) -> bool {
        let spec = &self.catalog.upstreams[key];
        let is_open = self.grant_requests.open.values().any(|request| request.upstream == key);
        let is_paused =
            self.grant_requests.paused_until.get(&key).is_some_and(|until| now.at < *until);
        self.is_cold(key)
            && !is_open
            && !is_paused
            && !self.is_withdrawn(spec.domain)
            && !self.lease.is_owner(spec.ident)
    }

    fn request_grant(&mut self, now: Now, key: key::Upstream, out: &mut Vec<Output>) {
        let upstream = self.catalog.upstreams[key].ident;
        let owner = self.lease.roster().and_then(|roster| roster.owner(upstream));
        let Some(owner) = owner else { return };
        let serial = self.next_serial();
        self.stats.asked += 1;
        self.grant_requests.open.insert(serial, GrantRequest { upstream: key, sent_at: now.at });
        out.push(Output::message(owner, Message::Request { upstream, serial }));
    }

    /// Drops requests, pauses and spare grants that have expired.
    pub(super) fn expire_grant_requests(&mut self, now: Now, out: &mut Vec<Output>) {
        self.return_spare_grants(now, out);
        self.grant_requests.open.retain(|_, request| now.at < request.sent_at + GRANT_TIMEOUT);
        self.grant_requests.paused_until.retain(|_, until| now.at < *until);
    }

    /// Grants or denies a peer's request for a call to a cold upstream that this member owns.
    pub(super) fn on_ask(
        &mut self,
        now: Now,
        from: u64,
        upstream: u64,
        serial: u64,
        out: &mut Vec<Output>,
    ) {
        let key = self.catalog.upstream_by_ident(upstream);
        let key = key.filter(|key| self.is_cold(*key) && self.is_acting_owner(now, *key));
        let granted = key.is_some_and(|key| {
            let call_timeout = self.call_timeout(key);
            self.allotment(key).grant(now.at, from, serial, call_timeout)
        });
        let message = if granted {
            self.stats.granted += 1;
            Message::Grant { upstream, serial }
        } else {
            Message::Deny { upstream, serial }
        };
        out.push(Output::message(from, message));
    }

    /// Pauses requests for an upstream after its owner denied one.
    pub(super) fn on_denial(&mut self, now: Now, serial: u64) {
        if let Some(request) = self.grant_requests.open.remove(&serial) {
            self.grant_requests.paused_until.insert(request.upstream, now.at + REQUEST_PAUSE);
        }
    }

    /// Uses a grant for the next waiting call, or returns it to the owner.
    pub(super) fn on_grant(
        &mut self,
        now: Now,
        from: u64,
        upstream: u64,
        serial: u64,
        out: &mut Vec<Output>,
    ) {
        let request = self.grant_requests.open.remove(&serial);
        // The time-out starts with the request, so it ends before the owner's own one.
        let request = request.filter(|request| now.at < request.sent_at + GRANT_TIMEOUT);
        let usable = request.map(|request| request.upstream).filter(|key| self.is_cold(*key));
        let call = usable.and_then(|key| self.pop_eligible(now, key));
        match (usable, call) {
            (Some(key), Some(call)) => self.start_attempt(now, call, key, Some(serial), out),
            // No call waits, but one of the next calls of the move may still use it.
            (Some(key), None) if self.is_shifting_to(key) => {
                let expires_at = request.map_or(now.at, |request| request.sent_at + GRANT_TIMEOUT);
                self.grant_requests.spare.push(SpareGrant { upstream: key, serial, expires_at });
            }
            _ => {
                let result = quota::Result::Unused;
                let message = Message::GrantResult { upstream, serial, result };
                out.push(Output::message(from, message));
            }
        }
    }

    /// Takes a spare grant for an upstream of a version, if there is one.
    pub(super) fn take_spare_grant(
        &mut self,
        now: Now,
        version: key::Version,
    ) -> Option<SpareGrant> {
        let upstreams = &self.catalog.upstreams;
        let is_usable = |grant: &SpareGrant| {
            now.at < grant.expires_at
                && upstreams.get(grant.upstream).is_some_and(|upstream| upstream.version == version)
        };
        let position = self.grant_requests.spare.iter().position(is_usable)?;
        let grant = self.grant_requests.spare.swap_remove(position);
        self.is_cold(grant.upstream).then_some(grant)
    }

    /// Returns spare grants to their owners that no call used in time.
    fn return_spare_grants(&mut self, now: Now, out: &mut Vec<Output>) {
        let (kept, expired): (Vec<SpareGrant>, Vec<SpareGrant>) =
            std::mem::take(&mut self.grant_requests.spare)
                .into_iter()
                .partition(|grant| now.at < grant.expires_at);
        self.grant_requests.spare = kept;
        for grant in expired {
            let result = quota::Result::Unused;
            self.report_grant_result(now, grant.upstream, grant.serial, result, out);
        }
    }

    /// Takes the next waiting call out of its queue if it may go to an upstream.
    fn pop_eligible(&mut self, now: Now, key: key::Upstream) -> Option<key::Call> {
        let service = self.catalog.upstreams[key].service;
        let ticket = self.queues.get_mut(service)?.pop()?;
        if self.calls.contains_key(ticket.call) && self.is_eligible(now, ticket.call, key) {
            return Some(ticket.call);
        }
        let workspace = self.calls.get(ticket.call)?.request.workspace;
        self.queues[service].push_front(workspace, ticket);
        None
    }

    /// Reports the result of a granted call to the owner, which may be this member.
    pub(super) fn report_grant_result(
        &mut self,
        now: Now,
        key: key::Upstream,
        serial: u64,
        result: quota::Result,
        out: &mut Vec<Output>,
    ) {
        let Some(spec) = self.catalog.upstreams.get(key) else { return };
        let upstream = spec.ident;
        let owner = self.lease.roster().and_then(|roster| roster.owner(upstream));
        match owner {
            Some(owner) if owner != self.lease.own_ident() => {
                let message = Message::GrantResult { upstream, serial, result };
                out.push(Output::message(owner, message));
            }
            _ => self.apply_grant_result(now, key, serial, result, out),
        }
    }

    /// Applies the result of a granted call as the owner, and ends the cold start once the upstream
    /// has handled enough calls.
    pub(super) fn apply_grant_result(
        &mut self,
        now: Now,
        key: key::Upstream,
        serial: u64,
        result: quota::Result,
        out: &mut Vec<Output>,
    ) {
        let spec = &self.catalog.upstreams[key];
        let service = &self.catalog.services[spec.service];
        let (cold, slots, service) = (service.cold, service.slots, spec.service);
        let Some(allotment) = self.allotments.get_mut(&spec.ident) else { return };
        let cold_start_over = allotment.complete(serial, result, cold, slots);
        if cold_start_over && self.is_cold(key) && self.is_acting_owner(now, key) {
            self.upstream_event(now, key, Event::Proven, out);
        }
        self.drain_queue(now, service, out);
    }

    /// Reports failing connections to the owner of an upstream.
    pub(super) fn report_down(&mut self, _now: Now, upstream: u64, out: &mut Vec<Output>) {
        let owner = self.lease.roster().and_then(|roster| roster.owner(upstream));
        match owner {
            Some(owner) if owner != self.lease.own_ident() => {
                out.push(Output::message(owner, Message::Down { upstream }));
            }
            // The owner trusts its own connection failures: the upstream is about to restart cold.
            Some(_) => self.announce_cold_start(upstream, out),
            None => {}
        }
    }

    /// Announces a cold start, unless the upstream is in one already, and resets its limit.
    fn announce_cold_start(&mut self, ident: u64, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_by_ident(ident) else { return };
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.epoch % 2 == 0 {
            upstream.epoch += 1;
            self.stats.cold_starts += 1;
            let update = Update::ColdStart { upstream: ident, epoch: upstream.epoch };
            self.broadcast(update, out);
        }
        self.reset_allotment(key);
    }

    /// Applies a peer's report of failing connections if this owner saw a failure itself.
    ///
    /// A peer that cannot reach a working upstream must not cause a cold start by itself.
    pub(super) fn on_down_report(&mut self, now: Now, ident: u64, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_by_ident(ident) else { return };
        let Some(upstream) = self.upstreams.get(key) else { return };
        let is_down = upstream.state == State::Down || upstream.connect_failures > 0;
        if is_down && self.is_acting_owner(now, key) {
            self.announce_cold_start(ident, out);
        }
    }
}
