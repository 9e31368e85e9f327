//! The life of an entry from the order to stop until its end.

use base::prelude::*;

symbols! {
    /// Where an entry is in its life.
    pub enum State {
        /// It serves.
        Serving = "serving",
        /// It is being left out, and still serves who comes.
        Leaving = "leaving",
        /// It takes nothing new; calls in progress end.
        Draining = "draining",
        /// It has stopped.
        Stopped = "stopped",
    }
}

symbols! {
    /// What happens to an entry.
    pub enum Event {
        /// It is ordered to stop.
        StopRequested = "stop-requested",
        /// No caller keeps an answer any more that names it.
        AdviceExpired = "advice-expired",
        /// The last call has ended.
        Ended = "ended",
        /// The time for calls in progress is over.
        TimedOut = "timed-out",
    }
}

symbols! {
    /// What it does about it.
    pub enum Action {
        /// Tells peers that it leaves.
        AnnounceLeave = "announce-leave",
        /// Takes no new connections and lets open ones end.
        Close = "close",
        /// Refuses calls that still wait.
        RefuseWaiting = "refuse-waiting",
        /// Cuts calls that are still in progress.
        Cut = "cut",
    }
}
