//! The HTTP endpoints beside the front end: readiness, directory, operators and metrics.
//!
//! [`crate::run`] starts one task for each address.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::message::{Closed, Message};
use crate::response::{self, Fault};
use crate::shared::Front;

/// Time-out for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the engine's state.
const STATE_PATH: &str = "/state";
/// Pause after a connection could not be accepted.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(50);

/// The purpose of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The readiness check.
    Ready,
    /// Tells callers which addresses to connect to.
    Directory,
    /// The engine's state and the metrics, for operators.
    Operators,
    /// The metrics, for a scraper.
    Metrics,
}

/// Serves one address until the task is aborted.
pub async fn serve(front: Front, endpoint: Endpoint, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(front.clone(), endpoint, stream));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_BACK_OFF).await;
            }
        }
    }
}

async fn serve_connection(front: Front, endpoint: Endpoint, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let front = &front;
        async move { Ok::<_, Infallible>(respond(front, endpoint, &request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection to an endpoint failed: {error}");
    }
}

async fn respond<B>(
    front: &Front,
    endpoint: Endpoint,
    request: &Request<B>,
) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return Fault::MethodNotAllowed.response();
    }
    let path = request.uri().path();
    let dialect = &front.dialect;
    match endpoint {
        Endpoint::Ready if path == dialect.ready_path => respond_or_stopping(ready(front)).await,
        Endpoint::Directory if path == dialect.resolve_path => {
            respond_or_stopping(resolve(front, request)).await
        }
        Endpoint::Operators if path == STATE_PATH => respond_or_stopping(state(front)).await,
        Endpoint::Operators | Endpoint::Metrics if path == METRICS_PATH => {
            respond_or_stopping(metrics(front)).await
        }
        _ => Fault::NotFound.response(),
    }
}

async fn respond_or_stopping(
    respond: impl Future<Output = Result<Response<Full<Bytes>>, Closed>>,
) -> Response<Full<Bytes>> {
    respond.await.unwrap_or_else(|Closed| Fault::Stopping.response())
}

async fn ready(front: &Front) -> Result<Response<Full<Bytes>>, Closed> {
    let ready = front.dispatcher.ask(Message::Ready).await?;
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Ok(response::json(status, Vec::new()))
}

async fn resolve<B>(front: &Front, request: &Request<B>) -> Result<Response<Full<Bytes>>, Closed> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let domain = pairs.find(|(name, _)| *name == front.dialect.domain_parameter);
    let domain = domain.map(|(_, value)| value.to_owned());
    let advice = front.dispatcher.ask(|reply| Message::Advise { domain, reply }).await?;
    Ok(response::json(StatusCode::OK, (front.dialect.format_advice)(&advice)))
}

async fn state(front: &Front) -> Result<Response<Full<Bytes>>, Closed> {
    let state = front.dispatcher.ask(Message::Inspect).await?;
    Ok(response::json(StatusCode::OK, serde_json::to_vec_pretty(&state).unwrap_or_default()))
}

async fn metrics(front: &Front) -> Result<Response<Full<Bytes>>, Closed> {
    let state = front.dispatcher.ask(Message::Inspect).await?;
    Ok(Response::new(Full::new(front.metrics.render(&state).into())))
}
