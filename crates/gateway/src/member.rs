//! The nodes that serve callers, as one node sees them.
//!
//! Every node keeps an entry for each other node. Within a failure domain, a node exchanges
//! heartbeats with its neighbours in the [`overlay`](crate::overlay) only; changes of entries are
//! passed on from neighbour to neighbour, and from leader to leader between domains, as traffic
//! between domains is expensive. Digests in the heartbeats show when two nodes differ nevertheless.
//! The engine derives from the entries whom to send to, who watches the store and who drives a
//! trial.

mod roles;

use std::collections::{BTreeMap, BTreeSet};

use base::derive::Symbol;
use base::hash::mix;
use base::prelude::*;
use chart::Chart;
use model::registry::Member;

use crate::overlay;
use crate::peer::{Action, Entry, Event, Peer, Report, Standing, State, Suspicion};

/// Time without a heartbeat after which a neighbour is suspected.
pub const LOCAL_TIMEOUT: Span = Span::millis(2_200);
/// Time after which a new neighbour, which is asked for a heartbeat at once, is suspected.
const NEW_NEIGHBOUR_TIMEOUT: Span = Span::millis(1_000);
/// Time without a heartbeat after which another domain counts as unreachable.
pub const REMOTE_TIMEOUT: Span = Span::millis(3_000);
/// Time in which a suspected node may object, if only one node has not heard it.
const OBJECTION_TIME: Span = Span::millis(2_000);
/// Number of nodes whose suspicions together are sufficient.
const SUFFICIENT_WITNESSES: usize = 2;
/// Time after which a node that is down is forgotten. Until then it counts in the shares of limits,
/// as it may be alive behind a partition.
const FORGET_TIME: Span = Span::seconds(600);

/// State of another domain.
#[derive(Clone, Copy, Debug, Default)]
struct Domain {
    heard_at: Option<Moment>,
    tried_at: Option<Moment>,
    /// Attempts to reach the domain since it was last heard.
    tries: usize,
}

/// What follows from the entries; updated with each change of them.
#[derive(Clone, Debug, Default)]
struct Derived {
    neighbours: BTreeSet<u64>,
    /// Leader of each domain with a live node.
    leaders: BTreeMap<String, u64>,
    /// Digest of each domain's entries.
    digests: BTreeMap<String, u64>,
    /// Number of live nodes of the own domain that precede this one in the order of leadership.
    rank: usize,
    live_local: usize,
}

/// Result of an update: whether it is news to this node, and to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The update is news and was applied.
    New,
    /// The same is known already.
    Known,
    /// This node knows something newer.
    Outdated,
}

/// The nodes that a node knows, by identity.
#[derive(Clone, Debug)]
pub struct Members {
    /// Name, domain and addresses of this node.
    pub own: Member,
    own_ident: u64,
    own_report: Report,
    peers: BTreeMap<u64, Peer>,
    domains: BTreeMap<String, Domain>,
    announced_at: Moment,
    derived: Derived,
    new_neighbours: Vec<u64>,
}

impl Members {
    /// Creates the members of a node that knows only itself.
    #[must_use]
    pub fn new(own: Member) -> Self {
        let own_ident = own.ident();
        let own_report = Report { ident: own_ident, incarnation: 1, standing: Standing::Starting };
        let mut members = Self {
            own,
            own_ident,
            own_report,
            peers: BTreeMap::new(),
            domains: BTreeMap::new(),
            announced_at: Moment::default(),
            derived: Derived::default(),
            new_neighbours: Vec::new(),
        };
        members.refresh(Moment::default());
        members
    }

    /// Returns the identity of this node.
    #[must_use]
    pub fn own_ident(&self) -> u64 {
        self.own_ident
    }

    /// Returns this node's entry.
    #[must_use]
    pub fn own_entry(&self) -> Entry {
        Entry { member: self.own.clone(), report: self.own_report }
    }

    /// Starts a new incarnation of this node, not below `at_least`.
    pub fn renew(&mut self, now: Moment, at_least: u64, standing: Standing) {
        let incarnation = (self.own_report.incarnation + 1).max(at_least);
        self.own_report = Report { incarnation, standing, ..self.own_report };
        self.refresh(now);
    }

    /// Returns what this node says of its service.
    #[must_use]
    pub fn own_report(&self) -> Report {
        self.own_report
    }

    /// Applies an entry of another node.
    pub fn apply_entry(
        &mut self,
        chart: &Chart<State, Event, Action>,
        now: Moment,
        entry: &Entry,
    ) -> Applied {
        if entry.report.ident != entry.member.ident() || entry.report.ident == self.own_ident {
            return Applied::Known;
        }
        let Some(known) = self.peers.get_mut(&entry.report.ident) else {
            let peer = Peer::new(entry.clone());
            self.peers.insert(entry.report.ident, Peer { down_at: now, ..peer });
            self.refresh(now);
            return Applied::New;
        };
        if entry.report.incarnation > known.incarnation {
            known.member = entry.member.clone();
        }
        self.apply_report(chart, now, entry.report)
    }

    /// Applies a report of another node; one of an unknown node has no effect.
    pub fn apply_report(
        &mut self,
        chart: &Chart<State, Event, Action>,
        now: Moment,
        report: Report,
    ) -> Applied {
        let Some(peer) = self.peers.get_mut(&report.ident) else { return Applied::Known };
        let known = peer.report();
        if report == known {
            return Applied::Known;
        }
        if report.incarnation < known.incarnation
            || known.standing == Standing::Down && report.incarnation == known.incarnation
        {
            return Applied::Outdated;
        }
        if report.standing == Standing::Down {
            peer.incarnation = report.incarnation;
            peer.step(chart, now, Event::Condemned);
        } else if !peer.adopt(chart, now, report.incarnation, report.standing) {
            return Applied::Known;
        }
        self.refresh(now);
        Applied::New
    }

    /// Applies a suspicion, and returns the actions that follow.
    pub fn apply_suspicion(
        &mut self,
        chart: &Chart<State, Event, Action>,
        now: Moment,
        suspicion: Suspicion,
    ) -> Vec<Action> {
        let sufficient = SUFFICIENT_WITNESSES.min(self.derived.live_local.max(1));
        let Some(peer) = self.peers.get_mut(&suspicion.ident) else { return Vec::new() };
        if suspicion.incarnation != peer.incarnation
            || peer.state == State::Down
            || peer.witnesses.contains(&suspicion.witness)
        {
            return Vec::new();
        }
        peer.witnesses.push(suspicion.witness);
        peer.step(chart, now, Event::Suspected);
        // The word of every witness is passed on, as another node may lack the first one's.
        let mut actions = vec![Action::SpreadSuspicion];
        if peer.witnesses.len() >= sufficient {
            actions.extend(peer.step(chart, now, Event::Confirmed));
        }
        self.refresh(now);
        actions
    }

    /// Returns the neighbours that have been silent for too long, unless this node has said so.
    #[must_use]
    pub fn silent_neighbours(&self, now: Moment) -> Vec<Suspicion> {
        let neighbours = self.derived.neighbours.iter().filter_map(|ident| self.peers.get(ident));
        let silent = neighbours.filter(|peer| {
            peer.state != State::Down
                && !peer.witnesses.contains(&self.own_ident)
                && peer.heard_at.is_none_or(|at| now.since(at) >= LOCAL_TIMEOUT)
        });
        let suspicion = |peer: &Peer| Suspicion {
            ident: peer.member.ident(),
            incarnation: peer.incarnation,
            witness: self.own_ident,
        };
        silent.map(suspicion).collect()
    }

    /// Finds the suspected nodes that have not objected in time to be down, and returns them.
    pub fn confirm_suspicions(
        &mut self,
        chart: &Chart<State, Event, Action>,
        now: Moment,
    ) -> Vec<Report> {
        let suspected = self.peers.values_mut().filter(|peer| {
            peer.state == State::Suspected && now.since(peer.suspected_at) >= OBJECTION_TIME
        });
        let mut down = Vec::new();
        for peer in suspected {
            peer.step(chart, now, Event::Confirmed);
            down.push(peer.report());
        }
        if !down.is_empty() {
            self.refresh(now);
        }
        down
    }

    /// Records that a node was heard.
    pub fn record_heard(&mut self, now: Moment, ident: u64) {
        let Some(peer) = self.peers.get_mut(&ident) else { return };
        peer.heard_at = Some(now);
        if let Some(domain) = self.domains.get_mut(&peer.member.domain) {
            *domain = Domain { heard_at: Some(now), ..Domain::default() };
        }
    }

    /// Records that a neighbour knows when another domain was heard last.
    pub fn record_domain_heard(&mut self, at: Moment, name: &str) {
        if let Some(domain) = self.domains.get_mut(name)
            && Some(at) > domain.heard_at
        {
            domain.heard_at = Some(at);
        }
    }

    /// Extends the time in which neighbours have to be heard, after this node was late itself.
    pub fn excuse(&mut self, now: Moment, lateness: Span) {
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at.map(|at| (at + lateness).min(now));
        }
        for domain in self.domains.values_mut() {
            domain.heard_at = domain.heard_at.map(|at| (at + lateness).min(now));
        }
    }

    /// Forgets nodes that have been down for long.
    pub fn forget(&mut self, now: Moment) {
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| peer.state != State::Down || now.since(peer.down_at) < FORGET_TIME);
        if self.peers.len() != before {
            self.refresh(now);
        }
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

    /// Returns the entries of a domain, including this node's own, for a node that knows others.
    #[must_use]
    pub fn entries(&self, domain: &str) -> Vec<Entry> {
        let peers = self.peers.values().filter(|peer| peer.member.domain == domain);
        let entry = |peer: &Peer| Entry { member: peer.member.clone(), report: peer.report() };
        let own = (self.own.domain == domain).then(|| self.own_entry());
        peers.map(entry).chain(own).collect()
    }

    /// Returns the other live nodes of this domain.
    pub fn local_peers(&self) -> impl Iterator<Item = (u64, &Peer)> {
        let own = self.own.domain.as_str();
        self.peers().filter(move |(_, peer)| peer.member.domain == own && peer.is_live())
    }

    /// Returns the live nodes of the other reachable domains.
    pub fn remote_peers(&self, now: Moment) -> impl Iterator<Item = (u64, &Peer)> {
        let reachable = move |peer: &Peer| {
            let domain = self.domains.get(&peer.member.domain);
            domain.is_some_and(|domain| domain.is_reachable(now))
        };
        self.peers().filter(move |(_, peer)| peer.is_live() && reachable(peer))
    }

    /// Returns whether another node counts as live.
    #[must_use]
    pub fn is_live(&self, now: Moment, ident: u64) -> bool {
        let Some(peer) = self.peers.get(&ident) else { return false };
        let domain = self.domains.get(&peer.member.domain);
        peer.is_live() && domain.is_none_or(|domain| domain.is_reachable(now))
    }

    /// Returns the nodes of this domain with which this node exchanges heartbeats.
    #[must_use]
    pub fn neighbours(&self) -> &BTreeSet<u64> {
        &self.derived.neighbours
    }

    /// Returns the nodes that have become neighbours since the last call.
    pub fn take_new_neighbours(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.new_neighbours)
    }

    /// Returns whether the nodes of this domain are all neighbours of each other.
    #[must_use]
    pub fn is_full_mesh(&self) -> bool {
        self.derived.live_local <= overlay::MAX_NEIGHBOURS
    }

    /// Returns whether no live node has been heard since the start.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.peers.values().all(|peer| !peer.is_live() || peer.process == 0)
    }

    /// Returns the entries of a domain that a list of its entries lacks, without nodes that are down.
    #[must_use]
    pub fn missing_in(&self, entries: &[Entry]) -> Vec<Entry> {
        let Some(domain) = entries.first().map(|entry| &entry.member.domain) else {
            return Vec::new();
        };
        let listed: BTreeSet<u64> = entries.iter().map(|entry| entry.report.ident).collect();
        let own = self.entries(domain).into_iter();
        own.filter(|entry| {
            entry.report.standing != Standing::Down && !listed.contains(&entry.report.ident)
        })
        .collect()
    }

    /// Returns the digest of each domain's entries.
    #[must_use]
    pub fn digests(&self) -> &BTreeMap<String, u64> {
        &self.derived.digests
    }

    /// Returns the time since another domain was heard, if it is reachable.
    #[must_use]
    pub fn domain_age(&self, now: Moment, name: &str) -> Option<Span> {
        let domain = self.domains.get(name).filter(|domain| domain.is_reachable(now))?;
        Some(now.since(domain.heard_at?))
    }

    /// Updates what follows from the entries.
    fn refresh(&mut self, now: Moment) {
        let own_live = self.own_report.standing != Standing::Leaving;
        let own = self.own.domain.clone();
        let mut derived = Derived::default();
        let mut consider = |domain: &str, ident: u64, live: bool, report: Report| {
            if report.standing != Standing::Down {
                *derived.digests.entry(domain.to_owned()).or_default() ^= fingerprint(report);
            }
            if live {
                let leader = derived.leaders.entry(domain.to_owned()).or_insert(ident);
                if mix(ident) < mix(*leader) {
                    *leader = ident;
                }
            }
        };
        consider(&own, self.own_ident, own_live, self.own_report);
        for (ident, peer) in &self.peers {
            consider(&peer.member.domain, *ident, peer.is_live(), peer.report());
        }
        // Nodes that are leaving still pass on what they learn.
        let local = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.member.domain == own && peer.state != State::Down);
        let local: Vec<u64> = local.map(|(ident, _)| *ident).collect();
        derived.live_local = local.len();
        derived.rank = local.iter().filter(|ident| mix(**ident) < mix(self.own_ident)).count();
        derived.neighbours = overlay::neighbours(self.own_ident, local.into_iter());
        for ident in derived.neighbours.difference(&self.derived.neighbours) {
            self.new_neighbours.push(*ident);
            if let Some(peer) = self.peers.get_mut(ident) {
                let expected = now - Span(LOCAL_TIMEOUT.0 - NEW_NEIGHBOUR_TIMEOUT.0);
                peer.heard_at = peer.heard_at.max(Some(expected));
            }
        }
        for peer in self.peers.values() {
            if peer.member.domain != own && !self.domains.contains_key(&peer.member.domain) {
                self.domains.insert(peer.member.domain.clone(), Domain::default());
            }
        }
        self.derived = derived;
    }
}

impl Domain {
    /// Returns whether the domain was heard within the time-out.
    fn is_reachable(&self, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < REMOTE_TIMEOUT)
    }
}

/// Returns a hash of a report; the digest of several is their exclusive or.
fn fingerprint(report: Report) -> u64 {
    mix(report.ident ^ mix(report.incarnation ^ mix(report.standing.index() as u64)))
}
