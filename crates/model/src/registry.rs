//! Facts in a store where upstreams and nodes register themselves and operators place documents.

use std::net::SocketAddr;

use base::hash::digest;
use base::prelude::*;

symbols! {
    /// State that a registered upstream reports for itself.
    pub enum State {
        /// The upstream accepts requests.
        Ready = "ready",
        /// The upstream finishes its requests before it stops and accepts no new ones.
        Draining = "draining",
    }
}

symbols! {
    /// Progress of a rollout.
    pub enum Phase {
        /// Traffic shifts as fast as the results of the target version permit.
        Running = "running",
        /// The rollout succeeded: all traffic goes to the target version.
        Completed = "completed",
        /// The rollout failed: no traffic goes to the target version.
        RolledBack = "rolled-back",
    }
}

symbols! {
    /// The kinds of fact in the store.
    pub enum Kind {
        /// [`Table`](crate::table::Table).
        Table = "table",
        /// [`Upstream`].
        Upstreams = "upstreams",
        /// [`Rollout`].
        Rollouts = "rollouts",
        /// Withdrawn failure domains.
        Withdrawals = "withdrawals",
        /// [`Member`].
        Members = "members",
    }
}

record! {
    /// The registration of an upstream.
    pub struct Upstream {
        /// Identity, which usually changes with each start.
        pub id: String,
        /// Unix time of its start, in milliseconds; distinguishes starts with the same identity.
        pub started_ms: u64,
        /// Service that it runs.
        pub service: String,
        /// Version that it runs.
        pub version: String,
        /// Failure domain that it runs in.
        pub domain: String,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Concurrent requests that it runs.
        pub slots: u32,
        /// Whether it accepts requests.
        pub state: State,
        /// Remaining time of its cold start; zero if it is warm.
        pub cold_remaining: Span,
    }

    /// An operator's order to move a service's traffic to a version.
    pub struct Rollout {
        /// Service whose traffic moves.
        pub service: String,
        /// Version that is to serve the traffic.
        pub target: String,
        /// Time from the order until the rollout has to be complete.
        pub duration: Span,
        /// Progress; `Running` unless a result was stored for this target.
        pub phase: Phase,
    }

    /// The registration of a node that serves callers.
    pub struct Member {
        /// Name of the node, which stays the same across restarts.
        pub name: String,
        /// Failure domain that it runs in.
        pub domain: String,
        /// Address that it listens on for other members.
        pub peer: SocketAddr,
        /// Address that it listens on for callers.
        pub caller: SocketAddr,
    }

    /// A fact: the content of a named object in the store.
    pub enum Fact {
        /// Routes, services and limits.
        Table(crate::table::Table),
        /// An upstream.
        Upstream(Upstream),
        /// A rollout.
        Rollout(Rollout),
        /// A withdrawn failure domain, which gets no new requests.
        Withdrawal,
        /// A member.
        Member(Member),
    }

    /// A named object in the store, or its absence.
    pub struct Item {
        /// Name of the object, unique within its kind.
        pub name: String,
        /// Store revision of the last change of the object.
        pub revision: u64,
        /// Content of the object; absent if it was deleted or cannot be decoded.
        pub fact: Option<Fact>,
    }
}

impl Upstream {
    /// Returns an identity that is the same on every node and differs between starts.
    #[must_use]
    pub fn ident(&self) -> u64 {
        digest(&[b"upstream", self.id.as_bytes(), &self.started_ms.to_le_bytes()])
    }
}

impl Member {
    /// Returns an identity that is the same on every node.
    #[must_use]
    pub fn ident(&self) -> u64 {
        digest(&[b"member", self.name.as_bytes()])
    }
}
