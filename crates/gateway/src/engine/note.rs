//! Log records of changes in a node's state.
//!
//! The dispatcher writes them to the log as JSON.

use base::prelude::*;
use model::registry::Kind;

use crate::upstream::{Event, State};

record! {
    /// A change in a node's state, for its log.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Note {
        /// A new routing table is in force.
        Table {
            /// Version of the table.
            version: u64,
            /// Number of its routes.
            routes: usize,
        },
        /// The state of an upstream changed.
        Upstream {
            /// Identity of the upstream.
            id: String,
            /// New state.
            state: State,
            /// Previous state.
            before: State,
            /// Event that caused the change.
            cause: Event,
            /// Time since the upstream last responded, in milliseconds, if it ever has.
            heard_ms: Option<u64>,
        },
        /// An upstream was registered.
        Registered {
            /// Identity of the upstream.
            id: String,
            /// Version that it runs.
            version: String,
            /// Name of its failure domain.
            domain: String,
            /// Revision of the store.
            revision: u64,
        },
        /// An upstream was removed because its entry is gone.
        Departed {
            /// Identity of the upstream.
            id: String,
            /// Revision of the store.
            revision: u64,
        },
        /// An upstream has announced that it is leaving, to this node or to another one.
        Leaving {
            /// Identity of the upstream.
            id: String,
        },
        /// An upstream's entry vanished during a store outage; its removal is delayed because it
        /// may come back.
        Lapsed {
            /// Identity of the upstream.
            id: String,
        },
        /// A failure domain was withdrawn or returned to service.
        Withdrawal {
            /// Name of the domain.
            domain: String,
            /// Whether it is withdrawn.
            withdrawn: bool,
            /// Revision of the store.
            revision: u64,
        },
        /// The state of a trial changed.
        Trial {
            /// Name of the service.
            service: String,
            /// Target version.
            target: String,
            /// New state of the trial.
            state: crate::trial::State,
            /// Number of responses of the target version that this node evaluated.
            samples: u32,
        },
        /// The switch of all traffic is delayed because the upstreams of the target version have
        /// too few slots.
        Held {
            /// Name of the service.
            service: String,
            /// Number of slots that the service's requests keep busy.
            busy: f64,
            /// Number of slots of the target version.
            slots: f64,
            /// Number of these slots that are left after the loss of the failure domains that may
            /// fail at a time.
            slots_left: f64,
        },
        /// Another node became live.
        Member {
            /// Name of the node.
            name: String,
            /// Whether it is live.
            live: bool,
        },
        /// This node started or stopped watching the store.
        Watch {
            /// Whether it watches the store.
            watching: bool,
            /// Age of the last confirmation, in milliseconds, if there is one.
            proof_ms: Option<u64>,
        },
        /// A batch of facts was rejected because earlier changes are missing.
        Gap {
            /// Kind of the facts.
            kind: Kind,
            /// Revision up to which the facts are known.
            at: u64,
        },
        /// The process was suspended and has resumed.
        Resumed,
    }
}
