//! Connections to upstreams, and the pool of idle ones.
//!
//! The dispatcher owns the pool; exchanges and probes own a connection while they use it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use slotmap::SecondaryMap;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::meter::{Allowance, Metered};

/// Time-out for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time-out of a connection whose upstream states none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::seconds(4);
/// Longest idle time-out, whatever an upstream states.
const MAX_IDLE_TIMEOUT: Span = Span::seconds(8);
/// Share of the stated time-out after which a connection is no longer used.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Maximum number of idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 6;

/// Size of the read buffer, in bytes, which also limits the head of a response.
const MAX_BUFFER_BYTES: usize = 65_536;

/// Reason why a connection cannot be opened.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The operating system reported an error.
    #[display("{_0}")]
    System(std::io::Error),
    /// The connection was not established within the time-out.
    #[display("connection attempt timed out")]
    #[from(skip)]
    TimedOut,
    /// The HTTP handshake failed.
    #[display("{_0}")]
    Http(hyper::Error),
}

/// A connection to an upstream that can be used for one exchange at a time.
///
/// A task of its own owns the socket; this type holds the sender to that task.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests to the task that owns the socket.
    pub sender: SendRequest<Full<Bytes>>,
    /// Bytes that may be read from the socket for the present response.
    pub allowance: Allowance,
    /// Time for which the connection may be idle.
    pub idle_timeout: Span,
}

impl Connection {
    /// Opens a connection to an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened within the time-out.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Fault::TimedOut)??;
        stream.set_nodelay(true)?;
        let (stream, allowance) = Metered::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
        // The task owns the socket and ends when the sender is dropped.
        tokio::spawn(driver);
        Ok(Self { sender, allowance, idle_timeout: DEFAULT_IDLE_TIMEOUT })
    }

    /// Updates the idle time-out from the `Keep-Alive` header of a response.
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let stated =
            entry::header::text(headers, &hyper::header::HeaderName::from_static("keep-alive"));
        let timeout = stated.and_then(|text| {
            text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?.parse().ok()
        });
        if let Some(seconds) = timeout {
            self.idle_timeout =
                Span::seconds(seconds).scale(IDLE_TIMEOUT_SHARE).min(MAX_IDLE_TIMEOUT);
        }
    }
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: SecondaryMap<key::Upstream, VecDeque<IdleConnection>>,
}

/// A connection in the pool and the time until which it may be used.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Moment,
}

impl Pool {
    /// Removes and returns the most recently used connection that is still usable.
    pub fn take(&mut self, now: Moment, upstream: key::Upstream) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(newest) = idle.pop_back() {
            if now < newest.expires_at && newest.connection.sender.is_ready() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Adds a connection after a complete exchange and keeps at most `max` of the upstream.
    ///
    /// The least recently used connection is closed if there are more.
    pub fn put(
        &mut self,
        now: Moment,
        upstream: key::Upstream,
        connection: Connection,
        max: usize,
    ) {
        let Some(idle) = self.idle.entry(upstream) else { return };
        let idle = idle.or_default();
        let expires_at = now + connection.idle_timeout;
        idle.push_back(IdleConnection { connection, expires_at });
        if idle.len() > max.min(MAX_IDLE_PER_UPSTREAM) {
            idle.pop_front();
        }
    }

    /// Closes the idle connections of an upstream.
    pub fn close(&mut self, upstream: key::Upstream) {
        self.idle.remove(upstream);
    }

    /// Closes connections that have expired or that the upstream has closed.
    pub fn remove_expired(&mut self, now: Moment) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle_connection| {
                now < idle_connection.expires_at && !idle_connection.connection.sender.is_closed()
            });
        }
    }

    /// Returns the number of idle connections to all upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }

    /// Returns whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
