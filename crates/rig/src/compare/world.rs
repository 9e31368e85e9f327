//! Upstreams with slots and queues, and the events between them and the entries.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use super::Name;
use super::report::Row;
use super::trace::Trace;
use super::way::{Seen, Way};

/// What entries and upstreams are like.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Entries.
    pub entries: usize,
    /// Upstreams.
    pub workers: usize,
    /// Calls that an upstream runs at a time.
    pub slots: u32,
    /// Upstreams with a noisy neighbour.
    pub slow: usize,
    /// How many times slower those are.
    pub slowness: f64,
    /// Time from an entry to an upstream, or back.
    pub delay: f64,
    /// Time after which a caller gives up.
    pub patience: f64,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            entries: 16,
            workers: 20,
            slots: 4,
            slow: 2,
            slowness: 4.0,
            delay: 0.1,
            patience: 40.0,
        }
    }
}

impl Setting {
    /// Returns the calls that all upstreams together end in one service time.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slow = self.slow as f64;
        let good = self.workers as f64 - slow;
        f64::from(self.slots) * (good + slow / self.slowness)
    }
}

/// A call on its way.
#[derive(Clone, Copy, Debug)]
struct Job {
    arrived: f64,
    entry: usize,
    work: f64,
    worker: usize,
    sent: f64,
    ahead: f64,
    done: bool,
}

/// An upstream.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    queue: VecDeque<usize>,
    slowness: f64,
    /// Mean time that recent calls spent there.
    pub recent: f64,
}

impl Worker {
    /// Returns the calls that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Finish(usize),
    Answer(usize, u32),
    Probe { entry: usize, worker: usize },
    Probed { entry: usize, worker: usize, in_flight: u32, recent: f64 },
    Again(usize),
}

/// An event in the order of time, and of its making among equals.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Due(f64, u64, Event);

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// The state of one run.
struct World<'a, W> {
    setting: &'a Setting,
    trace: &'a Trace,
    way: W,
    workers: Vec<Worker>,
    jobs: Vec<Job>,
    held: Vec<VecDeque<usize>>,
    /// Whether an entry is to look at its held calls again.
    again: Vec<bool>,
    due: BinaryHeap<Reverse<Due>>,
    serial: u64,
    row: Row,
    latencies: Vec<f64>,
}

/// Runs one way on a trace.
pub fn run<W: Way>(name: Name, setting: &Setting, trace: &Trace, way: W) -> Row {
    let slowness = |number| if number < setting.slow { setting.slowness } else { 1.0 };
    let worker = |number| Worker { slowness: slowness(number), recent: 1.0, ..Worker::default() };
    let mut world = World {
        setting,
        trace,
        way,
        workers: (0..setting.workers).map(worker).collect(),
        jobs: Vec::with_capacity(trace.arrivals.len()),
        held: vec![VecDeque::new(); setting.entries],
        again: vec![false; setting.entries],
        due: BinaryHeap::new(),
        serial: 0,
        row: Row::new(name),
        latencies: Vec::with_capacity(trace.arrivals.len()),
    };
    world.push(trace.arrivals[0].at, Event::Arrive(0));
    while let Some(Reverse(Due(now, _, event))) = world.due.pop() {
        world.happen(now, event);
    }
    world.row.take_latencies(world.latencies, setting.patience);
    world.row
}

impl<W: Way> World<'_, W> {
    fn push(&mut self, at: f64, event: Event) {
        self.serial += 1;
        self.due.push(Reverse(Due(at, self.serial, event)));
    }

    fn happen(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(now, number),
            Event::Reach(job) => self.reach(now, job),
            Event::Finish(job) => self.finish(now, job),
            Event::Answer(job, in_flight) => self.answer(now, job, in_flight),
            Event::Probe { entry, worker } => {
                let (in_flight, recent) =
                    (self.workers[worker].in_flight(), self.workers[worker].recent);
                let probed = Event::Probed { entry, worker, in_flight, recent };
                self.push(now + self.setting.delay, probed);
            }
            Event::Probed { entry, worker, in_flight, recent } => {
                self.way.probed(now, entry, worker, in_flight, recent);
            }
            Event::Again(entry) => {
                self.again[entry] = false;
                self.release(now, entry);
            }
        }
    }

    fn arrive(&mut self, now: f64, number: usize) {
        if let Some(next) = self.trace.arrivals.get(number + 1) {
            self.push(next.at, Event::Arrive(number + 1));
        }
        let arrival = self.trace.arrivals[number];
        self.jobs.push(Job {
            arrived: now,
            entry: arrival.entry,
            work: arrival.work,
            worker: 0,
            sent: now,
            ahead: 0.0,
            done: false,
        });
        let job = self.jobs.len() - 1;
        if !self.held[arrival.entry].is_empty() || !self.send(now, job) {
            self.held[arrival.entry].push_back(job);
            self.look_again(now, arrival.entry);
        }
    }

    /// Sends a call as the way chooses; returns whether it was sent.
    fn send(&mut self, now: f64, number: usize) -> bool {
        let entry = self.jobs[number].entry;
        let seen = Seen { now, setting: self.setting, workers: &self.workers };
        let Some(choice) = self.way.choose(&seen, entry) else { return false };
        for worker in choice.probes {
            self.row.probes += 1;
            self.push(now + self.setting.delay, Event::Probe { entry, worker });
        }
        let job = &mut self.jobs[number];
        job.worker = choice.worker;
        job.sent = now;
        job.ahead = choice.ahead;
        self.push(now + choice.wait + self.setting.delay, Event::Reach(number));
        true
    }

    fn reach(&mut self, now: f64, number: usize) {
        let worker = &mut self.workers[self.jobs[number].worker];
        if worker.running < self.setting.slots {
            self.begin(now, number);
        } else {
            worker.queue.push_back(number);
            self.row.collisions += 1;
        }
    }

    fn begin(&mut self, now: f64, number: usize) {
        let job = self.jobs[number];
        let worker = &mut self.workers[job.worker];
        worker.running += 1;
        let slowness = if now < self.trace.slow_from { 1.0 } else { worker.slowness };
        let time = job.work * slowness;
        self.push(now + time, Event::Finish(number));
    }

    fn finish(&mut self, now: f64, number: usize) {
        let job = self.jobs[number];
        let worker = &mut self.workers[job.worker];
        worker.running -= 1;
        worker.recent += 0.05 * (now - job.sent - worker.recent);
        if now - job.arrived > self.setting.patience {
            self.row.wasted += 1;
        }
        while let Some(next) = self.workers[job.worker].queue.pop_front() {
            // A caller that gave up has cancelled its call, which then takes no slot.
            if now - self.jobs[next].arrived <= self.setting.patience {
                self.begin(now, next);
                break;
            }
            let in_flight = self.workers[job.worker].in_flight();
            self.push(now + self.setting.delay, Event::Answer(next, in_flight));
        }
        let in_flight = self.workers[job.worker].in_flight();
        self.push(now + self.setting.delay, Event::Answer(number, in_flight));
    }

    fn answer(&mut self, now: f64, number: usize, in_flight: u32) {
        let job = &mut self.jobs[number];
        if std::mem::replace(&mut job.done, true) {
            return;
        }
        let job = *job;
        if job.arrived >= self.trace.measured_from {
            self.latencies.push(now - job.arrived);
        }
        let latency = now - job.sent;
        self.way.answered(now, job.entry, job.worker, latency, job.ahead, in_flight);
        self.release(now, job.entry);
    }

    /// Lets an entry look at its held calls after a tick.
    fn look_again(&mut self, now: f64, entry: usize) {
        if !std::mem::replace(&mut self.again[entry], true) {
            self.push(now + 4.0 * self.setting.delay, Event::Again(entry));
        }
    }

    /// Sends calls that an entry holds, as far as the way lets it.
    fn release(&mut self, now: f64, entry: usize) {
        while let Some(number) = self.held[entry].front().copied() {
            let waited = now - self.jobs[number].arrived;
            if waited > self.setting.patience {
                self.held[entry].pop_front();
                self.row.refused +=
                    u64::from(self.jobs[number].arrived >= self.trace.measured_from);
                continue;
            }
            if !self.send(now, number) {
                self.look_again(now, entry);
                return;
            }
            self.held[entry].pop_front();
        }
    }
}
