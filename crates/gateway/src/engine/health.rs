//! Asking upstreams for their health.

use base::prelude::*;

use super::{Engine, Output};
use crate::gauge::Report;
use crate::upstream::Event;

/// Part of the agreed rate that the nodes of an upstream's own failure domain share.
const NEAR_PART: f64 = 0.55;
/// Part that all other nodes share; restarts and nodes that are not known yet take the rest.
const AWAY_PART: f64 = 0.2;
/// Questions that may be saved up.
const SAVED: f64 = 4.0;
/// Time after which a question without an answer is asked again.
const FORGOTTEN: Span = Span::millis(400);

record! {
    /// What came of a question for health.
    pub enum Health {
        /// No connection could be opened.
        Silent,
        /// A connection could be opened, and no answer came on it in time.
        Slow,
        /// Another upstream has the address.
        Other,
        /// The upstream has answered.
        Told {
            /// Whether it says that it is well.
            well: bool,
            /// Its load.
            report: Option<Report>,
            /// How much longer its cold start goes on.
            cold: Span,
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
        if upstream.probe_started_at.is_some_and(|at| now.since(at) < FORGOTTEN) {
            return true;
        }
        let elapsed = now.since(upstream.probe_refilled_at).as_seconds();
        upstream.probe_refilled_at = now;
        upstream.probe_tokens = (upstream.probe_tokens + rate * elapsed).min(SAVED);
        if upstream.probe_tokens < 1.0 {
            return false;
        }
        upstream.probe_tokens -= 1.0;
        upstream.probe_started_at = Some(now);
        self.stats.probes += 1;
        out.push(Output::Probe { upstream: key });
        true
    }

    /// Returns this node's part of the rate that one upstream of a domain bears.
    fn probe_rate(&self, domain: key::Domain) -> f64 {
        let near = self.members.known_in_domain(&self.domains[domain].name).count();
        let (part, nodes) = if domain == self.home {
            (NEAR_PART, near)
        } else {
            (AWAY_PART, self.members.count() - near)
        };
        self.terms.probe_rate * part / nodes.max(1) as f64
    }

    /// Takes in what came of a question.
    pub(super) fn probed(
        &mut self,
        now: Moment,
        key: key::Upstream,
        health: &Health,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.probe_started_at = None;
        match *health {
            Health::Silent => {
                self.accuse(now, key, out);
                self.upstream_event(now, key, Event::Unreachable, out);
            }
            // A new connection waits for a slot, so one that is full looks like this.
            Health::Slow => upstream.gauge.assume_full(now, 2 * upstream.slots),
            Health::Other => {
                self.accuse(now, key, out);
                self.upstream_event(now, key, Event::Unreachable, out);
                out.push(Output::Retire { upstream: key });
            }
            Health::Told { well, report, cold } => {
                upstream.gauge.answered_at = now;
                upstream.unhealthy = !well;
                if let Some(report) = report {
                    upstream.gauge.apply_report(now, report);
                }
                upstream.cold_until = now + cold;
                self.accused.remove(key);
                let event = if cold > Span::ZERO { Event::SeenCold } else { Event::Proven };
                self.upstream_event(now, key, event, out);
            }
        }
        self.release(now, key, out);
    }
}
