//! Responses that a node makes itself: refusals and JSON documents.

use base::derive::Symbol;
use derive_more::{Display, Error};
use gateway::engine::{Outcome, Refusal, Rejection};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    outcome: &'static str,
}

/// Creates a response with a status and a JSON body.
#[must_use]
pub fn json(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Reason why a request cannot be forwarded or an endpoint cannot respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The request's method or a protocol upgrade is not supported.
    #[display("the method or upgrade is not supported")]
    Unsupported,
    /// The request has more than one `Host` header.
    #[display("the request names more than one host")]
    MultipleHosts,
    /// The request target has no path.
    #[display("the target is not a path")]
    InvalidTarget,
    /// The body exceeds the permitted size.
    #[display("the body is too large")]
    BodyTooLarge,
    /// The connection failed before the body was complete.
    #[display("the body broke off")]
    BodyBroken,
    /// The body was not received within the time-out.
    #[display("the body came too slowly")]
    BodyTimedOut,
    /// The node is shutting down.
    #[display("the node stops")]
    Stopping,
    /// The node lost track of a request that it has forwarded.
    #[display("the node stops while the request may run")]
    Interrupted,
    /// The endpoint has nothing at this path.
    #[display("no such page")]
    NotFound,
    /// The endpoint serves only GET.
    #[display("only GET is answered here")]
    MethodNotAllowed,
}

impl Fault {
    /// Creates the response that reports the fault.
    #[must_use]
    pub fn response(self) -> Response<Full<Bytes>> {
        let outcome = match self {
            Self::Interrupted => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        let error_body = ErrorBody { error: &self.to_string(), outcome: outcome.name() };
        let body = serde_json::to_vec(&error_body).unwrap_or_default();
        let mut response = json(self.status(), body);
        if self == Self::Stopping {
            // Other nodes serve the request at once.
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0"));
        }
        response
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Unsupported => StatusCode::NOT_IMPLEMENTED,
            Self::MultipleHosts | Self::InvalidTarget | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Interrupted => StatusCode::BAD_GATEWAY,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        }
    }
}

/// Creates the response to a request that the engine refused.
///
/// The status says that the request has not run only if that is certain.
#[must_use]
pub fn rejection(rejection: &Rejection) -> Response<Full<Bytes>> {
    let Rejection { refusal, outcome, retry_after, .. } = *rejection;
    let error_body = ErrorBody { error: &refusal.to_string(), outcome: outcome.name() };
    let mut response =
        json(status(refusal, outcome), serde_json::to_vec(&error_body).unwrap_or_default());
    let retry_after_value = retry_after.map(|span| format!("{:.3}", span.as_seconds()));
    if let Some(retry_after_value) = retry_after_value
        .and_then(|retry_after_value| HeaderValue::from_str(&retry_after_value).ok())
    {
        response.headers_mut().insert(RETRY_AFTER, retry_after_value);
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
