//! Routes, services and limits as an operator's document orders them as a whole.

use base::prelude::*;

symbols! {
    /// Whether a request may run more than once.
    pub enum Kind {
        /// It may: running it again has no further effect.
        Idempotent = "idempotent",
        /// It may not, for each attempt of its caller.
        Once = "once",
    }
}

record! {
    /// Everything that an operator orders about requests, with a version that only grows.
    #[derive(Default)]
    pub struct Table {
        /// The version.
        pub version: u64,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services.
        pub services: Vec<Service>,
        /// Limits on callers.
        pub limits: Limits,
    }

    /// A route: which requests go where, and how.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host that requests name.
        pub host: String,
        /// The start of their path, from slash to slash.
        pub prefix: String,
        /// Whether they may run more than once.
        pub kind: Kind,
        /// Longest time that a caller is kept waiting.
        pub timeout: Span,
        /// Time within which an answer is worth most.
        pub target_latency: Span,
        /// Upstreams to which one request may go.
        pub max_attempts: u32,
        /// Rank among routes; zero is the most urgent.
        pub priority: u32,
        /// Services that share the requests.
        pub parts: Vec<Part>,
    }

    /// A service's part of a route.
    pub struct Part {
        /// The service's name.
        pub service: String,
        /// Its share against the other parts.
        pub weight: f64,
    }

    /// What holds for all upstreams of a service.
    pub struct Service {
        /// Its name.
        pub name: String,
        /// Path of the question for health.
        pub health_path: String,
        /// Connections that an upstream accepts from all callers together.
        pub max_connections: u32,
        /// Requests a second that a cold upstream bears.
        pub cold_rate: f64,
    }

    /// What callers may send.
    #[derive(Copy)]
    pub struct Limits {
        /// Bytes of a request's head.
        pub head_bytes: usize,
        /// Bytes of a request's body.
        pub body_bytes: usize,
        /// Time to send a request's head.
        pub head_timeout: Span,
        /// Time that a connection may be idle.
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
