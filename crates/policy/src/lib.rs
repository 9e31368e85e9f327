//! The decisions of an entry, as state machines without input or output.
//!
//! Time comes in as a value, randomness from a seeded generator in the state, and every effect
//! goes out as a value. Nothing here knows how messages are encoded or carried.

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
    /// The time of an input.
    #[derive(Default)]
    pub struct Now {
        /// Time since the process started, which never goes back.
        pub at: Moment,
        /// Unix time in milliseconds, for what operators order by the clock.
        pub unix_ms: u64,
    }
}
