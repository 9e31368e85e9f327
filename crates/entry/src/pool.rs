//! Idle connections to upstreams.

use std::collections::VecDeque;

use base::prelude::*;
use hyper::client::conn::http1::SendRequest;
use policy::call::Reuse;
use slotmap::{SecondaryMap, SlotMap};

use crate::dispatch::{Handle, Message};
use crate::front::body::Outgoing;

/// Age up to which an idle connection counts as recently proven.
const RECENT_AGE: Span = Span::millis(500);
/// Age at which an idle connection is closed.
const MAX_IDLE_AGE: Span = Span::seconds(20);

/// A connection to an upstream that is idle for one exchange.
///
/// The socket belongs to the connection's task; this is the way to it.
#[derive(Debug)]
pub struct Connection {
    /// Identity within this process.
    pub key: key::Connection,
    /// The way to the connection's task.
    pub sender: SendRequest<Outgoing>,
    /// The way to the task that counts connections.
    pub dispatcher: Handle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The connection's task ends with the way to it.
        self.dispatcher.post(Message::Closed(self.key));
    }
}

/// Idle connections of one entry.
#[derive(Debug, Default)]
pub struct Pool {
    connections: SlotMap<key::Connection, key::Upstream>,
    idle: SecondaryMap<key::Upstream, VecDeque<Idle>>,
}

/// A connection that waits.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Moment,
}

impl Pool {
    /// Registers a connection that was opened.
    pub fn register(&mut self, upstream: key::Upstream) -> key::Connection {
        self.connections.insert(upstream)
    }

    /// Forgets a connection that was closed.
    pub fn remove(&mut self, connection: key::Connection) {
        self.connections.remove(connection);
    }

    /// Takes the connection that was used last, if it may be used.
    pub fn take(
        &mut self,
        now: Moment,
        upstream: key::Upstream,
        reuse: Reuse,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        let max_age = match reuse {
            Reuse::Any => MAX_IDLE_AGE,
            Reuse::Recent => RECENT_AGE,
            Reuse::None => return None,
        };
        while let Some(newest) = idle.pop_back() {
            if newest.connection.sender.is_closed() {
                continue;
            }
            if now.since(newest.idle_since) < max_age {
                return Some(newest.connection);
            }
            // The others are older still; keep them for requests that need no proof.
            idle.push_back(newest);
            return None;
        }
        None
    }

    /// Takes back a connection after a whole exchange.
    pub fn put_back(&mut self, now: Moment, connection: Connection) {
        let upstream = self.connections.get(connection.key).copied();
        if let Some(idle) = upstream.and_then(|upstream| self.idle.entry(upstream)) {
            idle.or_default().push_back(Idle { connection, idle_since: now });
        }
    }

    /// Closes connections of an upstream that have waited since before `moment`.
    pub fn close_idle(&mut self, upstream: key::Upstream, idle_before: Moment) {
        let Some(idle) = self.idle.get_mut(upstream) else { return };
        while idle.front().is_some_and(|oldest| oldest.idle_since <= idle_before) {
            idle.pop_front();
        }
    }

    /// Closes connections that waited too long and those of upstreams that are gone.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(key::Upstream) -> bool) {
        let upstreams: Vec<key::Upstream> = self.idle.keys().collect();
        for upstream in upstreams {
            let oldest_allowed = if is_known(upstream) { now - MAX_IDLE_AGE } else { now };
            self.close_idle(upstream, oldest_allowed);
        }
        self.connections.retain(|_, upstream| is_known(*upstream));
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }
}
