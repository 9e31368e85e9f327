//! Liveness of a member of the deployment as another member sees it.
//!
//! [`Gossip`](crate::gossip::Gossip) steps the chart `charts/member.jsonc` from the heartbeats that
//! it receives.

use base::prelude::*;

symbols! {
    /// Liveness of a member.
    pub enum State {
        /// The roster names the member, and no heartbeat has arrived yet.
        Unheard = "unheard",
        /// Its heartbeat count advances.
        Alive = "alive",
        /// Its heartbeat count has stalled.
        Suspect = "suspect",
        /// Its heartbeat count has stalled for so long that it is to be removed from the roster.
        Dead = "dead",
        /// The member announced that it leaves.
        Leaving = "leaving",
    }
}

symbols! {
    /// Events of a member.
    pub enum Event {
        /// A higher heartbeat count than before arrived.
        Heartbeat = "beat",
        /// No higher heartbeat count arrived within the time-out for suspicion.
        Silent = "silent",
        /// No higher heartbeat count arrived within the time-out for removal.
        Lost = "lost",
        /// The member announces that it leaves.
        Leaving = "leaving",
    }
}

symbols! {
    /// Actions of the member that observes.
    pub enum Action {
        /// Proposes a roster without the member.
        Propose = "propose",
    }
}

record! {
    /// What is known about another member.
    #[derive(Copy)]
    pub struct Member {
        /// Liveness of the member.
        pub state: State,
        /// The highest heartbeat count received, directly or by gossip.
        pub beat: u32,
        /// When that heartbeat count arrived.
        pub heard_at: Moment,
        /// When the member last replied to this one directly.
        pub answered_at: Moment,
        /// Calls in progress that the member last reported.
        pub calls: u32,
        /// Number of the newest configuration that the member reported to have in force.
        pub config: u64,
    }
}

impl Member {
    /// Creates the state of a member without any heartbeat up to `now`.
    #[must_use]
    pub fn unheard(now: Moment) -> Self {
        Self {
            state: State::Unheard,
            beat: 0,
            heard_at: now,
            answered_at: Moment::default(),
            calls: 0,
            config: 0,
        }
    }

    /// Returns whether callers may be directed to the member.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        matches!(self.state, State::Unheard | State::Alive)
    }
}
