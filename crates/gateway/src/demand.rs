//! How much of their slots the requests of a service keep busy, and whether upstreams could carry
//! that.

use std::collections::BTreeMap;

use base::prelude::*;

/// Time over which the demand is averaged.
const AVERAGE_TIME: Span = Span::seconds(2);
/// How much longer than usual the work takes on machines with noisy neighbours.
const SLOWDOWN: f64 = 1.5;
/// Part of the slots that requests may keep busy: beyond it they wait for each other, and a burst
/// finds no room.
const MAX_BUSY_PART: f64 = 0.5;

/// Slots that the requests of a service keep busy, lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Usual work that was done so far, in microseconds.
    work: f64,
    /// Mean of the slots that it keeps busy at the usual pace.
    slots: f64,
    observed_at: Option<Moment>,
}

impl Demand {
    /// Takes in the usual work that was done so far, in microseconds.
    pub fn observe(&mut self, now: Moment, work: f64) {
        let added = work - self.work;
        self.work = work;
        let Some(before) = self.observed_at.replace(now) else { return };
        let elapsed = now.since(before).0 as f64;
        if elapsed > 0.0 {
            let gain = 1.0 - (-elapsed / AVERAGE_TIME.0 as f64).exp();
            self.slots += gain * (added / elapsed - self.slots);
        }
    }

    /// Returns the slots that the requests keep busy.
    #[must_use]
    pub fn busy_slots(&self) -> f64 {
        self.slots * SLOWDOWN
    }

    /// Tells whether upstreams have slots enough for it.
    #[must_use]
    pub fn fits(&self, slots: f64) -> bool {
        self.busy_slots() <= MAX_BUSY_PART * slots
    }
}

/// Slots of upstreams by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    domains: BTreeMap<key::Domain, u32>,
}

impl Capacity {
    /// Adds the slots of an upstream.
    pub fn add(&mut self, domain: key::Domain, slots: u32) {
        *self.domains.entry(domain).or_default() += slots;
    }

    /// Returns the slots that remain without the `lost` largest failure domains.
    #[must_use]
    pub fn remaining_slots(&self, lost: usize) -> f64 {
        let mut slots: Vec<u32> = self.domains.values().copied().collect();
        slots.sort_unstable();
        slots.truncate(slots.len().saturating_sub(lost));
        slots.into_iter().map(f64::from).sum()
    }
}

/// Tells whether upstreams `part` could carry a demand without the others of `all`, even if `lost`
/// failure domains are out.
///
/// Where the others would not help against the loss of a domain either, it counts for nothing.
#[must_use]
pub fn can_serve_alone(demand: &Demand, part: &Capacity, all: &Capacity, lost: usize) -> bool {
    let others_help = all.remaining_slots(lost) > part.remaining_slots(lost);
    demand.fits(part.remaining_slots(0))
        && (!others_help || demand.fits(part.remaining_slots(lost)))
}
