//! Health checks of upstreams.
//!
//! The dispatcher spawns a task for each probe that the engine requests.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use gateway::engine::Health;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use crate::Dialect;
use crate::message::{Handle, Message, Probe};
use crate::pool::Connection;

/// Time-out for the response on one connection.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Largest body of a response that is accepted, in bytes; its content is ignored.
const MAX_BODY_BYTES: usize = 65_536;

/// Checks an upstream's health and reports the result to the dispatcher.
pub async fn run(dispatcher: Handle, dialect: &Dialect, probe: Probe) {
    let Probe { upstream, id, address, path, connection } = probe;
    let reply_on_idle = match connection {
        Some(connection) => request_health(dialect, connection, address, &path).await,
        None => None,
    };
    // An idle connection may have been closed or may have failed undetected, so a probe that fails
    // on it is repeated on a new connection.
    let health = match reply_on_idle {
        Some(reply) => evaluate(&dispatcher, dialect, upstream, &id, reply),
        None => match Connection::open(address).await {
            Ok(connection) => match request_health(dialect, connection, address, &path).await {
                Some(reply) => evaluate(&dispatcher, dialect, upstream, &id, reply),
                None => Health::TimedOut,
            },
            Err(_) => Health::Unreachable,
        },
    };
    dispatcher.post(Message::Probed { upstream, health });
}

/// Evaluates a response and returns its connection to the pool.
fn evaluate(
    dispatcher: &Handle,
    dialect: &Dialect,
    upstream: key::Upstream,
    id: &str,
    (response, connection): (Response<()>, Connection),
) -> Health {
    let health = health_of(dialect, id, &response);
    // What another upstream at the address states is about that one.
    let status = match health {
        Health::Misdirected => StatusCode::MISDIRECTED_REQUEST,
        _ => response.status(),
    };
    for notice in dialect.notices(status, response.headers()) {
        dispatcher.post(Message::Notice(upstream, notice));
    }
    if health != Health::Misdirected {
        dispatcher.post(Message::Release(upstream, connection));
    }
    health
}

async fn request_health(
    dialect: &Dialect,
    mut connection: Connection,
    address: SocketAddr,
    path: &str,
) -> Option<(Response<()>, Connection)> {
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request.body(Full::<Bytes>::default()).ok()?;
    connection.allowance.reset();
    let exchange = async {
        connection.sender.ready().await.ok()?;
        let response = connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
        // A late response to a caller's request must not be taken for the health check's.
        let is_health_response = !head.headers.contains_key(&dialect.attempt_id);
        is_health_response.then(|| Response::from_parts(head, ()))
    };
    let response = timeout(TIMEOUT, exchange).await.ok()??;
    Some((response, connection))
}

fn health_of(dialect: &Dialect, id: &str, response: &Response<()>) -> Health {
    let headers = response.headers();
    let named_id = entry::header::text(headers, &dialect.instance_id);
    if named_id.is_some_and(|named_id| named_id != id) {
        return Health::Misdirected;
    }
    let cold_remaining =
        entry::header::text(headers, &dialect.cold_remaining).and_then(dialect.parse_time_ms);
    Health::Answered {
        healthy: response.status().is_success(),
        report: dialect.report(headers),
        cold_remaining: Span::millis(cold_remaining.unwrap_or(0)),
    }
}
