//! Requests with idempotency keys.

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::call::{Call, Outcome, Refusal};
use crate::claim::{self, ClaimId, REPLICAS, Verdict};
use crate::message::Message;

/// Time for homes to answer a claim before it is tried again.
const ANSWER_TIME: Span = Span::millis(100);
/// Tries at a claim.
const MOST_TRIES: u32 = 10;

record! {
    /// A claim in progress, or one that was granted.
    pub struct Claim {
        /// The key.
        pub key: u64,
        /// This member's mark for the claim.
        pub serial: u64,
        /// Number of the roster by which the homes were chosen.
        pub number: u64,
        /// Homes that were asked.
        pub homes: Vec<u64>,
        /// Homes that granted it.
        pub granted: Vec<u64>,
        /// When it is tried again.
        pub again_at: Moment,
        /// Tries so far.
        pub tries: u32,
    }
}

impl Claim {
    fn is_granted(&self) -> bool {
        !self.homes.is_empty() && self.homes.iter().all(|home| self.granted.contains(home))
    }
}

impl<C: Chooser> Engine<C> {
    /// Asks both homes of a call's key whether it may run.
    pub(super) fn claim(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let Some(key) = self.calls.get(call).and_then(|call| call.request.key) else { return };
        if self.claims.contains_key(&key) {
            return self.refuse(now, call, Refusal::KeyRunning, Outcome::Unknown, out);
        }
        let me = self.tenure.own_ident();
        let roster = self.tenure.roster();
        let number = roster.map_or(0, |roster| roster.number);
        let homes: Vec<u64> =
            roster.map(|roster| roster.ranked(key).take(REPLICAS).collect()).unwrap_or_default();
        let tries = self.calls[call].claim.as_ref().map_or(0, |claim| claim.tries) + 1;
        let again_at = now.at + ANSWER_TIME;
        let serial = self.next_serial();
        let granted = Vec::new();
        let claim = Claim { key, serial, number, homes: homes.clone(), granted, again_at, tries };
        self.calls[call].claim = Some(claim);
        self.claims.insert(key, call);
        for home in homes {
            if home == me {
                let verdict = self.verdict(now, number, ClaimId { key, claimant: me, serial });
                self.claim_answered(now, me, key, serial, verdict, out);
            } else {
                out.push(Output::message(home, Message::Claim { key, serial, number }));
            }
        }
    }

    /// Answers a claim as a home of its key.
    pub(super) fn claimed(
        &mut self,
        now: Now,
        from: u64,
        asked: (u64, u64, u64),
        out: &mut Vec<Output>,
    ) {
        let (key, serial, number) = asked;
        let verdict = self.verdict(now, number, ClaimId { key, claimant: from, serial });
        out.push(Output::message(from, Message::ClaimAnswer { key, serial, verdict }));
    }

    fn verdict(&mut self, now: Now, number: u64, asked: ClaimId) -> Verdict {
        let me = self.tenure.own_ident();
        match self.tenure.roster() {
            Some(roster) if roster.number == number => self.ledger.claim(now.at, me, roster, asked),
            _ => Verdict::Unready,
        }
    }

    /// Takes in a home's answer to a claim.
    pub(super) fn claim_answered(
        &mut self,
        now: Now,
        from: u64,
        key: u64,
        serial: u64,
        verdict: Verdict,
        out: &mut Vec<Output>,
    ) {
        let call = self.claims.get(&key).copied();
        let claim = call.and_then(|call| self.calls.get_mut(call)?.claim.as_mut());
        let claim = claim.filter(|claim| claim.serial == serial && claim.homes.contains(&from));
        let (Some(call), Some(claim)) = (call, claim) else {
            // Nobody waits for it any more, so a grant must not stand.
            if verdict == Verdict::Granted {
                self.settle_home(now, from, key, serial, None, out);
            }
            return;
        };
        let before = claim.is_granted();
        let (refusal, outcome) = match verdict {
            Verdict::Granted => {
                claim.granted.push(from);
                if !before && claim.is_granted() {
                    self.place(now, call, out);
                }
                return;
            }
            // It is tried again in a moment.
            Verdict::Unready => return,
            // An earlier try of the same call may not have been taken back yet.
            Verdict::Running if claim.tries > 1 => return,
            Verdict::Running => (Refusal::KeyRunning, Outcome::Unknown),
            Verdict::Ran => (Refusal::KeyUsed, Outcome::Ran),
            Verdict::Unknown => (Refusal::KeyUnknown, Outcome::Unknown),
        };
        if !before {
            self.refuse(now, call, refusal, outcome, out);
        }
    }

    /// Tries claims again that have got no usable answer.
    pub(super) fn retry_claims(&mut self, now: Now, out: &mut Vec<Output>) {
        let due = self.claims.values().copied().filter(|call| {
            let claim = self.calls.get(*call).and_then(|call| call.claim.as_ref());
            claim.is_some_and(|claim| !claim.is_granted() && now.at >= claim.again_at)
        });
        for call in due.collect::<Vec<_>>() {
            let Some(known) = self.calls.get(call) else { continue };
            let tries = known.claim.as_ref().map_or(0, |claim| claim.tries);
            if tries >= MOST_TRIES || now.at >= known.request.deadline {
                self.refuse(now, call, Refusal::KeyUnavailable, Outcome::NotRun, out);
            } else {
                self.withdraw(now, call, out);
                self.claim(now, call, out);
            }
        }
    }

    /// Gives back what homes have granted of a claim that has not led to a run.
    fn withdraw(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let Some(claim) = self.calls[call].claim.clone() else { return };
        self.claims.remove(&claim.key);
        // A home that was asked may have granted it without its answer having come yet.
        for home in claim.homes {
            self.settle_home(now, home, claim.key, claim.serial, None, out);
        }
    }

    /// Tells the homes of a call's key what became of it.
    pub(super) fn settle_claim(
        &mut self,
        now: Now,
        call: &Call,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(claim) = &call.claim else { return };
        self.claims.remove(&claim.key);
        let state = match outcome {
            Outcome::NotRun => None,
            Outcome::Ran => Some(claim::State::Ran),
            Outcome::Unknown => Some(claim::State::Unknown),
        };
        // A claim that was not granted by both has not run, whatever another request did.
        let state = state.filter(|_| claim.is_granted());
        for home in claim.homes.clone() {
            self.settle_home(now, home, claim.key, claim.serial, state, out);
        }
    }

    fn settle_home(
        &mut self,
        now: Now,
        home: u64,
        key: u64,
        serial: u64,
        state: Option<claim::State>,
        out: &mut Vec<Output>,
    ) {
        let me = self.tenure.own_ident();
        if home == me {
            self.ledger.record_result(now.at, ClaimId { key, claimant: me, serial }, state);
        } else {
            out.push(Output::message(home, Message::ClaimResult { key, serial, state }));
        }
    }
}
