//! Serving HTTP/1.1 on a loopback address with a function for each request.

use std::future::Future;
use std::net::SocketAddr;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// An answer of a stand-in; `None` closes the connection without one.
pub type Reply = Option<Response<Full<Bytes>>>;

/// A stand-in that ends when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Starts serving on `address`.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub async fn serve<F, T>(address: SocketAddr, answer: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(listener, answer));
    Ok(Server { address, _tasks: tasks })
}

async fn accept<F, T>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            Ok((stream, _)) = listener.accept() => {
                let _ = stream.set_nodelay(true);
                let answer = answer.clone();
                connections.spawn(async move {
                    let service = service_fn(move |request| reply(answer.clone(), request));
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    // A connection that is cut on purpose ends with an error.
                    let _ = connection.await;
                });
            }
        }
    }
}

/// Makes hyper close the connection when there is no answer.
async fn reply<F, T>(
    answer: F,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error>
where
    F: Fn(Request<Incoming>) -> T,
    T: Future<Output = Reply> + 'static,
{
    answer(request).await.ok_or_else(|| std::io::ErrorKind::ConnectionAborted.into())
}
