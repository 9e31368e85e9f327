//! Handles one request of a caller, up to the head of the response.
//!
//! A request is described to the dispatcher, which replies with directives: send an attempt, relay
//! its response, or refuse the request.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Waker};

use base::hash::digest;
use base::prelude::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HOST, UPGRADE, VIA};
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Version};
use policy::attempt::Event;
use policy::call::Refusal;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use xtra::{Address, Handler};

use super::accept::Front;
use super::body::{Answer, Exchange, Outgoing, Relay, Upload};
use super::exchange::{Completion, exchange};
use super::problem::Problem;
use super::resolve;
use crate::dispatch::{Description, Directive, Handle, Message, Progress, Submission, Target};
use crate::header;

/// Prefix of the paths that an entry serves itself.
const OWN_PATHS: &str = "/.nutmegwharf/";
/// Maximum size of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// The entry's value of the `Via` header.
const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 nutmegwharf");

/// Sends a message to an actor without waiting until it is handled.
pub fn post<A, M>(actor: &Address<A>, message: M)
where
    M: Send + 'static,
    A: Handler<M>,
{
    // The mailbox is unbounded, so the first poll enqueues the message.
    let mut sending = pin!(actor.send(message).detach());
    let _ = sending.as_mut().poll(&mut Context::from_waker(Waker::noop()));
}

/// The body of a caller's request.
enum Payload {
    /// Buffered, so that it can be sent again.
    Buffered(Bytes),
    /// Streamed to the upstream; `None` while an attempt uses it.
    Streamed(Option<Upload>),
}

impl Front {
    /// Handles one request.
    pub async fn respond(self, request: Request<Incoming>) -> Response<Answer> {
        let response = if request.uri().path().starts_with(OWN_PATHS) {
            resolve::respond(&self, &request).await
        } else {
            self.forward(request).await
        };
        response.unwrap_or_else(Problem::not_run)
    }

    /// Submits a request to the dispatcher and follows its directives.
    async fn forward(&self, request: Request<Incoming>) -> Result<Response<Answer>, Problem> {
        let (mut head, body) = request.into_parts();
        let mut description = describe(&head)?;
        // Limits how long the body is read if the caller states no timeout.
        let timeout = description.timeout.unwrap_or(Span::seconds(10));
        let read_deadline = self.clock.instant(self.clock.moment() + timeout);
        let payload = tokio::select! {
            payload = self.read_payload(body, read_deadline) => payload?,
            () = self.last_calls_end() => return Err(Problem::Refused(Refusal::Stopping)),
        };
        if self.comes_too_late(read_deadline) {
            return Err(Problem::Refused(Refusal::Stopping));
        }
        description.replayable = matches!(payload, Payload::Buffered(_));
        let body_bytes: &[u8] = if let Payload::Buffered(bytes) = &payload { bytes } else { &[] };
        description.digest = digest(&[
            description.service.as_bytes(),
            description.method.as_bytes(),
            description.path.as_bytes(),
            body_bytes,
        ]);
        prepare_headers(&mut head);
        let (reply, directive) = oneshot::channel();
        self.dispatcher.post(Message::Submission(Submission { description, reply }));
        let forwarded = AtomicBool::new(false);
        tokio::select! {
            response = self.follow_directives(head, payload, directive, &forwarded) => response,
            () = self.last_calls_end() => match forwarded.load(Ordering::Relaxed) {
                true => Ok(Problem::Interrupted.unknown()),
                false => Err(Problem::Refused(Refusal::Stopping)),
            },
        }
    }

    /// Follows the dispatcher's directives until there is a response.
    ///
    /// Sets `forwarded` before an upstream may get the request.
    async fn follow_directives(
        &self,
        head: Parts,
        mut payload: Payload,
        mut directive: oneshot::Receiver<Directive>,
        forwarded: &AtomicBool,
    ) -> Result<Response<Answer>, Problem> {
        let mut held_response: Option<Received> = None;
        let mut pending_directive: Option<Directive> = None;
        loop {
            let next = match pending_directive.take() {
                Some(next) => next,
                None => match (&mut directive).await {
                    Ok(next) => next,
                    // An upstream may have got the request, so it must not be reported as not run.
                    Err(_) if forwarded.load(Ordering::Relaxed) => {
                        return Ok(Problem::Interrupted.unknown());
                    }
                    Err(_) => return Err(Problem::Gone),
                },
            };
            match next {
                // `Continue` is sent only in reply to `request_hedge`, which handles it.
                Directive::Unknown | Directive::Continue => return Err(Problem::UnknownService),
                Directive::Refuse { refusal, outcome, retry_after } => {
                    return Ok(Problem::Refused(refusal).response(outcome, Some(retry_after)));
                }
                Directive::Relay => {
                    let response = held_response.take().map(relay);
                    return Ok(response.unwrap_or_else(|| Problem::Interrupted.unknown()));
                }
                Directive::Forward(target) => {
                    // A held response is discarded in favour of the new attempt.
                    drop(held_response.take());
                    forwarded.store(true, Ordering::Relaxed);
                    let deadline = self.clock.instant(target.deadline);
                    let request = build_request(&head, &mut payload, &target, deadline)?;
                    match self.attempt(target, request, &mut payload, deadline).await {
                        Next::Relay(received) => return Ok(relay(received)),
                        Next::Follow(next) => pending_directive = Some(next),
                        Next::Await(receiver, held) => {
                            directive = receiver;
                            held_response = held;
                        }
                    }
                }
            }
        }
    }

    /// Sends one attempt and reports its result to the dispatcher.
    ///
    /// If no response arrives within `hedge_after`, the dispatcher may replace the attempt.
    async fn attempt(
        &self,
        target: Target,
        request: Request<Outgoing>,
        payload: &mut Payload,
        deadline: Instant,
    ) -> Next {
        let Target { token, attempt, upstream, name, address, connection, hedge_after, .. } =
            target;
        let dispatcher = self.dispatcher.clone();
        let tracker = Exchange {
            dispatcher: dispatcher.clone(),
            token,
            attempt,
            connection: None,
            reusable: true,
        };
        let mut guard = Guard { dispatcher, token, attempt, armed: true };
        let hedge_event = if connection.is_some() { Event::Silent } else { Event::SilentNew };
        let sending = exchange(&self.dispatcher, tracker, upstream, address, connection, request);
        let mut sending = std::pin::pin!(sending);
        let hedge_at = hedge_after.map_or(deadline, |span| Instant::now() + span.into());
        let mut result = timeout_at(hedge_at.min(deadline), sending.as_mut()).await;
        if result.is_err() && hedge_at < deadline {
            match self.request_hedge(token, attempt, hedge_event).await {
                Some(directive) => {
                    // The dispatcher has abandoned the attempt, so nothing more is reported for it.
                    guard.armed = false;
                    return Next::Follow(directive);
                }
                None => result = timeout_at(deadline, sending).await,
            }
        }
        guard.armed = false;
        let new_received = |response, exchange| Received { response, name, exchange, deadline };
        let (event, report, held) = match result {
            Err(_) => (Event::Late, None, None),
            Ok(Completion::Failed { event, request }) => {
                if let Some(request) = request {
                    payload.restore(request);
                }
                (event, None, None)
            }
            Ok(Completion::Refused { report }) => (Event::Refused, report, None),
            Ok(Completion::Success { response, report, exchange }) => {
                let progress = Progress::new(token, attempt, Event::Head);
                self.dispatcher.report(Progress { report, ..progress });
                return Next::Relay(new_received(response, exchange));
            }
            Ok(Completion::ServerError { response, report, exchange }) => {
                (Event::HeadFailed, report, Some(new_received(response, exchange)))
            }
        };
        let (reply, receiver) = oneshot::channel();
        let progress = Progress::new(token, attempt, event);
        self.dispatcher.report(Progress { report, reply: Some(reply), ..progress });
        Next::Await(receiver, held)
    }

    /// Asks the dispatcher for a hedged attempt; returns `None` if the current one continues.
    async fn request_hedge(
        &self,
        token: u64,
        attempt: key::Attempt,
        hedge_event: Event,
    ) -> Option<Directive> {
        let (reply, receiver) = oneshot::channel();
        let progress = Progress::new(token, attempt, hedge_event);
        self.dispatcher.report(Progress { reply: Some(reply), ..progress });
        match receiver.await {
            Ok(Directive::Continue) | Err(_) => None,
            Ok(directive) => Some(directive),
        }
    }

    /// Buffers a body of at most `replay_bytes`; a longer one is streamed later.
    async fn read_payload(
        &self,
        body: Incoming,
        read_deadline: Instant,
    ) -> Result<Payload, Problem> {
        let size = body.size_hint();
        if size.lower() > self.limits.body_bytes {
            return Err(Problem::BodyTooLarge);
        }
        if size.upper().is_none_or(|upper| upper > self.limits.replay_bytes) {
            return Ok(Payload::Streamed(Some(Upload::new(body, self.limits.body_bytes))));
        }
        let max_bytes = usize::try_from(self.limits.replay_bytes).unwrap_or(usize::MAX);
        let read = timeout_at(read_deadline, Limited::new(body, max_bytes).collect()).await;
        match read {
            Ok(Ok(collected)) => Ok(Payload::Buffered(collected.to_bytes())),
            _ => Err(Problem::BodyBroken),
        }
    }
}

/// A response of an upstream that may be relayed.
struct Received {
    response: Response<Incoming>,
    name: String,
    exchange: Exchange,
    deadline: Instant,
}

/// What follows an attempt.
enum Next {
    /// Relays the response.
    Relay(Received),
    /// Follows a directive that replaces the attempt.
    Follow(Directive),
    /// Waits for the next directive, with a response to relay if the directive says so.
    Await(oneshot::Receiver<Directive>, Option<Received>),
}

/// Reports an attempt as cancelled if its future is dropped, as when the caller disconnects.
struct Guard {
    dispatcher: Handle,
    token: u64,
    attempt: key::Attempt,
    armed: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.armed {
            self.dispatcher.report(Progress::new(self.token, self.attempt, Event::Cancelled));
        }
    }
}

impl Payload {
    /// Restores the streamed body of a request that was not sent.
    fn restore(&mut self, request: Request<Outgoing>) {
        if let (Self::Streamed(slot), Outgoing::Stream(upload)) = (self, request.into_body()) {
            *slot = Some(upload);
        }
    }

    /// Returns the body for an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if a streamed body was already sent.
    fn body(&mut self) -> Result<Outgoing, Problem> {
        match self {
            Self::Buffered(bytes) => Ok(Outgoing::Buffered(Full::new(bytes.clone()))),
            Self::Streamed(upload) => {
                upload.take().map(Outgoing::Stream).ok_or(Problem::BodyBroken)
            }
        }
    }
}

/// Describes a request for the dispatcher, by its head.
///
/// `replayable` and `digest` depend on the body and are set once it has been read.
fn describe(head: &Parts) -> Result<Description, Problem> {
    if head.method == Method::CONNECT || head.headers.contains_key(UPGRADE) {
        return Err(Problem::Unsupported);
    }
    let target = head.uri.path_and_query().ok_or(Problem::BadTarget)?;
    let timeout = match head.headers.get(header::TIMEOUT_MS) {
        None => None,
        Some(_) => {
            // The limit of 2^32 ms, about 50 days, rules out an overflow of the deadline.
            let millis = header::number(&head.headers, &header::TIMEOUT_MS);
            Some(Span::millis(millis.filter(|millis| *millis < 1 << 32).ok_or(Problem::BadHeader)?))
        }
    };
    let service = service(head)?;
    let workspace = header::text(&head.headers, &header::WORKSPACE);
    Ok(Description {
        key: idempotency_key(head, service, workspace.unwrap_or_default())?,
        service: service.to_owned(),
        workspace: workspace.map(str::to_owned),
        method: head.method.as_str().to_owned(),
        path: target.as_str().to_owned(),
        timeout,
        replayable: false,
        digest: 0,
    })
}

/// Returns the digest of a request's idempotency key within its service and workspace.
fn idempotency_key(head: &Parts, service: &str, workspace: &str) -> Result<Option<u64>, Problem> {
    let Some(value) = head.headers.get(header::IDEMPOTENCY_KEY) else { return Ok(None) };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        return Err(Problem::BadHeader);
    }
    Ok(Some(digest(&[service.as_bytes(), workspace.as_bytes(), value.as_bytes()])))
}

/// Returns the service that a request names in a header, or else in the first label of its host.
fn service(head: &Parts) -> Result<&str, Problem> {
    if let Some(value) = head.headers.get(header::SERVICE) {
        return value.to_str().map_err(|_| Problem::BadHeader);
    }
    let host = head.uri.host().or_else(|| header::text(&head.headers, &HOST));
    let label = host.and_then(|host| host.split(['.', ':']).next());
    label.filter(|label| !label.is_empty()).ok_or(Problem::NoService)
}

/// Strips hop-by-hop headers and adds those that an upstream needs.
fn prepare_headers(head: &mut Parts) {
    header::strip_hop_by_hop(&mut head.headers);
    if !head.headers.contains_key(HOST)
        && let Some(authority) = head.uri.authority()
        && let Ok(value) = HeaderValue::from_str(authority.as_str())
    {
        // HTTP/2 carries the host in the request target; HTTP/1.1 requires the header.
        head.headers.insert(HOST, value);
    }
    head.headers.append(VIA, VIA_VALUE);
}

/// Builds the request for one attempt.
fn build_request(
    head: &Parts,
    payload: &mut Payload,
    target: &Target,
    deadline: Instant,
) -> Result<Request<Outgoing>, Problem> {
    let mut request = Request::new(payload.body()?);
    *request.method_mut() = head.method.clone();
    *request.version_mut() = Version::HTTP_11;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().map_err(|_| Problem::BadTarget)?;
    *request.headers_mut() = head.headers.clone();
    let remaining = deadline.saturating_duration_since(Instant::now()).as_millis();
    let headers = request.headers_mut();
    headers.insert(header::TIMEOUT_MS, u64::try_from(remaining).unwrap_or(u64::MAX).into());
    headers.insert(header::ATTEMPT, super::exchange::attempt_value(target.attempt));
    Ok(request)
}

/// Builds the response to the caller from the response of an upstream.
fn relay(received: Received) -> Response<Answer> {
    let (mut head, body) = received.response.into_parts();
    header::strip_hop_by_hop(&mut head.headers);
    for name in [header::LOAD, header::ATTEMPT, header::NOT_RUN, header::OUTCOME] {
        head.headers.remove(name);
    }
    head.headers.append(VIA, VIA_VALUE);
    if let Ok(value) = HeaderValue::from_str(&received.name) {
        head.headers.insert(header::UPSTREAM, value);
    }
    head.headers.insert(header::OUTCOME, HeaderValue::from_static("ran"));
    head.version = Version::HTTP_11;
    let relay = Relay::new(body, received.exchange, received.deadline);
    Response::from_parts(head, Answer::Relay(Box::new(relay)))
}
