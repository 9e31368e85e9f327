//! Errors of calls to the store.

use derive_more::{Display, Error as StdError};

/// The reason why a call to the store failed.
#[derive(Debug, Display, StdError)]
pub enum Error {
    /// No connection could be opened. Nothing was sent.
    #[display("store is unreachable: {cause}")]
    Unreachable {
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The connection was lost during the call. A write may have taken effect.
    #[display("connection to the store broke: {cause}")]
    Disconnected {
        /// Error of the HTTP library.
        cause: hyper::Error,
    },
    /// No response arrived in time. A write may have taken effect.
    #[display("store gave no answer in {millis} ms")]
    Timeout {
        /// Time-out in milliseconds.
        millis: u64,
    },
    /// The object does not have the expected version. Nothing was written.
    #[display("object has version {found}, not the expected one")]
    Conflict {
        /// Version of the object in the store; zero if unknown.
        found: u64,
    },
    /// The store no longer has the requested part of its history.
    #[display("store has forgotten that part of its history")]
    Compacted,
    /// The response has an unexpected HTTP status.
    #[display("store answered with status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// The response does not follow the store's protocol.
    #[display("store answered without a usable {part}")]
    InvalidResponse {
        /// The part that is missing or invalid.
        part: Part,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`](crate::MAX_VALUE_BYTES). Nothing was sent.
    #[display("value is larger than {} bytes", crate::MAX_VALUE_BYTES)]
    TooLarge,
    /// The name cannot be used in a request. Nothing was sent.
    #[display("not a name of an object")]
    InvalidName,
}

/// A part of a response from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Part {
    /// Version or revision.
    #[display("version")]
    Version,
    /// Body of the response.
    #[display("body")]
    Body,
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn is_ambiguous(&self) -> bool {
        matches!(
            self,
            Self::Disconnected { .. } | Self::Timeout { .. } | Self::Status { status: 500.. }
        )
    }
}
