//! What members tell each other, apart from how it is encoded.

use base::prelude::*;

use crate::claim;
use crate::quota;
use crate::rollout;
use crate::roster::{Member, Roster};

record! {
    /// What goes from one member to another.
    pub enum Frame {
        /// Tells what the sender knows and asks for the same.
        Probe(Digest),
        /// Answers a probe.
        Reply(Digest),
        /// Asks for the newest configuration.
        Fetch,
        /// A configuration in the form in which the store holds it.
        Config(Vec<u8>),
        /// A message for the receiver's decisions.
        Message(Message),
    }

    /// What a member knows, in short.
    pub struct Digest {
        /// When the probe was sent, by the clock of who sent it.
        pub sent_at: Moment,
        /// Number of the configuration in force.
        pub config: u64,
        /// Calls in progress at the sender.
        pub calls: u32,
        /// Number of the newest roster known.
        pub roster: u64,
        /// Time since that roster was last known to be current.
        pub roster_age: Span,
        /// The roster itself, for one who knows an older one.
        pub newer_roster: Option<Box<Roster>>,
        /// The sender, if the roster does not name it.
        pub joiner: Option<Box<Member>>,
        /// Whether the sender has just started and knows no news.
        pub just_started: bool,
        /// Whether the sender leaves.
        pub leaving: bool,
        /// Highest beats heard of, in the order of the roster that the number names.
        pub heartbeats: Vec<u32>,
        /// Update to pass on.
        pub updates: Vec<Update>,
    }

    /// A message for the decisions of one member.
    pub enum Message {
        /// Asks the owner of a cold upstream for one call.
        Request {
            /// The upstream's identity.
            upstream: u64,
            /// The asker's mark.
            serial: u64,
        },
        /// Grants one call, to be started within the grant's term of the asking.
        Grant {
            /// The upstream's identity.
            upstream: u64,
            /// The asker's mark.
            serial: u64,
        },
        /// Refuses a call for now.
        Deny {
            /// The upstream's identity.
            upstream: u64,
            /// The asker's mark.
            serial: u64,
        },
        /// Tells the owner how a granted call ended.
        GrantResult {
            /// The upstream's identity.
            upstream: u64,
            /// The asker's mark.
            serial: u64,
            /// How it ended.
            result: quota::Result,
        },
        /// Tells a member that the sender acts no more for what the receiver owns now.
        Handover {
            /// Number of the roster under which the receiver owns it.
            number: u64,
            /// What the sender had granted of it.
            rows: Vec<HandoverRow>,
        },
        /// Asks a home of an idempotency key whether a request may run.
        Claim {
            /// The key.
            key: u64,
            /// The asker's mark.
            serial: u64,
            /// Number of the roster by which the home was chosen.
            number: u64,
        },
        /// Answers a claim.
        ClaimAnswer {
            /// The key.
            key: u64,
            /// The asker's mark.
            serial: u64,
            /// What the home says.
            verdict: claim::Verdict,
        },
        /// Tells a home what became of a claimed request; nothing if it has not run.
        ClaimResult {
            /// The key.
            key: u64,
            /// The sender's mark.
            serial: u64,
            /// What is known of the request.
            state: Option<claim::State>,
        },
        /// Tells a member of the records that it has to keep by a new roster.
        Records {
            /// Number of the roster.
            number: u64,
            /// A part of them.
            part: claim::Part,
        },
        /// Asks a member for its records and its cession once more.
        Resend {
            /// Number of the roster.
            number: u64,
        },
        /// Tells the member that drives a move what the sender has seen.
        Evidence {
            /// The move's identity.
            plan: u64,
            /// What has changed.
            rows: Vec<rollout::Row>,
        },
        /// Tells of something that must not wait for the next round.
        Urgent(Update),
        /// Tells the owner that connections to its upstream fail.
        Down {
            /// The upstream's identity.
            upstream: u64,
        },
    }

    /// What an owner had granted of an upstream that it cedes.
    pub struct HandoverRow {
        /// The upstream's identity.
        pub upstream: u64,
        /// The limit that it had reached.
        pub limit: u32,
        /// Marks of the calls that are still out, with the members that hold them.
        pub grants: Vec<(u64, u64)>,
    }

    /// A fact that only grows.
    #[derive(Copy)]
    pub enum Update {
        /// Where an upstream is in its cold starts.
        ColdStart {
            /// The upstream's identity.
            upstream: u64,
            /// Count of cold starts and of their ends.
            epoch: u32,
        },
        /// An upstream broke with a request in flight.
        Crashed {
            /// Digest of the request.
            digest: u64,
            /// Count of answers that cleared the request before.
            generation: u32,
            /// The upstream's identity.
            upstream: u64,
        },
        /// The share of a move's new version.
        Share {
            /// The move's identity.
            plan: u64,
            /// The share.
            share: rollout::Share,
        },
        /// A move is to be taken back; this is final.
        Verdict {
            /// The move's identity.
            plan: u64,
            /// Why.
            verdict: rollout::Verdict,
        },
        /// A suspected request was answered.
        Cleared {
            /// Digest of the request.
            digest: u64,
            /// Count of answers that cleared it, with this one.
            generation: u32,
        },
        /// An upstream leaves.
        Drain {
            /// The upstream's identity.
            upstream: u64,
            /// Its epoch when it was seen to leave.
            epoch: u32,
        },
    }
}
