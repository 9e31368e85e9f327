//! Handover of ownership after a roster change, and dispatch of messages from peers.
//!
//! The roster determines who owns each upstream and who keeps each idempotency record. After a
//! change, the previous owners hand their state over to the new ones.

use std::collections::BTreeMap;

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::claim::ClaimId;
use crate::message::{HandoverRow, Message};
use crate::quota::GRANT_TIMEOUT;
use crate::roster::Roster;

/// Maximum number of messages kept until the roster that they refer to is known.
const MAX_EARLY_MESSAGES: usize = 1_024;

impl<C: Chooser> Engine<C> {
    /// Adopts a roster, if it is newer, and hands over what this member no longer owns.
    pub(super) fn adopt_roster(
        &mut self,
        now: Now,
        asked_at: Moment,
        roster: &Roster,
        out: &mut Vec<Output>,
    ) {
        self.membership.no_roster = roster.number == 0;
        let max_lifetime = self.max_grant_lifetime();
        let previous = self.lease.roster().cloned();
        if !self.lease.adopt(now.at, asked_at, roster, max_lifetime) {
            return;
        }
        let own_ident = self.lease.own_ident();
        self.records.adopt(now.at, own_ident, previous.as_ref(), roster);
        self.gossip.set_members(now.at, roster.members.keys().copied());
        let mut rows = self.hand_over_allotments(now, roster);
        for to in self.lease.handover().recipients.clone() {
            let rows = rows.remove(&to).unwrap_or_default();
            out.push(Output::message(to, Message::Handover { number: roster.number, rows }));
        }
        for to in roster.members.keys().copied().filter(|member| *member != own_ident) {
            self.send_records(to, out);
        }
        for (from, message) in std::mem::take(&mut self.early_messages) {
            self.on_message(now, from, message, out);
        }
        self.drain_queues(now, out);
    }

    /// Sends the idempotency records that a member has to keep under the current roster.
    fn send_records(&self, to: u64, out: &mut Vec<Output>) {
        let Some(roster) = self.lease.roster() else { return };
        let number = roster.number;
        if !roster.previous.contains(&self.lease.own_ident()) {
            return;
        }
        for part in self.records.parts_for(roster, to) {
            out.push(Output::message(to, Message::Records { number, part }));
        }
    }

    /// Resends the handover and the records of the last roster change to a member that misses them.
    fn on_resend(&self, from: u64, number: u64, out: &mut Vec<Output>) {
        if number != self.lease.number() {
            return;
        }
        if self.lease.handover().recipients.contains(&from) {
            // The first handover listed the open grants, which are not kept here any more. The
            // resent one only states that there are no others.
            out.push(Output::message(from, Message::Handover { number, rows: Vec::new() }));
        }
        self.send_records(from, out);
    }

    /// Removes the allotments of upstreams that other members own now, and returns them by owner.
    fn hand_over_allotments(
        &mut self,
        now: Now,
        roster: &Roster,
    ) -> BTreeMap<u64, Vec<HandoverRow>> {
        let mut rows: BTreeMap<u64, Vec<HandoverRow>> = BTreeMap::new();
        let own_ident = self.lease.own_ident();
        for (upstream, allotment) in std::mem::take(&mut self.allotments) {
            match roster.owner(upstream) {
                Some(owner) if owner != own_ident => {
                    let open_grants =
                        allotment.out.iter().filter(|(_, grant)| grant.until > now.at);
                    let grants =
                        open_grants.map(|(serial, grant)| (*serial, grant.holder)).collect();
                    let row = HandoverRow { upstream, limit: allotment.limit, grants };
                    rows.entry(owner).or_default().push(row);
                }
                _ => {
                    self.allotments.insert(upstream, allotment);
                }
            }
        }
        rows
    }

    /// Returns the longest time for which a grant and its call may last.
    fn max_grant_lifetime(&self) -> Span {
        let timeouts = self.catalog.services.values().map(|service| service.timeout);
        GRANT_TIMEOUT + timeouts.max().unwrap_or_default()
    }

    /// Processes a message from a peer.
    pub(super) fn on_message(
        &mut self,
        now: Now,
        from: u64,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        // Messages that refer to a newer roster wait until this member knows it.
        if let Message::Handover { number, .. } | Message::Records { number, .. } = &message
            && *number > self.lease.number()
        {
            self.early_messages.push((from, message));
            self.early_messages.truncate(MAX_EARLY_MESSAGES);
            return;
        }
        match message {
            Message::Request { upstream, serial } => self.on_ask(now, from, upstream, serial, out),
            Message::Grant { upstream, serial } => self.on_grant(now, from, upstream, serial, out),
            Message::Deny { serial, .. } => self.on_denial(now, serial),
            Message::GrantResult { upstream, serial, result } => {
                if let Some(key) = self.catalog.upstream_by_ident(upstream) {
                    self.apply_grant_result(now, key, serial, result, out);
                }
            }
            Message::Handover { number, rows } => self.on_handover(now, from, number, &rows, out),
            Message::Claim { key, serial, number } => {
                self.on_claim(now, from, (key, serial, number), out);
            }
            Message::ClaimAnswer { key, serial, verdict } => {
                self.on_claim_answer(now, from, key, serial, verdict, out);
            }
            Message::ClaimResult { key, serial, state } => {
                self.records.record_result(now.at, ClaimId { key, claimant: from, serial }, state);
            }
            Message::Records { number, part } => {
                if number == self.lease.number() {
                    self.records.receive_part(now.at, from, &part);
                }
            }
            Message::Evidence { plan, rows } => self.apply_evidence(from, plan, &rows),
            Message::Urgent(update) => self.on_update(now, update, out),
            Message::Resend { number } => self.on_resend(from, number, out),
            Message::Down { upstream } => self.on_down_report(now, upstream, out),
        }
    }

    /// Takes over upstreams from a previous owner with their limits and open grants.
    fn on_handover(
        &mut self,
        now: Now,
        from: u64,
        number: u64,
        rows: &[HandoverRow],
        out: &mut Vec<Output>,
    ) {
        if !self.lease.record_handover(number, from) {
            return;
        }
        for row in rows {
            let Some(key) = self.catalog.upstream_by_ident(row.upstream) else { continue };
            let call_timeout = self.call_timeout(key);
            let allotment = self.allotment(key);
            allotment.limit = allotment.limit.max(row.limit);
            for (serial, holder) in &row.grants {
                allotment.take_over(now.at, *holder, *serial, call_timeout);
            }
        }
        self.drain_queues(now, out);
    }
}
