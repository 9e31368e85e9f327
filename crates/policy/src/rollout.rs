//! Planned moves of a service's traffic between versions: shares, evidence and verdicts.
//!
//! The engine collects evidence at every member and runs the [`Driver`] at the member that owns the
//! move. The `gateway` crate uses the [`Judge`] and the tallies for its trials.

mod driver;
mod evidence;
mod judge;

use base::prelude::*;

pub use driver::{Action, Conditions, Driver, Event, State};
pub use evidence::{Arm, BUCKETS, Group, Row, Tallies, Tally};
pub use judge::{Finding, Judge};

/// Traffic shares of the new version in the course of a move, in thousandths.
pub const STEPS: [u32; 6] = [10, 50, 150, 400, 750, 1_000];

symbols! {
    /// Why a move is rolled back; final for the move.
    pub enum Verdict {
        /// The new version fails too often.
        Failing = "failing",
        /// The new version is too slow.
        Slow = "slow",
        /// The deadline passed before there was enough evidence.
        Late = "late",
    }
}

value! {
    /// The traffic share that the member which drives a move has set.
    ///
    /// A later share has a greater fence, or the same fence and a greater count.
    #[derive(Default)]
    pub struct Share {
        /// Number of the roster that makes the member the driver.
        pub fence: u64,
        /// Number of changes under this fence.
        pub count: u32,
        /// Share of the new version, in thousandths of the traffic.
        pub mille: u32,
    }
}
