//! What the tasks that serve callers and the other endpoints share.
//!
//! [`crate::run`] creates it and changes the phase.

use std::sync::Arc;

use model::table::Limits;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::Dialect;
use crate::memory::Memory;
use crate::message::Handle;
use crate::metrics::Metrics;

/// Phase of a node's shutdown, as its connections see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The node serves requests.
    #[default]
    Serving,
    /// Each response announces that its connection will be closed.
    Leaving {
        /// When the last calls end, so that their responses are out before the process ends.
        answer_by: Instant,
    },
    /// Idle connections are closed and no new ones are accepted.
    Closing {
        /// When the last calls end.
        answer_by: Instant,
    },
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

impl Front {
    /// Returns whether a call that arrives now and ends at `deadline` at the latest cannot be accepted.
    ///
    /// While the node is closing, a call that may last longer than the process is refused. Earlier
    /// calls are accepted, as few last so long and callers still expect the node to serve.
    #[must_use]
    pub fn comes_too_late(&self, deadline: Option<Instant>) -> bool {
        match *self.phase.borrow() {
            Phase::Serving | Phase::Leaving { .. } => false,
            Phase::Closing { answer_by } => deadline.is_none_or(|deadline| deadline > answer_by),
        }
    }

    /// Waits until a call with this deadline has to end, which is sooner while the node stops.
    pub async fn end_of_call(&self, deadline: Instant) {
        tokio::select! {
            () = sleep_until(deadline) => {}
            () = self.last_calls_end() => {}
        }
    }

    /// Waits until the last calls have to end, which they never have if the node is not stopped.
    pub async fn last_calls_end(&self) {
        let mut phase = self.phase.clone();
        let stopping = phase.wait_for(|phase| *phase != Phase::Serving).await;
        match stopping.map(|phase| *phase) {
            Ok(Phase::Leaving { answer_by } | Phase::Closing { answer_by }) => {
                sleep_until(answer_by).await;
            }
            // The sender lives as long as the node, so that waiting does not fail.
            Ok(Phase::Serving) | Err(_) => std::future::pending().await,
        }
    }
}
