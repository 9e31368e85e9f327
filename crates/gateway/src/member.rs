//! The nodes that serve callers, as one of them hears of them.

use std::collections::BTreeMap;

use base::hash::{digest, mix};
use base::prelude::*;
use model::registry::Member;

/// Silence after which a member counts as gone.
pub const SILENCE: Span = Span::millis(2_200);
/// Members that watch the store for all.
const READERS: usize = 2;
/// Time between two greetings to a member that is silent.
const GREET: Span = Span::seconds(2);

record! {
    /// What is known of a member.
    pub struct Peer {
        /// The member.
        pub member: Member,
        /// When it was last heard.
        pub heard_at: Option<Moment>,
        /// When it was last greeted without having been heard since.
        pub greeted_at: Option<Moment>,
        /// Whether it said that it leaves.
        pub leaving: bool,
        /// Whether it said that it can serve.
        pub ready: bool,
        /// Identity of its process.
        pub process: u64,
    }
}

/// The members that a node knows of, by identity.
#[derive(Clone, Debug)]
pub struct Members {
    /// This node.
    pub own: Member,
    me: u64,
    peers: BTreeMap<u64, Peer>,
}

impl Members {
    /// Makes the members of a node that knows only itself.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self { me: own.ident(), own, peers: BTreeMap::new() }
    }

    /// Returns this node's identity.
    #[must_use]
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Learns of a member; returns whether it, or its address, is new.
    pub fn learn(&mut self, member: &Member) -> bool {
        let ident = member.ident();
        if ident == self.me {
            return false;
        }
        if let Some(known) = self.peers.get_mut(&ident) {
            let moved = known.member != *member;
            if moved {
                known.member = member.clone();
                known.greeted_at = None;
            }
            return moved;
        }
        let peer = Peer {
            member: member.clone(),
            heard_at: None,
            greeted_at: None,
            leaving: false,
            ready: false,
            process: 0,
        };
        self.peers.insert(ident, peer);
        true
    }

    /// Returns a member to change what is known of it.
    pub fn get_mut(&mut self, ident: u64) -> Option<&mut Peer> {
        self.peers.get_mut(&ident)
    }

    /// Returns every other member.
    pub fn peers(&self) -> impl Iterator<Item = (u64, &Peer)> {
        self.peers.iter().map(|(ident, peer)| (*ident, peer))
    }

    /// Returns the number of members known, heard or not, with this one.
    #[must_use]
    pub fn known(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the other members that were heard lately and do not leave.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (u64, &Peer)> {
        self.peers().filter(move |(_, peer)| peer.is_live(now))
    }

    /// Returns the members to greet, and notes that they are greeted.
    pub fn greet(&mut self, now: Moment) -> Vec<u64> {
        let due = |peer: &Peer| {
            let silent = peer.heard_at.is_none_or(|at| now.since(at) >= SILENCE);
            silent && peer.greeted_at.is_none_or(|at| now.since(at) >= GREET)
        };
        let mut greeted = Vec::new();
        for (ident, peer) in &mut self.peers {
            if due(peer) {
                peer.greeted_at = Some(now);
                greeted.push(*ident);
            }
        }
        greeted
    }

    /// Tells whether this node is one of those that watch the store for all.
    ///
    /// The second reader is in another failure domain than the first, if there is one.
    #[must_use]
    pub fn is_reader(&self, now: Moment) -> bool {
        let own = (self.me, self.own.domain.as_str());
        let others = self.live(now).map(|(ident, peer)| (ident, peer.member.domain.as_str()));
        let mut ranked: Vec<_> = others.chain([own]).collect();
        ranked.sort_by_key(|(ident, _)| mix(*ident ^ digest(&[b"reader"])));
        let Some(first) = ranked.first().copied() else { return true };
        let apart = ranked.iter().find(|(_, domain)| *domain != first.1).copied();
        let second = apart.or_else(|| ranked.get(READERS - 1).copied());
        first.0 == self.me || second.is_some_and(|second| second.0 == self.me)
    }

    /// Returns the member that drives what has the given identity.
    #[must_use]
    pub fn driver(&self, now: Moment, ident: u64) -> u64 {
        let others = self.live(now).map(|(other, _)| other);
        let least = others.chain([self.me]).min_by_key(|other| mix(ident ^ mix(*other)));
        least.unwrap_or(self.me)
    }
}

impl Peer {
    /// Tells whether it was heard lately and does not leave.
    #[must_use]
    pub fn is_live(&self, now: Moment) -> bool {
        !self.leaving && self.heard_at.is_some_and(|at| now.since(at) < SILENCE)
    }
}
