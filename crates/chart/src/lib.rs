//! Loads state charts, which define the transitions of the state machines in other crates.
//!
//! A chart file is JSON with comments. It lists every state, and each state either handles an event
//! under `on` or lists it under `ignore`. [`Chart::load`] rejects a file that omits an event, uses
//! an unknown name or has an unreachable state. The crate that interprets a chart declares its
//! states, events and actions with [`base::symbols`].

mod compile;
mod error;
mod file;

pub use compile::{Chart, Step};
pub use error::Error;
