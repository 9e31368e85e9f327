//! The daemon: tasks that own sockets and one decision machine, and talk by messages.

pub mod admin;
pub mod clock;
pub mod contact;
pub mod daemon;
pub mod front;
pub mod header;
pub mod health;
pub mod keeper;
pub mod logs;
pub mod peers;
pub mod run;
pub mod settings;
pub mod steer;

mod idle;

pub use run::{Fault, Handle, start};
pub use settings::Settings;
