//! Recommends entries to callers.
//!
//! The entry's directory listener calls this when a caller asks which entries to use.

use std::net::SocketAddr;

use base::prelude::*;
use rand::RngExt;

use super::Engine;
use crate::Now;
use crate::balance::Chooser;
use crate::roster::Member;

/// Calls added to each member's count, so that idle members get equal shares.
const BASE_CALLS: f64 = 8.0;
/// Maximum number of addresses in one reply.
const MAX_ENTRIES: usize = 4;

impl<C: Chooser> Engine<C> {
    /// Returns the addresses of the entries that a caller should use, in order of preference.
    ///
    /// Members in the caller's failure domain come first. Within each group the order is random and
    /// weighted by load, so that callers spread over the members. Members that are suspected to be
    /// down, that leave, or whose domain is withdrawn are excluded, unless this excludes all.
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
            let is_leaving = self.membership.leaving && member.ident == self.lease.own_ident();
            if is_leaving || known.is_some_and(|known| !known.is_usable()) {
                return false;
            }
            let domain = self.catalog.domain(&member.domain);
            domain.is_none_or(|domain| !self.catalog.is_withdrawn(domain, now.unix_ms))
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

    /// Returns a random rank for a member, which is higher on average the more calls it has.
    fn sample_rank(&mut self, ident: u64) -> f64 {
        let known = self.gossip.members().get(&ident).map(|member| member.calls as usize);
        let calls = known.unwrap_or(self.calls.len());
        // An exponential distribution with the load as its mean gives each member a share of the
        // callers that is inversely proportional to its load.
        let sample: f64 = self.rng.random();
        -(1.0 - sample).ln() * (calls as f64 + BASE_CALLS)
    }
}
