//! Limits on the calls to upstreams in a cold start, kept by the owner of each upstream for all
//! members.
//!
//! The engine requests grants from the owner, which also may be itself, and reports how the granted
//! calls ended.

use std::collections::BTreeMap;

use base::prelude::*;

/// Time within which a grant has to be used, counted from its request.
pub const GRANT_TIMEOUT: Span = Span::millis(250);
/// Good responses, as a multiple of the limit, after which the limit doubles.
const ROUNDS_TO_DOUBLE: u32 = 2;
/// Multiple of the upstream's slots above which the limit ends a cold start.
const WARM_SLOT_MULTIPLE: u32 = 2;

symbols! {
    /// How a granted call ended.
    pub enum Result {
        /// A good response arrived.
        Good = "good",
        /// The grant was not used.
        Unused = "unused",
        /// The response shows that the upstream is still cold, or that it sheds load.
        Cold = "cold",
        /// The call failed.
        Bad = "bad",
    }
}

record! {
    /// Cold-start state of one upstream at its owner.
    pub struct Allotment {
        /// Maximum number of calls in progress at the upstream, over all members.
        pub limit: u32,
        /// Good responses since the limit last changed.
        pub good: u32,
        /// Open grants by serial number.
        pub out: BTreeMap<u64, Grant>,
    }

    /// An open grant.
    #[derive(Copy)]
    pub struct Grant {
        /// The member that holds the grant.
        pub holder: u64,
        /// When the granted call has certainly ended.
        pub until: Moment,
    }
}

impl Allotment {
    /// Creates the state of an upstream that takes `cold_limit` calls at first.
    #[must_use]
    pub fn new(cold_limit: u32) -> Self {
        Self { limit: cold_limit.max(1), good: 0, out: BTreeMap::new() }
    }

    /// Grants one call if the limit permits; `call_timeout` is how long a call may last.
    pub fn grant(&mut self, now: Moment, holder: u64, serial: u64, call_timeout: Span) -> bool {
        self.out.retain(|_, grant| grant.until > now);
        let free = (self.out.len() as u64) < u64::from(self.limit);
        if free {
            self.out.insert(serial, Grant { holder, until: now + GRANT_TIMEOUT + call_timeout });
        }
        free
    }

    /// Returns whether the limit permits one more call.
    #[must_use]
    pub fn is_free(&self, now: Moment) -> bool {
        let open = self.out.values().filter(|grant| grant.until > now).count();
        (open as u64) < u64::from(self.limit)
    }

    /// Takes over an open grant from a previous owner.
    pub fn take_over(&mut self, now: Moment, holder: u64, serial: u64, call_timeout: Span) {
        self.out.insert(serial, Grant { holder, until: now + GRANT_TIMEOUT + call_timeout });
    }

    /// Closes a grant, adjusts the limit and returns whether the cold start is over.
    ///
    /// A serial number without an open grant changes nothing, so that a repeated message counts
    /// once.
    pub fn complete(&mut self, serial: u64, result: Result, cold_limit: u32, slots: u32) -> bool {
        if self.out.remove(&serial).is_none() {
            return false;
        }
        match result {
            Result::Unused => {}
            Result::Good => {
                self.good += 1;
                if self.good >= ROUNDS_TO_DOUBLE * self.limit {
                    self.good = 0;
                    self.limit *= 2;
                }
            }
            Result::Cold => {
                self.good = 0;
                self.limit = cold_limit.max(1);
            }
            Result::Bad => {
                self.good = 0;
                self.limit = (self.limit / 2).max(cold_limit.max(1));
            }
        }
        self.limit > WARM_SLOT_MULTIPLE * slots.max(1)
    }
}
