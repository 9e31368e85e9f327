//! Withdrawal of failure domains from service by operators.
//!
//! The engine steps the chart `charts/withdrawal.jsonc` by the withdrawals in the configuration.

use base::prelude::*;

symbols! {
    /// Whether a failure domain receives new calls.
    pub enum State {
        /// The domain receives new calls.
        Active = "in",
        /// Operators have withdrawn the domain.
        Withdrawn = "out",
    }
}

symbols! {
    /// Events of a failure domain.
    pub enum Event {
        /// A withdrawal of the domain is in force.
        Withdrawn = "withdrawn",
        /// No withdrawal of the domain is in force any more.
        Restored = "back",
    }
}

symbols! {
    /// Actions of a failure domain.
    pub enum Action {
        /// Treats the upstreams of the domain as in a cold start.
        Restart = "restart",
    }
}
