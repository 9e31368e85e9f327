//! Idle connections to upstreams.

use std::collections::VecDeque;

use base::prelude::*;
use hyper::client::conn::http1::SendRequest;
use policy::call::Reuse;
use slotmap::{SecondaryMap, SlotMap};

use crate::front::body::Outgoing;
use crate::steer::{Message, Way};

/// Age up to which an idle connection counts as recently proven.
const PROVEN: Span = Span::millis(500);
/// Age at which an idle connection is closed.
const STALE: Span = Span::seconds(20);

/// A connection to an upstream that is free for one exchange.
///
/// The socket belongs to the connection's task; this is the way to it.
#[derive(Debug)]
pub struct Link {
    /// Identity within this process.
    pub key: key::Connection,
    /// The way to the connection's task.
    pub sender: SendRequest<Outgoing>,
    /// The way to the task that counts connections.
    pub steer: Way,
}

impl Drop for Link {
    fn drop(&mut self) {
        // The connection's task ends with the way to it.
        self.steer.post(Message::Closed(self.key));
    }
}

/// Idle connections of one entry.
#[derive(Debug, Default)]
pub struct Idle {
    connections: SlotMap<key::Connection, key::Upstream>,
    free: SecondaryMap<key::Upstream, VecDeque<Free>>,
}

/// A connection that waits.
#[derive(Debug)]
struct Free {
    link: Link,
    since: Moment,
}

impl Idle {
    /// Registers a connection that was opened.
    pub fn open(&mut self, upstream: key::Upstream) -> key::Connection {
        self.connections.insert(upstream)
    }

    /// Forgets a connection that was closed.
    pub fn close(&mut self, connection: key::Connection) {
        self.connections.remove(connection);
    }

    /// Takes the connection that was used last, if it may be used.
    pub fn take(&mut self, now: Moment, upstream: key::Upstream, reuse: Reuse) -> Option<Link> {
        let free = self.free.get_mut(upstream)?;
        let bound = match reuse {
            Reuse::Any => STALE,
            Reuse::Recent => PROVEN,
            Reuse::None => return None,
        };
        while let Some(newest) = free.pop_back() {
            if newest.link.sender.is_closed() {
                continue;
            }
            if now.since(newest.since) < bound {
                return Some(newest.link);
            }
            // The others are older still; keep them for requests that need no proof.
            free.push_back(newest);
            return None;
        }
        None
    }

    /// Takes back a connection after a whole exchange.
    pub fn put(&mut self, now: Moment, link: Link) {
        let upstream = self.connections.get(link.key).copied();
        if let Some(free) = upstream.and_then(|upstream| self.free.entry(upstream)) {
            free.or_default().push_back(Free { link, since: now });
        }
    }

    /// Closes connections of an upstream that have waited since before `moment`.
    pub fn retire(&mut self, upstream: key::Upstream, moment: Moment) {
        let Some(free) = self.free.get_mut(upstream) else { return };
        while free.front().is_some_and(|oldest| oldest.since <= moment) {
            free.pop_front();
        }
    }

    /// Closes connections that waited too long and those of upstreams that are gone.
    pub fn sweep(&mut self, now: Moment, known: impl Fn(key::Upstream) -> bool) {
        let upstreams: Vec<key::Upstream> = self.free.keys().collect();
        for upstream in upstreams {
            let bound = if known(upstream) { now - STALE } else { now };
            self.retire(upstream, bound);
        }
        self.connections.retain(|_, upstream| known(*upstream));
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
