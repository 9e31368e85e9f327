//! Another node as one node sees it, and what nodes report of each other.

use base::prelude::*;
use chart::Chart;
use model::registry::Member;

symbols! {
    /// What a node says of its service, or others of it.
    pub enum Standing {
        /// It cannot serve requests yet.
        Starting = "starting",
        /// It serves requests.
        Ready = "ready",
        /// It is shutting down.
        Leaving = "leaving",
        /// Others have found that it does not respond.
        Down = "down",
    }
}

symbols! {
    /// Liveness of a node, as another node believes it.
    pub enum State {
        /// Nothing speaks against it.
        Alive = "alive",
        /// One node has not heard it for a while.
        Suspected = "suspected",
        /// It does not respond.
        Down = "down",
    }
}

symbols! {
    /// Events of a node.
    pub enum Event {
        /// A first node has not heard it.
        Suspected = "suspected",
        /// Enough nodes have not heard it, or it has not objected in time.
        Confirmed = "confirmed",
        /// Another node reports that it is down.
        Condemned = "condemned",
        /// It has announced a newer incarnation.
        Refuted = "refuted",
    }
}

symbols! {
    /// Actions of a node's liveness.
    pub enum Action {
        /// Passes the suspicion on.
        SpreadSuspicion = "spread-suspicion",
        /// Passes on that the node is down.
        SpreadReport = "spread-report",
    }
}

record! {
    /// What is known of a node's service, as of one of its incarnations.
    #[derive(Copy)]
    pub struct Report {
        /// Identity of the node.
        pub ident: u64,
        /// Number that only the node itself increases, whenever its standing changes or it objects
        /// to being down.
        pub incarnation: u64,
        /// Its standing.
        pub standing: Standing,
    }

    /// One node's word that it has not heard another one.
    #[derive(Copy)]
    pub struct Suspicion {
        /// Identity of the node that was not heard.
        pub ident: u64,
        /// Its incarnation as the witness knows it.
        pub incarnation: u64,
        /// Identity of the node that did not hear it.
        pub witness: u64,
    }

    /// A node with its addresses and the latest report of it.
    pub struct Entry {
        /// Name, domain and addresses of the node.
        pub member: Member,
        /// Latest report of the node.
        pub report: Report,
    }

    /// State of another node.
    pub struct Peer {
        /// Name, domain and addresses of the node.
        pub member: Member,
        /// Highest incarnation that is known.
        pub incarnation: u64,
        /// What the node said of itself in that incarnation.
        pub standing: Standing,
        /// Whether it is alive, as far as this node knows.
        pub state: State,
        /// Nodes that have not heard the present incarnation.
        pub witnesses: Vec<u64>,
        /// When the first of them said so.
        pub suspected_at: Moment,
        /// When it was found to be down.
        pub down_at: Moment,
        /// When this node last heard it, or began to expect its heartbeats.
        pub heard_at: Option<Moment>,
        /// Identity of its process, zero if unknown; it changes with a restart.
        pub process: u64,
    }
}

impl Peer {
    /// Creates the state of a node of which nothing has been heard.
    #[must_use]
    pub fn new(entry: Entry) -> Self {
        let Entry { member, report } = entry;
        let down = report.standing == Standing::Down;
        Self {
            member,
            incarnation: report.incarnation,
            standing: report.standing,
            state: if down { State::Down } else { State::Alive },
            witnesses: Vec::new(),
            suspected_at: Moment::default(),
            down_at: Moment::default(),
            heard_at: None,
            process: 0,
        }
    }

    /// Returns whether it counts as live: not down and not shutting down.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state != State::Down && self.standing != Standing::Leaving
    }

    /// Returns whether it serves requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_live() && self.standing == Standing::Ready
    }

    /// Returns the latest report of it.
    #[must_use]
    pub fn report(&self) -> Report {
        let standing = if self.state == State::Down { Standing::Down } else { self.standing };
        Report { ident: self.member.ident(), incarnation: self.incarnation, standing }
    }

    /// Applies an event and returns the resulting actions.
    pub fn step<'a>(
        &mut self,
        chart: &'a Chart<State, Event, Action>,
        now: Moment,
        event: Event,
    ) -> &'a [Action] {
        let before = self.state;
        let step = chart.step(self.state, event);
        self.state = step.next;
        match (before, self.state) {
            (State::Alive, State::Suspected) => self.suspected_at = now,
            (State::Alive | State::Suspected, State::Down) => self.down_at = now,
            (_, State::Alive) => self.witnesses.clear(),
            _ => {}
        }
        step.actions
    }

    /// Adopts a newer incarnation, and returns whether it is newer than the known one.
    ///
    /// An incarnation that the node itself has announced refutes all suspicions of earlier ones.
    pub fn adopt(
        &mut self,
        chart: &Chart<State, Event, Action>,
        now: Moment,
        incarnation: u64,
        standing: Standing,
    ) -> bool {
        if incarnation <= self.incarnation || standing == Standing::Down {
            return false;
        }
        self.incarnation = incarnation;
        self.standing = standing;
        self.witnesses.clear();
        // The announcement shows that it is alive, even if this node cannot hear it itself.
        self.heard_at = Some(now);
        self.step(chart, now, Event::Refuted);
        true
    }
}
