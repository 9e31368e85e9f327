//! What speaks for each upstream that a call may go to.

use base::hash::mix;
use base::prelude::*;
use rand::RngExt;

use super::{Call, Engine};
use crate::cold;
use crate::gauge::KNEE;
use crate::trial::Draw;
use crate::upstream::{State, Upstream};

/// Age from which on a report is renewed before it decides.
const FRESH: Span = Span::millis(120);
/// Part of a route's target that another failure domain costs: its bytes, and some time.
const AWAY_COST: f64 = 0.5;
/// Part of the target within which less urgent answers have to be expected beyond the knee.
const LESS_URGENT_PART: f64 = 0.8;
/// Rank from which on routes count as less urgent.
const LESS_URGENT: u32 = 2;
/// Range of the costs that order the upstreams of a burst, all below any time in microseconds.
const BURST_ORDER: u64 = 1_000;
/// Share of calls that go to a cold upstream of the own domain that may have one.
const TRY_COLD: f64 = 0.5;
/// Factor on the cost of an upstream that says it is not well.
const ILL_COST: f64 = 2.0;
/// Factor on the cost of a cold upstream that is to be tried.
const TRY_COLD_COST: f64 = 0.5;

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Its key.
    pub upstream: key::Upstream,
    /// What it is expected to cost, in microseconds.
    pub cost: f64,
    /// The same if a new report told the best that it may.
    pub hope: f64,
    /// Whether its report is old.
    pub old: bool,
    /// Whether it has to answer before it may be used.
    pub unproven: bool,
    /// Whether it should take one more request, as far as is known.
    pub room: bool,
    /// Whether it is in a cold start.
    pub cold: bool,
    /// Whether it is in this node's failure domain.
    pub near: bool,
}

impl Engine {
    /// Returns the upstreams that a call may go to, or that may be asked for their health for it.
    pub(super) fn candidates(&mut self, now: Moment, key: key::Call) -> Vec<Candidate> {
        let Some(service) = self.services.get(self.calls[key].service) else { return Vec::new() };
        let upstreams = service.upstreams.clone();
        upstreams.into_iter().filter_map(|upstream| self.candidate(now, key, upstream)).collect()
    }

    /// Returns what speaks for an upstream, if a call may go there.
    fn candidate(&mut self, now: Moment, key: key::Call, at: key::Upstream) -> Option<Candidate> {
        let call = &self.calls[key];
        let upstream = &self.upstreams[at];
        let route = self.routes.arena.get(call.route)?;
        let usable = matches!(upstream.state, State::Unproven | State::Warm | State::Cold);
        let open = usable && !self.domains[upstream.domain].withdrawn && now >= upstream.full_until;
        if !open || call.tried.contains(&at) || !self.fits_version(now, call, upstream.version) {
            return None;
        }
        let gauge = upstream.gauge;
        let cold = upstream.state == State::Cold;
        if cold && !self.may_send_cold(now, at) {
            return None;
        }
        let unproven = upstream.state == State::Unproven;
        let old = unproven || (gauge.age(now) > FRESH && gauge.told_at > Moment::default());
        let near = upstream.domain == self.home;
        let cost = gauge.cost(now, upstream.slots, route.service_time, cold);
        let hope = if old {
            // A good upstream would need this; asking it shows whether it is one.
            gauge.at_best(now).cost(now, upstream.slots, route.service_time, cold)
        } else {
            cost
        };
        let room = self.has_room(now, call, upstream, cost);
        let known = Candidate { upstream: at, cost, hope, old, unproven, room, cold, near };
        if let Draw::Burst(burst) = call.trial {
            return self.in_burst(now, upstream, burst, known);
        }
        if !old && !room {
            return None;
        }
        let away = if near { 0.0 } else { AWAY_COST * route.order.target_latency.0 as f64 };
        let mut factor = if upstream.ill { ILL_COST } else { 1.0 };
        if cold && near && self.rng.random_bool(TRY_COLD) {
            factor *= TRY_COLD_COST;
        }
        Some(Candidate { cost: (cost + away) * factor, hope: (hope + away) * factor, ..known })
    }

    /// Orders an upstream within a burst of a trial.
    ///
    /// All nodes go through the upstreams in the same order, so that some of them get load.
    fn in_burst(
        &self,
        now: Moment,
        upstream: &Upstream,
        burst: u64,
        known: Candidate,
    ) -> Option<Candidate> {
        let cost = (mix(upstream.ident ^ mix(burst)) % BURST_ORDER) as f64;
        let free = upstream.gauge.load(now) + 1.0 <= f64::from(upstream.slots);
        free.then_some(Candidate { cost, hope: cost, old: known.unproven, ..known })
    }

    /// Tells whether an upstream should take one more request of a call's route.
    ///
    /// Below its knee it always should. Beyond, each request slows the others, so only those that
    /// are urgent go there, and only if their own answers are expected in time.
    fn has_room(&self, now: Moment, call: &Call, upstream: &Upstream, cost: f64) -> bool {
        let Some(route) = self.routes.arena.get(call.route) else { return false };
        let load = upstream.gauge.load(now);
        if load < 1.0 || load + 1.0 <= KNEE * f64::from(upstream.slots) {
            return true;
        }
        let urgent = route.order.priority < LESS_URGENT;
        if !urgent && load + 1.0 > f64::from(upstream.slots) {
            return false;
        }
        let spent = now.since(call.arrived).0 as f64;
        let part = if urgent { 1.0 } else { LESS_URGENT_PART };
        spent + cost <= part * route.order.target_latency.0 as f64
    }

    /// Tells whether this node may send a request to a cold upstream now.
    fn may_send_cold(&self, now: Moment, key: key::Upstream) -> bool {
        let upstream = &self.upstreams[key];
        if upstream.domain != self.home || now.since(self.started_at) < cold::WINDOW {
            return false;
        }
        let rate = self.services[upstream.service].cold_rate;
        let nodes = self.members.known_in(&self.members.own.domain);
        let share = cold::share(&self.terms, rate, self.members.me(), upstream.ident, nodes);
        upstream.sends.fits(now, share)
    }
}
