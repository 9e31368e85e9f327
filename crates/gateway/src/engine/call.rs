//! Requests on their way in and out.

use base::prelude::*;
use derive_more::{Display, Error};
use model::table;

use super::{Census, Engine, Input, Output};
use crate::exchange::Event;
use crate::trial::Draw;

/// Time that a caller should wait after a node had no table or no upstream.
const RETRY_UNKNOWN: Span = Span::millis(200);
/// Time that a caller should wait after upstreams refused: others may take the request at once.
const RETRY_REFUSED: Span = Span::millis(25);
/// Time that a caller should wait after upstreams were full: about one request's work.
const RETRY_FULL: Span = Span::millis(80);

record! {
    /// What the front knows of a request.
    pub struct Request {
        /// The front's mark for the request.
        pub token: u64,
        /// The host that it names, without a port.
        pub host: String,
        /// Its path.
        pub path: String,
        /// Time that the caller waits, from its arrival.
        pub patience: Option<Span>,
        /// When it arrived.
        pub arrived: Moment,
        /// Digest of the request, equal when a caller sends it again.
        pub digest: u64,
    }

    /// A request in progress.
    pub struct Call {
        /// The front's mark.
        pub token: u64,
        /// Its route.
        pub route: key::Route,
        /// The service that its route's weights gave it.
        pub service: key::Service,
        /// Whether it goes to the target version of a trial.
        pub trial: Draw,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// When it arrived.
        pub arrived: Moment,
        /// When its time is over.
        pub deadline: Moment,
        /// Digest of the request.
        pub digest: u64,
        /// Upstreams that got it, or to which it could not be sent.
        pub tried: Vec<key::Upstream>,
        /// Upstreams that got it and did not refuse it.
        pub runs: u32,
        /// Exchanges in progress.
        pub live: u32,
        /// Sends after the first.
        pub repeats: u32,
        /// Whether some exchange may have run.
        pub may_have_run: bool,
        /// Upstreams whose health it waits for.
        pub probes: Vec<key::Upstream>,
        /// Upstreams whose health it waited for in vain.
        pub silent: Vec<key::Upstream>,
        /// When it stops waiting for them.
        pub probes_until: Option<Moment>,
        /// Rounds of such questions so far.
        pub rounds: u32,
    }
}

symbols! {
    /// Whether a request without an answer has run.
    pub enum Outcome {
        /// It certainly has not, and never will.
        NotRun = "not-run",
        /// It may have.
        Unknown = "unknown",
    }
}

record! {
    /// What a request gets in place of an upstream's answer.
    #[derive(Copy)]
    pub struct Rejection {
        /// Why.
        pub refusal: Refusal,
        /// Whether the request has run.
        pub outcome: Outcome,
        /// When to try again, if that may help.
        pub retry_after: Option<Span>,
        /// What the node saw of the service.
        pub census: Census,
    }
}

/// Why a request got no answer of an upstream.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, Error, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The node knows no routes yet.
    #[display("no routes are known yet")]
    NoTable,
    /// No route fits.
    #[display("no route fits")]
    NoRoute,
    /// No upstream may serve it.
    #[display("no upstream may serve")]
    NoUpstream,
    /// Every upstream is full.
    #[display("every upstream is full")]
    Full,
    /// The deadline passed before it was sent.
    #[display("the deadline passed before the request was sent")]
    LateUnsent,
    /// The deadline passed while it may have run.
    #[display("the deadline passed while the request may have run")]
    LateSent,
    /// Every permitted exchange failed.
    #[display("every permitted exchange failed")]
    Attempts,
    /// It has broken several upstreams.
    #[display("this request has broken several upstreams")]
    Harmful,
}

impl Engine {
    /// Admits a request.
    pub(super) fn admit(&mut self, now: Moment, request: Request, out: &mut Vec<Output>) {
        self.stats.requests += 1;
        if let Err(refusal) = self.start(now, &request, out) {
            self.stats.refused += 1;
            let rejection = Rejection {
                refusal,
                outcome: Outcome::NotRun,
                retry_after: (refusal == Refusal::NoTable).then_some(RETRY_UNKNOWN),
                census: self.census(now, None),
            };
            out.push(Output::Refuse { token: request.token, rejection });
        }
    }

    fn start(
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
        let service = self.routes.choose(key).ok_or(Refusal::NoUpstream)?;
        let nodes = self.members.known();
        self.services[service].budget.earn(now, &self.terms, nodes);
        let trial = self.draw_trial(now, service);
        let route = &self.routes.arena[key];
        let time =
            request.patience.map_or(route.order.timeout, |time| time.min(route.order.timeout));
        let call = self.calls.insert(Call {
            token: request.token,
            route: key,
            service,
            trial,
            idempotent: route.order.kind == table::Kind::Idempotent,
            arrived: request.arrived,
            deadline: request.arrived + time,
            digest: request.digest,
            tried: Vec::new(),
            runs: 0,
            live: 0,
            repeats: 0,
            may_have_run: false,
            probes: Vec::new(),
            silent: Vec::new(),
            probes_until: None,
            rounds: 0,
        });
        out.push(Output::Begun { token: request.token, call });
        self.place(now, call, out);
        Ok(())
    }

    /// Returns when a call's time is over, and when another upstream should be asked too.
    #[must_use]
    pub fn times(&self, call: key::Call) -> Option<(Moment, Option<Moment>)> {
        let call = self.calls.get(call)?;
        let hedge = self.hedge_at(call);
        Some((call.deadline, hedge))
    }

    /// Returns when the answer to a call counts as slow.
    ///
    /// A good upstream has answered by then, and another one still can within the target.
    fn hedge_at(&self, call: &Call) -> Option<Moment> {
        /// Usual times of the work after which an answer counts as slow.
        const SLOW: f64 = 1.6;
        /// Usual times of the work that another upstream needs.
        const NEEDED: f64 = 1.35;
        let route = self.routes.arena.get(call.route)?;
        if !call.idempotent || route.order.max_attempts < 2 {
            return None;
        }
        let slow = Span((route.service_time * SLOW) as u64);
        let needed = Span((route.service_time * NEEDED) as u64);
        let left = Span(route.order.target_latency.0.saturating_sub(needed.0));
        Some(call.arrived + slow.min(left))
    }

    /// Asks another upstream too, if that is worth it.
    pub(super) fn slow(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else { return };
        let token = call.token;
        let wanted = call.idempotent && call.live == 1 && call.probes_until.is_none();
        if !wanted || !self.hedge(now, key, out) {
            out.push(Output::Await { token });
        }
    }

    /// Ends a call whose time is over.
    pub(super) fn late(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        self.end_exchanges(now, key, Event::Late, out);
        let Some(call) = self.calls.get(key) else { return };
        let refusal = if call.may_have_run { Refusal::LateSent } else { Refusal::LateUnsent };
        self.refuse(now, key, refusal, out);
    }

    /// Forgets a call whose caller has left.
    pub(super) fn left(&mut self, now: Moment, key: key::Call, out: &mut Vec<Output>) {
        self.end_exchanges(now, key, Event::Left, out);
        self.stats.left += u64::from(self.end_call(key).is_some());
    }

    /// Ends every exchange of a call that is in progress.
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
        let Some(call) = self.end_call(key) else { return };
        let outcome = if call.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        match outcome {
            Outcome::NotRun => self.stats.refused += 1,
            Outcome::Unknown => self.stats.unknown += 1,
        }
        let retry_after = match refusal {
            _ if outcome == Outcome::Unknown => None,
            Refusal::Full => Some(RETRY_FULL),
            Refusal::Attempts => Some(RETRY_REFUSED),
            Refusal::NoUpstream | Refusal::LateUnsent => Some(RETRY_UNKNOWN),
            _ => None,
        };
        let census = self.census(now, Some(call.service));
        let rejection = Rejection { refusal, outcome, retry_after, census };
        out.push(Output::Refuse { token: call.token, rejection });
    }

    /// Forgets a call.
    pub(super) fn end_call(&mut self, key: key::Call) -> Option<Call> {
        let call = self.calls.remove(key)?;
        if let Some(until) = call.probes_until {
            self.waits.remove(&(until, key));
        }
        Some(call)
    }
}
