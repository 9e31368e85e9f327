//! The table of routes, services and limits, which operators replace as one document.

use base::prelude::*;

symbols! {
    /// Whether a request may be executed more than once.
    pub enum Kind {
        /// It may: executing it again has no further effect.
        Idempotent = "idempotent",
        /// It may not, for each attempt of the caller.
        Once = "once",
    }
}

record! {
    /// The complete table, with a version that never decreases.
    #[derive(Default)]
    pub struct Table {
        /// Version of the table, set by operators.
        pub version: u64,
        /// All routes.
        pub routes: Vec<Route>,
        /// All services.
        pub services: Vec<Service>,
        /// Limits on callers' requests and connections.
        pub limits: Limits,
    }

    /// A route, which selects requests and defines how they are handled.
    pub struct Route {
        /// Name of the route.
        pub name: String,
        /// Host that the requests are for.
        pub host: String,
        /// Prefix of the path, matched in whole segments.
        pub prefix: String,
        /// Whether a request may be executed more than once.
        pub kind: Kind,
        /// Maximum time until the caller gets an answer.
        pub timeout: Span,
        /// Time within which a request should be answered.
        pub target_latency: Span,
        /// Maximum number of upstreams that a request may be sent to.
        pub max_attempts: u32,
        /// Priority relative to other routes; zero is the most urgent.
        pub priority: u32,
        /// Services among which the requests are split.
        pub parts: Vec<Part>,
    }

    /// A service's share of a route's requests.
    pub struct Part {
        /// Name of the service.
        pub service: String,
        /// Share relative to the other parts of the route.
        pub weight: f64,
    }

    /// Settings for all upstreams of a service.
    pub struct Service {
        /// Name of the service.
        pub name: String,
        /// Path of the health check.
        pub health_path: String,
        /// Maximum number of connections that an upstream accepts from all clients together.
        pub max_connections: u32,
        /// Requests per second that a cold upstream can take.
        pub cold_rate: f64,
    }

    /// Limits on what callers may send.
    #[derive(Copy)]
    pub struct Limits {
        /// Maximum size of a request's head, in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// Maximum time to receive a request's head.
        pub head_timeout: Span,
        /// Maximum time that a connection may be idle between requests.
        pub idle_timeout: Span,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            head_timeout: Span::seconds(3),
            idle_timeout: Span::seconds(15),
        }
    }
}
