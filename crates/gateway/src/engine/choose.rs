//! Choice of an upstream for a call, after health checks of the best candidates if their load
//! reports are stale.

use base::prelude::*;

use super::candidate::Candidate;
use super::{Engine, Output, Refusal};
use crate::exchange::Exchange;
use crate::trial::Assignment;
use crate::upstream::State;

/// Maximum number of upstreams checked at a time for one call.
const PROBES_PER_ROUND: usize = 3;
/// Maximum number of upstreams in other failure domains checked at a time for one call.
const REMOTE_PROBES_PER_ROUND: usize = 1;
/// Maximum number of rounds of health checks for one call.
const MAX_PROBE_ROUNDS: u32 = 3;
/// Longest wait for one round of health checks.
const PROBE_WAIT: Span = Span::millis(15);
/// Longest wait for health checks in total, and in one round if no upstream may be used without
/// one.
const MAX_PROBE_WAIT: Span = Span::millis(60);
/// Maximum share of an upstream's slots that are in use with a hedged request included.
const MAX_HEDGE_OCCUPANCY: f64 = 0.7;

record! {
    /// The figures on which the choice of an upstream was based, for the request's log line.
    #[derive(Copy)]
    pub struct Choice {
        /// Expected cost of the request, in microseconds.
        pub cost: f64,
        /// Age of the load report behind the cost.
        pub report_age: Span,
        /// Slowdown in that report; 1.0 is the usual speed.
        pub slowdown: f64,
        /// Number of upstreams that could have been chosen.
        pub candidates: usize,
        /// Version of the routing table in force.
        pub table_version: u64,
        /// Whether the call was assigned to the target version of a trial.
        pub trial: bool,
        /// Whether the upstream was in a cold start.
        pub cold: bool,
    }
}

impl Engine {
    /// Sends a call to the best upstream, or first starts health checks for it, or refuses it.
    pub(super) fn place(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else { return };
        if now >= call.deadline {
            return self.refuse_unless_in_flight(now, key, Refusal::LateUnsent, out);
        }
        let mut candidates = self.candidates(now, key);
        if candidates.is_empty() && self.calls[key].assignment != Assignment::Established {
            // The target version has no room; the old version serves the call instead.
            let service = self.calls[key].service;
            self.calls[key].assignment = Assignment::Established;
            self.unassign_version(service);
            candidates = self.candidates(now, key);
        }
        let unresponsive = &self.calls[key].unresponsive;
        candidates.sort_by(|left, right| {
            let is_unresponsive =
                |candidate: &Candidate| unresponsive.contains(&candidate.upstream);
            is_unresponsive(left)
                .cmp(&is_unresponsive(right))
                .then(left.optimistic_cost.total_cmp(&right.optimistic_cost))
        });
        if self.probe_candidates(now, key, &candidates, out) {
            return;
        }
        let usable =
            candidates.iter().filter(|candidate| candidate.has_room && !candidate.unproven);
        match usable.min_by(|left, right| left.cost.total_cmp(&right.cost)) {
            Some(best) => self.send(now, key, *best, candidates.len(), out),
            None => self.refuse_unless_in_flight(now, key, self.refusal_reason(now, key), out),
        }
    }

    /// Refuses a call unless another exchange of it is in progress.
    fn refuse_unless_in_flight(
        &mut self,
        now: Moment,
        key: key::Call,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.calls.get(key) else { return };
        match call.in_flight {
            0 => self.refuse(now, key, refusal, out),
            _ => out.push(Output::Await { token: call.token }),
        }
    }

    /// Sends a call to a second upstream while the first has not responded, and returns whether it
    /// did.
    ///
    /// It needs an upstream that is idle and expected to respond before the deadline, and a retry
    /// from the service's budget.
    pub(super) fn hedge(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) -> bool {
        let call = &self.calls[key];
        if call.runs >= self.max_attempts(key) {
            return false;
        }
        let remaining = call.deadline.since(now).0 as f64;
        let candidates = self.candidates(now, key);
        // A hedged request must not take the slot of another call's first request.
        let usable = candidates.iter().filter(|candidate| {
            let upstream = &self.upstreams[candidate.upstream];
            let idle =
                upstream.gauge.load(now) + 1.0 <= MAX_HEDGE_OCCUPANCY * f64::from(upstream.slots);
            idle && !candidate.unproven && !candidate.cold
        });
        let best = usable.min_by(|left, right| left.cost.total_cmp(&right.cost)).copied();
        let Some(best) = best.filter(|best| best.cost < remaining) else { return false };
        if !self.try_spend_retry(now, key) {
            return false;
        }
        self.stats.hedged += 1;
        self.calls[key].resends += 1;
        self.send(now, key, best, candidates.len(), out);
        true
    }

    pub(super) fn max_attempts(&self, key: key::Call) -> u32 {
        let route = self.calls.get(key).and_then(|call| self.routes.arena.get(call.route));
        route.map_or(1, |route| route.spec.max_attempts.max(1))
    }

    /// Takes one retry from the budget of a call's service, and returns whether there was one.
    pub(super) fn try_spend_retry(&mut self, now: Moment, key: key::Call) -> bool {
        let nodes = self.sharing_nodes();
        let Some(service) = self.calls.get(key).map(|call| call.service) else { return false };
        let Some(service) = self.services.get_mut(service) else { return false };
        let spent = service.budget.try_spend(now, &self.terms, nodes);
        self.stats.over_budget += u64::from(!spent);
        spent
    }

    /// Starts health checks of the best candidates if the report of the first one is stale, and
    /// returns whether the call waits for them.
    ///
    /// Upstreams whose checks did not end during an earlier wait of the call are not checked again
    /// for it: full ones respond late, while others may be idle.
    fn probe_candidates(
        &mut self,
        now: Moment,
        key: key::Call,
        candidates: &[Candidate],
        out: &mut Vec<Output>,
    ) -> bool {
        let call = &self.calls[key];
        let responsive =
            candidates.iter().filter(|candidate| !call.unresponsive.contains(&candidate.upstream));
        let responsive: Vec<Candidate> = responsive.copied().collect();
        let Some(best) = responsive.first() else { return false };
        let waited = now.since(call.admitted_at);
        let all_unproven = candidates.iter().all(|candidate| candidate.unproven);
        let max_rounds = if all_unproven { MAX_PROBE_ROUNDS * 2 } else { MAX_PROBE_ROUNDS };
        if !best.stale || call.probe_rounds >= max_rounds || waited >= MAX_PROBE_WAIT {
            return false;
        }
        let mut probed = Vec::new();
        let to_probe = responsive.iter().filter(|candidate| candidate.stale);
        let max_probes =
            if best.local || all_unproven { PROBES_PER_ROUND } else { REMOTE_PROBES_PER_ROUND };
        for candidate in to_probe.filter(|candidate| candidate.local == best.local).take(max_probes)
        {
            if self.probe(now, candidate.upstream, out) {
                probed.push(candidate.upstream);
            }
        }
        if probed.is_empty() {
            return false;
        }
        let all_probed = probed.len() == responsive.len();
        let deadline = now + if all_unproven && all_probed { MAX_PROBE_WAIT } else { PROBE_WAIT };
        let call = &mut self.calls[key];
        call.probe_rounds += 1;
        call.pending_probes = probed;
        call.probe_deadline = Some(deadline);
        self.probe_waits.insert((deadline, key));
        true
    }

    /// Continues the calls whose wait for health checks is over.
    pub(super) fn expire_probe_waits(&mut self, now: Moment, out: &mut Vec<Output>) {
        while let Some((deadline, key)) =
            self.probe_waits.first().copied().filter(|wait| wait.0 <= now)
        {
            self.probe_waits.remove(&(deadline, key));
            self.continue_call(now, key, out);
        }
    }

    /// Continues the calls for which the health check of `upstream` was the last that they waited
    /// for.
    pub(super) fn end_probe_waits(
        &mut self,
        now: Moment,
        upstream: key::Upstream,
        out: &mut Vec<Output>,
    ) {
        let waiting: Vec<key::Call> = self.probe_waits.iter().map(|(_, key)| *key).collect();
        for key in waiting {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.pending_probes.retain(|key| *key != upstream);
            if call.pending_probes.is_empty() {
                self.continue_call(now, key, out);
            }
        }
    }

    fn continue_call(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if let Some(deadline) = call.probe_deadline.take() {
            self.probe_waits.remove(&(deadline, key));
        }
        call.unresponsive.append(&mut call.pending_probes);
        self.place(now, key, out);
    }

    /// Returns why no upstream can take a call.
    fn refusal_reason(&self, now: Moment, key: key::Call) -> Refusal {
        let call = &self.calls[key];
        if self.paused_until(now, call.service).is_some() {
            return Refusal::Paused;
        }
        let upstreams = self.services.get(call.service).map(|service| service.upstreams.as_slice());
        let is_serving = |key: &&key::Upstream| {
            let state = self.upstreams.get(**key).map(|upstream| upstream.state);
            matches!(state, Some(State::Warm | State::Cold))
        };
        let any_serving = upstreams.unwrap_or_default().iter().any(|key| is_serving(&key));
        match any_serving {
            true if call.tried.is_empty() => Refusal::Full,
            true => Refusal::Attempts,
            false => Refusal::NoUpstream,
        }
    }

    /// Starts an exchange of a call with the chosen upstream.
    fn send(
        &mut self,
        now: Moment,
        key: key::Call,
        chosen: Candidate,
        candidates: usize,
        out: &mut Vec<Output>,
    ) {
        let upstream = &mut self.upstreams[chosen.upstream];
        let choice = Choice {
            cost: chosen.cost,
            report_age: upstream.gauge.report_age(now),
            slowdown: upstream.gauge.slowdown,
            candidates,
            table_version: self.table_version,
            trial: self.calls[key].assignment != Assignment::Established,
            cold: chosen.cold,
        };
        let route = self.routes.arena.get(self.calls[key].route);
        let service_time = route.map_or(1.0, |route| route.service_time.max(1.0));
        let expected = upstream.gauge.expected_time(now, upstream.slots, service_time, chosen.cold);
        upstream.gauge.in_flight += 1;
        upstream.sends.record(now);
        self.stats.cold_sends += u64::from(chosen.cold);
        let exchange = self.exchanges.insert(Exchange {
            call: key,
            upstream: chosen.upstream,
            state: self.charts.exchange.initial(),
            may_have_arrived: false,
            started_at: now,
            cold: chosen.cold,
            expected_slowdown: expected / service_time,
        });
        let call = &mut self.calls[key];
        call.tried.push(chosen.upstream);
        call.runs += 1;
        call.in_flight += 1;
        self.stats.sends += 1;
        out.push(Output::Forward {
            token: call.token,
            exchange,
            upstream: chosen.upstream,
            choice,
        });
    }
}
