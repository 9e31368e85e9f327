//! The names that callers, upstreams and the directory's askers use on the wire.

use gateway::gauge::Report;
use hyper::HeaderMap;
use hyper::header::HeaderName;

/// Names of headers and paths, and how their values are read.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies a caller's attempt; upstreams send it back.
    pub attempt_id: HeaderName,
    /// Time that is left, in milliseconds.
    pub deadline_remaining: HeaderName,
    /// Signature of an upstream's answer.
    pub signature: HeaderName,
    /// The upstream that a request is for; any other refuses it.
    pub expected_upstream: HeaderName,
    /// Load of an upstream.
    pub load: HeaderName,
    /// Says that an upstream did not run a request.
    pub not_executed: HeaderName,
    /// Identity of the upstream that answers.
    pub instance_id: HeaderName,
    /// Time that an upstream's cold start goes on for, in milliseconds.
    pub cold_remaining: HeaderName,
    /// Path of the question whether the node can serve.
    pub ready_path: &'static str,
    /// Path of the question where to connect.
    pub resolve_path: &'static str,
    /// Name of the parameter that gives a caller's failure domain.
    pub domain_parameter: &'static str,
    /// Reads a load.
    pub parse_load: fn(&str) -> Option<Report>,
    /// Reads a time in milliseconds.
    pub parse_time_ms: fn(&str) -> Option<u64>,
    /// Writes the answer of where to connect.
    pub format_advice: fn(&gateway::engine::Advice) -> Vec<u8>,
}

impl Dialect {
    /// Reads an upstream's load from its answer.
    #[must_use]
    pub fn report(&self, headers: &HeaderMap) -> Option<Report> {
        (self.parse_load)(headers.get(&self.load)?.to_str().ok()?)
    }
}
