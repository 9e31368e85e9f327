//! Accepting callers' connections.

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

use crate::clock::Clock;
use crate::settings::Limits;
use crate::steer::Way;

/// Headers of one request at the most.
const MOST_HEADERS: usize = 100;
/// Streams of one HTTP/2 connection at the most.
const MOST_STREAMS: u32 = 128;
/// Streams that a caller may have reset before the entry has answered them.
const MOST_RESETS: usize = 32;

/// What every connection of callers needs.
#[derive(Clone, Debug)]
pub struct Front {
    /// The decisions.
    pub steer: Way,
    /// The clock.
    pub clock: Clock,
    /// Bounds.
    pub limits: Arc<Limits>,
}

/// Accepts connections until told to stop, then lets those in progress end.
///
/// The whole returns once the last connection has ended.
pub async fn accept(front: Front, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    let stopping = stop.clone();
    loop {
        let room = connections.len() < front.limits.caller_connections;
        tokio::select! {
            () = told(&mut stop) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept(), if room => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(front.clone(), stream, stopping.clone()));
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    // Out of descriptors: wait for connections to end instead of trying at once.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(front: Front, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    // Small answers must not wait for more data.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.answer(request).await) }
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
            () = told(&mut stop), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until the entry is told to stop, or its handle is gone.
async fn told(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

fn builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(MOST_HEADERS)
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MOST_STREAMS)
        .max_pending_accept_reset_streams(MOST_RESETS)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.head_timeout * 2)
        .keep_alive_timeout(limits.head_timeout);
    builder
}
