//! Failure domains that operators take out and bring back.

use base::prelude::*;

symbols! {
    /// Whether a failure domain gets new work.
    pub enum State {
        /// It does.
        In = "in",
        /// Operators have taken it out.
        Out = "out",
    }
}

symbols! {
    /// What happens to a failure domain.
    pub enum Event {
        /// An order to take it out is in force.
        OrderedOut = "ordered-out",
        /// No such order is in force.
        Back = "back",
    }
}

symbols! {
    /// What an entry does about it.
    pub enum Action {
        /// Lets its upstreams start cold.
        Restart = "restart",
    }
}
