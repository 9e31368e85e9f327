//! The daemon: tasks that own sockets and one decision machine, and talk by messages.

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
