//! The tasks of a node whose upstreams register themselves: they own sockets and talk by messages.

pub mod answer;
pub mod call;
pub mod clock;
pub mod contact;
pub mod dialect;
pub mod exchange;
pub mod front;
pub mod link;
pub mod logs;
pub mod meter;
pub mod pages;
pub mod peers;
pub mod probe;
pub mod reader;
pub mod run;
pub mod settings;
pub mod steer;

pub use dialect::Dialect;
pub use run::{Fault, Node, start};
pub use settings::Settings;
