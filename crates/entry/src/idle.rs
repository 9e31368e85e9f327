//! Idle connections to upstreams.

use std::collections::VecDeque;

use base::prelude::*;
use hyper::client::conn::http1::SendRequest;
use slotmap::{SecondaryMap, SlotMap};

use crate::front::body::Outgoing;

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

    /// Takes the connection that was used last; with `proven`, only a recently proven one.
    pub fn take(&mut self, now: Moment, upstream: key::Upstream, proven: bool) -> Option<Link> {
        let free = self.free.get_mut(upstream)?;
        let bound = if proven { PROVEN } else { STALE };
        while let Some(newest) = free.pop_back() {
            if newest.link.sender.is_closed() {
                self.connections.remove(newest.link.key);
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
        let Some(upstream) = self.connections.get(link.key).copied() else { return };
        if let Some(free) = self.free.entry(upstream) {
            free.or_default().push_back(Free { link, since: now });
        }
    }

    /// Closes connections of an upstream that have waited since before `moment`.
    pub fn retire(&mut self, upstream: key::Upstream, moment: Moment) {
        let Some(free) = self.free.get_mut(upstream) else { return };
        while free.front().is_some_and(|oldest| oldest.since <= moment) {
            if let Some(oldest) = free.pop_front() {
                self.connections.remove(oldest.link.key);
            }
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
