//! Rollouts: which requests go to a target version, and how its trial ends.

use std::sync::Arc;

use base::prelude::*;
use model::registry::{Phase, Rollout};
use policy::rollout::{Arm, Group, Judge, Row, Tallies};
use rand::RngExt;

use super::{Call, Engine, Note, Output};
use crate::demand::{self, Capacity, Demand};
use crate::exchange::Exchange;
use crate::message::Frame;
use crate::trial::{self, Action, Draw, Event, Progress, State, Trial};

/// Rows of evidence in one frame.
const MOST_ROWS: usize = 64;
/// Time for which an end that is not written is left to the next node in turn.
const TURN: Span = Span::seconds(2);
/// Usual times of the work after which an exchange that is overtaken counts as slow.
const SLOW: f64 = 1.5;
/// Time that counts for an exchange that another one has overtaken, in microseconds.
const OVERTAKEN: f64 = 60e6;
/// Age of the newest word of the store up to which it counts as reachable.
const REACHABLE: Span = Span::millis(1_300);
/// Time between two frames of evidence.
const REPORT: Span = Span::millis(400);

record! {
    /// An end of a trial that the store is to accept.
    pub struct Order {
        /// Identity of the trial.
        pub trial: u64,
        /// The service.
        pub service: String,
        /// The target version.
        pub target: String,
        /// How it ended.
        pub phase: Phase,
    }
}

/// What a node has seen of a trial, and whom it told.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    tallies: Tallies,
    driver: u64,
    told_at: Moment,
}

impl Engine {
    /// Starts a trial, unless it is known.
    pub(super) fn start_trial(
        &mut self,
        now: Moment,
        key: key::Service,
        target: key::Version,
        rollout: &Rollout,
        out: &mut Vec<Output>,
    ) {
        let ident = trial::ident(&rollout.service, &rollout.target);
        let service = &mut self.services[key];
        if service.trial.as_ref().is_some_and(|trial| trial.ident == ident) {
            return;
        }
        service.established.remove(&target);
        service.banned.remove(&target);
        service.trial = Some(Trial {
            ident,
            service: key,
            target,
            service_name: rollout.service.clone(),
            target_name: rollout.target.clone(),
            start: now,
            duration: rollout.duration,
            state: self.charts.trial.initial(),
            since: now,
            credit: self.rng.random_range(0.0..1.0),
            judge: Judge::pooled(),
            demand: Demand::default(),
            written: false,
            wrote_at: None,
        });
        self.note_trial(key, out);
    }

    /// Takes in how a trial ended, as the store says.
    pub(super) fn settle_trial(
        &mut self,
        now: Moment,
        key: key::Service,
        target: key::Version,
        phase: Phase,
        out: &mut Vec<Output>,
    ) {
        let service = &mut self.services[key];
        let tried = service.trial.take_if(|trial| trial.target == target);
        if phase == Phase::Completed {
            service.banned.remove(&target);
            service.established.insert(target);
        } else {
            service.banned.insert(target);
        }
        let Some(trial) = tried else { return };
        out.push(Output::Note(Note::Trial {
            service: trial.service_name,
            target: trial.target_name,
            state: if phase == Phase::Completed { State::Finished } else { State::Failed },
            samples: trial.judge.samples(),
        }));
        if phase == Phase::Completed {
            self.drop_others(now, key, target, out);
        }
    }

    /// Sends nothing more to upstreams of other versions, which end now; later ones may serve.
    fn drop_others(
        &mut self,
        now: Moment,
        key: key::Service,
        target: key::Version,
        out: &mut Vec<Output>,
    ) {
        let known = self.services[key].upstreams.iter().copied();
        let others = known.filter(|at| self.upstreams[*at].version != target);
        for at in others.collect::<Vec<_>>() {
            self.upstream_event(now, at, crate::upstream::Event::Draining, out);
        }
    }

    fn note_trial(&self, key: key::Service, out: &mut Vec<Output>) {
        let Some(trial) = &self.services[key].trial else { return };
        out.push(Output::Note(Note::Trial {
            service: trial.service_name.clone(),
            target: trial.target_name.clone(),
            state: trial.state,
            samples: trial.judge.samples(),
        }));
    }

    /// Draws whether the next request of a service goes to the target version of its trial.
    pub(super) fn draw_trial(&mut self, now: Moment, key: key::Service) -> Draw {
        let allowed = self.terms.trial_share;
        let service = &mut self.services[key];
        let target = service.trial.as_ref().map(|trial| trial.target);
        let upstreams = &self.upstreams;
        let present = service.upstreams.iter().any(|at| Some(upstreams[*at].version) == target);
        match service.trial.as_mut().filter(|_| present) {
            Some(trial) => trial.draw(now, allowed),
            None => Draw::Old,
        }
    }

    /// Gives back a request that the target version had no room for.
    pub(super) fn restore_trial(&mut self, key: key::Service) {
        if let Some(trial) = self.services[key].trial.as_mut() {
            trial.restore();
        }
    }

    /// Tells whether an upstream of a version may get a call.
    pub(super) fn fits_version(&self, now: Moment, call: &Call, version: key::Version) -> bool {
        let service = &self.services[call.service];
        if let Some(trial) = &service.trial {
            return match trial.state {
                State::Trying => (version == trial.target) == (call.trial != Draw::Old),
                State::Finished if trial.is_stuck(now) => true,
                State::Held if call.trial == Draw::Old => !service.banned.contains(&version),
                State::Held => version == trial.target,
                State::Switching | State::Finished => {
                    version == trial.target || !self.is_present(call.service, trial.target)
                }
                State::Failed => version != trial.target,
            };
        }
        service.established.contains(&version) && !service.banned.contains(&version)
    }

    fn is_present(&self, service: key::Service, version: key::Version) -> bool {
        let upstreams = &self.services[service].upstreams;
        upstreams.iter().any(|at| {
            let upstream = &self.upstreams[*at];
            upstream.version == version && upstream.state != crate::upstream::State::Draining
        })
    }

    /// Counts an answer, or its absence, for the trial of its service.
    pub(super) fn witness(&mut self, now: Moment, exchange: &Exchange, failed: bool) {
        // What load, slow neighbours or a cold start stretch says nothing of the version.
        let taken = now.since(exchange.start).0 as f64 / exchange.stretch.max(0.5);
        self.witness_time(exchange, failed, (!exchange.cold).then_some(taken));
    }

    fn witness_time(&mut self, exchange: &Exchange, failed: bool, time: Option<f64>) {
        let Some(upstream) = self.upstreams.get(exchange.upstream) else { return };
        let Some(trial) = &self.services[upstream.service].trial else { return };
        if !trial.is_open() {
            return;
        }
        let call = self.calls.get(exchange.call);
        let route = call.and_then(|call| self.routes.arena.get(call.route));
        let new = upstream.version == trial.target;
        let group = Group {
            arm: if new { Arm::New } else { Arm::Old },
            route: route.map_or(0, |route| route.ident),
            upstream: if new { upstream.ident } else { 0 },
        };
        self.tallies.entry(trial.ident).or_default().tallies.add(group, failed, time);
    }

    /// Counts the exchanges of a call that another one has overtaken, if they had taken longer than
    /// usual: how long they would have taken is not known.
    pub(super) fn witness_overtaken(&mut self, now: Moment, key: key::Call) {
        let Some(call) = self.calls.get(key) else { return };
        let route = self.routes.arena.get(call.route);
        let usual = route.map_or(f64::MAX, |route| route.service_time);
        let of_call = self.exchanges.values().filter(|exchange| exchange.call == key);
        let slow = of_call.filter(|exchange| {
            let taken = now.since(exchange.start).0 as f64;
            exchange.arrived && taken > SLOW * usual * exchange.stretch.max(0.5)
        });
        for exchange in slow.copied().collect::<Vec<_>>() {
            self.witness_time(&exchange, false, Some(OVERTAKEN));
        }
    }

    /// Moves the trials that this node drives, and tells the drivers of the others.
    pub(super) fn drive_trials(&mut self, now: Moment, out: &mut Vec<Output>) {
        let keys: Vec<key::Service> = self.services.keys().collect();
        for key in keys {
            let Some(trial) = &self.services[key].trial else { continue };
            let ident = trial.ident;
            let lead = self.members.lead_of(now, self.members.driver(now, ident));
            let driver = lead.unwrap_or(self.members.me());
            self.report_evidence(now, ident, driver, out);
            let open = self.services[key].trial.as_ref().is_some_and(Trial::is_open);
            if driver == self.members.me() || (!open && self.is_my_turn(now, key)) {
                self.drive(now, key, out);
            }
        }
    }

    /// Tells whether an end has waited so long for its driver that this node writes it.
    fn is_my_turn(&self, now: Moment, key: key::Service) -> bool {
        let Some(trial) = &self.services[key].trial else { return false };
        let before = self.members.turn(now, trial.ident) as u64;
        self.members.is_lead(now) && now.since(trial.since).0 >= TURN.0 * before
    }

    fn drive(&mut self, now: Moment, key: key::Service, out: &mut Vec<Output>) {
        let proven = self.proven_at();
        let reachable = proven.is_some_and(|at| now.since(at) < REACHABLE);
        let (target, all) = self.capacities(key);
        let lost = self.terms.domains_lost;
        let Some(trial) = self.services[key].trial.as_mut() else { return };
        trial.demand.observe(now, trial.judge.total_service_us());
        let carried = demand::is_carried(&trial.demand, &target, &all, lost);
        let Some(event) = trial.look(now, reachable, carried) else { return };
        if event == Event::Short {
            out.push(Output::Note(Note::Held {
                service: trial.service_name.clone(),
                busy: trial.demand.slots(),
                slots: target.without(0),
                slots_left: target.without(lost),
            }));
        }
        self.step_trial(now, key, event, out);
    }

    /// Returns the slots of a trial's target version, and those of all versions.
    fn capacities(&self, key: key::Service) -> (Capacity, Capacity) {
        let service = &self.services[key];
        let target = service.trial.as_ref().map(|trial| trial.target);
        let (mut of_target, mut of_all) = (Capacity::default(), Capacity::default());
        for upstream in service.upstreams.iter().map(|at| &self.upstreams[*at]) {
            if !upstream.is_able() || self.domains[upstream.domain].withdrawn {
                continue;
            }
            of_all.add(upstream.domain, upstream.slots);
            if Some(upstream.version) == target {
                of_target.add(upstream.domain, upstream.slots);
            }
        }
        (of_target, of_all)
    }

    fn step_trial(&mut self, now: Moment, key: key::Service, event: Event, out: &mut Vec<Output>) {
        let charts = Arc::clone(&self.charts);
        let Some(trial) = self.services[key].trial.as_mut() else { return };
        let step = charts.trial.step(trial.state, event);
        if trial.state != step.next {
            trial.state = step.next;
            trial.since = now;
        }
        for action in step.actions {
            match action {
                Action::Announce => {
                    self.note_trial(key, out);
                    self.beat(now, out);
                }
                Action::Write => self.write_trial(now, key, out),
            }
        }
    }

    fn write_trial(&mut self, now: Moment, key: key::Service, out: &mut Vec<Output>) {
        let Some(trial) = self.services[key].trial.as_mut() else { return };
        trial.wrote_at = Some(now);
        let completed = trial.state == State::Finished;
        out.push(Output::Write(Order {
            trial: trial.ident,
            service: trial.service_name.clone(),
            target: trial.target_name.clone(),
            phase: if completed { Phase::Completed } else { Phase::RolledBack },
        }));
    }

    /// Notes whether the store has accepted an end.
    pub(super) fn written(&mut self, trial: u64, accepted: bool) {
        let known = self.services.values_mut().filter_map(|service| service.trial.as_mut());
        for one in known.filter(|one| one.ident == trial) {
            one.written |= accepted;
        }
    }

    fn report_evidence(&mut self, now: Moment, trial: u64, driver: u64, out: &mut Vec<Output>) {
        let Some(ledger) = self.tallies.get_mut(&trial) else { return };
        if ledger.driver != driver {
            ledger.driver = driver;
            ledger.tallies.mark_all_changed();
        }
        if now.since(ledger.told_at) < REPORT {
            return;
        }
        ledger.told_at = now;
        let rows = ledger.tallies.take_changed(MOST_ROWS);
        if rows.is_empty() {
            return;
        }
        let witness = self.members.me();
        self.hear_evidence(now, trial, witness, rows, out);
    }

    /// Takes in what a node has seen, or passes it on towards the driver of the trial.
    pub(super) fn hear_evidence(
        &mut self,
        now: Moment,
        trial: u64,
        witness: u64,
        rows: Vec<Row>,
        out: &mut Vec<Output>,
    ) {
        let driver = self.members.driver(now, trial);
        let next = if self.members.is_lead(now) {
            self.members.lead_of(now, driver)
        } else {
            Some(self.members.lead(now))
        };
        match next {
            Some(to) if to != self.members.me() => {
                out.push(Output::Frame { to, frame: Frame::Evidence { trial, witness, rows } });
            }
            _ => self.judge(trial, witness, &rows),
        }
    }

    fn judge(&mut self, trial: u64, witness: u64, rows: &[Row]) {
        let trials = self.services.values_mut().filter_map(|service| service.trial.as_mut());
        for known in trials.filter(|known| known.ident == trial) {
            known.judge.add(witness, rows, true);
        }
    }

    /// Returns how far this node sees each trial that may not be over for all.
    pub(super) fn progress(&self, now: Moment) -> Vec<Progress> {
        let trials = self.services.values().filter_map(|service| service.trial.as_ref());
        let open = trials.filter(|trial| !trial.written);
        open.map(|trial| Progress {
            trial: trial.ident,
            age: now.since(trial.start),
            state: trial.state,
        })
        .collect()
    }

    /// Takes in how far another node sees a trial.
    pub(super) fn hear_progress(&mut self, now: Moment, told: &Progress, out: &mut Vec<Output>) {
        let keys: Vec<key::Service> = self.services.keys().collect();
        for key in keys {
            let Some(trial) = self.services[key].trial.as_mut() else { continue };
            if trial.ident != told.trial {
                continue;
            }
            trial.start = trial.start.min(now - told.age);
            if trial.advance(now, told.state) {
                self.note_trial(key, out);
            }
        }
    }
}
