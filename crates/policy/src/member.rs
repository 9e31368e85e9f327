//! Members of the deployment as one of them sees them.

use base::prelude::*;

symbols! {
    /// Where a member is in its life.
    pub enum State {
        /// Nothing was heard of it yet.
        Unheard = "unheard",
        /// Its beats advance.
        Alive = "alive",
        /// Its beats stand still.
        Suspect = "suspect",
        /// Its beats have stood still for long.
        Dead = "dead",
        /// It said that it leaves.
        Leaving = "leaving",
    }
}

symbols! {
    /// What happens to a member.
    pub enum Event {
        /// A beat higher than any before was heard of.
        Heartbeat = "beat",
        /// No higher beat was heard of for a while.
        Silent = "silent",
        /// No higher beat was heard of for long.
        Lost = "lost",
        /// It says that it leaves.
        Leaving = "leaving",
    }
}

symbols! {
    /// What another member does about it.
    pub enum Action {
        /// Proposes a roster without it.
        Propose = "propose",
    }
}

record! {
    /// What is known of a member.
    #[derive(Copy)]
    pub struct Member {
        /// Where it is in its life.
        pub state: State,
        /// The highest beat heard of.
        pub beat: u32,
        /// When that beat was heard of.
        pub heard_at: Moment,
        /// When it last answered this member itself.
        pub answered_at: Moment,
        /// Calls that it has said to have in progress.
        pub calls: u32,
        /// Configuration that it has said to have in force.
        pub config: u64,
    }
}

impl Member {
    /// Makes a member of which nothing was heard before `now`.
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

    /// Tells whether callers may be sent to it.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        matches!(self.state, State::Unheard | State::Alive)
    }
}
