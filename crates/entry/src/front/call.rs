//! One request of a caller, from its head to the head of its answer.

use std::pin::pin;
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
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use xtra::{Address, Handler};

use super::accept::Front;
use super::body::{Answer, Exchange, Outgoing, Relay, Upload};
use super::exchange::{Head, exchange};
use super::problem::Problem;
use super::resolve;
use crate::header;
use crate::steer::{Asked, Directive, Happened, Message, Place, Target, Way};

/// Start of the paths that entries answer themselves.
const OWN_PATHS: &str = "/.nutmegwharf/";
/// Bytes of an idempotency key at the most.
const MOST_KEY: usize = 255;
/// What an entry adds to `Via`.
const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 nutmegwharf");

/// Sends a message without waiting for it to be handled.
pub fn post<A, M>(actor: &Address<A>, message: M)
where
    M: Send + 'static,
    A: Handler<M>,
{
    // The mailbox is unbounded, so the first poll puts the message into it.
    let mut sending = pin!(actor.send(message).detach());
    let _ = sending.as_mut().poll(&mut Context::from_waker(Waker::noop()));
}

/// A caller's body.
enum Kept {
    /// Read whole, so that it can be sent again.
    Whole(Bytes),
    /// Still with the caller.
    Stream(Option<Upload>),
}

impl Front {
    /// Answers one request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<Answer> {
        let outcome = if request.uri().path().starts_with(OWN_PATHS) {
            resolve::answer(&self, &request).await
        } else {
            self.forward(request).await
        };
        outcome.unwrap_or_else(Problem::not_run)
    }

    async fn forward(&self, request: Request<Incoming>) -> Result<Response<Answer>, Problem> {
        let (mut head, body) = request.into_parts();
        let mut asked = asked(&head)?;
        let patience = asked.patience.unwrap_or(Span::seconds(10));
        let read_by = self.clock.instant(self.clock.moment() + patience);
        let kept = self.keep(body, read_by).await?;
        asked.replayable = matches!(kept, Kept::Whole(_));
        let bytes: &[u8] = if let Kept::Whole(bytes) = &kept { bytes } else { &[] };
        asked.digest = digest(&[
            asked.service.as_bytes(),
            asked.method.as_bytes(),
            asked.path.as_bytes(),
            bytes,
        ]);
        clean(&mut head);
        let (reply, directive) = oneshot::channel();
        self.steer.post(Message::Place(Place { asked, reply }));
        self.pursue(head, kept, directive).await
    }

    /// Follows the directives of the decisions until there is an answer.
    async fn pursue(
        &self,
        head: Parts,
        mut kept: Kept,
        mut directive: oneshot::Receiver<Directive>,
    ) -> Result<Response<Answer>, Problem> {
        let mut passed: Option<Passed> = None;
        let mut told: Option<Directive> = None;
        loop {
            let next = match told.take() {
                Some(next) => next,
                None => (&mut directive).await.map_err(|_| Problem::Gone)?,
            };
            match next {
                Directive::Unknown | Directive::Continue => return Err(Problem::UnknownService),
                Directive::Refuse { refusal, outcome, retry_after } => {
                    return Ok(Problem::Refused(refusal).answer(outcome, Some(retry_after)));
                }
                Directive::Pass => return passed.take().map(relay).ok_or(Problem::Gone),
                Directive::Send(target) => {
                    // An answer that was kept back is not wanted any more.
                    drop(passed.take());
                    let deadline = self.clock.instant(target.deadline);
                    let request = outgoing(&head, &mut kept, &target, deadline)?;
                    match self.attempt(target, request, &mut kept, deadline).await {
                        Next::Answer(passed) => return Ok(relay(passed)),
                        Next::Go(next) => told = Some(next),
                        Next::Ask(receiver, kept_back) => {
                            directive = receiver;
                            passed = kept_back;
                        }
                    }
                }
            }
        }
    }

    /// Makes one attempt and reports what came of it.
    async fn attempt(
        &self,
        target: Target,
        request: Request<Outgoing>,
        kept: &mut Kept,
        deadline: Instant,
    ) -> Next {
        let Target { token, attempt, upstream, name, address, link, hedge_after, .. } = target;
        let steer = self.steer.clone();
        let tracker = Exchange { steer: steer.clone(), token, attempt, link: None, keep: true };
        let mut guard = Guard { steer, token, attempt, live: true };
        let silent = if link.is_some() { Event::Silent } else { Event::SilentNew };
        let work = exchange(&self.steer, tracker, upstream, address, link, request);
        let mut work = std::pin::pin!(work);
        let hedge_at = hedge_after.map_or(deadline, |span| Instant::now() + span.into());
        let mut result = timeout_at(hedge_at.min(deadline), work.as_mut()).await;
        if result.is_err() && hedge_at < deadline {
            match self.weigh_another(token, attempt, silent).await {
                Some(directive) => {
                    // The decisions have given the attempt up, so it is reported no more.
                    guard.live = false;
                    return Next::Go(directive);
                }
                None => result = timeout_at(deadline, work).await,
            }
        }
        guard.live = false;
        let passed = |response, exchange| Passed { response, name, exchange, deadline };
        let (event, report, kept_back) = match result {
            Err(_) => (Event::Late, None, None),
            Ok(Head::Failed { event, request }) => {
                if let Some(request) = request {
                    kept.restore(request);
                }
                (event, None, None)
            }
            Ok(Head::Refused { report }) => (Event::Refused, report, None),
            Ok(Head::Good { response, report, exchange }) => {
                let happened = Happened::new(token, attempt, Event::Head);
                self.steer.report(Happened { report, ..happened });
                return Next::Answer(passed(response, exchange));
            }
            Ok(Head::Bad { response, report, exchange }) => {
                (Event::HeadFailed, report, Some(passed(response, exchange)))
            }
        };
        let (reply, receiver) = oneshot::channel();
        let happened = Happened::new(token, attempt, event);
        self.steer.report(Happened { report, reply: Some(reply), ..happened });
        Next::Ask(receiver, kept_back)
    }

    /// Lets the decisions weigh another attempt; returns nothing if this one goes on.
    async fn weigh_another(
        &self,
        token: u64,
        attempt: key::Attempt,
        silent: Event,
    ) -> Option<Directive> {
        let (reply, receiver) = oneshot::channel();
        let happened = Happened::new(token, attempt, silent);
        self.steer.report(Happened { reply: Some(reply), ..happened });
        match receiver.await {
            Ok(Directive::Continue) | Err(_) => None,
            Ok(directive) => Some(directive),
        }
    }

    /// Reads a short body whole; a longer one stays with the caller.
    async fn keep(&self, body: Incoming, read_by: Instant) -> Result<Kept, Problem> {
        let size = body.size_hint();
        if size.lower() > self.limits.body_bytes {
            return Err(Problem::BodyTooLarge);
        }
        if size.upper().is_none_or(|upper| upper > self.limits.replay_bytes) {
            return Ok(Kept::Stream(Some(Upload::new(body, self.limits.body_bytes))));
        }
        let bound = usize::try_from(self.limits.replay_bytes).unwrap_or(usize::MAX);
        let read = timeout_at(read_by, Limited::new(body, bound).collect()).await;
        match read {
            Ok(Ok(collected)) => Ok(Kept::Whole(collected.to_bytes())),
            _ => Err(Problem::BodyBroken),
        }
    }
}

/// An answer that may be passed on.
struct Passed {
    response: Response<Incoming>,
    name: String,
    exchange: Exchange,
    deadline: Instant,
}

/// What follows an attempt.
enum Next {
    /// The answer is passed on.
    Answer(Passed),
    /// The decisions have given the attempt up and said what to do.
    Go(Directive),
    /// The decisions have to say, perhaps with an answer kept back meanwhile.
    Ask(oneshot::Receiver<Directive>, Option<Passed>),
}

/// Reports an attempt as left if its task is dropped in the middle.
struct Guard {
    steer: Way,
    token: u64,
    attempt: key::Attempt,
    live: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.live {
            self.steer.report(Happened::new(self.token, self.attempt, Event::Cancelled));
        }
    }
}

impl Kept {
    /// Takes back the body of a request that was not sent.
    fn restore(&mut self, request: Request<Outgoing>) {
        if let (Self::Stream(slot), Outgoing::Stream(upload)) = (self, request.into_body()) {
            *slot = Some(upload);
        }
    }

    fn body(&mut self) -> Result<Outgoing, Problem> {
        match self {
            Self::Whole(bytes) => Ok(Outgoing::Whole(Full::new(bytes.clone()))),
            Self::Stream(upload) => upload.take().map(Outgoing::Stream).ok_or(Problem::BodyBroken),
        }
    }
}

/// Reads what a request's head says to an entry.
fn asked(head: &Parts) -> Result<Asked, Problem> {
    if head.method == Method::CONNECT || head.headers.contains_key(UPGRADE) {
        return Err(Problem::Unsupported);
    }
    let target = head.uri.path_and_query().ok_or(Problem::BadTarget)?;
    let patience = match head.headers.get(header::TIMEOUT_MS) {
        None => None,
        Some(_) => {
            let millis = header::number(&head.headers, &header::TIMEOUT_MS);
            Some(Span::millis(millis.filter(|millis| *millis < 1 << 32).ok_or(Problem::BadHeader)?))
        }
    };
    let service = service(head)?;
    let workspace = header::text(&head.headers, &header::WORKSPACE);
    Ok(Asked {
        key: idempotency_key(head, service, workspace.unwrap_or_default())?,
        service: service.to_owned(),
        workspace: workspace.map(str::to_owned),
        method: head.method.as_str().to_owned(),
        path: target.as_str().to_owned(),
        patience,
        replayable: false,
        digest: 0,
    })
}

/// Returns the digest of a request's idempotency key within its service and workspace.
fn idempotency_key(head: &Parts, service: &str, workspace: &str) -> Result<Option<u64>, Problem> {
    let Some(value) = head.headers.get(header::IDEMPOTENCY_KEY) else { return Ok(None) };
    if value.is_empty() || value.len() > MOST_KEY {
        return Err(Problem::BadHeader);
    }
    Ok(Some(digest(&[service.as_bytes(), workspace.as_bytes(), value.as_bytes()])))
}

/// Returns the service that a request names by header or by the first label of its host.
fn service(head: &Parts) -> Result<&str, Problem> {
    if let Some(value) = head.headers.get(header::SERVICE) {
        return value.to_str().map_err(|_| Problem::BadHeader);
    }
    let host = head.uri.host().or_else(|| header::text(&head.headers, &HOST));
    let label = host.and_then(|host| host.split(['.', ':']).next());
    label.filter(|label| !label.is_empty()).ok_or(Problem::NoService)
}

/// Removes from a request's head what concerns the caller's connection only.
fn clean(head: &mut Parts) {
    header::strip_hop_by_hop(&mut head.headers);
    if !head.headers.contains_key(HOST)
        && let Some(authority) = head.uri.authority()
        && let Ok(value) = HeaderValue::from_str(authority.as_str())
    {
        // HTTP/2 names the host in the target; HTTP/1.1 needs the header.
        head.headers.insert(HOST, value);
    }
    head.headers.append(VIA, VIA_VALUE);
}

/// Makes the request for one attempt.
fn outgoing(
    head: &Parts,
    kept: &mut Kept,
    target: &Target,
    deadline: Instant,
) -> Result<Request<Outgoing>, Problem> {
    let mut request = Request::new(kept.body()?);
    *request.method_mut() = head.method.clone();
    *request.version_mut() = Version::HTTP_11;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().map_err(|_| Problem::BadTarget)?;
    *request.headers_mut() = head.headers.clone();
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let headers = request.headers_mut();
    headers.insert(header::TIMEOUT_MS, u64::try_from(left).unwrap_or(u64::MAX).into());
    headers.insert(header::ATTEMPT, super::exchange::attempt_value(target.attempt));
    Ok(request)
}

/// Makes the answer that passes an upstream's answer on.
fn relay(passed: Passed) -> Response<Answer> {
    let (mut head, body) = passed.response.into_parts();
    header::strip_hop_by_hop(&mut head.headers);
    for name in [header::LOAD, header::ATTEMPT, header::NOT_RUN, header::OUTCOME] {
        head.headers.remove(name);
    }
    head.headers.append(VIA, VIA_VALUE);
    if let Ok(value) = HeaderValue::from_str(&passed.name) {
        head.headers.insert(header::UPSTREAM, value);
    }
    head.headers.insert(header::OUTCOME, HeaderValue::from_static("ran"));
    head.version = Version::HTTP_11;
    let relay = Relay::new(body, passed.exchange, passed.deadline);
    Response::from_parts(head, Answer::Relay(Box::new(relay)))
}
