//! What the owner of an upstream in a cold start lets it bear, over all entries.

use std::collections::BTreeMap;

use base::prelude::*;

/// Time within which a grant has to be used.
pub const GRANT_TIMEOUT: Span = Span::millis(250);
/// Good answers for each call of the limit before the limit doubles.
const ROUNDS_TO_DOUBLE: u32 = 2;
/// The limit, in slots, at which a cold start is over.
const WARM_SLOT_MULTIPLE: u32 = 2;

symbols! {
    /// How a granted call ended.
    pub enum Result {
        /// A good answer came.
        Good = "good",
        /// The grant was not used.
        Unused = "unused",
        /// The answer shows that the upstream is still cold, or it sheds load.
        Cold = "cold",
        /// The call failed.
        Bad = "bad",
    }
}

record! {
    /// The state of one upstream at its owner.
    pub struct Allotment {
        /// Calls that the upstream may have in progress, over all entries.
        pub limit: u32,
        /// Good answers since the limit last changed.
        pub good: u32,
        /// Grants that are out, by serial.
        pub out: BTreeMap<u64, Grant>,
    }

    /// A grant that is out.
    #[derive(Copy)]
    pub struct Grant {
        /// The member that holds it.
        pub holder: u64,
        /// When it is certain that nothing of it is left.
        pub until: Moment,
    }
}

impl Allotment {
    /// Makes the state of an upstream that bears `cold` calls.
    #[must_use]
    pub fn new(cold_limit: u32) -> Self {
        Self { limit: cold_limit.max(1), good: 0, out: BTreeMap::new() }
    }

    /// Grants one call if the limit permits; `linger` is how long a call may last.
    pub fn grant(&mut self, now: Moment, holder: u64, serial: u64, call_timeout: Span) -> bool {
        self.out.retain(|_, grant| grant.until > now);
        let free = (self.out.len() as u64) < u64::from(self.limit);
        if free {
            self.out.insert(serial, Grant { holder, until: now + GRANT_TIMEOUT + call_timeout });
        }
        free
    }

    /// Tells whether the limit permits one more call.
    #[must_use]
    pub fn is_free(&self, now: Moment) -> bool {
        let out = self.out.values().filter(|grant| grant.until > now).count();
        (out as u64) < u64::from(self.limit)
    }

    /// Takes over a call that an owner before had let go.
    pub fn take_over(&mut self, now: Moment, holder: u64, serial: u64, call_timeout: Span) {
        self.out.insert(serial, Grant { holder, until: now + GRANT_TIMEOUT + call_timeout });
    }

    /// Settles a grant and returns whether the cold start is over.
    ///
    /// A serial that is not out changes nothing, so that a repeated message counts once.
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
