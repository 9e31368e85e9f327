//! Decision logic of a node whose upstreams register themselves, free of I/O.
//!
//! The [`Engine`] takes inputs and appends outputs; the `node` crate connects it to sockets, the
//! store and other nodes. Unlike `policy`, which assigns owners through a roster, every node here
//! enforces limits by itself: its share of a limit needs no agreement, and a restart does not
//! refill it.

pub mod budget;
pub mod charts;
pub mod cold;
pub mod demand;
pub mod departure;
pub mod engine;
pub mod exchange;
pub mod gauge;
pub mod member;
pub mod message;
pub mod overlay;
pub mod peer;
pub mod route;
pub mod terms;
pub mod trial;
pub mod upstream;
pub mod view;

pub use charts::Charts;
pub use engine::{Engine, Input, Output};
pub use terms::Terms;
