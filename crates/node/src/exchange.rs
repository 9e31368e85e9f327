//! One exchange with an upstream, up to the last byte of its answer.

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
use crate::link::Link;
use crate::steer::{Message, Target, Way};

/// Largest answer that is taken in.
const MOST_ANSWER: usize = 16 * 1_024 * 1_024;

/// A caller's request with its whole body.
#[derive(Debug)]
pub struct Whole {
    /// Its head, without what concerns the caller's connection.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Identity of the caller's attempt.
    pub attempt: Option<HeaderValue>,
}

/// How an exchange ended.
#[derive(Debug)]
pub struct Ended {
    /// The exchange.
    pub exchange: key::Attempt,
    /// What happened.
    pub event: Event,
    /// What the upstream said of itself.
    pub report: Option<Report>,
    /// Its answer, if it is whole.
    pub answer: Option<Response<Bytes>>,
}

/// Sends a request to an upstream and takes in its answer.
pub async fn run(
    steer: Way,
    dialect: &Dialect,
    whole: &Whole,
    target: Target,
    deadline: Instant,
) -> Ended {
    let exchange = target.exchange;
    let ended = |event| Ended { exchange, event, report: None, answer: None };
    let mut link = match target.link {
        Some(link) => link,
        None => match Link::open(target.address).await {
            Ok(link) => link,
            Err(_) => return ended(Event::ConnectFailed),
        },
    };
    let Some(request) = request(dialect, whole, &target.id, deadline) else {
        return ended(Event::NeverSent);
    };
    if link.sender.ready().await.is_err() {
        return ended(Event::NeverSent);
    }
    steer.post(Message::Sent(exchange));
    let response = match link.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            return ended(if unsent { Event::NeverSent } else { Event::Broken });
        }
    };
    let report = dialect.report(response.headers());
    let event = judge(dialect, whole, &response);
    link.learn(response.headers());
    let (head, body) = response.into_parts();
    let Some(body) = read(body, deadline).await else {
        return Ended { report, ..ended(Event::Broken) };
    };
    if event != Event::Broken {
        steer.post(Message::Free(target.upstream, link));
    }
    let answer = Some(Response::from_parts(head, body));
    Ended { report, answer, ..ended(event) }
}

async fn read(body: Incoming, deadline: Instant) -> Option<Bytes> {
    let body = Limited::new(body, MOST_ANSWER).collect();
    let body = tokio::time::timeout_at(deadline + Duration::from_secs(1), body).await;
    Some(body.ok()?.ok()?.to_bytes())
}

/// Says what an answer's head means.
fn judge<B>(dialect: &Dialect, whole: &Whole, response: &Response<B>) -> Event {
    let headers = response.headers();
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Event::Misdirected;
    }
    if headers.contains_key(&dialect.not_executed) {
        return Event::Refused;
    }
    // An answer to an earlier request may come late, in place of the one that is due.
    let ours = headers.get(&dialect.attempt_id) == whole.attempt.as_ref();
    let signed = headers.contains_key(&dialect.signature);
    match () {
        () if !ours || (status.is_success() && !signed) => Event::Broken,
        () if status.is_server_error() => Event::Failed,
        () => Event::Answered,
    }
}

fn request(
    dialect: &Dialect,
    whole: &Whole,
    id: &str,
    deadline: Instant,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(whole.body.clone()));
    *request.method_mut() = whole.head.method.clone();
    *request.uri_mut() = whole.head.uri.path_and_query()?.as_str().parse().ok()?;
    *request.headers_mut() = whole.head.headers.clone();
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let headers = request.headers_mut();
    // The body is whole by now, so the library says how long it is.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers.insert(&dialect.deadline_remaining, u64::try_from(left).unwrap_or(u64::MAX).into());
    headers.insert(&dialect.expected_upstream, HeaderValue::from_str(id).ok()?);
    Some(request)
}
