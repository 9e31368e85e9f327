//! The one configuration document of a deployment and its codec.

use std::collections::BTreeMap;

use base::record;

use crate::document::{self, Fault};
use crate::object::{Domain, Kind, Move, Route, Service, Upstream, Version, Workspace};

/// The newest schema that this build reads and the one it writes.
pub const SCHEMA: u32 = 1;
/// Changes that the document itself remembers.
pub const MAX_HISTORY: usize = 400;

record! {
    /// Everything that operators have ordered, with a number that only grows.
    #[derive(Default)]
    #[serde(default)]
    pub struct Config {
        /// Version of the document's shape.
        pub schema: u32,
        /// Count of accepted changes.
        pub number: u64,
        /// Services by name.
        pub services: BTreeMap<String, Service>,
        /// Failure domains by name.
        pub domains: BTreeMap<String, Domain>,
        /// Workspaces by name.
        pub workspaces: BTreeMap<String, Workspace>,
        /// Versions by `service/version`.
        pub versions: BTreeMap<String, Version>,
        /// Upstreams by name.
        pub upstreams: BTreeMap<String, Upstream>,
        /// Routes by `service METHOD prefix`.
        pub routes: BTreeMap<String, Route>,
        /// Moves by name.
        pub moves: BTreeMap<String, Move>,
        /// The newest changes, oldest first.
        pub history: Vec<Change>,
    }

    /// One accepted change.
    pub struct Change {
        /// The number that it gave the configuration.
        pub number: u64,
        /// Identity of the write, by which a lost answer is recognised.
        pub write: u64,
        /// Who ordered it.
        pub who: String,
        /// When, in milliseconds of Unix time.
        pub when_ms: u64,
        /// The command as given.
        pub text: String,
    }
}

impl Config {
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Returns an error for a newer schema and for anything that is not a configuration.
    pub fn decode(bytes: &[u8]) -> Result<Self, Fault> {
        document::decode(bytes, SCHEMA)
    }

    /// Writes the document in the current schema.
    ///
    /// # Panics
    ///
    /// Never in practice: every field of a configuration has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let current = Self { schema: SCHEMA, ..self.clone() };
        serde_json::to_vec(&current).expect("a configuration has a JSON form")
    }

    /// Returns the number of the change that an object stems from.
    #[must_use]
    pub fn rev(&self, kind: Kind, name: &str) -> Option<u64> {
        match kind {
            Kind::Service => self.services.get(name).map(|object| object.rev),
            Kind::Domain => self.domains.get(name).map(|object| object.rev),
            Kind::Workspace => self.workspaces.get(name).map(|object| object.rev),
            Kind::Version => self.versions.get(name).map(|object| object.rev),
            Kind::Upstream => self.upstreams.get(name).map(|object| object.rev),
            Kind::Route => self.routes.get(name).map(|object| object.rev),
            Kind::Move => self.moves.get(name).map(|object| object.rev),
        }
    }

    /// Finds the change made by the write with the given identity.
    #[must_use]
    pub fn change(&self, write: u64) -> Option<&Change> {
        self.history.iter().rev().find(|change| change.write == write)
    }
}
