//! Retry budgets, which keep retries from amplifying an outage.
//!
//! The engine has one budget for each service.

use base::prelude::*;

/// Tokens earned by the first attempt of each call; a retry costs one.
const TOKENS_PER_ATTEMPT: f64 = 0.1;
/// Tokens that a budget holds at most, and at the start.
const MAX_TOKENS: f64 = 10.0;
/// Maximum number of attempts at one call.
pub const MAX_ATTEMPTS: u32 = 4;

record! {
    /// A token bucket for the retries of one service.
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
    /// Adds the tokens that a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT).min(MAX_TOKENS);
    }

    /// Spends the token of one retry and returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
