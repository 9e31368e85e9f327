//! What a node tells its log when it changes what it believes.

use base::prelude::*;
use model::registry::Kind;

use crate::upstream::{Event, State};

record! {
    /// A change of what a node believes, for its log.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Note {
        /// Another table is in force.
        Table {
            /// Its version.
            version: u64,
            /// Its routes.
            routes: usize,
        },
        /// An upstream is known.
        Upstream {
            /// Its identity.
            id: String,
            /// Where it is in its life now.
            state: State,
            /// Where it was.
            before: State,
            /// Why.
            cause: Event,
            /// Time since it was last heard, in milliseconds, if it ever was.
            heard_ms: Option<u64>,
        },
        /// An upstream has registered itself.
        Registered {
            /// Its identity.
            id: String,
            /// The version that it runs.
            version: String,
            /// Its failure domain.
            domain: String,
            /// Revision of the store.
            revision: u64,
        },
        /// An upstream's entry is gone.
        Departed {
            /// Its identity.
            id: String,
            /// Revision of the store.
            revision: u64,
        },
        /// An entry vanished while the store was away and may come back.
        Lapsed {
            /// Its identity.
            id: String,
        },
        /// A failure domain is withdrawn, or back.
        Withdrawal {
            /// Its name.
            domain: String,
            /// Whether it is withdrawn.
            withdrawn: bool,
            /// Revision of the store.
            revision: u64,
        },
        /// A trial has moved.
        Trial {
            /// The service.
            service: String,
            /// The target version.
            target: String,
            /// Where it is.
            state: crate::trial::State,
            /// Answers of the target version that were weighed here.
            samples: u32,
        },
        /// A move is held, as the target version's upstreams are too few.
        Held {
            /// The service.
            service: String,
            /// Slots that its requests keep busy.
            busy: f64,
            /// Slots of the target version.
            slots: f64,
            /// The same without the failure domains that may be lost at a time.
            slots_left: f64,
        },
        /// A member is there, or is not any more.
        Member {
            /// Its name.
            name: String,
            /// Whether it is live.
            live: bool,
        },
        /// This node watches the store, or does not any more.
        Watch {
            /// Whether it does.
            watching: bool,
            /// Time since the newest proof, in milliseconds, if there is one.
            proof_ms: Option<u64>,
        },
        /// Changes are missing between what is known and what came.
        Gap {
            /// Their kind.
            kind: Kind,
            /// Revision that is known.
            at: u64,
        },
        /// The process stood still.
        Resumed,
    }
}
