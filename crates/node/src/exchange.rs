//! One exchange with an upstream, up to the last byte of its response.
//!
//! [`crate::call`] spawns an exchange for each [`Target`] that the dispatcher returns.

use std::time::Duration;

use base::prelude::*;
use gateway::exchange::Event;
use gateway::gauge::Report;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::Dialect;
use crate::message::{Handle, Message, Target};
use crate::pool::Connection;

/// Largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct Payload {
    /// Head of the request, without hop-by-hop headers.
    pub head: request::Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Identity of the caller's attempt, if the request has one.
    pub attempt_id: Option<HeaderValue>,
}

/// The result of an exchange.
#[derive(Debug)]
pub struct Completion {
    /// Key of the exchange.
    pub exchange: key::Attempt,
    /// The event that ended the exchange.
    pub event: Event,
    /// Load that the upstream reported.
    pub report: Option<Report>,
    /// The upstream's response, if it is complete.
    pub response: Option<Response<Bytes>>,
}

/// Sends a request to an upstream and reads its response.
pub async fn run(
    dispatcher: Handle,
    dialect: &Dialect,
    payload: &Payload,
    target: Target,
    deadline: Instant,
) -> Completion {
    let exchange = target.exchange;
    let completion = |event| Completion { exchange, event, report: None, response: None };
    let mut connection = match target.connection {
        Some(connection) => connection,
        None => match Connection::open(target.address).await {
            Ok(connection) => connection,
            Err(_) => return completion(Event::ConnectFailed),
        },
    };
    let Some(request) = request(dialect, payload, &target.id, deadline) else {
        return completion(Event::NeverSent);
    };
    if connection.sender.ready().await.is_err() {
        return completion(Event::NeverSent);
    }
    dispatcher.post(Message::Sent(exchange));
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            return completion(if unsent { Event::NeverSent } else { Event::Broken });
        }
    };
    let report = dialect.report(response.headers());
    let event = classify(dialect, payload, &response);
    connection.apply_keep_alive(response.headers());
    let (head, body) = response.into_parts();
    let Some(body) = read_body(body, deadline).await else {
        return Completion { report, ..completion(Event::Broken) };
    };
    if event != Event::Broken {
        dispatcher.post(Message::Release(target.upstream, connection));
    }
    let response = Some(Response::from_parts(head, body));
    Completion { report, response, ..completion(event) }
}

async fn read_body(body: Incoming, deadline: Instant) -> Option<Bytes> {
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    // A call that ends at its deadline aborts its exchanges; this time-out applies if that is
    // delayed.
    let body = tokio::time::timeout_at(deadline + Duration::from_secs(1), body).await;
    Some(body.ok()?.ok()?.to_bytes())
}

/// Determines the event of an exchange from the head of its response.
fn classify<B>(dialect: &Dialect, payload: &Payload, response: &Response<B>) -> Event {
    let headers = response.headers();
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Event::Misdirected;
    }
    if headers.contains_key(&dialect.not_executed) {
        return Event::Refused;
    }
    // A late response to an earlier request may arrive in place of the expected one.
    let matches_attempt = headers.get(&dialect.attempt_id) == payload.attempt_id.as_ref();
    let signed = headers.contains_key(&dialect.signature);
    match () {
        () if !matches_attempt || (status.is_success() && !signed) => Event::Broken,
        () if status.is_server_error() => Event::Failed,
        () => Event::Answered,
    }
}

fn request(
    dialect: &Dialect,
    payload: &Payload,
    id: &str,
    deadline: Instant,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(payload.body.clone()));
    *request.method_mut() = payload.head.method.clone();
    *request.uri_mut() = payload.head.uri.path_and_query()?.as_str().parse().ok()?;
    *request.headers_mut() = payload.head.headers.clone();
    let remaining = deadline.saturating_duration_since(Instant::now()).as_millis();
    let headers = request.headers_mut();
    // The body is complete, so the library sets its length and no `100 Continue` is needed.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers
        .insert(&dialect.deadline_remaining, u64::try_from(remaining).unwrap_or(u64::MAX).into());
    headers.insert(&dialect.expected_upstream, HeaderValue::from_str(id).ok()?);
    Some(request)
}
