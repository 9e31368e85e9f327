//! The nodes that serve callers, as one node sees them.
//!
//! Within a failure domain, every node exchanges heartbeats with every other one. Between domains
//! only the leaders do, as traffic between domains is expensive; each leader passes on to its own
//! domain what it receives. The engine updates the members from heartbeats and derives from
//! them whom to send to, who watches the store and who drives a trial.

use std::collections::BTreeMap;

use base::hash::{digest, mix};
use base::prelude::*;
use model::registry::Member;

/// Time without a heartbeat after which a node of the own domain counts as down.
pub const LOCAL_TIMEOUT: Span = Span::millis(2_200);
/// Time without a heartbeat after which another domain counts as unreachable.
pub const REMOTE_TIMEOUT: Span = Span::millis(3_000);
/// Number of domains whose leaders watch the store for all nodes.
const READER_DOMAINS: usize = 2;
/// Time between two announcements to a silent node.
const ANNOUNCE_INTERVAL: Span = Span::seconds(2);
/// Time between two attempts to reach an unreachable domain.
const DISCOVERY_INTERVAL: Span = Span::seconds(1);

record! {
    /// State of another node.
    pub struct Peer {
        /// Name, domain and addresses of the node.
        pub member: Member,
        /// Time of its last heartbeat.
        pub heard_at: Option<Moment>,
        /// Time when this node last announced itself to it, if no heartbeat came since.
        pub announced_at: Option<Moment>,
        /// Whether it has reported that it is shutting down.
        pub leaving: bool,
        /// Whether it has reported that it can serve requests.
        pub ready: bool,
        /// Identity of its process, zero if unknown; it changes with a restart.
        pub process: u64,
    }

    /// A live node, as the leader of its domain reports it.
    #[derive(Copy)]
    pub struct Node {
        /// Identity of the node.
        pub ident: u64,
        /// Whether it can serve requests.
        pub ready: bool,
    }

    /// State of a domain, as its leader reports it.
    pub struct Summary {
        /// Name of the domain.
        pub domain: String,
        /// Time since its leader sent the report.
        pub age: Span,
        /// Live nodes of the domain.
        pub live: Vec<Node>,
    }
}

/// State of another domain.
#[derive(Clone, Debug, Default)]
struct Domain {
    leader: Option<u64>,
    heard_at: Option<Moment>,
    live: Vec<Node>,
    tried_at: Option<Moment>,
    /// Attempts to reach the domain since its last report.
    tries: usize,
}

/// The nodes that a node knows, by identity.
#[derive(Clone, Debug)]
pub struct Members {
    /// Name, domain and addresses of this node.
    pub own: Member,
    own_ident: u64,
    peers: BTreeMap<u64, Peer>,
    remote: BTreeMap<String, Domain>,
}

impl Members {
    /// Creates the members of a node that knows only itself.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self { own_ident: own.ident(), own, peers: BTreeMap::new(), remote: BTreeMap::new() }
    }

    /// Returns the identity of this node.
    #[must_use]
    pub fn own_ident(&self) -> u64 {
        self.own_ident
    }

    /// Adds or updates a node; returns whether it is new or has changed, such as its address.
    pub fn learn(&mut self, member: &Member) -> bool {
        let ident = member.ident();
        if ident == self.own_ident {
            return false;
        }
        if member.domain != self.own.domain {
            self.remote.entry(member.domain.clone()).or_default();
        }
        if let Some(known) = self.peers.get_mut(&ident) {
            let changed = known.member != *member;
            if changed {
                known.member = member.clone();
                known.announced_at = None;
            }
            return changed;
        }
        let peer = Peer {
            member: member.clone(),
            heard_at: None,
            announced_at: None,
            leaving: false,
            ready: false,
            process: 0,
        };
        self.peers.insert(ident, peer);
        true
    }

    /// Returns another node, mutably.
    pub fn get_mut(&mut self, ident: u64) -> Option<&mut Peer> {
        self.peers.get_mut(&ident)
    }

    /// Returns another node.
    #[must_use]
    pub fn get(&self, ident: u64) -> Option<&Peer> {
        self.peers.get(&ident)
    }

    /// Returns whether another node is in this node's domain, if it is known.
    #[must_use]
    pub fn is_local(&self, ident: u64) -> Option<bool> {
        Some(self.peers.get(&ident)?.member.domain == self.own.domain)
    }

    /// Returns all other nodes.
    pub fn peers(&self) -> impl Iterator<Item = (u64, &Peer)> {
        self.peers.iter().map(|(ident, peer)| (*ident, peer))
    }

    /// Returns the number of known nodes, live or not, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the known nodes of a domain, live or not, including this one.
    pub fn known_in_domain(&self, domain: &str) -> impl Iterator<Item = u64> {
        let own = (self.own.domain == domain).then_some(self.own_ident);
        let peers = self.peers().filter(move |(_, peer)| peer.member.domain == domain);
        peers.map(|(ident, _)| ident).chain(own)
    }

    /// Returns the other live nodes of this domain.
    pub fn local_peers(&self, now: Moment) -> impl Iterator<Item = (u64, &Peer)> {
        let own = self.own.domain.as_str();
        self.peers().filter(move |(_, peer)| peer.member.domain == own && peer.is_live(now))
    }

    /// Returns the leader of this domain: the live node whose hashed identity is the smallest.
    #[must_use]
    pub fn leader(&self, now: Moment) -> u64 {
        let local = self.local_peers(now).map(|(ident, _)| ident);
        local.chain([self.own_ident]).min_by_key(|ident| mix(*ident)).unwrap_or(self.own_ident)
    }

    /// Returns whether this node is the leader of its domain.
    #[must_use]
    pub fn is_leader(&self, now: Moment) -> bool {
        self.leader(now) == self.own_ident
    }

    /// Returns the leaders of the other reachable domains.
    pub fn remote_leaders(&self, now: Moment) -> impl Iterator<Item = u64> {
        self.remote
            .values()
            .filter(move |domain| domain.is_reachable(now))
            .filter_map(|domain| domain.leader)
    }

    /// Returns the leader of a domain, if it is known.
    #[must_use]
    pub fn leader_of(&self, now: Moment, domain: &str) -> Option<u64> {
        if domain == self.own.domain {
            return Some(self.leader(now));
        }
        self.remote.get(domain)?.leader
    }

    /// Records a node as the leader of its domain, unless that is this node's own domain.
    pub fn record_leader(&mut self, ident: u64) {
        if let Some(peer) = self.peers.get(&ident)
            && let Some(domain) = self.remote.get_mut(&peer.member.domain)
        {
            domain.leader = Some(ident);
        }
    }

    /// Applies what the leader of another domain reports of that domain.
    pub fn apply_leader_report(&mut self, now: Moment, ident: u64, live: Vec<Node>) {
        self.record_leader(ident);
        if let Some(peer) = self.peers.get(&ident)
            && let Some(domain) = self.remote.get_mut(&peer.member.domain)
        {
            *domain =
                Domain { leader: Some(ident), heard_at: Some(now), live, ..Domain::default() };
        }
    }

    /// Applies what the leader of this domain passes on about another domain, if it is newer.
    pub fn apply_summary(&mut self, now: Moment, summary: &Summary) {
        if summary.domain == self.own.domain {
            return;
        }
        let domain = self.remote.entry(summary.domain.clone()).or_default();
        let heard_at = Some(now - summary.age);
        if heard_at > domain.heard_at {
            domain.heard_at = heard_at;
            domain.live.clone_from(&summary.live);
        }
    }

    /// Returns the summary of this node's domain.
    #[must_use]
    pub fn own_summary(&self, now: Moment, ready: bool, leaving: bool) -> Summary {
        let local = self.local_peers(now).map(|(ident, peer)| Node { ident, ready: peer.ready });
        let own = (!leaving).then_some(Node { ident: self.own_ident, ready });
        let live = local.chain(own).collect();
        Summary { domain: self.own.domain.clone(), age: Span::ZERO, live }
    }

    /// Returns the summaries of the other reachable domains.
    pub fn remote_summaries(&self, now: Moment) -> impl Iterator<Item = Summary> {
        let reachable = self.remote.iter().filter(move |(_, domain)| domain.is_reachable(now));
        reachable.filter_map(move |(name, domain)| {
            let age = now.since(domain.heard_at?);
            Some(Summary { domain: name.clone(), age, live: domain.live.clone() })
        })
    }

    /// Returns the live nodes of the other reachable domains.
    pub fn live_remote_nodes(&self, now: Moment) -> impl Iterator<Item = Node> {
        let reachable = self.remote.values().filter(move |domain| domain.is_reachable(now));
        reachable.flat_map(|domain| domain.live.iter().copied())
    }

    /// Returns the silent nodes of this domain to which an announcement is due, and records the
    /// announcements.
    pub fn announce_targets(&mut self, now: Moment) -> Vec<u64> {
        let own = self.own.domain.as_str();
        let mut targets = Vec::new();
        for (ident, peer) in &mut self.peers {
            let silent = peer.heard_at.is_none_or(|at| now.since(at) >= LOCAL_TIMEOUT);
            let due = peer.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL);
            if silent && due && peer.member.domain == own {
                peer.announced_at = Some(now);
                targets.push(*ident);
            }
        }
        targets
    }

    /// Returns one node of each unreachable domain, a different one at each attempt; the last known
    /// leader comes first.
    pub fn discovery_targets(&mut self, now: Moment) -> Vec<u64> {
        let mut targets = Vec::new();
        for (name, domain) in &mut self.remote {
            let due = domain.tried_at.is_none_or(|at| now.since(at) >= DISCOVERY_INTERVAL);
            if domain.is_reachable(now) || !due {
                continue;
            }
            let nodes = self.peers.iter().filter(|(_, peer)| peer.member.domain == *name);
            let mut nodes: Vec<u64> = nodes.map(|(ident, _)| *ident).collect();
            nodes.sort_by_key(|ident| mix(*ident));
            domain.tried_at = Some(now);
            let leader = domain.leader.filter(|_| domain.tries == 0);
            targets
                .extend(leader.or_else(|| nodes.get(domain.tries % nodes.len().max(1)).copied()));
            domain.tries += 1;
        }
        targets
    }

    /// Returns the reachable domains, including this one, in an order that depends on `ident` only,
    /// so that nodes agree on it without messages.
    fn ranked_domains(&self, now: Moment, ident: u64) -> Vec<&str> {
        let reachable = self.remote.iter().filter(|(_, domain)| domain.is_reachable(now));
        let reachable = reachable.map(|(name, _)| name.as_str());
        let mut ranked: Vec<&str> = reachable.chain([self.own.domain.as_str()]).collect();
        ranked.sort_by_key(|domain| mix(ident ^ digest(&[domain.as_bytes()])));
        ranked
    }

    /// Returns whether this node is one of the leaders that watch the store for all nodes.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        let ranked = self.ranked_domains(now, digest(&[b"reader"]));
        let own = self.own.domain.as_str();
        self.is_leader(now) && ranked.iter().take(READER_DOMAINS).any(|domain| *domain == own)
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

impl Peer {
    /// Returns whether a heartbeat came within the time-out and the node is not shutting down.
    #[must_use]
    pub fn is_live(&self, now: Moment) -> bool {
        !self.leaving && self.heard_at.is_some_and(|at| now.since(at) < LOCAL_TIMEOUT)
    }
}

impl Domain {
    /// Returns whether a report of the domain came within the time-out.
    fn is_reachable(&self, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < REMOTE_TIMEOUT)
    }
}
