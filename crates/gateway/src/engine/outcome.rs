//! Handling of exchange events: bookkeeping, retries, and the effects on upstreams and suspect
//! requests.
//!
//! The chart of the exchange determines the actions that follow an event.

use std::sync::Arc;

use base::prelude::*;

use super::{Engine, Output, Refusal};
use crate::exchange::{Action, Event, Exchange, State};
use crate::gauge::Report;
use crate::message::Frame;
use crate::trial::Assignment;
use crate::upstream;

/// Number of failed responses in a row after which an upstream backs off.
const FAILING_THRESHOLD: u32 = 4;
/// Back-off of an upstream that reported to be full.
const FULL_BACK_OFF: Span = Span::millis(40);
/// Load that is assumed at an upstream that refuses a request, as a multiple of its slots.
const FULL_LOAD_FACTOR: u32 = 2;
/// Number of refused sends that one call may have beyond its permitted attempts.
const MAX_REFUSED_SENDS: u32 = 2;

impl Engine {
    /// Applies an event to an exchange and performs the resulting actions of its chart.
    pub(super) fn on_exchange_event(
        &mut self,
        now: Moment,
        key: key::Attempt,
        event: Event,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        let charts = Arc::clone(&self.charts);
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let step = charts.exchange.step(exchange.state, event);
        exchange.state = step.next;
        match event {
            Event::Sent => exchange.may_have_arrived = true,
            Event::NeverSent => exchange.may_have_arrived = false,
            _ => {}
        }
        let exchange = *exchange;
        if exchange.state.is_final() {
            self.remove_exchange(key, &exchange);
        }
        if let Some(report) = report
            && let Some(upstream) = self.upstreams.get_mut(exchange.upstream)
        {
            upstream.gauge.apply_report(now, report);
            upstream.gauge.answered_at = now;
        }
        for action in step.actions {
            self.perform(now, &exchange, *action, report, out);
        }
    }

    /// Removes an exchange that has ended and counts its outcome for its call.
    fn remove_exchange(&mut self, key: key::Attempt, exchange: &Exchange) {
        self.exchanges.remove(key);
        if let Some(upstream) = self.upstreams.get_mut(exchange.upstream) {
            upstream.gauge.in_flight = upstream.gauge.in_flight.saturating_sub(1);
        }
        if let Some(call) = self.calls.get_mut(exchange.call) {
            call.in_flight -= 1;
            match exchange.state {
                State::NotRun => call.runs -= 1,
                _ => call.may_have_run = true,
            }
        }
    }

    fn perform(
        &mut self,
        now: Moment,
        exchange: &Exchange,
        action: Action,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        match action {
            Action::Retry => self.retry(now, exchange, false, out),
            Action::RetryIdempotent => self.retry(now, exchange, true, out),
            Action::RelayOrRetry => self.relay_or_retry(now, exchange, out),
            Action::Relay => self.relay(now, exchange.call, out),
            Action::RecordSuccess => self.record_success(now, exchange),
            Action::RecordConnectFailure => self.record_connect_failure(now, exchange, out),
            Action::RecordAnswerFailure => self.record_answer_failure(now, exchange, out),
            Action::RecordBreak => self.record_break(now, exchange, out),
            Action::RecordTimeout => self.record_timeout(now, exchange, out),
            Action::RecordSuspect => self.record_interrupted_request(exchange),
            Action::MarkFull => self.mark_full(now, exchange, report),
            Action::MarkMisdirected => self.mark_misdirected(now, exchange, out),
            // The handlers of the deadline and of the disconnected caller end the call themselves.
            Action::RefuseLate | Action::ReportUnknown | Action::Discard => {}
        }
    }

    /// Ends a call with the response of one of its exchanges.
    fn relay(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        self.record_superseded(now, key);
        let Some(call) = self.remove_call(key) else { return };
        self.end_exchanges(now, key, Event::Cancelled, out);
        self.clear_suspect(now, call.digest, out);
        self.stats.passed += 1;
        out.push(Output::Relay { token: call.token });
    }

    /// Retries a call on another upstream if the request, the attempts, the retry budget and the
    /// deadline permit.
    ///
    /// `ran` is whether this exchange may have run the request.
    fn retry(&mut self, now: Moment, exchange: &Exchange, ran: bool, out: &mut Vec<Output>) {
        let key = exchange.call;
        let Some(call) = self.calls.get(key) else { return };
        let token = call.token;
        if call.in_flight > 0 {
            return out.push(Output::Await { token });
        }
        // A request that was never sent caused no load, so sending it elsewhere takes no retry from
        // the budget.
        let uncharged = exchange.state == State::NotRun && !exchange.may_have_arrived;
        let wanted = (call.idempotent || !(ran || call.may_have_run))
            && call.runs < self.max_attempts(key)
            && call.resends < self.max_attempts(key) + MAX_REFUSED_SENDS
            && now < call.deadline
            && !self.suspects.is_harmful(now, call.digest);
        if wanted && (uncharged || self.try_spend_retry(now, key)) {
            self.calls[key].resends += 1;
            self.stats.retries += 1;
            return self.place(now, key, out);
        }
        self.refuse(now, key, Refusal::Attempts, out);
    }

    /// Relays a failed response unless another upstream may give a better one.
    fn relay_or_retry(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        let key = exchange.call;
        let Some(call) = self.calls.get(key) else { return };
        if call.in_flight > 0 {
            return out.push(Output::Await { token: call.token });
        }
        let wanted = call.idempotent && call.runs < self.max_attempts(key) && now < call.deadline;
        if wanted && self.has_untried_upstream(now, key) && self.try_spend_retry(now, key) {
            self.calls[key].resends += 1;
            self.stats.retries += 1;
            // A failure of the target version must not hit the same caller twice.
            self.calls[key].assignment = Assignment::Established;
            return self.place(now, key, out);
        }
        self.relay(now, key, out);
    }

    /// Returns whether a warm upstream is left that the call has not tried and that is neither full
    /// nor in a withdrawn domain.
    fn has_untried_upstream(&self, now: Moment, key: key::Call) -> bool {
        let call = &self.calls[key];
        let Some(service) = self.services.get(call.service) else { return false };
        service.upstreams.iter().any(|key| {
            let upstream = &self.upstreams[*key];
            upstream.state == upstream::State::Warm
                && now >= upstream.full_until
                && now >= upstream.paused_until
                && !call.tried.contains(key)
                && !self.domains[upstream.domain].withdrawn
        })
    }

    fn record_success(&mut self, now: Moment, exchange: &Exchange) {
        self.record_trial_result(now, exchange, false);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.record_success();
        upstream.gauge.record_answer(now, false);
        upstream.gauge.answered_at = now;
        if !exchange.cold
            && let Some(call) = self.calls.get(exchange.call)
        {
            let elapsed =
                now.since(exchange.started_at).0 as f64 / exchange.expected_slowdown.max(0.5);
            self.routes.record_service_time(call.route, elapsed);
        }
    }

    fn record_connect_failure(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.record_trial_result(now, exchange, true);
        self.apply_upstream_event(now, exchange.upstream, upstream::Event::Unreachable, out);
    }

    fn record_answer_failure(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.record_trial_result(now, exchange, true);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.gauge.record_answer(now, true);
        upstream.gauge.answered_at = now;
        upstream.consecutive_failures += 1;
        if upstream.consecutive_failures >= FAILING_THRESHOLD {
            self.apply_upstream_event(now, exchange.upstream, upstream::Event::Failing, out);
        }
    }

    /// Marks an upstream as stale after a connection to it broke, and checks its health.
    fn record_break(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.record_trial_result(now, exchange, true);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.gauge.record_answer(now, true);
        self.apply_upstream_event(now, exchange.upstream, upstream::Event::Stale, out);
        self.probe(now, exchange.upstream, out);
    }

    fn record_timeout(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.record_trial_result(now, exchange, true);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.gauge.record_answer(now, true);
        out.push(Output::CloseIdle { upstream: exchange.upstream });
    }

    /// Backs off from an upstream that refused a request.
    ///
    /// An upstream that refuses although it reports free slots is shedding some of its requests:
    /// that counts as a failure and is no reason to stop sending to it.
    fn mark_full(&mut self, now: Moment, exchange: &Exchange, report: Option<Report>) {
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        if report.is_some_and(|report| report.has_free_slot()) {
            upstream.gauge.record_answer(now, true);
        } else {
            upstream.full_until = now + FULL_BACK_OFF;
            upstream.gauge.assume_full(now, FULL_LOAD_FACTOR * upstream.slots);
        }
    }

    /// Marks an upstream as unreachable because another one has its address.
    fn mark_misdirected(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.apply_upstream_event(now, exchange.upstream, upstream::Event::Unreachable, out);
        out.push(Output::CloseIdle { upstream: exchange.upstream });
    }

    /// Records a request that was in flight when its connection broke.
    ///
    /// It becomes a suspect only if the upstream turns out to have crashed, because connections
    /// break for other reasons too.
    fn record_interrupted_request(&mut self, exchange: &Exchange) {
        let Some(digest) = self.calls.get(exchange.call).map(|call| call.digest) else { return };
        if let Some(interrupted_requests) = self.interrupted_requests.entry(exchange.upstream) {
            interrupted_requests.or_default().push(digest);
        }
    }

    /// Records the requests that were in flight when an upstream crashed as suspects, and
    /// broadcasts that.
    pub(super) fn record_suspects(
        &mut self,
        now: Moment,
        key: key::Upstream,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get(key).map(|upstream| upstream.ident) else { return };
        for digest in self.interrupted_requests.remove(key).unwrap_or_default() {
            let generation = self.suspects.record(now, digest, upstream);
            let frame = Frame::Suspect { digest, generation, crashed_upstream: Some(upstream) };
            self.broadcast(now, &frame, out);
        }
    }

    /// Removes a request from the suspects after its response, and broadcasts that.
    fn clear_suspect(&mut self, now: Moment, digest: u64, out: &mut Vec<Output>) {
        if let Some(generation) = self.suspects.clear(now, digest) {
            let frame = Frame::Suspect { digest, generation, crashed_upstream: None };
            self.broadcast(now, &frame, out);
        }
    }
}
