//! Finds the cause of a failed or late request in the logs of the nodes.

pub mod cause;
pub mod explanation;
pub mod line;

pub use cause::Cause;
pub use explanation::Explanation;
pub use line::Line;
