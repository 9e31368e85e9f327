//! The lifetime of one caller's request: reading it, following the dispatcher's directives and
//! responding.
//!
//! [`crate::front`] calls [`respond`] for each request on its connections.

use std::sync::Arc;

use base::prelude::*;
use gateway::engine::{Census, Choice, Request};
use gateway::exchange::Event;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use log::Level;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::exchange::{self, Completion, Payload};
use crate::logs;
use crate::message::{Closed, Directive, Message, Target};
use crate::response::{self, Fault};
use crate::shared::Front;

/// Time-out for reading a body if the caller states no deadline.
const DEFAULT_BODY_TIMEOUT: Span = Span::seconds(30);

/// One attempt to send a request to an upstream, as logged.
#[derive(Clone, Debug, Serialize)]
struct Attempt {
    to: String,
    cost_ms: u64,
    report_age_ms: u64,
    pace: f64,
    options: usize,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    trial: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    cold: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    end: Option<Event>,
    #[serde(skip_serializing_if = "Option::is_none")]
    fault: Option<String>,
    ms: u64,
}

/// The log line of a request.
#[derive(Debug, Serialize)]
struct Line<'a> {
    event: &'static str,
    id: &'a str,
    path: &'a str,
    status: u16,
    cause: String,
    took_ms: u64,
    table: u64,
    sends: &'a [Attempt],
    #[serde(skip_serializing_if = "Option::is_none")]
    seen: Option<Census>,
}

/// A request in progress.
///
/// Dropping it cancels the call, for example when the caller disconnects.
struct Call<'a> {
    front: &'a Front,
    payload: Arc<Payload>,
    started_at: Instant,
    token: u64,
    key: Option<key::Call>,
    deadline: Instant,
    hedge_at: Option<Instant>,
    table_version: u64,
    exchanges: JoinSet<Completion>,
    attempts: Vec<(key::Attempt, Instant, Attempt)>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        // The join set aborts the exchanges in progress; the engine has to drop the call as well.
        if let Some(key) = self.key {
            self.front.dispatcher.post(Message::Cancelled(key));
        }
    }
}

/// Reads a request to its end, forwards it and returns the response for the caller.
pub async fn respond(front: &Front, request: hyper::Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived_at = clock::now();
    let started_at = Instant::now();
    let (mut head, body) = request.into_parts();
    if let Err(fault) = check(&head) {
        return fault.response();
    }
    let timeout =
        entry::header::number(&head.headers, &front.dialect.deadline_remaining).map(Span::millis);
    let body = tokio::select! {
        body = read_body(front, body, timeout) => body,
        () = front.last_calls_end() => Err(Fault::Stopping),
    };
    let body = match body {
        Ok(body) => body,
        Err(fault) => return fault.response(),
    };
    entry::header::strip_hop_by_hop(&mut head.headers);
    let attempt_id = head.headers.get(&front.dialect.attempt_id).cloned();
    let engine_request = engine_request(&head, &body, timeout, arrived_at);
    let payload = Arc::new(Payload { head, body, attempt_id });
    let call = Call {
        front,
        payload,
        started_at,
        token: 0,
        key: None,
        deadline: started_at,
        hedge_at: None,
        table_version: 0,
        exchanges: JoinSet::new(),
        attempts: Vec::new(),
    };
    if front.comes_too_late(timeout.map(|timeout| started_at + timeout.into())) {
        return call.refuse(Fault::Stopping);
    }
    call.run(engine_request).await
}

/// Rejects requests that cannot be forwarded.
///
/// # Errors
///
/// Returns the fault that the response reports.
fn check(head: &Parts) -> Result<(), Fault> {
    if head.method == Method::CONNECT || head.headers.contains_key(hyper::header::UPGRADE) {
        return Err(Fault::Unsupported);
    }
    if head.headers.get_all(HOST).iter().count() > 1 {
        return Err(Fault::MultipleHosts);
    }
    if head.uri.path_and_query().is_none() {
        return Err(Fault::InvalidTarget);
    }
    Ok(())
}

async fn read_body(front: &Front, body: Incoming, timeout: Option<Span>) -> Result<Bytes, Fault> {
    let max_bytes = front.limits.borrow().body_bytes;
    let time_limit = timeout.unwrap_or(DEFAULT_BODY_TIMEOUT).into();
    let body = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(time_limit, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Fault::BodyTooLarge),
        Ok(Err(_)) => Err(Fault::BodyBroken),
        Err(_) => Err(Fault::BodyTimedOut),
    }
}

/// Returns what the engine needs to choose an upstream for a request.
fn engine_request(head: &Parts, body: &[u8], timeout: Option<Span>, arrived_at: Moment) -> Request {
    let host = head.uri.host().or_else(|| entry::header::text(&head.headers, &HOST));
    let host = host.unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = head.method.as_str();
    Request {
        token: 0,
        host: host.to_ascii_lowercase(),
        path: path.to_owned(),
        timeout,
        arrived_at,
        digest: base::hash::digest(&[method.as_bytes(), path.as_bytes(), body]),
    }
}

impl Call<'_> {
    async fn run(mut self, engine_request: Request) -> Response<Full<Bytes>> {
        match self.follow_directives(engine_request).await {
            Ok(response) => response,
            Err(Closed) if self.attempts.is_empty() => self.refuse(Fault::Stopping),
            // An upstream may have got the request, so it must not be reported as not run.
            Err(Closed) => self.refuse(Fault::Interrupted),
        }
    }

    /// Returns and logs the response that reports a fault of the node.
    fn refuse(&self, fault: Fault) -> Response<Full<Bytes>> {
        let response = fault.response();
        self.log(response.status(), fault.to_string(), None);
        response
    }

    async fn follow_directives(
        &mut self,
        engine_request: Request,
    ) -> Result<Response<Full<Bytes>>, Closed> {
        let front = self.front;
        let mut directive = front
            .dispatcher
            .ask(|reply| Message::Submit { request: engine_request, reply })
            .await?;
        let mut last_response: Option<Response<Bytes>> = None;
        loop {
            match directive {
                Directive::Forward(target) => self.forward(*target),
                Directive::Await => {}
                Directive::Relay => {
                    self.key = None;
                    if let Some(response) = last_response.take() {
                        return Ok(self.relay(response));
                    }
                }
                Directive::Refuse(rejection) => {
                    self.key = None;
                    let response = response::rejection(&rejection);
                    self.table_version = rejection.census.table;
                    let cause = rejection.refusal.to_string();
                    self.log(response.status(), cause, Some(rejection.census));
                    return Ok(response);
                }
            }
            directive = self.next_directive(&mut last_response).await?;
        }
    }

    /// Waits for an exchange to end, the hedging delay, or the deadline or the end of the last calls of
    /// a node that stops, reports it to the dispatcher and returns the next directive.
    async fn next_directive(
        &mut self,
        last_response: &mut Option<Response<Bytes>>,
    ) -> Result<Directive, Closed> {
        let dispatcher = &self.front.dispatcher;
        let (token, call) = (self.token, self.key.ok_or(Closed)?);
        let hedge_at = self.hedge_at.unwrap_or(self.deadline);
        tokio::select! {
            Some(completion) = self.exchanges.join_next() => {
                let Ok(completion) = completion else { return Err(Closed) };
                self.record_completion(&completion);
                let Completion { exchange, event, report, response, .. } = completion;
                *last_response = response;
                let completed =
                    |reply| Message::Completed { token, exchange, event, report, reply };
                dispatcher.ask(completed).await
            }
            () = sleep_until(hedge_at), if self.hedge_at.is_some() => {
                self.hedge_at = None;
                dispatcher.ask(|reply| Message::HedgeDue { token, call, reply }).await
            }
            () = self.front.end_of_call(self.deadline) => {
                // The directive says that the request has not run unless it was sent before. It must
                // not be sent until the directive is here, if a connection becomes usable meanwhile.
                self.exchanges.abort_all();
                dispatcher
                    .ask(|reply: oneshot::Sender<Directive>| Message::DeadlinePassed {
                        token,
                        call,
                        reply,
                    })
                    .await
            }
        }
    }

    fn forward(&mut self, target: Target) {
        if self.key.is_none() {
            self.hedge_at = target.hedge_at;
        }
        self.key = Some(target.call);
        self.token = target.token;
        self.deadline = target.deadline;
        self.table_version = target.choice.table_version;
        let attempt = Attempt::new(&target.id, &target.choice);
        self.attempts.push((target.exchange, Instant::now(), attempt));
        let (dispatcher, dialect) =
            (self.front.dispatcher.clone(), Arc::clone(&self.front.dialect));
        let (payload, deadline) = (Arc::clone(&self.payload), self.deadline);
        let memory = self.front.memory.clone();
        self.exchanges.spawn(async move {
            exchange::run(dispatcher, &dialect, &memory, &payload, target, deadline).await
        });
    }

    fn record_completion(&mut self, completion: &Completion) {
        if matches!(completion.fault, Some(exchange::Fault::Oversized)) {
            self.front.metrics.record_oversized();
        }
        let attempt =
            self.attempts.iter_mut().find(|(exchange, _, _)| *exchange == completion.exchange);
        if let Some((_, sent_at, attempt)) = attempt {
            attempt.end = Some(completion.event);
            attempt.fault = completion.fault.as_ref().map(ToString::to_string);
            attempt.ms = millis(sent_at.elapsed());
        }
    }

    /// Converts an upstream's response into the response for the caller.
    fn relay(&self, response: Response<Bytes>) -> Response<Full<Bytes>> {
        let (mut head, body) = response.into_parts();
        entry::header::strip_hop_by_hop(&mut head.headers);
        head.version = hyper::Version::HTTP_11;
        self.log(head.status, "answered".to_owned(), None);
        Response::from_parts(head, Full::new(body))
    }

    fn log(&self, status: StatusCode, cause: String, seen: Option<Census>) {
        let elapsed = self.started_at.elapsed();
        self.front.metrics.record_response(status, elapsed);
        let is_ordinary = status.is_success() && self.attempts.len() <= 1;
        let level = if is_ordinary { Level::Info } else { Level::Warn };
        if !log::log_enabled!(level) {
            return;
        }
        let id =
            self.payload.attempt_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        let sends: Vec<Attempt> =
            self.attempts.iter().map(|(_, sent_at, attempt)| attempt.as_of(*sent_at)).collect();
        let line = Line {
            event: "request",
            id,
            path: self.payload.head.uri.path(),
            status: status.as_u16(),
            cause,
            took_ms: millis(elapsed),
            table: self.table_version,
            sends: &sends,
            seen,
        };
        logs::emit(level, &line);
    }
}

impl Attempt {
    fn new(to: &str, choice: &Choice) -> Self {
        Self {
            to: to.to_owned(),
            cost_ms: (choice.cost / 1_000.0) as u64,
            report_age_ms: choice.report_age.as_millis(),
            pace: choice.slowdown,
            options: choice.candidates,
            trial: choice.trial,
            cold: choice.cold,
            end: None,
            fault: None,
            ms: 0,
        }
    }

    /// Returns the attempt for the log, with the time since `sent_at` if it is still in progress.
    fn as_of(&self, sent_at: Instant) -> Self {
        let ms = if self.end.is_some() { self.ms } else { millis(sent_at.elapsed()) };
        Self { ms, ..self.clone() }
    }
}

fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
