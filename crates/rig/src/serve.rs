//! HTTP/1.1 server of the simulated store and upstreams, which calls a handler for each request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Response of a handler. `None` closes the connection without a response.
pub type Reply = Option<Response<Payload>>;

/// Body of a response, which may be shorter than the length that it declares.
#[derive(Debug, Default)]
pub struct Payload {
    bytes: Option<Bytes>,
    /// Bytes that the declared length has more than the body.
    missing: u64,
}

impl Payload {
    /// Creates a complete body.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self { bytes: Some(bytes.into()), missing: 0 }
    }

    /// Creates a body that ends `missing` bytes before its declared length.
    pub fn truncated(bytes: impl Into<Bytes>, missing: u64) -> Self {
        Self { bytes: Some(bytes.into()), missing }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.bytes.take() {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None if self.missing > 0 => {
                self.missing = 0;
                Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionAborted.into())))
            }
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && self.missing == 0
    }

    fn size_hint(&self) -> SizeHint {
        let remaining = self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
        SizeHint::with_exact(remaining + self.missing)
    }
}

/// Number of the connection that a request arrived on. The first connection of a server has 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A running server, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Starts a server on `address`.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound.
pub async fn serve<F, T>(address: SocketAddr, handler: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(listener, handler));
    Ok(Server { address, _tasks: tasks })
}

async fn accept<F, T>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut count = 0;
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            Ok((stream, _)) = listener.accept() => {
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                count += 1;
                let id = ConnectionId(count);
                connections.spawn(async move {
                    let service = service_fn(move |mut request: Request<Incoming>| {
                        request.extensions_mut().insert(id);
                        respond(handler.clone(), request)
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    // A connection that the handler closes without a response ends with an error.
                    let _ = connection.await;
                });
            }
        }
    }
}

/// Turns a missing response into an error, which makes hyper close the connection.
async fn respond<F, T>(
    handler: F,
    request: Request<Incoming>,
) -> Result<Response<Payload>, std::io::Error>
where
    F: Fn(Request<Incoming>) -> T,
    T: Future<Output = Reply> + 'static,
{
    handler(request).await.ok_or_else(|| std::io::ErrorKind::ConnectionAborted.into())
}
