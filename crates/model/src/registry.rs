//! Upstreams and members that register themselves, and orders that lie beside them.

use std::net::SocketAddr;

use base::hash::digest;
use base::prelude::*;

symbols! {
    /// What a registered upstream says of itself.
    pub enum State {
        /// It takes requests.
        Ready = "ready",
        /// It leaves.
        Draining = "draining",
    }
}

symbols! {
    /// How a rollout ended, or that it has not.
    pub enum Phase {
        /// The system moves traffic as the evidence permits.
        Running = "running",
        /// All traffic goes to the target version.
        Completed = "completed",
        /// No traffic goes to the target version.
        RolledBack = "rolled-back",
    }
}

symbols! {
    /// The kinds of fact that the store holds.
    pub enum Kind {
        /// [`Table`](crate::table::Table).
        Table = "table",
        /// [`Upstream`].
        Upstreams = "upstreams",
        /// [`Rollout`].
        Rollouts = "rollouts",
        /// Failure domains that are withdrawn.
        Withdrawals = "withdrawals",
        /// [`Member`].
        Members = "members",
    }
}

record! {
    /// An upstream as it registers itself.
    pub struct Upstream {
        /// Its identity, which the next start mostly changes.
        pub id: String,
        /// Unix milliseconds of its start; tells starts under one identity apart.
        pub started_ms: u64,
        /// Its service.
        pub service: String,
        /// The version that it runs.
        pub version: String,
        /// Its failure domain.
        pub domain: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Whether it leaves.
        pub state: State,
        /// Time that its cold start goes on for.
        pub cold_remaining: Span,
    }

    /// An order to move a service's traffic to a version.
    pub struct Rollout {
        /// The service.
        pub service: String,
        /// The version.
        pub target: String,
        /// Time from the order to its deadline.
        pub duration: Span,
        /// How far it is; `Running` if nothing was written for this target.
        pub phase: Phase,
    }

    /// A node that serves callers.
    pub struct Member {
        /// Its name, which a restart keeps.
        pub name: String,
        /// Its failure domain.
        pub domain: String,
        /// Where it takes connections of other members.
        pub peer: SocketAddr,
        /// Where it takes connections of callers.
        pub caller: SocketAddr,
    }

    /// What the store says under a name.
    pub enum Fact {
        /// Routes, services and limits.
        Table(crate::table::Table),
        /// An upstream.
        Upstream(Upstream),
        /// A rollout.
        Rollout(Rollout),
        /// A failure domain that gets no new work.
        Withdrawal,
        /// A member.
        Member(Member),
    }

    /// A fact with its name, or its absence.
    pub struct Item {
        /// The name.
        pub name: String,
        /// Revision of the last change.
        pub revision: u64,
        /// The fact; absent if it was deleted or cannot be read.
        pub fact: Option<Fact>,
    }
}

impl Upstream {
    /// Returns an identity that is equal on every node and differs between starts.
    #[must_use]
    pub fn ident(&self) -> u64 {
        digest(&[b"upstream", self.id.as_bytes(), &self.started_ms.to_le_bytes()])
    }
}

impl Member {
    /// Returns an identity that is equal on every node.
    #[must_use]
    pub fn ident(&self) -> u64 {
        digest(&[b"member", self.name.as_bytes()])
    }
}
