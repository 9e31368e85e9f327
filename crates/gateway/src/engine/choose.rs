//! Choosing an upstream for a call, after asking the likely ones how they are.

use base::prelude::*;

use super::candidate::Candidate;
use super::{Engine, Output, Refusal};
use crate::exchange::Exchange;
use crate::trial::Draw;
use crate::upstream::State;

/// Upstreams asked for their health at a time for one call.
const ASKED: usize = 3;
/// The same of other failure domains.
const ASKED_AWAY: usize = 1;
/// Rounds of such questions for one call.
const ROUNDS: u32 = 3;
/// Time to wait for their answers.
const PROBE_WAIT: Span = Span::millis(15);
/// Time to wait when no upstream may be used without an answer.
const PROBE_WAIT_MOST: Span = Span::millis(60);
/// Part of an upstream's slots up to which it takes second sends.
const IDLE_PART: f64 = 0.7;

record! {
    /// What decided where a request went.
    #[derive(Copy)]
    pub struct Why {
        /// Expected time of the request, in microseconds.
        pub cost: f64,
        /// Age of the report that it is based on.
        pub age: Span,
        /// Pace that the upstream told.
        pub pace: f64,
        /// Upstreams that could have been chosen.
        pub options: usize,
        /// Version of the table in force.
        pub table: u64,
        /// Whether the upstream runs the target version of a trial.
        pub trial: bool,
        /// Whether the upstream was in a cold start.
        pub cold: bool,
    }
}

impl Engine {
    /// Sends a call to an upstream, asks upstreams for their health first, or refuses the call.
    pub(super) fn place(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else { return };
        if now >= call.deadline {
            return self.refuse_if_alone(now, key, Refusal::LateUnsent, out);
        }
        let mut candidates = self.candidates(now, key);
        if candidates.is_empty() && self.calls[key].trial != Draw::Old {
            // The target version has no room; the old one serves instead.
            let service = self.calls[key].service;
            self.calls[key].trial = Draw::Old;
            self.restore_trial(service);
            candidates = self.candidates(now, key);
        }
        let silent = &self.calls[key].silent;
        candidates.sort_by(|one, other| {
            let silence = |one: &Candidate| silent.contains(&one.upstream);
            silence(one).cmp(&silence(other)).then(one.hope.total_cmp(&other.hope))
        });
        if self.ask(now, key, &candidates, out) {
            return;
        }
        let usable = candidates.iter().filter(|one| one.room && !one.unproven);
        match usable.min_by(|one, other| one.cost.total_cmp(&other.cost)) {
            Some(best) => self.send(now, key, *best, candidates.len(), out),
            None => self.refuse_if_alone(now, key, self.lack(key), out),
        }
    }

    /// Refuses a call unless another exchange of it is in progress.
    fn refuse_if_alone(
        &mut self,
        now: Moment,
        key: key::Call,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.calls.get(key) else { return };
        match call.live {
            0 => self.refuse(now, key, refusal, out),
            _ => out.push(Output::Await { token: call.token }),
        }
    }

    /// Sends a call to a second upstream while the first has not answered.
    pub(super) fn hedge(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) -> bool {
        let call = &self.calls[key];
        if call.runs >= self.attempts(key) {
            return false;
        }
        let left = call.deadline.since(now).0 as f64;
        let candidates = self.candidates(now, key);
        // A second send must not take the place of somebody's first.
        let usable = candidates.iter().filter(|one| {
            let upstream = &self.upstreams[one.upstream];
            let idle = upstream.gauge.load(now) + 1.0 <= IDLE_PART * f64::from(upstream.slots);
            idle && !one.unproven && !one.cold
        });
        let best = usable.min_by(|one, other| one.cost.total_cmp(&other.cost)).copied();
        let Some(best) = best.filter(|best| best.cost < left) else { return false };
        if !self.spend(now, key) {
            return false;
        }
        self.stats.hedged += 1;
        self.calls[key].repeats += 1;
        self.send(now, key, best, candidates.len(), out);
        true
    }

    pub(super) fn attempts(&self, key: key::Call) -> u32 {
        let route = self.calls.get(key).and_then(|call| self.routes.arena.get(call.route));
        route.map_or(1, |route| route.order.max_attempts.max(1))
    }

    /// Spends one retry of a call's service.
    pub(super) fn spend(&mut self, now: Moment, key: key::Call) -> bool {
        let nodes = self.members.known();
        let Some(service) = self.calls.get(key).map(|call| call.service) else { return false };
        let Some(service) = self.services.get_mut(service) else { return false };
        let paid = service.budget.spend(now, &self.terms, nodes);
        self.stats.over_budget += u64::from(!paid);
        paid
    }

    /// Asks the likeliest upstreams for their health if the best of them is not known well.
    ///
    /// Those that a call has waited for in vain are not asked again for it: full ones answer late,
    /// and others may be idle.
    fn ask(
        &mut self,
        now: Moment,
        key: key::Call,
        candidates: &[Candidate],
        out: &mut Vec<Output>,
    ) -> bool {
        let call = &self.calls[key];
        let heard = candidates.iter().filter(|one| !call.silent.contains(&one.upstream));
        let heard: Vec<Candidate> = heard.copied().collect();
        let Some(best) = heard.first() else { return false };
        let waited = now.since(call.arrived);
        let must = candidates.iter().all(|one| one.unproven);
        let rounds = if must { ROUNDS * 2 } else { ROUNDS };
        if !best.old || call.rounds >= rounds || waited >= PROBE_WAIT_MOST {
            return false;
        }
        let mut asked = Vec::new();
        let old = heard.iter().filter(|one| one.old);
        let most = if best.near || must { ASKED } else { ASKED_AWAY };
        for candidate in old.filter(|one| one.near == best.near).take(most) {
            if self.probe(now, candidate.upstream, out) {
                asked.push(candidate.upstream);
            }
        }
        if asked.is_empty() {
            return false;
        }
        let last = asked.len() == heard.len();
        let until = now + if must && last { PROBE_WAIT_MOST } else { PROBE_WAIT };
        let call = &mut self.calls[key];
        call.rounds += 1;
        call.probes = asked;
        call.probes_until = Some(until);
        self.waits.insert((until, key));
        true
    }

    /// Lets calls go on that have waited long enough for answers of health.
    pub(super) fn expire_waits(&mut self, now: Moment, out: &mut Vec<Output>) {
        while let Some((until, key)) = self.waits.first().copied().filter(|wait| wait.0 <= now) {
            self.waits.remove(&(until, key));
            self.go_on(now, key, out);
        }
    }

    /// Lets calls go on that have waited for an upstream's health, if it was the last.
    pub(super) fn release(&mut self, now: Moment, upstream: key::Upstream, out: &mut Vec<Output>) {
        let waiting: Vec<key::Call> = self.waits.iter().map(|(_, key)| *key).collect();
        for key in waiting {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.probes.retain(|one| *one != upstream);
            if call.probes.is_empty() {
                self.go_on(now, key, out);
            }
        }
    }

    fn go_on(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if let Some(until) = call.probes_until.take() {
            self.waits.remove(&(until, key));
        }
        call.silent.append(&mut call.probes);
        self.place(now, key, out);
    }

    /// Says why no upstream can take a call.
    fn lack(&self, key: key::Call) -> Refusal {
        let call = &self.calls[key];
        let upstreams = self.services.get(call.service).map(|one| one.upstreams.as_slice());
        let serving = |key: &&key::Upstream| {
            let state = self.upstreams.get(**key).map(|one| one.state);
            matches!(state, Some(State::Warm | State::Cold))
        };
        let served = upstreams.unwrap_or_default().iter().any(|key| serving(&key));
        match served {
            true if call.tried.is_empty() => Refusal::Full,
            true => Refusal::Attempts,
            false => Refusal::NoUpstream,
        }
    }

    /// Orders an exchange.
    fn send(
        &mut self,
        now: Moment,
        key: key::Call,
        chosen: Candidate,
        options: usize,
        out: &mut Vec<Output>,
    ) {
        let upstream = &mut self.upstreams[chosen.upstream];
        let why = Why {
            cost: chosen.cost,
            age: upstream.gauge.age(now),
            pace: upstream.gauge.pace,
            options,
            table: self.table_version,
            trial: self.calls[key].trial != Draw::Old,
            cold: chosen.cold,
        };
        let route = self.routes.arena.get(self.calls[key].route);
        let usual = route.map_or(1.0, |route| route.service_time.max(1.0));
        let time = upstream.gauge.time(now, upstream.slots, usual, chosen.cold);
        upstream.gauge.own += 1;
        upstream.sends.count(now);
        self.stats.cold_sends += u64::from(chosen.cold);
        let exchange = self.exchanges.insert(Exchange {
            call: key,
            upstream: chosen.upstream,
            state: self.charts.exchange.initial(),
            arrived: false,
            start: now,
            cold: chosen.cold,
            stretch: time / usual,
        });
        let call = &mut self.calls[key];
        call.tried.push(chosen.upstream);
        call.runs += 1;
        call.live += 1;
        self.stats.sends += 1;
        out.push(Output::Send { token: call.token, exchange, upstream: chosen.upstream, why });
    }
}
