//! HTTP headers of the interfaces to callers and upstreams, and helpers to read them.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use policy::balance::Report;

/// Names the service that a request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("nutmegwharf-service");
/// Names the workspace that a request belongs to.
pub const WORKSPACE: HeaderName = HeaderName::from_static("nutmegwharf-workspace");
/// States how long the sender of a request waits, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("nutmegwharf-timeout-ms");
/// Identifies a request that a caller may retry without running it twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// States in a response whether the request has run.
pub const OUTCOME: HeaderName = HeaderName::from_static("nutmegwharf-outcome");
/// Names the upstream that responded.
pub const UPSTREAM: HeaderName = HeaderName::from_static("nutmegwharf-upstream");
/// Identifies an attempt; an upstream that supports the header returns it in the response.
pub const ATTEMPT: HeaderName = HeaderName::from_static("nutmegwharf-attempt");
/// Carries an upstream's load report.
pub const LOAD: HeaderName = HeaderName::from_static("nutmegwharf-load");
/// States that an upstream refused a request without running it.
pub const NOT_RUN: HeaderName = HeaderName::from_static("nutmegwharf-not-run");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers, which concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns a header's value as text, or `None` if it is absent or not visible ASCII.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns a header's value as a number, or `None` if it is absent or not a number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name).and_then(|value| value.trim().parse().ok())
}

/// Parses an upstream's load report; returns `None` without a report or with an invalid count.
///
/// Unknown parts are ignored.
#[must_use]
pub fn parse_report(headers: &HeaderMap) -> Option<Report> {
    let mut report = Report::default();
    for part in text(headers, &LOAD)?.split(';') {
        match part.trim().split_once('=') {
            Some(("in-flight", count)) => report.in_flight = count.parse().ok()?,
            None if part.trim() == "cold" => report.cold = true,
            None if part.trim() == "draining" => report.draining = true,
            _ => {}
        }
    }
    Some(report)
}

/// Formats a load report as a header value.
///
/// # Panics
///
/// Never: the text consists of characters that a header value may contain.
#[must_use]
pub fn format_report(report: Report) -> HeaderValue {
    let mut text = format!("in-flight={}", report.in_flight);
    if report.cold {
        text.push_str("; cold");
    }
    if report.draining {
        text.push_str("; draining");
    }
    HeaderValue::from_str(&text).expect("a report has only visible characters")
}
