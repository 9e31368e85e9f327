//! Upstreams in a cold start: what their owner grants and what others ask for.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{Engine, Output};
use crate::Now;
use crate::balance::Chooser;
use crate::message::{Message, Update};
use crate::queue::Queue;
use crate::quota::{self, Allotment, GRANT_TIMEOUT};
use crate::upstream::{Event, State};

/// Share of an owner's calls that goes to its cold upstreams although warm ones have room.
const EXPLORE: f64 = 0.2;
/// Asks of one entry that are open at a time, for each service.
const OPEN_ASKS: usize = 8;
/// Time after a denial or a lost ask before the same upstream is asked again.
const ASK_PAUSE: Span = Span::millis(20);

/// What this entry has asked of owners.
#[derive(Clone, Debug, Default)]
pub(super) struct Asks {
    next: u64,
    open: BTreeMap<u64, Ask>,
    paused: BTreeMap<key::Upstream, Moment>,
    held: Vec<Held>,
}

/// A grant that came when no call waited for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    /// The upstream.
    pub upstream: key::Upstream,
    /// The mark of the grant.
    pub serial: u64,
    /// When it may be used no more.
    until: Moment,
}

/// One open ask.
#[derive(Clone, Copy, Debug)]
struct Ask {
    upstream: key::Upstream,
    sent: Moment,
}

impl<C: Chooser> Engine<C> {
    /// Tells whether this member may act as the owner of an upstream.
    pub(super) fn may_own(&self, now: Now, key: key::Upstream) -> bool {
        let upstream = &self.catalog.upstreams[key];
        self.tenure.covers(now.at, upstream.ident, GRANT_TIMEOUT + self.linger(key))
    }

    /// Returns how long a call may last at an upstream.
    pub(super) fn linger(&self, key: key::Upstream) -> Span {
        let upstream = &self.catalog.upstreams[key];
        self.catalog.services[upstream.service].timeout
    }

    pub(super) fn allotment(&mut self, key: key::Upstream) -> &mut Allotment {
        let upstream = &self.catalog.upstreams[key];
        let cold = self.catalog.services[upstream.service].cold;
        self.allotments.entry(upstream.ident).or_insert_with(|| Allotment::new(cold))
    }

    /// Lets an upstream start from its cold limit again, with its open grants still counted.
    pub(super) fn reset_allotment(&mut self, key: key::Upstream) {
        let upstream = &self.catalog.upstreams[key];
        let cold = self.catalog.services[upstream.service].cold;
        if let Some(allotment) = self.allotments.get_mut(&upstream.ident) {
            allotment.limit = cold.max(1);
            allotment.good = 0;
        }
    }

    /// Finds a cold upstream of this owner that a call should go to.
    ///
    /// Without room at warm upstreams every call may go there, else a small share.
    pub(super) fn own_cold(
        &mut self,
        now: Now,
        call: key::Call,
        version: key::Version,
    ) -> Option<key::Upstream> {
        let upstreams = &self.catalog.versions.get(version)?.upstreams;
        let fits = |key: &key::Upstream| {
            self.is_cold(*key) && self.may_own(now, *key) && self.may_go(now, call, *key)
        };
        let owned: Vec<key::Upstream> = upstreams.iter().copied().filter(fits).collect();
        if owned.is_empty() {
            return None;
        }
        let room = upstreams.iter().any(|key| self.may_take(now, call, *key));
        if room && !self.rng.random_bool(EXPLORE) {
            return None;
        }
        let free: Vec<key::Upstream> =
            owned.into_iter().filter(|key| self.allotment(*key).is_free(now.at)).collect();
        free.choose(&mut self.rng).copied()
    }

    fn is_cold(&self, key: key::Upstream) -> bool {
        let state = self.upstreams.get(key).map(|upstream| upstream.state);
        matches!(state, Some(State::Fresh | State::Cold))
    }

    /// Grants a call to this member itself and returns its serial.
    pub(super) fn grant_self(&mut self, now: Now, key: key::Upstream) -> u64 {
        let (serial, me, linger) = (self.next_serial(), self.tenure.own_ident(), self.linger(key));
        self.stats.granted += 1;
        self.allotment(key).grant(now.at, me, serial, linger);
        serial
    }

    pub(super) fn next_serial(&mut self) -> u64 {
        self.asks.next += 1;
        // The member's identity keeps serials of different members apart.
        base::hash::mix(self.tenure.own_ident().wrapping_add(self.asks.next))
    }

    /// Asks owners of cold upstreams for calls, as many as wait.
    pub(super) fn ask_owners(&mut self, now: Now, service: key::Service, out: &mut Vec<Output>) {
        let waiting = self.queues.get(service).map_or(0, Queue::len);
        let serving = self.catalog.services.get(service).and_then(|known| known.serving);
        if let Some(version) = serving {
            self.ask_for(now, version, waiting, out);
        }
    }

    /// Asks owners of a version's cold upstreams for at most `wanted` calls.
    pub(super) fn ask_for(
        &mut self,
        now: Now,
        version: key::Version,
        wanted: usize,
        out: &mut Vec<Output>,
    ) {
        let Some(version) = self.catalog.versions.get(version) else { return };
        let open = self.asks.open.values();
        let open = open.filter(|ask| version.upstreams.contains(&ask.upstream)).count();
        let room = wanted.min(OPEN_ASKS).saturating_sub(open);
        let fits = |key: &&key::Upstream| self.may_ask(now, **key);
        let fitting: Vec<_> = version.upstreams.iter().filter(fits).copied().collect();
        let targets: Vec<_> = fitting.sample(&mut self.rng, room).copied().collect();
        for upstream in targets {
            self.ask(now, upstream, out);
        }
    }

    fn may_ask(&self, now: Now, key: key::Upstream) -> bool {
        let upstream = &self.catalog.upstreams[key];
        let asked = self.asks.open.values().any(|ask| ask.upstream == key);
        let paused = self.asks.paused.get(&key).is_some_and(|until| now.at < *until);
        self.is_cold(key)
            && !asked
            && !paused
            && !self.is_out(upstream.domain)
            && !self.tenure.is_owner(upstream.ident)
    }

    fn ask(&mut self, now: Now, key: key::Upstream, out: &mut Vec<Output>) {
        let upstream = self.catalog.upstreams[key].ident;
        let owner = self.tenure.roster().and_then(|roster| roster.owner(upstream));
        let Some(owner) = owner else { return };
        let serial = self.next_serial();
        self.stats.asked += 1;
        self.asks.open.insert(serial, Ask { upstream: key, sent: now.at });
        out.push(Output::message(owner, Message::Request { upstream, serial }));
    }

    /// Forgets asks that no answer may come to any more.
    pub(super) fn expire_asks(&mut self, now: Now, out: &mut Vec<Output>) {
        self.return_held(now, out);
        self.asks.open.retain(|_, ask| now.at < ask.sent + GRANT_TIMEOUT);
        self.asks.paused.retain(|_, until| now.at < *until);
    }

    pub(super) fn asked(
        &mut self,
        now: Now,
        from: u64,
        upstream: u64,
        serial: u64,
        out: &mut Vec<Output>,
    ) {
        let key = self.catalog.upstream_by_ident(upstream);
        let key = key.filter(|key| self.is_cold(*key) && self.may_own(now, *key));
        let granted = key.is_some_and(|key| {
            let linger = self.linger(key);
            self.allotment(key).grant(now.at, from, serial, linger)
        });
        let message = if granted {
            self.stats.granted += 1;
            Message::Grant { upstream, serial }
        } else {
            Message::Deny { upstream, serial }
        };
        out.push(Output::message(from, message));
    }

    /// Leaves the upstream of a refused ask alone for a while.
    pub(super) fn denied(&mut self, now: Now, serial: u64) {
        if let Some(ask) = self.asks.open.remove(&serial) {
            self.asks.paused.insert(ask.upstream, now.at + ASK_PAUSE);
        }
    }

    /// Uses a grant for the next waiting call, or gives it back.
    pub(super) fn granted(
        &mut self,
        now: Now,
        from: u64,
        upstream: u64,
        serial: u64,
        out: &mut Vec<Output>,
    ) {
        let asked = self.asks.open.remove(&serial);
        // The term counts from the asking, which is before the owner's granting.
        let ask = asked.filter(|ask| now.at < ask.sent + GRANT_TIMEOUT);
        let usable = ask.map(|ask| ask.upstream).filter(|key| self.is_cold(*key));
        let call = usable.and_then(|key| self.waiting_for(now, key));
        match (usable, call) {
            (Some(key), Some(call)) => self.grant(now, call, key, Some(serial), out),
            // With nothing waiting, a call of the move's next few may still use it.
            (Some(key), None) if self.is_shifting_to(key) => {
                let until = ask.map_or(now.at, |ask| ask.sent + GRANT_TIMEOUT);
                self.asks.held.push(Held { upstream: key, serial, until });
            }
            _ => {
                let result = quota::Result::Unused;
                let message = Message::GrantResult { upstream, serial, result };
                out.push(Output::message(from, message));
            }
        }
    }

    /// Takes a held grant for an upstream of a version.
    pub(super) fn take_held(&mut self, now: Now, version: key::Version) -> Option<Held> {
        let upstreams = &self.catalog.upstreams;
        let fits = |held: &Held| {
            now.at < held.until
                && upstreams.get(held.upstream).is_some_and(|one| one.version == version)
        };
        let position = self.asks.held.iter().position(fits)?;
        let held = self.asks.held.swap_remove(position);
        self.is_cold(held.upstream).then_some(held)
    }

    /// Gives back held grants that nothing has used in time.
    fn return_held(&mut self, now: Now, out: &mut Vec<Output>) {
        let (kept, over): (Vec<Held>, Vec<Held>) =
            std::mem::take(&mut self.asks.held).into_iter().partition(|one| now.at < one.until);
        self.asks.held = kept;
        for held in over {
            let result = quota::Result::Unused;
            self.settle_grant(now, held.upstream, held.serial, result, out);
        }
    }

    /// Takes the next waiting call that may go to an upstream out of its queue.
    fn waiting_for(&mut self, now: Now, key: key::Upstream) -> Option<key::Call> {
        let service = self.catalog.upstreams[key].service;
        let ticket = self.queues.get_mut(service)?.pop()?;
        if self.calls.contains_key(ticket.call) && self.may_go(now, ticket.call, key) {
            return Some(ticket.call);
        }
        let workspace = self.calls.get(ticket.call)?.request.workspace;
        self.queues[service].push_front(workspace, ticket);
        None
    }

    /// Settles a grant with its owner, who may be this member.
    pub(super) fn settle_grant(
        &mut self,
        now: Now,
        key: key::Upstream,
        serial: u64,
        result: quota::Result,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.catalog.upstreams.get(key) else { return };
        let upstream = known.ident;
        let owner = self.tenure.roster().and_then(|roster| roster.owner(upstream));
        match owner {
            Some(owner) if owner != self.tenure.own_ident() => {
                let message = Message::GrantResult { upstream, serial, result };
                out.push(Output::message(owner, message));
            }
            _ => self.settled(now, key, serial, result, out),
        }
    }

    pub(super) fn settled(
        &mut self,
        now: Now,
        key: key::Upstream,
        serial: u64,
        result: quota::Result,
        out: &mut Vec<Output>,
    ) {
        let known = &self.catalog.upstreams[key];
        let service = &self.catalog.services[known.service];
        let (cold, slots, service) = (service.cold, service.slots, known.service);
        let Some(allotment) = self.allotments.get_mut(&known.ident) else { return };
        let proven = allotment.complete(serial, result, cold, slots);
        if proven && self.is_cold(key) && self.may_own(now, key) {
            self.upstream_event(now, key, Event::Proven, out);
        }
        self.drain_queue(now, service, out);
    }

    /// Tells the owner that connections to its upstream fail.
    pub(super) fn report_down(&mut self, _now: Now, upstream: u64, out: &mut Vec<Output>) {
        let owner = self.tenure.roster().and_then(|roster| roster.owner(upstream));
        match owner {
            Some(owner) if owner != self.tenure.own_ident() => {
                out.push(Output::message(owner, Message::Down { upstream }));
            }
            // The owner's own failed connects are proof enough of a restart to come.
            Some(_) => self.announce_restart(upstream, out),
            None => {}
        }
    }

    fn announce_restart(&mut self, ident: u64, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_by_ident(ident) else { return };
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.epoch % 2 == 0 {
            upstream.epoch += 1;
            self.stats.cold_starts += 1;
            let news = Update::ColdStart { upstream: ident, epoch: upstream.epoch };
            self.tell_all(news, out);
        }
        self.reset_allotment(key);
    }

    /// Takes a peer's report of failed connects for true if this owner has met some itself.
    pub(super) fn told_down(&mut self, now: Now, ident: u64, out: &mut Vec<Output>) {
        let Some(key) = self.catalog.upstream_by_ident(ident) else { return };
        let Some(upstream) = self.upstreams.get(key) else { return };
        let down = upstream.state == State::Down || upstream.connect_failures > 0;
        if down && self.may_own(now, key) {
            self.announce_restart(ident, out);
        }
    }
}
