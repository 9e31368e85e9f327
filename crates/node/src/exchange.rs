//! One exchange with an upstream, up to the last byte of its response.
//!
//! [`crate::call`] spawns an exchange for each [`Target`] that the dispatcher returns.

use std::time::Duration;

use base::prelude::*;
use derive_more::{Display, Error};
use gateway::exchange::Event;
use gateway::gauge::Report;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderValue};
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::Dialect;
use crate::memory::{self, Memory};
use crate::message::{Handle, Message, Target};
use crate::meter::Allowance;
use crate::pool::{self, Connection};

/// Time after the deadline of a call at which its exchanges end by themselves.
const ABORT_DELAY: Duration = Duration::from_secs(1);

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
    /// Why the response is not complete or not usable, if that is known.
    pub fault: Option<Fault>,
}

/// Reason why there is no complete response.
#[derive(Debug, Display, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No connection could be opened.
    #[display("no connection: {_0}")]
    Connect(
        #[error(source)]
        #[serde(skip)]
        pool::Fault,
    ),
    /// The connection closed or failed, or its bytes are not a response.
    #[display("no response: {_0}")]
    Http(
        #[error(source)]
        #[serde(skip)]
        hyper::Error,
    ),
    /// The body is larger than the memory that it may hold.
    #[display("the body exceeds its share of the memory")]
    Oversized,
    /// The body was not complete when the deadline had passed.
    #[display("the body was not complete in time")]
    TimedOut,
    /// The response names another attempt than the request, or none.
    #[display("the response belongs to another attempt")]
    OtherAttempt,
}

/// Sends a request to an upstream and reads its response.
pub async fn run(
    dispatcher: Handle,
    dialect: &Dialect,
    memory: &Memory,
    payload: &Payload,
    target: Target,
    deadline: Instant,
) -> Completion {
    let exchange = target.exchange;
    let completion =
        |event| Completion { exchange, event, report: None, response: None, fault: None };
    let failure = |event, fault| Completion { fault: Some(fault), ..completion(event) };
    let mut connection = match target.connection {
        Some(connection) => connection,
        None => match Connection::open(target.address).await {
            Ok(connection) => connection,
            Err(fault) => return failure(Event::ConnectFailed, Fault::Connect(fault)),
        },
    };
    let Some(request) = request(dialect, payload, &target.id, deadline) else {
        return completion(Event::NeverSent);
    };
    if connection.sender.ready().await.is_err() {
        return completion(Event::NeverSent);
    }
    connection.allowance.reset();
    dispatcher.post(Message::Sent(exchange));
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            let event = if unsent { Event::NeverSent } else { Event::Broken };
            return failure(event, Fault::Http(error.into_error()));
        }
    };
    if !is_of_attempt(dialect, payload, response.headers()) {
        return failure(Event::Broken, Fault::OtherAttempt);
    }
    let report = dialect.report(response.headers());
    for notice in dialect.notices(response.status(), response.headers()) {
        dispatcher.post(Message::Notice(target.upstream, notice));
    }
    let event = classify(dialect, &response);
    connection.apply_keep_alive(response.headers());
    let (head, body) = response.into_parts();
    let body = match read_body(body, memory.body(), &connection.allowance, deadline).await {
        Ok(body) => body,
        Err(fault) => return Completion { report, ..failure(Event::Broken, fault) },
    };
    if event != Event::Broken {
        dispatcher.post(Message::Release(target.upstream, connection));
    }
    let response = Some(Response::from_parts(head, body));
    Completion { report, response, ..completion(event) }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns the fault if the body breaks off, is too large or comes too slowly. The connection then
/// closes, as the rest of the body is not read.
async fn read_body(
    incoming: Incoming,
    body: memory::Body,
    allowance: &Allowance,
    deadline: Instant,
) -> Result<Bytes, Fault> {
    if incoming.size_hint().lower() > memory::MAX_BODY_BYTES as u64 {
        return Err(Fault::Oversized);
    }
    // A call that ends at its deadline aborts its exchanges; this time-out applies if that is
    // delayed.
    let read = tokio::time::timeout_at(deadline + ABORT_DELAY, collect(incoming, body, allowance));
    read.await.map_err(|_| Fault::TimedOut)?
}

async fn collect(
    mut incoming: Incoming,
    mut body: memory::Body,
    allowance: &Allowance,
) -> Result<Bytes, Fault> {
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame.map_err(Fault::Http)?.into_data() {
            body.append(&data).map_err(|memory::Exceeded| Fault::Oversized)?;
            allowance.grant(data.len());
        }
    }
    Ok(body.complete())
}

/// Returns whether a response names the attempt of the request.
///
/// An upstream in trouble may send a response once more, at any time. If the copy arrives while the
/// next request waits for its response, nothing that it says is about that request: not even that an
/// upstream has not run it, or that another one listens at the address.
fn is_of_attempt(dialect: &Dialect, payload: &Payload, headers: &HeaderMap) -> bool {
    headers.get(&dialect.attempt_id) == payload.attempt_id.as_ref()
}

/// Determines the event of an exchange from the head of the response to its attempt.
fn classify<B>(dialect: &Dialect, response: &Response<B>) -> Event {
    let headers = response.headers();
    let status = response.status();
    let signed = headers.contains_key(&dialect.signature);
    match () {
        () if status == StatusCode::MISDIRECTED_REQUEST => Event::Misdirected,
        () if headers.contains_key(&dialect.not_executed) => Event::Refused,
        () if status.is_success() && !signed => Event::Broken,
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
