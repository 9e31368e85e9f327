//! Graceful shutdown of a process, from the request to stop until it has stopped.
//!
//! The `entry` and `node` crates run this chart (`charts/daemon.jsonc`) in their main tasks.

use base::prelude::*;

symbols! {
    /// Stage of the shutdown.
    pub enum State {
        /// The process serves calls.
        Serving = "serving",
        /// Peers no longer advertise the process to callers; it still accepts calls.
        Leaving = "leaving",
        /// The process accepts nothing new; calls in progress may finish.
        Draining = "draining",
        /// The process has stopped.
        Stopped = "stopped",
    }
}

symbols! {
    /// Events of the shutdown.
    pub enum Event {
        /// The process was asked to stop.
        StopRequested = "stop-requested",
        /// Every list of addresses that names the process has expired at the callers.
        AdviceExpired = "advice-expired",
        /// The last call in progress has ended.
        Ended = "ended",
        /// The time-out for calls in progress has passed.
        TimedOut = "timed-out",
    }
}

symbols! {
    /// Actions of the shutdown.
    pub enum Action {
        /// Announces to peers that the process leaves.
        AnnounceLeave = "announce-leave",
        /// Stops accepting connections and closes open ones once their calls end.
        Close = "close",
        /// Refuses calls that are still queued.
        RefuseWaiting = "refuse-waiting",
        /// Aborts calls that are still in progress.
        Cut = "cut",
    }
}
