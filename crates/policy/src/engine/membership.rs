//! Membership: heartbeats, the agreement on a roster, and the spread of updates by gossip.
//!
//! Each tick sends heartbeats to some peers. A heartbeat and its reply carry a [`Digest`] of the
//! sender's state with pending updates. Members confirm the roster with the store or with each
//! other, and propose a new one when members join or fail.

use base::prelude::*;
use rand::RngExt;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::member;
use crate::message::{Digest, Frame, Message, Update};
use crate::roster::{Member, Roster};
use crate::upstream::{Event, State};

/// Age of the roster's last confirmation at which a member reads the store itself.
const CONFIRM_AGE: Span = Span::millis(1_200);
/// Additional delay of each further member, so that the one before it reads the store first.
const CONFIRM_DELAY_STEP: Span = Span::millis(500);
/// Maximum of that additional delay.
const MAX_CONFIRM_DELAY: Span = Span::millis(1_500);
/// Minimum interval between two reads of the store.
const CONFIRM_INTERVAL: Span = Span::millis(800);
/// Maximum random extension of that interval, so that members do not read the store at once.
const CONFIRM_JITTER: Span = Span::millis(800);
/// Time without contact to a member after which a joiner proposes a roster of itself alone.
const SELF_ADMISSION_TIMEOUT: Span = Span::seconds(30);
/// Additional delay of each further member before it proposes a roster.
const PROPOSE_DELAY_STEP: Span = Span::millis(500);
/// Interval between requests to resend missing records.
const RESEND_INTERVAL: Span = Span::seconds(2);
/// Interval between two proposals of one member.
const PROPOSE_INTERVAL: Span = Span::seconds(2);

/// State of the membership protocol at one member.
#[derive(Clone, Debug, Default)]
pub(super) struct Membership {
    /// This member as the roster lists it, `None` if it does not take part in the protocol.
    pub member: Option<Member>,
    /// Members that have requested to join.
    joiners: Vec<Member>,
    /// Whether the store contains no roster.
    pub no_roster: bool,
    /// Whether any member has replied since the start.
    has_contact: bool,
    /// Time of the first tick.
    started_at: Option<Moment>,
    /// Earliest time of the next read of the store.
    next_confirm_at: Moment,
    /// Earliest time of the next request to resend records.
    next_resend_at: Moment,
    /// Earliest time of the next proposal, `None` while the roster needs no change.
    next_propose_at: Option<Moment>,
    /// Whether this member is about to stop.
    pub leaving: bool,
}

impl<C: Chooser> Engine<C> {
    /// Processes a frame from a peer.
    pub(super) fn on_frame(&mut self, now: Now, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Probe(digest) => {
                let (sent_at, is_new, peer_roster) =
                    (digest.sent_at, digest.just_started, digest.roster);
                self.apply_digest(now, from, digest, out);
                let mut reply = self.digest(now, sent_at);
                if peer_roster < reply.roster {
                    reply.newer_roster = self.lease.roster().cloned().map(Box::new);
                }
                if is_new {
                    reply.updates = self.all_updates();
                }
                out.push(Output::Send { to: from, frame: Frame::Reply(reply) });
            }
            Frame::Reply(digest) => self.on_reply(now, from, digest, out),
            Frame::Message(message) => self.on_message(now, from, message, out),
            // The dispatcher handles transfers of the stored configuration.
            Frame::Fetch | Frame::Config(_) => {}
        }
    }

    fn on_reply(&mut self, now: Now, from: u64, digest: Digest, out: &mut Vec<Output>) {
        self.membership.has_contact = true;
        // The peer replied after the heartbeat was sent, so its roster was current at some time
        // after the heartbeat was sent less the roster age in the reply.
        let asked_at = digest.sent_at - digest.roster_age;
        let (sent_at, number) = (digest.sent_at, digest.roster);
        if let Some(newer) = &digest.newer_roster {
            self.adopt_roster(now, asked_at, newer, out);
        }
        self.lease.confirm_number(asked_at, number);
        self.lease.record_confirmation(from, sent_at, number);
        if let Some(member) = self.gossip.member_mut(from) {
            member.answered_at = now.at;
        }
        self.apply_digest(now, from, digest, out);
    }

    /// Applies the digest of a heartbeat or a reply.
    fn apply_digest(&mut self, now: Now, from: u64, digest: Digest, out: &mut Vec<Output>) {
        if let Some(roster) = self.lease.roster().filter(|roster| roster.number == digest.roster) {
            let listed = roster.members.keys().copied();
            self.gossip.receive_heartbeats(now.at, &self.charts, listed, &digest.heartbeats);
        }
        if let Some(member) = self.gossip.member_mut(from) {
            member.config = member.config.max(digest.config);
            member.calls = digest.calls;
            if digest.leaving {
                let event = member::Event::Leaving;
                member.state = self.charts.member.step(member.state, event).next;
            }
        }
        if digest.config > self.catalog.number {
            out.push(Output::Send { to: from, frame: Frame::Fetch });
        }
        if digest.roster > self.lease.number() {
            let heartbeat = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Send { to: from, frame: heartbeat });
        }
        if let Some(joiner) = digest.joiner {
            self.membership.joiners.retain(|known| known.ident != joiner.ident);
            self.membership.joiners.push(*joiner);
        }
        for update in digest.updates {
            self.on_update(now, update, out);
        }
    }

    fn digest(&mut self, now: Now, sent_at: Moment) -> Digest {
        let (listed, leaving) = (self.is_listed(), self.membership.leaving);
        let members = self.lease.roster().into_iter().flat_map(|roster| roster.members.keys());
        let heartbeats = self.gossip.heartbeats(members.copied());
        Digest {
            sent_at,
            config: self.catalog.number,
            calls: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            roster: self.lease.number(),
            roster_age: now.at.since(self.lease.confirmed_at()),
            newer_roster: None,
            joiner: self.membership.member.clone().filter(|_| !listed && !leaving).map(Box::new),
            just_started: !self.membership.has_contact,
            leaving,
            heartbeats,
            updates: self.gossip.take_updates(),
        }
    }

    /// Returns whether the roster lists this member.
    fn is_listed(&self) -> bool {
        let own_ident = self.lease.own_ident();
        self.lease.roster().is_some_and(|roster| roster.members.contains_key(&own_ident))
    }

    /// Returns the updates that a member needs after its start: states of upstreams and moves.
    fn all_updates(&self) -> Vec<Update> {
        let states = self.upstreams.iter().filter_map(|(key, upstream)| {
            let ident = self.catalog.upstreams.get(key)?.ident;
            Some((ident, upstream.epoch, upstream.state))
        });
        let updates = states.filter_map(|(upstream, epoch, state)| match state {
            State::Draining => Some(Update::Drain { upstream, epoch }),
            _ if epoch > 0 => Some(Update::ColdStart { upstream, epoch }),
            _ => None,
        });
        updates.chain(self.move_updates()).collect()
    }

    /// Runs the periodic tasks of the membership protocol.
    pub(super) fn tick_membership(&mut self, now: Now, out: &mut Vec<Output>) {
        if self.membership.member.is_none() {
            return;
        }
        let started_at = *self.membership.started_at.get_or_insert(now.at);
        self.send_heartbeats(now, out);
        self.gossip.check_timeouts(now.at, &self.charts);
        self.confirm_roster(now, out);
        self.request_missing_records(now, out);
        let may_replace_roster =
            !self.membership.has_contact && now.at.since(started_at) >= SELF_ADMISSION_TIMEOUT;
        self.propose_roster(now, may_replace_roster, out);
    }

    fn send_heartbeats(&mut self, now: Now, out: &mut Vec<Output>) {
        let targets = self.gossip.start_round(now.at, &mut self.rng);
        for to in targets {
            let frame = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Send { to, frame });
        }
        // A member without a roster contacts the addresses in its settings.
        if !self.is_listed() && self.lease.number() == 0 {
            let frame = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Discover { frame });
        }
    }

    /// Asks members to resend records that they should have sent after the last roster change.
    fn request_missing_records(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(roster) = self.lease.roster() else { return };
        if now.at < self.membership.next_resend_at || roster.number == 1 {
            return;
        }
        self.membership.next_resend_at = now.at + RESEND_INTERVAL;
        let number = roster.number;
        for member in self.records.missing(self.lease.own_ident(), roster) {
            out.push(Output::message(member, Message::Resend { number }));
        }
    }

    /// Reads the current roster from the store, if it is this member's turn.
    ///
    /// The first live member in the roster's order reads the store, and gossip spreads the result.
    /// Each further member reads only once the last confirmation is older by another
    /// `CONFIRM_DELAY_STEP`, so the number of reads does not grow with the number of members.
    fn confirm_roster(&mut self, now: Now, out: &mut Vec<Output>) {
        let age = now.at.since(self.lease.confirmed_at());
        let rank = self.lease.roster().map_or(0, |roster| self.live_rank(roster));
        let delay = CONFIRM_DELAY_STEP.scale(rank as f64).min(MAX_CONFIRM_DELAY);
        let no_roster = self.lease.number() == 0;
        if now.at < self.membership.next_confirm_at || (age < CONFIRM_AGE + delay && !no_roster) {
            return;
        }
        let jitter = Span(self.rng.random_range(0..CONFIRM_JITTER.0));
        self.membership.next_confirm_at = now.at + CONFIRM_INTERVAL + jitter;
        out.push(Output::ConfirmRoster);
    }

    /// Proposes a roster with the joiners and without failed members, if it is this member's turn.
    fn propose_roster(&mut self, now: Now, may_replace_roster: bool, out: &mut Vec<Output>) {
        let empty = self.membership.no_roster.then(Roster::default);
        let Some(roster) = self.lease.roster().cloned().or(empty) else { return };
        let proposal = if self.is_listed() {
            self.wanted_roster(&roster)
        } else {
            self.self_admission(&roster, may_replace_roster)
        };
        let Some(proposal) = proposal else {
            self.membership.next_propose_at = None;
            return;
        };
        let delay = PROPOSE_DELAY_STEP.scale(self.live_rank(&roster) as f64);
        let due = *self.membership.next_propose_at.get_or_insert(now.at + delay);
        if now.at >= due {
            self.membership.next_propose_at = Some(now.at + PROPOSE_INTERVAL + delay);
            out.push(Output::ProposeRoster(proposal));
        }
    }

    /// Returns the roster that a listed member proposes, `None` if nothing changes.
    fn wanted_roster(&mut self, roster: &Roster) -> Option<Roster> {
        self.membership.joiners.retain(|joiner| !roster.members.contains_key(&joiner.ident));
        let removed = self.gossip.removable();
        if removed.is_empty() && self.membership.joiners.is_empty() {
            return None;
        }
        Some(roster.with_changes(&removed, &self.membership.joiners))
    }

    /// Returns the roster by which a joiner admits itself, `None` if a member can admit it.
    ///
    /// It may do so if the roster is empty, or if no member replied within
    /// `SELF_ADMISSION_TIMEOUT`.
    fn self_admission(&self, roster: &Roster, may_replace_roster: bool) -> Option<Roster> {
        let member = self.membership.member.clone().filter(|_| !self.membership.leaving)?;
        let removed: Vec<u64> = roster.members.keys().copied().collect();
        (removed.is_empty() || may_replace_roster).then(|| roster.with_changes(&removed, &[member]))
    }

    /// Returns the number of live members that precede this one in the order of preference for the
    /// current roster number.
    fn live_rank(&self, roster: &Roster) -> usize {
        let own_ident = self.lease.own_ident();
        let is_live =
            |ident: &u64| self.gossip.members().get(ident).is_some_and(member::Member::is_usable);
        roster.ranked(roster.number).take_while(|ident| *ident != own_ident).filter(is_live).count()
    }

    /// Sends an update to every member at once, and also gossips it to reach members that miss it.
    pub(super) fn broadcast(&mut self, update: Update, out: &mut Vec<Output>) {
        self.gossip.enqueue(update);
        for member in self.gossip.members().keys() {
            out.push(Output::message(*member, Message::Urgent(update)));
        }
    }

    /// Applies an update from a peer and gossips it further if it was new.
    pub(super) fn on_update(&mut self, now: Now, update: Update, out: &mut Vec<Output>) {
        match update {
            Update::ColdStart { upstream, epoch } => self.on_cold_start(now, upstream, epoch, out),
            Update::Share { plan, share } => self.on_share(plan, share),
            Update::Verdict { plan, verdict } => self.on_verdict(plan, verdict),
            Update::Crashed { digest, generation, upstream } => {
                if self.suspects.receive(now.at, digest, generation, Some(upstream)) {
                    self.gossip.enqueue(update);
                }
            }
            Update::Cleared { digest, generation } => {
                if self.suspects.receive(now.at, digest, generation, None) {
                    self.gossip.enqueue(update);
                }
            }
            Update::Drain { upstream, epoch } => {
                let Some(key) = self.catalog.upstream_by_ident(upstream) else { return };
                let current = &self.upstreams[key];
                if epoch >= current.epoch && current.state != State::Draining {
                    self.upstream_event(now, key, Event::Draining, out);
                }
            }
        }
    }

    fn on_cold_start(&mut self, now: Now, upstream: u64, epoch: u32, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_by_ident(upstream) else { return };
        if epoch <= self.upstreams[key].epoch {
            return;
        }
        self.upstreams[key].epoch = epoch;
        self.gossip.enqueue(Update::ColdStart { upstream, epoch });
        let is_cold = epoch % 2 == 1;
        if is_cold {
            self.reset_allotment(key);
        }
        let event = if is_cold { Event::ReportedCold } else { Event::ReportedWarm };
        self.upstream_event(now, key, event, out);
    }
}
