//! One request, from its last byte in to its answer.

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

use crate::answer::{self, Fault};
use crate::clock;
use crate::exchange::{self, Ended, Whole};
use crate::front::Front;
use crate::logs;
use crate::steer::{Directive, Gone, Message, Target};

/// Time within which a body has to come if the caller tells no deadline.
const BODY_TIME: Span = Span::seconds(30);

/// One send of a request, for the log.
#[derive(Clone, Debug, Serialize)]
struct Step {
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
    sends: &'a [Step],
    #[serde(skip_serializing_if = "Option::is_none")]
    seen: Option<Census>,
}

/// A request in progress at its front.
struct Call<'a> {
    front: &'a Front,
    whole: Arc<Whole>,
    start: Instant,
    token: u64,
    key: Option<key::Call>,
    deadline: Instant,
    slow: Option<Instant>,
    table: u64,
    exchanges: JoinSet<Ended>,
    steps: Vec<(key::Attempt, Instant, Step)>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        // Exchanges in progress end with their tasks; the decisions forget the call.
        if let Some(key) = self.key {
            self.front.steer.post(Message::Left(key));
        }
    }
}

/// Answers a request.
pub async fn answer(front: &Front, request: hyper::Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived_at = clock::now();
    let start = Instant::now();
    let (mut head, body) = request.into_parts();
    if let Err(fault) = check(&head) {
        return fault.answer();
    }
    let patience = entry::header::number(&head.headers, &front.dialect.deadline).map(Span::millis);
    let body = match read(front, body, patience).await {
        Ok(body) => body,
        Err(fault) => return fault.answer(),
    };
    entry::header::strip_hop_by_hop(&mut head.headers);
    let attempt = head.headers.get(&front.dialect.attempt).cloned();
    let asked = asked(&head, &body, patience, arrived_at);
    let whole = Arc::new(Whole { head, body, attempt });
    let call = Call {
        front,
        whole,
        start,
        token: 0,
        key: None,
        deadline: start,
        slow: None,
        table: 0,
        exchanges: JoinSet::new(),
        steps: Vec::new(),
    };
    call.run(asked).await
}

/// Refuses requests that cannot be forwarded.
fn check(head: &Parts) -> Result<(), Fault> {
    if head.method == Method::CONNECT || head.headers.contains_key(hyper::header::UPGRADE) {
        return Err(Fault::Unsupported);
    }
    if head.headers.get_all(HOST).iter().count() > 1 {
        return Err(Fault::Hosts);
    }
    if head.uri.path_and_query().is_none() {
        return Err(Fault::Target);
    }
    Ok(())
}

async fn read(front: &Front, body: Incoming, patience: Option<Span>) -> Result<Bytes, Fault> {
    let most = front.limits.borrow().body_bytes;
    let time = patience.unwrap_or(BODY_TIME).into();
    let body = Limited::new(body, most).collect();
    match tokio::time::timeout(time, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Fault::BodySize),
        Ok(Err(_)) => Err(Fault::BodyBroken),
        Err(_) => Err(Fault::BodyLate),
    }
}

/// Makes the question of where a request goes.
fn asked(head: &Parts, body: &[u8], timeout: Option<Span>, arrived_at: Moment) -> Request {
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
    async fn run(mut self, asked: Request) -> Response<Full<Bytes>> {
        match self.drive(asked).await {
            Ok(response) => response,
            Err(Gone) => Fault::Stopping.answer(),
        }
    }

    async fn drive(&mut self, asked: Request) -> Result<Response<Full<Bytes>>, Gone> {
        let front = self.front;
        let mut directive =
            front.steer.ask(|reply| Message::Place { request: asked, reply }).await?;
        let mut last: Option<Response<Bytes>> = None;
        loop {
            match directive {
                Directive::Send(target) => self.send(*target),
                Directive::Await => {}
                Directive::Pass => {
                    self.key = None;
                    if let Some(response) = last.take() {
                        return Ok(self.pass(response));
                    }
                }
                Directive::Refuse(rejection) => {
                    self.key = None;
                    let response = answer::rejection(&rejection);
                    self.table = rejection.census.table;
                    let cause = rejection.refusal.to_string();
                    self.log(response.status(), cause, Some(rejection.census));
                    return Ok(response);
                }
            }
            directive = self.next(&mut last).await?;
        }
    }

    /// Waits for what happens next and asks what follows.
    async fn next(&mut self, last: &mut Option<Response<Bytes>>) -> Result<Directive, Gone> {
        let steer = &self.front.steer;
        let (token, call) = (self.token, self.key.ok_or(Gone)?);
        let slow = self.slow.unwrap_or(self.deadline);
        tokio::select! {
            Some(ended) = self.exchanges.join_next() => {
                let Ok(ended) = ended else { return Err(Gone) };
                self.note(&ended);
                let Ended { exchange, event, report, answer } = ended;
                *last = answer;
                let ended = |reply| Message::Ended { token, exchange, event, report, reply };
                steer.ask(ended).await
            }
            () = sleep_until(slow), if self.slow.is_some() => {
                self.slow = None;
                steer.ask(|reply| Message::Slow { token, call, reply }).await
            }
            () = sleep_until(self.deadline) => {
                steer.ask(|reply: oneshot::Sender<Directive>| Message::Late { token, call, reply }).await
            }
        }
    }

    fn send(&mut self, target: Target) {
        if self.key.is_none() {
            self.slow = target.slow;
        }
        self.key = Some(target.call);
        self.token = target.token;
        self.deadline = target.deadline;
        self.table = target.choice.table_version;
        let step = Step::new(&target.id, &target.choice);
        self.steps.push((target.exchange, Instant::now(), step));
        let (steer, dialect) = (self.front.steer.clone(), Arc::clone(&self.front.dialect));
        let (whole, deadline) = (Arc::clone(&self.whole), self.deadline);
        self.exchanges
            .spawn(async move { exchange::run(steer, &dialect, &whole, target, deadline).await });
    }

    fn note(&mut self, ended: &Ended) {
        let step = self.steps.iter_mut().find(|(exchange, _, _)| *exchange == ended.exchange);
        if let Some((_, start, step)) = step {
            step.end = Some(ended.event);
            step.ms = millis(start.elapsed());
        }
    }

    /// Makes the answer that passes an upstream's answer on.
    fn pass(&self, response: Response<Bytes>) -> Response<Full<Bytes>> {
        let (mut head, body) = response.into_parts();
        entry::header::strip_hop_by_hop(&mut head.headers);
        head.version = hyper::Version::HTTP_11;
        self.log(head.status, "answered".to_owned(), None);
        Response::from_parts(head, Full::new(body))
    }

    fn log(&self, status: StatusCode, cause: String, seen: Option<Census>) {
        let took = self.start.elapsed();
        self.front.meter.request(status, took);
        let usual = status.is_success() && self.steps.len() <= 1;
        let level = if usual { Level::Info } else { Level::Warn };
        if !log::log_enabled!(level) {
            return;
        }
        let id = self.whole.attempt.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        let sends: Vec<Step> =
            self.steps.iter().map(|(_, start, step)| step.as_of(*start)).collect();
        let line = Line {
            event: "request",
            id,
            path: self.whole.head.uri.path(),
            status: status.as_u16(),
            cause,
            took_ms: millis(took),
            table: self.table,
            sends: &sends,
            seen,
        };
        logs::value(level, &line);
    }
}

impl Step {
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
            ms: 0,
        }
    }

    /// Returns the step as it is now: one that has not ended goes on since its start.
    fn as_of(&self, start: Instant) -> Self {
        let ms = if self.end.is_some() { self.ms } else { millis(start.elapsed()) };
        Self { ms, ..self.clone() }
    }
}

fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
