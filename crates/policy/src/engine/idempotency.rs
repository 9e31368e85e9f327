//! Claims on idempotency keys, made before a request that must run only once is sent.
//!
//! A key has two replicas among the members, which keep its record. A request runs only if both
//! grant its claim. This module holds the claiming side and answers claims as a replica; the
//! records themselves are kept by [`crate::claim`].

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::call::{Call, Outcome, Refusal};
use crate::claim::{self, ClaimId, REPLICAS, Verdict};
use crate::message::Message;

/// Time within which replicas have to answer a claim before it is retried.
const REPLY_TIMEOUT: Span = Span::millis(100);
/// Maximum number of tries to claim a key for one call.
const MAX_TRIES: u32 = 10;

record! {
    /// A claim on an idempotency key, pending or granted.
    pub struct Claim {
        /// Digest of the idempotency key.
        pub key: u64,
        /// Serial number of the claim.
        pub serial: u64,
        /// Number of the roster by which the replicas were chosen.
        pub number: u64,
        /// Replicas of the key to which the claim was sent.
        pub replicas: Vec<u64>,
        /// Replicas that granted the claim.
        pub granted: Vec<u64>,
        /// Time at which the claim is retried.
        pub retry_at: Moment,
        /// Number of tries so far.
        pub tries: u32,
    }
}

impl Claim {
    fn is_granted(&self) -> bool {
        !self.replicas.is_empty()
            && self.replicas.iter().all(|replica| self.granted.contains(replica))
    }
}

impl<C: Chooser> Engine<C> {
    /// Claims the key of a call at both replicas.
    pub(super) fn start_claim(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let Some(key) = self.calls.get(call).and_then(|call| call.request.key) else { return };
        if self.claims.contains_key(&key) {
            return self.refuse(now, call, Refusal::KeyRunning, Outcome::Unknown, out);
        }
        let own_ident = self.lease.own_ident();
        let roster = self.lease.roster();
        let number = roster.map_or(0, |roster| roster.number);
        let replicas: Vec<u64> =
            roster.map(|roster| roster.ranked(key).take(REPLICAS).collect()).unwrap_or_default();
        let tries = self.calls[call].claim.as_ref().map_or(0, |claim| claim.tries) + 1;
        let retry_at = now.at + REPLY_TIMEOUT;
        let serial = self.next_serial();
        let granted = Vec::new();
        let claim =
            Claim { key, serial, number, replicas: replicas.clone(), granted, retry_at, tries };
        self.calls[call].claim = Some(claim);
        self.claims.insert(key, call);
        for replica in replicas {
            if replica == own_ident {
                let verdict =
                    self.decide_claim(now, number, ClaimId { key, claimant: own_ident, serial });
                self.on_claim_answer(now, own_ident, key, serial, verdict, out);
            } else {
                out.push(Output::message(replica, Message::Claim { key, serial, number }));
            }
        }
    }

    /// Answers a claim as a replica of its key.
    pub(super) fn on_claim(
        &mut self,
        now: Now,
        from: u64,
        claim: (u64, u64, u64),
        out: &mut Vec<Output>,
    ) {
        let (key, serial, number) = claim;
        let verdict = self.decide_claim(now, number, ClaimId { key, claimant: from, serial });
        out.push(Output::message(from, Message::ClaimAnswer { key, serial, verdict }));
    }

    fn decide_claim(&mut self, now: Now, number: u64, claim: ClaimId) -> Verdict {
        let own_ident = self.lease.own_ident();
        match self.lease.roster() {
            Some(roster) if roster.number == number => {
                self.records.claim(now.at, own_ident, roster, claim)
            }
            _ => Verdict::Unready,
        }
    }

    /// Applies a replica's reply to a claim and starts the call once both replicas granted it.
    pub(super) fn on_claim_answer(
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
        let claim = claim.filter(|claim| claim.serial == serial && claim.replicas.contains(&from));
        let (Some(call), Some(claim)) = (call, claim) else {
            // The call is gone, so the grant has to be released.
            if verdict == Verdict::Granted {
                self.send_claim_result(now, from, key, serial, None, out);
            }
            return;
        };
        let was_granted = claim.is_granted();
        let (refusal, outcome) = match verdict {
            Verdict::Granted => {
                claim.granted.push(from);
                if !was_granted && claim.is_granted() {
                    self.dispatch_or_queue(now, call, out);
                }
                return;
            }
            // The claim is retried at `retry_at`.
            Verdict::Unready => return,
            // The record may stem from an earlier try of the same call that is not released yet.
            Verdict::Running if claim.tries > 1 => return,
            Verdict::Running => (Refusal::KeyRunning, Outcome::Unknown),
            Verdict::Ran => (Refusal::KeyUsed, Outcome::Ran),
            Verdict::Unknown => (Refusal::KeyUnknown, Outcome::Unknown),
        };
        if !was_granted {
            self.refuse(now, call, refusal, outcome, out);
        }
    }

    /// Retries the claims that got no usable answer in time.
    pub(super) fn retry_claims(&mut self, now: Now, out: &mut Vec<Output>) {
        let due = self.claims.values().copied().filter(|call| {
            let claim = self.calls.get(*call).and_then(|call| call.claim.as_ref());
            claim.is_some_and(|claim| !claim.is_granted() && now.at >= claim.retry_at)
        });
        for call in due.collect::<Vec<_>>() {
            let Some(open_call) = self.calls.get(call) else { continue };
            let tries = open_call.claim.as_ref().map_or(0, |claim| claim.tries);
            if tries >= MAX_TRIES || now.at >= open_call.request.deadline {
                self.refuse(now, call, Refusal::KeyUnavailable, Outcome::NotRun, out);
            } else {
                self.withdraw_claim(now, call, out);
                self.start_claim(now, call, out);
            }
        }
    }

    /// Withdraws a claim from its replicas before the call was started.
    fn withdraw_claim(&mut self, now: Now, call: key::Call, out: &mut Vec<Output>) {
        let Some(claim) = self.calls[call].claim.clone() else { return };
        self.claims.remove(&claim.key);
        // A replica may have granted the claim with its reply still in transit.
        for replica in claim.replicas {
            self.send_claim_result(now, replica, claim.key, claim.serial, None, out);
        }
    }

    /// Reports the outcome of a call to the replicas of its key.
    pub(super) fn report_claim_result(
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
        // Without a grant of both replicas this call has not run, whatever another request did.
        let state = state.filter(|_| claim.is_granted());
        for replica in claim.replicas.clone() {
            self.send_claim_result(now, replica, claim.key, claim.serial, state, out);
        }
    }

    fn send_claim_result(
        &mut self,
        now: Now,
        replica: u64,
        key: u64,
        serial: u64,
        state: Option<claim::State>,
        out: &mut Vec<Output>,
    ) {
        let own_ident = self.lease.own_ident();
        if replica == own_ident {
            self.records.record_result(now.at, ClaimId { key, claimant: own_ident, serial }, state);
        } else {
            out.push(Output::message(replica, Message::ClaimResult { key, serial, state }));
        }
    }
}
