//! Errors in statements.

use derive_more::{Display, Error as StdError};

/// A statement that does not parse.
#[derive(Clone, Debug, PartialEq, Eq, Display, StdError)]
#[display("{text}\n{:>width$}\nat column {width}: expected {expected}", "^", width = column + 1)]
pub struct Error {
    /// The statement.
    pub text: String,
    /// The place in bytes from the start.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
}
