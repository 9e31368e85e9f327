//! Queries that operators send.

use base::{record, symbols};

symbols! {
    /// The collection that a `show` statement lists.
    pub enum Collection {
        /// Services.
        Services = "services",
        /// Failure domains.
        Domains = "domains",
        /// Workspaces.
        Workspaces = "workspaces",
        /// Versions.
        Versions = "versions",
        /// Upstreams.
        Upstreams = "upstreams",
        /// Routes.
        Routes = "routes",
        /// Moves.
        Moves = "moves",
        /// Accepted changes of the configuration.
        History = "history",
        /// Live entries, with the configuration that each has in force.
        Entries = "entries",
    }
}

record! {
    /// A query about the configuration and its effects.
    pub enum Query {
        /// Lists objects, optionally those of one service or one failure domain only.
        Show {
            /// The collection to list.
            collection: Collection,
            /// Restricts the list to objects of this service.
            service: Option<String>,
            /// Restricts the list to objects in this failure domain.
            domain: Option<String>,
        },
        /// Explains the traffic that an upstream gets.
        WhyUpstream {
            /// Name of the upstream.
            name: String,
        },
        /// Explains the progress of a move.
        WhyMove {
            /// Name of the move.
            name: String,
        },
    }
}
