//! Communication with the other nodes: heartbeats, members, facts, and who watches the store.
//!
//! Nodes of one failure domain talk to each other; between domains only their leaders talk.

use base::prelude::*;
use model::registry::{Kind, Member};

use super::{Engine, Note, Output};
use crate::message::{Confirmation, Frame, Heartbeat};

/// Interval of heartbeats within the failure domain.
const LOCAL_HEARTBEAT_INTERVAL: Span = Span::millis(700);
/// Interval of heartbeats between the leaders of failure domains.
const REMOTE_HEARTBEAT_INTERVAL: Span = Span::millis(1_000);
/// Interval of frames to the peer addresses from the settings while no other node is known.
const DISCOVERY_INTERVAL: Span = Span::seconds(1);
/// Age of the last confirmation from which on a node watches the store itself.
const CONFIRMATION_TIMEOUT: Span = Span::millis(1_250);
/// How much newer a confirmation has to be than the last reported one to be reported at once.
const MIN_CONFIRMATION_GAIN: Span = Span::millis(250);
/// Time for which another node must have reached the store without interruption to show that
/// vanished entries are really gone: several renewals of an upstream's entry.
const OUTAGE_EXCLUDED_AFTER: Span = Span::seconds(4);
/// Minimum time for which a node keeps watching the store after confirmations had become too old.
const MIN_WATCH: Span = Span::seconds(2);
/// Time after the start in which nodes discover each other before any of them watches the store.
const DISCOVERY_TIME: Span = Span::millis(500);

impl Engine {
    /// Handles a frame from another node.
    pub(super) fn on_frame(&mut self, now: Moment, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Join { member, heartbeat } => {
                self.learn_member(&member, out);
                self.receive_heartbeat(now, member.ident(), heartbeat, out);
            }
            Frame::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat, out),
            Frame::Members(members) => {
                for member in members {
                    self.learn_member(&member, out);
                }
            }
            Frame::FetchMembers => self.send_members(from, out),
            Frame::Leader(member) => {
                self.learn_member(&member, out);
                self.members.record_leader(member.ident());
            }
            Frame::Facts { kind, batch } => {
                // A gap shows in the confirmations of the next heartbeat, which lead to a fetch.
                let applied = self.apply_facts(now, kind, &batch, out);
                if applied.is_ok_and(|delta| delta != Default::default()) {
                    self.forward(now, from, &Frame::Facts { kind, batch }, out);
                }
            }
            Frame::FetchFacts { kind } => self.send_facts(from, kind, out),
            Frame::Evidence { trial, reporter, rows } => {
                self.receive_evidence(now, trial, reporter, rows, out);
            }
            Frame::Suspect { digest, generation, crashed_upstream } => {
                if self.suspects.receive(now, digest, generation, crashed_upstream) {
                    let frame = Frame::Suspect { digest, generation, crashed_upstream };
                    self.forward(now, from, &frame, out);
                }
            }
            Frame::Departed(idents) => {
                let new = self.receive_departures(now, &idents, out);
                if !new.is_empty() {
                    self.forward(now, from, &Frame::Departed(new), out);
                }
            }
        }
    }

    /// Sends all facts of a kind to a node that has asked for them.
    fn send_facts(&self, from: u64, kind: Kind, out: &mut Vec<Output>) {
        if let Some(view) = self.views.get(&kind).filter(|view| view.revision > 0) {
            let frame = Frame::Facts { kind, batch: view.snapshot() };
            out.push(Output::Send { to: from, frame });
        }
    }

    /// Sends a node that has just started which upstreams are leaving, as the registry may not say
    /// so.
    fn send_departures(&self, to: u64, out: &mut Vec<Output>) {
        let idents: Vec<u64> = self.departures.idents().collect();
        if !idents.is_empty() {
            out.push(Output::Send { to, frame: Frame::Departed(idents) });
        }
    }

    fn send_members(&self, to: u64, out: &mut Vec<Output>) {
        let peers = self.members.peers().map(|(_, peer)| peer.member.clone());
        let known = peers.chain([self.members.own.clone()]).collect();
        out.push(Output::Send { to, frame: Frame::Members(known) });
    }

    fn receive_heartbeat(
        &mut self,
        now: Moment,
        from: u64,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        let Some(local) = self.members.is_local(from) else {
            // The reply includes the sender's own entry.
            return out.push(Output::Send { to: from, frame: Frame::FetchMembers });
        };
        let Some(peer) = self.members.get_mut(from) else { return };
        let new_process = peer.process != heartbeat.process;
        let became_live = new_process || !peer.is_live(now);
        let restarted = new_process && peer.process != 0;
        peer.heard_at = Some(now);
        peer.announced_at = None;
        peer.process = heartbeat.process;
        peer.leaving = heartbeat.leaving;
        peer.ready = heartbeat.ready;
        let member = peer.member.clone();
        if restarted {
            out.push(Output::Address(member.clone()));
        }
        if became_live && local && !heartbeat.leaving {
            out.push(Output::Note(Note::Member { name: member.name, live: true }));
            self.send_join(now, from, out);
            self.send_departures(from, out);
        }
        if local {
            for summary in heartbeat.domains.iter().filter(|_| heartbeat.leader) {
                self.members.apply_summary(now, summary);
            }
        } else if heartbeat.leader {
            let live = heartbeat.domains.first().map(|summary| summary.live.clone());
            self.members.apply_leader_report(now, from, live.unwrap_or_default());
        }
        self.fetch_unknown_members(now, from, out);
        if !local && !self.members.is_leader(now) {
            self.send_leader(now, from, out);
        }
        if became_live && !local && heartbeat.leader && self.members.is_leader(now) {
            let reply = Frame::Heartbeat(self.own_heartbeat(now, false));
            out.push(Output::Send { to: from, frame: reply });
        }
        self.receive_confirmations(now, from, &heartbeat.confirmations, out);
        for progress in &heartbeat.trials {
            self.receive_progress(now, progress, out);
        }
        let fresher =
            self.confirmed_at() >= self.reported_confirmation.map(|at| at + MIN_CONFIRMATION_GAIN);
        if !local && fresher && self.members.is_leader(now) {
            self.send_local_heartbeat(now, out);
        }
    }

    /// Returns the latest time at which the known facts were confirmed to be current.
    pub(super) fn confirmed_at(&self) -> Option<Moment> {
        // Upstreams change most, so nodes ask the store for them most often. Their confirmation
        // stands for all kinds.
        self.views.get(&Kind::Upstreams).and_then(|view| view.confirmed_at)
    }

    /// Asks a node for its members if other failure domains list nodes that this node does not
    /// know.
    fn fetch_unknown_members(&mut self, now: Moment, from: u64, out: &mut Vec<Output>) {
        let own = self.members.own_ident();
        let known = |ident| ident == own || self.members.get(ident).is_some();
        if self.members.live_remote_nodes(now).any(|live| !known(live.ident)) {
            out.push(Output::Send { to: from, frame: Frame::FetchMembers });
        }
    }

    /// Sends a node of another failure domain the leader of this domain.
    fn send_leader(&self, now: Moment, to: u64, out: &mut Vec<Output>) {
        let leader = self.members.get(self.members.leader(now));
        if let Some(member) = leader.map(|peer| peer.member.clone()) {
            out.push(Output::Send { to, frame: Frame::Leader(member) });
        }
    }

    /// Applies another node's confirmations, and fetches facts that it has and this node lacks.
    fn receive_confirmations(
        &mut self,
        now: Moment,
        from: u64,
        confirmations: &[Confirmation],
        out: &mut Vec<Output>,
    ) {
        for confirmation in confirmations {
            let view = self.views.entry(confirmation.kind).or_default();
            if view.revision < confirmation.changed_revision {
                let frame = Frame::FetchFacts { kind: confirmation.kind };
                out.push(Output::Send { to: from, frame });
            } else {
                view.advance(confirmation.revision);
                view.confirm(now - confirmation.age);
            }
            let store_reachable = confirmation.age < CONFIRMATION_TIMEOUT
                && confirmation.reachable_for >= OUTAGE_EXCLUDED_AFTER;
            if confirmation.kind == Kind::Upstreams && store_reachable {
                self.end_removal_grace(now, out);
            }
        }
    }

    /// Records a member, and returns whether the member or its address is new.
    pub(super) fn learn_member(&mut self, member: &Member, out: &mut Vec<Output>) -> bool {
        let learned = self.members.learn(member);
        if learned {
            out.push(Output::Address(member.clone()));
        }
        learned
    }

    /// Sends a heartbeat with this node's member entry to a node that may not know it.
    fn send_join(&mut self, now: Moment, to: u64, out: &mut Vec<Output>) {
        let heartbeat = self.own_heartbeat(now, true);
        let frame = Frame::Join { member: self.members.own.clone(), heartbeat };
        out.push(Output::Send { to, frame });
    }

    /// Returns a heartbeat for nodes of the own failure domain (`local`) or of others.
    fn own_heartbeat(&self, now: Moment, local: bool) -> Heartbeat {
        let confirmations = self.views.iter().filter_map(|(kind, view)| {
            let age = now.since(view.confirmed_at?);
            let reachable_for = view.reachable_for();
            Some(Confirmation {
                kind: *kind,
                revision: view.revision,
                changed_revision: view.changed_revision,
                age,
                reachable_for,
            })
        });
        let leader = !self.leaving && self.members.is_leader(now);
        let domains = match (leader, local) {
            (false, _) => Vec::new(),
            (true, true) => self.members.remote_summaries(now).collect(),
            (true, false) => {
                vec![self.members.own_summary(now, self.is_ready(), self.leaving)]
            }
        };
        Heartbeat {
            process: self.process,
            leaving: self.leaving,
            ready: self.is_ready(),
            leader,
            domains,
            confirmations: confirmations.collect(),
            trials: self.trial_progress(now),
        }
    }

    /// Sends a frame to every node: directly within this failure domain, and to the others through
    /// the leaders.
    pub(super) fn broadcast(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        self.send_to_local_peers(now, frame, out);
        if self.members.is_leader(now) {
            self.send_to_leaders(now, frame, out);
        }
    }

    /// Forwards another node's broadcast if this node is a leader: to the own domain if it came
    /// from another domain, else to the other leaders.
    fn forward(&self, now: Moment, from: u64, frame: &Frame, out: &mut Vec<Output>) {
        if !self.members.is_leader(now) {
            return;
        }
        let own = self.members.own.domain.as_str();
        match self.members.get(from) {
            Some(peer) if peer.member.domain == own => self.send_to_leaders(now, frame, out),
            _ => self.send_to_local_peers(now, frame, out),
        }
    }

    fn send_to_local_peers(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        for (to, _) in self.members.local_peers(now) {
            out.push(Output::Send { to, frame: frame.clone() });
        }
    }

    fn send_to_leaders(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        for to in self.members.remote_leaders(now) {
            out.push(Output::Send { to, frame: frame.clone() });
        }
    }

    /// Sends heartbeats to the nodes of this failure domain and, if this node is a leader, to the
    /// other leaders.
    pub(super) fn send_heartbeats(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.send_local_heartbeat(now, out);
        self.send_remote_heartbeat(now, out);
    }

    fn send_local_heartbeat(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.next_local_heartbeat = now + LOCAL_HEARTBEAT_INTERVAL;
        self.reported_confirmation = self.confirmed_at();
        let frame = Frame::Heartbeat(self.own_heartbeat(now, true));
        self.send_to_local_peers(now, &frame, out);
    }

    fn send_remote_heartbeat(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.next_remote_heartbeat = now + REMOTE_HEARTBEAT_INTERVAL;
        if self.members.is_leader(now) {
            let frame = Frame::Heartbeat(self.own_heartbeat(now, false));
            self.send_to_leaders(now, &frame, out);
        }
    }

    pub(super) fn send_due_heartbeats(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.leaving {
            return;
        }
        for ident in self.members.announce_targets(now) {
            self.send_join(now, ident, out);
        }
        if self.members.is_leader(now) && now.since(self.started_at) >= DISCOVERY_TIME {
            for to in self.members.discovery_targets(now) {
                let heartbeat = self.own_heartbeat(now, false);
                let frame = Frame::Join { member: self.members.own.clone(), heartbeat };
                out.push(Output::Send { to, frame });
            }
        }
        if now >= self.next_local_heartbeat {
            self.send_local_heartbeat(now, out);
        }
        if now >= self.next_remote_heartbeat {
            self.send_remote_heartbeat(now, out);
        }
        self.discover_if_alone(now, out);
    }

    fn discover_if_alone(&mut self, now: Moment, out: &mut Vec<Output>) {
        let alone = self.members.count() == 1 && now.since(self.started_at) >= DISCOVERY_TIME;
        if alone && self.discovery_sent_at.is_none_or(|at| now.since(at) >= DISCOVERY_INTERVAL) {
            self.discovery_sent_at = Some(now);
            let heartbeat = self.own_heartbeat(now, false);
            out.push(Output::Discover(Frame::Join { member: self.members.own.clone(), heartbeat }));
        }
    }

    /// Watches the store if this node does so for all, or if the confirmations have become too old.
    pub(super) fn update_watch(&mut self, now: Moment, out: &mut Vec<Output>) {
        if now.since(self.started_at) < DISCOVERY_TIME && !self.leaving {
            return;
        }
        let confirmed_at = self.confirmed_at();
        let outdated = confirmed_at.is_none_or(|at| now.since(at) >= CONFIRMATION_TIMEOUT);
        if outdated {
            self.watch_until = now + MIN_WATCH;
        }
        let wanted = self.members.is_reader(now) || now < self.watch_until;
        let watching = wanted && !self.leaving;
        if watching != self.watching {
            self.watching = watching;
            let proof_ms = confirmed_at.map(|at| now.since(at).as_millis());
            out.push(Output::Watch(watching));
            out.push(Output::Note(Note::Watch { watching, proof_ms }));
        }
    }

    /// Starts the shutdown and announces it to the other nodes.
    pub(super) fn leave(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.leaving = true;
        self.send_heartbeats(now, out);
        self.update_watch(now, out);
    }
}
