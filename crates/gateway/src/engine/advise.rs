//! Which nodes callers should use.

use std::net::SocketAddr;

use base::prelude::*;

use super::Engine;

/// Nodes of the caller's failure domain from which on no others are named.
const ENOUGH: usize = 2;
/// Nodes named at the most.
const MOST: usize = 64;
/// Time for which an answer may be kept: a node that leaves serves that long.
const KEPT: Span = Span::seconds(2);

record! {
    /// Nodes that a caller may use.
    pub struct Advice {
        /// Where they take connections of callers.
        pub addresses: Vec<SocketAddr>,
        /// Time for which to keep the answer.
        pub time: Span,
    }
}

impl Engine {
    /// Returns the nodes that a caller in a failure domain should use.
    #[must_use]
    pub fn advise(&self, now: Moment, domain: Option<&str>) -> Advice {
        let own = &self.members.own;
        let near = self.members.local_peers(now).filter(|(_, peer)| peer.ready);
        let away = self.members.live_remote_nodes(now).filter(|live| live.ready);
        let away = away.filter_map(|live| self.members.get(live.ident));
        let members = near.map(|(_, peer)| peer).chain(away).map(|peer| &peer.member);
        let mut all: Vec<(&str, SocketAddr)> =
            members.map(|member| (member.domain.as_str(), member.caller)).collect();
        if !self.leaving && (self.is_ready() || all.is_empty()) {
            all.push((own.domain.as_str(), own.caller));
        }
        // A request that enters a withdrawn domain has to leave it again.
        if all.iter().any(|one| !self.is_withdrawn(one.0)) {
            all.retain(|one| !self.is_withdrawn(one.0));
        }
        let is_near = |one: &&(&str, SocketAddr)| Some(one.0) == domain;
        let near: Vec<SocketAddr> = all.iter().filter(is_near).map(|one| one.1).collect();
        let mut addresses =
            if near.len() >= ENOUGH { near } else { all.iter().map(|one| one.1).collect() };
        addresses.truncate(MOST);
        Advice { addresses, time: KEPT.min(self.terms.advice_time) }
    }

    fn is_withdrawn(&self, domain: &str) -> bool {
        let known = self.domain_names.get(domain);
        known.is_some_and(|key| self.domains[*key].withdrawn)
    }
}
