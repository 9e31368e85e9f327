//! Requests to upstreams in a cold start, bounded in sum without agreement.
//!
//! A cold upstream has a set of senders, drawn by rendezvous hashing so that every node draws
//! nearly the same. Each sender sends at most one request in [`PACE`]. The set is so small that
//! two nodes with wholly different views still keep the sum within the bound.

use base::hash::mix;
use base::prelude::*;

use crate::Terms;

/// Time between two requests of one sender; above the second over which the sum is taken.
pub const PACE: Span = Span::millis(1_060);

/// Returns how many nodes may send to a cold upstream that bears `rate` requests a second.
#[must_use]
pub fn senders(terms: &Terms, rate: f64) -> usize {
    let bound = rate * terms.cold_factor + terms.cold_slack;
    let most = rate.min(bound / 2.0).floor();
    (most.max(1.0)) as usize
}

/// Tells whether `me` is among the `count` senders of an upstream.
///
/// Nodes in the upstream's failure domain come first; they are those whose identity is in `near`.
#[must_use]
pub fn is_sender(
    me: u64,
    upstream: u64,
    count: usize,
    nodes: impl Iterator<Item = (u64, bool)>,
) -> bool {
    let rank = |ident: u64, near: bool| (!near, mix(upstream ^ mix(ident)));
    let all: Vec<_> = nodes.map(|(ident, near)| (ident, rank(ident, near))).collect();
    let Some(own) = all.iter().find(|(ident, _)| *ident == me).map(|(_, rank)| *rank) else {
        return false;
    };
    all.iter().filter(|(_, rank)| *rank < own).count() < count
}
