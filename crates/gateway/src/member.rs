//! The nodes that serve callers, as one of them hears of them.
//!
//! Within a failure domain every node hears every other one. Between domains only their leads
//! talk, as bytes between domains are dear; each lead tells its own domain what it hears.

use std::collections::BTreeMap;

use base::hash::{digest, mix};
use base::prelude::*;
use model::registry::Member;

/// Silence after which a node of the own domain counts as gone.
pub const LOCAL_TIMEOUT: Span = Span::millis(2_200);
/// Silence after which another domain counts as out of reach.
pub const REMOTE_TIMEOUT: Span = Span::millis(3_000);
/// Domains whose leads watch the store for all.
const READER_DOMAINS: usize = 2;
/// Time between two greetings to a node that is silent.
const ANNOUNCE_INTERVAL: Span = Span::seconds(2);
/// Time between two tries to find the lead of a domain.
const DISCOVERY_INTERVAL: Span = Span::seconds(1);

record! {
    /// What is known of another node.
    pub struct Peer {
        /// The node.
        pub member: Member,
        /// When it was last heard.
        pub heard_at: Option<Moment>,
        /// When it was last greeted without having been heard since.
        pub announced_at: Option<Moment>,
        /// Whether it said that it leaves.
        pub leaving: bool,
        /// Whether it said that it can serve.
        pub ready: bool,
        /// Identity of its process.
        pub process: u64,
    }

    /// A node that is live in its domain.
    #[derive(Copy)]
    pub struct Node {
        /// Its identity.
        pub ident: u64,
        /// Whether it can serve.
        pub ready: bool,
    }

    /// What a lead tells of a domain.
    pub struct Summary {
        /// Name of the domain.
        pub domain: String,
        /// Time since its lead told this.
        pub age: Span,
        /// Its live nodes.
        pub live: Vec<Node>,
    }
}

/// What is known of another domain.
#[derive(Clone, Debug, Default)]
struct Domain {
    leader: Option<u64>,
    heard_at: Option<Moment>,
    live: Vec<Node>,
    tried_at: Option<Moment>,
    tries: usize,
}

/// The nodes that a node knows of, by identity.
#[derive(Clone, Debug)]
pub struct Members {
    /// This node.
    pub own: Member,
    own_ident: u64,
    peers: BTreeMap<u64, Peer>,
    remote: BTreeMap<String, Domain>,
}

impl Members {
    /// Makes the members of a node that knows only itself.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self { own_ident: own.ident(), own, peers: BTreeMap::new(), remote: BTreeMap::new() }
    }

    /// Returns this node's identity.
    #[must_use]
    pub fn own_ident(&self) -> u64 {
        self.own_ident
    }

    /// Learns of a node; returns whether it, or its address, is new.
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

    /// Returns a node to change what is known of it.
    pub fn get_mut(&mut self, ident: u64) -> Option<&mut Peer> {
        self.peers.get_mut(&ident)
    }

    /// Returns a node.
    #[must_use]
    pub fn get(&self, ident: u64) -> Option<&Peer> {
        self.peers.get(&ident)
    }

    /// Tells whether a node is of this domain, if it is known.
    #[must_use]
    pub fn is_local(&self, ident: u64) -> Option<bool> {
        Some(self.peers.get(&ident)?.member.domain == self.own.domain)
    }

    /// Returns every other node.
    pub fn peers(&self) -> impl Iterator<Item = (u64, &Peer)> {
        self.peers.iter().map(|(ident, peer)| (*ident, peer))
    }

    /// Returns the number of nodes known, heard or not, with this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the nodes of a domain that are known, heard or not.
    pub fn known_in_domain(&self, domain: &str) -> impl Iterator<Item = u64> {
        let own = (self.own.domain == domain).then_some(self.own_ident);
        let peers = self.peers().filter(move |(_, peer)| peer.member.domain == domain);
        peers.map(|(ident, _)| ident).chain(own)
    }

    /// Returns the other nodes of this domain that were heard lately and do not leave.
    pub fn local_peers(&self, now: Moment) -> impl Iterator<Item = (u64, &Peer)> {
        let own = self.own.domain.as_str();
        self.peers().filter(move |(_, peer)| peer.member.domain == own && peer.is_live(now))
    }

    /// Returns the lead of this domain.
    #[must_use]
    pub fn leader(&self, now: Moment) -> u64 {
        let local = self.local_peers(now).map(|(ident, _)| ident);
        local.chain([self.own_ident]).min_by_key(|ident| mix(*ident)).unwrap_or(self.own_ident)
    }

    /// Tells whether this node is the lead of its domain.
    #[must_use]
    pub fn is_leader(&self, now: Moment) -> bool {
        self.leader(now) == self.own_ident
    }

    /// Returns the leads of the other domains that were heard lately.
    pub fn remote_leaders(&self, now: Moment) -> impl Iterator<Item = u64> {
        self.remote
            .values()
            .filter(move |domain| domain.is_reachable(now))
            .filter_map(|domain| domain.leader)
    }

    /// Returns the lead of a domain, if it is known.
    #[must_use]
    pub fn leader_of(&self, now: Moment, domain: &str) -> Option<u64> {
        if domain == self.own.domain {
            return Some(self.leader(now));
        }
        self.remote.get(domain)?.leader
    }

    /// Notes which node leads another domain.
    pub fn record_leader(&mut self, ident: u64) {
        if let Some(peer) = self.peers.get(&ident)
            && let Some(domain) = self.remote.get_mut(&peer.member.domain)
        {
            domain.leader = Some(ident);
        }
    }

    /// Takes in what a lead tells of its own domain.
    pub fn apply_leader_report(&mut self, now: Moment, ident: u64, live: Vec<Node>) {
        self.record_leader(ident);
        if let Some(peer) = self.peers.get(&ident)
            && let Some(domain) = self.remote.get_mut(&peer.member.domain)
        {
            *domain =
                Domain { leader: Some(ident), heard_at: Some(now), live, ..Domain::default() };
        }
    }

    /// Takes in what the lead of this domain tells of another one.
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

    /// Returns what this node can tell of its own domain.
    #[must_use]
    pub fn own_summary(&self, now: Moment, ready: bool, leaving: bool) -> Summary {
        let local = self.local_peers(now).map(|(ident, peer)| Node { ident, ready: peer.ready });
        let own = (!leaving).then_some(Node { ident: self.own_ident, ready });
        let live = local.chain(own).collect();
        Summary { domain: self.own.domain.clone(), age: Span::ZERO, live }
    }

    /// Returns what this node has heard of other domains.
    pub fn remote_summaries(&self, now: Moment) -> impl Iterator<Item = Summary> {
        let reachable = self.remote.iter().filter(move |(_, domain)| domain.is_reachable(now));
        reachable.filter_map(move |(name, domain)| {
            let age = now.since(domain.heard_at?);
            Some(Summary { domain: name.clone(), age, live: domain.live.clone() })
        })
    }

    /// Returns the live nodes of other domains.
    pub fn live_remote_nodes(&self, now: Moment) -> impl Iterator<Item = Node> {
        let reachable = self.remote.values().filter(move |domain| domain.is_reachable(now));
        reachable.flat_map(|domain| domain.live.iter().copied())
    }

    /// Returns the silent nodes of this domain to greet, and notes that they are greeted.
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

    /// Returns one node of each domain that is out of reach, another one at each try.
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

    /// Returns the domains that were heard lately, with this one, in the order of `ident`.
    fn ranked_domains(&self, now: Moment, ident: u64) -> Vec<&str> {
        let reachable = self.remote.iter().filter(|(_, domain)| domain.is_reachable(now));
        let reachable = reachable.map(|(name, _)| name.as_str());
        let mut ranked: Vec<&str> = reachable.chain([self.own.domain.as_str()]).collect();
        ranked.sort_by_key(|domain| mix(ident ^ digest(&[domain.as_bytes()])));
        ranked
    }

    /// Tells whether this node is one of those that watch the store for all.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        let ranked = self.ranked_domains(now, digest(&[b"reader"]));
        let own = self.own.domain.as_str();
        self.is_leader(now) && ranked.iter().take(READER_DOMAINS).any(|domain| *domain == own)
    }

    /// Returns the domain whose lead drives what has the given identity.
    #[must_use]
    pub fn driver_domain(&self, now: Moment, ident: u64) -> &str {
        self.ranked_domains(now, ident).first().copied().unwrap_or(&self.own.domain)
    }

    /// Returns how many domains come before this one for what has the given identity.
    #[must_use]
    pub fn driver_rank(&self, now: Moment, ident: u64) -> usize {
        let own = self.own.domain.as_str();
        self.ranked_domains(now, ident).iter().position(|domain| *domain == own).unwrap_or(0)
    }
}

impl Peer {
    /// Tells whether it was heard lately and does not leave.
    #[must_use]
    pub fn is_live(&self, now: Moment) -> bool {
        !self.leaving && self.heard_at.is_some_and(|at| now.since(at) < LOCAL_TIMEOUT)
    }
}

impl Domain {
    fn is_reachable(&self, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < REMOTE_TIMEOUT)
    }
}
