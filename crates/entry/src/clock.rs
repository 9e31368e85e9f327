//! The process's clocks. Nothing else in the crate reads the time that the engine uses.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use policy::Now;
use tokio::time::Instant;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock {
    /// Returns the current monotonic and Unix time, as the engine takes them.
    #[must_use]
    pub fn now(&self) -> Now {
        Now { at: self.moment(), unix_ms: unix_ms() }
    }

    /// Returns the current moment, counted from the clock's origin.
    #[must_use]
    pub fn moment(&self) -> Moment {
        Moment(Span::from(self.origin.elapsed()).0)
    }

    /// Converts a moment to an instant of the runtime.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + Duration::from_micros(moment.0)
    }
}

/// Returns the Unix time in milliseconds, or 0 if the system clock is set before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
