//! Requests to upstreams in a cold start, bounded in sum without agreement.
//!
//! Only the nodes of an upstream's own failure domain send it requests while it is cold. Each has
//! a share that follows from how many such nodes are known, heard or not, so that nodes that are
//! cut off from each other keep the same sum. A node that has just started sends nothing for the
//! length of the window, as its process before may have used the share.

use std::collections::VecDeque;

use base::hash::mix;
use base::prelude::*;

use crate::Terms;

/// Length over which the sum is taken, and a margin for requests on their way.
pub const WINDOW: Span = Span::millis(1_060);
/// Part of the bound that is shared out; nodes that are not known yet take the rest.
const DISTRIBUTED_PART: f64 = 0.7;

/// Returns how many requests a window a node may send to a cold upstream.
///
/// `rate` is what the upstream bears a second, `nodes` are those of its failure domain.
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
    // What cannot be shared evenly goes to the first ones.
    each + usize::from(position < total % ranked.len())
}

record! {
    /// When a node sent its last requests to a cold upstream.
    #[derive(Default)]
    pub struct Sends {
        times: VecDeque<Moment>,
    }
}

impl Sends {
    /// Tells whether one more request fits into a share.
    #[must_use]
    pub fn fits(&self, now: Moment, share: usize) -> bool {
        self.times.iter().filter(|at| now.since(**at) < WINDOW).count() < share
    }

    /// Counts a request.
    pub fn record(&mut self, now: Moment) {
        self.times.retain(|at| now.since(*at) < WINDOW);
        self.times.push_back(now);
    }
}
