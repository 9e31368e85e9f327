//! Answers that a node gives itself.

use base::derive::Symbol;
use derive_more::{Display, Error};
use gateway::engine::{Outcome, Refusal, Rejection};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// The body of an answer that tells of a refusal.
#[derive(Debug, Serialize)]
struct Page<'a> {
    error: &'a str,
    outcome: &'static str,
}

/// Makes an answer with a status and a body of JSON.
#[must_use]
pub fn json(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// A request that cannot be forwarded, or a question that cannot be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The method or an upgrade is not supported.
    #[display("the method or upgrade is not supported")]
    Unsupported,
    /// The request names more than one host.
    #[display("the request names more than one host")]
    Hosts,
    /// The target is not a path.
    #[display("the target is not a path")]
    Target,
    /// The body is larger than permitted.
    #[display("the body is too large")]
    BodySize,
    /// The body broke off.
    #[display("the body broke off")]
    BodyBroken,
    /// The body did not come in time.
    #[display("the body came too slowly")]
    BodyLate,
    /// The node stops.
    #[display("the node stops")]
    Stopping,
    /// No such page.
    #[display("no such page")]
    Page,
    /// The page cannot be changed.
    #[display("only GET is answered here")]
    Method,
}

impl Fault {
    /// Makes the answer.
    #[must_use]
    pub fn answer(self) -> Response<Full<Bytes>> {
        let page = Page { error: &self.to_string(), outcome: Outcome::NotRun.name() };
        json(self.status(), serde_json::to_vec(&page).unwrap_or_default())
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Unsupported => StatusCode::NOT_IMPLEMENTED,
            Self::Hosts | Self::Target | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Page => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
        }
    }
}

/// Makes the answer to a refused request.
///
/// Only a request that certainly has not run gets a status that says so.
#[must_use]
pub fn rejection(rejection: &Rejection) -> Response<Full<Bytes>> {
    let Rejection { refusal, outcome, retry_after, .. } = *rejection;
    let page = Page { error: &refusal.to_string(), outcome: outcome.name() };
    let mut response =
        json(status(refusal, outcome), serde_json::to_vec(&page).unwrap_or_default());
    let value = retry_after.map(|span| format!("{:.3}", span.as_seconds()));
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn status(refusal: Refusal, outcome: Outcome) -> StatusCode {
    match (refusal, outcome) {
        (Refusal::NoRoute, _) => StatusCode::NOT_FOUND,
        (Refusal::LateSent | Refusal::LateUnsent, Outcome::Unknown) => StatusCode::GATEWAY_TIMEOUT,
        (_, Outcome::Unknown) => StatusCode::BAD_GATEWAY,
        (_, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
