//! The names that callers, upstreams and clients of the directory use on the wire.
//!
//! A front end provides a [`Dialect`]; the node knows no header or path of its own.

use base::prelude::*;
use gateway::engine::Notice;
use gateway::gauge::Report;
use hyper::header::{HeaderName, RETRY_AFTER};
use hyper::{HeaderMap, StatusCode};

/// Names of headers and paths, with the functions that parse and format their values.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header that identifies a caller's attempt; upstreams return it in their responses.
    pub attempt_id: HeaderName,
    /// Header with the time until the deadline, in milliseconds.
    pub deadline_remaining: HeaderName,
    /// Header with the signature of an upstream's response.
    pub signature: HeaderName,
    /// Header with the identity of the upstream that a request is meant for; others refuse it.
    pub expected_upstream: HeaderName,
    /// Header with the load of an upstream.
    pub load: HeaderName,
    /// Header whose presence says that an upstream did not run a request.
    pub not_executed: HeaderName,
    /// Header with the identity of the upstream that responds.
    pub instance_id: HeaderName,
    /// Header with the time until an upstream's cold start ends, in milliseconds.
    pub cold_remaining: HeaderName,
    /// Header whose value `1` says that the upstream that responds is leaving.
    pub leaving: HeaderName,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Path at which callers resolve the addresses to connect to.
    pub resolve_path: &'static str,
    /// Name of the query parameter with a caller's failure domain.
    pub domain_parameter: &'static str,
    /// Parses the load of an upstream; `None` if it is malformed.
    pub parse_load: fn(&str) -> Option<Report>,
    /// Parses a time and returns it in milliseconds; `None` if it is malformed.
    pub parse_time_ms: fn(&str) -> Option<u64>,
    /// Formats the body of the response that tells callers where to connect.
    pub format_advice: fn(&gateway::engine::Advice) -> Vec<u8>,
}

impl Dialect {
    /// Returns what the head of a response states about the upstream that it was requested from.
    pub fn notices(&self, status: StatusCode, headers: &HeaderMap) -> impl Iterator<Item = Notice> {
        let leaving = entry::header::text(headers, &self.leaving) == Some("1");
        let departure = match status {
            // Not the upstream that was asked has responded, but another one at its address.
            StatusCode::MISDIRECTED_REQUEST => Notice::OccupantLeaving,
            _ => Notice::Leaving,
        };
        let paused = status == StatusCode::SERVICE_UNAVAILABLE;
        let pause = paused.then(|| retry_after(headers)).flatten().map(Notice::Pause);
        leaving.then_some(departure).into_iter().chain(pause)
    }

    /// Returns the load that an upstream's response reports, if it has one.
    #[must_use]
    pub fn report(&self, headers: &HeaderMap) -> Option<Report> {
        (self.parse_load)(headers.get(&self.load)?.to_str().ok()?)
    }
}

/// Returns the time after which an upstream wants to be asked again.
///
/// It is a number of seconds, which may have a fraction; a date or a negative number is ignored.
fn retry_after(headers: &HeaderMap) -> Option<Span> {
    let seconds: f64 = entry::header::text(headers, &RETRY_AFTER)?.trim().parse().ok()?;
    // A number that is too large for a span becomes the longest one.
    (seconds >= 0.0).then(|| Span::seconds(1).scale(seconds))
}
