//! Moves of a service's traffic from one version to another.
//!
//! Every entry sends the current share of calls to the new version and reports its evidence on both
//! versions. The member that owns the move drives it: it judges the evidence, raises the share step
//! by step, and submits the end of the move or its rollback to the store.

use base::derive::Symbol;
use base::prelude::*;
use model::catalog;
use model::command::Command;
use model::object::{Phase, Standing};
use rand::RngExt;

use super::{Engine, Output};
use crate::Now;
use crate::attempt::Attempt;
use crate::balance::Chooser;
use crate::message::{Message, Update};
use crate::rollout::{
    Action, Arm, Conditions, Driver, Event, Group, Row, STEPS, Share, Tallies, Verdict,
};
use crate::upstream::State;

/// Interval between reports of evidence, and between its evaluations.
const EVALUATION_INTERVAL: Span = Span::millis(250);
/// Maximum number of rows in one report.
const MAX_ROWS: usize = 64;
/// Ratio of the capacity that the new version needs to the load of its next share.
const HEADROOM: f64 = 1.2;
/// The whole traffic, in per mille.
const PERMILLE: u32 = 1_000;

/// State of one active move at this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// Traffic share of the new version.
    pub share: Share,
    /// Reason to roll the move back; final once set.
    pub verdict: Option<Verdict>,
    /// State of the driver, if this member drives the move.
    pub driver: Option<Driver>,
    tallies: Tallies,
    /// Driver that received the last report of evidence. A new driver gets all rows.
    reported_to: Option<u64>,
    next_evaluation_at: Moment,
}

impl<C: Chooser> Engine<C> {
    /// Adds plans for new moves and removes those of ended moves.
    pub(super) fn update_plans(&mut self) {
        let moves = &self.catalog.moves;
        self.plans.retain(|key, _| moves.get(key).is_some_and(|spec| !spec.phase.is_final()));
        for (key, spec) in moves {
            if !spec.phase.is_final() && !self.plans.contains_key(key) {
                self.plans.insert(key, Plan::default());
            }
        }
    }

    /// Returns the new version of a move if the call falls into its share, by random choice.
    pub(super) fn pick_new_version(&mut self, call: key::Call) -> Option<key::Version> {
        let call = &self.calls[call];
        // Retries go to the old version, which is known to be good.
        if call.attempts > 0 {
            return None;
        }
        let key = self.catalog.services.get(call.request.service)?.active_move?;
        let (plan, spec) = (self.plans.get(key)?, self.catalog.moves.get(key)?);
        let standing = self.catalog.versions.get(spec.to)?.standing;
        if plan.verdict.is_some() || standing != Standing::Good {
            return None;
        }
        let is_selected = self.rng.random_range(0..PERMILLE) < plan.share.mille;
        is_selected.then_some(spec.to)
    }

    /// Returns whether an upstream runs the new version of a move that is not being rolled back.
    pub(super) fn is_shifting_to(&self, upstream: key::Upstream) -> bool {
        let Some(spec) = self.catalog.upstreams.get(upstream) else { return false };
        let plan = self.catalog.services.get(spec.service).and_then(|service| service.active_move);
        let Some(plan) = plan else { return false };
        let is_active = self.plans.get(plan).is_some_and(|plan| plan.verdict.is_none());
        is_active && self.catalog.moves[plan].to == spec.version
    }

    /// Counts the result of an attempt as evidence if its version takes part in a move.
    pub(super) fn record_evidence(
        &mut self,
        attempt: &Attempt,
        failed: bool,
        service_us: Option<f64>,
    ) {
        let Some(spec) = self.catalog.upstreams.get(attempt.upstream) else { return };
        let key = self.catalog.services.get(spec.service).and_then(|service| service.active_move);
        let Some(key) = key else { return };
        let move_spec = &self.catalog.moves[key];
        let (arm, upstream) = match spec.version {
            version if version == move_spec.from => (Arm::Old, 0),
            version if version == move_spec.to => (Arm::New, spec.ident),
            _ => return,
        };
        let route = self.calls.get(attempt.call).and_then(|call| call.request.route);
        let route = route.and_then(|route| self.catalog.routes.get(route));
        let group = Group { arm, route: route.map_or(0, |route| route.ident), upstream };
        if let Some(plan) = self.plans.get_mut(key) {
            plan.tallies.add(group, failed, service_us);
        }
    }

    /// Reports evidence on all moves and drives those that this member owns.
    pub(super) fn tick_moves(&mut self, now: Now, out: &mut Vec<Output>) {
        let is_due = |(_, plan): &(key::Move, &Plan)| now.at >= plan.next_evaluation_at;
        let due: Vec<key::Move> = self.plans.iter().filter(is_due).map(|(key, _)| key).collect();
        for key in due {
            self.plans[key].next_evaluation_at = now.at + EVALUATION_INTERVAL;
            let ident = self.catalog.moves[key].ident;
            let driver = self.lease.roster().and_then(|roster| roster.owner(ident));
            let Some(driver) = driver else { continue };
            self.report_evidence(key, ident, driver, out);
            if driver == self.lease.own_ident() {
                self.drive_move(now, key, out);
            } else {
                self.plans[key].driver = None;
            }
        }
    }

    /// Sends the changed tallies of a move to the member that drives it.
    fn report_evidence(&mut self, key: key::Move, ident: u64, driver: u64, out: &mut Vec<Output>) {
        let plan = &mut self.plans[key];
        if plan.reported_to.replace(driver) != Some(driver) {
            plan.tallies.mark_all_changed();
        }
        let rows = plan.tallies.take_changed(MAX_ROWS);
        if rows.is_empty() {
            return;
        }
        if driver == self.lease.own_ident() {
            self.apply_evidence(driver, ident, &rows);
        } else {
            out.push(Output::message(driver, Message::Evidence { plan: ident, rows }));
        }
    }

    /// Adds a member's evidence on a move that this member drives.
    pub(super) fn apply_evidence(&mut self, from: u64, plan: u64, rows: &[Row]) {
        let key = self.catalog.move_by_ident(plan);
        let driver = key.and_then(|key| self.plans.get_mut(key)?.driver.as_mut());
        if let Some(driver) = driver {
            let from_start = driver.from_start;
            driver.judge.add(from, rows, from_start);
        }
    }

    /// Evaluates the evidence on a move and carries out the actions of its chart.
    fn drive_move(&mut self, now: Now, key: key::Move, out: &mut Vec<Output>) {
        let conditions = self.conditions(now, key);
        let plan = &mut self.plans[key];
        let chart = &self.charts.rollout;
        let permille = plan.share.mille;
        let driver = plan.driver.get_or_insert_with(|| Driver::new(chart, now.at, permille));
        let mut decision = driver.evaluate(now.at, conditions);
        // A verdict received from another member is final.
        if plan.verdict.is_some() && driver.state != crate::rollout::State::Failed {
            decision = Some((Event::Bad, plan.verdict));
        }
        let Some((event, verdict)) = decision else { return };
        let step = chart.step(driver.state, event);
        driver.state = step.next;
        let actions = step.actions.to_vec();
        for action in actions {
            self.move_action(now, key, action, verdict, out);
        }
    }

    fn move_action(
        &mut self,
        now: Now,
        key: key::Move,
        action: Action,
        verdict: Option<Verdict>,
        out: &mut Vec<Output>,
    ) {
        match action {
            Action::Start | Action::Raise => self.set_share(now, key, action, out),
            Action::AnnounceBad | Action::AnnounceLate => {
                let plan = &mut self.plans[key];
                let verdict = *plan.verdict.get_or_insert(verdict.unwrap_or(Verdict::Late));
                let plan = self.catalog.moves[key].ident;
                self.broadcast(Update::Verdict { plan, verdict }, out);
            }
            Action::SubmitCompletion => self.submit_end(now, key, Phase::Done, out),
            Action::SubmitRollback => {
                self.submit_standing(key, out);
                self.submit_end(now, key, Phase::RolledBack, out);
            }
        }
    }

    fn set_share(&mut self, now: Now, key: key::Move, action: Action, out: &mut Vec<Output>) {
        let fence = self.lease.number();
        let plan = &mut self.plans[key];
        let Some(driver) = plan.driver.as_mut() else { return };
        let mille = match action {
            Action::Start => driver.start(now.at),
            _ => driver.raise(now.at),
        };
        let count = if plan.share.fence == fence { plan.share.count + 1 } else { 0 };
        plan.share = Share { fence, count, mille };
        let (plan, share) = (self.catalog.moves[key].ident, plan.share);
        self.broadcast(Update::Share { plan, share }, out);
    }

    /// Submits the command that marks a version as bad, unless the move was merely late.
    fn submit_standing(&self, key: key::Move, out: &mut Vec<Output>) {
        let verdict = self.plans[key].verdict.unwrap_or(Verdict::Late);
        let move_spec = &self.catalog.moves[key];
        let version = &self.catalog.versions[move_spec.to];
        if verdict == Verdict::Late || version.standing == Standing::Bad {
            return;
        }
        let service = self.catalog.services[move_spec.service].name.clone();
        let text = format!("mark version {} of {service} bad: {}", version.name, verdict.name());
        let standing = Standing::Bad;
        let command = Command::SetStanding { service, version: version.name.clone(), standing };
        out.push(Output::Submit { command, text });
    }

    fn submit_end(&mut self, now: Now, key: key::Move, phase: Phase, out: &mut Vec<Output>) {
        let plan = &mut self.plans[key];
        let Some(driver) = plan.driver.as_mut() else { return };
        driver.record_submission(now.at);
        let samples = driver.judge.samples();
        let cause = plan.verdict.map_or("good", Symbol::name);
        let reason = format!(
            "{cause}, after {samples} answers of the new version at up to {} per mille",
            STEPS[driver.step]
        );
        let name = self.catalog.moves[key].name.clone();
        let text = format!("{} move {name}: {reason}", phase.name());
        let command = Command::SetMove { name, phase, reason };
        out.push(Output::Submit { command, text });
    }

    fn conditions(&self, now: Now, key: key::Move) -> Conditions {
        let move_spec = &self.catalog.moves[key];
        let step = self.plans[key].driver.as_ref().map_or(0, |driver| driver.step);
        Conditions {
            window: Span::millis(move_spec.deadline_ms.saturating_sub(move_spec.start_ms)),
            is_past_deadline: now.unix_ms >= move_spec.deadline_ms,
            is_paused: move_spec.phase == Phase::Paused,
            has_capacity: self.has_capacity(now, move_spec, STEPS[(step + 1).min(STEPS.len() - 1)]),
        }
    }

    /// Returns whether the upstreams of the new version can take a share, by this entry's estimate.
    fn has_capacity(&self, now: Now, move_spec: &catalog::Move, permille: u32) -> bool {
        let service = &self.catalog.services[move_spec.service];
        let upstreams = |version: key::Version| {
            let keys = &self.catalog.versions[version].upstreams;
            keys.iter().filter_map(|key| self.upstreams.get(*key))
        };
        let both = upstreams(move_spec.from).chain(upstreams(move_spec.to));
        let load: f64 = both.map(|upstream| upstream.gauge.load(now.at)).sum();
        let capacity = upstreams(move_spec.to).map(|upstream| match upstream.state {
            State::Warm => service.slots,
            State::Fresh | State::Cold => service.cold,
            State::Down | State::Suspect | State::Trial | State::Draining => 0,
        });
        let needed = load * f64::from(permille) / f64::from(PERMILLE) * HEADROOM;
        f64::from(capacity.sum::<u32>()) >= needed.max(1.0)
    }

    /// Applies a share that the driver of a move has set, if it is newer.
    pub(super) fn on_share(&mut self, ident: u64, share: Share) {
        let key = self.catalog.move_by_ident(ident);
        let Some(plan) = key.and_then(|key| self.plans.get_mut(key)) else { return };
        // A former driver that does not know of its replacement sends a lower fence.
        if share > plan.share {
            plan.share = share;
            self.gossip.enqueue(Update::Share { plan: ident, share });
        }
    }

    /// Applies a verdict on a move. The first one is final.
    pub(super) fn on_verdict(&mut self, ident: u64, verdict: Verdict) {
        let key = self.catalog.move_by_ident(ident);
        let Some(plan) = key.and_then(|key| self.plans.get_mut(key)) else { return };
        if plan.verdict.is_none() {
            plan.verdict = Some(verdict);
            self.gossip.enqueue(Update::Verdict { plan: ident, verdict });
        }
    }

    /// Returns the updates on moves that a member needs after its start.
    pub(super) fn move_updates(&self) -> impl Iterator<Item = Update> {
        self.plans.iter().flat_map(|(key, plan_state)| {
            let plan = self.catalog.moves[key].ident;
            let share = Some(Update::Share { plan, share: plan_state.share });
            let verdict = plan_state.verdict.map(|verdict| Update::Verdict { plan, verdict });
            share.into_iter().chain(verdict)
        })
    }
}
