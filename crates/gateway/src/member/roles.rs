//! What nodes derive from their entries without messages: who leads a domain, who watches the store
//! and who drives a trial, and which nodes to contact anew.

use base::hash::{digest, mix};
use base::prelude::*;

use super::Members;
use crate::peer::State;

/// Time between two attempts to reach nodes that are down.
const ANNOUNCE_INTERVAL: Span = Span::seconds(2);
/// Time between two attempts to reach an unreachable domain.
const DISCOVERY_INTERVAL: Span = Span::seconds(1);

impl Members {
    /// Returns the number of live nodes of this domain that precede this one in the order in which
    /// they become leaders.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.derived.rank
    }

    /// Returns the leader of this domain: the live node whose hashed identity is the smallest.
    #[must_use]
    pub fn leader(&self) -> u64 {
        self.derived.leaders.get(&self.own.domain).copied().unwrap_or(self.own_ident)
    }

    /// Returns whether this node is the leader of its domain.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leader() == self.own_ident
    }

    /// Returns the leaders of the other reachable domains.
    pub fn remote_leaders(&self, now: Moment) -> impl Iterator<Item = u64> {
        let reachable = self.domains.iter().filter(move |(_, domain)| domain.is_reachable(now));
        reachable.filter_map(|(name, _)| self.derived.leaders.get(name).copied())
    }

    /// Returns the leader of a domain, if it is known.
    #[must_use]
    pub fn leader_of(&self, domain: &str) -> Option<u64> {
        self.derived.leaders.get(domain).copied()
    }

    /// Returns the first live nodes of each other domain in the order in which they become leaders.
    #[must_use]
    pub fn leader_candidates(&self, count: usize) -> Vec<u64> {
        let mut candidates = Vec::new();
        for domain in self.domains.keys() {
            let live =
                self.peers().filter(|(_, peer)| peer.member.domain == *domain && peer.is_live());
            let mut live: Vec<u64> = live.map(|(ident, _)| ident).collect();
            live.sort_unstable_by_key(|ident| mix(*ident));
            candidates.extend(live.into_iter().take(count));
        }
        candidates
    }

    /// Returns the nodes of this domain that are down, if an attempt to reach some of them is due.
    pub fn announce_targets(&mut self, now: Moment) -> Vec<u64> {
        if now.since(self.announced_at) < ANNOUNCE_INTERVAL {
            return Vec::new();
        }
        self.announced_at = now;
        let own = self.own.domain.as_str();
        let down = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.member.domain == own && peer.state == State::Down);
        down.map(|(ident, _)| *ident).collect()
    }

    /// Returns one node of each unreachable domain, a different one at each attempt; its leader
    /// comes first.
    pub fn discovery_targets(&mut self, now: Moment) -> Vec<u64> {
        let mut targets = Vec::new();
        for (name, domain) in &mut self.domains {
            let due = domain.tried_at.is_none_or(|at| now.since(at) >= DISCOVERY_INTERVAL);
            if domain.is_reachable(now) || !due {
                continue;
            }
            let nodes = self.peers.iter().filter(|(_, peer)| peer.member.domain == *name);
            let mut nodes: Vec<u64> = nodes.map(|(ident, _)| *ident).collect();
            nodes.sort_by_key(|ident| mix(*ident));
            domain.tried_at = Some(now);
            let leader = self.derived.leaders.get(name).copied().filter(|_| domain.tries == 0);
            targets
                .extend(leader.or_else(|| nodes.get(domain.tries % nodes.len().max(1)).copied()));
            domain.tries += 1;
        }
        targets
    }

    /// Returns the reachable domains, including this one, in an order that depends on `ident` only,
    /// so that nodes agree on it without messages.
    fn ranked_domains(&self, now: Moment, ident: u64) -> Vec<&str> {
        let reachable = self.domains.iter().filter(|(_, domain)| domain.is_reachable(now));
        let reachable = reachable.map(|(name, _)| name.as_str());
        let mut ranked: Vec<&str> = reachable.chain([self.own.domain.as_str()]).collect();
        ranked.sort_by_key(|domain| mix(ident ^ digest(&[domain.as_bytes()])));
        ranked
    }

    /// Returns the rank of this node among the leaders that may watch the store for all nodes, or
    /// `None` if it is no leader. The first one does, and the second one is its backup.
    #[must_use]
    pub fn reader_rank(&self, now: Moment) -> Option<usize> {
        let ranked = self.ranked_domains(now, digest(&[b"reader"]));
        let own = self.own.domain.as_str();
        ranked.iter().position(|domain| *domain == own).filter(|_| self.is_leader())
    }

    /// Returns whether no other domain is reachable.
    #[must_use]
    pub fn is_only_domain(&self, now: Moment) -> bool {
        !self.domains.values().any(|domain| domain.is_reachable(now))
    }

    /// Returns the domain whose leader drives the trial with the given identity.
    #[must_use]
    pub fn driver_domain(&self, now: Moment, ident: u64) -> &str {
        self.ranked_domains(now, ident).first().copied().unwrap_or(&self.own.domain)
    }

    /// Returns the rank of this domain among the candidates to drive the trial with the given
    /// identity; the driver has rank zero.
    #[must_use]
    pub fn driver_rank(&self, now: Moment, ident: u64) -> usize {
        let own = self.own.domain.as_str();
        self.ranked_domains(now, ident).iter().position(|domain| *domain == own).unwrap_or(0)
    }
}
