//! Limit on requests to upstreams in a cold start.
//!
//! The limit holds in sum over all nodes, without coordination. Only nodes in the upstream's own
//! failure domain send it requests while it is cold. A node's share depends on how many such nodes
//! are known, whether or not they respond, so nodes that are partitioned from each other keep the
//! same sum. A node that has just started sends nothing for the length of the window, because its
//! previous process may have used the share.

use std::collections::VecDeque;

use base::hash::mix;
use base::prelude::*;

use crate::Terms;

/// Window over which the requests are summed: one second and a margin for requests in flight.
pub const WINDOW: Span = Span::millis(1_060);
/// Part of the limit that is distributed; the rest is reserved for nodes that are not known yet.
const DISTRIBUTED_PART: f64 = 0.7;

/// Returns how many requests per window a node may send to a cold upstream.
///
/// `rate` is the number of requests per second that the upstream can handle, `nodes` are the nodes
/// of its failure domain, including this one.
#[must_use]
pub fn share(
    terms: &Terms,
    rate: f64,
    own_ident: u64,
    upstream: u64,
    nodes: impl Iterator<Item = u64>,
) -> usize {
    let limit = rate * terms.cold_factor + terms.cold_slack;
    let total = rate.min(limit * DISTRIBUTED_PART).max(1.0) as usize;
    let rank = |ident: u64| mix(upstream ^ mix(ident));
    let mut ranked: Vec<u64> = nodes.map(rank).collect();
    ranked.sort_unstable();
    let Some(position) = ranked.iter().position(|node| *node == rank(own_ident)) else { return 0 };
    let each = total / ranked.len();
    // The remainder goes to the nodes that rank first.
    each + usize::from(position < total % ranked.len())
}

record! {
    /// Times of a node's latest requests to an upstream.
    #[derive(Default)]
    pub struct Sends {
        times: VecDeque<Moment>,
    }
}

impl Sends {
    /// Returns whether one more request fits into a share of the current window.
    #[must_use]
    pub fn fits(&self, now: Moment, share: usize) -> bool {
        self.times.iter().filter(|at| now.since(**at) < WINDOW).count() < share
    }

    /// Records a request and drops those that are older than the window.
    pub fn record(&mut self, now: Moment) {
        self.times.retain(|at| now.since(*at) < WINDOW);
        self.times.push_back(now);
    }
}
