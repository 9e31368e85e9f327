//! The clocks of a node.
//!
//! Decisions use a clock that also counts the time for which the machine was suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Returns the time that decisions use, which includes suspensions of the machine.
#[must_use]
pub fn now() -> Moment {
    read(ClockId::Boottime)
}

/// Returns the time without suspensions of the machine.
#[must_use]
pub fn monotonic() -> Moment {
    read(ClockId::Monotonic)
}

fn read(clock: ClockId) -> Moment {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Moment(seconds * 1_000_000 + nanos / 1_000)
}

/// Converts a moment into an instant of the async runtime.
///
/// A moment in the past gives the current instant.
#[must_use]
pub fn instant(moment: Moment) -> Instant {
    Instant::now() + Duration::from(moment.since(now()))
}

/// Returns the Unix time in milliseconds, for logs.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
