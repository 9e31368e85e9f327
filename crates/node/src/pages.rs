//! The small servers beside the front: readiness, directory, operators and metrics.

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

use crate::answer::{self, Fault};
use crate::front::Front;
use crate::steer::{Gone, Message};

/// Time in which the head of a request has to come.
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Path of the state.
const STATE: &str = "/state";
/// Pause after a connection that could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);

/// The pages of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Book {
    /// Whether the node can serve.
    Ready,
    /// Where callers should connect.
    Directory,
    /// The state, for operators.
    Operators,
    /// The metrics.
    Metrics,
}

/// Serves the pages of one address until its task ends.
pub async fn serve(front: Front, book: Book, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(front.clone(), book, stream));
            }
            Err(error) => {
                log::warn!("connections cannot be accepted: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn connection(front: Front, book: Book, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let front = &front;
        async move { Ok::<_, Infallible>(page(front, book, &request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("a connection to the pages ended: {error}");
    }
}

async fn page<B>(front: &Front, book: Book, request: &Request<B>) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return Fault::Method.answer();
    }
    let path = request.uri().path();
    let dialect = &front.dialect;
    match book {
        Book::Ready if path == dialect.ready_path => or_gone(ready(front)).await,
        Book::Directory if path == dialect.resolve_path => or_gone(resolve(front, request)).await,
        Book::Operators if path == STATE => or_gone(state(front)).await,
        Book::Operators | Book::Metrics if path == METRICS => or_gone(metrics(front)).await,
        _ => Fault::Page.answer(),
    }
}

async fn or_gone(
    page: impl Future<Output = Result<Response<Full<Bytes>>, Gone>>,
) -> Response<Full<Bytes>> {
    page.await.unwrap_or_else(|Gone| Fault::Stopping.answer())
}

async fn ready(front: &Front) -> Result<Response<Full<Bytes>>, Gone> {
    let ready = front.steer.ask(Message::Ready).await?;
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Ok(answer::json(status, Vec::new()))
}

async fn resolve<B>(front: &Front, request: &Request<B>) -> Result<Response<Full<Bytes>>, Gone> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let domain = pairs.find(|(name, _)| *name == front.dialect.domain_parameter);
    let domain = domain.map(|(_, value)| value.to_owned());
    let advice = front.steer.ask(|reply| Message::Advise { domain, reply }).await?;
    Ok(answer::json(StatusCode::OK, (front.dialect.format_advice)(&advice)))
}

async fn state(front: &Front) -> Result<Response<Full<Bytes>>, Gone> {
    let state = front.steer.ask(Message::Inspect).await?;
    Ok(answer::json(StatusCode::OK, serde_json::to_vec_pretty(&state).unwrap_or_default()))
}

async fn metrics(front: &Front) -> Result<Response<Full<Bytes>>, Gone> {
    let state = front.steer.ask(Message::Inspect).await?;
    Ok(Response::new(Full::new(front.meter.render(&state).into())))
}
