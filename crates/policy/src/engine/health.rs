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
const PROBE_GAP: Span = Span::millis(200);

impl<C: Chooser> Engine<C> {
    /// Asks for the health of the upstream that this member owns and has not heard of for longest.
    pub(super) fn probe_upstreams(&mut self, now: Now, out: &mut Vec<Output>) {
        if now.at < self.probe_at {
            return;
        }
        // Who owns an upstream takes a hash for each member, so nothing is looked for in between.
        self.probe_at = now.at + PROBE_GAP;
        let Some(key) = self.quietest(now) else { return };
        self.upstreams[key].probed_at = now.at;
        self.stats.probes += 1;
        out.push(Output::Probe { upstream: key });
    }

    fn quietest(&self, now: Now) -> Option<key::Upstream> {
        let quiet = self.upstreams.iter().filter_map(|(key, upstream)| {
            let heard_at = upstream.gauge.reported_at.max(upstream.probed_at);
            let open = !matches!(upstream.state, State::Down | State::Draining);
            (open && now.at.since(heard_at) >= PROBE_AFTER).then_some((heard_at, key))
        });
        let asked = quiet.filter(|(_, key)| {
            !self.is_out(self.catalog.upstreams[*key].domain) && self.may_own(now, *key)
        });
        asked.min().map(|(_, key)| key)
    }

    /// Takes in the answer to a question for health, or that none came.
    pub(super) fn probed(
        &mut self,
        now: Now,
        key: key::Upstream,
        reached: bool,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        if !reached {
            return self.blame_connect(now, key, out);
        }
        if let Some(report) = report {
            self.take_report(now, key, report, out);
        }
    }
}
