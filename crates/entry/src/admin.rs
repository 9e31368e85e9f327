//! The operators' side: statements, dump, metrics and health.

mod listing;
mod meter;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use lang::Statement;
use serde_json::{Value, json};
use store::Store;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use xtra::Address;

use crate::header;
use crate::keeper::{Current, Execute, Fault, Keeper};
use crate::peers::{Measure, Peers};
use crate::settings::Operator;
use crate::steer::{Inspect, Steer};
use meter::Meter;

/// Connections of operators and scrapers.
const MOST_CONNECTIONS: usize = 64;
/// Bytes of a statement.
const MOST_STATEMENT: usize = 4_096;
/// Time to send a request's head.
const HEAD_TIME: Duration = Duration::from_secs(5);

/// What every connection of operators needs.
pub struct Admin<S: Store> {
    /// The decisions.
    pub steer: Address<Steer>,
    /// The configuration.
    pub keeper: Address<Keeper<S>>,
    /// The endpoint to peers.
    pub peers: Address<Peers>,
    /// Who may do what.
    pub operators: Arc<[Operator]>,
    /// Metrics of this entry.
    pub meter: Meter,
}

pub use meter::Meter as Metrics;

impl<S: Store> Clone for Admin<S> {
    fn clone(&self) -> Self {
        Self {
            steer: self.steer.clone(),
            keeper: self.keeper.clone(),
            peers: self.peers.clone(),
            operators: Arc::clone(&self.operators),
            meter: self.meter.clone(),
        }
    }
}

/// An answer to an operator.
type Reply = Response<Full<Bytes>>;

/// Accepts connections of operators until the task is ended.
pub async fn accept<S: Store>(admin: Admin<S>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            Ok((stream, _)) = listener.accept(), if connections.len() < MOST_CONNECTIONS => {
                connections.spawn(serve(admin.clone(), stream));
            }
        }
    }
}

async fn serve<S: Store>(admin: Admin<S>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(admin.answer(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=operator_connection_ended error=\"{error}\"");
    }
}

impl<S: Store> Admin<S> {
    async fn answer(self, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => self.metrics().await,
            (&Method::GET, "/v1/health") => page(StatusCode::OK, &json!({ "live": true })),
            (&Method::GET, "/v1/dump") => match self.operator(request.headers()) {
                Some(_) => self.dump().await,
                None => unauthorized(),
            },
            (&Method::POST, "/v1/statement") => match self.operator(request.headers()) {
                Some(operator) => self.statement(operator, request).await,
                None => unauthorized(),
            },
            _ => problem(StatusCode::NOT_FOUND, "no_page", "no such page"),
        }
    }

    fn operator(&self, headers: &HeaderMap) -> Option<Operator> {
        let given = header::text(headers, &AUTHORIZATION)?.strip_prefix("Bearer ")?;
        let known = self.operators.iter().find(|one| equal(&one.token, given));
        known.cloned()
    }

    async fn metrics(&self) -> Reply {
        let Ok(state) = self.steer.send(Inspect).await else { return gone() };
        let Ok(traffic) = self.peers.send(Measure).await else { return gone() };
        let mut response = Response::new(Full::new(self.meter.render(&state, &traffic).into()));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    async fn dump(&self) -> Reply {
        let state = self.steer.send(Inspect).await;
        let config = self.keeper.send(Current).await;
        let traffic = self.peers.send(Measure).await;
        match (state, config, traffic) {
            (Ok(state), Ok(config), Ok(traffic)) => {
                let dump = json!({ "state": *state, "config": *config, "peers": traffic });
                page(StatusCode::OK, &dump)
            }
            _ => gone(),
        }
    }

    async fn statement(&self, operator: Operator, request: Request<Incoming>) -> Reply {
        let dry_run = request.uri().query() == Some("dry_run=1");
        let body = Limited::new(request.into_body(), MOST_STATEMENT).collect().await;
        let Ok(body) = body else {
            return problem(StatusCode::BAD_REQUEST, "bad_body", "the statement is too long");
        };
        let Ok(text) = String::from_utf8(body.to_bytes().into()) else {
            return problem(StatusCode::BAD_REQUEST, "bad_body", "the statement is not UTF-8");
        };
        match lang::parse(&text) {
            Err(error) => problem(StatusCode::BAD_REQUEST, "syntax", error),
            Ok(Statement::Query(query)) => self.query(query).await,
            Ok(Statement::Command(_)) if !operator.commands => {
                problem(StatusCode::FORBIDDEN, "forbidden", "this operator may not order changes")
            }
            Ok(Statement::Command(command)) => {
                let execute = Execute { who: operator.name, text, command, dry_run };
                match self.keeper.send(execute).await {
                    Ok(Ok(accepted)) => page(StatusCode::OK, &json!(accepted)),
                    Ok(Err(fault)) => refused(&fault),
                    Err(_) => gone(),
                }
            }
        }
    }

    async fn query(&self, query: model::Query) -> Reply {
        let state = self.steer.send(Inspect).await;
        let config = self.keeper.send(Current).await;
        let (Ok(state), Ok(config)) = (state, config) else { return gone() };
        match listing::answer(&query, &config, &state) {
            Ok(table) => page(StatusCode::OK, &json!(table)),
            Err(fault) => problem(StatusCode::NOT_FOUND, "missing", fault),
        }
    }
}

fn refused(fault: &Fault) -> Reply {
    let (status, name) = match fault {
        Fault::Refused(_) => (StatusCode::CONFLICT, "refused"),
        Fault::Raced(_) => (StatusCode::CONFLICT, "raced"),
        Fault::Busy => (StatusCode::SERVICE_UNAVAILABLE, "busy"),
        Fault::Store(_) => (StatusCode::SERVICE_UNAVAILABLE, "store"),
        Fault::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        Fault::Document(_) => (StatusCode::INTERNAL_SERVER_ERROR, "document"),
    };
    problem(status, name, fault)
}

fn page(status: StatusCode, value: &Value) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn problem(status: StatusCode, error: &str, message: impl ToString) -> Reply {
    page(status, &json!({ "error": error, "message": message.to_string() }))
}

fn unauthorized() -> Reply {
    problem(StatusCode::UNAUTHORIZED, "unauthorized", "a known operator's token is needed")
}

fn gone() -> Reply {
    problem(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the entry stops")
}

/// Compares secrets in a time that does not depend on where they differ.
fn equal(one: &str, other: &str) -> bool {
    let (one, other) = (one.as_bytes(), other.as_bytes());
    let differ = one.iter().zip(other).fold(0, |differ, (a, b)| differ | (a ^ b));
    one.len() == other.len() && differ == 0
}
