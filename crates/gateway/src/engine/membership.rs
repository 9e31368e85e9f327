//! What this node knows of other nodes: gossip, suspicions, and the comparison of entries.

use std::collections::BTreeMap;

use base::prelude::*;

use super::{Engine, Note, Output};
use crate::member::Applied;
use crate::message::{Frame, Gossip, Summary};
use crate::peer::{Action, Entry, Report, Standing, Suspicion};

/// Time for which entries may differ from a neighbour's before they are fetched: gossip may be on
/// its way.
const DIVERGENCE_TIME: Span = Span::millis(1_000);
/// Time between two requests for the entries of a domain.
const SYNC_INTERVAL: Span = Span::millis(1_000);
/// Time after which a node that has just started takes its entries for complete in any case.
const SETTLE_TIME: Span = Span::seconds(5);
/// Shortest time between two frames with changes that are not urgent, so that many come together.
const GOSSIP_INTERVAL: Span = Span::millis(50);
/// Number of nodes of each other domain that a new leader contacts.
const LEADER_CANDIDATES: usize = 3;
/// Time between ticks above which this node itself was late, so that it may not have read what
/// others have sent.
const LATE_TICK: Span = Span::millis(450);

/// A change to pass on, and the node that it came from.
#[derive(Clone, Debug)]
pub(super) struct Update {
    from: Option<u64>,
    content: Content,
}

#[derive(Clone, Debug)]
enum Content {
    Entry(Entry),
    Report(Report),
    Suspicion(Suspicion),
}

/// Progress of the comparison of a domain's entries with those of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Divergence {
    since: Option<Moment>,
    fetched_at: Option<Moment>,
}

impl Engine {
    /// Applies an entry, and queues it for other nodes if it is news.
    pub(super) fn learn_entry(
        &mut self,
        now: Moment,
        from: Option<u64>,
        entry: &Entry,
        out: &mut Vec<Output>,
    ) {
        if entry.report.ident == self.members.own_ident() {
            return self.defend(now, entry.report);
        }
        let address =
            |engine: &Self| engine.members.get(entry.report.ident).map(|peer| peer.member.peer);
        let before = address(self);
        match self.members.apply_entry(&self.charts.peer, now, entry) {
            Applied::New => {
                let content = Content::Entry(entry.clone());
                self.gossip.push(Update { from, content });
            }
            Applied::Outdated => self.correct(from, entry.report.ident, out),
            Applied::Known => {}
        }
        if before != address(self) {
            out.push(Output::Address(entry.member.clone()));
        }
    }

    /// Applies a report, and queues it for other nodes if it is news.
    pub(super) fn learn_report(
        &mut self,
        now: Moment,
        from: Option<u64>,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        if report.ident == self.members.own_ident() {
            return self.defend(now, report);
        }
        match self.members.apply_report(&self.charts.peer, now, report) {
            Applied::New => self.spread_report(from, report, out),
            Applied::Outdated => self.correct(from, report.ident, out),
            Applied::Known => {}
        }
    }

    fn spread_report(&mut self, from: Option<u64>, report: Report, out: &mut Vec<Output>) {
        if report.standing == Standing::Down
            && let Some(peer) = self.members.get(report.ident)
        {
            let name = peer.member.name.clone();
            out.push(Output::Note(Note::Member { name, live: false }));
        }
        self.gossip.push(Update { from, content: Content::Report(report) });
    }

    /// Sends a node what this node knows better.
    fn correct(&self, to: Option<u64>, ident: u64, out: &mut Vec<Output>) {
        let known = self.members.get(ident).map(crate::peer::Peer::report);
        if let (Some(to), Some(report)) = (to, known) {
            let gossip = Gossip { reports: vec![report], ..Gossip::default() };
            out.push(Output::Send { to, frame: Frame::Gossip(gossip) });
        }
    }

    /// Announces a newer incarnation if others believe that this node is down, or if an earlier
    /// process of it had a higher one.
    fn defend(&mut self, now: Moment, report: Report) {
        let own = self.members.own_report();
        let is_condemned =
            report.standing == Standing::Down && report.incarnation >= own.incarnation;
        if is_condemned || report.incarnation > own.incarnation {
            self.renew(now, report.incarnation + 1, own.standing);
        }
    }

    /// Starts a new incarnation of this node and queues it for other nodes.
    fn renew(&mut self, now: Moment, at_least: u64, standing: Standing) {
        self.members.renew(now, at_least, standing);
        let content = Content::Entry(self.members.own_entry());
        self.gossip.push(Update { from: None, content });
    }

    /// Applies what another node has learned of nodes.
    pub(super) fn receive_gossip(
        &mut self,
        now: Moment,
        from: u64,
        gossip: &Gossip,
        out: &mut Vec<Output>,
    ) {
        for entry in &gossip.entries {
            self.learn_entry(now, Some(from), entry, out);
        }
        for report in &gossip.reports {
            self.learn_report(now, Some(from), *report, out);
        }
        for suspicion in &gossip.suspicions {
            self.receive_suspicion(now, Some(from), *suspicion, out);
        }
    }

    fn receive_suspicion(
        &mut self,
        now: Moment,
        from: Option<u64>,
        suspicion: Suspicion,
        out: &mut Vec<Output>,
    ) {
        if suspicion.ident == self.members.own_ident() {
            let own = self.members.own_report();
            if suspicion.incarnation == own.incarnation {
                self.renew(now, 0, own.standing);
            }
            return;
        }
        for action in self.members.apply_suspicion(&self.charts.peer, now, suspicion) {
            match action {
                Action::SpreadSuspicion => {
                    self.gossip.push(Update { from, content: Content::Suspicion(suspicion) });
                }
                Action::SpreadReport => {
                    let report = self.members.get(suspicion.ident).map(crate::peer::Peer::report);
                    if let Some(report) = report {
                        self.spread_report(None, report, out);
                    }
                }
            }
        }
    }

    /// Sends the entries of a domain, this node's own one if none is named.
    pub(super) fn send_members(&self, to: u64, domain: Option<&str>, out: &mut Vec<Output>) {
        let entries = self.members.entries(domain.unwrap_or(&self.members.own.domain));
        out.push(Output::Send { to, frame: Frame::Members(entries) });
    }

    pub(super) fn receive_members(
        &mut self,
        now: Moment,
        from: u64,
        entries: &[Entry],
        out: &mut Vec<Output>,
    ) {
        let missing = self.members.missing_in(entries);
        for entry in entries {
            self.learn_entry(now, Some(from), entry, out);
        }
        if !missing.is_empty() {
            let gossip = Gossip { entries: missing, ..Gossip::default() };
            out.push(Output::Send { to: from, frame: Frame::Gossip(gossip) });
        }
    }

    /// Compares another node's digests with this node's, and fetches the entries of a domain that
    /// have differed for a while.
    pub(super) fn compare_digests(
        &mut self,
        now: Moment,
        from: u64,
        domains: &[Summary],
        out: &mut Vec<Output>,
    ) {
        let local = self.members.is_local(from) == Some(true);
        let own = self.members.digests();
        let mut all_equal = own.len() == domains.len();
        let mut to_fetch = Vec::new();
        for summary in domains {
            let equal = own.get(&summary.domain) == Some(&summary.digest);
            all_equal &= equal;
            let key = (from, summary.domain.clone());
            let divergence = self.divergences.entry(key).or_default();
            if equal {
                divergence.since = None;
                continue;
            }
            let since = *divergence.since.get_or_insert(now);
            // A leader of another domain sends seldom, and what it has sent before has arrived.
            let lasting = !self.settled || !local || now.since(since) >= DIVERGENCE_TIME;
            let due = divergence.fetched_at.is_none_or(|at| now.since(at) >= SYNC_INTERVAL);
            if lasting && due {
                divergence.fetched_at = Some(now);
                to_fetch.push(summary.domain.clone());
            }
        }
        self.settled |= all_equal;
        for domain in to_fetch {
            let frame = Frame::FetchMembers { domain: Some(domain) };
            out.push(Output::Send { to: from, frame });
        }
    }

    /// Updates what is known of nodes with the passing of time.
    pub(super) fn tick_membership(&mut self, now: Moment, out: &mut Vec<Output>) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap >= LATE_TICK {
            self.members.excuse(now, gap);
        }
        self.settled |= now.since(self.started_at) >= SETTLE_TIME;
        self.update_standing(now);
        for suspicion in self.members.silent_neighbours(now) {
            self.receive_suspicion(now, None, suspicion, out);
        }
        for report in self.members.confirm_suspicions(&self.charts.peer, now) {
            self.spread_report(None, report, out);
        }
        self.members.forget(now);
        self.divergences.retain(|_, divergence| divergence.since.is_some());
        self.flush_gossip(now, out);
        self.greet_neighbours(now, out);
        self.announce_leadership(now, out);
    }

    /// Announces a change of this node's own standing.
    pub(super) fn update_standing(&mut self, now: Moment) {
        let standing = match () {
            () if self.leaving => Standing::Leaving,
            () if self.is_ready() => Standing::Ready,
            () => Standing::Starting,
        };
        if standing != self.members.own_report().standing {
            self.renew(now, 0, standing);
        }
    }

    /// Sends the queued changes if one of them affects where callers are sent to, or if none were sent
    /// lately.
    pub(super) fn flush_due_gossip(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_urgent = |update: &Update| match &update.content {
            Content::Entry(entry) => entry.report.standing == Standing::Leaving,
            Content::Report(report) => {
                matches!(report.standing, Standing::Leaving | Standing::Down)
            }
            Content::Suspicion(_) => true,
        };
        let is_due = now.since(self.gossip_sent_at) >= GOSSIP_INTERVAL;
        if is_due || self.gossip.iter().any(is_urgent) {
            self.flush_gossip(now, out);
        }
    }

    /// Introduces this node to neighbours that it has not heard, so that both begin to exchange
    /// heartbeats.
    pub(super) fn greet_neighbours(&mut self, now: Moment, out: &mut Vec<Output>) {
        for to in self.members.take_new_neighbours() {
            self.send_join(now, to, true, out);
        }
    }

    /// Announces this node to other domains when it becomes the leader of its own. Their leaders may
    /// have ended at the same time, so it contacts the next ones too.
    pub(super) fn announce_leadership(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_leader = self.is_settled_leader() && !self.leaving;
        let was_leader = std::mem::replace(&mut self.announced_leadership, is_leader);
        if is_leader && !was_leader {
            for to in self.members.leader_candidates(LEADER_CANDIDATES) {
                self.send_join(now, to, true, out);
            }
        }
    }

    /// Sends the queued changes: all to the neighbours, and what comes from this domain to the
    /// leaders of the others. No change returns to the node that it came from.
    pub(super) fn flush_gossip(&mut self, now: Moment, out: &mut Vec<Output>) {
        let updates = std::mem::take(&mut self.gossip);
        if updates.is_empty() {
            return;
        }
        self.gossip_sent_at = now;
        let mut frames: BTreeMap<u64, Gossip> = BTreeMap::new();
        let leaders: Vec<u64> = match self.members.is_leader() {
            true => self.members.remote_leaders(now).collect(),
            false => Vec::new(),
        };
        for Update { from, content } in &updates {
            let local = from.is_none_or(|from| self.members.is_local(from) == Some(true));
            // In a full mesh, what a node of this domain has sent has reached all others.
            let known = from.is_some() && local && self.members.is_full_mesh();
            let neighbours = self.members.neighbours().iter().filter(|_| !known);
            let bridged = match content {
                Content::Suspicion(_) => false,
                // Two domains whose leaders end at the same time learn of it through others.
                Content::Report(report) if report.standing == Standing::Down => true,
                _ => local,
            };
            let leaders = leaders.iter().filter(|_| bridged);
            for to in neighbours.chain(leaders).filter(|to| Some(**to) != *from) {
                frames.entry(*to).or_default().add(content);
            }
        }
        for (to, gossip) in frames {
            out.push(Output::Send { to, frame: Frame::Gossip(gossip) });
        }
    }
}

impl Gossip {
    fn add(&mut self, content: &Content) {
        match content {
            Content::Entry(entry) => self.entries.push(entry.clone()),
            Content::Report(report) => self.reports.push(*report),
            Content::Suspicion(suspicion) => self.suspicions.push(*suspicion),
        }
    }
}
