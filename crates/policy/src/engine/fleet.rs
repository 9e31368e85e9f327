//! Talking with the other members: probes, roster and news.

use base::prelude::*;
use rand::RngExt;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::member;
use crate::message::{Digest, Frame, Message, Update};
use crate::roster::{Member, Roster};
use crate::upstream::{Event, State};

/// Age of the roster's confirmation at which a member asks the store itself.
const CONFIRM_AGE: Span = Span::millis(1_200);
/// Time that each further member waits for the one before it.
const CONFIRM_STEP: Span = Span::millis(500);
/// Longest time that a member waits for those before it.
const CONFIRM_SPREAD: Span = Span::millis(1_500);
/// Time between asking the store twice.
const CONFIRM_PAUSE: Span = Span::millis(800);
/// Random part of that time, so that members do not ask at once.
const CONFIRM_JITTER: Span = Span::millis(800);
/// Time after which a joiner that hears of no member enters the roster by itself.
const ALONE: Span = Span::seconds(30);
/// Time that each further member waits before it proposes a roster.
const PROPOSE_STEP: Span = Span::millis(500);
/// Time between asking members again for what they have to tell.
const RECALL: Span = Span::seconds(2);
/// Time between two proposals of one member.
const PROPOSE_PAUSE: Span = Span::seconds(2);

/// What a member remembers of its dealings with the others.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// This member, if it talks with others.
    pub member: Option<Member>,
    /// Members that want to join.
    joiners: Vec<Member>,
    /// Whether the store has said that there is no roster.
    pub vacant: bool,
    /// Whether some member has answered since the start.
    heard: bool,
    /// When this member started.
    started: Option<Moment>,
    /// When the store is to be asked at the earliest.
    confirm_at: Moment,
    /// When members are to be asked again for what they have to tell.
    recall_at: Moment,
    /// When a proposal is to be made at the earliest.
    propose_at: Option<Moment>,
    /// Whether this member leaves.
    pub leaving: bool,
}

impl<C: Chooser> Engine<C> {
    /// Takes a frame of a peer.
    pub(super) fn frame(&mut self, now: Now, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Probe(digest) => {
                let (sent_at, fresh, known) = (digest.sent_at, digest.just_started, digest.roster);
                self.take_digest(now, from, digest, out);
                let mut reply = self.digest(now, sent_at);
                if known < reply.roster {
                    reply.newer_roster = self.tenure.roster().cloned().map(Box::new);
                }
                if fresh {
                    reply.updates = self.all_news();
                }
                out.push(Output::Send { to: from, frame: Frame::Reply(reply) });
            }
            Frame::Reply(digest) => self.replied(now, from, digest, out),
            Frame::Message(message) => self.peer(now, from, message, out),
            // The configuration in its stored form is kept outside the decisions.
            Frame::Fetch | Frame::Config(_) => {}
        }
    }

    fn replied(&mut self, now: Now, from: u64, digest: Digest, out: &mut Vec<Output>) {
        self.fleet.heard = true;
        // The peer answered after the probe was sent, so the roster that it knew was current at
        // some time after the probe's sending less the age that it told.
        let asked_at = digest.sent_at - digest.roster_age;
        let (sent_at, number) = (digest.sent_at, digest.roster);
        if let Some(newer) = &digest.newer_roster {
            self.adopt_roster(now, asked_at, newer, out);
        }
        self.tenure.confirm_number(asked_at, number);
        self.tenure.record_confirmation(from, sent_at, number);
        if let Some(member) = self.gossip.member_mut(from) {
            member.answered_at = now.at;
        }
        self.take_digest(now, from, digest, out);
    }

    /// Takes in what both probes and replies tell.
    fn take_digest(&mut self, now: Now, from: u64, digest: Digest, out: &mut Vec<Output>) {
        if let Some(roster) = self.tenure.roster().filter(|one| one.number == digest.roster) {
            let named = roster.members.keys().copied();
            self.gossip.receive_heartbeats(now.at, &self.charts, named, &digest.heartbeats);
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
        if digest.roster > self.tenure.number() {
            let probe = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Send { to: from, frame: probe });
        }
        if let Some(joiner) = digest.joiner {
            self.fleet.joiners.retain(|one| one.ident != joiner.ident);
            self.fleet.joiners.push(*joiner);
        }
        for news in digest.updates {
            self.hear(now, news, out);
        }
    }

    fn digest(&mut self, now: Now, sent_at: Moment) -> Digest {
        let (named, leaving) = (self.is_named(), self.fleet.leaving);
        let members = self.tenure.roster().into_iter().flat_map(|roster| roster.members.keys());
        let heartbeats = self.gossip.heartbeats(members.copied());
        Digest {
            sent_at,
            config: self.catalog.number,
            calls: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            roster: self.tenure.number(),
            roster_age: now.at.since(self.tenure.confirmed_at()),
            newer_roster: None,
            joiner: self.fleet.member.clone().filter(|_| !named && !leaving).map(Box::new),
            just_started: !self.fleet.heard,
            leaving,
            heartbeats,
            updates: self.gossip.take_updates(),
        }
    }

    /// Tells whether the roster names this member.
    fn is_named(&self) -> bool {
        let me = self.tenure.own_ident();
        self.tenure.roster().is_some_and(|roster| roster.members.contains_key(&me))
    }

    /// Returns all that a member who has just started has to know of upstreams.
    fn all_news(&self) -> Vec<Update> {
        let known = self.upstreams.iter().filter_map(|(key, upstream)| {
            let ident = self.catalog.upstreams.get(key)?.ident;
            Some((ident, upstream.epoch, upstream.state))
        });
        let news = known.filter_map(|(upstream, epoch, state)| match state {
            State::Draining => Some(Update::Drain { upstream, epoch }),
            _ if epoch > 0 => Some(Update::ColdStart { upstream, epoch }),
            _ => None,
        });
        news.chain(self.move_news()).collect()
    }

    /// Does what is due in the dealings with the others.
    pub(super) fn tick_fleet(&mut self, now: Now, out: &mut Vec<Output>) {
        if self.fleet.member.is_none() {
            return;
        }
        let started = *self.fleet.started.get_or_insert(now.at);
        self.probe(now, out);
        self.gossip.check_timeouts(now.at, &self.charts);
        self.confirm(now, out);
        self.recall(now, out);
        let alone = !self.fleet.heard && now.at.since(started) >= ALONE;
        self.propose(now, alone, out);
    }

    fn probe(&mut self, now: Now, out: &mut Vec<Output>) {
        let targets = self.gossip.start_round(now.at, &mut self.rng);
        for to in targets {
            let frame = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Send { to, frame });
        }
        // One who is not named yet, or who hears of nobody, tries the addresses of its settings.
        if !self.is_named() && self.tenure.number() == 0 {
            let frame = Frame::Probe(self.digest(now, now.at));
            out.push(Output::Hail { frame });
        }
    }

    /// Asks members once more for what they had to tell when the roster changed.
    fn recall(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(roster) = self.tenure.roster() else { return };
        if now.at < self.fleet.recall_at || roster.number == 1 {
            return;
        }
        self.fleet.recall_at = now.at + RECALL;
        let number = roster.number;
        for member in self.ledger.missing(self.tenure.own_ident(), roster) {
            out.push(Output::message(member, Message::Resend { number }));
        }
    }

    /// Asks the store which roster is current, if this member's turn has come.
    ///
    /// The first in the roster's order asks and gossip carries its answer on. Each further one
    /// asks only once the answer is older, so that the calls do not grow with the members.
    fn confirm(&mut self, now: Now, out: &mut Vec<Output>) {
        let age = now.at.since(self.tenure.confirmed_at());
        let turn = self.tenure.roster().map_or(0, |roster| self.turn(roster));
        let wait = CONFIRM_STEP.scale(turn as f64).min(CONFIRM_SPREAD);
        let unknown = self.tenure.number() == 0;
        if now.at < self.fleet.confirm_at || (age < CONFIRM_AGE + wait && !unknown) {
            return;
        }
        let jitter = Span(self.rng.random_range(0..CONFIRM_JITTER.0));
        self.fleet.confirm_at = now.at + CONFIRM_PAUSE + jitter;
        out.push(Output::Confirm);
    }

    /// Proposes a roster with the joiners and without the dead, if this member's turn has come.
    fn propose(&mut self, now: Now, alone: bool, out: &mut Vec<Output>) {
        let vacant = self.fleet.vacant.then(Roster::default);
        let Some(roster) = self.tenure.roster().cloned().or(vacant) else { return };
        let next = if self.is_named() { self.reform(&roster) } else { self.enter(&roster, alone) };
        let Some(next) = next else {
            self.fleet.propose_at = None;
            return;
        };
        let wait = PROPOSE_STEP.scale(self.turn(&roster) as f64);
        let due = *self.fleet.propose_at.get_or_insert(now.at + wait);
        if now.at >= due {
            self.fleet.propose_at = Some(now.at + PROPOSE_PAUSE + wait);
            out.push(Output::Propose(next));
        }
    }

    /// Returns the roster that a named member wants, if it differs.
    fn reform(&mut self, roster: &Roster) -> Option<Roster> {
        self.fleet.joiners.retain(|one| !roster.members.contains_key(&one.ident));
        let gone = self.gossip.removable();
        if gone.is_empty() && self.fleet.joiners.is_empty() {
            return None;
        }
        Some(roster.with_changes(&gone, &self.fleet.joiners))
    }

    /// Returns the roster by which a joiner enters by itself: if there is none to let it in.
    fn enter(&self, roster: &Roster, alone: bool) -> Option<Roster> {
        let member = self.fleet.member.clone().filter(|_| !self.fleet.leaving)?;
        let gone: Vec<u64> = roster.members.keys().copied().collect();
        (gone.is_empty() || alone).then(|| roster.with_changes(&gone, &[member]))
    }

    /// Returns how many living members propose before this one.
    fn turn(&self, roster: &Roster) -> usize {
        let me = self.tenure.own_ident();
        let lives =
            |ident: &u64| self.gossip.members().get(ident).is_some_and(member::Member::is_usable);
        roster.ranked(roster.number).take_while(|ident| *ident != me).filter(lives).count()
    }

    /// Tells every member at once, and passes the news on in rounds for those it does not reach.
    pub(super) fn tell_all(&mut self, news: Update, out: &mut Vec<Output>) {
        self.gossip.enqueue(news);
        for member in self.gossip.members().keys() {
            out.push(Output::message(*member, Message::Urgent(news)));
        }
    }

    /// Takes in news of a peer and passes on what was new.
    pub(super) fn hear(&mut self, now: Now, news: Update, out: &mut Vec<Output>) {
        match news {
            Update::ColdStart { upstream, epoch } => self.hear_thermal(now, upstream, epoch, out),
            Update::Share { plan, share } => self.hear_share(plan, share),
            Update::Verdict { plan, verdict } => self.hear_verdict(plan, verdict),
            Update::Crashed { digest, generation, upstream } => {
                if self.suspects.receive(now.at, digest, generation, Some(upstream)) {
                    self.gossip.enqueue(news);
                }
            }
            Update::Cleared { digest, generation } => {
                if self.suspects.receive(now.at, digest, generation, None) {
                    self.gossip.enqueue(news);
                }
            }
            Update::Drain { upstream, epoch } => {
                let Some(key) = self.catalog.upstream_by_ident(upstream) else { return };
                let known = &self.upstreams[key];
                if epoch >= known.epoch && known.state != State::Draining {
                    self.upstream_event(now, key, Event::Draining, out);
                }
            }
        }
    }

    fn hear_thermal(&mut self, now: Now, upstream: u64, epoch: u32, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_by_ident(upstream) else { return };
        if epoch <= self.upstreams[key].epoch {
            return;
        }
        self.upstreams[key].epoch = epoch;
        self.gossip.enqueue(Update::ColdStart { upstream, epoch });
        let cold = epoch % 2 == 1;
        if cold {
            self.reset_allotment(key);
        }
        let event = if cold { Event::ReportedCold } else { Event::ReportedWarm };
        self.upstream_event(now, key, event, out);
    }
}
