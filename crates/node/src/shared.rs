//! What the tasks that serve callers and the other endpoints share.
//!
//! [`crate::run`] creates it and changes the phase.

use std::sync::Arc;

use model::table::Limits;
use tokio::sync::watch;

use crate::Dialect;
use crate::memory::Memory;
use crate::message::Handle;
use crate::metrics::Metrics;

/// Phase of a node's shutdown, as its connections see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node serves requests.
    #[default]
    Serving,
    /// Each response announces that its connection will be closed.
    Leaving,
    /// Idle connections are closed and no new ones are accepted.
    Closing,
}

/// State shared by the connections of callers and of the other endpoints.
#[derive(Clone, Debug)]
pub struct Front {
    /// Handle to the dispatcher, which decides where requests go.
    pub dispatcher: Handle,
    /// Names of headers and paths.
    pub dialect: Arc<Dialect>,
    /// Limits on callers, from the routing table.
    pub limits: watch::Receiver<Limits>,
    /// Memory for the bodies of responses.
    pub memory: Memory,
    /// Records responses and latencies.
    pub metrics: Metrics,
    /// Phase of the node's shutdown.
    pub phase: watch::Receiver<Phase>,
}
