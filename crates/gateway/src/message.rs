//! What nodes tell each other, apart from how it is encoded.

use base::prelude::*;
use model::registry::{Kind, Member};
use policy::rollout::Row;

use crate::trial::Progress;
use crate::view::Batch;

record! {
    /// What goes from one node to another.
    pub enum Frame {
        /// A sign of life.
        Beat(Beat),
        /// The members that the sender knows, for one who joins.
        Members(Vec<Member>),
        /// Facts from the store.
        Facts {
            /// Their kind.
            kind: Kind,
            /// The facts.
            batch: Batch,
        },
        /// Asks for everything of a kind.
        Fetch {
            /// The kind.
            kind: Kind,
        },
        /// Tells the driver of a trial what the sender has seen.
        Evidence {
            /// Identity of the trial.
            trial: u64,
            /// What has changed.
            rows: Vec<Row>,
        },
        /// An upstream broke with a request in flight, or an answer cleared the request.
        Suspect {
            /// Digest of the request.
            digest: u64,
            /// Count of answers that cleared it.
            generation: u32,
            /// The upstream, unless this clears the request.
            victim: Option<u64>,
        },
    }

    /// A sign of life.
    pub struct Beat {
        /// The sender.
        pub member: Member,
        /// Identity of its process.
        pub process: u64,
        /// Whether it leaves.
        pub leaving: bool,
        /// Whether it can serve.
        pub ready: bool,
        /// What it knows of each kind of fact.
        pub proofs: Vec<Proof>,
        /// How far it sees trials.
        pub trials: Vec<Progress>,
    }

    /// Up to which revision a node knows the facts of a kind, and how current that was.
    #[derive(Copy)]
    pub struct Proof {
        /// The kind.
        pub kind: Kind,
        /// The revision.
        pub at: u64,
        /// Revision up to which the last change holds.
        pub changed: u64,
        /// Time since the store said that nothing newer is there.
        pub age: Span,
    }
}
