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
const READERS: usize = 2;
/// Time between two greetings to a node that is silent.
const GREET: Span = Span::seconds(2);
/// Time between two tries to find the lead of a domain.
const SEEK: Span = Span::seconds(1);

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
struct Away {
    lead: Option<u64>,
    heard_at: Option<Moment>,
    live: Vec<Node>,
    sought_at: Option<Moment>,
    tries: usize,
}

/// The nodes that a node knows of, by identity.
#[derive(Clone, Debug)]
pub struct Members {
    /// This node.
    pub own: Member,
    me: u64,
    peers: BTreeMap<u64, Peer>,
    away: BTreeMap<String, Away>,
}

impl Members {
    /// Makes the members of a node that knows only itself.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self { me: own.ident(), own, peers: BTreeMap::new(), away: BTreeMap::new() }
    }

    /// Returns this node's identity.
    #[must_use]
    pub fn own_ident(&self) -> u64 {
        self.me
    }

    /// Learns of a node; returns whether it, or its address, is new.
    pub fn learn(&mut self, member: &Member) -> bool {
        let ident = member.ident();
        if ident == self.me {
            return false;
        }
        if member.domain != self.own.domain {
            self.away.entry(member.domain.clone()).or_default();
        }
        if let Some(known) = self.peers.get_mut(&ident) {
            let moved = known.member != *member;
            if moved {
                known.member = member.clone();
                known.announced_at = None;
            }
            return moved;
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
        let own = (self.own.domain == domain).then_some(self.me);
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
        let near = self.local_peers(now).map(|(ident, _)| ident);
        near.chain([self.me]).min_by_key(|ident| mix(*ident)).unwrap_or(self.me)
    }

    /// Tells whether this node is the lead of its domain.
    #[must_use]
    pub fn is_leader(&self, now: Moment) -> bool {
        self.leader(now) == self.me
    }

    /// Returns the leads of the other domains that were heard lately.
    pub fn remote_leaders(&self, now: Moment) -> impl Iterator<Item = u64> {
        self.away.values().filter(move |away| away.is_heard(now)).filter_map(|away| away.lead)
    }

    /// Returns the lead of a domain, if it is known.
    #[must_use]
    pub fn leader_of(&self, now: Moment, domain: &str) -> Option<u64> {
        if domain == self.own.domain {
            return Some(self.leader(now));
        }
        self.away.get(domain)?.lead
    }

    /// Notes which node leads another domain.
    pub fn record_leader(&mut self, ident: u64) {
        if let Some(peer) = self.peers.get(&ident)
            && let Some(away) = self.away.get_mut(&peer.member.domain)
        {
            away.lead = Some(ident);
        }
    }

    /// Takes in what a lead tells of its own domain.
    pub fn apply_leader_report(&mut self, now: Moment, ident: u64, live: Vec<Node>) {
        self.record_leader(ident);
        if let Some(peer) = self.peers.get(&ident)
            && let Some(away) = self.away.get_mut(&peer.member.domain)
        {
            *away = Away { lead: Some(ident), heard_at: Some(now), live, ..Away::default() };
        }
    }

    /// Takes in what the lead of this domain tells of another one.
    pub fn apply_summary(&mut self, now: Moment, digest: &Summary) {
        if digest.domain == self.own.domain {
            return;
        }
        let away = self.away.entry(digest.domain.clone()).or_default();
        let heard_at = Some(now - digest.age);
        if heard_at > away.heard_at {
            away.heard_at = heard_at;
            away.live.clone_from(&digest.live);
        }
    }

    /// Returns what this node can tell of its own domain.
    #[must_use]
    pub fn own_summary(&self, now: Moment, ready: bool, leaving: bool) -> Summary {
        let near = self.local_peers(now).map(|(ident, peer)| Node { ident, ready: peer.ready });
        let own = (!leaving).then_some(Node { ident: self.me, ready });
        let live = near.chain(own).collect();
        Summary { domain: self.own.domain.clone(), age: Span::ZERO, live }
    }

    /// Returns what this node has heard of other domains.
    pub fn remote_summaries(&self, now: Moment) -> impl Iterator<Item = Summary> {
        let heard = self.away.iter().filter(move |(_, away)| away.is_heard(now));
        heard.filter_map(move |(domain, away)| {
            let age = now.since(away.heard_at?);
            Some(Summary { domain: domain.clone(), age, live: away.live.clone() })
        })
    }

    /// Returns the live nodes of other domains.
    pub fn live_remote_nodes(&self, now: Moment) -> impl Iterator<Item = Node> {
        let heard = self.away.values().filter(move |away| away.is_heard(now));
        heard.flat_map(|away| away.live.iter().copied())
    }

    /// Returns the silent nodes of this domain to greet, and notes that they are greeted.
    pub fn announce_targets(&mut self, now: Moment) -> Vec<u64> {
        let own = self.own.domain.as_str();
        let mut greeted = Vec::new();
        for (ident, peer) in &mut self.peers {
            let silent = peer.heard_at.is_none_or(|at| now.since(at) >= LOCAL_TIMEOUT);
            let due = peer.announced_at.is_none_or(|at| now.since(at) >= GREET);
            if silent && due && peer.member.domain == own {
                peer.announced_at = Some(now);
                greeted.push(*ident);
            }
        }
        greeted
    }

    /// Returns one node of each domain that is out of reach, another one at each try.
    pub fn discovery_targets(&mut self, now: Moment) -> Vec<u64> {
        let mut sought = Vec::new();
        for (domain, away) in &mut self.away {
            let due = away.sought_at.is_none_or(|at| now.since(at) >= SEEK);
            if away.is_heard(now) || !due {
                continue;
            }
            let inside = self.peers.iter().filter(|(_, peer)| peer.member.domain == *domain);
            let mut inside: Vec<u64> = inside.map(|(ident, _)| *ident).collect();
            inside.sort_by_key(|ident| mix(*ident));
            away.sought_at = Some(now);
            let known = away.lead.filter(|_| away.tries == 0);
            sought.extend(known.or_else(|| inside.get(away.tries % inside.len().max(1)).copied()));
            away.tries += 1;
        }
        sought
    }

    /// Returns the domains that were heard lately, with this one, in the order of `ident`.
    fn ranked(&self, now: Moment, ident: u64) -> Vec<&str> {
        let heard = self.away.iter().filter(|(_, away)| away.is_heard(now));
        let heard = heard.map(|(domain, _)| domain.as_str());
        let mut ranked: Vec<&str> = heard.chain([self.own.domain.as_str()]).collect();
        ranked.sort_by_key(|domain| mix(ident ^ digest(&[domain.as_bytes()])));
        ranked
    }

    /// Tells whether this node is one of those that watch the store for all.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        let ranked = self.ranked(now, digest(&[b"reader"]));
        let own = self.own.domain.as_str();
        self.is_leader(now) && ranked.iter().take(READERS).any(|domain| *domain == own)
    }

    /// Returns the domain whose lead drives what has the given identity.
    #[must_use]
    pub fn driver_domain(&self, now: Moment, ident: u64) -> &str {
        self.ranked(now, ident).first().copied().unwrap_or(&self.own.domain)
    }

    /// Returns how many domains come before this one for what has the given identity.
    #[must_use]
    pub fn driver_rank(&self, now: Moment, ident: u64) -> usize {
        let own = self.own.domain.as_str();
        self.ranked(now, ident).iter().position(|domain| *domain == own).unwrap_or(0)
    }
}

impl Peer {
    /// Tells whether it was heard lately and does not leave.
    #[must_use]
    pub fn is_live(&self, now: Moment) -> bool {
        !self.leaving && self.heard_at.is_some_and(|at| now.since(at) < LOCAL_TIMEOUT)
    }
}

impl Away {
    fn is_heard(&self, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < REMOTE_TIMEOUT)
    }
}
