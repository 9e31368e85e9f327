//! What a change of the roster brings, and messages between members.

use std::collections::BTreeMap;

use base::prelude::*;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::claim::ClaimId;
use crate::message::{HandoverRow, Message};
use crate::quota::GRANT_TIMEOUT;
use crate::roster::Roster;

/// Messages that are kept for a roster that is not known yet.
const MOST_EARLY: usize = 1_024;

impl<C: Chooser> Engine<C> {
    /// Adopts a roster and cedes what this member no longer owns.
    pub(super) fn adopt_roster(
        &mut self,
        now: Now,
        asked_at: Moment,
        roster: &Roster,
        out: &mut Vec<Output>,
    ) {
        self.fleet.vacant = roster.number == 0;
        let longest = self.longest_linger();
        let before = self.tenure.roster().cloned();
        if !self.tenure.adopt(now.at, asked_at, roster, longest) {
            return;
        }
        let me = self.tenure.own_ident();
        self.ledger.adopt(now.at, me, before.as_ref(), roster);
        self.gossip.set_members(now.at, roster.members.keys().copied());
        let mut rows = self.surrender(now, roster);
        for to in self.tenure.handover().recipients.clone() {
            let rows = rows.remove(&to).unwrap_or_default();
            out.push(Output::message(to, Message::Handover { number: roster.number, rows }));
        }
        for to in roster.members.keys().copied().filter(|member| *member != me) {
            self.tell_records(to, out);
        }
        for (from, message) in std::mem::take(&mut self.early) {
            self.peer(now, from, message, out);
        }
        self.drain_queues(now, out);
    }

    /// Tells a member of the records that it has to keep by the present roster.
    fn tell_records(&self, to: u64, out: &mut Vec<Output>) {
        let Some(roster) = self.tenure.roster() else { return };
        let number = roster.number;
        if !roster.previous.contains(&self.tenure.own_ident()) {
            return;
        }
        for part in self.ledger.parts_for(roster, to) {
            out.push(Output::message(to, Message::Records { number, part }));
        }
    }

    /// Answers a member that misses what the change of the roster should have brought it.
    fn recalled(&self, from: u64, number: u64, out: &mut Vec<Output>) {
        if number != self.tenure.number() {
            return;
        }
        if self.tenure.handover().recipients.contains(&from) {
            // What was out went with the first cession; what is repeated is that nothing more is.
            out.push(Output::message(from, Message::Handover { number, rows: Vec::new() }));
        }
        self.tell_records(from, out);
    }

    /// Gives up the state of upstreams that others own now, by their owners.
    fn surrender(&mut self, now: Now, roster: &Roster) -> BTreeMap<u64, Vec<HandoverRow>> {
        let mut rows: BTreeMap<u64, Vec<HandoverRow>> = BTreeMap::new();
        let me = self.tenure.own_ident();
        for (upstream, allotment) in std::mem::take(&mut self.allotments) {
            match roster.owner(upstream) {
                Some(owner) if owner != me => {
                    let open = allotment.out.iter().filter(|(_, grant)| grant.until > now.at);
                    let grants = open.map(|(serial, grant)| (*serial, grant.holder)).collect();
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

    /// Returns how long any call or grant may last.
    fn longest_linger(&self) -> Span {
        let times = self.catalog.services.values().map(|service| service.timeout);
        GRANT_TIMEOUT + times.max().unwrap_or_default()
    }

    /// Takes a message of a peer.
    pub(super) fn peer(&mut self, now: Now, from: u64, message: Message, out: &mut Vec<Output>) {
        // What belongs to a roster that is not known here yet waits for it.
        if let Message::Handover { number, .. } | Message::Records { number, .. } = &message
            && *number > self.tenure.number()
        {
            self.early.push((from, message));
            self.early.truncate(MOST_EARLY);
            return;
        }
        match message {
            Message::Request { upstream, serial } => self.asked(now, from, upstream, serial, out),
            Message::Grant { upstream, serial } => self.granted(now, from, upstream, serial, out),
            Message::Deny { serial, .. } => self.denied(now, serial),
            Message::GrantResult { upstream, serial, result } => {
                if let Some(key) = self.catalog.upstream_by_ident(upstream) {
                    self.settled(now, key, serial, result, out);
                }
            }
            Message::Handover { number, rows } => self.ceded(now, from, number, &rows, out),
            Message::Claim { key, serial, number } => {
                self.claimed(now, from, (key, serial, number), out);
            }
            Message::ClaimAnswer { key, serial, verdict } => {
                self.claim_answered(now, from, key, serial, verdict, out);
            }
            Message::ClaimResult { key, serial, state } => {
                self.ledger.record_result(now.at, ClaimId { key, claimant: from, serial }, state);
            }
            Message::Records { number, part } => {
                if number == self.tenure.number() {
                    self.ledger.receive_part(now.at, from, &part);
                }
            }
            Message::Evidence { plan, rows } => self.take_evidence(from, plan, &rows),
            Message::Urgent(news) => self.hear(now, news, out),
            Message::Resend { number } => self.recalled(from, number, out),
            Message::Down { upstream } => self.told_down(now, upstream, out),
        }
    }

    fn ceded(
        &mut self,
        now: Now,
        from: u64,
        number: u64,
        rows: &[HandoverRow],
        out: &mut Vec<Output>,
    ) {
        if !self.tenure.record_handover(number, from) {
            return;
        }
        for row in rows {
            let Some(key) = self.catalog.upstream_by_ident(row.upstream) else { continue };
            let linger = self.linger(key);
            let allotment = self.allotment(key);
            allotment.limit = allotment.limit.max(row.limit);
            for (serial, holder) in &row.grants {
                allotment.take_over(now.at, *holder, *serial, linger);
            }
        }
        self.drain_queues(now, out);
    }
}
