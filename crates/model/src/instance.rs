//! The platform's list of instances, which lags.

use std::net::SocketAddr;

use base::{record, symbols};

/// The newest schema of the list that this build reads.
pub const SCHEMA: u32 = 1;

symbols! {
    /// What the platform says of an instance.
    pub enum State {
        /// It runs.
        Live = "live",
        /// It leaves.
        Leaving = "leaving",
    }
}

record! {
    /// An instance that serves at an address.
    #[derive(Copy)]
    pub struct Instance {
        /// Where it serves.
        pub address: SocketAddr,
        /// What the platform says of it.
        pub state: State,
    }

    /// The whole list.
    pub struct Instances {
        /// Version of the list's shape.
        pub schema: u32,
        /// The instances.
        pub instances: Vec<Instance>,
    }
}

impl Instances {
    /// Returns the addresses of instances that leave.
    #[must_use]
    pub fn leaving(&self) -> Vec<SocketAddr> {
        let leaving = self.instances.iter().filter(|instance| instance.state == State::Leaving);
        leaving.map(|instance| instance.address).collect()
    }
}
