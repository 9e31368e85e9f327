//! The tasks of a gateway node, whose upstreams register themselves in a store.
//!
//! Each task owns its sockets and its state; the tasks talk by messages. The decisions are made by
//! [`gateway::Engine`], which the task in [`dispatch`] owns.

pub mod call;
pub mod clock;
pub mod dialect;
pub mod dispatch;
pub mod endpoint;
pub mod exchange;
pub mod front;
pub mod logs;
pub mod memory;
pub mod message;
pub mod meter;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod probe;
pub mod reader;
pub mod response;
pub mod run;
pub mod settings;
pub mod shared;
pub mod writer;

pub use dialect::Dialect;
pub use run::{Fault, Node, start};
pub use settings::Settings;
