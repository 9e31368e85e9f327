//! The tasks of a node whose upstreams register themselves: they own sockets and talk by messages.

pub mod call;
pub mod clock;
pub mod dialect;
pub mod dispatch;
pub mod endpoint;
pub mod exchange;
pub mod front;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod probe;
pub mod reader;
pub mod response;
pub mod run;
pub mod settings;
pub mod writer;

pub use dialect::Dialect;
pub use run::{Fault, Node, start};
pub use settings::Settings;
