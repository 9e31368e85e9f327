//! Reading the health of upstreams that no answer tells of.

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::balance::{Chooser, Report};
use crate::upstream::State;

/// Time without an answer after which an owner asks an upstream for its health.
///
/// An upstream has one owner at a time, so this bounds the measuring calls over all entries.
pub const PROBE_AFTER: Span = Span::seconds(2);
/// Time between two questions of one member, whatever the number of its upstreams.
const PROBE_INTERVAL: Span = Span::millis(200);

impl<C: Chooser> Engine<C> {
    /// Asks for the health of the upstream that this member owns and has not heard of for longest.
    pub(super) fn probe_upstreams(&mut self, now: Now, out: &mut Vec<Output>) {
        if now.at < self.next_probe_at {
            return;
        }
        // Who owns an upstream takes a hash for each member, so nothing is looked for in between.
        self.next_probe_at = now.at + PROBE_INTERVAL;
        let Some(key) = self.longest_unheard(now) else { return };
        self.upstreams[key].probed_at = now.at;
        self.stats.probes += 1;
        out.push(Output::Probe { upstream: key });
    }

    fn longest_unheard(&self, now: Now) -> Option<key::Upstream> {
        let unheard = self.upstreams.iter().filter_map(|(key, upstream)| {
            let heard_at = upstream.gauge.reported_at.max(upstream.probed_at);
            let may_respond = !matches!(upstream.state, State::Down | State::Draining);
            (may_respond && now.at.since(heard_at) >= PROBE_AFTER).then_some((heard_at, key))
        });
        let owned = unheard.filter(|(_, key)| {
            !self.is_withdrawn(self.catalog.upstreams[*key].domain)
                && self.is_acting_owner(now, *key)
        });
        owned.min().map(|(_, key)| key)
    }

    /// Takes in the answer to a question for health, or that none came.
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
