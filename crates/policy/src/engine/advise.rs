//! Which entries callers should use.

use std::net::SocketAddr;

use base::prelude::*;
use rand::seq::SliceRandom;

use super::Engine;
use crate::Now;
use crate::balance::Chooser;
use crate::roster::Member;

/// Addresses in one answer at the most.
const MOST_ENTRIES: usize = 4;

impl<C: Chooser> Engine<C> {
    /// Returns the addresses that a caller should use, the best first.
    ///
    /// Members in the caller's failure domain come first, each group in random order so that
    /// callers spread. Members that are suspected or in a withdrawn domain are left out, unless
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
            let leaves = self.fleet.leaving && member.ident == self.tenure.me();
            if leaves || known.is_some_and(|known| !known.is_usable()) {
                return false;
            }
            let domain = self.catalog.domain(&member.domain);
            domain.is_none_or(|domain| !self.catalog.is_out(domain, now.unix_ms))
        };
        let usable: Vec<&Member> = members.iter().filter(open).copied().collect();
        let usable = if usable.is_empty() { members } else { usable };
        let mut near = Vec::new();
        let mut far = Vec::new();
        for member in usable {
            let list = if Some(member.domain.as_str()) == domain { &mut near } else { &mut far };
            list.push(member.caller);
        }
        near.shuffle(&mut self.rng);
        far.shuffle(&mut self.rng);
        near.extend(far);
        near.truncate(MOST_ENTRIES);
        near
    }
}
