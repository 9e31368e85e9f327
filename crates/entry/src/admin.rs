//! The operators' HTTP interface: statements, dump, metrics and liveness.

mod metrics;
mod query;

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

use crate::config::{Execute, Fault, GetConfig, Manager};
use crate::dispatch::{Dispatcher, Inspect};
use crate::header;
use crate::peers::{GetTraffic, Peers};
use crate::settings::Operator;

pub use metrics::Metrics;

/// Maximum number of concurrent connections of operators and scrapers.
const MAX_CONNECTIONS: usize = 64;
/// Maximum size of a statement.
const MAX_STATEMENT_BYTES: usize = 4_096;
/// Time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// State that every connection of an operator shares.
pub struct Admin<S: Store> {
    /// The dispatcher, for snapshots of its state.
    pub dispatcher: Address<Dispatcher>,
    /// The configuration manager, which executes commands.
    pub config_manager: Address<Manager<S>>,
    /// The peers task, for its traffic counters.
    pub peers: Address<Peers>,
    /// Operators with their tokens and permissions.
    pub operators: Arc<[Operator]>,
    /// Metrics of this entry.
    pub metrics: Metrics,
}

impl<S: Store> Clone for Admin<S> {
    fn clone(&self) -> Self {
        Self {
            dispatcher: self.dispatcher.clone(),
            config_manager: self.config_manager.clone(),
            peers: self.peers.clone(),
            operators: Arc::clone(&self.operators),
            metrics: self.metrics.clone(),
        }
    }
}

/// A response to an operator.
type Reply = Response<Full<Bytes>>;

/// Accepts connections of operators until the task is aborted.
pub async fn accept<S: Store>(admin: Admin<S>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            Ok((stream, _)) = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                connections.spawn(serve(admin.clone(), stream));
            }
        }
    }
}

async fn serve<S: Store>(admin: Admin<S>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(admin.respond(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=operator_connection_ended error=\"{error}\"");
    }
}

impl<S: Store> Admin<S> {
    async fn respond(self, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => self.render_metrics().await,
            (&Method::GET, "/v1/health") => json_response(StatusCode::OK, &json!({ "live": true })),
            (&Method::GET, "/v1/dump") => match self.authenticate(request.headers()) {
                Some(_) => self.render_dump().await,
                None => unauthorized(),
            },
            (&Method::POST, "/v1/statement") => match self.authenticate(request.headers()) {
                Some(operator) => self.execute_statement(operator, request).await,
                None => unauthorized(),
            },
            _ => error_response(StatusCode::NOT_FOUND, "no_page", "no such page"),
        }
    }

    /// Returns the operator whose bearer token the request carries.
    fn authenticate(&self, headers: &HeaderMap) -> Option<Operator> {
        let given = header::text(headers, &AUTHORIZATION)?.strip_prefix("Bearer ")?;
        let operator = self.operators.iter().find(|operator| equal(&operator.token, given));
        operator.cloned()
    }

    async fn render_metrics(&self) -> Reply {
        let Ok(state) = self.dispatcher.send(Inspect).await else { return stopping() };
        let Ok(traffic) = self.peers.send(GetTraffic).await else { return stopping() };
        let mut response = Response::new(Full::new(self.metrics.render(&state, &traffic).into()));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }

    async fn render_dump(&self) -> Reply {
        let state = self.dispatcher.send(Inspect).await;
        let config = self.config_manager.send(GetConfig).await;
        let traffic = self.peers.send(GetTraffic).await;
        match (state, config, traffic) {
            (Ok(state), Ok(config), Ok(traffic)) => {
                let dump = json!({ "state": *state, "config": *config, "peers": traffic });
                json_response(StatusCode::OK, &dump)
            }
            _ => stopping(),
        }
    }

    async fn execute_statement(&self, operator: Operator, request: Request<Incoming>) -> Reply {
        let dry_run = request.uri().query() == Some("dry_run=1");
        let body = Limited::new(request.into_body(), MAX_STATEMENT_BYTES).collect().await;
        let Ok(body) = body else {
            return error_response(
                StatusCode::BAD_REQUEST,
                "bad_body",
                "the statement is too long",
            );
        };
        let Ok(text) = String::from_utf8(body.to_bytes().into()) else {
            return error_response(
                StatusCode::BAD_REQUEST,
                "bad_body",
                "the statement is not UTF-8",
            );
        };
        match lang::parse(&text) {
            Err(error) => error_response(StatusCode::BAD_REQUEST, "syntax", error),
            Ok(Statement::Query(query)) => self.answer_query(query).await,
            Ok(Statement::Command(_)) if !operator.commands => error_response(
                StatusCode::FORBIDDEN,
                "forbidden",
                "this operator may not order changes",
            ),
            Ok(Statement::Command(command)) => {
                let execute = Execute { who: operator.name, text, command, dry_run };
                match self.config_manager.send(execute).await {
                    Ok(Ok(accepted)) => json_response(StatusCode::OK, &json!(accepted)),
                    Ok(Err(fault)) => rejection(&fault),
                    Err(_) => stopping(),
                }
            }
        }
    }

    async fn answer_query(&self, query: model::Query) -> Reply {
        let state = self.dispatcher.send(Inspect).await;
        let config = self.config_manager.send(GetConfig).await;
        let (Ok(state), Ok(config)) = (state, config) else { return stopping() };
        match query::evaluate(&query, &config, &state) {
            Ok(table) => json_response(StatusCode::OK, &json!(table)),
            Err(fault) => error_response(StatusCode::NOT_FOUND, "missing", fault),
        }
    }
}

fn rejection(fault: &Fault) -> Reply {
    let (status, name) = match fault {
        Fault::Refused(_) => (StatusCode::CONFLICT, "refused"),
        Fault::Raced(_) => (StatusCode::CONFLICT, "raced"),
        Fault::Busy => (StatusCode::SERVICE_UNAVAILABLE, "busy"),
        Fault::Store(_) => (StatusCode::SERVICE_UNAVAILABLE, "store"),
        Fault::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        Fault::Document(_) => (StatusCode::INTERNAL_SERVER_ERROR, "document"),
    };
    error_response(status, name, fault)
}

fn json_response(status: StatusCode, value: &Value) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(status: StatusCode, error: &str, message: impl ToString) -> Reply {
    json_response(status, &json!({ "error": error, "message": message.to_string() }))
}

fn unauthorized() -> Reply {
    error_response(StatusCode::UNAUTHORIZED, "unauthorized", "a known operator's token is needed")
}

fn stopping() -> Reply {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the entry stops")
}

/// Compares secrets in a time that does not depend on where they differ, so that a token cannot be
/// found by measuring response times.
fn equal(left: &str, right: &str) -> bool {
    let (left, right) = (left.as_bytes(), right.as_bytes());
    let difference = left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b));
    left.len() == right.len() && difference == 0
}
