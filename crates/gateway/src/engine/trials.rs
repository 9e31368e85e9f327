//! Trials of target versions: which requests they get, the evidence on them, and their verdict.

use std::sync::Arc;

use base::prelude::*;
use model::registry::{Phase, Rollout};
use policy::rollout::{Arm, Group, Judge, Row, Tallies};
use rand::RngExt;

use super::{Call, Engine, Note, Output};
use crate::demand::{self, Capacity, Demand};
use crate::exchange::Exchange;
use crate::message::Frame;
use crate::trial::{self, Action, Assignment, Event, Progress, State, Trial};

/// Maximum number of rows of evidence in one frame.
const MAX_FRAME_ROWS: usize = 64;
/// Time that each leader ranked before this one has to write a verdict.
const TAKEOVER_DELAY: Span = Span::seconds(2);
/// Factor on the usual service time after which a superseded exchange counts as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Service time that is recorded for a superseded exchange, in microseconds.
const SUPERSEDED_TIME_US: f64 = 60e6;
/// Age of the last confirmation up to which the store counts as reachable.
const MAX_CONFIRMATION_AGE: Span = Span::millis(1_300);
/// Interval of frames with evidence.
const EVIDENCE_INTERVAL: Span = Span::millis(400);

record! {
    /// Verdict of a trial, to be written to the store.
    pub struct Verdict {
        /// Identity of the trial.
        pub trial: u64,
        /// Name of the service.
        pub service: String,
        /// Target version.
        pub target: String,
        /// Phase of the rollout that the verdict leads to.
        pub phase: Phase,
    }
}

/// Evidence that this node has collected on a trial, and when it last reported it to which driver.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    tallies: Tallies,
    driver: u64,
    reported_at: Moment,
}

impl Engine {
    /// Starts the trial of a rollout, unless it is already running.
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
        service.rolled_back.remove(&target);
        service.trial = Some(Trial {
            ident,
            service: key,
            target,
            service_name: rollout.service.clone(),
            target_name: rollout.target.clone(),
            started_at: now,
            duration: rollout.duration,
            state: self.charts.trial.initial(),
            state_since: now,
            deficit: self.rng.random_range(0.0..1.0),
            judge: Judge::pooled(),
            demand: Demand::default(),
            accepted: false,
            last_write_at: None,
        });
        self.log_trial(key, out);
    }

    /// Ends the trial of a rollout that the store lists as completed or rolled back.
    pub(super) fn finish_trial(
        &mut self,
        now: Moment,
        key: key::Service,
        target: key::Version,
        phase: Phase,
        out: &mut Vec<Output>,
    ) {
        let service = &mut self.services[key];
        let trial = service.trial.take_if(|trial| trial.target == target);
        if phase == Phase::Completed {
            service.rolled_back.remove(&target);
            service.established.insert(target);
        } else {
            service.rolled_back.insert(target);
        }
        let Some(trial) = trial else { return };
        out.push(Output::Note(Note::Trial {
            service: trial.service_name,
            target: trial.target_name,
            state: if phase == Phase::Completed { State::Finished } else { State::Failed },
            samples: trial.judge.samples(),
        }));
        if phase == Phase::Completed {
            self.drain_other_versions(now, key, target, out);
        }
    }

    /// Drains the present upstreams of other versions, which are about to stop; ones that register
    /// later may serve.
    fn drain_other_versions(
        &mut self,
        now: Moment,
        key: key::Service,
        target: key::Version,
        out: &mut Vec<Output>,
    ) {
        let upstreams = self.services[key].upstreams.iter().copied();
        let others = upstreams.filter(|key| self.upstreams[*key].version != target);
        for upstream in others.collect::<Vec<_>>() {
            self.apply_upstream_event(now, upstream, crate::upstream::Event::Draining, out);
        }
    }

    fn log_trial(&self, key: key::Service, out: &mut Vec<Output>) {
        let Some(trial) = &self.services[key].trial else { return };
        out.push(Output::Note(Note::Trial {
            service: trial.service_name.clone(),
            target: trial.target_name.clone(),
            state: trial.state,
            samples: trial.judge.samples(),
        }));
    }

    /// Decides whether the next request of a service goes to the target version of its trial.
    pub(super) fn assign_version(&mut self, now: Moment, key: key::Service) -> Assignment {
        let permitted = self.terms.trial_share;
        let service = &mut self.services[key];
        let target = service.trial.as_ref().map(|trial| trial.target);
        let upstreams = &self.upstreams;
        let present = service.upstreams.iter().any(|key| Some(upstreams[*key].version) == target);
        match service.trial.as_mut().filter(|_| present) {
            Some(trial) => trial.assign(now, permitted),
            None => Assignment::Established,
        }
    }

    /// Undoes the assignment of a request that the target version's upstreams had no room for.
    pub(super) fn unassign_version(&mut self, key: key::Service) {
        if let Some(trial) = self.services[key].trial.as_mut() {
            trial.unassign();
        }
    }

    /// Returns whether an upstream of a version may serve a call.
    pub(super) fn may_use_version(&self, now: Moment, call: &Call, version: key::Version) -> bool {
        let service = &self.services[call.service];
        if let Some(trial) = &service.trial {
            return match trial.state {
                State::Trying => {
                    (version == trial.target) == (call.assignment != Assignment::Established)
                }
                State::Finished if trial.is_stuck(now) => true,
                State::Held if call.assignment == Assignment::Established => {
                    !service.rolled_back.contains(&version)
                }
                State::Held => version == trial.target,
                State::Switching | State::Finished => {
                    version == trial.target
                        || !self.has_serving_upstream(call.service, trial.target)
                }
                State::Failed => version != trial.target,
            };
        }
        service.established.contains(&version) && !service.rolled_back.contains(&version)
    }

    fn has_serving_upstream(&self, service: key::Service, version: key::Version) -> bool {
        let upstreams = &self.services[service].upstreams;
        upstreams.iter().any(|key| {
            let upstream = &self.upstreams[*key];
            upstream.version == version && upstream.state != crate::upstream::State::Draining
        })
    }

    /// Records the result of an exchange as evidence for the trial of its service.
    pub(super) fn record_trial_result(&mut self, now: Moment, exchange: &Exchange, failed: bool) {
        // Delays by load, slow neighbours or a cold start say nothing about the version.
        let elapsed = now.since(exchange.started_at).0 as f64 / exchange.expected_slowdown.max(0.5);
        self.record_trial_sample(exchange, failed, (!exchange.cold).then_some(elapsed));
    }

    fn record_trial_sample(
        &mut self,
        exchange: &Exchange,
        failed: bool,
        service_time: Option<f64>,
    ) {
        let Some(upstream) = self.upstreams.get(exchange.upstream) else { return };
        let Some(trial) = &self.services[upstream.service].trial else { return };
        if !trial.needs_evidence() {
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
        self.evidence.entry(trial.ident).or_default().tallies.add(group, failed, service_time);
    }

    /// Records the exchanges of a call that another of its exchanges has superseded as very slow,
    /// if they took longer than usual, because their real service time is not known.
    pub(super) fn record_superseded(&mut self, now: Moment, key: key::Call) {
        let Some(call) = self.calls.get(key) else { return };
        let route = self.routes.arena.get(call.route);
        let usual = route.map_or(f64::MAX, |route| route.service_time);
        let of_call = self.exchanges.values().filter(|exchange| exchange.call == key);
        let slow = of_call.filter(|exchange| {
            let elapsed = now.since(exchange.started_at).0 as f64;
            exchange.may_have_arrived
                && elapsed > SLOW_FACTOR * usual * exchange.expected_slowdown.max(0.5)
        });
        for exchange in slow.copied().collect::<Vec<_>>() {
            self.record_trial_sample(&exchange, false, Some(SUPERSEDED_TIME_US));
        }
    }

    /// Reports evidence on all trials to their drivers, and steps the trials that this node drives.
    pub(super) fn drive_trials(&mut self, now: Moment, out: &mut Vec<Output>) {
        let keys: Vec<key::Service> = self.services.keys().collect();
        for key in keys {
            let Some(trial) = &self.services[key].trial else { continue };
            let ident = trial.ident;
            let leader = self.members.leader_of(self.members.driver_domain(now, ident));
            let driver = leader.unwrap_or(self.members.own_ident());
            self.send_evidence(now, ident, driver, out);
            let needs_evidence =
                self.services[key].trial.as_ref().is_some_and(Trial::needs_evidence);
            if driver == self.members.own_ident()
                || (!needs_evidence && self.is_takeover_due(now, key))
            {
                self.drive_trial(now, key, out);
            }
        }
    }

    /// Returns whether the leaders ranked before this node have not written a verdict in time, so
    /// that this node writes it.
    fn is_takeover_due(&self, now: Moment, key: key::Service) -> bool {
        let Some(trial) = &self.services[key].trial else { return false };
        let rank = self.members.driver_rank(now, trial.ident) as u64;
        self.members.is_leader() && now.since(trial.state_since).0 >= TAKEOVER_DELAY.0 * rank
    }

    fn drive_trial(&mut self, now: Moment, key: key::Service, out: &mut Vec<Output>) {
        let confirmed_at = self.confirmed_at();
        let store_reachable = confirmed_at.is_some_and(|at| now.since(at) < MAX_CONFIRMATION_AGE);
        let (target, all) = self.capacities(key);
        let domains_lost = self.terms.domains_lost;
        let Some(trial) = self.services[key].trial.as_mut() else { return };
        trial.demand.observe(now, trial.judge.total_service_us());
        let has_capacity = demand::can_serve_alone(&trial.demand, &target, &all, domains_lost);
        let Some(event) = trial.next_event(now, store_reachable, has_capacity) else { return };
        if event == Event::Undersized {
            out.push(Output::Note(Note::Held {
                service: trial.service_name.clone(),
                busy: trial.demand.busy_slots(),
                slots: target.remaining_slots(0),
                slots_left: target.remaining_slots(domains_lost),
            }));
        }
        self.step_trial(now, key, event, out);
    }

    /// Returns the slots of a trial's target version and those of all versions.
    fn capacities(&self, key: key::Service) -> (Capacity, Capacity) {
        let service = &self.services[key];
        let target = service.trial.as_ref().map(|trial| trial.target);
        let (mut target_slots, mut all_slots) = (Capacity::default(), Capacity::default());
        for upstream in service.upstreams.iter().map(|key| &self.upstreams[*key]) {
            if !upstream.is_usable() || self.domains[upstream.domain].withdrawn {
                continue;
            }
            all_slots.add(upstream.domain, upstream.slots);
            if Some(upstream.version) == target {
                target_slots.add(upstream.domain, upstream.slots);
            }
        }
        (target_slots, all_slots)
    }

    fn step_trial(&mut self, now: Moment, key: key::Service, event: Event, out: &mut Vec<Output>) {
        let charts = Arc::clone(&self.charts);
        let Some(trial) = self.services[key].trial.as_mut() else { return };
        let step = charts.trial.step(trial.state, event);
        if trial.state != step.next {
            trial.state = step.next;
            trial.state_since = now;
        }
        for action in step.actions {
            match action {
                Action::Announce => {
                    self.log_trial(key, out);
                    self.send_heartbeats(now, out);
                }
                Action::Write => self.write_verdict(now, key, out),
            }
        }
    }

    fn write_verdict(&mut self, now: Moment, key: key::Service, out: &mut Vec<Output>) {
        let Some(trial) = self.services[key].trial.as_mut() else { return };
        trial.last_write_at = Some(now);
        let completed = trial.state == State::Finished;
        out.push(Output::Write(Verdict {
            trial: trial.ident,
            service: trial.service_name.clone(),
            target: trial.target_name.clone(),
            phase: if completed { Phase::Completed } else { Phase::RolledBack },
        }));
    }

    /// Records whether the store has accepted the verdict of a trial.
    pub(super) fn on_verdict_written(&mut self, ident: u64, accepted: bool) {
        let trials = self.services.values_mut().filter_map(|service| service.trial.as_mut());
        for trial in trials.filter(|trial| trial.ident == ident) {
            trial.accepted |= accepted;
        }
    }

    fn send_evidence(&mut self, now: Moment, trial: u64, driver: u64, out: &mut Vec<Output>) {
        let Some(evidence) = self.evidence.get_mut(&trial) else { return };
        if evidence.driver != driver {
            evidence.driver = driver;
            evidence.tallies.mark_all_changed();
        }
        if now.since(evidence.reported_at) < EVIDENCE_INTERVAL {
            return;
        }
        evidence.reported_at = now;
        let rows = evidence.tallies.take_changed(MAX_FRAME_ROWS);
        if rows.is_empty() {
            return;
        }
        let reporter = self.members.own_ident();
        self.receive_evidence(now, trial, reporter, rows, out);
    }

    /// Adds evidence to a trial that this node drives, or forwards it towards the driver.
    pub(super) fn receive_evidence(
        &mut self,
        now: Moment,
        trial: u64,
        reporter: u64,
        rows: Vec<Row>,
        out: &mut Vec<Output>,
    ) {
        let driver = self.members.driver_domain(now, trial);
        let next = if self.members.is_leader() {
            self.members.leader_of(driver)
        } else {
            Some(self.members.leader())
        };
        match next {
            Some(to) if to != self.members.own_ident() => {
                out.push(Output::Send { to, frame: Frame::Evidence { trial, reporter, rows } });
            }
            _ => self.add_evidence(trial, reporter, &rows),
        }
    }

    fn add_evidence(&mut self, ident: u64, reporter: u64, rows: &[Row]) {
        let trials = self.services.values_mut().filter_map(|service| service.trial.as_mut());
        for trial in trials.filter(|trial| trial.ident == ident) {
            trial.judge.add(reporter, rows, true);
        }
    }

    /// Returns the progress of each trial whose verdict the store has not accepted yet.
    pub(super) fn trial_progress(&self, now: Moment) -> Vec<Progress> {
        let trials = self.services.values().filter_map(|service| service.trial.as_ref());
        let open = trials.filter(|trial| !trial.accepted);
        open.map(|trial| Progress {
            trial: trial.ident,
            age: now.since(trial.started_at),
            state: trial.state,
        })
        .collect()
    }

    /// Adopts the earlier start and the further state of a trial from another node.
    pub(super) fn receive_progress(
        &mut self,
        now: Moment,
        reported: &Progress,
        out: &mut Vec<Output>,
    ) {
        let keys: Vec<key::Service> = self.services.keys().collect();
        for key in keys {
            let Some(trial) = self.services[key].trial.as_mut() else { continue };
            if trial.ident != reported.trial {
                continue;
            }
            trial.started_at = trial.started_at.min(now - reported.age);
            if trial.advance(now, reported.state) {
                self.log_trial(key, out);
            }
        }
    }
}
