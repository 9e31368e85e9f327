//! What can be seen of a modelled fleet while it runs.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use gateway::Engine;
use gateway::engine::Dump;
use model::registry::Kind;

use super::Fleet;

impl Fleet {
    /// Returns the identities of all machines.
    #[must_use]
    pub fn idents(&self) -> Vec<u64> {
        self.nodes.keys().copied().collect()
    }

    /// Returns the machines with a process.
    #[must_use]
    pub fn running(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter(|(_, node)| node.engine.is_some());
        running.map(|(ident, _)| *ident).collect()
    }

    /// Returns the machines of a domain.
    #[must_use]
    pub fn in_domain(&self, domain: usize) -> Vec<u64> {
        let name = format!("d{domain}");
        let nodes = self.nodes.iter().filter(|(_, node)| node.member.domain == name);
        nodes.map(|(ident, _)| *ident).collect()
    }

    /// Returns the nodes that watch the store.
    #[must_use]
    pub fn watching(&self) -> Vec<u64> {
        let watching = self.nodes.iter().filter(|(_, node)| node.engine.is_some() && node.watching);
        watching.map(|(ident, _)| *ident).collect()
    }

    /// Returns the state of a running node.
    #[must_use]
    pub fn dump(&self, ident: u64) -> Option<Dump> {
        Some(self.nodes.get(&ident)?.engine.as_ref()?.dump(self.now))
    }

    /// Returns the callers' addresses that a node names to callers of a domain.
    #[must_use]
    pub fn advised(&self, ident: u64, domain: usize) -> Vec<SocketAddr> {
        let engine = self.nodes.get(&ident).and_then(|node| node.engine.as_ref());
        let advice = engine.map(|engine| engine.advise(self.now, Some(&format!("d{domain}"))));
        advice.map(|advice| advice.addresses).unwrap_or_default()
    }

    /// Returns the address of a machine for callers.
    #[must_use]
    pub fn caller_address(&self, ident: u64) -> Option<SocketAddr> {
        Some(self.nodes.get(&ident)?.member.caller)
    }

    /// Returns how many running nodes take exactly the running ones for live and can serve.
    #[must_use]
    pub fn converged(&self) -> usize {
        let running: BTreeSet<u64> = self.running().into_iter().collect();
        let is_converged = |engine: &Engine| {
            let members = engine.members();
            let peers = members.peers().map(|(ident, _)| ident);
            let live = peers.filter(|ident| members.is_live(self.now, *ident));
            let live: BTreeSet<u64> = live.chain([members.own_ident()]).collect();
            engine.is_ready() && live == running
        };
        let engines = self.nodes.values().filter_map(|node| node.engine.as_ref());
        engines.filter(|engine| is_converged(engine)).count()
    }

    /// Returns how many running nodes know the facts up to a revision of the upstreams.
    #[must_use]
    pub fn knowing(&self, revision: u64) -> usize {
        let engines = self.nodes.values().filter_map(|node| node.engine.as_ref());
        engines.filter(|engine| engine.revision(Kind::Upstreams) >= revision).count()
    }
}
