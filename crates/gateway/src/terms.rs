//! The bounds that a deployment sets, as the settings give them.

use base::prelude::*;

record! {
    /// Bounds that hold in sum over all nodes, and times by which facts are in force.
    #[derive(Copy)]
    pub struct Terms {
        /// Retries that a service bears, as a share of its requests in the window.
        pub retry_ratio: f64,
        /// Retries beyond that share in one window.
        pub retry_slack: f64,
        /// Length of the window.
        pub retry_window: Span,
        /// Share of a service's requests that an unproven version may get.
        pub trial_share: f64,
        /// Failure domains that may be lost at a time.
        pub domains_lost: usize,
        /// Factor on the rate that a cold upstream bears.
        pub cold_factor: f64,
        /// Requests in one second beyond that.
        pub cold_slack: f64,
        /// Questions for health a second that one upstream gets from all nodes.
        pub probe_rate: f64,
        /// Longest time for which callers keep an answer of where to connect.
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
