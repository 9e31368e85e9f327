//! A fleet of gateway nodes in virtual time: the deciding code itself, with a modelled network and a
//! modelled store.
//!
//! Frames take time, may be lost or cut off one way, and are encoded to count their bytes. The same
//! seed gives the same run. The `fleet` command and the tests of membership use it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;
use gateway::engine::{Input, Output};
use gateway::message::Frame;
use gateway::{Charts, Engine, Terms};
use model::registry::{Fact, Kind, Member, State as UpstreamState};
use peer::Envelope;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use store::Store;

mod observe;
pub mod report;
mod store;

/// Interval of an engine's ticks.
const TICK: Span = Span::millis(200);
/// Time over which the nodes of a fleet start.
const START_SPREAD_MS: u64 = 300;
/// Time of a frame within a failure domain.
const LOCAL_DELAY: Span = Span::millis(1);
/// Time of a frame between failure domains.
const REMOTE_DELAY: Span = Span::millis(3);
/// Added time of the first frame of a process to a node, for the handshake.
const HANDSHAKE: Span = Span::millis(6);
/// Time of the store's answer.
const STORE_DELAY: Span = Span::millis(8);
/// Longest wait of a watch of kinds that confirm nothing.
const WATCH_WAIT: Span = Span::seconds(15);
/// Time after which a node calls a store again that does not serve it.
const STORE_BACK_OFF: Span = Span::millis(1_200);
/// Number of upstreams on one page of the store.
const PAGE: usize = 500;
/// Bytes that UDP, IP and QUIC add to a frame in a packet of its own, with the acknowledgement.
const OVERHEAD: u64 = 110;
/// Kinds of fact that nodes read.
const KINDS: [Kind; 4] = [Kind::Table, Kind::Upstreams, Kind::Rollouts, Kind::Withdrawals];

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Counts since the last call of [`Fleet::take_counts`], of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Frames sent.
    pub frames: u64,
    /// Bytes sent, with an estimate of the transport's overhead.
    pub bytes: u64,
    /// Most frames that one node has sent.
    pub most_frames: u64,
    /// Calls to the store.
    pub store_calls: u64,
}

/// A machine and its process.
struct Node {
    member: Member,
    engine: Option<Engine>,
    /// Number of process starts; events of earlier ones are dropped.
    start: u64,
    paused_until: Moment,
    watching: bool,
    /// Nodes to which this process has a connection.
    connected: BTreeSet<u64>,
    frames: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Frame {
        from: u64,
        frame: Box<Frame>,
    },
    /// The store answers a read or a watch of a kind.
    Answer(Kind),
}

/// A fleet of nodes.
pub struct Fleet {
    /// The current time.
    pub now: Moment,
    nodes: BTreeMap<u64, Node>,
    seeds: Vec<u64>,
    queue: BTreeMap<(Moment, u64), (u64, u64, Event)>,
    next_event: u64,
    store: Store,
    /// Links on which frames are lost, as sender and receiver.
    cuts: BTreeSet<(u64, u64)>,
    loss: f64,
    bytes: u64,
    rng: SmallRng,
    charts: Charts,
}

impl Fleet {
    /// Creates the machines of a fleet and starts a process on each; the first machine of each of
    /// the first three domains is a seed.
    ///
    /// # Panics
    ///
    /// Panics if the charts do not fit the code.
    #[must_use]
    pub fn start(plan: &Plan) -> Self {
        let mut fleet = Self {
            now: Moment(10_000_000),
            nodes: BTreeMap::new(),
            seeds: Vec::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            store: Store::with_upstreams(plan.upstreams),
            cuts: BTreeSet::new(),
            loss: 0.0,
            bytes: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            charts: Charts::load().expect("the charts fit the code"),
        };
        for number in 0..plan.nodes {
            let ident = fleet.add(number, number % plan.domains);
            if number < plan.domains.min(3) {
                fleet.seeds.push(ident);
            }
        }
        for ident in fleet.idents() {
            fleet.start_process(ident);
        }
        fleet
    }

    /// Adds a machine without a process, and returns its identity.
    pub fn add(&mut self, number: usize, domain: usize) -> u64 {
        let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
        let member = Member {
            name: format!("front-d{domain}-{number}"),
            domain: format!("d{domain}"),
            peer: ([10, 0, high, low], 7_660).into(),
            caller: ([10, 0, high, low], 8_144).into(),
        };
        let ident = member.ident();
        let node = Node {
            member,
            engine: None,
            start: 0,
            paused_until: Moment::default(),
            watching: false,
            connected: BTreeSet::new(),
            frames: 0,
        };
        self.nodes.insert(ident, node);
        ident
    }

    /// Starts a process on a machine, or restarts the one that runs there.
    pub fn start_process(&mut self, ident: u64) {
        let (process, spread) = (self.rng.random(), self.rng.random_range(0..START_SPREAD_MS));
        let started_at = self.now + Span::millis(spread);
        let seeds = self.seeds.iter().filter_map(|seed| Some(self.nodes.get(seed)?.member.peer));
        let seeds: Vec<SocketAddr> = seeds.collect();
        let Some(node) = self.nodes.get_mut(&ident) else { return };
        let engine = Engine::new(
            self.charts.clone(),
            node.member.clone(),
            Terms::default(),
            process,
            started_at,
        )
        .with_seeds(&seeds)
        .with_incarnation(started_at.as_millis());
        node.engine = Some(engine);
        node.start += 1;
        node.watching = false;
        node.connected.clear();
        let start = node.start;
        self.schedule(started_at, ident, start, Event::Tick);
    }

    /// Ends the process of a machine without a word.
    pub fn kill(&mut self, ident: u64) {
        if let Some(node) = self.nodes.get_mut(&ident) {
            node.engine = None;
            node.start += 1;
        }
    }

    /// Pauses a process; what arrives meanwhile waits.
    pub fn pause(&mut self, ident: u64, span: Span) {
        if let Some(node) = self.nodes.get_mut(&ident) {
            node.paused_until = self.now + span;
        }
    }

    /// Lets a process shut down: it announces that, and ends after a second.
    pub fn leave(&mut self, ident: u64) {
        self.input(ident, Input::Leave);
    }

    /// Loses all frames from one node to another from now on.
    pub fn cut(&mut self, from: u64, to: u64) {
        self.cuts.insert((from, to));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Sets the share of frames that are lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Sets whether the store answers.
    pub fn set_store_available(&mut self, available: bool) {
        self.store.available = available;
    }

    /// Sets the nodes that the store turns away.
    pub fn set_refused(&mut self, nodes: impl IntoIterator<Item = u64>) {
        self.store.refused = nodes.into_iter().collect();
    }

    /// Replaces the seeds, which later starts of processes use.
    pub fn set_seeds(&mut self, seeds: Vec<u64>) {
        self.seeds = seeds;
    }

    /// Changes one upstream in the store, and returns the store's revision.
    pub fn change_upstream(&mut self, number: usize, state: UpstreamState) -> u64 {
        let revision = self.store.put_upstream(number, state);
        self.wake_watches(Kind::Upstreams);
        revision
    }

    /// Runs until a condition holds, and returns the time that it took; `None` if it takes longer
    /// than `limit`.
    pub fn run_until(
        &mut self,
        limit: Span,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Span> {
        let started_at = self.now;
        while !condition(self) {
            if self.now.since(started_at) >= limit {
                return None;
            }
            self.run(Span::millis(100));
        }
        Some(self.now.since(started_at))
    }

    /// Advances the time.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (ident, start, event)) = entry.remove_entry();
            self.now = at;
            self.handle(ident, start, event);
        }
        self.now = until;
    }

    /// Returns the counts since the last call.
    pub fn take_counts(&mut self) -> Counts {
        let frames = |node: &Node| node.frames;
        let counts = Counts {
            frames: self.nodes.values().map(frames).sum(),
            bytes: std::mem::take(&mut self.bytes),
            most_frames: self.nodes.values().map(frames).max().unwrap_or(0),
            store_calls: std::mem::take(&mut self.store.calls),
        };
        for node in self.nodes.values_mut() {
            node.frames = 0;
        }
        counts
    }

    fn schedule(&mut self, at: Moment, ident: u64, start: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), (ident, start, event));
    }

    fn handle(&mut self, ident: u64, start: u64, event: Event) {
        let Some(node) = self.nodes.get(&ident) else { return };
        let is_frame = matches!(event, Event::Frame { .. });
        if node.engine.is_none() || (node.start != start && !is_frame) {
            return;
        }
        if self.now < node.paused_until {
            return self.schedule(node.paused_until, ident, start, event);
        }
        match event {
            Event::Tick => {
                self.schedule(self.now + TICK, ident, start, Event::Tick);
                self.input(ident, Input::Tick);
            }
            Event::Frame { from, frame } => self.input(ident, Input::Peer { from, frame: *frame }),
            Event::Answer(kind) => self.answer(ident, kind),
        }
    }

    fn input(&mut self, ident: u64, input: Input) {
        let mut outputs = Vec::new();
        let node = self.nodes.get_mut(&ident);
        let Some(engine) = node.and_then(|node| node.engine.as_mut()) else { return };
        engine.input(self.now, input, &mut outputs);
        for output in outputs {
            self.execute(ident, output);
        }
    }

    fn execute(&mut self, ident: u64, output: Output) {
        match output {
            Output::Send { to, frame } => self.send(ident, to, frame),
            Output::Discover { to, frame } => {
                let seed = self.nodes.iter().find(|(_, node)| node.member.peer == to);
                if let Some(seed) = seed.map(|(seed, _)| *seed) {
                    self.send(ident, seed, frame);
                }
            }
            Output::Watch(watching) => self.set_watching(ident, watching),
            Output::FindMembers => self.read(ident, Kind::Members),
            Output::Register { alone } => {
                if let Some(node) = self.nodes.get(&ident).filter(|_| self.store.serves(ident)) {
                    let member = node.member.clone();
                    self.store.put(Kind::Members, member.name.clone(), Fact::Member(member));
                }
                self.store.calls += 1;
                if alone {
                    self.read(ident, Kind::Members);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: u64, to: u64, frame: Frame) {
        let encoded = peer::encode(&Envelope::Frame(frame.clone()));
        self.bytes += encoded.map_or(0, |bytes| bytes.len() as u64) + OVERHEAD;
        let Some(sender) = self.nodes.get_mut(&from) else { return };
        sender.frames += 1;
        let is_new = sender.connected.insert(to);
        let domain = sender.member.domain.clone();
        let Some(receiver) = self.nodes.get(&to) else { return };
        let start = receiver.start;
        let delay = if receiver.member.domain == domain { LOCAL_DELAY } else { REMOTE_DELAY };
        let delay = if is_new { delay + HANDSHAKE } else { delay };
        let lost = self.rng.random_bool(self.loss) || self.cuts.contains(&(from, to));
        if !lost && receiver.engine.is_some() {
            self.schedule(
                self.now + delay,
                to,
                start,
                Event::Frame { from, frame: Box::new(frame) },
            );
        }
    }

    fn set_watching(&mut self, ident: u64, watching: bool) {
        let Some(node) = self.nodes.get_mut(&ident) else { return };
        let before = std::mem::replace(&mut node.watching, watching);
        let starts = watching && !before;
        let start = node.start;
        for kind in KINDS.into_iter().filter(|_| starts) {
            self.schedule(self.now + STORE_DELAY, ident, start, Event::Answer(kind));
        }
    }

    /// Reads the facts of a kind once.
    fn read(&mut self, ident: u64, kind: Kind) {
        self.store.calls += 1;
        if self.store.serves(ident) {
            let batch = self.store.snapshot(kind);
            let asked_at = self.now;
            self.input(ident, Input::Facts { kind, batch, asked_at });
        }
    }

    /// Answers a watching node's read or watch of a kind, and lets it wait for the next answer.
    fn answer(&mut self, ident: u64, kind: Kind) {
        let Some(node) = self.nodes.get(&ident).filter(|node| node.watching) else { return };
        let (start, asked_at) = (node.start, self.now);
        let known = node.engine.as_ref().map_or(0, |engine| engine.revision(kind));
        self.store.calls += 1;
        if !self.store.serves(ident) {
            let retry_at = self.now + STORE_BACK_OFF;
            return self.schedule(retry_at, ident, start, Event::Answer(kind));
        }
        let revision = self.store.revision;
        let input = match self.store.changes(kind, known) {
            _ if known == 0 => {
                let pages = self.store.facts.get(&kind).map_or(0, |facts| facts.len() / PAGE);
                self.store.calls += pages as u64;
                Input::Facts { kind, batch: self.store.snapshot(kind), asked_at }
            }
            Some(batch) => Input::Facts { kind, batch, asked_at },
            None => Input::Current { kind, revision, asked_at },
        };
        self.input(ident, input);
        let wait = match kind {
            Kind::Upstreams => Terms::default().confirmation_interval(),
            _ => WATCH_WAIT,
        };
        self.schedule(self.now + wait, ident, start, Event::Answer(kind));
    }

    /// Answers the watches of a kind, as it has changed.
    fn wake_watches(&mut self, kind: Kind) {
        let waits = |(_, _, event): &(u64, u64, Event)| matches!(event, Event::Answer(waiting) if *waiting == kind);
        let waiting: Vec<(Moment, u64)> =
            self.queue.iter().filter(|(_, event)| waits(event)).map(|(key, _)| *key).collect();
        for key in waiting {
            if let Some((ident, start, event)) = self.queue.remove(&key) {
                let at = key.0.min(self.now + STORE_DELAY);
                self.schedule(at, ident, start, event);
            }
        }
    }
}
