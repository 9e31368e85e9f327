//! Frames from and to other nodes: heartbeats, facts and broadcasts.
//!
//! Within a failure domain, a node sends to its neighbours, which pass on what is new to them;
//! between domains only the leaders talk.

use base::prelude::*;
use model::registry::Kind;

use super::{Engine, Note, Output};
use crate::message::{Confirmation, Frame, Heartbeat, Summary};
use crate::peer::{Entry, Report};
use crate::view::Batch;

/// Interval of heartbeats to neighbours.
const LOCAL_HEARTBEAT_INTERVAL: Span = Span::millis(700);
/// Interval of heartbeats between the leaders of failure domains.
const REMOTE_HEARTBEAT_INTERVAL: Span = Span::millis(1_000);
/// How much newer a confirmation has to be than the last reported one to be reported at once.
const MIN_CONFIRMATION_GAIN: Span = Span::millis(250);
/// Time for which another node must have reached the store without interruption to show that
/// vanished entries are really gone: several renewals of an upstream's entry.
const OUTAGE_EXCLUDED_AFTER: Span = Span::seconds(4);
/// Age up to which a confirmation shows that the store is reachable.
const RECENT_CONFIRMATION: Span = Span::millis(1_250);
/// Time after which facts that were requested from a node are requested from another one.
const FETCH_TIMEOUT: Span = Span::millis(600);
/// Maximum number of requests for facts that a node serves in [`SERVE_WINDOW`]; the others ask
/// another node, so that nodes that start together get their facts in a tree.
const MAX_SERVED: u32 = 32;
/// Time over which the requests for facts are counted.
const SERVE_WINDOW: Span = Span::millis(500);

/// A request for facts that has not been served yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fetch {
    sent_at: Moment,
    /// When the facts of the node that was asked had been confirmed.
    confirmed_at: Moment,
    revision: u64,
}

/// Number of requests for facts that this node has served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Served {
    since: Moment,
    count: u32,
}

impl Engine {
    /// Handles a frame from another node.
    pub(super) fn on_frame(&mut self, now: Moment, from: u64, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Join { member, heartbeat } => {
                let report = report_of(member.ident(), &heartbeat);
                self.learn_entry(now, Some(from), &Entry { member, report }, out);
                self.receive_heartbeat(now, report.ident, heartbeat, out);
            }
            Frame::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat, out),
            Frame::FetchMembers { domain } => self.send_members(from, domain.as_deref(), out),
            Frame::Members(entries) => self.receive_members(now, from, &entries, out),
            Frame::Gossip(gossip) => self.receive_gossip(now, from, &gossip, out),
            Frame::Facts { kind, batch } => self.receive_facts(now, from, kind, batch, out),
            Frame::FetchFacts { kind } => self.send_facts(now, from, kind, out),
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
        self.update_standing(now);
        self.flush_due_gossip(now, out);
        self.greet_neighbours(now, out);
    }

    fn receive_facts(
        &mut self,
        now: Moment,
        from: u64,
        kind: Kind,
        batch: Batch,
        out: &mut Vec<Output>,
    ) {
        let fetched = self.fetches.remove(&kind).filter(|_| batch.after.is_none());
        // A gap shows in the confirmations of the next heartbeat, which lead to a fetch.
        let Ok(delta) = self.apply_facts(now, kind, &batch, out) else { return };
        if let Some(fetch) = fetched.filter(|fetch| batch.revision >= fetch.revision) {
            self.views.entry(kind).or_default().confirm(fetch.confirmed_at);
            self.report_confirmation(now, Some(from), out);
        } else if delta != Default::default() {
            self.forward(now, from, &Frame::Facts { kind, batch }, out);
        }
    }

    /// Sends all facts of a kind to a node that has asked for them, unless many have asked lately.
    fn send_facts(&mut self, now: Moment, to: u64, kind: Kind, out: &mut Vec<Output>) {
        if now.since(self.served.since) >= SERVE_WINDOW {
            self.served = Served { since: now, count: 0 };
        }
        let Some(view) = self.views.get(&kind).filter(|view| view.revision > 0) else { return };
        if self.served.count < MAX_SERVED {
            self.served.count += 1;
            let frame = Frame::Facts { kind, batch: view.snapshot() };
            out.push(Output::Send { to, frame });
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

    fn receive_heartbeat(
        &mut self,
        now: Moment,
        from: u64,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        let Some(local) = self.members.is_local(from) else {
            // The reply includes the sender's own entry.
            let frame = Frame::FetchMembers { domain: None };
            return out.push(Output::Send { to: from, frame });
        };
        self.members.record_heard(now, from);
        self.learn_report(now, Some(from), report_of(from, &heartbeat), out);
        let is_new = self.record_process(from, heartbeat.process, out);
        if is_new {
            self.send_join(now, from, false, out);
            self.send_departures(from, out);
        } else if heartbeat.expects_reply && !self.sends_regularly_to(from) {
            let frame = Frame::Heartbeat(self.own_heartbeat(now, local, false));
            out.push(Output::Send { to: from, frame });
        }
        for summary in heartbeat.domains.iter().filter(|_| local) {
            if let Some(age) = summary.age {
                self.members.record_domain_heard(now - age, &summary.domain);
            }
        }
        self.compare_digests(now, from, &heartbeat.domains, out);
        self.receive_confirmations(now, from, &heartbeat.confirmations, out);
        for progress in &heartbeat.trials {
            self.receive_progress(now, progress, out);
        }
        // In a full mesh, the node that confirms facts reaches all others itself.
        if !local && self.members.is_leader() || local && !self.members.is_full_mesh() {
            self.report_confirmation(now, Some(from), out);
        }
    }

    /// Records the process of a node, and returns whether it is a new one.
    fn record_process(&mut self, ident: u64, process: u64, out: &mut Vec<Output>) -> bool {
        let Some(peer) = self.members.get_mut(ident) else { return false };
        let before = std::mem::replace(&mut peer.process, process);
        if before == process {
            return false;
        }
        let member = peer.member.clone();
        if before != 0 {
            out.push(Output::Address(member.clone()));
        }
        out.push(Output::Note(Note::Member { name: member.name, live: true }));
        true
    }

    /// Returns whether this node sends heartbeats to another one without being asked.
    fn sends_regularly_to(&self, ident: u64) -> bool {
        let is_leader_pair = || {
            let domain = self.members.get(ident).map(|peer| peer.member.domain.as_str());
            let leader = domain.and_then(|domain| self.members.leader_of(domain));
            self.members.is_leader() && leader == Some(ident)
        };
        self.members.neighbours().contains(&ident)
            || (self.members.is_local(ident) == Some(false) && is_leader_pair())
    }

    /// Returns the latest time at which the known facts were confirmed to be current.
    pub(super) fn confirmed_at(&self) -> Option<Moment> {
        // Upstreams change most, so nodes ask the store for them most often. Their confirmation
        // stands for all kinds.
        self.views.get(&Kind::Upstreams).and_then(|view| view.confirmed_at)
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
                self.fetch_facts(now, from, confirmation, out);
            } else {
                view.advance(confirmation.revision);
                view.confirm(now - confirmation.age);
            }
            let store_reachable = confirmation.age < RECENT_CONFIRMATION
                && confirmation.reachable_for >= OUTAGE_EXCLUDED_AFTER;
            if confirmation.kind == Kind::Upstreams && store_reachable {
                self.end_removal_grace(now, out);
            }
        }
    }

    /// Requests facts from a node that has newer ones, if it is one to which this node sends
    /// regularly and no other request is open.
    fn fetch_facts(
        &mut self,
        now: Moment,
        from: u64,
        confirmation: &Confirmation,
        out: &mut Vec<Output>,
    ) {
        let kind = confirmation.kind;
        let is_open = |fetch: &Fetch| now.since(fetch.sent_at) < FETCH_TIMEOUT;
        if !self.sends_regularly_to(from) || self.fetches.get(&kind).is_some_and(is_open) {
            return;
        }
        let fetch = Fetch {
            sent_at: now,
            confirmed_at: now - confirmation.age,
            revision: confirmation.changed_revision,
        };
        self.fetches.insert(kind, fetch);
        out.push(Output::Send { to: from, frame: Frame::FetchFacts { kind } });
    }

    /// Sends a heartbeat with this node's entry to a node that may not know it.
    pub(super) fn send_join(
        &self,
        now: Moment,
        to: u64,
        expects_reply: bool,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Send { to, frame: self.own_join(now, expects_reply) });
    }

    /// Returns a heartbeat with this node's entry.
    pub(super) fn own_join(&self, now: Moment, expects_reply: bool) -> Frame {
        let heartbeat = self.own_heartbeat(now, true, expects_reply);
        Frame::Join { member: self.members.own.clone(), heartbeat }
    }

    /// Returns a heartbeat for a node of this domain (`local`) or of another one.
    fn own_heartbeat(&self, now: Moment, local: bool, expects_reply: bool) -> Heartbeat {
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
        let own_domain = self.members.own.domain.as_str();
        // Between domains, bytes are expensive and each leader speaks for its own domain only.
        let listed = |domain: &str| local || domain == own_domain;
        let digests = self.members.digests().iter().filter(|(domain, _)| listed(domain));
        let domains = digests.map(|(domain, digest)| {
            let own = domain == own_domain;
            let age = if own { Some(Span::ZERO) } else { self.members.domain_age(now, domain) };
            Summary { domain: domain.clone(), age, digest: *digest }
        });
        let report = self.members.own_report();
        Heartbeat {
            process: self.process,
            incarnation: report.incarnation,
            standing: report.standing,
            expects_reply,
            domains: domains.collect(),
            confirmations: confirmations.collect(),
            trials: self.trial_progress(now),
        }
    }

    /// Sends a frame to every node: through the neighbours, and through the leaders to the other
    /// failure domains.
    pub(super) fn broadcast(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        self.send_to_neighbours(None, frame, out);
        if self.members.is_leader() {
            self.send_to_leaders(now, frame, out);
        }
    }

    /// Passes on another node's broadcast that is news to this node.
    fn forward(&self, now: Moment, from: u64, frame: &Frame, out: &mut Vec<Output>) {
        let local = self.members.is_local(from) == Some(true);
        if !local || !self.members.is_full_mesh() {
            self.send_to_neighbours(Some(from), frame, out);
        }
        if local && self.members.is_leader() {
            self.send_to_leaders(now, frame, out);
        }
    }

    fn send_to_neighbours(&self, except: Option<u64>, frame: &Frame, out: &mut Vec<Output>) {
        for to in self.members.neighbours().iter().filter(|to| Some(**to) != except) {
            out.push(Output::Send { to: *to, frame: frame.clone() });
        }
    }

    fn send_to_leaders(&self, now: Moment, frame: &Frame, out: &mut Vec<Output>) {
        for to in self.members.remote_leaders(now) {
            out.push(Output::Send { to, frame: frame.clone() });
        }
    }

    /// Sends heartbeats to the neighbours and, if this node is a leader, to the other leaders.
    pub(super) fn send_heartbeats(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.send_local_heartbeat(now, out);
        self.send_remote_heartbeat(now, out);
    }

    /// Passes on a confirmation of the facts at once if it is much newer than the last one that was
    /// passed on; `from` is the node that it came from.
    pub(super) fn report_confirmation(
        &mut self,
        now: Moment,
        from: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let reported = self.reported_confirmation.map(|at| at + MIN_CONFIRMATION_GAIN);
        if self.confirmed_at() < reported || self.confirmed_at().is_none() {
            return;
        }
        self.send_local_heartbeat(now, out);
        if from.is_none_or(|from| self.members.is_local(from) == Some(true)) {
            self.send_remote_heartbeat(now, out);
        }
    }

    fn send_local_heartbeat(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.next_local_heartbeat = now + LOCAL_HEARTBEAT_INTERVAL;
        self.reported_confirmation = self.confirmed_at();
        let frame = Frame::Heartbeat(self.own_heartbeat(now, true, true));
        let join = self.own_join(now, true);
        for to in self.members.neighbours() {
            // A node that has never answered may not know this one.
            let known = self.members.get(*to).is_some_and(|peer| peer.process != 0);
            let frame = if known { frame.clone() } else { join.clone() };
            out.push(Output::Send { to: *to, frame });
        }
    }

    fn send_remote_heartbeat(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.next_remote_heartbeat = now + REMOTE_HEARTBEAT_INTERVAL;
        if self.is_settled_leader() {
            let frame = Frame::Heartbeat(self.own_heartbeat(now, false, true));
            self.send_to_leaders(now, &frame, out);
        }
    }

    pub(super) fn send_due_heartbeats(&mut self, now: Moment, out: &mut Vec<Output>) {
        if now >= self.next_local_heartbeat {
            self.send_local_heartbeat(now, out);
        }
        if now >= self.next_remote_heartbeat {
            self.send_remote_heartbeat(now, out);
        }
    }
}

/// Returns what a heartbeat reports of its sender.
fn report_of(ident: u64, heartbeat: &Heartbeat) -> Report {
    Report { ident, incarnation: heartbeat.incarnation, standing: heartbeat.standing }
}
