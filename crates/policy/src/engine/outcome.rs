//! Events of attempts, and the retries, refusals and statistics that follow from them.
//!
//! The front end reports an event; the chart of attempts decides the actions, which are carried
//! out here.

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

/// Time for which an upstream gets no calls after it shed one.
const SHED_PAUSE: Span = Span::millis(20);

impl<C: Chooser> Engine<C> {
    /// Applies one event to an attempt and carries out the actions of its chart.
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
            self.report_attempt_to_owner(now, &attempt, event, out);
        }
        if let Some(report) = report {
            self.apply_report(now, attempt.upstream, report, out);
        }
        for action in actions {
            self.attempt_action(now, &attempt, action, out);
        }
        if attempt.state.is_final()
            && let Some(spec) = self.catalog.upstreams.get(attempt.upstream)
        {
            self.drain_queue(now, spec.service, out);
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
            Action::CloseIdle => out.push(Output::CloseIdle { upstream: attempt.upstream }),
            Action::RecordSuspect => self.record_suspect(now, attempt, out),
            Action::RetryUncharged => self.retry_uncharged(now, attempt, out),
            Action::Relay => self.relay(call, out),
            Action::RelayOrRetry => self.relay_or_retry(now, attempt, out),
            Action::RefuseLate => self.refuse(now, call, Refusal::LateUnsent, Outcome::NotRun, out),
            Action::ReportUnknown => {
                self.refuse(now, call, Refusal::LateSent, Outcome::Unknown, out);
            }
            Action::Discard => {
                let outcome = self.call_outcome(attempt);
                self.stats.cut += u64::from(self.end_call(now, call, outcome, out).is_some());
            }
            Action::Finish => {
                self.clear_suspect(now, call);
                let ended = self.end_call(now, call, Outcome::Ran, out);
                self.stats.complete += u64::from(ended.is_some());
            }
            Action::RecordSuccess => self.record_success(now, attempt, out),
            Action::RecordConnectFailure => {
                self.record_evidence(attempt, true, None);
                self.record_connect_failure(now, attempt.upstream, out);
            }
            Action::RecordAnswerFailure | Action::RecordBreak | Action::RecordTimeout => {
                self.record_evidence(attempt, true, None);
                self.record_response_failure(now, attempt.upstream, out);
            }
            Action::RecordShedding => {
                if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
                    upstream.shed_until = now.at + SHED_PAUSE;
                }
            }
        }
    }

    /// Abandons a silent attempt for another one, or lets it continue if no retry is allowed.
    fn hedge(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let key = attempt.call;
        let Some(token) = self.calls.get(key).map(|call| call.request.token) else { return };
        if !self.try_charge_retry(now, key, Outcome::Unknown, false) {
            return out.push(Output::Continue { token });
        }
        self.stats.hedged += 1;
        self.abandon_attempts(now, key, out);
        if let Some(call) = self.calls.get_mut(key) {
            call.failed.push(attempt.upstream);
            call.may_have_run = true;
            call.needs_new_connection = true;
        }
        self.reset_exclusions_if_all_failed(key);
        self.dispatch_or_queue(now, key, out);
    }

    /// Records and broadcasts that an exchange broke while a request was in flight.
    fn record_suspect(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(request) = self.calls.get(attempt.call).map(|call| call.request) else { return };
        let Some(upstream) = self.catalog.upstreams.get(attempt.upstream) else { return };
        // The digest covers the body, so requests without a complete body are indistinguishable.
        if !request.replayable {
            return;
        }
        let (digest, upstream) = (request.digest, upstream.ident);
        let generation = self.suspects.record(now.at, digest, upstream);
        self.broadcast(Update::Crashed { digest, generation, upstream }, out);
    }

    /// Clears the suspicion against a request after a complete response.
    fn clear_suspect(&mut self, now: Now, call: key::Call) {
        let Some(digest) = self.calls.get(call).map(|call| call.request.digest) else { return };
        if let Some(generation) = self.suspects.clear(now.at, digest) {
            self.gossip.enqueue(Update::Cleared { digest, generation });
        }
    }

    /// Returns whether a call's request has run, given its last attempt.
    fn call_outcome(&self, attempt: &Attempt) -> Outcome {
        let may_have_run = self.calls.get(attempt.call).is_some_and(|call| call.may_have_run);
        match attempt.state {
            State::Cut | State::Complete | State::Answering => Outcome::Ran,
            State::NotRun | State::Ready if !may_have_run => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Retries a call if its request, the retry budget and the deadline allow it, else refuses it.
    fn retry(&mut self, now: Now, attempt: &Attempt, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(attempt.call) else { return };
        call.failed.push(attempt.upstream);
        call.may_have_run |= outcome == Outcome::Unknown;
        // A streamed body can only be sent again if none of it was read.
        let is_unread = outcome == Outcome::NotRun && attempt.sent_at.is_none();
        if self.try_charge_retry(now, attempt.call, outcome, is_unread) {
            self.reset_exclusions_if_all_failed(attempt.call);
            return self.dispatch_or_queue(now, attempt.call, out);
        }
        let refusal = match outcome {
            Outcome::Unknown | Outcome::Ran => Refusal::Broken,
            Outcome::NotRun => Refusal::Attempts,
        };
        self.refuse(now, attempt.call, refusal, outcome, out);
    }

    /// Returns whether a call may be retried and charges the retry budget if so.
    fn try_charge_retry(
        &mut self,
        now: Now,
        key: key::Call,
        outcome: Outcome,
        is_unread: bool,
    ) -> bool {
        let Some(call) = self.calls.get(key) else { return false };
        let request = call.request;
        let is_allowed = (outcome == Outcome::NotRun || request.idempotent)
            && (request.replayable || is_unread)
            && call.attempts < MAX_ATTEMPTS
            && now.at < request.deadline
            && !self.suspects.is_harmful(now.at, request.digest)
            && !self.stopping;
        if !is_allowed {
            return false;
        }
        let charged = self.retry_budgets.get_mut(request.service).is_some_and(Budget::try_spend);
        self.stats.over_budget += u64::from(!charged);
        charged
    }

    /// Retries a call whose connection closed before the request was sent, without a charge.
    fn retry_uncharged(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(attempt.call) else { return };
        if call.attempts < MAX_ATTEMPTS && now.at < call.request.deadline && !self.stopping {
            return self.dispatch_or_queue(now, attempt.call, out);
        }
        self.refuse(now, attempt.call, Refusal::Attempts, Outcome::NotRun, out);
    }

    fn relay(&mut self, call: key::Call, out: &mut Vec<Output>) {
        if let Some(call) = self.calls.get(call) {
            out.push(Output::Relay { token: call.request.token });
        }
    }

    /// Relays a failed response, unless a retry at another upstream is possible.
    fn relay_or_retry(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let key = attempt.call;
        let has_alternative = self.calls.get(key).is_some_and(|call| {
            let version = call.version.and_then(|version| self.catalog.versions.get(version));
            version.is_some_and(|version| {
                version.upstreams.iter().any(|upstream| {
                    *upstream != attempt.upstream && !call.failed.contains(upstream)
                })
            })
        });
        if !has_alternative || !self.try_charge_retry(now, key, Outcome::Unknown, false) {
            return self.relay(key, out);
        }
        self.abandon_attempts(now, key, out);
        if let Some(call) = self.calls.get_mut(key) {
            call.failed.push(attempt.upstream);
            call.may_have_run = true;
        }
        self.dispatch_or_queue(now, key, out);
    }

    /// Abandons all attempts of a call, whose responses are ignored from now on.
    fn abandon_attempts(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let of_call = |(_, attempt): &(key::Attempt, &Attempt)| attempt.call == call;
        let keys: Vec<_> = self.attempts.iter().filter(of_call).map(|(key, _)| key).collect();
        for key in keys {
            let Some(attempt) = self.attempts.remove(key) else { continue };
            if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
                upstream.gauge.stop();
            }
            self.report_attempt_to_owner(now, &attempt, Event::Broken, out);
        }
    }

    /// Resets the exclusion of failed upstreams once a call has excluded all of them.
    fn reset_exclusions_if_all_failed(&mut self, key: key::Call) {
        let call = &mut self.calls[key];
        let version = call.version.and_then(|version| self.catalog.versions.get(version));
        let last = call.failed.last().copied();
        let has_untried = version.is_some_and(|version| {
            version.upstreams.iter().any(|upstream| !call.failed.contains(upstream))
        });
        if !has_untried {
            // The last failed upstream stays excluded if there is another one.
            let has_choice = version.is_some_and(|version| version.upstreams.len() > 1);
            call.failed = last.into_iter().filter(|_| has_choice).collect();
        }
    }

    /// Counts a good response for the upstream and as evidence for its version.
    fn record_success(&mut self, now: Now, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(spec) = self.catalog.upstreams.get(attempt.upstream) else { return };
        let slots = self.catalog.services[spec.service].slots;
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else { return };
        upstream.record_success();
        let latency = now.at.since(attempt.granted_at);
        let service = upstream.gauge.sample(now.at, latency, attempt.ahead, slots);
        // A good version is slow during a cold start too, so these service times are not evidence.
        // Without a report, an attempt under a grant counts as one during a cold start.
        let is_representative = !attempt.reported_cold.unwrap_or(attempt.grant.is_some());
        self.record_evidence(attempt, false, is_representative.then_some(service));
        self.upstream_event(now, attempt.upstream, upstream::Event::Answered, out);
    }

    /// Counts a failed connection against an upstream, which is down after
    /// `UNREACHABLE_THRESHOLD` consecutive ones.
    pub(super) fn record_connect_failure(
        &mut self,
        now: Now,
        key: key::Upstream,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.connect_failures += 1;
        if upstream.connect_failures >= UNREACHABLE_THRESHOLD {
            self.upstream_event(now, key, upstream::Event::Unreachable, out);
        }
    }

    /// Counts a failed response against an upstream. It is suspect after `FAILING_THRESHOLD`
    /// consecutive ones, or at once while on trial.
    fn record_response_failure(&mut self, now: Now, key: key::Upstream, out: &mut Vec<Output>) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.failures += 1;
        let is_trial = upstream.state == upstream::State::Trial;
        if upstream.failures >= FAILING_THRESHOLD || is_trial {
            self.upstream_event(now, key, upstream::Event::Failing, out);
        }
    }

    /// Applies an upstream's load report, which may also announce its drain or a cold start.
    pub(super) fn apply_report(
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

    /// Reports the result of an attempt to the owner if the attempt used a cold-start grant.
    fn report_attempt_to_owner(
        &mut self,
        now: Now,
        attempt: &Attempt,
        event: Event,
        out: &mut Vec<Output>,
    ) {
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
        self.report_grant_result(now, attempt.upstream, serial, result, out);
    }
}
