//! Limits and times that the settings of a deployment define.

use base::prelude::*;

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
            advice_time: Span::seconds(5),
        }
    }
}
