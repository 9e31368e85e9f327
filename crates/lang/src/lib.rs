//! The language in which operators write queries and commands.
//!
//! A statement is a line of words. [`parse`] returns a [`Statement`], or an error with the position
//! and the input expected there. The command-line tool and the operators' interface of an entry
//! both parse statements with this crate.

mod error;
mod grammar;
mod time;

pub mod help;

use model::{Command, Query};

pub use error::Error;

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A command, which changes the configuration.
    Command(Command),
    /// A query, which changes nothing.
    Query(Query),
}

/// Parses a statement.
///
/// # Errors
///
/// Returns the position of the first unexpected word, and a description of the expected input.
pub fn parse(text: &str) -> Result<Statement, Error> {
    grammar::parse(text)
}
