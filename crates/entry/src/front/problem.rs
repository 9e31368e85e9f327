//! Error responses that the entry generates itself.

use base::derive::Symbol;
use base::prelude::*;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use policy::call::{Outcome, Refusal};
use serde::Serialize;

use super::body::Answer;
use crate::header;

/// Why the entry responds to a request with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The request names no service.
    #[display("the request names no service")]
    NoService,
    /// No service has this name.
    #[display("the service is not known")]
    UnknownService,
    /// A header of the interface has an invalid value.
    #[display("a header has a value that cannot be read")]
    BadHeader,
    /// The request target is not a path.
    #[display("the request target is not a path")]
    BadTarget,
    /// The method or an upgrade is not supported.
    #[display("the method or upgrade is not supported")]
    Unsupported,
    /// The body exceeds the size limit.
    #[display("the body is too large")]
    BodyTooLarge,
    /// The body was truncated or not received in time.
    #[display("the body broke off or came too slowly")]
    BodyBroken,
    /// The dispatcher cannot be reached, because the entry is stopping.
    #[display("the entry stops")]
    Gone,
    /// The dispatcher cannot be reached any more after the request was forwarded.
    #[display("the entry stops while the request may run")]
    Interrupted,
    /// The entry serves no such path.
    #[display("no such page")]
    NoPage,
    /// The engine refused the request.
    #[display("{_0}")]
    #[serde(untagged)]
    Refused(#[error(not(source))] Refusal),
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct Body {
    error: Problem,
    message: String,
    outcome: &'static str,
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoService | Self::BadHeader | Self::BadTarget | Self::BodyBroken => {
                StatusCode::BAD_REQUEST
            }
            Self::UnknownService | Self::NoPage => StatusCode::NOT_FOUND,
            Self::Unsupported => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Gone => StatusCode::SERVICE_UNAVAILABLE,
            Self::Interrupted => StatusCode::BAD_GATEWAY,
            Self::Refused(refusal) => refusal_status(refusal),
        }
    }

    /// Creates the response.
    #[must_use]
    pub fn response(self, outcome: Outcome, retry_after: Option<Span>) -> Response<Answer> {
        let body = Body {
            error: self,
            message: self.to_string(),
            outcome: outcome.name(),
            retry_after_ms: retry_after.map(Span::as_millis),
        };
        let encoded = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Answer::Local(Full::new(encoded.into())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(header::OUTCOME, HeaderValue::from_static(outcome.name()));
        if let Some(delay) = retry_after {
            headers.insert(RETRY_AFTER, delay.as_millis().div_ceil(1_000).into());
        }
        response
    }

    /// Creates the response to a request that has not run.
    #[must_use]
    pub fn not_run(self) -> Response<Answer> {
        self.response(Outcome::NotRun, None)
    }

    /// Creates the response to a request that may have run.
    #[must_use]
    pub fn unknown(self) -> Response<Answer> {
        self.response(Outcome::Unknown, None)
    }
}

fn refusal_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::NoUpstream
        | Refusal::Overload
        | Refusal::Attempts
        | Refusal::Stopping
        | Refusal::KeyUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
        Refusal::LateUnsent | Refusal::LateSent => StatusCode::GATEWAY_TIMEOUT,
        Refusal::Broken => StatusCode::BAD_GATEWAY,
        Refusal::Harmful => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::KeyRunning | Refusal::KeyUsed | Refusal::KeyUnknown => StatusCode::CONFLICT,
    }
}
