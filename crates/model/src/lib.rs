//! The objects that operators create, the commands that change them, and the arenas of one node.

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
