//! Admitting calls, choosing upstreams for them and letting them wait.

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::attempt::{self, Attempt};
use crate::balance::{Candidate, Chooser};
use crate::call::{Call, Outcome, Refusal, Request, Reuse};
use crate::queue::{Push, Queue, Ticket};
use crate::upstream::State;

/// Calls at a warm upstream, in slots, above which no more are sent there.
const CROWD: f64 = 2.0;
/// Extra time that another failure domain costs, in microseconds.
const AWAY_COST: f64 = 500.0;
/// Service time that is assumed while nothing is known, in microseconds.
const ASSUMED_SERVICE: f64 = 5_000.0;
/// Expected times of a call after which another attempt is weighed.
const HEDGE_FACTOR: f64 = 10.0;
/// Time after which another attempt is weighed at the earliest.
const HEDGE_LEAST: Span = Span::millis(100);
/// Time after which to try again when calls wait too long.
const RETRY_AFTER: Span = Span::seconds(1);

impl<C: Chooser> Engine<C> {
    /// Admits a request: grants it an upstream, lets it wait, or refuses it.
    pub(super) fn admit(&mut self, now: Now, request: Request, out: &mut Vec<Output>) {
        self.stats.requests += 1;
        if self.suspects.is_harmful(now.at, request.digest) {
            self.stats.harmful += 1;
            return self.refuse_request(&request, Refusal::Harmful, out);
        }
        if let Err(refusal) = self.admissible(&request) {
            return self.refuse_request(&request, refusal, out);
        }
        if let Some(workspace) = request.workspace
            && let Some(count) = self.in_progress.entry(workspace)
        {
            *count.or_insert(0) += 1;
        }
        if let Some(budget) = self.budgets.get_mut(request.service) {
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
            return self.claim(now, call, out);
        }
        self.place(now, call, out);
    }

    fn admissible(&self, request: &Request) -> Result<(), Refusal> {
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
        let limit = self.catalog.workspaces.get(workspace).map_or(0, |one| one.limit);
        let count = self.in_progress.get(workspace).copied().unwrap_or(0);
        if count < limit { Ok(()) } else { Err(Refusal::WorkspaceLimit) }
    }

    /// Sends a call to an upstream, or lets it wait.
    pub(super) fn place(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let Some(service) = self.calls.get(call).map(|call| call.request.service) else { return };
        let waiting = self.queues.get(service).is_some_and(|queue| !queue.is_empty());
        // A call that comes while others wait goes behind them.
        if (!waiting || self.calls[call].attempts > 0) && self.start(now, call, out) {
            return;
        }
        self.wait(now, call, out);
    }

    /// Starts an attempt if some upstream may take it.
    pub(super) fn start(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) -> bool {
        let service = self.calls[call].request.service;
        let Some(serving) = self.catalog.services.get(service).and_then(|one| one.serving) else {
            return false;
        };
        if let Some(next) = self.next_version(call) {
            if self.start_at(now, call, next, out) {
                self.stats.shifted += 1;
                return true;
            }
            // Its cold upstreams belong to others; a grant comes for one of the next calls.
            self.ask_for(now, next, 1, out);
        }
        self.start_at(now, call, serving, out)
    }

    /// Starts an attempt if some upstream of a version may take it.
    fn start_at(
        &mut self,
        now: Now,
        call: key::Call,
        version: key::Version,
        out: &mut Vec<Output>,
    ) -> bool {
        self.calls[call].version = Some(version);
        if let Some(held) = self.take_held(now, version) {
            self.grant(now, call, held.upstream, Some(held.serial), out);
            return true;
        }
        if let Some(upstream) = self.own_cold(now, call, version) {
            let serial = self.grant_self(now, upstream);
            self.grant(now, call, upstream, Some(serial), out);
            return true;
        }
        let candidates = self.candidates(now, call, version);
        let Some(position) = self.chooser.choose(&candidates, &mut self.rng) else { return false };
        self.grant(now, call, candidates[position].upstream, None, out);
        true
    }

    /// Returns the warm upstreams that may take one more call.
    fn candidates(&self, now: Now, call: key::Call, version: key::Version) -> Vec<Candidate> {
        let Some(version) = self.catalog.versions.get(version) else { return Vec::new() };
        let typical = self.typical(&version.upstreams);
        let fits = |key: &&key::Upstream| self.may_take(now, call, **key);
        let usable = version.upstreams.iter().filter(fits);
        usable.map(|key| self.candidate(now, *key, typical)).collect()
    }

    fn candidate(&self, now: Now, key: key::Upstream, typical: f64) -> Candidate {
        let known = &self.catalog.upstreams[key];
        let slots = self.catalog.services[known.service].slots;
        let away = if Some(known.domain) == self.home { 0.0 } else { AWAY_COST };
        let cost = self.upstreams[key].gauge.cost(now.at, slots, typical) + away;
        Candidate { upstream: key, cost }
    }

    pub(super) fn may_take(&self, now: Now, call: key::Call, key: key::Upstream) -> bool {
        let Some(upstream) = self.upstreams.get(key) else { return false };
        let known = &self.catalog.upstreams[key];
        let slots = f64::from(self.catalog.services[known.service].slots);
        let open = match upstream.state {
            State::Warm => upstream.gauge.load(now.at) < CROWD * slots,
            State::Trial => upstream.gauge.in_flight == 0,
            _ => false,
        };
        open && upstream.gauge.in_flight < self.connection_share() && self.may_go(now, call, key)
    }

    /// Tells whether nothing but load speaks against sending a call to an upstream.
    pub(super) fn may_go(&self, now: Now, call: key::Call, key: key::Upstream) -> bool {
        let domain = self.catalog.upstreams[key].domain;
        !self.is_out(domain)
            && now.at >= self.upstreams[key].shed_until
            && !self.calls[call].failed.contains(&key)
    }

    /// Returns the middle service time over upstreams where it is known.
    fn typical(&self, upstreams: &[key::Upstream]) -> f64 {
        let known = upstreams.iter().filter_map(|key| self.upstreams.get(*key));
        let mut times: Vec<f64> =
            known.map(|one| one.gauge.service_us).filter(|time| *time > 0.0).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(ASSUMED_SERVICE)
    }

    /// Returns how long an attempt waits for the head of an answer before another one is weighed.
    ///
    /// Only requests that may run more than once get another attempt meanwhile.
    #[must_use]
    pub fn hedge_after(&self, attempt: key::Attempt) -> Option<Span> {
        let attempt = self.attempts.get(attempt)?;
        let call = self.calls.get(attempt.call)?;
        let known = self.catalog.upstreams.get(attempt.upstream)?;
        let slots = f64::from(self.catalog.services[known.service].slots.max(1));
        let service = self.upstreams.get(attempt.upstream)?.gauge.service_us.max(ASSUMED_SERVICE);
        let expected = service * ((attempt.ahead + 1.0) / slots).max(1.0);
        let bound = Span(expected as u64).scale(HEDGE_FACTOR).max(HEDGE_LEAST);
        call.request.idempotent.then_some(bound)
    }

    /// Returns which open connections an attempt may use.
    #[must_use]
    pub fn reuse(&self, attempt: key::Attempt) -> Reuse {
        let call = self.attempts.get(attempt).and_then(|attempt| self.calls.get(attempt.call));
        match call {
            Some(call) if call.needs_new_connection => Reuse::None,
            Some(call) if call.request.idempotent => Reuse::Any,
            _ => Reuse::Recent,
        }
    }

    /// Starts an attempt at a chosen upstream.
    pub(super) fn grant(
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
        out.push(Output::Grant { token: call.request.token, attempt, upstream });
    }

    fn wait(&mut self, now: Now, key: key::Call, out: &mut Vec<Output>) {
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
        self.ask_owners(now, request.service, out);
    }

    fn shed(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        self.stats.shed += 1;
        self.refuse(now, call, Refusal::Overload, Outcome::NotRun, out);
    }

    /// Lets waiting calls go wherever an upstream may take them.
    pub(super) fn drain_queues(&mut self, now: Now, out: &mut Vec<Output>) {
        let services: Vec<key::Service> = self.queues.keys().collect();
        for service in services {
            self.drain_queue(now, service, out);
        }
    }

    /// Lets waiting calls of one service go.
    pub(super) fn drain_queue(&mut self, now: Now, service: key::Service, out: &mut Vec<Output>) {
        while let Some(ticket) = self.queues.get_mut(service).and_then(Queue::pop) {
            if !self.calls.contains_key(ticket.call) {
                continue;
            }
            if !self.start(now, ticket.call, out) {
                let workspace = self.calls[ticket.call].request.workspace;
                self.queues[service].push_front(workspace, ticket);
                self.ask_owners(now, service, out);
                return;
            }
        }
    }

    /// Refuses waiting calls whose deadline has passed.
    pub(super) fn expire_calls(&mut self, now: Now, out: &mut Vec<Output>) {
        let expire = |queue: &mut crate::queue::Queue| queue.expire(now.at);
        let late: Vec<key::Call> = self.queues.values_mut().flat_map(expire).collect();
        for call in late {
            self.refuse(now, call, Refusal::LateUnsent, Outcome::NotRun, out);
        }
    }

    /// Refuses every waiting call.
    pub(super) fn refuse_waiting(&mut self, now: Now, refusal: Refusal, out: &mut Vec<Output>) {
        let waiting = |(_, call): &(key::Call, &Call)| call.waiting;
        let calls: Vec<_> = self.calls.iter().filter(waiting).map(|(key, _)| key).collect();
        for call in calls {
            self.unqueue(call);
            self.refuse(now, call, refusal, Outcome::NotRun, out);
        }
    }

    /// Forgets a call whose caller left before it had an answer.
    pub(super) fn leave(&mut self, now: Now, key: key::Call, out: &mut Vec<Output>) {
        let attempt = self.attempts.iter().find(|(_, attempt)| attempt.call == key);
        if let Some(attempt) = attempt.map(|(key, _)| key) {
            return self.attempt_event(now, attempt, attempt::Event::Cancelled, None, out);
        }
        let Some(call) = self.calls.get(key) else { return };
        let outcome = if call.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        self.unqueue(key);
        self.end_call(now, key, outcome, out);
    }

    fn unqueue(&mut self, key: key::Call) {
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
        // An attempt that failed harmlessly says nothing of those before it.
        let before = self.calls.get(key).is_some_and(|call| call.may_have_run);
        let outcome = if before { Outcome::Unknown } else { outcome };
        let Some(call) = self.end_call(now, key, outcome, out) else { return };
        match outcome {
            Outcome::NotRun => self.stats.not_run += 1,
            Outcome::Unknown | Outcome::Ran => self.stats.unknown += 1,
        }
        let token = call.request.token;
        out.push(Output::Refuse { token, refusal, outcome, retry_after: RETRY_AFTER });
    }

    fn refuse_request(&mut self, request: &Request, refusal: Refusal, out: &mut Vec<Output>) {
        self.stats.not_run += 1;
        let outcome = Outcome::NotRun;
        let token = request.token;
        out.push(Output::Refuse { token, refusal, outcome, retry_after: RETRY_AFTER });
    }

    /// Forgets a call and gives back what it held of its workspace's limit and of its key.
    pub(super) fn end_call(
        &mut self,
        now: Now,
        key: key::Call,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Option<Call> {
        let call = self.calls.remove(key)?;
        let workspace = call.request.workspace;
        if let Some(count) = workspace.and_then(|key| self.in_progress.get_mut(key)) {
            *count = count.saturating_sub(1);
        }
        self.settle_claim(now, &call, outcome, out);
        Some(call)
    }
}
