//! A client over HTTP/1.1 with one connection, on which it makes one call at a time.
//!
//! The clients of the stores are built on [`Connection`]. Single calls to other servers, such as
//! entries and upstreams, are made with [`exchange`].

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::MAX_VALUE_BYTES;
use crate::error::{Error, Part};

/// A request with a complete body.
pub type Outgoing = Request<Full<Bytes>>;

/// Idle time of a connection after which TCP sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1_000);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// A client that keeps one connection open and makes one call at a time on it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    timeout: Duration,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Connection {
    /// Creates a client of the server at `address` that waits at most `timeout` for a response.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, sender: None }
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call, on a new connection if the last one is closed.
    ///
    /// `extra` extends the time-out by the time for which the server may hold its response back, as
    /// the store does for a watch.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives in time.
    pub async fn call(
        &mut self,
        request: Outgoing,
        extra: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let limit = self.timeout + extra;
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => {
                // Drops the connection, as a late response would be taken for the next call's.
                self.sender = None;
                let millis = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
                Err(Error::Timeout { millis })
            }
        }
    }

    async fn exchange(&mut self, request: Outgoing) -> Result<Response<Bytes>, Error> {
        let mut sender = match self.sender.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(self.address).await?,
        };
        let response = send(&mut sender, request).await?;
        self.sender = Some(sender);
        Ok(response)
    }
}

/// Makes a call on a connection of its own, with a limit on the size of the response.
///
/// # Errors
///
/// Returns an error if no complete response arrives in time.
pub async fn exchange(
    address: SocketAddr,
    request: Outgoing,
    timeout: Duration,
) -> Result<Response<Bytes>, Error> {
    Connection::new(address, timeout).call(request, Duration::ZERO).await
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Error> {
    let unreachable = |cause| Error::Unreachable { cause };
    let stream = TcpStream::connect(address).await.map_err(unreachable)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    let keepalive = keepalive.with_retries(KEEPALIVE_RETRIES);
    // Detects a lost peer while a watch waits, as no other data is sent then.
    SockRef::from(&stream).set_tcp_keepalive(&keepalive).map_err(unreachable)?;
    stream.set_nodelay(true).map_err(unreachable)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|cause| Error::Disconnected { cause })?;
    // This task owns the socket and ends when the connection closes.
    tokio::spawn(connection);
    Ok(sender)
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Outgoing,
) -> Result<Response<Bytes>, Error> {
    let disconnected = |cause| Error::Disconnected { cause };
    sender.ready().await.map_err(disconnected)?;
    let (head, body) = sender.send_request(request).await.map_err(disconnected)?.into_parts();
    let body = Limited::new(body, 2 * MAX_VALUE_BYTES).collect().await;
    let body = body.map_err(|_| Error::InvalidResponse { part: Part::Body })?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
