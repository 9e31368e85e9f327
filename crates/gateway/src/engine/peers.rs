//! Talking with the other nodes.

use base::prelude::*;
use model::registry::{Kind, Member};

use super::{Engine, Note, Output};
use crate::message::{Beat, Frame, Proof};

/// Time between signs of life of a node within its domain.
const BEAT: Span = Span::millis(700);
/// Time between signs of life among leads.
const BEAT_AWAY: Span = Span::millis(1_000);
/// Time between greetings to the addresses of the settings while no other node is known.
const HAIL: Span = Span::seconds(1);
/// Age of the newest proof from which on a node watches the store itself.
const PROOF_OLD: Span = Span::millis(1_250);
/// How much fresher a proof has to be to be passed on at once.
const PROOF_FRESHER: Span = Span::millis(250);
/// Time for which the store has to have been within another node's reach to show that no entries
/// have lapsed: several heartbeats of upstreams.
const LEASES: Span = Span::seconds(4);
/// Time for which a node goes on watching once nobody else seemed to.
const WATCH_LEAST: Span = Span::seconds(2);
/// Time after the start in which nodes find each other before any of them watches.
const MEET: Span = Span::millis(500);

impl Engine {
    /// Takes in a frame of another node.
    pub(super) fn hear(&mut self, now: Moment, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Join { member, beat } => {
                self.learn(&member, out);
                self.hear_beat(now, member.ident(), beat, out);
            }
            Frame::Beat(beat) => self.hear_beat(now, from, beat, out),
            Frame::Members(members) => {
                for member in members {
                    self.learn(&member, out);
                }
            }
            Frame::Ask => self.tell_members(from, out),
            Frame::Lead(member) => {
                self.learn(&member, out);
                self.members.note_lead(member.ident());
            }
            Frame::Facts { kind, batch } => {
                // A gap shows in the next beat's proofs, which leads to a fetch.
                let taken = self.take_facts(now, kind, &batch, out);
                if taken.is_ok_and(|delta| delta != Default::default()) {
                    self.pass_on(now, from, &Frame::Facts { kind, batch }, out);
                }
            }
            Frame::Fetch { kind } => self.fetched(from, kind, out),
            Frame::Evidence { trial, witness, rows } => {
                self.hear_evidence(now, trial, witness, rows, out);
            }
            Frame::Suspect { digest, generation, victim } => {
                if self.suspects.receive(now, digest, generation, victim) {
                    let frame = Frame::Suspect { digest, generation, victim };
                    self.pass_on(now, from, &frame, out);
                }
            }
        }
    }

    /// Answers who asks for everything of a kind.
    fn fetched(&self, from: u64, kind: Kind, out: &mut Vec<Output>) {
        if let Some(view) = self.views.get(&kind).filter(|view| view.at > 0) {
            let frame = Frame::Facts { kind, batch: view.batch() };
            out.push(Output::Frame { to: from, frame });
        }
    }

    fn tell_members(&self, to: u64, out: &mut Vec<Output>) {
        let peers = self.members.peers().map(|(_, peer)| peer.member.clone());
        let known = peers.chain([self.members.own.clone()]).collect();
        out.push(Output::Frame { to, frame: Frame::Members(known) });
    }

    fn hear_beat(&mut self, now: Moment, from: u64, beat: Beat, out: &mut Vec<Output>) {
        let Some(near) = self.members.is_near(from) else {
            // Its name comes with the answer.
            return out.push(Output::Frame { to: from, frame: Frame::Ask });
        };
        let Some(peer) = self.members.get_mut(from) else { return };
        let anew = peer.process != beat.process;
        let fresh = anew || !peer.is_live(now);
        let renewed = anew && peer.process != 0;
        peer.heard_at = Some(now);
        peer.greeted_at = None;
        peer.process = beat.process;
        peer.leaving = beat.leaving;
        peer.ready = beat.ready;
        let member = peer.member.clone();
        if renewed {
            out.push(Output::Address(member.clone()));
        }
        if fresh && near && !beat.leaving {
            out.push(Output::Note(Note::Member { name: member.name, live: true }));
            self.join(now, from, out);
        }
        if near {
            for digest in beat.domains.iter().filter(|_| beat.lead) {
                self.members.hear_digest(now, digest);
            }
        } else if beat.lead {
            let live = beat.domains.first().map(|digest| digest.live.clone());
            self.members.hear_lead(now, from, live.unwrap_or_default());
        }
        self.ask_for_unknown(now, from, out);
        if !near && !self.members.is_lead(now) {
            self.tell_lead(now, from, out);
        }
        if fresh && !near && beat.lead && self.members.is_lead(now) {
            let reply = Frame::Beat(self.own_beat(now, false));
            out.push(Output::Frame { to: from, frame: reply });
        }
        self.hear_proofs(now, from, &beat.proofs, out);
        for progress in &beat.trials {
            self.hear_progress(now, progress, out);
        }
        let fresher = self.proven_at() >= self.proof_told.map(|at| at + PROOF_FRESHER);
        if !near && fresher && self.members.is_lead(now) {
            self.beat_near(now, out);
        }
    }

    /// Returns the latest time at which what is known of upstreams was current.
    pub(super) fn proven_at(&self) -> Option<Moment> {
        // This kind changes most, so its readers ask most often; their word holds for all kinds.
        self.views.get(&Kind::Upstreams).and_then(|view| view.proven_at)
    }

    /// Asks who the nodes are that another domain names and this node does not know.
    fn ask_for_unknown(&mut self, now: Moment, from: u64, out: &mut Vec<Output>) {
        let me = self.members.me();
        let known = |ident| ident == me || self.members.get(ident).is_some();
        if self.members.live_away(now).any(|live| !known(live.ident)) {
            out.push(Output::Frame { to: from, frame: Frame::Ask });
        }
    }

    /// Tells a lead of another domain who leads this one.
    fn tell_lead(&self, now: Moment, to: u64, out: &mut Vec<Output>) {
        let lead = self.members.get(self.members.lead(now));
        if let Some(member) = lead.map(|peer| peer.member.clone()) {
            out.push(Output::Frame { to, frame: Frame::Lead(member) });
        }
    }

    /// Takes in how current another node is, and fetches what it knows and this one does not.
    fn hear_proofs(&mut self, now: Moment, from: u64, proofs: &[Proof], out: &mut Vec<Output>) {
        for proof in proofs {
            let view = self.views.entry(proof.kind).or_default();
            if view.at < proof.changed {
                let frame = Frame::Fetch { kind: proof.kind };
                out.push(Output::Frame { to: from, frame });
            } else {
                view.advance(proof.at);
                view.prove(now - proof.age);
            }
            let present = proof.age < PROOF_OLD && proof.steady >= LEASES;
            if proof.kind == Kind::Upstreams && present {
                self.cancel_lapses(now, out);
            }
        }
    }

    /// Learns of a node; returns whether it or its address was not known.
    pub(super) fn learn(&mut self, member: &Member, out: &mut Vec<Output>) -> bool {
        let learned = self.members.learn(member);
        if learned {
            out.push(Output::Address(member.clone()));
        }
        learned
    }

    /// Tells a node who this one is.
    fn join(&mut self, now: Moment, to: u64, out: &mut Vec<Output>) {
        let beat = self.own_beat(now, true);
        let frame = Frame::Join { member: self.members.own.clone(), beat };
        out.push(Output::Frame { to, frame });
    }

    /// Makes a sign of life, for the own domain or for another one.
    fn own_beat(&self, now: Moment, near: bool) -> Beat {
        let proofs = self.views.iter().filter_map(|(kind, view)| {
            let age = now.since(view.proven_at?);
            let steady = view.steady();
            Some(Proof { kind: *kind, at: view.at, changed: view.changed, age, steady })
        });
        let lead = !self.leaving && self.members.is_lead(now);
        let domains = match (lead, near) {
            (false, _) => Vec::new(),
            (true, true) => self.members.digests(now).collect(),
            (true, false) => {
                vec![self.members.own_digest(now, self.is_ready(), self.leaving)]
            }
        };
        Beat {
            process: self.process,
            leaving: self.leaving,
            ready: self.is_ready(),
            lead,
            domains,
            proofs: proofs.collect(),
            trials: self.progress(now),
        }
    }

    /// Sends a frame to every node: to this domain, and through its lead to the others.
    pub(super) fn tell_all(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        self.tell_near(now, frame, out);
        if self.members.is_lead(now) {
            self.tell_leads(now, frame, out);
        }
    }

    /// Passes on what another node tells all.
    fn pass_on(&self, now: Moment, from: u64, frame: &Frame, out: &mut Vec<Output>) {
        if !self.members.is_lead(now) {
            return;
        }
        let own = self.members.own.domain.as_str();
        match self.members.get(from) {
            Some(peer) if peer.member.domain == own => self.tell_leads(now, frame, out),
            _ => self.tell_near(now, frame, out),
        }
    }

    fn tell_near(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        for (to, _) in self.members.near(now) {
            out.push(Output::Frame { to, frame: frame.clone() });
        }
    }

    fn tell_leads(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        for to in self.members.leads(now) {
            out.push(Output::Frame { to, frame: frame.clone() });
        }
    }

    /// Tells this domain how this node is, and the other leads if this is one.
    pub(super) fn beat(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.beat_near(now, out);
        self.beat_away(now, out);
    }

    fn beat_near(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.beat_at = now + BEAT;
        self.proof_told = self.proven_at();
        let frame = Frame::Beat(self.own_beat(now, true));
        self.tell_near(now, &frame, out);
    }

    fn beat_away(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.beat_away_at = now + BEAT_AWAY;
        if self.members.is_lead(now) {
            let frame = Frame::Beat(self.own_beat(now, false));
            self.tell_leads(now, &frame, out);
        }
    }

    pub(super) fn beat_if_due(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.leaving {
            return;
        }
        for ident in self.members.greet(now) {
            self.join(now, ident, out);
        }
        if self.members.is_lead(now) && now.since(self.started_at) >= MEET {
            for to in self.members.seek(now) {
                let beat = self.own_beat(now, false);
                let frame = Frame::Join { member: self.members.own.clone(), beat };
                out.push(Output::Frame { to, frame });
            }
        }
        if now >= self.beat_at {
            self.beat_near(now, out);
        }
        if now >= self.beat_away_at {
            self.beat_away(now, out);
        }
        self.hail_if_alone(now, out);
    }

    fn hail_if_alone(&mut self, now: Moment, out: &mut Vec<Output>) {
        let alone = self.members.known() == 1 && now.since(self.started_at) >= MEET;
        if alone && self.hailed_at.is_none_or(|at| now.since(at) >= HAIL) {
            self.hailed_at = Some(now);
            let beat = self.own_beat(now, false);
            out.push(Output::Hail(Frame::Join { member: self.members.own.clone(), beat }));
        }
    }

    /// Watches the store if this node does it for all, or if nobody seems to.
    pub(super) fn watch_if_needed(&mut self, now: Moment, out: &mut Vec<Output>) {
        if now.since(self.started_at) < MEET && !self.leaving {
            return;
        }
        let proven = self.proven_at();
        let old = proven.is_none_or(|at| now.since(at) >= PROOF_OLD);
        if old {
            self.watch_until = now + WATCH_LEAST;
        }
        let wanted = self.members.is_reader(now) || now < self.watch_until;
        let watching = wanted && !self.leaving;
        if watching != self.watching {
            self.watching = watching;
            let proof_ms = proven.map(|at| now.since(at).as_millis());
            out.push(Output::Watch(watching));
            out.push(Output::Note(Note::Watch { watching, proof_ms }));
        }
    }

    /// Tells the others that this node leaves.
    pub(super) fn leave(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.leaving = true;
        self.beat(now, out);
        self.watch_if_needed(now, out);
    }
}
