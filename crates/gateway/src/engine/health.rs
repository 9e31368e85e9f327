//! Asking upstreams for their health.

use base::prelude::*;

use super::{Engine, Output};
use crate::gauge::Report;
use crate::upstream::Event;

/// Part of the agreed rate that the nodes of an upstream's own failure domain share.
const LOCAL_SHARE: f64 = 0.55;
/// Part that all other nodes share; restarts and nodes that are not known yet take the rest.
const REMOTE_SHARE: f64 = 0.2;
/// Questions that may be saved up.
const MAX_PROBE_TOKENS: f64 = 4.0;
/// Time after which a question without an answer is asked again.
const PROBE_TIMEOUT: Span = Span::millis(400);

record! {
    /// What came of a question for health.
    pub enum Health {
        /// No connection could be opened.
        Unreachable,
        /// A connection could be opened, and no answer came on it in time.
        TimedOut,
        /// Another upstream has the address.
        Misdirected,
        /// The upstream has answered.
        Answered {
            /// Whether it says that it is well.
            healthy: bool,
            /// Its load.
            report: Option<Report>,
            /// How much longer its cold start goes on.
            cold_remaining: Span,
        },
    }
}

impl Engine {
    /// Asks an upstream for its health, unless that is under way or the agreed rate is used up.
    ///
    /// Returns whether an answer may come.
    pub(super) fn probe(&mut self, now: Moment, key: key::Upstream, out: &mut Vec<Output>) -> bool {
        let Some(domain) = self.upstreams.get(key).map(|upstream| upstream.domain) else {
            return false;
        };
        let rate = self.probe_rate(domain);
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        if upstream.probe.is_some_and(|at| now.since(at) < PROBE_TIMEOUT) {
            return true;
        }
        let elapsed = now.since(upstream.probe_refilled).as_seconds();
        upstream.probe_refilled = now;
        upstream.probe_tokens = (upstream.probe_tokens + rate * elapsed).min(MAX_PROBE_TOKENS);
        if upstream.probe_tokens < 1.0 {
            return false;
        }
        upstream.probe_tokens -= 1.0;
        upstream.probe = Some(now);
        self.stats.probes += 1;
        out.push(Output::Probe { upstream: key });
        true
    }

    /// Returns this node's part of the rate that one upstream of a domain bears.
    fn probe_rate(&self, domain: key::Domain) -> f64 {
        let local = self.members.known_in(&self.domains[domain].name).count();
        let (share, nodes) = if domain == self.own_domain {
            (LOCAL_SHARE, local)
        } else {
            (REMOTE_SHARE, self.members.known() - local)
        };
        self.terms.probe_rate * share / nodes.max(1) as f64
    }

    /// Takes in what came of a question.
    pub(super) fn on_probe_result(
        &mut self,
        now: Moment,
        key: key::Upstream,
        health: &Health,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.probe = None;
        match *health {
            Health::Unreachable => {
                self.record_suspects(now, key, out);
                self.upstream_event(now, key, Event::Unreachable, out);
            }
            // A new connection waits for a slot, so one that is full looks like this.
            Health::TimedOut => upstream.gauge.assume_full(now, 2 * upstream.slots),
            Health::Misdirected => {
                self.record_suspects(now, key, out);
                self.upstream_event(now, key, Event::Unreachable, out);
                out.push(Output::Retire { upstream: key });
            }
            Health::Answered { healthy, report, cold_remaining } => {
                upstream.gauge.heard_at = now;
                upstream.ill = !healthy;
                if let Some(report) = report {
                    upstream.gauge.report(now, report);
                }
                upstream.cold_until = now + cold_remaining;
                self.interrupted_requests.remove(key);
                let event =
                    if cold_remaining > Span::ZERO { Event::SeenCold } else { Event::Proven };
                self.upstream_event(now, key, event, out);
            }
        }
        self.end_probe_waits(now, key, out);
    }
}
