//! Estimate of the slots that a service's requests occupy, and check of whether upstreams have
//! enough of them.
//!
//! The driver of a trial uses it before it moves all traffic to the target version.

use std::collections::BTreeMap;

use base::prelude::*;

/// Time constant of the moving average of the demand.
const AVERAGE_TIME: Span = Span::seconds(2);
/// Factor on service times, as machines with noisy neighbours take longer.
const SLOWDOWN_ALLOWANCE: f64 = 1.5;
/// Maximum part of the slots that may be busy: above it, requests queue and bursts find no free
/// slot.
const MAX_BUSY_PART: f64 = 0.5;

/// Moving average of the slots that the requests of a service occupy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Sum of all service times at the last observation, in microseconds.
    service_us: f64,
    /// Average number of slots that they occupy without a slowdown.
    slots: f64,
    observed_at: Option<Moment>,
}

impl Demand {
    /// Updates the average from the sum of all service times so far, in microseconds.
    pub fn observe(&mut self, now: Moment, service_us: f64) {
        let added = service_us - self.service_us;
        self.service_us = service_us;
        let Some(before) = self.observed_at.replace(now) else { return };
        let elapsed = now.since(before).0 as f64;
        if elapsed > 0.0 {
            let weight = 1.0 - (-elapsed / AVERAGE_TIME.0 as f64).exp();
            self.slots += weight * (added / elapsed - self.slots);
        }
    }

    /// Returns the slots that the requests occupy, with an allowance for slow machines.
    #[must_use]
    pub fn busy_slots(&self) -> f64 {
        self.slots * SLOWDOWN_ALLOWANCE
    }

    /// Returns whether the given number of slots is enough.
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

    /// Returns the slots that remain if the `lost` largest failure domains are lost.
    #[must_use]
    pub fn remaining_slots(&self, lost: usize) -> f64 {
        let mut slots: Vec<u32> = self.domains.values().copied().collect();
        slots.sort_unstable();
        slots.truncate(slots.len().saturating_sub(lost));
        slots.into_iter().map(f64::from).sum()
    }
}

/// Returns whether the upstreams in `part` could serve a demand without the others in `all`, even
/// if `lost` failure domains are lost.
///
/// The loss of domains is not considered if keeping the others would not add capacity after it.
#[must_use]
pub fn can_serve_alone(demand: &Demand, part: &Capacity, all: &Capacity, lost: usize) -> bool {
    let others_help = all.remaining_slots(lost) > part.remaining_slots(lost);
    demand.fits(part.remaining_slots(0))
        && (!others_help || demand.fits(part.remaining_slots(lost)))
}
