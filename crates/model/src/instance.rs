//! The platform's list of instances, which lags behind their actual state.

use std::net::SocketAddr;

use base::{record, symbols};

/// Newest schema of the list that this build reads.
pub const SCHEMA: u32 = 1;

symbols! {
    /// State of an instance according to the platform.
    pub enum State {
        /// The instance is running.
        Live = "live",
        /// The instance is being removed.
        Leaving = "leaving",
    }
}

record! {
    /// An instance, identified by its address.
    #[derive(Copy)]
    pub struct Instance {
        /// Address that the instance serves on.
        pub address: SocketAddr,
        /// State of the instance.
        pub state: State,
    }

    /// The list as it is stored.
    pub struct Instances {
        /// Schema number of the list.
        pub schema: u32,
        /// All instances that the platform knows.
        pub instances: Vec<Instance>,
    }
}

impl Instances {
    /// Returns the addresses of the instances that are being removed.
    #[must_use]
    pub fn leaving(&self) -> Vec<SocketAddr> {
        let leaving = self.instances.iter().filter(|instance| instance.state == State::Leaving);
        leaving.map(|instance| instance.address).collect()
    }
}
