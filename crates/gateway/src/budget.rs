//! A node's part of the retries that a service bears from all nodes together.

use base::prelude::*;

use crate::Terms;

/// Part of the ratio that is spent; the rest covers what bursts and restarts add.
const RATIO_PART: f64 = 0.85;
/// Part of the slack that refills; the rest covers what every node may hold at once.
const SLACK_PART: f64 = 0.6;
/// Share of a window's requests that a node may have saved up in retries.
const MAX_SAVED: f64 = 0.02;

record! {
    /// A budget of retries of one service.
    #[derive(Copy, Default)]
    pub struct Budget {
        tokens: f64,
        recent_requests: f64,
        refilled_at: Moment,
    }
}

impl Budget {
    /// Counts a request.
    pub fn earn(&mut self, now: Moment, terms: &Terms, nodes: usize) {
        self.refill(now, terms, nodes);
        self.recent_requests += 1.0;
        self.tokens += terms.retry_ratio * RATIO_PART;
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self, now: Moment, terms: &Terms, nodes: usize) -> bool {
        self.refill(now, terms, nodes);
        let permitted = self.tokens >= 1.0;
        if permitted {
            self.tokens -= 1.0;
        }
        permitted
    }

    fn refill(&mut self, now: Moment, terms: &Terms, nodes: usize) {
        let window = terms.retry_window.as_seconds().max(0.001);
        let elapsed = now.since(self.refilled_at).as_seconds();
        self.refilled_at = now;
        self.recent_requests *= (-elapsed / window).exp();
        let rate = terms.retry_slack * SLACK_PART / nodes.max(1) as f64 / window;
        let capacity = 1.0 + MAX_SAVED * self.recent_requests;
        self.tokens = (self.tokens + rate * elapsed).min(capacity);
    }
}
