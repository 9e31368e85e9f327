//! Limits and times that the settings of a deployment define.

use base::prelude::*;

/// Share of the change time after which facts are confirmed again.
const CONFIRMATION_SHARE: f64 = 0.3;
/// Share of the change time after which a missing confirmation calls the backup.
const BACKUP_SHARE: f64 = 0.45;
/// Share of the change time after which a missing confirmation calls others; the rest is for a tick
/// and a read.
const PATIENCE_SHARE: f64 = 0.65;

record! {
    /// Limits that hold in sum over all nodes, and times that hold on every node.
    #[derive(Copy)]
    pub struct Terms {
        /// Maximum retries of a service in the window, as a share of its requests.
        pub retry_ratio: f64,
        /// Retries that a service is permitted in the window in addition to that share.
        pub retry_slack: f64,
        /// Length of the retry window.
        pub retry_window: Span,
        /// Maximum share of a service's requests that go to an unproven version.
        pub trial_share: f64,
        /// Number of failure domains whose simultaneous loss has to be tolerated.
        pub domains_lost: usize,
        /// Factor on the request rate that a cold upstream can handle.
        pub cold_factor: f64,
        /// Requests per second that a cold upstream may be sent in addition to that.
        pub cold_slack: f64,
        /// Maximum health checks per second that one upstream receives from all nodes.
        pub probe_rate: f64,
        /// Time from a change in the store until no node may act on what was true before.
        pub change_time: Span,
        /// Maximum time for which callers may cache the addresses of nodes.
        pub advice_time: Span,
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_slack: 60.0,
            retry_window: Span::seconds(10),
            trial_share: 0.1,
            domains_lost: 1,
            cold_factor: 1.5,
            cold_slack: 5.0,
            probe_rate: 60.0,
            change_time: Span::seconds(2),
            advice_time: Span::seconds(5),
        }
    }
}

impl Terms {
    /// Returns how often the node that watches the store for all confirms that nothing has changed.
    #[must_use]
    pub fn confirmation_interval(&self) -> Span {
        self.change_time.scale(CONFIRMATION_SHARE)
    }

    /// Returns the age of the last confirmation from which on the backup of that node watches too.
    #[must_use]
    pub fn backup_patience(&self) -> Span {
        self.change_time.scale(BACKUP_SHARE)
    }

    /// Returns the age of the last confirmation from which on other nodes watch the store.
    #[must_use]
    pub fn patience(&self) -> Span {
        self.change_time.scale(PATIENCE_SHARE)
    }
}
