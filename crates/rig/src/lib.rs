//! Stand-ins for what surrounds the entries: the store, upstreams and callers.

pub mod bench;
pub mod caller;
pub mod compare;
pub mod load;
pub mod local;
pub mod rounds;
pub mod serve;
pub mod slopes;
pub mod store;
pub mod upstream;
