//! Explains why a request failed or was late, from the logs of the nodes.
//!
//! The command-line tool calls [`Explanation::read`] for its `explain` command.

pub mod cause;
pub mod explanation;
pub mod line;

pub use cause::Cause;
pub use explanation::Explanation;
pub use line::Line;
