//! What happens to attempts and what follows for their calls.

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::attempt::{Action, Attempt, Event, State};
use crate::balance::{Chooser, Report};
use crate::call::{Outcome, Refusal};
use crate::message::Update;
use crate::quota;
use crate::retry::{Budget, MAX_ATTEMPTS};
use crate::upstream::{self, FAILING_THRESHOLD, UNREACHABLE_THRESHOLD};

/// Pause after an upstream sheds load.
const SHED_PAUSE: Span = Span::millis(20);

impl<C: Chooser> Engine<C> {
    /// Takes one event of an attempt.
    pub(super) fn attempt_event(
        &mut self,
        now: Now,
        key: key::Attempt,
        event: Event,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let step = self.charts.attempt.step(attempt.state, event);
        attempt.state = step.next;
        if attempt.state == State::Sent && attempt.sent_at.is_none() {
            attempt.sent_at = Some(now.at);
        }
        attempt.reported_cold = report.map(|report| report.cold).or(attempt.reported_cold);
        let actions = step.actions.to_vec();
        let attempt = attempt.clone();
        if attempt.state.is_final() {
            self.attempts.remove(key);
            if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
                upstream.gauge.stop();
            }
            self.settle(now, &attempt, event, out);
        }
        if let Some(report) = report {
            self.take_report(now, attempt.upstream, report, out);
        }
        for action in actions {
            self.attempt_action(now, &attempt, action, out);
        }
        if attempt.state.is_final()
            && let Some(service) = self.catalog.upstreams.get(attempt.upstream)
        {
            self.drain_queue(now, service.service, out);
        }
    }

    fn attempt_action(
        &mut self,
        now: Now,
        attempt: &Attempt,
        action: Action,
        out: &mut Vec<Output>,
    ) {
        let call = attempt.call;
        match action {
            Action::Retry => self.retry(now, attempt, Outcome::NotRun, out),
            Action::RetryIdempotent => self.retry(now, attempt, Outcome::Unknown, out),
            Action::Hedge => self.hedge(now, attempt, out),
            Action::CloseIdle => out.push(Output::Retire { upstream: attempt.upstream }),
            Action::RecordSuspect => self.accuse(now, attempt, out),
            Action::RetryUncharged => self.retry_free(now, attempt, out),
            Action::Relay => self.pass(call, out),
            Action::RelayOrRetry => self.pass_or_retry(now, attempt, out),
            Action::RefuseLate => self.refuse(now, call, Refusal::LateUnsent, Outcome::NotRun, out),
            Action::ReportUnknown => {
                self.refuse(now, call, Refusal::LateSent, Outcome::Unknown, out);
            }
            Action::Discard => {
                let outcome = self.fate(attempt);
                self.stats.cut += u64::from(self.end_call(now, call, outcome, out).is_some());
            }
            Action::Finish => {
                self.acquit(now, call);
                let ended = self.end_call(now, call, Outcome::Ran, out);
                self.stats.complete += u64::from(ended.is_some());
            }
            Action::RecordSuccess => self.credit(now, attempt, out),
            Action::RecordConnectFailure => {
                self.witness(attempt, true, None);
                self.blame_connect(now, attempt.upstream, out);
            }
            Action::RecordAnswerFailure | Action::RecordBreak | Action::RecordTimeout => {
                self.witness(attempt, true, None);
                self.blame_answer(now, attempt.upstream, out);
            }
            Action::RecordShedding => {
                if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
                    upstream.shed_until = now.at + SHED_PAUSE;
                }
            }
        }
    }

    /// Gives an attempt up for another one, or lets it go on.
    fn hedge(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let key = attempt.call;
        let Some(token) = self.calls.get(key).map(|call| call.request.token) else { return };
        if !self.may_retry(now, key, Outcome::Unknown, false) {
            return out.push(Output::Continue { token });
        }
        self.stats.hedged += 1;
        self.drop_attempts(now, key, out);
        if let Some(call) = self.calls.get_mut(key) {
            call.failed.push(attempt.upstream);
            call.may_have_run = true;
            call.needs_new_connection = true;
        }
        self.forgive_if_all_failed(key);
        self.place(now, key, out);
    }

    /// Suspects a request that was in flight when its exchange broke.
    fn accuse(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(request) = self.calls.get(attempt.call).map(|call| call.request) else { return };
        let Some(upstream) = self.catalog.upstreams.get(attempt.upstream) else { return };
        // Without its whole body a request cannot be told from others.
        if !request.replayable {
            return;
        }
        let (digest, upstream) = (request.digest, upstream.ident);
        let generation = self.suspects.record(now.at, digest, upstream);
        self.tell_all(Update::Crashed { digest, generation, upstream }, out);
    }

    /// Clears a request of suspicion after its whole answer.
    fn acquit(&mut self, now: Now, call: key::Call) {
        let Some(digest) = self.calls.get(call).map(|call| call.request.digest) else { return };
        if let Some(generation) = self.suspects.clear(now.at, digest) {
            self.gossip.enqueue(Update::Cleared { digest, generation });
        }
    }

    /// Returns what is known of a call's request once its last attempt has ended.
    fn fate(&self, attempt: &Attempt) -> Outcome {
        let before = self.calls.get(attempt.call).is_some_and(|call| call.may_have_run);
        match attempt.state {
            State::Cut | State::Complete | State::Answering => Outcome::Ran,
            State::NotRun | State::Ready if !before => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Tries a call again if its nature, its budget and its deadline permit.
    fn retry(&mut self, now: Now, attempt: &Attempt, ran: Outcome, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(attempt.call) else { return };
        call.failed.push(attempt.upstream);
        call.may_have_run |= ran == Outcome::Unknown;
        // A body that was passed through can only be sent again if none of it was read.
        let unread = ran == Outcome::NotRun && attempt.sent_at.is_none();
        if self.may_retry(now, attempt.call, ran, unread) {
            self.forgive_if_all_failed(attempt.call);
            return self.place(now, attempt.call, out);
        }
        let refusal = match ran {
            Outcome::Unknown | Outcome::Ran => Refusal::Broken,
            Outcome::NotRun => Refusal::Attempts,
        };
        self.refuse(now, attempt.call, refusal, ran, out);
    }

    /// Tells whether a call may be tried again and charges its budget if so.
    fn may_retry(&mut self, now: Now, key: key::Call, ran: Outcome, unread: bool) -> bool {
        let Some(call) = self.calls.get(key) else { return false };
        let request = call.request;
        let wanted = (ran == Outcome::NotRun || request.idempotent)
            && (request.replayable || unread)
            && call.attempts < MAX_ATTEMPTS
            && now.at < request.deadline
            && !self.suspects.is_harmful(now.at, request.digest)
            && !self.stopping;
        if !wanted {
            return false;
        }
        let paid = self.budgets.get_mut(request.service).is_some_and(Budget::try_spend);
        self.stats.over_budget += u64::from(!paid);
        paid
    }

    /// Tries a call again whose connection had closed before it was used.
    fn retry_free(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(attempt.call) else { return };
        if call.attempts < MAX_ATTEMPTS && now.at < call.request.deadline && !self.stopping {
            return self.place(now, attempt.call, out);
        }
        self.refuse(now, attempt.call, Refusal::Attempts, Outcome::NotRun, out);
    }

    fn pass(&mut self, call: key::Call, out: &mut Vec<Output>) {
        if let Some(call) = self.calls.get(call) {
            out.push(Output::Pass { token: call.request.token });
        }
    }

    /// Passes a failed answer on, unless another upstream may give a better one.
    fn pass_or_retry(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let key = attempt.call;
        let other = self.calls.get(key).is_some_and(|call| {
            let version = call.version.and_then(|version| self.catalog.versions.get(version));
            version.is_some_and(|version| {
                version
                    .upstreams
                    .iter()
                    .any(|one| *one != attempt.upstream && !call.failed.contains(one))
            })
        });
        if !other || !self.may_retry(now, key, Outcome::Unknown, false) {
            return self.pass(key, out);
        }
        self.drop_attempts(now, key, out);
        if let Some(call) = self.calls.get_mut(key) {
            call.failed.push(attempt.upstream);
            call.may_have_run = true;
        }
        self.place(now, key, out);
    }

    /// Ends attempts whose answers are not wanted any more.
    fn drop_attempts(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let of_call = |(_, attempt): &(key::Attempt, &Attempt)| attempt.call == call;
        let keys: Vec<_> = self.attempts.iter().filter(of_call).map(|(key, _)| key).collect();
        for key in keys {
            let Some(attempt) = self.attempts.remove(key) else { continue };
            if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
                upstream.gauge.stop();
            }
            self.settle(now, &attempt, Event::Broken, out);
        }
    }

    /// Lets a call go back to upstreams that failed it once no other is left.
    fn forgive_if_all_failed(&mut self, key: key::Call) {
        let call = &mut self.calls[key];
        let version = call.version.and_then(|version| self.catalog.versions.get(version));
        let last = call.failed.last().copied();
        let left = version.is_some_and(|version| {
            version.upstreams.iter().any(|upstream| !call.failed.contains(upstream))
        });
        if !left {
            // Only the last one that failed stays excluded, if there is a choice at all.
            let several = version.is_some_and(|version| version.upstreams.len() > 1);
            call.failed = last.into_iter().filter(|_| several).collect();
        }
    }

    fn credit(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(known) = self.catalog.upstreams.get(attempt.upstream) else { return };
        let slots = self.catalog.services[known.service].slots;
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else { return };
        upstream.record_success();
        let latency = now.at.since(attempt.granted_at);
        let service = upstream.gauge.sample(now.at, latency, attempt.ahead, slots);
        // In a cold start a good version is slow too; one that says nothing may be in one.
        let usual = !attempt.reported_cold.unwrap_or(attempt.grant.is_some());
        self.witness(attempt, false, usual.then_some(service));
        self.upstream_event(now, attempt.upstream, upstream::Event::Answered, out);
    }

    pub(super) fn blame_connect(&mut self, now: Now, key: key::Upstream, out: &mut Vec<Output>) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.connect_failures += 1;
        if upstream.connect_failures >= UNREACHABLE_THRESHOLD {
            self.upstream_event(now, key, upstream::Event::Unreachable, out);
        }
    }

    fn blame_answer(&mut self, now: Now, key: key::Upstream, out: &mut Vec<Output>) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.failures += 1;
        let trial = upstream.state == upstream::State::Trial;
        if upstream.failures >= FAILING_THRESHOLD || trial {
            self.upstream_event(now, key, upstream::Event::Failing, out);
        }
    }

    pub(super) fn take_report(
        &mut self,
        now: Now,
        key: key::Upstream,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.gauge.report(now.at, report);
        if report.draining {
            self.upstream_event(now, key, upstream::Event::Draining, out);
        } else if report.cold {
            self.upstream_event(now, key, upstream::Event::SeenCold, out);
        }
    }

    /// Tells the owner of a cold upstream how a granted call ended.
    fn settle(&mut self, now: Now, attempt: &Attempt, event: Event, out: &mut Vec<Output>) {
        let Some(serial) = attempt.grant else { return };
        let result = match event {
            _ if attempt.reported_cold == Some(true) => quota::Result::Cold,
            Event::Refused => quota::Result::Cold,
            Event::End => quota::Result::Good,
            Event::NeverSent | Event::Cancelled if attempt.sent_at.is_none() => {
                quota::Result::Unused
            }
            _ => quota::Result::Bad,
        };
        self.settle_grant(now, attempt.upstream, serial, result, out);
    }
}
