//! The query and command language of operators.
//!
//! A statement is one line of words. [`parse`] gives a [`Statement`] or an error that shows the
//! place and what was expected there.

mod error;
mod grammar;
mod time;

pub mod help;

use model::{Command, Query};

pub use error::Error;

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// It changes the configuration.
    Command(Command),
    /// It asks something.
    Query(Query),
}

/// Parses one statement.
///
/// # Errors
///
/// Returns the place of the first word that does not fit and what was expected there.
pub fn parse(text: &str) -> Result<Statement, Error> {
    grammar::parse(text)
}
