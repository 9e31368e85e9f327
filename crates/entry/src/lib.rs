//! The entry daemon, `nutmegwharfd`: accepts requests of callers and forwards them to upstreams.
//!
//! Each task owns its sockets and its state and exchanges messages with the others. The dispatcher
//! owns the policy engine, which decides where requests go; the other tasks do the I/O. The crate
//! also holds the settings reader, headers and exit codes that other daemons use.

pub mod admin;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod dispatch;
pub mod front;
pub mod header;
pub mod logs;
pub mod peers;
pub mod probe;
pub mod run;
pub mod settings;
pub mod sync;

mod pool;

pub use run::{Fault, Handle, start};
pub use settings::Settings;
