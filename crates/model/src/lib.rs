//! The objects that operators configure, the commands that change them, and their resolved form.
//!
//! Operators change a [`Config`] by a [`Command`]; a node resolves it into a [`Catalog`]. The
//! modules `registry` and `table` hold the counterparts for a store in which upstreams register
//! themselves.

pub mod catalog;
pub mod command;
pub mod config;
pub mod document;
pub mod instance;
pub mod object;
pub mod query;
pub mod registry;
pub mod table;

mod apply;

pub use catalog::Catalog;
pub use command::Command;
pub use config::Config;
pub use query::Query;
