//! What upstreams state about themselves in their responses: that they are leaving, or that they
//! want no requests for a while.
//!
//! The dispatcher passes a [`Notice`] on as soon as the head of the response has arrived, before
//! the end of the exchange or health check that it belongs to.

use base::prelude::*;

use super::{Engine, Note, Output};
use crate::message::Frame;
use crate::upstream::{Event, Upstream};

/// Longest pause that an upstream is granted. One that asks for more is most likely wrong about its
/// units, and may be asked again after this time at the cost of one refusal.
const MAX_PAUSE: Span = Span::seconds(300);

record! {
    /// A statement of an upstream about itself, from the head of a response.
    #[derive(Copy)]
    pub enum Notice {
        /// The upstream is leaving.
        Leaving,
        /// Another upstream has responded at its address, and that one is leaving.
        OccupantLeaving,
        /// The upstream wants neither requests nor health checks from this node for a time.
        Pause(Span),
    }
}

impl Engine {
    /// Applies a statement of an upstream about itself.
    pub(super) fn on_notice(
        &mut self,
        now: Moment,
        key: key::Upstream,
        notice: Notice,
        out: &mut Vec<Output>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        match notice {
            Notice::Leaving => {
                let ident = upstream.ident;
                self.record_departure(now, ident, out);
            }
            Notice::OccupantLeaving => {
                let address = upstream.address;
                let is_occupant = |(other, upstream): &(key::Upstream, &Upstream)| {
                    *other != key && upstream.address == address
                };
                let occupants = self.upstreams.iter().filter(is_occupant);
                let idents: Vec<u64> = occupants.map(|(_, upstream)| upstream.ident).collect();
                for ident in idents {
                    self.record_departure(now, ident, out);
                }
            }
            Notice::Pause(span) => {
                let until = now + span.min(MAX_PAUSE);
                upstream.paused_until = upstream.paused_until.max(until);
                self.stats.pauses += 1;
            }
        }
    }

    /// Stops sending to an upstream that is leaving, and broadcasts its departure if it is new.
    fn record_departure(&mut self, now: Moment, ident: u64, out: &mut Vec<Output>) {
        if self.apply_departure(now, ident, out) {
            self.broadcast(now, &Frame::Departed(vec![ident]), out);
        }
    }

    /// Applies departures that another node has announced, and returns those that were new.
    pub(super) fn receive_departures(
        &mut self,
        now: Moment,
        idents: &[u64],
        out: &mut Vec<Output>,
    ) -> Vec<u64> {
        idents.iter().copied().filter(|ident| self.apply_departure(now, *ident, out)).collect()
    }

    fn apply_departure(&mut self, now: Moment, ident: u64, out: &mut Vec<Output>) -> bool {
        if !self.departures.record(now, ident) {
            return false;
        }
        let leaving = self.upstreams.iter().find(|(_, upstream)| upstream.ident == ident);
        if let Some((key, upstream)) = leaving {
            out.push(Output::Note(Note::Leaving { id: upstream.id.clone() }));
            self.apply_upstream_event(now, key, Event::Draining, out);
        }
        true
    }

    /// Returns when the first upstream of a service wants requests again, if all that could serve
    /// have asked for a pause.
    pub(super) fn paused_until(&self, now: Moment, service: key::Service) -> Option<Moment> {
        let service = self.services.get(service)?;
        let upstreams = service.upstreams.iter().filter_map(|key| self.upstreams.get(*key));
        let usable = upstreams
            .filter(|upstream| upstream.is_usable() && !self.domains[upstream.domain].withdrawn);
        let until = usable.map(|upstream| upstream.paused_until).min()?;
        (now < until).then_some(until)
    }
}
