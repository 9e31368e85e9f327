//! Asking an upstream for its health.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use gateway::engine::Health;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, Response};
use tokio::time::timeout;

use crate::Dialect;
use crate::link::Link;
use crate::steer::{Message, Way};

/// Time for the answer.
const PATIENCE: Duration = Duration::from_millis(200);

/// Whom to ask, and where.
#[derive(Debug)]
pub struct Question {
    /// The upstream.
    pub upstream: key::Upstream,
    /// Its identity.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path of the question.
    pub path: String,
    /// An idle connection to it.
    pub link: Option<Link>,
}

/// Asks an upstream for its health and tells the decisions.
pub async fn ask(steer: Way, dialect: &Dialect, question: Question) {
    let Question { upstream, id, address, path, link } = question;
    let known = match link {
        Some(link) => attempt(dialect, link, address, &path).await,
        None => None,
    };
    // An idle connection may have been closed, or have gone silent; a new one tells.
    let health = match known {
        Some(told) => judge(&steer, dialect, upstream, &id, told),
        None => match Link::open(address).await {
            Ok(link) => match attempt(dialect, link, address, &path).await {
                Some(told) => judge(&steer, dialect, upstream, &id, told),
                None => Health::TimedOut,
            },
            Err(_) => Health::Unreachable,
        },
    };
    steer.post(Message::Probed { upstream, health });
}

/// Reads an answer and gives its connection back.
fn judge(
    steer: &Way,
    dialect: &Dialect,
    upstream: key::Upstream,
    id: &str,
    (response, link): (Response<()>, Link),
) -> Health {
    let health = read(dialect, id, &response);
    if health != Health::Misdirected {
        steer.post(Message::Free(upstream, link));
    }
    health
}

async fn attempt(
    dialect: &Dialect,
    mut link: Link,
    address: SocketAddr,
    path: &str,
) -> Option<(Response<()>, Link)> {
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request.body(Full::<Bytes>::default()).ok()?;
    let exchange = async {
        link.sender.ready().await.ok()?;
        let response = link.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        body.collect().await.ok()?;
        // An answer that belongs to a request must not be taken for this one.
        let ours = !head.headers.contains_key(&dialect.attempt_id);
        ours.then(|| Response::from_parts(head, ()))
    };
    let response = timeout(PATIENCE, exchange).await.ok()??;
    Some((response, link))
}

fn read(dialect: &Dialect, id: &str, response: &Response<()>) -> Health {
    let headers = response.headers();
    let named = entry::header::text(headers, &dialect.instance_id);
    if named.is_some_and(|named| named != id) {
        return Health::Misdirected;
    }
    let cold =
        entry::header::text(headers, &dialect.cold_remaining).and_then(dialect.parse_time_ms);
    Health::Answered {
        healthy: response.status().is_success(),
        report: dialect.report(headers),
        cold_remaining: Span::millis(cold.unwrap_or(0)),
    }
}
