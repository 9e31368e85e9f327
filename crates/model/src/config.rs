//! The configuration document of a deployment, stored as JSON, and its encoding.

use std::collections::BTreeMap;

use base::record;

use crate::document::{self, Fault};
use crate::object::{Domain, Kind, Move, Route, Service, Upstream, Version, Workspace};

/// The schema that this build writes, and the newest one that it reads.
pub const SCHEMA: u32 = 1;
/// Maximum number of changes kept in the document's history.
pub const MAX_HISTORY: usize = 400;

record! {
    /// All settings made by operators, with a number that never decreases.
    #[derive(Default)]
    #[serde(default)]
    pub struct Config {
        /// Schema number of the document.
        pub schema: u32,
        /// Number of accepted changes so far.
        pub number: u64,
        /// Services by name.
        pub services: BTreeMap<String, Service>,
        /// Failure domains by name.
        pub domains: BTreeMap<String, Domain>,
        /// Workspaces by name.
        pub workspaces: BTreeMap<String, Workspace>,
        /// Versions by `service/version`, where `version` is the name within the service.
        pub versions: BTreeMap<String, Version>,
        /// Upstreams by name.
        pub upstreams: BTreeMap<String, Upstream>,
        /// Routes by `service METHOD prefix`.
        pub routes: BTreeMap<String, Route>,
        /// Moves by name.
        pub moves: BTreeMap<String, Move>,
        /// The most recent changes, oldest first.
        pub history: Vec<Change>,
    }

    /// An accepted change.
    pub struct Change {
        /// Number of the configuration that resulted from it.
        pub number: u64,
        /// Identity of the write, by which its author recognizes it after a lost answer.
        pub write: u64,
        /// Author of the change.
        pub who: String,
        /// Unix time of the change, in milliseconds.
        pub when_ms: u64,
        /// Text of the command as the author entered it.
        pub text: String,
    }
}

impl Config {
    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Returns an error if the schema is newer than [`SCHEMA`], or if `bytes` is not a
    /// configuration.
    pub fn decode(bytes: &[u8]) -> Result<Self, Fault> {
        document::decode(bytes, SCHEMA)
    }

    /// Encodes the document in the current schema.
    ///
    /// # Panics
    ///
    /// Never in practice: every field of a configuration can be encoded as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let current = Self { schema: SCHEMA, ..self.clone() };
        serde_json::to_vec(&current).expect("a configuration has a JSON form")
    }

    /// Returns the number of the change that last affected an object.
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

    /// Finds the change that was made by the write with identity `write`, if the history has it.
    #[must_use]
    pub fn change(&self, write: u64) -> Option<&Change> {
        self.history.iter().rev().find(|change| change.write == write)
    }
}
