//! Performs one exchange with an upstream, up to the head of the response.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use policy::attempt::Event;
use policy::balance::Report;
use slotmap::Key;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body::{Exchange, Outgoing};
use crate::dispatch::{Handle, Opened, Progress};
use crate::header;
use crate::pool::Connection;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of an attempt, up to the head of the response.
pub enum Completion {
    /// A response with a status below 500: success or an error of the caller.
    Success {
        /// The response.
        response: Response<Incoming>,
        /// The upstream's load report.
        report: Option<Report>,
        /// The exchange, which continues with the body.
        exchange: Exchange,
    },
    /// A response with a 5xx status: an error of the upstream.
    ServerError {
        /// The response.
        response: Response<Incoming>,
        /// The upstream's load report.
        report: Option<Report>,
        /// The exchange, which continues with the body.
        exchange: Exchange,
    },
    /// The upstream refused the request without running it.
    Refused {
        /// The upstream's load report.
        report: Option<Report>,
    },
    /// No valid response arrived.
    Failed {
        /// The event to report.
        event: Event,
        /// The request, if no part of it was sent.
        request: Option<Request<Outgoing>>,
    },
}

/// Returns the header value that identifies an attempt.
pub fn attempt_value(attempt: key::Attempt) -> HeaderValue {
    HeaderValue::from(attempt.data().as_ffi())
}

/// Sends a request and waits for the head of the response.
pub async fn exchange(
    dispatcher: &Handle,
    mut tracker: Exchange,
    upstream: key::Upstream,
    address: SocketAddr,
    connection: Option<Connection>,
    request: Request<Outgoing>,
) -> Completion {
    let mut connection = match connection {
        Some(connection) => connection,
        None => match connect(dispatcher, upstream, address).await {
            Some(connection) => connection,
            None => {
                return Completion::Failed { event: Event::ConnectFailed, request: Some(request) };
            }
        },
    };
    if connection.sender.ready().await.is_err() {
        return Completion::Failed { event: Event::NeverSent, request: Some(request) };
    }
    dispatcher.report(Progress::new(tracker.token, tracker.attempt, Event::Sent));
    let is_head_method = request.method() == Method::HEAD;
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            classify(&mut tracker, connection, response, is_head_method).finish(tracker)
        }
        Err(mut error) => {
            let request = error.take_message();
            let event = if request.is_some() { Event::NeverSent } else { Event::Broken };
            Completion::Failed { event, request }
        }
    }
}

/// Classification of a response by its head; the flag of `Relay` is set below status 500.
enum Classification {
    Relay(Response<Incoming>, Option<Report>, bool),
    Refused(Option<Report>),
    Broken,
}

impl Classification {
    fn finish(self, exchange: Exchange) -> Completion {
        match self {
            Self::Relay(response, report, true) => {
                Completion::Success { response, report, exchange }
            }
            Self::Relay(response, report, false) => {
                Completion::ServerError { response, report, exchange }
            }
            Self::Refused(report) => Completion::Refused { report },
            Self::Broken => Completion::Failed { event: Event::Broken, request: None },
        }
    }
}

/// Classifies a response by its head; the exchange takes the connection if a body follows.
fn classify(
    tracker: &mut Exchange,
    connection: Connection,
    response: Response<Incoming>,
    is_head_method: bool,
) -> Classification {
    let report = header::parse_report(response.headers());
    if !matches_attempt(&response, tracker.attempt) || !is_delimited(&response, is_head_method) {
        return Classification::Broken;
    }
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header::text(response.headers(), &header::NOT_RUN) == Some("1");
    if refused {
        return Classification::Refused(report);
    }
    let success = !response.status().is_server_error();
    // HTTP/1.0 connections are not persistent by default.
    tracker.reusable = response.version() == Version::HTTP_11;
    tracker.connection = Some(connection);
    Classification::Relay(response, report, success)
}

/// Returns whether a response belongs to the attempt.
///
/// A response without the header is accepted, since upstreams need not support it.
fn matches_attempt(response: &Response<Incoming>, attempt: key::Attempt) -> bool {
    let echoed = response.headers().get(header::ATTEMPT);
    echoed.is_none_or(|value| *value == attempt_value(attempt))
}

/// Returns whether the head delimits the body.
///
/// Without a length or chunked encoding, a complete body looks the same as one that was cut off by
/// a failure of the connection.
fn is_delimited(response: &Response<Incoming>, is_head_method: bool) -> bool {
    let status = response.status();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    let headers = response.headers();
    is_head_method
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || response.body().is_end_stream()
}

async fn connect(
    dispatcher: &Handle,
    upstream: key::Upstream,
    address: SocketAddr,
) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    // Nagle's algorithm would delay small requests.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // This task owns the socket and ends when the connection is closed.
    tokio::spawn(connection);
    let key = dispatcher.ask(Opened(upstream)).await.ok()?;
    Some(Connection { key, sender, dispatcher: dispatcher.clone() })
}
