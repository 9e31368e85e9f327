//! Health probes of upstreams that no response has reported on recently.
//!
//! Responses to calls carry the same report, so an upstream with traffic needs no probes.

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::balance::{Chooser, Report};
use crate::upstream::State;

/// Time without a report after which an owner probes an upstream.
///
/// An upstream has one owner at a time, so this bounds the probes over all entries.
pub const PROBE_AFTER: Span = Span::seconds(2);
/// Interval between two probes of one member, however many upstreams it owns.
const PROBE_INTERVAL: Span = Span::millis(200);

impl<C: Chooser> Engine<C> {
    /// Probes the upstream with the oldest report among those that this member owns.
    pub(super) fn probe_upstreams(&mut self, now: Now, out: &mut Vec<Output>) {
        if now.at < self.next_probe_at {
            return;
        }
        // Finding the owner takes one hash per member, so the search runs once per interval only.
        self.next_probe_at = now.at + PROBE_INTERVAL;
        let Some(key) = self.probe_target(now) else { return };
        self.upstreams[key].probed_at = now.at;
        self.stats.probes += 1;
        out.push(Output::Probe { upstream: key });
    }

    fn probe_target(&self, now: Now) -> Option<key::Upstream> {
        let silent = self.upstreams.iter().filter_map(|(key, upstream)| {
            let last_contact_at = upstream.gauge.reported_at.max(upstream.probed_at);
            let may_respond = !matches!(upstream.state, State::Down | State::Draining);
            (may_respond && now.at.since(last_contact_at) >= PROBE_AFTER)
                .then_some((last_contact_at, key))
        });
        let owned = silent.filter(|(_, key)| {
            !self.is_withdrawn(self.catalog.upstreams[*key].domain)
                && self.is_acting_owner(now, *key)
        });
        owned.min().map(|(_, key)| key)
    }

    /// Applies the result of a health probe; a failed connection counts against the upstream.
    pub(super) fn on_probe_result(
        &mut self,
        now: Now,
        key: key::Upstream,
        reached: bool,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        if !reached {
            return self.record_connect_failure(now, key, out);
        }
        if let Some(report) = report {
            self.apply_report(now, key, report, out);
        }
    }
}
