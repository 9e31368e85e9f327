//! What can go wrong with a call of the store.

use derive_more::{Display, Error as StdError};

/// A call of the store that failed.
#[derive(Debug, Display, StdError)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[display("store is unreachable: {cause}")]
    Unreachable {
        /// The system's account.
        cause: std::io::Error,
    },
    /// The connection broke; a write may have taken effect.
    #[display("connection to the store broke: {cause}")]
    Disconnected {
        /// The library's account.
        cause: hyper::Error,
    },
    /// No answer came in time; a write may have taken effect.
    #[display("store gave no answer in {millis} ms")]
    Timeout {
        /// The time waited.
        millis: u64,
    },
    /// The object has another version than the expected one; nothing was written.
    #[display("object has version {found}, not the expected one")]
    Conflict {
        /// The version found.
        found: u64,
    },
    /// The store has forgotten the history that was asked for.
    #[display("store has forgotten that part of its history")]
    Compacted,
    /// The answer has an unexpected status.
    #[display("store answered with status {status}")]
    Status {
        /// The status.
        status: u16,
    },
    /// The answer is not what the interface says.
    #[display("store answered without a usable {part}")]
    InvalidResponse {
        /// What is missing or malformed.
        part: Part,
    },
    /// The value is larger than the store holds.
    #[display("value is larger than {} bytes", crate::MAX_VALUE_BYTES)]
    TooLarge,
    /// The request cannot be formed from this name.
    #[display("not a name of an object")]
    InvalidName,
}

/// A part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Part {
    /// The version.
    #[display("version")]
    Version,
    /// The body.
    #[display("body")]
    Body,
}

impl Error {
    /// Tells whether a write that failed like this may have taken effect.
    #[must_use]
    pub fn is_ambiguous(&self) -> bool {
        matches!(
            self,
            Self::Disconnected { .. } | Self::Timeout { .. } | Self::Status { status: 500.. }
        )
    }
}
