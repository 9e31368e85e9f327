//! The decisions of a node whose upstreams register themselves, without input or output.
//!
//! Where `policy` has owners and a roster, every promise here holds by each node's own arithmetic:
//! its share of a bound needs no agreement and is not refilled by a restart.

pub mod budget;
pub mod charts;
pub mod cold;
pub mod demand;
pub mod engine;
pub mod exchange;
pub mod gauge;
pub mod member;
pub mod message;
pub mod route;
pub mod terms;
pub mod trial;
pub mod upstream;
pub mod view;

pub use charts::Charts;
pub use engine::{Engine, Input, Output};
pub use terms::Terms;
