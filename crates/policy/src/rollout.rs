//! Planned moves between versions: shares, evidence and verdicts.

mod driver;
mod evidence;
mod judge;

use base::prelude::*;

pub use driver::{Action, Conditions, Driver, Event, State};
pub use evidence::{Arm, BUCKETS, Group, Row, Tallies, Tally};
pub use judge::{Finding, Judge};

/// Shares of the traffic through which a move goes, in thousandths.
pub const STEPS: [u32; 6] = [10, 50, 150, 400, 750, 1_000];

symbols! {
    /// Why a move ended, final for the move.
    pub enum Verdict {
        /// The new version fails.
        Failing = "failing",
        /// The new version is slow.
        Slow = "slow",
        /// The deadline passed before the evidence sufficed.
        Late = "late",
    }
}

value! {
    /// The share that the member which drives a move has set.
    ///
    /// A later one has a greater fence, or the same fence and a greater count.
    #[derive(Default)]
    pub struct Share {
        /// Number of the roster by which the member drives the move.
        pub fence: u64,
        /// Count of changes under this fence.
        pub count: u32,
        /// Thousandths of the traffic.
        pub mille: u32,
    }
}
