//! The names that callers, upstreams and the directory's askers use on the wire.

use gateway::gauge::Report;
use hyper::HeaderMap;
use hyper::header::HeaderName;

/// Names of headers and paths, and how their values are read.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies a caller's attempt; upstreams send it back.
    pub attempt: HeaderName,
    /// Time that is left, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of an upstream's answer.
    pub signature: HeaderName,
    /// The upstream that a request is for; any other refuses it.
    pub expected: HeaderName,
    /// Load of an upstream.
    pub load: HeaderName,
    /// Says that an upstream did not run a request.
    pub not_run: HeaderName,
    /// Identity of the upstream that answers.
    pub instance: HeaderName,
    /// Time that an upstream's cold start goes on for, in milliseconds.
    pub cold: HeaderName,
    /// Path of the question whether the node can serve.
    pub ready: &'static str,
    /// Path of the question where to connect.
    pub resolve: &'static str,
    /// Name of the parameter that gives a caller's failure domain.
    pub domain_parameter: &'static str,
    /// Reads a load.
    pub read_load: fn(&str) -> Option<Report>,
    /// Reads a time in milliseconds.
    pub read_time: fn(&str) -> Option<u64>,
    /// Writes the answer of where to connect.
    pub write_advice: fn(&gateway::engine::Advice) -> Vec<u8>,
}

impl Dialect {
    /// Reads an upstream's load from its answer.
    #[must_use]
    pub fn report(&self, headers: &HeaderMap) -> Option<Report> {
        (self.read_load)(headers.get(&self.load)?.to_str().ok()?)
    }
}
