//! Health checks of upstreams: their rate, and the handling of their results.

use base::prelude::*;

use super::{Engine, Output};
use crate::gauge::Report;
use crate::upstream::Event;

/// Share of the permitted rate of health checks for the nodes in the upstream's own failure domain.
const LOCAL_SHARE: f64 = 0.55;
/// Share for all other nodes; the rest is for restarts and for nodes that are not known yet.
const REMOTE_SHARE: f64 = 0.2;
/// Maximum number of health checks that may be saved up.
const MAX_PROBE_TOKENS: f64 = 4.0;
/// Time after which a health check without a result no longer counts as pending.
const PROBE_TIMEOUT: Span = Span::millis(400);

record! {
    /// Result of a health check.
    pub enum Health {
        /// No connection could be opened.
        Unreachable,
        /// A connection could be opened, but no response came in time.
        TimedOut,
        /// Another upstream has the address.
        Misdirected,
        /// The upstream responded.
        Answered {
            /// Whether the status of the response is a success.
            healthy: bool,
            /// Load that the upstream reported, if any.
            report: Option<Report>,
            /// Remaining time of the upstream's cold start, or zero.
            cold_remaining: Span,
        },
    }
}

impl Engine {
    /// Starts a health check, unless one is pending or the permitted rate is used up.
    ///
    /// Returns whether a health check is pending afterwards.
    pub(super) fn probe(&mut self, now: Moment, key: key::Upstream, out: &mut Vec<Output>) -> bool {
        let Some(domain) = self.upstreams.get(key).map(|upstream| upstream.domain) else {
            return false;
        };
        let rate = self.probe_rate(domain);
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        if now < upstream.paused_until {
            return false;
        }
        if upstream.probe_started_at.is_some_and(|at| now.since(at) < PROBE_TIMEOUT) {
            return true;
        }
        let elapsed = now.since(upstream.probe_refilled_at).as_seconds();
        upstream.probe_refilled_at = now;
        upstream.probe_tokens = (upstream.probe_tokens + rate * elapsed).min(MAX_PROBE_TOKENS);
        if upstream.probe_tokens < 1.0 {
            return false;
        }
        upstream.probe_tokens -= 1.0;
        upstream.probe_started_at = Some(now);
        self.stats.probes += 1;
        out.push(Output::Probe { upstream: key });
        true
    }

    /// Returns this node's share of the rate of health checks that one upstream of a domain
    /// permits, per second.
    fn probe_rate(&self, domain: key::Domain) -> f64 {
        let local = self.members.known_in_domain(&self.domains[domain].name).count();
        let (share, nodes) = if domain == self.own_domain {
            (LOCAL_SHARE, local)
        } else {
            (REMOTE_SHARE, self.members.count() - local)
        };
        self.terms.probe_rate * share / nodes.max(1) as f64
    }

    /// Handles the result of a health check and continues the calls that waited for it.
    pub(super) fn on_probe_result(
        &mut self,
        now: Moment,
        key: key::Upstream,
        health: &Health,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.probe_started_at = None;
        match *health {
            Health::Unreachable => {
                self.record_suspects(now, key, out);
                self.apply_upstream_event(now, key, Event::Unreachable, out);
            }
            // A full upstream lets a new connection wait for a slot, which makes the check time
            // out.
            Health::TimedOut => upstream.gauge.assume_full(now, 2 * upstream.slots),
            Health::Misdirected => {
                self.record_suspects(now, key, out);
                self.apply_upstream_event(now, key, Event::Unreachable, out);
                out.push(Output::CloseIdle { upstream: key });
            }
            Health::Answered { healthy, report, cold_remaining } => {
                upstream.gauge.answered_at = now;
                upstream.unhealthy = !healthy;
                if let Some(report) = report {
                    upstream.gauge.apply_report(now, report);
                }
                upstream.cold_until = now + cold_remaining;
                self.interrupted_requests.remove(key);
                let event =
                    if cold_remaining > Span::ZERO { Event::SeenCold } else { Event::Proven };
                self.apply_upstream_event(now, key, event, out);
            }
        }
        self.end_probe_waits(now, key, out);
    }
}
