//! How a node finds others when it starts, and which nodes use the store.
//!
//! A node asks the addresses in its settings for other nodes and gets its facts from its neighbours.
//! Only the leader of one domain watches the store for all, and that of another is its backup. The
//! others turn to the store by themselves if confirmations stay out, few at first and more the longer
//! it lasts. The store also lists the leaders of domains, for nodes that start when no address in
//! their settings responds any more.

use std::net::{IpAddr, SocketAddr};

use base::hash::{digest, mix};
use base::prelude::*;
use model::registry::Member;

use super::{Engine, Note, Output};

/// Time without other nodes after which some nodes read the facts themselves: after a loss of all
/// nodes, callers wait until the first ones have started again.
const EARLY_READ_TIME: Span = Span::millis(150);
/// One in so many nodes does.
const EARLY_READ_DIVISOR: u64 = 4;
/// Time after which the next address from the settings is tried while no other node is known.
const DISCOVERY_INTERVAL: Span = Span::millis(400);
/// Interval at which leaders and nodes at these addresses contact those that no known node has, as
/// nodes there may know others.
const SEED_INTERVAL: Span = Span::seconds(2);
/// Time after the start in which nodes discover each other before any of them watches the store.
const DISCOVERY_TIME: Span = Span::millis(500);
/// Number of nodes of a domain in the order of leadership whose patience is the same; that of the
/// next ones is twice as long.
const NODES_PER_STEP: usize = 4;
/// Maximum number of doublings of the patience.
const MAX_STEPS: usize = 8;
/// Minimum time for which a node keeps watching the store after confirmations had become too old.
const MIN_WATCH: Span = Span::seconds(2);
/// Time for which a node keeps watching after it has read the facts for the first time.
const FIRST_WATCH: Span = Span::millis(100);
/// Time without other nodes after which a node looks them up in the store.
const LOOKUP_TIME: Span = Span::millis(600);
/// Time without other nodes after which a node registers and reads the facts itself.
const ORPHAN_TIME: Span = Span::millis(1_500);
/// Time over which nodes that start together spread their registrations.
const SPREAD: Span = Span::millis(1_500);
/// Share of this time over which they spread their lookups.
const LOOKUP_SPREAD: f64 = 0.3;
/// Number of listed nodes of the own domain, and of others, that a node contacts at a time.
const CONTACTS: usize = 3;
/// Time after the start before which a leader does not register in the store.
const REGISTRATION_TIME: Span = Span::seconds(4);
/// Number of nodes that are assumed to share the limits of the fleet as long as this node may not
/// know all of them.
const ASSUMED_NODES: usize = 1_000;

/// Progress of the search for other nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Search {
    /// Whether this node is at one of the addresses at which others discover nodes.
    is_seed: bool,
    /// The other addresses.
    seeds: Vec<SocketAddr>,
    discovered_at: Option<Moment>,
    discoveries: usize,
    seeds_contacted_at: Option<Moment>,
    looked_up_at: Option<Moment>,
    registered: bool,
}

impl Engine {
    /// Sets the addresses at which nodes discover others first; if this node is at one of them, it
    /// reads the facts from the store if no other node has them. So does a node without any.
    #[must_use]
    pub fn with_seeds(mut self, seeds: &[SocketAddr]) -> Self {
        let own = self.members.own.peer;
        self.search.is_seed = seeds.is_empty() || seeds.contains(&own);
        self.search.seeds = seeds.iter().copied().filter(|seed| *seed != own).collect();
        // Bytes between domains are expensive, and nodes of a domain mostly share a network. The
        // others begin with different seeds.
        let process = self.process;
        self.search.seeds.sort_by_key(|seed| {
            let closeness = common_bytes(seed.ip(), own.ip());
            (std::cmp::Reverse(closeness), mix(digest(&[seed.to_string().as_bytes()]) ^ process))
        });
        self
    }

    /// Sets the incarnation, which has to be higher than that of an earlier process of this node to
    /// be believed at once; the Unix time of the start in milliseconds mostly is.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        let standing = self.members.own_report().standing;
        self.members.renew(self.started_at, incarnation, standing);
        self
    }

    /// Returns the number of nodes by which limits of the whole fleet are divided.
    pub(super) fn sharing_nodes(&self) -> usize {
        let known = self.members.count();
        if self.settled { known } else { known.max(ASSUMED_NODES) }
    }

    /// Returns whether this node is the leader of its domain, and not merely the first one of it that
    /// it knows.
    pub(super) fn is_settled_leader(&self) -> bool {
        self.settled && self.members.is_leader()
    }

    /// Contacts nodes that are down or unknown, and registers in the store, as far as it is due.
    pub(super) fn tick_search(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.leaving {
            return;
        }
        if self.members.is_alone() {
            self.search_nodes(now, out);
        }
        if self.search.is_seed || self.is_settled_leader() {
            self.contact_unknown_seeds(now, out);
        }
        let down = self.members.announce_targets(now);
        if let Some(to) = self.pick(&down) {
            self.send_join(now, to, true, out);
        }
        if self.is_settled_leader() {
            for to in self.members.discovery_targets(now) {
                self.send_join(now, to, true, out);
            }
        }
        let is_due = now.since(self.started_at) >= REGISTRATION_TIME;
        if is_due && self.is_settled_leader() {
            self.register_member(false, out);
        }
    }

    fn search_nodes(&mut self, now: Moment, out: &mut Vec<Output>) {
        let seeds = &self.search.seeds;
        let is_due = |at: Option<Moment>| at.is_none_or(|at| now.since(at) >= DISCOVERY_INTERVAL);
        if is_due(self.search.discovered_at) && !seeds.is_empty() {
            let to = seeds[self.search.discoveries % seeds.len()];
            self.search.discovered_at = Some(now);
            self.search.discoveries += 1;
            out.push(Output::Discover { to, frame: self.own_join(now, true) });
        }
        let alone_for = now.since(self.started_at);
        let is_first = self.search.looked_up_at.is_none();
        let lookup_time = LOOKUP_TIME + self.jitter().scale(LOOKUP_SPREAD);
        let again = self.search.looked_up_at.is_none_or(|at| now.since(at) >= ORPHAN_TIME);
        if again && alone_for >= lookup_time && !(is_first && self.search.is_seed) {
            self.search.looked_up_at = Some(now);
            out.push(Output::FindMembers);
        }
        if alone_for >= ORPHAN_TIME + self.jitter() {
            self.register_member(true, out);
        }
    }

    /// Contacts the seeds at whose addresses no node is known.
    fn contact_unknown_seeds(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = |at: Moment| now.since(at) >= SEED_INTERVAL;
        if !self.search.seeds_contacted_at.is_none_or(is_due) {
            return;
        }
        self.search.seeds_contacted_at = Some(now);
        let is_known =
            |seed: &&SocketAddr| self.members.peers().any(|(_, peer)| peer.member.peer == **seed);
        let unknown = self.search.seeds.iter().filter(|seed| !is_known(seed));
        for to in unknown {
            out.push(Output::Discover { to: *to, frame: self.own_join(now, true) });
        }
    }

    /// Returns a delay that spreads the nodes of a fleet evenly.
    fn jitter(&self) -> Span {
        let fraction = (mix(self.process) >> 32) as f64 / f64::from(u32::MAX);
        SPREAD.scale(fraction)
    }

    /// Registers this node, and then finds others that did so at the same time if it is alone.
    fn register_member(&mut self, alone: bool, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.search.registered, true) {
            out.push(Output::Register { alone });
        }
    }

    /// Returns a random element.
    fn pick(&mut self, idents: &[u64]) -> Option<u64> {
        use rand::seq::IndexedRandom;
        idents.choose(&mut self.rng).copied()
    }

    /// Contacts some of the nodes that the store lists, which may be gone, if no other is known.
    pub(super) fn contact_listed(
        &mut self,
        now: Moment,
        listed: Vec<Member>,
        out: &mut Vec<Output>,
    ) {
        if !self.members.is_alone() {
            return;
        }
        let own = self.members.own_ident();
        let others = listed.into_iter().filter(|member| member.ident() != own);
        let domain = self.members.own.domain.clone();
        let (local, remote): (Vec<Member>, Vec<Member>) =
            others.partition(|member| member.domain == domain);
        for mut group in [local, remote] {
            let salt = self.process;
            group.sort_by_key(|member| mix(member.ident() ^ salt));
            for member in group.into_iter().take(CONTACTS) {
                let to = member.ident();
                out.push(Output::Address(member));
                self.send_join(now, to, true, out);
            }
        }
    }

    /// Watches the store if this node does so for all, or if the confirmations have become too old.
    pub(super) fn update_watch(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_discovering = now.since(self.started_at) < DISCOVERY_TIME;
        if is_discovering && !self.reads_early(now) && !self.leaving {
            return;
        }
        let confirmed_at = self.confirmed_at();
        let since = confirmed_at.unwrap_or(self.started_at);
        if now.since(since) >= self.patience(now) {
            let is_first = confirmed_at.is_none();
            self.watch_until = now + if is_first { FIRST_WATCH } else { MIN_WATCH };
        }
        let is_reader = self.settled && self.members.reader_rank(now) == Some(0);
        let watching = (is_reader || now < self.watch_until) && !self.leaving;
        if watching != self.watching {
            self.watching = watching;
            let proof_ms = confirmed_at.map(|at| now.since(at).as_millis());
            out.push(Output::Watch(watching));
            out.push(Output::Note(Note::Watch { watching, proof_ms }));
        }
    }

    /// Returns the age of the last confirmation, or of the process before the first one, from which
    /// on this node watches the store itself.
    fn patience(&self, now: Moment) -> Span {
        let is_first = self.confirmed_at().is_none();
        match () {
            // After a start of all nodes, callers wait for the facts that these nodes read.
            () if is_first && self.reads_early(now) => Span::ZERO,
            () if self.members.is_alone() && is_first => ORPHAN_TIME + self.jitter(),
            () if self.members.is_alone() => self.terms.patience(),
            () if self.is_backup(now) => self.terms.backup_patience(),
            // A store that turns away the first nodes is tried by more and more, but never by all
            // at once.
            () => {
                let steps = (self.members.rank() / NODES_PER_STEP).min(MAX_STEPS);
                Span(self.terms.patience().0 << steps)
            }
        }
    }

    /// Returns whether this node may read the facts soon after its start.
    fn reads_early(&self, now: Moment) -> bool {
        let is_chosen = mix(self.process).is_multiple_of(EARLY_READ_DIVISOR);
        let is_late = now.since(self.started_at) >= EARLY_READ_TIME;
        self.search.is_seed || (is_chosen && is_late && self.members.is_alone())
    }

    /// Returns whether this node is the backup of the one that watches the store for all.
    fn is_backup(&self, now: Moment) -> bool {
        match self.members.is_only_domain(now) {
            true => self.members.rank() == 1,
            false => self.members.reader_rank(now) == Some(1),
        }
    }
}

/// Returns the length of the common prefix of two addresses in whole bytes, zero for addresses of
/// different families.
fn common_bytes(left: IpAddr, right: IpAddr) -> usize {
    let count = |left: &[u8], right: &[u8]| {
        left.iter().zip(right).take_while(|(left, right)| left == right).count()
    };
    match (left, right) {
        (IpAddr::V4(left), IpAddr::V4(right)) => count(&left.octets(), &right.octets()),
        (IpAddr::V6(left), IpAddr::V6(right)) => count(&left.octets(), &right.octets()),
        _ => 0,
    }
}
