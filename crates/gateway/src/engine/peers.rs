//! Talking with the other nodes.

use base::prelude::*;
use model::registry::{Kind, Member};

use super::{Engine, Note, Output};
use crate::message::{Beat, Frame, Proof};
use crate::trial;

/// Time between signs of life.
const BEAT: Span = Span::millis(700);
/// The same while this node watches the store or a trial goes on.
const BEAT_WATCHING: Span = Span::millis(300);
/// Time between greetings to the addresses of the settings while no other node is heard.
const HAIL: Span = Span::seconds(1);
/// Age of the newest proof from which on a node watches the store itself.
const PROOF_OLD: Span = Span::millis(1_500);
/// Time for which a node goes on watching once it does.
const WATCH_LEAST: Span = Span::seconds(2);

impl Engine {
    /// Takes in a frame of another node.
    pub(super) fn hear(&mut self, now: Moment, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Beat(beat) => self.hear_beat(now, beat, out),
            Frame::Members(members) => {
                for member in members {
                    self.learn(&member, out);
                }
                self.greet(now, out);
            }
            Frame::Facts { kind, batch } => {
                // A gap shows in the next beat's proofs, which leads to a fetch.
                let _ = self.take_facts(now, kind, &batch, out);
            }
            Frame::Fetch { kind } => self.fetched(from, kind, out),
            Frame::Evidence { trial, rows } => self.hear_evidence(trial, &rows, from),
            Frame::Suspect { digest, generation, victim } => {
                self.suspects.hear(now, digest, generation, victim);
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

    fn hear_beat(&mut self, now: Moment, beat: Beat, out: &mut Vec<Output>) {
        let ident = beat.member.ident();
        if ident == self.members.me() {
            return;
        }
        let unknown = self.learn(&beat.member, out);
        let Some(peer) = self.members.get_mut(ident) else { return };
        let fresh = !peer.is_live(now) || peer.process != beat.process;
        peer.heard_at = Some(now);
        peer.greeted_at = None;
        peer.process = beat.process;
        peer.leaving = beat.leaving;
        peer.ready = beat.ready;
        if fresh && !beat.leaving {
            out.push(Output::Note(Note::Member { name: beat.member.name.clone(), live: true }));
            let reply = Frame::Beat(self.own_beat(now));
            out.push(Output::Frame { to: ident, frame: reply });
        }
        if unknown {
            let known = self.members.peers().map(|(_, peer)| peer.member.clone()).collect();
            out.push(Output::Frame { to: ident, frame: Frame::Members(known) });
        }
        self.hear_proofs(now, ident, &beat.proofs, out);
        for progress in &beat.trials {
            self.hear_progress(now, progress, out);
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
        }
    }

    /// Learns of a member; returns whether it or its address was not known.
    pub(super) fn learn(&mut self, member: &Member, out: &mut Vec<Output>) -> bool {
        let learned = self.members.learn(member);
        if learned {
            out.push(Output::Address(member.clone()));
        }
        learned
    }

    /// Greets members that are silent.
    fn greet(&mut self, now: Moment, out: &mut Vec<Output>) {
        for ident in self.members.greet(now) {
            let frame = Frame::Beat(self.own_beat(now));
            out.push(Output::Frame { to: ident, frame });
        }
    }

    fn own_beat(&self, now: Moment) -> Beat {
        let proofs = self.views.iter().filter_map(|(kind, view)| {
            let age = now.since(view.proven_at?);
            Some(Proof { kind: *kind, at: view.at, changed: view.changed, age })
        });
        Beat {
            member: self.members.own.clone(),
            process: self.process,
            leaving: self.leaving,
            ready: self.is_ready(),
            proofs: proofs.collect(),
            trials: self.progress(now),
        }
    }

    /// Sends a frame to every live member.
    pub(super) fn tell_all(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        for (to, _) in self.members.live(now) {
            out.push(Output::Frame { to, frame: frame.clone() });
        }
    }

    /// Tells every live member how this node is.
    pub(super) fn beat(&mut self, now: Moment, out: &mut Vec<Output>) {
        let urgent = self.watching || self.progress(now).iter().any(is_open);
        self.beat_at = now + if urgent { BEAT_WATCHING } else { BEAT };
        let frame = Frame::Beat(self.own_beat(now));
        self.tell_all(now, &frame, out);
    }

    pub(super) fn beat_if_due(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.greet(now, out);
        if now >= self.beat_at {
            self.beat(now, out);
        }
        let alone = self.members.live(now).next().is_none();
        let due = self.hailed_at.is_none_or(|at| now.since(at) >= HAIL);
        if alone && due && !self.leaving {
            self.hailed_at = Some(now);
            out.push(Output::Hail(Frame::Beat(self.own_beat(now))));
        }
    }

    /// Watches the store if this node does it for all, or if nobody seems to.
    pub(super) fn watch_if_needed(&mut self, now: Moment, out: &mut Vec<Output>) {
        // This kind changes most, so its readers ask most often; their word holds for all kinds.
        let proven = self.views.get(&Kind::Upstreams).and_then(|view| view.proven_at);
        let old = proven.is_none_or(|at| now.since(at) >= PROOF_OLD);
        let wanted = !self.leaving && (self.members.is_reader(now) || old);
        if wanted {
            self.watch_until = now + WATCH_LEAST;
        }
        let watching = wanted || (now < self.watch_until && !self.leaving);
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

fn is_open(progress: &trial::Progress) -> bool {
    matches!(progress.state, trial::State::Trying | trial::State::Switching)
}
