//! Selection of the nodes that callers should connect to.
//!
//! The dispatcher calls [`Engine::advise`] when a caller resolves the gateway's addresses.

use std::net::SocketAddr;

use base::prelude::*;

use super::Engine;

/// Number of nodes in the caller's failure domain from which on no remote ones are listed.
const MIN_LOCAL_NODES: usize = 2;
/// Maximum number of addresses in one response.
const MAX_NODES: usize = 64;
/// Longest time to live of a response: a node that shuts down keeps serving that long.
const MAX_TTL: Span = Span::seconds(2);

record! {
    /// Addresses that a caller may connect to.
    pub struct Advice {
        /// Addresses on which the nodes accept callers' connections.
        pub addresses: Vec<SocketAddr>,
        /// Time for which the caller may cache the addresses.
        pub ttl: Span,
    }
}

impl Engine {
    /// Returns the nodes that a caller in a failure domain should use.
    #[must_use]
    pub fn advise(&self, now: Moment, domain: Option<&str>) -> Advice {
        let own = &self.members.own;
        let peers = self.members.local_peers().chain(self.members.remote_peers(now));
        let members = peers.filter(|(_, peer)| peer.is_ready()).map(|(_, peer)| &peer.member);
        let mut nodes: Vec<(&str, SocketAddr)> =
            members.map(|member| (member.domain.as_str(), member.caller)).collect();
        if !self.leaving && (self.is_ready() || nodes.is_empty()) {
            nodes.push((own.domain.as_str(), own.caller));
        }
        // A request that enters through a withdrawn domain would have to leave it again.
        if nodes.iter().any(|node| !self.is_withdrawn(node.0)) {
            nodes.retain(|node| !self.is_withdrawn(node.0));
        }
        let is_local = |node: &&(&str, SocketAddr)| Some(node.0) == domain;
        let local: Vec<SocketAddr> = nodes.iter().filter(is_local).map(|node| node.1).collect();
        let mut addresses = if local.len() >= MIN_LOCAL_NODES {
            local
        } else {
            nodes.iter().map(|node| node.1).collect()
        };
        addresses.truncate(MAX_NODES);
        Advice { addresses, ttl: MAX_TTL.min(self.terms.advice_time) }
    }

    fn is_withdrawn(&self, domain: &str) -> bool {
        let known = self.domain_names.get(domain);
        known.is_some_and(|key| self.domains[*key].withdrawn)
    }
}
