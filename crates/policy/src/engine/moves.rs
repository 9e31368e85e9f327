//! Planned moves: which calls go to the new version, and what is seen of it.

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

/// Time between reports of evidence, and between looks at it.
const LOOK: Span = Span::millis(250);
/// Rows of one report.
const MOST_ROWS: usize = 64;
/// Room that the new version needs beyond the calls that it is to take.
const HEADROOM: f64 = 1.2;
/// All thousandths.
const WHOLE: u32 = 1_000;

/// What an entry knows of a move.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// The share of the new version.
    pub share: Share,
    /// Why it is to be taken back, which is final.
    pub verdict: Option<Verdict>,
    /// The state of the member that drives it, if this is the one.
    pub drive: Option<Driver>,
    tallies: Tallies,
    reported_to: Option<u64>,
    look_at: Moment,
}

impl<C: Chooser> Engine<C> {
    /// Keeps plans for the moves that have not ended.
    pub(super) fn adopt_plans(&mut self) {
        let moves = &self.catalog.moves;
        self.plans.retain(|key, _| moves.get(key).is_some_and(|one| !one.phase.is_final()));
        for (key, plan) in moves {
            if !plan.phase.is_final() && !self.plans.contains_key(key) {
                self.plans.insert(key, Plan::default());
            }
        }
    }

    /// Draws whether a call goes to the new version of a move.
    pub(super) fn next_version(&mut self, call: key::Call) -> Option<key::Version> {
        let call = &self.calls[call];
        // Another attempt goes to the version that is known to be good.
        if call.attempts > 0 {
            return None;
        }
        let key = self.catalog.services.get(call.request.service)?.active_move?;
        let (plan, known) = (self.plans.get(key)?, self.catalog.moves.get(key)?);
        let standing = self.catalog.versions.get(known.to)?.standing;
        if plan.verdict.is_some() || standing != Standing::Good {
            return None;
        }
        let drawn = self.rng.random_range(0..WHOLE) < plan.share.mille;
        drawn.then_some(known.to)
    }

    /// Tells whether an upstream runs the new version of a move that gets traffic.
    pub(super) fn is_shifting_to(&self, upstream: key::Upstream) -> bool {
        let Some(known) = self.catalog.upstreams.get(upstream) else { return false };
        let plan = self.catalog.services.get(known.service).and_then(|service| service.active_move);
        let Some(plan) = plan else { return false };
        let open = self.plans.get(plan).is_some_and(|plan| plan.verdict.is_none());
        open && self.catalog.moves[plan].to == known.version
    }

    /// Counts what came of an attempt for the move that its version takes part in.
    pub(super) fn witness(&mut self, attempt: &Attempt, failed: bool, service_us: Option<f64>) {
        let Some(known) = self.catalog.upstreams.get(attempt.upstream) else { return };
        let key = self.catalog.services.get(known.service).and_then(|service| service.active_move);
        let Some(key) = key else { return };
        let plan = &self.catalog.moves[key];
        let (arm, upstream) = match known.version {
            version if version == plan.from => (Arm::Old, 0),
            version if version == plan.to => (Arm::New, known.ident),
            _ => return,
        };
        let route = self.calls.get(attempt.call).and_then(|call| call.request.route);
        let route = route.and_then(|route| self.catalog.routes.get(route));
        let group = Group { arm, route: route.map_or(0, |route| route.ident), upstream };
        if let Some(plan) = self.plans.get_mut(key) {
            plan.tallies.add(group, failed, service_us);
        }
    }

    /// Reports evidence and drives the moves that are this member's.
    pub(super) fn tick_moves(&mut self, now: Now, out: &mut Vec<Output>) {
        let due = |(_, plan): &(key::Move, &Plan)| now.at >= plan.look_at;
        let due: Vec<key::Move> = self.plans.iter().filter(due).map(|(key, _)| key).collect();
        for key in due {
            self.plans[key].look_at = now.at + LOOK;
            let ident = self.catalog.moves[key].ident;
            let driver = self.tenure.roster().and_then(|roster| roster.owner(ident));
            let Some(driver) = driver else { continue };
            self.report_evidence(key, ident, driver, out);
            if driver == self.tenure.own_ident() {
                self.drive(now, key, out);
            } else {
                self.plans[key].drive = None;
            }
        }
    }

    fn report_evidence(&mut self, key: key::Move, ident: u64, driver: u64, out: &mut Vec<Output>) {
        let plan = &mut self.plans[key];
        if plan.reported_to.replace(driver) != Some(driver) {
            plan.tallies.mark_all_changed();
        }
        let rows = plan.tallies.take_changed(MOST_ROWS);
        if rows.is_empty() {
            return;
        }
        if driver == self.tenure.own_ident() {
            self.take_evidence(driver, ident, &rows);
        } else {
            out.push(Output::message(driver, Message::Evidence { plan: ident, rows }));
        }
    }

    /// Takes in what a member has seen of a move that this one drives.
    pub(super) fn take_evidence(&mut self, from: u64, plan: u64, rows: &[Row]) {
        let key = self.catalog.move_by_ident(plan);
        let drive = key.and_then(|key| self.plans.get_mut(key)?.drive.as_mut());
        if let Some(drive) = drive {
            let from_start = drive.from_start;
            drive.judge.add(from, rows, from_start);
        }
    }

    fn drive(&mut self, now: Now, key: key::Move, out: &mut Vec<Output>) {
        let terms = self.terms(now, key);
        let plan = &mut self.plans[key];
        let chart = &self.charts.rollout;
        let mille = plan.share.mille;
        let drive = plan.drive.get_or_insert_with(|| Driver::new(chart, now.at, mille));
        let mut looked = drive.evaluate(now.at, terms);
        // A verdict that another member has told stands.
        if plan.verdict.is_some() && drive.state != crate::rollout::State::Failed {
            looked = Some((Event::Bad, plan.verdict));
        }
        let Some((event, verdict)) = looked else { return };
        let step = chart.step(drive.state, event);
        drive.state = step.next;
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
                self.tell_all(Update::Verdict { plan, verdict }, out);
            }
            Action::OrderDone => self.order_end(now, key, Phase::Done, out),
            Action::OrderRollback => {
                self.order_standing(key, out);
                self.order_end(now, key, Phase::RolledBack, out);
            }
        }
    }

    fn set_share(&mut self, now: Now, key: key::Move, action: Action, out: &mut Vec<Output>) {
        let fence = self.tenure.number();
        let plan = &mut self.plans[key];
        let Some(drive) = plan.drive.as_mut() else { return };
        let mille = match action {
            Action::Start => drive.start(now.at),
            _ => drive.raise(now.at),
        };
        let count = if plan.share.fence == fence { plan.share.count + 1 } else { 0 };
        plan.share = Share { fence, count, mille };
        let (plan, share) = (self.catalog.moves[key].ident, plan.share);
        self.tell_all(Update::Share { plan, share }, out);
    }

    /// Orders a version that was found bad to be marked so.
    fn order_standing(&self, key: key::Move, out: &mut Vec<Output>) {
        let verdict = self.plans[key].verdict.unwrap_or(Verdict::Late);
        let plan = &self.catalog.moves[key];
        let version = &self.catalog.versions[plan.to];
        if verdict == Verdict::Late || version.standing == Standing::Bad {
            return;
        }
        let service = self.catalog.services[plan.service].name.clone();
        let text = format!("mark version {} of {service} bad: {}", version.name, verdict.name());
        let standing = Standing::Bad;
        let command = Command::SetStanding { service, version: version.name.clone(), standing };
        out.push(Output::Order { command, text });
    }

    fn order_end(&mut self, now: Now, key: key::Move, phase: Phase, out: &mut Vec<Output>) {
        let plan = &mut self.plans[key];
        let Some(drive) = plan.drive.as_mut() else { return };
        drive.order_sent(now.at);
        let samples = drive.judge.samples();
        let why = plan.verdict.map_or("good", Symbol::name);
        let reason = format!(
            "{why}, after {samples} answers of the new version at up to {} per mille",
            STEPS[drive.step]
        );
        let name = self.catalog.moves[key].name.clone();
        let text = format!("{} move {name}: {reason}", phase.name());
        let command = Command::SetMove { name, phase, reason };
        out.push(Output::Order { command, text });
    }

    fn terms(&self, now: Now, key: key::Move) -> Conditions {
        let plan = &self.catalog.moves[key];
        let step = self.plans[key].drive.as_ref().map_or(0, |drive| drive.step);
        Conditions {
            window: Span::millis(plan.deadline_ms.saturating_sub(plan.start_ms)),
            is_over: now.unix_ms >= plan.deadline_ms,
            is_paused: plan.phase == Phase::Paused,
            has_capacity: self.bears(now, plan, STEPS[(step + 1).min(STEPS.len() - 1)]),
        }
    }

    /// Tells whether the upstreams of the new version bear a share, as far as this entry sees.
    fn bears(&self, now: Now, plan: &catalog::Move, mille: u32) -> bool {
        let service = &self.catalog.services[plan.service];
        let upstreams = |version: key::Version| {
            let keys = &self.catalog.versions[version].upstreams;
            keys.iter().filter_map(|key| self.upstreams.get(*key))
        };
        let both = upstreams(plan.from).chain(upstreams(plan.to));
        let busy: f64 = both.map(|upstream| upstream.gauge.load(now.at)).sum();
        let room = upstreams(plan.to).map(|upstream| match upstream.state {
            State::Warm => service.slots,
            State::Fresh | State::Cold => service.cold,
            State::Down | State::Suspect | State::Trial | State::Draining => 0,
        });
        let wanted = busy * f64::from(mille) / f64::from(WHOLE) * HEADROOM;
        f64::from(room.sum::<u32>()) >= wanted.max(1.0)
    }

    /// Takes in a share that the member which drives a move has set.
    pub(super) fn hear_share(&mut self, ident: u64, share: Share) {
        let key = self.catalog.move_by_ident(ident);
        let Some(plan) = key.and_then(|key| self.plans.get_mut(key)) else { return };
        // A member that drove the move before, and does not know it, has a lower fence.
        if share > plan.share {
            plan.share = share;
            self.gossip.enqueue(Update::Share { plan: ident, share });
        }
    }

    /// Takes in a verdict, which is final.
    pub(super) fn hear_verdict(&mut self, ident: u64, verdict: Verdict) {
        let key = self.catalog.move_by_ident(ident);
        let Some(plan) = key.and_then(|key| self.plans.get_mut(key)) else { return };
        if plan.verdict.is_none() {
            plan.verdict = Some(verdict);
            self.gossip.enqueue(Update::Verdict { plan: ident, verdict });
        }
    }

    /// Returns what a member that has just started has to know of moves.
    pub(super) fn move_news(&self) -> impl Iterator<Item = Update> {
        self.plans.iter().flat_map(|(key, known)| {
            let plan = self.catalog.moves[key].ident;
            let share = Some(Update::Share { plan, share: known.share });
            let verdict = known.verdict.map(|verdict| Update::Verdict { plan, verdict });
            share.into_iter().chain(verdict)
        })
    }
}
