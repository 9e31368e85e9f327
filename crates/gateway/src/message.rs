//! Messages between nodes, independent of their encoding.
//!
//! The engine creates and handles them. The `peer` crate encodes them by position, so the order of
//! fields and variants is part of the protocol.

use base::prelude::*;
use model::registry::{Kind, Member};
use policy::rollout::Row;

use crate::member::Summary;
use crate::trial::Progress;
use crate::view::Batch;

record! {
    /// Message from one node to another.
    pub enum Frame {
        /// First heartbeat to a node, with the identity and addresses of the sender.
        Join {
            /// Sender.
            member: Member,
            /// State of the sender.
            heartbeat: Heartbeat,
        },
        /// Regular heartbeat.
        Heartbeat(Heartbeat),
        /// Requests the nodes that the receiver knows.
        FetchMembers,
        /// Nodes that the sender knows.
        Members(Vec<Member>),
        /// Leader of the sender's domain: the reply of any other node to a heartbeat from another
        /// domain.
        Leader(Member),
        /// Facts from the store.
        Facts {
            /// Kind of the facts.
            kind: Kind,
            /// All facts of the kind, or the changes.
            batch: Batch,
        },
        /// Requests all facts of a kind.
        FetchFacts {
            /// Kind of the facts.
            kind: Kind,
        },
        /// Evidence of a node for the driver of a trial.
        Evidence {
            /// Identity of the trial.
            trial: u64,
            /// Node that collected the evidence.
            reporter: u64,
            /// Rows that have changed.
            rows: Vec<Row>,
        },
        /// A request is suspected of crashing an upstream, or a response has cleared it.
        Suspect {
            /// Digest of the request.
            digest: u64,
            /// Number of responses that have cleared the request.
            generation: u32,
            /// Upstream that crashed; absent if this clears the request.
            crashed_upstream: Option<u64>,
        },
        /// Identities of upstreams that have announced that they are leaving.
        Departed(Vec<u64>),
    }

    /// State that a node sends to others at regular intervals.
    pub struct Heartbeat {
        /// Identity of the sender's process; it changes with a restart.
        pub process: u64,
        /// Whether the sender is shutting down.
        pub leaving: bool,
        /// Whether the sender can serve requests.
        pub ready: bool,
        /// Whether the sender leads its domain.
        pub leader: bool,
        /// From a leader only: the other domains if sent within its domain, its own domain if sent
        /// to other leaders.
        pub domains: Vec<Summary>,
        /// Revision and age of each kind of fact at the sender.
        pub confirmations: Vec<Confirmation>,
        /// States of trials at the sender.
        pub trials: Vec<Progress>,
    }

    /// Revision up to which a node knows the facts of a kind, and when the store confirmed that
    /// nothing newer exists.
    #[derive(Copy)]
    pub struct Confirmation {
        /// Kind of the facts.
        pub kind: Kind,
        /// Revision up to which the facts are known.
        pub revision: u64,
        /// Revision of the last change.
        pub changed_revision: u64,
        /// Time since the store confirmed that there is nothing newer.
        pub age: Span,
        /// Time for which the store was continuously reachable before that.
        pub reachable_for: Span,
    }
}
