//! The nodes with which a node exchanges heartbeats, out of all nodes of its failure domain.
//!
//! The nodes of a domain form several rings, each ordered by another hash of their identities, and
//! the neighbours of a node are those before and after it on each ring. The number of neighbours
//! therefore does not grow with the domain, while any two nodes are a few hops apart and the loss
//! of many nodes hardly ever separates the others (random regular graphs are expanders). Nodes that
//! know the same nodes agree on who is whose neighbour without messages; a difference between their
//! views only moves a few neighbours.

use std::collections::BTreeSet;

use base::hash::mix;

/// Number of rings.
const RINGS: u64 = 3;
/// Maximum number of neighbours of a node.
pub const MAX_NEIGHBOURS: usize = 2 * RINGS as usize;

/// Returns the neighbours of the node `own` among `nodes`, which may include it.
///
/// Up to [`MAX_NEIGHBOURS`] other nodes are all neighbours.
#[must_use]
pub fn neighbours(own: u64, nodes: impl Iterator<Item = u64>) -> BTreeSet<u64> {
    let others: Vec<u64> = nodes.filter(|node| *node != own).collect();
    if others.len() <= MAX_NEIGHBOURS {
        return others.into_iter().collect();
    }
    (0..RINGS).flat_map(|ring| adjacent(ring, own, &others)).collect()
}

/// Returns the nodes before and after `own` on a ring.
fn adjacent(ring: u64, own: u64, others: &[u64]) -> impl Iterator<Item = u64> {
    let position = |node: u64| mix(node ^ mix(ring + 1));
    let start = position(own);
    // Distances around the ring wrap, as the arithmetic does.
    let after = others.iter().min_by_key(|node| position(**node).wrapping_sub(start)).copied();
    let before = others.iter().min_by_key(|node| start.wrapping_sub(position(**node))).copied();
    after.into_iter().chain(before)
}
