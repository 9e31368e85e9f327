//! The pool of connections to upstreams, which the dispatcher owns.

use std::collections::VecDeque;

use base::prelude::*;
use hyper::client::conn::http1::SendRequest;
use policy::call::Reuse;
use slotmap::{SecondaryMap, SlotMap};

use crate::dispatch::{Handle, Message};
use crate::front::body::Outgoing;

/// Idle time below which a connection counts as recently used.
const RECENT_AGE: Span = Span::millis(500);
/// Idle time after which a connection is closed.
const MAX_IDLE_AGE: Span = Span::seconds(20);

/// A handle to a connection to an upstream, which serves one exchange at a time.
///
/// A task of the connection owns the socket and ends when the handle is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Key of the connection in the pool.
    pub key: key::Connection,
    /// Sends requests to the connection's task.
    pub sender: SendRequest<Outgoing>,
    /// The dispatcher, which counts open connections.
    pub dispatcher: Handle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Dropping `sender` ends the connection's task, so the connection is closed.
        self.dispatcher.post(Message::Closed(self.key));
    }
}

/// Open connections of one entry, and those that are idle.
#[derive(Debug, Default)]
pub struct Pool {
    connections: SlotMap<key::Connection, key::Upstream>,
    /// Idle connections of each upstream, longest idle first.
    idle: SecondaryMap<key::Upstream, VecDeque<Idle>>,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Moment,
}

impl Pool {
    /// Registers a new connection to an upstream and returns its key.
    pub fn register(&mut self, upstream: key::Upstream) -> key::Connection {
        self.connections.insert(upstream)
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, connection: key::Connection) {
        self.connections.remove(connection);
    }

    /// Takes the most recently used connection, if `reuse` permits its age.
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
            // The others have been idle for longer. They stay open for attempts with `Reuse::Any`.
            idle.push_back(newest);
            return None;
        }
        None
    }

    /// Puts a connection back after a complete exchange; drops it if its upstream was removed.
    pub fn put_back(&mut self, now: Moment, connection: Connection) {
        let upstream = self.connections.get(connection.key).copied();
        if let Some(idle) = upstream.and_then(|upstream| self.idle.entry(upstream)) {
            idle.or_default().push_back(Idle { connection, idle_since: now });
        }
    }

    /// Closes connections of an upstream that have been idle since `idle_before` or earlier.
    pub fn close_idle(&mut self, upstream: key::Upstream, idle_before: Moment) {
        let Some(idle) = self.idle.get_mut(upstream) else { return };
        while idle.front().is_some_and(|oldest| oldest.idle_since <= idle_before) {
            idle.pop_front();
        }
    }

    /// Closes connections that were idle for too long, and those of removed upstreams.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(key::Upstream) -> bool) {
        let upstreams: Vec<key::Upstream> = self.idle.keys().collect();
        for upstream in upstreams {
            // Every idle connection of a removed upstream is closed.
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
