//! Accepting callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::table::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::Dialect;
use crate::call;
use crate::dispatch::Handle;
use crate::metrics::Metrics;

/// Least size of the buffer for a head that the library takes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Pause after a connection that could not be accepted.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(50);

/// Where a node is on its way out, for its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// Each answer says that its connection ends.
    Leaving,
    /// Connections without a request end, and no new ones are taken.
    Closing,
}

/// What every connection of callers needs.
#[derive(Clone, Debug)]
pub struct Front {
    /// The decisions.
    pub dispatcher: Handle,
    /// Names on the wire.
    pub dialect: Arc<Dialect>,
    /// Limits on callers.
    pub limits: watch::Receiver<Limits>,
    /// Counts for the metrics.
    pub metrics: Metrics,
    /// Where the node is on its way out.
    pub phase: watch::Receiver<Phase>,
}

/// Accepts connections until told to close, then lets those in progress end.
///
/// The whole returns once the last connection has ended.
pub async fn accept(front: Front, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let mut phase = front.phase.clone();
    loop {
        tokio::select! {
            () = wait_for_closing(&mut phase) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(front.clone(), stream));
                }
                Err(error) => {
                    log::warn!("connections cannot be accepted: {error}");
                    // Out of descriptors: some connection has to end first.
                    tokio::time::sleep(ACCEPT_BACK_OFF).await;
                }
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until connections are to end.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The sender lives as long as the node.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

async fn serve(front: Front, stream: TcpStream) {
    // Answers must not wait for more data.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = *front.limits.borrow();
    let mut phase = front.phase.clone();
    let service = service_fn(|request| {
        let front = &front;
        async move {
            let mut response = call::respond(front, request).await;
            if *front.phase.borrow() != Phase::Serving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The library's time for a head also runs while a connection is idle.
    let head_timeout = limits.head_timeout.max(limits.idle_timeout);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return log_end(result),
        () = wait_for_closing(&mut phase) => {}
    }
    connection.as_mut().graceful_shutdown();
    log_end(connection.await);
}

/// Logs why a connection ended before its time.
fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!("a caller's connection ended: {error}");
    }
}
