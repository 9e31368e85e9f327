//! Test rig: simulated store, upstreams and callers around real entries, and measurements.
//!
//! The `rig` command and the tests of this crate use it. It is no part of the load balancer.

pub mod bench;
pub mod caller;
pub mod compare;
pub mod fleet;
pub mod load;
pub mod local;
pub mod rounds;
pub mod serve;
pub mod slopes;
pub mod store;
pub mod upstream;
