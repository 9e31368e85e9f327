//! Retry budget of a service, as one node applies it.
//!
//! The bound on a service's retries holds in sum over all nodes. Each node enforces its own part of
//! it without asking the others. The engine keeps one budget for each service.

use base::prelude::*;

use crate::Terms;

/// Part of the permitted retry ratio that requests earn; the rest is reserved for bursts and
/// restarts.
const RATIO_PART: f64 = 0.85;
/// Part of the permitted slack that is refilled over time; the rest is reserved for the retries
/// that every node may hold in its budget at the same time.
const SLACK_PART: f64 = 0.6;
/// Maximum number of unspent retries in the bucket, as a share of the requests in the window.
const MAX_SAVED_SHARE: f64 = 0.02;

record! {
    /// Token bucket of the retries of one service.
    #[derive(Copy, Default)]
    pub struct Budget {
        tokens: f64,
        recent_requests: f64,
        refilled_at: Moment,
    }
}

impl Budget {
    /// Adds what one request earns.
    pub fn earn(&mut self, now: Moment, terms: &Terms, nodes: usize) {
        self.refill(now, terms, nodes);
        self.recent_requests += 1.0;
        self.tokens += terms.retry_ratio * RATIO_PART;
    }

    /// Spends one retry and returns `true`, or returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self, now: Moment, terms: &Terms, nodes: usize) -> bool {
        self.refill(now, terms, nodes);
        let permitted = self.tokens >= 1.0;
        if permitted {
            self.tokens -= 1.0;
        }
        permitted
    }

    /// Decays the request count, adds this node's part of the slack and limits saved retries.
    fn refill(&mut self, now: Moment, terms: &Terms, nodes: usize) {
        let window = terms.retry_window.as_seconds().max(0.001);
        let elapsed = now.since(self.refilled_at).as_seconds();
        self.refilled_at = now;
        self.recent_requests *= (-elapsed / window).exp();
        let rate = terms.retry_slack * SLACK_PART / nodes.max(1) as f64 / window;
        let capacity = 1.0 + MAX_SAVED_SHARE * self.recent_requests;
        self.tokens = (self.tokens + rate * elapsed).min(capacity);
    }
}
