//! What nodes tell each other, apart from how it is encoded.

use base::prelude::*;
use model::registry::{Kind, Member};
use policy::rollout::Row;

use crate::member::Summary;
use crate::trial::Progress;
use crate::view::Batch;

record! {
    /// What goes from one node to another.
    pub enum Frame {
        /// A first sign of life, which says who the sender is.
        Join {
            /// The sender.
            member: Member,
            /// How it is.
            heartbeat: Heartbeat,
        },
        /// A sign of life.
        Heartbeat(Heartbeat),
        /// Asks which nodes the receiver knows.
        FetchMembers,
        /// The nodes that the sender knows.
        Members(Vec<Member>),
        /// The lead of the sender's domain, for a lead that has taken the sender for it.
        Leader(Member),
        /// Facts from the store.
        Facts {
            /// Their kind.
            kind: Kind,
            /// The facts.
            batch: Batch,
        },
        /// Asks for everything of a kind.
        FetchFacts {
            /// The kind.
            kind: Kind,
        },
        /// Tells the driver of a trial what a node has seen.
        Evidence {
            /// Identity of the trial.
            trial: u64,
            /// The node that has seen it.
            reporter: u64,
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
            crashed_upstream: Option<u64>,
        },
    }

    /// A sign of life.
    pub struct Heartbeat {
        /// Identity of the sender's process.
        pub process: u64,
        /// Whether it leaves.
        pub leaving: bool,
        /// Whether it can serve.
        pub ready: bool,
        /// Whether it leads its domain.
        pub leader: bool,
        /// What a lead tells: of other domains to its own, of its own to others.
        pub domains: Vec<Summary>,
        /// What it knows of each kind of fact.
        pub confirmations: Vec<Confirmation>,
        /// How far it sees trials.
        pub trials: Vec<Progress>,
    }

    /// Up to which revision a node knows the facts of a kind, and how current that was.
    #[derive(Copy)]
    pub struct Confirmation {
        /// The kind.
        pub kind: Kind,
        /// The revision.
        pub revision: u64,
        /// Revision up to which the last change holds.
        pub changed_revision: u64,
        /// Time since the store said that nothing newer is there.
        pub age: Span,
        /// Time before that for which the store was always within reach.
        pub reachable_for: Span,
    }
}
