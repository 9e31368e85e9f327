//! Budgets that keep retries from multiplying an outage.

use base::prelude::*;

/// Retries earned by each first attempt.
const TOKENS_PER_ATTEMPT: f64 = 0.1;
/// Retries that a budget holds at the most, and at the start.
const MAX_TOKENS: f64 = 10.0;
/// Attempts at one call at the most.
pub const MAX_ATTEMPTS: u32 = 4;

record! {
    /// A budget of retries.
    #[derive(Copy)]
    pub struct Budget {
        tokens: f64,
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Earns a share of a retry for a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT).min(MAX_TOKENS);
    }

    /// Spends one retry if there is one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
