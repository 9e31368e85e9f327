//! Messages between nodes, independent of their encoding.
//!
//! The engine creates and handles them. The `peer` crate encodes them by position, so the order of
//! fields and variants is part of the protocol.

use base::prelude::*;
use model::registry::{Kind, Member};
use policy::rollout::Row;

use crate::peer::{Entry, Report, Standing, Suspicion};
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
        /// Requests the entries of a failure domain, or those of the receiver's own one.
        FetchMembers {
            /// Name of the domain.
            domain: Option<String>,
        },
        /// The entries of a failure domain.
        Members(Vec<Entry>),
        /// What the sender has learned of nodes.
        Gossip(Gossip),
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

    /// Changes of what is known of nodes.
    #[derive(Default)]
    pub struct Gossip {
        /// Nodes that are new or have moved.
        pub entries: Vec<Entry>,
        /// Reports of known nodes.
        pub reports: Vec<Report>,
        /// Suspicions of nodes of the sender's domain.
        pub suspicions: Vec<Suspicion>,
    }

    /// State that a node sends to others at regular intervals.
    pub struct Heartbeat {
        /// Identity of the sender's process; it changes with a restart.
        pub process: u64,
        /// Incarnation of the sender.
        pub incarnation: u64,
        /// What the sender says of its service.
        pub standing: Standing,
        /// Whether the sender wants a heartbeat in return.
        pub expects_reply: bool,
        /// What the sender knows of each failure domain.
        pub domains: Vec<Summary>,
        /// Revision and age of each kind of fact at the sender.
        pub confirmations: Vec<Confirmation>,
        /// States of trials at the sender.
        pub trials: Vec<Progress>,
    }

    /// What a node knows of a failure domain.
    pub struct Summary {
        /// Name of the domain.
        pub domain: String,
        /// Time since the domain was heard, if it is reachable; zero for the sender's own.
        pub age: Option<Span>,
        /// Digest of the sender's entries of the domain.
        pub digest: u64,
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
