//! The callers' side: connections, requests and answers.

pub mod body;
pub mod problem;

mod accept;
mod call;
mod exchange;
mod resolve;

pub use accept::{Front, accept};
pub use call::post;
