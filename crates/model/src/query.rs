//! Questions that operators ask.

use base::{record, symbols};

symbols! {
    /// What a `show` lists.
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
        /// Accepted changes.
        History = "history",
        /// Live entries and the configuration that each has in force.
        Entries = "entries",
    }
}

record! {
    /// A question.
    pub enum Query {
        /// Lists objects, perhaps of one service or one failure domain.
        Show {
            /// What to list.
            collection: Collection,
            /// Only what belongs to this service.
            service: Option<String>,
            /// Only what is in this failure domain.
            domain: Option<String>,
        },
        /// Tells why an upstream gets what it gets.
        WhyUpstream {
            /// Its name.
            name: String,
        },
        /// Tells what a move does and why.
        WhyMove {
            /// Its name.
            name: String,
        },
    }
}
