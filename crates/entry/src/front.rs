//! The front end: accepts connections of callers, forwards requests to upstreams and relays the
//! responses.

pub mod body;
pub mod problem;

mod accept;
mod call;
mod exchange;
mod resolve;

pub use accept::{Front, accept};
pub use call::post;
