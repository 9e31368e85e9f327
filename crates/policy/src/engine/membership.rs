//! Talking with the other members: probes, roster and news.

use base::prelude::*;
use rand::RngExt;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::member;
use crate::message::{Digest, Frame, Message, News};
use crate::roster::{Member, Roster};
use crate::upstream::{Event, State};

/// Age of the roster's confirmation at which a member asks the store itself.
const CONFIRM_AGE: Span = Span::millis(1_200);
/// Time that each further member waits for the one before it.
const CONFIRM_DELAY_STEP: Span = Span::millis(500);
/// Longest time that a member waits for those before it.
const MAX_CONFIRM_DELAY: Span = Span::millis(1_500);
/// Time between asking the store twice.
const CONFIRM_INTERVAL: Span = Span::millis(800);
/// Random part of that time, so that members do not ask at once.
const CONFIRM_JITTER: Span = Span::millis(800);
/// Time after which a joiner that hears of no member enters the roster by itself.
const SELF_ADMISSION_TIMEOUT: Span = Span::seconds(30);
/// Time that each further member waits before it proposes a roster.
const PROPOSE_DELAY_STEP: Span = Span::millis(500);
/// Time between asking members again for what they have to tell.
const RESEND_INTERVAL: Span = Span::seconds(2);
/// Time between two proposals of one member.
const PROPOSE_INTERVAL: Span = Span::seconds(2);

/// What a member remembers of its dealings with the others.
#[derive(Clone, Debug, Default)]
pub(super) struct Membership {
    /// This member, if it talks with others.
    pub member: Option<Member>,
    /// Members that want to join.
    joiners: Vec<Member>,
    /// Whether the store has said that there is no roster.
    pub no_roster: bool,
    /// Whether some member has answered since the start.
    has_contact: bool,
    /// When this member started.
    started_at: Option<Moment>,
    /// When the store is to be asked at the earliest.
    next_confirm_at: Moment,
    /// When members are to be asked again for what they have to tell.
    next_resend_at: Moment,
    /// When a proposal is to be made at the earliest.
    next_propose_at: Option<Moment>,
    /// Whether this member leaves.
    pub leaving: bool,
}

impl<C: Chooser> Engine<C> {
    /// Takes a frame of a peer.
    pub(super) fn on_frame(&mut self, now: Now, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Probe(digest) => {
                let (sent_at, fresh, known) = (digest.sent_at, digest.fresh, digest.roster);
                self.apply_digest(now, from, digest, out);
                let mut reply = self.digest(now, sent_at);
                if known < reply.roster {
                    reply.newer = self.lease.roster().cloned().map(Box::new);
                }
                if fresh {
                    reply.news = self.all_updates();
                }
                out.push(Output::Send { to: from, frame: Frame::Reply(reply) });
            }
            Frame::Reply(digest) => self.on_reply(now, from, digest, out),
            Frame::Message(message) => self.on_message(now, from, message, out),
            // The configuration in its stored form is kept outside the decisions.
            Frame::Fetch | Frame::Config(_) => {}
        }
    }

    fn on_reply(&mut self, now: Now, from: u64, digest: Digest, out: &mut Vec<Output>) {
        self.membership.has_contact = true;
        // The peer answered after the probe was sent, so the roster that it knew was current at
        // some time after the probe's sending less the age that it told.
        let asked_at = digest.sent_at - digest.roster_age;
        let (sent_at, number) = (digest.sent_at, digest.roster);
        if let Some(newer) = &digest.newer {
            self.adopt_roster(now, asked_at, newer, out);
        }
        self.lease.confirm_number(asked_at, number);
        self.lease.consent(from, sent_at, number);
        if let Some(member) = self.gossip.member_mut(from) {
            member.answered_at = now.at;
        }
        self.apply_digest(now, from, digest, out);
    }

    /// Takes in what both probes and replies tell.
    fn apply_digest(&mut self, now: Now, from: u64, digest: Digest, out: &mut Vec<Output>) {
        if let Some(roster) = self.lease.roster().filter(|roster| roster.number == digest.roster) {
            let listed = roster.members.keys().copied();
            self.gossip.hear(now.at, &self.charts, listed, &digest.beats);
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
            let probe = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Send { to: from, frame: probe });
        }
        if let Some(joiner) = digest.joiner {
            self.membership.joiners.retain(|known| known.ident != joiner.ident);
            self.membership.joiners.push(*joiner);
        }
        for news in digest.news {
            self.on_update(now, news, out);
        }
    }

    fn digest(&mut self, now: Now, sent_at: Moment) -> Digest {
        let (listed, leaving) = (self.is_listed(), self.membership.leaving);
        let members = self.lease.roster().into_iter().flat_map(|roster| roster.members.keys());
        let beats = self.gossip.beats(members.copied());
        Digest {
            sent_at,
            config: self.catalog.number,
            calls: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            roster: self.lease.number(),
            roster_age: now.at.since(self.lease.confirmed_at()),
            newer: None,
            joiner: self.membership.member.clone().filter(|_| !listed && !leaving).map(Box::new),
            fresh: !self.membership.has_contact,
            leaving,
            beats,
            news: self.gossip.take_news(),
        }
    }

    /// Tells whether the roster names this member.
    fn is_listed(&self) -> bool {
        let me = self.lease.me();
        self.lease.roster().is_some_and(|roster| roster.members.contains_key(&me))
    }

    /// Returns all that a member who has just started has to know of upstreams.
    fn all_updates(&self) -> Vec<News> {
        let known = self.upstreams.iter().filter_map(|(key, upstream)| {
            let ident = self.catalog.upstreams.get(key)?.ident;
            Some((ident, upstream.epoch, upstream.state))
        });
        let news = known.filter_map(|(upstream, epoch, state)| match state {
            State::Draining => Some(News::Drain { upstream, epoch }),
            _ if epoch > 0 => Some(News::Thermal { upstream, epoch }),
            _ => None,
        });
        news.chain(self.move_updates()).collect()
    }

    /// Does what is due in the dealings with the others.
    pub(super) fn tick_membership(&mut self, now: Now, out: &mut Vec<Output>) {
        if self.membership.member.is_none() {
            return;
        }
        let started_at = *self.membership.started_at.get_or_insert(now.at);
        self.send_heartbeats(now, out);
        self.gossip.age(now.at, &self.charts);
        self.confirm_roster(now, out);
        self.request_missing_records(now, out);
        let is_alone =
            !self.membership.has_contact && now.at.since(started_at) >= SELF_ADMISSION_TIMEOUT;
        self.propose_roster(now, is_alone, out);
    }

    fn send_heartbeats(&mut self, now: Now, out: &mut Vec<Output>) {
        let targets = self.gossip.round(now.at, &mut self.rng);
        for to in targets {
            let frame = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Send { to, frame });
        }
        // One who is not named yet, or who hears of nobody, tries the addresses of its settings.
        if !self.is_listed() && self.lease.number() == 0 {
            let frame = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Discover { frame });
        }
    }

    /// Asks members once more for what they had to tell when the roster changed.
    fn request_missing_records(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(roster) = self.lease.roster() else { return };
        if now.at < self.membership.next_resend_at || roster.number == 1 {
            return;
        }
        self.membership.next_resend_at = now.at + RESEND_INTERVAL;
        let number = roster.number;
        for member in self.ledger.silent(self.lease.me(), roster) {
            out.push(Output::message(member, Message::Recall { number }));
        }
    }

    /// Asks the store which roster is current, if this member's turn has come.
    ///
    /// The first in the roster's order asks and gossip carries its answer on. Each further one
    /// asks only once the answer is older, so that the calls do not grow with the members.
    fn confirm_roster(&mut self, now: Now, out: &mut Vec<Output>) {
        let age = now.at.since(self.lease.confirmed_at());
        let turn = self.lease.roster().map_or(0, |roster| self.turn(roster));
        let wait = CONFIRM_DELAY_STEP.scale(turn as f64).min(MAX_CONFIRM_DELAY);
        let no_roster = self.lease.number() == 0;
        if now.at < self.membership.next_confirm_at || (age < CONFIRM_AGE + wait && !no_roster) {
            return;
        }
        let jitter = Span(self.rng.random_range(0..CONFIRM_JITTER.0));
        self.membership.next_confirm_at = now.at + CONFIRM_INTERVAL + jitter;
        out.push(Output::ConfirmRoster);
    }

    /// Proposes a roster with the joiners and without the dead, if this member's turn has come.
    fn propose_roster(&mut self, now: Now, is_alone: bool, out: &mut Vec<Output>) {
        let empty = self.membership.no_roster.then(Roster::default);
        let Some(roster) = self.lease.roster().cloned().or(empty) else { return };
        let next = if self.is_listed() {
            self.wanted_roster(&roster)
        } else {
            self.self_admission(&roster, is_alone)
        };
        let Some(next) = next else {
            self.membership.next_propose_at = None;
            return;
        };
        let wait = PROPOSE_DELAY_STEP.scale(self.turn(&roster) as f64);
        let due = *self.membership.next_propose_at.get_or_insert(now.at + wait);
        if now.at >= due {
            self.membership.next_propose_at = Some(now.at + PROPOSE_INTERVAL + wait);
            out.push(Output::ProposeRoster(next));
        }
    }

    /// Returns the roster that a named member wants, if it differs.
    fn wanted_roster(&mut self, roster: &Roster) -> Option<Roster> {
        self.membership.joiners.retain(|joiner| !roster.members.contains_key(&joiner.ident));
        let gone = self.gossip.gone();
        if gone.is_empty() && self.membership.joiners.is_empty() {
            return None;
        }
        Some(roster.changed(&gone, &self.membership.joiners))
    }

    /// Returns the roster by which a joiner enters by itself: if there is none to let it in.
    fn self_admission(&self, roster: &Roster, is_alone: bool) -> Option<Roster> {
        let member = self.membership.member.clone().filter(|_| !self.membership.leaving)?;
        let gone: Vec<u64> = roster.members.keys().copied().collect();
        (gone.is_empty() || is_alone).then(|| roster.changed(&gone, &[member]))
    }

    /// Returns how many living members propose before this one.
    fn turn(&self, roster: &Roster) -> usize {
        let me = self.lease.me();
        let is_live =
            |ident: &u64| self.gossip.members().get(ident).is_some_and(member::Member::is_usable);
        roster.ranked(roster.number).take_while(|ident| *ident != me).filter(is_live).count()
    }

    /// Tells every member at once, and passes the news on in rounds for those it does not reach.
    pub(super) fn broadcast(&mut self, news: News, out: &mut Vec<Output>) {
        self.gossip.spread(news);
        for member in self.gossip.members().keys() {
            out.push(Output::message(*member, Message::Urgent(news)));
        }
    }

    /// Takes in news of a peer and passes on what was new.
    pub(super) fn on_update(&mut self, now: Now, news: News, out: &mut Vec<Output>) {
        match news {
            News::Thermal { upstream, epoch } => self.on_cold_start(now, upstream, epoch, out),
            News::Share { plan, share } => self.on_share(plan, share),
            News::Verdict { plan, verdict } => self.on_verdict(plan, verdict),
            News::Victim { digest, generation, upstream } => {
                if self.suspects.hear(now.at, digest, generation, Some(upstream)) {
                    self.gossip.spread(news);
                }
            }
            News::Cleared { digest, generation } => {
                if self.suspects.hear(now.at, digest, generation, None) {
                    self.gossip.spread(news);
                }
            }
            News::Drain { upstream, epoch } => {
                let Some(key) = self.catalog.upstream_ident(upstream) else { return };
                let known = &self.upstreams[key];
                if epoch >= known.epoch && known.state != State::Draining {
                    self.upstream_event(now, key, Event::Draining, out);
                }
            }
        }
    }

    fn on_cold_start(&mut self, now: Now, upstream: u64, epoch: u32, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_ident(upstream) else { return };
        if epoch <= self.upstreams[key].epoch {
            return;
        }
        self.upstreams[key].epoch = epoch;
        self.gossip.spread(News::Thermal { upstream, epoch });
        let cold = epoch % 2 == 1;
        if cold {
            self.reset_allotment(key);
        }
        let event = if cold { Event::ToldCold } else { Event::ToldWarm };
        self.upstream_event(now, key, event, out);
    }
}
