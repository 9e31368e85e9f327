//! Which entries callers should use.

use std::net::SocketAddr;

use base::prelude::*;
use rand::RngExt;

use super::Engine;
use crate::Now;
use crate::balance::Chooser;
use crate::roster::Member;

/// Calls that are added to each member's, so that idle ones share evenly.
const BASE_CALLS: f64 = 8.0;
/// Addresses in one answer at the most.
const MAX_ENTRIES: usize = 4;

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
        let Some(roster) = self.lease.roster() else { return Vec::new() };
        let members: Vec<&Member> = roster.members.values().collect();
        let is_available = |member: &&&Member| {
            let known = self.gossip.members().get(&member.ident);
            let is_leaving = self.membership.leaving && member.ident == self.lease.me();
            if is_leaving || known.is_some_and(|known| !known.is_usable()) {
                return false;
            }
            let domain = self.catalog.domain(&member.domain);
            domain.is_none_or(|domain| !self.catalog.is_out(domain, now.unix_ms))
        };
        let usable: Vec<&Member> = members.iter().filter(is_available).copied().collect();
        let usable = if usable.is_empty() { members } else { usable };
        let usable: Vec<(bool, u64, SocketAddr)> = usable
            .into_iter()
            .map(|member| (Some(member.domain.as_str()) != domain, member.ident, member.caller))
            .collect();
        let mut ranked: Vec<(bool, f64, SocketAddr)> = usable
            .into_iter()
            .map(|(is_remote, ident, caller)| (is_remote, self.sample_rank(ident), caller))
            .collect();
        ranked.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        ranked.into_iter().map(|(_, _, address)| address).take(MAX_ENTRIES).collect()
    }

    /// Draws a rank for a member: at random, and the later the more calls it has.
    fn sample_rank(&mut self, ident: u64) -> f64 {
        let known = self.gossip.members().get(&ident).map(|member| member.calls as usize);
        let calls = known.unwrap_or(self.calls.len());
        // An exponential draw with the load as its mean spreads callers by the inverse of load.
        let sample: f64 = self.rng.random();
        -(1.0 - sample).ln() * (calls as f64 + BASE_CALLS)
    }
}
