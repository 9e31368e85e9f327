//! Finds the cause of a failed or late request in the logs of the nodes.

pub mod account;
pub mod cause;
pub mod line;

pub use account::Account;
pub use cause::Cause;
pub use line::Line;
