//! Messages between members, independent of their encoding.
//!
//! The engine sends and receives them; the `peer` crate encodes them by position, so the order of
//! fields and variants is part of the protocol.

use base::prelude::*;

use crate::claim;
use crate::quota;
use crate::rollout;
use crate::roster::{Member, Roster};

record! {
    /// A frame from one member to another.
    pub enum Frame {
        /// Sends what the sender knows and requests the same.
        Probe(Digest),
        /// Replies to a probe.
        Reply(Digest),
        /// Requests the newest configuration.
        Fetch,
        /// A configuration, encoded as in the store.
        Config(Vec<u8>),
        /// A message for the receiver's engine.
        Message(Message),
    }

    /// A summary of what a member knows.
    pub struct Digest {
        /// When the probe was sent, by the clock of the member that sent the probe.
        pub sent_at: Moment,
        /// Number of the configuration in force at the sender.
        pub config: u64,
        /// Number of calls in progress at the sender.
        pub calls: u32,
        /// Number of the newest roster that the sender knows.
        pub roster: u64,
        /// Time since that roster was last confirmed to be current.
        pub roster_age: Span,
        /// The roster itself, if the receiver knows an older one.
        pub newer_roster: Option<Box<Roster>>,
        /// The sender, if the roster does not name it and it wants to join.
        pub joiner: Option<Box<Member>>,
        /// Whether the sender has just started, so that the reply has to carry every update.
        pub just_started: bool,
        /// Whether the sender is leaving.
        pub leaving: bool,
        /// Highest heartbeat counts received, in the order of the members in that roster.
        pub heartbeats: Vec<u32>,
        /// Updates to disseminate.
        pub updates: Vec<Update>,
    }

    /// A message from one engine to another.
    pub enum Message {
        /// Requests a cold-start grant for one call from the owner of a cold upstream.
        Request {
            /// Identity of the upstream.
            upstream: u64,
            /// Serial number chosen by the requester.
            serial: u64,
        },
        /// Grants one call, to be started within the grant's time-out, counted from the request.
        Grant {
            /// Identity of the upstream.
            upstream: u64,
            /// Serial number chosen by the requester.
            serial: u64,
        },
        /// Denies a grant for now.
        Deny {
            /// Identity of the upstream.
            upstream: u64,
            /// Serial number chosen by the requester.
            serial: u64,
        },
        /// Reports to the owner how a granted call ended.
        GrantResult {
            /// Identity of the upstream.
            upstream: u64,
            /// Serial number chosen by the requester.
            serial: u64,
            /// How the call ended.
            result: quota::Result,
        },
        /// Hands over ownership: the sender no longer acts for what the receiver owns now.
        Handover {
            /// Number of the roster that makes the receiver the owner.
            number: u64,
            /// Cold-start limits and open grants of the upstreams that the sender owned.
            rows: Vec<HandoverRow>,
        },
        /// Requests permission from a replica of an idempotency key to execute a request.
        Claim {
            /// Digest of the idempotency key.
            key: u64,
            /// Serial number chosen by the requester.
            serial: u64,
            /// Number of the roster by which the replica was chosen.
            number: u64,
        },
        /// Answers a claim.
        ClaimAnswer {
            /// Digest of the idempotency key.
            key: u64,
            /// Serial number chosen by the requester.
            serial: u64,
            /// The replica's verdict.
            verdict: claim::Verdict,
        },
        /// Reports the outcome of a claimed request to a replica.
        ClaimResult {
            /// Digest of the idempotency key.
            key: u64,
            /// Serial number of the claim.
            serial: u64,
            /// What is known about the request; `None` if it was certainly not executed.
            state: Option<claim::State>,
        },
        /// Transfers the records of idempotency keys that a new roster assigns to the receiver.
        Records {
            /// Number of the new roster.
            number: u64,
            /// One part of the records.
            part: claim::Part,
        },
        /// Requests that a member sends its records and its handover again.
        Resend {
            /// Number of the new roster.
            number: u64,
        },
        /// Reports evidence on a move to the member that drives it.
        Evidence {
            /// Identity of the move.
            plan: u64,
            /// Tallies that have changed since the last report.
            rows: Vec<rollout::Row>,
        },
        /// Sends an update that must not wait for the next gossip round.
        Urgent(Update),
        /// Reports to the owner that connections to its upstream fail.
        Down {
            /// Identity of the upstream.
            upstream: u64,
        },
    }

    /// Cold-start state of an upstream that is handed over.
    pub struct HandoverRow {
        /// Identity of the upstream.
        pub upstream: u64,
        /// The limit of calls that the upstream had reached.
        pub limit: u32,
        /// Serial numbers of the open grants, with the members that hold them.
        pub grants: Vec<(u64, u64)>,
    }

    /// A fact that never reverts, so that updates may arrive in any order and more than once.
    #[derive(Copy)]
    pub enum Update {
        /// The cold-start state of an upstream.
        ColdStart {
            /// Identity of the upstream.
            upstream: u64,
            /// Count of cold starts and of their ends: odd while cold, even while warm.
            epoch: u32,
        },
        /// An upstream crashed with a request in flight.
        Crashed {
            /// Digest of the request.
            digest: u64,
            /// Number of responses that had cleared the request before.
            generation: u32,
            /// Identity of the upstream.
            upstream: u64,
        },
        /// The traffic share of a move's new version.
        Share {
            /// Identity of the move.
            plan: u64,
            /// The share, with the fence that orders it.
            share: rollout::Share,
        },
        /// A move is to be rolled back; this is final.
        Verdict {
            /// Identity of the move.
            plan: u64,
            /// Why the move is rolled back.
            verdict: rollout::Verdict,
        },
        /// A suspected request was answered, which clears it.
        Cleared {
            /// Digest of the request.
            digest: u64,
            /// Number of responses that have cleared the request, including this one.
            generation: u32,
        },
        /// An upstream is draining.
        Drain {
            /// Identity of the upstream.
            upstream: u64,
            /// Epoch of the upstream when it was seen to drain.
            epoch: u32,
        },
    }
}
