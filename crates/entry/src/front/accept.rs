//! Accepts connections of callers and serves HTTP/1.1 and HTTP/2 on them.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::dispatch::Handle;
use crate::settings::Limits;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 128;
/// Streams that a caller may reset before the entry has responded, which bounds rapid resets.
const MAX_RESETS: usize = 32;

/// State that every connection of a caller shares.
#[derive(Clone, Debug)]
pub struct Front {
    /// The dispatcher.
    pub dispatcher: Handle,
    /// The clock.
    pub clock: Clock,
    /// Resource limits and time-outs.
    pub limits: Arc<Limits>,
    /// When the last calls have to end; `None` until the entry stops accepting connections.
    pub stop: watch::Receiver<Option<Instant>>,
}

impl Front {
    /// Returns whether a call that ends at `deadline` at the latest may last longer than the entry.
    pub(super) fn comes_too_late(&self, deadline: Instant) -> bool {
        self.stop.borrow().is_some_and(|last_calls_end| deadline > last_calls_end)
    }

    /// Waits until the last calls have to end, which they never have if the entry is not stopped.
    pub(super) async fn last_calls_end(&self) {
        let mut stop = self.stop.clone();
        let stopping = stop.wait_for(Option::is_some).await;
        match stopping.map(|last_calls_end| *last_calls_end) {
            Ok(Some(last_calls_end)) => tokio::time::sleep_until(last_calls_end).await,
            // The sender lives as long as the entry, so that waiting does not fail.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}

/// Accepts connections until a stop is requested, and returns once the last one has ended.
///
/// Connections finish their requests in progress and are then closed.
pub async fn accept(front: Front, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let mut stop = front.stop.clone();
    loop {
        let has_capacity = connections.len() < front.limits.caller_connections;
        tokio::select! {
            () = stop_requested(&mut stop) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept(), if has_capacity => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(front.clone(), stream));
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    // Usually the process is out of file descriptors. The pause lets connections
                    // end before the next attempt.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(front: Front, stream: TcpStream) {
    let mut stop = front.stop.clone();
    // Nagle's algorithm would delay small responses.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.respond(request).await) }
    });
    let builder = builder(&front.limits);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!("event=caller_connection_ended error=\"{error}\"");
                }
                return;
            }
            () = stop_requested(&mut stop), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until a stop is requested or the entry's handle is dropped.
async fn stop_requested(stop: &mut watch::Receiver<Option<Instant>>) {
    let _ = stop.wait_for(Option::is_some).await;
}

fn builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_pending_accept_reset_streams(MAX_RESETS)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.head_timeout * 2)
        .keep_alive_timeout(limits.head_timeout);
    builder
}
