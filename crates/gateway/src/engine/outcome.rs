//! What happens to exchanges and what follows for their calls.

use std::sync::Arc;

use base::prelude::*;

use super::{Engine, Output, Refusal};
use crate::exchange::{Action, Event, Exchange, State};
use crate::gauge::Report;
use crate::message::Frame;
use crate::trial::Draw;
use crate::upstream;

/// Failed answers in a row after which an upstream is left alone for a while.
const FAILING_RUN: u32 = 4;
/// Time for which an upstream is left alone that said it is full.
const FULL_PAUSE: Span = Span::millis(40);
/// Requests, in slots, at an upstream that refuses one.
const FULL_LOAD: u32 = 2;
/// Sends of one call that upstreams refused.
const MOST_REFUSED: u32 = 2;

impl Engine {
    /// Takes one event of an exchange.
    pub(super) fn exchange_event(
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
            Event::Sent => exchange.arrived = true,
            Event::NeverSent => exchange.arrived = false,
            _ => {}
        }
        let exchange = *exchange;
        if exchange.state.is_final() {
            self.close(key, &exchange);
        }
        if let Some(report) = report
            && let Some(upstream) = self.upstreams.get_mut(exchange.upstream)
        {
            upstream.gauge.report(now, report);
            upstream.gauge.heard_at = now;
        }
        for action in step.actions {
            self.carry_out(now, &exchange, *action, report, out);
        }
    }

    /// Counts an exchange that has ended.
    fn close(&mut self, key: key::Attempt, exchange: &Exchange) {
        self.exchanges.remove(key);
        if let Some(upstream) = self.upstreams.get_mut(exchange.upstream) {
            upstream.gauge.own = upstream.gauge.own.saturating_sub(1);
        }
        if let Some(call) = self.calls.get_mut(exchange.call) {
            call.live -= 1;
            match exchange.state {
                State::NotRun => call.runs -= 1,
                _ => call.may_have_run = true,
            }
        }
    }

    fn carry_out(
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
            Action::PassOrRetry => self.pass_or_retry(now, exchange, out),
            Action::Pass => self.pass(now, exchange.call, out),
            Action::Credit => self.credit(now, exchange),
            Action::BlameConnect => self.blame_connect(now, exchange, out),
            Action::BlameAnswer => self.blame_answer(now, exchange, out),
            Action::BlameBreak => self.blame_break(now, exchange, out),
            Action::BlameLate => self.blame_late(now, exchange, out),
            Action::Accuse => self.suspect(exchange),
            Action::NoteFull => self.note_full(now, exchange, report),
            Action::NoteOther => self.note_other(now, exchange, out),
            // The call itself ends where its time or its caller is looked after.
            Action::RefuseLate | Action::ReportLate | Action::Forget => {}
        }
    }

    /// Ends a call with the answer of one of its exchanges.
    fn pass(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        self.witness_overtaken(now, key);
        let Some(call) = self.end_call(key) else { return };
        self.end_exchanges(now, key, Event::Left, out);
        self.acquit(now, call.digest, out);
        self.stats.passed += 1;
        out.push(Output::Pass { token: call.token });
    }

    /// Tries a call elsewhere if its nature, its budget and its time permit.
    fn retry(&mut self, now: Moment, exchange: &Exchange, ran: bool, out: &mut Vec<Output>) {
        let key = exchange.call;
        let Some(call) = self.calls.get(key) else { return };
        let token = call.token;
        if call.live > 0 {
            return out.push(Output::Await { token });
        }
        // What never left is no arrival and costs no retry.
        let free = exchange.state == State::NotRun && !exchange.arrived;
        let wanted = (call.idempotent || !(ran || call.may_have_run))
            && call.runs < self.attempts(key)
            && call.repeats < self.attempts(key) + MOST_REFUSED
            && now < call.deadline
            && !self.suspects.is_harmful(now, call.digest);
        if wanted && (free || self.spend(now, key)) {
            self.calls[key].repeats += 1;
            self.stats.retries += 1;
            return self.place(now, key, out);
        }
        self.refuse(now, key, Refusal::Attempts, out);
    }

    /// Passes a failed answer on unless another upstream may give a better one.
    fn pass_or_retry(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        let key = exchange.call;
        let Some(call) = self.calls.get(key) else { return };
        if call.live > 0 {
            return out.push(Output::Await { token: call.token });
        }
        let wanted = call.idempotent && call.runs < self.attempts(key) && now < call.deadline;
        if wanted && self.has_other(now, key) && self.spend(now, key) {
            self.calls[key].repeats += 1;
            self.stats.retries += 1;
            // A trial's failure must not cost the caller a second time.
            self.calls[key].trial = Draw::Old;
            return self.place(now, key, out);
        }
        self.pass(now, key, out);
    }

    /// Tells whether some proven upstream is left that the call has not tried.
    fn has_other(&self, now: Moment, key: key::Call) -> bool {
        let call = &self.calls[key];
        let Some(service) = self.services.get(call.service) else { return false };
        service.upstreams.iter().any(|at| {
            let upstream = &self.upstreams[*at];
            upstream.state == upstream::State::Warm
                && now >= upstream.full_until
                && !call.tried.contains(at)
                && !self.domains[upstream.domain].withdrawn
        })
    }

    fn credit(&mut self, now: Moment, exchange: &Exchange) {
        self.witness(now, exchange, false);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.credit();
        upstream.gauge.count(now, false);
        upstream.gauge.heard_at = now;
        if !exchange.cold
            && let Some(call) = self.calls.get(exchange.call)
        {
            let taken = now.since(exchange.start).0 as f64 / exchange.stretch.max(0.5);
            self.routes.sample(call.route, taken);
        }
    }

    fn blame_connect(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.witness(now, exchange, true);
        self.upstream_event(now, exchange.upstream, upstream::Event::Unreachable, out);
    }

    fn blame_answer(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.witness(now, exchange, true);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.gauge.count(now, true);
        upstream.gauge.heard_at = now;
        upstream.run += 1;
        if upstream.run >= FAILING_RUN {
            self.upstream_event(now, exchange.upstream, upstream::Event::Failing, out);
        }
    }

    /// Lets an upstream prove itself again after a connection to it broke.
    fn blame_break(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.witness(now, exchange, true);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.gauge.count(now, true);
        self.upstream_event(now, exchange.upstream, upstream::Event::Stale, out);
        self.probe(now, exchange.upstream, out);
    }

    fn blame_late(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.witness(now, exchange, true);
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        upstream.gauge.count(now, true);
        out.push(Output::Retire { upstream: exchange.upstream });
    }

    /// Leaves an upstream alone for a while that refused a request.
    ///
    /// One that refuses although it tells of free slots sheds some of its requests: that counts
    /// against it and is no reason to send it nothing.
    fn note_full(&mut self, now: Moment, exchange: &Exchange, report: Option<Report>) {
        let Some(upstream) = self.upstreams.get_mut(exchange.upstream) else { return };
        if report.is_some_and(|report| report.has_free_slot()) {
            upstream.gauge.count(now, true);
        } else {
            upstream.full_until = now + FULL_PAUSE;
            upstream.gauge.assume_full(now, FULL_LOAD * upstream.slots);
        }
    }

    /// Leaves an upstream whose address another one has.
    fn note_other(&mut self, now: Moment, exchange: &Exchange, out: &mut Vec<Output>) {
        self.upstream_event(now, exchange.upstream, upstream::Event::Unreachable, out);
        out.push(Output::Retire { upstream: exchange.upstream });
    }

    /// Remembers a request that was in flight when its connection broke.
    ///
    /// Only if the upstream turns out to have ended does the request become a suspect, as
    /// connections break for other reasons too.
    fn suspect(&mut self, exchange: &Exchange) {
        let Some(digest) = self.calls.get(exchange.call).map(|call| call.digest) else { return };
        if let Some(accused) = self.accused.entry(exchange.upstream) {
            accused.or_default().push(digest);
        }
    }

    /// Accuses the requests that were in flight when an upstream ended.
    pub(super) fn accuse(&mut self, now: Moment, key: key::Upstream, out: &mut Vec<Output>) {
        let Some(upstream) = self.upstreams.get(key).map(|upstream| upstream.ident) else { return };
        for digest in self.accused.remove(key).unwrap_or_default() {
            let generation = self.suspects.record(now, digest, upstream);
            let frame = Frame::Suspect { digest, generation, victim: Some(upstream) };
            self.tell_all(now, &frame, out);
        }
    }

    /// Clears a request of suspicion after its answer.
    fn acquit(&mut self, now: Moment, digest: u64, out: &mut Vec<Output>) {
        if let Some(generation) = self.suspects.clear(now, digest) {
            let frame = Frame::Suspect { digest, generation, victim: None };
            self.tell_all(now, &frame, out);
        }
    }
}
