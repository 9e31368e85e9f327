//! The front end: accepts callers' connections and serves their requests.
//!
//! [`crate::run`] starts and stops it.

use std::convert::Infallible;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::call;
use crate::shared::{Front, Phase};

/// Minimum size of the head buffer, in bytes, that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Pause after a connection could not be accepted.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(50);

/// Accepts connections until [`Phase::Closing`], then waits until the last one has ended.
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
                    log::warn!("cannot accept a connection: {error}");
                    // If the process is out of file descriptors, some connection has to end first.
                    tokio::time::sleep(ACCEPT_BACK_OFF).await;
                }
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits for [`Phase::Closing`].
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The sender lives as long as the node, so that waiting does not fail.
    let _ = phase.wait_for(|phase| matches!(phase, Phase::Closing { .. })).await;
}

async fn serve(front: Front, stream: TcpStream) {
    // Small responses must not wait for more data to fill a packet.
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
    // The library's time-out for a head also runs while a connection is idle, so it must not be
    // shorter than the idle time-out.
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

/// Logs the error that ended a connection, if any.
fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!("caller's connection failed: {error}");
    }
}
