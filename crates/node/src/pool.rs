//! Connections to upstreams, and those of them that are idle.

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

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of a connection whose upstream states none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::seconds(4);
/// Longest idle time, whatever an upstream states.
const MAX_IDLE_TIMEOUT: Span = Span::seconds(8);
/// Part of the stated time for which a connection is used.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 6;

/// A connection that cannot be opened.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The system reports an error.
    #[display("{_0}")]
    System(std::io::Error),
    /// No answer came in time.
    #[display("no connection in time")]
    #[from(skip)]
    TimedOut,
    /// The connection failed at once.
    #[display("{_0}")]
    Http(hyper::Error),
}

/// A connection to an upstream that is free for one exchange.
///
/// The socket belongs to the connection's task; this is the way to it.
#[derive(Debug)]
pub struct Connection {
    /// The way to the connection's task.
    pub sender: SendRequest<Full<Bytes>>,
    /// Time for which the connection may be idle.
    pub idle_timeout: Span,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if none can be opened in time.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Fault::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        // The connection's task owns the socket and ends with the way to it.
        tokio::spawn(driver);
        Ok(Self { sender, idle_timeout: DEFAULT_IDLE_TIMEOUT })
    }

    /// Takes in what an answer says of how long the connection may be idle.
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

/// A connection that waits.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Moment,
}

impl Pool {
    /// Takes the connection that was used last.
    pub fn take(&mut self, now: Moment, upstream: key::Upstream) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(newest) = idle.pop_back() {
            if now < newest.expires_at && newest.connection.sender.is_ready() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Takes back a connection after a whole exchange; at most `most` stay.
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

    /// Closes connections that have waited too long.
    pub fn remove_expired(&mut self, now: Moment) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle_connection| {
                now < idle_connection.expires_at && !idle_connection.connection.sender.is_closed()
            });
        }
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }

    /// Tells whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
