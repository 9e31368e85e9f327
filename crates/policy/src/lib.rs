//! The decisions of one load-balancer process (an entry), as state machines without I/O.
//!
//! [`Engine`] combines the modules of this crate. The `entry` crate feeds it with inputs and
//! carries out its outputs. Time is passed in as a value, randomness comes from a seeded generator
//! in the state, and every effect is returned as a value. Nothing here knows how messages are
//! encoded or transported. The `gateway` and `node` crates use some of the modules directly.

pub mod attempt;
pub mod balance;
pub mod call;
pub mod charts;
pub mod claim;
pub mod engine;
pub mod gossip;
pub mod harm;
pub mod lifecycle;
pub mod member;
pub mod message;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod upstream;
pub mod withdrawal;

pub use charts::Charts;
pub use engine::{Engine, Input, Output};

use base::prelude::*;

value! {
    /// The time at which an input is processed.
    #[derive(Default)]
    pub struct Now {
        /// Monotonic time since the process started.
        pub at: Moment,
        /// Unix time in milliseconds, for withdrawals and deadlines of moves, which operators set
        /// in wall-clock time.
        pub unix_ms: u64,
    }
}
