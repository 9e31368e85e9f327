//! The only place that reads clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use policy::Now;
use tokio::time::Instant;

/// A clock that counts from the start of its process.
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
    /// Returns the time for decisions.
    #[must_use]
    pub fn now(&self) -> Now {
        Now { at: self.moment(), unix_ms: unix_ms() }
    }

    /// Returns the time since the clock's origin.
    #[must_use]
    pub fn moment(&self) -> Moment {
        Moment(Span::from(self.origin.elapsed()).0)
    }

    /// Returns the runtime's instant for a moment.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + Duration::from_micros(moment.0)
    }
}

/// Returns Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
