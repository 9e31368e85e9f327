//! Admission of calls, choice of an upstream for each attempt, and the queue of waiting calls.
//!
//! `outcome` handles what happens to an attempt after it was started here.

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::attempt::{self, Attempt};
use crate::balance::{Candidate, Chooser};
use crate::call::{Call, Outcome, Refusal, Request, Reuse};
use crate::queue::{Push, Queue, Ticket};
use crate::upstream::State;

/// Estimated calls per slot at which a warm upstream gets no more calls.
const MAX_CALLS_PER_SLOT: f64 = 2.0;
/// Extra cost of an upstream in another failure domain, in microseconds.
const CROSS_DOMAIN_COST_US: f64 = 500.0;
/// Service time that is assumed while none was measured, in microseconds.
///
/// Hedging delays are never based on a shorter one.
const DEFAULT_SERVICE_US: f64 = 5_000.0;
/// Hedging delay as a multiple of the expected time of a call.
const HEDGE_FACTOR: f64 = 10.0;
/// Minimum hedging delay.
const MIN_HEDGE_DELAY: Span = Span::millis(100);
/// Retry delay that is suggested to callers of refused requests.
const RETRY_AFTER: Span = Span::seconds(1);

impl<C: Chooser> Engine<C> {
    /// Admits a request: starts an attempt, queues the call, or refuses it.
    ///
    /// A request with an idempotency key that may run only once needs a claim on the key first.
    pub(super) fn admit(&mut self, now: Now, request: Request, out: &mut Vec<Output>) {
        self.stats.requests += 1;
        if self.suspects.is_harmful(now.at, request.digest) {
            self.stats.harmful += 1;
            return self.reject(&request, Refusal::Harmful, out);
        }
        if let Err(refusal) = self.check_admission(&request) {
            return self.reject(&request, refusal, out);
        }
        if let Some(workspace) = request.workspace
            && let Some(count) = self.workspace_calls.entry(workspace)
        {
            *count.or_insert(0) += 1;
        }
        if let Some(budget) = self.retry_budgets.get_mut(request.service) {
            budget.earn();
        }
        let call = self.calls.insert(Call {
            request,
            arrived_at: now.at,
            attempts: 0,
            failed: Vec::new(),
            version: None,
            needs_new_connection: false,
            may_have_run: false,
            claim: None,
            waiting: false,
        });
        if request.key.is_some() && !request.idempotent {
            out.push(Output::Wait { token: request.token, call });
            return self.start_claim(now, call, out);
        }
        self.dispatch_or_queue(now, call, out);
    }

    fn check_admission(&self, request: &Request) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let Some(service) = self.catalog.services.get(request.service) else {
            return Err(Refusal::NoUpstream);
        };
        let version = service.serving.and_then(|version| self.catalog.versions.get(version));
        if version.is_none_or(|version| version.upstreams.is_empty()) {
            return Err(Refusal::NoUpstream);
        }
        let Some(workspace) = request.workspace else { return Ok(()) };
        let limit = self.catalog.workspaces.get(workspace).map_or(0, |workspace| workspace.limit);
        let count = self.workspace_calls.get(workspace).copied().unwrap_or(0);
        if count < limit { Ok(()) } else { Err(Refusal::WorkspaceLimit) }
    }

    /// Starts an attempt at a call, or queues it if no upstream can take it.
    pub(super) fn dispatch_or_queue(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let Some(service) = self.calls.get(call).map(|call| call.request.service) else { return };
        let others_wait = self.queues.get(service).is_some_and(|queue| !queue.is_empty());
        // A new call queues behind those that already wait; a retry does not.
        if (!others_wait || self.calls[call].attempts > 0) && self.try_start(now, call, out) {
            return;
        }
        self.enqueue(now, call, out);
    }

    /// Starts an attempt if an upstream can take it, and returns whether it did.
    ///
    /// A call that falls into the share of a move goes to the new version if possible.
    pub(super) fn try_start(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) -> bool {
        let service = self.calls[call].request.service;
        let Some(serving) = self.catalog.services.get(service).and_then(|service| service.serving)
        else {
            return false;
        };
        if let Some(new_version) = self.pick_new_version(call) {
            if self.try_start_version(now, call, new_version, out) {
                self.stats.shifted += 1;
                return true;
            }
            // Its cold upstreams may be owned by other members. Their grants arrive too late for
            // this call but serve later ones.
            self.request_version_grants(now, new_version, 1, out);
        }
        self.try_start_version(now, call, serving, out)
    }

    /// Starts an attempt if an upstream of a version can take it, and returns whether it did.
    fn try_start_version(
        &mut self,
        now: Now,
        call: key::Call,
        version: key::Version,
        out: &mut Vec<Output>,
    ) -> bool {
        self.calls[call].version = Some(version);
        if let Some(spare) = self.take_spare_grant(now, version) {
            self.start_attempt(now, call, spare.upstream, Some(spare.serial), out);
            return true;
        }
        if let Some(upstream) = self.pick_owned_cold(now, call, version) {
            let serial = self.grant_to_self(now, upstream);
            self.start_attempt(now, call, upstream, Some(serial), out);
            return true;
        }
        let candidates = self.candidates(now, call, version);
        let Some(position) = self.chooser.choose(&candidates, &mut self.rng) else { return false };
        self.start_attempt(now, call, candidates[position].upstream, None, out);
        true
    }

    /// Returns the upstreams of a version that have room for one more call without a grant.
    fn candidates(&self, now: Now, call: key::Call, version: key::Version) -> Vec<Candidate> {
        let Some(version) = self.catalog.versions.get(version) else { return Vec::new() };
        let median_service_us = self.median_service_us(&version.upstreams);
        let has_room = |key: &&key::Upstream| self.has_room(now, call, **key);
        let usable = version.upstreams.iter().filter(has_room);
        usable.map(|key| self.candidate(now, *key, median_service_us)).collect()
    }

    fn candidate(&self, now: Now, key: key::Upstream, median_service_us: f64) -> Candidate {
        let spec = &self.catalog.upstreams[key];
        let slots = self.catalog.services[spec.service].slots;
        let domain_cost =
            if Some(spec.domain) == self.local_domain { 0.0 } else { CROSS_DOMAIN_COST_US };
        let cost = self.upstreams[key].gauge.cost(now.at, slots, median_service_us) + domain_cost;
        Candidate { upstream: key, cost }
    }

    /// Returns whether an upstream can take a call without a grant.
    ///
    /// A warm upstream takes calls until its load reaches a bound; an upstream on trial takes one
    /// call at a time.
    pub(super) fn has_room(&self, now: Now, call: key::Call, key: key::Upstream) -> bool {
        let Some(upstream) = self.upstreams.get(key) else { return false };
        let spec = &self.catalog.upstreams[key];
        let slots = f64::from(self.catalog.services[spec.service].slots);
        let has_capacity = match upstream.state {
            State::Warm => upstream.gauge.load(now.at) < MAX_CALLS_PER_SLOT * slots,
            State::Trial => upstream.gauge.in_flight == 0,
            _ => false,
        };
        has_capacity
            && upstream.gauge.in_flight < self.connection_share()
            && self.is_eligible(now, call, key)
    }

    /// Returns whether a call may go to an upstream, regardless of the upstream's load.
    pub(super) fn is_eligible(&self, now: Now, call: key::Call, key: key::Upstream) -> bool {
        let domain = self.catalog.upstreams[key].domain;
        !self.is_withdrawn(domain)
            && now.at >= self.upstreams[key].shed_until
            && !self.calls[call].failed.contains(&key)
    }

    /// Returns the median of the measured service times of upstreams, in microseconds.
    fn median_service_us(&self, upstreams: &[key::Upstream]) -> f64 {
        let states = upstreams.iter().filter_map(|key| self.upstreams.get(*key));
        let mut times: Vec<f64> =
            states.map(|upstream| upstream.gauge.service_us).filter(|time| *time > 0.0).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Returns how long an attempt waits for the head of a response before hedging is considered.
    ///
    /// Only idempotent requests are hedged.
    #[must_use]
    pub fn hedge_after(&self, attempt: key::Attempt) -> Option<Span> {
        let attempt = self.attempts.get(attempt)?;
        let call = self.calls.get(attempt.call)?;
        let spec = self.catalog.upstreams.get(attempt.upstream)?;
        let slots = f64::from(self.catalog.services[spec.service].slots.max(1));
        let service =
            self.upstreams.get(attempt.upstream)?.gauge.service_us.max(DEFAULT_SERVICE_US);
        let expected = service * ((attempt.ahead + 1.0) / slots).max(1.0);
        let delay = Span(expected as u64).scale(HEDGE_FACTOR).max(MIN_HEDGE_DELAY);
        call.request.idempotent.then_some(delay)
    }

    /// Returns which open connections an attempt may reuse.
    ///
    /// A request that may run only once must not be lost on a connection that the upstream has
    /// closed already, so it uses connections that were in use a moment ago. After a silent
    /// connection, a call uses new ones only.
    #[must_use]
    pub fn reuse(&self, attempt: key::Attempt) -> Reuse {
        let call = self.attempts.get(attempt).and_then(|attempt| self.calls.get(attempt.call));
        match call {
            Some(call) if call.needs_new_connection => Reuse::None,
            Some(call) if call.request.idempotent => Reuse::Any,
            _ => Reuse::Recent,
        }
    }

    /// Starts an attempt at the given upstream.
    ///
    /// `grant` is the serial number of the owner's grant if the upstream is in a cold start.
    pub(super) fn start_attempt(
        &mut self,
        now: Now,
        call: key::Call,
        upstream: key::Upstream,
        grant: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let ahead = self.upstreams[upstream].gauge.start(now.at);
        let state = self.charts.attempt.initial();
        let attempt = Attempt {
            call,
            upstream,
            state,
            granted_at: now.at,
            sent_at: None,
            ahead,
            reported_cold: None,
            grant,
        };
        let attempt = self.attempts.insert(attempt);
        let call = &mut self.calls[call];
        call.attempts += 1;
        call.waiting = false;
        self.stats.attempts += 1;
        self.stats.retries += u64::from(call.attempts > 1);
        out.push(Output::Forward { token: call.request.token, attempt, upstream });
    }

    /// Queues a call, which may displace another one, and requests grants for waiting calls.
    fn enqueue(&mut self, now: Now, key: key::Call, out: &mut Vec<Output>) {
        let call = &mut self.calls[key];
        call.waiting = true;
        let request = call.request;
        let workspace = request.workspace.and_then(|key| self.catalog.workspaces.get(key));
        let weight = workspace.map_or(1, |workspace| workspace.weight);
        let ticket = Ticket { call: key, deadline: request.deadline };
        let Some(queue) = self.queues.get_mut(request.service) else { return };
        match queue.push(request.workspace, weight, ticket) {
            Push::Queued => out.push(Output::Wait { token: request.token, call: key }),
            Push::Displaced(other) => {
                out.push(Output::Wait { token: request.token, call: key });
                self.shed(now, other, out);
            }
            Push::Full => return self.shed(now, key, out),
        }
        self.request_grants(now, request.service, out);
    }

    fn shed(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        self.stats.shed += 1;
        self.refuse(now, call, Refusal::Overload, Outcome::NotRun, out);
    }

    /// Starts attempts at waiting calls of every service for as long as upstreams can take them.
    pub(super) fn drain_queues(&mut self, now: Now, out: &mut Vec<Output>) {
        let services: Vec<key::Service> = self.queues.keys().collect();
        for service in services {
            self.drain_queue(now, service, out);
        }
    }

    /// Starts attempts at waiting calls of one service for as long as upstreams can take them.
    pub(super) fn drain_queue(&mut self, now: Now, service: key::Service, out: &mut Vec<Output>) {
        while let Some(ticket) = self.queues.get_mut(service).and_then(Queue::pop) {
            if !self.calls.contains_key(ticket.call) {
                continue;
            }
            if !self.try_start(now, ticket.call, out) {
                let workspace = self.calls[ticket.call].request.workspace;
                self.queues[service].push_front(workspace, ticket);
                self.request_grants(now, service, out);
                return;
            }
        }
    }

    /// Refuses the waiting calls whose deadline has passed.
    pub(super) fn expire_calls(&mut self, now: Now, out: &mut Vec<Output>) {
        let take_expired = |queue: &mut crate::queue::Queue| queue.expire(now.at);
        let expired: Vec<key::Call> = self.queues.values_mut().flat_map(take_expired).collect();
        for call in expired {
            self.refuse(now, call, Refusal::LateUnsent, Outcome::NotRun, out);
        }
    }

    /// Refuses all waiting calls.
    pub(super) fn refuse_waiting(&mut self, now: Now, refusal: Refusal, out: &mut Vec<Output>) {
        let is_waiting = |(_, call): &(key::Call, &Call)| call.waiting;
        let calls: Vec<_> = self.calls.iter().filter(is_waiting).map(|(key, _)| key).collect();
        for call in calls {
            self.dequeue(call);
            self.refuse(now, call, refusal, Outcome::NotRun, out);
        }
    }

    /// Cancels a call whose caller disconnected before it received a response.
    pub(super) fn cancel(&mut self, now: Now, key: key::Call, out: &mut Vec<Output>) {
        let attempt = self.attempts.iter().find(|(_, attempt)| attempt.call == key);
        if let Some(attempt) = attempt.map(|(key, _)| key) {
            return self.attempt_event(now, attempt, attempt::Event::Cancelled, None, out);
        }
        let Some(call) = self.calls.get(key) else { return };
        let outcome = if call.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        self.dequeue(key);
        self.end_call(now, key, outcome, out);
    }

    fn dequeue(&mut self, key: key::Call) {
        let request = self.calls[key].request;
        if let Some(queue) = self.queues.get_mut(request.service) {
            queue.remove(request.workspace, key);
        }
    }

    /// Ends a call with a refusal.
    pub(super) fn refuse(
        &mut self,
        now: Now,
        key: key::Call,
        refusal: Refusal,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        // The last attempt may not have run, but an earlier one may have.
        let may_have_run = self.calls.get(key).is_some_and(|call| call.may_have_run);
        let outcome = if may_have_run { Outcome::Unknown } else { outcome };
        let Some(call) = self.end_call(now, key, outcome, out) else { return };
        match outcome {
            Outcome::NotRun => self.stats.not_run += 1,
            Outcome::Unknown | Outcome::Ran => self.stats.unknown += 1,
        }
        let token = call.request.token;
        out.push(Output::Refuse { token, refusal, outcome, retry_after: RETRY_AFTER });
    }

    /// Refuses a request before it becomes a call.
    fn reject(&mut self, request: &Request, refusal: Refusal, out: &mut Vec<Output>) {
        self.stats.not_run += 1;
        let outcome = Outcome::NotRun;
        let token = request.token;
        out.push(Output::Refuse { token, refusal, outcome, retry_after: RETRY_AFTER });
    }

    /// Removes a call, so that it no longer counts towards the workspace's limit, and reports its
    /// outcome to the replicas of its idempotency key.
    pub(super) fn end_call(
        &mut self,
        now: Now,
        key: key::Call,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Option<Call> {
        let call = self.calls.remove(key)?;
        let workspace = call.request.workspace;
        if let Some(count) = workspace.and_then(|key| self.workspace_calls.get_mut(key)) {
            *count = count.saturating_sub(1);
        }
        self.report_claim_result(now, &call, outcome, out);
        Some(call)
    }
}
