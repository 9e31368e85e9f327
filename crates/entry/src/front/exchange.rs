//! One exchange with an upstream, up to the head of its answer.

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
use crate::header;
use crate::idle::Link;
use crate::steer::{Happened, Opened, Way};

/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1_000);

/// What came of an attempt up to the head of an answer.
pub enum Head {
    /// An answer that tells of success, or of the caller's own fault.
    Good {
        /// The answer.
        response: Response<Incoming>,
        /// What the upstream says of itself.
        report: Option<Report>,
        /// The exchange, whose body is still to come.
        exchange: Exchange,
    },
    /// An answer that tells of the upstream's failure.
    Bad {
        /// The answer.
        response: Response<Incoming>,
        /// What the upstream says of itself.
        report: Option<Report>,
        /// The exchange, whose body is still to come.
        exchange: Exchange,
    },
    /// The upstream refused the request without running it.
    Refused {
        /// What the upstream says of itself.
        report: Option<Report>,
    },
    /// No answer came.
    Failed {
        /// What happened.
        event: Event,
        /// The request, if none of it was sent.
        request: Option<Request<Outgoing>>,
    },
}

/// Returns the header value that identifies an attempt.
pub fn attempt_value(attempt: key::Attempt) -> HeaderValue {
    HeaderValue::from(attempt.data().as_ffi())
}

/// Sends a request and waits for the head of its answer.
pub async fn exchange(
    steer: &Way,
    mut tracker: Exchange,
    upstream: key::Upstream,
    address: SocketAddr,
    link: Option<Link>,
    request: Request<Outgoing>,
) -> Head {
    let mut link = match link {
        Some(link) => link,
        None => match open(steer, upstream, address).await {
            Some(link) => link,
            None => return Head::Failed { event: Event::ConnectFailed, request: Some(request) },
        },
    };
    if link.sender.ready().await.is_err() {
        return Head::Failed { event: Event::NeverSent, request: Some(request) };
    }
    steer.report(Happened::new(tracker.token, tracker.attempt, Event::Sent));
    let head = request.method() == Method::HEAD;
    match link.sender.try_send_request(request).await {
        Ok(response) => judge(&mut tracker, link, response, head).finish(tracker),
        Err(mut error) => {
            let request = error.take_message();
            let event = if request.is_some() { Event::NeverSent } else { Event::Broken };
            Head::Failed { event, request }
        }
    }
}

/// An answer whose head was judged.
enum Judged {
    Pass(Response<Incoming>, Option<Report>, bool),
    Refused(Option<Report>),
    Broken,
}

impl Judged {
    fn finish(self, exchange: Exchange) -> Head {
        match self {
            Self::Pass(response, report, true) => Head::Good { response, report, exchange },
            Self::Pass(response, report, false) => Head::Bad { response, report, exchange },
            Self::Refused(report) => Head::Refused { report },
            Self::Broken => Head::Failed { event: Event::Broken, request: None },
        }
    }
}

/// Judges the head of an answer and hands the connection to the exchange if a body follows.
fn judge(tracker: &mut Exchange, link: Link, response: Response<Incoming>, head: bool) -> Judged {
    let report = header::parse_report(response.headers());
    if !is_ours(&response, tracker.attempt) || !is_framed(&response, head) {
        return Judged::Broken;
    }
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header::text(response.headers(), &header::NOT_RUN) == Some("1");
    if refused {
        return Judged::Refused(report);
    }
    let good = !response.status().is_server_error();
    tracker.keep = response.version() == Version::HTTP_11;
    tracker.link = Some(link);
    Judged::Pass(response, report, good)
}

/// Tells whether an answer belongs to the attempt, as far as the upstream says.
fn is_ours(response: &Response<Incoming>, attempt: key::Attempt) -> bool {
    let echoed = response.headers().get(header::ATTEMPT);
    echoed.is_none_or(|value| *value == attempt_value(attempt))
}

/// Tells whether the end of an answer can be told from a broken connection.
fn is_framed(response: &Response<Incoming>, head: bool) -> bool {
    let status = response.status();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    let headers = response.headers();
    head || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || response.body().is_end_stream()
}

async fn open(steer: &Way, upstream: key::Upstream, address: SocketAddr) -> Option<Link> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
    // Small requests must not wait for more data.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The connection's task owns the socket and ends with it.
    tokio::spawn(connection);
    let key = steer.ask(Opened(upstream)).await.ok()?;
    Some(Link { key, sender, steer: steer.clone() })
}
