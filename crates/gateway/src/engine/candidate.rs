//! Assessment of the upstreams that may serve a call: their cost, and whether they have room.
//!
//! [`Engine::place`] and [`Engine::hedge`] choose among the candidates.

use base::hash::mix;
use base::prelude::*;
use rand::RngExt;

use super::{Call, Engine};
use crate::cold;
use crate::gauge::KNEE;
use crate::trial::Assignment;
use crate::upstream::{State, Upstream};

/// Age beyond which a load report is renewed by a health check before the choice.
const MAX_REPORT_AGE: Span = Span::millis(120);
/// Cost of sending to another failure domain, for its traffic and its latency, as a share of the
/// route's target.
const REMOTE_COST: f64 = 0.5;
/// Share of the target within which responses on less urgent routes have to be expected from
/// upstreams loaded beyond the knee.
const LESS_URGENT_SHARE: f64 = 0.8;
/// Priority from which on routes count as less urgent; lower values are more urgent.
const LESS_URGENT_PRIORITY: u32 = 2;
/// Upper limit of the substitute costs that order the upstreams of a burst, in microseconds; real
/// costs are higher.
const BURST_COST_RANGE: u64 = 1_000;
/// Share of calls that prefer a cold upstream of the own failure domain, if its limit permits one
/// more request.
const PREFER_COLD_SHARE: f64 = 0.5;
/// Factor on the cost of an upstream whose health check reports that it is unhealthy.
const UNHEALTHY_COST_FACTOR: f64 = 2.0;
/// Factor on the cost of a cold upstream for calls that prefer it.
const PREFER_COLD_FACTOR: f64 = 0.5;

/// An upstream that a call may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Key of the upstream.
    pub upstream: key::Upstream,
    /// Expected cost of the request, in microseconds.
    pub cost: f64,
    /// Expected cost if a new load report were the best possible, in microseconds.
    pub optimistic_cost: f64,
    /// Whether the load report has to be renewed before the choice.
    pub stale: bool,
    /// Whether a health check has to succeed before the upstream may be used.
    pub unproven: bool,
    /// Whether the upstream should take one more request, as far as this node knows.
    pub has_room: bool,
    /// Whether the upstream is in a cold start.
    pub cold: bool,
    /// Whether the upstream is in this node's failure domain.
    pub local: bool,
}

impl Engine {
    /// Returns the upstreams that a call may be sent to, including those that need a health check
    /// first.
    pub(super) fn candidates(&mut self, now: Moment, key: key::Call) -> Vec<Candidate> {
        let Some(service) = self.services.get(self.calls[key].service) else { return Vec::new() };
        let upstreams = service.upstreams.clone();
        upstreams.into_iter().filter_map(|upstream| self.candidate(now, key, upstream)).collect()
    }

    /// Returns an upstream as a candidate, unless its state, its version or an earlier attempt
    /// rules it out for the call.
    fn candidate(
        &mut self,
        now: Moment,
        key: key::Call,
        upstream_key: key::Upstream,
    ) -> Option<Candidate> {
        let call = &self.calls[key];
        let upstream = &self.upstreams[upstream_key];
        let route = self.routes.arena.get(call.route)?;
        let selectable = matches!(upstream.state, State::Unproven | State::Warm | State::Cold);
        let eligible = selectable
            && !self.domains[upstream.domain].withdrawn
            && now >= upstream.full_until
            && now >= upstream.paused_until;
        if !eligible
            || call.tried.contains(&upstream_key)
            || !self.may_use_version(now, call, upstream.version)
        {
            return None;
        }
        let gauge = upstream.gauge;
        let cold = upstream.state == State::Cold;
        if cold && !self.may_send_cold(now, upstream_key) {
            return None;
        }
        let unproven = upstream.state == State::Unproven;
        let stale = unproven
            || (gauge.report_age(now) > MAX_REPORT_AGE && gauge.reported_at > Moment::default());
        let local = upstream.domain == self.own_domain;
        let cost = gauge.cost(now, upstream.slots, route.service_time, cold);
        let optimistic_cost = if stale {
            // A stale report may hide that the upstream is good; only a health check can show that.
            gauge.best_case(now).cost(now, upstream.slots, route.service_time, cold)
        } else {
            cost
        };
        let has_room = self.has_room(now, call, upstream, cost);
        let candidate = Candidate {
            upstream: upstream_key,
            cost,
            optimistic_cost,
            stale,
            unproven,
            has_room,
            cold,
            local,
        };
        if let Assignment::Burst(burst) = call.assignment {
            return self.burst_candidate(now, upstream, burst, candidate);
        }
        if !stale && !has_room {
            return None;
        }
        let remote_cost =
            if local { 0.0 } else { REMOTE_COST * route.spec.target_latency.0 as f64 };
        let mut factor = if upstream.unhealthy { UNHEALTHY_COST_FACTOR } else { 1.0 };
        if cold && local && self.rng.random_bool(PREFER_COLD_SHARE) {
            factor *= PREFER_COLD_FACTOR;
        }
        Some(Candidate {
            cost: (cost + remote_cost) * factor,
            optimistic_cost: (optimistic_cost + remote_cost) * factor,
            ..candidate
        })
    }

    /// Returns an upstream as a candidate for a burst of a trial, if it has a free slot.
    ///
    /// Every node uses the same order of upstreams, which concentrates the burst on a few of them.
    fn burst_candidate(
        &self,
        now: Moment,
        upstream: &Upstream,
        burst: u64,
        candidate: Candidate,
    ) -> Option<Candidate> {
        let cost = (mix(upstream.ident ^ mix(burst)) % BURST_COST_RANGE) as f64;
        let free = upstream.gauge.load(now) + 1.0 <= f64::from(upstream.slots);
        free.then_some(Candidate {
            cost,
            optimistic_cost: cost,
            stale: candidate.unproven,
            ..candidate
        })
    }

    /// Returns whether an upstream should take one more request of a call's route.
    ///
    /// Below [`KNEE`] it always should. Beyond it each request slows down the others, so only
    /// urgent requests are sent there, and only if their own responses are expected in time.
    fn has_room(&self, now: Moment, call: &Call, upstream: &Upstream, cost: f64) -> bool {
        let Some(route) = self.routes.arena.get(call.route) else { return false };
        let load = upstream.gauge.load(now);
        if load < 1.0 || load + 1.0 <= KNEE * f64::from(upstream.slots) {
            return true;
        }
        let urgent = route.spec.priority < LESS_URGENT_PRIORITY;
        if !urgent && load + 1.0 > f64::from(upstream.slots) {
            return false;
        }
        let elapsed = now.since(call.arrived_at).0 as f64;
        let share = if urgent { 1.0 } else { LESS_URGENT_SHARE };
        elapsed + cost <= share * route.spec.target_latency.0 as f64
    }

    /// Returns whether this node's share of a cold upstream's rate permits one more request now.
    ///
    /// A node that has just started waits for a whole window, because its former process may have
    /// used the share, and until it knows the other nodes with which it shares the rate.
    fn may_send_cold(&self, now: Moment, key: key::Upstream) -> bool {
        let upstream = &self.upstreams[key];
        if upstream.domain != self.own_domain
            || now.since(self.started_at) < cold::WINDOW
            || !self.settled
        {
            return false;
        }
        let rate = self.services[upstream.service].cold_rate;
        let nodes = self.members.known_in_domain(&self.members.own.domain);
        let share = cold::share(&self.terms, rate, self.members.own_ident(), upstream.ident, nodes);
        upstream.sends.fits(now, share)
    }
}
