//! Failure domains that operators take out and bring back.

use base::prelude::*;

symbols! {
    /// Whether a failure domain gets new work.
    pub enum State {
        /// It does.
        Active = "in",
        /// Operators have taken it out.
        Withdrawn = "out",
    }
}

symbols! {
    /// What happens to a failure domain.
    pub enum Event {
        /// An order to take it out is in force.
        Withdrawn = "withdrawn",
        /// No such order is in force.
        Restored = "back",
    }
}

symbols! {
    /// What an entry does about it.
    pub enum Action {
        /// Lets its upstreams start cold.
        Restart = "restart",
    }
}
