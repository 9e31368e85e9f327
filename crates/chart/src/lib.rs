//! State charts: files that say how a machine goes from state to state, checked and compiled.
//!
//! A chart file is JSON with comments. It names every state, and for each state every event is
//! either handled under `on` or listed under `ignore`. [`Chart::load`] refuses a file that leaves
//! an event out, names something unknown, or has a state that nothing reaches.

mod compile;
mod error;
mod file;

pub use compile::{Chart, Step};
pub use error::Error;
