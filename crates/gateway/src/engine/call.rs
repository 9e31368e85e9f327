//! Admission, deadlines and refusal of callers' requests.

use base::prelude::*;
use derive_more::{Display, Error};
use model::table;

use super::{Census, Engine, Input, Output};
use crate::exchange::Event;
use crate::trial::Assignment;

/// Retry delay after the node had no table or no usable upstream.
const RETRY_AFTER_UNAVAILABLE: Span = Span::millis(200);
/// Retry delay after upstreams refused the request; other upstreams may accept it at once.
const RETRY_AFTER_REFUSED: Span = Span::millis(25);
/// Retry delay after all upstreams were full: about the service time of one request.
const RETRY_AFTER_FULL: Span = Span::millis(80);

record! {
    /// A caller's request as the front end passes it to the engine.
    pub struct Request {
        /// Token by which the front end identifies the request in outputs.
        pub token: u64,
        /// Requested host, without a port.
        pub host: String,
        /// Requested path, with its query.
        pub path: String,
        /// How long the caller waits for a response, from the arrival of the request.
        pub timeout: Option<Span>,
        /// When the head of the request arrived; its body may have taken longer.
        pub arrived_at: Moment,
        /// Digest of the request, equal when a caller repeats it.
        pub digest: u64,
    }

    /// A request in progress.
    pub struct Call {
        /// Token by which the front end identifies the request.
        pub token: u64,
        /// Key of its route.
        pub route: key::Route,
        /// Service selected by the weights of the route.
        pub service: key::Service,
        /// Which versions may serve the call while a trial is running.
        pub assignment: Assignment,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// When the head of the request had arrived.
        pub arrived_at: Moment,
        /// When the whole request had arrived.
        pub admitted_at: Moment,
        /// When the call times out.
        pub deadline: Moment,
        /// Digest of the request.
        pub digest: u64,
        /// Upstreams that received the request or could not be reached with it.
        pub tried: Vec<key::Upstream>,
        /// Number of upstreams that received the request and did not refuse it.
        pub runs: u32,
        /// Number of exchanges in progress.
        pub in_flight: u32,
        /// Number of sends after the first.
        pub resends: u32,
        /// Whether some exchange may have run the request.
        pub may_have_run: bool,
        /// Upstreams whose health checks the call waits for.
        pub pending_probes: Vec<key::Upstream>,
        /// Upstreams whose health checks did not end before an earlier wait was over.
        pub unresponsive: Vec<key::Upstream>,
        /// When the call stops waiting for health checks.
        pub probe_deadline: Option<Moment>,
        /// Number of rounds of health checks so far.
        pub probe_rounds: u32,
    }
}

symbols! {
    /// Whether a request without a response has run.
    pub enum Outcome {
        /// It has not run and never will.
        NotRun = "not-run",
        /// It may have run.
        Unknown = "unknown",
    }
}

record! {
    /// What the caller gets instead of an upstream's response.
    #[derive(Copy)]
    pub struct Rejection {
        /// Reason of the refusal.
        pub refusal: Refusal,
        /// Whether the request has run.
        pub outcome: Outcome,
        /// Delay after which a retry may succeed, if it may.
        pub retry_after: Option<Span>,
        /// State of the service's upstreams at the time of the refusal, for the log.
        pub census: Census,
    }
}

/// Reason why a request got no response from an upstream.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, Error, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The node has not received a routing table yet.
    #[display("no routes are known yet")]
    NoTable,
    /// No route matches the request.
    #[display("no route fits")]
    NoRoute,
    /// No upstream of the service may serve the request.
    #[display("no upstream may serve")]
    NoUpstream,
    /// Every upstream of the service is full.
    #[display("every upstream is full")]
    Full,
    /// Every upstream of the service has asked for a pause.
    #[display("every upstream has asked for a pause")]
    Paused,
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    LateUnsent,
    /// The deadline passed while the request may have run.
    #[display("the deadline passed while the request may have run")]
    LateSent,
    /// Every permitted exchange failed.
    #[display("every permitted exchange failed")]
    Attempts,
    /// The request has crashed several upstreams.
    #[display("this request has broken several upstreams")]
    Harmful,
}

impl Engine {
    /// Admits a request as a call, or refuses it.
    pub(super) fn admit(&mut self, now: Moment, request: Request, out: &mut Vec<Output>) {
        self.stats.requests += 1;
        if let Err(refusal) = self.start_call(now, &request, out) {
            self.stats.refused += 1;
            let rejection = Rejection {
                refusal,
                outcome: Outcome::NotRun,
                retry_after: (refusal == Refusal::NoTable).then_some(RETRY_AFTER_UNAVAILABLE),
                census: self.census(now, None),
            };
            out.push(Output::Refuse { token: request.token, rejection });
        }
    }

    fn start_call(
        &mut self,
        now: Moment,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Result<(), Refusal> {
        if self.table_version == 0 {
            return Err(Refusal::NoTable);
        }
        let path = request.path.split('?').next().unwrap_or_default();
        let key = self.routes.find(&request.host, path).ok_or(Refusal::NoRoute)?;
        if self.suspects.is_harmful(now, request.digest) {
            self.stats.harmful += 1;
            return Err(Refusal::Harmful);
        }
        let service = self.routes.choose_service(key).ok_or(Refusal::NoUpstream)?;
        let nodes = self.sharing_nodes();
        self.services[service].budget.earn(now, &self.terms, nodes);
        let assignment = self.assign_version(now, service);
        let route = &self.routes.arena[key];
        let timeout =
            request.timeout.map_or(route.spec.timeout, |timeout| timeout.min(route.spec.timeout));
        let call = self.calls.insert(Call {
            token: request.token,
            route: key,
            service,
            assignment,
            idempotent: route.spec.kind == table::Kind::Idempotent,
            arrived_at: request.arrived_at,
            admitted_at: now,
            deadline: request.arrived_at + timeout,
            digest: request.digest,
            tried: Vec::new(),
            runs: 0,
            in_flight: 0,
            resends: 0,
            may_have_run: false,
            pending_probes: Vec::new(),
            unresponsive: Vec::new(),
            probe_deadline: None,
            probe_rounds: 0,
        });
        out.push(Output::Admitted { token: request.token, call });
        self.place(now, call, out);
        Ok(())
    }

    /// Returns the deadline of a call and, if it may be hedged, the time from which on its response
    /// counts as slow.
    #[must_use]
    pub fn timers(&self, call: key::Call) -> Option<(Moment, Option<Moment>)> {
        let call = self.calls.get(call)?;
        let hedge = self.hedge_at(call);
        Some((call.deadline, hedge))
    }

    /// Returns when the response to a call counts as slow.
    ///
    /// A healthy upstream has responded by then, and a second one still can within the route's
    /// target.
    fn hedge_at(&self, call: &Call) -> Option<Moment> {
        /// Factor on the service time after which a response counts as slow.
        const SLOW_FACTOR: f64 = 1.6;
        /// Factor on the service time that the second upstream needs.
        const HEDGE_FACTOR: f64 = 1.35;
        let route = self.routes.arena.get(call.route)?;
        if !call.idempotent || route.spec.max_attempts < 2 {
            return None;
        }
        let slow = Span((route.service_time * SLOW_FACTOR) as u64);
        let hedge_time = Span((route.service_time * HEDGE_FACTOR) as u64);
        let latest = Span(route.spec.target_latency.0.saturating_sub(hedge_time.0));
        Some(call.arrived_at + slow.min(latest))
    }

    /// Hedges a slow call to a second upstream if it is idempotent and has a single exchange in
    /// flight.
    pub(super) fn on_hedge_due(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else { return };
        let token = call.token;
        let wanted = call.idempotent && call.in_flight == 1 && call.probe_deadline.is_none();
        if !wanted || !self.hedge(now, key, out) {
            out.push(Output::Await { token });
        }
    }

    /// Ends a call whose deadline has passed.
    pub(super) fn on_deadline(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        self.end_exchanges(now, key, Event::Late, out);
        let Some(call) = self.calls.get(key) else { return };
        let refusal = if call.may_have_run { Refusal::LateSent } else { Refusal::LateUnsent };
        self.refuse(now, key, refusal, out);
    }

    /// Drops a call whose caller has disconnected.
    pub(super) fn on_cancelled(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        self.end_exchanges(now, key, Event::Cancelled, out);
        self.stats.left += u64::from(self.remove_call(key).is_some());
    }

    /// Ends every exchange of a call with the given event.
    pub(super) fn end_exchanges(
        &mut self,
        now: Moment,
        call: key::Call,
        event: Event,
        out: &mut Vec<Output>,
    ) {
        let of_call = self.exchanges.iter().filter(|(_, exchange)| exchange.call == call);
        let keys: Vec<key::Attempt> = of_call.map(|(key, _)| key).collect();
        for exchange in keys {
            self.input(now, Input::Exchange { exchange, event, report: None }, out);
        }
    }

    /// Ends a call with a refusal.
    pub(super) fn refuse(
        &mut self,
        now: Moment,
        key: key::Call,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.remove_call(key) else { return };
        let outcome = if call.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        match outcome {
            Outcome::NotRun => self.stats.refused += 1,
            Outcome::Unknown => self.stats.unknown += 1,
        }
        let retry_after = match refusal {
            _ if outcome == Outcome::Unknown => None,
            Refusal::Full => Some(RETRY_AFTER_FULL),
            Refusal::Paused => self.paused_until(now, call.service).map(|until| until.since(now)),
            Refusal::Attempts => Some(RETRY_AFTER_REFUSED),
            Refusal::NoUpstream | Refusal::LateUnsent => Some(RETRY_AFTER_UNAVAILABLE),
            _ => None,
        };
        let census = self.census(now, Some(call.service));
        let rejection = Rejection { refusal, outcome, retry_after, census };
        out.push(Output::Refuse { token: call.token, rejection });
    }

    /// Removes a call and its wait for health checks.
    pub(super) fn remove_call(&mut self, key: key::Call) -> Option<Call> {
        let call = self.calls.remove(key)?;
        if let Some(deadline) = call.probe_deadline {
            self.probe_waits.remove(&(deadline, key));
        }
        Some(call)
    }
}
