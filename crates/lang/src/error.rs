//! The error of a statement that cannot be parsed.

use derive_more::{Display, Error as StdError};

/// A syntax error in a statement. It is displayed with a mark below the position.
#[derive(Clone, Debug, PartialEq, Eq, Display, StdError)]
#[display("{text}\n{:>width$}\nat column {width}: expected {expected}", "^", width = column + 1)]
pub struct Error {
    /// Text of the statement.
    pub text: String,
    /// Offset of the error from the start of the text, in bytes.
    pub column: usize,
    /// Description of the input that was expected at this position.
    pub expected: String,
}
