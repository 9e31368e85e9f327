//! What members tell each other, apart from how it is encoded.

use base::prelude::*;

use crate::quota;

record! {
    /// A message from one member to another.
    pub enum Message {
        /// Asks the owner of a cold upstream for one call.
        Ask {
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
        Settle {
            /// The upstream's identity.
            upstream: u64,
            /// The asker's mark.
            serial: u64,
            /// How it ended.
            result: quota::Result,
        },
        /// Tells the next owner that this member has stopped acting for an upstream.
        Cede {
            /// Number of the roster under which the next one owns it.
            number: u64,
            /// The upstream's identity.
            upstream: u64,
            /// The limit that it had reached.
            limit: u32,
            /// Marks of the calls that are still out, with the members that hold them.
            out: Vec<(u64, u64)>,
        },
        /// Tells the owner that connections to its upstream fail.
        Down {
            /// The upstream's identity.
            upstream: u64,
        },
        /// News that each member passes on.
        News(Vec<News>),
    }

    /// A fact that only grows.
    #[derive(Copy)]
    pub enum News {
        /// Where an upstream is in its cold starts.
        Thermal {
            /// The upstream's identity.
            upstream: u64,
            /// Count of cold starts and of their ends.
            epoch: u32,
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
