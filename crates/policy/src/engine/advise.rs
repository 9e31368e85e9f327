//! Which entries callers should use.

use std::net::SocketAddr;

use base::prelude::*;
use rand::RngExt;

use super::Engine;
use crate::Now;
use crate::balance::Chooser;
use crate::roster::Member;

/// Calls that are added to each member's, so that idle ones share evenly.
const LOAD_BASE: f64 = 8.0;
/// Addresses in one answer at the most.
const MOST_ENTRIES: usize = 4;

impl<C: Chooser> Engine<C> {
    /// Returns the addresses that a caller should use, the best first.
    ///
    /// Members in the caller's failure domain come first, each group in an order that is drawn by
    /// load so that callers spread. Members that are suspected or in a withdrawn domain are left out, unless
    /// none is left.
    pub fn advise(
        &mut self,
        now: Now,
        _service: key::Service,
        domain: Option<&str>,
    ) -> Vec<SocketAddr> {
        let Some(roster) = self.tenure.roster() else { return Vec::new() };
        let members: Vec<&Member> = roster.members.values().collect();
        let open = |member: &&&Member| {
            let known = self.gossip.members().get(&member.ident);
            let leaves = self.fleet.leaving && member.ident == self.tenure.own_ident();
            if leaves || known.is_some_and(|known| !known.is_usable()) {
                return false;
            }
            let domain = self.catalog.domain(&member.domain);
            domain.is_none_or(|domain| !self.catalog.is_withdrawn(domain, now.unix_ms))
        };
        let usable: Vec<&Member> = members.iter().filter(open).copied().collect();
        let usable = if usable.is_empty() { members } else { usable };
        let usable: Vec<(bool, u64, SocketAddr)> = usable
            .into_iter()
            .map(|one| (Some(one.domain.as_str()) != domain, one.ident, one.caller))
            .collect();
        let mut ranked: Vec<(bool, f64, SocketAddr)> = usable
            .into_iter()
            .map(|(away, ident, caller)| (away, self.rank(ident), caller))
            .collect();
        ranked.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        ranked.into_iter().map(|(_, _, address)| address).take(MOST_ENTRIES).collect()
    }

    /// Draws a rank for a member: at random, and the later the more calls it has.
    fn rank(&mut self, ident: u64) -> f64 {
        let known = self.gossip.members().get(&ident).map(|member| member.calls as usize);
        let calls = known.unwrap_or(self.calls.len());
        // An exponential draw with the load as its mean spreads callers by the inverse of load.
        let drawn: f64 = self.rng.random();
        -(1.0 - drawn).ln() * (calls as f64 + LOAD_BASE)
    }
}
